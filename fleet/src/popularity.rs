//! How large a part of the requests has a key, such as a common beginning, as far as one router of many can tell from
//! its own of late. Counts fade: they lose half their weight in the span that is told.
//!
//! A router may have seen a beginning once among the sixty requests that it had, which says little of that beginning.
//! What it does see is how often two of its requests begin alike: that is the part that beginnings have on the mean, each
//! weighted by its requests, and a beginning is believed to be like the others until its own requests say more.

use std::collections::BTreeMap;

/// As if so many requests had come before, of which two began alike.
const FEW: f64 = 8.0;
/// The same where a part must not be thought too small: as if of so few pairs a good part had begun alike.
const CAUTIOUS_ALIKE: f64 = 2.0;
const CAUTIOUS_PAIRS: f64 = 4.0;

/// Counts by key. Holds `most` keys at most; a full table takes no new ones, so that keys that clients make up cannot
/// make it grow. Faded keys are swept once a span at most, so a note costs no walk over all that is held.
#[derive(Clone, Debug)]
pub struct Popularity {
    keys: BTreeMap<u64, (f64, f64)>,
    all: (f64, f64),
    /// Pairs of requests, and of these the ones of one key: both fade as a pair does.
    pairs: (f64, f64),
    alike: (f64, f64),
    half: f64,
    most: usize,
    sweep_at: f64,
}

impl Popularity {
    /// Counts that lose half their weight in so many seconds, for so many keys at most.
    pub fn new(half: f64, most: usize) -> Self {
        let none = (0.0, 0.0);
        Popularity { keys: BTreeMap::new(), all: none, pairs: none, alike: none, half, most, sweep_at: 0.0 }
    }

    /// A request came, at a time in seconds.
    pub fn record(&mut self, now: f64, key: Option<u64>) {
        let half = self.half;
        let add = |count: &mut (f64, f64), more: f64, half: f64| {
            let before = faded(*count, now, half);
            *count = (before + more, now);
            before
        };
        let Some(key) = key else {
            add(&mut self.all, 1.0, half);
            return;
        };
        let others = add(&mut self.all, 1.0, half);
        add(&mut self.pairs, others, half / 2.0);
        if now >= self.sweep_at {
            self.sweep_at = now + half;
            self.keys.retain(|_, (_, at)| now - *at <= half);
        }
        if self.keys.len() < self.most || self.keys.contains_key(&key) {
            let before = add(self.keys.entry(key).or_insert((0.0, now)), 1.0, half);
            add(&mut self.alike, before, half / 2.0);
        }
    }

    /// Requests a second of late; `since` a time in seconds at which none had come yet.
    pub fn request_rate(&self, now: f64, since: f64) -> f64 {
        let seen = 1.0 - 0.5f64.powf((now - since).max(1.0) / self.half);
        faded(self.all, now, self.half) * std::f64::consts::LN_2 / self.half / seen
    }

    /// The part that had this key, from 0 to 1; the first few say little.
    pub fn share(&self, now: f64, key: u64) -> f64 {
        let count = |count: &(f64, f64)| faded(*count, now, self.half);
        self.keys.get(&key).map_or(0.0, count) / (count(&self.all) + FEW)
    }

    /// The part of all routers' requests that is likely to have this key, from 0 to 1.
    pub fn likely_share(&self, now: f64, key: u64) -> f64 {
        self.overall_share(now, key, 1.0, FEW * FEW / 2.0)
    }

    /// The same for a router that must not take a popular beginning for a seldom one: while it has seen hardly any pair
    /// of requests, every beginning counts as popular.
    pub fn cautious_share(&self, now: f64, key: u64) -> f64 {
        self.overall_share(now, key, CAUTIOUS_ALIKE, CAUTIOUS_PAIRS)
    }

    /// As if of so many pairs of requests that came before so many had begun alike.
    fn overall_share(&self, now: f64, key: u64, alike: f64, pairs: f64) -> f64 {
        let alike = faded(self.alike, now, self.half / 2.0) + alike;
        let mean = alike / (faded(self.pairs, now, self.half / 2.0) + pairs);
        // One of them is the request that is asked for.
        let own = self.keys.get(&key).map_or(0.0, |count| faded(*count, now, self.half)).max(1.0);
        let all = faded(self.all, now, self.half).max(1.0);
        (own / (all - 1.0 + 1.0 / mean.min(1.0))).min(1.0)
    }
}

fn faded((count, at): (f64, f64), now: f64, half: f64) -> f64 {
    count * 0.5f64.powf((now - at) / half)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_is_learnt_fades_and_stays_within_its_bound() {
        let mut popular = Popularity::new(20.0, 100);
        (0..200u32).for_each(|n| popular.record(f64::from(n) * 0.1, Some(u64::from(n) % 4)));
        assert!((popular.share(20.0, 1) - 0.25).abs() < 0.03);
        let before = popular.share(20.0, 1);
        (0..200u32).for_each(|n| popular.record(20.0 + f64::from(n) * 0.1, None));
        assert!(popular.share(40.0, 1) < before / 2.0);
        (0..10_000u64).for_each(|key| popular.record(40.0, Some(1_000 + key)));
        assert!(popular.keys.len() <= 100);
        popular.record(70.0, Some(1));
        assert_eq!(popular.keys.len(), 1, "faded keys are swept");
    }

    #[test]
    fn the_rate_is_known_soon_and_follows() {
        let mut popular = Popularity::new(20.0, 100);
        (0..50u32).for_each(|n| popular.record(100.0 + f64::from(n) * 0.1, None));
        assert!((8.0..12.0).contains(&popular.request_rate(105.0, 100.0)));
        (0..1_000u32).for_each(|n| popular.record(105.0 + f64::from(n) * 0.1, Some(1)));
        assert!((9.0..11.0).contains(&popular.request_rate(205.0, 100.0)));
        assert!(popular.request_rate(265.0, 100.0) < 2.0);
    }

    /// Routers with three requests a second each, of 60 beginnings and of 3,000 that are all asked for alike.
    #[test]
    fn a_beginning_seen_once_or_twice_is_believed_to_be_like_the_others() {
        for (keys, seed) in [(60u64, 1u64), (60, 2), (3_000, 3), (3_000, 4)] {
            let mut popular = Popularity::new(20.0, 4_096);
            (0..300u32).for_each(|n| {
                popular.record(f64::from(n) / 3.0, Some(crate::math::mix(seed << 32 | u64::from(n)) % keys));
            });
            popular.record(100.0, Some(7));
            let times = popular.likely_share(100.0, 7) * keys as f64;
            assert!((0.2..5.0).contains(&times), "{times} of what it is, with {keys}");
        }
        let mut hot = Popularity::new(20.0, 4_096);
        (0..300u32).for_each(|n| hot.record(f64::from(n) / 3.0, Some(u64::from(n) % 2 * u64::from(n))));
        assert!((0.3..0.7).contains(&hot.likely_share(100.0, 0)), "what is seen often is believed");
    }
}
