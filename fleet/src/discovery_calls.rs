//! When a router calls discovery for the list of servers. Discovery is one service with a fixed capacity for all
//! routers. It queues calls and refuses those that waited too long, after they have used up their turn. If calls keep
//! coming faster than it can serve them, all of them are refused and routers that retry soon never get a list. Routers
//! do not see each other's calls, so each one keeps to its share of a common rate.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Target time between retries of all refused routers together: 10 calls a second, whatever their number.
pub const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Target time between the first calls of all routers, which start at once after a rollout. Most discovery services can
/// take this rate.
pub const FIRST_CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Longest delay of a first call. A draining server must get no new requests from 500 ms after its announcement, even
/// if this router has not called yet.
pub const MAX_FIRST_DELAY: Duration = Duration::from_millis(400);
/// A change counts as known to the router this long after discovery had it and was reachable, even if calls failed.
pub const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// A successful call is answered within this time if discovery can serve every router once per [`MAX_CALL_INTERVAL`]:
/// then hardly any call is queued.
pub const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Longest time from the start of a failed call to the start of the next, for any number of routers, so that a change
/// which the failed call just missed arrives within [`MAX_CHANGE_DELAY`].
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4_500);
/// Backoff after a call that cost discovery nothing because nobody answered. Doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff while discovery cannot be reached.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest backoff of a refused router when there are few: even a lone router gives discovery this much time.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(3_000);

/// A healthy discovery service sends an empty line every 2 s. A watch without one for this long is taken for dead and
/// is opened anew; changes it missed count as known [`MAX_CHANGE_DELAY`] after that.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Where the list comes from, which decides the timeouts and the delays between calls.
#[derive(Clone, Copy, Debug)]
pub enum ListSource {
    /// The list is pushed to an agent on this machine, which answers at once and at no cost: a call that hangs is
    /// broken and is soon repeated. Whatever the agent has counts as known, also right after an outage.
    LocalAgent,
    /// Discovery serves many routers and queues calls. A call given up early has used its turn, and the next one
    /// queues behind it, so calls keep to the common rate.
    SharedService,
}

impl ListSource {
    /// Timeout for the head of the answer.
    pub fn head_timeout(self) -> Duration {
        match self {
            ListSource::LocalAgent => Duration::from_millis(900),
            ListSource::SharedService => Duration::from_millis(3_600),
        }
    }

    /// Timeout for the connection; discovery pays nothing for another attempt at that stage.
    pub fn connect_timeout(self) -> Duration {
        self.head_timeout().min(Duration::from_millis(1_500))
    }

    /// The delay before the next call, from the delay that [`CallPacer`] gives. A local agent is asked so soon again
    /// that a drained server gets new work for less than 500 ms, but not in a busy loop if each call breaks off.
    pub fn cap_delay(self, delay: Duration) -> Duration {
        match self {
            ListSource::LocalAgent => delay.min(Duration::from_millis(150)),
            ListSource::SharedService => delay,
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// An established watch broke off, after news or a sign of life had come.
    WatchEnded,
    /// Discovery is overloaded: it said so, or accepted the call and sent nothing.
    Refused,
    /// Discovery could not be reached, or what came was not a valid answer.
    Unavailable,
}

/// Computes the delays between the calls of one router.
#[derive(Debug)]
pub struct CallPacer {
    routers: u32,
    rng: Pcg64Mcg,
    backoff: Duration,
    /// The last call was refused.
    refused: bool,
}

impl CallPacer {
    /// For one of `routers` routers; all randomness comes from `seed`.
    pub fn new(routers: u32, seed: u64) -> Self {
        CallPacer {
            routers: routers.max(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            backoff: MIN_BACKOFF,
            refused: false,
        }
    }

    /// The delay before the first call, so that routers started together do not call together. Until then the router
    /// uses the list it was started with.
    pub fn first_delay(&mut self) -> Duration {
        let longest = (FIRST_CALL_INTERVAL * self.routers).min(MAX_FIRST_DELAY);
        longest.mul_f64(self.rng.random())
    }

    /// The delay before the next call, after one that ended as `ended` and lasted `took`.
    pub fn next_delay(&mut self, ended: CallEnd, took: Duration) -> Duration {
        // After a refusal the backoff lasts for one round of calls of all routers at the common rate, as far as
        // MAX_CALL_INTERVAL leaves time for that.
        let round = CALL_INTERVAL * self.routers;
        let refused_before = std::mem::replace(&mut self.refused, ended == CallEnd::Refused);
        self.backoff = match ended {
            CallEnd::WatchEnded => MIN_BACKOFF,
            CallEnd::Unavailable => (self.backoff * 2).min(MAX_BACKOFF),
            CallEnd::Refused if refused_before => (self.backoff * 2).min(MAX_REFUSED_BACKOFF.max(round)),
            CallEnd::Refused => (self.backoff * 2).min(MAX_REFUSED_BACKOFF).max(round / 2),
        };
        match ended {
            // Watches of all routers may have ended at once.
            CallEnd::WatchEnded => self.backoff + self.first_delay(),
            _ => self.jitter(self.backoff.min(MAX_CALL_INTERVAL.saturating_sub(took)).max(MIN_BACKOFF)),
        }
    }

    /// Discovery has a new address: it is called at once, and earlier refusals do not count for it.
    pub fn reset(&mut self) {
        (self.backoff, self.refused) = (MIN_BACKOFF, false);
    }

    /// A random delay between half of `delay` and all of it.
    fn jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(0.5 + 0.5 * self.rng.random::<f64>())
    }
}
