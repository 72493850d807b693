//! Long-lived connections that tie a session to one server: how many may be where, and what becomes of them when
//! their server goes. Pure: no clock, no I/O, no threads; `docs/design-sessions.md` says why it decides as it does.
//! Which server takes a connection is picked by the decision module, among those that [`Sessions::takes`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod pace;

use pace::Pace;
pub use pace::Warmth;
use std::collections::{BTreeMap, VecDeque};

/// A server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// A customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub u64);

/// A connection; never used twice in a router's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// Milliseconds, of a clock that never goes back.
pub type Millis = u64;

/// What the settings say.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How many routers share the servers.
    pub routers: u32,
    /// Connections that this router may have.
    pub most: usize,
    /// Connections that it may have at one server.
    pub most_at_server: usize,
    /// Connections that it may have of one customer.
    pub most_of_tenant: usize,
    /// Connections that may wait for a move.
    pub most_waiting: usize,
    /// None waits longer.
    pub longest_wait: Millis,
    /// What a warm server takes, of all routers together, in new connections a second.
    pub warm_per_s: f64,
    /// How servers warm up.
    pub warmth: Warmth,
}

/// Why a new connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The customer has as many as it may (429).
    Tenant,
    /// This router has (503).
    Router,
}

/// Why a connection is closed: the code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// 1001: its server has gone.
    Away,
    /// 1012: its server restarts, and it cannot be moved in time.
    Restart,
    /// 1013: it was moved and the new server did not take it.
    TryLater,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a new upstream there; [`Sessions::moved`] hears how that went.
    Move {
        /// The connection.
        session: SessionId,
        /// Where to.
        to: ServerId,
    },
    /// Close it in order.
    Close {
        /// The connection.
        session: SessionId,
        /// Why.
        code: Code,
        /// When its client may come again, from now.
        again: Millis,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Waiting { since: Millis },
    Moving { to: ServerId },
}

struct Session {
    tenant: TenantId,
    server: ServerId,
    opened: Millis,
    state: State,
    /// It may have told its server something that must not be told twice.
    bound: bool,
}

#[derive(Default)]
struct Server {
    up_since: Option<Millis>,
    leaving: bool,
    /// Open there, and on their way.
    held: usize,
    pace: Pace,
}

/// One router's long-lived connections.
pub struct Sessions {
    rules: Rules,
    seed: u64,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<SessionId, Session>,
    waiting: VecDeque<SessionId>,
}

impl Sessions {
    /// None yet; `seed` is the only source of chance.
    pub fn new(rules: Rules, seed: u64) -> Self {
        let (servers, sessions, waiting) = Default::default();
        Sessions { rules, seed, servers, sessions, waiting }
    }

    /// Connections here, and how many of them wait for a move.
    pub fn count(&self) -> (usize, usize) {
        (self.sessions.len(), self.waiting.len())
    }

    /// Connections at a server, those on their way there among them.
    pub fn held(&self, server: ServerId) -> usize {
        self.servers.get(&server).map_or(0, |server| server.held)
    }

    /// A server is listed and takes connections; `up_since`: when it last started, if that is not long ago.
    pub fn listed(&mut self, server: ServerId, up_since: Option<Millis>) {
        let known = self.servers.entry(server).or_default();
        if known.up_since != up_since {
            known.pace = Pace::default();
        }
        (known.up_since, known.leaving) = (up_since, false);
    }

    /// Whether a server may take a connection that moves now: what the decision module is asked with.
    pub fn takes(&self, server: ServerId, now: Millis) -> bool {
        let rules = &self.rules;
        self.servers.get(&server).is_some_and(|known| {
            !known.leaving
                && known.held < rules.most_at_server
                && known.pace.ready(now, rules.rate(known.up_since, now))
        })
    }

    /// A new connection of this customer wants in; the caller has picked a server that [`Sessions::takes`].
    pub fn open(
        &mut self,
        session: SessionId,
        tenant: TenantId,
        at: ServerId,
        now: Millis,
    ) -> Result<(), Turned> {
        let of_tenant = self.sessions.values().filter(|session| session.tenant == tenant).count();
        if of_tenant >= self.rules.most_of_tenant {
            return Err(Turned::Tenant);
        }
        if self.sessions.len() >= self.rules.most || !self.takes(at, now) {
            return Err(Turned::Router);
        }
        self.spend(at, now);
        let state = State::Open;
        self.sessions.insert(session, Session { tenant, server: at, opened: now, state, bound: false });
        Ok(())
    }

