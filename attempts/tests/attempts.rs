//! Properties of the proof that attempts leave, against a model that knows what really happened at the servers.

use fawnstream_attempts::{Attempts, Evidence, MAX_TRANSIT, Proof, RepeatPolicy};
use proptest::prelude::*;
use std::time::Duration;

/// What the network and the servers do next to the attempt that is out, or to one that was given up.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A new attempt goes to this server if none is out; servers below 4 only read.
    Send(u8),
    /// The last byte of the request is written.
    Write,
    /// The server ends a read, or a stream, in whatever way.
    ServerEnds,
    /// The server turns the request away.
    TurnedAway,
    /// A rejection comes that may belong to an earlier request on the same connection.
    StrayRejection,
    /// The router gives the attempt up: a cancel, a time-out, a client that left, a stop.
    GiveUp,
    /// The close of every connection that was given up reaches its server.
    CloseArrives,
    /// Time passes, in milliseconds.
    Wait(u16),
}

const READERS: u8 = 4;

/// An attempt as only the model sees it.
#[derive(Clone, Copy)]
struct Real {
    server: u8,
    sent: Duration,
    written: bool,
    turned_away: bool,
    /// Its server may still work on it.
    out: bool,
}

impl Real {
    fn reads(&self) -> bool {
        self.server < READERS
    }

    fn may_have_run(&self) -> bool {
        !self.reads() && self.written && !self.turned_away
    }

    /// Sending the request again now could make it run twice, or run while this one is out.
    fn is_doubtful(&self) -> bool {
        self.may_have_run() || (self.written && self.out)
    }
}

#[derive(Default)]
struct World {
    now: Duration,
    attempts: Attempts<u8>,
    real: Vec<Real>,
    waits: bool,
}

impl World {
    fn current(&mut self) -> Option<&mut Real> {
        self.real.last_mut().filter(|_| self.waits)
    }

    fn end(&mut self, turned_away: bool, evidence: Evidence) {
        let Some(real) = self.current() else { return };
        real.turned_away = turned_away && evidence == Evidence::Server;
        real.out = evidence == Evidence::Router;
        let proof = match real.written {
            true => Proof::of(real.reads(), turned_away, evidence),
            false => Proof::NeverSent,
        };
        self.waits = false;
        self.attempts.end(proof);
    }

    /// Attempts go where the proof allows them; a read may go anywhere.
    fn may_send(&self, repeat: RepeatPolicy, server: u8) -> bool {
        let grouped = |first| group(first) == group(server);
        !self.waits && (server < READERS || self.attempts.may_repeat(repeat, self.now, grouped))
    }

    fn step(&mut self, repeat: RepeatPolicy, step: Step) {
        match step {
            Step::Send(server) if self.may_send(repeat, server) => {
                self.real.push(Real {
                    server,
                    sent: self.now,
                    written: false,
                    turned_away: false,
                    out: true,
                });
                self.attempts.begin(server, self.now);
                self.waits = true;
            }
            Step::Send(_) => {}
            Step::Write => self.current().into_iter().for_each(|real| real.written = true),
            Step::ServerEnds => self.end(false, Evidence::Server),
            Step::TurnedAway if self.current().is_some_and(|real| real.written) => {
                self.end(true, Evidence::Server);
            }
            Step::TurnedAway => {}
            Step::StrayRejection => self.end(true, Evidence::Router),
            Step::GiveUp => self.end(false, Evidence::Router),
            Step::CloseArrives => {
                let given_up = self.real.len() - usize::from(self.waits);
                self.real[..given_up].iter_mut().for_each(|real| real.out = false);
            }
            Step::Wait(ms) => self.now += Duration::from_millis(ms.into()),
        }
    }

    /// Whether a refusal is harmless, by what really happened.
    fn refusal_is_harmless(&self, repeat: RepeatPolicy, back_off: Duration) -> bool {
        let again = self.now + back_off + MAX_TRANSIT;
        // The next byte of the attempt that is out may be its last one.
        let current = self.real.last().filter(|_| self.waits);
        let mut doubtful = self.real.iter().filter(|real| real.is_doubtful()).chain(current);
        match repeat {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => doubtful.all(|real| again < real.sent + window),
            RepeatPolicy::DedupInGroup(_) | RepeatPolicy::Never => doubtful.next().is_none(),
        }
    }

