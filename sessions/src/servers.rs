//! The rate at which each server takes connections of this router, and which servers can take one now,
//! without iterating over all of them.

use crate::{Millis, Rules, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff in ms after the first failure at a server; it doubles with each further one.
const INITIAL_BACKOFF: Millis = 200;
/// Longest backoff, in ms.
const MAX_BACKOFF: Millis = 5_000;

/// Slow start of fresh servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The share of its full rate that a fresh server can take.
    pub cold_share: f64,
    /// A server is warm this long after its start, in ms.
    pub warm_up: Millis,
}

impl Rules {
    /// This router's share of the rate that a server takes now, in connections per second.
    pub(crate) fn server_rate(&self, up_since: Option<Millis>, now: Millis) -> f64 {
        let age = up_since.map(|up| now.saturating_sub(up)).filter(|age| *age < self.slow_start.warm_up);
        let cold = self.slow_start.cold_share;
        let warm = age.map_or(1.0, |age| cold + (1.0 - cold) * age as f64 / self.slow_start.warm_up as f64);
        self.warm_rate() * warm
    }

    /// This router's share of the rate of a warm server.
    fn warm_rate(&self) -> f64 {
        self.warm_opens_per_s / f64::from(self.routers.max(1))
    }
}

/// One server.
pub(crate) struct Server {
    pub(crate) up_since: Option<Millis>,
    /// Until when its connections may wait for a move; set while the server drains.
    pub(crate) drain_until: Option<Millis>,
    /// No longer listed. The entry is removed once no connection of this router is there.
    pub(crate) gone: bool,
    /// Connections open there, the oldest first.
    pub(crate) open: BTreeSet<(Millis, crate::SessionId)>,
    /// Connections on their way there.
    pub(crate) incoming: usize,
    /// When the next connection may go there: a token bucket with a capacity of one connection. With a larger
    /// one all routers could send theirs at once.
    next_turn: Millis,
    /// Failed attempts and broken connections since a connection was last opened there.
    failures: u32,
}

impl Server {
    /// Connections open there and on their way.
    pub(crate) fn connection_count(&self) -> usize {
        self.open.len() + self.incoming
    }
}

/// All known servers.
#[derive(Default)]
pub(crate) struct ServerPool {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that are listed, do not drain and have room, by the time at which they take the next
    /// connection.
    ready: BTreeSet<(Millis, ServerId)>,
    /// The cold servers among those that accept connections, by their start times. With the sum of these
    /// times the total rate is computed without iterating.
    cold: BTreeSet<(Millis, ServerId)>,
    cold_start_sum: u128,
    /// Number of servers that accept connections, including cold ones.
    accepting: usize,
}

impl ServerPool {
    pub(crate) fn get(&self, server: ServerId) -> Option<&Server> {
        self.servers.get(&server)
    }

    /// A server is listed and does not drain. If it has restarted, what was known about its rate no longer
    /// applies.
    pub(crate) fn list(&mut self, rules: &Rules, id: ServerId, up_since: Option<Millis>, now: Millis) {
        self.remove_from_accepting(id);
        let fresh = || Server {
            up_since,
            drain_until: None,
            gone: false,
            open: BTreeSet::new(),
            incoming: 0,
            next_turn: now,
            failures: 0,
        };
        let server = self.servers.entry(id).or_insert_with(fresh);
        if server.up_since != up_since {
            (server.next_turn, server.failures) = (now, 0);
        }
        (server.up_since, server.drain_until, server.gone) = (up_since, None, false);
        self.accepting += 1;
        if let Some(up) = up_since.filter(|up| now.saturating_sub(*up) < rules.slow_start.warm_up) {
            self.cold.insert((up, id));
            self.cold_start_sum += u128::from(up);
        }
        self.add_to_ready(rules, id);
    }

    /// A server drains or is gone: it gets no new connections, and those it has wait until the given time.
    /// Returns true if it was not draining before.
    pub(crate) fn drain(&mut self, id: ServerId, gone: bool, wait_until: Millis) -> bool {
        self.remove_from_accepting(id);
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let is_new = server.drain_until.is_none();
        server.drain_until.get_or_insert(wait_until);
        server.gone |= gone;
        self.remove_if_unused(id);
        is_new
    }

