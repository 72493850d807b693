//! Whether an attempt may begin and whether a connection may be evicted, each decided in one place from plain values.
//! [`Attempts`](crate::Attempts) decides what may be repeated or refused.

use std::time::Duration;

/// A process that sent something at most this long ago is taken to be running, and to read what is sent to it unless it
/// stops just then.
pub const SIGN_OF_LIFE_MAX_AGE: Duration = Duration::from_millis(5);

/// Whether a server's process is known to be running, where that matters: a machine accepts data while its process is
/// stopped, and a reset does not take back what the machine has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// It does not matter: the server may read the attempt at any time.
    NotNeeded,
    /// The process has sent nothing on the connection.
    Missing,
    /// The process sent something on the connection.
    Seen {
        /// Time since then.
        ago: Duration,
    },
}

/// What is known when an attempt's first byte is about to be written, which may be long after the decision to send it.
#[derive(Clone, Copy, Debug)]
pub struct BeginFacts {
    /// The client still waits for the beginning of an answer.
    pub client_waits: bool,
    /// How long the server has been known to drain; `None` while it takes new work.
    pub draining_for: Option<Duration>,
    /// How long after the news of the drain an attempt may still begin.
    pub drain_grace: Duration,
    /// Time left until the attempt is useless or no longer allowed; `None` when that time is over.
    pub time_left: Option<Duration>,
    /// Whether the server's process is known to be running.
    pub sign_of_life: SignOfLife,
}

/// Why an attempt must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotBegun {
    /// The server is draining.
    Draining,
    /// The client has left or has its answer.
    NotWanted,
    /// Its time is over.
    TooLate,
    /// The server's process has not shown recently that it is running.
    NoSignOfLife,
}

/// Whether an attempt may begin now.
pub fn may_begin(facts: &BeginFacts) -> Result<(), NotBegun> {
    if !facts.client_waits {
        return Err(NotBegun::NotWanted);
    }
    // The drain rule also applies to sends that waited for a connection.
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

/// A connection is settled after this time without a request; before that a new request may be on its way.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(150);

/// What is known of a client's connection that may be evicted.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionFacts {
    /// A request is in progress on it.
    pub busy: bool,
    /// Part of a request has been received.
    pub partial_request: bool,
    /// It has already been told to close.
    pub closing: bool,
    /// How long it has been without a request.
    pub idle_for: Duration,
}

/// Why a connection is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictReason {
    /// File descriptors are short. The connection must be settled.
    Descriptors,
    /// A new client needs a connection and all are taken. Any connection without a request may go.
    ClientSlot,
}

/// Whether a connection may be evicted.
pub fn may_evict(facts: &ConnectionFacts, reason: EvictReason) -> bool {
    let settled = facts.idle_for >= MIN_IDLE_TIME;
    !facts.busy && !facts.partial_request && !facts.closing && (settled || reason == EvictReason::ClientSlot)
}
