//! The messages between the owner of leases and its caller.

use std::time::Duration;

/// Whether an attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Now.
    Now {
        /// If its last byte is not written by then it must end, and what is held be released.
        write_by: Option<Duration>,
    },
    /// Only after the request's [`Action::ReleasesEnded`]: a release is under way, and would take this attempt's state
    /// away.
    AfterRelease,
}

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its last byte was not written: no server had it.
    NotSent,
    /// Something came back for it: a rejection, an error, the beginning of an answer. Whatever the server did with it, it
    /// waits no longer.
    Answered,
    /// The server answered that it found no state. That is not the reader's word: it may be cut off from the reader.
    StateNotFound,
    /// The server closed its connection in order and said nothing. It may never have read the call.
    Closed,
    /// Nothing came back: it was given up, or its connection was reset, by the server or on the way. The server may have it, and may not have noticed its
    /// end.
    Unanswered,
}

/// How a release ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The server answered. What that proves is for [`Leases`](crate::Leases) to say.
    Answered,
    /// It did not.
    Failed,
    /// It was never asked: there was no connection for that.
    Unsent,
}

/// Why something is held past the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateReason {
    /// No server that was asked has answered.
    Unanswered,
    /// None could be asked for want of connections.
    NoConnection,
    /// No server is listed.
    NoServer,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<L> {
    /// Ask this server to release all that is held for the request.
    SendRelease {
        /// The request.
        request: u64,
        /// Its name.
        label: L,
        /// The server.
        server: u64,
    },
    /// What is held is being released while an attempt is out that may never have arrived: the attempt goes on, and if it
    /// does arrive it may find nothing.
    ReleasedUnderAttempt {
        /// The request.
        request: u64,
        /// Where it is held.
        reader: u64,
        /// For how long by now.
        held: Duration,
    },
    /// Releases of the request that are still under way end, and an attempt that waits may start.
    ReleasesEnded {
        /// The request.
        request: u64,
        /// As with [`Permission::Now`].
        write_by: Option<Duration>,
    },
    /// Something was held past the limit.
    ReleaseLate {
        /// The request's name.
        label: L,
        /// Where it is held.
        reader: u64,
        /// For how long by now.
        held: Duration,
        /// Why.
        reason: LateReason,
    },
    /// No server released it; none is asked any more.
    LeaseAbandoned {
        /// The request's name.
        label: L,
        /// Where it is held.
        reader: u64,
    },
}

/// What the answer of a release proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseProof {
    /// All that was held is gone.
    Conclusive,
    /// An attempt is out that may have waited for it.
    UnderAttempt,
    /// An attempt may have waited for it whose server had not noticed its end, or a server concerned is in doubt.
    Unconfirmed,
}

/// What a release was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseKind {
    /// Nobody wants the state any more.
    Needed,
    /// One that was answered before may have been made in vain.
    Repeated,
    /// An attempt is out that nobody has answered.
    UnderAttempt,
}

/// Releases that were answered, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseCounts {
    /// See [`ReleaseKind::Needed`].
    pub needed: u64,
    /// See [`ReleaseKind::Repeated`].
    pub repeated: u64,
    /// See [`ReleaseKind::UnderAttempt`].
    pub under_attempt: u64,
    /// Attempts under which a state was released, and which had waited for it all the same.
    pub in_vain: u64,
}

impl ReleaseCounts {
    pub(crate) fn count(&mut self, kind: ReleaseKind) {
        match kind {
            ReleaseKind::Needed => self.needed += 1,
            ReleaseKind::Repeated => self.repeated += 1,
            ReleaseKind::UnderAttempt => self.under_attempt += 1,
        }
    }
}
