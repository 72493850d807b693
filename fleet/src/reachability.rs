//! Which servers one router can probably reach, from recent failures and answers on its own connections to the server
//! and to others in the same zone. Zones are cut off as a whole, and a router seldom contacts most servers of a zone.

use crate::math::mix;
use fnv::FnvHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A failure or an answer loses half its weight in this time, so that a cut zone and its return are both noticed.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// After this many half-lives a failure counts for nothing.
const FORGET_AFTER: u32 = 10;
/// Prior of a zone: as if this many answers had come before, so that one failure says little about its other servers.
const PRIOR_ANSWERS: f64 = 2.0;
/// Servers drawn at random for a choice, so that it needs no walk over the list. With a third of all servers
/// unreachable, one choice in 6,000 draws no reachable one.
const DRAWS: u64 = 8;
/// Maximum number of recently reached servers that are also candidates.
const MAX_RECENT: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    servers: usize,
    answers: f64,
    failures: f64,
    /// When the counts were last updated.
    at: Duration,
}

impl Zone {
    fn decay(&mut self, now: Duration) {
        let factor = 0.5f64.powf(now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64());
        (self.answers, self.failures, self.at) = (self.answers * factor, self.failures * factor, now);
    }

    /// The share of contacts that failed.
    fn failure_share(mut self, now: Duration) -> f64 {
        self.decay(now);
        self.failures / (self.failures + self.answers + PRIOR_ANSWERS)
    }
}

#[derive(Debug)]
struct Server {
    id: u64,
    zone: usize,
    start: u64,
    /// When it last was reachable; cleared by a failure of the server alone.
    reached_at: Option<Duration>,
    /// When its process last answered, also if it has failed since.
    answered_at: Option<Duration>,
    failed_at: Option<Duration>,
}

/// Result of contacting a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It answered.
    Answered,
    /// Its connection was reset, or its answer could not be read: it is reachable, but its process may be stopped now.
    Reachable,
    /// Its machine refused the connection, as it does when the process has ended.
    Refused,
    /// It accepted a request and sent nothing in time: it hangs, is cut off, or has a long queue.
    Unanswered,
    /// The connection could not be established: the machine is gone or cut off.
    Unreachable,
}

/// Reachability of all listed servers. Servers that leave the list are forgotten, so its size is bounded.
#[derive(Debug, Default)]
pub struct Reachability {
    servers: Vec<Server>,
    /// Position in `servers` by id.
    index: FnvHashMap<u64, usize>,
    zones: BTreeMap<usize, Zone>,
    /// Servers that were reached last and have not failed since, the latest at the back.
    recent: VecDeque<u64>,
    /// When any server last failed.
    last_failure: Option<Duration>,
}

impl Reachability {
    /// Applies a list entry: whether the server takes new work, and when it started. Results of an earlier process of
    /// the server are dropped.
    pub fn update(&mut self, id: u64, zone: usize, active: bool, start: u64) {
        let restarted = self.index.get(&id).is_some_and(|index| self.servers[*index].start < start);
        if restarted || !active {
            self.remove(id);
        }
        if active {
            self.add(id, zone);
            self.servers[self.index[&id]].start = start;
        }
    }

    /// Adds a server. For a known one only the zone is updated.
    pub fn add(&mut self, id: u64, zone: usize) {
        match self.index.get(&id) {
            Some(index) => {
                let old = std::mem::replace(&mut self.servers[*index].zone, zone);
                self.zones.entry(zone).or_default().servers += 1;
                self.remove_from_zone(old);
            }
            None => {
                self.zones.entry(zone).or_default().servers += 1;
                self.index.insert(id, self.servers.len());
                self.servers.push(Server {
                    id,
                    zone,
                    start: 0,
                    reached_at: None,
                    answered_at: None,
                    failed_at: None,
                });
            }
        }
    }

    /// Removes a server that has left the list or takes no new work.
    pub fn remove(&mut self, id: u64) {
        let Some(index) = self.index.remove(&id) else { return };
        let zone = self.servers.swap_remove(index).zone;
        self.remove_from_zone(zone);
        if let Some(moved) = self.servers.get(index) {
            self.index.insert(moved.id, index);
        }
        self.recent.retain(|recent| *recent != id);
    }

