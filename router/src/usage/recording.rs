//! The ledger's thread: turns events into records and writes them to the disk.

use super::files::OpenLedger;
use super::{LedgerStatus, export, now_ms};
use crate::config::ledger::Ledger;
use fawnstream_ledger::entry::Record;
use fawnstream_ledger::lock::LogLock;
use fawnstream_ledger::recorder::{OpenRequest, Recorder, RequestUsage};
use fawnstream_ledger::store::LogWriter;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Most events taken from the queue at once.
const EVENTS_PER_RECEIVE: usize = 512;
/// Limit on records not yet on the disk. While the disk fails they wait in memory; records beyond the limit are lost
/// and counted.
pub const MAX_UNSYNCED_RECORDS: usize = 16_384;
/// First delay of the exponential backoff after a disk failure.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay of that backoff.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How often periods that are due are closed.
const PERIOD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What the core reports.
pub enum LedgerEvent {
    /// A request is due an entry.
    Started {
        /// Its number in this process.
        request: u64,
        /// Joins its repeats.
        repeat_key: u64,
        /// The tenant's name.
        tenant: String,
        /// When it arrived, in Unix time.
        at_ms: u64,
    },
    /// A request that was started has its final outcome.
    Ended {
        /// Its number in this process.
        request: u64,
        /// What it used.
        used: Box<RequestUsage>,
        /// When it ended, in Unix time.
        at_ms: u64,
    },
    /// Another process bills a request that was started here.
    HandedOver {
        /// Its number in this process.
        request: u64,
    },
    /// The process ends; a failing disk is tried until then.
    Stop {
        /// When to give up.
        until: Instant,
    },
}

/// Counts the requests whose entries will never be written as lost: no thread takes these events.
pub fn discard(events: &mut mpsc::UnboundedReceiver<LedgerEvent>, status: &LedgerStatus) {
    events.close();
    while let Ok(event) = events.try_recv() {
        if matches!(event, LedgerEvent::Ended { .. }) {
            status.lose_waiting(1);
        }
    }
}

/// The ledger's thread.
pub struct LedgerThread {
    settings: Ledger,
    router: String,
    recorder: Recorder,
    log: LogWriter<Record>,
    /// The lock of the export's files; `None` if nothing is exported.
    export_lock: Option<LogLock>,
    status: Arc<LedgerStatus>,
    /// Requests that have started and not ended.
    open: HashMap<u64, OpenRequest>,
    /// Records not yet on the disk, in their order: the number of an entry, `None` for other records.
    unsynced: VecDeque<Option<u64>>,
    /// When unsynced records are synced; `None` without any.
    sync_at: Option<Instant>,
    /// Delay after the next failure.
    retry_delay: Duration,
}

