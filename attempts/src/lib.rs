//! The attempts of one request: what is proved about each of them, and what may follow.
//!
//! A refusal tells the client that sending the request again is harmless, so for work that must not run twice it may
//! only follow from proof that no attempt ran or is still out. [`Attempts`] collects that proof, and
//! [`Attempts::may_refuse`] is the one place that decides whether a final answer may be a refusal. Where it says no,
//! the answer is a failure.
//!
//! Pure: no clock, no I/O. Times are durations since any fixed moment of the caller's clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decisions;
pub mod delivery;
pub mod invariants;

use std::time::Duration;

/// A repeat takes no longer than this from the decision that permits it to the server that has to recognise it.
pub const MAX_TRANSIT: Duration = Duration::from_millis(40);

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It has no effect: it may be repeated at any time.
    Idempotent,
    /// Every server drops repeats for this time after the first send.
    DedupEverywhere(Duration),
    /// The servers of one group do.
    DedupInGroup(Duration),
    /// No server recognises a repeat.
    Never,
}

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The last byte of the request was never written, so no server began it.
    NeverSent,
    /// It is over and had no effect: a read that the server ended, or one that it turned away.
    NoEffect,
    /// It may have run. If it has not, its server will not run it later than what it reads now.
    MayHaveRun,
    /// It was given up here with nothing heard for it. Its server's process may stand still and read it when it goes on,
    /// however late: the reset of a connection takes back nothing that a machine has taken.
    MayRunLater,
    /// A read that was given up here. A read has no effect, but the server may not have noticed yet.
    MayBeInFlight,
}

/// How the end of an attempt came to be known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// From the server: its answer, its refusal of the connection or its end of it.
    #[default]
    Server,
    /// The router gave the attempt up, or cannot tell whether the answer belongs to it.
    Router,
    /// The router gave the attempt up, and nothing had come back for it: its server may not have read it.
    Silence,
}

impl Proof {
    /// What an attempt proves that was written whole. `reads`: it was at a server that only reads. `turned_away`: the
    /// outcome says that the server did not begin it.
    pub fn of(reads: bool, turned_away: bool, evidence: Evidence) -> Self {
        match (reads, turned_away, evidence) {
            (true, _, Evidence::Server) | (false, true, Evidence::Server) => Proof::NoEffect,
            (true, _, Evidence::Router | Evidence::Silence) => Proof::MayBeInFlight,
            (false, _, Evidence::Silence) => Proof::MayRunLater,
            (false, _, _) => Proof::MayHaveRun,
        }
    }
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt<S> {
    /// Its server.
    pub server: S,
    /// When it was sent.
    pub at: Duration,
}

/// All attempts of one request. At most one is out at a time.
#[derive(Clone, Debug)]
pub struct Attempts<S> {
    out: Option<SentAttempt<S>>,
    /// The first one that may have run.
    ran: Option<SentAttempt<S>>,
    /// One that was given up may run at any later time.
    may_run_later: bool,
    /// When the first one was sent that may be out although it was given up.
    given_up: Option<Duration>,
}

impl<S> Default for Attempts<S> {
    fn default() -> Self {
        Attempts { out: None, ran: None, may_run_later: false, given_up: None }
    }
}

impl<S: Copy> Attempts<S> {
    /// An attempt is sent. One that was out without an end counts as one that may have run.
    pub fn begin(&mut self, server: S, now: Duration) {
        self.end(Proof::MayHaveRun);
        self.out = Some(SentAttempt { server, at: now });
    }

    /// The attempt that is out has ended. Nothing happens if none is.
    pub fn end(&mut self, proof: Proof) {
        let Some(ended) = self.out.take() else { return };
        match proof {
            Proof::NeverSent | Proof::NoEffect => {}
            Proof::MayHaveRun => self.ran = self.ran.or(Some(ended)),
            Proof::MayRunLater => {
                self.ran = self.ran.or(Some(ended));
                self.may_run_later = true;
            }
            Proof::MayBeInFlight => self.given_up = self.given_up.or(Some(ended.at)),
        }
    }

    /// Whether an attempt is out.
    pub fn in_flight(&self) -> bool {
        self.out.is_some()
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<SentAttempt<S>> {
        self.ran
    }

    /// Whether a refusal that asks the client to come back after `back_off` may be the final answer now.
    pub fn may_refuse(&self, repeat: RepeatPolicy, now: Duration, back_off: Duration) -> bool {
        let ran = self.ran.or(self.out).map(|sent| sent.at);
        let doubtful = ran.into_iter().chain(self.given_up).min();
        match repeat {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => {
                !self.may_run_later
                    && doubtful.is_none_or(|sent| now + back_off + MAX_TRANSIT < sent + window)
            }
            RepeatPolicy::DedupInGroup(_) | RepeatPolicy::Never => doubtful.is_none(),
        }
    }

    /// Whether a further attempt that may take effect is allowed now. `grouped`: whether its server drops repeats
    /// together with the one that this attempt was sent to.
    pub fn may_repeat(&self, repeat: RepeatPolicy, now: Duration, grouped: impl FnOnce(S) -> bool) -> bool {
        if self.out.is_some() {
            return false;
        }
        let Some(ran) = self.ran else { return true };
        match repeat {
            RepeatPolicy::Idempotent => true,
            // Whatever runs now, the earlier attempt may follow when nobody drops it any more.
            _ if self.may_run_later => false,
            RepeatPolicy::DedupEverywhere(window) => now + MAX_TRANSIT < ran.at + window,
            RepeatPolicy::DedupInGroup(window) => now + MAX_TRANSIT < ran.at + window && grouped(ran.server),
            RepeatPolicy::Never => false,
        }
    }
}
