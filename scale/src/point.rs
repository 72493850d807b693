//! Runs one point: starts workers, discovery and routers, waits for the warm-up, measures, and stops everything.

use crate::changes::{ChangeTracker, Spread};
use crate::clients::{Answers, Clients};
use crate::discovery::{Discovery, Endpoint, Member, Phase};
use crate::faults::{self, Cluster};
use crate::hollow::{HollowError, HollowRouters};
use crate::layout::{Placement, placements};
use crate::measure::{MeasureError, Sample, sample};
use crate::plan::{Conditions, Fault, Size};
use crate::process::{ProcessError, RouterProcess};
use crate::settings::{router_config, zone_name};
use crate::traffic::TrafficCounts;
use crate::worker::{Timing, Worker, WorkerCounters};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Threads over which hollow routers are spread.
const HOLLOW_THREADS: usize = 3;
/// Time after which a drained worker takes requests again.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Wait after the measurement, in which the last list changes reach all routers.
const LAST_CHANGES_WAIT: Duration = Duration::from_secs(4);

/// Why a point could not be run.
#[derive(Debug, thiserror::Error)]
pub enum PointError {
    /// A folder or a socket cannot be created.
    #[error("{what}: {error}")]
    Io {
        /// The step that failed.
        what: &'static str,
        /// The system's error.
        error: std::io::Error,
    },
    /// A router process failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Hollow routers cannot start.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A router could not be measured.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// What one real router used during the measurement: means over the real routers, except where noted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// CPU time, in percent of a core.
    pub cpu_percent: f64,
    /// CPU time spent on routing decisions, in percent of a core.
    pub decision_cpu_percent: f64,
    /// Time of one decision, in microseconds.
    pub decision_us: f64,
    /// Decisions per second.
    pub decisions_per_s: f64,
    /// Attempts sent per second.
    pub attempts_per_s: f64,
    /// Peak memory in MB; the maximum over the real routers.
    pub peak_memory_mb: f64,
    /// Open descriptors at the end; the maximum over the real routers.
    pub descriptors: f64,
    /// Bytes per second to and from discovery.
    pub discovery_bytes_per_s: f64,
    /// Messages per second to and from discovery.
    pub discovery_messages_per_s: f64,
}

impl Figures {
    /// All figures, each with its name.
    pub fn named(&self) -> [(&'static str, f64); 9] {
        [
            ("cpu_percent", self.cpu_percent),
            ("decision_cpu_percent", self.decision_cpu_percent),
            ("decision_us", self.decision_us),
            ("decisions_per_s", self.decisions_per_s),
            ("attempts_per_s", self.attempts_per_s),
            ("peak_memory_mb", self.peak_memory_mb),
            ("descriptors", self.descriptors),
            ("discovery_bytes_per_s", self.discovery_bytes_per_s),
            ("discovery_messages_per_s", self.discovery_messages_per_s),
        ]
    }
}

/// What was measured at one point.
#[derive(Clone, Debug, Serialize)]
pub struct PointResult {
    /// Deployment size.
    pub size: Size,
    /// Length of the measurement, in seconds.
    pub seconds: f64,
    /// What the real routers used.
    pub figures: Figures,
    /// How list changes reached all routers.
    pub spread: Spread,
    /// Requests to real routers: served, refused and failed.
    pub answers: [u64; 3],
    /// Requests to hollow routers: served and not served.
    pub hollow_answers: [u64; 2],
    /// Open connections of all workers at the end.
    pub worker_connections: u64,
    /// Releases answered by workers.
    pub releases: u64,
    /// Bytes per second over all worker connections.
    pub worker_bytes_per_s: f64,
}

/// Runs points; holds what all points of a run share.
pub struct PointRunner<'a> {
    /// The router program; without it this program runs as the router.
    pub program: Option<PathBuf>,
    /// Conditions of all points.
    pub conditions: &'a Conditions,
    /// Faults during each point.
    pub faults: &'a [Fault],
}

/// Workers, discovery and hollow routers of one point, to which the real routers connect.
struct TestBed {
    cluster: Arc<Cluster>,
    worker_counters: Arc<WorkerCounters>,
    /// Discovery endpoints, one for each real router: each counts the traffic of its router.
    endpoints: Vec<Endpoint>,
    hollow: HollowRouters,
    /// Discovery endpoint of all hollow routers; kept open until the point ends.
    _hollow_endpoint: Endpoint,
    /// Folder of the real routers' configuration files.
    folder: TempDir,
}

/// The real routers and their clients.
struct RealRouters {
    routers: Vec<RouterProcess>,
    clients: Vec<Clients>,
    answers: Arc<Answers>,
}

