//! The router's life cycle: a state machine shared by health checks, the operators' address, the listeners and the
//! signal handlers. [`Phase::next`] defines all transitions.

use std::time::Instant;
use tokio::sync::watch;

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

/// The router's current phase, and since when it has held.
pub struct Lifecycle {
    phase: watch::Sender<(Phase, Instant)>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { phase: watch::Sender::new((Phase::Starting { drained: false }, Instant::now())) }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.borrow().0
    }

    /// Since when client connections are drained, if they are.
    pub fn draining_since(&self) -> Option<Instant> {
        let (phase, since) = *self.phase.borrow();
        phase.is_draining().then_some(since)
    }

    /// Applies an event. False if the event is not allowed in this phase.
    pub fn apply(&self, event: Event) -> bool {
        let before = self.phase();
        let Some(next) = before.next(event) else { return false };
        self.phase.send_if_modified(|(phase, since)| {
            let changed = *phase != next;
            // Draining began with standby already.
            if changed && !(phase.is_draining() && next.is_draining()) {
                *since = Instant::now();
            }
            *phase = next;
            changed
        });
        if next != before {
            crate::log!("life phase={} before={}", next.name(), before.name());
        }
        true
    }

    /// Subscribes to phase changes.
    pub fn subscribe(&self) -> watch::Receiver<(Phase, Instant)> {
        self.phase.subscribe()
    }
}
