//! Start times of servers on the router's monotonic clock. The list gives each start in Unix time, and wall clocks may
//! be stepped by seconds or by an hour, on the router's machine or elsewhere. So a stamp is checked against what the
//! router knows itself: the server had started when the list first named this start, and had not when the list was last
//! known to be up to date without it.

use std::collections::HashMap;
use std::time::Duration;

/// Longest delay between a change and the news of it: a start stamped up to this long before the last up-to-date list
/// is believed.
pub const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// How long the start of a dropped server is remembered: if it comes back with the same stamp, it is the same process.
pub const REMEMBER_FOR: Duration = Duration::from_secs(600);
/// Most dropped servers whose starts are remembered.
pub const MAX_DROPPED: usize = 4_096;

/// Readings of both clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The monotonic clock, as the Unix time read once at the router's start plus the time since.
    pub monotonic: Duration,
    /// The wall clock, in Unix time.
    pub wall: Duration,
}

/// One server's start.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp: Duration,
    /// The stamp before this one; old news may repeat it.
    previous: Option<Duration>,
    /// The start on the monotonic clock.
    at: Duration,
    /// When the list dropped the server.
    dropped: Option<Duration>,
}

/// Start times of all listed servers and of recently dropped ones.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<u64, Start>,
}

impl StartTimes {
    /// Records that the list names a server with this stamp (Unix time), and returns its start on the monotonic clock.
    /// `last_synced` is when the list was last known to be up to date before this news, or `None` for the first list.
    pub fn listed(
        &mut self,
        server: u64,
        stamp: Duration,
        clocks: Clocks,
        last_synced: Option<Duration>,
    ) -> Duration {
        let known = self.starts.get_mut(&server);
        if let Some(start) = known.filter(|start| start.stamp == stamp || start.previous == Some(stamp)) {
            start.dropped = None;
            return start.at;
        }
        let at = clocks.monotonic - age(stamp, clocks, last_synced);
        let previous = self.starts.get(&server).map(|start| start.stamp);
        self.starts.insert(server, Start { stamp, previous, at, dropped: None });
        at
    }

    /// Records that the list has dropped a server.
    pub fn dropped(&mut self, server: u64, now: Duration) {
        if let Some(start) = self.starts.get_mut(&server) {
            start.dropped.get_or_insert(now);
        }
    }

    /// Forgets the starts of servers dropped more than [`REMEMBER_FOR`] ago, and the oldest beyond [`MAX_DROPPED`].
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

    /// Number of remembered starts.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start is remembered.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}

/// How long ago a newly listed start happened. Either clock may be wrong, so the smaller age counts. A stamp in the
/// future, or from before a time when the list was up to date without this start, counts as a start just now.
fn age(stamp: Duration, clocks: Clocks, last_synced: Option<Duration>) -> Duration {
    let age = clocks.wall.saturating_sub(stamp).min(clocks.monotonic.saturating_sub(stamp));
    let max_age = last_synced.map(|synced| clocks.monotonic.saturating_sub(synced) + MAX_CHANGE_DELAY);
    if max_age.is_some_and(|max_age| age > max_age) { Duration::ZERO } else { age }
}
