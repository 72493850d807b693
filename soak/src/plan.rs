//! A fault plan: the load and the faults of one run. It is drawn from a seed and stored in a TOML file that can be
//! edited and run again.

use crate::fault::{Fault, FaultAction, SilentRole, SystemCall};
use crate::limits::{KILL_DELAY, MAX_DEADLINE};
use crate::release_reach::ReleaseReach;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Faults begin within this share of the load time; the rest leaves time for them to end.
const FAULT_START_SHARE: f64 = 0.7;
/// One seed in this many has the long quiet time.
const LONG_QUIET_EVERY: u64 = 8;
/// Long fault-free time at the start of a run.
const LONG_QUIET_MS: u64 = 15_000;
/// Usual fault-free time at the start of a run.
const SHORT_QUIET_MS: u64 = 800;
/// Default deadline of requests.
const USUAL_BUDGET_MS: u64 = 3_000;
/// Default of the settings' `release_within`.
const USUAL_RELEASE_MS: u64 = 1_000;
/// Default time in which servers drop repeats of a keyed request.
const USUAL_DEDUP_WINDOW_MS: u64 = 1_500;
/// Mask of the seed for silences, deadlines and signals. A generator of their own leaves the other faults of a seed
/// unchanged.
const SILENCES_MASK: u64 = 0x51_1e0c;
/// Mask of the seed for calls that fail after a server took them, for the same reason.
const FAILING_CALLS_MASK: u64 = 0x7a_ce17;
/// Mask of the seed for servers whose processes stop in turn, at the edge of short deduplication windows.
const STOPPED_PROCESSES_MASK: u64 = 0x57_0bbed;
/// Upper bound of the drawn delay after which a server notices that a connection ended.
const MAX_END_DELAY_MS: u64 = 150;

/// The load and the faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of the requests and of all random choices that the plan leaves open.
    pub seed: u64,
    /// Number of router processes.
    pub routers: usize,
    /// Number of servers that read.
    pub readers: usize,
    /// Number of servers that write.
    pub writers: usize,
    /// Request rate of all clients together.
    pub requests_per_s: f64,
    /// Fault-free time at the start of the run.
    pub quiet_ms: u64,
    /// Time after `quiet_ms` in which clients send requests and faults begin.
    pub load_ms: u64,
    /// Deadline of each request.
    #[serde(default = "usual_budget_ms")]
    pub budget_ms: u64,
    /// The settings' `release_within`: the time in which routers release what readers hold.
    #[serde(default = "usual_release_ms")]
    pub release_within_ms: u64,
    /// Time in which servers drop repeats of a keyed request.
    #[serde(default = "usual_dedup_window_ms")]
    pub dedup_window_ms: u64,
    /// Time to the first token of a writer; a few random milliseconds if not set.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// Share of the calls taken by servers that fail, in a way drawn for each call.
    #[serde(default)]
    pub calls_fail_per_mille: u32,
    /// Share of the writers' answers that are lost before their first byte.
    #[serde(default)]
    pub answers_lost_per_mille: u32,
    /// Share of the releases that are late, unanswered or reset.
    #[serde(default)]
    pub releases_fail_per_mille: u32,
    /// Maximum delay after which a server notices that a call's connection ended.
    #[serde(default)]
    pub end_noticed_within_ms: u64,
    /// Effect of a release on a state that an attempt waits for.
    #[serde(default)]
    pub release_reach: ReleaseReach,
    /// The faults, in order of their start.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

fn usual_budget_ms() -> u64 {
    USUAL_BUDGET_MS
}

fn usual_release_ms() -> u64 {
    USUAL_RELEASE_MS
}

