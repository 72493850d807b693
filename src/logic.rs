//! Every decision of shedrelay. Its settings, events and actions stand in `src/interface.rs`.
//!
//! Ordinary path: a request waits in the gate until readers and writers have room, goes to the reader with
//! the best match minus load, and when the read ends to the writer with most room in that reader's cell.
//! Mixed servers take their own share whole. `docs/design.md` says where and when each departure acts.

use crate::interface::*;
use fawnstream_attempts::Attempts;
use fawnstream_fleet::chance::{blend, fraction, mix};
use fawnstream_fleet::reach::{Met, Reach, View};
use fawnstream_fleet::{Allowance, Cell, Cold, Fault, Kept, Limit, Popular, Purse, Quota, Told};
use fawnstream_fleet::{best, cells, cold::younger, homes, kept, limit, told};
use std::{cell::OnceCell, collections::BTreeMap, time::Duration};

mod silence;
mod slow_start;

/// A beginning has one home, and so many more for each reader's part of all requests that it has.
const HOMES: f64 = 4.0;
/// How often waiting requests and silent servers are looked at; well under any release or aim.
const TICK: Span = Span::from_millis(40);
/// A tick that comes so many times its time late says that this process was held up.
const HELD_UP: f64 = 2.5;
/// A request still waiting this long before its client gives up is answered, so that the answer is in time.
const ANSWER_MARGIN: Span = Span::from_millis(60);
/// A writer elsewhere must beat the reader's cell by this share of a writer's memory: moves are dear.
const FAR_MARGIN: f64 = 0.35;
/// Memory assumed where the settings tell none: only ratios between servers matter then.
const UNTOLD_MEMORY: f64 = 150_000.0;
/// A mixed server's memory counts for this much of a writer's: it spends time on reading too.
const MIXED_ROOM: f64 = 0.6;
/// How far a session's hash outweighs fullness in the choice between mixed servers and the two stages.
const LEANING: f64 = 0.2;
/// A request may wait for this share of its aim, however slow the servers are now.
const LEAST_WAIT: f64 = 0.3;
/// A limit starts at this share of the writers' memory, all routers together ...
const START_FILL: f64 = 0.9;
/// ... or at so many reads a reader: most read a few prompts at once, and queue some.
const START_READS: f64 = 12.0;
/// A read or first token later than this share of the aim says that its servers are full.
const LATE: f64 = 0.45;
/// A writer reads a prompt itself only where there is room for so many such requests.
const UNREAD: f64 = 24.0;
/// A server that turned a request away as full is left alone for this long, so that it is not hammered.
const FULL_PAUSE: Span = Span::from_millis(250);
/// An attempt is late when it takes this many times what its role's attempts take now ...
const PATIENCE: f64 = 12.0;
/// ... but never before this share of the aim has passed.
const PATIENCE_AIM: f64 = 2.0;
/// Weight of a new sample in the usual times; about the last ten samples count.
const EWMA: f64 = 0.1;
/// Slowness below this multiple of the role's usual is no fault.
const SLOW_FROM: f64 = 1.6;
/// How heavily a fault record weighs against match and room, each in [0, 1].
const FAULT_WEIGHT: f64 = 1.5;
/// How heavily a reader's load weighs against match: what is read anew for a shorter line is read by all.
const LOAD_WEIGHT: f64 = 0.5;
/// The same for what our reads still have to read there, in parts of the prompt: no report knows of it yet.
const BACKLOG: f64 = 0.15;
/// A release goes on until no drain was told of for so long ...
const RELEASE_LASTS: Span = Span::from_millis(10_000);
/// ... and meanwhile the writer that ran longest counts as fuller by this share of its memory.
const RELEASE_WEIGHT: f64 = 0.3;
/// Probes of one server are this far apart: reports are not refreshed much faster.
const PROBE_EVERY: Span = Span::from_millis(700);
/// Probes for each read at most: they are paid for.
const PROBES: usize = 4;
/// Kept counts under this share of the belief mean that the server forgot: its table is dropped.
const VOID_SHARE: f64 = 0.5;
/// Wait before the list is asked for again after a failed call; doubles up to 16 times this.
const LIST_RETRY: Span = Span::from_millis(500);

const TICK_TIMER: TimerId = TimerId(1);
const LIST_TIMER: TimerId = TimerId(2);

/// What this router knows of one server.
#[derive(Default)]
struct Server {
    member: Member,
    role: Role,
    memory: f64,
    /// Tokens believed to be kept here for a session or a beginning.
    kept: Kept,
    attempts: u32,
    /// What this router has out here, in the units of its limit.
    used: f64,
    /// Tokens of our reads out here that are not believed to be kept.
    unread: f64,
    /// Reported share of memory.
    report: Told,
    probe_at: Time,
    /// How much speaks against it: errors, silence, or slowness beside its peers.
    fault: Fault,
    heard: Time,
    out_until: Time,
    out_span: Span,
    /// What it may be sent while it is cold.
    allowance: Option<Allowance>,
    /// Where it was shut out and has said nothing since.
    trial: Option<silence::Trial>,
    /// Where a peer fell silent and it has said nothing since.
    unproven: Option<silence::Unproven>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Waiting,
    Reading,
    Writing,
    Streaming,
    /// The client has its answer or left; an attempt is still out.
    Over,
}

