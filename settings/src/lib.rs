//! The JSON settings object of a router, from its configuration file or the simulator's first message. Unknown keys
//! are ignored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::Deserialize;
use shedrelay::*;

/// Names used in events; each name's index is its id in [`Settings`].
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// Timeouts of connections to servers and of what servers hold.
#[derive(Clone, Copy)]
pub struct ConnectionSettings {
    /// Connect timeout.
    pub connect: Span,
    /// Time after the notice that a server drains by which a router must have stopped sending there.
    pub drain_grace: Span,
    /// Time within which a state must be fetched or released while its request has no attempt in flight.
    pub release_within: Span,
    /// Longest time that a client waits; `None` if no class sets one.
    pub longest_wait: Option<Span>,
}

/// The settings object as written in JSON.
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
    /// Default 0: nothing may be sent to a draining server.
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

fn usual_release() -> u64 {
    500_000_000
}

fn usual_connect() -> u64 {
    250_000_000
}

impl RawClass {
    fn to_class(&self, aim_us_per_1000: f64) -> Result<Class, String> {
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
        let aim_per_1000 = Span((aim_us_per_1000 * 1000.0) as u64);
        Ok(Class { aim: Span(self.aim), aim_per_1000, worth: self.worth, effect })
    }
}

impl RawSettings {
    /// The settings for connections to servers.
    pub fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            connect: Span(self.ceilings.connect_timeout),
            drain_grace: Span(self.rules.drain_grace),
            release_within: Span(self.extra.release_within),
            longest_wait: self.classes.iter().filter_map(|class| class.give_up).max().map(Span),
        }
    }

    /// Converts to the router's settings and the names used in events.
    pub fn into_settings(self) -> Result<(Settings, Names), String> {
        let aim_us_per_1000 =
            |index: usize| self.extra.aim_us_per_1000_prompt_tokens.get(index).copied().unwrap_or(0.0);
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| class.to_class(aim_us_per_1000(index)))
            .collect::<Result<_, _>>()?;
        if self.extra.duty_by_kind.len() != self.kinds.len() {
            return Err("extra.duty_by_kind: must have one value for each of kinds".to_owned());
        }
        let memory = |index: usize| self.extra.kv_tokens.get(index).copied();
        let kinds = self
            .extra
            .duty_by_kind
            .iter()
            .enumerate()
            .map(|(index, duty)| {
                let role = match duty.as_str() {
                    "read" => Role::Reader,
                    "write" => Role::Writer,
                    "both" => Role::Mixed,
                    other => return Err(format!("extra.duty_by_kind: unknown duty `{other}`")),
                };
                Ok(Kind { role, memory_tokens: memory(index) })
            })
            .collect::<Result<_, String>>()?;
        let subscribe_to_list = match self.registry_mode.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("registry_mode: unknown mode `{other}`")),
        };
        let has_reports =
            self.telemetry.via == "probe" && self.telemetry.fields.iter().any(|field| field == "x0");
        let settings = Settings {
            routers: self.balancers,
            router: self.self_index,
            max_attempts: self.ceilings.max_attempts,
            may_cancel: self.ceilings.cancel,
            probes_enabled: self.ceilings.probes && has_reports,
            refusal_backoff: self.ceilings.retry_after.then_some(Span(self.ceilings.max_retry_after)),
            subscribe_to_list,
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
