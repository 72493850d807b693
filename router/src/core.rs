//! The core. Owns the decision module's [`Router`], the clock, the timers and all open requests, and carries out the
//! decision module's actions. Independent of HTTP. The only place that gives a request its one final answer.

mod labels;
mod leases;
mod list;
mod outcome;
mod repeats;
mod stopping;
mod transfer;

use crate::exchange::{ClientEnd, Exchange, Opening};
use crate::log;
use crate::names;
use crate::servers::ConnectionInfo;
use crate::usage::UsageLedger;
use fawnstream_attempts::delivery::Delivery;
use fawnstream_attempts::invariants::{Invariant, Violations};
use fawnstream_attempts::{Attempts, RepeatPolicy};
use fawnstream_fleet::start_times::StartTimes;
use fawnstream_leases::{AttemptEnd, LeaseConfig, Leases, Permission, ReleaseOutcome};
use fawnstream_ledger::entry::Tokens;
use labels::LabelCounts;
use leases::Releases;
use list::OnListUpdate;
pub use list::ServerUpdate;
pub use outcome::{FinalOutcome, NotSubmitted, OutcomeCounts};
use outcome::{log_millis, server_label};
use prometheus::{Histogram, HistogramOpts};
pub use repeats::{RepeatCounts, RepeatLimits};
use shedrelay::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use transfer::Origin;

/// An answer is due this long before the client gives up: it still has to reach the client, whose clock started when
/// it sent the request.
const CLIENT_MARGIN: Duration = Duration::from_millis(15);
/// A request still unanswered this long after its deadline is failed, whatever the decision module does. Without this
/// a request could stay unanswered for ever.
const OVERDUE_GRACE: Duration = Duration::from_millis(5);
/// An answer later than this after the deadline is lost to the client, and violates an invariant.
const ANSWER_LOST_AFTER: Duration = Duration::from_millis(500);

/// Shortest interval between two `Activity` events for a server.
const ACTIVITY_INTERVAL: Duration = Duration::from_millis(40);

/// A server of the list, shared by the core and the servers' side.
pub struct Server {
    /// Its id in the list.
    pub label: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Since when it is known to take no new requests.
    pub draining_since: Cell<Option<Instant>>,
    /// When the decision module last got an `Activity` event for it.
    pub last_activity_event: Cell<Option<Instant>>,
    /// When bytes were last received from its process.
    pub last_heard: Cell<Option<Instant>>,
    /// When discovery announced it as a new server; none if it came with a complete list.
    pub announced_at: Option<Instant>,
}

impl Server {
    /// A server of which only the list entry is known.
    fn new(label: String, address: SocketAddr, role: Role, announced_at: Option<Instant>) -> Rc<Self> {
        let (draining_since, last_activity_event, last_heard) = Default::default();
        Rc::new(Server {
            label,
            address,
            role,
            draining_since,
            last_activity_event,
            last_heard,
            announced_at,
        })
    }
}

/// An attempt for the servers' side to carry out.
pub struct AttemptOrder {
    /// The request and the stream for its answer.
    pub exchange: Rc<Exchange>,
    /// The request's id.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The server to send it to.
    pub server: Rc<Server>,
    /// Latest time for a writer's first token or the end of a read.
    pub answer_by: Instant,
    /// The request's deadline, which is sent to the server.
    pub deadline: Instant,
    /// When the request's leases have to be released, unless the attempt's last byte is written by then.
    pub write_by: Option<Instant>,
    /// Its limits as a repeat; none if no earlier attempt may have run.
    pub repeat: Option<RepeatLimits>,
    /// If set, a release is in progress: the attempt must not start before this sends a new `write_by`.
    pub release_done: Option<oneshot::Receiver<Option<Instant>>>,
    /// Cancels the attempt.
    pub stop: oneshot::Receiver<CancelReason>,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The decision module does not want it any more.
    NotWanted,
    /// Its client has left.
    ClientLeft,
    /// The process is about to end.
    Stopping,
}

