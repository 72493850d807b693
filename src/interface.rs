//! What goes into a [`Router`](crate::Router) and what comes out: settings, events and actions.
//! Plain types only; no decision is taken here.

use fawnstream_attempts::Repeat;
pub use fawnstream_attempts::{Evidence, Proof};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A moment on the caller's monotonic clock, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Span(ms * 1_000_000)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The span times a factor; negative and undefined results become zero.
    pub fn times(self, factor: f64) -> Self {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Duration::from_nanos(span.0)
    }
}

impl From<Time> for Duration {
    /// Since the zero of the caller's clock.
    fn from(time: Time) -> Self {
        Duration::from_nanos(time.0)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// A server; the same number for the same server at every router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A request; never used twice in a router's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A session, or a beginning that several sessions share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// The place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// The place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The place of a machine kind in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub usize);

/// A zone, as the caller numbers them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// A cell: servers that share fast links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// The number of an attempt of one request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt(pub u32);

/// A timer's number, chosen by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// What a kind of machine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    #[default]
    Reader,
    /// Writes answers (decode).
    Writer,
    /// Does both.
    Mixed,
}

/// A machine kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// What it does.
    pub role: Role,
    /// Its KV-cache memory in tokens; `None` where it is not told.
    pub memory_tokens: Option<f64>,
}

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated.
    Safe,
    /// Repeats are dropped inside the scope for so long after the first send.
    Keyed(DedupScope, Span),
    /// It must never run twice.
    Unsafe,
}

impl Effect {
    /// Whether two servers drop each other's repeats of such a request, where any do.
    pub fn same_dedup_scope(self, a: &Member, b: &Member) -> bool {
        match self {
            Effect::Keyed(DedupScope::Zone, _) => a.zone == b.zone,
            Effect::Keyed(DedupScope::Cell, _) => a.cell == b.cell,
            Effect::Keyed(DedupScope::All, _) | Effect::Safe | Effect::Unsafe => true,
        }
    }

    /// What repeats of such a request do.
    pub fn repeat(self) -> Repeat {
        match self {
            Effect::Safe => Repeat::Harmless,
            Effect::Keyed(DedupScope::All, window) => Repeat::DroppedEverywhere(window.into()),
            Effect::Keyed(DedupScope::Zone | DedupScope::Cell, window) => {
                Repeat::DroppedInGroup(window.into())
            }
            Effect::Unsafe => Repeat::Never,
        }
    }
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// The first token is wanted within this time.
    pub aim: Span,
    /// Added to the aim for each 1,000 prompt tokens.
    pub aim_per_1000: Span,
    /// Worth of one request, or of one unit of its work.
    pub worth: f64,
    /// What repeats do.
    pub effect: Effect,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all routers.
    pub quota_per_s: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A fresh server starts at this share of its capacity or more.
    pub cold_share: f64,
    /// It is warm after this time.
    pub cold: Span,
    /// It falls over when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall: Span,
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many routers there are.
    pub routers: u32,
    /// This router's own number among them, from 0.
    pub router: u32,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Waiting attempts may be cancelled.
    pub may_cancel: bool,
    /// Load reports come with probes.
    pub probed_reports: bool,
    /// Refusals may advise the client to stay away for up to this long.
    pub max_backoff: Option<Span>,
    /// The list of servers must be asked for.
    pub list_on_request: bool,
    /// A writer without a state reads the prompt itself.
    pub writers_read: bool,
    /// Worth of a request beyond its tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// Figures of the rules.
    pub rules: Rules,
    /// Machine kinds.
    pub kinds: Vec<Kind>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Customers; may be empty.
    pub tenants: Vec<Tenant>,
}

/// Settings a router cannot work with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A field has a value outside its range.
    #[error("settings: {field}: {problem}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

impl Settings {
    /// Checks that a router can work with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |field, problem| Err(SettingsError::Field { field, problem });
        let share = self.rules.cold_share;
        match () {
            () if self.routers == 0 => wrong("routers", "must be at least 1"),
            () if self.router >= self.routers => wrong("router", "must be below the number of routers"),
            () if self.max_attempts == 0 => wrong("max_attempts", "must be at least 1"),
            () if self.classes.is_empty() => wrong("classes", "must not be empty"),
            () if !(share > 0.0 && share <= 1.0) => {
                wrong("rules.cold_share", "must be above 0 and at most 1")
            }
            () if !(self.rules.fall_multiple >= 0.0 && self.rules.fall_multiple.is_finite()) => {
                wrong("rules.fall_multiple", "must be finite and not negative")
            }
            () if self.tenants.iter().any(|t| !(t.quota_per_s >= 0.0 && t.quota_per_s.is_finite())) => {
                wrong("tenants[].quota_per_s", "must be finite and not negative")
            }
            () => Ok(()),
        }
    }
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has.
    Leaving,
    /// It was removed.
    Left,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// Whether it takes work.
    pub state: ServerState,
    /// Its machine kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When it last started; `None`: long ago.
    pub up_since: Option<Time>,
}

