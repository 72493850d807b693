//! Slow start: which recently started (cold) servers a request may use, and how often one router sends there.
//! The bounds themselves are in `fawnstream_fleet::slow_start`.

use super::{Candidate, Job, Router, Server, Snapshot};
use crate::interface::{Role, ServerId};
use fawnstream_fleet::ServerAllowance;
use fawnstream_fleet::math::{fraction, mix};

/// Sessions that share a prefix are hashed into groups, and each group draws its cold servers together. A
/// group has at most this share of one server's even share of all requests.
const GROUP_SHARE: f64 = 1.0 / 1.6;

impl Router {
    /// Usable servers of a role for a request; of cold servers only those that it draws within this router's
    /// budget. Prevents overload of cold servers after drains or mass restarts, with any number of routers.
    pub(super) fn candidates<'a>(
        &'a self,
        role: Role,
        job: &Job,
        snapshot: &Snapshot<'a>,
    ) -> Vec<Candidate<'a>> {
        let mut all = self.usable_servers(role, snapshot).to_vec();
        all.retain(|c| {
            !job.failed.contains(&c.id) && self.may_run_at(c.id, job) && self.may_probe(c.server, job)
        });
        if all.iter().all(|c| c.warmth >= 1.0) {
            return all;
        }
        let among: Vec<(u64, f64)> = all.iter().map(|c| (c.id.0, c.warmth)).collect();
        // Sessions that share a prefix draw alike while some servers are warm, so that a cold one reads few
        // prefixes anew; `GROUP_SHARE` bounds the group.
        let warm = among.iter().any(|(_, warmth)| *warmth >= 1.0);
        let session = mix(job.request.session.map_or(job.request.id.0, |key| key.0));
        let share = job.request.prefix.map_or(0.0, |key| self.popularity.cautious_share(self.secs(), key.0));
        let groups = ((share / GROUP_SHARE * all.len() as f64).ceil() as u64).max(1).next_power_of_two();
        let tokens =
            self.cold_buckets[role as usize].tokens(self.secs(), self.cold_rate(role), self.settings.routers);
        let key = job.request.prefix.filter(|_| warm).map_or(session, |key| key.0 ^ (session & (groups - 1)));
        let mut eligible = self.cold.eligible(key, &among, tokens >= 1.0).into_iter();
        all.retain(|c| eligible.next().unwrap_or(false) && self.may_send_cold(c));
        all
    }

    /// Whether this router may send a server one more request; always true of a warm one.
    fn may_send_cold(&self, c: &Candidate) -> bool {
        let role = c.server.role as usize;
        let share = self.cold.max_share(c.warmth, self.max_active[role]);
        c.warmth >= 1.0 || c.server.allowance.is_none_or(|left| left.allows(self.sent[role], share))
    }

    /// Lower bound on a server's capacity now, as a share of its capacity when warm.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        server.member.up_since.map_or(1.0, |up| self.cold.warmth((self.now - up).secs()))
    }

    /// Requests per second that all routers together may send to cold servers of a role. A warm server is
    /// taken to handle its share of the tenants' quotas, or of the answers so far if that is more.
    fn cold_rate(&self, role: Role) -> f64 {
        let uptime = (self.now - self.started.unwrap_or(self.now)).secs().max(1.0);
        let answers = self.latencies[role as usize].answers * f64::from(self.settings.routers) / uptime;
        let quotas = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let rate = answers.max(quotas) / self.max_active[role as usize].max(1) as f64;
        let peers = self.servers.values().filter(|s| s.role == role && s.is_active()).map(|s| self.warmth(s));
        peers.filter(|warmth| *warmth < 1.0).map(|warmth| self.cold.rate_limit(warmth, rate)).sum()
    }

    /// This router's allowance for a server that has just started.
    pub(super) fn allowance(&self, server: ServerId, role: Role, start: u64) -> ServerAllowance {
        let chance = fraction(mix(self.seed ^ start) ^ server.0);
        ServerAllowance::new(chance, self.sent[role as usize])
    }

    /// Counts a request sent to a server of a role.
    pub(super) fn count_send(&mut self, to: ServerId, role: Role) {
        let warmth = self.warmth(&self.servers[&to]);
        if warmth < 1.0 {
            let (now, rate) = (self.secs(), self.cold_rate(role));
            self.cold_buckets[role as usize].spend(now, rate, self.settings.routers);
            let share = self.cold.max_share(warmth, self.max_active[role as usize]);
            let sent = self.sent[role as usize];
            if let Some(allowance) = self.servers.get_mut(&to).and_then(|server| server.allowance.as_mut()) {
                allowance.spend(sent, share);
            }
        }
        self.sent[role as usize] += 1.0;
    }
}
