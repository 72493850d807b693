//! Which cold servers a request may use, and how often one router sends there. A server that starts can do little, and
//! falls over when all routers together send it more than a multiple of that. No router sees what the others send.
//!
//! Two bounds hold the sum. Each request *draws*: the first few servers in a rendezvous order weighted by warmth, the
//! same at all routers, so that a cold server gets its part of all requests times the number drawn. And each router
//! has a [`ColdBucket`] for all cold servers of a role, filled at its part of what they may be sent together: that holds
//! where most servers that are left are cold. A purse for each server would not do: of a hundred routers with
//! a request a second each, the one that has a request is hardly ever one that has something left for its server.

use crate::math::{fraction, mix};

/// Part of a cold server's budget that is used up: what warm servers do is an estimate.
pub const BUDGET_USE: f64 = 0.8;
/// Of the servers that it draws a request uses one, so what a cold server gets of its budget on the mean is [`BUDGET_USE`] over
/// the number drawn. Where that is so many or more, chance and popular beginnings have room enough without a purse.
pub const MIN_DRAWS_WITHOUT_TOKEN: f64 = 1.5;
/// All routers together send a cold server at least so many requests while it warms: while nobody has an answer yet,
/// somebody has to be first.
pub const MIN_WARMUP_REQUESTS: f64 = 3.0;
/// One router sends a cold server at most so many requests at once.
const MAX_BURST: f64 = 2.0;

/// What is known of servers that start, the same for all of them.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// A server starts at this part of its capacity or above; over 0, 1 at most.
    pub initial_share: f64,
    /// It is warm after so many seconds at the latest.
    pub warmup_secs: f64,
    /// It falls over when it is sent more than this multiple of what it can do.
    pub overload_multiple: f64,
}

impl SlowStart {
    /// What a server of this age, in seconds, can do at least, in parts of what it can do warm.
    pub fn warmth(&self, age: f64) -> f64 {
        let part = if self.warmup_secs > 0.0 { (age / self.warmup_secs).clamp(0.0, 1.0) } else { 1.0 };
        self.initial_share + (1.0 - self.initial_share) * part
    }

    /// For each of these servers (a number and its warmth) whether a request with this key may use it: a warm one
    /// always, a cold one if it is drawn, and `paid` for where few are drawn. At least one is drawn. One pass for each draw, over `among`.
    pub fn eligible(&self, key: u64, among: &[(u64, f64)], paid: bool) -> Vec<bool> {
        let mut open: Vec<bool> = among.iter().map(|(_, warmth)| *warmth >= 1.0).collect();
        let mean = among.iter().map(|(_, warmth)| warmth).sum::<f64>() / among.len().max(1) as f64;
        let draws = (BUDGET_USE * self.overload_multiple * mean).clamp(1.0, among.len().max(1) as f64);
        if open.iter().all(|warm| *warm) || (!paid && draws < MIN_DRAWS_WITHOUT_TOKEN) {
            return open;
        }
        let draws = (draws + fraction(key)) as usize;
        let wait = |(id, warmth): &(u64, f64)| -fraction(mix(key) ^ id).ln() / warmth;
        let mut last = f64::NEG_INFINITY;
        for _ in 0..draws.min(among.len()) {
            let next = among.iter().enumerate().map(|(place, server)| (place, wait(server)));
            let next = next.filter(|(_, wait)| *wait > last).min_by(|a, b| a.1.total_cmp(&b.1));
            let Some((place, wait)) = next else { break };
            (open[place], last) = (true, wait);
        }
        open
    }

    /// The part of all requests to a role of so many servers that one of this warmth may be sent.
    pub fn max_share(&self, warmth: f64, servers: usize) -> f64 {
        (self.overload_multiple * warmth / servers.max(1) as f64).min(1.0)
    }

    /// Requests a second that all routers together may send to a server of this warmth, where a warm one answers
    /// `rate` a second.
    pub fn rate_limit(&self, warmth: f64, rate: f64) -> f64 {
        (rate * warmth * self.overload_multiple * BUDGET_USE)
            .max(MIN_WARMUP_REQUESTS / self.warmup_secs.max(1.0))
    }
}

/// What one cold server may be sent by one router, as a part of all that this router sends to servers of the role: the
/// parts of all routers add up to the part of all requests, however unevenly these come. It binds routers that get
/// many requests; one that gets few has its first requests free, and [`SlowStart::eligible`] holds their sum.
#[derive(Clone, Copy, Debug)]
pub struct ServerAllowance {
    left: f64,
    /// Requests of the role that this router had sent by then.
    sent: f64,
}

impl ServerAllowance {
    /// Of a server that starts now; `chance` from 0 to 1, `sent` what this router has sent to the role so far.
    pub fn new(chance: f64, sent: f64) -> Self {
        ServerAllowance { left: MAX_BURST - 1.0 + chance, sent }
    }

