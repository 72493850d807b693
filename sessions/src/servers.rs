//! The pace at which a server takes connections of this router, and the servers that take one now, without a walk
//! over all of them.

use crate::{Millis, Rules, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// A server that something speaks against gets nothing for so long, and at most for so long.
const REST: Millis = 200;
const LONGEST_REST: Millis = 5_000;

/// How servers warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// What a fresh one can do, of what a warm one can.
    pub cold_share: f64,
    /// It is warm after this time.
    pub warm_up: Millis,
}

impl Rules {
    /// This router's part of what a server takes now, in connections a second.
    pub(crate) fn rate(&self, up_since: Option<Millis>, now: Millis) -> f64 {
        let age = up_since.map(|up| now.saturating_sub(up)).filter(|age| *age < self.slow_start.warm_up);
        let cold = self.slow_start.cold_share;
        let warm = age.map_or(1.0, |age| cold + (1.0 - cold) * age as f64 / self.slow_start.warm_up as f64);
        self.each() * warm
    }

    /// The same of a warm one.
    fn each(&self) -> f64 {
        self.warm_opens_per_s / f64::from(self.routers.max(1))
    }
}

/// One server.
pub(crate) struct Server {
    pub(crate) up_since: Option<Millis>,
    /// Known to drain: until when its connections may wait for a move.
    pub(crate) drains: Option<Millis>,
    /// It is on no list any more; forgotten once nothing of ours is there.
    pub(crate) gone: bool,
    /// Connections open there, the longest first.
    pub(crate) open: BTreeSet<(Millis, crate::SessionId)>,
    /// On their way there.
    pub(crate) coming: usize,
    /// From when on the next one may go: a bucket as deep as one connection. A deeper one would let all routers send
    /// theirs at once.
    next: Millis,
    /// Attempts that failed there, and connections that broke, since one got there last.
    failed: u32,
}

impl Server {
    /// Open there and on their way.
    pub(crate) fn held(&self) -> usize {
        self.open.len() + self.coming
    }
}

/// All servers known.
#[derive(Default)]
pub(crate) struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that are listed, do not drain and have a place left, by when they take the next one.
    ready: BTreeSet<(Millis, ServerId)>,
    /// Of the servers that take connections the cold ones, by their start, and the sum of those starts: what all can
    /// take is reckoned from these without a walk.
    cold: BTreeSet<(Millis, ServerId)>,
    cold_sum: u128,
    /// How many take connections, cold ones too.
    taking: usize,
}

impl Fleet {
    pub(crate) fn get(&self, server: ServerId) -> Option<&Server> {
        self.servers.get(&server)
    }

    /// A server is listed and does not drain. A later start voids what was known of its pace.
    pub(crate) fn list(&mut self, rules: &Rules, id: ServerId, up_since: Option<Millis>, now: Millis) {
        self.take_out(id);
        let fresh = || Server {
            up_since,
            drains: None,
            gone: false,
            open: BTreeSet::new(),
            coming: 0,
            next: now,
            failed: 0,
        };
        let server = self.servers.entry(id).or_insert_with(fresh);
        if server.up_since != up_since {
            (server.next, server.failed) = (now, 0);
        }
        (server.up_since, server.drains, server.gone) = (up_since, None, false);
        self.taking += 1;
        if let Some(up) = up_since.filter(|up| now.saturating_sub(*up) < rules.slow_start.warm_up) {
            self.cold.insert((up, id));
            self.cold_sum += u128::from(up);
        }
        self.put_in(rules, id);
    }

    /// A server drains or is gone: it gets nothing new, and its connections wait until then. True if that is news.
    pub(crate) fn drain(&mut self, id: ServerId, gone: bool, until: Millis) -> bool {
        self.take_out(id);
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let news = server.drains.is_none();
        server.drains.get_or_insert(until);
        server.gone |= gone;
        self.forget(id);
        news
    }

