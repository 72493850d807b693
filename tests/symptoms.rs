//! Reactions of the router to each kind of fault, load and change.

mod common;

use common::*;
use shedrelay::*;

/// Serves a request to its end; read and answer take `ms` each. Returns the reader.
fn serve(harness: &mut Harness, id: u64, prefix: Option<u64>, ms: u64) -> Option<u64> {
    let reader = *sent_to(&harness.request(id, prefix)).first()?;
    harness.now += ms * MS;
    harness.end_attempt(id, 0, Verdict::Read);
    harness.now += ms * MS;
    harness.first_token(id, 1);
    harness.end_attempt(id, 1, Verdict::Ok);
    Some(reader)
}

#[test]
fn silent_reader_is_cancelled_and_excluded_while_peers_serve() {
    let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
    let silent = sent_to(&harness.request(1, Some(5)))[0];
    let actions = harness.advance(2_300);
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: Attempt(0) }));
    let next = sent_to(&harness.end_attempt(1, 0, Verdict::Cancelled))[0];
    assert_ne!(next, silent);
    assert_eq!(serve(&mut harness, 2, Some(5), 5), Some(next), "the home is excluded");
}

/// A server may lose single requests and answer all others; a lost one must not wait until its deadline.
#[test]
fn overtaken_request_is_cancelled() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    // Makes the usual latencies known.
    for id in 1..6 {
        serve(&mut harness, id, Some(5), 10);
    }
    let lost = sent_to(&harness.request(10, Some(5)));
    let mut overtaken = 0;
    let mut done = Vec::new();
    for id in 20..60 {
        done.extend(harness.advance(20));
        let to = sent_to(&harness.request(id, Some(5)));
        harness.now += 10 * MS;
        if to.is_empty() {
            continue;
        }
        overtaken += u32::from(to == lost);
        done.extend(harness.end_attempt(id, 0, Verdict::Read));
        harness.first_token(id, 1);
        harness.end_attempt(id, 1, Verdict::Ok);
        if done.iter().any(|action| matches!(action, Action::Cancel { request: RequestId(10), .. })) {
            break;
        }
    }
    assert!(overtaken >= 3);
    let cancel = Action::Cancel { request: RequestId(10), attempt: Attempt(0) };
    assert!(done.contains(&cancel), "{done:?}");
    // The reader answers others, so it stays in use.
    harness.end_attempt(10, 0, Verdict::Cancelled);
    assert_eq!(sent_to(&harness.request(100, Some(5))), vec![1]);
}

#[test]
fn slow_reader_that_answers_others_is_waited_for() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    harness.request(1, None);
    harness.request(2, None);
    harness.advance(600);
    harness.end_attempt(1, 0, Verdict::Read);
    let actions = harness.advance(300);
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Cancel { request: RequestId(2), .. })),
        "{actions:?}"
    );
}

#[test]
fn unsafe_answer_is_never_cancelled() {
    let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
    harness.request(1, None);
    let writer = sent_to(&harness.end_attempt(1, 0, Verdict::Read))[0];
    let actions = harness.advance(2_000);
    assert!(actions.is_empty(), "{actions:?}");
    let reader = sent_to(&harness.request(2, None));
    assert_eq!(reader.len(), 1);
    assert_ne!(sent_to(&harness.end_attempt(2, 0, Verdict::Read)), vec![writer], "new requests avoid it");
}

#[test]
fn unreachable_server_is_excluded_and_tried_again() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let down = sent_to(&harness.request(1, Some(5)))[0];
    assert_ne!(sent_to(&harness.end_attempt(1, 0, Verdict::NoRoute)), vec![down]);
    assert_ne!(serve(&mut harness, 2, Some(5), 5), Some(down));
    harness.advance(2_000);
    let seen: Vec<_> = (3..40).filter_map(|id| serve(&mut harness, id, Some(100 + id), 5)).collect();
    assert!(seen.contains(&down), "it is tried again: {seen:?}");
}

