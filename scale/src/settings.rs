//! Settings and configuration of the routers of a point.

use crate::layout::{READER_FLAVOR, WRITER_FLAVOR};
use crate::plan::{Conditions, Size};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Budget of every request, in seconds.
pub const REQUEST_BUDGET_S: f64 = 10.0;

/// Name of a model and of its class.
pub fn model_name(number: usize) -> String {
    format!("model-{number}")
}

/// Name of a tenant.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

/// Name of a zone.
pub fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

/// The settings object for one router.
pub fn settings(size: &Size, router: usize) -> Value {
    let hollow_rate = (size.routers - size.real) as f64 * size.hollow_requests_per_s;
    let total_rate = hollow_rate + size.real as f64 * size.requests_per_s;
    let quota = (total_rate / size.tenants as f64).max(1.0);
    let classes = (0..size.models).map(|number| {
        json!({"name": model_name(number), "effect": "pure", "aim": 1_500_000_000u64, "worth": 1.0,
            "give_up": (REQUEST_BUDGET_S * 1e9) as u64})
    });
    let tenants = (0..size.tenants).map(|number| json!({"name": tenant_name(number), "quota_per_s": quota}));
    json!({
        "balancers": size.routers,
        "self_index": router,
        "registry_mode": "pushed",
        "over_share_worth": 0.1,
        "kinds": [READER_FLAVOR, WRITER_FLAVOR],
        "zones": (0..size.zones).map(zone_name).collect::<Vec<_>>(),
        "extra": {"duty_by_kind": ["read", "write"], "kv_tokens": [250_000, 150_000], "release_within": 500_000_000},
        "ceilings": {"cancel": true, "probes": false, "max_attempts": 4, "retry_after": true,
            "max_retry_after": 500_000_000, "conn_idle": 15_000_000_000u64, "connect_timeout": 250_000_000},
        "rules": {"cold": 12_000_000_000u64, "cold_share": 0.3, "fall": 3_000_000_000u64, "fall_multiple": 4.0,
            "drain_grace": 500_000_000},
        "telemetry": {"via": "answers", "fields": ["inflight", "queue", "x0", "x1"]},
        "tenants": tenants.collect::<Vec<_>>(),
        "classes": classes.collect::<Vec<_>>(),
    })
}

/// The configuration file of one real router. The router starts without a server list.
pub fn router_config(size: &Size, conditions: &Conditions, router: usize, discovery: SocketAddr) -> Value {
    json!({
        "name": format!("n{router}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "mgmt": "127.0.0.1:0",
        "seed": format!("{:016x}", conditions.seed.wrapping_add(router as u64)),
        "limits": {"sockets": conditions.sockets, "memory_mb": 256},
        "settings": settings(size, router),
    })
}
