//! Opens the ledger's files, and waits for the process that has them.

use super::recording::MIN_RETRY_DELAY;
use super::{FILE_KIND, UsageError, now_ms};
use crate::config::ledger::Ledger;
use fawnstream_ledger::entry::Record;
use fawnstream_ledger::recorder::{Recorder, RecorderConfig};
use fawnstream_ledger::store::{LogWriter, StoreError};
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

/// Longest wait for a failing disk at the start: a restarted router must be ready within 10 s.
const START_DISK_WAIT: Duration = Duration::from_secs(6);
/// Longest wait for the previous process to release the ledger's files.
const LOCK_WAIT: Duration = Duration::from_secs(60);

/// Where the result of the start goes.
pub type StartResult = SyncSender<Result<(), UsageError>>;

/// An open ledger.
pub struct OpenLedger {
    /// Continues behind the entries on the disk.
    pub recorder: Recorder,
    /// The ledger's files.
    pub log: LogWriter<Record>,
}

/// Opens the files. If `waits`, and another process holds them, reports the start as a success and waits for them.
pub fn open(
    settings: &Ledger,
    rules: &RecorderConfig,
    waits: bool,
    started: &StartResult,
) -> Result<OpenLedger, UsageError> {
    let lock_deadline = Instant::now() + LOCK_WAIT;
    let disk_deadline = Instant::now() + START_DISK_WAIT;
    loop {
        match try_open(settings, rules) {
            Err(StoreError::Locked { .. }) if waits && Instant::now() < lock_deadline => {
                let _ = started.try_send(Ok(()));
                std::thread::sleep(MIN_RETRY_DELAY);
            }
            Err(StoreError::Io { ref error, .. })
                if is_transient(error) && Instant::now() < disk_deadline =>
            {
                std::thread::sleep(MIN_RETRY_DELAY);
            }
            result => return result.map_err(UsageError::from),
        }
    }
}

fn try_open(settings: &Ledger, rules: &RecorderConfig) -> Result<OpenLedger, StoreError> {
    // Records are replayed as they are read, because the first one decides which period is the first open one.
    let mut recorder = Recorder::new(rules.clone(), now_ms());
    let (log, torn) =
        LogWriter::open(&settings.folder, FILE_KIND, &rules.router, settings.segment, |record| {
            recorder.replay(&record)
        })?;
    let (next, open_from) = (recorder.next_number(), recorder.first_open_period());
    tracing::info!(next, open_from, torn, "ledger open");
    Ok(OpenLedger { recorder, log })
}

/// Whether the disk is full or fails, which may pass. Any other error means a wrong configuration.
fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EIO | libc::ENOSPC | libc::EDQUOT | libc::ENFILE))
}
