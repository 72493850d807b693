//! What may begin, and which connections may end.

use fawnstream_attempts::decisions::*;
use fawnstream_attempts::invariants::{Invariant, Violations};
use std::time::Duration;

const BEGIN: BeginFacts = BeginFacts {
    client_waits: true,
    draining_for: None,
    drain_grace: Duration::from_millis(100),
    time_left: Some(Duration::ZERO),
    sign_of_life: SignOfLife::NotNeeded,
};

#[test]
fn an_attempt_begins_only_for_a_client_that_waits_at_a_server_that_takes_it_in_time() {
    assert_eq!(may_begin(&BEGIN), Ok(()));
    assert_eq!(may_begin(&BeginFacts { client_waits: false, ..BEGIN }), Err(NotBegun::NotWanted));
    assert_eq!(may_begin(&BeginFacts { time_left: None, ..BEGIN }), Err(NotBegun::TooLate));
    let draining = |ms| BeginFacts { draining_for: Some(Duration::from_millis(ms)), ..BEGIN };
    assert_eq!(may_begin(&draining(100)), Ok(()));
    assert_eq!(may_begin(&draining(101)), Err(NotBegun::Draining));
}

/// A machine takes what comes while its process stands still.
#[test]
fn a_repeat_begins_only_right_after_a_sign_of_life() {
    let shown = |sign_of_life| BeginFacts { sign_of_life, ..BEGIN };
    let seen = |ago| shown(SignOfLife::Seen { ago });
    assert_eq!(may_begin(&seen(SIGN_OF_LIFE_MAX_AGE)), Ok(()));
    assert_eq!(
        may_begin(&seen(SIGN_OF_LIFE_MAX_AGE + Duration::from_millis(1))),
        Err(NotBegun::NoSignOfLife)
    );
    assert_eq!(may_begin(&shown(SignOfLife::Missing)), Err(NotBegun::NoSignOfLife));
    assert_eq!(may_begin(&BeginFacts { time_left: None, ..seen(Duration::ZERO) }), Err(NotBegun::TooLate));
}

#[test]
fn a_connection_ends_for_another_only_without_a_request() {
    let rests =
        ConnectionFacts { busy: false, partial_request: false, closing: false, idle_for: MIN_IDLE_TIME };
    let fresh = ConnectionFacts { idle_for: MIN_IDLE_TIME - Duration::from_millis(1), ..rests };
    for need in [EvictReason::Descriptors, EvictReason::ClientSlot] {
        assert!(may_evict(&rests, need));
        assert!(!may_evict(&ConnectionFacts { busy: true, ..rests }, need));
        assert!(!may_evict(&ConnectionFacts { partial_request: true, ..rests }, need));
        assert!(!may_evict(&ConnectionFacts { closing: true, ..rests }, need));
        assert_eq!(may_evict(&fresh, need), need == EvictReason::ClientSlot);
    }
}

#[test]
fn each_rule_has_a_count_and_a_name_of_its_own() {
    let violations = Violations::default();
    violations.record(Invariant::RepeatPermitted);
    violations.record(Invariant::RepeatPermitted);
    let counts = Invariant::ALL.map(|rule| violations.get(rule));
    assert_eq!(counts, [0, 0, 2, 0, 0, 0]);
    let mut names = Invariant::ALL.map(Invariant::name);
    names.sort_unstable();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]));
}
