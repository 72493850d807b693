//! What the router does about each kind of symptom.

mod common;

use common::*;
use shedrelay::*;

/// One request from start to end, each step taking `ms`.
fn serve(bench: &mut Bench, id: u64, prefix: Option<u64>, ms: u64) -> Option<u64> {
    let reader = *sent_to(&bench.ask(id, prefix)).first()?;
    bench.now += ms * MS;
    bench.end(id, 0, Verdict::Read);
    bench.now += ms * MS;
    bench.first(id, 1);
    bench.end(id, 1, Verdict::Ok);
    Some(reader)
}

#[test]
fn silence_is_called_off_and_shut_out_while_peers_serve() {
    let mut bench = Bench::new(settings(Effect::Unsafe), fleet());
    let silent = sent_to(&bench.ask(1, Some(5)))[0];
    let acts = bench.wait(2_300);
    assert!(acts.contains(&Action::Cancel { request: RequestId(1), attempt: Attempt(0) }));
    let next = sent_to(&bench.end(1, 0, Verdict::Cancelled))[0];
    assert_ne!(next, silent);
    assert_eq!(serve(&mut bench, 2, Some(5), 5), Some(next), "the home is shut out");
}

/// A server that loses single requests and answers all others must not keep them until their deadlines.
#[test]
fn a_request_that_later_ones_overtook_is_called_off() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    // Usual times are known.
    for id in 1..6 {
        serve(&mut bench, id, Some(5), 10);
    }
    let lost = sent_to(&bench.ask(10, Some(5)));
    let mut overtaken = 0;
    let mut done = Vec::new();
    for id in 20..60 {
        done.extend(bench.wait(20));
        let to = sent_to(&bench.ask(id, Some(5)));
        bench.now += 10 * MS;
        if to.is_empty() {
            continue;
        }
        overtaken += u32::from(to == lost);
        done.extend(bench.end(id, 0, Verdict::Read));
        bench.first(id, 1);
        bench.end(id, 1, Verdict::Ok);
        if done.iter().any(|action| matches!(action, Action::Cancel { request: RequestId(10), .. })) {
            break;
        }
    }
    assert!(overtaken >= 3);
    let cancel = Action::Cancel { request: RequestId(10), attempt: Attempt(0) };
    assert!(done.contains(&cancel), "{done:?}");
    // The reader stays in use: it answers.
    bench.end(10, 0, Verdict::Cancelled);
    assert_eq!(sent_to(&bench.ask(100, Some(5))), vec![1]);
}

#[test]
fn a_slow_but_talking_reader_is_waited_for() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    bench.ask(1, None);
    bench.ask(2, None);
    bench.wait(600);
    bench.end(1, 0, Verdict::Read);
    let acts = bench.wait(300);
    assert!(!acts.iter().any(|act| matches!(act, Action::Cancel { request: RequestId(2), .. })), "{acts:?}");
}

#[test]
fn an_unsafe_answer_is_never_called_off() {
    let mut bench = Bench::new(settings(Effect::Unsafe), fleet());
    bench.ask(1, None);
    let writer = sent_to(&bench.end(1, 0, Verdict::Read))[0];
    let acts = bench.wait(2_000);
    assert!(acts.is_empty(), "{acts:?}");
    let reader = sent_to(&bench.ask(2, None));
    assert_eq!(reader.len(), 1);
    assert_ne!(sent_to(&bench.end(2, 0, Verdict::Read)), vec![writer], "but others keep away");
}

#[test]
fn an_unreachable_server_is_left_alone_and_tried_again() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let down = sent_to(&bench.ask(1, Some(5)))[0];
    assert_ne!(sent_to(&bench.end(1, 0, Verdict::NoRoute)), vec![down]);
    assert_ne!(serve(&mut bench, 2, Some(5), 5), Some(down));
    bench.wait(2_000);
    let seen: Vec<_> = (3..40).filter_map(|id| serve(&mut bench, id, Some(100 + id), 5)).collect();
    assert!(seen.contains(&down), "it is tried again: {seen:?}");
}