fn usual_dedup_window_ms() -> u64 {
    USUAL_DEDUP_WINDOW_MS
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file cannot be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The TOML is malformed.
    #[error("{0}")]
    Toml(String),
    /// A number is out of its range.
    #[error("{0}")]
    Range(&'static str),
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let routers = match rng.random_range(0..10) {
            0 => rng.random_range(25..=40),
            1..=3 => rng.random_range(14..=24),
            _ => rng.random_range(10..=13),
        };
        let (readers, writers) = (rng.random_range(3..=6), rng.random_range(3..=6));
        let quiet_ms = if seed.is_multiple_of(LONG_QUIET_EVERY) { LONG_QUIET_MS } else { SHORT_QUIET_MS };
        let load_ms = rng.random_range(6_000..9_000);
        let mut plan = Plan {
            seed,
            routers,
            readers,
            writers,
            requests_per_s: rng.random_range(40.0..90.0),
            quiet_ms,
            load_ms,
            budget_ms: USUAL_BUDGET_MS,
            release_within_ms: USUAL_RELEASE_MS,
            dedup_window_ms: USUAL_DEDUP_WINDOW_MS,
            first_token_ms: None,
            calls_fail_per_mille: 0,
            answers_lost_per_mille: 0,
            releases_fail_per_mille: 0,
            end_noticed_within_ms: 0,
            release_reach: ReleaseReach::default(),
            faults: Vec::new(),
        };
        let count = rng.random_range(3..=9);
        // Most faults begin within about a second of each other, so that they overlap.
        let center = rng.random_range(0.1..FAULT_START_SHARE) * load_ms as f64;
        for _ in 0..count {
            let offset: f64 = if rng.random_range(0..4) == 0 {
                rng.random_range(-3e3..3e3)
            } else {
                rng.random_range(-600.0..600.0)
            };
            let at_ms = (center + offset).clamp(0.0, load_ms as f64 * FAULT_START_SHARE) as u64;
            let for_ms = rng.random_range(200..3_000);
            let fault = plan.draw_fault(&mut rng, at_ms, for_ms);
            plan.faults.push(fault);
        }
        plan.draw_silences(center);
        plan.draw_failing_calls(center);
        plan.draw_stopped_processes();
        plan.faults.sort_by_key(|fault| fault.at_ms);
        plan
    }

    /// Draws deadlines, silences and series of signals. Most silences begin near the other faults, or right after the
    /// quiet time.
    fn draw_silences(&mut self, center: f64) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ SILENCES_MASK);
        if rng.random_range(0..5) < 2 {
            self.budget_ms = rng.random_range(1_000..USUAL_BUDGET_MS);
        }
        if rng.random_range(0..2) == 0 {
            self.release_within_ms = rng.random_range(300..USUAL_RELEASE_MS);
        }
        for _ in 0..rng.random_range(0..=3) {
            let at = if rng.random_range(0..4) == 0 { 0.0 } else { center + rng.random_range(-600.0..600.0) };
            let at_ms = at.clamp(0.0, self.load_ms as f64 * FAULT_START_SHARE) as u64;
            let for_ms = rng.random_range(300..3_500);
            let writer = self.readers + rng.random_range(0..self.writers);
            let worker = rng.random_range(0..self.readers + self.writers);
            let action = match rng.random_range(0..10) {
                0 | 1 => FaultAction::WorkerSilent { worker: writer },
                2 | 3 => FaultAction::WorkerStopped { worker },
                4..=6 => FaultAction::ConnectionsSilent { worker, per_mille: rng.random_range(30..400) },
                7 => FaultAction::RoleSilent { role: SilentRole::Writers },
                8 => FaultAction::RoleSilent { role: SilentRole::Readers },
                _ => FaultAction::RouterSignals { router: rng.random_range(0..self.routers) },
            };
            let fault = Fault { at_ms, for_ms, action };
            if !self.silences_both_roles(&fault) {
                self.faults.push(fault);
            }
        }
    }

    /// Whether `new` would silence both roles at once. A release goes to "any worker", and then no worker could be
    /// reached.
    fn silences_both_roles(&self, new: &Fault) -> bool {
        let FaultAction::RoleSilent { role } = new.action else { return false };
        let other_role = |action: &FaultAction| matches!(action, FaultAction::RoleSilent { role: other } if *other != role);
        let overlaps = |old: &Fault| old.at_ms < new.at_ms + new.for_ms && new.at_ms < old.at_ms + old.for_ms;
        self.faults.iter().any(|old| other_role(&old.action) && overlaps(old))
    }

    /// Draws calls that fail after a server took them, and how servers handle ended connections and releases.
    fn draw_failing_calls(&mut self, center: f64) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ FAILING_CALLS_MASK);
        if rng.random_bool(0.5) {
            self.end_noticed_within_ms = rng.random_range(0..=MAX_END_DELAY_MS);
        }
        if rng.random_bool(0.25) {
            self.release_reach = ReleaseReach::All;
        }
        if rng.random_bool(0.25) {
            self.calls_fail_per_mille = rng.random_range(20..150);
        }
        if rng.random_bool(0.25) {
            self.releases_fail_per_mille = rng.random_range(50..400);
        }
        for _ in 0..rng.random_range(0..=2) {
            let at_ms = (center + rng.random_range(-600.0..600.0))
                .clamp(0.0, self.load_ms as f64 * FAULT_START_SHARE);
            let for_ms = rng.random_range(500..3_500);
            let worker = match rng.random_range(0..4) {
                0 => rng.random_range(0..self.readers),
                _ => self.readers + rng.random_range(0..self.writers),
            };
            let action = match rng.random_range(0..4) {
                0 => FaultAction::WorkerTakes { worker },
                1 => FaultAction::WorkerRefusesLate { worker },
                2 => FaultAction::WorkerResetsLate { worker },
                _ => FaultAction::RoleTakes { role: SilentRole::Writers },
            };
            self.faults.push(Fault { at_ms: at_ms as u64, for_ms, action });
        }
    }

    /// Draws stops of one server after the other, each about as long as the deduplication window, and lost answers.
    /// Repeats are then in transit when their window ends.
    fn draw_stopped_processes(&mut self) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ STOPPED_PROCESSES_MASK);
        if rng.random_bool(0.5) {
            return;
        }
        self.dedup_window_ms = rng.random_range(500..=USUAL_DEDUP_WINDOW_MS);
        self.answers_lost_per_mille = rng.random_range(100..400);
        let last = self.load_ms as f64 * FAULT_START_SHARE;
        let mut at = rng.random_range(0.0..last / 2.0);
        while at < last {
            let worker = rng.random_range(0..self.readers + self.writers);
            let for_ms = rng.random_range(200..=1_200);
            self.faults.push(Fault {
                at_ms: at as u64,
                for_ms,
                action: FaultAction::WorkerStopped { worker },
            });
            at += rng.random_range(50.0..600.0) + for_ms as f64;
        }
    }

    /// Time in which servers drop repeats of a keyed request.
    pub fn dedup_window(&self) -> Duration {
        Duration::from_millis(self.dedup_window_ms)
    }

    /// Deadline of each request.
    pub fn budget(&self) -> Duration {
        Duration::from_millis(self.budget_ms)
    }

    /// Time in which routers release what readers hold.
    pub fn release_within(&self) -> Duration {
        Duration::from_millis(self.release_within_ms)
    }

    /// Time from SIGTERM to SIGKILL, the shortest that the specification allows.
    pub fn kill_after(&self) -> Duration {
        self.budget().min(MAX_DEADLINE) + KILL_DELAY
    }

    /// The servers that a fault affects.
    pub fn workers_of(&self, action: &FaultAction) -> Vec<usize> {
        match action {
            FaultAction::RoleSilent { role: SilentRole::Readers }
            | FaultAction::RoleTakes { role: SilentRole::Readers } => (0..self.readers).collect(),
            FaultAction::RoleSilent { role: SilentRole::Writers }
            | FaultAction::RoleTakes { role: SilentRole::Writers } => {
                (self.readers..self.readers + self.writers).collect()
            }
            action => action.worker().into_iter().collect(),
        }
    }

    fn draw_fault(&self, rng: &mut Pcg64, at_ms: u64, for_ms: u64) -> Fault {
        let router = rng.random_range(0..self.routers);
        let worker = rng.random_range(0..self.readers + self.writers);
        let mut for_ms = for_ms;
        let action = match rng.random_range(0..26) {
            0..=3 => FaultAction::RouterStops { router },
            4 => FaultAction::RouterKilled { router },
            5 => FaultAction::RouterReloads { router },
            6 => {
                for_ms = if rng.random_range(0..3) == 0 { for_ms / 2 } else { rng.random_range(20..=150) };
                FaultAction::RouterFrozen { router }
            }
            7 | 8 => FaultAction::WorkerHangs { worker },
            9 => FaultAction::WorkerSilent { worker },
            10 => FaultAction::WorkerResets { worker },
            11 | 12 => FaultAction::WorkerCrashes { worker },
            13 | 14 => FaultAction::WorkerDrains { worker },
            15 => FaultAction::WorkerRejects { worker },
            16 => FaultAction::WorkerSpoils { worker },
            17 => FaultAction::WorkerSlow { worker },
            18 => FaultAction::WorkerForgets { worker },
            19 => FaultAction::DiscoverySilent,
            20 => FaultAction::DiscoveryResets,
            21 | 22 => {
                let calls = [
                    SystemCall::Accept,
                    SystemCall::Connect,
                    SystemCall::Socket,
                    SystemCall::Wait,
                    SystemCall::Short,
                    SystemCall::Exhausted,
                ];
                let call = calls[rng.random_range(0..calls.len())];
                FaultAction::SystemCalls { router, call, per_mille: rng.random_range(50..400) }
            }
            23 => match rng.random_range(0..2) {
                0 => FaultAction::DiskFails { router },
                _ => {
                    let steps = [-3_600_000, -5_000, 5_000, 3_600_000];
                    FaultAction::WallClock { router, step_ms: steps[rng.random_range(0..steps.len())] }
                }
            },
            24 => match rng.random_range(0..2) {
                0 => FaultAction::ClientsLeave,
                _ => FaultAction::ClientsHalf,
            },
            _ => FaultAction::Burst,
        };
        Fault { at_ms, for_ms, action }
    }

    /// Reads and checks a plan's file.
    pub fn read(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)?;
        let plan: Plan =
            toml::from_str(&text).map_err(|error| PlanError::Toml(error.message().to_owned()))?;
        plan.check()
    }

    fn check(self) -> Result<Self, PlanError> {
        if !(1..=100).contains(&self.routers) {
            return Err(PlanError::Range("routers: 1 to 100"));
        }
        if self.readers == 0 || self.writers == 0 || self.readers + self.writers > 100 {
            return Err(PlanError::Range("readers and writers: 1 or more of each, 100 at most"));
        }
        if !(self.requests_per_s > 0.0 && self.requests_per_s <= 10_000.0) {
            return Err(PlanError::Range("requests_per_s: above 0, 10,000 at most"));
        }
        if !(100..=60_000).contains(&self.budget_ms) || !(100..=60_000).contains(&self.release_within_ms) {
            return Err(PlanError::Range("budget_ms and release_within_ms: 100 to 60000"));
        }
        if !(100..=60_000).contains(&self.dedup_window_ms) {
            return Err(PlanError::Range("dedup_window_ms: 100 to 60000"));
        }
        let shares = [self.calls_fail_per_mille, self.answers_lost_per_mille, self.releases_fail_per_mille];
        if shares.iter().any(|share| *share > 1_000) {
            return Err(PlanError::Range(
                "calls_fail_per_mille, answers_lost_per_mille and releases_fail_per_mille: 1000 at most",
            ));
        }
        if self.end_noticed_within_ms > 1_000 {
            return Err(PlanError::Range("end_noticed_within_ms: 1000 at most"));
        }
        let workers = self.readers + self.writers;
        let exists = |fault: &Fault| {
            fault.action.router().is_none_or(|router| router < self.routers)
                && fault.action.worker().is_none_or(|worker| worker < workers)
        };
        if !self.faults.iter().all(exists) {
            return Err(PlanError::Range("a trouble names a router or a worker that there is not"));
        }
        Ok(self)
    }

    /// Writes the plan to a file.
    pub fn write(&self, path: &Path) -> Result<(), PlanError> {
        Ok(std::fs::write(path, self.text()?)?)
    }

    /// The plan as TOML.
    pub fn text(&self) -> Result<String, PlanError> {
        toml::to_string(self).map_err(|error| PlanError::Toml(error.to_string()))
    }
}
