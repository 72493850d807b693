//! Drawing, writing, reading, checking and shrinking of plans.

use fawnstream_soak::fault::{Fault, FaultAction, SilentRole};
use fawnstream_soak::plan::{Plan, PlanError};
use fawnstream_soak::shrink::shrink;

#[test]
fn plans_are_deterministic_and_survive_a_round_trip_through_a_file() {
    let folder = tempfile::tempdir().unwrap();
    for seed in 1..50 {
        let plan = Plan::draw(seed);
        assert_eq!(plan, Plan::draw(seed));
        assert!((10..=40).contains(&plan.routers), "{}", plan.routers);
        let path = folder.path().join("plan.toml");
        plan.write(&path).unwrap();
        assert_eq!(Plan::read(&path).unwrap(), plan);
    }
}

#[test]
fn faults_overlap_in_most_plans() {
    let overlaps = |plan: &Plan| {
        let ends = |at: usize| plan.faults[at].at_ms + plan.faults[at].for_ms;
        (1..plan.faults.len()).any(|at| plan.faults[at].at_ms < ends(at - 1))
    };
    let count = (1..=100).filter(|seed| overlaps(&Plan::draw(*seed))).count();
    assert!(count > 80, "{count} of 100");
}

/// A release goes to "any worker". With all servers silent at once no router could release its leases in time.
#[test]
fn readers_and_writers_are_never_silent_at_the_same_time() {
    let silent = |plan: &Plan, role: SilentRole| -> Vec<Fault> {
        let has_role = |fault: &&Fault| fault.action == FaultAction::RoleSilent { role };
        plan.faults.iter().filter(has_role).cloned().collect()
    };
    let overlap = |a: &Fault, b: &Fault| a.at_ms < b.at_ms + b.for_ms && b.at_ms < a.at_ms + a.for_ms;
    let (mut readers_silent, mut writers_silent) = (0, 0);
    for seed in 1..1_000 {
        let plan = Plan::draw(seed);
        let (readers, writers) = (silent(&plan, SilentRole::Readers), silent(&plan, SilentRole::Writers));
        readers_silent += readers.len();
        writers_silent += writers.len();
        assert!(
            !readers.iter().any(|reader| writers.iter().any(|writer| overlap(reader, writer))),
            "seed {seed}"
        );
    }
    assert!(readers_silent > 50 && writers_silent > 50, "{readers_silent}, {writers_silent}");
}

#[test]
fn invalid_plan_files_give_a_one_line_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("plan.toml");
    let valid = "seed = 1\nrouters = 2\nreaders = 1\nwriters = 1\nrequests_per_s = 10.0\nquiet_ms = 0\nload_ms = 100\n";
    let read_error = |text: &str| {
        std::fs::write(&path, text).unwrap();
        Plan::read(&path).unwrap_err().to_string()
    };
    assert!(read_error(&valid.replace("routers = 2", "routers = 0")).contains("routers"));
    assert!(read_error(&valid.replace("10.0", "-1.0")).contains("requests_per_s"));
    let fault = "[[troubles]]\nat_ms = 1\nfor_ms = 1\nwhat = \"worker_hangs\"\nworker = 9\n";
    assert!(read_error(&format!("{valid}{fault}")).contains("a worker that there is not"));
    assert!(read_error("what = is").lines().count() == 1);
    assert!(matches!(Plan::read(&folder.path().join("none")), Err(PlanError::Io(_))));
}

#[test]
fn shrinking_keeps_only_the_two_faults_that_fail() {
    let mut plan = Plan::draw(1);
    plan.faults = (0..9).map(|n| Plan::draw(n + 1).faults[0].clone()).collect();
    let (first, second) = (plan.faults[2].clone(), plan.faults[7].clone());
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let wanted = [first.clone(), second.clone()];
    let fails = |plan: Plan| {
        let both = wanted.iter().all(|fault| plan.faults.contains(fault));
        async move { both }
    };
    let shrunk = runtime.block_on(shrink(plan, 100, fails));
    assert_eq!(shrunk.faults, [first, second]);
}
