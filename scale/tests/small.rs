//! Small runs end to end, and rejected plans. Checks counts, bytes and limits, but no times, which depend on the
//! machine.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PLAN: &str = include_str!("../plans/small.toml");

fn temp_folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn write_plan(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("plan.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn run(arguments: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fawnstream-scale")).args(arguments).output().unwrap()
}

/// Runs a plan; returns its JSON report and what it printed.
fn run_plan(text: &str) -> (serde_json::Value, String) {
    let folder = temp_folder();
    let (json, csv) = (folder.path().join("all.json"), folder.path().join("points.csv"));
    let plan = write_plan(folder.path(), text);
    let output = run(&[&plan, Path::new("--json"), &json, Path::new("--csv"), &csv]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stderr}");
    let lines = std::fs::read_to_string(csv).unwrap().lines().count();
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(json).unwrap()).unwrap();
    assert_eq!(lines, 1 + 9 * report["points"].as_array().unwrap().len(), "a line for each figure");
    (report, String::from_utf8_lossy(&output.stdout).into_owned())
}

fn count(value: &serde_json::Value) -> u64 {
    value.as_u64().unwrap_or_else(|| panic!("{value} is not a count"))
}

#[test]
fn all_routers_apply_all_changes_and_serve_all_requests() {
    let (report, tables) = run_plan(PLAN);
    let result = &report["points"][0]["result"];
    let (changes, complete) = (count(&result["spread"]["changes"]), count(&result["spread"]["complete"]));
    assert!(
        changes >= 1 && complete == changes,
        "{complete} of {changes} changes were applied by all routers"
    );
    let [served, refused, failed] = [0, 1, 2].map(|at| count(&result["answers"][at]));
    assert!(served >= 10 && refused + failed == 0, "{served} served, {refused} refused, {failed} failed");
    assert!(count(&result["hollow_answers"][0]) >= 10);
    let figures = &result["figures"];
    let bytes = figures["discovery_bytes_per_s"].as_f64().unwrap();
    assert!((1.0..10_000.0).contains(&bytes), "{bytes} bytes a second from discovery");
    assert!(figures["peak_memory_mb"].as_f64().unwrap() < 192.0);
    assert!(figures["descriptors"].as_f64().unwrap() <= 200.0);
    assert!(count(&result["worker_connections"]) <= 3 * 8 + 200);
    assert!(tables.contains("| 8 servers, 4 routers |"), "{tables}");
}

#[test]
fn requests_are_served_despite_rack_fault_and_silent_discovery() {
    let faults = "[[fault]]\nkind = \"rack\"\nat_s = 0.5\nfor_s = 1.0\n\n\
        [[fault]]\nkind = \"discovery\"\nat_s = 2.0\nfor_s = 1.0\n";
    let (report, _) = run_plan(&format!("{PLAN}\n{faults}"));
    let result = &report["points"][0]["result"];
    assert!(count(&result["answers"][0]) >= 10, "{result}");
}

#[test]
fn sweep_gives_a_slope_for_each_figure() {
    let text = PLAN.replace("seconds = 4.0", "seconds = 1.5");
    let (report, tables) = run_plan(&format!("{text}\n[[sweep]]\nvary = \"servers\"\nvalues = [4, 8, 12]\n"));
    let slopes = report["slopes"].as_array().unwrap();
    assert_eq!(slopes.len(), 9);
    assert!(slopes.iter().all(|slope| slope["points"].as_array().unwrap().len() == 3));
    assert!(tables.contains("| peak_memory_mb | servers |"), "{tables}");
}

#[test]
fn invalid_plan_fails_with_one_line() {
    let cases = [
        ("servers = 8", "servers = 0", "servers must be 2 to 4096, and is 0"),
        ("servers = 8", "serverz = 8", "unknown field `serverz`"),
        ("servers = 8", "", "missing field `servers`"),
        ("real = 1", "real = 5", "real must be 1 to 4, and is 5"),
        ("requests_per_s = 20.0", "requests_per_s = -1.0", "rates must be 0 to 10000"),
        ("seconds = 4.0", "seconds = 4000.0", "a point lasts 900 s at most"),
        ("sockets = 200", "sockets = 20000000", "descriptors are needed"),
    ];
    for (old, new, expected) in cases {
        let folder = temp_folder();
        assert!(PLAN.contains(old), "{old}");
        let output = run(&[&write_plan(folder.path(), &PLAN.replacen(old, new, 1))]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.lines().count() == 1, "{stderr}");
        assert!(stderr.contains(expected), "{new}: {stderr}");
    }
    let missing = run(&[Path::new("/nowhere/plan.toml")]);
    assert!(!missing.status.success());
}

/// A router program that cannot be started, or ends at once, ends the run. Routers report a port in use themselves.
#[test]
fn router_that_does_not_start_fails_with_one_line() {
    let folder = temp_folder();
    let plan = write_plan(folder.path(), PLAN);
    for program in ["/nowhere/router", "/bin/false"] {
        let output = run(&[&plan, Path::new("--router"), Path::new(program)]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.lines().count() == 1, "{stderr}");
    }
}
