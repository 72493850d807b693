//! A short, fixed set of fault soak plans against the built program; `docs/testing.md` describes the long run.

use fawnstream_soak::harness::run_plan;
use fawnstream_soak::oracle::{MAX_LATENESS, judge};
use fawnstream_soak::plan::Plan;
use fawnstream_soak::trace::Observations;
use std::path::Path;

/// Seeds whose fault plans cover stops, kills, crashes, drains, silences, and failing system calls and disks.
const SEEDS: [u64; 4] = [3, 5, 13, 70];
/// Most plays of one plan: a play is repeated if the machine was too busy.
const MAX_PLAYS: usize = 3;
/// Plans played at once.
const CONCURRENT_PLAYS: usize = 2;

async fn violations(seed: u64) -> Vec<String> {
    let plan = Plan { quiet_ms: 500, ..Plan::draw(seed) };
    let program = Path::new(env!("CARGO_BIN_EXE_fawnstream"));
    let mut seen = Observations::default();
    for _ in 0..MAX_PLAYS {
        let folder = tempfile::tempdir().unwrap();
        seen = run_plan(&plan, program, folder.path()).await.unwrap();
        if seen.lateness <= MAX_LATENESS {
            break;
        }
    }
    assert!(seen.requests.len() > 100, "seed {seed}: {} requests", seen.requests.len());
    let violations = judge(&seen, &plan);
    violations
        .iter()
        .map(|v| format!("seed {seed}: {}: {}\n{}", v.check, v.message, v.trace.join("\n")))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn fixed_seeds_violate_no_rule() {
    for seeds in SEEDS.chunks(CONCURRENT_PLAYS) {
        let plays: Vec<_> = seeds.iter().map(|seed| tokio::spawn(violations(*seed))).collect();
        for play in plays {
            let violations = play.await.unwrap();
            assert!(violations.is_empty(), "{}", violations.join("\n"));
        }
    }
}
