//! Servers that fall silent: found out by all calls together, tried by one call at a time, and heard again.

mod common;

use common::*;
use shedrelay::*;

/// How long an answer usually takes to begin here.
const USUAL_MS: u64 = 20;

/// Streams that go on at once, most of the time.
const STREAMS: usize = 12;

/// Two readers, three writers, and answers enough to know what is usual.
fn bench(effect: Effect) -> Bench {
    let writers = (11..14).map(|writer| member(writer, 1, 0));
    let members = [member(1, 0, 0), member(2, 0, 0)].into_iter().chain(writers).collect();
    let mut bench = Bench::new(settings(effect), members);
    for id in 1..=40 {
        read(&mut bench, id);
        bench.now += USUAL_MS * MS;
        bench.first(id, 1);
        bench.end(id, 1, Verdict::Ok);
    }
    bench
}

/// A request is read; the writer that it goes to, if any.
fn read(bench: &mut Bench, id: u64) -> Option<u64> {
    if sent_to(&bench.ask(id, None)).is_empty() {
        return None;
    }
    bench.now += MS;
    sent_to(&bench.end(id, 0, Verdict::Read)).first().copied()
}

fn cancelled(actions: &[Action]) -> Vec<u64> {
    let of = |action: &Action| match action {
        Action::Cancel { request, .. } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Asks every 10 ms for so long; calls to `silent` get no answer, all others do. The requests that went there.
fn ask_while_silent(bench: &mut Bench, first: u64, ms: u64, silent: &[u64]) -> Vec<u64> {
    let (mut swallowed, mut streams) = (Vec::new(), std::collections::VecDeque::new());
    for id in first..first + ms / 10 {
        match read(bench, id) {
            Some(writer) if silent.contains(&writer) => swallowed.push(id),
            // Its stream goes on for a while, so that all writers stay about as full.
            Some(_) => {
                bench.first(id, 1);
                streams.push_back(id);
            }
            None => {}
        }
        if streams.len() > STREAMS
            && let Some(done) = streams.pop_front()
        {
            bench.end(done, 1, Verdict::Ok);
        }
        bench.wait(20);
        bench.now -= 11 * MS;
    }
    streams.into_iter().for_each(|id| drop(bench.end(id, 1, Verdict::Ok)));
    swallowed
}

#[test]
fn a_writer_that_owes_answers_and_says_nothing_is_found_in_a_fraction_of_a_second() {
    let mut bench = bench(Effect::Safe);
    let swallowed = ask_while_silent(&mut bench, 100, 1_000, &[11]);
    assert!((1..20).contains(&swallowed.len()), "{swallowed:?}");
    let off = cancelled(&bench.log);
    assert!(swallowed.iter().all(|id| off.contains(id)), "{off:?} of {swallowed:?}");
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
}

#[test]
fn what_may_run_only_once_is_not_called_off() {
    let mut bench = bench(Effect::Unsafe);
    let swallowed = ask_while_silent(&mut bench, 100, 1_000, &[11]);
    assert!((1..20).contains(&swallowed.len()), "{swallowed:?}");
    assert!(cancelled(&bench.log).is_empty());
}

#[test]
fn a_silent_writer_is_tried_by_one_call_at_a_time() {
    let mut bench = bench(Effect::Safe);
    for id in ask_while_silent(&mut bench, 100, 600, &[11]) {
        if !sent_to(&bench.end(id, 1, Verdict::Cancelled)).is_empty() {
            bench.first(id, 2);
            bench.end(id, 2, Verdict::Ok);
        }
    }
    // Most of what speaks against it is forgiven, and it may be tried again; nobody answers.
    bench.wait(30_000);
    let tried = ask_while_silent(&mut bench, 1_000, 1_500, &[11]);
    assert_eq!(tried.len(), 1, "{tried:?}");
    // The call comes back after all: it is well.
    bench.first(tried[0], 1);
    bench.end(tried[0], 1, Verdict::Ok);
    let writers: Vec<_> = (2_000..2_040).filter_map(|id| read(&mut bench, id)).collect();
    assert!(writers.iter().filter(|writer| **writer == 11).count() > 3, "{writers:?}");
}

/// The only writer did not come up. What may run only once does not try it, and is not even read, until it has been left
/// alone for long.
#[test]
fn requests_that_may_run_only_once_try_no_silent_writer_at_first() {
    let tries = |effect: Effect, after_ms: u64| {
        let mut bench = Bench::new(settings(effect), vec![member(1, 0, 0), member(11, 1, 0)]);
        assert_eq!(read(&mut bench, 1), Some(11));
        bench.end(1, 1, Verdict::NoRoute);
        bench.wait(after_ms);
        sent_to(&bench.ask(2, None)) == [1]
    };
    assert!(tries(Effect::Safe, 2_000));
    assert!(!tries(Effect::Unsafe, 2_000));
    assert!(tries(Effect::Unsafe, 9_000), "where nothing else is asked it has to be found well in the end");
}

/// Cuts take several servers at once: once one has fallen silent, one call says enough of its peer.
#[test]
fn one_call_says_enough_of_a_silent_writers_peer() {
    let peers_found = |after_cut_ms: u64| {
        let mut bench = bench(Effect::Safe);
        (100..115).for_each(|id| assert!(read(&mut bench, id).is_some()));
        bench.wait(140);
        [12, 13].into_iter().for_each(|peer| drop(bench.hear(Event::Activity(ServerId(peer)))));
        bench.wait(100);
        assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
        bench.wait(after_cut_ms);
        assert!(read(&mut bench, 1_000).is_some());
        bench.wait(240);
        bench.router.excluded_servers(Time(bench.now)) - 1
    };
    assert_eq!(peers_found(0), 1);
    assert_eq!(peers_found(1_100), 0, "long after the cut it may be a long one");
}

#[test]
fn a_writer_whose_streams_go_on_is_not_silent() {
    let mut bench = bench(Effect::Safe);
    for id in 100..160 {
        read(&mut bench, id);
        bench.hear(Event::Activity(ServerId(11)));
        bench.hear(Event::Activity(ServerId(12)));
        bench.hear(Event::Activity(ServerId(13)));
        bench.wait(20);
    }
    assert!(cancelled(&bench.log).is_empty() && bench.router.excluded_servers(Time(bench.now)) == 0);
}

#[test]
fn one_word_ends_a_trial() {
    let mut bench = bench(Effect::Safe);
    ask_while_silent(&mut bench, 100, 600, &[11]);
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
    bench.hear(Event::Activity(ServerId(11)));
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 0);
}

#[test]
fn writers_that_are_slow_as_usual_are_waited_for() {
    let mut bench = bench(Effect::Safe);
    // All take half a second from now on; what is usual follows.
    let mut out: Vec<(u64, u64)> = Vec::new();
    for id in 100..400 {
        if read(&mut bench, id).is_some() {
            out.push((id, bench.now + 500 * MS));
        }
        bench.wait(20);
        while out.first().is_some_and(|(_, due)| *due <= bench.now) {
            let (done, _) = out.remove(0);
            bench.first(done, 1);
            bench.end(done, 1, Verdict::Ok);
        }
    }
    let off = cancelled(&bench.log);
    assert!(off.iter().all(|id| *id < 200), "only until it is known: {off:?}");
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 0);
}

