//! The router's life cycle: a state machine shared by health checks, the operators' address, the listeners and the
//! signal handlers. [`Phase::next`] defines all transitions.

use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How long after SIGTERM a request may still become complete and be taken. A later one might not be answered before
/// SIGKILL. The platform excuses what came within 700 ms; this process may be held up for 150 ms, with a slack of 50.
const TAKE_AFTER_STOP: Duration = Duration::from_millis(600);
/// How long after an operator's drain a request may still become complete and be taken. 4 s after a drain no connection
/// may carry a request from the last 2 s.
pub const TAKE_AFTER_DRAIN: Duration = Duration::from_millis(1_900);

/// A state of the life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready to serve yet.
    Starting {
        /// An operator drained the router already, so that standby follows instead of active.
        drained: bool,
    },
    /// Serves clients.
    Active,
    /// Drained by an operator: requests that have arrived are served, client connections are closed.
    Standby,
    /// Shutting down after SIGTERM.
    Stopping,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The router can serve.
    Ready,
    /// An operator drains the router.
    Drain,
    /// An operator ends the drain.
    Resume,
    /// SIGTERM.
    Stop,
}

impl Phase {
    /// The phase after an event; `None` if the event is not allowed. Events that change nothing are allowed, so that
    /// operators may repeat a call.
    pub fn next(self, event: Event) -> Option<Phase> {
        match (self, event) {
            (_, Event::Stop) => Some(Phase::Stopping),
            // A shutdown cannot be undone.
            (Phase::Stopping, Event::Resume) => None,
            (Phase::Stopping, Event::Drain | Event::Ready) => Some(Phase::Stopping),
            (Phase::Starting { drained: false }, Event::Ready) => Some(Phase::Active),
            (Phase::Starting { drained: true }, Event::Ready) => Some(Phase::Standby),
            (Phase::Starting { .. }, Event::Drain) => Some(Phase::Starting { drained: true }),
            (Phase::Starting { .. }, Event::Resume) => Some(Phase::Starting { drained: false }),
            (Phase::Active | Phase::Standby, Event::Drain) => Some(Phase::Standby),
            (Phase::Active | Phase::Standby, Event::Resume) => Some(Phase::Active),
            (Phase::Active | Phase::Standby, Event::Ready) => Some(self),
        }
    }

    /// Clients are accepted and their connections kept alive.
    pub fn accepts_clients(self) -> bool {
        self == Phase::Active
    }

    /// Client connections are drained: they close after the answer to their request, or without one if they are idle.
    pub fn is_draining(self) -> bool {
        matches!(self, Phase::Standby | Phase::Stopping)
    }

    /// Name in the log and in operators' answers.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting { .. } => "starting",
            Phase::Active => "active",
            Phase::Standby => "standby",
            Phase::Stopping => "stopping",
        }
    }
}

/// The current phase and when it began.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    /// The phase.
    pub phase: Phase,
    /// When it began.
    pub phase_since: Instant,
    /// When client connections began to be drained, if they are: a stop may follow a standby.
    pub draining_since: Option<Instant>,
}

impl Status {
    /// The status after a change to another phase.
    fn changed_to(self, phase: Phase, now: Instant) -> Self {
        let draining_since = phase.is_draining().then(|| self.draining_since.unwrap_or(now));
        Status { phase, phase_since: now, draining_since }
    }

    /// Whether a request that is complete now may be taken. The answer to a later one could still be under way when
    /// SIGKILL comes, or when no connection of a drained router may carry it any more.
    pub fn takes_requests(&self, now: Instant) -> bool {
        let Some(draining_since) = self.draining_since else { return true };
        let stopped = self.phase == Phase::Stopping && now >= self.phase_since + TAKE_AFTER_STOP;
        !stopped && now < draining_since + TAKE_AFTER_DRAIN
    }
}

/// The router's life cycle: its current status and all changes of it.
pub struct Lifecycle {
    status: watch::Sender<Status>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let phase = Phase::Starting { drained: false };
        Lifecycle {
            status: watch::Sender::new(Status { phase, phase_since: Instant::now(), draining_since: None }),
        }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.status.borrow().phase
    }

    /// Since when client connections are drained, if they are.
    pub fn draining_since(&self) -> Option<Instant> {
        self.status.borrow().draining_since
    }

    /// Whether a request that is complete now may be taken.
    pub fn takes_requests(&self) -> bool {
        self.status.borrow().takes_requests(Instant::now())
    }

    /// Applies an event. False if the event is not allowed in this phase.
    pub fn apply(&self, event: Event) -> bool {
        let before = self.phase();
        let Some(next) = before.next(event) else { return false };
        if next != before {
            self.status.send_modify(|status| *status = status.changed_to(next, Instant::now()));
            crate::log!("life phase={} before={}", next.name(), before.name());
        }
        true
    }

    /// Subscribes to phase changes.
    pub fn subscribe(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }
}