    /// Removes a server from those that accept connections.
    fn remove_from_accepting(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id).filter(|server| server.drain_until.is_none()) else {
            return;
        };
        self.ready.remove(&(server.next_turn, id));
        self.accepting = self.accepting.saturating_sub(1);
        if let Some(up) = server.up_since.filter(|up| self.cold.remove(&(*up, id))) {
            self.cold_start_sum -= u128::from(up);
        }
    }

    /// Adds a server to the ready ones if it accepts connections and has room.
    fn add_to_ready(&mut self, rules: &Rules, id: ServerId) {
        if let Some(server) = self.servers.get(&id)
            && server.drain_until.is_none()
            && server.connection_count() < rules.max_per_server
        {
            self.ready.insert((server.next_turn, id));
        }
    }

    /// Updates a server and its place among the ready ones.
    fn update(&mut self, rules: &Rules, id: ServerId, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        self.ready.remove(&(server.next_turn, id));
        change(server);
        self.add_to_ready(rules, id);
        self.remove_if_unused(id);
    }

    /// Removes a server that is no longer listed once no connection of this router is there.
    fn remove_if_unused(&mut self, id: ServerId) {
        if self.servers.get(&id).is_some_and(|server| server.gone && server.connection_count() == 0) {
            self.servers.remove(&id);
        }
    }

    /// A connection is on its way to the server, which uses up the server's turn.
    pub(crate) fn add_attempt(&mut self, rules: &Rules, id: ServerId, now: Millis) {
        self.update(rules, id, |server| {
            let rate = rules.server_rate(server.up_since, now);
            server.next_turn = now.saturating_add((1_000.0 / rate.max(1e-9)).ceil() as Millis);
            server.incoming += 1;
        });
    }

    /// A connection is about to move away; until then it counts as incoming.
    pub(crate) fn add_incoming(&mut self, rules: &Rules, id: ServerId) {
        self.update(rules, id, |server| server.incoming += 1);
    }

    /// An incoming connection did not arrive.
    pub(crate) fn drop_incoming(&mut self, rules: &Rules, id: ServerId) {
        self.update(rules, id, |server| server.incoming = server.incoming.saturating_sub(1));
    }

    /// Something failed at a server: it gets no connections for a backoff that doubles each time until a
    /// connection is opened there. Waiting connections go to other servers first, and a server that is dead
    /// but still listed costs few attempts.
    pub(crate) fn back_off(&mut self, rules: &Rules, id: ServerId, now: Millis) {
        self.update(rules, id, |server| {
            let backoff = (INITIAL_BACKOFF << server.failures.min(8)).min(MAX_BACKOFF);
            server.failures = server.failures.saturating_add(1);
            server.next_turn = server.next_turn.max(now + backoff);
        });
    }

    /// A connection was opened there.
    pub(crate) fn connection_opened(&mut self, rules: &Rules, id: ServerId, key: (Millis, crate::SessionId)) {
        self.update(rules, id, |server| {
            server.incoming = server.incoming.saturating_sub(1);
            server.failures = 0;
            server.open.insert(key);
        });
    }

    /// A connection has left.
    pub(crate) fn connection_left(&mut self, rules: &Rules, id: ServerId, key: (Millis, crate::SessionId)) {
        self.update(rules, id, |server| {
            server.open.remove(&key);
        });
    }

    /// Rebuilds the ready set after the limits have changed.
    pub(crate) fn rebuild_ready(&mut self, rules: &Rules) {
        self.ready.clear();
        let all: Vec<ServerId> = self.servers.keys().copied().collect();
        all.into_iter().for_each(|id| self.add_to_ready(rules, id));
    }

    /// When the next server takes a connection.
    pub(crate) fn next_turn(&self) -> Option<Millis> {
        self.ready.first().map(|(next, _)| *next)
    }

    /// Up to `limit` servers that can take a connection now, those that have been ready longest first.
    pub(crate) fn ready(&self, now: Millis, limit: usize) -> impl Iterator<Item = ServerId> {
        self.ready.iter().take_while(move |(next, _)| *next <= now).take(limit).map(|(_, id)| *id)
    }

    /// The rate at which this router may open connections at all servers together, in connections per second,
    /// as it will be at `then`.
    pub(crate) fn total_rate(&mut self, rules: &Rules, now: Millis, then: Millis) -> f64 {
        while let Some((up, id)) = self.cold.first().copied() {
            if now.saturating_sub(up) < rules.slow_start.warm_up {
                break;
            }
            self.cold.remove(&(up, id));
            self.cold_start_sum -= u128::from(up);
        }
        let cold = self.cold.len() as f64;
        let age = (cold * then as f64 - self.cold_start_sum as f64).max(0.0)
            / rules.slow_start.warm_up.max(1) as f64;
        let share = rules.slow_start.cold_share;
        let warming = (cold * share + (1.0 - share) * age).min(cold);
        rules.warm_rate() * (self.accepting as f64 - cold + warming)
    }
}
