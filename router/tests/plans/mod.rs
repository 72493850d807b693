//! Plays plans of the fault soak (folder `soak/plans`) against the built program.

use fawnstream_soak::harness::run_plan;
use fawnstream_soak::oracle::{MAX_LATENESS, Violation, judge};
use fawnstream_soak::plan::Plan;
use fawnstream_soak::trace::Observations;
use std::path::Path;

/// Most plays of one plan: a play is repeated if the machine was too busy.
const MAX_PLAYS: usize = 3;

fn read_plan(name: &str) -> Plan {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../soak/plans");
    Plan::read(&folder.join(name).with_extension("toml")).unwrap()
}

fn describe(violation: &Violation) -> String {
    format!("{}: {}\n{}", violation.check, violation.message, violation.trace.join("\n"))
}

/// Plays a plan; returns what was observed, and the violations.
async fn play_plan(plan: &Plan) -> (Observations, Vec<String>) {
    let program = Path::new(env!("CARGO_BIN_EXE_fawnstream"));
    let mut seen = Observations::default();
    for _ in 0..MAX_PLAYS {
        let folder = tempfile::tempdir().unwrap();
        seen = run_plan(plan, program, folder.path()).await.unwrap();
        if seen.lateness <= MAX_LATENESS {
            break;
        }
    }
    assert!(seen.requests.len() > 200, "{} requests", seen.requests.len());
    let violations = judge(&seen, plan).iter().map(describe).collect();
    (seen, violations)
}

/// Plays a plan and asserts that it violates no rule.
pub async fn assert_no_violations(name: &str) -> Observations {
    let (seen, violations) = play_plan(&read_plan(name)).await;
    assert!(violations.is_empty(), "{name}: {} violations:\n{}", violations.len(), violations.join("\n"));
    seen
}