    /// Whether the server may be sent one more request, where it may have this part of what the router sends.
    pub fn allows(&self, sent: f64, part: f64) -> bool {
        self.left(sent, part) >= 1.0
    }

    /// One request is sent there.
    pub fn spend(&mut self, sent: f64, part: f64) {
        (self.left, self.sent) = ((self.left(sent, part) - 1.0).max(0.0), sent);
    }

    fn left(&self, sent: f64, part: f64) -> f64 {
        (self.left + (sent - self.sent).max(0.0) * part).min(MAX_BURST)
    }
}

/// The part of these servers, by when each started and in that order, that started after one of them.
pub fn younger_share<T: Ord>(starts: &[T], start: &T) -> f64 {
    let younger = starts.len() - starts.partition_point(|other| other <= start);
    younger as f64 / starts.len().max(1) as f64
}

/// What one router may still send to the cold servers of a role. Holds one request at least when full: a router that
/// meets a cold server seldom must be able to send it one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdBucket {
    left: f64,
    at: f64,
}

impl ColdBucket {
    /// What is in it by now (seconds), in requests, where all routers may send `pace` a second.
    pub fn tokens(&self, now: f64, pace: f64, routers: u32) -> f64 {
        (self.left + (now - self.at).max(0.0) * pace / f64::from(routers.max(1))).min(capacity(pace, routers))
    }

    /// One request is sent.
    pub fn spend(&mut self, now: f64, pace: f64, routers: u32) {
        (self.left, self.at) = ((self.tokens(now, pace, routers) - 1.0).max(0.0), now);
    }
}

/// A request, or what a router may send in half a second where that is more.
fn capacity(pace: f64, routers: u32) -> f64 {
    (pace / f64::from(routers.max(1)) / 2.0).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: SlowStart = SlowStart { initial_share: 0.32, warmup_secs: 14.0, overload_multiple: 4.0 };

    /// 18 warm servers and two cold ones: how many of 20,000 keys draw each cold one.
    #[test]
    fn a_cold_server_is_drawn_for_its_part_times_the_draws() {
        let among: Vec<(u64, f64)> = (0..20).map(|n| (mix(n + 1), if n < 18 { 1.0 } else { 0.32 })).collect();
        let total: f64 = among.iter().map(|(_, warmth)| warmth).sum();
        let draws = BUDGET_USE * 4.0 * total / 20.0 + 0.5;
        for place in [18, 19] {
            let drawn =
                (0..20_000u64).filter(|key| COLD.eligible(mix(*key), &among, true)[place]).count() as f64;
            let part = drawn / 20_000.0 / (0.32 / total) / draws;
            assert!((0.8..1.2).contains(&part), "{part} of what it should");
        }
    }

    #[test]
    fn all_cold_leaves_one_and_warm_ones_are_always_open() {
        let cold: Vec<(u64, f64)> = (0..5).map(|n| (mix(n + 1), 0.32)).collect();
        assert!((0..1_000).all(|key| COLD.eligible(key, &cold, true).contains(&true)));
        assert_eq!(COLD.eligible(7, &[(1, 1.0), (2, 1.0)], true), [true, true]);
        assert!(COLD.eligible(7, &[], true).is_empty());
        let few = [(1, 0.32), (2, 0.32), (3, 0.4)];
        assert_eq!(COLD.eligible(7, &few, false), [false; 3], "not paid for");
        let warm = [(1, 1.0), (2, 1.0), (3, 0.4)];
        assert!((0..100).any(|key| COLD.eligible(key, &warm, false)[2]), "enough are drawn");
        assert_eq!(COLD.eligible(7, &[(1, 0.9)], false), [false], "a lone one is all that can be drawn");
    }

    #[test]
    fn younger_servers_are_those_that_started_later() {
        assert_eq!(younger_share(&[1, 2, 2, 5], &2), 0.25);
        assert_eq!((younger_share(&[1, 2], &2), younger_share(&[], &2)), (0.0, 0.0));
    }

    #[test]
    fn purses_of_all_routers_keep_to_the_pace() {
        let (pace, mut sent) = (COLD.rate_limit(0.32, 10.0), 0);
        let (cold, routers) = (20.0 * pace, 100);
        let mut purses = vec![ColdBucket::default(); 100];
        for step in 0..300 {
            let now = f64::from(step) * 0.01;
            for purse in purses.iter_mut().filter(|purse| purse.tokens(now, cold, routers) >= 1.0) {
                purse.spend(now, cold, routers);
                sent += 1;
            }
        }
        assert!(f64::from(sent) <= 3.0 * 0.32 * 4.0 * 10.0 * 20.0, "{sent} in 3 s at 20 cold servers");
        assert!(sent > 200, "{sent}: they are used");
        assert!(purses[0].tokens(1e6, cold, routers) < 2.0, "what is not spent does not pile up");
    }
}