/// Values of all counters at one moment.
struct Counters {
    at: Instant,
    samples: Vec<Sample>,
    discovery: Vec<TrafficCounts>,
    answers: [u64; 3],
    worker_bytes: u64,
}

impl PointRunner<'_> {
    /// Runs one point.
    pub async fn run(&self, size: &Size) -> Result<PointResult, PointError> {
        let bed = self.set_up(size).await?;
        let result = self.measure(size, &bed).await;
        bed.hollow.stop();
        result
    }

    async fn set_up(&self, size: &Size) -> Result<TestBed, PointError> {
        let io = |what| move |error| PointError::Io { what, error };
        let folder = tempfile::tempdir().map_err(io("cannot create a configuration folder"))?;
        let (tracker, worker_counters) = (Arc::<ChangeTracker>::default(), Arc::<WorkerCounters>::default());
        let cluster = Arc::new(
            self.start_cluster(size, &worker_counters, &tracker)
                .await
                .map_err(io("cannot start a worker"))?,
        );
        let endpoint_error = io("cannot start discovery");
        let hollow_endpoint = cluster.discovery.listen().await.map_err(endpoint_error)?;
        let mut endpoints = Vec::new();
        for _ in 0..size.real {
            endpoints.push(cluster.discovery.listen().await.map_err(endpoint_error)?);
        }
        let hollow =
            HollowRouters::start(size, self.conditions, hollow_endpoint.address, tracker, HOLLOW_THREADS)?;
        Ok(TestBed { cluster, worker_counters, endpoints, hollow, _hollow_endpoint: hollow_endpoint, folder })
    }

    async fn measure(&self, size: &Size, bed: &TestBed) -> Result<PointResult, PointError> {
        let real = self.start_real_routers(size, bed)?;
        tokio::time::sleep(Duration::from_secs_f64(self.conditions.warmup_s)).await;
        let before = real.read_counters(bed).await?;
        let start_fault = |fault: &Fault| tokio::spawn(faults::run(bed.cluster.clone(), fault.clone()));
        let running_faults: Vec<_> = self.faults.iter().map(start_fault).collect();
        let until = before.at + Duration::from_secs_f64(self.conditions.seconds);
        self.drain_workers(size, &bed.cluster, until).await;
        let after = real.read_counters(bed).await?;
        drop(real.clients);
        for fault in running_faults {
            let _ = fault.await;
        }
        tokio::time::sleep(LAST_CHANGES_WAIT).await;
        Ok(point_result(size, bed, &before, &after))
    }

    fn start_real_routers(&self, size: &Size, bed: &TestBed) -> Result<RealRouters, PointError> {
        let start = |(number, endpoint): (usize, &Endpoint)| {
            let config = router_config(size, self.conditions, number, endpoint.address);
            let tracker = bed.cluster.tracker.clone();
            RouterProcess::start(self.program.as_deref(), bed.folder.path(), &config, tracker)
        };
        // Starting a router blocks until it is active; the workers and discovery that it needs keep running.
        let routers = tokio::task::block_in_place(|| {
            bed.endpoints.iter().enumerate().map(start).collect::<Result<Vec<_>, _>>()
        })?;
        let answers = Arc::<Answers>::default();
        let start_clients = |(number, router): (usize, &RouterProcess)| {
            Clients::start(router.addresses.clients, number, size, self.conditions.seed, answers.clone())
        };
        let clients = routers.iter().enumerate().map(start_clients).collect();
        Ok(RealRouters { routers, clients, answers })
    }

    async fn start_cluster(
        &self,
        size: &Size,
        worker_counters: &Arc<WorkerCounters>,
        tracker: &Arc<ChangeTracker>,
    ) -> std::io::Result<Cluster> {
        let placements = placements(size, self.conditions);
        let (mut workers, mut members) = (Vec::new(), Vec::new());
        for placement in &placements {
            let worker =
                Worker::start(placement.is_reader, Timing::new(self.conditions), worker_counters.clone())
                    .await?;
            members.push(member(placement, &worker));
            workers.push(worker);
        }
        let discovery = Discovery::new(members.clone());
        Ok(Cluster { placements, workers, members, discovery, tracker: tracker.clone() })
    }

    /// Drains one worker after another until the given time, and makes each active again after [`DRAIN_TIME`].
    async fn drain_workers(&self, size: &Size, cluster: &Arc<Cluster>, until: Instant) {
        let mut random = Pcg64::seed_from_u64(self.conditions.seed);
        // A worker that a fault takes down is not drained as well.
        let faulty = |placement: &Placement| self.faults.iter().any(|fault| placement.hit_by(fault.kind));
        // Nor is the last worker: its drain is the change that marks the end of a discovery outage.
        let candidates = 0..cluster.placements.len().saturating_sub(1);
        let drainable: Vec<usize> = candidates.filter(|index| !faulty(&cluster.placements[*index])).collect();
        let interval = Duration::from_secs_f64(60.0 / size.changes_per_min.max(0.01));
        let mut next = random.random_range(0..drainable.len().max(1));
        loop {
            let wake = (Instant::now() + interval).min(until);
            tokio::time::sleep_until(wake.into()).await;
            if Instant::now() >= until || drainable.is_empty() {
                return;
            }
            let index = drainable[next % drainable.len()];
            next += 1;
            let entry = cluster.members[index].clone();
            // A change made while discovery is silent reaches routers only after the outage: it is not tracked.
            if !cluster.discovery.is_silent() {
                cluster.tracker.record_written(&entry.id);
            }
            cluster.discovery.change(&[Member { phase: Phase::Leaving, ..entry.clone() }]);
            let discovery = cluster.discovery.clone();
            tokio::spawn(async move {
                tokio::time::sleep(DRAIN_TIME).await;
                discovery.change(&[entry]);
            });
        }
    }
}