impl CancelReason {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            CancelReason::NotWanted => "cancelled",
            CancelReason::ClientLeft => "client-left",
            CancelReason::Stopping => "stopping",
        }
    }
}

/// How an attempt ended, as reported by the servers' side.
pub struct AttemptResult {
    /// The verdict.
    pub verdict: Verdict,
    /// Prompt tokens found in the server's prefix cache.
    pub kept: Option<f64>,
    /// Token usage reported by the server.
    pub used: Option<Tokens>,
    /// The server's load report.
    pub report: Option<Report>,
    /// How the end became known.
    pub evidence: Evidence,
    /// How much of it reached the server.
    pub delivery: Delivery,
    /// The reason in the log.
    pub reason: &'static str,
    /// A healthy server rejected the request itself as unusable.
    pub unusable: bool,
    /// Its connection, for the log; none if there was none.
    pub connection: Option<ConnectionInfo>,
}

impl AttemptResult {
    /// A result without anything from the server's answer.
    pub fn new(verdict: Verdict, evidence: Evidence, delivery: Delivery, reason: &'static str) -> Self {
        AttemptResult {
            verdict,
            kept: None,
            used: None,
            report: None,
            evidence,
            delivery,
            reason,
            unusable: false,
            connection: None,
        }
    }

    /// The result of an attempt that was never sent.
    pub fn unsent(verdict: Verdict, reason: &'static str) -> Self {
        AttemptResult::new(verdict, Evidence::Router, Delivery::Unsent, reason)
    }
}

/// The servers' side: connections to servers.
pub trait Servers {
    /// Starts an attempt. [`Core::answer_began`] and [`Core::attempt_ended`] are only called after this has returned.
    fn send(&self, order: AttemptOrder);
    /// Asks a server to release all that it holds for a request.
    fn release(&self, label: Rc<str>, at: Rc<Server>) -> Pin<Box<dyn Future<Output = ReleaseOutcome>>>;
}

