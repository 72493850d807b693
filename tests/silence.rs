//! Silent servers: detection from all unanswered attempts together, half-open probes one at a time, and recovery.

mod common;

use common::*;
use shedrelay::*;

/// Usual time until an answer begins.
const USUAL_MS: u64 = 20;

/// Number of concurrent streams.
const STREAMS: usize = 12;

/// Two readers, three writers, and enough answers that latencies are known.
fn warmed_up(effect: Effect) -> Harness {
    let writers = (11..14).map(|writer| member(writer, 1, 0));
    let members = [member(1, 0, 0), member(2, 0, 0)].into_iter().chain(writers).collect();
    let mut harness = Harness::new(settings(effect), members);
    for id in 1..=40 {
        read_request(&mut harness, id);
        harness.now += USUAL_MS * MS;
        harness.first_token(id, 1);
        harness.end_attempt(id, 1, Verdict::Ok);
    }
    harness
}

/// Sends a request through its read; returns the writer that it goes to, if any.
fn read_request(harness: &mut Harness, id: u64) -> Option<u64> {
    if sent_to(&harness.request(id, None)).is_empty() {
        return None;
    }
    harness.now += MS;
    sent_to(&harness.end_attempt(id, 0, Verdict::Read)).first().copied()
}

fn cancelled(actions: &[Action]) -> Vec<u64> {
    let of = |action: &Action| match action {
        Action::Cancel { request, .. } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Sends a request every 10 ms; writers in `silent` do not answer. Returns the requests sent to those.
fn send_with_silent_writers(harness: &mut Harness, first: u64, ms: u64, silent: &[u64]) -> Vec<u64> {
    let (mut unanswered, mut streams) = (Vec::new(), std::collections::VecDeque::new());
    for id in first..first + ms / 10 {
        match read_request(harness, id) {
            Some(writer) if silent.contains(&writer) => unanswered.push(id),
            // Streams go on for a while, so that all writers stay about equally full.
            Some(_) => {
                harness.first_token(id, 1);
                streams.push_back(id);
            }
            None => {}
        }
        if streams.len() > STREAMS
            && let Some(done) = streams.pop_front()
        {
            harness.end_attempt(done, 1, Verdict::Ok);
        }
        harness.advance(20);
        harness.now -= 11 * MS;
    }
    streams.into_iter().for_each(|id| drop(harness.end_attempt(id, 1, Verdict::Ok)));
    unanswered
}

#[test]
fn silent_writer_is_excluded_within_a_fraction_of_a_second() {
    let mut harness = warmed_up(Effect::Safe);
    let unanswered = send_with_silent_writers(&mut harness, 100, 1_000, &[11]);
    assert!((1..20).contains(&unanswered.len()), "{unanswered:?}");
    let cancelled_ids = cancelled(&harness.actions);
    assert!(unanswered.iter().all(|id| cancelled_ids.contains(id)), "{cancelled_ids:?} of {unanswered:?}");
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
}

#[test]
fn unsafe_requests_at_a_silent_writer_are_not_cancelled() {
    let mut harness = warmed_up(Effect::Unsafe);
    let unanswered = send_with_silent_writers(&mut harness, 100, 1_000, &[11]);
    assert!((1..20).contains(&unanswered.len()), "{unanswered:?}");
    assert!(cancelled(&harness.actions).is_empty());
}

#[test]
fn silent_writer_is_probed_with_one_request_at_a_time() {
    let mut harness = warmed_up(Effect::Safe);
    for id in send_with_silent_writers(&mut harness, 100, 600, &[11]) {
        if !sent_to(&harness.end_attempt(id, 1, Verdict::Cancelled)).is_empty() {
            harness.first_token(id, 2);
            harness.end_attempt(id, 2, Verdict::Ok);
        }
    }
    // Its faults have decayed, so it may be tried again; it still does not answer.
    harness.advance(30_000);
    let tried = send_with_silent_writers(&mut harness, 1_000, 1_500, &[11]);
    assert_eq!(tried.len(), 1, "{tried:?}");
    // The attempt is answered after all: the server is used again.
    harness.first_token(tried[0], 1);
    harness.end_attempt(tried[0], 1, Verdict::Ok);
    let writers: Vec<_> = (2_000..2_040).filter_map(|id| read_request(&mut harness, id)).collect();
    assert!(writers.iter().filter(|writer| **writer == 11).count() > 3, "{writers:?}");
}

/// After a failed connection to the only writer, a request that may run only once does not probe it, and is not even
/// read, until the writer had no request for a long time.
#[test]
fn unsafe_requests_do_not_probe_an_excluded_writer_at_first() {
    let tries = |effect: Effect, after_ms: u64| {
        let mut harness = Harness::new(settings(effect), vec![member(1, 0, 0), member(11, 1, 0)]);
        assert_eq!(read_request(&mut harness, 1), Some(11));
        harness.end_attempt(1, 1, Verdict::NoRoute);
        harness.advance(after_ms);
        sent_to(&harness.request(2, None)) == [1]
    };
    assert!(tries(Effect::Safe, 2_000));
    assert!(!tries(Effect::Unsafe, 2_000));
    assert!(tries(Effect::Unsafe, 9_000), "without other requests it must be probed in the end");
}

/// Network cuts affect several servers at once, so after one is found silent one late attempt excludes a peer.
#[test]
fn one_late_attempt_excludes_a_silent_writers_peer() {
    let peers_excluded = |after_cut_ms: u64| {
        let mut harness = warmed_up(Effect::Safe);
        (100..115).for_each(|id| assert!(read_request(&mut harness, id).is_some()));
        harness.advance(140);
        [12, 13].into_iter().for_each(|peer| drop(harness.handle(Event::Activity(ServerId(peer)))));
        harness.advance(100);
        assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
        harness.advance(after_cut_ms);
        assert!(read_request(&mut harness, 1_000).is_some());
        harness.advance(240);
        harness.router.excluded_servers(Time(harness.now)) - 1
    };
    assert_eq!(peers_excluded(0), 1);
    assert_eq!(peers_excluded(1_100), 0, "long after the cut one late attempt may just be long");
}

#[test]
fn writer_with_active_streams_is_not_excluded() {
    let mut harness = warmed_up(Effect::Safe);
    for id in 100..160 {
        read_request(&mut harness, id);
        harness.handle(Event::Activity(ServerId(11)));
        harness.handle(Event::Activity(ServerId(12)));
        harness.handle(Event::Activity(ServerId(13)));
        harness.advance(20);
    }
    assert!(
        cancelled(&harness.actions).is_empty() && harness.router.excluded_servers(Time(harness.now)) == 0
    );
}

#[test]
fn sign_of_life_ends_an_exclusion() {
    let mut harness = warmed_up(Effect::Safe);
    send_with_silent_writers(&mut harness, 100, 600, &[11]);
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
    harness.handle(Event::Activity(ServerId(11)));
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 0);
}

#[test]
fn uniformly_slow_writers_are_not_excluded() {
    let mut harness = warmed_up(Effect::Safe);
    // All answers take half a second from now on, and the usual latency follows.
    let mut out: Vec<(u64, u64)> = Vec::new();
    for id in 100..400 {
        if read_request(&mut harness, id).is_some() {
            out.push((id, harness.now + 500 * MS));
        }
        harness.advance(20);
        while out.first().is_some_and(|(_, due)| *due <= harness.now) {
            let (done, _) = out.remove(0);
            harness.first_token(done, 1);
            harness.end_attempt(done, 1, Verdict::Ok);
        }
    }
    let cancelled_ids = cancelled(&harness.actions);
    assert!(cancelled_ids.iter().all(|id| *id < 200), "only until the latency is known: {cancelled_ids:?}");
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 0);
}

