//! Routing decisions. Settings, events and actions are defined in `src/interface.rs`.
//!
//! Usual path: a request waits in the admission queue until readers and writers have room, goes to the reader
//! with the best cached share minus load, then to the writer with most room in that reader's cell. Mixed
//! servers get their share of requests whole. `docs/design.md` describes each exception.

use crate::interface::*;
use fawnstream_attempts::Attempts;
use fawnstream_fleet::math::{blend, fraction, mix};
use fawnstream_fleet::reachability::{Contact, Reachability, View};
use fawnstream_fleet::slow_start::younger_share;
use fawnstream_fleet::{
    AdaptiveLimit, Cell, ColdBucket, FaultScore, LoadReport, Popularity, PrefixCache, Quota, ServerAllowance,
    SlowStart, adaptive_limit, best, cells, load_report::mean_load, prefix_cache, rendezvous,
};
use std::{cell::OnceCell, collections::BTreeMap, time::Duration};

mod silence;
mod slow_start;

/// Homes that a prefix gets, besides its first, per server's even share of all requests that use the prefix.
const HOMES_PER_SHARE: f64 = 4.0;
/// Interval at which queued requests and silent servers are checked; well below any aim or release time.
const TICK: Span = Span::from_millis(40);
/// A gap between two ticks of more than this many intervals means that this process was stalled.
const STALL_TICKS: f64 = 2.5;
/// A queued request is answered this long before its client gives up, so that the answer arrives in time.
const QUEUE_MARGIN: Span = Span::from_millis(60);
/// Share of a writer's memory by which another cell's writer must have more room: moving state is expensive.
const CELL_MARGIN: f64 = 0.35;
/// Memory in tokens where the settings give none; only ratios between servers matter then.
const DEFAULT_MEMORY: f64 = 150_000.0;
/// Share of a mixed server's memory that counts for writing, since it also spends time on reading.
const MIXED_MEMORY: f64 = 0.6;
/// Bias of a session towards or away from mixed servers, against fullness in [0, 1].
const MIXED_BIAS: f64 = 0.2;
/// Share of its aim that a request may wait, however slow the servers are now.
const MIN_WAIT: f64 = 0.3;
/// Initial limit of tokens at writers, as a share of their memory, over all routers.
const INITIAL_FILL: f64 = 0.9;
/// Initial limit of reads per reader: most readers read a few prompts at once and queue some.
const INITIAL_READS: f64 = 12.0;
/// Share of the aim above which a read or first token shows that servers are overloaded.
const OVERLOAD_LATENCY_SHARE: f64 = 0.45;
/// A writer reads a prompt itself only where there is room for this many such requests.
const READ_ROOM: f64 = 24.0;
/// Time without new requests for a server that rejected one as full, so that it is not flooded.
const FULL_BACKOFF: Span = Span::from_millis(250);
/// An attempt is late after this many times its role's current latency, if that is past `LATE_AIMS` too.
const LATE_LATENCIES: f64 = 12.0;
/// Multiple of its aim before which no attempt is late.
const LATE_AIMS: f64 = 2.0;
/// EWMA weight of a new latency sample: about the last ten samples count.
const EWMA_WEIGHT: f64 = 0.1;
/// Ratio to the role's latency below which a slow answer is no fault.
const SLOW_RATIO: f64 = 1.6;
/// Weight of a server's faults against cached share and room, each in [0, 1].
const FAULT_WEIGHT: f64 = 1.5;
/// Weight of a reader's load against the cached share: a repeated read takes capacity from all requests.
const LOAD_WEIGHT: f64 = 0.5;
/// Weight of uncached tokens of our reads in flight at a reader, per prompt token; no report has them yet.
const BACKLOG_WEIGHT: f64 = 0.15;
/// A rollout is over when the list has shown no draining server for this long.
const ROLLOUT_WINDOW: Span = Span::from_millis(10_000);
/// During a rollout the longest-running writer counts as fuller by this share of its memory.
const ROLLOUT_WEIGHT: f64 = 0.3;
/// Time between probes of one server; reports are not refreshed much faster.
const PROBE_INTERVAL: Span = Span::from_millis(700);
/// Maximum probes per read, because probes cost.
const MAX_PROBES: usize = 4;
/// Below this share of the expected cached tokens a server has lost its cache, and its table is cleared.
const LOST_CACHE: f64 = 0.5;
/// Backoff after a failed call for the list; doubles up to 16 times this.
const LIST_BACKOFF: Span = Span::from_millis(500);

const TICK_TIMER: TimerId = TimerId(1);
const LIST_TIMER: TimerId = TimerId(2);

/// This router's state for one server.
#[derive(Default)]
struct Server {
    member: Member,
    role: Role,
    /// KV-cache memory for writing, in tokens.
    memory: f64,
    /// Tokens expected in the prefix cache, by session and shared prefix.
    cached: PrefixCache,
    attempts_in_flight: u32,
    /// This router's load in flight here, in the units of its limit.
    load_in_flight: f64,
    /// Tokens of our reads in flight here that are not expected to be cached.
    uncached: f64,
    /// Reported share of memory in use.
    report: LoadReport,
    next_probe: Time,
    /// Errors, silence, and slowness compared with its peers.
    fault: FaultScore,
    last_heard: Time,
    excluded_until: Time,
    next_exclusion: Span,
    /// Limit on requests sent here while it is cold.
    allowance: Option<ServerAllowance>,
    /// Set while it was excluded and has not answered since.
    half_open: Option<silence::HalfOpen>,
    /// Set while a peer fell silent and this server has not answered since.
    probation: Option<silence::Probation>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Waiting,
    Reading,
    Writing,
    Streaming,
    /// The client has its answer or left; an attempt is still in flight.
    Over,
}

