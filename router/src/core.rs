//! The core: owns the module's `Router`, the clock, the timers and every open request, and carries out the
//! module's actions. It knows no HTTP. The one final answer of each request is decided here alone.

mod leases;
mod repeats;

use crate::exchange::{ClientEnd, Exchange, Opening};
use crate::handover::BillingDetails;
use crate::list::{Entry, Update};
use crate::log;
use crate::names;
use crate::servers::Traced;
use crate::usage::{self, UsageLedger};
use fawnstream_attempts::delivery::Delivery;
use fawnstream_attempts::invariants::{Invariant, Violations};
use fawnstream_attempts::{Attempts, RepeatPolicy};
use fawnstream_fleet::start_times::{Clocks, StartTimes};
use fawnstream_leases::{AttemptEnd, LeaseConfig, Leases, Permission, ReleaseOutcome};
use fawnstream_ledger::entry::Tokens;
use fawnstream_ledger::recorder::RequestUsage;
use leases::Releases;
use prometheus::{Histogram, HistogramOpts};
pub use repeats::{RepeatCounts, RepeatLimits};
use shedrelay::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// An answer is due so long before the client gives up: it has to get there, and the client's clock started
/// when it sent the request.
const ANSWER_EARLY: Duration = Duration::from_millis(15);
/// A request that is still open so long after its deadline is failed whatever the module thinks. Guards
/// against a request that nobody answers.
const OVERDUE: Duration = Duration::from_millis(5);
/// An answer that is so late is lost, whatever it says.
const ANSWER_LOST: Duration = Duration::from_millis(500);

/// The decisions hear so often of a server whose streams go on.
const HEARD_EVERY: Duration = Duration::from_millis(40);

/// A server as the core and the servers' side know it.
pub struct Server {
    /// Its name in the list.
    pub label: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Since when it is known to take nothing new.
    pub told: Cell<Option<Instant>>,
    /// When the decisions were last told that it says something.
    pub heard: Cell<Option<Instant>>,
    /// When something was last read from its process.
    pub spoke: Cell<Option<Instant>>,
    /// When discovery told of it as a server that was not listed before.
    pub announced: Option<Instant>,
}

impl Server {
    /// A server of which nothing is known but its entry.
    fn new(label: String, address: SocketAddr, role: Role, announced: Option<Instant>) -> Rc<Self> {
        let (told, heard, spoke) = Default::default();
        Rc::new(Server { label, address, role, told, heard, spoke, announced })
    }
}

/// One attempt, as the servers' side gets it.
pub struct Order {
    /// The request and its answer's way back.
    pub exchange: Rc<Exchange>,
    /// Its number in the core.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// Where to.
    pub server: Rc<Server>,
    /// When to stop waiting for a first token or the end of the read.
    pub until: Instant,
    /// The client's deadline, told to the server.
    pub deadline: Instant,
    /// When what is held for the request has to be let go, unless its last byte is written by then.
    pub write_by: Option<Instant>,
    /// What binds it as a repeat; none where no attempt may have run before it.
    pub repeat: Option<RepeatLimits>,
    /// It must not be begun before this says so, and tells that time anew: what is held is being let go of.
    pub after: Option<oneshot::Receiver<Option<Instant>>>,
    /// Ends the attempt early.
    pub stop: oneshot::Receiver<()>,
}

/// How an attempt ended, as the servers' side tells it.
pub struct Ended {
    /// How.
    pub verdict: Verdict,
    /// Prompt tokens found kept.
    pub kept: Option<f64>,
    /// What the server says that the request used.
    pub used: Option<Tokens>,
    /// The server's report.
    pub report: Option<Report>,
    /// How that is known.
    pub evidence: Evidence,
    /// How far it came.
    pub delivery: Delivery,
    /// A reason for the log.
    pub reason: &'static str,
    /// The server works and says that it can't use the request.
    pub unusable: bool,
    /// For how long its connection had been idle; none if it was new.
    pub idle: Option<Duration>,
    /// Its connection, for the log; none where it has none.
    pub connection: Option<Traced>,
}

impl Ended {
    /// An attempt that told nothing but how it ended.
    pub fn new(verdict: Verdict, evidence: Evidence, delivery: Delivery, reason: &'static str) -> Self {
        Ended {
            verdict,
            kept: None,
            used: None,
            report: None,
            evidence,
            delivery,
            reason,
            unusable: false,
            idle: None,
            connection: None,
        }
    }

    /// It was never sent.
    pub fn unsent(verdict: Verdict, reason: &'static str) -> Self {
        Ended::new(verdict, Evidence::Router, Delivery::Unsent, reason)
    }
}

/// The servers' side.
pub trait Servers {
    /// Starts an attempt; [`Core::started`] and [`Core::ended`] hear of it, never before this returns.
    fn send(&self, order: Order);
    /// Asks a server to let go of all that is held for a request.
    fn release(&self, label: Rc<str>, at: Rc<Server>) -> Pin<Box<dyn Future<Output = ReleaseOutcome>>>;
    /// A server takes nothing new, or moved: its idle connections can go.
    fn retire(&self, server: &Server);
}