#[test]
fn stalled_router_excludes_no_server() {
    let mut harness = warmed_up(Effect::Safe);
    (100..112).for_each(|id| assert!(read_request(&mut harness, id).is_some()));
    harness.advance(20);
    harness.now += 400 * MS;
    harness.handle(Event::Timer(TimerId(1)));
    assert!(cancelled(&harness.actions).is_empty());
}

/// After its state was released, a request must be read again instead of being sent to a writer that has nothing to
/// fetch.
#[test]
fn request_with_released_state_is_read_again() {
    let mut harness = warmed_up(Effect::Safe);
    let writer = read_request(&mut harness, 100).expect("a writer");
    harness.advance(500);
    let actions = harness.handle(Event::LeaseReleased(RequestId(100)));
    assert_eq!(cancelled(&actions), [100], "no sign of life");
    let next = sent_to(&harness.end_attempt(100, 1, Verdict::Cancelled));
    assert!(next == [1] || next == [2], "{next:?}");
    assert_ne!(sent_to(&harness.end_attempt(100, 2, Verdict::Read)), [writer]);
}

/// Without a usable writer a request waits for one, as long as it may be read again.
#[test]
fn request_without_a_usable_writer_waits_in_the_queue() {
    let mut harness = warmed_up(Effect::Safe);
    let first = read_request(&mut harness, 100).expect("a writer");
    let second = sent_to(&harness.end_attempt(100, 1, Verdict::NoRoute))[0];
    assert!(read_request(&mut harness, 101).is_some_and(|third| third != first));
    harness.end_attempt(100, 2, Verdict::NoRoute);
    let actions = harness.end_attempt(101, 1, Verdict::NoRoute);
    assert!(!refused(&actions) && sent_to(&actions).is_empty() && released(&actions), "{actions:?}");
    harness.handle(Event::Activity(ServerId(second)));
    let actions = harness.advance(60);
    let read_again = |action: &Action| matches!(action, Action::Send { request: RequestId(101), .. });
    assert!(actions.iter().any(read_again), "{actions:?}");
}

