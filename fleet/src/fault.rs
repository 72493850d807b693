//! What speaks against one server, from a router's own attempts there: errors, silence, slowness beside its peers.

use crate::chance::blend;

/// Weight of a new sample: few samples, a fast verdict.
const EWMA: f64 = 0.25;
/// A record halves in so many seconds, so that a server is tried again.
const FORGIVE: f64 = 6.0;

/// A record, 0 to 1, and when that was so.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    record: f64,
    at: f64,
}

impl Fault {
    /// What is left of it, at a time in seconds.
    pub fn now(&self, now: f64) -> f64 {
        if self.record == 0.0 { 0.0 } else { self.record * ((self.at - now) / FORGIVE).exp2() }
    }

    /// One more sample, 0 to 1.
    pub fn judge(&mut self, now: f64, sample: f64) {
        (self.record, self.at) = (blend(self.now(now), sample, EWMA), now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_grows_with_bad_samples_and_is_forgiven() {
        let mut fault = Fault::default();
        assert_eq!(fault.now(5.0), 0.0);
        (0..20).for_each(|_| fault.judge(5.0, 1.0));
        assert!(fault.now(5.0) > 0.95);
        assert!((fault.now(11.0) - fault.now(5.0) / 2.0).abs() < 1e-9);
        (0..20).for_each(|_| fault.judge(11.0, 0.0));
        assert!(fault.now(11.0) < 0.01);
    }
}
