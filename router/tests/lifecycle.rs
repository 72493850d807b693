//! Transitions of the life cycle.

use fawnstream::lifecycle::{Event, Phase, Status};
use std::time::{Duration, Instant};

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

/// Guards against taking a request that is complete so late after SIGTERM that SIGKILL cuts its answer, also where a
/// standby came before; and one after a drain that would still be open 4 s after it.
#[test]
fn late_requests_are_not_taken_after_stop_or_drain() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let status = |phase, phase_since, draining_since| Status { phase, phase_since, draining_since };
    let active = status(Phase::Active, at(0), None);
    assert!(active.takes_requests(at(3_600_000)));
    let stopping = status(Phase::Stopping, at(0), Some(at(0)));
    assert!(stopping.takes_requests(at(599)));
    // 700 ms and a slack of 50, less 150 ms for which the process may be held up.
    assert!(!stopping.takes_requests(at(600)));
    let standby = status(Phase::Standby, at(0), Some(at(0)));
    assert!(standby.takes_requests(at(1_899)));
    assert!(!standby.takes_requests(at(1_900)));
    let stopped_in_standby = status(Phase::Stopping, at(1_500), Some(at(0)));
    assert!(stopped_in_standby.takes_requests(at(1_899)));
    assert!(!stopped_in_standby.takes_requests(at(1_900)));
}
