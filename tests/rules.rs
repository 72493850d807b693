//! The five rules of routing, one by one and in seeded runs of random valid events.

mod common;

use common::*;
use shedrelay::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn read_is_followed_at_once_by_a_writer_of_its_cell() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let reader = sent_to(&harness.request(1, Some(5)))[0];
    let writer = sent_to(&harness.end_attempt(1, 0, Verdict::Read));
    assert_eq!(writer, vec![reader + 10]);
}

#[test]
fn queued_request_is_answered_before_its_deadline() {
    let mut harness = Harness::new(settings(Effect::Unsafe), vec![]);
    assert!(harness.request(1, None).is_empty());
    let start = harness.now;
    let done = harness.advance(5_000);
    assert!(refused(&done));
    assert_eq!(done.len(), 1, "one answer and nothing after it");
    assert!(harness.now >= start);
    let mut tight = Harness::new(settings(Effect::Unsafe), vec![]);
    tight.request(1, None);
    assert!(refused(&tight.advance(1_100)), "refused by its aim, not at the deadline");
}

#[test]
fn request_with_hardly_any_time_is_refused_at_once() {
    let mut harness = Harness::new(settings(Effect::Unsafe), vec![]);
    let done = harness.handle(Event::Request(Request {
        id: RequestId(1),
        prompt_len: 1_000.0,
        budget: Span::from_millis(10),
        ..Request::default()
    }));
    assert!(refused(&done), "{done:?}");
}

/// An attempt sent for such a request is cut off at once, so the refusal would follow an attempt that may have run.
/// Seen in the simulator's `roll+brink` scenario.
#[test]
fn request_with_hardly_any_time_is_not_sent_despite_room() {
    for effect in [Effect::Safe, Effect::Unsafe, Effect::Keyed(DedupScope::All, Span::from_millis(5_000))] {
        for budget in [0, 1, 10, 50] {
            let mut harness = Harness::new(settings(effect), fleet());
            let done = harness.handle(Event::Request(Request {
                id: RequestId(1),
                prompt_len: 1_000.0,
                budget: Span::from_millis(budget),
                ..Request::default()
            }));
            assert!(refused(&done) && sent_to(&done).is_empty(), "{budget} ms: {done:?}");
        }
    }
}

#[test]
fn timeout_at_the_deadline_is_answered() {
    for (effect, refuse) in [(Effect::Safe, true), (Effect::Unsafe, false)] {
        let mut harness = Harness::new(settings(effect), fleet());
        harness.request(1, None);
        harness.end_attempt(1, 0, Verdict::Read);
        harness.now += 5_000 * MS;
        let done = harness.end_attempt(1, 1, Verdict::Timeout);
        assert_eq!(refused(&done), refuse);
        assert_eq!(failed(&done), !refuse);
        assert!(released(&done));
    }
}

#[test]
fn unsafe_request_that_may_have_run_fails() {
    for verdict in [Verdict::Error, Verdict::Spoilt, Verdict::Reset, Verdict::Cancelled, Verdict::Timeout] {
        let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
        harness.request(1, None);
        harness.end_attempt(1, 0, Verdict::Read);
        let done = harness.end_attempt(1, 1, verdict);
        assert!(failed(&done) && sent_to(&done).is_empty() && released(&done), "{verdict:?}: {done:?}");
    }
}

#[test]
fn unsafe_request_that_never_ran_is_retried() {
    for verdict in [Verdict::Full, Verdict::NoRoute] {
        let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
        harness.request(1, None);
        let first = sent_to(&harness.end_attempt(1, 0, Verdict::Read));
        let second = sent_to(&harness.end_attempt(1, 1, verdict));
        assert_eq!(second.len(), 1);
        assert_ne!(first, second);
    }
}

