//! Long-lived connections that tie a session to one server: which may come in, at what pace each server takes them,
//! and what becomes of them when their server goes or this router ends. Pure: no clock, no I/O, no threads;
//! `docs/design-sessions.md` says why it decides as it does. Which server takes a connection is picked by the decision
//! module, among those that [`Sessions::tick`] offers.
//!
//! No event walks over all that is held: what takes time is handed out by [`Sessions::tick`] in parts of
//! [`MAX_ACTIONS_PER_TICK`], at the times that [`Sessions::next_due`] tells.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fair_queue;
mod servers;

use fair_queue::Asks;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use servers::Fleet;
pub use servers::SlowStart;
use std::collections::{BTreeSet, HashMap};

/// A server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);

/// A connection; never used twice in a router's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Milliseconds, of a clock that never goes back.
pub type Millis = u64;

/// So many actions come of one tick at most; [`Sessions::next_due`] says at once that there are more.
pub const MAX_ACTIONS_PER_TICK: usize = 256;
/// So many servers are offered for a pick: a pick looks at each of them.
pub const MAX_OFFERED_SERVERS: usize = 16;
/// One in so many turns goes to new connections while others wait for a move: a release may take most of what servers
/// take, and must not shut the door.
const NEW_EACH: u32 = 4;
/// When no offered server suited, the next pick waits so long.
const STALL: Millis = 50;

/// What the settings say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How many routers share the servers.
    pub routers: u32,
    /// Connections that this router may have.
    pub max_sessions: usize,
    /// Connections that it may have at one server.
    pub max_per_server: usize,
    /// Connections that it may have of one customer.
    pub max_per_tenant: usize,
    /// Connections that may wait for a move.
    pub max_waiting_moves: usize,
    /// None waits longer for its move to begin.
    pub max_move_wait: Millis,
    /// New connections that may wait for a server's turn.
    pub max_queued: usize,
    /// None of these waits longer.
    pub max_queue_wait: Millis,
    /// Servers tried for one opening or one move.
    pub max_attempts: u32,
    /// When this router ends or is drained, its connections are closed evenly over this time.
    pub drain_duration: Millis,
    /// What a warm server takes, of all routers together, in new connections a second.
    pub warm_opens_per_s: f64,
    /// How servers warm up.
    pub slow_start: SlowStart,
}

/// Why a new connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The customer has as many as it may (429).
    TenantLimit,
    /// This router has, or as many wait as may (503).
    RouterLimit,
    /// No server had a turn for it in time (503).
    QueueTimeout,
    /// All servers that were tried turned it away or could not be reached (503).
    NoServerAccepted,
    /// A server may have begun it, and nothing came of it (502).
    UpgradeFailed,
    /// This router ends or is drained (503).
    Draining,
}

/// Why a connection is closed: the code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// 1001: its server has gone, or this router goes.
    ServerGone,
    /// 1012: its server restarts, and it cannot be moved, or not in time.
    Restart,
    /// 1013: it was to move and no server took it.
    TryLater,
}

/// How an attempt to open an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It is open.
    Opened,
    /// It never ran: no connection, or the server said that it does not take it.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It was not made, for a reason of the connection's own, such as a message under way.
    Deferred,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open the first upstream there; [`Sessions::attempt_ended`] hears how that went.
    Open {
        /// The connection.
        session: SessionId,
        /// Where to.
        to: ServerId,
    },
    /// Open a new upstream there in place of the one it has; [`Sessions::attempt_ended`] hears how that went.
    Move {
        /// The connection.
        session: SessionId,
        /// Where to.
        to: ServerId,
    },
    /// It is not let in.
    Refuse {
        /// The connection.
        session: SessionId,
        /// Why.
        reason: Refusal,
        /// When its client may come again, from now.
        retry_after: Millis,
    },
    /// Close it in order.
    Close {
        /// The connection.
        session: SessionId,
        /// Why.
        cause: CloseCause,
        /// When its client may come again, from now.
        retry_after: Millis,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// New; it waits for a server's turn.
    Asking { until: Millis, tries: u32 },
    /// Its first upstream is being opened.
    Opening { to: ServerId, until: Millis, tries: u32 },
    /// It has its upstream. If that server drains it waits for its move there, in the order of the server's list.
    Open { at: ServerId },
    /// Its upstream broke: it waits without one.
    Lost { until: Millis, tries: u32 },
    /// A new upstream is being opened; the old one, if there is one, is still there.
    Moving { from: Option<ServerId>, to: ServerId, until: Millis, tries: u32 },
}