fn member(placement: &Placement, worker: &Worker) -> Member {
    Member {
        id: placement.id.clone(),
        host_port: worker.address,
        locality: zone_name(placement.zone),
        flavor: placement.flavor(),
        cell: placement.rack,
        phase: Phase::Active,
        size: 1.0,
        up_since_ms: 0,
    }
}

impl RealRouters {
    async fn read_counters(&self, bed: &TestBed) -> Result<Counters, MeasureError> {
        let at = Instant::now();
        let mut samples = Vec::new();
        for router in &self.routers {
            samples.push(sample(router.pid(), router.addresses.operators).await?);
        }
        let discovery = bed.endpoints.iter().map(Endpoint::counts).collect();
        let worker_bytes = bed.worker_counters.traffic.counts().bytes;
        Ok(Counters { at, samples, discovery, answers: self.answers.counts(), worker_bytes })
    }
}

fn point_result(size: &Size, bed: &TestBed, before: &Counters, after: &Counters) -> PointResult {
    let seconds = (after.at - before.at).as_secs_f64();
    let (hollow, workers) = (&bed.hollow.answers, &bed.worker_counters);
    PointResult {
        size: size.clone(),
        seconds,
        figures: figures(before, after, seconds),
        spread: bed.cluster.tracker.spread(before.at, size.routers),
        answers: [0, 1, 2].map(|index| after.answers[index] - before.answers[index]),
        hollow_answers: [&hollow.served, &hollow.not_served].map(|count| count.load(Ordering::Relaxed)),
        worker_connections: workers.connections.load(Ordering::Relaxed),
        releases: workers.releases.load(Ordering::Relaxed),
        worker_bytes_per_s: (after.worker_bytes - before.worker_bytes) as f64 / seconds,
    }
}

/// Means over the real routers; maxima for memory and descriptors.
fn figures(before: &Counters, after: &Counters, seconds: f64) -> Figures {
    let count = before.samples.len().max(1) as f64;
    let mean_growth = |of: fn(&Sample) -> f64| {
        let sum = |counters: &Counters| counters.samples.iter().map(of).sum::<f64>();
        (sum(after) - sum(before)) / count
    };
    let maximum = |of: fn(&Sample) -> f64| after.samples.iter().map(of).fold(0.0, f64::max);
    let discovery_rate = |of: fn(&TrafficCounts) -> u64| {
        let sum = |counters: &Counters| counters.discovery.iter().map(of).sum::<u64>();
        (sum(after) - sum(before)) as f64 / count / seconds
    };
    let (decision_s, decisions) =
        (mean_growth(|sample| sample.decisions.0), mean_growth(|sample| sample.decisions.1));
    Figures {
        cpu_percent: 100.0 * mean_growth(|sample| sample.cpu_s) / seconds,
        decision_cpu_percent: 100.0 * decision_s / seconds,
        decision_us: 1e6 * decision_s / decisions.max(1.0),
        decisions_per_s: decisions / seconds,
        attempts_per_s: mean_growth(|sample| sample.attempts) / seconds,
        peak_memory_mb: maximum(|sample| sample.peak_mb),
        descriptors: maximum(|sample| sample.descriptors as f64),
        discovery_bytes_per_s: discovery_rate(|counts| counts.bytes),
        discovery_messages_per_s: discovery_rate(|counts| counts.messages),
    }
}
