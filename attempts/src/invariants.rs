//! Invariants that must hold whatever the router decides. They are checked where they could be violated and violations
//! are counted; a release build never stops because of one.

use std::cell::Cell;

/// An invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has one final outcome.
    OneFinalAnswer,
    /// No attempt is sent while another of the same request is in flight.
    OneAttemptAtOnce,
    /// A request is sent again only where a repeat is permitted.
    RepeatPermitted,
    /// A final answer is given at most half a second after its deadline.
    AnswerInTime,
    /// The router closes no connection on which a request waits for its answer.
    ClosedUnanswered,
    /// A lease is released, or its call is known to have arrived, within the settings' time plus the allowed slack.
    LeaseReleased,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 6] = [
        Invariant::OneFinalAnswer,
        Invariant::OneAttemptAtOnce,
        Invariant::RepeatPermitted,
        Invariant::AnswerInTime,
        Invariant::ClosedUnanswered,
        Invariant::LeaseReleased,
    ];

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneFinalAnswer => "one_final_answer",
            Invariant::OneAttemptAtOnce => "one_attempt_at_once",
            Invariant::RepeatPermitted => "repeat_permitted",
            Invariant::AnswerInTime => "answer_in_time",
            Invariant::ClosedUnanswered => "closed_unanswered",
            Invariant::LeaseReleased => "hold_released",
        }
    }
}

/// Counts of violations per invariant.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Invariant::ALL.len()]);

impl Violations {
    /// Counts a violation.
    pub fn record(&self, invariant: Invariant) {
        let count = &self.0[invariant as usize];
        count.set(count.get() + 1);
    }

    /// The number of violations so far.
    pub fn get(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }
}
