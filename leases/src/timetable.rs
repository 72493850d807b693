//! When leases are looked at next, and which of them wait for a call.

use std::collections::BTreeSet;
use std::time::Duration;

/// Each lease stands here once for its due time, and once while it is queued.
#[derive(Debug, Default)]
pub(crate) struct Timetable {
    due: BTreeSet<(Duration, u64)>,
    /// Those that have been unattended longest come first.
    queue: BTreeSet<(Duration, u64)>,
}

impl Timetable {
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// The first lease that is due by now.
    pub fn first_due(&self, now: Duration) -> Option<u64> {
        self.due.first().filter(|(due, _)| *due <= now).map(|(_, request)| *request)
    }

    pub fn reschedule(&mut self, request: u64, old: Option<Duration>, new: Option<Duration>) {
        if let Some(old) = old {
            self.due.remove(&(old, request));
        }
        if let Some(new) = new {
            self.due.insert((new, request));
        }
    }

    pub fn enqueue(&mut self, request: u64, unattended_since: Duration) {
        self.queue.insert((unattended_since, request));
    }

    pub fn dequeue(&mut self, request: u64, unattended_since: Duration) {
        self.queue.remove(&(unattended_since, request));
    }

    pub fn pop_queued(&mut self) -> Option<u64> {
        self.queue.pop_first().map(|(_, request)| request)
    }
}
