//! Attempts: one at a time, effects once, nothing to drained servers or for clients that left.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::class::Class;
use crate::limits::{BUDGET_SLACK, CLIENT_LEFT_SLACK, DRAIN_GRACE, SOCKET_SLACK};
use crate::trace::{Outcome, Ran};
use std::time::Duration;

/// Two attempts of one request may seem to overlap by this: the harness sees an end when it is told of it.
const END_SEEN: Duration = Duration::from_millis(25);

impl Oracle<'_> {
    pub(super) fn attempts(&mut self, request: &Request) {
        for pair in request.attempts.windows(2) {
            let over = pair[0].over.map(|(at, _)| at);
            if over.is_none_or(|over| pair[1].first + END_SEEN + self.slack < over) {
                let message = "an attempt began while another was out".to_owned();
                self.broken("one_attempt_at_once", message, Some(request));
            }
        }
        let ran: Vec<&Attempt> =
            request.attempts.iter().filter(|attempt| self.took_effect(attempt)).collect();
        if request.class == Class::SideEffect && ran.len() > 1 {
            self.broken("once_only", format!("ran {} times", ran.len()), Some(request));
        }
        if request.class == Class::Keyed {
            self.ran_within_window(request, &ran);
        }
        let refused =
            request.ended.is_some_and(|(_, outcome)| matches!(outcome, Outcome::Answered(429 | 503)));
        if request.class == Class::SideEffect && refused && !ran.is_empty() {
            self.broken(
                "refusal_proved",
                "refused after an attempt that may have run".to_owned(),
                Some(request),
            );
        }
        for attempt in &request.attempts {
            self.drained(request, attempt);
            if let Some(left) = request.left
                && attempt.first > left + CLIENT_LEFT_SLACK + self.slack
                && !self.held_up(request.router, left, attempt.first)
            {
                let message = format!(
                    "an attempt began {} ms after its client had left",
                    (attempt.first - left).as_millis()
                );
                self.broken("nothing_after_leaving", message, Some(request));
            }
        }
    }

    /// Servers drop repeats of a keyed request for a while, so all its attempts that may have run were read by running
    /// servers within that time of each other. "A call counts once its last byte has reached a running worker", whatever has
    /// become of its connection by then: the stricter reading of `docs/design-attempts.md`.
    fn ran_within_window(&mut self, request: &Request, ran: &[&Attempt]) {
        let read = || ran.iter().filter_map(|attempt| attempt.whole);
        let (Some(first), Some(last)) = (read().min(), read().max()) else { return };
        if last > first + self.dedup_window + self.slack {
            let message = format!("ran again after {} ms", (last - first).as_millis());
            self.broken("once_only", message, Some(request));
        }
    }

    /// An attempt may have changed something: it was whole at a server that writes, and was not turned away.
    fn took_effect(&self, attempt: &Attempt) -> bool {
        let ran = attempt.over.is_none_or(|(_, ran)| ran == Ran::Yes);
        attempt.worker >= self.readers && attempt.whole.is_some() && ran
    }

    fn drained(&mut self, request: &Request, attempt: &Attempt) {
        let told =
            self.seen.told_status.get(&(request.router, attempt.worker)).map_or(&[][..], Vec::as_slice);
        let last = told.iter().rev().find(|(at, _)| *at <= attempt.first);
        let Some((at, false)) = last else { return };
        // The news counts from its first telling on.
        let since =
            told.iter().rev().skip_while(|(other, _)| other > at).take_while(|(_, takes)| !takes).last();
        let since = since.map_or(*at, |(at, _)| *at);
        let after = attempt.first - since;
        if after > DRAIN_GRACE + SOCKET_SLACK + self.slack
            && !self.held_up(request.router, since, attempt.first)
        {
            let message =
                format!("sent to w{} {} ms after the news that it drains", attempt.worker, after.as_millis());
            self.broken("nothing_to_drained", message, Some(request));
        }
    }

    pub(super) fn told_times(&mut self, request: &Request) {
        for attempt in &request.attempts {
            // What is told is told at the send, which the network may deliver late.
            let (Some(sent), Some(budget)) = (attempt.sent, attempt.budget) else { continue };
            let left = (request.asked + self.budget).saturating_duration_since(sent);
            let slack = BUDGET_SLACK + self.slack;
            if budget > left + slack && !self.held_up(request.router, request.asked, sent) {
                let message = format!("told {} ms where {} are left", budget.as_millis(), left.as_millis());
                self.broken("deadline_passed_on", message, Some(request));
            }
        }
    }
}