#[derive(Default)]
struct Job {
    request: Request,
    arrived: Time,
    aim: Span,
    deadline: Time,
    /// Worth per prompt token; the length is rounded up to a power of two, so similar prompts stay in order.
    priority: f64,
    stage: Stage,
    /// Server of the attempt in flight.
    server: Option<ServerId>,
    /// Whether its last attempt was a read, whatever role its server has now.
    is_read: bool,
    sent: Time,
    attempts: u32,
    /// Whether a reader may hold its state.
    has_lease: bool,
    reader: Option<ServerId>,
    /// What its attempts prove.
    history: Attempts<ServerId>,
    failed: Vec<ServerId>,
    cancelled: bool,
    /// Tokens expected in its server's cache from our own sends, without the assumption that homes cache.
    expected_cached: f64,
    /// Prompt tokens expected not to be cached where it is read.
    uncached: f64,
    /// Time the attempt may take before it counts as late.
    late_after: Span,
    /// Requests sent to the same server later and answered before it.
    overtaken: u32,
    /// The server at its limit that it waits for.
    awaited: std::cell::Cell<Option<ServerId>>,
}

impl Job {
    /// Cancels its attempt, once.
    fn cancel_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.cancelled, true) {
            out.push(Action::Cancel { request: id, attempt: Attempt(self.attempts - 1) });
        }
    }
}

/// A usable server with its load as a reader and fullness as a writer, faults included, and other scores.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    id: ServerId,
    server: &'a Server,
    load: f64,
    fullness: f64,
    rollout_risk: f64,
    warmth: f64,
}

