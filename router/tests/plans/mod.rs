//! Plays plans of the fault soak's folder against the built program.

use fawnstream_soak::oracle::{MOST_LATE, Violation, judge};
use fawnstream_soak::plan::Plan;
use fawnstream_soak::story::Seen;
use fawnstream_soak::world::play;
use std::path::Path;

/// A play on a machine that was too busy is played again, so often at most.
const TRIES: usize = 3;

fn plan(name: &str) -> Plan {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../soak/plans");
    Plan::read(&folder.join(name).with_extension("toml")).unwrap()
}

fn told(violation: &Violation) -> String {
    format!("{}: {}\n{}", violation.check, violation.what, violation.story.join("\n"))
}

/// Plays a plan; what was seen, and the rules that were broken.
async fn played(plan: &Plan) -> (Seen, Vec<String>) {
    let program = Path::new(env!("CARGO_BIN_EXE_fawnstream"));
    let mut seen = Seen::default();
    for _ in 0..TRIES {
        let folder = tempfile::tempdir().unwrap();
        seen = play(plan, program, folder.path()).await.unwrap();
        if seen.lateness <= MOST_LATE {
            break;
        }
    }
    assert!(seen.requests.len() > 200, "{} requests", seen.requests.len());
    let broken = judge(&seen, plan).iter().map(told).collect();
    (seen, broken)
}

/// Plays a plan and breaks no rule.
pub async fn keeps_all_rules(name: &str) -> Seen {
    let (seen, broken) = played(&plan(name)).await;
    assert!(broken.is_empty(), "{name}: {} rules broken:\n{}", broken.len(), broken.join("\n"));
    seen
}
