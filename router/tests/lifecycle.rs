//! The life cycle: which phase follows which.

use fawnstream::lifecycle::{Event, Phase};

const ALL: [Phase; 5] = [
    Phase::Starting { drained: false },
    Phase::Starting { drained: true },
    Phase::Active,
    Phase::Standby,
    Phase::Stopping,
];

/// Whatever else happens, a stop is the end; and no call but a resume during a stop is turned down.
#[test]
fn a_stop_is_the_end_and_calls_may_be_repeated() {
    for phase in ALL {
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

/// A drain before the list is there is kept until it is.
#[test]
fn a_drain_at_the_start_is_kept() {
    let drained = Phase::Starting { drained: false }.next(Event::Drain).unwrap();
    assert!(!drained.accepts_clients());
    assert_eq!(drained.next(Event::Ready), Some(Phase::Standby));
    assert_eq!(drained.next(Event::Resume).unwrap().next(Event::Ready), Some(Phase::Active));
}
