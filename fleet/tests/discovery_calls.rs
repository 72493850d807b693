//! Delays between discovery calls: short enough for each router, long enough for all of them together.

use fawnstream_fleet::discovery_calls::{
    ANSWER_TIME, CALL_INTERVAL, CallEnd, CallPacer, ListSource, MAX_CALL_INTERVAL, MAX_CHANGE_DELAY,
    MAX_FIRST_DELAY, WATCH_TIMEOUT,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Simulates a discovery service that serves one call per `turn` seconds in order of arrival. A call that waited longer
/// than `timeout` gets no answer but still uses its turn. `delay` gives the delay before each call of a router. Returns
/// how many routers have the list after `until` seconds.
fn simulate(
    routers: u32,
    turn: f64,
    until: f64,
    mut delay: impl FnMut(&mut CallPacer, u32) -> Duration,
) -> usize {
    let timeout = 2.0;
    let mut calls: Vec<CallPacer> = (0..routers).map(|n| CallPacer::new(routers, u64::from(n))).collect();
    let mut due: Vec<(f64, u32)> = calls.iter_mut().map(|c| (delay(c, 0).as_secs_f64(), 0)).collect();
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
        if free <= at + timeout {
            served += 1;
            due[n].0 = f64::INFINITY;
        } else {
            due[n] = (at + timeout + delay(&mut calls[n], tries + 1).as_secs_f64(), tries + 1);
        }
    }
}

fn paced(calls: &mut CallPacer, tries: u32) -> Duration {
    if tries == 0 { calls.first_delay() } else { calls.next_delay(CallEnd::Refused, Duration::from_secs(2)) }
}

/// Guards against routers that keep each other from the list: if they call together, with backoffs of at most 3 s
/// whatever their number, hardly any but the first few ever get it.
#[test]
fn all_routers_get_the_list_from_overloaded_discovery() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let short_backoff = |_: &mut CallPacer, tries: u32| match tries {
        0 => Duration::ZERO,
        _ => (MIN_BACKOFF * 2u32.pow(tries.min(6)))
            .min(Duration::from_secs(3))
            .mul_f64(0.5 + 0.5 * rng.random::<f64>()),
    };
    let few = simulate(100, 0.05, 20.0, short_backoff);
    assert!(few < 60, "the simulation shows the failure: {few}");
    for (routers, turn, until) in [
        (3, 0.2, 2.0),
        (30, 0.05, 3.0),
        (100, 0.02, 4.0),
        (100, 0.05, 20.0),
        // Serves one call of each router in 4 s.
        (350, 0.0114, 12.0),
        (1_024, 0.0039, 12.0),
    ] {
        let served = simulate(routers, turn, until, paced);
        assert_eq!(served, routers as usize, "{turn} s a call");
    }
}

/// After any failed call the next one starts in time for its answer to come before the news deadline. Guards against
/// backoff, jitter and pacing that are each short enough but too long together.
#[test]
fn call_after_any_failure_meets_the_news_deadline() {
    assert!(
        MAX_CALL_INTERVAL + ANSWER_TIME <= MAX_CHANGE_DELAY - Duration::from_millis(200),
        "with the delivery of the news"
    );
    for routers in [1, 3, 30, 300, 1_024, 10_000] {
        for seed in 0..50 {
            let mut calls = CallPacer::new(routers, seed);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            for _ in 0..40 {
                let ended = [CallEnd::WatchEnded, CallEnd::Refused, CallEnd::Refused, CallEnd::Unavailable]
                    [rng.random_range(0..4)];
                let took = Duration::from_millis([0, 5, 300, 900, 2_300, 3_600][rng.random_range(0..6)]);
                let next = calls.next_delay(ended, took);
                let latest = took.max(MAX_CALL_INTERVAL) + MIN_BACKOFF;
                assert!(took + next <= latest, "{routers} routers, {ended:?} after {took:?}: {next:?}");
                assert!(next >= MIN_BACKOFF / 2, "{next:?}: no busy loop");
            }
        }
    }
}

/// All routers together keep to the common rate, as far as the longest call interval allows.
#[test]
fn calls_of_all_routers_keep_the_common_rate() {
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
fn first_calls_are_early_and_spread() {
    let firsts: Vec<Duration> = (0..100).map(|seed| CallPacer::new(100, seed).first_delay()).collect();
    assert!(firsts.iter().all(|wait| *wait <= MAX_FIRST_DELAY));
    assert!(MAX_FIRST_DELAY < Duration::from_millis(500), "the drain rule allows no more");
    let early = firsts.iter().filter(|wait| **wait < MAX_FIRST_DELAY / 2).count();
    assert!((30..=70).contains(&early), "{early} of 100 in the first half");
    assert!(CallPacer::new(3, 1).first_delay() < Duration::from_millis(100), "few routers call at once");
}

#[test]
fn backoff_is_short_while_discovery_is_unavailable() {
    let mut calls = CallPacer::new(100, 1);
    (0..20).for_each(|_| _ = calls.next_delay(CallEnd::Refused, Duration::ZERO));
    (0..20).for_each(|_| assert!(calls.next_delay(CallEnd::Unavailable, Duration::ZERO) <= MAX_BACKOFF));
    calls.reset();
    assert!(calls.next_delay(CallEnd::Unavailable, Duration::ZERO) <= MIN_BACKOFF * 2);
}

/// A dead watch and two calls that hang, with the delays before them, leave time for a third call before the news
/// deadline. Guards against timeouts that are each short enough but too long together.
#[test]
fn two_hanging_calls_leave_time_for_a_third() {
    let source = ListSource::LocalAgent;
    let delay = source.cap_delay(Duration::from_secs(60));
    let third = WATCH_TIMEOUT + (delay + source.head_timeout()) * 2 + delay;
    assert!(third + Duration::from_secs(1) <= MAX_CHANGE_DELAY, "the third call begins after {third:?}");
    assert!(source.connect_timeout() <= source.head_timeout());
}

/// A queued call is not given up before discovery would refuse it, and delays are not cut short.
#[test]
fn queued_calls_are_not_given_up_early() {
    let delay = Duration::from_secs(20);
    assert_eq!(ListSource::SharedService.cap_delay(delay), delay);
    assert!(ListSource::SharedService.head_timeout() >= Duration::from_millis(3_600));
    // A call that hangs while connecting, or after that, leaves time for the next.
    let mut calls = CallPacer::new(1_024, 1);
    for took in [ListSource::SharedService.connect_timeout(), ListSource::SharedService.head_timeout()] {
        let next = took + calls.next_delay(CallEnd::Unavailable, took);
        assert!(next + ANSWER_TIME <= MAX_CHANGE_DELAY, "{took:?}: the next begins after {next:?}");
    }
}