/// Memory must not grow with each server that was ever listed.
#[test]
fn server_that_left_is_forgotten() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let list = |harness: &mut Harness, state| {
        let entry = Member { state, ..member(1, 0, 0) };
        harness.handle(Event::Members(Members::Changes(vec![entry])))
    };
    harness.request(1, None);
    assert!(sent_to(&harness.end_attempt(1, 0, Verdict::NoRoute)).is_empty(), "unreachable: excluded");
    list(&mut harness, ServerState::Removed);
    assert_eq!(sent_to(&list(&mut harness, ServerState::Active)).len(), 0, "tried there already");
    assert_eq!(sent_to(&harness.request(2, None)), vec![1], "its exclusion is forgotten");
    // Its state stays while an attempt of ours is in flight there.
    list(&mut harness, ServerState::Removed);
    harness.end_attempt(2, 0, Verdict::NoRoute);
    list(&mut harness, ServerState::Active);
    assert_eq!(sent_to(&harness.request(3, None)), vec![1]);
}

#[test]
fn errors_count_against_a_server_and_decay() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let home = sent_to(&harness.request(1, Some(5)))[0];
    harness.end_attempt(1, 0, Verdict::Error);
    for id in 2..8 {
        let sent = sent_to(&harness.request(id, Some(5)));
        harness.end_attempt(id, 0, if sent == vec![home] { Verdict::Error } else { Verdict::Read });
        harness.end_attempt(id, 1, Verdict::Ok);
    }
    harness.end_attempt(1, 1, Verdict::Read);
    harness.end_attempt(1, 2, Verdict::Ok);
    assert_ne!(serve(&mut harness, 20, Some(5), 5), Some(home));
    harness.advance(60_000);
    assert_eq!(serve(&mut harness, 21, Some(5), 5), Some(home));
}

/// Servers close the connection cleanly without an answer on requests that they cannot parse, which is no fault.
#[test]
fn clean_close_without_an_answer_is_no_fault() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let home = sent_to(&harness.request(1, Some(5)))[0];
    harness.end_attempt(1, 0, Verdict::Read);
    harness.end_attempt(1, 1, Verdict::Ok);
    let places: Vec<u64> = (2..6)
        .map(|id| {
            let place = sent_to(&harness.request(id, Some(5)))[0];
            let other = sent_to(&harness.end_attempt(id, 0, Verdict::Closed))[0];
            assert_ne!(place, other, "not tried twice with the same request");
            harness.end_attempt(id, 1, Verdict::Read);
            harness.end_attempt(id, 2, Verdict::Ok);
            place
        })
        .collect();
    assert_eq!(places, vec![home; 4]);
}

/// The table of cached sessions and prefixes is bounded, whatever keys clients send.
#[test]
fn full_cache_table_takes_no_new_entries() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let place = |harness: &mut Harness, id: u64, session: u64| {
        let place = sent_to(&harness.request_in_session(id, session, None))[0];
        harness.end_attempt(id, 0, Verdict::Read);
        harness.end_attempt(id, 1, Verdict::Ok);
        place
    };
    (0..5_000).for_each(|id| assert_eq!(place(&mut harness, id, id), 1));
    harness.handle(Event::Members(Members::Full(vec![member(1, 0, 0), member(2, 0, 0), member(11, 1, 0)])));
    let early: Vec<u64> = (0..10).map(|n| place(&mut harness, 6_000 + n, n)).collect();
    assert!(early.iter().all(|place| *place == 1), "known to be cached there: {early:?}");
    let late: Vec<u64> = (0..10).map(|n| place(&mut harness, 7_000 + n, 4_900 + n)).collect();
    assert!(late.contains(&2), "no room for their entries: {late:?}");
}

#[test]
fn slower_reader_gets_fewer_requests() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let mut counts = [0, 0];
    for id in 1..80 {
        let Some(reader) = sent_to(&harness.request(id, None)).first().copied() else { continue };
        counts[(reader - 1) as usize] += 1;
        harness.now += if reader == 1 { 400 } else { 50 } * MS;
        harness.end_attempt(id, 0, Verdict::Read);
        harness.first_token(id, 1);
        harness.end_attempt(id, 1, Verdict::Ok);
    }
    assert!(counts[0] * 2 < counts[1], "{counts:?}");
}

#[test]
fn full_server_is_not_flooded() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let mut sends = 0;
    for id in 1..=50 {
        let mut actions = harness.request(id, None);
        actions.extend(harness.advance(20));
        for action in &actions {
            if let Action::Send { request, .. } = action {
                sends += 1;
                harness.end_attempt(request.0, 0, Verdict::Full);
            }
        }
    }
    assert!((2..=15).contains(&sends), "{sends} sends in a second");
}

