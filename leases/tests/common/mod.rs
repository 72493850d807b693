//! Helpers shared by the lease tests.

use fawnstream_leases::LeaseConfig;
use std::time::Duration;

/// The settings of most deployments.
pub const CONFIG: LeaseConfig = LeaseConfig {
    release_within: Duration::from_millis(500),
    grace: Duration::from_millis(300),
    close_arrives_within: Duration::from_millis(60),
    max_concurrent_releases: 8,
    seed: 1,
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
