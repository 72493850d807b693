//! The rules, each a named check over what clients and servers saw. None of the router's code is asked. A module each for what
//! they are about.

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
use request::{Request, lines};
use std::time::{Duration, Instant};

/// A play in which the harness itself was later than this says nothing of the routers: it is played again, alone.
pub const MAX_LATENESS: Duration = Duration::from_millis(250);
/// A process may be held up for so long, and all rules hold.
const SHORT_HOLD: Duration = Duration::from_millis(150);
/// A kill is noted before it is done, and a client's connection may be made until then.
const KILL_SEEN: Duration = Duration::from_millis(100);

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

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which check.
    pub check: &'static str,
    /// What was seen.
    pub message: String,
    /// The request's trace, or nothing.
    pub trace: Vec<String>,
}

/// All checks over one play. `slack` is what the harness's machine was late by.
pub struct Oracle<'a> {
    seen: &'a Observations,
    slack: Duration,
    writers: usize,
    readers: usize,
    requests_per_s: f64,
    budget: Duration,
    release_within: Duration,
    /// Servers drop repeats of a keyed request for this time.
    dedup_window: Duration,
    /// Running servers leave releases unanswered, though the page says "every worker accepts it and answers 204": a router
    /// that counts what nobody said that it released is right. What is really held is judged all the same.
    releases_fail: bool,
    /// Routers that were told to end while their disk failed, or about then: what waits for a disk then is lost.
    disk_failed_at_stop: Vec<usize>,
    violations: Vec<Violation>,
}

/// Judges what was seen.
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
        oracle.request(request);
    }
    oracle.events(&requests);
    oracle.slow_start(&requests);
    oracle.routers();
    oracle.halves();
    oracle.rests();
    oracle.ledgers(&requests);
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
    fn broken(&mut self, check: &'static str, message: String, request: Option<&Request>) {
        let trace = request.map(|request| lines(request)).unwrap_or_default();
        let message = request.map_or(message.clone(), |request| {
            format!("id={:016x} router=n{} {message}", request.id, request.router)
        });
        self.violations.push(Violation { check, message, trace });
    }

    /// What was done to a router.
    fn done(&self, router: usize) -> &[(Instant, RouterEvent)] {
        self.seen.router_events.get(&router).map_or(&[], Vec::as_slice)
    }

    /// The router was held up for long between these times, or was about to be. The page promises "a router that is held
    /// up for up to 0.15 s": what the harness stops for longer owes nothing meanwhile.
    fn held_up(&self, router: usize, from: Instant, until: Instant) -> bool {
        self.done(router).iter().any(|(at, done)| match done {
            RouterEvent::Frozen(time) => {
                *time > SHORT_HOLD && *at < until && *at + *time + LATE_ANSWER_GRACE > from
            }
            _ => false,
        })
    }

    /// What short holds add to each limit.
    fn hold_slack(&self, router: usize) -> Duration {
        let frozen = |done: &RouterEvent| matches!(done, RouterEvent::Frozen(time) if *time <= SHORT_HOLD);
        if self.done(router).iter().any(|(_, done)| frozen(done)) { SHORT_HOLD } else { Duration::ZERO }
    }

    /// The router was killed between these times, and owes no answer for what came then: nobody had told it to end.
    ///
    /// The page, of a planned restart: "what it had taken and not answered is lost, as is what SIGKILL finds unanswered,
    /// if that request came more than 0.7 s after SIGTERM". What came earlier has had its deadline by then. So a kill
    /// after SIGTERM frees nothing; one without it is a process that died, and its clients see their connections reset.
    fn killed(&self, router: usize, asked: Instant, until: Instant) -> bool {
        let done = self.done(router);
        done.iter().enumerate().any(|(place, (at, what))| {
            let mut life = done[..place].iter().rev().take_while(|(_, done)| *done != RouterEvent::Started);
            let told = life.any(|(_, done)| *done == RouterEvent::Told);
            *what == RouterEvent::Killed && *at + KILL_SEEN >= asked && *at <= until + KILL_SEEN && !told
        })
    }

    /// A server was in fault between these times.
    fn in_trouble(&self, worker: usize, from: Instant, until: Instant) -> bool {
        let spans = self.seen.worker_faults.get(&worker).map_or(&[][..], Vec::as_slice);
        spans.iter().any(|(begun, ended)| *begun < until && *ended + Duration::from_millis(100) > from)
    }

    fn request(&mut self, request: &Request) {
        self.answered(request);
        self.attempts(request);
        self.told_times(request);
        self.holds(request);
    }
}
