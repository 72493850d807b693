//! Stopped server processes: explores all sequences of steps, up to a fixed depth, for the attempts of one request with
//! an idempotency key at two servers.
//!
//! The failure: a machine accepts an attempt while its process is stopped, the router gives the attempt up and resets
//! the connection, and the process still reads the attempt when it resumes, however late. If the request was repeated
//! in the meantime, both attempts run, the later one after servers no longer drop it as a repeat.
//!
//! Two rules prevent that. No attempt follows one that was given up without any sign from its server
//! ([`Evidence::Silence`]), and a repeat begins only at a process that has just shown that it is running
//! ([`SignOfLife`]). The only remaining case is a process that stops between its sign of life and the arrival of the
//! repeat; the last test shows that there is no other.

use fawnstream_attempts::decisions::{BeginFacts, SignOfLife, may_begin};
use fawnstream_attempts::{Attempts, Evidence, MAX_TRANSIT, Proof, RepeatPolicy};
use std::time::Duration;

/// Servers drop repeats for this long after the first send.
const DEDUP_WINDOW: Duration = Duration::from_millis(600);
/// Number of steps in a sequence.
const DEPTH: usize = 7;
/// Attempts that a machine still holds at the end are read after this time.
const RESUME_DELAY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The router sends an attempt if that is allowed.
    Send(usize),
    /// Like `Send`, and the process stops before the attempt arrives.
    SendAndStop(usize),
    /// The process stops.
    Stop(usize),
    /// The process resumes and reads what its machine has accepted.
    Resume(usize),
    /// The process dies, what its machine has accepted is lost, and a new process starts.
    Die(usize),
    /// The server ends the attempt's connection without an answer.
    Close,
    /// The server rejects the attempt.
    Reject,
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
    Step::Resume(0),
    Step::Resume(1),
    Step::Die(0),
    Step::Die(1),
    Step::Close,
    Step::Reject,
    Step::GiveUp,
    Step::Wait(Duration::from_millis(250)),
    Step::Wait(Duration::from_millis(700)),
];

/// What really happened to an attempt.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The machine has accepted it, the process has not read it.
    Accepted,
    /// The process read it at this time.
    Read(Duration),
    /// It never runs.
    Lost,
}

#[derive(Clone, Default)]
struct World {
    now: Duration,
    attempts: Attempts<usize>,
    deliveries: Vec<(usize, Delivery)>,
    stopped: [bool; 2],
}

