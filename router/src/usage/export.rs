//! The ledger's export: batches go to a sink one after the other, each until the sink has it. What was written down
//! before says after a crash which batch may have been sent, and the same one goes again under the same name.

use super::{KIND, LedgerStatus};
use crate::config::ledger::{Ledger, Sink};
use awc::http::header::CONTENT_TYPE;
use fawnstream_ledger::batch::{Batch, ExportProgress, Step};
use fawnstream_ledger::entry::{Entry, Record};
use fawnstream_ledger::store::{LogReader, LogWriter, StoreError};
use serde::Serialize;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;

/// What the files of its progress are called.
const PROGRESS: &str = "export";
/// A sink's answer comes in this time; else it is asked again, under the same name.
const ANSWER: Duration = Duration::from_secs(5);
/// Waits after a failure: doubling, half to all of it by chance.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// A disk that failed is tried again after this.
const DISK_WAIT: Duration = Duration::from_millis(200);
/// Steps are few bytes: one file holds the progress of years.
const SEGMENT: u64 = 64 * 1024 * 1024;

#[derive(Serialize)]
struct Body<'a> {
    batch: String,
    router: &'a str,
    entries: &'a [Entry],
}

/// See the module's page.
pub struct Export {
    folder: PathBuf,
    sink: Sink,
    router: String,
    state: Arc<LedgerStatus>,
    progress: ExportProgress,
    steps: LogWriter<Step>,
    /// The ledger, from the first entry that the sink has not got; read as it is needed.
    ledger: LogReader<Record>,
    /// The batch that is on its way.
    held: Vec<Entry>,
    wait: Duration,
    tries: u64,
}

impl Export {
    /// Goes on where the last start ended.
    pub fn open(
        told: &Ledger,
        sink: Sink,
        router: &str,
        state: Arc<LedgerStatus>,
    ) -> Result<Self, StoreError> {
        let mut progress = ExportProgress::default();
        let (steps, _) =
            LogWriter::open(&told.folder, PROGRESS, router, SEGMENT, |step| progress.apply(step))?;
        let ledger = LogReader::open(&told.folder, KIND)?;
        tracing::info!(has = progress.last_exported, pending = progress.pending.is_some(), "ledger export");
        let (router, held) = (router.to_owned(), Vec::new());
        let folder = told.folder.clone();
        Ok(Export { folder, sink, router, state, progress, steps, ledger, held, wait: FIRST_WAIT, tries: 0 })
    }

    /// Sends what the disk has, up to the entry that is told, for as long as it can. It may end at any point: what it
    /// has written down says how to go on.
    pub async fn run(mut self, mut on_disk: watch::Receiver<u64>) {
        loop {
            let last = *on_disk.borrow_and_update();
            match self.one(last).await {
                Ok(true) => {}
                Ok(false) if on_disk.changed().await.is_ok() => {}
                Ok(false) => return,
                Err(error @ StoreError::Io { .. }) => {
                    tracing::warn!(reason = %error, "ledger export waits for its disk");
                    self.reread(LogReader::open(&self.folder, KIND));
                    tokio::time::sleep(DISK_WAIT).await;
                }
                Err(error) => return tracing::error!(reason = %error, "ledger export stopped"),
            }
        }
    }

    /// One try of one batch. False if there is none.
    async fn one(&mut self, on_disk: u64) -> Result<bool, StoreError> {
        let Some((batch, fresh)) = self.progress.next_batch(on_disk) else { return Ok(false) };
        if fresh {
            self.step(Step::Sends(batch))?;
        }
        self.load(batch)?;
        if self.send(batch).await {
            self.step(Step::Has(batch))?;
            self.held.clear();
            self.wait = FIRST_WAIT;
            self.state.exported.fetch_add(batch.last + 1 - batch.first, Ordering::Relaxed);
        } else {
            // Spread, so that routers that lost the sink together do not come back together.
            self.tries += 1;
            let chance = crate::names::hash(&format!("{} {}", self.router, self.tries)) >> 40;
            let wait = self.wait.mul_f64(0.5 + 0.5 * chance as f64 / (1u64 << 24) as f64);
            self.wait = (self.wait * 2).min(LONGEST_WAIT);
            tokio::time::sleep(wait).await;
        }
        Ok(true)
    }

    /// Reads the ledger from its beginning again: a read that failed may have stopped inside a record.
    fn reread(&mut self, ledger: Result<LogReader<Record>, StoreError>) {
        if let Ok(ledger) = ledger {
            self.ledger = ledger;
            self.held.clear();
        }
    }

    /// On the disk before anything depends on it. One that was kept from the disk before is the same one.
    fn step(&mut self, step: Step) -> Result<(), StoreError> {
        if self.steps.unsynced() == 0 {
            self.steps.append(&[step])?;
        }
        self.steps.sync()?;
        self.progress.apply(step);
        Ok(())
    }

    /// Reads the batch's entries, those of one batch at a time.
    fn load(&mut self, batch: Batch) -> Result<(), StoreError> {
        while self.held.last().is_none_or(|last| last.number < batch.last) {
            match self.ledger.next()? {
                Some(Record::Entry(entry)) if entry.number >= batch.first => self.held.push(*entry),
                Some(_) => {}
                None => break,
            }
        }
        Ok(())
    }

    /// Whether the sink says that it has the batch.
    async fn send(&mut self, batch: Batch) -> bool {
        let name = batch.id(&self.router);
        let body = Body { batch: name.clone(), router: &self.router, entries: &self.held };
        let Ok(body) = serde_json::to_vec(&body) else { return false };
        let uri = format!("http://{}{}", self.sink.address, self.sink.path);
        let client = awc::Client::builder().timeout(ANSWER).disable_redirects().finish();
        let asked = client.post(uri).insert_header((CONTENT_TYPE, "application/json")).send_body(body);
        let said = match asked.await {
            Ok(answer) if answer.status().is_success() => return true,
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        tracing::warn!(batch = name, reason = said, "ledger export");
        false
    }
}
