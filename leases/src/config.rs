//! Settings and protocol limits for leases, and the intervals that follow from them.

use std::time::Duration;

/// The interval between two rounds of releases is `release_within` divided by this. Each round asks twice as
/// many servers as the one before.
const ROUND_DIVISOR: u32 = 5;
/// Rounds that fit between the start of a release and the time limit. They ask 1 + 2 + 4 = 7 servers, so a
/// release succeeds in time if one server of seven answers.
pub(crate) const ROUNDS_WITHIN_LIMIT: u32 = 3;

/// Settings and protocol limits for leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// A state that no attempt is waiting for is fetched or released within this time.
    pub release_within: Duration,
    /// Time allowed on top of `release_within` for the release calls over the network.
    pub grace: Duration,
    /// Time after which the close of a connection has arrived at its server, unless the two are cut off from
    /// each other.
    pub close_arrives_within: Duration,
    /// Maximum number of release calls in flight.
    pub max_concurrent_releases: usize,
    /// Seed of the only source of randomness. It differs between routers, which would otherwise all ask the
    /// same servers.
    pub seed: u64,
}

impl LeaseConfig {
    /// A release call without an answer in this time has failed: servers answer releases at once.
    pub fn release_timeout(&self) -> Duration {
        self.round_interval() * 3 / 2
    }

    /// Time within which a state that no attempt waits for must be released; after that it counts as late.
    pub fn release_time_limit(&self) -> Duration {
        self.release_within + self.grace
    }

    pub(crate) fn round_interval(&self) -> Duration {
        self.release_within / ROUND_DIVISOR
    }

    /// How long a state may be held, as far as is known here, without an attempt waiting for it; then its
    /// release begins.
    pub(crate) fn unattended_limit(&self) -> Duration {
        let rounds = self.round_interval() * ROUNDS_WITHIN_LIMIT;
        self.release_within.min((self.release_within + self.grace).saturating_sub(rounds))
    }

    /// Time after which a server has either noticed the end of an attempt or is considered possibly
    /// unreachable.
    pub(crate) fn notice_limit(&self) -> Duration {
        self.unattended_limit() * 3 / 4
    }

    /// Delay before a release that may have had no effect is repeated while no attempt is in flight. By then
    /// the end of an attempt has been noticed, and rounds of releases have more time left than after
    /// [`Self::unattended_limit`], which applies while the state may still be needed.
    pub(crate) fn repeat_delay(&self) -> Duration {
        self.notice_limit()
    }
}
