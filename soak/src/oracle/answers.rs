//! Checks of what a client receives: one final answer, in time, and complete streams.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::limits::LATE_ANSWER_GRACE;
use crate::trace::{Outcome, RequestEvent};
use std::time::Instant;

impl Oracle<'_> {
    pub(super) fn check_answer(&mut self, request: &Request) {
        let Some((at, outcome)) = request.ended else {
            return self.report("one_final_answer", "the client never saw its end".to_owned(), Some(request));
        };
        if request.left_at.is_some() || self.killed(request.router, request.asked, at) {
            return;
        }
        let slack = self.slack + self.pause_slack(request.router);
        match outcome {
            Outcome::Served | Outcome::Answered(_) => {
                let took = request.head_at.unwrap_or(at) - request.asked;
                if took > self.budget + LATE_ANSWER_GRACE + slack
                    && !self.paused_long(request.router, request.asked, at)
                {
                    self.report(
                        "answer_in_time",
                        format!("answered after {} ms", took.as_millis()),
                        Some(request),
                    );
                }
            }
            Outcome::Broken => {
                let was_faulty = |attempt: &Attempt| {
                    let until = attempt.ended.map_or(at, |(ended, _)| ended);
                    let broke_off = |(_, event): &(Instant, RequestEvent)| {
                        *event == RequestEvent::BrokeOff(attempt.worker)
                    };
                    self.had_fault(attempt.worker, attempt.began, until)
                        || request.trace.iter().any(broke_off)
                };
                let finished = self.seen.written_tokens.contains_key(&request.id);
                if finished || !request.attempts.iter().any(was_faulty) {
                    let message = format!(
                        "its stream broke off, its server {}",
                        if finished { "had finished it" } else { "was well" }
                    );
                    self.report("stream_ended", message, Some(request));
                }
            }
            // The request arrived while the router closed the idle connection, and was never read.
            Outcome::Closed if !request.fresh && request.attempts.is_empty() => {}
            Outcome::Closed => {
                self.report("one_final_answer", "closed with no answer".to_owned(), Some(request))
            }
            Outcome::Silent if self.paused_long(request.router, request.asked, at) => {}
            Outcome::Silent => self.report("one_final_answer", "no answer in time".to_owned(), Some(request)),
            Outcome::Left => {}
        }
    }
}
