//! Plays plans of the fault soak's folder against the built program.

use fawnstream_soak::harness::run_plan;
use fawnstream_soak::oracle::{MAX_LATENESS, Violation, judge};
use fawnstream_soak::plan::Plan;
use fawnstream_soak::trace::Observations;
use std::path::Path;

/// A play on a machine that was too busy is played again, so often at most.
const TRIES: usize = 3;

fn plan(name: &str) -> Plan {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../soak/plans");
    Plan::read(&folder.join(name).with_extension("toml")).unwrap()
}

fn told(violation: &Violation) -> String {
    format!("{}: {}\n{}", violation.check, violation.message, violation.trace.join("\n"))
}

/// Plays a plan; what was seen, and the rules that were broken.
async fn played(plan: &Plan) -> (Observations, Vec<String>) {
    let program = Path::new(env!("CARGO_BIN_EXE_fawnstream"));
    let mut seen = Observations::default();
    for _ in 0..TRIES {
        let folder = tempfile::tempdir().unwrap();
        seen = run_plan(plan, program, folder.path()).await.unwrap();
        if seen.lateness <= MAX_LATENESS {
            break;
        }
    }
    assert!(seen.requests.len() > 200, "{} requests", seen.requests.len());
    let broken = judge(&seen, plan).iter().map(told).collect();
    (seen, broken)
}

/// Plays a plan and breaks no rule.
pub async fn keeps_all_rules(name: &str) -> Observations {
    let (seen, broken) = played(&plan(name)).await;
    assert!(broken.is_empty(), "{name}: {} rules broken:\n{}", broken.len(), broken.join("\n"));
    seen
}
