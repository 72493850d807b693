//! A small run end to end: counts, bytes and bounds, never times; and what a plan must not say.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PLAN: &str = include_str!("../plans/small.toml");

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn plan(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("plan.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn run(arguments: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fawnstream-scale")).args(arguments).output().unwrap()
}

/// The run's report, and what it printed.
fn play(text: &str) -> (serde_json::Value, String) {
    let folder = folder();
    let (json, csv) = (folder.path().join("all.json"), folder.path().join("points.csv"));
    let plan = plan(folder.path(), text);
    let output = run(&[&plan, Path::new("--json"), &json, Path::new("--csv"), &csv]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{said}");
    let lines = std::fs::read_to_string(csv).unwrap().lines().count();
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(json).unwrap()).unwrap();
    assert_eq!(lines, 1 + 9 * report["points"].as_array().unwrap().len(), "a line for each figure");
    (report, String::from_utf8_lossy(&output.stdout).into_owned())
}

fn whole(value: &serde_json::Value) -> u64 {
    value.as_u64().unwrap_or_else(|| panic!("{value} is no count"))
}

#[test]
fn routers_hear_of_every_change_and_serve_what_they_are_asked() {
    let (report, rows) = play(PLAN);
    let result = &report["points"][0]["result"];
    let (changes, complete) = (whole(&result["spread"]["changes"]), whole(&result["spread"]["complete"]));
    assert!(changes >= 1 && complete == changes, "{complete} of {changes} were in force everywhere");
    let [served, refused, failed] = [0, 1, 2].map(|at| whole(&result["answers"][at]));
    assert!(served >= 10 && refused + failed == 0, "{served} served, {refused} refused, {failed} failed");
    assert!(whole(&result["hollow_answers"][0]) >= 10);
    let figures = &result["figures"];
    let bytes = figures["discovery_bytes_per_s"].as_f64().unwrap();
    assert!((1.0..10_000.0).contains(&bytes), "{bytes} bytes a second from discovery");
    assert!(figures["peak_memory_mb"].as_f64().unwrap() < 192.0);
    assert!(figures["descriptors"].as_f64().unwrap() <= 200.0);
    assert!(whole(&result["worker_connections"]) <= 3 * 8 + 200);
    assert!(rows.contains("| 8 servers, 4 routers |"), "{rows}");
}

#[test]
fn a_rack_that_fails_and_a_silent_discovery_end_with_the_run() {
    let faults = "[[fault]]\nkind = \"rack\"\nat_s = 0.5\nfor_s = 1.0\n\n\
        [[fault]]\nkind = \"discovery\"\nat_s = 2.0\nfor_s = 1.0\n";
    let (report, _) = play(&format!("{PLAN}\n{faults}"));
    let result = &report["points"][0]["result"];
    assert!(whole(&result["answers"][0]) >= 10, "{result}");
}

#[test]
fn a_sweep_is_fitted() {
    let text = PLAN.replace("seconds = 4.0", "seconds = 1.5");
    let (report, rows) = play(&format!("{text}\n[[sweep]]\nvary = \"servers\"\nvalues = [4, 8, 12]\n"));
    let slopes = report["slopes"].as_array().unwrap();
    assert_eq!(slopes.len(), 9);
    assert!(slopes.iter().all(|slope| slope["points"].as_array().unwrap().len() == 3));
    assert!(rows.contains("| peak_memory_mb | servers |"), "{rows}");
}

#[test]
fn a_bad_plan_is_one_line_and_a_failure() {
    let rows = [
        ("servers = 8", "servers = 0", "servers must be 2 to 4096, and is 0"),
        ("servers = 8", "serverz = 8", "unknown field `serverz`"),
        ("servers = 8", "", "missing field `servers`"),
        ("real = 1", "real = 5", "real must be 1 to 4, and is 5"),
        ("requests_per_s = 20.0", "requests_per_s = -1.0", "rates must be 0 to 10000"),
        ("seconds = 4.0", "seconds = 4000.0", "a point lasts 900 s at most"),
        ("sockets = 200", "sockets = 20000000", "descriptors are needed"),
    ];
    for (old, new, wanted) in rows {
        let folder = folder();
        assert!(PLAN.contains(old), "{old}");
        let output = run(&[&plan(folder.path(), &PLAN.replacen(old, new, 1))]);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.lines().count() == 1, "{said}");
        assert!(said.contains(wanted), "{new}: {said}");
    }
    let missing = run(&[Path::new("/nowhere/plan.toml")]);
    assert!(!missing.status.success());
}

/// A router that can't be used ends the run: a port in use is told by the router itself.
#[test]
fn a_router_that_does_not_start_is_one_line_and_a_failure() {
    let folder = folder();
    let plan = plan(folder.path(), PLAN);
    for program in ["/nowhere/router", "/bin/false"] {
        let output = run(&[&plan, Path::new("--router"), Path::new(program)]);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.lines().count() == 1, "{said}");
    }
}
