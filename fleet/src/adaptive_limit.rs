//! Adaptive admission limit: falls with late answers, and grows with quick ones while it is nearly used up. Each router
//! has its share of a limit whose initial value is set for all routers together.

/// Largest multiple of its initial value that a limit grows to.
const MAX_FACTOR: f64 = 4.0;
/// Smallest multiple of its initial value that a limit falls to; some requests must pass for a recovery to be noticed.
const MIN_FACTOR: f64 = 0.3;
/// The limit falls by one request for each late answer and grows by this part of a request for each quick one, so idle
/// and busy routers settle at the same share of late answers.
const GROWTH: f64 = 0.5;
/// The limit grows only while more than this share of it is in use.
const GROW_ABOVE_USE: f64 = 0.7;
/// Standard deviations allowed above an even share, because requests are spread over routers at random.
const ALLOWED_DEVIATIONS: f64 = 2.0;
/// One answer moves the limit by at most this share of its initial value, so that one of many routers does not
/// overreact to a single one of its few answers.
const MAX_STEP: f64 = 0.25;

/// When all routers are overloaded, clients retry, and this many times the tenants' quotas arrive at each router alike.
const RETRY_FACTOR: f64 = 2.5;

/// How many even shares of the limit a router gets, at least one, from the requests a second that reach it (`rate`) and
/// the sum of the tenants' quotas. Traffic is uneven, and a router with twenty times the mean would otherwise refuse
/// most of it. The shares of all routers add up to at most twice the limit, however uneven the traffic, while all
/// requests together are at most `RETRY_FACTOR` times the tenants' quotas.
pub fn traffic_weight(rate: f64, quotas: f64, routers: u32) -> f64 {
    let routers = f64::from(routers.max(1));
    if quotas > 0.0 { (rate * routers / (quotas * RETRY_FACTOR)).clamp(1.0, routers) } else { 1.0 }
}

/// One router's share of a limit.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    /// Multiple of the initial value.
    factor: f64,
    routers: f64,
}

impl AdaptiveLimit {
    /// At its initial value, for one of `routers` routers.
    pub fn new(routers: u32) -> Self {
        AdaptiveLimit { factor: 1.0, routers: f64::from(routers.max(1)) }
    }

    /// What this router may have in flight if the limit of all routers starts at `initial`. `cost` is a request's size.
    /// Includes some allowance for random variation: one of a hundred routers has a share well under one request, but
    /// requests come whole.
    pub fn allowed(&self, initial: f64, cost: f64) -> f64 {
        let share = initial * self.factor / self.routers;
        share + ALLOWED_DEVIATIONS * (share * cost).sqrt()
    }

    /// Records an answer that came while `used` was in flight.
    pub fn record_answer(&mut self, late: bool, used: f64, initial: f64, cost: f64) {
        let step = (cost * self.routers / initial).min(MAX_STEP);
        if late {
            self.factor = (self.factor - step).max(MIN_FACTOR);
        } else if used > GROW_ABOVE_USE * self.allowed(initial, cost) {
            self.factor = (self.factor + GROWTH * step).min(MAX_FACTOR);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limit_falls_with_late_answers_and_grows_with_quick_ones_when_used() {
        let mut limit = AdaptiveLimit::new(2);
        let initial = limit.allowed(100.0, 1.0);
        limit.record_answer(false, 0.0, 100.0, 1.0);
        assert_eq!(limit.allowed(100.0, 1.0), initial, "not used");
        (0..20).for_each(|_| limit.record_answer(false, initial, 100.0, 1.0));
        assert!(limit.allowed(100.0, 1.0) > initial);
        (0..1_000).for_each(|_| limit.record_answer(true, initial, 100.0, 1.0));
        let floor = limit.allowed(100.0, 1.0);
        assert!(floor > 0.25 * initial && floor < 0.5 * initial);
        (0..1_000).for_each(|_| limit.record_answer(false, 1e9, 100.0, 1.0));
        assert!(limit.allowed(100.0, 1.0) < 5.0 * initial);
    }

    /// Uneven traffic at the highest total rate: the shares add up to at most twice the limit, and a router that gets
    /// most of the traffic has a large share.
    #[test]
    fn traffic_weights_follow_uneven_traffic_and_their_sum_is_bounded() {
        for routers in [3u32, 48, 350, 1_024] {
            let raw: Vec<f64> = (0..routers).map(|n| 1.0 / f64::from(n + 1)).collect();
            let (all, quotas) = (raw.iter().sum::<f64>(), 200.0);
            let weights =
                raw.iter().map(|r| traffic_weight(r / all * quotas * RETRY_FACTOR, quotas, routers));
            let sum = weights.clone().sum::<f64>();
            assert!(sum <= 2.0 * f64::from(routers), "{sum} for {routers}");
            let first = weights.max_by(f64::total_cmp).unwrap();
            assert!(routers < 48 || first > 5.0, "{first} of {routers}");
        }
        assert_eq!(traffic_weight(100.0, 0.0, 300), 1.0, "tenants have no quotas");
        assert_eq!(traffic_weight(1e9, 1.0, 7), 7.0);
    }

    #[test]
    fn one_answer_moves_the_limit_of_one_of_many_routers_by_a_quarter_at_most() {
        let mut limit = AdaptiveLimit::new(300);
        let before = limit.factor;
        limit.record_answer(true, 1.0, 20.0, 1.0);
        assert_eq!(before - limit.factor, MAX_STEP);
    }
}
