//! Changes of the list: when each was written at discovery, and when the last router had it in force.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Times are kept in microseconds, to three digits.
const DIGITS: u8 = 3;
/// A change that takes longer counts as this long.
const LONGEST_US: u64 = 600_000_000;

struct Change {
    written: Instant,
    last: Instant,
    seen: usize,
}

/// Drains that are on their way, by server. A server drains again only when all routers have heard, or after a while.
#[derive(Default)]
pub struct Board {
    changes: Mutex<Vec<Change>>,
    open: Mutex<HashMap<String, usize>>,
}

/// What became of the changes.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Spread {
    /// Changes written.
    pub changes: usize,
    /// Those that every router had in force.
    pub complete: usize,
    /// Time to the last router, in milliseconds: median, 99th percentile and most.
    pub last_router_ms: [f64; 3],
}

impl Board {
    /// A server's drain is about to be written.
    pub fn written(&self, server: &str) {
        let now = Instant::now();
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(Change { written: now, last: now, seen: 0 });
        let place = changes.len() - 1;
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(server.to_owned(), place);
    }

    /// A router has it in force.
    pub fn seen(&self, server: &str) {
        let place = self.open.lock().unwrap_or_else(PoisonError::into_inner).get(server).copied();
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(change) = place.and_then(|place| changes.get_mut(place)) {
            change.seen += 1;
            change.last = Instant::now();
        }
    }

    /// How the changes spread that were written after a moment, over so many routers.
    pub fn spread(&self, after: Instant, routers: usize) -> Spread {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut spread = Spread::default();
        let Ok(mut times) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS) else { return spread };
        for change in changes.iter().filter(|change| change.written >= after) {
            spread.changes += 1;
            if change.seen >= routers {
                spread.complete += 1;
                let took: Duration = change.last - change.written;
                times.saturating_record(took.as_micros() as u64);
            }
        }
        let ms = |micros: u64| micros as f64 / 1e3;
        spread.last_router_ms =
            [ms(times.value_at_quantile(0.5)), ms(times.value_at_quantile(0.99)), ms(times.max())];
        spread
    }
}
