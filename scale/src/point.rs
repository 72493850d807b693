//! One point: everything is started, left alone for the warm-up, measured, and taken down again.

use crate::changes::{Board, Spread};
use crate::clients::{Answers, Clients};
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
pub struct Result {
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

impl Bench<'_> {
    /// Plays one point.
    pub async fn play(&self, size: &Size) -> std::result::Result<Result, PointError> {
        let io = |what| move |error| PointError::Io { what, error };
        let folder = tempfile::tempdir().map_err(io("a folder for configurations"))?;
        let (board, work) = (Arc::<Board>::default(), Arc::<Work>::default());
        let stage = Arc::new(self.stage(size, &work, &board).await.map_err(io("a port for a worker"))?);
        let common = stage.discovery.open().await.map_err(io("a port for discovery"))?;
        let mut doors = Vec::new();
        for _ in 0..size.real {
            doors.push(stage.discovery.open().await.map_err(io("a port for discovery"))?);
        }
        let hollow = Hollow::start(size, self.conditions, common.address, board.clone(), HOLLOW_THREADS)?;
        let played = self.measure(size, &folder, &doors, &stage, &board, &work, &hollow).await;
        hollow.stop();
        played
    }

    #[expect(clippy::too_many_arguments, reason = "each is a part of the point that ends after it")]
    async fn measure(
        &self,
        size: &Size,
        folder: &tempfile::TempDir,
        doors: &[Door],
        stage: &Arc<Stage>,
        board: &Arc<Board>,
        work: &Arc<Work>,
        hollow: &Hollow,
    ) -> std::result::Result<Result, PointError> {
        let start = |(number, door): (usize, &Door)| {
            let told = configuration(size, self.conditions, number, door.address);
            Router::start(self.program.as_deref(), folder.path(), &told, board.clone())
        };
        let routers = tokio::task::block_in_place(|| {
            doors.iter().enumerate().map(start).collect::<std::result::Result<Vec<_>, _>>()
        })?;
        let answers = Arc::<Answers>::default();
        let ask = |(number, router): (usize, &Router)| {
            Clients::start(router.listens.clients, number, size, self.conditions.seed, answers.clone())
        };
        let clients: Vec<Clients> = routers.iter().enumerate().map(ask).collect();
        tokio::time::sleep(Duration::from_secs_f64(self.conditions.warmup_s)).await;
        let began = Instant::now();
        let before = self.sample(&routers).await?;
        let calls: Vec<_> = doors.iter().map(Door::counts).collect();
        let (asked, worked) = (answers.counts(), work.traffic.counts());
        let failing: Vec<_> = self
            .faults
            .iter()
            .map(|fault| tokio::spawn(faults::play(stage.clone(), fault.clone())))
            .collect();
        let until = began + Duration::from_secs_f64(self.conditions.seconds);
        self.change(size, stage, board, until).await;
        let after = self.sample(&routers).await?;
        let seconds = began.elapsed().as_secs_f64();
        let calls: Vec<_> = doors.iter().zip(&calls).map(|(door, before)| (door.counts(), *before)).collect();
        let (told, worked) = (answers.counts(), work.traffic.counts().bytes - worked.bytes);
        drop(clients);
        for fault in failing {
            let _ = fault.await;
        }
        tokio::time::sleep(LAST_CHANGES).await;
        let figures = figures(&before, &after, &calls, seconds);
        Ok(Result {
            size: size.clone(),
            seconds,
            figures,
            spread: board.spread(began, size.routers),
            answers: [0, 1, 2].map(|at| told[at] - asked[at]),
            hollow_answers: [&hollow.ends.served, &hollow.ends.others]
                .map(|count| count.load(Ordering::Relaxed)),
            worker_connections: work.connections.load(Ordering::Relaxed),
            releases: work.releases.load(Ordering::Relaxed),
            worker_bytes_per_s: worked as f64 / seconds,
        })
    }

    async fn sample(&self, routers: &[Router]) -> std::result::Result<Vec<Sample>, MeasureError> {
        let mut samples = Vec::new();
        for router in routers {
            samples.push(sample(router.id(), router.listens.operators).await?);
        }
        Ok(samples)
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
    async fn change(&self, size: &Size, stage: &Arc<Stage>, board: &Arc<Board>, until: Instant) {
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
                board.written(&entry.id);
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

type Calls = (crate::counted::Counts, crate::counted::Counts);

/// Means over the real routers, but the most for memory and descriptors.
fn figures(before: &[Sample], after: &[Sample], calls: &[Calls], seconds: f64) -> Figures {
    let count = before.len().max(1) as f64;
    let grown = |of: fn(&Sample) -> f64| {
        before.iter().zip(after).map(|(before, after)| of(after) - of(before)).sum::<f64>() / count
    };
    let most = |of: fn(&Sample) -> f64| after.iter().map(of).fold(0.0, f64::max);
    let (decided, decisions) = (grown(|sample| sample.decisions.0), grown(|sample| sample.decisions.1));
    let called = |of: fn(&Calls) -> u64| calls.iter().map(of).sum::<u64>() as f64 / count / seconds;
    Figures {
        cpu_percent: 100.0 * grown(|sample| sample.cpu_s) / seconds,
        decision_cpu_percent: 100.0 * decided / seconds,
        decision_us: 1e6 * decided / decisions.max(1.0),
        decisions_per_s: decisions / seconds,
        attempts_per_s: grown(|sample| sample.attempts) / seconds,
        peak_memory_mb: most(|sample| sample.peak_mb),
        descriptors: most(|sample| sample.descriptors as f64),
        discovery_bytes_per_s: called(|(after, before)| after.bytes - before.bytes),
        discovery_messages_per_s: called(|(after, before)| after.messages - before.messages),
    }
}
