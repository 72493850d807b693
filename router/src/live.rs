//! Long-lived WebSocket connections. Feeds `fawnstream-sessions` with the server list, the clock and the life cycle,
//! asks the decision module for servers, and sends each connection's relay its commands. The only place that counts
//! the outcomes of connections. Does no socket I/O.

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

/// Commands that may wait for one relay. Enough for an attempt and a close that follows before the relay has read it.
const COMMAND_QUEUE_LEN: usize = 4;
/// A connection that buffers more than this is closed while all connections together exceed their limit.
const SMALL_CONNECTION_BYTES: usize = 16 * 1024;

/// A command to a connection's relay.
pub enum RelayCommand {
    /// Open an upstream at this server: the first one, or a replacement.
    OpenUpstream(Rc<Server>),
    /// Refuse the connection; the client may retry after this time.
    Refuse(Refusal, Duration),
    /// Close the connection with a closing handshake; the client may retry after this time.
    Close(CloseCause, Duration),
}

/// State of a connection, besides its relay.
struct Connection {
    commands: mpsc::Sender<RelayCommand>,
    /// Whether its first upstream has opened.
    opened: bool,
    /// Its server. The connection's load is counted there.
    server: Option<ServerId>,
    /// The server at which an upstream is being opened. The load is counted there too.
    pending_server: Option<ServerId>,
}

/// Counts of connections by outcome.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounts {
    /// Accepted.
    pub opened: u64,
    /// Moves to another server that succeeded.
    pub moved: u64,
    /// Attempts at a move that failed.
    pub failed_moves: u64,
    /// Refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Ended, by reason.
    pub ended: BTreeMap<&'static str, u64>,
}

/// All long-lived connections of this process.
pub struct LiveConnections {
    core: Rc<Core>,
    settings: RefCell<Rc<WebSocket>>,
    sessions: RefCell<Sessions>,
    connections: RefCell<HashMap<SessionId, Connection>>,
    counts: RefCell<ConnectionCounts>,
    changed: Notify,
    last_id: Cell<u64>,
    /// Bytes in all relays' buffers.
    buffered_bytes: Cell<usize>,
    max_buffered_bytes: usize,
}

/// The name of a refusal in the log and the metrics.
pub fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::TenantLimit => "tenant-full",
        Refusal::RouterLimit => "router-full",
        Refusal::QueueTimeout => "no-turn",
        Refusal::NoServerAccepted => "servers-full",
        Refusal::UpgradeFailed => "failed",
        Refusal::Draining => "going-away",
    }
}

impl LiveConnections {
    /// Starts without connections. `max_buffered_bytes` limits the buffers of all connections together.
    pub fn new(core: Rc<Core>, settings: WebSocket, seed: u64, max_buffered_bytes: usize) -> Rc<Self> {
        let sessions = RefCell::new(Sessions::new(settings.rules, seed));
        let live = Rc::new(LiveConnections {
            core,
            settings: RefCell::new(Rc::new(settings)),
            sessions,
            connections: RefCell::default(),
            counts: RefCell::default(),
            changed: Notify::new(),
            last_id: Cell::new(0),
            buffered_bytes: Cell::new(0),
            max_buffered_bytes,
        });
        let weak = Rc::downgrade(&live);
        live.core.connect_list_updates(move |updates| {
            if let Some(live) = weak.upgrade() {
                live.apply_list(updates);
            }
        });
        live
    }

    /// The current settings.
    pub fn settings(&self) -> Rc<WebSocket> {
        self.settings.borrow().clone()
    }

    /// Takes over new settings. Open connections stay open and follow them from their next step on.
    pub fn reload(&self, settings: WebSocket) {
        self.sessions.borrow_mut().set_rules(settings.rules);
        let old = self.settings();
        // The address, the kinds of servers and the load already counted at servers stay until the next start.
        let (listen, kinds, load_tokens) = (old.listen, old.kinds.clone(), old.load_tokens);
        *self.settings.borrow_mut() = Rc::new(WebSocket { listen, kinds, load_tokens, ..settings });
        self.changed.notify_one();
    }

    /// Counts of current connections, and of outcomes so far.
    pub fn counts(&self) -> (Counts, ConnectionCounts) {
        (self.sessions.borrow().counts(), self.counts.borrow().clone())
    }

    fn now(&self) -> Millis {
        self.core.now().0 / 1_000_000
    }

