//! When a router calls for the list of servers. Discovery is one service for all routers and has a fixed capacity:
//! calls wait in turn there, one that waited too long is refused and has cost its turn all the same. So calls that
//! come faster than it can take them are all refused, for as long as they go on: routers that ask again soon never
//! get a list. No router sees the others' calls; each keeps to its part of a rate that holds for all together.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Routers that are refused ask so far apart, all together: 10 calls a second, whatever their number.
pub const APART: Duration = Duration::from_millis(100);
/// First calls, all at once after a release, are this far apart in place of that: most fleets' discovery takes them.
pub const FIRST_APART: Duration = Duration::from_millis(30);
/// A router that asks later hears later, and a drain that it would have heard of counts as told: first calls are spread
/// over less than the 500 ms that the rule on drains leaves.
pub const MOST_FIRST: Duration = Duration::from_millis(400);
/// Whoever has not asked for four times 10 s after a failed call counts as told of all that was listed then
/// (`rules.ask_every`): no wait, with the time of the call itself, comes near that, however many routers there are.
pub const MOST_REFUSED: Duration = Duration::from_millis(30_000);
/// Wait after a call that cost discovery nothing: nobody was there. Doubles up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// A lone router that is refused still leaves discovery this long.
const LONGEST_REFUSED: Duration = Duration::from_millis(3_000);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// It brought news or a sign of life; what broke off was a watch that had stood.
    Stood,
    /// Discovery has too many to serve: it said so, or took the call and never told anything.
    Refused,
    /// Nobody was there, or what came was no answer.
    Away,
}

/// The waits of one router between its calls.
#[derive(Debug)]
pub struct Calls {
    routers: u32,
    chance: Pcg64Mcg,
    wait: Duration,
    refused: bool,
}

impl Calls {
    /// One router of so many; `seed` is its only source of chance.
    pub fn new(routers: u32, seed: u64) -> Self {
        Calls {
            routers: routers.max(1),
            chance: Pcg64Mcg::seed_from_u64(seed),
            wait: FIRST_WAIT,
            refused: false,
        }
    }

    /// Before the first call: routers that were started together do not call together. The list that a router is
    /// started with serves meanwhile.
    pub fn first(&mut self) -> Duration {
        let all = (FIRST_APART * self.routers).min(MOST_FIRST);
        all.mul_f64(self.chance.random())
    }

    /// Before the next call, after one that ended so.
    pub fn next(&mut self, ended: Call) -> Duration {
        // Waits after a refusal last for as long as all routers need for a call each at the rate that holds for all.
        let all = APART * self.routers;
        let before = std::mem::replace(&mut self.refused, ended == Call::Refused);
        self.wait = match ended {
            Call::Stood => FIRST_WAIT,
            Call::Away => (self.wait * 2).min(LONGEST_WAIT),
            Call::Refused if before => (self.wait * 2).min(LONGEST_REFUSED.max(all)).min(MOST_REFUSED),
            Call::Refused => (self.wait * 2).min(LONGEST_REFUSED).max(all / 2).min(MOST_REFUSED),
        };
        // A watch that stood may have ended for all routers at once.
        if ended == Call::Stood { self.wait + self.first() } else { self.spread() }
    }

    /// Discovery has another address: it is called at once, and refusals of the old one say nothing of it.
    pub fn moved(&mut self) {
        (self.wait, self.refused) = (FIRST_WAIT, false);
    }

