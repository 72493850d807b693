//! Runs a plan: stand-in servers, routers and clients, and the faults at their times.

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

/// Time to wait after the load: idle connections have ended by then, and leases too.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);
/// Interval at which the harness measures its own lateness.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// Signals sent after the first SIGTERM of [`FaultAction::RouterSignals`], each after a pause.
const SIGNALS: [(Duration, Signal); 2] =
    [(Duration::from_millis(40), Signal::HUP), (Duration::from_millis(40), Signal::TERM)];
/// Connections silenced for good count as faulty to the end of any run.
const PERMANENT: Duration = Duration::from_secs(3_600);
/// All connections, per mille.
const ALL_PER_MILLE: u32 = 1_000;
/// Partial requests end before this byte.
const MAX_PART_BYTES: usize = 4_096;

/// Why a run could not begin.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A socket or file error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A router could not be started.
    #[error("{0}")]
    Start(#[from] StartError),
}

struct Harness {
    plan: Plan,
    recorder: Arc<Recorder>,
    workers: Vec<Arc<Worker>>,
    discovery: Arc<Discovery>,
    routers: Vec<Arc<Router>>,
    /// Addresses of discovery's agents, by router.
    agents: Vec<SocketAddr>,
    clients_leave: AtomicBool,
    partial_requests: AtomicBool,
    burst: AtomicBool,
}

/// Runs a plan with this router program and keeps its files in `folder`. Returns what was observed.
pub async fn run_plan(plan: &Plan, program: &Path, folder: &Path) -> Result<Observations, HarnessError> {
    let harness = Arc::new(build(plan, program, folder).await?);
    let lateness_watch = tokio::spawn(watch_lateness(harness.recorder.clone()));
    let mut starts = JoinSet::new();
    for router in &harness.routers {
        let (router, harness) = (router.clone(), harness.clone());
        starts.spawn(async move { router.start(&harness.configuration(router.number)).await });
    }
    while let Some(started) = starts.join_next().await {
        if let Ok(started) = started {
            started?;
        }
    }
    // Starting many processes delays the harness; its lateness counts only from here.
    harness.recorder.with(|seen| seen.lateness = Duration::ZERO);
    let start = Instant::now();
    let quiet = Duration::from_millis(plan.quiet_ms);
    let load = quiet + Duration::from_millis(plan.load_ms);
    let clients = tokio::spawn(harness.clone().send_requests(start + load));
    let mut faults = JoinSet::new();
    for fault in plan.faults.clone() {
        let harness = harness.clone();
        faults.spawn(async move {
            tokio::time::sleep_until((start + quiet + Duration::from_millis(fault.at_ms)).into()).await;
            harness.inject(&fault).await;
        });
    }
    while faults.join_next().await.is_some() {}
    let _ = clients.await;
    tokio::time::sleep(SETTLE_TIME).await;
    harness.finish().await;
    lateness_watch.abort();
    Ok(harness.recorder.take())
}

