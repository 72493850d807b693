//! The inputs and outputs of [`Leases`](crate::Leases): what its caller reports, and what it asks the caller
//! to do.

use std::time::Duration;

/// Whether an attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may start now.
    Now {
        /// If the last byte of the attempt is not written by then, the attempt must end and the state be
        /// released.
        write_by: Option<Duration>,
    },
    /// It may start only after the request's [`Action::StopReleases`]: a release in flight would remove the
    /// state that this attempt needs.
    AfterRelease,
}

/// How an attempt ended, as far as its router can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The last byte was not written, so no server has received it.
    NotSent,
    /// The server replied: a rejection, an error, or the beginning of an answer. Whatever the server did with
    /// the attempt, it no longer waits for the state.
    Answered,
    /// The server answered that it found no state. The reader did not say so: the server may be cut off from
    /// the reader.
    StateNotFound,
    /// The server closed the connection cleanly without an answer. It may never have read the attempt.
    Closed,
    /// No reply: the router gave the attempt up, or the connection was reset by the server or on the way. The
    /// server may have received the attempt, and may not have noticed that it ended.
    Unanswered,
}

/// How a release call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The server answered; [`Leases`](crate::Leases) judges what that proves.
    Answered,
    /// The server did not answer.
    Failed,
    /// The call was not sent: there was no connection for it.
    Unsent,
}

/// Why a state is held past the time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateReason {
    /// No server that was asked has answered.
    Unanswered,
    /// No server could be asked, because there was no connection for the call.
    NoConnection,
    /// No server is listed.
    NoServer,
}

/// What the caller has to do or to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<L> {
    /// Ask this server to release every state that is held for the request.
    SendRelease {
        /// The request.
        request: u64,
        /// The request's name.
        label: L,
        /// The server to ask.
        server: u64,
    },
    /// The state is being released while an attempt is in flight that may never have arrived. The attempt
    /// goes on; if it does arrive it may find no state.
    ReleasedDuringAttempt {
        /// The request.
        request: u64,
        /// The reader that holds the state.
        reader: u64,
        /// How long the state has been held so far.
        held: Duration,
    },
    /// Stop the request's release calls that are still in flight; an attempt that waits for them may start.
    StopReleases {
        /// The request.
        request: u64,
        /// As in [`Permission::Now`].
        write_by: Option<Duration>,
    },
    /// A state was held past the time limit.
    ReleaseLate {
        /// The request's name.
        label: L,
        /// The reader that holds the state.
        reader: u64,
        /// How long the state has been held so far.
        held: Duration,
        /// Why it has not been released.
        reason: LateReason,
    },
    /// No server has released the state, and no further server is asked.
    LeaseAbandoned {
        /// The request's name.
        label: L,
        /// The reader that holds the state.
        reader: u64,
    },
}

/// What the answer to a release proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseProof {
    /// No state is held any more.
    Conclusive,
    /// An attempt is in flight that may have been waiting for the state, so the release may have left it in
    /// place.
    DuringAttempt,
    /// The server of an ended attempt may not have noticed the end, so that the attempt was still waiting for
    /// the state; or a server concerned may be unreachable.
    Unconfirmed,
}

/// Why a release was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseKind {
    /// The state is no longer needed.
    Needed,
    /// An earlier release was answered, but may have had no effect.
    Repeated,
    /// An attempt is in flight that no server has answered.
    DuringAttempt,
}

/// Numbers of answered releases, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseCounts {
    /// See [`ReleaseKind::Needed`].
    pub needed: u64,
    /// See [`ReleaseKind::Repeated`].
    pub repeated: u64,
    /// See [`ReleaseKind::DuringAttempt`].
    pub during_attempt: u64,
    /// Attempts that their server answered after a release during them: they may have been waiting for the
    /// state, so the release had no effect.
    pub without_effect: u64,
}

impl ReleaseCounts {
    pub(crate) fn count(&mut self, kind: ReleaseKind) {
        match kind {
            ReleaseKind::Needed => self.needed += 1,
            ReleaseKind::Repeated => self.repeated += 1,
            ReleaseKind::DuringAttempt => self.during_attempt += 1,
        }
    }
}