#[test]
fn lost_cache_clears_the_cache_table() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    // Session 900 was read at one reader.
    let known = sent_to(&harness.request_in_session(1, 900, None))[0];
    harness.end_attempt_with(1, 0, Verdict::Read, Some(0.0));
    harness.end_attempt(1, 1, Verdict::Ok);
    let other = sent_to(&harness.request_in_session(2, 901, None))[0];
    harness.end_attempt_with(2, 0, Verdict::Read, Some(0.0));
    harness.end_attempt(2, 1, Verdict::Ok);
    // The next turn of session 900 goes to the same reader, which has lost its cache.
    assert_eq!(sent_to(&harness.request_in_session(3, 900, None)), vec![known]);
    harness.now += MS;
    harness.end_attempt_with(3, 0, Verdict::Read, Some(0.0));
    harness.end_attempt(3, 1, Verdict::Ok);
    if other == known {
        // Session 901 was expected there too; now its hash decides as for a new session.
        let mut fresh = Harness::new(settings(Effect::Safe), fleet());
        let free = sent_to(&fresh.request_in_session(1, 901, None));
        assert_eq!(sent_to(&harness.request_in_session(4, 901, None)), free);
    }
    assert_eq!(
        sent_to(&harness.request_in_session(5, 900, None)),
        vec![known],
        "what it has just read counts as cached"
    );
}

#[test]
fn prefix_has_the_same_home_at_every_router() {
    let homes: Vec<Vec<u64>> = [1, 2, 3]
        .map(|seed| {
            (0..20)
                .map(|prefix| {
                    let mut router = Router::new(settings(Effect::Safe), seed).expect("valid");
                    let mut out = Vec::new();
                    router.handle(Time(MS), Event::Members(Members::Full(fleet())), &mut out);
                    let request = Request {
                        id: RequestId(1),
                        session: Some(Key(seed * 77)),
                        prefix: Some(Key(prefix)),
                        prefix_len: 1_500.0,
                        prompt_len: 2_000.0,
                        max_out: 100.0,
                        budget: Span::from_millis(5_000),
                        class: ClassId(0),
                        tenant: None,
                    };
                    router.handle(Time(MS), Event::Request(request), &mut out);
                    sent_to(&out)[0]
                })
                .collect()
        })
        .to_vec();
    assert_eq!(homes[0], homes[1]);
    assert_eq!(homes[1], homes[2]);
    assert!(homes[0].contains(&1) && homes[0].contains(&2), "and they differ: {:?}", homes[0]);
}

#[test]
fn requests_wait_for_a_busy_home() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let home = sent_to(&harness.request_in_session(1, 900, None))[0];
    harness.end_attempt(1, 0, Verdict::Read);
    harness.first_token(1, 1);
    harness.end_attempt(1, 1, Verdict::Ok);
    let places: Vec<u64> =
        (2..14).flat_map(|id| sent_to(&harness.request_in_session(id, 900, None))).collect();
    assert!(places.iter().all(|place| *place == home), "its prompt is cached there: {places:?}");
    assert!((2..12).contains(&places.len()), "the rest waits though the other reader is idle: {places:?}");
    assert_eq!(
        sent_to(&harness.end_attempt(2, 0, Verdict::Read)),
        vec![home + 10, home],
        "and takes the next place"
    );
}

/// A report does not include what was sent since. Reads in flight must count even beside fresh reports, or they pile
/// up at one reader by chance.
#[test]
fn reads_in_flight_count_beside_a_fresh_report() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    for id in [1, 2] {
        harness.request(id, None);
        harness.handle(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: Attempt(0),
            verdict: Verdict::Read,
            evidence: Evidence::Server,
            settled: false,
            cached_tokens: None,
            report: Some(Report { memory_share: 0.1 }),
        }));
    }
    let places: Vec<u64> = (10..20).flat_map(|id| sent_to(&harness.request(id, None))).collect();
    let first = places.iter().filter(|place| **place == 1).count();
    assert_eq!((first, places.len()), (5, 10), "{places:?}");
}

