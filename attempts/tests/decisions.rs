//! Decisions about the begin of attempts, evictions, and the counts of invariant violations.

use fawnstream_attempts::decisions::*;
use fawnstream_attempts::invariants::{Invariant, Violations};
use std::time::Duration;

/// Facts that allow an attempt to begin.
const ALLOWED: BeginFacts = BeginFacts {
    client_waits: true,
    draining_for: None,
    drain_grace: Duration::from_millis(100),
    time_left: Some(Duration::ZERO),
    sign_of_life: SignOfLife::NotNeeded,
};

#[test]
fn attempt_begins_only_for_a_waiting_client_in_time_at_an_active_server() {
    assert_eq!(may_begin(&ALLOWED), Ok(()));
    assert_eq!(may_begin(&BeginFacts { client_waits: false, ..ALLOWED }), Err(NotBegun::NotWanted));
    assert_eq!(may_begin(&BeginFacts { time_left: None, ..ALLOWED }), Err(NotBegun::TooLate));
    let draining = |ms| BeginFacts { draining_for: Some(Duration::from_millis(ms)), ..ALLOWED };
    assert_eq!(may_begin(&draining(100)), Ok(()));
    assert_eq!(may_begin(&draining(101)), Err(NotBegun::Draining));
}

/// A machine accepts data while its process is stopped.
#[test]
fn repeat_begins_only_right_after_a_sign_of_life() {
    let with_sign = |sign_of_life| BeginFacts { sign_of_life, ..ALLOWED };
    let seen = |ago| with_sign(SignOfLife::Seen { ago });
    assert_eq!(may_begin(&seen(SIGN_OF_LIFE_MAX_AGE)), Ok(()));
    assert_eq!(
        may_begin(&seen(SIGN_OF_LIFE_MAX_AGE + Duration::from_millis(1))),
        Err(NotBegun::NoSignOfLife)
    );
    assert_eq!(may_begin(&with_sign(SignOfLife::Missing)), Err(NotBegun::NoSignOfLife));
    assert_eq!(may_begin(&BeginFacts { time_left: None, ..seen(Duration::ZERO) }), Err(NotBegun::TooLate));
}

#[test]
fn only_connections_without_a_request_are_evicted() {
    let settled =
        ConnectionFacts { busy: false, partial_request: false, closing: false, idle_for: MIN_IDLE_TIME };
    let recently_used = ConnectionFacts { idle_for: MIN_IDLE_TIME - Duration::from_millis(1), ..settled };
    for reason in [EvictReason::Descriptors, EvictReason::ClientSlot] {
        assert!(may_evict(&settled, reason));
        assert!(!may_evict(&ConnectionFacts { busy: true, ..settled }, reason));
        assert!(!may_evict(&ConnectionFacts { partial_request: true, ..settled }, reason));
        assert!(!may_evict(&ConnectionFacts { closing: true, ..settled }, reason));
        assert_eq!(may_evict(&recently_used, reason), reason == EvictReason::ClientSlot);
    }
}

#[test]
fn each_invariant_has_its_own_count_and_name() {
    let violations = Violations::default();
    violations.record(Invariant::RepeatPermitted);
    violations.record(Invariant::RepeatPermitted);
    let counts = Invariant::ALL.map(|invariant| violations.get(invariant));
    assert_eq!(counts, [0, 0, 2, 0, 0, 0]);
    let mut names = Invariant::ALL.map(Invariant::name);
    names.sort_unstable();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]));
}
