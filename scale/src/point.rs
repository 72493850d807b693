//! One point: everything is started, left alone for the warm-up, measured, and taken down again.

use crate::changes::{Board, Spread};
use crate::clients::{Answers, Clients};
use crate::counted::Counts;
use crate::discovery::{Discovery, Door, Member, Phase};
use crate::faults::{self, Stage};
use crate::hollow::{Hollow, HollowError};
use crate::layout::{Place, places};
use crate::measure::{MeasureError, Sample, sample};
use crate::plan::{Conditions, Fault, Size};
use crate::process::{ProcessError, Router};
use crate::settings::{configuration, zone};
use crate::worker::{Pace, Work, Worker};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Threads that hollow routers are spread over.
const HOLLOW_THREADS: usize = 3;
/// A worker that drained takes work again after this time.
const DRAINED_FOR: Duration = Duration::from_secs(5);
/// The last changes are left this long to arrive.
const LAST_CHANGES: Duration = Duration::from_secs(4);

/// Why a point could not be played.
#[derive(Debug, thiserror::Error)]
pub enum PointError {
    /// No folder or no socket.
    #[error("{what}: {error}")]
    Io {
        /// What was wanted.
        what: &'static str,
        /// What went wrong.
        error: std::io::Error,
    },
    /// A router process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Hollow routers.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A measurement.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// What one real router used, on the mean of all real ones, while it was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Processor time, in % of a core.
    pub cpu_percent: f64,
    /// The part of it spent on decisions.
    pub decision_cpu_percent: f64,
    /// One decision, in microseconds.
    pub decision_us: f64,
    /// Decisions a second.
    pub decisions_per_s: f64,
    /// Attempts sent a second.
    pub attempts_per_s: f64,
    /// Memory, in MB: the most of any real router at any time.
    pub peak_memory_mb: f64,
    /// Open descriptors: the most of any real router at the end.
    pub descriptors: f64,
    /// Bytes a second to and from discovery.
    pub discovery_bytes_per_s: f64,
    /// Messages a second to and from discovery.
    pub discovery_messages_per_s: f64,
}

impl Figures {
    /// Each figure with its name.
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
pub struct Measured {
    /// Its size.
    pub size: Size,
    /// Seconds measured.
    pub seconds: f64,
    /// The real routers.
    pub figures: Figures,
    /// How changes of the list spread over all routers.
    pub spread: Spread,
    /// Requests to real routers: served, refused, failed.
    pub answers: [u64; 3],
    /// Requests to hollow routers: served, others.
    pub hollow_answers: [u64; 2],
    /// Connections open at all workers at the end.
    pub worker_connections: u64,
    /// Releases that workers answered.
    pub releases: u64,
    /// Bytes a second over all connections to workers.
    pub worker_bytes_per_s: f64,
}

/// What stays the same for all points of a run.
pub struct Bench<'a> {
    /// The built router; this program where there is none.
    pub program: Option<PathBuf>,
    /// The run's conditions.
    pub conditions: &'a Conditions,
    /// Failures during each point.
    pub faults: &'a [Fault],
}

/// Workers, discovery and hollow routers of one point; real routers are told where they are.
struct Surroundings {
    stage: Arc<Stage>,
    work: Arc<Work>,
    /// Discovery's addresses, one for each real router.
    doors: Vec<Door>,
    hollow: Hollow,
    /// The hollow routers' address of discovery.
    _common: Door,
    /// The real routers' configurations.
    folder: TempDir,
}

/// Real routers and their clients.
struct Real {
    routers: Vec<Router>,
    clients: Vec<Clients>,
    answers: Arc<Answers>,
}

/// All that is counted, at one moment.
struct Counters {
    at: Instant,
    samples: Vec<Sample>,
    calls: Vec<Counts>,
    answers: [u64; 3],
    worker_bytes: u64,
}

