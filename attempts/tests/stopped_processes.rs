//! Server processes that stand still: all orders of what can happen to the attempts of one keyed request at two servers, to a
//! stated depth.
//!
//! What can happen: a machine takes an attempt while its process stands still, the router gives the attempt up and resets its
//! connection, and the process reads the attempt when it goes on, however late. A reset takes back nothing that a machine
//! has taken. If the request was sent again meanwhile, both run, and the later one runs when nobody drops it any more.
//!
//! Two rules forbid that. An attempt that was given up with nothing heard for it is followed by none ([`Evidence::Silence`]).
//! And a repeat begins only at a process that has just shown that it runs ([`SignOfLife`]). What is left is a process that
//! stops between its sign of life and the arrival of the repeat; the last test shows that nothing else is.

use fawnstream_attempts::decisions::{BeginFacts, SignOfLife, may_begin};
use fawnstream_attempts::{Attempts, Evidence, MAX_TRANSIT, Proof, RepeatPolicy};
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(600);
/// Each order has so many steps.
const DEPTH: usize = 7;
/// What waits at machines in the end is read after this time.
const MUCH_LATER: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The router sends an attempt, if it may.
    Send(usize),
    /// The same, and the process stops before the attempt's bytes have come.
    SendAndStop(usize),
    /// A process stands still.
    Stop(usize),
    /// It goes on, and reads what its machine has taken.
    GoOn(usize),
    /// It dies, and what its machine has taken is gone; a new one runs.
    Die(usize),
    /// The server ends the attempt's connection without an answer.
    Close,
    /// The server turns the attempt away.
    TurnAway,
    /// The router gives the attempt up and resets its connection.
    GiveUp,
    Wait(Duration),
}

const STEPS: [Step; 15] = [
    Step::Send(0),
    Step::Send(1),
    Step::SendAndStop(0),
    Step::SendAndStop(1),
    Step::Stop(0),
    Step::Stop(1),
    Step::GoOn(0),
    Step::GoOn(1),
    Step::Die(0),
    Step::Die(1),
    Step::Close,
    Step::TurnAway,
    Step::GiveUp,
    Step::Wait(Duration::from_millis(250)),
    Step::Wait(Duration::from_millis(700)),
];

/// An attempt as only its server knows it.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// Its server's machine has it.
    Taken,
    /// The process read it then.
    Read(Duration),
    /// It never runs.
    Void,
}

#[derive(Clone, Default)]
struct World {
    now: Duration,
    attempts: Attempts<usize>,
    deliveries: Vec<(usize, Delivery)>,
    stopped: [bool; 2],
}

