//! Rules that must hold whatever the decisions were: checked at the moment in which they could break, counted, and never
//! the end of a process in a release build.

use std::cell::Cell;

/// A rule that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has one final outcome.
    OneFinalAnswer,
    /// No attempt is sent while another of the same request is out.
    OneAttemptAtOnce,
    /// An attempt is sent again only where a repeat is permitted.
    RepeatPermitted,
    /// A final answer is given within half a second of its time.
    AnswerInTime,
    /// The router ends no connection on which a request waits for its answer.
    ClosedUnanswered,
    /// What is held is let go of, or its call is known to have arrived, within the settings' time and the page's slack.
    LeaseReleased,
}

impl Invariant {
    /// All of them.
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

/// How often each rule was broken.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Invariant::ALL.len()]);

impl Violations {
    /// A rule was broken.
    pub fn record(&self, rule: Invariant) {
        let count = &self.0[rule as usize];
        count.set(count.get() + 1);
    }

    /// How often it was, so far.
    pub fn get(&self, rule: Invariant) -> u64 {
        self.0[rule as usize].get()
    }
}