impl Bench<'_> {
    /// Plays one point.
    pub async fn play(&self, size: &Size) -> Result<Measured, PointError> {
        let around = self.surround(size).await?;
        let measured = self.measure(size, &around).await;
        around.hollow.stop();
        measured
    }

    async fn surround(&self, size: &Size) -> Result<Surroundings, PointError> {
        let io = |what| move |error| PointError::Io { what, error };
        let folder = tempfile::tempdir().map_err(io("a folder for configurations"))?;
        let (board, work) = (Arc::<Board>::default(), Arc::<Work>::default());
        let stage = Arc::new(self.stage(size, &work, &board).await.map_err(io("a port for a worker"))?);
        let port = io("a port for discovery");
        let common = stage.discovery.open().await.map_err(port)?;
        let mut doors = Vec::new();
        for _ in 0..size.real {
            doors.push(stage.discovery.open().await.map_err(port)?);
        }
        let hollow = Hollow::start(size, self.conditions, common.address, board, HOLLOW_THREADS)?;
        Ok(Surroundings { stage, work, doors, hollow, _common: common, folder })
    }

    async fn measure(&self, size: &Size, around: &Surroundings) -> Result<Measured, PointError> {
        let real = self.start_real(size, around)?;
        tokio::time::sleep(Duration::from_secs_f64(self.conditions.warmup_s)).await;
        let before = real.count(around).await?;
        let fail = |fault: &Fault| tokio::spawn(faults::play(around.stage.clone(), fault.clone()));
        let failing: Vec<_> = self.faults.iter().map(fail).collect();
        let until = before.at + Duration::from_secs_f64(self.conditions.seconds);
        self.change(size, &around.stage, until).await;
        let after = real.count(around).await?;
        drop(real.clients);
        for fault in failing {
            let _ = fault.await;
        }
        tokio::time::sleep(LAST_CHANGES).await;
        Ok(measured(size, around, &before, &after))
    }

    fn start_real(&self, size: &Size, around: &Surroundings) -> Result<Real, PointError> {
        let start = |(number, door): (usize, &Door)| {
            let told = configuration(size, self.conditions, number, door.address);
            let board = around.stage.board.clone();
            Router::start(self.program.as_deref(), around.folder.path(), &told, board)
        };
        // Starting one waits for it; the workers and discovery that it needs run meanwhile.
        let routers = tokio::task::block_in_place(|| {
            around.doors.iter().enumerate().map(start).collect::<Result<Vec<_>, _>>()
        })?;
        let answers = Arc::<Answers>::default();
        let ask = |(number, router): (usize, &Router)| {
            Clients::start(router.listens.clients, number, size, self.conditions.seed, answers.clone())
        };
        let clients = routers.iter().enumerate().map(ask).collect();
        Ok(Real { routers, clients, answers })
    }

    async fn stage(&self, size: &Size, work: &Arc<Work>, board: &Arc<Board>) -> std::io::Result<Stage> {
        let places = places(size, self.conditions);
        let (mut workers, mut members) = (Vec::new(), Vec::new());
        for place in &places {
            let worker = Worker::start(place.reads, Pace::new(self.conditions), work.clone()).await?;
            members.push(member(place, &worker));
            workers.push(worker);
        }
        let discovery = Discovery::new(members.clone());
        Ok(Stage { places, workers, members, discovery, board: board.clone() })
    }

    /// Drains workers, one a change, and takes each back a while later, until the time is over.
    async fn change(&self, size: &Size, stage: &Arc<Stage>, until: Instant) {
        let mut random = Pcg64::seed_from_u64(self.conditions.seed);
        // What a failure takes down is not drained beside it.
        let down = |place: &Place| self.faults.iter().any(|fault| place.fails_with(fault.kind));
        // Nor the last one, which tells when a silence is over.
        let ordinary = 0..stage.places.len().saturating_sub(1);
        let free: Vec<usize> = ordinary.filter(|at| !down(&stage.places[*at])).collect();
        let gap = Duration::from_secs_f64(60.0 / size.changes_per_min.max(0.01));
        let mut next = random.random_range(0..free.len().max(1));
        loop {
            let wake = (Instant::now() + gap).min(until);
            tokio::time::sleep_until(wake.into()).await;
            if Instant::now() >= until || free.is_empty() {
                return;
            }
            let at = free[next % free.len()];
            next += 1;
            let entry = stage.members[at].clone();
            // What is written in silence is heard with what follows it.
            if !stage.discovery.is_down() {
                stage.board.written(&entry.id);
            }
            stage.discovery.change(&[Member { phase: Phase::Leaving, ..entry.clone() }]);
            let discovery = stage.discovery.clone();
            tokio::spawn(async move {
                tokio::time::sleep(DRAINED_FOR).await;
                discovery.change(&[entry]);
            });
        }
    }
}

