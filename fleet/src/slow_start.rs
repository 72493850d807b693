//! Slow start: which cold servers a request may use, and how often one router sends there. A server that has just
//! started can do little and is overloaded when all routers together send it more than a multiple of that. No router
//! sees what the others send.
//!
//! Two bounds keep the sum in check. First, a request draws servers: only the first few in a rendezvous order weighted
//! by warmth, the same at all routers, are eligible for it. So a cold server gets its share of all requests times the
//! number of draws. Second, each router has a [`ColdBucket`] per role, a token bucket that fills at its share of what
//! all cold servers of the role may be sent together; it holds the bound where most remaining servers are cold.
//! A bucket per server would not do: of a hundred routers with one request a second each, the one that has a request
//! hardly ever has a token for the server that it needs.

use crate::math::{fraction, mix};

/// Share of a cold server's budget that is used, because the capacity of warm servers is an estimate.
pub const BUDGET_USE: f64 = 0.8;
/// From this many draws on, a drawn cold server needs no token. A request uses one of the servers that it draws, so on
/// average a cold server gets [`BUDGET_USE`] / draws of its budget; the rest absorbs random variation and popular
/// prefixes.
pub const MIN_DRAWS_WITHOUT_TOKEN: f64 = 1.5;
/// All routers together may send a cold server at least this many requests while it warms up: before any answer the
/// estimated rate is 0, and some router has to send the first request.
pub const MIN_WARMUP_REQUESTS: f64 = 3.0;
/// One router sends a cold server at most this many requests at once.
const MAX_BURST: f64 = 2.0;

/// Slow start parameters, the same for all servers.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a server has at least when it starts; above 0, at most 1.
    pub initial_share: f64,
    /// A server is warm after this many seconds at the latest.
    pub warmup_secs: f64,
    /// A server is overloaded when it is sent more than this multiple of its current capacity.
    pub overload_multiple: f64,
}

impl SlowStart {
    /// The least capacity of a server of this age (seconds), as a share of its capacity when warm.
    pub fn warmth(&self, age: f64) -> f64 {
        let progress = if self.warmup_secs > 0.0 { (age / self.warmup_secs).clamp(0.0, 1.0) } else { 1.0 };
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// For each server (its hash and warmth) whether a request with this key may use it. Warm servers always
    /// may; a cold one may if it is drawn and, where few are drawn, `has_token` is true. There is at least one draw,
    /// and each draw takes one pass over `servers`.
    pub fn eligible(&self, key: u64, servers: &[(u64, f64)], has_token: bool) -> Vec<bool> {
        let mut eligible: Vec<bool> = servers.iter().map(|(_, warmth)| *warmth >= 1.0).collect();
        let mean = servers.iter().map(|(_, warmth)| warmth).sum::<f64>() / servers.len().max(1) as f64;
        let draws = (BUDGET_USE * self.overload_multiple * mean).clamp(1.0, servers.len().max(1) as f64);
        if eligible.iter().all(|warm| *warm) || (!has_token && draws < MIN_DRAWS_WITHOUT_TOKEN) {
            return eligible;
        }
        let draws = (draws + fraction(key)) as usize;
        // Weighted rendezvous hashing: servers with the lowest rank are drawn first.
        let rank = |(hash, warmth): &(u64, f64)| -fraction(mix(key) ^ hash).ln() / warmth;
        let mut last = f64::NEG_INFINITY;
        for _ in 0..draws.min(servers.len()) {
            let next = servers.iter().enumerate().map(|(index, server)| (index, rank(server)));
            let next = next.filter(|(_, rank)| *rank > last).min_by(|a, b| a.1.total_cmp(&b.1));
            let Some((index, rank)) = next else { break };
            (eligible[index], last) = (true, rank);
        }
        eligible
    }

    /// The largest share of all requests to a role with `servers` servers that one server of this warmth may get.
    pub fn max_share(&self, warmth: f64, servers: usize) -> f64 {
        (self.overload_multiple * warmth / servers.max(1) as f64).min(1.0)
    }

    /// Requests a second that all routers together may send to a server of this warmth, if a warm one answers `rate`
    /// a second.
    pub fn rate_limit(&self, warmth: f64, rate: f64) -> f64 {
        (rate * warmth * self.overload_multiple * BUDGET_USE)
            .max(MIN_WARMUP_REQUESTS / self.warmup_secs.max(1.0))
    }
}

/// Limits what one router sends to one cold server to a share of what it sends to the role. The limits of all routers
/// add up to that share of all requests, however unevenly requests arrive. It restricts routers with many requests; the
/// first requests of routers with few are free, and [`SlowStart::eligible`] bounds their sum.
#[derive(Clone, Copy, Debug)]
pub struct ServerAllowance {
    tokens: f64,
    /// Requests that this router had sent to the role when `tokens` was last updated.
    sent: f64,
}

impl ServerAllowance {
    /// For a server that has just started. `random` is from 0 to 1, `sent` is what this router has sent to the role.
    pub fn new(random: f64, sent: f64) -> Self {
        ServerAllowance { tokens: MAX_BURST - 1.0 + random, sent }
    }

