//! The router's usage ledger, if it is on. The core reports requests as they start and end; a separate thread records
//! and exports them, so that no request ever waits for a disk or a sink. Each request that is reported as started is
//! due one entry, unless its stream is handed over to another process; one without an entry is counted as lost.

mod export;
mod files;
mod recording;

use crate::config::ledger::Ledger;
use crate::exchange::Call;
use crate::handover::BillingDetails;
use fawnstream_ledger::entry::Tokens;
use fawnstream_ledger::recorder::{RecorderConfig, RequestUsage};
use fawnstream_ledger::store::StoreError;
pub use recording::MAX_UNSYNCED_RECORDS;
use recording::{LedgerEvent, LedgerThread};
use shedrelay::RequestId;
use shedrelay_settings::Names;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::TrySendError;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Events that may wait for the ledger's thread. A request that starts beyond them is lost; the end of one that was
/// taken in time is always taken.
const MAX_QUEUED_EVENTS: usize = 8_192;
/// Longest wait at the stop for what is left to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for the thread to end behind its last attempt to write.
const THREAD_END_TIMEOUT: Duration = Duration::from_millis(100);
/// At a stop that takes longer, the log says at once how many entries are missing: SIGKILL may be near.
const MISSING_NOTICE_DELAY: Duration = Duration::from_millis(20);

/// Prefix of the ledger's file names.
const FILE_KIND: &str = "usage";

/// Why the ledger cannot start.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// Its files cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Its thread cannot be started.
    #[error("cannot start the ledger's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// Its thread ended while it started.
    #[error("the ledger's thread ended at its start")]
    Ended,
}

/// Counts for the metrics, and whether the disk fails.
#[derive(Default)]
pub struct LedgerStatus {
    /// Entries on the disk since the start.
    pub entries: AtomicU64,
    /// Entries that the sink has received.
    pub exported: AtomicU64,
    /// Requests that have no entry and will not get one.
    pub lost: AtomicU64,
    /// Requests that have ended and whose entries are not on the disk yet.
    pub waiting: AtomicU64,
    /// The disk fails now, or the ledger could not start.
    pub stopped: AtomicBool,
    /// Events that the thread has not taken yet.
    queued: AtomicUsize,
    /// The process has given up waiting for the thread, which must write nothing more.
    abandoned: AtomicBool,
}

impl LedgerStatus {
    /// An entry will not be written.
    fn lose_waiting(&self, entries: u64) {
        self.waiting.fetch_sub(entries, Ordering::Relaxed);
        self.lost.fetch_add(entries, Ordering::Relaxed);
    }
}

/// The core's handle on the ledger's thread.
pub struct UsageLedger {
    events: mpsc::UnboundedSender<LedgerEvent>,
    status: Arc<LedgerStatus>,
    /// Requests that the thread knows and that have not ended.
    open: RefCell<HashSet<RequestId>>,
    /// Requests that are due an entry.
    due: Cell<u64>,
    /// Resolves when the thread has ended; `None` once the ledger was stopped.
    thread_ended: RefCell<Option<oneshot::Receiver<()>>>,
}

/// Unix time in milliseconds.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Joins the repeats of a request: a hash of everything that a client sends again unchanged.
fn repeat_key(call: &Call) -> u64 {
    let session = call.session.map_or(0, |key| key.0);
    crate::names::hash_bytes(&call.body)
        ^ crate::names::hash(&format!("{session:x} {:?}", call.class)).rotate_left(17)
}

impl UsageLedger {
    /// Opens the ledger and starts its thread. `waits`: the previous process may hold the files a while longer.
    pub fn start(
        settings: Ledger,
        router: &str,
        names: &Names,
        quotas: &[f64],
        waits: bool,
    ) -> Result<Rc<Self>, UsageError> {
        // The ledger logs through tracing; connections use the `log` module. A second start in a process keeps the
        // first one's subscriber.
        let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
        let rules = RecorderConfig {
            router: router.to_owned(),
            period_ms: settings.period_ms,
            grace_ms: settings.grace_ms,
            join_ms: settings.join_ms,
            quotas: names.tenants.iter().cloned().zip(quotas.iter().copied()).collect::<BTreeMap<_, _>>(),
        };
        let (events, received) = mpsc::unbounded_channel();
        let status = Arc::<LedgerStatus>::default();
        let (started, start_result) = std::sync::mpsc::sync_channel(1);
        let (thread_lives, thread_ended) = oneshot::channel();
        let thread_status = status.clone();
        std::thread::Builder::new().name("ledger".to_owned()).spawn(move || {
            run_thread(settings, rules, waits, &started, thread_status, received);
            drop(thread_lives);
        })?;
        start_result.recv().map_err(|_| UsageError::Ended)??;
        Ok(Rc::new(UsageLedger {
            events,
            status,
            open: RefCell::default(),
            due: Cell::new(0),
            thread_ended: RefCell::new(Some(thread_ended)),
        }))
    }

    /// The counts for the metrics.
    pub fn status(&self) -> &LedgerStatus {
        &self.status
    }

    /// Passes an event to the thread; false if the thread has ended.
    fn send(&self, event: LedgerEvent) -> bool {
        self.status.queued.fetch_add(1, Ordering::Relaxed);
        self.events.send(event).is_ok()
    }

