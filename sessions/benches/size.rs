//! Cost of single events with 1,000 servers and 10,000 or 100,000 connections:
//! `cargo bench -p fawnstream-sessions`.

use fawnstream_sessions::{
    Action, AttemptOutcome, MAX_ACTIONS_PER_TICK, Rules, ServerId, SessionId, Sessions, SlowStart, TenantId,
};

fn main() {
    divan::main();
}

const SERVERS: u64 = 1_000;

fn rules() -> Rules {
    Rules {
        routers: 1,
        max_sessions: 1_000_000,
        max_per_server: 100_000,
        max_per_tenant: 1_000_000,
        max_waiting_moves: 1_000_000,
        max_move_wait: 4_000,
        max_queued: 1_000_000,
        max_queue_wait: 400,
        max_attempts: 2,
        drain_duration: 1_500,
        warm_opens_per_s: 100_000.0,
        slow_start: SlowStart { cold_share: 0.3, warm_up: 10_000 },
    }
}

/// Opens this many connections at 1,000 servers.
fn filled_sessions(connections: u64) -> Sessions {
    let mut sessions = Sessions::new(rules(), 1);
    (0..SERVERS).for_each(|server| sessions.server_listed(ServerId(server), None, 0));
    for id in 0..connections {
        let now = id;
        sessions.enqueue(SessionId(id), TenantId(id % 8), true, now).unwrap();
        for action in sessions.tick(now, |_, offered| offered.first().copied()) {
            let Action::Open { session, .. } = action else { panic!("new connection refused") };
            sessions.attempt_ended(session, AttemptOutcome::Opened, now);
        }
    }
    sessions
}

/// One connection opens and ends.
#[divan::bench(args = [10_000, 100_000])]
fn open_and_end(bencher: divan::Bencher, connections: u64) {
    let (mut sessions, mut id) = (filled_sessions(connections), connections);
    bencher.bench_local(move || {
        id += 1;
        sessions.enqueue(SessionId(id), TenantId(id % 8), true, id).unwrap();
        let actions = sessions.tick(id, |_, offered| offered.last().copied());
        sessions.attempt_ended(SessionId(id), AttemptOutcome::Opened, id);
        sessions.session_ended(SessionId(id));
        actions
    });
}

/// A server drains and is listed again.
#[divan::bench(args = [10_000, 100_000])]
fn drain_and_list(bencher: divan::Bencher, connections: u64) {
    let mut sessions = filled_sessions(connections);
    bencher.bench_local(move || {
        sessions.server_draining(ServerId(7), false, 1_000_000);
        sessions.server_listed(ServerId(7), None, 1_000_000);
    });
}

/// One tick during a rollout that drains half of the servers: the most expensive event.
#[divan::bench(args = [10_000, 100_000])]
fn tick_during_rollout(bencher: divan::Bencher, connections: u64) {
    bencher
        .with_inputs(|| {
            let mut sessions = filled_sessions(connections);
            (0..SERVERS / 2).for_each(|server| sessions.server_draining(ServerId(server), false, 1_000_000));
            sessions
        })
        .bench_local_refs(|sessions| {
            let actions = sessions.tick(1_000_000, |_, offered| offered.first().copied());
            assert!(actions.len() <= MAX_ACTIONS_PER_TICK && !actions.is_empty());
            actions
        });
}
