//! Limits for repeats, which are attempts after one that may have run. Servers drop repeats within a deduplication
//! window.
//!
//! While a server's process is suspended, its machine still receives data, and the process reads it when it resumes,
//! even after its connection was reset. So a repeat must reach a running process while the window is still open.

use super::{Core, OpenRequest, Server};
use fawnstream_attempts::{MAX_TRANSIT, RepeatPolicy};
use shedrelay::Role;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time allowed for a repeat to reach its server, which must be before the deduplication window ends.
const DELIVERY_TIME: Duration = Duration::from_millis(20);
/// A server that discovery has announced for the first time counts as running for this long: discovery "knows only
/// whether a process runs", and a repeat's time is too short to learn more about a server never heard from.
const ANNOUNCED_TTL: Duration = Duration::from_secs(1);

/// Limits for a repeat.
#[derive(Clone, Copy, Debug)]
pub struct RepeatLimits {
    /// Its first byte must be written by then; later the server might not recognise it as a repeat.
    pub begin_by: Instant,
    /// When it is given up, unless something was received from its server since it was written.
    pub give_up_unheard_at: Instant,
    /// Whether its server must show that it runs before the first byte is written.
    pub needs_sign_of_life: bool,
}

/// Counts of repeats, for the metrics.
#[derive(Debug, Default)]
pub struct RepeatCounts {
    shown: Cell<u64>,
    not_shown: Cell<u64>,
    announced: Cell<u64>,
    unconfirmed: Cell<u64>,
}

impl RepeatCounts {
    /// Counts a check of whether a server runs.
    pub fn count_run_check(&self, answered: bool) {
        let count = if answered { &self.shown } else { &self.not_shown };
        count.set(count.get() + 1);
    }

    /// Counts a repeat sent to a server that discovery had just announced.
    fn count_announced(&self) {
        self.announced.set(self.announced.get() + 1);
    }

    /// Counts a repeat that was written completely and given up without any response: its server may read it late.
    pub(super) fn count_unconfirmed(&self) {
        self.unconfirmed.set(self.unconfirmed.get() + 1);
    }

    /// Repeats by the sign of life of their server: shown, not shown (these were not sent), or just announced.
    pub fn by_sign(&self) -> [(&'static str, u64); 3] {
        [
            ("shown", self.shown.get()),
            ("not_shown", self.not_shown.get()),
            ("announced", self.announced.get()),
        ]
    }

    /// Repeats that were written completely and given up without any response.
    pub fn unconfirmed(&self) -> u64 {
        self.unconfirmed.get()
    }
}

impl Core {
    /// Counts of repeats.
    pub fn repeat_counts(&self) -> &RepeatCounts {
        &self.repeat_counts
    }

    /// The limits for a request's next attempt at a server, if it is a repeat. None at a reader: a read has no effect.
    pub(super) fn repeat_limits(&self, open: &OpenRequest, server: &Server) -> Option<RepeatLimits> {
        let (RepeatPolicy::DedupEverywhere(window) | RepeatPolicy::DedupInGroup(window)) =
            self.repeat_policy(open.exchange.call.class)
        else {
            return None;
        };
        let first = open.history.first_possible_run().filter(|_| server.role != Role::Reader)?;
        let before_window_end = |reserve: Duration| self.instant((first.at + window).saturating_sub(reserve));
        let announced = server.last_heard.get().is_none()
            && server.announced_at.is_some_and(|at| at.elapsed() <= ANNOUNCED_TTL);
        if announced {
            self.repeat_counts.count_announced();
        }
        Some(RepeatLimits {
            begin_by: before_window_end(DELIVERY_TIME),
            give_up_unheard_at: before_window_end(MAX_TRANSIT),
            needs_sign_of_life: !announced,
        })
    }
}
