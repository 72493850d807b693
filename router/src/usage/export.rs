//! Exports the ledger's entries in batches, one after the other; each is sent until the sink has confirmed it. Every
//! batch is written to a progress log before it is sent. After a crash the same batch is sent again under the same
//! name, so that the sink can drop repeats.

use super::{FILE_KIND, LedgerStatus};
use crate::config::ledger::{Ledger, Sink};
use awc::http::header::CONTENT_TYPE;
use fawnstream_ledger::batch::{Batch, ExportProgress, Step};
use fawnstream_ledger::entry::{Entry, Record};
use fawnstream_ledger::lock::LogLock;
use fawnstream_ledger::store::{LogReader, LogWriter, StoreError};
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// Prefix of the progress log's file names.
pub const PROGRESS_KIND: &str = "export";
/// Timeout of a sink's answer, after which the batch is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// First delay of the exponential backoff after a failure at the sink; jitter shortens each delay by up to a half.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay of that backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Delay after a disk failure.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Size at which a new progress file is begun. Steps are a few bytes, so that one file holds the progress of years.
const PROGRESS_SEGMENT_BYTES: u64 = 64 * 1024 * 1024;

#[derive(Serialize)]
struct Body<'a> {
    batch: String,
    router: &'a str,
    entries: &'a [Entry],
}

/// The export of one ledger to one sink.
pub struct Export {
    folder: PathBuf,
    sink: Sink,
    router: String,
    status: Arc<LedgerStatus>,
    progress: ExportProgress,
    progress_log: LogWriter<Step>,
    /// Reads the ledger, one batch at a time.
    ledger: LogReader<Record>,
    /// Entries of the current batch.
    entries: Vec<Entry>,
    backoff: Duration,
    failures: u64,
}

impl Export {
    /// Opens the export, which continues where the last process stopped.
    pub fn open(
        settings: &Ledger,
        sink: Sink,
        router: &str,
        lock: LogLock,
        status: Arc<LedgerStatus>,
    ) -> Result<Self, StoreError> {
        let mut progress = ExportProgress::default();
        let on_step = |step| progress.apply(step);
        let (progress_log, _) = LogWriter::open_locked(lock, router, PROGRESS_SEGMENT_BYTES, on_step)?;
        let ledger = LogReader::open(&settings.folder, FILE_KIND)?;
        tracing::info!(
            has = progress.last_exported,
            pending = progress.pending.is_some(),
            "ledger export open"
        );
        let (router, entries) = (router.to_owned(), Vec::new());
        let folder = settings.folder.clone();
        Ok(Export {
            folder,
            sink,
            router,
            status,
            progress,
            progress_log,
            ledger,
            entries,
            backoff: MIN_BACKOFF,
            failures: 0,
        })
    }

    /// Exports all entries up to the one in `last_synced`, and newer ones as they are synced. May be cancelled at any
    /// point; the progress log says how to continue.
    pub async fn run(mut self, mut last_synced: watch::Receiver<u64>) {
        loop {
            let last = *last_synced.borrow_and_update();
            match self.attempt_batch(last).await {
                Ok(true) => {}
                Ok(false) if last_synced.changed().await.is_ok() => {}
                Ok(false) => return,
                Err(error @ StoreError::Io { .. }) => {
                    tracing::warn!(reason = %error, "ledger export cannot use its disk; retrying");
                    self.restart_reader(LogReader::open(&self.folder, FILE_KIND));
                    tokio::time::sleep(DISK_RETRY_DELAY).await;
                }
                Err(error) => return tracing::error!(reason = %error, "ledger export stopped"),
            }
        }
    }

    /// Attempts to export the next batch once. False if there is none.
    async fn attempt_batch(&mut self, last_synced: u64) -> Result<bool, StoreError> {
        let Some((batch, is_new)) = self.progress.next_batch(last_synced) else { return Ok(false) };
        if is_new {
            self.record_step(Step::Sends(batch))?;
        }
        self.load_entries(batch)?;
        if self.send(batch).await {
            self.record_step(Step::Has(batch))?;
            self.entries.clear();
            self.backoff = MIN_BACKOFF;
            self.status.exported.fetch_add(batch.last + 1 - batch.first, Ordering::Relaxed);
        } else {
            // Jitter, so that routers that lost the sink at the same time do not retry at the same time.
            self.failures += 1;
            let random_bits = crate::names::hash(&format!("{} {}", self.router, self.failures)) >> 40;
            let delay = self.backoff.mul_f64(0.5 + 0.5 * random_bits as f64 / (1u64 << 24) as f64);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            tokio::time::sleep(delay).await;
        }
        Ok(true)
    }

    /// Reads the ledger from its beginning again, because a failed read may have stopped inside a record.
    fn restart_reader(&mut self, ledger: Result<LogReader<Record>, StoreError>) {
        if let Ok(ledger) = ledger {
            self.ledger = ledger;
            self.entries.clear();
        }
    }

    /// Writes a step to the disk before anything depends on it. A step that an earlier attempt could not sync is the
    /// same one, so that it is not appended again.
    fn record_step(&mut self, step: Step) -> Result<(), StoreError> {
        if self.progress_log.unsynced() == 0 {
            self.progress_log.append(&[step])?;
        }
        self.progress_log.sync()?;
        self.progress.apply(step);
        Ok(())
    }

    /// Reads the batch's entries.
    fn load_entries(&mut self, batch: Batch) -> Result<(), StoreError> {
        while self.entries.last().is_none_or(|last| last.number < batch.last) {
            match self.ledger.next()? {
                Some(Record::Entry(entry)) if entry.number >= batch.first => self.entries.push(*entry),
                Some(_) => {}
                None => break,
            }
        }
        Ok(())
    }

    /// Sends the batch; returns whether the sink confirmed it.
    async fn send(&mut self, batch: Batch) -> bool {
        let name = batch.id(&self.router);
        let body = Body { batch: name.clone(), router: &self.router, entries: &self.entries };
        let Ok(body) = serde_json::to_vec(&body) else { return false };
        let uri = format!("http://{}{}", self.sink.address, self.sink.path);
        let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).disable_redirects().finish();
        let request = client.post(uri).insert_header((CONTENT_TYPE, "application/json")).send_body(body);
        let reason = match request.await {
            Ok(answer) if answer.status().is_success() => return true,
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        tracing::warn!(batch = name, reason, "ledger export failed; retrying");
        false
    }
}
