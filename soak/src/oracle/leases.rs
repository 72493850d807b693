//! Check that states held by readers are released in time.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::limits::{LEASE_SLACK, SOCKET_SLACK};
use crate::trace::{RequestEvent, RouterEvent};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A state still held at the end of a request's trace was held for at least this much longer.
const UNRELEASED_TIME: Duration = Duration::from_secs(4);

impl Oracle<'_> {
    pub(super) fn check_leases(&mut self, request: &Request) {
        let mut held: HashMap<usize, Instant> = HashMap::new();
        let end = request.trace.last().map_or(request.asked, |(at, _)| *at) + UNRELEASED_TIME;
        let mut spans = Vec::new();
        for (at, event) in request.trace {
            match event {
                RequestEvent::Held(worker) => drop(held.insert(*worker, *at)),
                RequestEvent::LetGo(worker) => {
                    if let Some(since) = held.remove(worker) {
                        spans.push((*worker, since, *at));
                    }
                }
                _ => {}
            }
        }
        spans.extend(held.into_iter().map(|(worker, since)| (worker, since, end)));
        for (worker, since, until) in spans {
            // The clock pauses while a running server has an attempt, and restarts afterwards.
            let Some((since, until)) = longest_without_attempt(&request.attempts, since, until) else {
                continue;
            };
            let held_for = until - since;
            let limit = self.release_within
                + LEASE_SLACK
                + SOCKET_SLACK
                + self.slack
                + self.pause_slack(request.router);
            let excused = self.killed_within(request.router, request.asked, until)
                || self.exited_after_release_time(request.router, since, until)
                || self.paused_long(request.router, since, until);
            if held_for > limit && !excused {
                self.report(
                    "holds_let_go",
                    format!("held at r{worker} for {} ms", held_for.as_millis()),
                    Some(request),
                );
            }
        }
    }

    /// Whether the router was killed between these times. The bench's specification: "what a stopped instance left is
    /// freed some seconds later".
    fn killed_within(&self, router: usize, from: Instant, until: Instant) -> bool {
        let killed = |event: &RouterEvent| matches!(event, RouterEvent::SigkillSent);
        self.router_events(router).iter().any(|(at, event)| killed(event) && *at >= from && *at <= until)
    }

    /// Whether the router exited by itself between these times, after it had had the release time: "what a stopped
    /// instance left is freed some seconds later".
    fn exited_after_release_time(&self, router: usize, held_since: Instant, until: Instant) -> bool {
        let had_time = |at: Instant| at >= held_since + self.release_within && at <= until;
        self.router_events(router)
            .iter()
            .any(|(at, event)| matches!(event, RouterEvent::Exited(Some(0))) && had_time(*at))
    }
}

/// The longest part of this time in which no running server had an attempt. The specification: "a call counts once
/// its last byte has reached a running worker, answered or not".
fn longest_without_attempt(
    attempts: &[Attempt],
    from: Instant,
    until: Instant,
) -> Option<(Instant, Instant)> {
    let mut spans = Vec::new();
    let mut free_since = from;
    for attempt in attempts.iter().filter(|attempt| attempt.taken) {
        let Some(arrived) = attempt.received else { continue };
        let ended = attempt.ended.map_or(until, |(at, _)| at);
        // The connection ended before a running server read the attempt.
        if ended < arrived {
            continue;
        }
        // A process that stops after it took the attempt keeps it until it continues, and no release can change that.
        let ended = attempt.end_noticed.map_or(ended, |noticed| noticed.max(ended));
        if ended <= free_since {
            continue;
        }
        spans.push((free_since, arrived.clamp(free_since, until)));
        free_since = free_since.max(ended).min(until);
    }
    spans.push((free_since, until));
    spans.into_iter().max_by_key(|(from, until)| *until - *from)
}
