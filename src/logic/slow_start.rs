//! Slow start: which of the servers that have just started a request may go to, and how often one router
//! sends there. The bounds themselves are in `fawnstream_fleet::slow_start`.

use super::{Job, Look, Router, Seen, Server};
use crate::interface::{Role, ServerId};
use fawnstream_fleet::ServerAllowance;
use fawnstream_fleet::math::{fraction, mix};

/// Sessions of a beginning draw the same cold server in groups, each of this part of one server's even
/// part of all requests at most.
const GROUP_PART: f64 = 1.0 / 1.6;

impl Router {
    /// Servers of a role that may be used; of cold ones those that the request draws, while this router's
    /// purse has something for them. Guards against falling over while cold and rush-back after drains or
    /// mass restarts, however many routers there are.
    pub(super) fn candidates<'a>(&'a self, role: Role, job: &Job, look: &Look<'a>) -> Vec<Seen<'a>> {
        let mut all = self.seen(role, look).to_vec();
        all.retain(|seen| {
            !job.failed.contains(&seen.id) && self.in_scope(seen.id, job) && self.may_try(seen.server, job)
        });
        if all.iter().all(|seen| seen.warmth >= 1.0) {
            return all;
        }
        let among: Vec<(u64, f64)> = all.iter().map(|seen| (seen.id.0, seen.warmth)).collect();
        // Sessions of a beginning draw alike while some are warm, so that a cold server reads few of them
        // anew; but no more of them together than GROUP_PART tells.
        let warm = among.iter().any(|(_, warmth)| *warmth >= 1.0);
        let session = mix(job.ask.session.map_or(job.ask.id.0, |key| key.0));
        let part = job.ask.prefix.map_or(0.0, |key| self.popular.cautious_share(self.secs(), key.0));
        let groups = ((part / GROUP_PART * all.len() as f64).ceil() as u64).max(1).next_power_of_two();
        let held = self.purses[role as usize].tokens(self.secs(), self.pace(role), self.settings.routers);
        let key = job.ask.prefix.filter(|_| warm).map_or(session, |key| key.0 ^ (session & (groups - 1)));
        let mut open = self.cold.eligible(key, &among, held >= 1.0).into_iter();
        all.retain(|seen| open.next().unwrap_or(false) && self.allows(seen));
        all
    }

    /// Whether a server may have one more request of this router; one that is warm always.
    fn allows(&self, seen: &Seen) -> bool {
        let role = seen.server.role as usize;
        let part = self.cold.max_share(seen.warmth, self.most[role]);
        seen.warmth >= 1.0 || seen.server.allowance.is_none_or(|left| left.allows(self.sent[role], part))
    }

    /// What a server can do of what it will when warm, at least.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        server.member.up_since.map_or(1.0, |up| self.cold.warmth((self.now - up).secs()))
    }

    /// Requests a second that all routers together may send to cold servers of a role. A warm one does its
    /// part of the customers' shares, or of what was answered so far, at least.
    fn pace(&self, role: Role) -> f64 {
        let life = (self.now - self.born.unwrap_or(self.now)).secs().max(1.0);
        let answers = self.pools[role as usize].answers * f64::from(self.settings.routers) / life;
        let shares = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let rate = answers.max(shares) / self.most[role as usize].max(1) as f64;
        let peers = self.servers.values().filter(|s| s.role == role && s.listed()).map(|s| self.warmth(s));
        peers.filter(|warmth| *warmth < 1.0).map(|warmth| self.cold.rate_limit(warmth, rate)).sum()
    }

    /// What this router may send a server that has just started.
    pub(super) fn allowance(&self, server: ServerId, role: Role, start: u64) -> ServerAllowance {
        let chance = fraction(mix(self.seed ^ start) ^ server.0);
        ServerAllowance::new(chance, self.sent[role as usize])
    }

    /// Counts a request that is sent to a server of a role.
    pub(super) fn spend(&mut self, to: ServerId, role: Role) {
        let warmth = self.warmth(&self.servers[&to]);
        if warmth < 1.0 {
            let (now, pace) = (self.secs(), self.pace(role));
            self.purses[role as usize].spend(now, pace, self.settings.routers);
            let part = self.cold.max_share(warmth, self.most[role as usize]);
            let sent = self.sent[role as usize];
            if let Some(allowance) = self.servers.get_mut(&to).and_then(|server| server.allowance.as_mut()) {
                allowance.spend(sent, part);
            }
        }
        self.sent[role as usize] += 1.0;
    }
}
