//! Starts of servers under wall clocks that are stepped.

use fawnstream_fleet::start_times::{Clocks, MAX_DROPPED, REMEMBER_FOR, StartTimes};
use std::time::Duration;

const HOUR: i64 = 3_600;

fn secs(secs: i64) -> Duration {
    Duration::from_secs(1_000_000_000 + secs.unsigned_abs())
        - if secs < 0 { 2 * secs_abs(secs) } else { Duration::ZERO }
}

fn secs_abs(secs: i64) -> Duration {
    Duration::from_secs(secs.unsigned_abs())
}

/// The clocks some seconds after the router's start, its wall clock stepped by so many.
fn clocks(now: i64, step: i64) -> Clocks {
    Clocks { monotonic: secs(now), wall: secs(now + step) }
}

/// How old a new server counts as that started a second ago, the list having been current two seconds ago: the
/// router's and the agents' wall clocks stepped by so many seconds.
fn age(step: i64, agents: i64) -> Duration {
    let start = StartTimes::default().listed(1, secs(99 + agents), clocks(100, step), Some(secs(98)));
    secs(100) - start
}

#[test]
fn clocks_that_agree_are_believed() {
    assert_eq!(age(0, 0), Duration::from_secs(1));
    let long_ago = StartTimes::default().listed(1, secs(-HOUR), clocks(100, 0), None);
    assert_eq!(long_ago, secs(-HOUR), "a router's first list is believed");
}

#[test]
fn a_server_that_just_started_is_young_whatever_steps_there_were() {
    for step in [-HOUR, -30, 0, 30, HOUR] {
        for agents in [-HOUR, -30, 0, 30, HOUR] {
            assert!(age(step, agents) <= Duration::from_secs(1), "steps {step} and {agents}");
        }
    }
}

#[test]
fn it_grows_older_by_the_monotonic_clock_though_its_stamp_lies_ahead() {
    let mut starts = StartTimes::default();
    let start = starts.listed(1, secs(100 + HOUR), clocks(100, 0), Some(secs(99)));
    assert_eq!(start, secs(100));
    assert_eq!(
        starts.listed(1, secs(100 + HOUR), clocks(150, -HOUR), Some(secs(149))),
        start,
        "it is learnt once"
    );
}

#[test]
fn a_restart_under_a_known_id_is_one_though_its_stamp_is_older() {
    let mut starts = StartTimes::default();
    starts.listed(1, secs(50), clocks(60, 0), None);
    let again = starts.listed(1, secs(199 - HOUR), clocks(200, -HOUR), Some(secs(199)));
    assert!(again >= secs(198), "{again:?}");
    assert_eq!(starts.listed(1, secs(50), clocks(201, 0), Some(secs(200))), again, "old news is no restart");
}

#[test]
fn a_router_that_starts_between_two_steps_sees_later_starts_as_young() {
    // It starts while the wall clock is an hour behind, which is put right after.
    let clocks = Clocks { monotonic: secs(100 - HOUR), wall: secs(100) };
    let start = StartTimes::default().listed(1, secs(99), clocks, Some(secs(99 - HOUR)));
    assert!(clocks.monotonic - start <= Duration::from_secs(1));
}

#[test]
fn what_started_in_an_outage_of_discovery_is_as_old_as_it_says() {
    let start = StartTimes::default().listed(1, secs(70), clocks(100, 0), Some(secs(60)));
    assert_eq!(start, secs(70));
}

#[test]
fn a_server_that_comes_back_is_the_same_process_and_memory_is_bounded() {
    let mut starts = StartTimes::default();
    starts.listed(1, secs(10), clocks(20, 0), None);
    starts.dropped(1, secs(30));
    starts.sweep(secs(40));
    assert_eq!(starts.listed(1, secs(10), clocks(50, 0), Some(secs(49))), secs(10));
    starts.dropped(1, secs(60));
    starts.sweep(secs(60) + REMEMBER_FOR);
    assert!(starts.is_empty());
    for server in 0..2 * MAX_DROPPED as u64 {
        starts.listed(server, secs(10), clocks(20, 0), None);
        starts.dropped(server, secs(20) + Duration::from_millis(server));
    }
    starts.sweep(secs(30));
    assert_eq!(starts.len(), MAX_DROPPED);
}
