//! Checks of router processes: starts, exits, incomplete requests, and figures when no requests are left.

use super::{Oracle, SHORT_PAUSE, Violation};
use crate::limits::{MAX_MEMORY_KB, PARTIAL_REQUEST_TIMEOUT, READY_TIMEOUT};
use crate::trace::RouterEvent;

/// Maximum open descriptors of an idle router: listening sockets, the watch, the ledger and the runtime's own.
const MAX_IDLE_DESCRIPTORS: u64 = 40;

impl Oracle<'_> {
    pub(super) fn check_routers(&mut self) {
        let numbers: Vec<usize> = self.seen.router_events.keys().copied().collect();
        for router in numbers {
            let events = self.router_events(router).to_vec();
            let mut started = None;
            for (at, event) in &events {
                match event {
                    RouterEvent::Started => started = Some(*at),
                    RouterEvent::Ready
                        if started.is_some_and(|started| *at - started > READY_TIMEOUT + self.slack) =>
                    {
                        self.report("ready_in_time", format!("n{router} was ready late"), None);
                    }
                    RouterEvent::NotReady => {
                        self.report("ready_in_time", format!("n{router} was not ready"), None)
                    }
                    RouterEvent::Exited(code) if *code != Some(0) => {
                        self.report("no_crash", format!("n{router} ended with {code:?}"), None);
                    }
                    _ => {}
                }
            }
            // The harness sends the last SIGTERM when the router is idle.
            let idle = self.seen.idle_routers.iter().any(|idle| idle.router == router);
            if idle
                && matches!(events[..], [.., (_, RouterEvent::SigtermSent), (_, RouterEvent::SigkillSent)])
            {
                self.report("ends_when_told", format!("n{router} was at rest and did not end"), None);
            }
        }
        for alarm in self.seen.log_alarms.clone() {
            // A process that was paused for long may rightly count late answers.
            let paused_long =
                |router: &usize| alarm.starts_with(&format!("n{router}: ")) && self.was_paused_long(*router);
            let late = alarm.contains("invariant violated rule=answer_in_time");
            if !(late && self.seen.router_events.keys().any(paused_long)) {
                self.report("no_crash", alarm, None);
            }
        }
    }

    /// Whether the router was ever paused for longer than the specification covers.
    fn was_paused_long(&self, router: usize) -> bool {
        self.router_events(router)
            .iter()
            .any(|(_, event)| matches!(event, RouterEvent::Paused(time) if *time > SHORT_PAUSE))
    }

    pub(super) fn check_partial_requests(&mut self) {
        for partial in &self.seen.partial_requests {
            let until = partial.at + PARTIAL_REQUEST_TIMEOUT;
            let late = partial.waited.is_none_or(|waited| waited > PARTIAL_REQUEST_TIMEOUT + self.slack);
            if late
                && !self.killed(partial.router, partial.at, until)
                && !self.paused_long(partial.router, partial.at, until)
            {
                let message = format!("n{}: half a request waited for {:?}", partial.router, partial.waited);
                self.violations.push(Violation { check: "bad_clients_ended", message, trace: Vec::new() });
            }
        }
    }

    pub(super) fn check_idle_routers(&mut self) {
        for idle in &self.seen.idle_routers {
            let metric = |name: &str| idle.metrics.get(name).copied().unwrap_or(0.0);
            // A process that was paused for long answers and releases late.
            let paused = self.was_paused_long(idle.router);
            let violations: f64 = idle
                .metrics
                .iter()
                .filter(|(name, _)| {
                    name.starts_with("router_invariant_violations")
                        && !(paused && (name.contains("answer_in_time") || name.contains("hold_released")))
                        && !(self.releases_fail && name.contains("hold_released"))
                })
                .map(|(_, value)| value)
                .sum();
            let findings = [
                (idle.descriptors > MAX_IDLE_DESCRIPTORS, format!("{} descriptors", idle.descriptors)),
                (idle.memory_kb > MAX_MEMORY_KB, format!("{} kB of memory", idle.memory_kb)),
                (metric("router_concurrent") > 0.0, format!("{} requests open", metric("router_concurrent"))),
                (metric("router_holds") > 0.0, format!("{} holds", metric("router_holds"))),
                (violations > 0.0, format!("{violations} violations counted")),
            ];
            for (_, message) in findings.into_iter().filter(|(wrong, _)| *wrong) {
                let message = format!("n{} at rest: {message}", idle.router);
                self.violations.push(Violation { check: "at_rest", message, trace: Vec::new() });
            }
        }
    }
}