    /// Whether the server may get one more request, if `share` of what the router sends to the role is allowed.
    pub fn allows(&self, sent: f64, share: f64) -> bool {
        self.tokens(sent, share) >= 1.0
    }

    /// Counts one request that is sent to the server.
    pub fn spend(&mut self, sent: f64, share: f64) {
        (self.tokens, self.sent) = ((self.tokens(sent, share) - 1.0).max(0.0), sent);
    }

    fn tokens(&self, sent: f64, share: f64) -> f64 {
        (self.tokens + (sent - self.sent).max(0.0) * share).min(MAX_BURST)
    }
}

/// The share of servers that started after `start`; `starts` has the start times of all of them in ascending order.
pub fn younger_share<T: Ord>(starts: &[T], start: &T) -> f64 {
    let younger = starts.len() - starts.partition_point(|other| other <= start);
    younger as f64 / starts.len().max(1) as f64
}

/// Token bucket of one router for all cold servers of a role. A full bucket holds at least one token, so that a router
/// that seldom draws a cold server can send it a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdBucket {
    tokens: f64,
    /// When `tokens` was last updated, in seconds.
    at: f64,
}

impl ColdBucket {
    /// Tokens in the bucket now (seconds), one per request, if all routers together may send `rate` a second.
    pub fn tokens(&self, now: f64, rate: f64, routers: u32) -> f64 {
        (self.tokens + (now - self.at).max(0.0) * rate / f64::from(routers.max(1)))
            .min(capacity(rate, routers))
    }

    /// Takes the token for one request.
    pub fn spend(&mut self, now: f64, rate: f64, routers: u32) {
        (self.tokens, self.at) = ((self.tokens(now, rate, routers) - 1.0).max(0.0), now);
    }
}

/// One token, or what a router may send in half a second if that is more.
fn capacity(rate: f64, routers: u32) -> f64 {
    (rate / f64::from(routers.max(1)) / 2.0).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: SlowStart = SlowStart { initial_share: 0.32, warmup_secs: 14.0, overload_multiple: 4.0 };

    /// 18 warm servers and two cold ones: how many of 20,000 keys draw each cold one.
    #[test]
    fn cold_server_gets_its_share_times_the_draws() {
        let servers: Vec<(u64, f64)> =
            (0..20).map(|n| (mix(n + 1), if n < 18 { 1.0 } else { 0.32 })).collect();
        let total: f64 = servers.iter().map(|(_, warmth)| warmth).sum();
        let draws = BUDGET_USE * 4.0 * total / 20.0 + 0.5;
        for index in [18, 19] {
            let drawn =
                (0..20_000u64).filter(|key| COLD.eligible(mix(*key), &servers, true)[index]).count() as f64;
            let ratio = drawn / 20_000.0 / (0.32 / total) / draws;
            assert!((0.8..1.2).contains(&ratio), "{ratio} of the expected share");
        }
    }

    #[test]
    fn one_cold_server_is_always_drawn_and_warm_servers_are_always_eligible() {
        let cold: Vec<(u64, f64)> = (0..5).map(|n| (mix(n + 1), 0.32)).collect();
        assert!((0..1_000).all(|key| COLD.eligible(key, &cold, true).contains(&true)));
        assert_eq!(COLD.eligible(7, &[(1, 1.0), (2, 1.0)], true), [true, true]);
        assert!(COLD.eligible(7, &[], true).is_empty());
        let few = [(1, 0.32), (2, 0.32), (3, 0.4)];
        assert_eq!(COLD.eligible(7, &few, false), [false; 3], "no token");
        let warm = [(1, 1.0), (2, 1.0), (3, 0.4)];
        assert!((0..100).any(|key| COLD.eligible(key, &warm, false)[2]), "enough are drawn");
        assert_eq!(COLD.eligible(7, &[(1, 0.9)], false), [false], "a lone one is all that can be drawn");
    }

    #[test]
    fn younger_share_counts_later_starts_only() {
        assert_eq!(younger_share(&[1, 2, 2, 5], &2), 0.25);
        assert_eq!((younger_share(&[1, 2], &2), younger_share(&[], &2)), (0.0, 0.0));
    }

    #[test]
    fn cold_buckets_of_all_routers_keep_the_rate_limit() {
        let (rate, mut sent) = (COLD.rate_limit(0.32, 10.0), 0);
        let (cold_rate, routers) = (20.0 * rate, 100);
        let mut buckets = vec![ColdBucket::default(); 100];
        for step in 0..300 {
            let now = f64::from(step) * 0.01;
            for bucket in buckets.iter_mut().filter(|bucket| bucket.tokens(now, cold_rate, routers) >= 1.0) {
                bucket.spend(now, cold_rate, routers);
                sent += 1;
            }
        }
        assert!(f64::from(sent) <= 3.0 * 0.32 * 4.0 * 10.0 * 20.0, "{sent} in 3 s at 20 cold servers");
        assert!(sent > 200, "{sent}: the buckets are used");
        assert!(buckets[0].tokens(1e6, cold_rate, routers) < 2.0, "unspent tokens do not accumulate");
    }
}