    /// The client told its server something (`true`), or the server has acknowledged all of it (`false`).
    pub fn bind(&mut self, session: SessionId, bound: bool) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.bound = bound;
        }
    }

    /// A connection has ended, whoever ended it.
    pub fn ended(&mut self, session: SessionId) {
        let Some(ended) = self.sessions.remove(&session) else { return };
        self.waiting.retain(|waiting| *waiting != session);
        self.let_go(ended.server);
        if let State::Moving { to } = ended.state {
            self.let_go(to);
        }
    }

    /// A server drains: its connections get in line, the longest open first. What cannot move is closed now.
    pub fn drains(&mut self, server: ServerId, now: Millis) -> Vec<Action> {
        let Some(known) = self.servers.get_mut(&server) else { return Vec::new() };
        known.leaving = true;
        let mut there: Vec<(Millis, SessionId)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.server == server && session.state == State::Open)
            .map(|(id, session)| (session.opened, *id))
            .collect();
        there.sort();
        let mut actions = Vec::new();
        for (_, id) in there {
            let fits = self.waiting.len() < self.rules.most_waiting && self.in_time(self.waiting.len(), now);
            match self.sessions.get_mut(&id) {
                Some(session) if fits && !session.bound => {
                    session.state = State::Waiting { since: now };
                    self.waiting.push_back(id);
                }
                _ => actions.push(self.close(id, Code::Restart, now)),
            }
        }
        // A move that was on its way there goes nowhere.
        let lost: Vec<SessionId> = self.moving_to(server);
        actions.extend(lost.into_iter().map(|id| self.close(id, Code::TryLater, now)));
        actions
    }

    /// A server has gone: what is still there ends.
    pub fn gone(&mut self, server: ServerId, now: Millis) -> Vec<Action> {
        let mut lost: Vec<SessionId> =
            self.sessions.iter().filter(|(_, session)| session.server == server).map(|(id, _)| *id).collect();
        lost.extend(self.moving_to(server));
        lost.sort();
        lost.dedup();
        let actions = lost.into_iter().map(|id| self.close(id, Code::Away, now)).collect();
        self.servers.remove(&server);
        actions
    }

    /// Time has passed: those whose turn it is move, those that waited too long are closed. `pick` is the decision
    /// module's choice among the servers that take one more.
    pub fn tick(
        &mut self,
        now: Millis,
        mut pick: impl FnMut(SessionId, &[ServerId]) -> Option<ServerId>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(id) = self.waiting.front().copied() {
            let since = match self.sessions.get(&id).map(|session| session.state) {
                Some(State::Waiting { since }) => since,
                _ => {
                    self.waiting.pop_front();
                    continue;
                }
            };
            if now.saturating_sub(since) > self.rules.longest_wait {
                actions.push(self.close(id, Code::Restart, now));
                continue;
            }
            let open: Vec<ServerId> =
                self.servers.keys().copied().filter(|server| self.takes(*server, now)).collect();
            let Some(to) = pick(id, &open).filter(|to| open.contains(to)) else { break };
            self.waiting.pop_front();
            self.spend(to, now);
            if let Some(session) = self.sessions.get_mut(&id) {
                session.state = State::Moving { to };
            }
            actions.push(Action::Move { session: id, to });
        }
        actions
    }

    /// A move has ended: the connection is at its new server, or it is closed. One that ended meanwhile is ignored.
    pub fn moved(&mut self, session: SessionId, well: bool, now: Millis) -> Option<Action> {
        let known = self.sessions.get_mut(&session)?;
        let State::Moving { to } = known.state else { return None };
        if !well {
            return Some(self.close(session, Code::TryLater, now));
        }
        let from = std::mem::replace(&mut known.server, to);
        (known.state, known.bound) = (State::Open, false);
        self.let_go(from);
        None
    }

    fn moving_to(&self, server: ServerId) -> Vec<SessionId> {
        let there = |(_, session): &(&SessionId, &Session)| session.state == State::Moving { to: server };
        self.sessions.iter().filter(there).map(|(id, _)| *id).collect()
    }

    fn close(&mut self, session: SessionId, code: Code, now: Millis) -> Action {
        self.ended(session);
        Action::Close { session, code, again: self.again(session, now) }
    }

    fn spend(&mut self, server: ServerId, now: Millis) {
        if let Some(known) = self.servers.get_mut(&server) {
            let rate = self.rules.rate(known.up_since, now);
            known.pace.spend(now, rate);
            known.held += 1;
        }
    }

    fn let_go(&mut self, server: ServerId) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.held = known.held.saturating_sub(1);
        }
    }

    /// How long the line needs from now on, at the pace that all servers have now.
    fn line(&self, length: usize, now: Millis) -> f64 {
        let open = self.servers.values().filter(|known| !known.leaving);
        let rate: f64 = open.map(|known| self.rules.rate(known.up_since, now)).sum();
        if rate > 0.0 { length as f64 / rate * 1_000.0 } else { f64::INFINITY }
    }

    fn in_time(&self, ahead: usize, now: Millis) -> bool {
        self.line(ahead + 1, now) <= self.rules.longest_wait as f64
    }

    /// When a client may come again: spread over the time that the line needs, and never all at once.
    fn again(&self, session: SessionId, now: Millis) -> Millis {
        let line = self.line(self.waiting.len() + 1, now).min(10.0 * self.rules.longest_wait as f64);
        let over = line.max(self.rules.longest_wait as f64);
        (over * pace::fraction(self.seed ^ pace::mix(session.0))) as Millis + 1
    }
}
