//! Estimates which share of all requests has a key, such as a prompt prefix, from the recent requests of one router of
//! many. Counts decay exponentially with a given half-life.
//!
//! If a router saw a prefix once among sixty requests, that says little about this prefix. But the router does see how
//! often two of its requests have the same prefix, which is the mean share of prefixes, weighted by their requests.
//! A prefix is taken to have this mean share until its own requests say more.

use std::collections::BTreeMap;

/// Prior of the estimate: as if this many requests had come before, two of them with the same prefix.
const PRIOR_REQUESTS: f64 = 8.0;
/// Prior where a share must not be underestimated: pairs of requests with the same prefix, of [`CAUTIOUS_PAIRS`].
const CAUTIOUS_SAME: f64 = 2.0;
/// Pairs of requests in the cautious prior.
const CAUTIOUS_PAIRS: f64 = 4.0;

/// Decaying request counts by key. The number of keys is bounded, and a full table takes no new ones, so that keys made
/// up by clients cannot make it grow. Old keys are removed once per half-life at most, so recording a request seldom
/// walks the table.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Each count comes with the time (seconds) when it was last updated.
    keys: BTreeMap<u64, (f64, f64)>,
    all: (f64, f64),
    /// Pairs of requests; they decay twice as fast as single requests.
    pairs: (f64, f64),
    /// Pairs of requests with the same key.
    same_key: (f64, f64),
    half_life: f64,
    max_keys: usize,
    sweep_at: f64,
}

impl Popularity {
    /// Counts with this half-life in seconds, for at most `max_keys` keys.
    pub fn new(half_life: f64, max_keys: usize) -> Self {
        let none = (0.0, 0.0);
        Popularity {
            keys: BTreeMap::new(),
            all: none,
            pairs: none,
            same_key: none,
            half_life,
            max_keys,
            sweep_at: 0.0,
        }
    }

    /// Records a request at a time in seconds.
    pub fn record(&mut self, now: f64, key: Option<u64>) {
        let half_life = self.half_life;
        let add = |count: &mut (f64, f64), more: f64, half_life: f64| {
            let before = decayed(*count, now, half_life);
            *count = (before + more, now);
            before
        };
        let Some(key) = key else {
            add(&mut self.all, 1.0, half_life);
            return;
        };
        let others = add(&mut self.all, 1.0, half_life);
        add(&mut self.pairs, others, half_life / 2.0);
        if now >= self.sweep_at {
            self.sweep_at = now + half_life;
            self.keys.retain(|_, (_, at)| now - *at <= half_life);
        }
        if self.keys.len() < self.max_keys || self.keys.contains_key(&key) {
            let before = add(self.keys.entry(key).or_insert((0.0, now)), 1.0, half_life);
            add(&mut self.same_key, before, half_life / 2.0);
        }
    }

    /// Recent requests a second. `since` is a time in seconds before the first request.
    pub fn rate(&self, now: f64, since: f64) -> f64 {
        let seen = 1.0 - 0.5f64.powf((now - since).max(1.0) / self.half_life);
        decayed(self.all, now, self.half_life) * std::f64::consts::LN_2 / self.half_life / seen
    }

    /// The share of this router's requests with this key, from 0 to 1; low while there are few requests.
    pub fn share(&self, now: f64, key: u64) -> f64 {
        let count = |count: &(f64, f64)| decayed(*count, now, self.half_life);
        self.keys.get(&key).map_or(0.0, count) / (count(&self.all) + PRIOR_REQUESTS)
    }

    /// The likely share of all routers' requests with this key, from 0 to 1.
    pub fn likely_share(&self, now: f64, key: u64) -> f64 {
        self.overall_share(now, key, 1.0, PRIOR_REQUESTS * PRIOR_REQUESTS / 2.0)
    }

    /// Like [`Self::likely_share`], but does not take a popular prefix for a rare one: every prefix counts as popular
    /// until the router has seen enough pairs of requests.
    pub fn cautious_share(&self, now: f64, key: u64) -> f64 {
        self.overall_share(now, key, CAUTIOUS_SAME, CAUTIOUS_PAIRS)
    }

    /// The estimate with this prior: as if `pairs` pairs of requests had come before, `same_key` of them with one key.
    fn overall_share(&self, now: f64, key: u64, same_key: f64, pairs: f64) -> f64 {
        let same_key = decayed(self.same_key, now, self.half_life / 2.0) + same_key;
        let mean = same_key / (decayed(self.pairs, now, self.half_life / 2.0) + pairs);
        // The request that the estimate is for counts itself.
        let own = self.keys.get(&key).map_or(0.0, |count| decayed(*count, now, self.half_life)).max(1.0);
        let all = decayed(self.all, now, self.half_life).max(1.0);
        (own / (all - 1.0 + 1.0 / mean.min(1.0))).min(1.0)
    }
}

fn decayed((count, at): (f64, f64), now: f64, half_life: f64) -> f64 {
    count * 0.5f64.powf((now - at) / half_life)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn share_is_learnt_and_decays_and_keys_are_bounded() {
        let mut popular = Popularity::new(20.0, 100);
        (0..200u32).for_each(|n| popular.record(f64::from(n) * 0.1, Some(u64::from(n) % 4)));
        assert!((popular.share(20.0, 1) - 0.25).abs() < 0.03);
        let before = popular.share(20.0, 1);
        (0..200u32).for_each(|n| popular.record(20.0 + f64::from(n) * 0.1, None));
        assert!(popular.share(40.0, 1) < before / 2.0);
        (0..10_000u64).for_each(|key| popular.record(40.0, Some(1_000 + key)));
        assert!(popular.keys.len() <= 100);
        popular.record(70.0, Some(1));
        assert_eq!(popular.keys.len(), 1, "old keys are removed");
    }

    #[test]
    fn request_rate_is_accurate_early_and_follows_changes() {
        let mut popular = Popularity::new(20.0, 100);
        (0..50u32).for_each(|n| popular.record(100.0 + f64::from(n) * 0.1, None));
        assert!((8.0..12.0).contains(&popular.rate(105.0, 100.0)));
        (0..1_000u32).for_each(|n| popular.record(105.0 + f64::from(n) * 0.1, Some(1)));
        assert!((9.0..11.0).contains(&popular.rate(205.0, 100.0)));
        assert!(popular.rate(265.0, 100.0) < 2.0);
    }

    /// Routers with three requests a second each, with 60 or 3,000 prefixes that are equally frequent.
    #[test]
    fn rare_prefix_gets_the_mean_share_and_frequent_prefix_its_own() {
        for (keys, seed) in [(60u64, 1u64), (60, 2), (3_000, 3), (3_000, 4)] {
            let mut popular = Popularity::new(20.0, 4_096);
            (0..300u32).for_each(|n| {
                popular.record(f64::from(n) / 3.0, Some(crate::math::mix(seed << 32 | u64::from(n)) % keys));
            });
            popular.record(100.0, Some(7));
            let ratio = popular.likely_share(100.0, 7) * keys as f64;
            assert!((0.2..5.0).contains(&ratio), "{ratio} of the true share, with {keys} prefixes");
        }
        let mut hot = Popularity::new(20.0, 4_096);
        (0..300u32).for_each(|n| hot.record(f64::from(n) / 3.0, Some(u64::from(n) % 2 * u64::from(n))));
        assert!((0.3..0.7).contains(&hot.likely_share(100.0, 0)), "a frequent prefix has its own share");
    }
}
