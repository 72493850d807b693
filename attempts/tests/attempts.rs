//! Property tests of `Attempts` against a model that knows what really happened at the servers.

use fawnstream_attempts::{Attempts, Evidence, MAX_TRANSIT, Proof, RepeatPolicy};
use proptest::prelude::*;
use std::time::Duration;

/// What happens next to the attempt in flight, or to one that was given up.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A new attempt goes to this server if none is in flight; servers below 4 are readers.
    Send(u8),
    /// The last byte of the request is written.
    Write,
    /// The server ends a read or a stream, with any outcome.
    ServerEnds,
    /// The server rejects the request.
    Rejected,
    /// A rejection comes that may belong to an earlier request on the same connection.
    StrayRejection,
    /// The router gives the attempt up: cancel, timeout, client gone, or shutdown.
    GiveUp,
    /// Servers see the close of all connections that were given up.
    CloseArrives,
    /// Time passes, in milliseconds.
    Wait(u16),
}

const READERS: u8 = 4;

/// What really happened to an attempt.
#[derive(Clone, Copy)]
struct ActualAttempt {
    server: u8,
    sent: Duration,
    written: bool,
    rejected: bool,
    /// Its server may still work on it.
    in_flight: bool,
}

impl ActualAttempt {
    fn reads(&self) -> bool {
        self.server < READERS
    }

    fn may_have_run(&self) -> bool {
        !self.reads() && self.written && !self.rejected
    }

    /// Sending the request again now could make it run twice, or while this attempt is in flight.
    fn is_doubtful(&self) -> bool {
        self.may_have_run() || (self.written && self.in_flight)
    }
}

#[derive(Default)]
struct World {
    now: Duration,
    attempts: Attempts<u8>,
    actual: Vec<ActualAttempt>,
    /// The router waits for the end of the last attempt.
    waiting: bool,
}

impl World {
    fn current(&mut self) -> Option<&mut ActualAttempt> {
        self.actual.last_mut().filter(|_| self.waiting)
    }

    fn end(&mut self, rejected: bool, evidence: Evidence) {
        let Some(attempt) = self.current() else { return };
        attempt.rejected = rejected && evidence == Evidence::Server;
        attempt.in_flight = evidence == Evidence::Router;
        let proof = match attempt.written {
            true => Proof::of(attempt.reads(), rejected, evidence),
            false => Proof::NeverSent,
        };
        self.waiting = false;
        self.attempts.end(proof);
    }

    /// Writer attempts are sent only where `Attempts` allows them, reads always.
    fn may_send(&self, policy: RepeatPolicy, server: u8) -> bool {
        let same_group = |first| group(first) == group(server);
        !self.waiting && (server < READERS || self.attempts.may_repeat(policy, self.now, same_group))
    }

    fn step(&mut self, policy: RepeatPolicy, step: Step) {
        match step {
            Step::Send(server) if self.may_send(policy, server) => {
                self.actual.push(ActualAttempt {
                    server,
                    sent: self.now,
                    written: false,
                    rejected: false,
                    in_flight: true,
                });
                self.attempts.begin(server, self.now);
                self.waiting = true;
            }
            Step::Send(_) => {}
            Step::Write => self.current().into_iter().for_each(|attempt| attempt.written = true),
            Step::ServerEnds => self.end(false, Evidence::Server),
            Step::Rejected if self.current().is_some_and(|attempt| attempt.written) => {
                self.end(true, Evidence::Server);
            }
            Step::Rejected => {}
            Step::StrayRejection => self.end(true, Evidence::Router),
            Step::GiveUp => self.end(false, Evidence::Router),
            Step::CloseArrives => {
                let given_up = self.actual.len() - usize::from(self.waiting);
                self.actual[..given_up].iter_mut().for_each(|attempt| attempt.in_flight = false);
            }
            Step::Wait(ms) => self.now += Duration::from_millis(ms.into()),
        }
    }

    /// Whether a refusal is harmless, given what really happened.
    fn refusal_is_harmless(&self, policy: RepeatPolicy, back_off: Duration) -> bool {
        let again = self.now + back_off + MAX_TRANSIT;
        // The last byte of the attempt in flight may be written next.
        let current = self.actual.last().filter(|_| self.waiting);
        let mut doubtful = self.actual.iter().filter(|attempt| attempt.is_doubtful()).chain(current);
        match policy {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => doubtful.all(|attempt| again < attempt.sent + window),
            RepeatPolicy::DedupInGroup(_) | RepeatPolicy::Never => doubtful.next().is_none(),
        }
    }

