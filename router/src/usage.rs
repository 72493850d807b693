//! The usage ledger's side of the router: the core tells it of requests as they come and end; a thread of its own
//! writes them down and exports them, so that no request ever waits for a disk or a sink. Only where it is switched on.

mod export;

use crate::config::ledger::Ledger;
use crate::exchange::Call;
use crate::handover::Bill;
use fawnstream_ledger::book::{Begun, Book, Rules, Used};
use fawnstream_ledger::entry::{Outcome, Record, Tokens};
use fawnstream_ledger::store::{Log, StoreError};
use shedrelay::RequestId;
use shedrelay_settings::Names;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// What waits for the ledger's thread at most; more is lost, counted, and shows as a gap of no entry.
const MOST_WAITING: usize = 8_192;
/// Taken off the queue at once.
const AT_ONCE: usize = 512;
/// The process before this one may still write for so long.
const LOCKED: Duration = Duration::from_secs(60);
/// How often periods are looked at.
const PERIODS: Duration = Duration::from_millis(250);

/// What the files of a usage ledger are called.
const KIND: &str = "usage";

/// Why the ledger cannot begin.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// Its files.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// No thread is to be had.
    #[error("the ledger's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread ended before it began.
    #[error("the ledger's thread ended")]
    Ended,
}

/// What the core tells.
enum Told {
    Came { request: u64, ask: u64, tenant: String, at_ms: u64 },
    Ended { request: u64, used: Box<Used>, at_ms: u64 },
    Handed { request: u64 },
    Left,
}

/// Figures, and whether the ledger has stopped.
#[derive(Default)]
pub struct State {
    /// Entries on the disk since the start.
    pub entries: AtomicU64,
    /// Entries that the sink has.
    pub exported: AtomicU64,
    /// Requests that were not written down.
    pub lost: AtomicU64,
    /// The disk failed: nothing is written any more.
    pub stopped: AtomicBool,
}

/// Where the core tells of requests.
pub struct Usage {
    told: mpsc::Sender<Told>,
    state: Arc<State>,
    thread: std::cell::RefCell<Option<std::thread::JoinHandle<()>>>,
}

/// Unix time in milliseconds.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What joins tries of one request: everything that a client sends again unchanged.
fn ask(call: &Call) -> u64 {
    let session = call.session.map_or(0, |key| key.0);
    crate::names::hash_bytes(&call.body)
        ^ crate::names::hash(&format!("{session:x} {:?}", call.class)).rotate_left(17)
}

impl Usage {
    /// Opens the ledger and starts its thread. `waits`: a process before this one may hold it a while longer.
    pub fn start(
        told: Ledger,
        router: &str,
        names: &Names,
        quotas: &[f64],
        waits: bool,
    ) -> Result<Rc<Self>, UsageError> {
        // Its lines are structured; those of connections stay with the house log. A second start in a process keeps
        // the first one's.
        let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
        let rules = Rules {
            router: router.to_owned(),
            period_ms: told.period_ms,
            grace_ms: told.grace_ms,
            join_ms: told.join_ms,
            quotas: names.tenants.iter().cloned().zip(quotas.iter().copied()).collect::<BTreeMap<_, _>>(),
        };
        let (queue, waiting) = mpsc::channel(MOST_WAITING);
        let state = Arc::<State>::default();
        let (begun, begins) = std::sync::mpsc::sync_channel(1);
        let seen = state.clone();
        let thread = std::thread::Builder::new().name("ledger".to_owned()).spawn(move || {
            let (book, log) = match open(&told, &rules, waits, &begun) {
                Ok(opened) => opened,
                Err(error) => {
                    seen.stopped.store(true, Ordering::Relaxed);
                    let late = |std::sync::mpsc::SendError(error)| {
                        // The start went on meanwhile, while another process held the files.
                        if let Err(error) = error {
                            tracing::error!(reason = %error, "ledger stopped");
                        }
                    };
                    return begun.send(Err(error)).unwrap_or_else(late);
                }
            };
            let _ = begun.try_send(Ok(()));
            let router = rules.router;
            let keeper = Keeper { told, router, book, log, state: seen, open: HashMap::new(), dirty: None };
            actix_rt::System::new().block_on(keeper.run(waiting));
        })?;
        begins.recv().map_err(|_| UsageError::Ended)??;
        Ok(Rc::new(Usage { told: queue, state, thread: std::cell::RefCell::new(Some(thread)) }))
    }

