//! Start times of servers while wall clocks are stepped.

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

/// The clocks at `now` seconds, with the router's wall clock stepped by `step` seconds.
fn clocks(now: i64, step: i64) -> Clocks {
    Clocks { monotonic: secs(now), wall: secs(now + step) }
}

/// The computed age of a server that started a second ago, where the list was last current two seconds ago. The wall
/// clocks of the router and of the agent that stamped the start are stepped by `step` and `agent_step` seconds.
fn age(step: i64, agent_step: i64) -> Duration {
    let start = StartTimes::default().listed(1, secs(99 + agent_step), clocks(100, step), Some(secs(98)));
    secs(100) - start
}

#[test]
fn stamp_is_used_when_clocks_agree() {
    assert_eq!(age(0, 0), Duration::from_secs(1));
    let long_ago = StartTimes::default().listed(1, secs(-HOUR), clocks(100, 0), None);
    assert_eq!(long_ago, secs(-HOUR), "stamps of the first list are used as they are");
}

#[test]
fn new_server_is_young_whatever_the_clock_steps() {
    for step in [-HOUR, -30, 0, 30, HOUR] {
        for agent_step in [-HOUR, -30, 0, 30, HOUR] {
            assert!(age(step, agent_step) <= Duration::from_secs(1), "steps {step} and {agent_step}");
        }
    }
}

#[test]
fn server_with_future_stamp_ages_by_the_monotonic_clock() {
    let mut starts = StartTimes::default();
    let start = starts.listed(1, secs(100 + HOUR), clocks(100, 0), Some(secs(99)));
    assert_eq!(start, secs(100));
    assert_eq!(
        starts.listed(1, secs(100 + HOUR), clocks(150, -HOUR), Some(secs(149))),
        start,
        "the start is computed once"
    );
}

#[test]
fn restart_with_an_older_stamp_is_recognised() {
    let mut starts = StartTimes::default();
    starts.listed(1, secs(50), clocks(60, 0), None);
    let again = starts.listed(1, secs(199 - HOUR), clocks(200, -HOUR), Some(secs(199)));
    assert!(again >= secs(198), "{again:?}");
    assert_eq!(
        starts.listed(1, secs(50), clocks(201, 0), Some(secs(200))),
        again,
        "an earlier stamp is old news, no restart"
    );
}

#[test]
fn router_started_between_two_clock_steps_sees_later_starts_as_young() {
    // The router starts while the wall clock is an hour behind; the clock is corrected later.
    let clocks = Clocks { monotonic: secs(100 - HOUR), wall: secs(100) };
    let start = StartTimes::default().listed(1, secs(99), clocks, Some(secs(99 - HOUR)));
    assert!(clocks.monotonic - start <= Duration::from_secs(1));
}

#[test]
fn server_started_during_discovery_outage_keeps_its_stamp() {
    let start = StartTimes::default().listed(1, secs(70), clocks(100, 0), Some(secs(60)));
    assert_eq!(start, secs(70));
}

#[test]
fn returning_server_keeps_its_start_and_memory_is_bounded() {
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
