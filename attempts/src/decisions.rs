//! What may be begun, and which connection may end, each decided in one place from values alone. What may be repeated or
//! refused is decided by [`Attempts`](crate::Attempts).

use std::time::Duration;

/// A process that said something so short a time ago is taken to run. What it was sent in that time is read unless it stops
/// just then.
pub const SIGN_OF_LIFE_MAX_AGE: Duration = Duration::from_millis(5);

/// Whether a server's process is known to run, where that matters: a machine takes what comes while its process stands still,
/// and a reset takes back nothing that it has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// It does not matter: the attempt may be read at any time.
    NotNeeded,
    /// The process has shown nothing on the connection.
    Missing,
    /// The process said something on the connection.
    Seen {
        /// So long ago.
        ago: Duration,
    },
}

/// What is known when an attempt's first byte is about to be written, which may be long after it was sent this way.
#[derive(Clone, Copy, Debug)]
pub struct BeginFacts {
    /// Its client still waits for an answer's beginning.
    pub client_waits: bool,
    /// For how long its server has been known to take nothing new; none where it takes work.
    pub draining_for: Option<Duration>,
    /// How long after that news an attempt may begin there.
    pub drain_grace: Duration,
    /// What is left until it is of no use, or no longer allowed; none where that time is over.
    pub time_left: Option<Duration>,
    /// Whether its server's process is known to run.
    pub sign_of_life: SignOfLife,
}

/// Why an attempt must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotBegun {
    /// Its server takes nothing new.
    Draining,
    /// Its client left, or has its answer.
    NotWanted,
    /// Its time was up.
    TooLate,
    /// Its server's process has not just shown that it runs.
    NoSignOfLife,
}

/// Whether an attempt may begin now.
pub fn may_begin(facts: &BeginFacts) -> Result<(), NotBegun> {
    if !facts.client_waits {
        return Err(NotBegun::NotWanted);
    }
    // The drain rule binds sends that wait for a connection too.
    if facts.draining_for.is_some_and(|time| time > facts.drain_grace) {
        return Err(NotBegun::Draining);
    }
    if facts.time_left.is_none() {
        return Err(NotBegun::TooLate);
    }
    match facts.sign_of_life {
        SignOfLife::NotNeeded => Ok(()),
        SignOfLife::Seen { ago } if ago <= SIGN_OF_LIFE_MAX_AGE => Ok(()),
        SignOfLife::Seen { .. } | SignOfLife::Missing => Err(NotBegun::NoSignOfLife),
    }
}

/// A request may be on its way on a connection that has been without one for less than this.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(150);

/// What is known of a client's connection whose place is wanted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionFacts {
    /// A request is under way on it.
    pub busy: bool,
    /// Part of a request has come.
    pub partial_request: bool,
    /// It was told to end already.
    pub closing: bool,
    /// For how long it has been without a request.
    pub idle_for: Duration,
}

/// Why a connection is asked to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictReason {
    /// Descriptors: any that rests will do.
    Descriptors,
    /// A place for a new client, which would find none.
    ClientSlot,
}

/// Whether a connection may be asked to end for another one.
pub fn may_evict(facts: &ConnectionFacts, need: EvictReason) -> bool {
    let settled = facts.idle_for >= MIN_IDLE_TIME;
    !facts.busy && !facts.partial_request && !facts.closing && (settled || need == EvictReason::ClientSlot)
}
