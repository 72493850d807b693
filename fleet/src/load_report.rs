//! The load that a server last reported, which counts for less as it ages.

use crate::math::blend;

/// A report loses half its weight in this many seconds.
const HALF_LIFE_SECS: f64 = 2.0;

/// A server's last report, if any: its load from 0 to 1, and when it came in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport(Option<(f64, f64)>);

impl LoadReport {
    /// Stores a new report.
    pub fn update(&mut self, now: f64, load: f64) {
        self.0 = Some((load.clamp(0.0, 1.0), now));
    }

    /// The reported load while it is fresh; fades to `estimate` as the report ages.
    pub fn load(&self, now: f64, estimate: f64) -> f64 {
        self.0.map_or(estimate, |(load, at)| blend(estimate, load, freshness(now, at)))
    }
}

/// The mean reported load, weighted by freshness; 0 if there are no reports.
pub fn mean_load(now: f64, reports: impl Iterator<Item = LoadReport>) -> f64 {
    let (sum, weight) =
        reports.filter_map(|report| report.0).fold((0.0, 1e-9), |(sum, weight), (load, at)| {
            let freshness = freshness(now, at);
            (sum + load * freshness, weight + freshness)
        });
    sum / weight
}

/// The weight of a report that came at `at`, from 0 to 1.
fn freshness(now: f64, at: f64) -> f64 {
    ((at - now) / HALF_LIFE_SECS).exp2()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn old_report_fades_to_the_estimate_and_weighs_less_in_the_mean() {
        let (mut old, mut new) = (LoadReport::default(), LoadReport::default());
        assert_eq!(old.load(1.0, 0.3), 0.3);
        assert_eq!(mean_load(1.0, [old].into_iter()), 0.0);
        old.update(1.0, 7.0);
        new.update(3.0, 0.0);
        assert_eq!(old.load(1.0, 0.3), 1.0, "load is 1 at most");
        assert!((old.load(3.0, 0.5) - 0.75).abs() < 1e-9);
        assert!((mean_load(3.0, [old, new].into_iter()) - 1.0 / 3.0).abs() < 1e-6);
    }
}
