//! Inputs and outputs of a [`Router`](crate::Router): settings, events and actions. Plain types without decisions.

use fawnstream_attempts::RepeatPolicy;
pub use fawnstream_attempts::{Evidence, Proof};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A moment on the caller's monotonic clock, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A duration in nanoseconds.
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

    /// The span times a factor; a negative or NaN result becomes zero.
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
    /// Time since the zero of the caller's clock.
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

/// A server's number, the same at every router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A request's number, never reused by a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a session, or a prompt prefix that several sessions share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Index of a machine kind in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub usize);

/// A zone's number, assigned by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// A cell: servers that share fast links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// An attempt's number within its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt(pub u32);

/// A timer's number, assigned by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// What servers of a machine kind do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    #[default]
    Reader,
    /// Writes answers (decode).
    Writer,
    /// Reads prompts and writes answers.
    Mixed,
}

/// A machine kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Role of its servers.
    pub role: Role,
    /// KV-cache memory in tokens; `None` if unknown.
    pub memory_tokens: Option<f64>,
}

/// Which servers deduplicate together: they share the record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: it may be repeated.
    Safe,
    /// It has an idempotency key: servers in the scope drop repeats for this time after the first send.
    Keyed(DedupScope, Span),
    /// It must never run twice.
    Unsafe,
}

impl Effect {
    /// Whether two servers drop each other's repeats of such a request, if any servers do.
    pub fn same_dedup_scope(self, a: &Member, b: &Member) -> bool {
        match self {
            Effect::Keyed(DedupScope::Zone, _) => a.zone == b.zone,
            Effect::Keyed(DedupScope::Cell, _) => a.cell == b.cell,
            Effect::Keyed(DedupScope::All, _) | Effect::Safe | Effect::Unsafe => true,
        }
    }

    /// Translates it to the rules for repeats.
    pub fn repeat(self) -> RepeatPolicy {
        match self {
            Effect::Safe => RepeatPolicy::Idempotent,
            Effect::Keyed(DedupScope::All, window) => RepeatPolicy::DedupEverywhere(window.into()),
            Effect::Keyed(DedupScope::Zone | DedupScope::Cell, window) => {
                RepeatPolicy::DedupInGroup(window.into())
            }
            Effect::Unsafe => RepeatPolicy::Never,
        }
    }
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Target time to the first token.
    pub aim: Span,
    /// Added to the aim per 1,000 prompt tokens.
    pub aim_per_1000: Span,
    /// Value of a request; the queue serves the highest worth per prompt token first.
    pub worth: f64,
    /// Effect of running a request twice.
    pub effect: Effect,
}

/// A customer of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second in its quota, over all routers.
    pub quota_per_s: f64,
}

/// Limits for cold servers: what servers can take after their start.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Least share of its capacity that a server has at its start.
    pub cold_share: f64,
    /// Time after its start until it is warm, with its whole capacity.
    pub cold: Span,
    /// Multiple of its current capacity that overloads a server if sent for the time `fall`.
    pub fall_multiple: f64,
    /// Time over which the sends to a server are counted for `fall_multiple`.
    pub fall: Span,
}

/// Configuration of a router, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of routers.
    pub routers: u32,
    /// Index of this router among them, from 0.
    pub router: u32,
    /// Maximum attempts per request.
    pub max_attempts: u32,
    /// Whether attempts that have not answered yet may be cancelled.
    pub may_cancel: bool,
    /// Whether to probe servers for load reports.
    pub probes_enabled: bool,
    /// Retry delay advised in refusals; `None` to advise none.
    pub refusal_backoff: Option<Span>,
    /// Whether the router must subscribe to the list of servers.
    pub subscribe_to_list: bool,
    /// Whether a writer without a state reads the prompt itself.
    pub writers_read: bool,
    /// Factor on the worth of a request beyond its tenant's quota.
    pub over_share_worth: f64,
    /// Limits for cold servers.
    pub rules: Rules,
    /// Machine kinds.
    pub kinds: Vec<Kind>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
}

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A field's value is out of range.
    #[error("settings: {field}: {problem}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// The range it must be in.
        problem: &'static str,
    },
}

