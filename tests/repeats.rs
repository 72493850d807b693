//! Repeats and refusals, in a model of servers that may not have heard yet that an attempt was given up.
//!
//! The decisions are driven with any order of reads, rejections, broken connections, time-outs, cancels, timers and
//! clients that leave. What the model knows and the router does not is what really happened at the servers. A refusal
//! is checked as if its client sent the request again at once, or after the time that it was told.

mod common;

use common::*;
use proptest::prelude::*;
use shedrelay::*;
use std::collections::BTreeMap;

const FIRST_WRITER: u64 = 10;
const BUDGET_MS: u64 = 5_000;
const BACK_OFF_MS: u64 = 300;

/// What happens next to the oldest open request, the second oldest and so on, by its place.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask,
    Written(usize),
    /// A read ends well, or a stream; what was not written whole by then breaks off.
    Served(usize),
    TurnedAway(usize),
    NoState(usize),
    Error(usize),
    Broken(usize),
    /// An answer that cannot be read: the router ends the connection.
    Spoilt(usize),
    /// A rejection that may belong to an earlier request on the connection.
    Stray(usize),
    TimedOut(usize),
    Leaves(usize),
    CloseArrives,
    Wait(u64),
}

/// An attempt as it really is.
struct Real {
    server: u64,
    sent: u64,
    written: bool,
    turned_away: bool,
    out: bool,
}

impl Real {
    fn may_have_run(&self) -> bool {
        self.server > FIRST_WRITER && self.written && !self.turned_away
    }
}

#[derive(Default)]
struct Open {
    attempts: Vec<Real>,
    waits: bool,
    answered: bool,
    left: bool,
    deadline: u64,
}

struct World {
    bench: Bench,
    effect: Effect,
    open: BTreeMap<u64, Open>,
    last: u64,
}

fn cell(server: u64) -> u64 {
    server % 2
}

impl World {
    fn new(effect: Effect) -> Self {
        let mut told = settings(effect);
        told.max_backoff = Some(Span::from_millis(BACK_OFF_MS));
        let readers = (1..=3).map(|id| member(id, 0, cell(id)));
        let writers = (11..=14).map(|id| member(id, 1, cell(id)));
        let bench = Bench::new(told, readers.chain(writers).collect());
        World { bench, effect, open: BTreeMap::new(), last: 0 }
    }

    /// The number of the request at this place, if an attempt of it is out.
    fn out(&self, place: usize) -> Option<u64> {
        let mut out = self.open.iter().filter(|(_, open)| open.waits);
        out.nth(place).map(|(id, _)| *id)
    }

    fn end(&mut self, place: usize, verdict: Verdict, evidence: Evidence) {
        if let Some(id) = self.out(place) {
            self.end_of(id, verdict, evidence);
        }
    }