impl World {
    /// Does a step; false if it changes nothing.
    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Send(server) => self.send(server, false),
            Step::SendAndStop(server) => !self.stopped[server] && self.send(server, true),
            Step::Stop(server) => !std::mem::replace(&mut self.stopped[server], true),
            Step::GoOn(server) => {
                std::mem::replace(&mut self.stopped[server], false) && self.read_all(server)
            }
            Step::Die(server) => self.die(server),
            Step::Close => self.answered(Proof::of(false, false, Evidence::Server)),
            Step::TurnAway => {
                let ended = self.answered(Proof::of(false, true, Evidence::Server));
                if ended && let Some((_, delivery)) = self.deliveries.last_mut() {
                    *delivery = Delivery::Void;
                }
                ended
            }
            Step::GiveUp => self.attempts.in_flight() && self.end(Proof::of(false, false, Evidence::Silence)),
            Step::Wait(time) => {
                self.now += time;
                true
            }
        }
    }

    fn send(&mut self, server: usize, stops: bool) -> bool {
        let repeat = RepeatPolicy::DedupEverywhere(WINDOW);
        if self.attempts.in_flight()
            || !self.attempts.may_repeat(repeat, self.now, |_| true)
            || !self.begins(server)
        {
            return false;
        }
        self.attempts.begin(server, self.now);
        self.stopped[server] |= stops;
        let delivery = if self.stopped[server] { Delivery::Taken } else { Delivery::Read(self.now) };
        self.deliveries.push((server, delivery));
        true
    }

    /// Whether an attempt's first byte is written: a process that does not run shows no sign of life.
    fn begins(&self, server: usize) -> bool {
        let sign_of_life = match self.attempts.first_possible_run() {
            None => SignOfLife::NotNeeded,
            Some(_) if self.stopped[server] => SignOfLife::Missing,
            Some(_) => SignOfLife::Seen { ago: Duration::ZERO },
        };
        let facts = BeginFacts {
            client_waits: true,
            draining_for: None,
            drain_grace: Duration::ZERO,
            time_left: Some(Duration::ZERO),
            sign_of_life,
        };
        may_begin(&facts).is_ok()
    }

    fn read_all(&mut self, server: usize) -> bool {
        for (_, delivery) in self.deliveries.iter_mut().filter(|(at, _)| *at == server) {
            if matches!(delivery, Delivery::Taken) {
                *delivery = Delivery::Read(self.now);
            }
        }
        true
    }

    fn die(&mut self, server: usize) -> bool {
        let mut lost = false;
        for (_, delivery) in self.deliveries.iter_mut().filter(|(at, _)| *at == server) {
            if matches!(delivery, Delivery::Taken) {
                (*delivery, lost) = (Delivery::Void, true);
            }
        }
        let out_there =
            self.attempts.in_flight() && self.deliveries.last().is_some_and(|(at, _)| *at == server);
        self.stopped[server] = false;
        (out_there && self.end(Proof::of(false, false, Evidence::Server))) || lost
    }

    /// The server's own word: only a process that runs has one.
    fn answered(&mut self, proof: Proof) -> bool {
        let runs = self.deliveries.last().is_some_and(|(server, _)| !self.stopped[*server]);
        self.attempts.in_flight() && runs && self.end(proof)
    }

    fn end(&mut self, proof: Proof) -> bool {
        self.attempts.end(proof);
        true
    }

    /// How far apart the attempts are that run, if all processes go on much later.
    fn spread(&self) -> Duration {
        let read = |(_, delivery): &(usize, Delivery)| match delivery {
            Delivery::Read(at) => Some(*at),
            Delivery::Taken => Some(self.now + MUCH_LATER),
            Delivery::Void => None,
        };
        let times = || self.deliveries.iter().filter_map(read);
        times().max().unwrap_or_default() - times().min().unwrap_or_default()
    }

    fn runs_outside_its_window(&self) -> bool {
        self.deliveries.len() > 1 && self.spread() > WINDOW + MAX_TRANSIT
    }
}

/// All orders to [`DEPTH`] in which the request runs outside its window, with the number of orders that were tried.
fn bad_orders(allowed: impl Fn(Step) -> bool + Copy) -> (Vec<Vec<Step>>, usize) {
    fn explore(
        world: &World,
        order: &mut Vec<Step>,
        allowed: impl Fn(Step) -> bool + Copy,
        bad: &mut Vec<Vec<Step>>,
        tried: &mut usize,
    ) {
        *tried += 1;
        if world.runs_outside_its_window() {
            return bad.push(order.clone());
        }
        if order.len() == DEPTH {
            return;
        }
        for step in STEPS.into_iter().filter(|step| allowed(*step)) {
            let mut next = world.clone();
            if next.step(step) {
                order.push(step);
                explore(&next, order, allowed, bad, tried);
                order.pop();
            }
        }
    }
    let (mut bad, mut tried) = (Vec::new(), 0);
    explore(&World::default(), &mut Vec::new(), allowed, &mut bad, &mut tried);
    (bad, tried)
}

fn stops_on_the_way(step: &Step) -> bool {
    matches!(step, Step::SendAndStop(_))
}

/// With repeats that reach a process that runs, no order runs a request outside its window.
#[test]
fn no_order_runs_a_keyed_request_outside_its_window() {
    let (bad, tried) = bad_orders(|step| !stops_on_the_way(&step));
    assert!(tried > 10_000, "{tried} orders");
    assert!(bad.is_empty(), "{} of {tried} orders, the first: {:?}", bad.len(), bad[0]);
}

/// What no router can exclude: the process of a repeat stops between its sign of life and the arrival of the bytes.
#[test]
fn only_a_process_that_stops_on_the_way_of_a_repeat_runs_it_late() {
    let (bad, _) = bad_orders(|_| true);
    assert!(!bad.is_empty());
    let other = bad.iter().find(|order| {
        let sends = order.iter().filter(|step| matches!(step, Step::Send(_) | Step::SendAndStop(_)));
        !sends.skip(1).any(stops_on_the_way)
    });
    assert!(other.is_none(), "{other:?}");
}