    /// Applies updates of the server list.
    fn apply_list(&self, updates: &[ServerUpdate]) {
        let (now, settings) = (self.now(), self.settings());
        {
            let mut sessions = self.sessions.borrow_mut();
            for update in updates {
                let server = ServerId(update.server.0);
                match update.state {
                    ServerState::Active if update.kind.is_some_and(|kind| settings.kinds.contains(&kind)) => {
                        sessions.server_listed(server, update.up_since.map(|up| up.0 / 1_000_000), now);
                    }
                    ServerState::Removed => sessions.server_draining(server, true, now),
                    _ => sessions.server_draining(server, false, now),
                }
            }
        }
        self.changed.notify_one();
    }

    /// Runs the decisions on time, the list and the life cycle until the program ends.
    pub async fn run(self: Rc<Self>, lifecycle: &Lifecycle) {
        let mut phase = lifecycle.subscribe();
        loop {
            let now = self.now();
            {
                let mut sessions = self.sessions.borrow_mut();
                match lifecycle.phase().is_draining() {
                    true => sessions.start_drain(now),
                    false => sessions.end_drain(),
                }
            }
            let actions = {
                let place = |_, candidates: &[ServerId]| {
                    let candidates: Vec<shedrelay::ServerId> =
                        candidates.iter().map(|server| shedrelay::ServerId(server.0)).collect();
                    self.core.place_connection(&candidates).map(|server| ServerId(server.0))
                };
                self.sessions.borrow_mut().tick(now, place)
            };
            actions.into_iter().for_each(|action| self.perform(action));
            let due = self.sessions.borrow().next_due();
            // At least 1 ms, so that other tasks run between two parts of a long operation.
            let wait = due.map(|due| Duration::from_millis(due.saturating_sub(self.now()).max(1)));
            let timer = async {
                match wait {
                    Some(wait) => actix_rt::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.changed.notified() => {}
                _ = phase.changed() => {}
                () = timer => {}
            }
        }
    }

    fn perform(&self, action: Action) {
        let millis = Duration::from_millis;
        match action {
            Action::Open { session, to } | Action::Move { session, to } => {
                let server = self.core.server(shedrelay::ServerId(to.0));
                // The server has begun to drain or has left since it was chosen, so the attempt has not run.
                let Some(server) = server.filter(|server| server.draining_since.get().is_none()) else {
                    return self.attempt_ended(session, AttemptOutcome::NotRun);
                };
                self.change_load(session, |connection| connection.pending_server = Some(to));
                self.send_command(session, RelayCommand::OpenUpstream(server));
            }
            Action::Refuse { session, reason, retry_after } => {
                self.send_command(session, RelayCommand::Refuse(reason, millis(retry_after)))
            }
            Action::Close { session, cause, retry_after } => {
                self.send_command(session, RelayCommand::Close(cause, millis(retry_after)))
            }
        }
    }

    fn send_command(&self, session: SessionId, command: RelayCommand) {
        let last = !matches!(command, RelayCommand::OpenUpstream(..));
        if last {
            self.change_load(session, |connection| {
                (connection.server, connection.pending_server) = (None, None)
            });
        }
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&session)
            && connection.commands.try_send(command).is_err()
        {
            // The relay ends once its command channel is closed.
            crate::log!("websocket id=ws-{} reason=orders-full", session.0);
            connections.remove(&session);
        }
    }

