//! The file that describes a run.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// No run lasts longer than this for one point, in seconds.
const LONGEST_POINT: f64 = 900.0;
/// No run has more routers or servers than this: all share one machine.
const MOST: usize = 4_096;
/// Real router processes at most.
const MOST_REAL: usize = 16;
/// Descriptors beside those that are counted: standard streams, timers, logs.
const SPARE_DESCRIPTORS: usize = 200;

/// Why a plan cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    File {
        /// Its path.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The file is no plan: a key is unknown, missing or of the wrong type.
    #[error("{path}: {problem}")]
    Form {
        /// Its path.
        path: PathBuf,
        /// The first line of what is wrong.
        problem: String,
    },
    /// A value is out of its bounds.
    #[error("{key}: {problem}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong with it.
        problem: String,
    },
}

/// The size of one point.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Workers in the list.
    pub servers: usize,
    /// Routers, real ones among them.
    pub routers: usize,
    /// Real router processes.
    pub real: usize,
    /// Requests a second at each real router.
    pub requests_per_s: f64,
    /// Requests a second at each hollow router.
    pub hollow_requests_per_s: f64,
    /// Customers in the settings.
    pub tenants: usize,
    /// Models; the settings tell each as a class of its own.
    pub models: usize,
    /// Zones over which workers are spread evenly.
    pub zones: usize,
    /// Changes of the list in a minute.
    pub changes_per_min: f64,
}

/// How long a point lasts and how its traffic looks.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Conditions {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Seconds before anything is measured.
    pub warmup_s: f64,
    /// Seconds that are measured.
    pub seconds: f64,
    /// Share of the workers that read prompts.
    pub reader_share: f64,
    /// Regions over which zones are spread evenly.
    pub regions: usize,
    /// Workers of a rack; all of a rack are one cell.
    pub rack: usize,
    /// Descriptors told to a real router.
    pub sockets: usize,
    /// Connections to workers that a hollow router may hold.
    pub hollow_sockets: usize,
    /// How long a read takes, in milliseconds.
    pub read_ms: u64,
    /// Events of a stream.
    pub events: usize,
    /// Time between two of them, in milliseconds.
    pub event_ms: u64,
}

/// A quantity that a sweep varies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// [`Size::servers`].
    Servers,
    /// [`Size::routers`].
    Routers,
    /// [`Size::requests_per_s`].
    RequestsPerS,
    /// [`Size::tenants`].
    Tenants,
    /// [`Size::models`].
    Models,
    /// [`Size::zones`].
    Zones,
    /// [`Size::changes_per_min`].
    ChangesPerMin,
}

impl Quantity {
    /// Its name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Quantity::Servers => "servers",
            Quantity::Routers => "routers",
            Quantity::RequestsPerS => "requests_per_s",
            Quantity::Tenants => "tenants",
            Quantity::Models => "models",
            Quantity::Zones => "zones",
            Quantity::ChangesPerMin => "changes_per_min",
        }
    }

    /// Its value in a size.
    pub fn of(self, size: &Size) -> f64 {
        match self {
            Quantity::Servers => size.servers as f64,
            Quantity::Routers => size.routers as f64,
            Quantity::RequestsPerS => size.requests_per_s,
            Quantity::Tenants => size.tenants as f64,
            Quantity::Models => size.models as f64,
            Quantity::Zones => size.zones as f64,
            Quantity::ChangesPerMin => size.changes_per_min,
        }
    }

    /// The size with this value in its place.
    pub fn set(self, size: &Size, value: f64) -> Size {
        let mut size = size.clone();
        match self {
            Quantity::Servers => size.servers = value as usize,
            Quantity::Routers => size.routers = value as usize,
            Quantity::RequestsPerS => size.requests_per_s = value,
            Quantity::Tenants => size.tenants = value as usize,
            Quantity::Models => size.models = value as usize,
            Quantity::Zones => size.zones = value as usize,
            Quantity::ChangesPerMin => size.changes_per_min = value,
        }
        size
    }
}

/// One quantity, varied while all others stay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// What varies.
    pub vary: Quantity,
    /// Its values.
    pub values: Vec<f64>,
}

/// What fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failing {
    /// All workers of one rack.
    Rack,
    /// All workers of one zone.
    Zone,
    /// All workers of one region.
    Region,
    /// Discovery says nothing and takes no new call.
    Discovery,
}