#[test]
fn failed_read_is_retried() {
    let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
    let first = sent_to(&harness.request(1, None));
    let second = sent_to(&harness.end_attempt(1, 0, Verdict::Error));
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

#[test]
fn keyed_request_is_retried_only_in_its_scope_and_window() {
    let window = Span::from_millis(2_000);
    let two_cells = || vec![member(1, 0, 0), member(11, 1, 0), member(12, 1, 1), member(13, 1, 0)];
    let mut harness = Harness::new(settings(Effect::Keyed(DedupScope::Cell, window)), two_cells());
    harness.request(1, None);
    let first = sent_to(&harness.end_attempt(1, 0, Verdict::Read))[0];
    let second = sent_to(&harness.end_attempt(1, 1, Verdict::Error));
    assert_eq!(second, vec![24 - first], "the other writer of cell 0");
    let last = harness.end_attempt(1, 2, Verdict::Error);
    assert!(failed(&last) && sent_to(&last).is_empty() && released(&last));

    let mut late = Harness::new(settings(Effect::Keyed(DedupScope::All, window)), two_cells());
    late.request(1, None);
    late.end_attempt(1, 0, Verdict::Read);
    late.now += 2_500 * MS;
    let done = late.end_attempt(1, 1, Verdict::Error);
    assert!(sent_to(&done).is_empty(), "the window is over");
    assert!(failed(&done) && !refused(&done), "a retry by the client would run it twice");
}

/// If all servers drop repeats, a refusal is safe only until the retry would come after their dedup window.
#[test]
fn keyed_request_is_refused_only_while_repeats_are_dropped() {
    for (spent, backoff, harmless) in
        [(500, 300, true), (1_500, 300, true), (1_800, 300, false), (1_800, 0, true)]
    {
        let mut config = settings(Effect::Keyed(DedupScope::All, Span::from_millis(2_000)));
        config.max_attempts = 2;
        config.refusal_backoff = Some(Span::from_millis(backoff));
        let mut harness = Harness::new(config, fleet());
        harness.request(1, None);
        harness.end_attempt(1, 0, Verdict::Read);
        harness.now += spent * MS;
        let done = harness.end_attempt(1, 1, Verdict::Error);
        assert_eq!(
            (refused(&done), failed(&done)),
            (harmless, !harmless),
            "{spent} ms, backoff {backoff} ms"
        );
    }
}

/// A read that was given up has no effect, but its server may not have noticed yet: a client's retry after a refusal
/// could arrive before the close of the connection.
#[test]
fn abandoned_read_fails_instead_of_being_refused() {
    let keyed = |scope| Effect::Keyed(scope, Span::from_millis(2_000));
    let once = [Effect::Unsafe, keyed(DedupScope::Zone), keyed(DedupScope::Cell)];
    for (effect, evidence, verdict) in once.into_iter().flat_map(|effect| {
        [
            (Evidence::Router, Verdict::Timeout),
            (Evidence::Router, Verdict::Cancelled),
            (Evidence::Server, Verdict::Reset),
        ]
        .map(|(evidence, verdict)| (effect, evidence, verdict))
    }) {
        let mut harness = Harness::new(settings(effect), fleet());
        harness.request(1, None);
        harness.now += 5_000 * MS;
        let (request, attempt) = (RequestId(1), Attempt(0));
        let outcome = Outcome {
            request,
            attempt,
            verdict,
            evidence,
            settled: false,
            cached_tokens: None,
            report: None,
        };
        let done = harness.handle(Event::Outcome(outcome));
        assert_eq!(refused(&done), evidence == Evidence::Server, "{effect:?} {verdict:?}: {done:?}");
        assert_eq!(failed(&done), evidence == Evidence::Router);
    }
}

#[test]
fn lost_state_is_released_and_read_again() {
    let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
    harness.request(1, None);
    harness.end_attempt(1, 0, Verdict::Read);
    let again = harness.end_attempt(1, 1, Verdict::NoState);
    assert!(released(&again));
    assert!(sent_to(&again)[0] < 10, "a reader: {again:?}");
}

#[test]
fn spoilt_answer_is_read_again() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    harness.request(1, None);
    harness.end_attempt(1, 0, Verdict::Read);
    let again = sent_to(&harness.end_attempt(1, 1, Verdict::Spoilt));
    assert!(
        again.len() == 1 && again[0] < 10,
        "a reader, not a writer that has no state to fetch: {again:?}"
    );
}

#[test]
fn state_is_released_when_the_client_leaves() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    harness.request(1, None);
    let gone = harness.handle(Event::ClientLeft(RequestId(1)));
    assert_eq!(gone, vec![Action::Cancel { request: RequestId(1), attempt: Attempt(0) }]);
    assert_eq!(harness.end_attempt(1, 0, Verdict::Read), vec![Action::Release(RequestId(1))]);
}

#[test]
fn draining_and_missing_servers_get_no_requests() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    harness.request(1, None);
    let mut draining = fleet();
    draining[2].state = ServerState::Draining;
    harness.handle(Event::Members(Members::Changes(draining)));
    assert_eq!(sent_to(&harness.end_attempt(1, 0, Verdict::Read)), vec![12]);
    harness.handle(Event::Members(Members::Full(vec![member(2, 0, 1), member(11, 1, 0)])));
    for id in 2..6 {
        let sent = sent_to(&harness.request(id, None));
        assert!(sent.iter().all(|server| *server == 2), "reader 1 is gone: {sent:?}");
    }
}

