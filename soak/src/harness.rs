//! One play of a plan: the stand-ins and the routers, clients that ask, and the faults in their time.

use crate::class::Class;
use crate::client::{self, ClientRequest, ConnectionChoice, IdleConnections};
use crate::configuration::configuration;
use crate::discovery::Discovery;
use crate::fault::{Fault, FaultAction, SystemCall};
use crate::leases::Leases;
use crate::network::SilenceEnd;
use crate::plan::Plan;
use crate::router::{Router, StartError};
use crate::trace::{Observations, Recorder, RouterEvent};
use crate::worker::{CallSettings, Mode, Role, Worker};
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
/// Connections that fell silent for ever are in fault to the end of any play.
const FOR_EVER: Duration = Duration::from_secs(3_600);
/// So many of a thousand: all.
const ALL: u32 = 1_000;
/// Halves of requests end before this byte.
const MOST_CLIENT_CUT: usize = 4_096;

/// Why a play could not begin.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// Sockets or files.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A router.
    #[error("{0}")]
    Start(#[from] StartError),
}

struct Harness {
    plan: Plan,
    recorder: Arc<Recorder>,
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
pub async fn run_plan(plan: &Plan, program: &Path, folder: &Path) -> Result<Observations, HarnessError> {
    let world = Arc::new(build(plan, program, folder).await?);
    let watched = tokio::spawn(watch_lateness(world.recorder.clone()));
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
    world.recorder.with(|seen| seen.lateness = Duration::ZERO);
    let born = Instant::now();
    let quiet = Duration::from_millis(plan.quiet_ms);
    let load = quiet + Duration::from_millis(plan.load_ms);
    let clients = tokio::spawn(world.clone().ask(born + load));
    let mut faults = JoinSet::new();
    for fault in plan.faults.clone() {
        let world = world.clone();
        faults.spawn(async move {
            tokio::time::sleep_until((born + quiet + Duration::from_millis(fault.at_ms)).into()).await;
            world.fault(&fault).await;
        });
    }
    while faults.join_next().await.is_some() {}
    let _ = clients.await;
    tokio::time::sleep(REST).await;
    world.end().await;
    watched.abort();
    Ok(world.recorder.take())
}

async fn build(plan: &Plan, program: &Path, folder: &Path) -> Result<Harness, HarnessError> {
    let recorder = Arc::<Recorder>::default();
    let states = Leases::new(plan.release_reach, recorder.clone());
    let attempts = Arc::<AtomicU64>::default();
    let settings = CallSettings {
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
            recorder.clone(),
            states.clone(),
            attempts.clone(),
            settings,
        )?);
    }
    let discovery = Discovery::new(workers.clone(), recorder.clone());
    let (mut routers, mut agents) = (Vec::new(), Vec::new());
    for number in 0..plan.routers {
        agents.push(discovery.agent(number).await?);
        let seed = plan.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        routers.push(Router::new(number, program, folder, seed, recorder.clone())?);
    }
    let (leaving, halves, burst) = Default::default();
    Ok(Harness { plan: plan.clone(), recorder, workers, discovery, routers, agents, leaving, halves, burst })
}

async fn watch_lateness(recorder: Arc<Recorder>) {
    loop {
        let due = Instant::now() + TICK;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed();
        recorder.with(|seen| seen.lateness = seen.lateness.max(late));
    }
}

impl Harness {
    /// A router's configuration now: it knows the list that its agent has.
    fn configuration(&self, router: usize) -> String {
        let (plan, known) = (&self.plan, self.discovery.known());
        configuration(router, plan, self.agents[router], &known).to_string()
    }

    /// Clients ask until then, each on a task of its own.
    async fn ask(self: Arc<Self>, until: Instant) {
        let mut rng = Pcg64::seed_from_u64(self.plan.seed ^ 0xc11e);
        let resting = IdleConnections::default();
        let mut clients = JoinSet::new();
        let mut number = 0;
        while Instant::now() < until {
            let burst = if self.burst.load(Ordering::Relaxed) { 2.0 } else { 1.0 };
            let wait = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (self.plan.requests_per_s * burst);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
            number += 1;
            let Some(ask) = self.draw(&mut rng, number) else { continue };
            if self.halves.load(Ordering::Relaxed) && rng.random_range(0..3) == 0 {
                let cut = rng.random_range(0..MOST_CLIENT_CUT);
                clients.spawn(client::half(ask.router, ask.at, ask, cut, self.recorder.clone()));
            } else {
                clients.spawn(client::ask(ask, self.recorder.clone(), resting.clone()));
            }
        }
        while clients.join_next().await.is_some() {}
    }

    /// A client's request, at a router that takes clients now.
    fn draw(&self, rng: &mut Pcg64, number: u64) -> Option<ClientRequest> {
        let router = rng.random_range(0..self.routers.len());
        let (at, takes) = self.routers[router].takes()?;
        let class = match rng.random_range(0..4) {
            0 => Class::SideEffect,
            1 => Class::Keyed,
            _ => Class::Pure,
        };
        let leave_part = if self.leaving.load(Ordering::Relaxed) { 0.7 } else { 0.06 };
        let leaves = (rng.random_range(0.0..1.0) < leave_part)
            .then(|| Duration::from_millis(rng.random_range(0..300)));
        let pieces = (rng.random_range(0..8) == 0).then(|| Duration::from_millis(rng.random_range(1..120)));
        Some(ClientRequest {
            id: self.plan.seed << 32 | number,
            session: rng.random_range(0..4_096),
            class,
            router,
            at,
            budget: self.plan.budget(),
            leaves,
            takes: if takes == ConnectionChoice::Kept && rng.random_range(0..2) == 0 {
                ConnectionChoice::New
            } else {
                takes
            },
            pieces,
        })
    }