/// A rollout replaces the longest-running servers, and a stream breaks with its writer. During a rollout streams
/// therefore go to writers that started recently.
#[test]
fn rollout_sends_streams_to_recently_started_writers() {
    let young = Member { up_since: Some(Time(MS)), ..member(12, 1, 0) };
    let mut harness = Harness::new(
        settings(Effect::Safe),
        vec![member(1, 0, 0), member(11, 1, 0), young, member(13, 1, 0)],
    );
    harness.now += 60_000 * MS;
    let drains = Member { state: ServerState::Draining, ..member(13, 1, 0) };
    harness.handle(Event::Members(Members::Changes(vec![drains])));
    let writers = |harness: &mut Harness, first: u64| -> Vec<u64> {
        let ids = first..first + 4;
        let places: Vec<u64> = ids
            .clone()
            .flat_map(|id| {
                harness.request(id, None);
                sent_to(&harness.end_attempt(id, 0, Verdict::Read))
            })
            .collect();
        ids.for_each(|id| drop(harness.end_attempt(id, 1, Verdict::Ok)));
        places
    };
    assert_eq!(writers(&mut harness, 30), vec![12; 4]);
    harness.now += 11_000 * MS;
    assert!(writers(&mut harness, 40).contains(&11), "the rollout is over");
}

#[test]
fn hot_prefix_spreads_over_readers() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let places: Vec<u64> = (1..12).flat_map(|id| sent_to(&harness.request(id, Some(5)))).collect();
    assert!(places.contains(&1) && places.contains(&2), "{places:?}");
}

#[test]
fn overload_serves_the_class_of_higher_worth_first() {
    let mut two = settings(Effect::Safe);
    let mut valuable = two.classes[0].clone();
    valuable.worth = 5.0;
    two.classes.push(valuable);
    let mut harness = Harness::new(two, vec![member(1, 0, 0), member(11, 1, 0)]);
    let mut id = 0;
    while !sent_to(&harness.request(id, None)).is_empty() {
        id += 1;
    }
    harness.handle(Event::Request(Request {
        id: RequestId(900),
        session: None,
        prefix: None,
        prefix_len: 0.0,
        prompt_len: 2_000.0,
        max_out: 200.0,
        budget: Span::from_millis(5_000),
        class: ClassId(1),
        tenant: None,
    }));
    harness.now += MS;
    let actions = harness.end_attempt(0, 0, Verdict::Read);
    let next = actions.iter().find_map(|action| match action {
        Action::Send { request, server: ServerId(1), .. } => Some(request.0),
        _ => None,
    });
    assert_eq!(next, Some(900));
}

#[test]
fn restarted_router_needs_only_the_list() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    assert!((1..20).all(|id| serve(&mut harness, id, Some(id), 5).is_some()));
}

#[test]
fn restarted_server_starts_without_faults() {
    let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    harness.request(1, None);
    harness.end_attempt(1, 0, Verdict::NoRoute);
    assert!(sent_to(&harness.request(2, None)).is_empty() || harness.actions.len() > 1);
    let mut back = member(1, 0, 0);
    back.up_since = Some(Time(harness.now));
    harness.handle(Event::Members(Members::Changes(vec![back])));
    let mut sent = Vec::new();
    for id in 3..40 {
        sent.extend(sent_to(&harness.request(id, None)));
        sent.extend(sent_to(&harness.advance(200)));
    }
    assert!(sent.contains(&1));
}

#[test]
fn failed_list_call_is_retried_with_backoff() {
    let mut asking = settings(Effect::Safe);
    asking.subscribe_to_list = true;
    let mut router = Router::new(asking, 1).expect("valid");
    let mut out = Vec::new();
    router.handle(Time(1), Event::Members(Members::Full(fleet())), &mut out);
    assert!(out.contains(&Action::Subscribe));
    let mut waits = Vec::new();
    for _ in 0..3 {
        out.clear();
        router.handle(Time(2), Event::Members(Members::Failed), &mut out);
        let Some(Action::Timer { timer, after }) = out.first().cloned() else { panic!("no timer: {out:?}") };
        waits.push(after);
        out.clear();
        router.handle(Time(3), Event::Timer(timer), &mut out);
        assert_eq!(out, vec![Action::Subscribe]);
    }
    assert!(waits[0] < waits[1] && waits[1] < waits[2]);
}