struct Session {
    tenant: TenantId,
    /// An upgrade that may have run may be made again.
    safe: bool,
    /// Whether it may move now: the caller knows whether something would be lost or told twice.
    movable: bool,
    opened: Millis,
    state: State,
    /// Moves that were put off.
    put_off: u32,
}

/// How many there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that have their server.
    pub open: usize,
    /// New ones that wait for a server's turn.
    pub queued: usize,
    /// That wait for a move.
    pub awaiting_move: usize,
    /// With an attempt under way, to open or to move.
    pub attempting: usize,
}

/// One router's long-lived connections.
pub struct Sessions {
    rules: Rules,
    chance: Pcg64Mcg,
    fleet: Fleet,
    sessions: HashMap<SessionId, Session>,
    of_tenant: HashMap<TenantId, usize>,
    asks: Asks,
    /// Those without an upstream, by when their wait ends.
    lost: BTreeSet<(Millis, SessionId)>,
    /// Servers that drain and have connections of ours, by when their wait ends.
    draining: BTreeSet<(Millis, ServerId)>,
    /// Connections that wait at those.
    at_draining: usize,
    attempting: usize,
    /// Turns that went to moves since the last one that went to a new connection.
    moves_in_turn: u32,
    /// No pick before this.
    stalled: Millis,
    /// All open ones by age, for the order in which they are sent away.
    ages: BTreeSet<(Millis, SessionId)>,
    away: Option<Away>,
}

/// This router sends its connections away.
struct Away {
    from: Millis,
    /// How many there were, and how many were closed.
    total: usize,
    closed: usize,
}

impl Sessions {
    /// None yet; `seed` is the only source of chance.
    pub fn new(rules: Rules, seed: u64) -> Self {
        Sessions {
            rules,
            chance: Pcg64Mcg::seed_from_u64(seed),
            fleet: Fleet::default(),
            sessions: HashMap::new(),
            of_tenant: HashMap::new(),
            asks: Asks::default(),
            lost: BTreeSet::new(),
            draining: BTreeSet::new(),
            at_draining: 0,
            attempting: 0,
            moves_in_turn: 0,
            stalled: 0,
            ages: BTreeSet::new(),
            away: None,
        }
    }