    /// A request is due an entry. It is lost if the thread can't be told.
    fn report_start(&self, request: RequestId, event: LedgerEvent) {
        self.due.set(self.due.get() + 1);
        let has_room = self.status.queued.load(Ordering::Relaxed) < MAX_QUEUED_EVENTS;
        if has_room && self.send(event) {
            self.open.borrow_mut().insert(request);
        } else {
            self.status.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A request was accepted.
    pub fn request_started(&self, request: RequestId, call: &Call, tenant: &str) {
        let (tenant, at_ms) = (tenant.to_owned(), now_ms());
        let event = LedgerEvent::Started { request: request.0, repeat_key: repeat_key(call), tenant, at_ms };
        self.report_start(request, event);
    }

    /// The billing details of a request whose stream is handed over to another process.
    pub fn billing_details(&self, call: &Call, tenant: &str) -> BillingDetails {
        let age = call.arrived.elapsed().as_millis() as u64;
        BillingDetails {
            ask: repeat_key(call),
            tenant: tenant.to_owned(),
            came_ms: now_ms().saturating_sub(age),
            prompt: call.prompt_len,
        }
    }

    /// A request's stream was received from another process, which did not bill it. Without billing details, from a
    /// process that keeps no ledger, it is lost.
    pub fn request_received(&self, request: RequestId, bill: Option<BillingDetails>) {
        let Some(BillingDetails { ask: repeat_key, tenant, came_ms: at_ms, .. }) = bill else {
            self.due.set(self.due.get() + 1);
            self.status.lost.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.report_start(request, LedgerEvent::Started { request: request.0, repeat_key, tenant, at_ms });
    }

    /// A request's stream was handed over to another process, which bills it.
    pub fn request_handed_over(&self, request: RequestId) {
        self.due.set(self.due.get() - 1);
        if self.open.borrow_mut().remove(&request) {
            self.send(LedgerEvent::HandedOver { request: request.0 });
        } else {
            self.status.lost.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// A request has its final outcome.
    pub fn request_ended(&self, request: RequestId, used: RequestUsage) {
        if !self.open.borrow_mut().remove(&request) {
            // It was lost at its start.
            return;
        }
        self.status.waiting.fetch_add(1, Ordering::Relaxed);
        if !self.send(LedgerEvent::Ended { request: request.0, used: Box::new(used), at_ms: now_ms() }) {
            self.status.lose_waiting(1);
        }
    }

    /// Logs how many requests would have no entry if the process were killed now, if there are any.
    pub fn log_unwritten(&self) {
        let open = self.open.borrow().len();
        let waiting = self.status.waiting.load(Ordering::Relaxed);
        if open > 0 || waiting > 0 {
            tracing::warn!(open, waiting, "ledger lacks what SIGKILL would end now");
        }
    }

    /// Writes what is left to the disk and ends the thread, within a bounded time. Counts and logs the requests that
    /// have no entry then. Entries not yet exported wait for the next start.
    pub async fn stop(&self) {
        let Some(mut thread_ended) = self.thread_ended.take() else { return };
        let until = Instant::now() + FINAL_WRITE_TIMEOUT;
        self.send(LedgerEvent::Stop { until });
        if tokio::time::timeout(MISSING_NOTICE_DELAY, &mut thread_ended).await.is_err() {
            self.wait_for_missing(until, thread_ended).await;
        }
        self.status.abandoned.store(true, Ordering::Relaxed);
        let lost = self.missing();
        self.status.lost.store(lost, Ordering::Relaxed);
        self.status.waiting.store(0, Ordering::Relaxed);
        let entries = self.status.entries.load(Ordering::Relaxed);
        match lost {
            0 => tracing::info!(entries, "ledger closed"),
            lost => tracing::error!(entries, lost, "ledger closed without entries that are due"),
        }
    }

    /// Waits for the thread as long as entries are missing.
    async fn wait_for_missing(&self, until: Instant, thread_ended: oneshot::Receiver<()>) {
        let missing = self.missing();
        if missing > 0 {
            tracing::warn!(missing, "ledger is not written yet");
            let _ = tokio::time::timeout_at((until + THREAD_END_TIMEOUT).into(), thread_ended).await;
        }
    }

    /// Requests that are due an entry and have none on the disk.
    fn missing(&self) -> u64 {
        self.due.get().saturating_sub(self.status.entries.load(Ordering::Relaxed))
    }
}

/// Runs the ledger's thread to its end. `started` gets the result of the start, at once where the files are waited for.
fn run_thread(
    settings: Ledger,
    rules: RecorderConfig,
    waits: bool,
    started: &files::StartResult,
    status: Arc<LedgerStatus>,
    mut events: mpsc::UnboundedReceiver<LedgerEvent>,
) {
    let opened = match files::open(&settings, &rules, waits, started) {
        Ok(opened) => opened,
        Err(error) => {
            status.stopped.store(true, Ordering::Relaxed);
            recording::discard(&mut events, &status);
            return report_failure(started, error);
        }
    };
    let _ = started.try_send(Ok(()));
    if status.abandoned.load(Ordering::Relaxed) {
        // The requests that wait were counted as lost.
        return;
    }
    let thread = LedgerThread::new(settings, rules.router, opened, status);
    actix_rt::System::new().block_on(thread.run(events));
}

/// Reports a failed start; logs it if the start was reported as a success while another process held the files.
fn report_failure(started: &files::StartResult, error: UsageError) {
    let result = match started.try_send(Err(error)) {
        Ok(()) => return,
        Err(TrySendError::Full(result) | TrySendError::Disconnected(result)) => result,
    };
    if let Err(error) = result {
        tracing::error!(reason = %error, "ledger stopped");
    }
}

/// Parses the token counts of a server's usage event; `None` if they are missing or invalid.
pub fn parse_tokens(usage: &serde_json::Value) -> Option<Tokens> {
    let count = |path: &str| usage.pointer(path)?.as_u64().and_then(|count| i64::try_from(count).ok());
    let kept = count("/prompt_tokens_details/cached_tokens").unwrap_or(0);
    Some(Tokens { prompt: count("/prompt_tokens")?, kept, written: count("/completion_tokens")? })
}
