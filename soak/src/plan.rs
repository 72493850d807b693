//! A plan: what happens when. It is drawn from a seed, and a file of it can be read, edited and played again.

use crate::fault::{Fault, FaultAction, SilentRole, SystemCall};
use crate::limits::{KILL_DELAY, MAX_DEADLINE};
use crate::release_reach::ReleaseReach;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Troubles begin in this part of the time under load; what is left is for their end.
const TROUBLE_PART: f64 = 0.7;
/// One plan in so many begins its faults after a long quiet time.
const LONG_QUIET_EVERY: u64 = 8;
const LONG_QUIET_MS: u64 = 15_000;
const SHORT_QUIET_MS: u64 = 800;
/// Deadlines and the settings' time for what is held, in milliseconds, where a plan has the usual ones.
const USUAL_BUDGET_MS: u64 = 3_000;
const USUAL_RELEASE_MS: u64 = 1_000;
/// Servers drop repeats of a keyed request for this time, in milliseconds, where a plan does not say.
const USUAL_DEDUP_WINDOW_MS: u64 = 1_500;
/// Silences, times and signals are drawn by themselves: the other faults of a seed stay what they were.
const SILENCES: u64 = 0x51_1e0c;
/// The same for calls that fail after they were taken.
const FAILING_CALLS: u64 = 0x7a_ce17;
/// The same for processes that stand still one after the other, at the edge of short deduplication windows.
const STOPPED_PROCESSES: u64 = 0x57_0bbed;
/// A server notices the end of a connection so late at most.
const MOST_NOTICED_LATE_MS: u64 = 150;

/// One play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Where rng comes from: requests, and what is not told here.
    pub seed: u64,
    /// Router processes.
    pub routers: usize,
    /// Servers that read.
    pub readers: usize,
    /// Servers that write.
    pub writers: usize,
    /// Requests a second, all clients together.
    pub requests_per_s: f64,
    /// Nothing goes wrong for so long at first.
    pub quiet_ms: u64,
    /// Clients ask for so long after that.
    pub load_ms: u64,
    /// How long clients wait for their answers.
    #[serde(default = "usual_budget_ms")]
    pub budget_ms: u64,
    /// The settings' time for what is held.
    #[serde(default = "usual_release_ms")]
    pub release_within_ms: u64,
    /// Servers drop repeats of a keyed request for this time.
    #[serde(default = "usual_dedup_window_ms")]
    pub dedup_window_ms: u64,
    /// Writers' first tokens take so long; none: some milliseconds.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// So many of a thousand calls that servers took fail in a way that is drawn.
    #[serde(default)]
    pub calls_fail_per_mille: u32,
    /// So many of a thousand answers of writers are lost before their first byte.
    #[serde(default)]
    pub answers_lost_per_mille: u32,
    /// So many of a thousand releases do.
    #[serde(default)]
    pub releases_fail_per_mille: u32,
    /// A server notices the end of a call's connection so late at most.
    #[serde(default)]
    pub end_noticed_within_ms: u64,
    /// What a release does to a state that an attempt waits for.
    #[serde(default)]
    pub release_reach: ReleaseReach,
    /// What goes wrong.
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

/// A plan's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It cannot be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It makes no sense.
    #[error("{0}")]
    Toml(String),
    /// A number is out of its range.
    #[error("{0}")]
    Range(&'static str),
}

