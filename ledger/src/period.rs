//! Periods: of fixed length, counted from the Unix epoch, and closed once, in order.

/// Where an entry is counted. Only [`Periods::open_period_for`] makes one, so no entry can name a closed period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPeriod {
    period: u64,
    late_from: Option<u64>,
}

impl OpenPeriod {
    /// The period.
    pub fn period(self) -> u64 {
        self.period
    }

    /// The period that it would have been, had that not closed.
    pub fn late_from(self) -> Option<u64> {
        self.late_from
    }
}

/// Which periods are closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Periods {
    length_ms: u64,
    grace_ms: u64,
    /// All periods below this one are closed; it only grows.
    first_open_period: u64,
}

impl Periods {
    /// With this length and grace, in milliseconds; all before the period of `now_ms` are closed.
    pub fn new(length_ms: u64, grace_ms: u64, now_ms: u64) -> Self {
        let length_ms = length_ms.max(1);
        Periods { length_ms, grace_ms, first_open_period: now_ms / length_ms }
    }

    /// The period of a moment.
    pub fn period_at(&self, at_ms: u64) -> u64 {
        at_ms / self.length_ms
    }

    /// The first period that is not closed.
    pub fn first_open_period(&self) -> u64 {
        self.first_open_period
    }

    /// Where something is counted that came at this moment: a clock that stepped back, and what ends after its
    /// period has closed, get the first open one.
    pub fn open_period_for(&self, at_ms: u64) -> OpenPeriod {
        let wanted = self.period_at(at_ms);
        let period = wanted.max(self.first_open_period);
        OpenPeriod { period, late_from: (period != wanted).then_some(wanted) }
    }

    /// The last period that is due to be closed, if one is.
    pub fn last_due_period(&self, now_ms: u64) -> Option<u64> {
        let over = now_ms.saturating_sub(self.grace_ms) / self.length_ms;
        (over > self.first_open_period).then(|| over - 1)
    }

    /// Closes all periods up to this one. Those that were closed stay so.
    pub fn close(&mut self, period: u64) {
        self.first_open_period = self.first_open_period.max(period.saturating_add(1));
    }
}