impl LedgerThread {
    /// A thread for an open ledger.
    pub fn new(settings: Ledger, router: String, opened: OpenLedger, status: Arc<LedgerStatus>) -> Self {
        let OpenLedger { recorder, log, export_lock } = opened;
        let (open, unsynced) = Default::default();
        LedgerThread {
            settings,
            router,
            recorder,
            log,
            export_lock,
            status,
            open,
            unsynced,
            sync_at: None,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// Records events until the process stops.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<LedgerEvent>) {
        let (last_synced, follow) = watch::channel(self.recorder.next_number() - 1);
        self.start_export(follow);
        let mut next_period_check = Instant::now();
        let mut events = Vec::new();
        loop {
            let wake_at = self.sync_at.map_or(next_period_check, |sync| sync.min(next_period_check));
            tokio::select! {
                biased;
                count = queue.recv_many(&mut events, EVENTS_PER_RECEIVE) => {
                    self.status.queued.fetch_sub(count, Ordering::Relaxed);
                    let stop = self.record(&mut events);
                    if let Some(until) = stop.or_else(|| (count == 0).then(Instant::now)) {
                        return self.end(until).await;
                    }
                }
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            if self.sync_at.is_some_and(|sync| sync <= Instant::now())
                && let Some(last) = self.sync()
            {
                last_synced.send_replace(last);
            }
            if next_period_check <= Instant::now() {
                next_period_check = Instant::now() + PERIOD_CHECK_INTERVAL;
                self.close_periods();
            }
        }
    }

    /// Starts the export, if there is a sink.
    fn start_export(&mut self, last_synced: watch::Receiver<u64>) {
        let (Some(sink), Some(lock)) = (self.settings.sink.clone(), self.export_lock.take()) else { return };
        match export::Export::open(&self.settings, sink, &self.router, lock, self.status.clone()) {
            Ok(export) => drop(actix_rt::spawn(export.run(last_synced))),
            Err(error) => tracing::error!(reason = %error, "ledger export stopped"),
        }
    }

    /// Records events. Returns until when to write if the process ends.
    fn record(&mut self, events: &mut Vec<LedgerEvent>) -> Option<Instant> {
        let mut stop = None;
        for event in events.drain(..) {
            match event {
                LedgerEvent::Started { request, repeat_key, tenant, at_ms } => {
                    let open = self.recorder.begin(repeat_key, &tenant, at_ms);
                    self.open.insert(request, open);
                }
                LedgerEvent::Ended { request, used, at_ms } => match self.open.remove(&request) {
                    Some(open) if self.has_room() => {
                        let record = self.recorder.end(open, *used, at_ms);
                        self.append(record);
                    }
                    // There is no room for it.
                    _ => self.status.lose_waiting(1),
                },
                LedgerEvent::HandedOver { request } => drop(self.open.remove(&request)),
                LedgerEvent::Stop { until } => stop = Some(until),
            }
        }
        stop
    }

    fn close_periods(&mut self) {
        if self.has_room()
            && let Some(record) = self.recorder.close_due_periods(now_ms())
        {
            self.append(record);
        }
    }

    /// Whether there is room for one more record. Checked before a record gets its number, so that numbers have no
    /// gaps.
    fn has_room(&self) -> bool {
        self.unsynced.len() < MAX_UNSYNCED_RECORDS
    }

    fn append(&mut self, record: Record) {
        let number = match &record {
            Record::Entry(entry) => Some(entry.number),
            Record::Closed { .. } => None,
        };
        match self.log.append(std::slice::from_ref(&record)) {
            Ok(()) => {
                self.unsynced.push_back(number);
                self.sync_at.get_or_insert_with(|| Instant::now() + self.settings.sync);
            }
            // The log rejected the record because it could not be read back.
            Err(error) => {
                self.status.lose_waiting(u64::from(number.is_some()));
                tracing::error!(reason = %error, "ledger entry dropped");
            }
        }
    }

    /// Syncs records to the disk as far as possible; returns the number of the last entry synced.
    fn sync(&mut self) -> Option<u64> {
        match self.log.sync() {
            Ok(()) => {
                (self.sync_at, self.retry_delay) = (None, MIN_RETRY_DELAY);
                if self.status.stopped.swap(false, Ordering::Relaxed) {
                    tracing::info!("ledger writes to its disk again");
                }
            }
            Err(error) => {
                self.sync_at = Some(Instant::now() + self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                if !self.status.stopped.swap(true, Ordering::Relaxed) {
                    tracing::error!(
                        reason = %error,
                        waiting = self.unsynced.len(),
                        "ledger cannot write to its disk; retrying"
                    );
                }
            }
        }
        let synced = self.unsynced.len().saturating_sub(self.log.unsynced());
        let numbers: Vec<u64> = self.unsynced.drain(..synced).flatten().collect();
        self.status.entries.fetch_add(numbers.len() as u64, Ordering::Relaxed);
        self.status.waiting.fetch_sub(numbers.len() as u64, Ordering::Relaxed);
        numbers.last().copied()
    }

    /// Syncs what is left when the process ends. What is not on the disk by `until` is counted as lost.
    async fn end(&mut self, until: Instant) {
        loop {
            self.sync();
            if self.unsynced.is_empty() {
                return;
            }
            if Instant::now() >= until {
                break;
            }
            tokio::time::sleep(MIN_RETRY_DELAY).await;
        }
        let lost = self.unsynced.iter().flatten().count() as u64;
        self.status.lose_waiting(lost);
        tracing::error!(lost, "ledger stopped with entries not written to its disk");
    }
}