/// What the module keeps of servers must not grow with each one that ever was.
#[test]
fn a_server_that_left_is_forgotten() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let list = |bench: &mut Bench, state| {
        let entry = Member { state, ..member(1, 0, 0) };
        bench.hear(Event::Members(Members::Changes(vec![entry])))
    };
    bench.ask(1, None);
    assert!(sent_to(&bench.end(1, 0, Verdict::NoRoute)).is_empty(), "unreachable: left out");
    list(&mut bench, ServerState::Left);
    assert_eq!(sent_to(&list(&mut bench, ServerState::Active)).len(), 0, "tried there already");
    assert_eq!(sent_to(&bench.ask(2, None)), vec![1], "nothing is left of what was thought of it");
    // Not while something of ours is out there.
    list(&mut bench, ServerState::Left);
    bench.end(2, 0, Verdict::NoRoute);
    list(&mut bench, ServerState::Active);
    assert_eq!(sent_to(&bench.ask(3, None)), vec![1]);
}

#[test]
fn errors_weigh_a_server_down_and_are_forgiven() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let home = sent_to(&bench.ask(1, Some(5)))[0];
    bench.end(1, 0, Verdict::Error);
    for id in 2..8 {
        let sent = sent_to(&bench.ask(id, Some(5)));
        bench.end(id, 0, if sent == vec![home] { Verdict::Error } else { Verdict::Read });
        bench.end(id, 1, Verdict::Ok);
    }
    bench.end(1, 1, Verdict::Read);
    bench.end(1, 2, Verdict::Ok);
    assert_ne!(serve(&mut bench, 20, Some(5), 5), Some(home));
    bench.wait(60_000);
    assert_eq!(serve(&mut bench, 21, Some(5), 5), Some(home));
}

/// Servers end a connection in order, without a word, on what they cannot read: that is no fault of theirs.
#[test]
fn a_server_that_ends_a_connection_without_a_word_is_not_blamed() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let home = sent_to(&bench.ask(1, Some(5)))[0];
    bench.end(1, 0, Verdict::Read);
    bench.end(1, 1, Verdict::Ok);
    let places: Vec<u64> = (2..6)
        .map(|id| {
            let place = sent_to(&bench.ask(id, Some(5)))[0];
            let other = sent_to(&bench.end(id, 0, Verdict::Closed))[0];
            assert_ne!(place, other, "not tried twice with the same request");
            bench.end(id, 1, Verdict::Read);
            bench.end(id, 2, Verdict::Ok);
            place
        })
        .collect();
    assert_eq!(places, vec![home; 4]);
}

/// Texts are remembered up to a bound, whatever keys clients make up.
#[test]
fn a_full_table_of_texts_takes_no_new_ones() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let place = |bench: &mut Bench, id: u64, session: u64| {
        let place = sent_to(&bench.ask_session(id, session, None))[0];
        bench.end(id, 0, Verdict::Read);
        bench.end(id, 1, Verdict::Ok);
        place
    };
    (0..5_000).for_each(|id| assert_eq!(place(&mut bench, id, id), 1));
    bench.hear(Event::Members(Members::Full(vec![member(1, 0, 0), member(2, 0, 0), member(11, 1, 0)])));
    let early: Vec<u64> = (0..10).map(|n| place(&mut bench, 6_000 + n, n)).collect();
    assert!(early.iter().all(|place| *place == 1), "their texts are known to be there: {early:?}");
    let late: Vec<u64> = (0..10).map(|n| place(&mut bench, 7_000 + n, 4_900 + n)).collect();
    assert!(late.contains(&2), "theirs found no room: {late:?}");
}

#[test]
fn a_slower_reader_gets_less() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let mut counts = [0, 0];
    for id in 1..80 {
        let Some(reader) = sent_to(&bench.ask(id, None)).first().copied() else { continue };
        counts[(reader - 1) as usize] += 1;
        bench.now += if reader == 1 { 400 } else { 50 } * MS;
        bench.end(id, 0, Verdict::Read);
        bench.first(id, 1);
        bench.end(id, 1, Verdict::Ok);
    }
    assert!(counts[0] * 2 < counts[1], "{counts:?}");
}

#[test]
fn a_full_server_is_not_hammered() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    let mut sends = 0;
    for id in 1..=50 {
        let mut acts = bench.ask(id, None);
        acts.extend(bench.wait(20));
        for act in &acts {
            if let Action::Send { request, .. } = act {
                sends += 1;
                bench.end(request.0, 0, Verdict::Full);
            }
        }
    }
    assert!((2..=15).contains(&sends), "{sends} sends in a second");
}

