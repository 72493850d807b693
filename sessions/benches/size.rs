//! What an event costs at size: `cargo bench -p fawnstream-sessions`. 1,000 servers and 10,000 or 100,000 connections.

use fawnstream_sessions::{AT_ONCE, Action, Attempt, Rules, ServerId, SessionId, Sessions, TenantId, Warmth};

fn main() {
    divan::main();
}

const SERVERS: u64 = 1_000;

fn rules() -> Rules {
    Rules {
        routers: 1,
        most: 1_000_000,
        most_at_server: 100_000,
        most_of_tenant: 1_000_000,
        most_waiting: 1_000_000,
        longest_wait: 4_000,
        most_asking: 1_000_000,
        longest_ask: 400,
        tries: 2,
        away_over: 1_500,
        warm_per_s: 100_000.0,
        warmth: Warmth { cold_share: 0.3, cold: 10_000 },
    }
}

/// So many connections at 1,000 servers.
fn full(connections: u64) -> Sessions {
    let mut sessions = Sessions::new(rules(), 1);
    (0..SERVERS).for_each(|server| sessions.listed(ServerId(server), None, 0));
    for id in 0..connections {
        let now = id;
        sessions.ask(SessionId(id), TenantId(id % 8), true, now).unwrap();
        for action in sessions.tick(now, |_, offered| offered.first().copied()) {
            let Action::Open { session, .. } = action else { panic!("turned away") };
            sessions.tried(session, Attempt::Taken, now);
        }
    }
    sessions
}

/// One connection comes and goes.
#[divan::bench(args = [10_000, 100_000])]
fn open_and_end(bencher: divan::Bencher, connections: u64) {
    let (mut sessions, mut id) = (full(connections), connections);
    bencher.bench_local(move || {
        id += 1;
        sessions.ask(SessionId(id), TenantId(id % 8), true, id).unwrap();
        let actions = sessions.tick(id, |_, offered| offered.last().copied());
        sessions.tried(SessionId(id), Attempt::Taken, id);
        sessions.ended(SessionId(id));
        actions
    });
}

/// A server is told to drain, and is listed again.
#[divan::bench(args = [10_000, 100_000])]
fn drain_and_list(bencher: divan::Bencher, connections: u64) {
    let mut sessions = full(connections);
    bencher.bench_local(move || {
        sessions.drains(ServerId(7), false, 1_000_000);
        sessions.listed(ServerId(7), None, 1_000_000);
    });
}

/// One tick of a release that drains half of the servers: the most that one event costs.
#[divan::bench(args = [10_000, 100_000])]
fn tick_in_release(bencher: divan::Bencher, connections: u64) {
    bencher
        .with_inputs(|| {
            let mut sessions = full(connections);
            (0..SERVERS / 2).for_each(|server| sessions.drains(ServerId(server), false, 1_000_000));
            sessions
        })
        .bench_local_refs(|sessions| {
            let actions = sessions.tick(1_000_000, |_, offered| offered.first().copied());
            assert!(actions.len() <= AT_ONCE && !actions.is_empty());
            actions
        });
}
