//! The router's life cycle: the one state machine that health calls, the operators' address, the listener and the
//! signals ask. Which states there are and what leads from one to another stands in [`Phase::next`] alone.

use std::time::Instant;
use tokio::sync::watch;

/// Where in its life the router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It cannot serve yet; `drained`: an operator drained it already.
    Starting {
        /// It goes on to standby, not to active.
        drained: bool,
    },
    /// It takes clients.
    Active,
    /// An operator drained it: what came is served, clients are sent away.
    Standby,
    /// It was told to end.
    Stopping,
}

/// What can happen to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It can serve.
    Ready,
    /// An operator drains it.
    Drain,
    /// An operator ends the drain.
    Resume,
    /// SIGTERM.
    Stop,
}

impl Phase {
    /// The phase that follows; `None` where the event makes no sense. An event that changes nothing is allowed, so
    /// that operators may repeat a call.
    pub fn next(self, event: Event) -> Option<Phase> {
        match (self, event) {
            (_, Event::Stop) => Some(Phase::Stopping),
            // It ends, and takes nobody any more.
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

    /// Clients are taken and asked to stay.
    pub fn accepts_clients(self) -> bool {
        self == Phase::Active
    }

    /// Clients are sent away: answers close their connections, and those without a request end.
    pub fn is_draining(self) -> bool {
        matches!(self, Phase::Standby | Phase::Stopping)
    }

    /// For the log and the operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting { .. } => "starting",
            Phase::Active => "active",
            Phase::Standby => "standby",
            Phase::Stopping => "stopping",
        }
    }
}

/// The router's phase, and since when it holds.
pub struct Lifecycle {
    phase: watch::Sender<(Phase, Instant)>,
}

impl Default for Lifecycle {
    /// A router that starts.
    fn default() -> Self {
        Lifecycle { phase: watch::Sender::new((Phase::Starting { drained: false }, Instant::now())) }
    }
}

impl Lifecycle {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        self.phase.borrow().0
    }

    /// Since when clients are sent away, if they are.
    pub fn draining_since(&self) -> Option<Instant> {
        let (phase, since) = *self.phase.borrow();
        phase.is_draining().then_some(since)
    }

    /// Something happened. False if it makes no sense in this phase.
    pub fn apply(&self, event: Event) -> bool {
        let now = self.phase();
        let Some(next) = now.next(event) else { return false };
        self.phase.send_if_modified(|(phase, since)| {
            let changed = *phase != next;
            // From standby to stopping clients have been sent away already.
            if changed && !(phase.is_draining() && next.is_draining()) {
                *since = Instant::now();
            }
            *phase = next;
            changed
        });
        if next != now {
            crate::log!("life phase={} before={}", next.name(), now.name());
        }
        true
    }

    /// To hear of the next change.
    pub fn subscribe(&self) -> watch::Receiver<(Phase, Instant)> {
        self.phase.subscribe()
    }
}