fn member(place: &Place, worker: &Worker) -> Member {
    Member {
        id: place.id.clone(),
        host_port: worker.address,
        locality: zone(place.zone),
        flavor: place.flavor(),
        cell: place.rack,
        phase: Phase::Active,
        size: 1.0,
        up_since_ms: 0,
    }
}

impl Real {
    async fn count(&self, around: &Surroundings) -> Result<Counters, MeasureError> {
        let at = Instant::now();
        let mut samples = Vec::new();
        for router in &self.routers {
            samples.push(sample(router.id(), router.listens.operators).await?);
        }
        let calls = around.doors.iter().map(Door::counts).collect();
        let worker_bytes = around.work.traffic.counts().bytes;
        Ok(Counters { at, samples, calls, answers: self.answers.counts(), worker_bytes })
    }
}

fn measured(size: &Size, around: &Surroundings, before: &Counters, after: &Counters) -> Measured {
    let seconds = (after.at - before.at).as_secs_f64();
    let (ends, work) = (&around.hollow.ends, &around.work);
    Measured {
        size: size.clone(),
        seconds,
        figures: figures(before, after, seconds),
        spread: around.stage.board.spread(before.at, size.routers),
        answers: [0, 1, 2].map(|at| after.answers[at] - before.answers[at]),
        hollow_answers: [&ends.served, &ends.others].map(|count| count.load(Ordering::Relaxed)),
        worker_connections: work.connections.load(Ordering::Relaxed),
        releases: work.releases.load(Ordering::Relaxed),
        worker_bytes_per_s: (after.worker_bytes - before.worker_bytes) as f64 / seconds,
    }
}

/// Means over the real routers, but the most for memory and descriptors.
fn figures(before: &Counters, after: &Counters, seconds: f64) -> Figures {
    let count = before.samples.len().max(1) as f64;
    let grown = |of: fn(&Sample) -> f64| {
        let sum = |counters: &Counters| counters.samples.iter().map(of).sum::<f64>();
        (sum(after) - sum(before)) / count
    };
    let most = |of: fn(&Sample) -> f64| after.samples.iter().map(of).fold(0.0, f64::max);
    let called = |of: fn(&Counts) -> u64| {
        let sum = |counters: &Counters| counters.calls.iter().map(of).sum::<u64>();
        (sum(after) - sum(before)) as f64 / count / seconds
    };
    let (decided, decisions) = (grown(|sample| sample.decisions.0), grown(|sample| sample.decisions.1));
    Figures {
        cpu_percent: 100.0 * grown(|sample| sample.cpu_s) / seconds,
        decision_cpu_percent: 100.0 * decided / seconds,
        decision_us: 1e6 * decided / decisions.max(1.0),
        decisions_per_s: decisions / seconds,
        attempts_per_s: grown(|sample| sample.attempts) / seconds,
        peak_memory_mb: most(|sample| sample.peak_mb),
        descriptors: most(|sample| sample.descriptors as f64),
        discovery_bytes_per_s: called(|counts| counts.bytes),
        discovery_messages_per_s: called(|counts| counts.messages),
    }
}
