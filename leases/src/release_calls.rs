//! Releases that are under way: how many at once, and at which servers.

use crate::action::LateReason;
use crate::config::ROUNDS;
use crate::lease::{Call, DOUBTED, Lease};
use fawnstream_fleet::chance::mix;
use fawnstream_fleet::reach::Reach;
use std::collections::HashMap;
use std::time::Duration;

/// Servers asked in one round at most; past the limit it is one.
const MOST_A_ROUND: usize = 4;
/// The same where a release has been answered since the last attempt ended.
const MOST_A_ROUND_AGAIN: usize = 2;
/// Servers drawn for one call at most, until one has room for it.
const MOST_DRAWN: usize = 16;
/// Releases under way at one server at most: more requests that are held there are passed on by others.
const MOST_AT_ONE: usize = 4;
/// Rounds do not double beyond this.
const MOST_DOUBLINGS: u32 = 8;

/// All releases under way.
#[derive(Debug)]
pub(crate) struct ReleaseCalls {
    most: usize,
    seed: u64,
    under_way: usize,
    at_server: HashMap<u64, usize>,
}

impl ReleaseCalls {
    pub fn new(most: usize, seed: u64) -> Self {
        ReleaseCalls { most, seed, under_way: 0, at_server: HashMap::new() }
    }

    pub fn has_room(&self) -> bool {
        self.under_way < self.most
    }

    /// A release at this server has ended.
    pub fn ended(&mut self, server: u64) {
        self.under_way -= 1;
        if let Some(count) = self.at_server.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.at_server.remove(&server);
            }
        }
    }

    /// Whom to ask in a lease's next round: the calls are noted here and there.
    pub fn choose_round<L>(
        &mut self,
        request: u64,
        lease: &mut Lease<L>,
        now: Duration,
        reach: &Reach,
    ) -> Vec<u64> {
        lease.note_heard(reach);
        let round = lease.round;
        let wanted = match (lease.late_reported, lease.was_released_since_end()) {
            (true, _) => 1,
            // It is made again in case: what nobody has released yet needs the connections more.
            (false, true) => (1 << round.min(MOST_DOUBLINGS)).min(MOST_A_ROUND_AGAIN),
            (false, false) => (1 << round.min(MOST_DOUBLINGS)).min(MOST_A_ROUND),
        };
        lease.round += 1;
        let mut chosen = Vec::new();
        while chosen.len() < wanted && self.has_room() {
            let first = chosen.is_empty();
            let Some(server) = self.choose(request, lease, round, first, now, reach) else {
                if lease.asked.is_empty() && lease.calls.is_empty() {
                    lease.late_reason = LateReason::NoServer;
                }
                // All have been asked: from the beginning, in the next round.
                if first {
                    lease.asked.clear();
                }
                break;
            };
            lease.asked.push(server);
            lease.calls.push(Call { server, sent_at: now, crossed_end: false });
            *self.at_server.entry(server).or_default() += 1;
            self.under_way += 1;
            chosen.push(server);
        }
        chosen
    }

    /// A server that is not known to have run since an attempt there ended, or the reader, if they are believed in reach; else
    /// another server that has not been asked in this release.
    fn choose<L>(
        &self,
        request: u64,
        lease: &Lease<L>,
        round: u32,
        first: bool,
        now: Duration,
        reach: &Reach,
    ) -> Option<u64> {
        let mut excluded = lease.asked.clone();
        excluded.extend(lease.calls.iter().map(|call| call.server));
        let reader = Some(lease.reader).filter(|reader| !excluded.contains(reader));
        let is_open = |server: &u64| {
            !excluded.contains(server) && !self.is_busy(*server) && reach.doubt(*server, now) <= DOUBTED
        };
        if let Some(first) = lease.not_known_to_run().into_iter().chain([lease.reader]).find(is_open) {
            return Some(first);
        }
        // The last round in time begins with who is known to answer: calls that nobody answers may have left few.
        if first && round + 1 >= ROUNDS {
            let known = reach.answered_last(&excluded).filter(|known| !self.is_busy(*known));
            if known.is_some() {
                return known;
            }
        }
        for _ in 0..MOST_DRAWN {
            let draw = mix(self.seed ^ request ^ mix(u64::from(round) ^ ((excluded.len() as u64) << 32)));
            let Some(picked) = reach.pick(draw, now, &excluded) else { break };
            if !self.is_busy(picked) {
                return Some(picked);
            }
            excluded.push(picked);
        }
        reader
    }

    fn is_busy(&self, server: u64) -> bool {
        self.at_server.get(&server).is_some_and(|calls| *calls >= MOST_AT_ONE)
    }
}
