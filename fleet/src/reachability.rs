//! Which servers one router can reach, as far as it knows from its own few connections: what failed or answered there,
//! and in the same zone, of late. Zones are cut off whole, and a router meets most servers of one seldom.

use crate::math::mix;
use fnv::FnvHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A failure or an answer loses half its weight in this time: a cut is noticed, and its end.
const HALF: Duration = Duration::from_millis(2_000);
/// After so many of these nothing is left of it.
const FORGOTTEN: u32 = 10;
/// As if so many answers had come from a zone before: one failure says little of its other servers.
const FEW: f64 = 2.0;
/// Servers drawn for a choice, and answering ones that are remembered for it. With a third of all out of reach one
/// choice of 6,000 finds none that is in reach, and no choice costs a walk over the list.
const DRAWN: u64 = 8;
const RECENT: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    servers: usize,
    good: f64,
    bad: f64,
    at: Duration,
}

impl Count {
    fn fade(&mut self, now: Duration) {
        let left = 0.5f64.powf(now.saturating_sub(self.at).as_secs_f64() / HALF.as_secs_f64());
        (self.good, self.bad, self.at) = (self.good * left, self.bad * left, now);
    }

    /// The part that failed.
    fn bad(mut self, now: Duration) -> f64 {
        self.fade(now);
        self.bad / (self.bad + self.good + FEW)
    }
}

#[derive(Debug)]
struct Server {
    id: u64,
    zone: usize,
    start: u64,
    heard: Option<Duration>,
    /// When its process answered last, whatever has spoken against it since.
    answered: Option<Duration>,
    failed: Option<Duration>,
}

/// What became of a try to reach a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It answered something.
    Answered,
    /// Its connection was reset, or what came before could not be read: it is in reach, and its process may stand still now.
    Reachable,
    /// Its machine refused the connection, as one does whose process has ended.
    Refused,
    /// It took a request and said nothing in time: it hangs, or is cut off, or has a long line.
    Unanswered,
    /// Its connection did not come up: the machine has vanished or is cut off.
    Unreachable,
}

/// What is believed of all servers. Bounded by the list: who leaves it is forgotten.
#[derive(Debug, Default)]
pub struct Reachability {
    servers: Vec<Server>,
    places: FnvHashMap<u64, usize>,
    zones: BTreeMap<usize, Count>,
    recent: VecDeque<u64>,
    /// When anything spoke against a server last.
    last: Option<Duration>,
}

impl Reachability {
    /// What the list says of a server: whether it takes new work, and when it started. What was thought of the process
    /// before that is void.
    pub fn update(&mut self, id: u64, zone: usize, active: bool, start: u64) {
        let old = self.places.get(&id).is_some_and(|place| self.servers[*place].start < start);
        if old || !active {
            self.remove(id);
        }
        if active {
            self.add(id, zone);
            self.servers[self.places[&id]].start = start;
        }
    }

    /// A server is listed. One that is known already stays as it is, but for its zone.
    pub fn add(&mut self, id: u64, zone: usize) {
        match self.places.get(&id) {
            Some(place) => {
                let old = std::mem::replace(&mut self.servers[*place].zone, zone);
                self.zones.entry(zone).or_default().servers += 1;
                self.remove_from_zone(old);
            }
            None => {
                self.zones.entry(zone).or_default().servers += 1;
                self.places.insert(id, self.servers.len());
                self.servers.push(Server { id, zone, start: 0, heard: None, answered: None, failed: None });
            }
        }
    }

    /// A server is listed no more, or takes nothing new.
    pub fn remove(&mut self, id: u64) {
        let Some(place) = self.places.remove(&id) else { return };
        let zone = self.servers.swap_remove(place).zone;
        self.remove_from_zone(zone);
        if let Some(moved) = self.servers.get(place) {
            self.places.insert(moved.id, place);
        }
        self.recent.retain(|recent| *recent != id);
    }

    fn remove_from_zone(&mut self, zone: usize) {
        if let Some(count) = self.zones.get_mut(&zone) {
            count.servers -= 1;
            if count.servers == 0 {
                self.zones.remove(&zone);
            }
        }
    }

