//! One play of a plan: the stand-ins and the routers, clients that ask, and the troubles in their time.

use crate::agent::Discovery;
use crate::class::Class;
use crate::client::{self, Ask, Resting, Takes};
use crate::configuration::configuration;
use crate::network::SilenceEnd;
use crate::plan::Plan;
use crate::router::{Router, StartError};
use crate::states::States;
use crate::story::{Book, Done, Seen};
use crate::trouble::{SystemCall, Trouble, What};
use crate::worker::{Manner, Mode, Role, Worker};
use fawnstream_faults::FaultKind;
use fawnstream_ledger::entry::{Outcome, Record};
use fawnstream_ledger::store::read_all;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// All has come to rest after this: connections that rest have ended, and so has what was held.
const REST: Duration = Duration::from_millis(4_500);
/// How often the harness looks how late it is.
const TICK: Duration = Duration::from_millis(10);
/// A series of signals that ends a router: what follows the first SIGTERM, and how far apart.
const SIGNALS: [(Duration, Signal); 2] =
    [(Duration::from_millis(40), Signal::HUP), (Duration::from_millis(40), Signal::TERM)];
/// Connections that fell silent for ever are in trouble to the end of any play.
const FOR_EVER: Duration = Duration::from_secs(3_600);
/// So many of a thousand: all.
const ALL: u32 = 1_000;
/// Halves of requests end before this byte.
const MOST_CLIENT_CUT: usize = 4_096;

/// Why a play could not begin.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// Sockets or files.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A router.
    #[error("{0}")]
    Start(#[from] StartError),
}

struct World {
    plan: Plan,
    book: Arc<Book>,
    workers: Vec<Arc<Worker>>,
    discovery: Arc<Discovery>,
    routers: Vec<Arc<Router>>,
    /// Where each router's agent listens.
    agents: Vec<SocketAddr>,
    leaving: AtomicBool,
    halves: AtomicBool,
    burst: AtomicBool,
}

/// Plays a plan with this program, its files in this folder; gives what was seen.
pub async fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Seen, WorldError> {
    let world = Arc::new(build(plan, program, folder).await?);
    let watched = tokio::spawn(watch_lateness(world.book.clone()));
    let mut starts = JoinSet::new();
    for router in &world.routers {
        let (router, world) = (router.clone(), world.clone());
        starts.spawn(async move { router.start(&world.configuration(router.number)).await });
    }
    while let Some(started) = starts.join_next().await {
        if let Ok(started) = started {
            started?;
        }
    }
    // Starting so many processes takes the machine a moment; nothing is judged until then.
    world.book.with(|seen| seen.lateness = Duration::ZERO);
    let born = Instant::now();
    let quiet = Duration::from_millis(plan.quiet_ms);
    let load = quiet + Duration::from_millis(plan.load_ms);
    let clients = tokio::spawn(world.clone().ask(born + load));
    let mut troubles = JoinSet::new();
    for trouble in plan.troubles.clone() {
        let world = world.clone();
        troubles.spawn(async move {
            tokio::time::sleep_until((born + quiet + Duration::from_millis(trouble.at_ms)).into()).await;
            world.trouble(&trouble).await;
        });
    }
    while troubles.join_next().await.is_some() {}
    let _ = clients.await;
    tokio::time::sleep(REST).await;
    world.end().await;
    watched.abort();
    Ok(world.book.take())
}

async fn build(plan: &Plan, program: &Path, folder: &Path) -> Result<World, WorldError> {
    let book = Arc::<Book>::default();
    let states = States::new(plan.release_reach, book.clone());
    let attempts = Arc::<AtomicU64>::default();
    let manner = Manner {
        first_token: plan.first_token_ms.map(Duration::from_millis),
        calls_fail_per_mille: plan.calls_fail_per_mille,
        answers_lost_per_mille: plan.answers_lost_per_mille,
        releases_fail_per_mille: plan.releases_fail_per_mille,
        end_noticed_within: Duration::from_millis(plan.end_noticed_within_ms),
    };
    let mut workers = Vec::new();
    for number in 0..plan.readers + plan.writers {
        let role = if number < plan.readers { Role::Reads } else { Role::Writes };
        workers.push(Worker::start(
            number,
            role,
            plan.seed,
            book.clone(),
            states.clone(),
            attempts.clone(),
            manner,
        )?);
    }
    let discovery = Discovery::new(workers.clone(), book.clone());
    let (mut routers, mut agents) = (Vec::new(), Vec::new());
    for number in 0..plan.routers {
        agents.push(discovery.agent(number).await?);
        let seed = plan.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        routers.push(Router::new(number, program, folder, seed, book.clone())?);
    }
    let (leaving, halves, burst) = Default::default();
    Ok(World { plan: plan.clone(), book, workers, discovery, routers, agents, leaving, halves, burst })
}

