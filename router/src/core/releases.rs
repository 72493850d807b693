//! Carries out what the owner of holds says: whom to ask to let go, when it is next due, and what is told of it.

use super::{Alarm, Core, Server, label, server_id};
use crate::log;
use fawnstream_attempts::invariants::Rule;
use fawnstream_holds::{Act, Called, Why};
use shedrelay::{Event, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Releases that are under way, and what was counted of them.
#[derive(Default)]
pub(super) struct Releases {
    /// When holds are looked at next.
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
    /// The clock of what is held: the module's.
    pub(super) fn hold_time(&self) -> Duration {
        Duration::from_nanos(self.now().0)
    }

    pub(super) fn instant(&self, hold_time: Duration) -> Instant {
        self.born + hold_time.saturating_sub(Duration::from_nanos(self.unix))
    }

    /// Requests for which something is held or being let go of, and those for which something was held too long.
    pub fn holding(&self) -> (usize, u64) {
        let holds = self.holds.borrow();
        (holds.len(), holds.late())
    }

    /// Requests of which something was let go of while an attempt was out, and those of them whose attempt was answered.
    pub fn overdue_holds(&self) -> (u64, u64) {
        (self.releases.overdue.get(), self.releases.needless.get())
    }

    /// Carries out what the owner of holds says, now and when it is next due.
    pub(super) fn let_go(&self) {
        let mut unlisted = Vec::new();
        loop {
            let now = self.hold_time();
            let acts = {
                let mut holds = self.holds.borrow_mut();
                for (request, server) in unlisted.drain(..) {
                    holds.called(request, server, Called::Failed, now);
                }
                holds.act(now, self.router.borrow().reach())
            };
            if acts.is_empty() {
                break;
            }
            for act in acts {
                match act {
                    Act::Ask { request, label, server } => match self.server(ServerId(server)) {
                        Some(at) => self.ask(request, label, at),
                        None => unlisted.push((request, server)),
                    },
                    Act::Overdue { request, at, held } => self.hold_overdue(RequestId(request), at, held),
                    Act::Clear(request, expires) => {
                        self.releases.calls.borrow_mut().remove(&request);
                        let mut all = self.open.borrow_mut();
                        if let Some(go) = all.get_mut(&RequestId(request)).and_then(|open| open.go.take()) {
                            let _ = go.send(expires.map(|at| self.instant(at)));
                        }
                    }
                    Act::Late { label, at, held, why } => {
                        let at = self.server(ServerId(at));
                        let (ms, server) = (held.as_millis(), self::label(&at));
                        log!("hold late id={label} server={server} held_ms={ms} reason={}", reason(why));
                        self.violations.count(Rule::HoldReleased);
                    }
                    Act::Forgotten { label, at } => {
                        let at = self.server(ServerId(at));
                        log!("hold forgotten id={label} server={}", self::label(&at));
                    }
                }
            }
        }
        let next = self.holds.borrow().next();
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
                core.let_go();
                drop(alarm);
            };
            (next, Alarm(actix_rt::spawn(wait)))
        });
    }

    /// What was held for a request is let go of though an attempt is out: nothing says that it arrived.
    fn hold_overdue(&self, id: RequestId, at: u64, held: Duration) {
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
        self.handle(Event::HoldReleased(id));
    }

    /// Asks a server to let go of what is held for a request.
    fn ask(&self, request: u64, label: Rc<str>, at: Rc<Server>) {
        let Some(servers) = self.servers.borrow().clone() else { return };
        let (me, server) = (self.me.clone(), server_id(&at.label));
        let call = async move {
            let how = servers.release(label.clone(), at.clone()).await;
            if how == Called::Answered {
                log!("hold released id={label} by={}", at.label);
            }
            let Some(core) = me.upgrade() else { return };
            if how != Called::Unasked {
                let ok = how == Called::Answered;
                core.handle(Event::Probed { server, ok, report: None });
            }
            core.holds.borrow_mut().called(request, server.0, how, core.hold_time());
            core.let_go();
        };
        let call = Alarm(actix_rt::spawn(call));
        self.releases.calls.borrow_mut().entry(request).or_default().push((server, call));
    }
}

/// Why something is held too long, for the log.
fn reason(why: Why) -> &'static str {
    match why {
        Why::Unanswered => "unanswered",
        Why::Unasked => "no-sockets",
        Why::NoServer => "no-server",
    }
}
