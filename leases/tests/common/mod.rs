//! What the tests of leases share.

use fawnstream_leases::Terms;
use std::time::Duration;

/// The settings of most deployments.
pub const TERMS: Terms = Terms {
    within: Duration::from_millis(500),
    grace: Duration::from_millis(300),
    close_arrives_within: Duration::from_millis(60),
    at_once: 8,
    seed: 1,
};

/// So many milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
