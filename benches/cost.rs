//! Time per decision at large sizes: `cargo bench -p shedrelay`. Half of the servers are readers, half writers. Most
//! open requests are streaming; those beyond the admission limit wait in the queue.

#[path = "../tests/common/mod.rs"]
mod common;

use common::settings;
use shedrelay::*;

fn main() {
    divan::main();
}

/// A router with a number of servers and open requests.
fn loaded_router(servers: u64, open: u64) -> (Router, Vec<Action>) {
    loaded_router_with_cold(servers, open, 0)
}

/// The same with `cold` of every ten servers cold all the time.
fn loaded_router_with_cold(servers: u64, open: u64, cold: u64) -> (Router, Vec<Action>) {
    let mut config = settings(Effect::Safe);
    config.routers = 1;
    (config.classes[0].aim, config.classes[0].aim_per_1000) = (Span::from_millis(60_000), Span::default());
    let member = |server: u64| Member {
        server: ServerId(server),
        kind: KindId((server % 2) as usize),
        cell: CellId(server / 10),
        up_since: (server % 10 < cold).then_some(Time(1)),
        ..Member::default()
    };
    let (mut router, mut out) = (Router::new(config, 7).expect("settings are valid"), Vec::new());
    router.handle(Time(1), Event::Members(Members::Full((0..servers).map(member).collect())), &mut out);
    for id in 0..open {
        request(&mut router, id, &mut out);
        read(&mut router, id, &mut out);
    }
    (router, out)
}

fn request(router: &mut Router, id: u64, out: &mut Vec<Action>) {
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

/// Ends the read of a request, if it was sent to a reader, and begins its answer.
fn read(router: &mut Router, id: u64, out: &mut Vec<Action>) {
    let now = Time(1_000 + id);
    let outcome = |attempt, verdict| {
        Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: Attempt(attempt),
            verdict,
            evidence: Evidence::Server,
            settled: false,
            cached_tokens: None,
            report: None,
        })
    };
    if out.iter().any(|action| matches!(action, Action::Send { request, .. } if request.0 == id)) {
        router.handle(now, outcome(0, Verdict::Read), out);
        router.handle(now, Event::FirstToken { request: RequestId(id), attempt: Attempt(1) }, out);
    }
}

/// A request arrives, is sent or queued, and its client leaves.
#[divan::bench(args = [(10, 100), (60, 600), (100, 1_000), (1_000, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_request(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let ((mut router, mut out), mut id) = (loaded_router(servers, open), open);
    bencher.bench_local(move || {
        id += 1;
        request(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}

/// The same while six in ten servers are cold.
#[divan::bench(args = [(60, 600), (1_000, 10_000)], sample_count = 20)]
fn one_request_among_cold(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let ((mut router, mut out), mut id) = (loaded_router_with_cold(servers, open, 6), open);
    bencher.bench_local(move || {
        id += 1;
        request(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}

/// Choice of a server for a long-lived connection.
#[divan::bench(args = [(10, 100), (100, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_connection(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let (mut router, _) = loaded_router(servers, open);
    let offered: Vec<ServerId> = (0..servers.min(32)).filter(|id| id % 2 == 1).map(ServerId).collect();
    bencher.bench_local(move || router.place_connection(Time(20_000), &offered));
}

/// The check of queued requests and silent servers, 25 times per second.
#[divan::bench(args = [(10, 100), (100, 1_000), (1_000, 1_000), (1_000, 10_000)], sample_count = 20)]
fn one_tick(bencher: divan::Bencher, (servers, open): (u64, u64)) {
    let (mut router, mut out) = loaded_router(servers, open);
    bencher.bench_local(move || {
        out.clear();
        router.handle(Time(20_000), Event::Timer(TimerId(1)), &mut out);
    });
}

/// A request behind a queue of `waiting` requests while all that the limit allows are being read.
#[divan::bench(args = [(100, 10), (100, 100), (100, 300), (1_000, 300)], sample_count = 20)]
fn one_request_in_line(bencher: divan::Bencher, (servers, waiting): (u64, u64)) {
    let ((mut router, mut out), mut id) = (loaded_router(servers, 0), 0);
    let mut waits = 0;
    while waits < waiting {
        id += 1;
        request(&mut router, id, &mut out);
        waits += u64::from(!out.iter().any(|action| matches!(action, Action::Send { .. })));
    }
    bencher.bench_local(move || {
        id += 1;
        request(&mut router, id, &mut out);
        router.handle(Time(1_000 + id), Event::ClientLeft(RequestId(id)), &mut out);
    });
}