impl World {
    /// Performs a step; false if it changes nothing.
    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Send(server) => self.send(server, false),
            Step::SendAndStop(server) => !self.stopped[server] && self.send(server, true),
            Step::Stop(server) => !std::mem::replace(&mut self.stopped[server], true),
            Step::Resume(server) => {
                std::mem::replace(&mut self.stopped[server], false) && self.read_all(server)
            }
            Step::Die(server) => self.die(server),
            Step::Close => self.answered(Proof::of(false, false, Evidence::Server)),
            Step::Reject => {
                let ended = self.answered(Proof::of(false, true, Evidence::Server));
                if ended && let Some((_, delivery)) = self.deliveries.last_mut() {
                    *delivery = Delivery::Lost;
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

    fn send(&mut self, server: usize, stop: bool) -> bool {
        let policy = RepeatPolicy::DedupEverywhere(DEDUP_WINDOW);
        if self.attempts.in_flight()
            || !self.attempts.may_repeat(policy, self.now, |_| true)
            || !self.may_begin_at(server)
        {
            return false;
        }
        self.attempts.begin(server, self.now);
        self.stopped[server] |= stop;
        let delivery = if self.stopped[server] { Delivery::Accepted } else { Delivery::Read(self.now) };
        self.deliveries.push((server, delivery));
        true
    }

    /// Whether an attempt's first byte may be written; a stopped process gives no sign of life.
    fn may_begin_at(&self, server: usize) -> bool {
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
            if matches!(delivery, Delivery::Accepted) {
                *delivery = Delivery::Read(self.now);
            }
        }
        true
    }

    fn die(&mut self, server: usize) -> bool {
        let mut lost = false;
        for (_, delivery) in self.deliveries.iter_mut().filter(|(at, _)| *at == server) {
            if matches!(delivery, Delivery::Accepted) {
                (*delivery, lost) = (Delivery::Lost, true);
            }
        }
        let in_flight_here =
            self.attempts.in_flight() && self.deliveries.last().is_some_and(|(at, _)| *at == server);
        self.stopped[server] = false;
        (in_flight_here && self.end(Proof::of(false, false, Evidence::Server))) || lost
    }

    /// Ends the attempt by an answer of the server, which only a running process can give.
    fn answered(&mut self, proof: Proof) -> bool {
        let running = self.deliveries.last().is_some_and(|(server, _)| !self.stopped[*server]);
        self.attempts.in_flight() && running && self.end(proof)
    }

    fn end(&mut self, proof: Proof) -> bool {
        self.attempts.end(proof);
        true
    }

    /// Time between the first and the last run of an attempt if all stopped processes resume much later.
    fn spread(&self) -> Duration {
        let read = |(_, delivery): &(usize, Delivery)| match delivery {
            Delivery::Read(at) => Some(*at),
            Delivery::Accepted => Some(self.now + RESUME_DELAY),
            Delivery::Lost => None,
        };
        let times = || self.deliveries.iter().filter_map(read);
        times().max().unwrap_or_default() - times().min().unwrap_or_default()
    }

    fn runs_outside_window(&self) -> bool {
        self.deliveries.len() > 1 && self.spread() > DEDUP_WINDOW + MAX_TRANSIT
    }
}

/// All sequences up to [`DEPTH`] in which the request runs outside its window, and the number of sequences tried.
fn bad_sequences(allowed: impl Fn(Step) -> bool + Copy) -> (Vec<Vec<Step>>, usize) {
    fn explore(
        world: &World,
        sequence: &mut Vec<Step>,
        allowed: impl Fn(Step) -> bool + Copy,
        bad: &mut Vec<Vec<Step>>,
        tried: &mut usize,
    ) {
        *tried += 1;
        if world.runs_outside_window() {
            return bad.push(sequence.clone());
        }
        if sequence.len() == DEPTH {
            return;
        }
        for step in STEPS.into_iter().filter(|step| allowed(*step)) {
            let mut next = world.clone();
            if next.step(step) {
                sequence.push(step);
                explore(&next, sequence, allowed, bad, tried);
                sequence.pop();
            }
        }
    }
    let (mut bad, mut tried) = (Vec::new(), 0);
    explore(&World::default(), &mut Vec::new(), allowed, &mut bad, &mut tried);
    (bad, tried)
}

fn stops_in_transit(step: &Step) -> bool {
    matches!(step, Step::SendAndStop(_))
}

/// If no process stops while an attempt is in transit, the request never runs outside its window.
#[test]
fn keyed_request_never_runs_outside_its_window() {
    let (bad, tried) = bad_sequences(|step| !stops_in_transit(&step));
    assert!(tried > 10_000, "{tried} sequences");
    assert!(bad.is_empty(), "{} of {tried} sequences, the first: {:?}", bad.len(), bad[0]);
}

/// No router can exclude that a process stops between its sign of life and the arrival of a repeat.
#[test]
fn only_a_process_that_stops_while_a_repeat_is_in_transit_runs_it_late() {
    let (bad, _) = bad_sequences(|_| true);
    assert!(!bad.is_empty());
    let other = bad.iter().find(|sequence| {
        let sends = sequence.iter().filter(|step| matches!(step, Step::Send(_) | Step::SendAndStop(_)));
        !sends.skip(1).any(stops_in_transit)
    });
    assert!(other.is_none(), "{other:?}");
}