#[test]
fn odd_settings_and_unknown_ids_are_tolerated() {
    for members in [vec![], vec![member(21, 2, 0)], vec![member(1, 0, 0)], vec![member(11, 1, 0)]] {
        let mut odd = settings(Effect::Safe);
        odd.kinds.iter_mut().for_each(|kind| kind.memory_tokens = Some(0.0));
        let mut harness = Harness::new(odd, members);
        harness.handle(Event::Request(Request {
            id: RequestId(1),
            session: None,
            prefix: None,
            prefix_len: 0.0,
            prompt_len: 0.0,
            max_out: 0.0,
            budget: Span::from_millis(100),
            class: ClassId(0),
            tenant: Some(TenantId(9)),
        }));
        harness.handle(Event::ClientLeft(RequestId(99)));
        harness.first_token(99, 0);
        harness.end_attempt(99, 0, Verdict::Ok);
        harness.end_attempt(1, 7, Verdict::Read);
        harness.handle(Event::Timer(TimerId(99)));
        harness.handle(Event::Probed { server: ServerId(99), ok: true, report: None });
        let sent = harness.actions.iter().any(|action| matches!(action, Action::Send { .. }));
        assert!(sent || refused(&harness.advance(100)));
    }
}

#[test]
fn invalid_settings_error_names_the_field() {
    let mut bad = settings(Effect::Safe);
    bad.routers = 0;
    let error = Router::new(bad, 1).err().expect("an error");
    assert_eq!(error.to_string(), "settings: routers: must be at least 1");
}

#[test]
fn out_of_range_numbers_are_named() {
    let named = |change: fn(&mut Settings)| {
        let mut bad = settings(Effect::Safe);
        bad.tenants.push(Tenant { quota_per_s: 1.0 });
        change(&mut bad);
        Router::new(bad, 1).err().expect("an error").to_string()
    };
    assert!(named(|bad| bad.router = 2).contains("router: must be below the number of routers"));
    assert!(named(|bad| bad.rules.fall_multiple = f64::NAN).contains("rules.fall_multiple"));
    assert!(named(|bad| bad.tenants[0].quota_per_s = f64::INFINITY).contains("tenants[].quota_per_s"));
}

#[test]
fn probes_are_proportional_to_own_reads() {
    let mut probed = settings(Effect::Safe);
    probed.probes_enabled = true;
    let mut harness =
        Harness::new(probed, (0..40).map(|id| member(1 + id, (id % 2) as usize, id / 4)).collect());
    harness.advance(5_000);
    let probes = |harness: &Harness| {
        harness.actions.iter().filter(|action| matches!(action, Action::Probe(_))).count()
    };
    assert_eq!(probes(&harness), 0, "no requests, so no probes");
    let reader = sent_to(&harness.request(1, Some(5)))[0];
    let near = (reader - 1) / 4;
    assert!((1..=4).contains(&probes(&harness)));
    let first = harness.actions.iter().find_map(|action| match action {
        Action::Probe(server) => Some((server.0 - 1) / 4),
        _ => None,
    });
    assert_eq!(first, Some(near), "the writers of the reader's cell come first");
}

#[test]
fn outage_of_all_readers_moves_few_reads_to_writers() {
    let mut config = settings(Effect::Safe);
    config.writers_read = true;
    let mut harness = Harness::new(config, fleet());
    let mut to_writers = 0;
    for id in 1..=200 {
        let mut actions = harness.request(id, None);
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions).first().copied() {
            if server > 10 {
                to_writers += 1;
                break;
            }
            actions = harness.end_attempt(id, attempt, Verdict::NoRoute);
            attempt += 1;
        }
        harness.now += 5 * MS;
    }
    assert!((1..160).contains(&to_writers), "{to_writers} of 200 read by writers");
}

#[test]
fn same_events_give_same_actions_alone_or_among_other_routers() {
    let run = |others: usize| {
        let mut routers: Vec<_> =
            (0..=others).map(|_| Harness::new(settings(Effect::Safe), fleet())).collect();
        for id in 1..60 {
            for harness in &mut routers {
                serve(harness, id, Some(id % 7), 30);
                harness.advance(20);
            }
        }
        routers.swap_remove(0).actions
    };
    assert_eq!(run(0), run(3));
}