    fn remove_from_zone(&mut self, zone: usize) {
        if let Some(entry) = self.zones.get_mut(&zone) {
            entry.servers -= 1;
            if entry.servers == 0 {
                self.zones.remove(&zone);
            }
        }
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records the result of contacting a server.
    pub fn record(&mut self, id: u64, contact: Contact, now: Duration) {
        match contact {
            Contact::Answered => self.record_answer(id, now),
            Contact::Reachable => self.record_reachable(id, now),
            Contact::Refused | Contact::Unanswered => self.record_server_fault(id, contact, now),
            Contact::Unreachable => self.record_unreachable(id, now),
        }
    }

    /// Records a failure of the server alone. A refused connection even shows that the network of its zone works.
    fn record_server_fault(&mut self, id: u64, contact: Contact, now: Duration) {
        let Some(server) = self.index.get(&id).map(|index| &mut self.servers[*index]) else { return };
        (server.reached_at, server.failed_at, self.last_failure) = (None, Some(now), Some(now));
        if contact == Contact::Refused {
            let zone = self.zones.entry(server.zone).or_default();
            zone.decay(now);
            zone.answers += 1.0;
        }
        self.recent.retain(|recent| *recent != id);
    }

    /// Records that a server answered.
    pub fn record_answer(&mut self, id: u64, now: Duration) {
        if let Some(index) = self.index.get(&id) {
            self.servers[*index].answered_at = Some(now);
        }
        self.record_reachable(id, now);
    }

    fn record_reachable(&mut self, id: u64, now: Duration) {
        let Some(server) = self.index.get(&id).map(|index| &mut self.servers[*index]) else { return };
        server.reached_at = Some(now);
        let zone = self.zones.entry(server.zone).or_default();
        zone.decay(now);
        zone.answers += 1.0;
        if self.recent.back() != Some(&id) {
            self.recent.retain(|recent| *recent != id);
            self.recent.push_back(id);
            if self.recent.len() > MAX_RECENT {
                self.recent.pop_front();
            }
        }
    }

    /// When a server last answered, if that was after `after`.
    pub fn answered_after(&self, id: u64, after: Duration) -> Option<Duration> {
        let answered_at = self.servers[*self.index.get(&id)?].answered_at;
        answered_at.filter(|answered_at| *answered_at > after)
    }

    /// Records that the connection to a server could not be established.
    pub fn record_unreachable(&mut self, id: u64, now: Duration) {
        let Some(server) = self.index.get(&id).map(|index| &mut self.servers[*index]) else { return };
        (server.failed_at, self.last_failure) = (Some(now), Some(now));
        let zone = self.zones.entry(server.zone).or_default();
        zone.decay(now);
        zone.failures += 1.0;
        self.recent.retain(|recent| *recent != id);
    }

    /// A snapshot at `now`, for the several queries of one decision.
    pub fn view(&self, now: Duration) -> View<'_> {
        let zones: Vec<(usize, f64)> =
            self.zones.iter().map(|(id, zone)| (*id, zone.failure_share(now))).collect();
        // Failures that all zones have in common do not help to choose between them.
        let lowest = zones.iter().map(|(_, share)| *share).fold(1.0, f64::min);
        View { reach: self, now, zones, lowest }
    }

    /// How doubtful it is that a server can be reached; see [`View::doubt`].
    pub fn doubt(&self, id: u64, now: Duration) -> f64 {
        self.view(now).doubt(id)
    }

    /// A server that is likely to be reachable and is not in `excluded`, if there is one; all randomness comes from
    /// `seed`.
    pub fn pick(&self, seed: u64, now: Duration, excluded: &[u64]) -> Option<u64> {
        let size = self.servers.len() as u64;
        let drawn = (0..DRAWS.min(size * 2)).map(|n| self.servers[(mix(seed ^ n) % size) as usize].id);
        let candidates = drawn.chain(self.recent.iter().copied()).filter(|id| !excluded.contains(id));
        let tried = |zone: usize| excluded.iter().any(|id| self.zone(*id) == Some(zone));
        let view = self.view(now);
        let cost = |id: u64| {
            let zone_tried = self.zone(id).is_some_and(tried);
            view.doubt(id) + if zone_tried { 0.25 } else { 0.0 } + 0.1 * crate::math::fraction(seed ^ id)
        };
        let best = candidates.min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        // With few servers all draws may hit excluded ones: take any other.
        best.or_else(|| self.servers.iter().map(|server| server.id).find(|id| !excluded.contains(id)))
    }

    /// The server that was reached last and has not failed since, other than those in `excluded`.
    pub fn last_reached(&self, excluded: &[u64]) -> Option<u64> {
        self.recent.iter().rev().copied().find(|id| !excluded.contains(id))
    }

    fn zone(&self, id: u64) -> Option<usize> {
        self.index.get(&id).map(|index| self.servers[*index].zone)
    }
}

/// Reachability of all servers at one moment.
pub struct View<'a> {
    reach: &'a Reachability,
    now: Duration,
    /// Failure share of each zone.
    zones: Vec<(usize, f64)>,
    /// Lowest failure share of all zones.
    lowest: f64,
}