impl Plan {
    /// The plan of a seed.
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
        // Most begin within a second of each other, so that they overlap.
        let knot = rng.random_range(0.1..TROUBLE_PART) * load_ms as f64;
        for _ in 0..count {
            let spread: f64 = if rng.random_range(0..4) == 0 {
                rng.random_range(-3e3..3e3)
            } else {
                rng.random_range(-600.0..600.0)
            };
            let at_ms = (knot + spread).clamp(0.0, load_ms as f64 * TROUBLE_PART) as u64;
            let for_ms = rng.random_range(200..3_000);
            let fault = plan.draw_fault(&mut rng, at_ms, for_ms);
            plan.faults.push(fault);
        }
        plan.draw_silences(knot);
        plan.draw_failing_calls(knot);
        plan.draw_stopped_processes();
        plan.faults.sort_by_key(|fault| fault.at_ms);
        plan
    }

    /// Times, silences and series of signals; most silences begin at about the time of the other faults, or right
    /// after the quiet time.
    fn draw_silences(&mut self, knot: f64) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ SILENCES);
        if rng.random_range(0..5) < 2 {
            self.budget_ms = rng.random_range(1_000..USUAL_BUDGET_MS);
        }
        if rng.random_range(0..2) == 0 {
            self.release_within_ms = rng.random_range(300..USUAL_RELEASE_MS);
        }
        for _ in 0..rng.random_range(0..=3) {
            let at = if rng.random_range(0..4) == 0 { 0.0 } else { knot + rng.random_range(-600.0..600.0) };
            let at_ms = at.clamp(0.0, self.load_ms as f64 * TROUBLE_PART) as u64;
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
            if !self.silences_all_with(&fault) {
                self.faults.push(fault);
            }
        }
    }

    /// With this fault both roles would be silent at once: a release is made "at any worker", and none could be reached.
    fn silences_all_with(&self, new: &Fault) -> bool {
        let FaultAction::RoleSilent { role } = new.action else { return false };
        let other_role = |action: &FaultAction| matches!(action, FaultAction::RoleSilent { role: other } if *other != role);
        let overlaps = |old: &Fault| old.at_ms < new.at_ms + new.for_ms && new.at_ms < old.at_ms + old.for_ms;
        self.faults.iter().any(|old| other_role(&old.action) && overlaps(old))
    }

    /// Calls that are taken and fail later, and how servers see ends and releases.
    fn draw_failing_calls(&mut self, knot: f64) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ FAILING_CALLS);
        if rng.random_bool(0.5) {
            self.end_noticed_within_ms = rng.random_range(0..=MOST_NOTICED_LATE_MS);
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
            let at_ms =
                (knot + rng.random_range(-600.0..600.0)).clamp(0.0, self.load_ms as f64 * TROUBLE_PART);
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

    /// One server after the other stands still for about as long as repeats are dropped, while some answers get lost: so
    /// repeats are on their way when their window ends.
    fn draw_stopped_processes(&mut self) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ STOPPED_PROCESSES);
        if rng.random_bool(0.5) {
            return;
        }
        self.dedup_window_ms = rng.random_range(500..=USUAL_DEDUP_WINDOW_MS);
        self.answers_lost_per_mille = rng.random_range(100..400);
        let last = self.load_ms as f64 * TROUBLE_PART;
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

    /// How long servers drop repeats of a keyed request.
    pub fn dedup_window(&self) -> Duration {
        Duration::from_millis(self.dedup_window_ms)
    }

    /// How long clients wait for their answers.
    pub fn budget(&self) -> Duration {
        Duration::from_millis(self.budget_ms)
    }

    /// The settings' time for what is held.
    pub fn release_within(&self) -> Duration {
        Duration::from_millis(self.release_within_ms)
    }

    /// SIGKILL follows SIGTERM after this time, the earliest that the page allows.
    pub fn kill_after(&self) -> Duration {
        self.budget().min(MAX_DEADLINE) + KILL_DELAY
    }

    /// The servers that a fault is about.
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

    /// Reads a file.
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
        let known = |fault: &Fault| {
            fault.action.router().is_none_or(|router| router < self.routers)
                && fault.action.worker().is_none_or(|worker| worker < workers)
        };
        if !self.faults.iter().all(known) {
            return Err(PlanError::Range("a trouble names a router or a worker that there is not"));
        }
        Ok(self)
    }

    /// Writes a file.
    pub fn write(&self, path: &Path) -> Result<(), PlanError> {
        Ok(std::fs::write(path, self.text()?)?)
    }

    /// A file's text.
    pub fn text(&self) -> Result<String, PlanError> {
        toml::to_string(self).map_err(|error| PlanError::Toml(error.to_string()))
    }
}