    /// Servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// No server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A server was met.
    pub fn record(&mut self, id: u64, how: Contact, now: Duration) {
        match how {
            Contact::Answered => self.record_answer(id, now),
            Contact::Reachable => self.record_reachable(id, now),
            Contact::Refused | Contact::Unanswered => self.record_server_fault(id, how, now),
            Contact::Unreachable => self.record_unreachable(id, now),
        }
    }

    /// What speaks against a server alone. One that refuses a connection shows that its zone's network is well.
    fn record_server_fault(&mut self, id: u64, how: Contact, now: Duration) {
        let Some(server) = self.places.get(&id).map(|place| &mut self.servers[*place]) else { return };
        (server.heard, server.failed, self.last) = (None, Some(now), Some(now));
        if how == Contact::Refused {
            let zone = self.zones.entry(server.zone).or_default();
            zone.fade(now);
            zone.good += 1.0;
        }
        self.recent.retain(|recent| *recent != id);
    }

    /// A server answered something.
    pub fn record_answer(&mut self, id: u64, now: Duration) {
        if let Some(place) = self.places.get(&id) {
            self.servers[*place].answered = Some(now);
        }
        self.record_reachable(id, now);
    }

    fn record_reachable(&mut self, id: u64, now: Duration) {
        let Some(server) = self.places.get(&id).map(|place| &mut self.servers[*place]) else { return };
        server.heard = Some(now);
        let zone = self.zones.entry(server.zone).or_default();
        zone.fade(now);
        zone.good += 1.0;
        if self.recent.back() != Some(&id) {
            self.recent.retain(|recent| *recent != id);
            self.recent.push_back(id);
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
    }

    /// When a server last answered something after this time; none if it has not.
    pub fn answered_after(&self, id: u64, after: Duration) -> Option<Duration> {
        let answered = self.servers[*self.places.get(&id)?].answered;
        answered.filter(|answered| *answered > after)
    }

    /// A server's connection did not come up.
    pub fn record_unreachable(&mut self, id: u64, now: Duration) {
        let Some(server) = self.places.get(&id).map(|place| &mut self.servers[*place]) else { return };
        (server.failed, self.last) = (Some(now), Some(now));
        let zone = self.zones.entry(server.zone).or_default();
        zone.fade(now);
        zone.bad += 1.0;
        self.recent.retain(|recent| *recent != id);
    }

    /// What is believed now, for as many questions as a decision has.
    pub fn view(&self, now: Duration) -> View<'_> {
        let zones: Vec<(usize, f64)> =
            self.zones.iter().map(|(zone, count)| (*zone, count.bad(now))).collect();
        // What fails in all zones alike says nothing of where to go.
        let least = zones.iter().map(|(_, bad)| *bad).fold(1.0, f64::min);
        View { reach: self, now, zones, least }
    }

    /// How much speaks against reaching a server; see [`View::doubt`].
    pub fn doubt(&self, id: u64, now: Duration) -> f64 {
        self.view(now).doubt(id)
    }

    /// A server that is likely to be in reach, other than these, if one is known; `draw` is the only source of chance.
    pub fn pick(&self, draw: u64, now: Duration, but: &[u64]) -> Option<u64> {
        let size = self.servers.len() as u64;
        let drawn = (0..DRAWN.min(size * 2)).map(|n| self.servers[(mix(draw ^ n) % size) as usize].id);
        let among = drawn.chain(self.recent.iter().copied()).filter(|id| !but.contains(id));
        let tried = |zone: usize| but.iter().any(|id| self.zone(*id) == Some(zone));
        let view = self.view(now);
        let against = |id: u64| {
            let again = self.zone(id).is_some_and(tried);
            view.doubt(id) + if again { 0.25 } else { 0.0 } + 0.1 * crate::math::fraction(draw ^ id)
        };
        let best = among.min_by(|a, b| against(*a).total_cmp(&against(*b)));
        // Few servers, and chance drew none that is left: any of them.
        best.or_else(|| self.servers.iter().map(|server| server.id).find(|id| !but.contains(id)))
    }

    /// The server that answered last, other than these, if nothing has spoken against it since.
    pub fn last_answered(&self, but: &[u64]) -> Option<u64> {
        self.recent.iter().rev().copied().find(|id| !but.contains(id))
    }

    fn zone(&self, id: u64) -> Option<usize> {
        self.places.get(&id).map(|place| self.servers[*place].zone)
    }
}

