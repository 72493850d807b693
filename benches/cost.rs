//! What a decision costs at size: `cargo bench -p shedrelay`. Half of the servers read, half write; so many requests are
//! open, most of them streaming, and as many as the gate holds back wait.

#[path = "../tests/common/mod.rs"]
mod common;

use common::settings;
use shedrelay::*;

fn main() {
    divan::main();
}

/// A router with so many servers and so many open requests.
fn full(servers: u64, open: u64) -> (Router, Vec<Action>) {
    started(servers, open, 0)
}

/// The same with so many in ten servers cold all the while.
fn started(servers: u64, open: u64, cold: u64) -> (Router, Vec<Action>) {
    let mut told = settings(Effect::Safe);
    told.routers = 1;
    (told.classes[0].aim, told.classes[0].aim_per_1000) = (Span::from_millis(60_000), Span::default());
    let member = |server: u64| Member {
        server: ServerId(server),
        kind: KindId((server % 2) as usize),
        cell: CellId(server / 10),
        up_since: (server % 10 < cold).then_some(Time(1)),
        ..Member::default()
    };
    let (mut router, mut out) = (Router::new(told, 7).expect("settings are valid"), Vec::new());
    router.handle(Time(1), Event::Members(Members::Full((0..servers).map(member).collect())), &mut out);
    for id in 0..open {
        ask(&mut router, id, &mut out);
        read(&mut router, id, &mut out);
    }
    (router, out)
}

fn ask(router: &mut Router, id: u64, out: &mut Vec<Action>) {
    out.clear();
    let request = Request {
        id: RequestId(id),
        session: Some(Key(id)),
        prefix: Some(Key(id % 20)),
        prefix_len: 300.0,
        prompt_len: 500.0,
        max_out: 100.0,
        budget: Span::from_millis(600_000),
        ..Request::default()
    };
    router.handle(Time(1_000 + id), Event::Request(request), out);
}

/// What was sent to a reader is read, and its answer begins.
fn read(router: &mut Router, id: u64, out: &mut Vec<Action>) {
    let now = Time(1_000 + id);
    let outcome = |attempt, verdict| {
        Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: Attempt(attempt),
            verdict,
            evidence: Evidence::Server,
            settled: false,
            kept: None,
            report: None,
        })
    };
    if out.iter().any(|action| matches!(action, Action::Send { request, .. } if request.0 == id)) {
        router.handle(now, outcome(0, Verdict::Read), out);
        router.handle(now, Event::FirstToken { request: RequestId(id), attempt: Attempt(1) }, out);
    }
}

/// A request comes, is placed or waits, and its client leaves.
#[divan::bench(args = [(10, 100), (60, 600), (100, 1_000), (1_000, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_request(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let ((mut router, mut out), mut id) = (full(servers, open), open);
    bencher.bench_local(move || {
        id += 1;
        ask(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}

/// The same while six in ten servers are cold.
#[divan::bench(args = [(60, 600), (1_000, 10_000)], sample_count = 20)]
fn one_request_among_cold(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let ((mut router, mut out), mut id) = (started(servers, open, 6), open);
    bencher.bench_local(move || {
        id += 1;
        ask(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}

/// A server for one more long-lived connection.
#[divan::bench(args = [(10, 100), (100, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_connection(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let (mut router, _) = full(servers, open);
    let offered: Vec<ServerId> = (0..servers.min(32)).filter(|id| id % 2 == 1).map(ServerId).collect();
    bencher.bench_local(move || router.place_connection(Time(20_000), &offered));
}

/// The look at what waits and what is silent, 25 times a second.
#[divan::bench(args = [(10, 100), (100, 1_000), (1_000, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_tick(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let (mut router, mut out) = full(servers, open);
    bencher.bench_local(move || {
        out.clear();
        router.handle(Time(20_000), Event::Timer(TimerId(1)), &mut out);
    });
}

/// The same in a line: all that this router may have out is being read, and so many wait.
#[divan::bench(args = [(100, 10), (100, 100), (100, 300), (1_000, 300)], sample_count = 20)]
fn one_request_in_line(bencher: divan::Bencher, (servers, waiting): (u64, u64)) {
    let ((mut router, mut out), mut id) = (full(servers, 0), 0);
    let mut waits = 0;
    while waits < waiting {
        id += 1;
        ask(&mut router, id, &mut out);
        waits += u64::from(!out.iter().any(|action| matches!(action, Action::Send { .. })));
    }
    bencher.bench_local(move || {
        id += 1;
        ask(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}
