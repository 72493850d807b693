//! Rules that must hold whatever the decisions were: checked at the moment in which they could break, counted, and never
//! the end of a process in a release build.

use std::cell::Cell;

/// A rule that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
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
    HoldReleased,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] = [
        Rule::OneFinalAnswer,
        Rule::OneAttemptAtOnce,
        Rule::RepeatPermitted,
        Rule::AnswerInTime,
        Rule::ClosedUnanswered,
        Rule::HoldReleased,
    ];

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "one_final_answer",
            Rule::OneAttemptAtOnce => "one_attempt_at_once",
            Rule::RepeatPermitted => "repeat_permitted",
            Rule::AnswerInTime => "answer_in_time",
            Rule::ClosedUnanswered => "closed_unanswered",
            Rule::HoldReleased => "hold_released",
        }
    }
}

/// How often each rule was broken.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Rule::ALL.len()]);

impl Violations {
    /// A rule was broken.
    pub fn count(&self, rule: Rule) {
        let count = &self.0[rule as usize];
        count.set(count.get() + 1);
    }

    /// How often it was, so far.
    pub fn of(&self, rule: Rule) -> u64 {
        self.0[rule as usize].get()
    }
}