/// News of the list of servers.
#[derive(Clone, Debug)]
pub enum Members {
    /// The whole list; what it leaves out is gone.
    Full(Vec<Member>),
    /// Changed entries.
    Changes(Vec<Member>),
    /// A call for the list failed; the old list stands.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its session; `None` for a request of no session.
    pub session: Option<Key>,
    /// The beginning it shares with other sessions.
    pub prefix: Option<Key>,
    /// Length of that beginning in tokens.
    pub prefix_len: f64,
    /// Length of the prompt in tokens.
    pub prompt_len: f64,
    /// Most tokens the answer may have.
    pub max_out: f64,
    /// Time left until the client gives up.
    pub budget: Span,
    /// Its class.
    pub class: ClassId,
    /// Its customer.
    pub tenant: Option<TenantId>,
}

impl Request {
    /// Tokens that its answer's place will hold; the told maximum stands in for the answer's length.
    pub fn max_tokens(&self) -> f64 {
        self.prompt_len + self.max_out
    }

    /// It in the units of a server's limit: reads at a reader, else tokens.
    pub fn cost(&self, role: Role) -> f64 {
        if role == Role::Reader { 1.0 } else { self.max_tokens() }
    }

    /// The texts that it begins with and their lengths in tokens: its session's and its beginning.
    pub fn cache_keys(&self) -> [(Option<u64>, f64); 2] {
        let number = |key: Option<Key>| key.map(|key| key.0);
        [(number(self.session), self.prompt_len), (number(self.prefix), self.prefix_len)]
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served.
    Ok,
    /// The prompt is read; the state waits at the reader.
    Read,
    /// The server answered with an error; it may have run.
    Error,
    /// An answer began and could not be read: it has run, and took the state with it.
    Spoilt,
    /// Turned away; it never ran.
    Full,
    /// Turned away for want of a state to fetch; it never ran.
    NoState,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    NoRoute,
    /// No connection, for the server's machine refused it; it never ran.
    Refused,
    /// The connection broke; it may have run.
    Reset,
    /// The server ended the connection in order, without a word: it may have run, and nothing speaks against the
    /// server, which ends so what it cannot read.
    Closed,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// What was held for it had to be let go before its connection came up; it never ran.
    Expired,
    /// Its server's process did not show in time that it runs, and a repeat must not wait for a process that stands
    /// still: it was never sent.
    NoSignOfLife,
}

impl Verdict {
    /// What an attempt that ended so proves of its server, which only reads or not.
    pub fn proof(self, reads: bool, evidence: Evidence) -> Proof {
        use Verdict::{Expired, Full, Moot, NoRoute, NoSignOfLife, NoState, Read, Refused};
        match self {
            NoRoute | Refused | Moot | Expired | NoSignOfLife => Proof::NeverSent,
            _ => Proof::of(reads, matches!(self, Full | NoState | Read), evidence),
        }
    }
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of its memory that is held.
    pub memory_share: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub verdict: Verdict,
    /// How that is known.
    pub evidence: Evidence,
    /// The request has its final answer.
    pub settled: bool,
    /// Prompt tokens found kept (with `Ok` and `Read`).
    pub kept: Option<f64>,
    /// The server's report, if one came.
    pub report: Option<Report>,
}

/// What the router hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of servers, or changes of it.
    Members(Members),
    /// A client's request.
    Request(Request),
    /// An answer began to stream.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left.
    ClientLeft(RequestId),
    /// A timer fell due.
    Timer(TimerId),
    /// A probe ended, or an answer that began told its server's load.
    Probed {
        /// The server.
        server: ServerId,
        /// Whether it answered.
        ok: bool,
        /// Its report, if one came.
        report: Option<Report>,
    },
    /// A server said something in an answer that goes on.
    Activity(ServerId),
    /// What was held for a request is being let go of while an attempt is out that may never have arrived.
    LeaseReleased(RequestId),
}

/// What the router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out of the attempt; `None`: until the client gives up.
        timeout: Option<Span>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Final answer: refused, a further try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        backoff: Option<Span>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Let go of every state held for the request.
    Release(RequestId),
    /// Wake the router after a time.
    Timer {
        /// Its number.
        timer: TimerId,
        /// From now.
        after: Span,
    },
    /// Ask a server for its report.
    Probe(ServerId),
    /// Ask that changes of the list be delivered.
    Subscribe,
}
