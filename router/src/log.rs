//! Rate-limited logging to standard error.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Size of the token bucket in lines. Without a rate limit a flood of failing connections would spend the router's one
/// core on logging.
const BURST_LINES: f64 = 2_000.0;
/// Refill rate of the token bucket.
const LINES_PER_SECOND: f64 = 400.0;

thread_local! {
    static MUTED: Cell<bool> = const { Cell::new(false) };
    /// Lines left, time of the last call, and lines dropped since the last one written.
    static BUCKET: Cell<(f64, Option<Instant>, u64)> = const { Cell::new((BURST_LINES, None, 0)) };
}

/// Turns logging off for this thread, for programs that host many routers.
pub fn mute() {
    MUTED.set(true);
}

/// Takes a token for one line. Returns the number of lines dropped since the last one, or `None` if this line must be
/// dropped too.
pub fn admit() -> Option<u64> {
    if MUTED.get() {
        return None;
    }
    BUCKET.with(|bucket| {
        let (tokens, last, dropped) = bucket.get();
        let now = Instant::now();
        let refill = last.map_or(0.0, |last| now.duration_since(last).as_secs_f64() * LINES_PER_SECOND);
        let tokens = (tokens + refill).min(BURST_LINES);
        if tokens < 1.0 {
            bucket.set((tokens, Some(now), dropped + 1));
            return None;
        }
        bucket.set((tokens - 1.0, Some(now), 0));
        Some(dropped)
    })
}

/// The wall clock as Unix time in seconds. Each line begins with it, so that logs of several machines can be merged.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Writes a line to standard error unless the rate limit is exceeded.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        if let Some(dropped) = $crate::log::admit() {
            if dropped > 0 {
                eprintln!("time={:.3} log dropped={dropped}", $crate::log::unix_time());
            }
            eprintln!("time={:.3} {}", $crate::log::unix_time(), format_args!($($part)*));
        }
    };
}
