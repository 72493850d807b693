//! Model test of retries and refusals: no request may run twice.
//!
//! Random orders of reads, rejections, broken connections, timeouts, cancels, timers and clients that leave drive the
//! router. The model also knows what really happened at the servers, which may not have noticed yet that an attempt
//! was given up. A refusal is checked as if its client retried at once or after the advised delay.

mod common;

use common::*;
use proptest::prelude::*;
use shedrelay::*;
use std::collections::BTreeMap;

const FIRST_WRITER: u64 = 10;
const BUDGET_MS: u64 = 5_000;
const BACKOFF_MS: u64 = 300;

/// A step of the model. The index selects a request with an attempt in flight, oldest first.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request,
    Written(usize),
    /// A read or an answer ends well, or the connection fails if the request was not written completely.
    Completed(usize),
    Rejected(usize),
    NoState(usize),
    Error(usize),
    Broken(usize),
    /// An unreadable answer: the router closes the connection.
    Unreadable(usize),
    /// A rejection that may be for an earlier request on the connection.
    StrayRejection(usize),
    TimedOut(usize),
    ClientLeaves(usize),
    CloseArrives,
    Wait(u64),
}

/// The real state of an attempt.
struct RealAttempt {
    server: u64,
    sent: u64,
    written: bool,
    rejected: bool,
    in_flight: bool,
}

impl RealAttempt {
    fn may_have_run(&self) -> bool {
        self.server > FIRST_WRITER && self.written && !self.rejected
    }
}

#[derive(Default)]
struct OpenRequest {
    attempts: Vec<RealAttempt>,
    waiting: bool,
    answered: bool,
    left: bool,
    deadline: u64,
}

struct Model {
    harness: Harness,
    effect: Effect,
    open: BTreeMap<u64, OpenRequest>,
    last_id: u64,
}

fn cell(server: u64) -> u64 {
    server % 2
}

impl Model {
    fn new(effect: Effect) -> Self {
        let mut config = settings(effect);
        config.refusal_backoff = Some(Span::from_millis(BACKOFF_MS));
        let readers = (1..=3).map(|id| member(id, 0, cell(id)));
        let writers = (11..=14).map(|id| member(id, 1, cell(id)));
        let harness = Harness::new(config, readers.chain(writers).collect());
        Model { harness, effect, open: BTreeMap::new(), last_id: 0 }
    }

    /// Number of the request at this index among those with an attempt in flight.
    fn request_at(&self, index: usize) -> Option<u64> {
        let mut out = self.open.iter().filter(|(_, open)| open.waiting);
        out.nth(index).map(|(id, _)| *id)
    }

    fn end(&mut self, index: usize, verdict: Verdict, evidence: Evidence) {
        if let Some(id) = self.request_at(index) {
            self.end_request(id, verdict, evidence);
        }
    }

    fn end_request(&mut self, id: u64, verdict: Verdict, evidence: Evidence) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = Attempt(open.attempts.len() as u32 - 1);
        let Some(real) = open.attempts.last_mut() else { return };
        open.waiting = false;
        real.in_flight = evidence == Evidence::Router;
        real.rejected = evidence == Evidence::Server && matches!(verdict, Verdict::Full | Verdict::NoState);
        let verdict = if real.written { verdict } else { Verdict::NoRoute };
        let settled = verdict == Verdict::Ok || open.answered;
        open.answered |= settled;
        let outcome = Outcome {
            request: RequestId(id),
            attempt,
            verdict,
            evidence,
            settled,
            cached_tokens: None,
            report: None,
        };
        let actions = self.harness.handle(Event::Outcome(outcome));
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => self.sent(request.0, server.0),
                Action::Refuse { request, backoff } => self.refused(request.0, backoff),
                Action::Fail(request) => self.answered(request.0),
                Action::Cancel { request, .. } => {
                    self.end_request(request.0, Verdict::Cancelled, Evidence::Router);
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, id: u64, server: u64) {
        let (now, effect) = (self.harness.now, self.effect);
        let open = self.open.get_mut(&id).expect("sent for an open request");
        assert!(!open.answered && !open.left && !open.waiting, "sent although answered, left or out");
        for ran in open.attempts.iter().filter(|real| real.may_have_run()) {
            let allowed = match effect {
                Effect::Safe => true,
                Effect::Unsafe => false,
                Effect::Keyed(scope, window) => {
                    now < ran.sent + window.0
                        && (scope == DedupScope::All || cell(server) == cell(ran.server))
                }
            };
            assert!(allowed, "run again at {server} although it may have run at {}", ran.server);
        }
        open.waiting = true;
        open.attempts.push(RealAttempt {
            server,
            sent: now,
            written: false,
            rejected: false,
            in_flight: true,
        });
    }