    /// Half to all of the wait.
    fn spread(&mut self) -> Duration {
        self.wait.mul_f64(0.5 + 0.5 * self.chance.random::<f64>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A discovery that takes a call each `turn`, in the order of their coming, and tells those nothing that waited
    /// longer than `patience`; such a call costs its turn all the same. `wait` says how long a router waits before
    /// each of its calls. Returns how many have their list by the end.
    fn play(routers: u32, turn: f64, until: f64, mut wait: impl FnMut(&mut Calls, u32) -> Duration) -> usize {
        let patience = 2.0;
        let mut calls: Vec<Calls> = (0..routers).map(|n| Calls::new(routers, u64::from(n))).collect();
        let mut due: Vec<(f64, u32)> = calls.iter_mut().map(|c| (wait(c, 0).as_secs_f64(), 0)).collect();
        let (mut free, mut served) = (0.0f64, 0);
        loop {
            let Some(n) = (0..due.len()).min_by(|a, b| due[*a].0.total_cmp(&due[*b].0)) else {
                return served;
            };
            let (at, tries) = due[n];
            if at > until {
                return served;
            }
            free = free.max(at) + turn;
            if free <= at + patience {
                served += 1;
                due[n].0 = f64::INFINITY;
            } else {
                due[n] = (at + patience + wait(&mut calls[n], tries + 1).as_secs_f64(), tries + 1);
            }
        }
    }

    fn paced(calls: &mut Calls, tries: u32) -> Duration {
        if tries == 0 { calls.first() } else { calls.next(Call::Refused) }
    }

    /// Guards against routers that keep each other from the list: they call together, and with waits that grow to 3 s
    /// whatever their number, hardly any but the first few ever have it.
    #[test]
    fn all_routers_get_the_list_of_a_discovery_that_is_overbooked() {
        let soon = |calls: &mut Calls, tries: u32| match tries {
            0 => Duration::ZERO,
            _ => (FIRST_WAIT * 2u32.pow(tries.min(6)))
                .min(LONGEST_REFUSED)
                .mul_f64(0.5 + 0.5 * calls.chance.random::<f64>()),
        };
        let few = play(100, 0.05, 20.0, soon);
        assert!(few < 60, "the model shows what was seen: {few}");
        for (routers, turn, until) in [
            (3, 0.2, 2.0),
            (30, 0.05, 3.0),
            (100, 0.02, 4.0),
            (100, 0.05, 20.0),
            (350, 0.05, 70.0),
            (1_024, 0.02, 90.0),
        ] {
            let all = play(routers, turn, until, paced);
            assert_eq!(all, routers as usize, "{turn} s a call");
        }
    }

    #[test]
    fn calls_of_all_routers_together_keep_to_their_rate() {
        for routers in [30, 100, 300, 350, 1_024] {
            let mut calls: Vec<Calls> = (0..routers).map(|n| Calls::new(routers, u64::from(n))).collect();
            let mut rate = 0.0;
            for one in &mut calls {
                (0..6).for_each(|_| _ = one.next(Call::Refused));
                rate += 20.0 / (0..20).map(|_| one.next(Call::Refused).as_secs_f64()).sum::<f64>();
            }
            // Beyond 300 routers the rule's time bounds the waits, and with it the rate from below.
            let bound =
                (1.5 / APART.as_secs_f64()).max(f64::from(routers) / (0.7 * MOST_REFUSED.as_secs_f64()));
            assert!(rate < bound, "{routers} routers: {rate} a second");
        }
    }

    #[test]
    fn first_calls_are_spread_and_soon() {
        let firsts: Vec<Duration> = (0..100).map(|seed| Calls::new(100, seed).first()).collect();
        assert!(firsts.iter().all(|wait| *wait <= MOST_FIRST));
        assert!(MOST_FIRST < Duration::from_millis(500), "the rule on drains leaves no more");
        let early = firsts.iter().filter(|wait| **wait < MOST_FIRST / 2).count();
        assert!((30..=70).contains(&early), "{early} of 100 in the first half");
        assert!(Calls::new(3, 1).first() < Duration::from_millis(100), "few routers call at once");
        let mut many = Calls::new(10_000, 1);
        assert!((0..20).all(|_| many.next(Call::Refused) <= MOST_REFUSED), "all ask within the rule's time");
    }

    #[test]
    fn who_finds_nobody_asks_again_soon() {
        let mut calls = Calls::new(100, 1);
        (0..20).for_each(|_| _ = calls.next(Call::Refused));
        (0..20).for_each(|_| assert!(calls.next(Call::Away) <= LONGEST_WAIT));
        calls.moved();
        assert!(calls.next(Call::Away) <= FIRST_WAIT * 2);
    }
}
