//! The homes of a beginning: the servers that count as keeping it, in an order that all routers agree on.

use crate::math::{fraction, mix};

/// Of these servers, each with its weight, so many that are first in the rendezvous order of a beginning. One pass.
pub fn rendezvous(key: u64, among: impl Iterator<Item = (u64, f64)>, most: usize) -> Vec<u64> {
    let wait = |(id, weight): (u64, f64)| (-fraction(mix(key) ^ id).ln() / weight, id);
    let mut order: Vec<(f64, u64)> = among.map(wait).collect();
    if most < order.len() {
        order.select_nth_unstable_by(most, |a, b| a.0.total_cmp(&b.0));
        order.truncate(most);
    }
    order.into_iter().map(|(_, id)| id).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn homes_stay_as_they_are_when_others_come_and_go_and_follow_the_weights() {
        let servers = |most: u64| (0..most).map(|n| (mix(n + 1), if n % 2 == 0 { 1.0 } else { 0.5 }));
        let (mut kept, mut heavy) = (0, 0);
        for key in 0..1_000 {
            let (few, more) = (rendezvous(key, servers(40), 3), rendezvous(key, servers(41), 3));
            assert_eq!(few.len(), 3);
            kept += few.iter().filter(|id| more.contains(id)).count();
            heavy += few.iter().filter(|id| (0..40).step_by(2).any(|n| mix(n + 1) == **id)).count();
        }
        assert!(kept > 2_850, "{kept} of 3,000 stayed");
        assert!((1_900..2_100).contains(&heavy), "{heavy} of 3,000, two thirds by weight");
        assert_eq!(rendezvous(1, servers(2), 9).len(), 2);
        assert!(rendezvous(1, servers(0), 9).is_empty());
    }
}
