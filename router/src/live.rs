//! Long-lived connections: owns their decisions (`fawnstream-sessions`), tells them of the list, the clock and the
//! life cycle, asks the decision module for servers, and counts what becomes of each connection, here alone. What is to
//! be done with a connection goes to its relay as an order. Knows no sockets.

pub mod relay;
pub mod resume;

use crate::config::websocket::WebSocket;
use crate::core::{Core, News, Server};
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
const MOST_ORDERS: usize = 4;
/// A relay that holds more than this ends when all together hold more than they may.
const SMALL: usize = 16 * 1024;

/// What a relay is told to do.
pub enum Order {
    /// Open an upstream there; the first, or one in place of what it has.
    Try(Rc<Server>),
    /// It is not let in.
    Turn(Refusal, Duration),
    /// Close it in order.
    Close(CloseCause, Duration),
}

/// What the router keeps of a connection, besides its relay.
struct Kept {
    orders: mpsc::Sender<Order>,
    /// Its first upstream is open, or was.
    open: bool,
    /// Where it weighs: at its server, and at the one where an upstream is being opened.
    at: Option<ServerId>,
    to: Option<ServerId>,
}

/// What became of connections.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Let in.
    pub opened: u64,
    /// Moves that ended at another server.
    pub moved: u64,
    /// Attempts at a move that came to nothing.
    pub put_off: u64,
    /// Turned away, by why.
    pub turned: BTreeMap<&'static str, u64>,
    /// Ended, by why.
    pub ended: BTreeMap<&'static str, u64>,
}

/// See the module's page.
pub struct Live {
    core: Rc<Core>,
    told: RefCell<Rc<WebSocket>>,
    sessions: RefCell<Sessions>,
    kept: RefCell<HashMap<SessionId, Kept>>,
    figures: RefCell<Figures>,
    changed: Notify,
    last: Cell<u64>,
    /// Bytes in all relays' buffers, and how many may be.
    bytes: Cell<usize>,
    most_bytes: usize,
}

/// The name of a reason to turn a connection away, for the log and the figures.
pub fn turned_name(why: Refusal) -> &'static str {
    match why {
        Refusal::TenantLimit => "tenant-full",
        Refusal::RouterLimit => "router-full",
        Refusal::QueueTimeout => "no-turn",
        Refusal::NoServerAccepted => "servers-full",
        Refusal::UpgradeFailed => "failed",
        Refusal::Draining => "going-away",
    }
}

impl Live {
    /// None yet. `most_bytes`: what all connections' buffers may hold.
    pub fn new(core: Rc<Core>, told: WebSocket, seed: u64, most_bytes: usize) -> Rc<Self> {
        let sessions = RefCell::new(Sessions::new(told.rules, seed));
        let live = Rc::new(Live {
            core,
            told: RefCell::new(Rc::new(told)),
            sessions,
            kept: RefCell::default(),
            figures: RefCell::default(),
            changed: Notify::new(),
            last: Cell::new(0),
            bytes: Cell::new(0),
            most_bytes,
        });
        let me = Rc::downgrade(&live);
        live.core.connect_live(move |news| {
            if let Some(live) = me.upgrade() {
                live.hear(news);
            }
        });
        live
    }

    /// The settings now.
    pub fn told(&self) -> Rc<WebSocket> {
        self.told.borrow().clone()
    }

    /// New settings: what is open stays, and follows the new ones from its next step on.
    pub fn reload(&self, told: WebSocket) {
        self.sessions.borrow_mut().set_rules(told.rules);
        let old = self.told();
        // What servers were told of, and what weighs there, holds until the next start.
        let (listen, kinds, load_tokens) = (old.listen, old.kinds.clone(), old.load_tokens);
        *self.told.borrow_mut() = Rc::new(WebSocket { listen, kinds, load_tokens, ..told });
        self.changed.notify_one();
    }

    /// How many there are, and what became of the others.
    pub fn figures(&self) -> (Counts, Figures) {
        (self.sessions.borrow().counts(), self.figures.borrow().clone())
    }

    fn now(&self) -> Millis {
        self.core.now().0 / 1_000_000
    }

