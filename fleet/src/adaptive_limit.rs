//! A limit at the gate that follows the answers: it falls where they are late, and grows where they are quick and it is
//! nearly used up. Each router has its part of a limit whose start is told for all of them.

/// No limit grows past this multiple of its start ...
const MAX_FACTOR: f64 = 4.0;
/// ... and none falls below this share of it, so that recovery is seen.
const MIN_FACTOR: f64 = 0.3;
/// It falls by a request for each late one and grows by this part of one for each quick one; so idle and busy routers
/// settle at the same share of late ones.
const GROWTH: f64 = 0.5;
/// It grows only where this share of it is in use.
const GROW_ABOVE: f64 = 0.7;
/// Chance puts more at one router than its even part: so many deviations are allowed for.
const DEVIATIONS: f64 = 2.0;
/// One answer of the few that one of many routers has moves it by this share of its start at most: the weight of a
/// sample where there are few.
const MAX_STEP: f64 = 0.25;

/// When all routers are overloaded, clients try again: so many times the customers' shares come to each alike.
const RETRY_FACTOR: f64 = 2.5;

/// How many routers' even part one router has to do, one at least, from the requests a second that come to it and the
/// customers' shares together: traffic is uneven, and one that gets twenty times the mean would refuse most of it.
/// The parts of all come to twice the limit at most, however uneven the traffic, while all requests together are no more
/// than that many times the shares.
pub fn traffic_weight(rate: f64, shares: f64, routers: u32) -> f64 {
    let routers = f64::from(routers.max(1));
    if shares > 0.0 { (rate * routers / (shares * RETRY_FACTOR)).clamp(1.0, routers) } else { 1.0 }
}

/// One router's part of a limit.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    /// As a multiple of its start.
    factor: f64,
    routers: f64,
}

impl AdaptiveLimit {
    /// At its start, for one of so many routers.
    pub fn new(routers: u32) -> Self {
        AdaptiveLimit { factor: 1.0, routers: f64::from(routers.max(1)) }
    }

    /// What this router may have out, of a limit that starts so for all routers, with some allowance for chance: the
    /// part of a hundredth is well under one request, while requests come whole. `one`: the size of a request.
    pub fn allowed(&self, start: f64, one: f64) -> f64 {
        let part = start * self.factor / self.routers;
        part + DEVIATIONS * (part * one).sqrt()
    }

    /// An answer came, late or not, while so much was out.
    pub fn record_answer(&mut self, late: bool, used: f64, start: f64, one: f64) {
        let step = (one * self.routers / start).min(MAX_STEP);
        if late {
            self.factor = (self.factor - step).max(MIN_FACTOR);
        } else if used > GROW_ABOVE * self.allowed(start, one) {
            self.factor = (self.factor + GROWTH * step).min(MAX_FACTOR);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn late_answers_shrink_it_to_its_floor_and_quick_ones_let_it_grow_where_it_is_used() {
        let mut limit = AdaptiveLimit::new(2);
        let start = limit.allowed(100.0, 1.0);
        limit.record_answer(false, 0.0, 100.0, 1.0);
        assert_eq!(limit.allowed(100.0, 1.0), start, "not used");
        (0..20).for_each(|_| limit.record_answer(false, start, 100.0, 1.0));
        assert!(limit.allowed(100.0, 1.0) > start);
        (0..1_000).for_each(|_| limit.record_answer(true, start, 100.0, 1.0));
        let floor = limit.allowed(100.0, 1.0);
        assert!(floor > 0.25 * start && floor < 0.5 * start);
        (0..1_000).for_each(|_| limit.record_answer(false, 1e9, 100.0, 1.0));
        assert!(limit.allowed(100.0, 1.0) < 5.0 * start);
    }

    /// Uneven traffic of as much as all are ever asked for: the parts come to twice the limit at most, and a router
    /// that gets most of it has its part.
    #[test]
    fn parts_follow_uneven_traffic_and_their_sum_stays_bounded() {
        for routers in [3u32, 48, 350, 1_024] {
            let raw: Vec<f64> = (0..routers).map(|n| 1.0 / f64::from(n + 1)).collect();
            let (all, shares) = (raw.iter().sum::<f64>(), 200.0);
            let weights =
                raw.iter().map(|r| traffic_weight(r / all * shares * RETRY_FACTOR, shares, routers));
            let sum = weights.clone().sum::<f64>();
            assert!(sum <= 2.0 * f64::from(routers), "{sum} for {routers}");
            let first = weights.max_by(f64::total_cmp).unwrap();
            assert!(routers < 48 || first > 5.0, "{first} of {routers}");
        }
        assert_eq!(traffic_weight(100.0, 0.0, 300), 1.0, "no shares are told");
        assert_eq!(traffic_weight(1e9, 1.0, 7), 7.0);
    }

    #[test]
    fn one_answer_moves_one_of_many_routers_by_a_quarter_at_most() {
        let mut limit = AdaptiveLimit::new(300);
        let before = limit.factor;
        limit.record_answer(true, 1.0, 20.0, 1.0);
        assert_eq!(before - limit.factor, MAX_STEP);
    }
}
