//! Outlier detection: a score of errors, silence and relative slowness of one server, from a router's own attempts.

use crate::math::blend;

/// Weight of a new sample. It is large because samples are few and a faulty server must be found fast.
const EWMA_WEIGHT: f64 = 0.25;
/// A score halves in this many seconds, so that a server is tried again.
const HALF_LIFE_SECS: f64 = 6.0;

/// How faulty a server seems, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultScore {
    score: f64,
    /// When `score` was last updated, in seconds.
    at: f64,
}

impl FaultScore {
    /// The decayed score at a time in seconds.
    pub fn value(&self, now: f64) -> f64 {
        if self.score == 0.0 { 0.0 } else { self.score * ((self.at - now) / HALF_LIFE_SECS).exp2() }
    }

    /// Adds a sample from 0 (good) to 1 (bad).
    pub fn add_sample(&mut self, now: f64, sample: f64) {
        (self.score, self.at) = (blend(self.value(now), sample, EWMA_WEIGHT), now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn score_grows_with_bad_samples_and_decays() {
        let mut fault = FaultScore::default();
        assert_eq!(fault.value(5.0), 0.0);
        (0..20).for_each(|_| fault.add_sample(5.0, 1.0));
        assert!(fault.value(5.0) > 0.95);
        assert!((fault.value(11.0) - fault.value(5.0) / 2.0).abs() < 1e-9);
        (0..20).for_each(|_| fault.add_sample(11.0, 0.0));
        assert!(fault.value(11.0) < 0.01);
    }
}
