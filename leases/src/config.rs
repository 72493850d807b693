//! What the settings and the protocol say of leases, and the times that follow from it.

use std::time::Duration;

/// A round of releases has this part of the settings' limit; the next one asks twice as many servers.
const ROUND_PART: u32 = 5;
/// So many rounds fit between the time at which a release begins and the rule's: one server of seven answers.
pub(crate) const ROUNDS: u32 = 3;

/// What the settings and the protocol say.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// What is held with no attempt out is taken or released in this time ...
    pub release_within: Duration,
    /// ... or so much more, on sockets; releases have this time.
    pub grace: Duration,
    /// The close of a connection has arrived at its server after this time, where nothing is cut off.
    pub close_arrives_within: Duration,
    /// Releases under way at once.
    pub max_concurrent_releases: usize,
    /// The only source of chance: routers that draw alike would all ask the same servers.
    pub seed: u64,
}

impl LeaseConfig {
    /// A release that got no answer in this time has failed: servers answer at once.
    pub fn release_timeout(&self) -> Duration {
        self.round() * 3 / 2
    }

    /// What is held with no attempt out is released in this time, or late.
    pub fn release_time_limit(&self) -> Duration {
        self.release_within + self.grace
    }

    pub(crate) fn round(&self) -> Duration {
        self.release_within / ROUND_PART
    }

    /// For how long a state may stand, as far as is known here, with nobody waiting for it; then its release begins.
    pub(crate) fn unattended_limit(&self) -> Duration {
        let rounds = self.round() * ROUNDS;
        self.release_within.min((self.release_within + self.grace).saturating_sub(rounds))
    }

    /// A server has noticed the end of an attempt after this time, or is in doubt by then.
    pub(crate) fn end_noticed_within(&self) -> Duration {
        self.unattended_limit() * 3 / 4
    }

    /// A release that may have been made in vain, with no attempt out, is repeated after this time: by then the end of an
    /// attempt has been noticed, and rounds of releases have more time left than where a state may still be wanted.
    pub(crate) fn repeat_delay(&self) -> Duration {
        self.end_noticed_within()
    }
}