impl View<'_> {
    /// How doubtful it is that a server can be reached, from 0 to 1; 0 for an unknown server.
    pub fn doubt(&self, id: u64) -> f64 {
        // Usually nothing has failed and the lookup can be skipped.
        if self.reach.last_failure.is_none_or(|last| self.now.saturating_sub(last) > HALF_LIFE * FORGET_AFTER)
        {
            return 0.0;
        }
        let Some(index) = self.reach.index.get(&id) else { return 0.0 };
        let server = &self.reach.servers[*index];
        let age = |at: Duration| self.now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let own = server.failed_at.filter(|failed| server.reached_at.is_none_or(|reached| reached < *failed));
        let own = own.map_or(0.0, |failed| 0.5f64.powf(age(failed)));
        let zone = self
            .zones
            .iter()
            .find(|(zone, _)| *zone == server.zone)
            .map_or(0.0, |(_, share)| share - self.lowest);
        if zone <= 0.0 {
            return own;
        }
        // A recent contact with the server itself outweighs failures of others in its zone.
        let contact = server.reached_at.map_or(0.0, |reached| 0.5f64.powf(age(reached)));
        own.max(zone * (1.0 - contact))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn three_zones(size: u64) -> Reachability {
        let mut reach = Reachability::default();
        (0..size).for_each(|id| reach.add(id, (id % 3) as usize));
        reach
    }

    #[test]
    fn cut_zone_is_avoided_as_a_whole_and_used_again_later() {
        let mut reach = three_zones(300);
        (0..6).for_each(|n| reach.record_unreachable(3 * n, SECOND));
        (0..6).for_each(|n| reach.record_answer(3 * n + 1, SECOND));
        let picked = |reach: &Reachability, now, seed: u64| reach.pick(mix(seed), now, &[]).unwrap();
        let cut = |reach: &Reachability, now| {
            (0..1_000).filter(|seed| picked(reach, now, *seed).is_multiple_of(3)).count()
        };
        assert_eq!(cut(&reach, SECOND), 0, "no server of the zone is picked, contacted or not");
        assert!(reach.doubt(33, SECOND) > 0.5 && reach.doubt(31, SECOND) == 0.0);
        assert!(cut(&reach, 30 * SECOND) > 100, "failures are forgotten");
        reach.record_answer(33, 2 * SECOND);
        assert!(reach.doubt(33, 2 * SECOND) < 0.1, "its own answer counts for more");
    }

    /// A process that has ended or has a long queue says nothing about its zone.
    #[test]
    fn refused_and_unanswered_contacts_raise_doubt_of_that_server_only() {
        for contact in [Contact::Refused, Contact::Unanswered] {
            let mut reach = three_zones(30);
            reach.record_answer(0, SECOND);
            (0..5).for_each(|n| reach.record(3 * n, contact, SECOND));
            assert!(reach.doubt(0, SECOND) > 0.9 && reach.doubt(27, SECOND) == 0.0, "{contact:?}");
            assert!(!reach.recent.contains(&0));
        }
    }

    #[test]
    fn one_failure_raises_doubt_of_its_zone_only_a_little() {
        let mut reach = three_zones(30);
        reach.record_unreachable(0, SECOND);
        assert!(reach.doubt(0, SECOND) > 0.9);
        assert!(reach.doubt(3, SECOND) < 0.4);
    }

    #[test]
    fn restart_clears_doubt() {
        let mut reach = three_zones(30);
        reach.record(5, Contact::Refused, SECOND);
        reach.update(5, 2, true, 0);
        assert!(reach.doubt(5, SECOND) > 0.9, "the same process");
        reach.update(5, 2, true, 7);
        assert_eq!((reach.doubt(5, SECOND), reach.len()), (0.0, 30));
        reach.update(5, 2, false, 7);
        assert_eq!(reach.len(), 29);
    }

    #[test]
    fn failures_in_all_zones_alike_raise_no_doubt() {
        let mut reach = three_zones(30);
        (0..12).for_each(|id| reach.record_unreachable(id, SECOND));
        assert!(reach.doubt(20, SECOND) < 0.01);
        let mut one = Reachability::default();
        (0..10).for_each(|id| one.add(id, 0));
        one.record_unreachable(0, SECOND);
        assert_eq!(one.doubt(5, SECOND), 0.0);
    }

    #[test]
    fn picks_are_spread_and_never_repeat_excluded_servers() {
        let reach = three_zones(1_024);
        let picks: std::collections::HashSet<_> =
            (0..1_024).filter_map(|n| reach.pick(mix(n), SECOND, &[])).collect();
        assert!(picks.len() > 500, "{}", picks.len());
        let few = three_zones(4);
        let mut tried = vec![];
        while let Some(next) = few.pick(9, SECOND, &tried) {
            tried.push(next);
        }
        tried.sort();
        assert_eq!(tried, [0, 1, 2, 3]);
    }

    #[test]
    fn removed_servers_are_forgotten() {
        let mut reach = three_zones(1_024);
        (0..1_024).for_each(|id| reach.record_answer(id, SECOND));
        (0..1_024).for_each(|id| reach.remove(id));
        assert!(reach.is_empty() && reach.index.is_empty() && reach.recent.is_empty());
        assert!(reach.zones.is_empty());
        assert_eq!(reach.pick(1, SECOND, &[]), None);
    }
}