    /// Changes the servers at which a connection's load is counted, and tells the decision module the difference.
    fn change_load(&self, session: SessionId, change: impl FnOnce(&mut Connection)) {
        let tokens = self.settings.borrow().load_tokens;
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&session) else { return };
        let before = [connection.server, connection.pending_server];
        change(connection);
        let after = [connection.server, connection.pending_server];
        drop(connections);
        let add =
            |server: ServerId, tokens| self.core.add_connection_load(shedrelay::ServerId(server.0), tokens);
        before.into_iter().flatten().for_each(|server| add(server, -tokens));
        after.into_iter().flatten().for_each(|server| add(server, tokens));
    }

    // Used by the WebSocket listener and the relays.

    /// Queues a new connection for admission. If it is refused at once: why, and when its client may retry.
    pub fn enqueue(
        self: &Rc<Self>,
        tenant: Option<shedrelay::TenantId>,
        repeatable: bool,
    ) -> Result<ConnectionHandle, (Refusal, Duration)> {
        let id = SessionId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        // Where no keys are set, all connections count as one tenant.
        let tenant = TenantId(tenant.map_or(u64::MAX, |tenant| tenant.0 as u64));
        let queued = self.sessions.borrow_mut().enqueue(id, tenant, repeatable, self.now());
        if let Err((refusal, retry_after)) = queued {
            self.count_refused(refusal_name(refusal));
            return Err((refusal, Duration::from_millis(retry_after)));
        }
        let (sender, commands) = mpsc::channel(COMMAND_QUEUE_LEN);
        self.connections
            .borrow_mut()
            .insert(id, Connection { commands: sender, opened: false, server: None, pending_server: None });
        self.changed.notify_one();
        Ok(ConnectionHandle { live: self.clone(), id, commands, movable: true, buffered_bytes: 0 })
    }

    /// Counts a refused upgrade.
    pub fn count_refused(&self, reason: &'static str) {
        self.count(|counts| *counts.refused.entry(reason).or_default() += 1);
    }

    fn count(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        change(&mut self.counts.borrow_mut());
    }

    fn attempt_ended(&self, session: SessionId, outcome: AttemptOutcome) {
        let succeeded = outcome == AttemptOutcome::Opened;
        let first = self.connections.borrow().get(&session).is_some_and(|connection| !connection.opened);
        let action = self.sessions.borrow_mut().attempt_ended(session, outcome, self.now());
        self.change_load(session, |connection| {
            let to = connection.pending_server.take();
            (connection.server, connection.opened) =
                (if succeeded { to } else { connection.server }, connection.opened || succeeded);
        });
        self.count(|counts| match (succeeded, first) {
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

/// A connection's registration. Dropping it ends the connection's session and frees what it counted for.
pub struct ConnectionHandle {
    live: Rc<LiveConnections>,
    id: SessionId,
    /// Commands to the relay.
    pub commands: mpsc::Receiver<RelayCommand>,
    movable: bool,
    buffered_bytes: usize,
}

impl ConnectionHandle {
    /// Its name in the log.
    pub fn name(&self) -> String {
        format!("ws-{}", self.id.0)
    }

    /// The current settings.
    pub fn settings(&self) -> Rc<WebSocket> {
        self.live.settings()
    }

    /// Reports how an attempt to open an upstream ended.
    pub fn attempt_ended(&self, outcome: AttemptOutcome) {
        self.live.attempt_ended(self.id, outcome);
    }

    /// Reports that its first upstream is open and the client's upgrade was answered.
    pub fn opened(&self) {
        self.live.count(|counts| counts.opened += 1);
    }

    /// Reports that its upstream broke.
    pub fn upstream_broke(&self) {
        let action = self.live.sessions.borrow_mut().upstream_broke(self.id, self.live.now());
        self.live.change_load(self.id, |connection| connection.server = None);
        if let Some(action) = action {
            self.live.perform(action);
        }
        self.live.changed.notify_one();
    }

    /// Sets whether it may move to another server now.
    pub fn set_movable(&mut self, movable: bool) {
        if self.movable != movable {
            self.movable = movable;
            self.live.sessions.borrow_mut().set_movable(self.id, movable);
        }
    }

    /// Counts its refusal.
    pub fn refused(&self, reason: &'static str) {
        self.live.count_refused(reason);
    }

    /// Counts its end.
    pub fn ended(&self, reason: &'static str) {
        self.live.count(|counts| *counts.ended.entry(reason).or_default() += 1);
    }

    /// Updates how many bytes its buffers hold. False if all connections together exceed their limit and this one is
    /// not small.
    pub fn set_buffered_bytes(&mut self, bytes: usize) -> bool {
        let total = self.live.buffered_bytes.get() - self.buffered_bytes + bytes;
        self.live.buffered_bytes.set(total);
        self.buffered_bytes = bytes;
        bytes <= SMALL_CONNECTION_BYTES || total <= self.live.max_buffered_bytes
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.live.buffered_bytes.set(self.live.buffered_bytes.get() - self.buffered_bytes);
        self.live
            .change_load(self.id, |connection| (connection.server, connection.pending_server) = (None, None));
        self.live.connections.borrow_mut().remove(&self.id);
        self.live.sessions.borrow_mut().session_ended(self.id);
        self.live.changed.notify_one();
    }
}