    /// It no longer counts among those that take connections.
    fn take_out(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id).filter(|server| server.drains.is_none()) else { return };
        self.ready.remove(&(server.next, id));
        self.taking = self.taking.saturating_sub(1);
        if let Some(up) = server.up_since.filter(|up| self.cold.remove(&(*up, id))) {
            self.cold_sum -= u128::from(up);
        }
    }

    /// Where it belongs in the order of those that are ready, if it has a place left.
    fn put_in(&mut self, rules: &Rules, id: ServerId) {
        if let Some(server) = self.servers.get(&id)
            && server.drains.is_none()
            && server.held() < rules.max_per_server
        {
            self.ready.insert((server.next, id));
        }
    }

    /// Changes a server and keeps the order true.
    fn change(&mut self, rules: &Rules, id: ServerId, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        self.ready.remove(&(server.next, id));
        change(server);
        self.put_in(rules, id);
        self.forget(id);
    }

    /// A server that is on no list is forgotten once nothing of ours is there.
    fn forget(&mut self, id: ServerId) {
        if self.servers.get(&id).is_some_and(|server| server.gone && server.held() == 0) {
            self.servers.remove(&id);
        }
    }

    /// A connection is on its way there: its turn is spent.
    pub(crate) fn spend(&mut self, rules: &Rules, id: ServerId, now: Millis) {
        self.change(rules, id, |server| {
            let rate = rules.rate(server.up_since, now);
            server.next = now.saturating_add((1_000.0 / rate.max(1e-9)).ceil() as Millis);
            server.coming += 1;
        });
    }

    /// It is about to move away: until it has, it counts there as one on its way.
    pub(crate) fn hold(&mut self, rules: &Rules, id: ServerId) {
        self.change(rules, id, |server| server.coming += 1);
    }

    /// It did not get there.
    pub(crate) fn lost(&mut self, rules: &Rules, id: ServerId) {
        self.change(rules, id, |server| server.coming = server.coming.saturating_sub(1));
    }

    /// Something speaks against a server: it rests, twice as long each time until a connection gets there. What waits
    /// goes to others first, and a server that is dead and still listed costs few attempts.
    pub(crate) fn rest(&mut self, rules: &Rules, id: ServerId, now: Millis) {
        self.change(rules, id, |server| {
            let rest = (REST << server.failed.min(8)).min(LONGEST_REST);
            server.failed = server.failed.saturating_add(1);
            server.next = server.next.max(now + rest);
        });
    }

    /// It got there.
    pub(crate) fn arrived(&mut self, rules: &Rules, id: ServerId, key: (Millis, crate::SessionId)) {
        self.change(rules, id, |server| {
            server.coming = server.coming.saturating_sub(1);
            server.failed = 0;
            server.open.insert(key);
        });
    }

    /// It has left.
    pub(crate) fn left(&mut self, rules: &Rules, id: ServerId, key: (Millis, crate::SessionId)) {
        self.change(rules, id, |server| {
            server.open.remove(&key);
        });
    }

    /// The caps have changed.
    pub(crate) fn reorder(&mut self, rules: &Rules) {
        self.ready.clear();
        let all: Vec<ServerId> = self.servers.keys().copied().collect();
        all.into_iter().for_each(|id| self.put_in(rules, id));
    }

    /// When the next server takes a connection.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.ready.first().map(|(next, _)| *next)
    }

    /// Servers that take one now, those that rested longest first, so many at most.
    pub(crate) fn ready(&self, now: Millis, most: usize) -> impl Iterator<Item = ServerId> {
        self.ready.iter().take_while(move |(next, _)| *next <= now).take(most).map(|(_, id)| *id)
    }

    /// What this router may open at all servers together, in connections a second, as it will be at `then`.
    pub(crate) fn rate(&mut self, rules: &Rules, now: Millis, then: Millis) -> f64 {
        while let Some((up, id)) = self.cold.first().copied() {
            if now.saturating_sub(up) < rules.slow_start.warm_up {
                break;
            }
            self.cold.remove(&(up, id));
            self.cold_sum -= u128::from(up);
        }
        let cold = self.cold.len() as f64;
        let age =
            (cold * then as f64 - self.cold_sum as f64).max(0.0) / rules.slow_start.warm_up.max(1) as f64;
        let share = rules.slow_start.cold_share;
        let warming = (cold * share + (1.0 - share) * age).min(cold);
        rules.each() * (self.taking as f64 - cold + warming)
    }
}