/// A timer that ends with what it watches. Guards against one that outlives its request by all of its budget.
struct Alarm(actix_rt::task::JoinHandle<()>);

impl Drop for Alarm {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Requests of one class that have ended, by how.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Answered whole.
    pub served: u64,
    /// Refused: trying again is harmless.
    pub refused: u64,
    /// Failed, broken off or unusable.
    pub failed: u64,
    /// Their clients left before.
    pub left: u64,
}

/// How a request ended that never reached the module.
#[derive(Clone, Copy, Debug)]
pub enum Untaken {
    /// It was refused: there was no room for it.
    Refused,
    /// What came made no sense, or never came whole.
    Failed,
    /// Its client left.
    Left,
}

struct Open {
    exchange: Rc<Exchange>,
    _overdue: Option<Alarm>,
    deadline: Instant,
    attempts: u32,
    /// What the attempts prove, on the module's clock.
    history: Attempts<ServerId>,
    current: Option<(Rc<Server>, Option<oneshot::Sender<()>>)>,
    /// What was held for it was let go of while an attempt was out.
    overdue: bool,
    /// Lets an attempt begin that waits for a release.
    go: Option<oneshot::Sender<Option<Instant>>>,
    /// How long it waited for its first attempt, and until its prompt was read.
    sent: Option<Duration>,
    read: Option<Duration>,
    /// Prompt tokens that its reader found kept.
    kept: Option<f64>,
    /// How long its first event took.
    first: Option<Duration>,
    /// The last reader and the last other server that it was sent to.
    route: [Option<Rc<Server>>; 2],
    started: bool,
    answered: bool,
    left: bool,
    /// Its final outcome was told.
    done: Cell<bool>,
}

/// What the list says of a server, for who keeps connections there.
pub struct News {
    /// The server.
    pub server: ServerId,
    /// Its kind; nothing is told of one that the list has dropped.
    pub kind: Option<KindId>,
    /// Whether it takes work.
    pub state: ServerState,
    /// Unix time of its last start; none for long ago.
    pub up_since: Option<Time>,
}

/// Hears of the list.
type OnNews = Rc<dyn Fn(&[News])>;

/// Goes on with a client's connection by itself.
type Bare = Rc<dyn Fn(ClientEnd, TcpStream)>;

/// See the module's page.
pub struct Core {
    router: RefCell<Router>,
    names: shedrelay_settings::Names,
    roles: Vec<Role>,
    /// What repeats of each class do.
    repeats: Vec<RepeatPolicy>,
    open: RefCell<HashMap<RequestId, Open>>,
    /// What is held at servers for requests.
    leases: RefCell<Leases<Rc<str>>>,
    releases: Releases,
    repeat_counts: RepeatCounts,
    labels: RefCell<HashMap<String, RequestId>>,
    list: RefCell<HashMap<ServerId, Rc<Server>>>,
    /// When servers started, whatever the wall clock says.
    start_times: RefCell<StartTimes>,
    servers: RefCell<Option<Rc<dyn Servers>>>,
    /// Who goes on with a client's connection that was given up.
    bare: RefCell<Option<Bare>>,
    /// Who keeps long-lived connections.
    on_news: RefCell<Option<OnNews>>,
    /// One for each class: a class that is not known adds none.
    tallies: RefCell<Vec<Tally>>,
    dispatches: Rc<Cell<u64>>,
    /// How long the module took for each event.
    decisions: Option<Histogram>,
    /// The usage ledger, where there is one.
    usage: Option<Rc<UsageLedger>>,
    /// Rules that were broken.
    violations: Violations,
    born: Instant,
    unix: u64,
    last: Cell<u64>,
    me: Weak<Core>,
}