    /// Whether an attempt at this server is harmless.
    fn repeat_is_harmless(&self, repeat: RepeatPolicy, server: u8) -> bool {
        let again = self.now + MAX_TRANSIT;
        let mut ran = self.real.iter().filter(|real| real.may_have_run());
        match repeat {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => ran.all(|real| again < real.sent + window),
            RepeatPolicy::DedupInGroup(window) => {
                ran.all(|real| again < real.sent + window && group(real.server) == group(server))
            }
            RepeatPolicy::Never => ran.next().is_none(),
        }
    }
}

fn group(server: u8) -> u8 {
    server % 2
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..8u8).prop_map(Step::Send),
        3 => Just(Step::Write),
        1 => Just(Step::ServerEnds),
        1 => Just(Step::TurnedAway),
        1 => Just(Step::StrayRejection),
        2 => Just(Step::GiveUp),
        1 => Just(Step::CloseArrives),
        1 => (0..400u16).prop_map(Step::Wait),
    ]
}

fn repeat() -> impl Strategy<Value = RepeatPolicy> {
    let window = || (1..2_000u64).prop_map(Duration::from_millis);
    prop_oneof![
        Just(RepeatPolicy::Idempotent),
        window().prop_map(RepeatPolicy::DedupEverywhere),
        window().prop_map(RepeatPolicy::DedupInGroup),
        Just(RepeatPolicy::Never),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(10_000) })]

    /// Whatever was sent, cut, answered, called off or left, in any order: what the proof allows is harmless.
    #[test]
    fn what_is_allowed_is_harmless(
        steps in prop::collection::vec(step(), 1..30),
        repeat in repeat(),
        back_off in (0..300u64).prop_map(Duration::from_millis),
        next in READERS..8u8,
    ) {
        let mut world = World::default();
        for step in steps {
            world.step(repeat, step);
            let refused = world.attempts.may_refuse(repeat, world.now, back_off);
            prop_assert!(!refused || world.refusal_is_harmless(repeat, back_off));
            let repeated = world.attempts.may_repeat(repeat, world.now, |first| group(first) == group(next));
            prop_assert!(!repeated || (!world.waits && world.repeat_is_harmless(repeat, next)));
        }
    }

    /// What the servers have disproved costs no refusal: only doubt does.
    #[test]
    fn what_never_ran_may_be_refused(sends in prop::collection::vec((0..8u8, any::<bool>()), 0..6)) {
        let mut world = World::default();
        for (server, written) in sends {
            world.step(RepeatPolicy::Never, Step::Send(server));
            if written {
                world.step(RepeatPolicy::Never, Step::Write);
                world.step(RepeatPolicy::Never, Step::TurnedAway);
            } else {
                world.step(RepeatPolicy::Never, Step::GiveUp);
            }
            prop_assert!(world.attempts.may_refuse(RepeatPolicy::Never, world.now, Duration::ZERO));
            prop_assert!(world.attempts.may_repeat(RepeatPolicy::Never, world.now, |_| false));
        }
    }
}

/// A caller that loses track of an attempt cannot make it vanish.
#[test]
fn an_attempt_without_an_end_may_have_run() {
    let mut attempts = Attempts::default();
    attempts.begin(1, Duration::ZERO);
    attempts.begin(2, Duration::from_millis(5));
    attempts.end(Proof::NoEffect);
    assert!(!attempts.in_flight());
    assert_eq!(attempts.first_possible_run().map(|sent| sent.server), Some(1));
    assert!(!attempts.may_refuse(RepeatPolicy::Never, Duration::from_secs(1), Duration::ZERO));
}

/// An attempt that was given up with nothing heard for it may be read by a process that goes on much later: no repeat and no
/// refusal follows it, whatever the class's window, unless the class may run at any time.
#[test]
fn nothing_follows_an_attempt_that_may_run_later() {
    let window = Duration::from_secs(60);
    let mut attempts = Attempts::default();
    attempts.begin(1, Duration::ZERO);
    attempts.end(Proof::of(false, false, Evidence::Silence));
    let now = Duration::from_millis(5);
    for repeat in
        [RepeatPolicy::DedupEverywhere(window), RepeatPolicy::DedupInGroup(window), RepeatPolicy::Never]
    {
        assert!(!attempts.may_repeat(repeat, now, |_| true), "{repeat:?}");
        assert!(!attempts.may_refuse(repeat, now, Duration::ZERO), "{repeat:?}");
    }
    assert!(attempts.may_repeat(RepeatPolicy::Idempotent, now, |_| true));
    assert!(attempts.may_refuse(RepeatPolicy::Idempotent, now, Duration::ZERO));
}
