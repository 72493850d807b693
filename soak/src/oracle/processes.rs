//! Router processes: their starts and ends, bad clients, and what is left when all has come to rest.

use super::{Oracle, SHORT_HOLD, Violation};
use crate::limits::{MAX_MEMORY_KB, PARTIAL_REQUEST_TIMEOUT, READY_TIMEOUT};
use crate::trace::RouterEvent;

/// Descriptors of a router at rest, at most: sockets that listen, the watch, the ledger and the runtime's own.
const RESTING_DESCRIPTORS: u64 = 40;

impl Oracle<'_> {
    pub(super) fn routers(&mut self) {
        let numbers: Vec<usize> = self.seen.router_events.keys().copied().collect();
        for router in numbers {
            let done = self.done(router).to_vec();
            let mut started = None;
            for (at, what) in &done {
                match what {
                    RouterEvent::Started => started = Some(*at),
                    RouterEvent::Ready
                        if started.is_some_and(|started| *at - started > READY_TIMEOUT + self.slack) =>
                    {
                        self.broken("ready_in_time", format!("n{router} was ready late"), None);
                    }
                    RouterEvent::NotReady => {
                        self.broken("ready_in_time", format!("n{router} was not ready"), None)
                    }
                    RouterEvent::Ended(code) if *code != Some(0) => {
                        self.broken("no_crash", format!("n{router} ended with {code:?}"), None);
                    }
                    _ => {}
                }
            }
            // The last thing that is done to a router is to tell it to end, when all has come to rest.
            let rested = self.seen.idle_routers.iter().any(|rest| rest.router == router);
            if rested && matches!(done[..], [.., (_, RouterEvent::Told), (_, RouterEvent::Killed)]) {
                self.broken("ends_when_told", format!("n{router} was at rest and did not end"), None);
            }
        }
        for alarm in self.seen.log_alarms.clone() {
            // What a process counts of itself that was held up for long, it owes nothing for.
            let held_up =
                |router: &usize| alarm.starts_with(&format!("n{router}: ")) && self.was_held_up(*router);
            let late = alarm.contains("invariant violated rule=answer_in_time");
            if !(late && self.seen.router_events.keys().any(held_up)) {
                self.broken("no_crash", alarm, None);
            }
        }
    }

    /// The router was held up for longer than the page promises.
    fn was_held_up(&self, router: usize) -> bool {
        self.done(router)
            .iter()
            .any(|(_, done)| matches!(done, RouterEvent::Frozen(time) if *time > SHORT_HOLD))
    }

    pub(super) fn halves(&mut self) {
        for half in &self.seen.partial_requests {
            let until = half.at + PARTIAL_REQUEST_TIMEOUT;
            let late = half.waited.is_none_or(|waited| waited > PARTIAL_REQUEST_TIMEOUT + self.slack);
            if late && !self.killed(half.router, half.at, until) && !self.held_up(half.router, half.at, until)
            {
                let message = format!("n{}: half a request waited for {:?}", half.router, half.waited);
                self.violations.push(Violation { check: "bad_clients_ended", message, trace: Vec::new() });
            }
        }
    }

    pub(super) fn rests(&mut self) {
        for rest in &self.seen.idle_routers {
            let metric = |name: &str| rest.metrics.get(name).copied().unwrap_or(0.0);
            // A process that is held up for long answers late, and lets go late.
            let long = self.was_held_up(rest.router);
            let violations: f64 = rest
                .metrics
                .iter()
                .filter(|(name, _)| {
                    name.starts_with("router_invariant_violations")
                        && !(long && (name.contains("answer_in_time") || name.contains("hold_released")))
                        && !(self.releases_fail && name.contains("hold_released"))
                })
                .map(|(_, v)| v)
                .sum();
            let wrong = [
                (rest.descriptors > RESTING_DESCRIPTORS, format!("{} descriptors", rest.descriptors)),
                (rest.memory_kb > MAX_MEMORY_KB, format!("{} kB of memory", rest.memory_kb)),
                (metric("router_concurrent") > 0.0, format!("{} requests open", metric("router_concurrent"))),
                (metric("router_holds") > 0.0, format!("{} holds", metric("router_holds"))),
                (violations > 0.0, format!("{violations} violations counted")),
            ];
            for (_, message) in wrong.into_iter().filter(|(wrong, _)| *wrong) {
                let message = format!("n{} at rest: {message}", rest.router);
                self.violations.push(Violation { check: "at_rest", message, trace: Vec::new() });
            }
        }
    }
}
