//! What a client gets: one final answer, in time, and streams that end.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::limits::LATE_ANSWER_GRACE;
use crate::trace::{Outcome, RequestEvent};
use std::time::Instant;

impl Oracle<'_> {
    pub(super) fn answered(&mut self, request: &Request) {
        let Some((at, outcome)) = request.ended else {
            return self.broken("one_final_answer", "the client never saw its end".to_owned(), Some(request));
        };
        if request.left.is_some() || self.killed(request.router, request.asked, at) {
            return;
        }
        let slack = self.slack + self.hold_slack(request.router);
        match outcome {
            Outcome::Served | Outcome::Answered(_) => {
                let took = request.head.unwrap_or(at) - request.asked;
                if took > self.budget + LATE_ANSWER_GRACE + slack
                    && !self.held_up(request.router, request.asked, at)
                {
                    self.broken(
                        "answer_in_time",
                        format!("answered after {} ms", took.as_millis()),
                        Some(request),
                    );
                }
            }
            Outcome::Broken => {
                let trouble = |attempt: &Attempt| {
                    let until = attempt.over.map_or(at, |(over, _)| over);
                    let broke_off = |(_, happened): &(Instant, RequestEvent)| {
                        *happened == RequestEvent::BrokeOff(attempt.worker)
                    };
                    self.in_trouble(attempt.worker, attempt.first, until)
                        || request.trace.iter().any(broke_off)
                };
                let finished = self.seen.written_tokens.contains_key(&request.id);
                if finished || !request.attempts.iter().any(trouble) {
                    let message = format!(
                        "its stream broke off, its server {}",
                        if finished { "had finished it" } else { "was well" }
                    );
                    self.broken("stream_ended", message, Some(request));
                }
            }
            // It came as the connection ended, and nobody has seen it.
            Outcome::Closed if !request.fresh && request.attempts.is_empty() => {}
            Outcome::Closed => {
                self.broken("one_final_answer", "closed with no answer".to_owned(), Some(request))
            }
            Outcome::Silent if self.held_up(request.router, request.asked, at) => {}
            Outcome::Silent => self.broken("one_final_answer", "no answer in time".to_owned(), Some(request)),
            Outcome::Left => {}
        }
    }
}