/// A task that is aborted on drop. Otherwise a timer could outlive its request by the whole budget.
struct AbortOnDrop(actix_rt::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request that has been submitted and has not ended.
struct OpenRequest {
    exchange: Rc<Exchange>,
    _overdue_timer: Option<AbortOnDrop>,
    deadline: Instant,
    attempts: u32,
    /// What its attempts prove, on the decision module's clock.
    history: Attempts<ServerId>,
    /// The server of the attempt in flight, and how to cancel it; the latter is none once it was cancelled.
    current: Option<(Rc<Server>, Option<oneshot::Sender<CancelReason>>)>,
    /// Its leases were released while an attempt was in flight.
    released_during_attempt: bool,
    /// Starts the attempt that waits for a release.
    release_done: Option<oneshot::Sender<Option<Instant>>>,
    /// Time from its arrival to its first attempt.
    sent_after: Option<Duration>,
    /// Time from its arrival to the end of its read.
    read_after: Option<Duration>,
    /// Prompt tokens found in the reader's prefix cache.
    kept: Option<f64>,
    /// Time from its arrival to the first event of its answer.
    first_event_after: Option<Duration>,
    /// The last reader and the last other server to which it was sent.
    route: [Option<Rc<Server>>; 2],
    /// Its answer's stream has begun.
    answer_began: bool,
    /// Its final answer is decided, or its client has left.
    settled: bool,
    client_left: bool,
    /// Its final outcome was counted and logged.
    outcome_recorded: Cell<bool>,
    /// Where it came from.
    origin: Origin,
}

impl OpenRequest {
    /// A request without attempts and without an answer.
    fn new(exchange: Rc<Exchange>, deadline: Instant, origin: Origin) -> Self {
        OpenRequest {
            exchange,
            _overdue_timer: None,
            deadline,
            attempts: 0,
            history: Attempts::default(),
            current: None,
            released_during_attempt: false,
            release_done: None,
            sent_after: None,
            read_after: None,
            kept: None,
            first_event_after: None,
            route: [None, None],
            answer_began: false,
            settled: false,
            client_left: false,
            outcome_recorded: Cell::new(false),
            origin,
        }
    }
}

/// Writes the rest of an answer to a detached client connection.
type ServeDetached = Rc<dyn Fn(ClientEnd, TcpStream)>;

/// The core of one router.
pub struct Core {
    decision_module: RefCell<Router>,
    names: shedrelay_settings::Names,
    roles: Vec<Role>,
    /// The repeat policy of each class.
    repeat_policies: Vec<RepeatPolicy>,
    requests: RefCell<HashMap<RequestId, OpenRequest>>,
    /// Leases on what servers hold for requests.
    leases: RefCell<Leases<Rc<str>>>,
    releases: Releases,
    repeat_counts: RepeatCounts,
    /// Ids of open requests as clients and servers know them. Two open requests have one id only where a stream was taken
    /// over from another process, which could not know of the id's use here.
    labels: LabelCounts,
    list: RefCell<HashMap<ServerId, Rc<Server>>>,
    /// Start times of servers, independent of steps of the wall clock.
    start_times: RefCell<StartTimes>,
    servers: RefCell<Option<Rc<dyn Servers>>>,
    serve_detached: RefCell<Option<ServeDetached>>,
    /// Called with updates of the server list, after the decision module.
    on_list_update: RefCell<Option<OnListUpdate>>,
    /// By class, in the order of the settings. An unknown class is not counted.
    outcome_counts: RefCell<Vec<OutcomeCounts>>,
    dispatches: Rc<Cell<u64>>,
    /// How long the decision module took for each event.
    decision_times: Option<Histogram>,
    /// The usage ledger, if one is kept.
    usage: Option<Rc<UsageLedger>>,
    /// Counts of violated invariants.
    violations: Violations,
    started_at: Instant,
    /// Unix time at `started_at`, in nanoseconds.
    unix_start_ns: u64,
    last_request_id: Cell<u64>,
    weak_self: Weak<Core>,
}

impl Core {
    /// A core without servers.
    pub fn new(
        settings: Settings,
        names: shedrelay_settings::Names,
        lease_config: LeaseConfig,
        seed: u64,
        usage: Option<Rc<UsageLedger>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let roles = settings.kinds.iter().map(|kind| kind.role).collect();
        let repeat_policies = settings.classes.iter().map(|class| class.effect.repeat()).collect();
        // The log's readers need the aims to tell which requests were late.
        for (name, class) in names.classes.iter().zip(&settings.classes) {
            let (aim, per_1000) = (class.aim.secs() * 1e3, class.aim_per_1000.secs() * 1e3);
            log!("class name={name:?} aim_ms={aim} aim_per_1000_ms={per_1000} worth={}", class.worth);
        }
        let decision_module = Router::new(settings, seed)?;
        let outcome_counts = RefCell::new(vec![OutcomeCounts::default(); names.classes.len()]);
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Rc::new_cyclic(|weak| Core {
            decision_module: RefCell::new(decision_module),
            names,
            roles,
            repeat_policies,
            requests: RefCell::default(),
            leases: RefCell::new(Leases::new(lease_config)),
            releases: Releases::default(),
            repeat_counts: RepeatCounts::default(),
            labels: LabelCounts::default(),
            list: RefCell::default(),
            start_times: RefCell::default(),
            servers: RefCell::default(),
            serve_detached: RefCell::default(),
            on_list_update: RefCell::default(),
            outcome_counts,
            dispatches: Rc::default(),
            decision_times: decision_times(),
            usage,
            violations: Violations::default(),
            started_at: Instant::now(),
            unix_start_ns: unix_start.as_nanos() as u64,
            last_request_id: Cell::new(0),
            weak_self: weak.clone(),
        }))
    }

    /// Sets the servers' side.
    pub fn connect_servers(&self, servers: Rc<dyn Servers>) {
        *self.servers.borrow_mut() = Some(servers);
    }

    /// Sets what writes the rest of an answer to a detached client connection.
    pub fn connect_detached(&self, serve: impl Fn(ClientEnd, TcpStream) + 'static) {
        *self.serve_detached.borrow_mut() = Some(Rc::new(serve));
    }

    /// Goes on with an answer on a detached client connection.
    pub fn serve_detached(&self, end: ClientEnd, socket: TcpStream) {
        let serve = self.serve_detached.borrow().clone();
        if let Some(serve) = serve {
            serve(end, socket);
        }
    }

    /// Sets what is called with updates of the server list, each time after the decision module.
    pub fn connect_list_updates(&self, callback: impl Fn(&[ServerUpdate]) + 'static) {
        *self.on_list_update.borrow_mut() = Some(Rc::new(callback));
    }

    /// Lets the decision module choose a server for a long-lived connection.
    pub fn place_connection(&self, candidates: &[ServerId]) -> Option<ServerId> {
        self.decision_module.borrow_mut().place_connection(self.now(), candidates)
    }

    /// Changes a server's load from long-lived connections by this many tokens.
    pub fn add_connection_load(&self, server: ServerId, tokens: f64) {
        self.decision_module.borrow_mut().add_connection_load(server, tokens);
    }

    /// A listed server.
    pub fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.list.borrow().get(&id).cloned()
    }

    /// A tenant's name; empty if there is none.
    pub fn tenant_name(&self, tenant: Option<TenantId>) -> &str {
        tenant.and_then(|tenant| self.names.tenants.get(tenant.0)).map_or("", |name| name)
    }

    /// The usage ledger, if one is kept.
    pub fn usage(&self) -> Option<&UsageLedger> {
        self.usage.as_deref()
    }

    /// A class's name.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.names.classes.get(class.0).map_or("-", |name| name)
    }

    /// The names in the settings.
    pub fn names(&self) -> &shedrelay_settings::Names {
        &self.names
    }

    /// The decision module's clock: Unix time at the start of the process, monotonic from there on. [`StartTimes`]
    /// converts the list's start times to it.
    pub fn now(&self) -> Time {
        Time(self.unix_start_ns + self.started_at.elapsed().as_nanos() as u64)
    }

    /// Whether the list has a server to read and one to write that do not drain.
    pub fn can_serve(&self) -> bool {
        let list = self.list.borrow();
        let has = |role| list.values().any(|s| s.draining_since.get().is_none() && s.role == role);
        has(Role::Mixed) || (has(Role::Reader) && has(Role::Writer))
    }

    /// How many requests have not ended yet.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// How many request ids are in use and how many servers are listed; shows leaks when the process stops.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.labels.len(), self.list.borrow().len())
    }

    // Metrics.

    /// Attempts written completely, as counted by their connections.
    pub fn dispatches(&self) -> u64 {
        self.dispatches.get()
    }

    /// How long decisions took, in seconds.
    pub fn decision_times(&self) -> Option<Histogram> {
        self.decision_times.clone()
    }

    /// The counter behind [`Core::dispatches`].
    pub fn dispatch_counter(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// Requests that have not ended for their clients. A request whose attempt is still in flight after its final
    /// answer does not count.
    pub fn concurrent(&self) -> usize {
        let requests = self.requests.borrow();
        requests.values().filter(|open| !open.client_left && (!open.settled || open.answer_began)).count()
    }

    /// How many servers are listed, and how many of these the decision module excludes now.
    pub fn server_counts(&self) -> (usize, usize) {
        (self.list.borrow().len(), self.decision_module.borrow().excluded_servers(self.now()))
    }

    // Requests.

    /// Submits a request. None if one with its id is still open.
    pub fn submit(&self, exchange: Rc<Exchange>) -> Option<ClientEnd> {
        let call = &exchange.call;
        let id = RequestId(self.last_request_id.get() + 1);
        let budget = call.budget.saturating_sub(CLIENT_MARGIN);
        let deadline = call.arrived + budget;
        if self.labels.contains(&call.label) {
            return None;
        }
        self.last_request_id.set(id.0);
        self.labels.add(&call.label);
        let weak = self.weak_self.clone();
        exchange.on_client_left(move || {
            if let Some(core) = weak.upgrade() {
                core.client_left(id);
            }
        });
        let request = Request {
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
        let weak = self.weak_self.clone();
        let overdue_timer = AbortOnDrop(actix_rt::spawn(async move {
            actix_rt::time::sleep_until((deadline + OVERDUE_GRACE).into()).await;
            if let Some(core) = weak.upgrade() {
                core.fail_overdue(id);
            }
        }));
        let open = OpenRequest {
            _overdue_timer: Some(overdue_timer),
            ..OpenRequest::new(exchange.clone(), deadline, Origin::Client)
        };
        if let Some(usage) = &self.usage {
            usage.request_started(id, &exchange.call, self.tenant_name(exchange.call.tenant));
        }
        self.requests.borrow_mut().insert(id, open);
        self.handle(Event::Request(request));
        Some(ClientEnd::new(exchange))
    }

    fn client_left(&self, id: RequestId) {
        match self.requests.borrow_mut().get_mut(&id) {
            Some(open) if !open.client_left && !open.settled => {
                (open.client_left, open.settled) = (true, true);
                self.record_outcome(id, open, FinalOutcome::ClientLeft, None);
            }
            Some(open) if !open.client_left && open.answer_began => {
                open.client_left = true;
                // Cancels the attempt: nobody reads its stream any more.
                if let Some(cancel) = open.current.as_mut().and_then(|current| current.1.take()) {
                    let _ = cancel.send(CancelReason::ClientLeft);
                }
            }
            _ => return,
        }
        self.handle(Event::ClientLeft(id));
        self.remove_if_finished(id);
    }

    /// Fails a request that the decision module has left unanswered past its deadline, so the client gets an answer.
    fn fail_overdue(&self, id: RequestId) {
        let unanswered = self.requests.borrow().get(&id).is_some_and(|open| !open.settled);
        if unanswered {
            log!("request overdue number={}", id.0);
            self.answer(id, Opening::Failed);
            self.handle(Event::ClientLeft(id));
            self.remove_if_finished(id);
        }
    }

    /// An attempt's answer has begun, and becomes the request's final answer. False if the client has already been
    /// answered or has left.
    pub fn answer_began(&self, request: RequestId, attempt: Attempt) -> bool {
        {
            let mut requests = self.requests.borrow_mut();
            let Some(open) = requests.get_mut(&request) else { return false };
            if open.settled || open.attempts != attempt.0 + 1 {
                return false;
            }
            (open.answer_began, open.settled) = (true, true);
            open.first_event_after = Some(open.exchange.call.arrived.elapsed());
            // With the first event, servers release all that they hold for the request.
            self.leases.borrow_mut().answer_began(request.0, self.clock_time());
            if open.released_during_attempt {
                self.releases.count_answered_anyway();
            }
            open.exchange.begin_answer(Opening::Stream);
        }
        // Stops releases that are in progress for it.
        self.poll_leases();
        self.handle(Event::FirstToken { request, attempt });
        true
    }

    /// Part of an answer has come from a server. Passed on at intervals, since a stream has many events.
    pub fn record_activity(&self, server: &Server) {
        let now = Instant::now();
        if server.last_activity_event.get().is_none_or(|last| now.duration_since(last) >= ACTIVITY_INTERVAL) {
            server.last_activity_event.set(Some(now));
            self.handle(Event::Activity(server_id(&server.label)));
        }
    }

    /// A server has reported its load before the end of an answer.
    pub fn record_load_report(&self, server: &Server, report: Option<Report>) {
        if report.is_some() {
            self.handle(Event::Probed { server: server_id(&server.label), ok: true, report });
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, request: RequestId, attempt: Attempt, result: AttemptResult) {
        let mut verdict = result.verdict;
        if result.unusable {
            // No other server could process it either, and the server is not at fault.
            self.answer(request, Opening::Unusable);
        }
        let settled = {
            let mut requests = self.requests.borrow_mut();
            let Some(open) = requests.get_mut(&request) else { return };
            let Some((server, _)) = open.current.take() else { return };
            let reads = server.role == Role::Reader;
            let (server_id, now) = (server_id(&server.label).0, self.clock_time());
            let mut leases = self.leases.borrow_mut();
            let end = attempt_end(&result);
            let label = || Rc::from(open.exchange.call.label.as_str());
            if verdict == Verdict::Read {
                leases.read_ended(request.0, &label(), server_id, now);
                open.read_after = Some(open.exchange.call.arrived.elapsed());
                open.kept = result.kept;
            } else if reads && result.delivery.may_have_run() && verdict != Verdict::Full {
                // The read may have succeeded just when its connection ended.
                leases.read_lost(request.0, &label(), server_id, end, now);
            } else {
                leases.attempt_ended(request.0, server_id, end, now);
            }
            open.release_done = None;
            drop(leases);
            if !result.delivery.may_have_run() && verdict == Verdict::Cancelled {
                // It was not sent completely, so it never ran.
                verdict = if open.settled { Verdict::Moot } else { Verdict::NoRoute };
            }
            if !reads && result.evidence == Evidence::Silence && open.history.first_possible_run().is_some() {
                self.repeat_counts.count_unconfirmed();
            }
            open.history.end(match result.delivery.may_have_run() {
                true => verdict.proof(reads, result.evidence),
                false => Proof::NeverSent,
            });
            if open.answer_began && !open.outcome_recorded.get() {
                let outcome = match (open.client_left, verdict) {
                    (_, Verdict::Ok) => FinalOutcome::Served,
                    (true, _) => FinalOutcome::ClientLeft,
                    (false, _) => FinalOutcome::Broken,
                };
                self.record_outcome(request, open, outcome, result.used);
                if open.client_left {
                    // The server is not at fault if the client left.
                    verdict = Verdict::Ok;
                }
            }
            if verdict != Verdict::Ok && verdict != Verdict::Read {
                log!(
                    "attempt id={} try={} server={} role={} verdict={:?} reason={} delivery={:?} port={} heard_ms={}",
                    open.exchange.call.label,
                    attempt.0,
                    server.label,
                    if reads { "reader" } else { "writer" },
                    verdict,
                    result.reason,
                    result.delivery,
                    result.connection.map_or(0, |connection| connection.port),
                    log_millis(result.connection.and_then(|connection| connection.silent_for))
                );
            }
            open.settled
        };
        let AttemptResult { kept, report, evidence, .. } = result;
        let outcome = Outcome { request, attempt, verdict, evidence, settled, cached_tokens: kept, report };
        self.handle(Event::Outcome(outcome));
        self.remove_if_finished(request);
    }

    /// Gives the final answer, if the client has none yet.
    fn answer(&self, id: RequestId, opening: Opening) {
        if let Some(open) = self.requests.borrow_mut().get_mut(&id).filter(|open| !open.settled) {
            open.settled = true;
            if Instant::now() > open.deadline + ANSWER_LOST_AFTER {
                self.record_violation(Invariant::AnswerInTime, &format!("id={}", open.exchange.call.label));
            }
            open.exchange.begin_answer(opening);
            let outcome = match opening {
                Opening::Failed => FinalOutcome::Failed,
                Opening::Unusable => FinalOutcome::Unusable,
                _ => FinalOutcome::Refused,
            };
            self.record_outcome(id, open, outcome, None);
        }
    }

    /// Gives a refusal as the final answer, or a failure if the attempts don't prove that a retry is harmless. The
    /// decision module checks the same, but without what is known here of an attempt in flight.
    fn refuse(&self, id: RequestId, backoff: Option<Duration>) {
        let now = self.clock_time();
        let may_refuse = |open: &OpenRequest| {
            let policy = self.repeat_policy(open.exchange.call.class);
            open.history.may_refuse(policy, now, backoff.unwrap_or_default())
        };
        let allowed = self.requests.borrow().get(&id).is_none_or(may_refuse);
        self.answer(id, if allowed { Opening::Refused(backoff) } else { Opening::Failed });
    }

    /// The repeat policy of a class. Requests of an unknown class are never repeated.
    fn repeat_policy(&self, class: ClassId) -> RepeatPolicy {
        self.repeat_policies.get(class.0).copied().unwrap_or(RepeatPolicy::Never)
    }

    /// Removes a request that has its final answer and no attempt in flight. Its leases are then released.
    fn remove_if_finished(&self, id: RequestId) {
        {
            let mut requests = self.requests.borrow_mut();
            if requests.get(&id).is_some_and(|open| open.settled && open.current.is_none())
                && let Some(open) = requests.remove(&id)
            {
                self.labels.remove(&open.exchange.call.label);
                self.leases.borrow_mut().request_closed(id.0, self.clock_time());
            }
        }
        self.poll_leases();
    }

    // The decision module.

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        let started = Instant::now();
        self.decision_module.borrow_mut().handle(self.now(), event, &mut actions);
        if let Some(decision_times) = &self.decision_times {
            decision_times.observe(started.elapsed().as_secs_f64());
        }
        let released = |action: &Action| match action {
            Action::Release(request) => Some(*request),
            _ => None,
        };
        let released: Vec<RequestId> = actions.iter().filter_map(released).collect();
        actions.into_iter().for_each(|action| self.perform(action));
        released.into_iter().for_each(|request| self.remove_if_finished(request));
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Cancel { request, attempt } => {
                let mut requests = self.requests.borrow_mut();
                let open = requests.get_mut(&request).filter(|open| open.attempts == attempt.0 + 1);
                if let Some(cancel) =
                    open.and_then(|open| open.current.as_mut()).and_then(|current| current.1.take())
                {
                    let _ = cancel.send(CancelReason::NotWanted);
                }
            }
            Action::Refuse { request, backoff } => {
                self.refuse(request, backoff.map(Duration::from));
                self.remove_later(request);
            }
            Action::Fail(request) => {
                self.answer(request, Opening::Failed);
                self.remove_later(request);
            }
            Action::Release(request) => {
                self.leases.borrow_mut().release(request.0, self.clock_time());
            }
            Action::Timer { timer, after } => {
                let weak = self.weak_self.clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(Duration::from_nanos(after.0)).await;
                    if let Some(core) = weak.upgrade() {
                        core.handle(Event::Timer(timer));
                    }
                });
            }
            // The platform of this router forbids probes, and the list is always watched.
            Action::Probe(_) | Action::Subscribe => {}
        }
    }

    /// Removes a finished request after the current batch of actions, which may still contain its release.
    fn remove_later(&self, id: RequestId) {
        let weak = self.weak_self.clone();
        actix_rt::spawn(async move {
            if let Some(core) = weak.upgrade() {
                core.remove_if_finished(id);
            }
        });
    }

    /// Whether one more attempt may be sent. The decision module has checked the same before, so a no is counted as a
    /// violation.
    fn check_send(&self, open: &OpenRequest) -> bool {
        let label = &open.exchange.call.label;
        if open.current.is_some() || open.history.in_flight() {
            self.record_violation(
                Invariant::OneAttemptAtOnce,
                &format!("id={label} attempts={}", open.attempts),
            );
            return false;
        }
        // Only the decision module knows which servers deduplicate together, so any server passes here.
        let policy = self.repeat_policy(open.exchange.call.class);
        let allowed = open.history.may_repeat(policy, self.clock_time(), |_| true);
        if !allowed {
            self.record_violation(
                Invariant::RepeatPermitted,
                &format!("id={label} attempts={}", open.attempts),
            );
        }
        allowed
    }

    /// Counts and logs the violation of an invariant; a debug build panics.
    pub fn record_violation(&self, rule: Invariant, what: &str) {
        self.violations.record(rule);
        log!("invariant violated rule={} {what}", rule.name());
        debug_assert!(false, "invariant violated: {} {what}", rule.name());
    }

    /// How often each invariant was violated.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    fn send(&self, id: RequestId, to: ServerId, timeout: Option<Span>) {
        let weak = self.weak_self.clone();
        let mut requests = self.requests.borrow_mut();
        let Some(open) = requests.get_mut(&id) else { return };
        let attempt = Attempt(open.attempts);
        open.attempts += 1;
        let server = self.list.borrow().get(&to).cloned();
        let allowed = self.check_send(open);
        let Some(server) = server.filter(|_| allowed) else {
            // Not sent; the decision module gets the outcome after this batch of actions.
            actix_rt::spawn(async move {
                let Some(core) = weak.upgrade() else { return };
                let verdict = Verdict::Moot;
                let outcome = Outcome {
                    request: id,
                    attempt,
                    verdict,
                    evidence: Evidence::Router,
                    settled: false,
                    cached_tokens: None,
                    report: None,
                };
                core.handle(Event::Outcome(outcome));
                core.remove_if_finished(id);
            });
            return;
        };
        let (cancel, stop) = oneshot::channel();
        open.current = Some((server.clone(), Some(cancel)));
        open.route[usize::from(server.role != Role::Reader)] = Some(server.clone());
        open.sent_after.get_or_insert_with(|| open.exchange.call.arrived.elapsed());
        let now = Instant::now();
        let repeat = self.repeat_limits(open, &server);
        open.history.begin(to, self.clock_time());
        let (write_by, release_done) = match self.leases.borrow_mut().attempt_starts(id.0, self.clock_time())
        {
            Permission::Now { write_by } => (write_by.map(|at| self.instant(at)), None),
            Permission::AfterRelease => {
                let (sender, release_done) = oneshot::channel();
                open.release_done = Some(sender);
                (None, Some(release_done))
            }
        };
        let answer_by = timeout.map_or(open.deadline, |timeout| now + Duration::from_nanos(timeout.0));
        let order = AttemptOrder {
            exchange: open.exchange.clone(),
            request: id,
            attempt,
            server,
            answer_by: answer_by.min(open.deadline),
            deadline: open.deadline,
            write_by,
            repeat,
            release_done,
            stop,
        };
        drop(requests);
        if let Some(servers) = self.servers.borrow().as_ref() {
            servers.send(order);
        }
    }
}

/// The histogram of decision times, with buckets from 2 us to 65 ms that double. None if the library rejects its name,
/// which it does not.
fn decision_times() -> Option<Histogram> {
    let buckets = prometheus::exponential_buckets(2e-6, 2.0, 16).ok()?;
    let options =
        HistogramOpts::new("router_decision_seconds", "Time that the decision module took for an event.");
    Histogram::with_opts(options.buckets(buckets)).ok()
}

/// What the end of an attempt means for its leases.
fn attempt_end(result: &AttemptResult) -> AttemptEnd {
    match (result.delivery, result.evidence) {
        (Delivery::Unsent, _) => AttemptEnd::NotSent,
        (Delivery::Written, Evidence::Server) if result.verdict == Verdict::Closed => AttemptEnd::Closed,
        (Delivery::Written, _) => AttemptEnd::Unanswered,
        (Delivery::Arrived | Delivery::Answered, _) if result.verdict == Verdict::NoState => {
            AttemptEnd::StateNotFound
        }
        (Delivery::Arrived | Delivery::Answered, _) => AttemptEnd::Answered,
    }
}

fn server_id(label: &str) -> ServerId {
    ServerId(names::hash(label))
}
