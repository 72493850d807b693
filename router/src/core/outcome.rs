//! Final outcomes of requests: counted, logged and reported to the usage ledger in one place.

use super::{Core, OpenRequest, Server};
use crate::log;
use fawnstream_attempts::invariants::Invariant;
use fawnstream_ledger::entry::{Outcome as EntryOutcome, Tokens};
use fawnstream_ledger::recorder::RequestUsage;
use shedrelay::{ClassId, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Its client got the whole answer.
    Served,
    /// It was refused: a retry is harmless.
    Refused,
    /// It failed before its answer began.
    Failed,
    /// No server can process what the client sent.
    Unusable,
    /// Its answer began and broke off.
    Broken,
    /// Its client left before the end.
    ClientLeft,
}

impl FinalOutcome {
    /// Its name in the log.
    fn name(self) -> &'static str {
        match self {
            FinalOutcome::Served => "served",
            FinalOutcome::Refused => "refused",
            FinalOutcome::Failed => "failed",
            FinalOutcome::Unusable => "unusable",
            FinalOutcome::Broken => "broken",
            FinalOutcome::ClientLeft => "client-left",
        }
    }

    /// What the ledger's entry says.
    fn of_entry(self) -> EntryOutcome {
        match self {
            FinalOutcome::Served => EntryOutcome::Served,
            FinalOutcome::Refused => EntryOutcome::Refused,
            FinalOutcome::Failed | FinalOutcome::Unusable => EntryOutcome::Failed,
            FinalOutcome::Broken => EntryOutcome::Broken,
            FinalOutcome::ClientLeft => EntryOutcome::Left,
        }
    }
}

/// Ended requests of one class, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Answered completely.
    pub served: u64,
    /// Refused: a retry is harmless.
    pub refused: u64,
    /// Failed, answered incompletely or unusable.
    pub failed: u64,
    /// The client left before the end.
    pub left: u64,
}

/// How a request ended that was never submitted to the decision module.
#[derive(Clone, Copy, Debug)]
pub enum NotSubmitted {
    /// Refused for lack of capacity.
    Refused,
    /// Invalid or incomplete.
    Failed,
    /// The client left.
    Left,
}

impl OutcomeCounts {
    fn add(&mut self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Served => self.served += 1,
            FinalOutcome::Refused => self.refused += 1,
            FinalOutcome::ClientLeft => self.left += 1,
            FinalOutcome::Failed | FinalOutcome::Unusable | FinalOutcome::Broken => self.failed += 1,
        }
    }
}

impl Core {
    /// Ended requests by class, in the order of the settings.
    pub fn outcome_counts(&self) -> Vec<OutcomeCounts> {
        self.outcome_counts.borrow().clone()
    }

    /// Counts a request that ended before it was submitted. An unknown class is not counted.
    pub fn count_not_submitted(&self, class: Option<ClassId>, end: NotSubmitted) {
        let mut counts = self.outcome_counts.borrow_mut();
        let Some(counts) = class.and_then(|class| counts.get_mut(class.0)) else { return };
        match end {
            NotSubmitted::Refused => counts.refused += 1,
            NotSubmitted::Failed => counts.failed += 1,
            NotSubmitted::Left => counts.left += 1,
        }
    }

    /// Counts and logs a request's final outcome. The only place that does.
    pub(super) fn record_outcome(
        &self,
        id: RequestId,
        open: &OpenRequest,
        outcome: FinalOutcome,
        tokens: Option<Tokens>,
    ) {
        let call = &open.exchange.call;
        if open.outcome_recorded.replace(true) {
            return self.record_violation(
                Invariant::OneFinalAnswer,
                &format!("id={} outcome={}", call.label, outcome.name()),
            );
        }
        if let Some(usage) = &self.usage {
            let used = RequestUsage {
                label: call.label.clone(),
                class: self.class_name(call.class).to_owned(),
                outcome: outcome.of_entry(),
                answer_began: open.answer_began,
                reported_tokens: tokens,
                declared_prompt_tokens: call.prompt_len as i64,
            };
            usage.request_ended(id, used);
        }
        if let Some(counts) = self.outcome_counts.borrow_mut().get_mut(call.class.0) {
            counts.add(outcome);
        }
        log!(
            "request id={} class={} outcome={} attempts={} first_ms={} sent_ms={} read_ms={} ms={} prompt={} kept={} out={} reader={} writer={}",
            call.label,
            self.class_name(call.class),
            outcome.name(),
            open.attempts,
            log_millis(open.first_event_after),
            log_millis(open.sent_after),
            log_millis(open.read_after),
            call.arrived.elapsed().as_millis(),
            call.prompt_len,
            open.kept.map_or_else(|| "-".to_owned(), |kept| kept.to_string()),
            tokens.map_or_else(|| "-".to_owned(), |used| used.written.to_string()),
            server_label(&open.route[0]),
            server_label(&open.route[1])
        );
    }
}

/// Milliseconds for the log, `-` for none.
pub(super) fn log_millis(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
}

/// A server's label for the log, `-` for none.
pub(super) fn server_label(server: &Option<Rc<Server>>) -> &str {
    server.as_ref().map_or("-", |server| &server.label)
}
