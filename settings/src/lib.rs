//! The settings object that a router is told, by the simulator's first message or in its configuration.
//! Keys that are not named here are ignored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::Deserialize;
use shedrelay::*;

/// Names that events use, in the settings' order.
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Customers.
    pub tenants: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// What the settings say of connections.
#[derive(Clone, Copy)]
pub struct ConnectionSettings {
    /// Servers close a connection idle for so long, at the latest.
    pub idle: Span,
    /// A connection that is not up by then has failed.
    pub connect: Span,
    /// So long after a router was told that a server drains, what it sends there has to have stopped.
    pub drain_grace: Span,
    /// What is held for a request with no attempt out is taken or let go of in this time.
    pub release_within: Span,
    /// The longest time for which a client waits; none where no class tells it.
    pub longest_wait: Option<Span>,
}

/// The settings object.
#[derive(Deserialize)]
pub struct RawSettings {
    balancers: u32,
    ceilings: Ceilings,
    classes: Vec<RawClass>,
    extra: Extra,
    kinds: Vec<String>,
    #[serde(default)]
    over_share_worth: f64,
    registry_mode: String,
    rules: RawRules,
    self_index: u32,
    telemetry: Telemetry,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct Ceilings {
    cancel: bool,
    #[serde(default = "usual_idle")]
    conn_idle: u64,
    #[serde(default = "usual_connect")]
    connect_timeout: u64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: u64,
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
struct RawClass {
    aim: u64,
    give_up: Option<u64>,
    #[serde(default)]
    dedup_scope: Option<String>,
    effect: String,
    #[serde(default)]
    memory_span: u64,
    name: String,
    worth: f64,
}

#[derive(Deserialize)]
struct Extra {
    #[serde(default)]
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    duty_by_kind: Vec<String>,
    #[serde(default)]
    kv_tokens: Vec<f64>,
    #[serde(default)]
    local_read: bool,
    #[serde(default = "usual_release")]
    release_within: u64,
}

#[derive(Deserialize)]
struct RawRules {
    cold: u64,
    cold_share: f64,
    /// Where none is told, nothing is sent any more.
    #[serde(default)]
    drain_grace: u64,
    fall: u64,
    fall_multiple: f64,
}

#[derive(Deserialize)]
struct Telemetry {
    #[serde(default)]
    fields: Vec<String>,
    via: String,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    quota_per_s: f64,
}

fn usual_idle() -> u64 {
    15_000_000_000
}

fn usual_release() -> u64 {
    500_000_000
}

fn usual_connect() -> u64 {
    250_000_000
}

impl RawClass {
    fn to_class(&self, stretch_us: f64) -> Result<Class, String> {
        let effect = match self.effect.as_str() {
            "pure" => Effect::Safe,
            "side_effect" => Effect::Unsafe,
            "token" => {
                let scope = match self.dedup_scope.as_deref() {
                    Some("all") => DedupScope::All,
                    Some("zone") => DedupScope::Zone,
                    Some("cell") => DedupScope::Cell,
                    other => return Err(format!("classes[].dedup_scope: unknown scope {other:?}")),
                };
                Effect::Keyed(scope, Span(self.memory_span))
            }
            other => return Err(format!("classes[].effect: unknown effect `{other}`")),
        };
        let aim_per_1000 = Span((stretch_us * 1000.0) as u64);
        Ok(Class { aim: Span(self.aim), aim_per_1000, worth: self.worth, effect })
    }
}

impl RawSettings {
    /// What is told of connections to servers.
    pub fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            idle: Span(self.ceilings.conn_idle),
            connect: Span(self.ceilings.connect_timeout),
            drain_grace: Span(self.rules.drain_grace),
            release_within: Span(self.extra.release_within),
            longest_wait: self.classes.iter().filter_map(|class| class.give_up).max().map(Span),
        }
    }

    /// The module's settings, and the names that events will use.
    pub fn into_settings(self) -> Result<(Settings, Names), String> {
        let stretch =
            |place: usize| self.extra.aim_us_per_1000_prompt_tokens.get(place).copied().unwrap_or(0.0);
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(place, class)| class.to_class(stretch(place)))
            .collect::<Result<_, _>>()?;
        if self.extra.duty_by_kind.len() != self.kinds.len() {
            return Err("extra.duty_by_kind: must have one value for each of kinds".to_owned());
        }
        let memory = |place: usize| self.extra.kv_tokens.get(place).copied();
        let kinds = self
            .extra
            .duty_by_kind
            .iter()
            .enumerate()
            .map(|(place, duty)| {
                let role = match duty.as_str() {
                    "read" => Role::Reader,
                    "write" => Role::Writer,
                    "both" => Role::Mixed,
                    other => return Err(format!("extra.duty_by_kind: unknown duty `{other}`")),
                };
                Ok(Kind { role, memory_tokens: memory(place) })
            })
            .collect::<Result<_, String>>()?;
        let list_on_request = match self.registry_mode.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("registry_mode: unknown mode `{other}`")),
        };
        let told = self.telemetry.via == "probe" && self.telemetry.fields.iter().any(|field| field == "x0");
        let settings = Settings {
            routers: self.balancers,
            router: self.self_index,
            max_attempts: self.ceilings.max_attempts,
            may_cancel: self.ceilings.cancel,
            probed_reports: self.ceilings.probes && told,
            max_backoff: self.ceilings.retry_after.then_some(Span(self.ceilings.max_retry_after)),
            list_on_request,
            writers_read: self.extra.local_read,
            over_share_worth: self.over_share_worth,
            rules: Rules {
                cold_share: self.rules.cold_share,
                cold: Span(self.rules.cold),
                fall_multiple: self.rules.fall_multiple,
                fall: Span(self.rules.fall),
            },
            kinds,
            classes,
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        };
        let names = Names {
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            kinds: self.kinds,
            zones: self.zones,
        };
        Ok((settings, names))
    }
}
