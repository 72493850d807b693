//! Carries out the actions of `fawnstream-leases`: sends releases, sets the timer for the next ones, logs and counts.

use super::{AbortOnDrop, Core, Server, server_id, server_label};
use crate::log;
use fawnstream_attempts::invariants::Invariant;
use fawnstream_leases::{Action, LateReason, ReleaseCounts, ReleaseOutcome, ReleaseProof};
use shedrelay::{Event, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Releases in progress, and their counts.
#[derive(Default)]
pub(super) struct Releases {
    /// The timer for the next poll of the leases, and when it is due.
    timer: RefCell<Option<(Duration, AbortOnDrop)>>,
    /// Release calls in progress, by request.
    calls: RefCell<HashMap<u64, Vec<(ServerId, AbortOnDrop)>>>,
    /// Requests whose leases were released while an attempt was in flight.
    during_attempt: Cell<u64>,
    /// Those of them that were answered anyway.
    answered_anyway: Cell<u64>,
}

impl Releases {
    fn count_during_attempt(&self) {
        self.during_attempt.set(self.during_attempt.get() + 1);
    }

    /// Counts a request that was answered although its leases had been released during an attempt.
    pub(super) fn count_answered_anyway(&self) {
        self.answered_anyway.set(self.answered_anyway.get() + 1);
    }
}

impl Core {
    /// The decision module's clock as a duration.
    pub(super) fn clock_time(&self) -> Duration {
        Duration::from_nanos(self.now().0)
    }

    pub(super) fn instant(&self, clock_time: Duration) -> Instant {
        self.started_at + clock_time.saturating_sub(Duration::from_nanos(self.unix_start_ns))
    }

    /// How many requests have leases, and how many had leases that were released too late.
    pub fn lease_counts(&self) -> (usize, u64) {
        let leases = self.leases.borrow();
        (leases.len(), leases.late_count())
    }

    /// Counts of answered releases, by kind.
    pub fn release_counts(&self) -> ReleaseCounts {
        self.leases.borrow().release_counts()
    }

    /// How many requests had leases released while an attempt was in flight, and how many of them were answered
    /// anyway.
    pub fn during_attempt_counts(&self) -> (u64, u64) {
        (self.releases.during_attempt.get(), self.releases.answered_anyway.get())
    }

    /// Carries out the lease actions that are due, and sets the timer for the next ones.
    pub(super) fn poll_leases(&self) {
        let mut unlisted = Vec::new();
        loop {
            let now = self.clock_time();
            let actions = {
                let (mut leases, decision_module) = (self.leases.borrow_mut(), self.decision_module.borrow());
                for (request, server) in unlisted.drain(..) {
                    leases.release_ended(
                        request,
                        server,
                        ReleaseOutcome::Failed,
                        now,
                        decision_module.reach(),
                    );
                }
                leases.poll(now, decision_module.reach())
            };
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::SendRelease { request, label, server } => match self.server(ServerId(server)) {
                        Some(server) => self.send_release(request, label, server),
                        None => unlisted.push((request, server)),
                    },
                    Action::ReleasedDuringAttempt { request, reader, held } => {
                        self.released_during_attempt(RequestId(request), reader, held);
                    }
                    Action::StopReleases { request, write_by } => {
                        self.releases.calls.borrow_mut().remove(&request);
                        let mut requests = self.requests.borrow_mut();
                        if let Some(release_done) =
                            requests.get_mut(&RequestId(request)).and_then(|open| open.release_done.take())
                        {
                            let _ = release_done.send(write_by.map(|at| self.instant(at)));
                        }
                    }
                    Action::ReleaseLate { label, reader, held, reason } => {
                        let reader = self.server(ServerId(reader));
                        let (ms, server) = (held.as_millis(), server_label(&reader));
                        log!(
                            "hold late id={label} server={server} held_ms={ms} reason={}",
                            reason_name(reason)
                        );
                        self.violations.record(Invariant::LeaseReleased);
                    }
                    Action::LeaseAbandoned { label, reader } => {
                        let reader = self.server(ServerId(reader));
                        log!("hold forgotten id={label} server={}", server_label(&reader));
                    }
                }
            }
        }
        let next = self.leases.borrow().next_due();
        if self.releases.timer.borrow().as_ref().map(|(at, _)| *at) == next {
            return;
        }
        let weak = self.weak_self.clone();
        *self.releases.timer.borrow_mut() = next.map(|next| {
            let at = self.instant(next);
            let poll_when_due = async move {
                actix_rt::time::sleep_until(at.into()).await;
                let Some(core) = weak.upgrade() else { return };
                // Taken out first: replacing the timer would abort this task, which belongs to it.
                let timer = core.releases.timer.borrow_mut().take();
                core.poll_leases();
                drop(timer);
            };
            (next, AbortOnDrop(actix_rt::spawn(poll_when_due)))
        });
    }

    /// A request's leases are released while an attempt is in flight, since nothing shows that it has arrived.
    fn released_during_attempt(&self, id: RequestId, reader: u64, held: Duration) {
        {
            let mut requests = self.requests.borrow_mut();
            let Some(open) = requests.get_mut(&id) else { return };
            open.released_during_attempt = true;
            self.releases.count_during_attempt();
            let reader = self.server(ServerId(reader));
            let sent_to = open.current.as_ref().map(|(server, _)| server.clone());
            log!(
                "hold overdue id={} server={} held_ms={} try={} sent_to={}",
                open.exchange.call.label,
                server_label(&reader),
                held.as_millis(),
                open.attempts.saturating_sub(1),
                server_label(&sent_to)
            );
        }
        self.handle(Event::LeaseReleased(id));
    }

    /// Asks a server to release what it holds for a request.
    fn send_release(&self, request: u64, label: Rc<str>, server: Rc<Server>) {
        let Some(servers) = self.servers.borrow().clone() else { return };
        let (weak, id) = (self.weak_self.clone(), server_id(&server.label));
        let call = async move {
            let outcome = servers.release(label.clone(), server.clone()).await;
            let Some(core) = weak.upgrade() else { return };
            if outcome != ReleaseOutcome::Unsent {
                let ok = outcome == ReleaseOutcome::Answered;
                core.handle(Event::Probed { server: id, ok, report: None });
            }
            let proof = {
                let (mut leases, decision_module) = (core.leases.borrow_mut(), core.decision_module.borrow());
                leases.release_ended(request, id.0, outcome, core.clock_time(), decision_module.reach())
            };
            if let Some(proof) = proof {
                log!("hold released id={label} by={} proof={}", server.label, proof_name(proof));
            }
            core.poll_leases();
        };
        let call = AbortOnDrop(actix_rt::spawn(call));
        self.releases.calls.borrow_mut().entry(request).or_default().push((id, call));
    }
}

/// What the answer to a release proves, for the log.
fn proof_name(proof: ReleaseProof) -> &'static str {
    match proof {
        ReleaseProof::Conclusive => "conclusive",
        ReleaseProof::DuringAttempt => "under-attempt",
        ReleaseProof::Unconfirmed => "unconfirmed",
    }
}

/// Why a lease was released too late, for the log.
fn reason_name(reason: LateReason) -> &'static str {
    match reason {
        LateReason::Unanswered => "unanswered",
        LateReason::NoConnection => "no-sockets",
        LateReason::NoServer => "no-server",
    }
}
