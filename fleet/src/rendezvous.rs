//! Weighted rendezvous hashing: all routers choose the same home servers for a prompt prefix.

use crate::math::{fraction, mix};

/// The first `count` servers in the rendezvous order of `key`; each server comes with its weight. Takes one pass.
pub fn rendezvous(key: u64, servers: impl Iterator<Item = (u64, f64)>, count: usize) -> Vec<u64> {
    let rank = |(id, weight): (u64, f64)| (-fraction(mix(key) ^ id).ln() / weight, id);
    let mut order: Vec<(f64, u64)> = servers.map(rank).collect();
    if count < order.len() {
        order.select_nth_unstable_by(count, |a, b| a.0.total_cmp(&b.0));
        order.truncate(count);
    }
    order.into_iter().map(|(_, id)| id).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn choice_is_stable_when_servers_change_and_follows_weights() {
        let servers = |count: u64| (0..count).map(|n| (mix(n + 1), if n % 2 == 0 { 1.0 } else { 0.5 }));
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