/// What is believed of all servers at one moment.
pub struct View<'a> {
    reach: &'a Reachability,
    now: Duration,
    zones: Vec<(usize, f64)>,
    least: f64,
}

impl View<'_> {
    /// How much speaks against reaching a server, 0 to 1; nothing does for one that is not known.
    pub fn doubt(&self, id: u64) -> f64 {
        // On most days nothing fails, and no server has to be looked up.
        if self.reach.last.is_none_or(|last| self.now.saturating_sub(last) > HALF * FORGOTTEN) {
            return 0.0;
        }
        let Some(place) = self.reach.places.get(&id) else { return 0.0 };
        let server = &self.reach.servers[*place];
        let age = |at: Duration| self.now.saturating_sub(at).as_secs_f64() / HALF.as_secs_f64();
        let own = server.failed.filter(|failed| server.heard.is_none_or(|heard| heard < *failed));
        let own = own.map_or(0.0, |failed| 0.5f64.powf(age(failed)));
        let zone =
            self.zones.iter().find(|(zone, _)| *zone == server.zone).map_or(0.0, |(_, bad)| bad - self.least);
        if zone <= 0.0 {
            return own;
        }
        // Its own answer says more than what its zone's others do.
        let sure = server.heard.map_or(0.0, |heard| 0.5f64.powf(age(heard)));
        own.max(zone * (1.0 - sure))
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
    fn a_zone_that_was_cut_is_avoided_whole_and_found_again() {
        let mut reach = three_zones(300);
        (0..6).for_each(|n| reach.record_unreachable(3 * n, SECOND));
        (0..6).for_each(|n| reach.record_answer(3 * n + 1, SECOND));
        let picked = |reach: &Reachability, now, draw: u64| reach.pick(mix(draw), now, &[]).unwrap();
        let cut = |reach: &Reachability, now| {
            (0..1_000).filter(|draw| picked(reach, now, *draw).is_multiple_of(3)).count()
        };
        assert_eq!(cut(&reach, SECOND), 0, "none of its servers, met or not");
        assert!(reach.doubt(33, SECOND) > 0.5 && reach.doubt(31, SECOND) == 0.0);
        assert!(cut(&reach, 30 * SECOND) > 100, "forgiven in time");
        reach.record_answer(33, 2 * SECOND);
        assert!(reach.doubt(33, 2 * SECOND) < 0.1, "its own answer says more");
    }

    /// A process that ended, or has a long line, says nothing against its zone.
    #[test]
    fn servers_that_refuse_or_do_not_answer_speak_against_themselves_alone() {
        for how in [Contact::Refused, Contact::Unanswered] {
            let mut reach = three_zones(30);
            reach.record_answer(0, SECOND);
            (0..5).for_each(|n| reach.record(3 * n, how, SECOND));
            assert!(reach.doubt(0, SECOND) > 0.9 && reach.doubt(27, SECOND) == 0.0, "{how:?}");
            assert!(!reach.recent.contains(&0));
        }
    }

    #[test]
    fn one_failure_says_little_of_the_others() {
        let mut reach = three_zones(30);
        reach.record_unreachable(0, SECOND);
        assert!(reach.doubt(0, SECOND) > 0.9);
        assert!(reach.doubt(3, SECOND) < 0.4);
    }

    #[test]
    fn a_restarted_server_is_believed_in_anew() {
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
    fn what_fails_in_all_zones_alike_speaks_against_none() {
        let mut reach = three_zones(30);
        (0..12).for_each(|id| reach.record_unreachable(id, SECOND));
        assert!(reach.doubt(20, SECOND) < 0.01);
        let mut one = Reachability::default();
        (0..10).for_each(|id| one.add(id, 0));
        one.record_unreachable(0, SECOND);
        assert_eq!(one.doubt(5, SECOND), 0.0);
    }

    #[test]
    fn picks_are_spread_and_none_is_repeated() {
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
    fn who_leaves_is_forgotten() {
        let mut reach = three_zones(1_024);
        (0..1_024).for_each(|id| reach.record_answer(id, SECOND));
        (0..1_024).for_each(|id| reach.remove(id));
        assert!(reach.is_empty() && reach.places.is_empty() && reach.recent.is_empty());
        assert!(reach.zones.is_empty());
        assert_eq!(reach.pick(1, SECOND, &[]), None);
    }
}