/// A silent writer's requests go to its peers, which may be affected too: each gets few attempts until a sign of life.
#[test]
fn peer_of_a_silent_writer_gets_few_attempts_until_a_sign_of_life() {
    let attempts_at_peer = |heard: bool| {
        let mut harness = warmed_up(Effect::Safe);
        (100..115).for_each(|id| assert!(read_request(&mut harness, id).is_some()));
        harness.advance(140);
        let peers_show_life = |harness: &mut Harness| {
            [12, 13]
                .into_iter()
                .for_each(|peer| assert!(harness.handle(Event::Activity(ServerId(peer))).is_empty()))
        };
        peers_show_life(&mut harness);
        harness.advance(100);
        assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
        if heard {
            peers_show_life(&mut harness);
        }
        let writers: Vec<u64> = (1_000..1_040).filter_map(|id| read_request(&mut harness, id)).collect();
        writers.iter().filter(|writer| **writer == 12).count()
    };
    let (few, more) = (attempts_at_peer(false), attempts_at_peer(true));
    assert!((1..=6).contains(&few) && more > 6, "{few} and {more}");
}

/// The end of a stream because its client left is no sign of life of the server.
#[test]
fn leaving_client_is_no_sign_of_life_of_its_writer() {
    let mut harness = warmed_up(Effect::Safe);
    // Streams at all three writers, and a few unanswered attempts at the silent one.
    let mut streams = Vec::new();
    for id in 100..160 {
        if let Some(writer) = read_request(&mut harness, id) {
            harness.first_token(id, 1);
            streams.extend((writer == 11).then_some(id));
        }
    }
    let unanswered = (200..215).filter(|id| read_request(&mut harness, *id) == Some(11)).count();
    assert!(streams.len() > 13 && unanswered >= 3, "{streams:?}, {unanswered} attempts");
    for left in streams.into_iter().take(13) {
        [12, 13].into_iter().for_each(|peer| drop(harness.handle(Event::Activity(ServerId(peer)))));
        harness.handle(Event::ClientLeft(RequestId(left)));
        harness.end_attempt(left, 1, Verdict::Ok);
        harness.advance(20);
    }
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
}
