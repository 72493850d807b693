//! What binds an attempt that repeats one that may have run, at servers that drop repeats for a while.
//!
//! A server's machine takes what comes while its process stands still, and the process reads it when it goes on, also behind
//! the reset of its connection. So a repeat must reach a process that runs, while the repeat is still dropped.

use super::{Core, Open, Server};
use fawnstream_attempts::{MAX_TRANSIT, RepeatPolicy};
use shedrelay::Role;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// A repeat has to reach its server within the time for which repeats are dropped: it is on its way for no longer.
const ON_THE_WAY: Duration = Duration::from_millis(20);
/// Discovery "knows only whether a process runs": a server that it has just told of for the first time is taken to run for
/// so long. What was never heard of it cannot be asked for more in the time that a repeat has.
const ANNOUNCED_LASTS: Duration = Duration::from_secs(1);

/// What binds a repeat.
#[derive(Clone, Copy, Debug)]
pub struct RepeatLimits {
    /// Its first byte is written by then or never: later it would no longer be known as a repeat.
    pub begin_by: Instant,
    /// It is given up then, unless its server has said something since it was written.
    pub unheard_until: Instant,
    /// Its server has to show that it runs before the first byte is written.
    pub needs_sign_of_life: bool,
}

/// What became of repeats, as operators see it.
#[derive(Debug, Default)]
pub struct RepeatCounts {
    shown: Cell<u64>,
    not_shown: Cell<u64>,
    announced: Cell<u64>,
    unconfirmed: Cell<u64>,
}

impl RepeatCounts {
    /// A server was asked whether it runs.
    pub fn count_asked(&self, answered: bool) {
        let count = if answered { &self.shown } else { &self.not_shown };
        count.set(count.get() + 1);
    }

    /// A repeat was sent to a server that discovery had just told of.
    fn count_announced(&self) {
        self.announced.set(self.announced.get() + 1);
    }

    /// A repeat was written whole and given up with nothing heard for it: its server may read it late.
    pub(super) fn count_unconfirmed(&self) {
        self.unconfirmed.set(self.unconfirmed.get() + 1);
    }

    /// By what repeats were sent, or not, in this order: servers that showed that they run, servers that did not, and
    /// servers that were just announced.
    pub fn by_sign(&self) -> [(&'static str, u64); 3] {
        [
            ("shown", self.shown.get()),
            ("not_shown", self.not_shown.get()),
            ("announced", self.announced.get()),
        ]
    }

    /// Repeats that were written whole and given up with nothing heard for them.
    pub fn unconfirmed(&self) -> u64 {
        self.unconfirmed.get()
    }
}

impl Core {
    /// What became of repeats.
    pub fn repeat_counts(&self) -> &RepeatCounts {
        &self.repeat_counts
    }

    /// What binds the next attempt of a request at a server, if it is a repeat. A read has no effect.
    pub(super) fn repeat_limits(&self, open: &Open, server: &Server) -> Option<RepeatLimits> {
        let (RepeatPolicy::DedupEverywhere(window) | RepeatPolicy::DedupInGroup(window)) =
            self.repeat(open.exchange.call.class)
        else {
            return None;
        };
        let ran = open.history.first_possible_run().filter(|_| server.role != Role::Reader)?;
        let before_end = |reserve: Duration| self.instant((ran.at + window).saturating_sub(reserve));
        let announced = server.last_heard.get().is_none()
            && server.announced_at.is_some_and(|at| at.elapsed() <= ANNOUNCED_LASTS);
        if announced {
            self.repeat_counts.count_announced();
        }
        Some(RepeatLimits {
            begin_by: before_end(ON_THE_WAY),
            unheard_until: before_end(MAX_TRANSIT),
            needs_sign_of_life: !announced,
        })
    }
}
