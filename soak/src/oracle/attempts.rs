//! Checks of attempts: one at a time, side effects at most once, none to drained servers or for clients that left.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::class::Class;
use crate::limits::{BUDGET_SLACK, CLIENT_LEFT_SLACK, DRAIN_GRACE, SOCKET_SLACK};
use crate::trace::{Outcome, Ran};
use std::time::Duration;

/// Two attempts may appear to overlap by this, since the harness observes an attempt's end with a delay.
const END_DELAY: Duration = Duration::from_millis(25);

impl Oracle<'_> {
    pub(super) fn check_attempts(&mut self, request: &Request) {
        for pair in request.attempts.windows(2) {
            let ended = pair[0].ended.map(|(at, _)| at);
            if ended.is_none_or(|ended| pair[1].began + END_DELAY + self.slack < ended) {
                let message = "an attempt began while another was out".to_owned();
                self.report("one_attempt_at_once", message, Some(request));
            }
        }
        let ran: Vec<&Attempt> =
            request.attempts.iter().filter(|attempt| self.may_have_run(attempt)).collect();
        if request.class == Class::SideEffect && ran.len() > 1 {
            self.report("once_only", format!("ran {} times", ran.len()), Some(request));
        }
        if request.class == Class::Keyed {
            self.check_dedup_window(request, &ran);
        }
        let refused =
            request.ended.is_some_and(|(_, outcome)| matches!(outcome, Outcome::Answered(429 | 503)));
        if request.class == Class::SideEffect && refused && !ran.is_empty() {
            self.report(
                "refusal_proved",
                "refused after an attempt that may have run".to_owned(),
                Some(request),
            );
        }
        for attempt in &request.attempts {
            self.check_drain(request, attempt);
            if let Some(left) = request.left_at
                && attempt.began > left + CLIENT_LEFT_SLACK + self.slack
                && !self.paused_long(request.router, left, attempt.began)
            {
                let message = format!(
                    "an attempt began {} ms after its client had left",
                    (attempt.began - left).as_millis()
                );
                self.report("nothing_after_leaving", message, Some(request));
            }
        }
    }

    /// Checks that all attempts of a keyed request that may have run were read by running servers within the
    /// deduplication window. "A call counts once its last byte has reached a running worker", whatever happened to
    /// its connection by then: the stricter reading of `docs/design-attempts.md`.
    fn check_dedup_window(&mut self, request: &Request, ran: &[&Attempt]) {
        let read = || ran.iter().filter_map(|attempt| attempt.received);
        let (Some(first), Some(last)) = (read().min(), read().max()) else { return };
        if last > first + self.dedup_window + self.slack {
            let message = format!("ran again after {} ms", (last - first).as_millis());
            self.report("once_only", message, Some(request));
        }
    }

    /// Whether an attempt may have had a side effect: a writer received all of it and did not reject it.
    fn may_have_run(&self, attempt: &Attempt) -> bool {
        let ran = attempt.ended.is_none_or(|(_, ran)| ran == Ran::Yes);
        attempt.worker >= self.readers && attempt.received.is_some() && ran
    }

    fn check_drain(&mut self, request: &Request, attempt: &Attempt) {
        let told =
            self.seen.told_status.get(&(request.router, attempt.worker)).map_or(&[][..], Vec::as_slice);
        let last = told.iter().rev().find(|(at, _)| *at <= attempt.began);
        let Some((at, false)) = last else { return };
        // The grace period starts at the first of consecutive updates that say so.
        let since =
            told.iter().rev().skip_while(|(other, _)| other > at).take_while(|(_, takes)| !takes).last();
        let since = since.map_or(*at, |(at, _)| *at);
        let after = attempt.began - since;
        if after > DRAIN_GRACE + SOCKET_SLACK + self.slack
            && !self.paused_long(request.router, since, attempt.began)
        {
            let message =
                format!("sent to w{} {} ms after the news that it drains", attempt.worker, after.as_millis());
            self.report("nothing_to_drained", message, Some(request));
        }
    }

    pub(super) fn check_budgets(&mut self, request: &Request) {
        for attempt in &request.attempts {
            // The budget is computed at the send; the network may deliver it later.
            let (Some(sent), Some(budget)) = (attempt.sent, attempt.budget) else { continue };
            let left = (request.asked + self.budget).saturating_duration_since(sent);
            let slack = BUDGET_SLACK + self.slack;
            if budget > left + slack && !self.paused_long(request.router, request.asked, sent) {
                let message = format!("told {} ms where {} are left", budget.as_millis(), left.as_millis());
                self.report("deadline_passed_on", message, Some(request));
            }
        }
    }
}
