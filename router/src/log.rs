//! Logging: lines on standard error, so many a second at most.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Lines that may come at once, and so many more each second. Guards against a flood of failing connections
/// that would spend the one core on writing about it.
const BURST: f64 = 2_000.0;
const PER_SECOND: f64 = 400.0;

thread_local! {
    static MUTED: Cell<bool> = const { Cell::new(false) };
    static BUCKET: Cell<(f64, Option<Instant>, u64)> = const { Cell::new((BURST, None, 0)) };
}

/// Writes nothing from this thread from now on: for a program that hosts many routers.
pub fn mute() {
    MUTED.set(true);
}

/// Whether a line may be written now, and how many were dropped since the last one.
pub fn admit() -> Option<u64> {
    if MUTED.get() {
        return None;
    }
    BUCKET.with(|bucket| {
        let (left, at, dropped) = bucket.get();
        let now = Instant::now();
        let gained = at.map_or(0.0, |at| now.duration_since(at).as_secs_f64() * PER_SECOND);
        let left = (left + gained).min(BURST);
        if left < 1.0 {
            bucket.set((left, Some(now), dropped + 1));
            return None;
        }
        bucket.set((left - 1.0, Some(now), 0));
        Some(dropped)
    })
}

/// The wall clock now, as Unix time in seconds: each line begins with it, so that the logs of several machines can be put
/// in one order.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Writes a line to standard error, unless too many were written of late.
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