#[derive(Default)]
struct Job {
    ask: Request,
    arrived: Time,
    aim: Span,
    deadline: Time,
    worth: f64,
    stage: Stage,
    at: Option<ServerId>,
    /// Its last attempt was sent to be read, whatever its server does by now.
    reads: bool,
    sent: Time,
    attempts: u32,
    /// A reader may hold a state for it.
    held: bool,
    reader: Option<ServerId>,
    /// What its attempts prove.
    history: Attempts<ServerId>,
    failed: Vec<ServerId>,
    cancelled: bool,
    /// Kept tokens believed there by own sends, without the credit of a home.
    believed: f64,
    /// Tokens that a read has to read, so far as is believed.
    unread: f64,
    /// Time the attempt may take before it counts as late.
    patience: Span,
    /// Requests that were sent to the same server later and answered before.
    overtaken: u32,
    /// The busy home that it waits for.
    awaits: std::cell::Cell<Option<ServerId>>,
}

impl Job {
    /// Calls its attempt off, once.
    fn cancel_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.cancelled, true) {
            out.push(Action::Cancel { request: id, attempt: Attempt(self.attempts - 1) });
        }
    }
}

/// A server at one look: its load as a reader, how full it is as a writer, that it may go soon, its warmth.
#[derive(Clone, Copy)]
struct Seen<'a> {
    id: ServerId,
    server: &'a Server,
    load: f64,
    full: f64,
    soon: f64,
    warmth: f64,
}

