//! The attempts of one request: what is proved about each of them, and what may follow.
//!
//! A refusal tells the client that it can safely send the request again. For work that must not run twice it is only
//! allowed if no attempt can have run or still be in flight. [`Attempts`] collects the proof of that, and only
//! [`Attempts::may_refuse`] decides whether the final answer may be a refusal. Otherwise the answer is a failure.
//!
//! No clock, no I/O. Times are durations since any fixed moment of the caller's clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decisions;
pub mod delivery;
pub mod invariants;

use std::time::Duration;

/// Longest time from the decision to permit a repeat until it reaches the server that has to recognise it.
pub const MAX_TRANSIT: Duration = Duration::from_millis(40);

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request has no effect, so it may be repeated at any time.
    Idempotent,
    /// Every server drops repeats for this long after the first send.
    DedupEverywhere(Duration),
    /// Only the servers of one group (zone or cell) drop repeats, for this long after the first send.
    DedupInGroup(Duration),
    /// No server recognises repeats.
    Never,
}

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The last byte of the request was never written, so no server has begun it.
    NeverSent,
    /// It is over and had no effect: the server ended a read, or rejected the request.
    NoEffect,
    /// It may have run. If it has not, the server will not run it after requests that it reads now.
    MayHaveRun,
    /// The router gave it up without any sign from the server. The process may be stopped and read the request
    /// whenever it resumes, because a reset does not take back what its machine has accepted.
    MayRunLater,
    /// A read that the router gave up. It has no effect, but the server may not have noticed the end yet.
    MayBeInFlight,
}

/// How the end of an attempt came to be known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// From the server: it answered, refused the connection or closed it.
    #[default]
    Server,
    /// The router gave the attempt up, or cannot tell whether the answer belongs to it.
    Router,
    /// The router gave the attempt up and nothing had come back for it: the server may not have read it.
    Silence,
}

impl Proof {
    /// What a fully written attempt proves. `reads`: its server only reads. `rejected`: the outcome says that the
    /// server did not begin it.
    pub fn of(reads: bool, rejected: bool, evidence: Evidence) -> Self {
        match (reads, rejected, evidence) {
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

/// All attempts of one request. At most one is in flight at a time.
#[derive(Clone, Debug)]
pub struct Attempts<S> {
    in_flight: Option<SentAttempt<S>>,
    /// The first one that may have run.
    first_possible_run: Option<SentAttempt<S>>,
    /// One that was given up may run at any later time.
    may_run_later: bool,
    /// When the first one was sent that was given up and may still be in flight.
    first_given_up: Option<Duration>,
}

impl<S> Default for Attempts<S> {
    fn default() -> Self {
        Attempts { in_flight: None, first_possible_run: None, may_run_later: false, first_given_up: None }
    }
}

impl<S: Copy> Attempts<S> {
    /// Records that an attempt is sent. One still in flight counts as one that may have run.
    pub fn begin(&mut self, server: S, now: Duration) {
        self.end(Proof::MayHaveRun);
        self.in_flight = Some(SentAttempt { server, at: now });
    }

    /// Records the end of the attempt in flight. Does nothing if there is none.
    pub fn end(&mut self, proof: Proof) {
        let Some(ended) = self.in_flight.take() else { return };
        match proof {
            Proof::NeverSent | Proof::NoEffect => {}
            Proof::MayHaveRun => self.first_possible_run = self.first_possible_run.or(Some(ended)),
            Proof::MayRunLater => {
                self.first_possible_run = self.first_possible_run.or(Some(ended));
                self.may_run_later = true;
            }
            Proof::MayBeInFlight => self.first_given_up = self.first_given_up.or(Some(ended.at)),
        }
    }

    /// Whether an attempt is in flight.
    pub fn in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<SentAttempt<S>> {
        self.first_possible_run
    }

    /// Whether the final answer may be a refusal now that asks the client to retry after `back_off`.
    pub fn may_refuse(&self, policy: RepeatPolicy, now: Duration, back_off: Duration) -> bool {
        let run = self.first_possible_run.or(self.in_flight).map(|sent| sent.at);
        let earliest = run.into_iter().chain(self.first_given_up).min();
        match policy {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => {
                !self.may_run_later
                    && earliest.is_none_or(|sent| now + back_off + MAX_TRANSIT < sent + window)
            }
            RepeatPolicy::DedupInGroup(_) | RepeatPolicy::Never => earliest.is_none(),
        }
    }

    /// Whether another attempt that may take effect is allowed now. `same_group` tells whether its server drops repeats
    /// together with the server of the given attempt.
    pub fn may_repeat(
        &self,
        policy: RepeatPolicy,
        now: Duration,
        same_group: impl FnOnce(S) -> bool,
    ) -> bool {
        if self.in_flight.is_some() {
            return false;
        }
        let Some(first) = self.first_possible_run else { return true };
        match policy {
            RepeatPolicy::Idempotent => true,
            // The earlier attempt may run after servers no longer drop it as a repeat.
            _ if self.may_run_later => false,
            RepeatPolicy::DedupEverywhere(window) => now + MAX_TRANSIT < first.at + window,
            RepeatPolicy::DedupInGroup(window) => {
                now + MAX_TRANSIT < first.at + window && same_group(first.server)
            }
            RepeatPolicy::Never => false,
        }
    }
}