    fn refused(&mut self, id: u64, backoff: Option<Span>) {
        let again = self.harness.now + backoff.unwrap_or_default().0;
        let open = &self.open[&id];
        for real in
            open.attempts.iter().filter(|real| real.may_have_run() || (real.written && real.in_flight))
        {
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
            Step::Request => {
                self.last_id += 1;
                let deadline = self.harness.now + BUDGET_MS * MS;
                self.open.insert(self.last_id, OpenRequest { deadline, ..OpenRequest::default() });
                let actions = self.harness.request(self.last_id, None);
                self.apply(actions);
            }
            Step::Written(index) => {
                let open = self.request_at(index).and_then(|id| self.open.get_mut(&id));
                if let Some(real) = open.and_then(|open| open.attempts.last_mut()) {
                    real.written = true;
                }
            }
            Step::Completed(index) => {
                let Some(id) = self.request_at(index) else { return };
                let reads = self.open[&id].attempts.last().is_some_and(|real| real.server < FIRST_WRITER);
                let verdict = if reads { Verdict::Read } else { Verdict::Ok };
                self.end_request(id, verdict, Evidence::Server);
            }
            Step::Rejected(index) => self.end(index, Verdict::Full, Evidence::Server),
            Step::NoState(index) => self.end(index, Verdict::NoState, Evidence::Server),
            Step::Error(index) => self.end(index, Verdict::Error, Evidence::Server),
            Step::Broken(index) => self.end(index, Verdict::Reset, Evidence::Server),
            Step::Unreadable(index) => self.end(index, Verdict::Spoilt, Evidence::Router),
            Step::StrayRejection(index) => self.end(index, Verdict::Full, Evidence::Router),
            Step::TimedOut(index) => self.end(index, Verdict::Timeout, Evidence::Router),
            Step::ClientLeaves(index) => {
                let Some(id) = self.request_at(index) else { return };
                let open = self.open.get_mut(&id).expect("open");
                if !open.answered {
                    (open.left, open.answered) = (true, true);
                    let actions = self.harness.handle(Event::ClientLeft(RequestId(id)));
                    self.apply(actions);
                }
            }
            Step::CloseArrives => {
                for open in self.open.values_mut() {
                    let given_up = open.attempts.len() - usize::from(open.waiting);
                    open.attempts[..given_up].iter_mut().for_each(|real| real.in_flight = false);
                }
            }
            Step::Wait(ms) => {
                self.harness.now += ms * MS;
                let late = |open: &OpenRequest| open.waiting && self.harness.now >= open.deadline;
                let late: Vec<u64> =
                    self.open.iter().filter(|(_, open)| late(open)).map(|(id, _)| *id).collect();
                late.into_iter().for_each(|id| self.end_request(id, Verdict::Timeout, Evidence::Router));
                let actions = self.harness.handle(Event::Timer(TimerId(1)));
                self.apply(actions);
            }
        }
        self.open.retain(|_, open| !open.answered || open.waiting);
    }
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..3usize;
    prop_oneof![
        3 => Just(Step::Request),
        8 => index.clone().prop_map(Step::Written),
        4 => index.clone().prop_map(Step::Completed),
        1 => index.clone().prop_map(Step::Rejected),
        1 => index.clone().prop_map(Step::NoState),
        1 => index.clone().prop_map(Step::Error),
        1 => index.clone().prop_map(Step::Broken),
        1 => index.clone().prop_map(Step::Unreadable),
        1 => index.clone().prop_map(Step::StrayRejection),
        2 => index.clone().prop_map(Step::TimedOut),
        1 => index.prop_map(Step::ClientLeaves),
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
    fn no_request_runs_twice_in_any_event_order(
        effect in effect(),
        steps in prop::collection::vec(step(), 10..80),
    ) {
        let mut model = Model::new(effect);
        steps.into_iter().for_each(|step| model.step(step));
    }
}
