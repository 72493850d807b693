//! What clients and servers saw of each request, and what was done to routers and servers. All times are the harness's
//! own monotonic clock.

use crate::class::Class;
use crate::network::SilencedCall;
use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole stream.
    Served,
    /// An answer without a stream, by its status.
    Answered(u16),
    /// A stream that broke off.
    Broken,
    /// The connection ended with no answer.
    Closed,
    /// Nothing came in time.
    Silent,
    /// The client left.
    Left,
}

/// What an attempt did to its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The server turned it away, or never had its last byte.
    No,
    /// It was begun.
    Yes,
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// Its client wrote its last byte.
    Asked {
        /// To this router.
        router: usize,
        /// Its class.
        class: Class,
        /// On a connection that was never used before.
        fresh: bool,
    },
    /// Its client closed the connection.
    Left,
    /// The head of its answer came.
    Head(u16),
    /// An event of its answer came.
    Event(u32),
    /// It ended for its client.
    Ended(Outcome),
    /// A server had the first byte of an attempt.
    First {
        /// The attempt's number.
        attempt: u64,
        /// The server.
        worker: usize,
    },
    /// It had the last byte.
    Whole {
        /// The attempt's number.
        attempt: u64,
        /// The server.
        worker: usize,
        /// The time that it was told.
        budget: Option<Duration>,
        /// When the router had sent it.
        sent: Instant,
        /// The server was running: it did not hang.
        taken: bool,
    },
    /// A server wrote an event.
    Wrote(u32),
    /// An attempt was over: answered, turned away, or its connection had ended.
    Over {
        /// The attempt's number.
        attempt: u64,
        /// The server.
        worker: usize,
        /// Whether it took effect.
        ran: Ran,
    },
    /// A running server saw that the connection of an attempt had ended.
    Noticed {
        /// The attempt's number.
        attempt: u64,
    },
    /// A reader holds a state for it.
    Held(usize),
    /// That state is gone: fetched, released, or lost with its process.
    LetGo(usize),
    /// A release was worked on that let go of nothing, since an attempt waited.
    ReleasedInVain,
    /// This server broke its stream off.
    BrokeOff(usize),
}

/// Something that was done to a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouterEvent {
    /// A process was started.
    Started,
    /// It said that it takes clients.
    Ready,
    /// It was not ready in time.
    NotReady,
    /// SIGTERM.
    Told,
    /// SIGKILL.
    Killed,
    /// It ended by itself, with this code.
    Ended(Option<i32>),
    /// It was held up for so long.
    Frozen(Duration),
}

/// A client that sent half a request, and how long it had to wait for an error or a close; none if it gave up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialRequest {
    /// The router.
    pub router: usize,
    /// When it had sent its half.
    pub at: Instant,
    /// How long it waited.
    pub waited: Option<Duration>,
}

/// Figures of a router's process when all has come to rest.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleRouter {
    /// The router.
    pub router: usize,
    /// Open descriptors.
    pub descriptors: u64,
    /// Resident memory, in kB.
    pub memory_kb: u64,
    /// Its metrics.
    pub metrics: BTreeMap<String, f64>,
}

/// A request's story.
pub type Trace = Vec<(Instant, RequestEvent)>;

/// All that was seen in one play.
#[derive(Debug, Default)]
pub struct Observations {
    /// Each request's story, by its id.
    pub requests: HashMap<u64, Trace>,
    /// When each router was told that a server drains or left, and when it was told that it takes work again.
    pub told_status: HashMap<(usize, usize), Vec<(Instant, bool)>>,
    /// When each router was told of a server's start.
    pub told_starts: HashMap<(usize, usize), Vec<Instant>>,
    /// When servers' processes started, by server.
    pub starts: HashMap<usize, Vec<Instant>>,
    /// When servers were in trouble: from, until, by server.
    pub worker_faults: HashMap<usize, Vec<(Instant, Instant)>>,
    /// Calls that were sent on silent connections, by server.
    pub silenced_calls: HashMap<usize, Vec<SilencedCall>>,
    /// What was done to each router.
    pub router_events: HashMap<usize, Vec<(Instant, RouterEvent)>>,
    /// Clients that sent partial_requests.
    pub partial_requests: Vec<PartialRequest>,
    /// Routers at rest.
    pub idle_routers: Vec<IdleRouter>,
    /// Lines of routers' logs that tell of a panic or a violation.
    pub log_alarms: Vec<String>,
    /// What each router's ledger holds at the end: label and written tokens.
    pub ledgers: HashMap<usize, Vec<(String, Option<i64>)>>,
    /// Tokens that servers wrote, of whole answers.
    pub written_tokens: HashMap<u64, u64>,
    /// How late the harness itself was at the most.
    pub lateness: Duration,
}

/// Where all that happens is noted.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Observations>);

impl Recorder {
    /// Notes something of a request, now.
    pub fn record(&self, id: u64, happened: RequestEvent) {
        self.record_at(id, Instant::now(), happened);
    }

    /// Notes something of a request.
    pub fn record_at(&self, id: u64, at: Instant, happened: RequestEvent) {
        self.with(|seen| seen.requests.entry(id).or_default().push((at, happened)));
    }

    /// Notes what was done to a router, now.
    pub fn record_router(&self, router: usize, done: RouterEvent) {
        self.with(|seen| seen.router_events.entry(router).or_default().push((Instant::now(), done)));
    }

    /// Does something with all that was seen.
    pub fn with<T>(&self, done: impl FnOnce(&mut Observations) -> T) -> T {
        match self.0.lock() {
            Ok(mut seen) => done(&mut seen),
            Err(poisoned) => done(&mut poisoned.into_inner()),
        }
    }

    /// All that was seen; nothing is left here.
    pub fn take(&self) -> Observations {
        self.with(std::mem::take)
    }
}
