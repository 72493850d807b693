//! Accounting periods: they have a fixed length, are numbered from the Unix epoch, and are closed once, in order.

/// The period in which an entry is counted. Only [`Periods::open_period_for`] creates it, so no entry can be counted
/// in a closed period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPeriod {
    period: u64,
    late_from: Option<u64>,
}

impl OpenPeriod {
    /// The period's number.
    pub fn period(self) -> u64 {
        self.period
    }

    /// The period of the requested moment, if that period is already closed.
    pub fn late_from(self) -> Option<u64> {
        self.late_from
    }
}

/// Tracks which periods are closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Periods {
    length_ms: u64,
    grace_ms: u64,
    /// All periods before this one are closed; it never decreases.
    first_open_period: u64,
}

impl Periods {
    /// Periods of this length that close `grace_ms` after they end. All periods before that of `now_ms` are closed.
    pub fn new(length_ms: u64, grace_ms: u64, now_ms: u64) -> Self {
        let length_ms = length_ms.max(1);
        Periods { length_ms, grace_ms, first_open_period: now_ms / length_ms }
    }

    /// The period that contains this moment.
    pub fn period_at(&self, at_ms: u64) -> u64 {
        at_ms / self.length_ms
    }

    /// The first period that is not closed.
    pub fn first_open_period(&self) -> u64 {
        self.first_open_period
    }

    /// The period in which to count an entry of this moment. If that period is closed, because the entry is late or the
    /// clock stepped back, it is the first open period.
    pub fn open_period_for(&self, at_ms: u64) -> OpenPeriod {
        let requested = self.period_at(at_ms);
        let period = requested.max(self.first_open_period);
        OpenPeriod { period, late_from: (period != requested).then_some(requested) }
    }

    /// The last period that is due to be closed, if there is one.
    pub fn last_due_period(&self, now_ms: u64) -> Option<u64> {
        let first_not_due = now_ms.saturating_sub(self.grace_ms) / self.length_ms;
        (first_not_due > self.first_open_period).then(|| first_not_due - 1)
    }

    /// Closes all periods up to this one. Closed periods are never reopened.
    pub fn close(&mut self, period: u64) {
        self.first_open_period = self.first_open_period.max(period.saturating_add(1));
    }
}
