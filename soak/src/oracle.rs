//! The rules of a run, each a named check over what clients and servers observed. The checks use no code of the
//! router. Each submodule has the checks of one subject.

mod answers;
mod attempts;
mod leases;
mod ledgers;
mod processes;
mod request;
mod slow_start;
mod streams;

use crate::fault::FaultAction;
use crate::limits::LATE_ANSWER_GRACE;
use crate::plan::Plan;
use crate::trace::{Observations, RouterEvent};
use request::{Request, format_trace};
use std::time::{Duration, Instant};

/// A run with a higher [`Observations::lateness`] is not judged, and repeated alone.
pub const MAX_LATENESS: Duration = Duration::from_millis(250);
/// A router process that is paused for at most this time must keep all rules.
const SHORT_PAUSE: Duration = Duration::from_millis(150);
/// A kill is recorded before it takes effect; a client may still connect for this time.
const KILL_RECORD_SLACK: Duration = Duration::from_millis(100);

/// The names of all checks.
pub const CHECKS: [&str; 18] = [
    "one_final_answer",
    "answer_in_time",
    "stream_ended",
    "one_attempt_at_once",
    "once_only",
    "refusal_proved",
    "nothing_to_drained",
    "nothing_after_leaving",
    "slow_start",
    "deadline_passed_on",
    "holds_let_go",
    "events_in_time",
    "ready_in_time",
    "at_rest",
    "ledger_equals_truth",
    "no_crash",
    "ends_when_told",
    "bad_clients_ended",
];

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The check's name.
    pub check: &'static str,
    /// What was observed.
    pub message: String,
    /// The lines of the request's event trace; empty if the violation is not about one request.
    pub trace: Vec<String>,
}

/// Runs all checks over one run.
pub struct Oracle<'a> {
    seen: &'a Observations,
    /// The lateness of the harness, added to each limit.
    slack: Duration,
    writers: usize,
    readers: usize,
    requests_per_s: f64,
    budget: Duration,
    release_within: Duration,
    /// Time in which servers drop repeats of a keyed request.
    dedup_window: Duration,
    /// Running servers leave some releases unanswered, although the specification says "every worker accepts it and
    /// answers 204". A router then rightly counts unconfirmed releases as violations. What readers really hold is
    /// judged all the same.
    releases_fail: bool,
    /// Routers that have both a stop and a disk fault in the plan: their ledgers may lose entries that wait for the
    /// disk.
    disk_failed_at_stop: Vec<usize>,
    violations: Vec<Violation>,
}

/// Runs all checks over what was observed.
pub fn judge(seen: &Observations, plan: &Plan) -> Vec<Violation> {
    let mut oracle = Oracle {
        seen,
        slack: seen.lateness,
        writers: plan.writers,
        readers: plan.readers,
        requests_per_s: plan.requests_per_s,
        budget: plan.budget(),
        release_within: plan.release_within(),
        dedup_window: plan.dedup_window(),
        releases_fail: plan.releases_fail_per_mille > 0,
        disk_failed_at_stop: disk_failed_at_stop(plan),
        violations: Vec::new(),
    };
    let mut requests: Vec<Request> =
        seen.requests.iter().filter_map(|(id, trace)| Request::of(*id, trace)).collect();
    requests.sort_by_key(|request| request.asked);
    for request in &requests {
        oracle.check_request(request);
    }
    oracle.check_events(&requests);
    oracle.check_slow_start(&requests);
    oracle.check_routers();
    oracle.check_partial_requests();
    oracle.check_idle_routers();
    oracle.check_ledgers(&requests);
    oracle.violations
}

fn disk_failed_at_stop(plan: &Plan) -> Vec<usize> {
    let fails = plan.faults.iter().filter_map(|fault| match fault.action {
        FaultAction::DiskFails { router } => Some(router),
        _ => None,
    });
    let stops = |router: &usize| {
        plan.faults.iter().any(|fault| fault.action == FaultAction::RouterStops { router: *router })
    };
    fails.filter(stops).collect()
}

impl Oracle<'_> {
    fn report(&mut self, check: &'static str, message: String, request: Option<&Request>) {
        let trace = request.map(|request| format_trace(request)).unwrap_or_default();
        let message = request.map_or(message.clone(), |request| {
            format!("id={:016x} router=n{} {message}", request.id, request.router)
        });
        self.violations.push(Violation { check, message, trace });
    }

    /// The events of a router's process.
    fn router_events(&self, router: usize) -> &[(Instant, RouterEvent)] {
        self.seen.router_events.get(&router).map_or(&[], Vec::as_slice)
    }

    /// Whether a long pause of the router overlaps this time, or the time just before it. The specification covers "a
    /// router that is held up for up to 0.15 s"; rules do not apply during longer pauses.
    fn paused_long(&self, router: usize, from: Instant, until: Instant) -> bool {
        self.router_events(router).iter().any(|(at, event)| match event {
            RouterEvent::Paused(time) => {
                *time > SHORT_PAUSE && *at < until && *at + *time + LATE_ANSWER_GRACE > from
            }
            _ => false,
        })
    }

    /// Time that short pauses add to each limit.
    fn pause_slack(&self, router: usize) -> Duration {
        let short_pause =
            |event: &RouterEvent| matches!(event, RouterEvent::Paused(time) if *time <= SHORT_PAUSE);
        if self.router_events(router).iter().any(|(_, event)| short_pause(event)) {
            SHORT_PAUSE
        } else {
            Duration::ZERO
        }
    }

    /// Whether the router was killed between these times without a SIGTERM before, and so owes no answer.
    ///
    /// The specification says of a planned restart: "what it had taken and not answered is lost, as is what SIGKILL
    /// finds unanswered, if that request came more than 0.7 s after SIGTERM". Earlier requests have reached their
    /// deadlines by then, so a kill after SIGTERM excuses nothing. A kill without SIGTERM is a crash, and resets the
    /// clients' connections.
    fn killed(&self, router: usize, asked: Instant, until: Instant) -> bool {
        let events = self.router_events(router);
        events.iter().enumerate().any(|(index, (at, event))| {
            let mut process_events =
                events[..index].iter().rev().take_while(|(_, event)| *event != RouterEvent::Started);
            let sigterm_sent = process_events.any(|(_, event)| *event == RouterEvent::SigtermSent);
            *event == RouterEvent::SigkillSent
                && *at + KILL_RECORD_SLACK >= asked
                && *at <= until + KILL_RECORD_SLACK
                && !sigterm_sent
        })
    }

    /// Whether a fault of the server overlaps this time.
    fn had_fault(&self, worker: usize, from: Instant, until: Instant) -> bool {
        let spans = self.seen.worker_faults.get(&worker).map_or(&[][..], Vec::as_slice);
        spans.iter().any(|(begun, ended)| *begun < until && *ended + Duration::from_millis(100) > from)
    }

    fn check_request(&mut self, request: &Request) {
        self.check_answer(request);
        self.check_attempts(request);
        self.check_budgets(request);
        self.check_leases(request);
    }
}