async fn build(plan: &Plan, program: &Path, folder: &Path) -> Result<Harness, HarnessError> {
    let recorder = Arc::<Recorder>::default();
    let leases = Leases::new(plan.release_reach, recorder.clone());
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
        let role = if number < plan.readers { Role::Reader } else { Role::Writer };
        workers.push(Worker::start(
            number,
            role,
            plan.seed,
            recorder.clone(),
            leases.clone(),
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
    let (clients_leave, partial_requests, burst) = Default::default();
    Ok(Harness {
        plan: plan.clone(),
        recorder,
        workers,
        discovery,
        routers,
        agents,
        clients_leave,
        partial_requests,
        burst,
    })
}

async fn watch_lateness(recorder: Arc<Recorder>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed();
        recorder.with(|seen| seen.lateness = seen.lateness.max(late));
    }
}

impl Harness {
    /// A router's current configuration, with the list that its agent has.
    fn configuration(&self, router: usize) -> String {
        let (plan, known) = (&self.plan, self.discovery.known());
        configuration(router, plan, self.agents[router], &known).to_string()
    }

    /// Sends clients' requests until then, each on its own task.
    async fn send_requests(self: Arc<Self>, until: Instant) {
        let mut rng = Pcg64::seed_from_u64(self.plan.seed ^ 0xc11e);
        let idle = IdleConnections::default();
        let mut clients = JoinSet::new();
        let mut number = 0;
        while Instant::now() < until {
            let burst = if self.burst.load(Ordering::Relaxed) { 2.0 } else { 1.0 };
            let wait = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (self.plan.requests_per_s * burst);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
            number += 1;
            let Some(request) = self.draw_request(&mut rng, number) else { continue };
            if self.partial_requests.load(Ordering::Relaxed) && rng.random_range(0..3) == 0 {
                let cut = rng.random_range(0..MAX_PART_BYTES);
                clients.spawn(client::send_part(
                    request.router,
                    request.address,
                    request,
                    cut,
                    self.recorder.clone(),
                ));
            } else {
                clients.spawn(client::send_request(request, self.recorder.clone(), idle.clone()));
            }
        }
        while clients.join_next().await.is_some() {}
    }

    /// Draws a client's request to a random router; none if that router accepts no clients now.
    fn draw_request(&self, rng: &mut Pcg64, number: u64) -> Option<ClientRequest> {
        let router = rng.random_range(0..self.routers.len());
        let (address, choice) = self.routers[router].client_access()?;
        let class = match rng.random_range(0..4) {
            0 => Class::SideEffect,
            1 => Class::Keyed,
            _ => Class::Pure,
        };
        let leave_share = if self.clients_leave.load(Ordering::Relaxed) { 0.7 } else { 0.06 };
        let leaves_after = (rng.random_range(0.0..1.0) < leave_share)
            .then(|| Duration::from_millis(rng.random_range(0..300)));
        let pause = (rng.random_range(0..8) == 0).then(|| Duration::from_millis(rng.random_range(1..120)));
        Some(ClientRequest {
            id: self.plan.seed << 32 | number,
            session: rng.random_range(0..4_096),
            class,
            router,
            address,
            budget: self.plan.budget(),
            leaves_after,
            connection: if choice == ConnectionChoice::Idle && rng.random_range(0..2) == 0 {
                ConnectionChoice::New
            } else {
                choice
            },
            pause,
        })
    }

    /// Applies one fault from its start to its end.
    async fn inject(&self, fault: &Fault) {
        let time = Duration::from_millis(fault.for_ms);
        let begun = Instant::now();
        match fault.action {
            FaultAction::RouterStops { router } => {
                let _lock = self.routers[router].restart_lock.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &[]).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterSignals { router } => {
                let _lock = self.routers[router].restart_lock.lock().await;
                self.routers[router].stop(self.plan.kill_after(), &SIGNALS).await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterKilled { router } => {
                let _lock = self.routers[router].restart_lock.lock().await;
                self.routers[router].kill().await;
                let _ = self.routers[router].start(&self.configuration(router)).await;
            }
            FaultAction::RouterReloads { router } => self.routers[router].reload(),
            FaultAction::RouterFrozen { router } => self.routers[router].freeze(time).await,
            FaultAction::WorkerHangs { worker } => self.set_mode_for(worker, Mode::Hangs, time).await,
            FaultAction::WorkerSilent { worker } => {
                self.silence_connections(worker, ALL_PER_MILLE, time, SilenceEnd::Reset).await
            }
            FaultAction::WorkerStopped { worker } => self.workers[worker].network.stop_process(time).await,
            FaultAction::ConnectionsSilent { worker, per_mille } => {
                self.silence_connections(worker, per_mille, time, SilenceEnd::StaySilent).await;
            }
            FaultAction::RoleSilent { .. } => {
                let mut silences = JoinSet::new();
                for worker in self.plan.workers_of(&fault.action) {
                    let network = self.workers[worker].network.clone();
                    silences.spawn(async move {
                        network.fall_silent(ALL_PER_MILLE, time, SilenceEnd::Reset).await
                    });
                }
                while silences.join_next().await.is_some() {}
            }
            FaultAction::WorkerResets { worker } => self.workers[worker].network.reset(),
            FaultAction::WorkerCrashes { worker } => {
                self.set_mode_for(worker, Mode::Dead, time).await;
                // Discovery announces the new process.
                self.discovery.change(|_| {});
            }
            FaultAction::WorkerDrains { worker } => {
                self.discovery.change(|list| list.leaving.push(worker));
                tokio::time::sleep(time).await;
                self.discovery.change(|list| list.leaving.retain(|known| *known != worker));
            }
            FaultAction::WorkerTakes { worker } => self.set_mode_for(worker, Mode::NeverAnswers, time).await,
            FaultAction::RoleTakes { .. } => {
                let workers = self.plan.workers_of(&fault.action);
                workers.iter().for_each(|worker| self.workers[*worker].set_mode(Mode::NeverAnswers));
                tokio::time::sleep(time).await;
                workers.iter().for_each(|worker| self.workers[*worker].set_mode(Mode::Healthy));
            }
            FaultAction::WorkerRefusesLate { worker } => {
                self.set_mode_for(worker, Mode::RejectsLate, time).await
            }
            FaultAction::WorkerResetsLate { worker } => {
                self.set_mode_for(worker, Mode::ResetsLate, time).await
            }
            FaultAction::WorkerRejects { worker } => self.set_mode_for(worker, Mode::Rejects, time).await,
            FaultAction::WorkerSpoils { worker } if fault.for_ms.is_multiple_of(2) => {
                self.set_mode_for(worker, Mode::SendsGarbage, time).await
            }
            FaultAction::WorkerSpoils { worker } => self.set_mode_for(worker, Mode::BreaksOff, time).await,
            FaultAction::WorkerSlow { worker } => self.set_mode_for(worker, Mode::Slow, time).await,
            FaultAction::WorkerForgets { worker } => self.set_mode_for(worker, Mode::ClosesIdle, time).await,
            FaultAction::DiscoverySilent => {
                self.discovery.set_silent(true);
                tokio::time::sleep(time).await;
                self.discovery.set_silent(false);
            }
            FaultAction::DiscoveryResets => self.discovery.reset(),
            FaultAction::SystemCalls { router, call, per_mille } => {
                self.fail_calls(router, &[fault_kind(call)], per_mille, time).await;
            }
            FaultAction::DiskFails { router } => {
                self.fail_calls(router, &[FaultKind::Write, FaultKind::Sync], 700, time).await
            }
            FaultAction::WallClock { router, step_ms } => {
                let _ = self.routers[router].control.step_wall_clock(step_ms);
            }
            FaultAction::ClientsLeave => set_flag_for(&self.clients_leave, time).await,
            FaultAction::ClientsHalf => set_flag_for(&self.partial_requests, time).await,
            FaultAction::Burst => set_flag_for(&self.burst, time).await,
        }
        let permanent = matches!(fault.action, FaultAction::ConnectionsSilent { .. });
        let ended = if permanent { begun + PERMANENT } else { Instant::now() };
        for worker in self.plan.workers_of(&fault.action) {
            let span = (begun, ended);
            self.recorder.with(|seen| seen.worker_faults.entry(worker).or_default().push(span));
        }
    }

    async fn set_mode_for(&self, worker: usize, mode: Mode, time: Duration) {
        self.workers[worker].set_mode(mode);
        tokio::time::sleep(time).await;
        self.workers[worker].set_mode(Mode::Healthy);
    }

    async fn silence_connections(&self, worker: usize, per_mille: u32, time: Duration, end: SilenceEnd) {
        self.workers[worker].network.fall_silent(per_mille, time, end).await;
    }

    async fn fail_calls(&self, router: usize, calls: &[FaultKind], per_mille: u32, time: Duration) {
        calls.iter().for_each(|call| self.routers[router].set_fault_rate(*call, per_mille));
        tokio::time::sleep(time).await;
        calls.iter().for_each(|call| self.routers[router].set_fault_rate(*call, 0));
    }

    /// Collects the routers' figures, stops the routers, and reads logs and ledgers.
    async fn finish(&self) {
        for router in &self.routers {
            if let Some(code) = router.exit_code() {
                self.recorder.record_router(router.number, RouterEvent::Exited(code));
            }
            if let Some(idle) = router.idle_figures().await {
                self.recorder.with(|seen| seen.idle_routers.push(idle));
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

    /// Reads a router's ledger. The ledger of a killed router may lack entries and is skipped.
    fn read_ledger(&self, router: &Router) {
        if router.was_killed() {
            return;
        }
        let mut entries = Vec::new();
        let collect = |record: Record| {
            if let Record::Entry(entry) = record {
                let written = (entry.outcome == Outcome::Served).then_some(entry.tokens.written);
                entries.push((entry.label, written));
            }
        };
        let read = read_all::<Record>(&router.ledger_folder(), "usage", collect);
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

async fn set_flag_for(flag: &AtomicBool, time: Duration) {
    flag.store(true, Ordering::Relaxed);
    tokio::time::sleep(time).await;
    flag.store(false, Ordering::Relaxed);
}

fn fault_kind(call: SystemCall) -> FaultKind {
    match call {
        SystemCall::Accept => FaultKind::Accept,
        SystemCall::Connect => FaultKind::Connect,
        SystemCall::Socket => FaultKind::Socket,
        SystemCall::Wait => FaultKind::Wait,
        SystemCall::Short => FaultKind::Short,
        SystemCall::Exhausted => FaultKind::Exhausted,
    }
}
