//! What one router may send to one cold server.

use fawnstream_fleet::{ServerAllowance, SlowStart};

const COLD: SlowStart = SlowStart { initial_share: 0.3, warmup_secs: 10.0, overload_multiple: 2.5 };

/// How many of so many requests a router that wants to send all of them to one cold server may send there.
fn allowed(requests: u32, chance: f64) -> u32 {
    let part = COLD.max_share(0.3, 10);
    let mut allowance = ServerAllowance::new(chance, 0.0);
    let mut count = 0;
    for sent in 0..requests {
        if allowance.allows(f64::from(sent), part) {
            allowance.spend(f64::from(sent), part);
            count += 1;
        }
    }
    count
}

#[test]
fn a_router_sends_a_cold_server_its_part_and_two_more_at_most() {
    assert_eq!(COLD.max_share(0.3, 10), 0.075);
    for requests in [10u32, 100, 1_000] {
        let part = (f64::from(requests) * 0.075) as u32;
        for chance in [0.0, 0.5, 1.0] {
            let count = allowed(requests, chance);
            assert!((part..=part + 2).contains(&count), "{count} of {requests}, the part is {part}");
        }
    }
}

#[test]
fn what_is_not_used_does_not_pile_up() {
    let mut allowance = ServerAllowance::new(0.0, 0.0);
    let at_once = (0..10).filter(|_| {
        let allows = allowance.allows(1e6, 0.075);
        allowance.spend(1e6, 0.075);
        allows
    });
    assert_eq!(at_once.count(), 2);
}

#[test]
fn a_part_is_never_more_than_all() {
    assert_eq!(COLD.max_share(1.0, 1), 1.0);
    assert_eq!(COLD.max_share(0.3, 0), 0.75);
}
