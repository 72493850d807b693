//! The preloaded library does what its control page says, and nothing without one.

use fawnstream_faults::{FaultControl, FaultKind};
use std::path::Path;
use std::process::Command;

fn control(folder: &Path) -> FaultControl {
    FaultControl::create(&folder.join("control")).expect("a control page")
}

/// What `date +%s` prints under a page.
fn seconds(control: Option<&FaultControl>) -> i64 {
    let mut command = Command::new("date");
    command.arg("+%s");
    if let Some(control) = control {
        control.preload(&mut command, 1, None);
    }
    let output = command.output().expect("date");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("seconds")
}

#[test]
fn the_wall_clock_is_stepped() {
    let folder = tempfile::tempdir().expect("a folder");
    let control = control(folder.path());
    control.step_wall_clock(-3_600_500).expect("a step");
    let behind = seconds(None) - seconds(Some(&control));
    assert!((3_599..=3_602).contains(&behind), "{behind} s behind");
    control.clear().expect("calm");
    assert!((seconds(None) - seconds(Some(&control))).abs() <= 1);
}

#[test]
fn writes_under_the_folder_fail_and_are_counted() {
    let folder = tempfile::tempdir().expect("a folder");
    let control = control(folder.path());
    let target = folder.path().join("file");
    let write = |folder: &Path| {
        let mut command = Command::new("dd");
        command.args(["if=/dev/zero", "bs=100", "count=1", "status=none"]);
        command.arg(format!("of={}", target.display()));
        control.preload(&mut command, 1, Some(folder));
        command.status().expect("dd").success()
    };
    assert!(write(folder.path()), "nothing fails yet");
    control.set_rate(FaultKind::Write, 1_000).expect("a rate");
    assert!(!write(folder.path()));
    assert!(control.injected_count(FaultKind::Write).expect("a count") > 0);
    assert!(write(Path::new("/nowhere")), "files elsewhere work");
}
