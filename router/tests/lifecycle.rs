//! Transitions of the life cycle.

use fawnstream::lifecycle::{Event, Phase};

const ALL_PHASES: [Phase; 5] = [
    Phase::Starting { drained: false },
    Phase::Starting { drained: true },
    Phase::Active,
    Phase::Standby,
    Phase::Stopping,
];

/// A stop is final in every phase, and no event but a resume during a stop is rejected.
#[test]
fn stop_is_final_and_events_are_repeatable() {
    for phase in ALL_PHASES {
        assert_eq!(phase.next(Event::Stop), Some(Phase::Stopping));
        for event in [Event::Ready, Event::Drain, Event::Resume] {
            let next = phase.next(event);
            assert_eq!(next.is_none(), (phase, event) == (Phase::Stopping, Event::Resume));
            if let Some(next) = next {
                assert_eq!(next.next(event), Some(next), "{event:?} twice in {phase:?}");
            }
        }
    }
}

/// A drain before the router is ready takes effect when it is.
#[test]
fn drain_while_starting_is_kept() {
    let drained = Phase::Starting { drained: false }.next(Event::Drain).unwrap();
    assert!(!drained.accepts_clients());
    assert_eq!(drained.next(Event::Ready), Some(Phase::Standby));
    assert_eq!(drained.next(Event::Resume).unwrap().next(Event::Ready), Some(Phase::Active));
}
