//! The plan file of a run: deployment sizes, conditions, sweeps and faults.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Longest warm-up and measurement of one point, in seconds.
const MAX_POINT_S: f64 = 900.0;
/// Most routers and most servers of a run; all share one machine.
const MAX_ROUTERS_OR_SERVERS: usize = 4_096;
/// Most real router processes of a run.
const MAX_REAL_ROUTERS: usize = 16;
/// Descriptors of standard streams, timers and logs, which are not counted one by one.
const SPARE_DESCRIPTORS: usize = 200;

/// Why a plan cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The plan file.
        path: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{path}: {problem}")]
    Syntax {
        /// The plan file.
        path: PathBuf,
        /// First line of the parser's message.
        problem: String,
    },
    /// A value is out of bounds.
    #[error("{key}: {problem}")]
    Value {
        /// Key or table of the value.
        key: &'static str,
        /// The bound that it breaks.
        problem: String,
    },
}

/// Deployment size at one point.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Workers in the server list.
    pub servers: usize,
    /// All routers, real and hollow.
    pub routers: usize,
    /// Real router processes.
    pub real: usize,
    /// Requests per second at each real router.
    pub requests_per_s: f64,
    /// Requests per second at each hollow router.
    pub hollow_requests_per_s: f64,
    /// Tenants in the settings.
    pub tenants: usize,
    /// Models; each is a class of its own in the settings.
    pub models: usize,
    /// Zones; workers are spread evenly over them.
    pub zones: usize,
    /// Changes of the server list per minute.
    pub changes_per_min: f64,
}

/// Duration and traffic, the same for all points of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Conditions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Warm-up before the measurement, in seconds.
    pub warmup_s: f64,
    /// Length of the measurement, in seconds.
    pub seconds: f64,
    /// Share of workers that are readers.
    pub reader_share: f64,
    /// Regions; zones are spread evenly over them.
    pub regions: usize,
    /// Workers per rack; each rack is one cell.
    pub rack: usize,
    /// Descriptor limit in the configuration of a real router.
    pub sockets: usize,
    /// Most connections from a hollow router to workers.
    pub hollow_sockets: usize,
    /// Time until a worker begins its answer, in milliseconds.
    pub read_ms: u64,
    /// Token events of a stream.
    pub events: usize,
    /// Time between two events, in milliseconds.
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
    /// Name in the plan file.
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

    /// Value of this quantity in `size`.
    pub fn value_in(self, size: &Size) -> f64 {
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

    /// Copy of `size` in which this quantity has the given value.
    pub fn with_value(self, size: &Size, value: f64) -> Size {
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

/// One quantity that varies while all others keep their base values.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The quantity.
    pub vary: Quantity,
    /// Values that it takes.
    pub values: Vec<f64>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All workers of one rack.
    Rack,
    /// All workers of one zone.
    Zone,
    /// All workers of one region.
    Region,
    /// Discovery sends nothing and answers no new request.
    Discovery,
}

/// A failure that begins and ends during the measurement.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Start, in seconds after the measurement begins.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
}

/// All that is set for a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Size of which each sweep varies one quantity.
    pub base: Size,
    /// Size to which the fitted lines are extrapolated.
    pub target: Size,
    /// Conditions of all points.
    pub conditions: Conditions,
    /// Sweeps; without any, only the base size is run.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// Faults during each point.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl Plan {
    /// Reads and checks a plan file.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PlanError::Read { path: path.to_owned(), error })?;
        let plan: Plan = toml::from_str(&text).map_err(|error| PlanError::Syntax {
            path: path.to_owned(),
            problem: error.message().lines().next().unwrap_or_default().to_owned(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// All points to run: the varied quantity, if any, and the size.
    pub fn points(&self) -> Vec<(Option<Quantity>, Size)> {
        if self.sweep.is_empty() {
            return vec![(None, self.base.clone())];
        }
        let points = |sweep: &Sweep| {
            let vary = sweep.vary;
            let sizes =
                sweep.values.iter().map(move |value| (Some(vary), vary.with_value(&self.base, *value)));
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
            return Err(value_error("sweep.values", "a sweep needs at least two values"));
        }
        let ends_late = |fault: &Fault| fault.at_s + fault.for_s > self.conditions.seconds;
        if self
            .fault
            .iter()
            .any(|fault| !is_positive(fault.at_s) || !is_positive(fault.for_s) || ends_late(fault))
        {
            return Err(value_error("fault", "must begin and end within the measured seconds"));
        }
        Ok(())
    }

    /// Hollow routers and workers share one process, so both ends of each of their connections count against its
    /// descriptor limit.
    fn check_descriptors(&self, size: &Size) -> Result<(), PlanError> {
        let hollow = size.routers - size.real;
        let connection_ends = 2 * hollow * self.conditions.hollow_sockets.min(size.servers);
        let real = size.real * self.conditions.sockets;
        let needed = SPARE_DESCRIPTORS + size.servers + connection_ends + 2 * size.routers + real;
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        match limit {
            Some(limit) if needed as u64 > limit => Err(value_error(
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
            ("servers", self.servers, 2, MAX_ROUTERS_OR_SERVERS),
            ("routers", self.routers, 1, MAX_ROUTERS_OR_SERVERS),
            ("real", self.real, 1, MAX_REAL_ROUTERS.min(self.routers)),
            ("tenants", self.tenants, 1, 100_000),
            ("models", self.models, 1, 1_000),
            ("zones", self.zones, 1, self.servers),
        ];
        for (name, value, least, most) in counts {
            if value < least || value > most {
                return Err(value_error(key, &format!("{name} must be {least} to {most}, and is {value}")));
            }
        }
        let rates = [self.requests_per_s, self.hollow_requests_per_s, self.changes_per_min];
        if rates.into_iter().any(|rate| !(0.0..=10_000.0).contains(&rate)) {
            return Err(value_error(key, "rates must be 0 to 10000"));
        }
        Ok(())
    }
}

impl Conditions {
    fn check(&self) -> Result<(), PlanError> {
        let key = "conditions";
        if !is_positive(self.seconds) || !(0.0..=MAX_POINT_S).contains(&self.warmup_s) {
            return Err(value_error(key, "seconds must be above 0, and warmup_s must not be negative"));
        }
        if self.seconds + self.warmup_s > MAX_POINT_S {
            return Err(value_error(key, &format!("a point lasts {MAX_POINT_S} s at most")));
        }
        if !(self.reader_share > 0.0 && self.reader_share < 1.0) {
            return Err(value_error(key, "reader_share must be between 0 and 1"));
        }
        if self.regions == 0 || self.rack == 0 || self.events == 0 || self.hollow_sockets == 0 {
            return Err(value_error(key, "regions, rack, events and hollow_sockets must be at least 1"));
        }
        Ok(())
    }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn value_error(key: &'static str, problem: &str) -> PlanError {
    PlanError::Value { key, problem: problem.to_owned() }
}