#[test]
fn a_process_that_was_held_up_calls_nobody_silent() {
    let mut bench = bench(Effect::Safe);
    (100..112).for_each(|id| assert!(read(&mut bench, id).is_some()));
    bench.wait(20);
    bench.now += 400 * MS;
    bench.hear(Event::Timer(TimerId(1)));
    assert!(cancelled(&bench.log).is_empty());
}

/// Its state was let go of: once its call has ended, the request is read again and not sent to a writer that has nothing
/// to fetch.
#[test]
fn a_request_whose_state_was_released_is_read_again() {
    let mut bench = bench(Effect::Safe);
    let writer = read(&mut bench, 100).expect("a writer");
    bench.wait(500);
    let acts = bench.hear(Event::LeaseReleased(RequestId(100)));
    assert_eq!(cancelled(&acts), [100], "nothing was heard of it");
    let next = sent_to(&bench.end(100, 1, Verdict::Cancelled));
    assert!(next == [1] || next == [2], "{next:?}");
    assert_ne!(sent_to(&bench.end(100, 2, Verdict::Read)), [writer]);
}

/// Where no writer may be used a request waits for one, as long as it may be read again.
#[test]
fn a_request_without_a_writer_waits_in_line() {
    let mut bench = bench(Effect::Safe);
    let first = read(&mut bench, 100).expect("a writer");
    let second = sent_to(&bench.end(100, 1, Verdict::NoRoute))[0];
    assert!(read(&mut bench, 101).is_some_and(|third| third != first));
    bench.end(100, 2, Verdict::NoRoute);
    let acts = bench.end(101, 1, Verdict::NoRoute);
    assert!(!refused(&acts) && sent_to(&acts).is_empty() && released(&acts), "{acts:?}");
    bench.hear(Event::Activity(ServerId(second)));
    let acts = bench.wait(60);
    let read_again = |act: &Action| matches!(act, Action::Send { request: RequestId(101), .. });
    assert!(acts.iter().any(read_again), "{acts:?}");
}

/// What a silent writer was sent goes to its peers: one that has said nothing since gets few calls until it does.
#[test]
fn a_peer_of_a_silent_writer_gets_few_calls_until_it_says_something() {
    let calls_at_once = |heard: bool| {
        let mut bench = bench(Effect::Safe);
        (100..115).for_each(|id| assert!(read(&mut bench, id).is_some()));
        bench.wait(140);
        let peers_talk = |bench: &mut Bench| {
            [12, 13]
                .into_iter()
                .for_each(|peer| assert!(bench.hear(Event::Activity(ServerId(peer))).is_empty()))
        };
        peers_talk(&mut bench);
        bench.wait(100);
        assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
        if heard {
            peers_talk(&mut bench);
        }
        let writers: Vec<u64> = (1_000..1_040).filter_map(|id| read(&mut bench, id)).collect();
        writers.iter().filter(|writer| **writer == 12).count()
    };
    let (few, more) = (calls_at_once(false), calls_at_once(true));
    assert!((1..=6).contains(&few) && more > 6, "{few} and {more}");
}

/// A stream that ends since its client left is no sign of life of its server.
#[test]
fn a_client_that_leaves_a_silent_writers_stream_does_not_speak_for_it() {
    let mut bench = bench(Effect::Safe);
    // Streams at all three, and a few calls that the silent one owes an answer to.
    let mut streams = Vec::new();
    for id in 100..160 {
        if let Some(writer) = read(&mut bench, id) {
            bench.first(id, 1);
            streams.extend((writer == 11).then_some(id));
        }
    }
    let owed = (200..215).filter(|id| read(&mut bench, *id) == Some(11)).count();
    assert!(streams.len() > 13 && owed >= 3, "{streams:?}, {owed} calls");
    for left in streams.into_iter().take(13) {
        [12, 13].into_iter().for_each(|peer| drop(bench.hear(Event::Activity(ServerId(peer)))));
        bench.hear(Event::ClientLeft(RequestId(left)));
        bench.end(left, 1, Verdict::Ok);
        bench.wait(20);
    }
    assert_eq!(bench.router.excluded_servers(Time(bench.now)), 1);
}