/// Long-lived connections count as load like requests: a writer with connections gets neither while another has more
/// room, and a draining or full writer gets no connection at all.
#[test]
fn long_lived_connections_count_as_load() {
    let mut harness =
        Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0), member(12, 1, 0)]);
    let both = [ServerId(11), ServerId(12)];
    let place = |harness: &mut Harness| {
        harness.router.place_connection(Time(harness.now), &both).map(|server| server.0)
    };
    let first = place(&mut harness).unwrap();
    let other = 23 - first;
    harness.router.add_connection_load(ServerId(first), 40_000.0);
    assert_eq!(place(&mut harness), Some(other));
    harness.request(1, None);
    assert_eq!(sent_to(&harness.end_attempt(1, 0, Verdict::Read)), [other]);
    // The connections end; load never falls below zero.
    harness.router.add_connection_load(ServerId(first), -50_000.0);
    harness.router.add_connection_load(ServerId(other), 10_000.0);
    assert_eq!(place(&mut harness), Some(first));
    let mut leaving = member(first, 1, 0);
    leaving.state = ServerState::Draining;
    harness.handle(Event::Members(Members::Changes(vec![leaving])));
    assert_eq!(place(&mut harness), Some(other));
    assert_eq!(harness.router.place_connection(Time(harness.now), &[ServerId(first), ServerId(99)]), None);
}

/// While a queued request has waited long, the newest is served first: serving the oldest first would make all of them
/// late. Otherwise the queue is first in, first out.
#[test]
fn long_queue_serves_the_newest_first() {
    for (waits, first) in [(100, 100), (400, 101)] {
        let mut harness = Harness::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
        let mut reading = 0;
        while sent_to(&harness.request(reading + 1, None)) == [1] {
            reading += 1;
        }
        // The last request is queued already; its client leaves, so that the next two are alone in the queue.
        harness.handle(Event::ClientLeft(RequestId(reading + 1)));
        harness.request(100, None);
        harness.now += waits * MS;
        assert_eq!(sent_to(&harness.request(101, None)), Vec::<u64>::new());
        let ended = harness.end_attempt(1, 0, Verdict::Read);
        let next = ended.iter().find_map(|action| match action {
            Action::Send { request, server: ServerId(1), .. } => Some(request.0),
            _ => None,
        });
        assert_eq!(next, Some(first), "after {waits} ms");
    }
}

/// Zones are cut off as a whole: after failed connections in one zone, the state must go to another zone in time.
#[test]
fn unreachable_zone_is_left_after_a_few_writers() {
    let writers = (0..6).flat_map(|n| [member(11 + n, 1, 0), member(21 + n, 1, 1)]);
    let members = [member(1, 0, 0)].into_iter().chain(writers).collect();
    let mut harness = Harness::new(settings(Effect::Safe), members);
    harness.request(1, None);
    let mut tried = sent_to(&harness.end_attempt(1, 0, Verdict::Read));
    for attempt in 1..4 {
        harness.now += 250 * MS;
        tried.extend(sent_to(&harness.end_attempt(1, attempt, Verdict::NoRoute)));
    }
    assert!(tried[0] < 20, "the reader's own cell first: {tried:?}");
    assert!(tried[1..3].iter().any(|writer| *writer > 20), "{tried:?}");
}

#[test]
fn early_client_departure_is_no_fault_of_the_server() {
    let mut harness = Harness::new(settings(Effect::Safe), fleet());
    let home = sent_to(&harness.request(1, Some(5)))[0];
    harness.now += 10 * MS;
    harness.handle(Event::ClientLeft(RequestId(1)));
    harness.end_attempt(1, 0, Verdict::Cancelled);
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 0);
    assert_eq!(sent_to(&harness.request(2, Some(5))), [home]);
    // A client that leaves after a long wait does count.
    harness.now += 4_000 * MS;
    harness.handle(Event::ClientLeft(RequestId(2)));
    harness.end_attempt(2, 0, Verdict::Cancelled);
    assert_eq!(harness.router.excluded_servers(Time(harness.now)), 1);
}

/// After its state was released a request is read again or refused, but never sent to a writer.
#[test]
fn expired_state_is_released_and_read_again() {
    let mut harness = Harness::new(settings(Effect::Unsafe), fleet());
    harness.request(1, None);
    harness.end_attempt(1, 0, Verdict::Read);
    let actions = harness.end_attempt(1, 1, Verdict::Expired);
    assert!(released(&actions) && !failed(&actions) && !refused(&actions));
    assert!(sent_to(&actions).iter().all(|to| *to < 10), "to a reader: {actions:?}");
    assert_eq!(
        harness.router.excluded_servers(Time(harness.now)),
        0,
        "its connection had no time to come up"
    );
}