#[test]
fn attempts_stay_within_the_maximum() {
    let mut config = settings(Effect::Safe);
    config.max_attempts = 3;
    let mut harness = Harness::new(config, fleet());
    harness.request(1, None);
    harness.end_attempt(1, 0, Verdict::Read);
    harness.end_attempt(1, 1, Verdict::Full);
    let done = harness.end_attempt(1, 2, Verdict::Full);
    assert!(refused(&done) && released(&done) && sent_to(&done).is_empty());
}

/// Sends to a cold reader in its first seconds while its peer answers `per_s` reads per second.
fn sends_to_cold(per_s: u64, warm_first: bool) -> usize {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let (mut id, mut sends) = (0, 0);
    for step in 0..100 {
        if step == if warm_first { 50 } else { 0 } {
            let mut cold = member(2, 0, 0);
            cold.up_since = Some(Time(harness.now));
            harness.handle(Event::Members(Members::Changes(vec![cold])));
        }
        for _ in 0..per_s / 10 {
            id += 1;
            let sent = sent_to(&harness.request(id, None));
            sends += sent.iter().filter(|server| **server == 2).count();
            harness.now += MS;
            let to_writer = !sent_to(&harness.end_attempt(id, 0, Verdict::Read)).is_empty();
            if to_writer {
                harness.first_token(id, 1);
                harness.end_attempt(id, 1, Verdict::Ok);
            }
        }
        sends += sent_to(&harness.advance(100)).iter().filter(|server| **server == 2).count();
    }
    sends
}

#[test]
fn cold_server_gets_only_its_share() {
    // The warm peer answers 20 per second; 0.3 x 3 x 20 allows 18 per second, at most 90 over 5 s.
    let after = sends_to_cold(20, true);
    assert!((3..=50).contains(&after), "{after}");
    // A router that has just started does not know the rate yet and sends even fewer.
    let at_start = sends_to_cold(20, false);
    assert!((1..=100).contains(&at_start), "{at_start}");
}

#[test]
fn rejections_by_a_cold_server_do_not_raise_its_rate() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(11, 1, 0)]);
    let mut cold = member(2, 0, 0);
    cold.up_since = Some(Time(harness.now));
    harness.handle(Event::Members(Members::Changes(vec![cold])));
    let mut sends = 0;
    for id in 1..=300 {
        let mut out = harness.request(id, None);
        out.extend(harness.advance(20));
        for action in &out {
            if let Action::Send { request, .. } = action {
                sends += 1;
                harness.end_attempt(request.0, 0, Verdict::Full);
            }
        }
    }
    assert!((1..=8).contains(&sends), "{sends} sends in 6 s to a server that rejects all");
}

struct OpenRequest {
    in_flight: Option<(u32, u64)>,
    attempts: u32,
    ran: bool,
    lease_since: Option<u64>,
    deadline: u64,
}

