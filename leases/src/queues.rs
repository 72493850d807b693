//! When each lease is due next, and the queue of leases that wait for a release call.

use std::collections::BTreeSet;
use std::time::Duration;

/// Each lease has at most one entry in `due`, and one in `queue` while it waits for a call.
#[derive(Debug, Default)]
pub(crate) struct LeaseQueues {
    due: BTreeSet<(Duration, u64)>,
    /// Ordered by how long the state has been unattended, longest first.
    queue: BTreeSet<(Duration, u64)>,
}

impl LeaseQueues {
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// The lease with the earliest due time, if that is not after `now`.
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
