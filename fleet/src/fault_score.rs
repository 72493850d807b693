//! What speaks against one server, from a router's own attempts there: errors, silence, slowness beside its peers.

use crate::math::blend;

/// Weight of a new sample: few samples, a fast verdict.
const EWMA_WEIGHT: f64 = 0.25;
/// A record halves in so many seconds, so that a server is tried again.
const HALF_LIFE_SECS: f64 = 6.0;

/// A record, 0 to 1, and when that was so.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultScore {
    score: f64,
    at: f64,
}

impl FaultScore {
    /// What is left of it, at a time in seconds.
    pub fn value(&self, now: f64) -> f64 {
        if self.score == 0.0 { 0.0 } else { self.score * ((self.at - now) / HALF_LIFE_SECS).exp2() }
    }

    /// One more sample, 0 to 1.
    pub fn add_sample(&mut self, now: f64, sample: f64) {
        (self.score, self.at) = (blend(self.value(now), sample, EWMA_WEIGHT), now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_grows_with_bad_samples_and_is_forgiven() {
        let mut fault = FaultScore::default();
        assert_eq!(fault.value(5.0), 0.0);
        (0..20).for_each(|_| fault.add_sample(5.0, 1.0));
        assert!(fault.value(5.0) > 0.95);
        assert!((fault.value(11.0) - fault.value(5.0) / 2.0).abs() < 1e-9);
        (0..20).for_each(|_| fault.add_sample(11.0, 0.0));
        assert!(fault.value(11.0) < 0.01);
    }
}
