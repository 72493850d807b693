//! The release calls in flight: how many in all and per server, and which servers to ask next.

use crate::action::LateReason;
use crate::config::ROUNDS_WITHIN_LIMIT;
use crate::lease::{DOUBT_THRESHOLD, Lease, ReleaseCall};
use fawnstream_fleet::math::mix;
use fawnstream_fleet::reachability::Reachability;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of servers asked in one round; one once the lease has been reported late.
const MAX_SERVERS_PER_ROUND: usize = 4;
/// Maximum number of servers asked in one round if a release was answered since the last attempt ended.
const MAX_SERVERS_PER_REPEAT_ROUND: usize = 2;
/// Maximum number of random picks for one call until a server with room for it is found.
const MAX_PICKS_PER_CALL: usize = 16;
/// Maximum number of release calls in flight at one server. Releases of further requests whose states are
/// held there go through other servers, which pass them on.
const MAX_CALLS_PER_SERVER: usize = 4;
/// Bound on the shift by the round number against overflow; `MAX_SERVERS_PER_ROUND` applies long before.
const MAX_SHIFT: u32 = 8;

/// All release calls in flight.
#[derive(Debug)]
pub(crate) struct ReleaseCalls {
    max_in_flight: usize,
    seed: u64,
    in_flight: usize,
    per_server: HashMap<u64, usize>,
}

impl ReleaseCalls {
    pub fn new(max_in_flight: usize, seed: u64) -> Self {
        ReleaseCalls { max_in_flight, seed, in_flight: 0, per_server: HashMap::new() }
    }

    pub fn has_room(&self) -> bool {
        self.in_flight < self.max_in_flight
    }

    /// A release call at this server has ended.
    pub fn call_ended(&mut self, server: u64) {
        self.in_flight -= 1;
        if let Some(count) = self.per_server.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.per_server.remove(&server);
            }
        }
    }

    /// Chooses the servers to ask in the next round of a lease, and records the calls here and in the lease.
    pub fn choose_servers<L>(
        &mut self,
        request: u64,
        lease: &mut Lease<L>,
        now: Duration,
        reach: &Reachability,
    ) -> Vec<u64> {
        lease.record_heard(reach);
        let round = lease.round;
        let wanted = match (lease.late_reported, lease.was_released_since_end()) {
            (true, _) => 1,
            // This is only a precaution: states that no server has released yet need the connections more.
            (false, true) => (1 << round.min(MAX_SHIFT)).min(MAX_SERVERS_PER_REPEAT_ROUND),
            (false, false) => (1 << round.min(MAX_SHIFT)).min(MAX_SERVERS_PER_ROUND),
        };
        lease.round += 1;
        let mut chosen = Vec::new();
        while chosen.len() < wanted && self.has_room() {
            let first = chosen.is_empty();
            let Some(server) = self.choose_server(request, lease, round, first, now, reach) else {
                if lease.asked.is_empty() && lease.calls.is_empty() {
                    lease.late_reason = LateReason::NoServer;
                }
                // All servers have been asked; the next round starts over.
                if first {
                    lease.asked.clear();
                }
                break;
            };
            lease.asked.push(server);
            lease.calls.push(ReleaseCall { server, sent_at: now, attempt_ended_since: false });
            *self.per_server.entry(server).or_default() += 1;
            self.in_flight += 1;
            chosen.push(server);
        }
        chosen
    }

    /// Chooses a server that is not known to have run since an attempt there ended, or the reader, if they
    /// seem reachable; otherwise another server that has not been asked in this release.
    fn choose_server<L>(
        &self,
        request: u64,
        lease: &Lease<L>,
        round: u32,
        first: bool,
        now: Duration,
        reach: &Reachability,
    ) -> Option<u64> {
        let mut excluded = lease.asked.clone();
        excluded.extend(lease.calls.iter().map(|call| call.server));
        let reader = Some(lease.reader).filter(|reader| !excluded.contains(reader));
        let is_candidate = |server: &u64| {
            !excluded.contains(server)
                && !self.is_busy(*server)
                && reach.doubt(*server, now) <= DOUBT_THRESHOLD
        };
        if let Some(first) =
            lease.server_not_known_to_run().into_iter().chain([lease.reader]).find(is_candidate)
        {
            return Some(first);
        }
        // The last round within the time limit starts with the server that was reached most recently, since
        // unanswered calls may have left little room for more.
        if first && round + 1 >= ROUNDS_WITHIN_LIMIT {
            let last_reached = reach.last_reached(&excluded).filter(|server| !self.is_busy(*server));
            if last_reached.is_some() {
                return last_reached;
            }
        }
        for _ in 0..MAX_PICKS_PER_CALL {
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
        self.per_server.get(&server).is_some_and(|calls| *calls >= MAX_CALLS_PER_SERVER)
    }
}
