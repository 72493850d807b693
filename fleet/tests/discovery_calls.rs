//! When routers call for the list of servers: soon enough for each, and not too often for all of them together.

use fawnstream_fleet::discovery_calls::{
    ANSWER_TIME, CALL_INTERVAL, CallEnd, CallPacer, ListSource, MAX_CALL_INTERVAL, MAX_FIRST_DELAY,
    NEWS_DEADLINE, WATCH_TIMEOUT,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A discovery that takes a call each `turn`, in the order of their coming, and tells those nothing that waited
/// longer than `patience`; such a call costs its turn all the same. `wait` says how long a router waits before
/// each of its calls. Returns how many have their list by the end.
fn play(routers: u32, turn: f64, until: f64, mut wait: impl FnMut(&mut CallPacer, u32) -> Duration) -> usize {
    let patience = 2.0;
    let mut calls: Vec<CallPacer> = (0..routers).map(|n| CallPacer::new(routers, u64::from(n))).collect();
    let mut due: Vec<(f64, u32)> = calls.iter_mut().map(|c| (wait(c, 0).as_secs_f64(), 0)).collect();
    let (mut free, mut served) = (0.0f64, 0);
    loop {
        let Some(n) = (0..due.len()).min_by(|a, b| due[*a].0.total_cmp(&due[*b].0)) else {
            return served;
        };
        let (at, tries) = due[n];
        if at > until {
            return served;
        }
        free = free.max(at) + turn;
        if free <= at + patience {
            served += 1;
            due[n].0 = f64::INFINITY;
        } else {
            due[n] = (at + patience + wait(&mut calls[n], tries + 1).as_secs_f64(), tries + 1);
        }
    }
}

fn paced(calls: &mut CallPacer, tries: u32) -> Duration {
    if tries == 0 { calls.first_delay() } else { calls.next_delay(CallEnd::Refused, Duration::from_secs(2)) }
}

/// Guards against routers that keep each other from the list: they call together, and with waits that grow to 3 s
/// whatever their number, hardly any but the first few ever have it.
#[test]
fn all_routers_get_the_list_of_a_discovery_that_is_overbooked() {
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let soon = |_: &mut CallPacer, tries: u32| match tries {
        0 => Duration::ZERO,
        _ => (MIN_BACKOFF * 2u32.pow(tries.min(6)))
            .min(Duration::from_secs(3))
            .mul_f64(0.5 + 0.5 * chance.random::<f64>()),
    };
    let few = play(100, 0.05, 20.0, soon);
    assert!(few < 60, "the model shows what was seen: {few}");
    for (routers, turn, until) in [
        (3, 0.2, 2.0),
        (30, 0.05, 3.0),
        (100, 0.02, 4.0),
        (100, 0.05, 20.0),
        // What takes a call of each router in 4 s.
        (350, 0.0114, 12.0),
        (1_024, 0.0039, 12.0),
    ] {
        let all = play(routers, turn, until, paced);
        assert_eq!(all, routers as usize, "{turn} s a call");
    }
}

/// However a call failed and however long it took: the next one begins in time for its answer to come within that after
/// which news counts as told. Guards against back-off, jitter and pacing that are longer together than they look apart.
#[test]
fn after_any_failed_call_the_next_one_is_in_time() {
    assert!(
        MAX_CALL_INTERVAL + ANSWER_TIME <= NEWS_DEADLINE - Duration::from_millis(200),
        "with the way of the news"
    );
    for routers in [1, 3, 30, 300, 1_024, 10_000] {
        for seed in 0..50 {
            let mut calls = CallPacer::new(routers, seed);
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            for _ in 0..40 {
                let ended = [CallEnd::WatchEnded, CallEnd::Refused, CallEnd::Refused, CallEnd::Unavailable]
                    [chance.random_range(0..4)];
                let took = Duration::from_millis([0, 5, 300, 900, 2_300, 3_600][chance.random_range(0..6)]);
                let next = calls.next_delay(ended, took);
                let late = took.max(MAX_CALL_INTERVAL) + MIN_BACKOFF;
                assert!(took + next <= late, "{routers} routers, {ended:?} after {took:?}: {next:?}");
                assert!(next >= MIN_BACKOFF / 2, "{next:?}: no loop of calls");
            }
        }
    }
}

/// Within that they keep to the rate that holds for all, or as near to it as they may.
#[test]
fn calls_of_all_routers_together_keep_to_their_rate() {
    for routers in [30, 45, 100, 300, 350, 1_024] {
        let mut calls: Vec<CallPacer> = (0..routers).map(|n| CallPacer::new(routers, u64::from(n))).collect();
        let mut rate = 0.0;
        let at_once = |one: &mut CallPacer| one.next_delay(CallEnd::Refused, Duration::ZERO);
        for one in &mut calls {
            (0..6).for_each(|_| _ = at_once(one));
            rate += 20.0 / (0..20).map(|_| at_once(one).as_secs_f64()).sum::<f64>();
        }
        let bound = (1.5 / CALL_INTERVAL.as_secs_f64())
            .max(f64::from(routers) / (0.7 * MAX_CALL_INTERVAL.as_secs_f64()));
        assert!(rate < bound, "{routers} routers: {rate} a second");
    }
}

#[test]
fn first_calls_are_spread_and_soon() {
    let firsts: Vec<Duration> = (0..100).map(|seed| CallPacer::new(100, seed).first_delay()).collect();
    assert!(firsts.iter().all(|wait| *wait <= MAX_FIRST_DELAY));
    assert!(MAX_FIRST_DELAY < Duration::from_millis(500), "the rule on drains leaves no more");
    let early = firsts.iter().filter(|wait| **wait < MAX_FIRST_DELAY / 2).count();
    assert!((30..=70).contains(&early), "{early} of 100 in the first half");
    assert!(CallPacer::new(3, 1).first_delay() < Duration::from_millis(100), "few routers call at once");
}

#[test]
fn who_finds_nobody_asks_again_soon() {
    let mut calls = CallPacer::new(100, 1);
    (0..20).for_each(|_| _ = calls.next_delay(CallEnd::Refused, Duration::ZERO));
    (0..20).for_each(|_| assert!(calls.next_delay(CallEnd::Unavailable, Duration::ZERO) <= MAX_BACKOFF));
    calls.reset();
    assert!(calls.next_delay(CallEnd::Unavailable, Duration::ZERO) <= MIN_BACKOFF * 2);
}

/// A watch that fell silent, a first new call that hangs and a second one that hangs, with the waits before them,
/// leave time for a third within that after which news counts as told. Guards against times that are longer
/// together than they look apart.
#[test]
fn two_calls_that_hang_leave_time_for_a_third() {
    let manner = ListSource::LocalAgent;
    let wait = manner.cap_delay(Duration::from_secs(60));
    let third = WATCH_TIMEOUT + (wait + manner.head_timeout()) * 2 + wait;
    assert!(third + Duration::from_secs(1) <= NEWS_DEADLINE, "the third call begins after {third:?}");
    assert!(manner.connect_timeout() <= manner.head_timeout());
}

/// A call that waits in turn is not given up before discovery would have refused it, and keeps to the rate.
#[test]
fn calls_that_wait_in_turn_are_waited_for() {
    let told = Duration::from_secs(20);
    assert_eq!(ListSource::SharedService.cap_delay(told), told);
    assert!(ListSource::SharedService.head_timeout() >= Duration::from_millis(3_600));
    // One that hangs in the dial, and one that hangs after it, leave time for the next.
    let mut calls = CallPacer::new(1_024, 1);
    for took in [ListSource::SharedService.connect_timeout(), ListSource::SharedService.head_timeout()] {
        let next = took + calls.next_delay(CallEnd::Unavailable, took);
        assert!(next + ANSWER_TIME <= NEWS_DEADLINE, "{took:?}: the next begins after {next:?}");
    }
}