impl Settings {
    /// Checks that all values are in range.
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

/// A listed server's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes new requests.
    #[default]
    Active,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer in the service.
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Its machine kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When it last started; `None` if long ago.
    pub up_since: Option<Time>,
}

/// An update of the list of servers.
#[derive(Clone, Debug)]
pub enum Members {
    /// A snapshot of the list; servers that it leaves out are removed.
    Full(Vec<Member>),
    /// The changed entries.
    Changes(Vec<Member>),
    /// A call for the list failed; the last known list stays in use.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its session, if any.
    pub session: Option<Key>,
    /// The prompt prefix that it shares with other sessions, if any.
    pub prefix: Option<Key>,
    /// Length of that prefix in tokens.
    pub prefix_len: f64,
    /// Length of the prompt in tokens.
    pub prompt_len: f64,
    /// Maximum tokens of the answer.
    pub max_out: f64,
    /// Time left until the client gives up.
    pub budget: Span,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if known.
    pub tenant: Option<TenantId>,
}

impl Request {
    /// Tokens of prompt and answer; the answer's length is not known ahead, so its maximum counts.
    pub fn max_tokens(&self) -> f64 {
        self.prompt_len + self.max_out
    }

    /// What it uses of a server's limit, which counts reads at a reader and tokens elsewhere.
    pub fn cost(&self, role: Role) -> f64 {
        if role == Role::Reader { 1.0 } else { self.max_tokens() }
    }

    /// Keys for the prefix cache with lengths in tokens: the session's whole prompt and the shared prefix.
    pub fn cache_keys(&self) -> [(Option<u64>, f64); 2] {
        let number = |key: Option<Key>| key.map(|key| key.0);
        [(number(self.session), self.prompt_len), (number(self.prefix), self.prefix_len)]
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered to the end.
    Ok,
    /// The prompt was read; the reader holds its KV cache (the state) until a writer fetches it.
    Read,
    /// The server answered with an error; the request may have run.
    Error,
    /// An answer began but could not be read; the request has run and the state is used up.
    Spoilt,
    /// Rejected by a full server; it never ran.
    Full,
    /// Rejected because there was no state to fetch; it never ran.
    NoState,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    NoRoute,
    /// The server's machine refused the connection; it never ran.
    Refused,
    /// The connection broke; it may have run.
    Reset,
    /// The server closed the connection cleanly without an answer, as servers do on requests that they cannot
    /// parse; it may have run, and is no fault of the server.
    Closed,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent, or rejected by a working server as unusable; it never ran, and no retry can help.
    Moot,
    /// Its state had to be released before the connection was up; it never ran.
    Expired,
    /// Never sent: the server's process gave no sign of life in time, and a retry must not wait for a stalled
    /// process.
    NoSignOfLife,
}

impl Verdict {
    /// What an attempt with this end proves; `reads` if it was only a read.
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
    /// Share of its memory in use.
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
    /// How the end became known.
    pub evidence: Evidence,
    /// Whether the client has its final answer.
    pub settled: bool,
    /// Prompt tokens found in the server's prefix cache (with `Ok` and `Read`).
    pub cached_tokens: Option<f64>,
    /// The server's report, if any.
    pub report: Option<Report>,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the list of servers.
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
    /// A timer expired.
    Timer(TimerId),
    /// A probe ended, or an answer carried a load report at its beginning.
    Probed {
        /// The server.
        server: ServerId,
        /// Whether it answered.
        ok: bool,
        /// Its report, if any.
        report: Option<Report>,
    },
    /// A server sent more of an answer: a sign of life.
    Activity(ServerId),
    /// A request's state is being released while an attempt is in flight that may never have arrived.
    LeaseReleased(RequestId),
}

/// An output of the router, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout of the attempt; `None` to wait until the client's deadline.
        timeout: Option<Span>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Final answer: refused; the client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// Delay that the client should wait before a retry.
        backoff: Option<Span>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Release every state held for the request.
    Release(RequestId),
    /// Start a timer.
    Timer {
        /// The timer.
        timer: TimerId,
        /// Time from now.
        after: Span,
    },
    /// Ask a server for its load report.
    Probe(ServerId),
    /// Subscribe to changes of the list of servers.
    Subscribe,
}