#[test]
fn a_forgetful_server_loses_its_table() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    // Session 900 has been read at a reader that is not the home of its new beginning.
    let known = sent_to(&bench.ask_session(1, 900, None))[0];
    bench.end_with(1, 0, Verdict::Read, Some(0.0));
    bench.end(1, 1, Verdict::Ok);
    let other = sent_to(&bench.ask_session(2, 901, None))[0];
    bench.end_with(2, 0, Verdict::Read, Some(0.0));
    bench.end(2, 1, Verdict::Ok);
    // The next turn of 900 comes back to the same reader, which turns out to have forgotten everything.
    assert_eq!(sent_to(&bench.ask_session(3, 900, None)), vec![known]);
    bench.now += MS;
    bench.end_with(3, 0, Verdict::Read, Some(0.0));
    bench.end(3, 1, Verdict::Ok);
    if other == known {
        // 901 was believed there too; nothing binds it now, so its hash decides as for a new session.
        let mut fresh = Bench::new(settings(Effect::Safe), fleet());
        let free = sent_to(&fresh.ask_session(1, 901, None));
        assert_eq!(sent_to(&bench.ask_session(4, 901, None)), free);
    }
    assert_eq!(sent_to(&bench.ask_session(5, 900, None)), vec![known], "what it has just read is believed");
}

#[test]
fn a_beginning_has_the_same_home_at_every_router() {
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
fn a_busy_home_is_waited_for_not_read_elsewhere() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let home = sent_to(&bench.ask_session(1, 900, None))[0];
    bench.end(1, 0, Verdict::Read);
    bench.first(1, 1);
    bench.end(1, 1, Verdict::Ok);
    let places: Vec<u64> = (2..14).flat_map(|id| sent_to(&bench.ask_session(id, 900, None))).collect();
    assert!(places.iter().all(|place| *place == home), "its text is there: {places:?}");
    assert!((2..12).contains(&places.len()), "the rest waits though the other reader is idle: {places:?}");
    assert_eq!(sent_to(&bench.end(2, 0, Verdict::Read)), vec![home + 10, home], "and takes the next place");
}

/// A report says nothing of what was sent since: with both readers just heard, the reads that are out must count,
/// or chance piles them up at one.
#[test]
fn reads_that_are_out_count_beside_a_fresh_report() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    for id in [1, 2] {
        bench.ask(id, None);
        bench.hear(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: Attempt(0),
            verdict: Verdict::Read,
            evidence: Evidence::Server,
            settled: false,
            kept: None,
            report: Some(Report { memory_share: 0.1 }),
        }));
    }
    let places: Vec<u64> = (10..20).flat_map(|id| sent_to(&bench.ask(id, None))).collect();
    let first = places.iter().filter(|place| **place == 1).count();
    assert_eq!((first, places.len()), (5, 10), "{places:?}");
}

/// A release replaces what has run longest, and a stream breaks with its writer: while one goes on, streams go rather
/// to the writer that started late.
#[test]
fn while_a_release_goes_on_streams_go_to_writers_that_started_late() {
    let young = Member { up_since: Some(Time(MS)), ..member(12, 1, 0) };
    let mut bench =
        Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0), young, member(13, 1, 0)]);
    bench.now += 60_000 * MS;
    let drains = Member { state: ServerState::Leaving, ..member(13, 1, 0) };
    bench.hear(Event::Members(Members::Changes(vec![drains])));
    let writers = |bench: &mut Bench, first: u64| -> Vec<u64> {
        let ids = first..first + 4;
        let places: Vec<u64> = ids
            .clone()
            .flat_map(|id| {
                bench.ask(id, None);
                sent_to(&bench.end(id, 0, Verdict::Read))
            })
            .collect();
        ids.for_each(|id| drop(bench.end(id, 1, Verdict::Ok)));
        places
    };
    assert_eq!(writers(&mut bench, 30), vec![12; 4]);
    bench.now += 11_000 * MS;
    assert!(writers(&mut bench, 40).contains(&11), "the release is over");
}

#[test]
fn a_hot_beginning_spreads_as_load_demands() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let places: Vec<u64> = (1..12).flat_map(|id| sent_to(&bench.ask(id, Some(5)))).collect();
    assert!(places.contains(&1) && places.contains(&2), "{places:?}");
}