/// What all choices at one moment go by: see `Router::look`.
struct Look<'a> {
    by_role: [Vec<(ServerId, &'a Server)>; 3],
    /// Those of each role that may be used, reckoned when they are first asked for.
    seen: [OnceCell<Vec<Seen<'a>>>; 3],
    reach: View<'a>,
    cells: BTreeMap<u64, Cell>,
    /// What is out at readers and at the others, and what those start with.
    out: [(f64, f64); 2],
}

#[derive(Default)]
struct Pool {
    /// Usual time to the end of a read or to the first token.
    usual: f64,
    answers: f64,
}

/// One router's decisions. It hears [`Event`]s and answers with [`Action`]s; see the crate's page.
pub struct Router {
    settings: Settings,
    seed: u64,
    cold: Cold,
    /// What may be sent to the cold servers of each role.
    purses: [Purse; 3],
    /// Requests sent to each role so far.
    sent: [f64; 3],
    servers: BTreeMap<ServerId, Server>,
    reach: Reach,
    jobs: BTreeMap<RequestId, Job>,
    waiting: Vec<RequestId>,
    /// Requests seen of late for each beginning.
    popular: Popular,
    /// The most servers of each role that were ever listed at once.
    most: [usize; 3],
    /// What is left of the tenants' shares.
    tenants: Vec<Quota>,
    pools: [Pool; 3],
    /// The limits on reads and on tokens.
    limits: [Limit; 2],
    weight: f64,
    born: Option<Time>,
    /// When the list last told of a server that drains.
    drained: Option<Time>,
    list_wait: Span,
    /// When silent servers were last looked for.
    ticked: Option<Time>,
    /// When a server of each role was last found silent.
    cut: [Option<Time>; 3],
    now: Time,
}

impl Server {
    fn new(member: &Member, kind: &Kind) -> Self {
        let told = kind.memory_tokens.filter(|m| *m > 0.0).unwrap_or(UNTOLD_MEMORY);
        let memory = if kind.role == Role::Mixed { told * MIXED_ROOM } else { told };
        Server {
            member: member.clone(),
            role: kind.role,
            memory,
            out_span: silence::FIRST_OUT,
            ..Server::default()
        }
    }

    fn listed(&self) -> bool {
        self.member.state == ServerState::Active
    }

    fn usable(&self, now: Time) -> bool {
        self.listed()
            && self.out_until <= now
            && self.trial.is_none_or(|trial| trial.probe.is_none())
            && self.unproven.is_none_or(|unproven| unproven.takes_calls(now))
    }

    /// It said something.
    fn note_heard(&mut self, now: Time) {
        self.heard = now;
        (self.trial, self.unproven) = (None, None);
    }

    fn believed(&self, ask: &Request, now: Time, home: bool) -> f64 {
        let home = if home { ask.prefix_len } else { 0.0 };
        self.kept.longest((now - Time(0)).secs(), &ask.cache_keys()).max(home)
    }

    fn learn(&mut self, ask: &Request, now: Time) {
        self.kept.learn_all((now - Time(0)).secs(), &ask.cache_keys());
    }
}

impl Router {
    /// A router that knows nothing yet; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let Rules { cold_share: share, cold, fall_multiple: multiple, .. } = settings.rules;
        let part = Limit::new(settings.routers);
        let cold = Cold { share, warm_after: cold.secs(), multiple };
        Ok(Router {
            tenants: vec![Quota::default(); settings.tenants.len()],
            settings,
            seed,
            cold,
            purses: Default::default(),
            sent: [0.0; 3],
            servers: BTreeMap::new(),
            reach: Reach::default(),
            jobs: BTreeMap::new(),
            waiting: Vec::new(),
            popular: Popular::new(kept::FOR, kept::MOST),
            most: [0; 3],
            pools: Default::default(),
            limits: [part, part],
            weight: 1.0,
            born: None,
            drained: None,
            list_wait: LIST_RETRY,
            ticked: None,
            cut: [None; 3],
            now: Time(0),
        })
    }

    /// Hears one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.born.is_none() {
            self.born = Some(now);
            let after = Span(1 + mix(self.seed) % TICK.0);
            out.push(Action::Timer { timer: TICK_TIMER, after });
            if self.settings.list_on_request {
                out.push(Action::Subscribe);
            }
        }
        match event {
            Event::Members(members) => self.follow_list(members, out),
            Event::Request(ask) => self.accept(ask, out),
            Event::FirstToken { request, attempt } => self.first(request, attempt, out),
            Event::Outcome(outcome) => self.outcome(outcome, out),
            Event::ClientLeft(request) => self.gone(request, out),
            Event::Timer(TICK_TIMER) => self.tick(out),
            Event::Timer(LIST_TIMER) => out.push(Action::Subscribe),
            Event::Timer(_) => {}
            Event::Probed { server, ok, report } => {
                self.met(server, if ok { Met::Answered } else { Met::Unanswered });
                self.note_report(server, report.filter(|_| ok));
            }
            Event::Activity(server) => self.heard(server),
            Event::LeaseReleased(request) => self.hold_released(request, out),
        }
    }

    /// Which servers are in reach, as far as this router met them.
    pub fn reach(&self) -> &Reach {
        &self.reach
    }

    fn met(&mut self, at: ServerId, how: Met) {
        self.reach.met(at.0, how, Duration::from_nanos(self.now.0));
    }

    /// How many listed servers get nothing now: they drain, or were silent, unreachable or full of late.
    pub fn excluded_servers(&self, now: Time) -> usize {
        let listed = self.servers.values().filter(|server| server.member.state != ServerState::Left);
        listed.filter(|server| !server.usable(now)).count()
    }

    /// The server that takes one more long-lived connection: of these the one with most room, as a writer's.
    pub fn place_connection(&mut self, now: Time, among: &[ServerId]) -> Option<ServerId> {
        self.now = now;
        let reports = |role| self.servers.values().filter(move |s| s.role == role).map(|s| s.report);
        let means = [Role::Writer, Role::Mixed].map(|role| told::mean(self.secs(), reports(role)));
        let starts = [Role::Reader, Role::Writer, Role::Mixed].map(|role| self.starts(role));
        let usable = |id: &ServerId| Some((*id, self.servers.get(id).filter(|s| s.usable(now))?));
        let reach = self.view();
        let score = |(id, server): (ServerId, &Server)| {
            let mean = means[usize::from(server.role == Role::Mixed)];
            let soon = RELEASE_WEIGHT * younger(&starts[server.role as usize], &server.member.up_since);
            (id, -soon - self.fullness(server, mean, &reach))
        };
        best(among.iter().filter_map(usable).map(score)).map(|(id, _)| id)
    }

    /// So many tokens more, or fewer, are out at a server for long-lived connections.
    pub fn add_connection_load(&mut self, at: ServerId, tokens: f64) {
        if let Some(server) = self.servers.get_mut(&at) {
            server.used = (server.used + tokens).max(0.0);
        }
    }

    // The list of servers.

    fn follow_list(&mut self, members: Members, out: &mut Vec<Action>) {
        match members {
            Members::Failed => {
                out.push(Action::Timer { timer: LIST_TIMER, after: self.list_wait });
                self.list_wait = (self.list_wait + self.list_wait).min(LIST_RETRY.times(16.0));
                return;
            }
            Members::Full(entries) => {
                self.servers.values_mut().for_each(|server| server.member.state = ServerState::Left);
                entries.iter().for_each(|entry| self.list(entry));
            }
            Members::Changes(entries) => entries.iter().for_each(|entry| self.list(entry)),
        }
        self.forget_left();
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            let listed = self.servers.values().filter(|s| s.role == role && s.listed()).count();
            self.most[role as usize] = self.most[role as usize].max(listed);
        }
        self.list_wait = LIST_RETRY;
        self.open_gate(false, out);
    }

    /// Forgets servers that left once nothing of ours is out there. Guards against growing with each new id.
    fn forget_left(&mut self) {
        self.servers.retain(|id, server| {
            let left = server.member.state == ServerState::Left;
            left.then(|| self.reach.leave(id.0));
            !left || server.attempts > 0
        });
    }

    fn list(&mut self, entry: &Member) {
        let Some(kind) = self.settings.kinds.get(entry.kind.0) else { return };
        let (active, start) = (entry.state == ServerState::Active, entry.up_since.map_or(0, |up| up.0));
        self.reach.list(entry.server.0, entry.zone.0, active, start);
        let drains = entry.state == ServerState::Leaving;
        self.drained = drains.then_some(self.now).or(self.drained);
        let old = self.servers.get_mut(&entry.server);
        let same = |old: &Member| entry.up_since <= old.up_since && entry.kind == old.kind;
        if let Some(server) = old.filter(|old| same(&old.member)) {
            server.member.state = entry.state;
            return;
        }
        // New, of another kind, or a restarted process that forgot its texts: what was thought of it is void.
        let mut server = Server::new(entry, kind);
        if let Some(old) = self.servers.get(&entry.server) {
            let same = f64::from(u8::from(old.role == server.role));
            (server.attempts, server.used, server.unread) =
                (old.attempts, same * old.used, same * old.unread);
            server.heard = self.now;
        }
        server.allowance = Some(self.allowance(entry.server, server.role, start));
        self.servers.insert(entry.server, server);
    }

    // Requests and the gate.

    fn accept(&mut self, ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(ask.class.0) else {
            return out.push(Action::Refuse { request: ask.id, backoff: None });
        };
        self.popular.note((self.now - Time(0)).secs(), ask.prefix.map(|key| key.0));
        let (id, aim) = (ask.id, class.aim + class.aim_per_1000.times(ask.prompt_len / 1000.0));
        let (arrived, deadline, mut worth) = (self.now, self.now + ask.budget, class.worth);
        if self.over_share(ask.tenant) {
            worth *= self.settings.over_share_worth;
        }
        // What reading it costs counts in powers of two, so that prompts of about a size keep their order.
        worth /= (ask.prompt_len.max(1.0) as u64).next_power_of_two() as f64;
        self.jobs.insert(id, Job { arrived, aim, deadline, worth, ask, ..Job::default() });
        self.queue(id);
        // A retry may come with almost no time left: nothing is sent for it that would be cut at once.
        self.turn_away(out);
        self.open_gate(false, out);
    }

    /// Whether a tenant has used up this router's even part of its share.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let (now, routers) = (self.secs(), f64::from(self.settings.routers));
        let told = tenant.and_then(|id| self.settings.tenants.get(id.0).zip(self.tenants.get_mut(id.0)));
        told.is_some_and(|(told, quota)| !quota.take(now, told.quota_per_s / routers))
    }

    /// Takes a place in the line: most worth for its work first, then the earliest; or the latest, while one
    /// of its worth has waited long: who is served at the end of its wait is late, as fresh ones would be.
    fn queue(&mut self, id: RequestId) {
        let worth = self.jobs[&id].worth;
        let first = self.waiting.partition_point(|other| self.jobs[other].worth > worth);
        let last = self.waiting.partition_point(|other| self.jobs[other].worth >= worth);
        let long = |id: &RequestId| self.now >= self.jobs[id].arrived + self.jobs[id].aim.times(LEAST_WAIT);
        let stands = self.waiting[first..last].iter().any(long);
        self.waiting.insert(if stands { first } else { last }, id);
    }

    /// Lets waiting requests through while the writers have room. `anew`: also those whose home was busy
    /// before and still is: between ticks they wait for it.
    fn open_gate(&mut self, anew: bool, out: &mut Vec<Action>) {
        let mut place = 0;
        while let Some((next, to, stage)) = self.next_through(place, anew) {
            let id = self.waiting.remove(next);
            self.send(id, to, stage, out);
            place = next;
        }
    }

    /// The first in the line, from this place on, that may go, and where to.
    fn next_through(&self, from: usize, anew: bool) -> Option<(usize, ServerId, Stage)> {
        if from >= self.waiting.len() {
            return None;
        }
        let look = self.look();
        for (place, id) in self.waiting.iter().enumerate().skip(from) {
            let job = &self.jobs[id];
            if !self.fits(false, look.out[1], job.ask.max_tokens()) {
                return None;
            }
            if !anew && job.awaits.get().is_some_and(|home| self.busy(home, job)) {
                continue;
            }
            if let Some((to, stage)) = self.dispatch(job, &look) {
                return Some((place, to, stage));
            }
        }
        None
    }

    /// A server has as much of this router's as it may, for one more of these.
    fn busy(&self, at: ServerId, job: &Job) -> bool {
        self.servers.get(&at).filter(|server| server.usable(self.now)).is_some_and(|server| {
            let reads = server.role == Role::Reader;
            let limit = self.limit(reads, self.start(server), job.ask.cost(server.role));
            server.attempts > 0 && server.used >= limit
        })
    }

    /// This router's part of a limit whose start is `start` for all routers.
    fn limit(&self, reads: bool, start: f64, one: f64) -> f64 {
        self.limits[usize::from(!reads)].part(start, one)
    }

    fn start(&self, server: &Server) -> f64 {
        let start = if server.role == Role::Reader { START_READS } else { START_FILL * server.memory };
        start * self.weight
    }

    /// What is out at the readers and at the others, and what the usable ones start with. A request that is
    /// being read counts for its writer too.
    fn outs(&self) -> [(f64, f64); 2] {
        let mut outs = [(0.0, 0.0); 2];
        for server in self.servers.values() {
            let (used, start) = &mut outs[usize::from(server.role != Role::Reader)];
            *used += server.used;
            *start += if server.usable(self.now) { self.start(server) } else { 0.0 };
        }
        let reading = self.jobs.values().filter(|job| job.stage == Stage::Reading);
        outs[1].0 += reading.map(|job| job.ask.max_tokens()).sum::<f64>();
        outs.map(|(used, start)| (used, start.max(1.0)))
    }

    /// Whether readers or writers may be given so much more, with what is out there and what they start with.
    fn fits(&self, reads: bool, (used, start): (f64, f64), need: f64) -> bool {
        used < 1.0 || used + need <= self.limit(reads, start, need)
    }

    /// The limit follows the answers: it grows while they are quick, and falls when they are late.
    fn adapt(&mut self, id: RequestId, at: ServerId, late: bool) {
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get(&at)) else { return };
        let (reads, one) = (server.role == Role::Reader, job.ask.cost(server.role));
        let (used, start) = self.outs()[usize::from(!reads)];
        self.limits[usize::from(!reads)].answered(late, used, start, one);
    }

    // Choices.

    /// All that may be used now, by role, and what no request changes. Guards
    /// against reckoning it anew for each that waits: a line of 100 cost 6 ms an event at 100 servers.
    fn look(&self) -> Look<'_> {
        let mut by_role = [const { Vec::new() }; 3];
        self.servers.iter().for_each(|(id, server)| by_role[server.role as usize].push((*id, server)));
        let reads = |role| (role != Role::Mixed).then_some(role == Role::Reader);
        let usable = self.servers.values().filter(|s| s.usable(self.now));
        let cells = cells(usable.map(|s| (s.member.cell.0, reads(s.role))));
        Look { by_role, seen: Default::default(), reach: self.view(), cells, out: self.outs() }
    }

    /// The servers of a role that may be used now, at a look.
    fn seen<'a, 'l>(&'a self, role: Role, look: &'l Look<'a>) -> &'l [Seen<'a>] {
        look.seen[role as usize].get_or_init(|| {
            let peers = &look.by_role[role as usize];
            let mean = told::mean(self.secs(), peers.iter().map(|(_, s)| s.report));
            let (starts, alone) = (self.starts(role), f64::from(self.settings.routers).sqrt());
            // The more routers, the less one read of ours tells of the load.
            let own = peers.iter().map(|(_, s)| f64::from(s.attempts)).sum::<f64>();
            let see = |&(id, server): &(ServerId, &'a Server)| {
                let against = FAULT_WEIGHT * self.against(server, &look.reach);
                let load = self.load(server, f64::from(server.attempts) / (own + alone), mean) + against;
                let (full, warmth) = (self.fullness(server, mean, &look.reach), self.warmth(server));
                let soon = RELEASE_WEIGHT * younger(&starts, &server.member.up_since);
                Seen { id, server, load, full, soon, warmth }
            };
            peers.iter().filter(|(_, s)| s.usable(self.now)).map(see).collect()
        })
    }

    fn secs(&self) -> f64 {
        (self.now - Time(0)).secs()
    }

    /// A server's load: its report while that is fresh, else own knowledge or what its peers report.
    fn load(&self, server: &Server, own: f64, mean: f64) -> f64 {
        server.report.load(self.secs(), own.max(mean))
    }

    /// The reader (or mixed server) with the best match minus load, and its believed tokens.
    fn best_match<'a>(&'a self, role: Role, job: &Job, look: &Look<'a>) -> Option<(ServerId, f64)> {
        let among = self.candidates(role, job, look);
        let homes = self.homes(job, &among, look);
        let session = job.ask.session.map_or(job.ask.id.0, |key| key.0);
        let prompt = job.ask.prompt_len.max(1.0);
        let score = |seen: &Seen| {
            let match_ = seen.server.believed(&job.ask, self.now, homes.contains(&seen.id.0)) / prompt;
            let tie = 1e-3 * fraction(session ^ mix(seen.id.0));
            let queued = seen.server.unread * BACKLOG / prompt;
            (seen.id, match_ - LOAD_WEIGHT * seen.load - queued + tie)
        };
        let (id, _) = best(among.iter().map(score))?;
        Some((id, self.servers[&id].believed(&job.ask, self.now, homes.contains(&id.0))))
    }

    /// The servers that count as holding a request's beginning: the first in its rendezvous order, more of
    /// the larger its part of the requests. All routers agree on the order and on which of them a session's
    /// hash picks. Guards against a hot beginning at one home; where chance makes a part look large at one
    /// router only, some sessions are read anew.
    fn homes(&self, job: &Job, among: &[Seen], look: &Look) -> Vec<u64> {
        let Some(key) = job.ask.prefix else { return Vec::new() };
        let weight = |seen: &Seen| {
            let cell =
                look.cells.get(&seen.server.member.cell.0).filter(|_| seen.server.role == Role::Reader);
            (seen.id.0, cell.map_or(1.0, |cell| cell.weight))
        };
        let part = self.popular.likely(self.secs(), key.0);
        let most = 1 + (part * HOMES * among.len() as f64) as usize;
        homes(key.0, among.iter().map(weight), most)
    }

    /// How full a writer is: own streams as if all routers sent alike, its fresh report, faults.
    fn fullness(&self, server: &Server, mean: f64, reach: &View) -> f64 {
        let own = server.used * f64::from(self.settings.routers) / server.memory;
        self.load(server, own, mean) + FAULT_WEIGHT * self.against(server, reach)
    }

    fn view(&self) -> View<'_> {
        self.reach.view(Duration::from_nanos(self.now.0))
    }

    /// What speaks against a server: its own record, or that it may be out of reach.
    fn against(&self, server: &Server, reach: &View) -> f64 {
        server.fault.now(self.secs()).max(reach.doubt(server.member.server.0))
    }

    /// The writer with most room, in the reader's cell unless another has far more. Where a cell's readers
    /// are more than its writers' part, the rest of the requests spills to cells with fewer.
    fn best_writer<'a>(&'a self, job: &Job, look: &Look<'a>) -> Option<(ServerId, f64)> {
        let mut among = self.candidates(Role::Writer, job, look);
        if among.is_empty() {
            among = self.candidates(Role::Mixed, job, look);
        }
        let cell = job.reader.and_then(|id| self.servers.get(&id)).map(|s| s.member.cell);
        let hash = mix(self.seed ^ job.ask.id.0);
        let crowd = |cell: CellId| look.cells.get(&cell.0).map_or(1.0, |cell| cell.crowd);
        let spill = cell.is_some_and(|cell| fraction(hash) * crowd(cell) > 1.0);
        let score = |seen: &Seen| {
            let chance = -fraction(hash ^ mix(seen.id.0)).ln();
            let far = match cell {
                _ if spill => chance / (1.0 - crowd(seen.server.member.cell)).max(0.1),
                Some(cell) if cell != seen.server.member.cell => 1.0 + 1e-3 * chance,
                _ => 1e-3 * chance,
            };
            (seen.id, -seen.soon - seen.full - FAR_MARGIN * far)
        };
        best(among.iter().map(score))
    }

    /// Any writer that is open to this request without a draw.
    fn warm_writer(&self, job: &Job, look: &Look) -> Option<(ServerId, f64)> {
        let free = |(id, server): &&(ServerId, &Server)| {
            let warm = server.usable(self.now) && self.warmth(server) >= 1.0;
            warm && !job.failed.contains(id) && self.in_scope(*id, job) && self.may_try(server, job)
        };
        look.by_role[Role::Writer as usize].iter().find(free).map(|(id, _)| (*id, 0.0))
    }

    /// When the listed servers of a role started, in order; none while no release goes on. Releases replace
    /// what has run longest, and streams break with the process that makes them.
    fn starts(&self, role: Role) -> Vec<Option<Time>> {
        let release = self.drained.filter(|at| self.now - *at <= RELEASE_LASTS);
        let peers = release.into_iter().flat_map(|_| self.servers.values());
        let peers = peers.filter(|s| s.role == role && s.listed());
        let mut starts: Vec<_> = peers.map(|s| s.member.up_since).collect();
        starts.sort_unstable();
        starts
    }

    /// A keyed request that may have run goes on, also to be read, only where and while repeats are dropped.
    fn in_scope(&self, id: ServerId, job: &Job) -> bool {
        let effect = self.settings.classes[job.ask.class.0].effect;
        let grouped = |first: ServerId| {
            let both = self.servers.get(&first).zip(self.servers.get(&id));
            both.is_some_and(|(a, b)| effect.same_dedup_scope(&a.member, &b.member))
        };
        job.history.may_repeat(effect.repeat(), self.now.into(), grouped)
    }

    /// Leans a session to mixed servers or away, at all routers alike, so that its texts stay in one place.
    fn leaning(&self, job: &Job) -> f64 {
        let listed = || self.servers.values().filter(|s| s.listed());
        let mixed = listed().filter(|s| s.role == Role::Mixed).count() as f64;
        let hash = fraction(job.ask.session.map_or(job.ask.id.0, |key| key.0));
        if hash * (listed().count() as f64) < mixed { LEANING } else { -LEANING }
    }

    /// Where a request goes next: whole to a mixed server where that has more room, else to a reader. None if
    /// no server may take it now.
    fn dispatch<'a>(&'a self, job: &Job, look: &Look<'a>) -> Option<(ServerId, Stage)> {
        let left = self.settings.max_attempts.saturating_sub(job.attempts);
        let reads = self.fits(true, look.out[0], 1.0);
        // Guards against choosing for each that waits where nobody may be sent to: only readers can take it.
        let staged = self.seen(Role::Mixed, look).is_empty() && !self.settings.writers_read;
        if staged && !reads {
            return None;
        }
        let mixed = self.best_match(Role::Mixed, job, look);
        let reader = if left >= 2 { self.best_match(Role::Reader, job, look) } else { None };
        // Which writer matters only beside a mixed server, or where it may read.
        let writer = self.warm_writer(job, look).filter(|_| staged).or_else(|| self.best_writer(job, look));
        // Writers that read are the last resort, and few may: their answers stand still meanwhile.
        let spare = || self.fits(false, look.out[1], UNREAD * job.ask.max_tokens());
        let unread = self.settings.writers_read && left >= 1 && spare();
        let (to, stage) = match (mixed, reader, writer) {
            (Some((m, kept)), Some((r, read)), Some((_, room))) => {
                let more_kept = (kept - read) / job.ask.prompt_len.max(1.0);
                let full = self.seen(Role::Mixed, look).iter().find(|seen| seen.id == m);
                let whole = more_kept - full.map_or(0.0, |seen| seen.full) + self.leaning(job) > room;
                if whole { (m, Stage::Writing) } else { (r, Stage::Reading) }
            }
            (Some((m, _)), _, _) if left >= 1 => (m, Stage::Writing),
            (None, Some((r, _)), Some(_)) => (r, Stage::Reading),
            (None, None, Some((w, _))) if unread => (w, Stage::Writing),
            _ => return None,
        };
        // The score says where, the gate when: a busy home is waited for, since reading anew costs more.
        let busy = self.busy(to, job);
        job.awaits.set(busy.then_some(to));
        (!busy && (reads || stage != Stage::Reading)).then_some((to, stage))
    }

    fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, out: &mut Vec<Action>) {
        let role = self.servers[&to].role;
        self.spend(to, role);
        let (Some(job), Some(server)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let usual = Span((self.pools[server.role as usize].usual * PATIENCE) as u64);
        job.patience = usual.max(job.aim.times(PATIENCE_AIM));
        job.overtaken = 0;
        (job.stage, job.at, job.sent, job.reads) = (stage, Some(to), self.now, stage == Stage::Reading);
        job.attempts += 1;
        job.history.begin(to, self.now.into());
        job.cancelled = false;
        if let Some(trial) = &mut server.trial {
            trial.probe = Some(id);
        }
        if let Some(unproven) = &mut server.unproven {
            unproven.note_call();
        }
        job.believed = server.believed(&job.ask, self.now, false);
        server.attempts += 1;
        server.used += job.ask.cost(server.role);
        job.unread = if stage == Stage::Reading { (job.ask.prompt_len - job.believed).max(0.0) } else { 0.0 };
        server.unread += job.unread;
        if stage == Stage::Reading {
            job.reader = Some(to);
        }
        if server.role != Role::Writer {
            server.learn(&job.ask, self.now);
        }
        out.push(Action::Send { request: id, server: to, timeout: None });
        if stage == Stage::Reading {
            self.probe(to, out);
        }
    }

    // Outcomes.

    fn first(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(at) = job.at.filter(|_| job.attempts == attempt.0 + 1) else { return };
        if job.stage == Stage::Writing {
            job.stage = Stage::Streaming;
        }
        job.held = false;
        self.answered(id, at);
        self.met(at, Met::Answered);
        self.open_gate(false, out);
    }

    /// A server answered: usual times, its slowness beside its peers, its sign of life, the limit.
    fn answered(&mut self, id: RequestId, at: ServerId) {
        let secs = self.secs();
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return };
        let took = self.now - job.sent;
        let pool = &mut self.pools[server.role as usize];
        if pool.usual == 0.0 {
            pool.usual = took.0 as f64;
        }
        let ratio = took.0 as f64 / pool.usual.max(1e6);
        pool.usual = blend(pool.usual, took.0 as f64, EWMA);
        pool.answers += 1.0;
        server.fault.judge(secs, (1.0 - SLOW_FROM / ratio.max(SLOW_FROM)).max(0.0));
        server.note_heard(self.now);
        server.out_span = silence::FIRST_OUT;
        server.out_until = server.out_until.min(self.now);
        let late = took > job.aim.times(LATE);
        let sent = job.sent;
        let waits =
            |job: &&mut Job| matches!(job.stage, Stage::Reading | Stage::Writing) && job.at == Some(at);
        self.jobs.values_mut().filter(waits).filter(|job| job.sent < sent).for_each(|job| job.overtaken += 1);
        self.adapt(id, at, late);
    }

    fn outcome(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Outcome { request: id, attempt, verdict, evidence, settled, kept, report } = outcome;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.attempts == attempt.0 + 1) else { return };
        let (Some(at), stage) = (job.at.take(), job.stage) else { return };
        let was_read = self.take_back(id, at);
        self.note_report(at, report);
        self.judge(id, at, verdict, kept);
        if self.servers.get(&at).is_some_and(|server| server.heard == self.now) {
            let answered = evidence == Evidence::Server && verdict != Verdict::Reset;
            self.met(at, if answered { Met::Answered } else { Met::InReach });
        }
        if self.servers.get(&at).is_some_and(|server| server.member.state == ServerState::Left) {
            self.forget_left();
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.history.end(verdict.proof(was_read, evidence));
        job.held |= verdict == Verdict::Read;
        if settled || stage == Stage::Over {
            self.forget(id, out);
        } else if verdict == Verdict::Read {
            self.write(id, out);
        } else {
            self.again(id, at, verdict, was_read, out);
        }
        self.open_gate(false, out);
    }

    /// Takes an ended attempt off its server's books; true if it was at a reader.
    fn take_back(&mut self, id: RequestId, at: ServerId) -> bool {
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return false };
        server.attempts = server.attempts.saturating_sub(1);
        if let Some(trial) = server.trial.as_mut().filter(|trial| trial.probe == Some(id)) {
            trial.probe = None;
        }
        server.used = (server.used - job.ask.cost(server.role)).max(0.0);
        server.unread = (server.unread - job.unread).max(0.0);
        job.reads
    }

    /// What an outcome says of its server.
    fn judge(&mut self, id: RequestId, at: ServerId, verdict: Verdict, kept: Option<f64>) {
        let secs = self.secs();
        let (Some(job), Some(server)) = (self.jobs.get(&id), self.servers.get_mut(&at)) else { return };
        // A client that leaves soon says nothing of its server.
        let soon = job.stage == Stage::Over && self.now - job.sent <= job.patience;
        let (now, silent) = (self.now, server.heard < job.sent);
        let client_left = job.stage == Stage::Over;
        match verdict {
            // Its client left in the middle of its answer and it was ended here: the server did well until
            // then, and said nothing now.
            Verdict::Ok if client_left => server.fault.judge(secs, 0.0),
            Verdict::Read => {
                // Fewer kept tokens than believed: the server forgot, so all that is believed of it goes.
                // Guards against flushes and evictions; could cost matches where a single text was evicted.
                if kept.is_some_and(|kept| kept < VOID_SHARE * job.believed) {
                    server.kept.forget_before((job.sent - Time(0)).secs());
                    server.learn(&job.ask, now);
                }
                self.answered(id, at);
            }
            Verdict::Ok | Verdict::NoState | Verdict::Error | Verdict::Spoilt | Verdict::Reset => {
                server.note_heard(now);
                let sound = matches!(verdict, Verdict::Ok | Verdict::NoState);
                server.fault.judge(secs, f64::from(u8::from(!sound)));
            }
            Verdict::Full => {
                server.note_heard(now);
                server.out_until = server.out_until.max(now + FULL_PAUSE);
                self.adapt(id, at, true);
            }
            Verdict::Timeout | Verdict::Cancelled if !soon => {
                server.fault.judge(secs, 1.0 - SLOW_FROM / PATIENCE);
                if silent {
                    self.shut_out(at, Met::Unanswered);
                }
            }
            Verdict::NoSignOfLife => server.fault.judge(secs, 1.0 - SLOW_FROM / PATIENCE),
            Verdict::NoRoute => self.shut_out(at, Met::Unreachable),
            Verdict::Refused => self.shut_out(at, Met::Refused),
            _ => {}
        }
    }

    /// After a read: on to a writer at once, for the state may not stay.
    fn write(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let job = &self.jobs[&id];
        let allowed = job.attempts < self.settings.max_attempts && self.now < job.deadline;
        match self.best_writer(job, &self.look()).filter(|_| allowed) {
            Some((writer, _)) => self.send(id, writer, Stage::Writing, out),
            // No writer may be used now. One more read is dearer than a moment in the line, and less than a
            // refusal.
            None if allowed && self.may_wait_for_writer(job) => self.wait_again(id, out),
            None => self.finish(id, out),
        }
    }

    /// Whether a request that was read may be read again when a writer can be used: it was tried by none that
    /// may have run it, and there is one that it was not sent to.
    fn may_wait_for_writer(&self, job: &Job) -> bool {
        let safe = self.settings.classes[job.ask.class.0].effect == Effect::Safe;
        let left = job.attempts + 2 <= self.settings.max_attempts;
        let untried = |(id, server): (&ServerId, &Server)| {
            server.role != Role::Reader && server.listed() && !job.failed.contains(id)
        };
        left && (safe || job.history.ran().is_none()) && self.servers.iter().any(untried)
    }

    /// Back to the gate; what is held has to go.
    fn wait_again(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::take(&mut job.held) {
            out.push(Action::Release(id));
        }
        job.stage = Stage::Waiting;
        self.queue(id);
    }

    /// An attempt failed and the request is still open: on to another writer while the state waits, else back
    /// to the gate, so that retries queue with all others and never storm.
    fn again(&mut self, id: RequestId, at: ServerId, verdict: Verdict, read: bool, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let repeat = self.settings.classes[job.ask.class.0].effect.repeat();
        let gone = matches!(verdict, Verdict::NoState | Verdict::Spoilt | Verdict::Expired);
        let repeatable = job.history.may_repeat(repeat, self.now.into(), |_| true);
        if !matches!(verdict, Verdict::NoState | Verdict::Full) {
            job.failed.push(at);
        }
        let spent = job.attempts >= self.settings.max_attempts || self.now + ANSWER_MARGIN >= job.deadline;
        if !repeatable || spent || verdict == Verdict::Moot {
            self.finish(id, out);
        } else if job.held && !read && !gone {
            self.write(id, out);
        } else {
            self.wait_again(id, out);
        }
    }

    /// The final answer, and nothing stays held.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let repeat = self.settings.classes[job.ask.class.0].effect.repeat();
        let backoff = self.settings.max_backoff;
        if job.history.may_refuse(repeat, self.now.into(), backoff.unwrap_or_default().into()) {
            out.push(Action::Refuse { request: id, backoff });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id, out);
    }

    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.waiting.retain(|waiting| *waiting != id);
        if self.jobs.remove(&id).is_some_and(|job| job.held) {
            out.push(Action::Release(id));
        }
    }

    fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.at.is_none() {
            return self.forget(id, out);
        }
        if self.settings.may_cancel && job.stage != Stage::Streaming {
            job.cancel_attempt(id, out);
        }
        job.stage = Stage::Over;
    }

    // Time and reports.

    fn tick(&mut self, out: &mut Vec<Action>) {
        let held_up = self.ticked.replace(self.now).is_some_and(|last| self.now - last > TICK.times(HELD_UP));
        out.push(Action::Timer { timer: TICK_TIMER, after: TICK });
        if !self.jobs.is_empty() {
            let rate = self.popular.rate(self.secs(), (self.born.unwrap_or(self.now) - Time(0)).secs());
            let shares = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s);
            self.weight = limit::weight(rate, shares.sum(), self.settings.routers);
            // What came while this process stood still has not been read yet.
            if !held_up {
                self.find_silent_servers(out);
                self.find_silent(out);
            }
            self.turn_away(out);
            self.open_gate(true, out);
        }
    }

    /// Refuses waiting requests that can no longer be in time; early, so that nothing is spent on them.
    fn turn_away(&mut self, out: &mut Vec<Action>) {
        let usual = Span((self.pools[0].usual + self.pools[1].usual) as u64);
        let late = |id: &RequestId| {
            let job = &self.jobs[id];
            // What a long prompt's aim has more is for reading it, not for waiting.
            let class = &self.settings.classes[job.ask.class.0];
            let repeatable = job.history.may_repeat(class.effect.repeat(), self.now.into(), |_| true);
            let latest = job.arrived + (class.aim - usual).max(class.aim.times(LEAST_WAIT));
            self.now >= latest || self.now + ANSWER_MARGIN >= job.deadline || !repeatable
        };
        let late: Vec<_> = self.waiting.iter().copied().filter(late).collect();
        late.into_iter().for_each(|id| self.finish(id, out));
    }

    /// A read that begins is the time to ask the writers that may take it how full they are, longest unasked
    /// first: reports are fresh when the read ends, and probes are paid in proportion to own requests.
    fn probe(&mut self, reader: ServerId, out: &mut Vec<Action>) {
        if !self.settings.probed_reports {
            return;
        }
        let cell = self.servers.get(&reader).map(|s| s.member.cell);
        let far = |s: &Server| s.role == Role::Reader || Some(s.member.cell) != cell;
        let due = self.servers.iter().filter(|(_, s)| s.listed() && s.probe_at <= self.now);
        let mut due: Vec<_> = due.map(|(id, s)| (far(s), s.probe_at, mix(self.seed ^ id.0), *id)).collect();
        due.sort();
        for (.., id) in due.into_iter().take(PROBES) {
            if let Some(server) = self.servers.get_mut(&id) {
                server.probe_at = self.now + PROBE_EVERY;
                out.push(Action::Probe(id));
            }
        }
    }

    fn note_report(&mut self, at: ServerId, report: Option<Report>) {
        let now = self.secs();
        if let (Some(server), Some(report)) = (self.servers.get_mut(&at), report) {
            server.report.hear(now, report.memory_share);
        }
    }
}