    /// The figures.
    pub fn state(&self) -> &State {
        &self.state
    }

    fn tell(&self, told: Told) {
        if self.told.try_send(told).is_err() {
            self.state.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A request was taken.
    pub fn came(&self, request: RequestId, call: &Call, tenant: &str) {
        let (tenant, at_ms) = (tenant.to_owned(), now_ms());
        self.tell(Told::Came { request: request.0, ask: ask(call), tenant, at_ms });
    }

    /// What a request is billed by, for a process that goes on with its stream.
    pub fn bill(&self, call: &Call, tenant: &str) -> Bill {
        let age = call.arrived.elapsed().as_millis() as u64;
        Bill {
            ask: ask(call),
            tenant: tenant.to_owned(),
            came_ms: now_ms().saturating_sub(age),
            prompt: call.prompt_len,
        }
    }

    /// Another process began it, and billed nothing.
    pub fn carried(&self, request: RequestId, bill: Bill) {
        let Bill { ask, tenant, came_ms: at_ms, .. } = bill;
        self.tell(Told::Came { request: request.0, ask, tenant, at_ms });
    }

    /// Another process goes on with it.
    pub fn handed(&self, request: RequestId) {
        self.tell(Told::Handed { request: request.0 });
    }

    /// A request has its final outcome.
    pub fn ended(&self, request: RequestId, used: Used) {
        self.tell(Told::Ended { request: request.0, used: Box::new(used), at_ms: now_ms() });
    }

    /// Writes down what was told and ends the thread; what the sink has not got waits for the next start.
    pub async fn stop(&self) {
        let _ = self.told.send(Told::Left).await;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Opens the files; where another process holds them it says that it waits, and does.
fn open(
    told: &Ledger,
    rules: &Rules,
    waits: bool,
    begun: &std::sync::mpsc::SyncSender<Result<(), UsageError>>,
) -> Result<(Book, Log<Record>), UsageError> {
    let until = Instant::now() + LOCKED;
    loop {
        // The first record decides from which period on the book is open, so each is taken in as it is read.
        let mut book = Book::fresh(rules.clone(), now_ms());
        match Log::open(&told.folder, KIND, &rules.router, told.segment, |record| book.replay(&record)) {
            Ok((log, torn)) => {
                tracing::info!(next = book.next(), open_from = book.open_from(), torn, "ledger open");
                return Ok((book, log));
            }
            Err(StoreError::Locked { .. }) if waits && Instant::now() < until => {
                let _ = begun.try_send(Ok(()));
                std::thread::sleep(Duration::from_millis(50));
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// The ledger's thread.
struct Keeper {
    told: Ledger,
    router: String,
    book: Book,
    log: Log<Record>,
    state: Arc<State>,
    /// Requests that have come and not ended; the core ends each.
    open: HashMap<u64, Begun>,
    /// Since when something waits to be on the disk, and how many entries.
    dirty: Option<(Instant, u64)>,
}

impl Keeper {
    async fn run(mut self, mut waiting: mpsc::Receiver<Told>) {
        let (on_disk, follow) = watch::channel(self.book.next() - 1);
        if let Some(sink) = self.told.sink.clone() {
            match export::Export::open(&self.told, sink, &self.router, self.state.clone()) {
                Ok(export) => drop(actix_rt::spawn(export.run(follow))),
                Err(error) => tracing::error!(reason = %error, "ledger export stopped"),
            }
        }
        let mut periods = Instant::now();
        let mut told = Vec::new();
        loop {
            let sync = self.dirty.map(|(since, _)| since + self.told.sync);
            let look = sync.map_or(periods, |sync| sync.min(periods));
            tokio::select! {
                biased;
                count = waiting.recv_many(&mut told, AT_ONCE) => {
                    let ended = count == 0 || told.iter().any(|told| matches!(told, Told::Left));
                    self.take(&mut told);
                    if ended {
                        self.sync();
                        return;
                    }
                }
                () = tokio::time::sleep_until(look.into()) => {}
            }
            if sync.is_some_and(|sync| sync <= Instant::now()) {
                self.sync();
                if !self.state.stopped.load(Ordering::Relaxed) {
                    on_disk.send_replace(self.book.next() - 1);
                }
            }
            if periods <= Instant::now() {
                periods = Instant::now() + PERIODS;
                if let Some(record) = self.book.close(now_ms()) {
                    self.append(&[record], 0);
                }
            }
        }
    }

    /// Writes down what was told.
    fn take(&mut self, told: &mut Vec<Told>) {
        let mut records = Vec::new();
        for told in told.drain(..) {
            match told {
                Told::Came { request, ask, tenant, at_ms } => {
                    let begun = self.book.begin(ask, &tenant, at_ms);
                    self.open.insert(request, begun);
                }
                Told::Ended { request, used, at_ms } => match self.open.remove(&request) {
                    Some(begun) => records.push(self.book.end(begun, *used, at_ms)),
                    // Its beginning was lost when too much waited.
                    None => drop(self.state.lost.fetch_add(1, Ordering::Relaxed)),
                },
                Told::Handed { request } => drop(self.open.remove(&request)),
                Told::Left => {}
            }
        }
        if !records.is_empty() {
            let entries = records.len() as u64;
            self.append(&records, entries);
        }
    }

    fn append(&mut self, records: &[Record], entries: u64) {
        if self.state.stopped.load(Ordering::Relaxed) {
            self.state.lost.fetch_add(entries, Ordering::Relaxed);
            return;
        }
        match self.log.append(records) {
            Ok(()) => {
                let (since, before) = self.dirty.unwrap_or((Instant::now(), 0));
                self.dirty = Some((since, before + entries));
            }
            Err(error) => self.fail(&error, entries),
        }
    }

    fn sync(&mut self) {
        let Some((_, entries)) = self.dirty.take() else { return };
        match self.log.sync() {
            Ok(()) => drop(self.state.entries.fetch_add(entries, Ordering::Relaxed)),
            Err(error) => self.fail(&error, entries),
        }
    }

    /// The disk is full, read-only or broken: what stands there is left as it is, and requests go on without a ledger.
    fn fail(&mut self, error: &StoreError, entries: u64) {
        self.state.lost.fetch_add(entries, Ordering::Relaxed);
        if !self.state.stopped.swap(true, Ordering::Relaxed) {
            tracing::error!(reason = %error, "ledger stopped");
        }
    }
}

/// How the core's outcomes are called in a ledger.
pub fn outcome(how: &str) -> Outcome {
    match how {
        "served" => Outcome::Served,
        "refused" => Outcome::Refused,
        "broken" => Outcome::Broken,
        "client-left" => Outcome::Left,
        _ => Outcome::Failed,
    }
}

/// Tokens as a server's usage event reports them; none that make no sense.
pub fn tokens(usage: &serde_json::Value) -> Option<Tokens> {
    let count = |path: &str| usage.pointer(path)?.as_u64().and_then(|count| i64::try_from(count).ok());
    let kept = count("/prompt_tokens_details/cached_tokens").unwrap_or(0);
    Some(Tokens { prompt: count("/prompt_tokens")?, kept, written: count("/completion_tokens")? })
}
