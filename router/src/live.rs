//! Long-lived connections: owns their decisions (`fawnstream-sessions`), tells them of the list, the clock and the
//! life cycle, asks the decision module for servers, and counts what becomes of each connection, here alone. What is to
//! be done with a connection goes to its relay as a command. Knows no sockets.

pub mod relay;
pub mod resume;

use crate::config::websocket::WebSocket;
use crate::core::{Core, Server, ServerUpdate};
use crate::lifecycle::Lifecycle;
use fawnstream_sessions::{
    Action, AttemptOutcome, CloseCause, Counts, Millis, Refusal, ServerId, SessionId, Sessions, TenantId,
};
use shedrelay::ServerState;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// Orders that a relay may have before it: an attempt and the end that overtakes it, and none is lost.
const COMMAND_QUEUE_LEN: usize = 4;
/// A relay that holds more than this ends when all together hold more than they may.
const SMALL_CONNECTION_BYTES: usize = 16 * 1024;

/// What a relay is told to do.
pub enum RelayCommand {
    /// Open an upstream there; the first, or one in place of what it has.
    OpenUpstream(Rc<Server>),
    /// It is not let in.
    Refuse(Refusal, Duration),
    /// Close it in order.
    Close(CloseCause, Duration),
}

/// What the router keeps of a connection, besides its relay.
struct Connection {
    commands: mpsc::Sender<RelayCommand>,
    /// Its first upstream is open, or was.
    open: bool,
    /// Where it weighs: at its server, and at the one where an upstream is being opened.
    at: Option<ServerId>,
    to: Option<ServerId>,
}

/// What became of connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounts {
    /// Let in.
    pub opened: u64,
    /// Moves that ended at another server.
    pub moved: u64,
    /// Attempts at a move that came to nothing.
    pub failed_moves: u64,
    /// Turned away, by why.
    pub refused: BTreeMap<&'static str, u64>,
    /// Ended, by why.
    pub ended: BTreeMap<&'static str, u64>,
}

/// See the module's page.
pub struct LiveConnections {
    core: Rc<Core>,
    settings: RefCell<Rc<WebSocket>>,
    sessions: RefCell<Sessions>,
    connections: RefCell<HashMap<SessionId, Connection>>,
    counts: RefCell<ConnectionCounts>,
    changed: Notify,
    last: Cell<u64>,
    /// Bytes in all relays' buffers, and how many may be.
    bytes: Cell<usize>,
    max_buffered_bytes: usize,
}

/// The name of a reason to turn a connection away, for the log and the counts.
pub fn refusal_name(why: Refusal) -> &'static str {
    match why {
        Refusal::TenantLimit => "tenant-full",
        Refusal::RouterLimit => "router-full",
        Refusal::QueueTimeout => "no-turn",
        Refusal::NoServerAccepted => "servers-full",
        Refusal::UpgradeFailed => "failed",
        Refusal::Draining => "going-away",
    }
}

impl LiveConnections {
    /// None yet. `max_buffered_bytes`: what all connections' buffers may hold.
    pub fn new(core: Rc<Core>, settings: WebSocket, seed: u64, max_buffered_bytes: usize) -> Rc<Self> {
        let sessions = RefCell::new(Sessions::new(settings.rules, seed));
        let live = Rc::new(LiveConnections {
            core,
            settings: RefCell::new(Rc::new(settings)),
            sessions,
            connections: RefCell::default(),
            counts: RefCell::default(),
            changed: Notify::new(),
            last: Cell::new(0),
            bytes: Cell::new(0),
            max_buffered_bytes,
        });
        let me = Rc::downgrade(&live);
        live.core.connect_live(move |updates| {
            if let Some(live) = me.upgrade() {
                live.apply_list(updates);
            }
        });
        live
    }

    /// The settings now.
    pub fn settings(&self) -> Rc<WebSocket> {
        self.settings.borrow().clone()
    }

    /// New settings: what is open stays, and follows the new ones from its next step on.
    pub fn reload(&self, settings: WebSocket) {
        self.sessions.borrow_mut().set_rules(settings.rules);
        let old = self.settings();
        // What servers were told of, and what weighs there, holds until the next start.
        let (listen, kinds, load_tokens) = (old.listen, old.kinds.clone(), old.load_tokens);
        *self.settings.borrow_mut() = Rc::new(WebSocket { listen, kinds, load_tokens, ..settings });
        self.changed.notify_one();
    }

