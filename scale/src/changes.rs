//! Tracks changes of the server list: when each was written at discovery, and when the last router applied it.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Precision of recorded times, in significant digits.
const TIME_DIGITS: u8 = 3;
/// Longest recorded time, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 600_000_000;

struct Change {
    written: Instant,
    last_applied: Instant,
    applied_by: usize,
}

/// Tracks drains of servers. A router's report counts for the latest drain of a server, so a server should drain again
/// only when all routers have applied its last drain, or long after it.
#[derive(Default)]
pub struct ChangeTracker {
    changes: Mutex<Vec<Change>>,
    /// Index of each server's latest drain in `changes`.
    latest: Mutex<HashMap<String, usize>>,
}

/// How list changes reached the routers.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Spread {
    /// Number of changes written.
    pub changes: usize,
    /// Number of changes that every router applied.
    pub complete: usize,
    /// Time until the last router applied a change, in milliseconds: median, 99th percentile and maximum.
    pub last_router_ms: [f64; 3],
}

impl ChangeTracker {
    /// Call before a server's drain is written.
    pub fn record_written(&self, server: &str) {
        let now = Instant::now();
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(Change { written: now, last_applied: now, applied_by: 0 });
        let index = changes.len() - 1;
        self.latest.lock().unwrap_or_else(PoisonError::into_inner).insert(server.to_owned(), index);
    }

    /// Call when a router has applied a server's drain.
    pub fn record_applied(&self, server: &str) {
        let index = self.latest.lock().unwrap_or_else(PoisonError::into_inner).get(server).copied();
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(change) = index.and_then(|index| changes.get_mut(index)) {
            change.applied_by += 1;
            change.last_applied = Instant::now();
        }
    }

    /// How the changes written since `start` reached so many routers.
    pub fn spread(&self, start: Instant, routers: usize) -> Spread {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut spread = Spread::default();
        let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, TIME_DIGITS) else {
            return spread;
        };
        for change in changes.iter().filter(|change| change.written >= start) {
            spread.changes += 1;
            if change.applied_by >= routers {
                spread.complete += 1;
                let took: Duration = change.last_applied - change.written;
                times.saturating_record(took.as_micros() as u64);
            }
        }
        let ms = |micros: u64| micros as f64 / 1e3;
        spread.last_router_ms =
            [ms(times.value_at_quantile(0.5)), ms(times.value_at_quantile(0.99)), ms(times.max())];
        spread
    }
}
