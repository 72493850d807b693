//! How large a part of one router's requests of late had a key, such as a common beginning. Counts fade: they lose half
//! their weight in the span that is told.

use std::collections::BTreeMap;

/// As if so many other requests had come before: a part of the first few says little.
const FEW: f64 = 8.0;

/// Counts by key. Holds `most` keys at most; a full table takes no new ones, so that keys that clients make up cannot
/// make it grow. Faded keys are swept once a span at most, so a note costs no walk over all that is held.
#[derive(Clone, Debug)]
pub struct Popular {
    keys: BTreeMap<u64, (f64, f64)>,
    all: (f64, f64),
    half: f64,
    most: usize,
    sweep_at: f64,
}

impl Popular {
    /// Counts that lose half their weight in so many seconds, for so many keys at most.
    pub fn new(half: f64, most: usize) -> Self {
        Popular { keys: BTreeMap::new(), all: (0.0, 0.0), half, most, sweep_at: 0.0 }
    }

    /// A request came, at a time in seconds.
    pub fn note(&mut self, now: f64, key: Option<u64>) {
        let half = self.half;
        let add = |count: &mut (f64, f64)| *count = (faded(*count, now, half) + 1.0, now);
        add(&mut self.all);
        let Some(key) = key else { return };
        if now >= self.sweep_at {
            self.sweep_at = now + half;
            self.keys.retain(|_, (_, at)| now - *at <= half);
        }
        if self.keys.len() < self.most || self.keys.contains_key(&key) {
            add(self.keys.entry(key).or_insert((0.0, now)));
        }
    }

    /// The part that had this key, from 0 to 1.
    pub fn part(&self, now: f64, key: u64) -> f64 {
        let count = |count: &(f64, f64)| faded(*count, now, self.half);
        self.keys.get(&key).map_or(0.0, count) / (count(&self.all) + FEW)
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
        let mut popular = Popular::new(20.0, 100);
        (0..200u32).for_each(|n| popular.note(f64::from(n) * 0.1, Some(u64::from(n) % 4)));
        assert!((popular.part(20.0, 1) - 0.25).abs() < 0.03);
        let before = popular.part(20.0, 1);
        (0..200u32).for_each(|n| popular.note(20.0 + f64::from(n) * 0.1, None));
        assert!(popular.part(40.0, 1) < before / 2.0);
        (0..10_000u64).for_each(|key| popular.note(40.0, Some(1_000 + key)));
        assert!(popular.keys.len() <= 100);
        popular.note(70.0, Some(1));
        assert_eq!(popular.keys.len(), 1, "faded keys are swept");
    }
}