    /// New settings. Nothing that is open ends by them; caps hold for what comes.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
        self.fleet.reorder(&rules);
    }

    /// How many there are now.
    pub fn counts(&self) -> Counts {
        let (queued, awaiting_move) = (self.asks.len(), self.at_draining + self.lost.len());
        let open = self.sessions.len() - queued - awaiting_move - self.attempting;
        Counts { open, queued, awaiting_move, attempting: self.attempting }
    }

    /// Connections at a server, those on their way there among them.
    pub fn connections_at(&self, server: ServerId) -> usize {
        self.fleet.get(server).map_or(0, |server| server.held())
    }

    // The list.

    /// A server is listed and takes connections; `up_since`: when it last started, if that is not long ago.
    pub fn server_listed(&mut self, server: ServerId, up_since: Option<Millis>, now: Millis) {
        let drained = self.fleet.get(server).and_then(|known| Some((known.drains?, known.open.len())));
        if let Some((until, open)) = drained {
            self.draining.remove(&(until, server));
            self.at_draining -= open;
        }
        self.fleet.list(&self.rules, server, up_since, now);
        self.stalled = 0;
    }

    /// A server drains (or, `gone`, is on no list any more): it gets nothing new, and its connections wait for their
    /// moves, the longest open first.
    pub fn server_draining(&mut self, server: ServerId, gone: bool, now: Millis) {
        let open = self.fleet.get(server).map_or(0, |known| known.open.len());
        let until = now + self.rules.max_move_wait;
        if self.fleet.drain(server, gone, until) && open > 0 {
            self.draining.insert((until, server));
            self.at_draining += open;
        }
    }

    // Connections.

    /// A new connection of this customer wants in; `safe`: its upgrade may be made again where it may have run.
    /// [`Sessions::tick`] says where to, or that it is turned away.
    pub fn enqueue(
        &mut self,
        session: SessionId,
        tenant: TenantId,
        safe: bool,
        now: Millis,
    ) -> Result<(), (Refusal, Millis)> {
        let rules = &self.rules;
        let why = match () {
            () if self.away.is_some() => Some(Refusal::Draining),
            () if self.of_tenant.get(&tenant).is_some_and(|held| *held >= rules.max_per_tenant) => {
                Some(Refusal::TenantLimit)
            }
            () if self.sessions.len() >= rules.max_sessions => Some(Refusal::RouterLimit),
            () if self.asks.len() >= rules.max_queued => Some(Refusal::RouterLimit),
            () => None,
        };
        if let Some(why) = why {
            return Err((why, self.retry_after(now)));
        }
        let until = now + rules.max_queue_wait;
        *self.of_tenant.entry(tenant).or_default() += 1;
        self.asks.push(tenant, session, until);
        let state = State::Asking { until, tries: 0 };
        self.sessions
            .insert(session, Session { tenant, safe, movable: true, opened: now, state, put_off: 0 });
        Ok(())
    }

    /// Whether a connection may move now.
    pub fn set_movable(&mut self, session: SessionId, movable: bool) {
        if let Some(session) = self.sessions.get_mut(&session) {
            session.movable = movable;
        }
    }

    /// An attempt that [`Action::Open`] or [`Action::Move`] asked for has ended. One whose connection ended meanwhile
    /// is ignored.
    pub fn attempt_ended(&mut self, id: SessionId, attempt: AttemptOutcome, now: Millis) -> Option<Action> {
        let session = self.sessions.get(&id)?;
        let (new, from, to, until, tries) = match session.state {
            State::Opening { to, until, tries } => (true, None, to, until, tries),
            State::Moving { from, to, until, tries } => (false, from, to, until, tries),
            _ => return None,
        };
        let (safe, opened, tenant) = (session.safe, session.opened, session.tenant);
        self.attempting -= 1;
        if attempt == AttemptOutcome::Opened {
            if let Some(from) = from {
                self.leave(from, (opened, id));
            }
            self.arrive(to, (opened, id));
            if new {
                self.ages.insert((opened, id));
            }
            self.set(id, State::Open { at: to });
            return None;
        }
        let turned = matches!(attempt, AttemptOutcome::NotRun | AttemptOutcome::MayHaveRun);
        self.fleet.lost(&self.rules, to);
        if turned {
            self.fleet.rest(&self.rules, to, now);
        }
        // Again where it cannot have run, or may run twice.
        let again = match attempt {
            AttemptOutcome::MayHaveRun => safe && tries < self.rules.max_attempts,
            _ => tries < self.rules.max_attempts,
        };
        match (new, from) {
            (true, _) if again && now < until => {
                self.asks.push(tenant, id, until);
                self.set(id, State::Asking { until, tries });
                None
            }
            (true, _) => {
                self.set(id, State::Asking { until, tries });
                let why = if attempt == AttemptOutcome::MayHaveRun {
                    Refusal::UpgradeFailed
                } else {
                    Refusal::NoServerAccepted
                };
                Some(self.turn(id, why, now))
            }
            // The upstream that it has goes on until its turn comes again, or its wait ends.
            (false, Some(at)) => {
                self.set(id, State::Open { at });
                if let Some(known) = self.sessions.get_mut(&id) {
                    known.put_off += 1;
                }
                let waits = self.arrive(at, (opened, id));
                (waits && !again).then(|| self.close(id, CloseCause::TryLater, now))
            }
            (false, None) => {
                self.set(id, State::Lost { until, tries });
                self.lost.insert((until, id));
                (!again).then(|| self.close(id, CloseCause::TryLater, now))
            }
        }
    }

    /// A connection's upstream broke. It waits for another one, if it may move; else it is closed now.
    pub fn upstream_broke(&mut self, id: SessionId, now: Millis) -> Option<Action> {
        let session = self.sessions.get(&id)?;
        let (opened, movable, state) = (session.opened, session.movable, session.state);
        match state {
            State::Open { at } => {
                self.fleet.rest(&self.rules, at, now);
                let gone = |at| self.fleet.get(at).is_none_or(|server| server.drains.is_some());
                let code = if gone(at) { CloseCause::ServerGone } else { CloseCause::Restart };
                let due = self.fleet.get(at).and_then(|server| server.drains);
                let until = due.unwrap_or(now + self.rules.max_move_wait);
                if !movable
                    || until <= now
                    || self.at_draining + self.lost.len() >= self.rules.max_waiting_moves
                {
                    return Some(self.close(id, code, now));
                }
                self.leave(at, (opened, id));
                self.set(id, State::Lost { until, tries: 0 });
                self.lost.insert((until, id));
                None
            }
            // The attempt under way decides.
            State::Moving { from: Some(from), to, until, tries } => {
                self.leave(from, (opened, id));
                self.set(id, State::Moving { from: None, to, until, tries });
                None
            }
            _ => None,
        }
    }

    /// A connection has ended, whoever ended it.
    pub fn session_ended(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let key = (session.opened, id);
        self.ages.remove(&key);
        if let Some(held) = self.of_tenant.get_mut(&session.tenant) {
            *held -= 1;
            if *held == 0 {
                self.of_tenant.remove(&session.tenant);
            }
        }
        match session.state {
            State::Asking { until, .. } => self.asks.remove(session.tenant, id, until),
            State::Open { at } => self.leave(at, key),
            State::Lost { until, .. } => {
                self.lost.remove(&(until, id));
            }
            State::Opening { to, .. } => {
                self.attempting -= 1;
                self.fleet.lost(&self.rules, to);
            }
            State::Moving { from, to, .. } => {
                self.attempting -= 1;
                self.fleet.lost(&self.rules, to);
                if let Some(from) = from {
                    self.leave(from, key);
                }
            }
        }
    }

    // The router's own life.

    /// This router ends or is drained: nothing new is let in, and what is open is closed, evenly over a time.
    pub fn start_drain(&mut self, now: Millis) {
        let total = self.ages.len();
        self.away.get_or_insert(Away { from: now, total, closed: 0 });
    }

    /// The drain has ended.
    pub fn end_drain(&mut self) {
        self.away = None;
    }

    // Time.

    /// When [`Sessions::tick`] has something to do; none while only an event can change that.
    pub fn next_due(&self) -> Option<Millis> {
        let waits = self.asks.len() + self.at_draining + self.lost.len() > 0;
        let turn =
            self.fleet.next().filter(|_| waits && self.away.is_none()).map(|next| next.max(self.stalled));
        let away = self.away.as_ref().and_then(|away| self.next_away(away));
        let ends = [self.asks.first(), self.lost.first().map(|f| f.0), self.draining.first().map(|f| f.0)];
        ends.into_iter().chain([turn, away]).flatten().min()
    }

    /// Time has passed: waits that ended, closes that are due, and turns of servers. `pick` is the decision module's
    /// choice among servers that take one more now.
    pub fn tick(
        &mut self,
        now: Millis,
        mut pick: impl FnMut(SessionId, &[ServerId]) -> Option<ServerId>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.send_away(now, &mut actions);
        while actions.len() < MAX_ACTIONS_PER_TICK
            && let Some(id) = self.asks.expired(now)
        {
            actions.push(self.turn(id, Refusal::QueueTimeout, now));
        }
        while actions.len() < MAX_ACTIONS_PER_TICK
            && let Some((_, id)) = self.lost.first().copied().filter(|(until, _)| *until <= now)
        {
            actions.push(self.close(id, CloseCause::ServerGone, now));
        }
        self.end_waits(now, &mut actions);
        while actions.len() < MAX_ACTIONS_PER_TICK && now >= self.stalled && self.away.is_none() {
            let offered: Vec<ServerId> = self.fleet.ready(now, MAX_OFFERED_SERVERS).collect();
            if offered.is_empty() {
                break;
            }
            let Some((id, new)) = self.next(&mut actions, now) else { break };
            let Some(to) = pick(id, &offered).filter(|to| offered.contains(to)) else {
                self.stalled = now + STALL;
                break;
            };
            actions.push(self.start(id, new, to, now));
        }
        actions
    }

    /// Whose turn it is: a new one, or one that moves; first those that have no upstream. Connections at a draining
    /// server that cannot move now are closed when their turn comes, and not before: they may be able to by then.
    fn next(&mut self, actions: &mut Vec<Action>, now: Millis) -> Option<(SessionId, bool)> {
        loop {
            let ask = self.asks.next();
            let lost = self.lost.first().map(|(_, id)| *id);
            let moves = lost.or_else(|| {
                let (_, server) = self.draining.first()?;
                Some(self.fleet.get(*server)?.open.first()?.1)
            });
            if let Some(ask) = ask.filter(|_| moves.is_none() || self.moves_in_turn + 1 >= NEW_EACH) {
                return Some((ask, true));
            }
            let id = moves?;
            if self.sessions.get(&id).is_some_and(|session| session.movable) {
                return Some((id, false));
            }
            if actions.len() >= MAX_ACTIONS_PER_TICK {
                return None;
            }
            actions.push(self.close(id, CloseCause::Restart, now));
        }
    }

    /// An attempt begins.
    fn start(&mut self, id: SessionId, new: bool, to: ServerId, now: Millis) -> Action {
        self.moves_in_turn = if new { 0 } else { self.moves_in_turn.saturating_add(1) };
        self.fleet.spend(&self.rules, to, now);
        self.attempting += 1;
        let Some(session) = self.sessions.get(&id) else { return Action::Open { session: id, to } };
        let (tenant, opened) = (session.tenant, session.opened);
        match session.state {
            State::Asking { until, tries } => {
                self.asks.remove(tenant, id, until);
                self.set(id, State::Opening { to, until, tries: tries + 1 });
                Action::Open { session: id, to }
            }
            State::Lost { until, tries } => {
                self.lost.remove(&(until, id));
                self.set(id, State::Moving { from: None, to, until, tries: tries + 1 });
                Action::Move { session: id, to }
            }
            State::Open { at } => {
                let until = self.fleet.get(at).and_then(|server| server.drains).unwrap_or(now);
                let tries = session.put_off + 1;
                // It stays on the server's books until it has moved, and out of the order of those that wait.
                self.fleet.hold(&self.rules, at);
                self.leave(at, (opened, id));
                self.set(id, State::Moving { from: Some(at), to, until, tries });
                Action::Move { session: id, to }
            }
            State::Opening { .. } | State::Moving { .. } => Action::Move { session: id, to },
        }
    }

    /// Waits at draining servers that have ended, and the newest of those that cannot have their turn in time: their
    /// clients hear at once, not at the end of a wait for nothing.
    fn end_waits(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while actions.len() < MAX_ACTIONS_PER_TICK
            && let Some((until, server)) = self.draining.first().copied().filter(|(until, _)| *until <= now)
        {
            let known = self.fleet.get(server);
            let code = if known.is_some_and(|known| known.gone) {
                CloseCause::ServerGone
            } else {
                CloseCause::Restart
            };
            match known.and_then(|known| known.open.first().copied()) {
                Some((_, id)) => actions.push(self.close(id, code, now)),
                None => {
                    self.draining.remove(&(until, server));
                }
            }
        }
        let Some((until, server)) = self.draining.last().copied() else { return };
        let left = until.saturating_sub(now);
        // While no server takes any, one may come within the wait.
        let rate = self.fleet.rate(&self.rules, now, now + left / 2);
        let part = f64::from(NEW_EACH - 1) / f64::from(NEW_EACH);
        let turns = (rate * part * left as f64 / 1_000.0).ceil() as usize;
        let most =
            if rate > 0.0 { turns.min(self.rules.max_waiting_moves) } else { self.rules.max_waiting_moves };
        while actions.len() < MAX_ACTIONS_PER_TICK && self.at_draining + self.lost.len() > most.max(1) {
            let newest = self.fleet.get(server).and_then(|known| known.open.last().copied());
            let Some((_, id)) = newest else { break };
            actions.push(self.close(id, CloseCause::Restart, now));
        }
    }

    /// Closes that are due while this router sends its connections away.
    fn send_away(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while actions.len() < MAX_ACTIONS_PER_TICK
            && self.away.is_some()
            && let Some(id) = self.asks.next()
        {
            actions.push(self.turn(id, Refusal::Draining, now));
        }
        let Some(away) = &self.away else { return };
        let over = self.rules.drain_duration.max(1);
        let passed = now.saturating_sub(away.from).min(over);
        let due = if passed == over { usize::MAX } else { away.total * passed as usize / over as usize };
        while actions.len() < MAX_ACTIONS_PER_TICK && self.away.as_ref().is_some_and(|away| away.closed < due)
        {
            let Some((_, id)) = self.ages.first().copied() else { break };
            actions.push(self.close(id, CloseCause::Restart, now));
            if let Some(away) = &mut self.away {
                away.closed += 1;
            }
        }
    }

    fn next_away(&self, away: &Away) -> Option<Millis> {
        let over = self.rules.drain_duration.max(1);
        let next = (over * (away.closed as u64 + 1)).div_ceil(away.total.max(1) as u64);
        (!self.ages.is_empty()).then(|| away.from + next.min(over))
    }

    // What a connection is and where it counts.

    fn set(&mut self, id: SessionId, state: State) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.state = state;
        }
    }

    /// It is open at a server, or back there after a move that came to nothing. If that server drains it waits there:
    /// true.
    fn arrive(&mut self, at: ServerId, key: (Millis, SessionId)) -> bool {
        self.fleet.arrived(&self.rules, at, key);
        let drains = self.fleet.get(at).and_then(|server| server.drains);
        if let Some(until) = drains {
            self.draining.insert((until, at));
            self.at_draining += 1;
        }
        drains.is_some()
    }

    /// It is no longer open at a server.
    fn leave(&mut self, at: ServerId, key: (Millis, SessionId)) {
        let Some(server) = self.fleet.get(at) else { return };
        let there = server.open.contains(&key);
        let (drains, last) = (server.drains.filter(|_| there), server.open.len() == 1);
        if !there {
            // It was about to move: it counted among those on their way.
            return self.fleet.lost(&self.rules, at);
        }
        self.fleet.left(&self.rules, at, key);
        if let Some(until) = drains {
            self.at_draining -= 1;
            if last {
                self.draining.remove(&(until, at));
            }
        }
    }

    fn turn(&mut self, session: SessionId, reason: Refusal, now: Millis) -> Action {
        self.session_ended(session);
        Action::Refuse { session, reason, retry_after: self.retry_after(now) }
    }

    fn close(&mut self, session: SessionId, cause: CloseCause, now: Millis) -> Action {
        self.session_ended(session);
        Action::Close { session, cause, retry_after: self.retry_after(now) }
    }

    /// When a client may come again: spread over the time that those who wait need, and never all at once.
    fn retry_after(&mut self, now: Millis) -> Millis {
        let wait = self.rules.max_move_wait.max(1);
        let rate = self.fleet.rate(&self.rules, now, now);
        let line = (self.at_draining + self.lost.len() + self.asks.len()) as f64;
        let need = if rate > 0.0 { line / rate * 1_000.0 } else { f64::INFINITY };
        let over = need.max(wait as f64).min(10.0 * wait as f64);
        self.chance.random_range(1..=over as Millis)
    }
}
