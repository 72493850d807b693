//! When servers started, on the router's monotonic clock. The list stamps each start with Unix time, and wall clocks may
//! be stepped, at the router's machine or elsewhere, by an hour as well as by seconds. What the router itself knows
//! bounds a stamp: a server had started when it heard so, and had not when the list was last known to be without it.

use std::collections::HashMap;
use std::time::Duration;

/// A change may be told so long after it happened: a stamp that says less is believed.
pub const MAX_NEWS_DELAY: Duration = Duration::from_secs(6);
/// Starts of servers that the list has dropped are remembered for so long: one that comes back is the same process.
pub const REMEMBER_FOR: Duration = Duration::from_secs(600);
/// Starts remembered of servers that the list has dropped, at most.
pub const MAX_DROPPED: usize = 4_096;

/// The clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The monotonic clock, in Unix time as it was read once at the start.
    pub monotonic: Duration,
    /// The wall clock, in Unix time.
    pub wall: Duration,
}

/// One server's start.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp: Duration,
    /// Stamps that it had before: old news may repeat one.
    before: Option<Duration>,
    at: Duration,
    /// Since when the list is without it.
    dropped: Option<Duration>,
}

/// The starts of all servers that the list names, and of those that it named of late.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<u64, Start>,
}

impl StartTimes {
    /// The list names a server with this stamp, in Unix time; gives its start on the monotonic clock. `current` is when
    /// the list was last known to be up to date before this news; none where that is not known, as for the first list.
    pub fn listed(
        &mut self,
        server: u64,
        stamp: Duration,
        clocks: Clocks,
        current: Option<Duration>,
    ) -> Duration {
        let known = self.starts.get_mut(&server);
        if let Some(start) = known.filter(|start| start.stamp == stamp || start.before == Some(stamp)) {
            start.dropped = None;
            return start.at;
        }
        let at = clocks.monotonic - age(stamp, clocks, current);
        let before = self.starts.get(&server).map(|start| start.stamp);
        self.starts.insert(server, Start { stamp, before, at, dropped: None });
        at
    }

    /// The list is without a server from now on.
    pub fn dropped(&mut self, server: u64, now: Duration) {
        if let Some(start) = self.starts.get_mut(&server) {
            start.dropped.get_or_insert(now);
        }
    }

    /// Forgets starts of servers that were dropped long ago, and the oldest beyond the bound.
    pub fn sweep(&mut self, now: Duration) {
        self.starts.retain(|_, start| start.dropped.is_none_or(|at| now.saturating_sub(at) < REMEMBER_FOR));
        let mut dropped: Vec<(Duration, u64)> =
            self.starts.iter().filter_map(|(server, start)| Some((start.dropped?, *server))).collect();
        if dropped.len() > MAX_DROPPED {
            dropped.sort_unstable();
            for (_, server) in &dropped[..dropped.len() - MAX_DROPPED] {
                self.starts.remove(server);
            }
        }
    }

    /// How many starts are remembered.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}

/// How long ago a server started that is news. Both clocks may be wrong, so the younger reading counts; a stamp that lies
/// ahead, or before a time at which the list knew of no such start, says nothing but that it has just started.
fn age(stamp: Duration, clocks: Clocks, current: Option<Duration>) -> Duration {
    let age = clocks.wall.saturating_sub(stamp).min(clocks.monotonic.saturating_sub(stamp));
    let most = current.map(|current| clocks.monotonic.saturating_sub(current) + MAX_NEWS_DELAY);
    if most.is_some_and(|most| age > most) { Duration::ZERO } else { age }
}