/// Data about all servers, computed once and shared by all choices at one moment.
struct Snapshot<'a> {
    by_role: [Vec<(ServerId, &'a Server)>; 3],
    /// Usable servers of each role, computed on first use.
    usable: [OnceCell<Vec<Candidate<'a>>>; 3],
    reach: View<'a>,
    cells: BTreeMap<u64, Cell>,
    /// Load in flight and initial limit: of readers, and of all other servers.
    loads: [(f64, f64); 2],
}

/// Latency of one role's servers, to the end of a read or to the first token.
#[derive(Default)]
struct RoleLatency {
    ewma_ns: f64,
    /// Number of answers so far.
    answers: f64,
}

/// One router's decisions: takes [`Event`]s and returns [`Action`]s, as the crate documentation describes.
pub struct Router {
    settings: Settings,
    seed: u64,
    cold: SlowStart,
    /// Token buckets for requests to cold servers, by role.
    cold_buckets: [ColdBucket; 3],
    /// Requests sent so far, by role.
    sent: [f64; 3],
    servers: BTreeMap<ServerId, Server>,
    reach: Reachability,
    jobs: BTreeMap<RequestId, Job>,
    waiting: Vec<RequestId>,
    /// Recent requests per shared prefix.
    popularity: Popularity,
    /// Most servers active at once so far, by role.
    max_active: [usize; 3],
    quotas: Vec<Quota>,
    latencies: [RoleLatency; 3],
    /// The limits on reads and on tokens.
    limits: [AdaptiveLimit; 2],
    /// Factor on initial limits, above 1 where this router gets more than its even share of all requests.
    limit_weight: f64,
    started: Option<Time>,
    /// When the list last showed a draining server.
    last_drain: Option<Time>,
    list_backoff: Span,
    last_tick: Option<Time>,
    /// When a server was last found silent, by role.
    last_silence: [Option<Time>; 3],
    now: Time,
}

impl Server {
    fn new(member: &Member, kind: &Kind) -> Self {
        let given = kind.memory_tokens.filter(|m| *m > 0.0).unwrap_or(DEFAULT_MEMORY);
        let memory = if kind.role == Role::Mixed { given * MIXED_MEMORY } else { given };
        Server {
            member: member.clone(),
            role: kind.role,
            memory,
            next_exclusion: silence::FIRST_EXCLUSION,
            ..Server::default()
        }
    }

    fn is_active(&self) -> bool {
        self.member.state == ServerState::Active
    }

    fn usable(&self, now: Time) -> bool {
        self.is_active()
            && self.excluded_until <= now
            && self.half_open.is_none_or(|half_open| half_open.probe.is_none())
            && self.probation.is_none_or(|probation| probation.allows_send(now))
    }

    /// Records a sign of life.
    fn record_heard(&mut self, now: Time) {
        self.last_heard = now;
        (self.half_open, self.probation) = (None, None);
    }

    fn expected_cached(&self, request: &Request, now: Time, home: bool) -> f64 {
        let home = if home { request.prefix_len } else { 0.0 };
        self.cached.longest_match((now - Time(0)).secs(), &request.cache_keys()).max(home)
    }

    fn record_cached(&mut self, request: &Request, now: Time) {
        self.cached.record_all((now - Time(0)).secs(), &request.cache_keys());
    }
}

impl Router {
    /// A router without any servers; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let Rules { cold_share: share, cold, fall_multiple: multiple, .. } = settings.rules;
        let limit = AdaptiveLimit::new(settings.routers);
        let cold = SlowStart { initial_share: share, warmup_secs: cold.secs(), overload_multiple: multiple };
        Ok(Router {
            quotas: vec![Quota::default(); settings.tenants.len()],
            settings,
            seed,
            cold,
            cold_buckets: Default::default(),
            sent: [0.0; 3],
            servers: BTreeMap::new(),
            reach: Reachability::default(),
            jobs: BTreeMap::new(),
            waiting: Vec::new(),
            popularity: Popularity::new(prefix_cache::TTL_SECS, prefix_cache::MAX_ENTRIES),
            max_active: [0; 3],
            latencies: Default::default(),
            limits: [limit, limit],
            limit_weight: 1.0,
            started: None,
            last_drain: None,
            list_backoff: LIST_BACKOFF,
            last_tick: None,
            last_silence: [None; 3],
            now: Time(0),
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.started.is_none() {
            self.started = Some(now);
            let after = Span(1 + mix(self.seed) % TICK.0);
            out.push(Action::Timer { timer: TICK_TIMER, after });
            if self.settings.subscribe_to_list {
                out.push(Action::Subscribe);
            }
        }
        match event {
            Event::Members(members) => self.update_list(members, out),
            Event::Request(request) => self.accept(request, out),
            Event::FirstToken { request, attempt } => self.first_token(request, attempt, out),
            Event::Outcome(outcome) => self.handle_outcome(outcome, out),
            Event::ClientLeft(request) => self.client_left(request, out),
            Event::Timer(TICK_TIMER) => self.tick(out),
            Event::Timer(LIST_TIMER) => out.push(Action::Subscribe),
            Event::Timer(_) => {}
            Event::Probed { server, ok, report } => {
                self.record_contact(server, if ok { Contact::Answered } else { Contact::Unanswered });
                self.record_report(server, report.filter(|_| ok));
            }
            Event::Activity(server) => self.record_activity(server),
            Event::LeaseReleased(request) => self.lease_released(request, out),
        }
    }

    /// Reachability of servers and zones, from this router's own contacts.
    pub fn reach(&self) -> &Reachability {
        &self.reach
    }

    fn record_contact(&mut self, at: ServerId, how: Contact) {
        self.reach.record(at.0, how, Duration::from_nanos(self.now.0));
    }

    /// Counts listed servers that get no requests now: draining, or recently silent, unreachable or full.
    pub fn excluded_servers(&self, now: Time) -> usize {
        let listed = self.servers.values().filter(|server| server.member.state != ServerState::Removed);
        listed.filter(|server| !server.usable(now)).count()
    }

    /// Chooses the server for a new long-lived connection: the one with most room, compared as for writers.
    pub fn place_connection(&mut self, now: Time, among: &[ServerId]) -> Option<ServerId> {
        self.now = now;
        let reports = |role| self.servers.values().filter(move |s| s.role == role).map(|s| s.report);
        let means = [Role::Writer, Role::Mixed].map(|role| mean_load(self.secs(), reports(role)));
        let starts = [Role::Reader, Role::Writer, Role::Mixed].map(|role| self.start_times(role));
        let usable = |id: &ServerId| Some((*id, self.servers.get(id).filter(|s| s.usable(now))?));
        let reach = self.view();
        let score = |(id, server): (ServerId, &Server)| {
            let mean = means[usize::from(server.role == Role::Mixed)];
            let risk = ROLLOUT_WEIGHT * younger_share(&starts[server.role as usize], &server.member.up_since);
            (id, -risk - self.fullness(server, mean, &reach))
        };
        best(among.iter().filter_map(usable).map(score)).map(|(id, _)| id)
    }

    /// Adds to a server's load for long-lived connections, or takes off if `tokens` is negative.
    pub fn add_connection_load(&mut self, at: ServerId, tokens: f64) {
        if let Some(server) = self.servers.get_mut(&at) {
            server.load_in_flight = (server.load_in_flight + tokens).max(0.0);
        }
    }

    // List of servers.

    fn update_list(&mut self, members: Members, out: &mut Vec<Action>) {
        match members {
            Members::Failed => {
                out.push(Action::Timer { timer: LIST_TIMER, after: self.list_backoff });
                self.list_backoff = (self.list_backoff + self.list_backoff).min(LIST_BACKOFF.times(16.0));
                return;
            }
            Members::Full(entries) => {
                self.servers.values_mut().for_each(|server| server.member.state = ServerState::Removed);
                entries.iter().for_each(|entry| self.update_member(entry));
            }
            Members::Changes(entries) => entries.iter().for_each(|entry| self.update_member(entry)),
        }
        self.forget_removed();
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            let active = self.servers.values().filter(|s| s.role == role && s.is_active()).count();
            self.max_active[role as usize] = self.max_active[role as usize].max(active);
        }
        self.list_backoff = LIST_BACKOFF;
        self.send_waiting(false, out);
    }

    /// Forgets removed servers without an attempt of ours in flight; else memory grows with each new id.
    fn forget_removed(&mut self) {
        self.servers.retain(|id, server| {
            let removed = server.member.state == ServerState::Removed;
            removed.then(|| self.reach.remove(id.0));
            !removed || server.attempts_in_flight > 0
        });
    }

    fn update_member(&mut self, entry: &Member) {
        let Some(kind) = self.settings.kinds.get(entry.kind.0) else { return };
        let (active, start) = (entry.state == ServerState::Active, entry.up_since.map_or(0, |up| up.0));
        self.reach.update(entry.server.0, entry.zone.0, active, start);
        let drains = entry.state == ServerState::Draining;
        self.last_drain = drains.then_some(self.now).or(self.last_drain);
        let old = self.servers.get_mut(&entry.server);
        let same = |old: &Member| entry.up_since <= old.up_since && entry.kind == old.kind;
        if let Some(server) = old.filter(|old| same(&old.member)) {
            server.member.state = entry.state;
            return;
        }
        // New, of another kind, or restarted with an empty cache: the old state no longer applies.
        let mut server = Server::new(entry, kind);
        if let Some(old) = self.servers.get(&entry.server) {
            let same = f64::from(u8::from(old.role == server.role));
            (server.attempts_in_flight, server.load_in_flight, server.uncached) =
                (old.attempts_in_flight, same * old.load_in_flight, same * old.uncached);
            server.last_heard = self.now;
        }
        server.allowance = Some(self.allowance(entry.server, server.role, start));
        self.servers.insert(entry.server, server);
    }

    // Requests and admission control.

    fn accept(&mut self, request: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return out.push(Action::Refuse { request: request.id, backoff: None });
        };
        self.popularity.record((self.now - Time(0)).secs(), request.prefix.map(|key| key.0));
        let (id, aim) = (request.id, class.aim + class.aim_per_1000.times(request.prompt_len / 1000.0));
        let (arrived, deadline, mut priority) = (self.now, self.now + request.budget, class.worth);
        if self.exceeds_quota(request.tenant) {
            priority *= self.settings.over_share_worth;
        }
        priority /= (request.prompt_len.max(1.0) as u64).next_power_of_two() as f64;
        self.jobs.insert(id, Job { arrived, aim, deadline, priority, request, ..Job::default() });
        self.enqueue(id);
        // A retry may arrive with almost no time left: refused here, else its attempt would be cut at once.
        self.refuse_expired(out);
        self.send_waiting(false, out);
    }

    /// Whether a tenant is beyond this router's share of its quota.
    fn exceeds_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let (now, routers) = (self.secs(), f64::from(self.settings.routers));
        let entry = tenant.and_then(|id| self.settings.tenants.get(id.0).zip(self.quotas.get_mut(id.0)));
        entry.is_some_and(|(tenant, quota)| !quota.take(now, tenant.quota_per_s / routers))
    }

    /// Queues a request by priority; equal ones are first in, first out, or last in, first out while one of
    /// them has waited long: serving the oldest first would make it late, and then the fresh ones as well.
    fn enqueue(&mut self, id: RequestId) {
        let priority = self.jobs[&id].priority;
        let first = self.waiting.partition_point(|other| self.jobs[other].priority > priority);
        let last = self.waiting.partition_point(|other| self.jobs[other].priority >= priority);
        let late = |id: &RequestId| self.now >= self.jobs[id].arrived + self.jobs[id].aim.times(MIN_WAIT);
        let newest_first = self.waiting[first..last].iter().any(late);
        self.waiting.insert(if newest_first { first } else { last }, id);
    }

    /// Sends queued requests while writers have room. `include_awaiting`: also chooses again for requests
    /// that wait for a server at its limit; between ticks they keep waiting for it.
    fn send_waiting(&mut self, include_awaiting: bool, out: &mut Vec<Action>) {
        let mut position = 0;
        while let Some((next, to, stage)) = self.next_sendable(position, include_awaiting) {
            let id = self.waiting.remove(next);
            self.send(id, to, stage, out);
            position = next;
        }
    }

    /// The first request in the queue, from this position on, that may be sent, and where to.
    fn next_sendable(&self, from: usize, include_awaiting: bool) -> Option<(usize, ServerId, Stage)> {
        if from >= self.waiting.len() {
            return None;
        }
        let snapshot = self.snapshot();
        for (position, id) in self.waiting.iter().enumerate().skip(from) {
            let job = &self.jobs[id];
            if !self.has_room(false, snapshot.loads[1], job.request.max_tokens()) {
                return None;
            }
            if !include_awaiting && job.awaited.get().is_some_and(|server| self.at_limit(server, job)) {
                continue;
            }
            if let Some((to, stage)) = self.choose_next(job, &snapshot) {
                return Some((position, to, stage));
            }
        }
        None
    }

    /// Whether a usable server has no room for this request within this router's limit.
    fn at_limit(&self, at: ServerId, job: &Job) -> bool {
        self.servers.get(&at).filter(|server| server.usable(self.now)).is_some_and(|server| {
            let reads = server.role == Role::Reader;
            let limit = self.limit(reads, self.initial_limit(server), job.request.cost(server.role));
            server.attempts_in_flight > 0 && server.load_in_flight >= limit
        })
    }

    /// This router's share of a limit that starts at `initial` for all routers.
    fn limit(&self, reads: bool, initial: f64, cost: f64) -> f64 {
        self.limits[usize::from(!reads)].allowed(initial, cost)
    }

    fn initial_limit(&self, server: &Server) -> f64 {
        let initial = if server.role == Role::Reader { INITIAL_READS } else { INITIAL_FILL * server.memory };
        initial * self.limit_weight
    }

    /// Load in flight and initial limit of usable servers: for readers, and for all others. A request being
    /// read also counts for its writer.
    fn loads(&self) -> [(f64, f64); 2] {
        let mut totals = [(0.0, 0.0); 2];
        for server in self.servers.values() {
            let (used, initial) = &mut totals[usize::from(server.role != Role::Reader)];
            *used += server.load_in_flight;
            *initial += if server.usable(self.now) { self.initial_limit(server) } else { 0.0 };
        }
        let reading = self.jobs.values().filter(|job| job.stage == Stage::Reading);
        totals[1].0 += reading.map(|job| job.request.max_tokens()).sum::<f64>();
        totals.map(|(used, initial)| (used, initial.max(1.0)))
    }

    /// Whether readers, or writers, have room for `need` more within this router's limit.
    fn has_room(&self, reads: bool, (used, initial): (f64, f64), need: f64) -> bool {
        used < 1.0 || used + need <= self.limit(reads, initial, need)
    }

    /// Adapts a limit: it grows while answers are quick and falls when they are late.
    fn adapt_limit(&mut self, id: RequestId, at: ServerId, late: bool) {
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get(&at)) else { return };
        let (reads, cost) = (server.role == Role::Reader, job.request.cost(server.role));
        let (used, initial) = self.loads()[usize::from(!reads)];
        self.limits[usize::from(!reads)].record_answer(late, used, initial, cost);
    }

    // Choice of servers.

    /// Computed once, not per queued request: that took 6 ms per event with 100 in the queue and 100 servers.
    fn snapshot(&self) -> Snapshot<'_> {
        let mut by_role = [const { Vec::new() }; 3];
        self.servers.iter().for_each(|(id, server)| by_role[server.role as usize].push((*id, server)));
        let reads = |role| (role != Role::Mixed).then_some(role == Role::Reader);
        let usable = self.servers.values().filter(|s| s.usable(self.now));
        let cells = cells(usable.map(|s| (s.member.cell.0, reads(s.role))));
        Snapshot { by_role, usable: Default::default(), reach: self.view(), cells, loads: self.loads() }
    }

    /// Usable servers of a role, computed on first use.
    fn usable_servers<'a, 'l>(&'a self, role: Role, snapshot: &'l Snapshot<'a>) -> &'l [Candidate<'a>] {
        snapshot.usable[role as usize].get_or_init(|| {
            let peers = &snapshot.by_role[role as usize];
            let mean = mean_load(self.secs(), peers.iter().map(|(_, s)| s.report));
            let (starts, prior) = (self.start_times(role), f64::from(self.settings.routers).sqrt());
            // A prior that grows with the number of routers: our reads are then a smaller sample of the load.
            let own = peers.iter().map(|(_, s)| f64::from(s.attempts_in_flight)).sum::<f64>();
            let candidate = |&(id, server): &(ServerId, &'a Server)| {
                let penalty = FAULT_WEIGHT * self.penalty(server, &snapshot.reach);
                let load =
                    self.load(server, f64::from(server.attempts_in_flight) / (own + prior), mean) + penalty;
                let (fullness, warmth) = (self.fullness(server, mean, &snapshot.reach), self.warmth(server));
                let rollout_risk = ROLLOUT_WEIGHT * younger_share(&starts, &server.member.up_since);
                Candidate { id, server, load, fullness, rollout_risk, warmth }
            };
            peers.iter().filter(|(_, s)| s.usable(self.now)).map(candidate).collect()
        })
    }

    fn secs(&self) -> f64 {
        (self.now - Time(0)).secs()
    }

    /// A server's load: its report, fading with age to the larger of our estimate and its peers' mean report.
    fn load(&self, server: &Server, own: f64, mean: f64) -> f64 {
        server.report.load(self.secs(), own.max(mean))
    }

    /// The reader or mixed server with the best cached share minus load, and its expected cached tokens.
    fn best_match<'a>(&'a self, role: Role, job: &Job, snapshot: &Snapshot<'a>) -> Option<(ServerId, f64)> {
        let among = self.candidates(role, job, snapshot);
        let homes = self.homes(job, &among, snapshot);
        let session = job.request.session.map_or(job.request.id.0, |key| key.0);
        let prompt = job.request.prompt_len.max(1.0);
        let score = |c: &Candidate| {
            let cached = c.server.expected_cached(&job.request, self.now, homes.contains(&c.id.0)) / prompt;
            let tie = 1e-3 * fraction(session ^ mix(c.id.0));
            let queued = c.server.uncached * BACKLOG_WEIGHT / prompt;
            (c.id, cached - LOAD_WEIGHT * c.load - queued + tie)
        };
        let (id, _) = best(among.iter().map(score))?;
        Some((id, self.servers[&id].expected_cached(&job.request, self.now, homes.contains(&id.0))))
    }

    /// Servers assumed to cache a request's prefix: the first by rendezvous hashing, and more of them the
    /// more requests use it, so that a hot prefix does not overload one server. All routers rank alike,
    /// but each estimates the number of homes; too many mean that sessions go to servers without the prefix.
    fn homes(&self, job: &Job, among: &[Candidate], snapshot: &Snapshot) -> Vec<u64> {
        let Some(key) = job.request.prefix else { return Vec::new() };
        let weight = |c: &Candidate| {
            let cell = snapshot.cells.get(&c.server.member.cell.0).filter(|_| c.server.role == Role::Reader);
            (c.id.0, cell.map_or(1.0, |cell| cell.reader_weight))
        };
        let share = self.popularity.likely_share(self.secs(), key.0);
        let most = 1 + (share * HOMES_PER_SHARE * among.len() as f64) as usize;
        rendezvous(key.0, among.iter().map(weight), most)
    }

    /// A writer's fullness: its load, with ours times all routers as the estimate, plus weighted penalty.
    fn fullness(&self, server: &Server, mean: f64, reach: &View) -> f64 {
        let own = server.load_in_flight * f64::from(self.settings.routers) / server.memory;
        self.load(server, own, mean) + FAULT_WEIGHT * self.penalty(server, reach)
    }

    fn view(&self) -> View<'_> {
        self.reach.view(Duration::from_nanos(self.now.0))
    }

    /// A server's faults, or the doubt that it is reachable, whichever is larger.
    fn penalty(&self, server: &Server, reach: &View) -> f64 {
        server.fault.value(self.secs()).max(reach.doubt(server.member.server.0))
    }

    /// The writer with most room, in the reader's cell unless another cell has far more. Where a cell has
    /// more readers than its writers can serve, the excess spills over to cells with fewer.
    fn best_writer<'a>(&'a self, job: &Job, snapshot: &Snapshot<'a>) -> Option<(ServerId, f64)> {
        let mut among = self.candidates(Role::Writer, job, snapshot);
        if among.is_empty() {
            among = self.candidates(Role::Mixed, job, snapshot);
        }
        let cell = job.reader.and_then(|id| self.servers.get(&id)).map(|s| s.member.cell);
        let hash = mix(self.seed ^ job.request.id.0);
        let crowd = |cell: CellId| snapshot.cells.get(&cell.0).map_or(1.0, |cell| cell.relative_load);
        let spills_over = cell.is_some_and(|cell| fraction(hash) * crowd(cell) > 1.0);
        let score = |c: &Candidate| {
            let chance = -fraction(hash ^ mix(c.id.0)).ln();
            let far = match cell {
                _ if spills_over => chance / (1.0 - crowd(c.server.member.cell)).max(0.1),
                Some(cell) if cell != c.server.member.cell => 1.0 + 1e-3 * chance,
                _ => 1e-3 * chance,
            };
            (c.id, -c.rollout_risk - c.fullness - CELL_MARGIN * far)
        };
        best(among.iter().map(score))
    }

    /// Any warm writer that may take this request.
    fn warm_writer(&self, job: &Job, snapshot: &Snapshot) -> Option<(ServerId, f64)> {
        let eligible = |(id, server): &&(ServerId, &Server)| {
            let warm = server.usable(self.now) && self.warmth(server) >= 1.0;
            warm && !job.failed.contains(id) && self.may_run_at(*id, job) && self.may_probe(server, job)
        };
        snapshot.by_role[Role::Writer as usize].iter().find(eligible).map(|(id, _)| (*id, 0.0))
    }

    /// Sorted start times of a role's active servers; empty unless a rollout is under way. Rollouts replace
    /// the longest-running servers first, and streams break with their process.
    fn start_times(&self, role: Role) -> Vec<Option<Time>> {
        let rollout = self.last_drain.filter(|at| self.now - *at <= ROLLOUT_WINDOW);
        let peers = rollout.into_iter().flat_map(|_| self.servers.values());
        let peers = peers.filter(|s| s.role == role && s.is_active());
        let mut starts: Vec<_> = peers.map(|s| s.member.up_since).collect();
        starts.sort_unstable();
        starts
    }

    /// Whether a request may be sent to this server. A keyed request that may have run is sent, even for a
    /// read, only to servers in its deduplication scope and only within its window.
    fn may_run_at(&self, id: ServerId, job: &Job) -> bool {
        let effect = self.settings.classes[job.request.class.0].effect;
        let grouped = |first: ServerId| {
            let both = self.servers.get(&first).zip(self.servers.get(&id));
            both.is_some_and(|(a, b)| effect.same_dedup_scope(&a.member, &b.member))
        };
        job.history.may_repeat(effect.repeat(), self.now.into(), grouped)
    }

    /// Bias of a session towards or away from mixed servers, alike at all routers: its cache stays together.
    fn mixed_bias(&self, job: &Job) -> f64 {
        let active = || self.servers.values().filter(|s| s.is_active());
        let mixed = active().filter(|s| s.role == Role::Mixed).count() as f64;
        let hash = fraction(job.request.session.map_or(job.request.id.0, |key| key.0));
        if hash * (active().count() as f64) < mixed { MIXED_BIAS } else { -MIXED_BIAS }
    }

    /// Chooses the next server and stage: a mixed server for the whole request where that is better, else a
    /// reader. `None` if no server may take it now.
    fn choose_next<'a>(&'a self, job: &Job, snapshot: &Snapshot<'a>) -> Option<(ServerId, Stage)> {
        let attempts_left = self.settings.max_attempts.saturating_sub(job.attempts);
        let read_room = self.has_room(true, snapshot.loads[0], 1.0);
        // Only readers could take it and they have no room: comparing servers would be wasted work.
        let staged = self.usable_servers(Role::Mixed, snapshot).is_empty() && !self.settings.writers_read;
        if staged && !read_room {
            return None;
        }
        let mixed = self.best_match(Role::Mixed, job, snapshot);
        let reader = if attempts_left >= 2 { self.best_match(Role::Reader, job, snapshot) } else { None };
        // The exact writer matters only against a mixed server, or where a writer may read.
        let writer =
            self.warm_writer(job, snapshot).filter(|_| staged).or_else(|| self.best_writer(job, snapshot));
        // Reading at a writer is the last resort, since its running answers stall meanwhile.
        let has_spare_room = || self.has_room(false, snapshot.loads[1], READ_ROOM * job.request.max_tokens());
        let writer_may_read = self.settings.writers_read && attempts_left >= 1 && has_spare_room();
        let (to, stage) = match (mixed, reader, writer) {
            (Some((m, mixed_cached)), Some((r, reader_cached)), Some((_, room))) => {
                let more_cached = (mixed_cached - reader_cached) / job.request.prompt_len.max(1.0);
                let candidate = self.usable_servers(Role::Mixed, snapshot).iter().find(|c| c.id == m);
                let whole = more_cached - candidate.map_or(0.0, |c| c.fullness) + self.mixed_bias(job) > room;
                if whole { (m, Stage::Writing) } else { (r, Stage::Reading) }
            }
            (Some((m, _)), _, _) if attempts_left >= 1 => (m, Stage::Writing),
            (None, Some((r, _)), Some(_)) => (r, Stage::Reading),
            (None, None, Some((w, _))) if writer_may_read => (w, Stage::Writing),
            _ => return None,
        };
        // A request waits for its best server while that is at its limit: reading anew elsewhere costs more.
        let at_limit = self.at_limit(to, job);
        job.awaited.set(at_limit.then_some(to));
        (!at_limit && (read_room || stage != Stage::Reading)).then_some((to, stage))
    }

    fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, out: &mut Vec<Action>) {
        let role = self.servers[&to].role;
        self.count_send(to, role);
        let (Some(job), Some(server)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let usual = Span((self.latencies[server.role as usize].ewma_ns * LATE_LATENCIES) as u64);
        job.late_after = usual.max(job.aim.times(LATE_AIMS));
        job.overtaken = 0;
        (job.stage, job.server, job.sent, job.is_read) = (stage, Some(to), self.now, stage == Stage::Reading);
        job.attempts += 1;
        job.history.begin(to, self.now.into());
        job.cancelled = false;
        if let Some(half_open) = &mut server.half_open {
            half_open.probe = Some(id);
        }
        if let Some(probation) = &mut server.probation {
            probation.record_send();
        }
        job.expected_cached = server.expected_cached(&job.request, self.now, false);
        server.attempts_in_flight += 1;
        server.load_in_flight += job.request.cost(server.role);
        job.uncached = if stage == Stage::Reading {
            (job.request.prompt_len - job.expected_cached).max(0.0)
        } else {
            0.0
        };
        server.uncached += job.uncached;
        if stage == Stage::Reading {
            job.reader = Some(to);
        }
        if server.role != Role::Writer {
            server.record_cached(&job.request, self.now);
        }
        out.push(Action::Send { request: id, server: to, timeout: None });
        if stage == Stage::Reading {
            self.probe_servers(to, out);
        }
    }

    // Outcomes.

    fn first_token(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(at) = job.server.filter(|_| job.attempts == attempt.0 + 1) else { return };
        if job.stage == Stage::Writing {
            job.stage = Stage::Streaming;
        }
        job.has_lease = false;
        self.record_answer(id, at);
        self.record_contact(at, Contact::Answered);
        self.send_waiting(false, out);
    }

    /// Records an answer: latency, slowness compared with the role, sign of life, and the limit.
    fn record_answer(&mut self, id: RequestId, at: ServerId) {
        let secs = self.secs();
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return };
        let took = self.now - job.sent;
        let latency = &mut self.latencies[server.role as usize];
        if latency.ewma_ns == 0.0 {
            latency.ewma_ns = took.0 as f64;
        }
        let ratio = took.0 as f64 / latency.ewma_ns.max(1e6);
        latency.ewma_ns = blend(latency.ewma_ns, took.0 as f64, EWMA_WEIGHT);
        latency.answers += 1.0;
        server.fault.add_sample(secs, (1.0 - SLOW_RATIO / ratio.max(SLOW_RATIO)).max(0.0));
        server.record_heard(self.now);
        server.next_exclusion = silence::FIRST_EXCLUSION;
        server.excluded_until = server.excluded_until.min(self.now);
        let late = took > job.aim.times(OVERLOAD_LATENCY_SHARE);
        let sent = job.sent;
        let waits =
            |job: &&mut Job| matches!(job.stage, Stage::Reading | Stage::Writing) && job.server == Some(at);
        self.jobs.values_mut().filter(waits).filter(|job| job.sent < sent).for_each(|job| job.overtaken += 1);
        self.adapt_limit(id, at, late);
    }

    fn handle_outcome(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Outcome { request: id, attempt, verdict, evidence, settled, cached_tokens, report } = outcome;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.attempts == attempt.0 + 1) else { return };
        let (Some(at), stage) = (job.server.take(), job.stage) else { return };
        let was_read = self.end_attempt(id, at);
        self.record_report(at, report);
        self.judge_server(id, at, verdict, cached_tokens);
        if self.servers.get(&at).is_some_and(|server| server.last_heard == self.now) {
            let answered = evidence == Evidence::Server && verdict != Verdict::Reset;
            self.record_contact(at, if answered { Contact::Answered } else { Contact::Reachable });
        }
        if self.servers.get(&at).is_some_and(|server| server.member.state == ServerState::Removed) {
            self.forget_removed();
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.history.end(verdict.proof(was_read, evidence));
        job.has_lease |= verdict == Verdict::Read;
        if settled || stage == Stage::Over {
            self.forget(id, out);
        } else if verdict == Verdict::Read {
            self.send_to_writer(id, out);
        } else {
            self.retry(id, at, verdict, was_read, out);
        }
        self.send_waiting(false, out);
    }

    /// Subtracts an ended attempt from its server's load; true if it was a read.
    fn end_attempt(&mut self, id: RequestId, at: ServerId) -> bool {
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return false };
        server.attempts_in_flight = server.attempts_in_flight.saturating_sub(1);
        if let Some(half_open) = server.half_open.as_mut().filter(|half_open| half_open.probe == Some(id)) {
            half_open.probe = None;
        }
        server.load_in_flight = (server.load_in_flight - job.request.cost(server.role)).max(0.0);
        server.uncached = (server.uncached - job.uncached).max(0.0);
        job.is_read
    }

    /// Updates a server's faults, exclusion and cache table from an outcome.
    fn judge_server(&mut self, id: RequestId, at: ServerId, verdict: Verdict, cached: Option<f64>) {
        let secs = self.secs();
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return };
        // A client that leaves early says nothing about its server.
        let left_early = job.stage == Stage::Over && self.now - job.sent <= job.late_after;
        let (now, silent) = (self.now, server.last_heard < job.sent);
        let client_left = job.stage == Stage::Over;
        match verdict {
            // The client left mid-answer, so the router ended the attempt: no server fault, no sign of life.
            Verdict::Ok if client_left => server.fault.add_sample(secs, 0.0),
            Verdict::Read => {
                // Far fewer cached tokens than expected: the cache was flushed or evicted, so older entries
                // are dropped. May lose matches where only a single entry was evicted.
                if cached.is_some_and(|cached| cached < LOST_CACHE * job.expected_cached) {
                    server.cached.forget_before((job.sent - Time(0)).secs());
                    server.record_cached(&job.request, now);
                }
                self.record_answer(id, at);
            }
            Verdict::Ok | Verdict::NoState | Verdict::Error | Verdict::Spoilt | Verdict::Reset => {
                server.record_heard(now);
                let healthy = matches!(verdict, Verdict::Ok | Verdict::NoState);
                server.fault.add_sample(secs, f64::from(u8::from(!healthy)));
            }
            Verdict::Full => {
                server.record_heard(now);
                server.excluded_until = server.excluded_until.max(now + FULL_BACKOFF);
                self.adapt_limit(id, at, true);
            }
            Verdict::Timeout | Verdict::Cancelled if !left_early => {
                server.fault.add_sample(secs, 1.0 - SLOW_RATIO / LATE_LATENCIES);
                if silent {
                    self.exclude(at, Contact::Unanswered);
                }
            }
            Verdict::NoSignOfLife => server.fault.add_sample(secs, 1.0 - SLOW_RATIO / LATE_LATENCIES),
            Verdict::NoRoute => self.exclude(at, Contact::Unreachable),
            Verdict::Refused => self.exclude(at, Contact::Refused),
            _ => {}
        }
    }

    /// After a read: goes on to a writer at once, because the state must not stay at the reader.
    fn send_to_writer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let job = &self.jobs[&id];
        let allowed = job.attempts < self.settings.max_attempts && self.now < job.deadline;
        match self.best_writer(job, &self.snapshot()).filter(|_| allowed) {
            Some((writer, _)) => self.send(id, writer, Stage::Writing, out),
            // No writer is usable now: queue it and read it again, which is cheaper than a refusal.
            None if allowed && self.may_read_again(job) => self.requeue(id, out),
            None => self.finish(id, out),
        }
    }

    /// Whether a request may be queued again after its read, until a writer is usable: no writer may have run
    /// it, and there is one where it has not failed.
    fn may_read_again(&self, job: &Job) -> bool {
        let repeatable = self.settings.classes[job.request.class.0].effect == Effect::Safe;
        let attempts_left = job.attempts + 2 <= self.settings.max_attempts;
        let untried = |(id, server): (&ServerId, &Server)| {
            server.role != Role::Reader && server.is_active() && !job.failed.contains(id)
        };
        attempts_left
            && (repeatable || job.history.first_possible_run().is_none())
            && self.servers.iter().any(untried)
    }

    /// Queues a request again and releases its state.
    fn requeue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::take(&mut job.has_lease) {
            out.push(Action::Release(id));
        }
        job.stage = Stage::Waiting;
        self.enqueue(id);
    }

    /// Retries at another writer while the reader holds the state, else through the queue to prevent storms.
    fn retry(&mut self, id: RequestId, at: ServerId, verdict: Verdict, read: bool, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let repeat = self.settings.classes[job.request.class.0].effect.repeat();
        let state_lost = matches!(verdict, Verdict::NoState | Verdict::Spoilt | Verdict::Expired);
        let repeatable = job.history.may_repeat(repeat, self.now.into(), |_| true);
        if !matches!(verdict, Verdict::NoState | Verdict::Full) {
            job.failed.push(at);
        }
        let exhausted = job.attempts >= self.settings.max_attempts || self.now + QUEUE_MARGIN >= job.deadline;
        if !repeatable || exhausted || verdict == Verdict::Moot {
            self.finish(id, out);
        } else if job.has_lease && !read && !state_lost {
            self.send_to_writer(id, out);
        } else {
            self.requeue(id, out);
        }
    }

    /// Gives the final answer and releases the state.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let repeat = self.settings.classes[job.request.class.0].effect.repeat();
        let backoff = self.settings.refusal_backoff;
        if job.history.may_refuse(repeat, self.now.into(), backoff.unwrap_or_default().into()) {
            out.push(Action::Refuse { request: id, backoff });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id, out);
    }

    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.waiting.retain(|waiting| *waiting != id);
        if self.jobs.remove(&id).is_some_and(|job| job.has_lease) {
            out.push(Action::Release(id));
        }
    }

    fn client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.server.is_none() {
            return self.forget(id, out);
        }
        if self.settings.may_cancel && job.stage != Stage::Streaming {
            job.cancel_attempt(id, out);
        }
        job.stage = Stage::Over;
    }

    // Ticks and reports.

    fn tick(&mut self, out: &mut Vec<Action>) {
        let stalled =
            self.last_tick.replace(self.now).is_some_and(|last| self.now - last > TICK.times(STALL_TICKS));
        out.push(Action::Timer { timer: TICK_TIMER, after: TICK });
        if !self.jobs.is_empty() {
            let rate = self.popularity.rate(self.secs(), (self.started.unwrap_or(self.now) - Time(0)).secs());
            let quotas = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s);
            self.limit_weight = adaptive_limit::traffic_weight(rate, quotas.sum(), self.settings.routers);
            // After a stall, answers that arrived meanwhile have not been processed yet.
            if !stalled {
                self.exclude_silent_writers(out);
                self.check_late_attempts(out);
            }
            self.refuse_expired(out);
            self.send_waiting(true, out);
        }
    }

    /// Refuses queued requests that can no longer be answered in time, before any work is spent on them.
    fn refuse_expired(&mut self, out: &mut Vec<Action>) {
        let latency = Span((self.latencies[0].ewma_ns + self.latencies[1].ewma_ns) as u64);
        let expired = |id: &RequestId| {
            let job = &self.jobs[id];
            // A long prompt's extra aim is for reading it, not for waiting.
            let class = &self.settings.classes[job.request.class.0];
            let repeatable = job.history.may_repeat(class.effect.repeat(), self.now.into(), |_| true);
            let latest = job.arrived + (class.aim - latency).max(class.aim.times(MIN_WAIT));
            self.now >= latest || self.now + QUEUE_MARGIN >= job.deadline || !repeatable
        };
        let expired: Vec<_> = self.waiting.iter().copied().filter(expired).collect();
        expired.into_iter().for_each(|id| self.finish(id, out));
    }

    /// Probes servers when a read begins: those of the reader's cell that write first, then all others, each
    /// least recently probed first. Reports are fresh when the read ends; probes grow only with our requests.
    fn probe_servers(&mut self, reader: ServerId, out: &mut Vec<Action>) {
        if !self.settings.probes_enabled {
            return;
        }
        let cell = self.servers.get(&reader).map(|s| s.member.cell);
        let unlikely = |s: &Server| s.role == Role::Reader || Some(s.member.cell) != cell;
        let due = self.servers.iter().filter(|(_, s)| s.is_active() && s.next_probe <= self.now);
        let mut due: Vec<_> =
            due.map(|(id, s)| (unlikely(s), s.next_probe, mix(self.seed ^ id.0), *id)).collect();
        due.sort();
        for (.., id) in due.into_iter().take(MAX_PROBES) {
            if let Some(server) = self.servers.get_mut(&id) {
                server.next_probe = self.now + PROBE_INTERVAL;
                out.push(Action::Probe(id));
            }
        }
    }

    fn record_report(&mut self, at: ServerId, report: Option<Report>) {
        let now = self.secs();
        if let (Some(server), Some(report)) = (self.servers.get_mut(&at), report) {
            server.report.update(now, report.memory_share);
        }
    }
}
