//! The configuration of router processes.

use crate::class::Class;
use crate::limits::{
    DRAIN_GRACE, MAX_SOCKETS, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, QUOTA_FACTOR, SLOW_START_SHARE,
    SLOW_START_TIME,
};
use crate::plan::Plan;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// One router's configuration with its settings. `members` is the list of servers known at its start.
pub fn configuration(router: usize, plan: &Plan, discovery: SocketAddr, members: &Value) -> Value {
    let nanos = |time: Duration| time.as_nanos() as u64;
    let class = |class: Class, effect: &str| {
        json!({"name": class.name(), "effect": effect, "aim": 2_500_000_000u64, "worth": 1.0,
            "give_up": nanos(plan.budget()), "dedup_scope": "all", "memory_span": nanos(plan.dedup_window())})
    };
    json!({
        "name": format!("n{router}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "mgmt": "127.0.0.1:0", "seed": format!("{:016x}", 0x5eed + router),
        "limits": {"sockets": MAX_SOCKETS},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {
            "balancers": plan.routers, "self_index": router, "registry_mode": "pushed", "over_share_worth": 0.1,
            "kinds": ["reads", "writes"], "zones": [],
            "extra": {"duty_by_kind": ["read", "write"], "kv_tokens": [400_000, 400_000],
                "release_within": nanos(plan.release_within())},
            "ceilings": {"cancel": true, "probes": false, "max_attempts": 3, "retry_after": true,
                "max_retry_after": 250_000_000u64, "conn_idle": 6_000_000_000u64, "connect_timeout": 250_000_000u64},
            "rules": {"cold": nanos(SLOW_START_TIME), "cold_share": SLOW_START_SHARE, "fall": nanos(OVERLOAD_WINDOW),
                "fall_multiple": OVERLOAD_MULTIPLE, "drain_grace": nanos(DRAIN_GRACE)},
            "telemetry": {"via": "answers", "fields": ["x0"]},
            "tenants": [{"name": "donaupay", "quota_per_s": plan.requests_per_s * QUOTA_FACTOR}],
            "classes": [class(Class::Pure, "pure"), class(Class::SideEffect, "side_effect"), class(Class::Keyed, "token")],
        }
    })
}