    /// One fault, from its beginning to its end.
    async fn fault(&self, fault: &Fault) {
        let time = Duration::from_millis(fault.for_ms);
        let begun = Instant::now();
        match fault.action {
            FaultAction::RouterStops { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &[]).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterSignals { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &SIGNALS).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterKilled { router } => {
                let _turn = self.routers[router].turn.lock().await;
                self.routers[router].kill().await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterReloads { router } => self.routers[router].reload(),
            FaultAction::RouterFrozen { router } => self.routers[router].freeze(time).await,
            FaultAction::WorkerHangs { worker } => self.mode(worker, Mode::Hangs, time).await,
            FaultAction::WorkerSilent { worker } => self.silence(worker, ALL, time, SilenceEnd::Reset).await,
            FaultAction::WorkerStopped { worker } => self.workers[worker].network.stop_process(time).await,
            FaultAction::ConnectionsSilent { worker, per_mille } => {
                self.silence(worker, per_mille, time, SilenceEnd::Never).await;
            }
            FaultAction::RoleSilent { .. } => {
                let mut silences = JoinSet::new();
                for worker in self.plan.workers_of(&fault.action) {
                    let network = self.workers[worker].network.clone();
                    silences.spawn(async move { network.fall_silent(ALL, time, SilenceEnd::Reset).await });
                }
                while silences.join_next().await.is_some() {}
            }
            FaultAction::WorkerResets { worker } => self.workers[worker].network.reset(),
            FaultAction::WorkerCrashes { worker } => {
                self.mode(worker, Mode::Dead, time).await;
                // Discovery tells of the new process.
                self.discovery.change(|_| {});
            }
            FaultAction::WorkerDrains { worker } => {
                self.discovery.change(|list| list.leaving.push(worker));
                tokio::time::sleep(time).await;
                self.discovery.change(|list| list.leaving.retain(|known| *known != worker));
            }
            FaultAction::WorkerTakes { worker } => self.mode(worker, Mode::Takes, time).await,
            FaultAction::RoleTakes { .. } => {
                let workers = self.plan.workers_of(&fault.action);
                workers.iter().for_each(|worker| self.workers[*worker].set(Mode::Takes));
                tokio::time::sleep(time).await;
                workers.iter().for_each(|worker| self.workers[*worker].set(Mode::Well));
            }
            FaultAction::WorkerRefusesLate { worker } => self.mode(worker, Mode::RefusesLate, time).await,
            FaultAction::WorkerResetsLate { worker } => self.mode(worker, Mode::ResetsLate, time).await,
            FaultAction::WorkerRejects { worker } => self.mode(worker, Mode::Rejects, time).await,
            FaultAction::WorkerSpoils { worker } if fault.for_ms.is_multiple_of(2) => {
                self.mode(worker, Mode::Spoils, time).await
            }
            FaultAction::WorkerSpoils { worker } => self.mode(worker, Mode::Halves, time).await,
            FaultAction::WorkerSlow { worker } => self.mode(worker, Mode::Slow, time).await,
            FaultAction::WorkerForgets { worker } => self.mode(worker, Mode::Forgets, time).await,
            FaultAction::DiscoverySilent => {
                self.discovery.silence(true);
                tokio::time::sleep(time).await;
                self.discovery.silence(false);
            }
            FaultAction::DiscoveryResets => self.discovery.reset(),
            FaultAction::SystemCalls { router, call, per_mille } => {
                self.calls(router, &[calls(call)], per_mille, time).await;
            }
            FaultAction::DiskFails { router } => {
                self.calls(router, &[FaultKind::Write, FaultKind::Sync], 700, time).await
            }
            FaultAction::WallClock { router, step_ms } => {
                let _ = self.routers[router].control.step_wall_clock(step_ms);
            }
            FaultAction::ClientsLeave => flag(&self.leaving, time).await,
            FaultAction::ClientsHalf => flag(&self.halves, time).await,
            FaultAction::Burst => flag(&self.burst, time).await,
        }
        let lasting = matches!(fault.action, FaultAction::ConnectionsSilent { .. });
        let ended = if lasting { begun + FOR_EVER } else { Instant::now() };
        for worker in self.plan.workers_of(&fault.action) {
            let span = (begun, ended);
            self.recorder.with(|seen| seen.worker_faults.entry(worker).or_default().push(span));
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
                self.recorder.record_router(router.number, RouterEvent::Ended(code));
            }
            if let Some(rest) = router.rest().await {
                self.recorder.with(|seen| seen.idle_routers.push(rest));
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
            let silenced_calls = worker.network.silenced_calls();
            self.recorder.with(|seen| seen.silenced_calls.insert(worker.number, silenced_calls));
        }
        for router in &self.routers {
            let alarms = router.alarms();
            self.recorder.with(|seen| seen.log_alarms.extend(alarms));
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
        self.recorder.with(|seen| {
            if let Err(error) = read {
                seen.log_alarms.push(format!("n{number}: ledger: {error}"));
            }
            seen.ledgers.insert(number, entries);
            for worker in &self.workers {
                for (id, tokens) in worker.written() {
                    seen.written_tokens.insert(id, tokens);
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