    fn end_of(&mut self, id: u64, verdict: Verdict, evidence: Evidence) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = Attempt(open.attempts.len() as u32 - 1);
        let Some(real) = open.attempts.last_mut() else { return };
        open.waits = false;
        real.out = evidence == Evidence::Router;
        real.turned_away =
            evidence == Evidence::Server && matches!(verdict, Verdict::Full | Verdict::NoState);
        let verdict = if real.written { verdict } else { Verdict::NoRoute };
        let settled = verdict == Verdict::Ok || open.answered;
        open.answered |= settled;
        let outcome =
            Outcome { request: RequestId(id), attempt, verdict, evidence, settled, kept: None, report: None };
        let actions = self.bench.hear(Event::Outcome(outcome));
        self.follow(actions);
    }

    fn follow(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => self.sent(request.0, server.0),
                Action::Refuse { request, backoff } => self.refused(request.0, backoff),
                Action::Fail(request) => self.answered(request.0),
                Action::Cancel { request, .. } => {
                    self.end_of(request.0, Verdict::Cancelled, Evidence::Router);
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, id: u64, server: u64) {
        let (now, effect) = (self.bench.now, self.effect);
        let open = self.open.get_mut(&id).expect("sent for an open request");
        assert!(!open.answered && !open.left && !open.waits, "sent although answered, left or out");
        for ran in open.attempts.iter().filter(|real| real.may_have_run()) {
            let fits = match effect {
                Effect::Safe => true,
                Effect::Unsafe => false,
                Effect::Keyed(scope, window) => {
                    now < ran.sent + window.0
                        && (scope == DedupScope::All || cell(server) == cell(ran.server))
                }
            };
            assert!(fits, "run again at {server} although it may have run at {}", ran.server);
        }
        open.waits = true;
        open.attempts.push(Real { server, sent: now, written: false, turned_away: false, out: true });
    }

    fn refused(&mut self, id: u64, back_off: Option<Span>) {
        let again = self.bench.now + back_off.unwrap_or_default().0;
        let open = &self.open[&id];
        for real in open.attempts.iter().filter(|real| real.may_have_run() || (real.written && real.out)) {
            let harmless = match self.effect {
                Effect::Safe => true,
                Effect::Keyed(DedupScope::All, window) => again < real.sent + window.0,
                _ => false,
            };
            assert!(harmless, "refused although an attempt at {} may have run or be out", real.server);
        }
        self.answered(id);
    }

    fn answered(&mut self, id: u64) {
        let open = self.open.get_mut(&id).expect("answered once");
        assert!(!open.answered, "answered twice");
        open.answered = true;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask => {
                self.last += 1;
                let deadline = self.bench.now + BUDGET_MS * MS;
                self.open.insert(self.last, Open { deadline, ..Open::default() });
                let actions = self.bench.ask(self.last, None);
                self.follow(actions);
            }
            Step::Written(place) => {
                let open = self.out(place).and_then(|id| self.open.get_mut(&id));
                if let Some(real) = open.and_then(|open| open.attempts.last_mut()) {
                    real.written = true;
                }
            }
            Step::Served(place) => {
                let Some(id) = self.out(place) else { return };
                let reads = self.open[&id].attempts.last().is_some_and(|real| real.server < FIRST_WRITER);
                let verdict = if reads { Verdict::Read } else { Verdict::Ok };
                self.end_of(id, verdict, Evidence::Server);
            }
            Step::TurnedAway(place) => self.end(place, Verdict::Full, Evidence::Server),
            Step::NoState(place) => self.end(place, Verdict::NoState, Evidence::Server),
            Step::Error(place) => self.end(place, Verdict::Error, Evidence::Server),
            Step::Broken(place) => self.end(place, Verdict::Reset, Evidence::Server),
            Step::Spoilt(place) => self.end(place, Verdict::Spoilt, Evidence::Router),
            Step::Stray(place) => self.end(place, Verdict::Full, Evidence::Router),
            Step::TimedOut(place) => self.end(place, Verdict::Timeout, Evidence::Router),
            Step::Leaves(place) => {
                let Some(id) = self.out(place) else { return };
                let open = self.open.get_mut(&id).expect("open");
                if !open.answered {
                    (open.left, open.answered) = (true, true);
                    let actions = self.bench.hear(Event::ClientLeft(RequestId(id)));
                    self.follow(actions);
                }
            }
            Step::CloseArrives => {
                for open in self.open.values_mut() {
                    let given_up = open.attempts.len() - usize::from(open.waits);
                    open.attempts[..given_up].iter_mut().for_each(|real| real.out = false);
                }
            }
            Step::Wait(ms) => {
                self.bench.now += ms * MS;
                let late = |open: &Open| open.waits && self.bench.now >= open.deadline;
                let late: Vec<u64> =
                    self.open.iter().filter(|(_, open)| late(open)).map(|(id, _)| *id).collect();
                late.into_iter().for_each(|id| self.end_of(id, Verdict::Timeout, Evidence::Router));
                let actions = self.bench.hear(Event::Timer(TimerId(1)));
                self.follow(actions);
            }
        }
        self.open.retain(|_, open| !open.answered || open.waits);
    }
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0..3usize;
    prop_oneof![
        3 => Just(Step::Ask),
        8 => place.clone().prop_map(Step::Written),
        4 => place.clone().prop_map(Step::Served),
        1 => place.clone().prop_map(Step::TurnedAway),
        1 => place.clone().prop_map(Step::NoState),
        1 => place.clone().prop_map(Step::Error),
        1 => place.clone().prop_map(Step::Broken),
        1 => place.clone().prop_map(Step::Spoilt),
        1 => place.clone().prop_map(Step::Stray),
        2 => place.clone().prop_map(Step::TimedOut),
        1 => place.prop_map(Step::Leaves),
        2 => Just(Step::CloseArrives),
        4 => (1..1_500u64).prop_map(Step::Wait),
    ]
}

fn effect() -> impl Strategy<Value = Effect> {
    let window = || (100..3_000u64).prop_map(Span::from_millis);
    prop_oneof![
        1 => Just(Effect::Safe),
        3 => Just(Effect::Unsafe),
        2 => window().prop_map(|window| Effect::Keyed(DedupScope::All, window)),
        1 => window().prop_map(|window| Effect::Keyed(DedupScope::Zone, window)),
        1 => window().prop_map(|window| Effect::Keyed(DedupScope::Cell, window)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(3_000) })]

    #[test]
    fn nothing_runs_twice_in_any_order_of_events(
        effect in effect(),
        steps in prop::collection::vec(step(), 10..80),
    ) {
        let mut world = World::new(effect);
        steps.into_iter().for_each(|step| world.step(step));
    }
}