    /// How many there are, and what became of the others.
    pub fn counts(&self) -> (Counts, ConnectionCounts) {
        (self.sessions.borrow().counts(), self.counts.borrow().clone())
    }

    fn now(&self) -> Millis {
        self.core.now().0 / 1_000_000
    }

    /// Updates of the list.
    fn apply_list(&self, news: &[ServerUpdate]) {
        let (now, settings) = (self.now(), self.settings());
        {
            let mut sessions = self.sessions.borrow_mut();
            for news in news {
                let server = ServerId(news.server.0);
                match news.state {
                    ServerState::Active if news.kind.is_some_and(|kind| settings.kinds.contains(&kind)) => {
                        sessions.server_listed(server, news.up_since.map(|up| up.0 / 1_000_000), now);
                    }
                    ServerState::Left => sessions.server_draining(server, true, now),
                    _ => sessions.server_draining(server, false, now),
                }
            }
        }
        self.changed.notify_one();
    }

    /// Follows time, the list and the life cycle until the program ends.
    pub async fn run(self: Rc<Self>, life: &Lifecycle) {
        let mut phase = life.subscribe();
        loop {
            let now = self.now();
            {
                let mut sessions = self.sessions.borrow_mut();
                match life.phase().sends_away() {
                    true => sessions.start_drain(now),
                    false => sessions.end_drain(),
                }
            }
            let actions = {
                let place = |_, offered: &[ServerId]| {
                    let offered: Vec<shedrelay::ServerId> =
                        offered.iter().map(|server| shedrelay::ServerId(server.0)).collect();
                    self.core.place_connection(&offered).map(|server| ServerId(server.0))
                };
                self.sessions.borrow_mut().tick(now, place)
            };
            actions.into_iter().for_each(|action| self.perform(action));
            let wake = self.sessions.borrow().next_due();
            // Never at once: other work comes between two parts of what takes long.
            let wait = wake.map(|wake| Duration::from_millis(wake.saturating_sub(self.now()).max(1)));
            let time = async {
                match wait {
                    Some(wait) => actix_rt::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.changed.notified() => {}
                _ = phase.changed() => {}
                () = time => {}
            }
        }
    }

    fn perform(&self, action: Action) {
        let after = Duration::from_millis;
        match action {
            Action::Open { session, to } | Action::Move { session, to } => {
                let server = self.core.server(shedrelay::ServerId(to.0));
                // Told of as gone between the choice and now: it was never tried.
                let Some(server) = server.filter(|server| server.draining_since.get().is_none()) else {
                    return self.attempt_ended(session, AttemptOutcome::NotRun);
                };
                self.change_load(session, |kept| kept.to = Some(to));
                self.send_command(session, RelayCommand::OpenUpstream(server));
            }
            Action::Refuse { session, reason, retry_after } => {
                self.send_command(session, RelayCommand::Refuse(reason, after(retry_after)))
            }
            Action::Close { session, cause, retry_after } => {
                self.send_command(session, RelayCommand::Close(cause, after(retry_after)))
            }
        }
    }

    fn send_command(&self, session: SessionId, command: RelayCommand) {
        let last = !matches!(command, RelayCommand::OpenUpstream(..));
        if last {
            self.change_load(session, |kept| (kept.at, kept.to) = (None, None));
        }
        let mut kept = self.connections.borrow_mut();
        if let Some(known) = kept.get(&session)
            && known.commands.try_send(command).is_err()
        {
            // It ends by itself when it finds its commands closed.
            crate::log!("websocket id=ws-{} reason=orders-full", session.0);
            kept.remove(&session);
        }
    }

    /// Where a connection weighs changes; the decision module hears of the difference.
    fn change_load(&self, session: SessionId, change: impl FnOnce(&mut Connection)) {
        let tokens = self.settings.borrow().load_tokens;
        let mut all = self.connections.borrow_mut();
        let Some(kept) = all.get_mut(&session) else { return };
        let before = [kept.at, kept.to];
        change(kept);
        let after = [kept.at, kept.to];
        drop(all);
        let hold = |at: ServerId, tokens| self.core.add_connection_load(shedrelay::ServerId(at.0), tokens);
        before.into_iter().flatten().for_each(|at| hold(at, -tokens));
        after.into_iter().flatten().for_each(|at| hold(at, tokens));
    }

    // For the front and the relays.

    /// A new connection wants in; or why it is not let in, and when its client may come again.
    pub fn enqueue(
        self: &Rc<Self>,
        tenant: Option<shedrelay::TenantId>,
        safe: bool,
    ) -> Result<ConnectionHandle, (Refusal, Duration)> {
        let id = SessionId(self.last.get() + 1);
        self.last.set(id.0);
        // Without keys all are one customer.
        let tenant = TenantId(tenant.map_or(u64::MAX, |tenant| tenant.0 as u64));
        let asked = self.sessions.borrow_mut().enqueue(id, tenant, safe, self.now());
        if let Err((why, again)) = asked {
            self.count_refused(refusal_name(why));
            return Err((why, Duration::from_millis(again)));
        }
        let (commands, hear) = mpsc::channel(COMMAND_QUEUE_LEN);
        self.connections.borrow_mut().insert(id, Connection { commands, open: false, at: None, to: None });
        self.changed.notify_one();
        Ok(ConnectionHandle { live: self.clone(), id, commands: hear, movable: true, bytes: 0 })
    }

    /// An upgrade was turned away.
    pub fn count_refused(&self, why: &'static str) {
        self.count(|counts| *counts.refused.entry(why).or_default() += 1);
    }

    fn count(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        change(&mut self.counts.borrow_mut());
    }

    fn attempt_ended(&self, session: SessionId, attempt: AttemptOutcome) {
        let taken = attempt == AttemptOutcome::Opened;
        let first = self.connections.borrow().get(&session).is_some_and(|kept| !kept.open);
        let action = self.sessions.borrow_mut().attempt_ended(session, attempt, self.now());
        self.change_load(session, |kept| {
            let to = kept.to.take();
            (kept.at, kept.open) = (if taken { to } else { kept.at }, kept.open || taken);
        });
        self.count(|counts| match (taken, first) {
            (true, false) => counts.moved += 1,
            (false, false) => counts.failed_moves += 1,
            _ => {}
        });
        if let Some(action) = action {
            self.perform(action);
        }
        self.changed.notify_one();
    }
}

/// A connection's place among them; it ends with this.
pub struct ConnectionHandle {
    live: Rc<LiveConnections>,
    id: SessionId,
    /// What it is told to do.
    pub commands: mpsc::Receiver<RelayCommand>,
    movable: bool,
    bytes: usize,
}

impl ConnectionHandle {
    /// Its name in the log.
    pub fn name(&self) -> String {
        format!("ws-{}", self.id.0)
    }

