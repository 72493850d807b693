//! Carries out what the owner of leases says: whom to ask for a release, when it is next due, and what is told of it.

use super::{Alarm, Core, Server, label, server_id};
use crate::log;
use fawnstream_attempts::invariants::Invariant;
use fawnstream_leases::{Action, LateReason, ReleaseCounts, ReleaseOutcome, ReleaseProof};
use shedrelay::{Event, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Releases that are under way, and what was counted of them.
#[derive(Default)]
pub(super) struct Releases {
    /// When leases are looked at next.
    alarm: RefCell<Option<(Duration, Alarm)>>,
    /// Who is being asked, by request.
    calls: RefCell<HashMap<u64, Vec<(ServerId, Alarm)>>>,
    overdue: Cell<u64>,
    needless: Cell<u64>,
}

impl Releases {
    fn count_overdue(&self) {
        self.overdue.set(self.overdue.get() + 1);
    }

    /// An attempt was answered under which its state had been let go of.
    pub(super) fn count_needless(&self) {
        self.needless.set(self.needless.get() + 1);
    }
}

impl Core {
    /// The clock of leases: the module's.
    pub(super) fn lease_time(&self) -> Duration {
        Duration::from_nanos(self.now().0)
    }

    pub(super) fn instant(&self, lease_time: Duration) -> Instant {
        self.born + lease_time.saturating_sub(Duration::from_nanos(self.unix))
    }

    /// Requests for which something is held or being released, and those for which something was held too long.
    pub fn lease_counts(&self) -> (usize, u64) {
        let leases = self.leases.borrow();
        (leases.len(), leases.late_count())
    }

    /// Releases that were answered, by kind.
    pub fn release_counts(&self) -> ReleaseCounts {
        self.leases.borrow().release_counts()
    }

    /// Requests of which something was let go of while an attempt was out, and those of them whose attempt was answered.
    pub fn overdue_leases(&self) -> (u64, u64) {
        (self.releases.overdue.get(), self.releases.needless.get())
    }

    /// Carries out what the owner of leases says, now and when it is next due.
    pub(super) fn poll_leases(&self) {
        let mut unlisted = Vec::new();
        loop {
            let now = self.lease_time();
            let actions = {
                let (mut leases, router) = (self.leases.borrow_mut(), self.router.borrow());
                for (request, server) in unlisted.drain(..) {
                    leases.release_ended(request, server, ReleaseOutcome::Failed, now, router.reach());
                }
                leases.poll(now, router.reach())
            };
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::SendRelease { request, label, server } => match self.server(ServerId(server)) {
                        Some(at) => self.send_release(request, label, at),
                        None => unlisted.push((request, server)),
                    },
                    Action::ReleasedUnderAttempt { request, reader, held } => {
                        self.released_under_attempt(RequestId(request), reader, held);
                    }
                    Action::ReleasesEnded { request, write_by } => {
                        self.releases.calls.borrow_mut().remove(&request);
                        let mut all = self.open.borrow_mut();
                        if let Some(go) = all.get_mut(&RequestId(request)).and_then(|open| open.go.take()) {
                            let _ = go.send(write_by.map(|at| self.instant(at)));
                        }
                    }
                    Action::ReleaseLate { label, reader, held, reason } => {
                        let at = self.server(ServerId(reader));
                        let (ms, server) = (held.as_millis(), self::label(&at));
                        log!(
                            "hold late id={label} server={server} held_ms={ms} reason={}",
                            reason_name(reason)
                        );
                        self.violations.record(Invariant::LeaseReleased);
                    }
                    Action::LeaseAbandoned { label, reader } => {
                        let at = self.server(ServerId(reader));
                        log!("hold forgotten id={label} server={}", self::label(&at));
                    }
                }
            }
        }
        let next = self.leases.borrow().next_due();
        if self.releases.alarm.borrow().as_ref().map(|(at, _)| *at) == next {
            return;
        }
        let me = self.me.clone();
        *self.releases.alarm.borrow_mut() = next.map(|next| {
            let at = self.instant(next);
            let wait = async move {
                actix_rt::time::sleep_until(at.into()).await;
                let Some(core) = me.upgrade() else { return };
                // Not its own task: that would end with the alarm that the next one replaces.
                let alarm = core.releases.alarm.borrow_mut().take();
                core.poll_leases();
                drop(alarm);
            };
            (next, Alarm(actix_rt::spawn(wait)))
        });
    }

    /// What was held for a request is released though an attempt is out: nothing says that it arrived.
    fn released_under_attempt(&self, id: RequestId, at: u64, held: Duration) {
        {
            let mut all = self.open.borrow_mut();
            let Some(open) = all.get_mut(&id) else { return };
            open.overdue = true;
            self.releases.count_overdue();
            let holder = self.server(ServerId(at));
            let sent_to = open.current.as_ref().map(|(server, _)| server.clone());
            log!(
                "hold overdue id={} server={} held_ms={} try={} sent_to={}",
                open.exchange.call.label,
                label(&holder),
                held.as_millis(),
                open.attempts.saturating_sub(1),
                label(&sent_to)
            );
        }
        self.handle(Event::LeaseReleased(id));
    }

    /// Asks a server to release what is held for a request.
    fn send_release(&self, request: u64, label: Rc<str>, at: Rc<Server>) {
        let Some(servers) = self.servers.borrow().clone() else { return };
        let (me, server) = (self.me.clone(), server_id(&at.label));
        let call = async move {
            let outcome = servers.release(label.clone(), at.clone()).await;
            let Some(core) = me.upgrade() else { return };
            if outcome != ReleaseOutcome::Unsent {
                let ok = outcome == ReleaseOutcome::Answered;
                core.handle(Event::Probed { server, ok, report: None });
            }
            let proof = {
                let (mut leases, router) = (core.leases.borrow_mut(), core.router.borrow());
                leases.release_ended(request, server.0, outcome, core.lease_time(), router.reach())
            };
            if let Some(proof) = proof {
                log!("hold released id={label} by={} proof={}", at.label, proof_name(proof));
            }
            core.poll_leases();
        };
        let call = Alarm(actix_rt::spawn(call));
        self.releases.calls.borrow_mut().entry(request).or_default().push((server, call));
    }
}

/// What the answer of a release proves, for the log.
fn proof_name(proof: ReleaseProof) -> &'static str {
    match proof {
        ReleaseProof::Conclusive => "conclusive",
        ReleaseProof::UnderAttempt => "under-attempt",
        ReleaseProof::Unconfirmed => "unconfirmed",
    }
}

/// Why something is held too long, for the log.
fn reason_name(reason: LateReason) -> &'static str {
    match reason {
        LateReason::Unanswered => "unanswered",
        LateReason::NoConnection => "no-sockets",
        LateReason::NoServer => "no-server",
    }
}
