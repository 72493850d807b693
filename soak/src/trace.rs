//! Event traces: what clients and servers observed of each request, and what was done to routers and servers. All
//! times come from the harness's own monotonic clock.

use crate::class::Class;
use crate::network::SilencedCall;
use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete stream.
    Served,
    /// An answer without a stream, by its status.
    Answered(u16),
    /// An incomplete stream or answer.
    Broken,
    /// The connection closed without an answer.
    Closed,
    /// No answer in time.
    Silent,
    /// The client closed the connection.
    Left,
}

/// Whether an attempt ran at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The server rejected it, or never received its last byte.
    No,
    /// It began to run.
    Yes,
}

/// An event of a request. Traces print variants and fields by their names.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The client wrote the last byte of the request.
    Asked {
        /// The router that received it.
        router: usize,
        /// The request's class.
        class: Class,
        /// The connection was new.
        fresh: bool,
    },
    /// The client closed the connection.
    Left,
    /// The client received the head of the answer, with this status.
    Head(u16),
    /// The client received the answer's event of this number.
    Event(u32),
    /// The request ended for its client.
    Ended(Outcome),
    /// A server received the first byte of an attempt.
    First {
        /// The attempt's number.
        attempt: u64,
        /// The server's number.
        worker: usize,
    },
    /// A server received the last byte of an attempt.
    Whole {
        /// The attempt's number.
        attempt: u64,
        /// The server's number.
        worker: usize,
        /// The time left, as told to the server.
        budget: Option<Duration>,
        /// When the router sent the last byte.
        sent: Instant,
        /// The server's process was running, so that it took the request.
        taken: bool,
    },
    /// A server wrote the event of this number.
    Wrote(u32),
    /// An attempt ended: answered, rejected, or its connection ended.
    Over {
        /// The attempt's number.
        attempt: u64,
        /// The server's number.
        worker: usize,
        /// Whether it ran.
        ran: Ran,
    },
    /// A running server noticed that an attempt's connection had ended.
    Noticed {
        /// The attempt's number.
        attempt: u64,
    },
    /// This reader holds a state for the request.
    Held(usize),
    /// This reader no longer holds it: fetched, released, or lost with its process.
    LetGo(usize),
    /// A release freed nothing, since an attempt was waiting for the state.
    ReleasedInVain,
    /// This server broke its stream off.
    BrokeOff(usize),
}

/// An event of a router's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouterEvent {
    /// The process was started.
    Started,
    /// It reported that it is healthy.
    Ready,
    /// It was not healthy in time.
    NotReady,
    /// SIGTERM was sent.
    SigtermSent,
    /// SIGKILL was sent.
    SigkillSent,
    /// It exited, with this code.
    Exited(Option<i32>),
    /// It was stopped with SIGSTOP for this time.
    Paused(Duration),
}

/// A client that sent part of a request and waited for an error or a close.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialRequest {
    /// The router's number.
    pub router: usize,
    /// When the client had sent its part.
    pub at: Instant,
    /// How long it waited; none if it gave up.
    pub waited: Option<Duration>,
}

/// Figures of a router's process when no requests are left.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleRouter {
    /// The router's number.
    pub router: usize,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Resident memory, in kB.
    pub memory_kb: u64,
    /// Metrics by name and labels.
    pub metrics: BTreeMap<String, f64>,
}

/// The event trace of a request.
pub type Trace = Vec<(Instant, RequestEvent)>;

/// All observations of one run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Event traces by request id.
    pub requests: HashMap<u64, Trace>,
    /// By router and server: when the router was told that the server takes work (true), or that it drains or left
    /// (false).
    pub told_status: HashMap<(usize, usize), Vec<(Instant, bool)>>,
    /// By router and server: when the router was told that the server's process had started.
    pub told_starts: HashMap<(usize, usize), Vec<Instant>>,
    /// Process starts, by server.
    pub starts: HashMap<usize, Vec<Instant>>,
    /// Start and end of each fault, by server.
    pub worker_faults: HashMap<usize, Vec<(Instant, Instant)>>,
    /// Calls sent on silent connections, by server.
    pub silenced_calls: HashMap<usize, Vec<SilencedCall>>,
    /// Events of each router's process.
    pub router_events: HashMap<usize, Vec<(Instant, RouterEvent)>>,
    /// Clients that sent part of a request.
    pub partial_requests: Vec<PartialRequest>,
    /// Figures of the routers at the end, with no requests left.
    pub idle_routers: Vec<IdleRouter>,
    /// Lines of the routers' logs that report a panic or an invariant violation, and ledgers that cannot be read.
    pub log_alarms: Vec<String>,
    /// Ledger entries at the end, by router: label and written tokens.
    pub ledgers: HashMap<usize, Vec<(String, Option<i64>)>>,
    /// Tokens written in complete answers, by request id.
    pub written_tokens: HashMap<u64, u64>,
    /// Maximum delay of the harness's own timers.
    pub lateness: Duration,
}

/// Collects the observations of a run.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Observations>);

impl Recorder {
    /// Records an event of a request, at the current time.
    pub fn record(&self, id: u64, event: RequestEvent) {
        self.record_at(id, Instant::now(), event);
    }

    /// Records an event of a request.
    pub fn record_at(&self, id: u64, at: Instant, event: RequestEvent) {
        self.with(|seen| seen.requests.entry(id).or_default().push((at, event)));
    }

    /// Records an event of a router, at the current time.
    pub fn record_router(&self, router: usize, event: RouterEvent) {
        self.with(|seen| seen.router_events.entry(router).or_default().push((Instant::now(), event)));
    }

    /// Calls `apply` with the observations, under the lock.
    pub fn with<T>(&self, apply: impl FnOnce(&mut Observations) -> T) -> T {
        match self.0.lock() {
            Ok(mut seen) => apply(&mut seen),
            Err(poisoned) => apply(&mut poisoned.into_inner()),
        }
    }

    /// Takes all observations, and leaves the recorder empty.
    pub fn take(&self) -> Observations {
        self.with(std::mem::take)
    }
}