    /// The settings now.
    pub fn settings(&self) -> Rc<WebSocket> {
        self.live.settings()
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, attempt: AttemptOutcome) {
        self.live.attempt_ended(self.id, attempt);
    }

    /// Its first upstream is open and its client was told.
    pub fn opened(&self) {
        self.live.count(|counts| counts.opened += 1);
    }

    /// Its upstream broke.
    pub fn upstream_broke(&self) {
        let action = self.live.sessions.borrow_mut().upstream_broke(self.id, self.live.now());
        self.live.change_load(self.id, |kept| kept.at = None);
        if let Some(action) = action {
            self.live.perform(action);
        }
        self.live.changed.notify_one();
    }

    /// Whether it may move now.
    pub fn set_movable(&mut self, movable: bool) {
        if self.movable != movable {
            self.movable = movable;
            self.live.sessions.borrow_mut().set_movable(self.id, movable);
        }
    }

    /// It was not let in.
    pub fn refused(&self, why: &'static str) {
        self.live.count_refused(why);
    }

    /// It ended.
    pub fn ended(&self, why: &'static str) {
        self.live.count(|counts| *counts.ended.entry(why).or_default() += 1);
    }

    /// So many bytes are in its buffers. False if all connections hold too much and this one is not among the small.
    pub fn set_buffered_bytes(&mut self, bytes: usize) -> bool {
        let all = self.live.bytes.get() - self.bytes + bytes;
        self.live.bytes.set(all);
        self.bytes = bytes;
        bytes <= SMALL_CONNECTION_BYTES || all <= self.live.max_buffered_bytes
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.live.bytes.set(self.live.bytes.get() - self.bytes);
        self.live.change_load(self.id, |kept| (kept.at, kept.to) = (None, None));
        self.live.connections.borrow_mut().remove(&self.id);
        self.live.sessions.borrow_mut().session_ended(self.id);
        self.live.changed.notify_one();
    }
}