impl Core {
    /// A core that knows no server yet.
    pub fn new(
        settings: Settings,
        names: shedrelay_settings::Names,
        terms: LeaseConfig,
        seed: u64,
        usage: Option<Rc<UsageLedger>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let roles = settings.kinds.iter().map(|kind| kind.role).collect();
        let repeats = settings.classes.iter().map(|class| class.effect.repeat()).collect();
        // What a reader of the log needs to tell what was late.
        for (name, class) in names.classes.iter().zip(&settings.classes) {
            let (aim, more) = (class.aim.secs() * 1e3, class.aim_per_1000.secs() * 1e3);
            log!("class name={name:?} aim_ms={aim} aim_per_1000_ms={more} worth={}", class.worth);
        }
        let router = Router::new(settings, seed)?;
        let tallies = RefCell::new(vec![Tally::default(); names.classes.len()]);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Rc::new_cyclic(|me| Core {
            router: RefCell::new(router),
            names,
            roles,
            repeats,
            open: RefCell::default(),
            leases: RefCell::new(Leases::new(terms)),
            releases: Releases::default(),
            repeat_counts: RepeatCounts::default(),
            labels: RefCell::default(),
            list: RefCell::default(),
            start_times: RefCell::default(),
            servers: RefCell::default(),
            bare: RefCell::default(),
            on_news: RefCell::default(),
            tallies,
            dispatches: Rc::default(),
            decisions: decision_times(),
            usage,
            violations: Violations::default(),
            born: Instant::now(),
            unix: unix.as_nanos() as u64,
            last: Cell::new(0),
            me: me.clone(),
        }))
    }

    /// Connects the servers' side.
    pub fn connect(&self, servers: Rc<dyn Servers>) {
        *self.servers.borrow_mut() = Some(servers);
    }

    /// Connects the clients' side, for connections that were given up.
    pub fn connect_bare(&self, clients: impl Fn(ClientEnd, TcpStream) + 'static) {
        *self.bare.borrow_mut() = Some(Rc::new(clients));
    }

    /// Goes on with a client's connection that was given up.
    pub fn bare(&self, end: ClientEnd, socket: TcpStream) {
        let bare = self.bare.borrow().clone();
        if let Some(bare) = bare {
            bare(end, socket);
        }
    }

    /// Connects who keeps long-lived connections: it hears of the list after the module.
    pub fn connect_live(&self, hear: impl Fn(&[News]) + 'static) {
        *self.on_news.borrow_mut() = Some(Rc::new(hear));
    }

    /// The module's choice of a server for one more long-lived connection.
    pub fn place(&self, among: &[ServerId]) -> Option<ServerId> {
        self.router.borrow_mut().place_connection(self.now(), among)
    }

    /// What long-lived connections weigh at a server has changed by so many tokens.
    pub fn hold(&self, at: ServerId, tokens: f64) {
        self.router.borrow_mut().add_connection_load(at, tokens);
    }

    /// A listed server.
    pub fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.list.borrow().get(&id).cloned()
    }

    /// A customer's name; empty where there is none.
    pub fn tenant_name(&self, tenant: Option<TenantId>) -> &str {
        tenant.and_then(|tenant| self.names.tenants.get(tenant.0)).map_or("", |name| name)
    }

    /// What a request is billed by, where a ledger is kept.
    pub fn bill(&self, call: &crate::exchange::Call) -> Option<BillingDetails> {
        Some(self.usage.as_ref()?.billing_details(call, self.tenant_name(call.tenant)))
    }

    /// The usage ledger, where there is one.
    pub fn usage(&self) -> Option<&UsageLedger> {
        self.usage.as_deref()
    }

    /// A class's name.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.names.classes.get(class.0).map_or("-", |name| name)
    }

    /// Names used on the wire.
    pub fn names(&self) -> &shedrelay_settings::Names {
        &self.names
    }

    /// The module's clock: Unix time at the start, and monotonic from there. It never goes back; the list's start times
    /// are put on it by [`StartTimes`].
    pub fn now(&self) -> Time {
        Time(self.unix + self.born.elapsed().as_nanos() as u64)
    }

    /// Whether a request could be served: a server that reads and one that writes are listed.
    pub fn able(&self) -> bool {
        let list = self.list.borrow();
        let has = |role| list.values().any(|s| s.told.get().is_none() && s.role == role);
        has(Role::Mixed) || (has(Role::Reader) && has(Role::Writer))
    }

    /// Requests that have not ended yet.
    pub fn busy(&self) -> usize {
        self.open.borrow().len()
    }

    /// Ids in use and servers listed: neither outlives what it is for.
    pub fn held(&self) -> (usize, usize) {
        (self.labels.borrow().len(), self.list.borrow().len())
    }

    // Figures.

    /// What has ended, for each class in their order.
    pub fn tallies(&self) -> Vec<Tally> {
        self.tallies.borrow().clone()
    }

    /// Attempts written whole; counted at the connection, where alone that is seen.
    pub fn dispatches(&self) -> u64 {
        self.dispatches.get()
    }

    /// How long decisions took, in seconds.
    pub fn decisions(&self) -> Option<Histogram> {
        self.decisions.clone()
    }

    /// Where they are counted.
    pub fn dispatch_counter(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// Requests taken that have not ended for their clients: an attempt that is still out after its request's
    /// final answer counts for nothing here.
    pub fn concurrent(&self) -> usize {
        let open = self.open.borrow();
        open.values().filter(|open| !open.left && (!open.answered || open.started)).count()
    }

    /// Servers listed, and how many of them the module avoids now.
    pub fn targets(&self) -> (usize, usize) {
        (self.list.borrow().len(), self.router.borrow().excluded_servers(self.now()))
    }

    /// A request of this class ended before it could be submitted. One whose class is not known counts nowhere.
    pub fn untaken(&self, class: Option<ClassId>, how: Untaken) {
        let mut tallies = self.tallies.borrow_mut();
        let Some(tally) = class.and_then(|class| tallies.get_mut(class.0)) else { return };
        match how {
            Untaken::Refused => tally.refused += 1,
            Untaken::Failed => tally.failed += 1,
            Untaken::Left => tally.left += 1,
        }
    }

    // The list.

    /// News of the list.
    pub fn listed(&self, update: Update) {
        let mut gone = Vec::new();
        let mut members = Vec::new();
        // So many of those that are gone are on the list no more.
        let mut dropped = 0;
        {
            let mut list = self.list.borrow_mut();
            let now = Instant::now();
            if update.complete {
                // A set: each known server is looked up in it, at 1,024 of them as at ten.
                let named: HashSet<ServerId> = update.entries.iter().map(|e| server_id(&e.id)).collect();
                for (id, server) in list.iter().filter(|(id, _)| !named.contains(id)) {
                    tell(server, now);
                    gone.push((*id, server.clone()));
                    self.start_times.borrow_mut().dropped(id.0, self.lease_time());
                }
                list.retain(|id, _| named.contains(id));
                dropped = gone.len();
            }
            for entry in &update.entries {
                let Some(member) = self.member(entry, update.current) else { continue };
                let role = self.roles[member.kind.0];
                let same = |known: &&Rc<Server>| known.address == entry.address && known.role == role;
                let known = list.get(&member.server).filter(same);
                let server = known.cloned().unwrap_or_else(|| {
                    if member.up_since.is_some() {
                        let name = if role == Role::Reader { "reader" } else { "writer" };
                        log!("list new server={} role={name} up_since_ms={}", entry.id, entry.up_since_ms);
                    }
                    let announced = (!update.complete).then_some(now);
                    Server::new(entry.id.clone(), entry.address, role, announced)
                });
                if member.state == ServerState::Active {
                    server.told.set(None);
                } else {
                    tell(&server, now);
                    gone.push((member.server, server.clone()));
                }
                if let Some(old) = list.insert(member.server, server.clone())
                    && !Rc::ptr_eq(&old, &server)
                {
                    tell(&old, now);
                    gone.push((member.server, old));
                }
                // Guards against a list that grows with each server that ever was.
                if member.state == ServerState::Left {
                    list.remove(&member.server);
                    self.start_times.borrow_mut().dropped(member.server.0, self.lease_time());
                }
                members.push(member);
            }
        }
        self.start_times.borrow_mut().sweep(self.lease_time());
        if let Some(servers) = self.servers.borrow().as_ref() {
            gone.iter().for_each(|(_, server)| servers.retire(server));
        }
        let on_news = self.on_news.borrow().clone();
        let news = on_news.is_some().then(|| {
            let dropped = gone[..dropped].iter().map(|(id, _)| News {
                server: *id,
                kind: None,
                state: ServerState::Left,
                up_since: None,
            });
            let told = members.iter().map(|member| News {
                server: member.server,
                kind: Some(member.kind),
                state: member.state,
                up_since: member.up_since,
            });
            dropped.chain(told).collect::<Vec<News>>()
        });
        self.handle(Event::Members(match update.complete {
            true => Members::Full(members),
            false => Members::Changes(members),
        }));
        if let (Some(hear), Some(news)) = (on_news, news) {
            hear(&news);
        }
    }

    /// When a server started, on the module's clock; none for long ago.
    fn start_of(&self, entry: &Entry, current: Option<Instant>) -> Option<Time> {
        if entry.up_since_ms == 0 {
            return None;
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clocks = Clocks { monotonic: self.lease_time(), wall };
        let current = current.map(|at| self.monotonic(at));
        let stamp = Duration::from_millis(entry.up_since_ms);
        let start = self.start_times.borrow_mut().listed(server_id(&entry.id).0, stamp, clocks, current);
        Some(Time(start.as_nanos() as u64))
    }

    /// The module's clock at an instant.
    fn monotonic(&self, at: Instant) -> Duration {
        Duration::from_nanos(self.unix) + at.saturating_duration_since(self.born)
    }

    fn member(&self, entry: &Entry, current: Option<Instant>) -> Option<Member> {
        let Some(kind) = self.names.kinds.iter().position(|kind| *kind == entry.kind) else {
            log!("list dropped server={:?} reason=unknown-kind", entry.id);
            return None;
        };
        let zone = self.names.zones.iter().position(|zone| *zone == entry.zone).unwrap_or(usize::MAX);
        Some(Member {
            server: server_id(&entry.id),
            state: entry.state,
            kind: KindId(kind),
            zone: ZoneId(zone),
            cell: CellId(entry.cell),
            up_since: self.start_of(entry, current),
        })
    }

    // Requests.

    /// Takes a request. None if one with its id is still open.
    pub fn submit(&self, exchange: Rc<Exchange>) -> Option<ClientEnd> {
        let call = &exchange.call;
        let id = RequestId(self.last.get() + 1);
        let budget = call.budget.saturating_sub(ANSWER_EARLY);
        let deadline = call.arrived + budget;
        if self.labels.borrow().contains_key(&call.label) {
            return None;
        }
        self.last.set(id.0);
        self.labels.borrow_mut().insert(call.label.clone(), id);
        let me = self.me.clone();
        exchange.on_leave(move || {
            if let Some(core) = me.upgrade() {
                core.gone(id);
            }
        });
        let ask = Request {
            id,
            session: call.session,
            prefix: call.prefix,
            prefix_len: call.prefix_len,
            prompt_len: call.prompt_len,
            max_out: call.max_out,
            budget: Span(deadline.saturating_duration_since(Instant::now()).as_nanos() as u64),
            class: call.class,
            tenant: call.tenant,
        };
        let me = self.me.clone();
        let overdue = Alarm(actix_rt::spawn(async move {
            actix_rt::time::sleep_until((deadline + OVERDUE).into()).await;
            if let Some(core) = me.upgrade() {
                core.overdue(id);
            }
        }));
        let open = Open {
            exchange: exchange.clone(),
            _overdue: Some(overdue),
            deadline,
            attempts: 0,
            history: Attempts::default(),
            current: None,
            overdue: false,
            go: None,
            sent: None,
            read: None,
            kept: None,
            first: None,
            route: [None, None],
            started: false,
            answered: false,
            left: false,
            done: Cell::new(false),
        };
        if let Some(usage) = &self.usage {
            usage.request_started(id, &exchange.call, self.tenant_name(exchange.call.tenant));
        }
        self.open.borrow_mut().insert(id, open);
        self.handle(Event::Request(ask));
        Some(ClientEnd::new(exchange))
    }

    fn gone(&self, id: RequestId) {
        match self.open.borrow_mut().get_mut(&id) {
            Some(open) if !open.left && !open.answered => {
                (open.left, open.answered) = (true, true);
                self.done(id, open, "client-left", None);
            }
            Some(open) if !open.left && open.started => {
                open.left = true;
                // A stream that nobody reads ends.
                if let Some(stop) = open.current.as_mut().and_then(|current| current.1.take()) {
                    let _ = stop.send(());
                }
            }
            _ => return,
        }
        self.handle(Event::ClientLeft(id));
        self.settle(id);
    }

    /// Goes on with a stream that another process began: it is open here until it ends, counts as any other, and the
    /// module, which has not sent it, is not asked about it. None if its id is in use.
    pub fn carry(
        &self,
        exchange: Rc<Exchange>,
        label: &str,
        address: SocketAddr,
        bill: Option<BillingDetails>,
    ) -> Option<(Order, ClientEnd)> {
        if self.labels.borrow().contains_key(&exchange.call.label) {
            return None;
        }
        let request = RequestId(self.last.get() + 1);
        self.last.set(request.0);
        let known = self.list.borrow().values().find(|server| server.label == label).cloned();
        let server = known
            .filter(|server| server.address == address)
            .unwrap_or_else(|| Server::new(label.to_owned(), address, Role::Writer, None));
        self.labels.borrow_mut().insert(exchange.call.label.clone(), request);
        let (stop, stopped) = oneshot::channel();
        let now = Instant::now();
        let open = Open {
            exchange: exchange.clone(),
            _overdue: None,
            deadline: now,
            attempts: 1,
            history: Attempts::default(),
            current: Some((server.clone(), Some(stop))),
            overdue: false,
            go: None,
            sent: None,
            read: None,
            kept: None,
            first: None,
            route: [None, None],
            started: true,
            answered: true,
            left: false,
            done: Cell::new(false),
        };
        if let (Some(usage), Some(bill)) = (&self.usage, bill) {
            usage.request_received(request, bill);
        }
        self.open.borrow_mut().insert(request, open);
        let end = self.client_again(request, &exchange);
        let attempt = Attempt(0);
        let order = Order {
            exchange,
            request,
            attempt,
            server,
            until: now,
            deadline: now,
            write_by: None,
            repeat: None,
            after: None,
            stop: stopped,
        };
        Some((order, end))
    }

    /// A new client's end for a stream whose client's connection was given up.
    pub fn client_again(&self, request: RequestId, exchange: &Rc<Exchange>) -> ClientEnd {
        let me = self.me.clone();
        ClientEnd::again(exchange.clone(), move || {
            if let Some(core) = me.upgrade() {
                core.gone(request);
            }
        })
    }

    /// A stream goes on in another process, which counts it.
    pub fn handed(&self, request: RequestId, attempt: Attempt) {
        let Some(open) = self.open.borrow_mut().remove(&request) else { return };
        self.labels.borrow_mut().remove(&open.exchange.call.label);
        log!("request id={} outcome=handed-over", open.exchange.call.label);
        if let Some(usage) = &self.usage {
            usage.request_handed_over(request);
        }
        let (verdict, settled) = (Verdict::Ok, true);
        let evidence = Evidence::Server;
        let outcome = Outcome { request, attempt, verdict, evidence, settled, kept: None, report: None };
        self.handle(Event::Outcome(outcome));
    }

    /// The module never leaves a request so long; if it does, the client still gets its answer.
    fn overdue(&self, id: RequestId) {
        let late = self.open.borrow().get(&id).is_some_and(|open| !open.answered);
        if late {
            log!("request overdue number={}", id.0);
            self.answer(id, Opening::Failed);
            self.handle(Event::ClientLeft(id));
            self.settle(id);
        }
    }

    /// An attempt's answer begins: from here on it belongs to the client. False if the client has an answer
    /// already or left.
    pub fn started(&self, request: RequestId, attempt: Attempt) -> bool {
        {
            let mut all = self.open.borrow_mut();
            let Some(open) = all.get_mut(&request) else { return false };
            if open.answered || open.attempts != attempt.0 + 1 {
                return false;
            }
            (open.started, open.answered) = (true, true);
            open.first = Some(open.exchange.call.arrived.elapsed());
            // With the first event all that is held goes by itself.
            self.leases.borrow_mut().answer_began(request.0, self.lease_time());
            if open.overdue {
                self.releases.count_needless();
            }
            open.exchange.open(Opening::Stream);
        }
        // A release that was under way ends.
        self.poll_leases();
        self.handle(Event::FirstToken { request, attempt });
        true
    }

    /// Something of an answer came from a server. Told on at intervals: a stream has many events.
    pub fn heard(&self, server: &Server) {
        let now = Instant::now();
        if server.heard.get().is_none_or(|heard| now.duration_since(heard) >= HEARD_EVERY) {
            server.heard.set(Some(now));
            self.handle(Event::Activity(server_id(&server.label)));
        }
    }

    /// A server told its load ahead of an answer's end.
    pub fn reported(&self, server: &Server, report: Option<Report>) {
        if report.is_some() {
            self.handle(Event::Probed { server: server_id(&server.label), ok: true, report });
        }
    }

    /// An attempt ended.
    pub fn ended(&self, request: RequestId, attempt: Attempt, ended: Ended) {
        let mut verdict = ended.verdict;
        if ended.unusable {
            // No other server could use it either, and none is to blame.
            self.answer(request, Opening::Unusable);
        }
        let settled = {
            let mut all = self.open.borrow_mut();
            let Some(open) = all.get_mut(&request) else { return };
            let Some((server, _)) = open.current.take() else { return };
            let reads = server.role == Role::Reader;
            let (at, now) = (server_id(&server.label).0, self.lease_time());
            let mut leases = self.leases.borrow_mut();
            let end = attempt_end(&ended);
            let label = || Rc::from(open.exchange.call.label.as_str());
            if verdict == Verdict::Read {
                leases.read_ended(request.0, &label(), at, now);
                open.read = Some(open.exchange.call.arrived.elapsed());
                open.kept = ended.kept;
            } else if reads && ended.delivery.may_have_run() && verdict != Verdict::Full {
                // The read may have ended well at the very moment its connection ended.
                leases.read_lost(request.0, &label(), at, end, now);
            } else {
                leases.attempt_ended(request.0, at, end, now);
            }
            open.go = None;
            drop(leases);
            if !ended.delivery.may_have_run() && verdict == Verdict::Cancelled {
                // Never sent whole: it proves that it never ran.
                verdict = if open.answered { Verdict::Moot } else { Verdict::NoRoute };
            }
            if !reads && ended.evidence == Evidence::Silence && open.history.first_possible_run().is_some() {
                self.repeat_counts.count_unconfirmed();
            }
            open.history.end(match ended.delivery.may_have_run() {
                true => verdict.proof(reads, ended.evidence),
                false => Proof::NeverSent,
            });
            if open.started {
                let how = match (open.left, verdict) {
                    (_, Verdict::Ok) => "served",
                    (true, _) => "client-left",
                    (false, _) => "broken",
                };
                self.done(request, open, how, ended.used);
                if open.left {
                    // Nothing speaks against a server whose reader went away.
                    verdict = Verdict::Ok;
                }
            }
            if verdict != Verdict::Ok && verdict != Verdict::Read {
                log!(
                    "attempt id={} try={} server={} role={} verdict={:?} reason={} idle_ms={} delivery={:?} port={} heard_ms={}",
                    open.exchange.call.label,
                    attempt.0,
                    server.label,
                    if reads { "reader" } else { "writer" },
                    verdict,
                    ended.reason,
                    ms(ended.idle),
                    ended.delivery,
                    ended.connection.map_or(0, |connection| connection.port),
                    ms(ended.connection.and_then(|connection| connection.heard))
                );
            }
            open.answered
        };
        let Ended { kept, report, evidence, .. } = ended;
        let outcome = Outcome { request, attempt, verdict, evidence, settled, kept, report };
        self.handle(Event::Outcome(outcome));
        self.settle(request);
    }

    /// The final answer, if the client has none yet.
    fn answer(&self, id: RequestId, opening: Opening) {
        if let Some(open) = self.open.borrow_mut().get_mut(&id).filter(|open| !open.answered) {
            open.answered = true;
            if Instant::now() > open.deadline + ANSWER_LOST {
                self.violated(Invariant::AnswerInTime, &format!("id={}", open.exchange.call.label));
            }
            open.exchange.open(opening);
            let how = match opening {
                Opening::Failed => "failed",
                Opening::Unusable => "unusable",
                _ => "refused",
            };
            self.done(id, open, how, None);
        }
    }

    /// The final answer is a refusal, or a failure where the attempts don't prove that trying again is harmless. The
    /// module asks the same; here what it does not know of an attempt that is out counts too.
    fn refuse(&self, id: RequestId, back_off: Option<Duration>) {
        let now = self.lease_time();
        let may_refuse = |open: &Open| {
            let repeat = self.repeat(open.exchange.call.class);
            open.history.may_refuse(repeat, now, back_off.unwrap_or_default())
        };
        let allowed = self.open.borrow().get(&id).is_none_or(may_refuse);
        self.answer(id, if allowed { Opening::Refused(back_off) } else { Opening::Failed });
    }

    /// What repeats of a class do. One that is not known here is repeated by nobody.
    fn repeat(&self, class: ClassId) -> RepeatPolicy {
        self.repeats.get(class.0).copied().unwrap_or(RepeatPolicy::Never)
    }

    /// Fails every request that still waits for its answer, and calls its attempt off: the process is about to end, and
    /// a client whose connection closes without an answer takes its request for one that was never read.
    pub fn fail_all(&self) {
        let waiting: Vec<RequestId> = {
            let open = self.open.borrow();
            open.iter().filter(|(_, open)| !open.answered).map(|(id, _)| *id).collect()
        };
        for id in waiting {
            let stop = |open: &mut Open| open.current.as_mut().and_then(|current| current.1.take());
            if let Some(stop) = self.open.borrow_mut().get_mut(&id).and_then(stop) {
                let _ = stop.send(());
            }
            self.answer(id, Opening::Failed);
            self.handle(Event::ClientLeft(id));
            self.settle(id);
        }
    }

    /// One line for each request: its final outcome, which is counted here alone.
    fn done(&self, id: RequestId, open: &Open, outcome: &str, tokens: Option<Tokens>) {
        let call = &open.exchange.call;
        if open.done.replace(true) {
            return self.violated(Invariant::OneFinalAnswer, &format!("id={} outcome={outcome}", call.label));
        }
        if let Some(usage) = &self.usage {
            let used = RequestUsage {
                label: call.label.clone(),
                class: self.class_name(call.class).to_owned(),
                outcome: usage::outcome(outcome),
                answer_began: open.started,
                reported_tokens: tokens,
                declared_prompt_tokens: call.prompt_len as i64,
            };
            usage.request_ended(id, used);
        }
        if let Some(tally) = self.tallies.borrow_mut().get_mut(call.class.0) {
            match outcome {
                "served" => tally.served += 1,
                "refused" => tally.refused += 1,
                "client-left" => tally.left += 1,
                _ => tally.failed += 1,
            }
        }
        log!(
            "request id={} class={} outcome={} attempts={} first_ms={} sent_ms={} read_ms={} ms={} prompt={} kept={} out={} reader={} writer={}",
            call.label,
            self.class_name(call.class),
            outcome,
            open.attempts,
            ms(open.first),
            ms(open.sent),
            ms(open.read),
            call.arrived.elapsed().as_millis(),
            call.prompt_len,
            open.kept.map_or_else(|| "-".to_owned(), |kept| kept.to_string()),
            tokens.map_or_else(|| "-".to_owned(), |used| used.written.to_string()),
            label(&open.route[0]),
            label(&open.route[1])
        );
    }

    /// Forgets a request that has its answer and no attempt out; what is held for it has to go.
    fn settle(&self, id: RequestId) {
        {
            let mut all = self.open.borrow_mut();
            if all.get(&id).is_some_and(|open| open.answered && open.current.is_none())
                && let Some(open) = all.remove(&id)
            {
                self.labels.borrow_mut().remove(&open.exchange.call.label);
                self.leases.borrow_mut().request_closed(id.0, self.lease_time());
            }
        }
        self.poll_leases();
    }

    // The module.

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.router.borrow_mut().handle(self.now(), event, &mut actions);
        if let Some(decisions) = &self.decisions {
            decisions.observe(began.elapsed().as_secs_f64());
        }
        let released = |action: &Action| match action {
            Action::Release(request) => Some(*request),
            _ => None,
        };
        let released: Vec<RequestId> = actions.iter().filter_map(released).collect();
        actions.into_iter().for_each(|action| self.perform(action));
        released.into_iter().for_each(|request| self.settle(request));
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Cancel { request, attempt } => {
                let mut all = self.open.borrow_mut();
                let open = all.get_mut(&request).filter(|open| open.attempts == attempt.0 + 1);
                if let Some(stop) = open.and_then(|o| o.current.as_mut()).and_then(|c| c.1.take()) {
                    let _ = stop.send(());
                }
            }
            Action::Refuse { request, backoff } => {
                self.refuse(request, backoff.map(Duration::from));
                self.later(request);
            }
            Action::Fail(request) => {
                self.answer(request, Opening::Failed);
                self.later(request);
            }
            Action::Release(request) => {
                self.leases.borrow_mut().release(request.0, self.lease_time());
            }
            Action::Timer { timer, after } => {
                let me = self.me.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(Duration::from_nanos(after.0)).await;
                    if let Some(core) = me.upgrade() {
                        core.handle(Event::Timer(timer));
                    }
                });
            }
            // Probes are not allowed where this router works, and the list is watched without being asked.
            Action::Probe(_) | Action::Subscribe => {}
        }
    }

    /// A release may follow the final answer in the same batch: the request is kept until then.
    fn later(&self, id: RequestId) {
        let me = self.me.clone();
        actix_rt::spawn(async move {
            if let Some(core) = me.upgrade() {
                core.settle(id);
            }
        });
    }

    /// Whether one more attempt may be sent. The module asks the same before; here a violation is counted.
    fn check_send(&self, open: &Open) -> bool {
        let label = &open.exchange.call.label;
        if open.current.is_some() || open.history.in_flight() {
            self.violated(Invariant::OneAttemptAtOnce, &format!("id={label} attempts={}", open.attempts));
            return false;
        }
        // Which servers drop repeats together is the module's to know.
        let repeat = self.repeat(open.exchange.call.class);
        let allowed = open.history.may_repeat(repeat, self.lease_time(), |_| true);
        if !allowed {
            self.violated(Invariant::RepeatPermitted, &format!("id={label} attempts={}", open.attempts));
        }
        allowed
    }

    /// A rule was broken: it is counted and logged, and a debug build ends here.
    pub fn violated(&self, rule: Invariant, what: &str) {
        self.violations.record(rule);
        log!("invariant violated rule={} {what}", rule.name());
        debug_assert!(false, "invariant violated: {} {what}", rule.name());
    }

    /// How often each rule was broken.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    fn send(&self, id: RequestId, to: ServerId, timeout: Option<Span>) {
        let me = self.me.clone();
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        let attempt = Attempt(open.attempts);
        open.attempts += 1;
        let server = self.list.borrow().get(&to).cloned();
        let allowed = self.check_send(open);
        let Some(server) = server.filter(|_| allowed) else {
            // Never sent; the module hears so after this batch.
            actix_rt::spawn(async move {
                let Some(core) = me.upgrade() else { return };
                let verdict = Verdict::Moot;
                let outcome = Outcome {
                    request: id,
                    attempt,
                    verdict,
                    evidence: Evidence::Router,
                    settled: false,
                    kept: None,
                    report: None,
                };
                core.handle(Event::Outcome(outcome));
                core.settle(id);
            });
            return;
        };
        let (stop, stopped) = oneshot::channel();
        open.current = Some((server.clone(), Some(stop)));
        open.route[usize::from(server.role != Role::Reader)] = Some(server.clone());
        open.sent.get_or_insert_with(|| open.exchange.call.arrived.elapsed());
        let now = Instant::now();
        let repeat = self.repeat_limits(open, &server);
        open.history.begin(to, self.lease_time());
        let (write_by, after) = match self.leases.borrow_mut().attempt_starts(id.0, self.lease_time()) {
            Permission::Now { write_by } => (write_by.map(|at| self.instant(at)), None),
            Permission::AfterRelease => {
                let (go, after) = oneshot::channel();
                open.go = Some(go);
                (None, Some(after))
            }
        };
        let wait = timeout.map_or(open.deadline, |t| now + Duration::from_nanos(t.0));
        let order = Order {
            exchange: open.exchange.clone(),
            request: id,
            attempt,
            server,
            until: wait.min(open.deadline),
            deadline: open.deadline,
            write_by,
            repeat,
            after,
            stop: stopped,
        };
        drop(all);
        if let Some(servers) = self.servers.borrow().as_ref() {
            servers.send(order);
        }
    }
}

