//! The preloaded library injects the faults that its control file sets, and none otherwise.

use fawnstream_faults::{FaultControl, FaultKind};
use std::path::Path;
use std::process::Command;

fn create_control(folder: &Path) -> FaultControl {
    FaultControl::create(&folder.join("control")).expect("create the control file")
}

/// The time that `date` prints in seconds, with or without the library.
fn clock_seconds(control: Option<&FaultControl>) -> i64 {
    let mut command = Command::new("date");
    command.arg("+%s");
    if let Some(control) = control {
        control.preload(&mut command, 1, None);
    }
    let output = command.output().expect("run date");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number of seconds")
}

#[test]
fn wall_clock_is_stepped() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let control = create_control(folder.path());
    control.step_wall_clock(-3_600_500).expect("set the step");
    let behind = clock_seconds(None) - clock_seconds(Some(&control));
    assert!((3_599..=3_602).contains(&behind), "{behind} s behind");
    control.clear().expect("clear the faults");
    assert!((clock_seconds(None) - clock_seconds(Some(&control))).abs() <= 1);
}

#[test]
fn writes_under_folder_fail_and_are_counted() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let control = create_control(folder.path());
    let target = folder.path().join("file");
    let write_succeeds = |folder: &Path| {
        let mut command = Command::new("dd");
        command.args(["if=/dev/zero", "bs=100", "count=1", "status=none"]);
        command.arg(format!("of={}", target.display()));
        control.preload(&mut command, 1, Some(folder));
        command.status().expect("run dd").success()
    };
    assert!(write_succeeds(folder.path()), "no fault is set yet");
    control.set_rate(FaultKind::Write, 1_000).expect("set the rate");
    assert!(!write_succeeds(folder.path()));
    assert!(control.injected_count(FaultKind::Write).expect("read the count") > 0);
    assert!(write_succeeds(Path::new("/nowhere")), "files outside the folder are not affected");
}
