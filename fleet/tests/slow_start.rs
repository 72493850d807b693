//! Requests that one router may send to one cold server.

use fawnstream_fleet::{ServerAllowance, SlowStart};

const COLD: SlowStart = SlowStart { initial_share: 0.3, warmup_secs: 10.0, overload_multiple: 2.5 };

/// How many of `requests` a router may send to one cold server if it wants to send all of them there.
fn allowed(requests: u32, random: f64) -> u32 {
    let share = COLD.max_share(0.3, 10);
    let mut allowance = ServerAllowance::new(random, 0.0);
    let mut count = 0;
    for sent in 0..requests {
        if allowance.allows(f64::from(sent), share) {
            allowance.spend(f64::from(sent), share);
            count += 1;
        }
    }
    count
}

#[test]
fn router_sends_cold_server_its_share_and_at_most_two_more() {
    assert_eq!(COLD.max_share(0.3, 10), 0.075);
    for requests in [10u32, 100, 1_000] {
        let share = (f64::from(requests) * 0.075) as u32;
        for random in [0.0, 0.5, 1.0] {
            let count = allowed(requests, random);
            assert!((share..=share + 2).contains(&count), "{count} of {requests}, the share is {share}");
        }
    }
}

#[test]
fn unused_allowance_does_not_accumulate() {
    let mut allowance = ServerAllowance::new(0.0, 0.0);
    let at_once = (0..10).filter(|_| {
        let allows = allowance.allows(1e6, 0.075);
        allowance.spend(1e6, 0.075);
        allows
    });
    assert_eq!(at_once.count(), 2);
}

#[test]
fn max_share_is_at_most_one() {
    assert_eq!(COLD.max_share(1.0, 1), 1.0);
    assert_eq!(COLD.max_share(0.3, 0), 0.75);
}