/// Guards against a queue that uses up the router's CPU: an event with 200 queued requests may cost some times as much
/// as with none, but not a choice of servers for each of them.
#[test]
fn long_queue_adds_little_cost_per_event() {
    let fleet = (0..100).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect();
    let mut config = settings(Effect::Safe);
    config.routers = 300;
    config.classes[0].aim = Span::from_millis(60_000);
    let mut harness = Harness::new(config, fleet);
    let cost = |harness: &mut Harness, from: u64| {
        let start = std::time::Instant::now();
        for id in from..from + 50 {
            harness.request(id, Some(id % 7));
            harness.handle(Event::ClientLeft(RequestId(id)));
        }
        start.elapsed()
    };
    let empty = cost(&mut harness, 1_000);
    let mut waiting = 0;
    for id in 2_000.. {
        waiting += u32::from(sent_to(&harness.request(id, Some(id % 7))).is_empty());
        if waiting == 200 {
            break;
        }
    }
    let full = cost(&mut harness, 10_000);
    assert!(full < empty * 20, "{full:?} with 200 queued, {empty:?} with none");
}

/// Guards against prefixes that each router reads anew at other servers: with many rare prefixes, routers that have
/// seen different ones must send the same prefix to the same reader.
#[test]
fn rare_prefix_has_one_home_at_all_routers() {
    let fleet = || (0..80).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect::<Vec<_>>();
    let mut config = settings(Effect::Safe);
    config.routers = 300;
    let (mut one, mut other) = (Harness::new(config.clone(), fleet()), Harness::new(config, fleet()));
    for id in 1..60 {
        serve(&mut one, id, Some(1_000 + id), 5);
        serve(&mut other, id, Some(2_000 + id), 5);
    }
    let same = |key: &u64| serve(&mut one, *key, Some(*key), 5) == serve(&mut other, *key, Some(*key), 5);
    let same = (5_000..5_100u64).filter(same).count();
    assert!(same >= 95, "{same} of 100 at one home");
}

/// Guards against a router with twenty times the mean of requests that refuses most of them while readers are idle.
#[test]
fn busiest_router_may_exceed_its_even_part() {
    let out = |quota_per_s: f64| {
        let fleet = (0..40).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect();
        let mut config = settings(Effect::Safe);
        config.routers = 300;
        config.tenants = vec![Tenant { quota_per_s }];
        let mut harness = Harness::new(config, fleet);
        let mut sent = 0;
        // 50 per second, none of them answered yet.
        for id in 1..=50 {
            sent += sent_to(&harness.request(id, None)).len();
            sent += sent_to(&harness.advance(20)).len();
        }
        sent
    };
    let (even, uneven) = (out(50.0 * 300.0), out(300.0));
    assert!(uneven > 2 * even, "{uneven} where all are asked for one a second each, {even} where for fifty");
}

/// A server whose kind changes is used in its new role; an attempt in flight still counts in the old one.
#[test]
fn server_with_a_changed_kind_is_used_in_its_new_role() {
    let list = vec![member(1, 0, 0), member(11, 1, 0), member(12, 1, 0), member(13, 1, 0)];
    let mut harness = Harness::new(settings(Effect::Unsafe), list);
    harness.request(1, None);
    let first = sent_to(&harness.end_attempt(1, 0, Verdict::Read))[0];
    let other = if first == 11 { 12 } else { 11 };
    harness.handle(Event::Members(Members::Changes(vec![member(first, 0, 0), member(other, 0, 0)])));
    let done = harness.end_attempt(1, 1, Verdict::Error);
    assert!(failed(&done) && !refused(&done), "it was sent to be written: {done:?}");
    let (mut read, mut written) = (Vec::new(), Vec::new());
    for id in 2..40 {
        let sent = sent_to(&harness.request(id, None));
        read.extend(sent.iter().copied());
        if !sent.is_empty() && id % 2 == 0 {
            written.extend(sent_to(&harness.end_attempt(id, 0, Verdict::Read)));
        }
    }
    assert!(read.contains(&other), "it reads now: {read:?}");
    let writer = 11 + 12 + 13 - first - other;
    assert!(!read.contains(&writer) && written.contains(&writer), "{read:?} {written:?}");
    assert!(!written.contains(&other), "it writes no more: {written:?}");
}