    /// Whether an attempt at this server is harmless, given what really happened.
    fn repeat_is_harmless(&self, policy: RepeatPolicy, server: u8) -> bool {
        let again = self.now + MAX_TRANSIT;
        let mut ran = self.actual.iter().filter(|attempt| attempt.may_have_run());
        match policy {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::DedupEverywhere(window) => ran.all(|attempt| again < attempt.sent + window),
            RepeatPolicy::DedupInGroup(window) => {
                ran.all(|attempt| again < attempt.sent + window && group(attempt.server) == group(server))
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
        1 => Just(Step::Rejected),
        1 => Just(Step::StrayRejection),
        2 => Just(Step::GiveUp),
        1 => Just(Step::CloseArrives),
        1 => (0..400u16).prop_map(Step::Wait),
    ]
}

fn repeat_policy() -> impl Strategy<Value = RepeatPolicy> {
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

    /// After any sequence of steps, every refusal and repeat that is allowed is harmless.
    #[test]
    fn allowed_refusals_and_repeats_are_harmless(
        steps in prop::collection::vec(step(), 1..30),
        policy in repeat_policy(),
        back_off in (0..300u64).prop_map(Duration::from_millis),
        next in READERS..8u8,
    ) {
        let mut world = World::default();
        for step in steps {
            world.step(policy, step);
            let refused = world.attempts.may_refuse(policy, world.now, back_off);
            prop_assert!(!refused || world.refusal_is_harmless(policy, back_off));
            let repeated = world.attempts.may_repeat(policy, world.now, |first| group(first) == group(next));
            prop_assert!(!repeated || (!world.waiting && world.repeat_is_harmless(policy, next)));
        }
    }

    /// Attempts that provably never ran neither prevent a refusal nor a repeat.
    #[test]
    fn attempts_that_never_ran_allow_refusal_and_repeat(sends in prop::collection::vec((0..8u8, any::<bool>()), 0..6)) {
        let mut world = World::default();
        for (server, written) in sends {
            world.step(RepeatPolicy::Never, Step::Send(server));
            if written {
                world.step(RepeatPolicy::Never, Step::Write);
                world.step(RepeatPolicy::Never, Step::Rejected);
            } else {
                world.step(RepeatPolicy::Never, Step::GiveUp);
            }
            prop_assert!(world.attempts.may_refuse(RepeatPolicy::Never, world.now, Duration::ZERO));
            prop_assert!(world.attempts.may_repeat(RepeatPolicy::Never, world.now, |_| false));
        }
    }
}

/// An attempt is not forgotten if the caller never reports its end.
#[test]
fn attempt_without_an_end_counts_as_possibly_run() {
    let mut attempts = Attempts::default();
    attempts.begin(1, Duration::ZERO);
    attempts.begin(2, Duration::from_millis(5));
    attempts.end(Proof::NoEffect);
    assert!(!attempts.in_flight());
    assert_eq!(attempts.first_possible_run().map(|sent| sent.server), Some(1));
    assert!(!attempts.may_refuse(RepeatPolicy::Never, Duration::from_secs(1), Duration::ZERO));
}

/// A stopped process may read an attempt much later if the router gave it up without any sign from the server. So no
/// repeat and no refusal may follow, whatever the dedup window, unless the request is idempotent.
#[test]
fn no_repeat_or_refusal_after_an_attempt_that_may_run_later() {
    let window = Duration::from_secs(60);
    let mut attempts = Attempts::default();
    attempts.begin(1, Duration::ZERO);
    attempts.end(Proof::of(false, false, Evidence::Silence));
    let now = Duration::from_millis(5);
    for policy in
        [RepeatPolicy::DedupEverywhere(window), RepeatPolicy::DedupInGroup(window), RepeatPolicy::Never]
    {
        assert!(!attempts.may_repeat(policy, now, |_| true), "{policy:?}");
        assert!(!attempts.may_refuse(policy, now, Duration::ZERO), "{policy:?}");
    }
    assert!(attempts.may_repeat(RepeatPolicy::Idempotent, now, |_| true));
    assert!(attempts.may_refuse(RepeatPolicy::Idempotent, now, Duration::ZERO));
}
