//! What readers hold is let go of in time.

use super::Oracle;
use super::request::{Attempt, Request};
use crate::limits::{LEASE_SLACK, SOCKET_SLACK};
use crate::trace::{RequestEvent, RouterEvent};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What nobody has let go of when a request's trace ends was held for this long at least.
const REST_SEEN: Duration = Duration::from_secs(4);

impl Oracle<'_> {
    pub(super) fn holds(&mut self, request: &Request) {
        let mut held: HashMap<usize, Instant> = HashMap::new();
        let end = request.trace.last().map_or(request.asked, |(at, _)| *at) + REST_SEEN;
        let mut spans = Vec::new();
        for (at, happened) in request.trace {
            match happened {
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
            // While a running server has an attempt the clock stands; after it the clock begins anew.
            let Some((since, until)) = longest_without_attempt(&request.attempts, since, until) else {
                continue;
            };
            let long = until - since;
            let limit = self.release_within
                + LEASE_SLACK
                + SOCKET_SLACK
                + self.slack
                + self.hold_slack(request.router);
            let free = self.ended(request.router, request.asked, until)
                || self.ended_by_itself(request.router, since, until)
                || self.held_up(request.router, since, until);
            if long > limit && !free {
                self.broken(
                    "holds_let_go",
                    format!("held at r{worker} for {} ms", long.as_millis()),
                    Some(request),
                );
            }
        }
    }

    /// The router's process was killed between these times. The bench's page: "what a stopped instance left is freed some
    /// seconds later".
    fn ended(&self, router: usize, from: Instant, until: Instant) -> bool {
        let killed = |done: &RouterEvent| matches!(done, RouterEvent::Killed);
        self.done(router).iter().any(|(at, done)| killed(done) && *at >= from && *at <= until)
    }

    /// The router's process ended by itself between these times, when it had had the settings' time to let go: "what a stopped
    /// instance left is freed some seconds later".
    fn ended_by_itself(&self, router: usize, held_since: Instant, until: Instant) -> bool {
        let had_time = |at: Instant| at >= held_since + self.release_within && at <= until;
        self.done(router)
            .iter()
            .any(|(at, done)| matches!(done, RouterEvent::Ended(Some(0))) && had_time(*at))
    }
}

/// The longest time within these times in which no attempt was out at a running server. The page: "a call counts once its
/// last byte has reached a running worker, answered or not".
fn longest_without_attempt(
    attempts: &[Attempt],
    from: Instant,
    until: Instant,
) -> Option<(Instant, Instant)> {
    let mut spans = Vec::new();
    let mut free = from;
    for attempt in attempts.iter().filter(|attempt| attempt.taken) {
        let Some(arrived) = attempt.whole else { continue };
        let over = attempt.over.map_or(until, |(at, _)| at);
        // Nothing is out whose connection had ended before a running server read it.
        if over < arrived {
            continue;
        }
        // What a process took before it stood still it has until it goes on, and nobody can make it let go.
        let over = attempt.noticed.map_or(over, |noticed| noticed.max(over));
        if over <= free {
            continue;
        }
        spans.push((free, arrived.clamp(free, until)));
        free = free.max(over).min(until);
    }
    spans.push((free, until));
    spans.into_iter().max_by_key(|(from, until)| *until - *from)
}