    /// News of the list.
    fn hear(&self, news: &[News]) {
        let (now, told) = (self.now(), self.told());
        {
            let mut sessions = self.sessions.borrow_mut();
            for news in news {
                let server = ServerId(news.server.0);
                match news.state {
                    ServerState::Active if news.kind.is_some_and(|kind| told.kinds.contains(&kind)) => {
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
                match life.phase().is_draining() {
                    true => sessions.start_drain(now),
                    false => sessions.end_drain(),
                }
            }
            let actions = {
                let place = |_, offered: &[ServerId]| {
                    let offered: Vec<shedrelay::ServerId> =
                        offered.iter().map(|server| shedrelay::ServerId(server.0)).collect();
                    self.core.place(&offered).map(|server| ServerId(server.0))
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
                let Some(server) = server.filter(|server| server.told.get().is_none()) else {
                    return self.tried(session, AttemptOutcome::NotRun);
                };
                self.weigh(session, |kept| kept.to = Some(to));
                self.order(session, Order::Try(server));
            }
            Action::Refuse { session, reason, retry_after } => {
                self.order(session, Order::Turn(reason, after(retry_after)))
            }
            Action::Close { session, cause, retry_after } => {
                self.order(session, Order::Close(cause, after(retry_after)))
            }
        }
    }

    fn order(&self, session: SessionId, order: Order) {
        let last = !matches!(order, Order::Try(..));
        if last {
            self.weigh(session, |kept| (kept.at, kept.to) = (None, None));
        }
        let mut kept = self.kept.borrow_mut();
        if let Some(known) = kept.get(&session)
            && known.orders.try_send(order).is_err()
        {
            // It ends by itself when it finds its orders closed.
            crate::log!("websocket id=ws-{} reason=orders-full", session.0);
            kept.remove(&session);
        }
    }

    /// Where a connection weighs changes; the decision module hears of the difference.
    fn weigh(&self, session: SessionId, change: impl FnOnce(&mut Kept)) {
        let tokens = self.told.borrow().load_tokens;
        let mut all = self.kept.borrow_mut();
        let Some(kept) = all.get_mut(&session) else { return };
        let before = [kept.at, kept.to];
        change(kept);
        let after = [kept.at, kept.to];
        drop(all);
        let hold = |at: ServerId, tokens| self.core.hold(shedrelay::ServerId(at.0), tokens);
        before.into_iter().flatten().for_each(|at| hold(at, -tokens));
        after.into_iter().flatten().for_each(|at| hold(at, tokens));
    }

    // For the front and the relays.

    /// A new connection wants in; or why it is not let in, and when its client may come again.
    pub fn ask(
        self: &Rc<Self>,
        tenant: Option<shedrelay::TenantId>,
        safe: bool,
    ) -> Result<Member, (Refusal, Duration)> {
        let id = SessionId(self.last.get() + 1);
        self.last.set(id.0);
        // Without keys all are one customer.
        let tenant = TenantId(tenant.map_or(u64::MAX, |tenant| tenant.0 as u64));
        let asked = self.sessions.borrow_mut().enqueue(id, tenant, safe, self.now());
        if let Err((why, again)) = asked {
            self.refused(turned_name(why));
            return Err((why, Duration::from_millis(again)));
        }
        let (orders, hear) = mpsc::channel(MOST_ORDERS);
        self.kept.borrow_mut().insert(id, Kept { orders, open: false, at: None, to: None });
        self.changed.notify_one();
        Ok(Member { live: self.clone(), id, orders: hear, movable: true, bytes: 0 })
    }

    /// An upgrade was turned away.
    pub fn refused(&self, why: &'static str) {
        self.count(|figures| *figures.turned.entry(why).or_default() += 1);
    }

    fn count(&self, change: impl FnOnce(&mut Figures)) {
        change(&mut self.figures.borrow_mut());
    }

    fn tried(&self, session: SessionId, attempt: AttemptOutcome) {
        let taken = attempt == AttemptOutcome::Opened;
        let first = self.kept.borrow().get(&session).is_some_and(|kept| !kept.open);
        let action = self.sessions.borrow_mut().attempt_ended(session, attempt, self.now());
        self.weigh(session, |kept| {
            let to = kept.to.take();
            (kept.at, kept.open) = (if taken { to } else { kept.at }, kept.open || taken);
        });
        self.count(|figures| match (taken, first) {
            (true, false) => figures.moved += 1,
            (false, false) => figures.put_off += 1,
            _ => {}
        });
        if let Some(action) = action {
            self.perform(action);
        }
        self.changed.notify_one();
    }
}

/// A connection's place among them; it ends with this.
pub struct Member {
    live: Rc<Live>,
    id: SessionId,
    /// What it is told to do.
    pub orders: mpsc::Receiver<Order>,
    movable: bool,
    bytes: usize,
}

impl Member {
    /// Its name in the log.
    pub fn name(&self) -> String {
        format!("ws-{}", self.id.0)
    }

    /// The settings now.
    pub fn told(&self) -> Rc<WebSocket> {
        self.live.told()
    }

    /// An attempt has ended.
    pub fn tried(&self, attempt: AttemptOutcome) {
        self.live.tried(self.id, attempt);
    }

    /// Its first upstream is open and its client was told.
    pub fn opened(&self) {
        self.live.count(|figures| figures.opened += 1);
    }

    /// Its upstream broke.
    pub fn broke(&self) {
        let action = self.live.sessions.borrow_mut().upstream_broke(self.id, self.live.now());
        self.live.weigh(self.id, |kept| kept.at = None);
        if let Some(action) = action {
            self.live.perform(action);
        }
        self.live.changed.notify_one();
    }

    /// Whether it may move now.
    pub fn movable(&mut self, movable: bool) {
        if self.movable != movable {
            self.movable = movable;
            self.live.sessions.borrow_mut().set_movable(self.id, movable);
        }
    }

    /// It was not let in.
    pub fn turned(&self, why: &'static str) {
        self.live.refused(why);
    }

    /// It ended.
    pub fn ended(&self, why: &'static str) {
        self.live.count(|figures| *figures.ended.entry(why).or_default() += 1);
    }

    /// So many bytes are in its buffers. False if all connections hold too much and this one is not among the small.
    pub fn holds(&mut self, bytes: usize) -> bool {
        let all = self.live.bytes.get() - self.bytes + bytes;
        self.live.bytes.set(all);
        self.bytes = bytes;
        bytes <= SMALL || all <= self.live.most_bytes
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.live.bytes.set(self.live.bytes.get() - self.bytes);
        self.live.weigh(self.id, |kept| (kept.at, kept.to) = (None, None));
        self.live.kept.borrow_mut().remove(&self.id);
        self.live.sessions.borrow_mut().session_ended(self.id);
        self.live.changed.notify_one();
    }
}
