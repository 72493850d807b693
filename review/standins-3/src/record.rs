//! The record of a run: a line for each thing sent, answered or started, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static FILE: Mutex<Option<File>> = Mutex::new(None);
static START: OnceLock<Instant> = OnceLock::new();

pub fn open(path: &Path) {
    START.get_or_init(Instant::now);
    *FILE.lock().unwrap() = File::create(path).ok();
}

/// Time since the start of the run.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn line(text: &str) {
    let at = now();
    let line = format!("{:>8.3} {text}\n", at.as_secs_f64());
    print!("{line}");
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}