/// A failure and its end.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: Failing,
    /// Seconds after the measurement begins.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
}

/// A run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The size from which each sweep varies one quantity.
    pub base: Size,
    /// The size for which costs are worked out.
    pub target: Size,
    /// What all points have in common.
    pub conditions: Conditions,
    /// Sweeps; without any the base alone is played.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// Failures during each point.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl Plan {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PlanError::File { path: path.to_owned(), error })?;
        let plan: Plan = toml::from_str(&text).map_err(|error| PlanError::Form {
            path: path.to_owned(),
            problem: error.message().lines().next().unwrap_or_default().to_owned(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// The points that are played: what varies, its value, the size.
    pub fn points(&self) -> Vec<(Option<Quantity>, Size)> {
        if self.sweep.is_empty() {
            return vec![(None, self.base.clone())];
        }
        let points = |sweep: &Sweep| {
            let vary = sweep.vary;
            let sizes = sweep.values.iter().map(move |value| (Some(vary), vary.set(&self.base, *value)));
            sizes.collect::<Vec<_>>()
        };
        self.sweep.iter().flat_map(points).collect()
    }

    fn check(&self) -> Result<(), PlanError> {
        self.conditions.check()?;
        self.target.check("target")?;
        for (_, size) in self.points() {
            size.check("base")?;
            self.check_descriptors(&size)?;
        }
        if self.sweep.iter().any(|sweep| sweep.values.len() < 2) {
            return Err(wrong("sweep.values", "a line needs two values at least"));
        }
        let past = |fault: &Fault| fault.at_s + fault.for_s > self.conditions.seconds;
        if self.fault.iter().any(|fault| !positive(fault.at_s) || !positive(fault.for_s) || past(fault)) {
            return Err(wrong("fault", "must begin and end within the seconds that are measured"));
        }
        Ok(())
    }

    /// Hollow parts share one process and its descriptors; each of their connections has both ends in it.
    fn check_descriptors(&self, size: &Size) -> Result<(), PlanError> {
        let hollow = size.routers - size.real;
        let links = 2 * hollow * self.conditions.hollow_sockets.min(size.servers);
        let real = size.real * self.conditions.sockets;
        let needed = SPARE_DESCRIPTORS + size.servers + links + 2 * size.routers + real;
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        match limit {
            Some(limit) if needed as u64 > limit => Err(wrong(
                "conditions.hollow_sockets",
                &format!("{needed} descriptors are needed and {limit} may be open"),
            )),
            _ => Ok(()),
        }
    }
}

impl Size {
    fn check(&self, key: &'static str) -> Result<(), PlanError> {
        let counts = [
            ("servers", self.servers, 2, MOST),
            ("routers", self.routers, 1, MOST),
            ("real", self.real, 1, MOST_REAL.min(self.routers)),
            ("tenants", self.tenants, 1, 100_000),
            ("models", self.models, 1, 1_000),
            ("zones", self.zones, 1, self.servers),
        ];
        for (name, value, least, most) in counts {
            if value < least || value > most {
                return Err(wrong(key, &format!("{name} must be {least} to {most}, and is {value}")));
            }
        }
        let rates = [self.requests_per_s, self.hollow_requests_per_s, self.changes_per_min];
        if rates.into_iter().any(|rate| !(0.0..=10_000.0).contains(&rate)) {
            return Err(wrong(key, "rates must be 0 to 10000"));
        }
        Ok(())
    }
}

impl Conditions {
    fn check(&self) -> Result<(), PlanError> {
        let key = "conditions";
        if !positive(self.seconds) || !(0.0..=LONGEST_POINT).contains(&self.warmup_s) {
            return Err(wrong(key, "seconds must be above 0, warmup_s not below"));
        }
        if self.seconds + self.warmup_s > LONGEST_POINT {
            return Err(wrong(key, &format!("a point lasts {LONGEST_POINT} s at most")));
        }
        if !(self.reader_share > 0.0 && self.reader_share < 1.0) {
            return Err(wrong(key, "reader_share must be between 0 and 1"));
        }
        if self.regions == 0 || self.rack == 0 || self.events == 0 || self.hollow_sockets == 0 {
            return Err(wrong(key, "regions, rack, events and hollow_sockets must be 1 at least"));
        }
        Ok(())
    }
}

fn positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn wrong(key: &'static str, problem: &str) -> PlanError {
    PlanError::Value { key, problem: problem.to_owned() }
}
