//! Opens the ledger's files, and waits for the process that has them.

use super::recording::MIN_RETRY_DELAY;
use super::{FILE_KIND, UsageError, export, now_ms};
use crate::config::ledger::Ledger;
use fawnstream_ledger::entry::Record;
use fawnstream_ledger::lock::LogLock;
use fawnstream_ledger::recorder::{Recorder, RecorderConfig};
use fawnstream_ledger::store::{LogWriter, StoreError};
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant};

/// Longest wait for a failing disk at the start: a restarted router must be ready within 10 s.
const START_DISK_WAIT: Duration = Duration::from_secs(6);
/// Longest wait for the export's lock: its holder lets go of the ledger's a moment before.
const EXPORT_LOCK_WAIT: Duration = Duration::from_secs(2);

/// Where the result of the start goes.
pub type StartResult = SyncSender<Result<(), UsageError>>;

/// An open ledger.
pub struct OpenLedger {
    /// Continues behind the entries on the disk.
    pub recorder: Recorder,
    /// The ledger's files.
    pub log: LogWriter<Record>,
    /// The lock of the export's files; `None` if nothing is exported.
    pub export_lock: Option<LogLock>,
}

/// Opens the files. If `waits`, and another process holds them, reports the start as a success and waits for them.
pub fn open(
    settings: &Ledger,
    rules: &RecorderConfig,
    waits: bool,
    started: &StartResult,
) -> Result<OpenLedger, UsageError> {
    let disk_deadline = Instant::now() + START_DISK_WAIT;
    loop {
        match try_open(settings, rules, waits, started) {
            Err(StoreError::Io { ref error, .. })
                if is_transient(error) && Instant::now() < disk_deadline =>
            {
                std::thread::sleep(MIN_RETRY_DELAY);
            }
            result => return result.map_err(UsageError::from),
        }
    }
}

fn try_open(
    settings: &Ledger,
    rules: &RecorderConfig,
    waits: bool,
    started: &StartResult,
) -> Result<OpenLedger, StoreError> {
    let lock = match LogLock::try_acquire(&settings.folder, FILE_KIND) {
        Err(StoreError::Locked { .. }) if waits => {
            tracing::info!("ledger waits for the process that has its files");
            let _ = started.try_send(Ok(()));
            LogLock::acquire(&settings.folder, FILE_KIND)?
        }
        result => result?,
    };
    // Records are replayed as they are read, because the first one decides which period is the first open one.
    let mut recorder = Recorder::new(rules.clone(), now_ms());
    let on_record = |record| recorder.replay(&record);
    let (log, torn) = LogWriter::open_locked(lock, &rules.router, settings.segment, on_record)?;
    let (next, open_from) = (recorder.next_number(), recorder.first_open_period());
    tracing::info!(next, open_from, torn, "ledger open");
    Ok(OpenLedger { recorder, log, export_lock: export_lock(settings) })
}

/// The lock of the export's files, if entries are exported.
fn export_lock(settings: &Ledger) -> Option<LogLock> {
    settings.sink.as_ref()?;
    let deadline = Instant::now() + EXPORT_LOCK_WAIT;
    loop {
        match LogLock::try_acquire(&settings.folder, export::PROGRESS_KIND) {
            Ok(lock) => return Some(lock),
            Err(StoreError::Locked { .. }) if Instant::now() < deadline => {
                std::thread::sleep(MIN_RETRY_DELAY);
            }
            Err(error) => {
                tracing::error!(reason = %error, "ledger export stopped");
                return None;
            }
        }
    }
}

/// Whether the disk is full or fails, which may pass. Any other error means a wrong configuration.
fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EIO | libc::ENOSPC | libc::EDQUOT | libc::ENFILE))
}
