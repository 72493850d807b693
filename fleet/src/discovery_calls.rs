//! When a router calls for the list of servers. Discovery is one service for all routers and has a fixed capacity:
//! calls wait in turn there, one that waited too long is refused and has cost its turn all the same. So calls that
//! come faster than it can take them are all refused, for as long as they go on: routers that ask again soon never
//! get a list. No router sees the others' calls; each keeps to its part of a rate that holds for all together.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Routers that are refused ask so far apart, all together: 10 calls a second, whatever their number.
pub const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// First calls, all at once after a release, are this far apart in place of that: most fleets' discovery takes them.
pub const FIRST_CALL_INTERVAL: Duration = Duration::from_millis(30);
/// A router that asks later hears later, and a drain that it would have heard of counts as told: first calls are spread
/// over less than the 500 ms that the rule on drains leaves.
pub const MAX_FIRST_DELAY: Duration = Duration::from_millis(400);
/// However a call failed, a change counts as told so long after discovery had it and could be reached.
pub const NEWS_DEADLINE: Duration = Duration::from_secs(6);
/// A call that succeeds is answered in this time where discovery can take a call of each router within [`MAX_CALL_INTERVAL`]:
/// then hardly any wait in turn.
pub const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// So the next call begins this long after a failed one began, at the latest and however many routers there are: a
/// change that the failed one just missed is heard of within [`NEWS_DEADLINE`].
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4_500);
/// Wait after a call that cost discovery nothing: nobody was there. Doubles up to the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// A lone router that is refused still leaves discovery this long.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(3_000);

/// An empty line comes every 2 s while discovery is well. After so long without one the watch has fallen silent, as a
/// connection that died does, and is opened anew: what it misses counts as told [`NEWS_DEADLINE`] after that.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How long a call may take, and how long is waited before the next one.
#[derive(Clone, Copy, Debug)]
pub enum ListSource {
    /// The list is pushed to an agent on this machine, which answers at once and at no cost: a call that hangs is
    /// broken, and another one follows soon. What the agent has counts as told, also right after an outage.
    LocalAgent,
    /// Discovery serves many routers, and calls wait in turn: one given up early has cost its turn, and the next one
    /// waits behind it. Calls keep to a rate that holds for all routers.
    SharedService,
}

impl ListSource {
    /// The answer's head comes in this time.
    pub fn head_timeout(self) -> Duration {
        match self {
            ListSource::LocalAgent => Duration::from_millis(900),
            ListSource::SharedService => Duration::from_millis(3_600),
        }
    }

    /// A connection is up in this time; asking again costs nothing there.
    pub fn connect_timeout(self) -> Duration {
        self.head_timeout().min(Duration::from_millis(1_500))
    }

    /// The wait before the next call, of the one that [`CallPacer`] say. One that breaks off each time is not called in a
    /// loop; a drained server gets new work for less than 500 ms all the same.
    pub fn cap_delay(self, told: Duration) -> Duration {
        match self {
            ListSource::LocalAgent => told.min(Duration::from_millis(150)),
            ListSource::SharedService => told,
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It brought news or a sign of life; what broke off was a watch that had stood.
    WatchEnded,
    /// Discovery has too many to serve: it said so, or took the call and never told anything.
    Refused,
    /// Nobody was there, or what came was no answer.
    Unavailable,
}

/// The waits of one router between its calls.
#[derive(Debug)]
pub struct CallPacer {
    routers: u32,
    chance: Pcg64Mcg,
    wait: Duration,
    refused: bool,
}

impl CallPacer {
    /// One router of so many; `seed` is its only source of chance.
    pub fn new(routers: u32, seed: u64) -> Self {
        CallPacer {
            routers: routers.max(1),
            chance: Pcg64Mcg::seed_from_u64(seed),
            wait: MIN_BACKOFF,
            refused: false,
        }
    }

    /// Before the first call: routers that were started together do not call together. The list that a router is
    /// started with serves meanwhile.
    pub fn first_delay(&mut self) -> Duration {
        let all = (FIRST_CALL_INTERVAL * self.routers).min(MAX_FIRST_DELAY);
        all.mul_f64(self.chance.random())
    }

    /// Before the next call, after one that ended so and took so long.
    pub fn next_delay(&mut self, ended: CallEnd, took: Duration) -> Duration {
        // Waits after a refusal last for as long as all routers need for a call each at the rate that holds for all, as
        // far as there is time for that.
        let all = CALL_INTERVAL * self.routers;
        let before = std::mem::replace(&mut self.refused, ended == CallEnd::Refused);
        self.wait = match ended {
            CallEnd::WatchEnded => MIN_BACKOFF,
            CallEnd::Unavailable => (self.wait * 2).min(MAX_BACKOFF),
            CallEnd::Refused if before => (self.wait * 2).min(MAX_REFUSED_BACKOFF.max(all)),
            CallEnd::Refused => (self.wait * 2).min(MAX_REFUSED_BACKOFF).max(all / 2),
        };
        match ended {
            // A watch that stood may have ended for all routers at once.
            CallEnd::WatchEnded => self.wait + self.first_delay(),
            _ => self.spread(self.wait.min(MAX_CALL_INTERVAL.saturating_sub(took)).max(MIN_BACKOFF)),
        }
    }

    /// Discovery has another address: it is called at once, and refusals of the old one say nothing of it.
    pub fn reset(&mut self) {
        (self.wait, self.refused) = (MIN_BACKOFF, false);
    }

    /// Half to all of the wait.
    fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(0.5 + 0.5 * self.chance.random::<f64>())
    }
}