#[test]
fn under_overload_the_worthier_class_goes_first() {
    let mut two = settings(Effect::Safe);
    let mut dear = two.classes[0].clone();
    dear.worth = 5.0;
    two.classes.push(dear);
    let mut bench = Bench::new(two, vec![member(1, 0, 0), member(11, 1, 0)]);
    let mut id = 0;
    while !sent_to(&bench.ask(id, None)).is_empty() {
        id += 1;
    }
    bench.hear(Event::Request(Request {
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
    bench.now += MS;
    let acts = bench.end(0, 0, Verdict::Read);
    let next = acts.iter().find_map(|act| match act {
        Action::Send { request, server: ServerId(1), .. } => Some(request.0),
        _ => None,
    });
    assert_eq!(next, Some(900));
}

#[test]
fn a_restarted_router_decides_from_its_list_alone() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    assert!((1..20).all(|id| serve(&mut bench, id, Some(id), 5).is_some()));
}

#[test]
fn a_restarted_server_is_judged_anew() {
    let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
    bench.ask(1, None);
    bench.end(1, 0, Verdict::NoRoute);
    assert!(sent_to(&bench.ask(2, None)).is_empty() || bench.log.len() > 1);
    let mut back = member(1, 0, 0);
    back.up_since = Some(Time(bench.now));
    bench.hear(Event::Members(Members::Changes(vec![back])));
    let mut sent = Vec::new();
    for id in 3..40 {
        sent.extend(sent_to(&bench.ask(id, None)));
        sent.extend(sent_to(&bench.wait(200)));
    }
    assert!(sent.contains(&1));
}

#[test]
fn a_failed_list_call_is_repeated_with_backoff() {
    let mut asking = settings(Effect::Safe);
    asking.list_on_request = true;
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
fn odd_settings_and_unknown_names_do_no_harm() {
    for members in [vec![], vec![member(21, 2, 0)], vec![member(1, 0, 0)], vec![member(11, 1, 0)]] {
        let mut odd = settings(Effect::Safe);
        odd.kinds.iter_mut().for_each(|kind| kind.memory_tokens = Some(0.0));
        let mut bench = Bench::new(odd, members);
        bench.hear(Event::Request(Request {
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
        bench.hear(Event::ClientLeft(RequestId(99)));
        bench.first(99, 0);
        bench.end(99, 0, Verdict::Ok);
        bench.end(1, 7, Verdict::Read);
        bench.hear(Event::Timer(TimerId(99)));
        bench.hear(Event::Probed { server: ServerId(99), ok: true, report: None });
        let sent = bench.log.iter().any(|act| matches!(act, Action::Send { .. }));
        assert!(sent || refused(&bench.wait(100)));
    }
}

#[test]
fn bad_settings_are_typed_errors_that_name_the_field() {
    let mut bad = settings(Effect::Safe);
    bad.routers = 0;
    let error = Router::new(bad, 1).err().expect("an error");
    assert_eq!(error.to_string(), "settings: routers: must be at least 1");
}

#[test]
fn numbers_out_of_range_are_named() {
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
fn probes_are_paid_in_proportion_to_own_reads() {
    let mut probed = settings(Effect::Safe);
    probed.probed_reports = true;
    let mut bench = Bench::new(probed, (0..40).map(|id| member(1 + id, (id % 2) as usize, id / 4)).collect());
    bench.wait(5_000);
    let probes = |bench: &Bench| bench.log.iter().filter(|act| matches!(act, Action::Probe(_))).count();
    assert_eq!(probes(&bench), 0, "nothing to decide, nothing to ask");
    let reader = sent_to(&bench.ask(1, Some(5)))[0];
    let near = (reader - 1) / 4;
    assert!((1..=4).contains(&probes(&bench)));
    let first = bench.log.iter().find_map(|act| match act {
        Action::Probe(server) => Some((server.0 - 1) / 4),
        _ => None,
    });
    assert_eq!(first, Some(near), "the writers of the reader's cell come first");
}

#[test]
fn writers_do_not_read_through_an_outage_of_all_readers() {
    let mut told = settings(Effect::Safe);
    told.writers_read = true;
    let mut bench = Bench::new(told, fleet());
    let mut to_writers = 0;
    for id in 1..=200 {
        let mut acts = bench.ask(id, None);
        let mut attempt = 0;
        while let Some(server) = sent_to(&acts).first().copied() {
            if server > 10 {
                to_writers += 1;
                break;
            }
            acts = bench.end(id, attempt, Verdict::NoRoute);
            attempt += 1;
        }
        bench.now += 5 * MS;
    }
    assert!((1..160).contains(&to_writers), "{to_writers} of 200 read by writers");
}

#[test]
fn the_same_events_give_the_same_actions_alone_or_among_others() {
    let run = |others: usize| {
        let mut routers: Vec<_> = (0..=others).map(|_| Bench::new(settings(Effect::Safe), fleet())).collect();
        for id in 1..60 {
            for bench in &mut routers {
                serve(bench, id, Some(id % 7), 30);
                bench.wait(20);
            }
        }
        routers.swap_remove(0).log
    };
    assert_eq!(run(0), run(3));
}

/// Long-lived connections and requests see each other: a writer that holds connections gets neither while another has
/// more room, and one that drains or is full gets no connection at all.
#[test]
fn long_lived_connections_weigh_at_their_server() {
    let mut bench =
        Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0), member(12, 1, 0)]);
    let both = [ServerId(11), ServerId(12)];
    let place =
        |bench: &mut Bench| bench.router.place_connection(Time(bench.now), &both).map(|server| server.0);
    let first = place(&mut bench).unwrap();
    let other = 23 - first;
    bench.router.add_connection_load(ServerId(first), 40_000.0);
    assert_eq!(place(&mut bench), Some(other));
    bench.ask(1, None);
    assert_eq!(sent_to(&bench.end(1, 0, Verdict::Read)), [other]);
    // They go: more than there was is never taken off.
    bench.router.add_connection_load(ServerId(first), -50_000.0);
    bench.router.add_connection_load(ServerId(other), 10_000.0);
    assert_eq!(place(&mut bench), Some(first));
    let mut leaving = member(first, 1, 0);
    leaving.state = ServerState::Leaving;
    bench.hear(Event::Members(Members::Changes(vec![leaving])));
    assert_eq!(place(&mut bench), Some(other));
    assert_eq!(bench.router.place_connection(Time(bench.now), &[ServerId(first), ServerId(99)]), None);
}

/// A line in which one has waited long serves whoever came last: those at its end would be late, and so would all behind
/// them. A short line is served in turn.
#[test]
fn while_the_line_stands_the_newest_goes_first() {
    for (waits, first) in [(100, 100), (400, 101)] {
        let mut bench = Bench::new(settings(Effect::Safe), vec![member(1, 0, 0), member(11, 1, 0)]);
        let mut reading = 0;
        while sent_to(&bench.ask(reading + 1, None)) == [1] {
            reading += 1;
        }
        // The last one asked waits already; it leaves, so that the two that follow are alone in line.
        bench.hear(Event::ClientLeft(RequestId(reading + 1)));
        bench.ask(100, None);
        bench.now += waits * MS;
        assert_eq!(sent_to(&bench.ask(101, None)), Vec::<u64>::new());
        let ended = bench.end(1, 0, Verdict::Read);
        let next = ended.iter().find_map(|action| match action {
            Action::Send { request, server: ServerId(1), .. } => Some(request.0),
            _ => None,
        });
        assert_eq!(next, Some(first), "after {waits} ms");
    }
}

/// Zones are cut off whole: once a writer of one did not come up, the state goes elsewhere while it may still wait.
#[test]
fn writers_of_a_zone_that_does_not_come_up_are_not_tried_one_after_the_other() {
    let writers = (0..6).flat_map(|n| [member(11 + n, 1, 0), member(21 + n, 1, 1)]);
    let members = [member(1, 0, 0)].into_iter().chain(writers).collect();
    let mut bench = Bench::new(settings(Effect::Safe), members);
    bench.ask(1, None);
    let mut tried = sent_to(&bench.end(1, 0, Verdict::Read));
    for attempt in 1..4 {
        bench.now += 250 * MS;
        tried.extend(sent_to(&bench.end(1, attempt, Verdict::NoRoute)));
    }
    assert!(tried[0] < 20, "the reader's own cell first: {tried:?}");
    assert!(tried[1..3].iter().any(|writer| *writer > 20), "{tried:?}");
}

#[test]
fn a_client_that_leaves_soon_speaks_against_no_server() {
    let mut bench = Bench::new(settings(Effect::Safe), fleet());
    let home = sent_to(&bench.ask(1, Some(5)))[0];
    bench.now += 10 * MS;
    bench.hear(Event::ClientLeft(RequestId(1)));
    bench.end(1, 0, Verdict::Cancelled);
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 0);
    assert_eq!(sent_to(&bench.ask(2, Some(5))), [home]);
    // One that waited in vain for long does.
    bench.now += 4_000 * MS;
    bench.hear(Event::ClientLeft(RequestId(2)));
    bench.end(2, 0, Verdict::Cancelled);
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
}

/// A state that had to be let go is read anew, or refused; it is never sent on.
#[test]
fn an_expired_state_is_released_and_read_again() {
    let mut bench = Bench::new(settings(Effect::Unsafe), fleet());
    bench.ask(1, None);
    bench.end(1, 0, Verdict::Read);
    let acts = bench.end(1, 1, Verdict::Expired);
    assert!(released(&acts) && !failed(&acts) && !refused(&acts));
    assert!(sent_to(&acts).iter().all(|to| *to < 10), "to a reader: {acts:?}");
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 0, "its connection had no time to come up");
}

/// Guards against a line that takes the router's processor: an event with 200 in line costs some times what it costs
/// with none, and not what choosing a server for each of them would.
#[test]
fn a_long_line_costs_an_event_little() {
    let fleet = (0..100).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect();
    let mut told = settings(Effect::Safe);
    told.routers = 300;
    told.classes[0].aim = Span::from_millis(60_000);
    let mut bench = Bench::new(told, fleet);
    let cost = |bench: &mut Bench, from: u64| {
        let start = std::time::Instant::now();
        for id in from..from + 50 {
            bench.ask(id, Some(id % 7));
            bench.hear(Event::ClientLeft(RequestId(id)));
        }
        start.elapsed()
    };
    let empty = cost(&mut bench, 1_000);
    let mut waiting = 0;
    for id in 2_000.. {
        waiting += u32::from(sent_to(&bench.ask(id, Some(id % 7))).is_empty());
        if waiting == 200 {
            break;
        }
    }
    let full = cost(&mut bench, 10_000);
    assert!(full < empty * 20, "{full:?} with 200 in line, {empty:?} with none");
}

/// Guards against beginnings that each router reads anew at other servers: with many that are asked for seldom, routers
/// that have seen different ones send the same beginning to the same reader.
#[test]
fn a_beginning_that_is_asked_for_seldom_has_one_home_at_all_routers() {
    let fleet = || (0..80).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect::<Vec<_>>();
    let mut told = settings(Effect::Safe);
    told.routers = 300;
    let (mut one, mut other) = (Bench::new(told.clone(), fleet()), Bench::new(told, fleet()));
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
fn a_router_that_is_asked_for_most_is_not_held_to_its_even_part() {
    let out = |quota_per_s: f64| {
        let fleet = (0..40).map(|n| member(n + 1, (n % 2) as usize, n / 10)).collect();
        let mut told = settings(Effect::Safe);
        told.routers = 300;
        told.tenants = vec![Tenant { quota_per_s }];
        let mut bench = Bench::new(told, fleet);
        let mut sent = 0;
        // Fifty a second, none of them answered yet.
        for id in 1..=50 {
            sent += sent_to(&bench.ask(id, None)).len();
            sent += sent_to(&bench.wait(20)).len();
        }
        sent
    };
    let (even, uneven) = (out(50.0 * 300.0), out(300.0));
    assert!(uneven > 2 * even, "{uneven} where all are asked for one a second each, {even} where for fifty");
}

/// A worker whose kind changes while it runs is used as what it is now; an attempt that it had counts as what it was.
#[test]
fn a_worker_that_changes_its_kind_is_used_as_the_new_one() {
    let list = vec![member(1, 0, 0), member(11, 1, 0), member(12, 1, 0), member(13, 1, 0)];
    let mut bench = Bench::new(settings(Effect::Unsafe), list);
    bench.ask(1, None);
    let first = sent_to(&bench.end(1, 0, Verdict::Read))[0];
    let other = if first == 11 { 12 } else { 11 };
    bench.hear(Event::Members(Members::Changes(vec![member(first, 0, 0), member(other, 0, 0)])));
    let done = bench.end(1, 1, Verdict::Error);
    assert!(failed(&done) && !refused(&done), "it was sent to be written: {done:?}");
    let (mut read, mut written) = (Vec::new(), Vec::new());
    for id in 2..40 {
        let sent = sent_to(&bench.ask(id, None));
        read.extend(sent.iter().copied());
        if !sent.is_empty() && id % 2 == 0 {
            written.extend(sent_to(&bench.end(id, 0, Verdict::Read)));
        }
    }
    assert!(read.contains(&other), "it reads now: {read:?}");
    let writer = 11 + 12 + 13 - first - other;
    assert!(!read.contains(&writer) && written.contains(&writer), "{read:?} {written:?}");
    assert!(!written.contains(&other), "it writes no more: {written:?}");
}