/// Times of decisions: 2 us to 65 ms, doubling. None if the library turns its name down, which it does not.
fn decision_times() -> Option<Histogram> {
    let buckets = prometheus::exponential_buckets(2e-6, 2.0, 16).ok()?;
    let told =
        HistogramOpts::new("router_decision_seconds", "Time that the decision module took for an event.");
    Histogram::with_opts(told.buckets(buckets)).ok()
}

/// A time that may be none, for the log.
fn ms(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
}

/// A server that may be none, for the log.
fn label(server: &Option<Rc<Server>>) -> &str {
    server.as_ref().map_or("-", |server| &server.label)
}

fn tell(server: &Server, now: Instant) {
    if server.told.get().is_none() {
        server.told.set(Some(now));
        log!("list drains server={}", server.label);
    }
}

/// What the end of an attempt proves to the owner of leases.
fn attempt_end(ended: &Ended) -> AttemptEnd {
    match (ended.delivery, ended.evidence) {
        (Delivery::Unsent, _) => AttemptEnd::NotSent,
        (Delivery::Written, Evidence::Server) if ended.verdict == Verdict::Closed => AttemptEnd::Closed,
        (Delivery::Written, _) => AttemptEnd::Unanswered,
        (Delivery::Arrived | Delivery::Answered, _) if ended.verdict == Verdict::NoState => {
            AttemptEnd::StateNotFound
        }
        (Delivery::Arrived | Delivery::Answered, _) => AttemptEnd::Answered,
    }
}

fn server_id(label: &str) -> ServerId {
    ServerId(names::hash(label))
}