async fn watch_lateness(book: Arc<Book>) {
    loop {
        let due = Instant::now() + TICK;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed();
        book.with(|seen| seen.lateness = seen.lateness.max(late));
    }
}

impl World {
    /// A router's configuration now: it knows the list that its agent has.
    fn configuration(&self, router: usize) -> String {
        let (plan, known) = (&self.plan, self.discovery.known());
        configuration(router, plan, self.agents[router], &known).to_string()
    }

    /// Clients ask until then, each on a task of its own.
    async fn ask(self: Arc<Self>, until: Instant) {
        let mut chance = Pcg64::seed_from_u64(self.plan.seed ^ 0xc11e);
        let resting = Resting::default();
        let mut clients = JoinSet::new();
        let mut number = 0;
        while Instant::now() < until {
            let burst = if self.burst.load(Ordering::Relaxed) { 2.0 } else { 1.0 };
            let wait = -chance.random_range(f64::MIN_POSITIVE..1.0).ln() / (self.plan.requests_per_s * burst);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
            number += 1;
            let Some(ask) = self.draw(&mut chance, number) else { continue };
            if self.halves.load(Ordering::Relaxed) && chance.random_range(0..3) == 0 {
                let cut = chance.random_range(0..MOST_CLIENT_CUT);
                clients.spawn(client::half(ask.router, ask.at, ask, cut, self.book.clone()));
            } else {
                clients.spawn(client::ask(ask, self.book.clone(), resting.clone()));
            }
        }
        while clients.join_next().await.is_some() {}
    }

    /// A client's request, at a router that takes clients now.
    fn draw(&self, chance: &mut Pcg64, number: u64) -> Option<Ask> {
        let router = chance.random_range(0..self.routers.len());
        let (at, takes) = self.routers[router].takes()?;
        let class = match chance.random_range(0..4) {
            0 => Class::SideEffect,
            1 => Class::Keyed,
            _ => Class::Pure,
        };
        let leave_part = if self.leaving.load(Ordering::Relaxed) { 0.7 } else { 0.06 };
        let leaves = (chance.random_range(0.0..1.0) < leave_part)
            .then(|| Duration::from_millis(chance.random_range(0..300)));
        let pieces =
            (chance.random_range(0..8) == 0).then(|| Duration::from_millis(chance.random_range(1..120)));
        Some(Ask {
            id: self.plan.seed << 32 | number,
            session: chance.random_range(0..4_096),
            class,
            router,
            at,
            budget: self.plan.budget(),
            leaves,
            takes: if takes == Takes::Kept && chance.random_range(0..2) == 0 { Takes::New } else { takes },
            pieces,
        })
    }

    /// One trouble, from its beginning to its end.
    async fn trouble(&self, trouble: &Trouble) {
        let time = Duration::from_millis(trouble.for_ms);
        let begun = Instant::now();
        match trouble.what {
            What::RouterStops { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &[]).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            What::RouterSignals { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &SIGNALS).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            What::RouterKilled { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].kill().await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            What::RouterReloads { router } => self.routers[router].reload(),
            What::RouterFrozen { router } => self.routers[router].freeze(time).await,
            What::WorkerHangs { worker } => self.mode(worker, Mode::Hangs, time).await,
            What::WorkerSilent { worker } => self.silence(worker, ALL, time, SilenceEnd::Reset).await,
            What::WorkerStopped { worker } => self.workers[worker].network.stop_process(time).await,
            What::ConnectionsSilent { worker, per_mille } => {
                self.silence(worker, per_mille, time, SilenceEnd::Never).await;
            }
            What::RoleSilent { .. } => {
                let mut silences = JoinSet::new();
                for worker in self.plan.workers_of(&trouble.what) {
                    let network = self.workers[worker].network.clone();
                    silences.spawn(async move { network.fall_silent(ALL, time, SilenceEnd::Reset).await });
                }
                while silences.join_next().await.is_some() {}
            }
            What::WorkerResets { worker } => self.workers[worker].network.reset(),
            What::WorkerCrashes { worker } => {
                self.mode(worker, Mode::Dead, time).await;
                // Discovery tells of the new process.
                self.discovery.change(|_| {});
            }
            What::WorkerDrains { worker } => {
                self.discovery.change(|list| list.leaving.push(worker));
                tokio::time::sleep(time).await;
                self.discovery.change(|list| list.leaving.retain(|known| *known != worker));
            }
            What::WorkerTakes { worker } => self.mode(worker, Mode::Takes, time).await,
            What::RoleTakes { .. } => {
                let workers = self.plan.workers_of(&trouble.what);
                workers.iter().for_each(|worker| self.workers[*worker].set(Mode::Takes));
                tokio::time::sleep(time).await;
                workers.iter().for_each(|worker| self.workers[*worker].set(Mode::Well));
            }
            What::WorkerRefusesLate { worker } => self.mode(worker, Mode::RefusesLate, time).await,
            What::WorkerResetsLate { worker } => self.mode(worker, Mode::ResetsLate, time).await,
            What::WorkerRejects { worker } => self.mode(worker, Mode::Rejects, time).await,
            What::WorkerSpoils { worker } if trouble.for_ms.is_multiple_of(2) => {
                self.mode(worker, Mode::Spoils, time).await
            }
            What::WorkerSpoils { worker } => self.mode(worker, Mode::Halves, time).await,
            What::WorkerSlow { worker } => self.mode(worker, Mode::Slow, time).await,
            What::WorkerForgets { worker } => self.mode(worker, Mode::Forgets, time).await,
            What::DiscoverySilent => {
                self.discovery.silence(true);
                tokio::time::sleep(time).await;
                self.discovery.silence(false);
            }
            What::DiscoveryResets => self.discovery.reset(),
            What::SystemCalls { router, call, per_mille } => {
                self.calls(router, &[calls(call)], per_mille, time).await;
            }
            What::DiskFails { router } => {
                self.calls(router, &[FaultKind::Write, FaultKind::Sync], 700, time).await
            }
            What::WallClock { router, step_ms } => {
                let _ = self.routers[router].control.step_wall_clock(step_ms);
            }
            What::ClientsLeave => flag(&self.leaving, time).await,
            What::ClientsHalf => flag(&self.halves, time).await,
            What::Burst => flag(&self.burst, time).await,
        }
        let lasting = matches!(trouble.what, What::ConnectionsSilent { .. });
        let ended = if lasting { begun + FOR_EVER } else { Instant::now() };
        for worker in self.plan.workers_of(&trouble.what) {
            let span = (begun, ended);
            self.book.with(|seen| seen.worker_troubles.entry(worker).or_default().push(span));
        }
    }