/// Random valid events. Asserts that each request gets one final answer, has one attempt in flight and takes effect at
/// most once, that draining servers get nothing, and that states are released.
fn random_run(seed: u64, effect: Effect) {
    let mut harness = Harness::new(settings(effect), fleet());
    let mut all = fleet();
    all.push(member(21, 2, 0));
    let mut state = seed;
    let mut random = move |n: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % n
    };
    let mut open: BTreeMap<u64, OpenRequest> = BTreeMap::new();
    let mut abandoned: BTreeMap<u64, (u32, u64)> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let mut draining = BTreeSet::new();
    let mut next = 0;
    for _ in 0..2_000 {
        let mut actions = Vec::new();
        match random(10) {
            0..=2 => {
                next += 1;
                let deadline = harness.now + 5_000 * MS;
                let fresh =
                    OpenRequest { in_flight: None, attempts: 0, ran: false, lease_since: None, deadline };
                open.insert(next, fresh);
                actions = harness.request_in_session(next, random(20), Some(random(4)));
            }
            3..=6 => {
                let ready: Vec<u64> =
                    open.iter().filter(|(_, o)| o.in_flight.is_some()).map(|(id, _)| *id).collect();
                if !ready.is_empty() {
                    let id = ready[random(ready.len() as u64) as usize];
                    let job = open.get_mut(&id).expect("open");
                    let (attempt, server) = job.in_flight.take().expect("out");
                    let verdict = match (server < 10, random(8)) {
                        (true, 0..=4) => Verdict::Read,
                        (false, 0..=2) => Verdict::Ok,
                        (false, 3) => Verdict::NoState,
                        (_, 4) => Verdict::Full,
                        (_, 5) => Verdict::Error,
                        (_, 6) => Verdict::Reset,
                        _ => Verdict::NoRoute,
                    };
                    match verdict {
                        Verdict::Read => job.lease_since = Some(harness.now),
                        Verdict::Error | Verdict::Reset => job.ran |= server > 10,
                        _ => {}
                    }
                    if verdict == Verdict::Ok {
                        actions = harness.first_token(id, attempt);
                        answered.insert(id);
                        open.remove(&id);
                    }
                    actions.extend(harness.end_attempt(id, attempt, verdict));
                }
            }
            7 => {
                let server = all[random(all.len() as u64) as usize].clone();
                let mut entry = server.clone();
                if draining.remove(&server.server.0) {
                    entry.up_since = Some(Time(harness.now));
                } else if draining.len() < 2 {
                    entry.state = ServerState::Draining;
                    draining.insert(server.server.0);
                }
                actions = harness.handle(Event::Members(Members::Changes(vec![entry])));
            }
            8 if !open.is_empty() && random(4) == 0 => {
                let ids: Vec<u64> = open.keys().copied().collect();
                let id = ids[random(ids.len() as u64) as usize];
                let job = open.remove(&id).expect("open");
                answered.insert(id);
                if let Some(out) = job.in_flight {
                    abandoned.insert(id, out);
                }
                actions = harness.handle(Event::ClientLeft(RequestId(id)));
            }
            _ => {
                harness.now += random(60) * MS;
                actions.extend(harness.handle(Event::Timer(TimerId(1))));
            }
        }
        let mut queue = actions;
        while !queue.is_empty() {
            let mut more = Vec::new();
            for action in queue {
                match action {
                    Action::Send { request, server, .. } => {
                        let job = open.get_mut(&request.0).expect("a send for an open request");
                        assert!(job.in_flight.is_none(), "two attempts in flight");
                        assert!(!draining.contains(&server.0), "sent to a draining server");
                        assert!(harness.now < job.deadline, "sent after the deadline");
                        let reading = server.0 < 10;
                        assert!(reading || !job.ran || effect != Effect::Unsafe, "ran twice");
                        job.in_flight = Some((job.attempts, server.0));
                        job.attempts += 1;
                        assert!(job.attempts <= 6);
                        job.lease_since = None;
                    }
                    Action::Refuse { request, .. } => {
                        let job = open.remove(&request.0).expect("refused once");
                        assert!(job.in_flight.is_none() && !(job.ran && effect == Effect::Unsafe));
                        assert!(answered.insert(request.0));
                    }
                    Action::Fail(request) => {
                        assert!(open.remove(&request.0).expect("failed once").in_flight.is_none());
                        assert!(answered.insert(request.0));
                    }
                    Action::Release(request) => {
                        if let Some(job) = open.get_mut(&request.0) {
                            job.lease_since = None;
                        }
                    }
                    Action::Cancel { request, attempt } => {
                        let out = open.get_mut(&request.0).and_then(|job| job.in_flight.take());
                        let out = out.or_else(|| abandoned.remove(&request.0));
                        if let Some((current, server)) = out {
                            assert_eq!(current, attempt.0);
                            if let Some(job) = open.get_mut(&request.0) {
                                job.ran |= server > 10;
                            }
                            more.extend(harness.end_attempt(request.0, attempt.0, Verdict::Cancelled));
                        }
                    }
                    _ => {}
                }
            }
            queue = more;
        }
        // The service times out requests at their deadline.
        let due: Vec<u64> =
            open.iter().filter(|(_, o)| harness.now >= o.deadline).map(|(id, _)| *id).collect();
        for id in due {
            let job = open.remove(&id).expect("open");
            let late = (harness.now - job.deadline) / MS;
            let (attempt, _) = job.in_flight.unwrap_or_else(|| {
                panic!("request {id} is unanswered, {late} ms late, {} attempts", job.attempts)
            });
            let done = harness.end_attempt(id, attempt, Verdict::Timeout);
            let mine = |action: &&Action| matches!(action, Action::Refuse { request, .. } | Action::Fail(request) if request.0 == id);
            assert_eq!(done.iter().filter(mine).count(), 1, "{done:?}");
            answered.insert(id);
            for action in done {
                if let Action::Send { request, server, .. } = action {
                    let job = open.get_mut(&request.0).expect("open");
                    job.in_flight = Some((job.attempts, server.0));
                    job.attempts += 1;
                    job.lease_since = None;
                }
            }
        }
        for job in open.values().filter(|job| job.in_flight.is_none()) {
            assert!(job.lease_since.is_none_or(|since| harness.now - since < 300 * MS), "state not released");
        }
    }
    assert!(answered.len() > 100, "{} answered", answered.len());
}

#[test]
fn random_events_keep_all_rules() {
    for seed in 1..=6 {
        random_run(seed, Effect::Safe);
        random_run(seed, Effect::Unsafe);
        random_run(seed, Effect::Keyed(DedupScope::All, Span::from_millis(5_000)));
    }
}
