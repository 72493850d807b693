//! What a server last told of its load, which counts for less the older it is.

use crate::math::blend;

/// A report loses half its weight in so many seconds.
const HALF_LIFE_SECS: f64 = 2.0;

/// A server's last report: a share, 0 to 1, and when it came, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport(Option<(f64, f64)>);

impl LoadReport {
    /// A report came.
    pub fn update(&mut self, now: f64, share: f64) {
        self.0 = Some((share.clamp(0.0, 1.0), now));
    }

    /// The load: what was told while that is fresh, else what is known otherwise.
    pub fn load(&self, now: f64, own: f64) -> f64 {
        self.0.map_or(own, |(share, at)| blend(own, share, freshness(now, at)))
    }
}

/// What these tell on the mean, fresh reports most.
pub fn mean_load(now: f64, all: impl Iterator<Item = LoadReport>) -> f64 {
    let (sum, weight) = all.filter_map(|told| told.0).fold((0.0, 1e-9), |(sum, weight), (share, at)| {
        let fresh = freshness(now, at);
        (sum + share * fresh, weight + fresh)
    });
    sum / weight
}

fn freshness(now: f64, at: f64) -> f64 {
    ((at - now) / HALF_LIFE_SECS).exp2()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_fades_to_what_is_known_otherwise_and_weighs_less_in_the_mean() {
        let (mut old, mut new) = (LoadReport::default(), LoadReport::default());
        assert_eq!(old.load(1.0, 0.3), 0.3);
        assert_eq!(mean_load(1.0, [old].into_iter()), 0.0);
        old.update(1.0, 7.0);
        new.update(3.0, 0.0);
        assert_eq!(old.load(1.0, 0.3), 1.0, "a share is 1 at most");
        assert!((old.load(3.0, 0.5) - 0.75).abs() < 1e-9);
        assert!((mean_load(3.0, [old, new].into_iter()) - 1.0 / 3.0).abs() < 1e-6);
    }
}