    async fn mode(&self, worker: usize, mode: Mode, time: Duration) {
        self.workers[worker].set(mode);
        tokio::time::sleep(time).await;
        self.workers[worker].set(Mode::Well);
    }

    async fn silence(&self, worker: usize, per_mille: u32, time: Duration, end: SilenceEnd) {
        self.workers[worker].network.fall_silent(per_mille, time, end).await;
    }

    async fn calls(&self, router: usize, calls: &[FaultKind], per_mille: u32, time: Duration) {
        calls.iter().for_each(|call| self.routers[router].fail(*call, per_mille));
        tokio::time::sleep(time).await;
        calls.iter().for_each(|call| self.routers[router].fail(*call, 0));
    }

    /// What is left when all has come to rest; then the routers are told to end.
    async fn end(&self) {
        for router in &self.routers {
            if let Some(code) = router.died() {
                self.book.router(router.number, Done::Ended(code));
            }
            if let Some(rest) = router.rest().await {
                self.book.with(|seen| seen.rests.push(rest));
            }
        }
        let mut ends = JoinSet::new();
        for router in &self.routers {
            let router = router.clone();
            let kill_after = self.plan.kill_after();
            ends.spawn(async move { router.stop(kill_after, &[]).await });
        }
        while ends.join_next().await.is_some() {}
        for worker in &self.workers {
            let swallowed = worker.network.swallowed();
            self.book.with(|seen| seen.swallowed.insert(worker.number, swallowed));
        }
        for router in &self.routers {
            let alarms = router.alarms();
            self.book.with(|seen| seen.alarms.extend(alarms));
            self.read_ledger(router);
        }
    }

    /// A ledger's entries; of a router that was killed nothing is wanted.
    fn read_ledger(&self, router: &Router) {
        if router.was_killed() {
            return;
        }
        let mut entries = Vec::new();
        let hear = |record: Record| {
            if let Record::Entry(entry) = record {
                let written = (entry.outcome == Outcome::Served).then_some(entry.tokens.written);
                entries.push((entry.label, written));
            }
        };
        let read = read_all::<Record>(&router.usage(), "usage", hear);
        let number = router.number;
        self.book.with(|seen| {
            if let Err(error) = read {
                seen.alarms.push(format!("n{number}: ledger: {error}"));
            }
            seen.ledgers.insert(number, entries);
            for worker in &self.workers {
                for (id, tokens) in worker.written() {
                    seen.written.insert(id, tokens);
                }
            }
        });
    }
}

async fn flag(flag: &AtomicBool, time: Duration) {
    flag.store(true, Ordering::Relaxed);
    tokio::time::sleep(time).await;
    flag.store(false, Ordering::Relaxed);
}

fn calls(call: SystemCall) -> FaultKind {
    match call {
        SystemCall::Accept => FaultKind::Accept,
        SystemCall::Connect => FaultKind::Connect,
        SystemCall::Socket => FaultKind::Socket,
        SystemCall::Wait => FaultKind::Wait,
        SystemCall::Short => FaultKind::Short,
        SystemCall::Exhausted => FaultKind::Exhausted,
    }
}
