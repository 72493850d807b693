//! Property tests of leases in a model of requests, servers and the network with steps of 5 ms. The model's
//! servers behave as the operators' documentation says: a release drops only states that no attempt waits
//! for, and an attempt waits from its arrival until its server has noticed its end.

mod common;

use common::{CONFIG, ms};
use fawnstream_fleet::reachability::Reachability;
use fawnstream_leases::{Action, AttemptEnd, LeaseConfig, Leases, Permission, ReleaseOutcome};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// Number of steps after which a run stops; all requests have ended long before.
const STEPS: u32 = 4_000;
/// Time within which a running server notices the end of a connection.
const LONGEST_NOTICE_DELAY: Duration = Duration::from_millis(375);
/// Maximum number of steps for which a process is stopped: 3.4 s, because releases are repeated for four
/// seconds.
const LONGEST_STOP_STEPS: u16 = 680;
/// An attempt whose connection takes this many steps or more has failed.
const CONNECT_TIMEOUT_STEPS: u8 = 50;

/// How a server handles release calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReleaseBehavior {
    /// Answers after the first number of steps; the release takes effect the second number of steps before
    /// that.
    Answers(u8, u8),
    Refuses,
    Silent,
    /// All connections are in use for this many first calls.
    Busy(u8),
    /// Releases the state, but its answer is lost.
    AnswerLost,
}

/// The course of an attempt: the steps until it is written, if it is, then the steps until it ends, and how.
#[derive(Clone, Debug)]
struct AttemptPlan {
    /// Steps before it starts.
    pause_steps: u8,
    connect_steps: Option<u8>,
    duration_steps: u8,
    /// It is written on a connection that has fallen silent: it never arrives, and nothing reports that.
    never_arrives: bool,
    end: EndPlan,
    /// Steps after which its server notices the end, unless the server itself ended it.
    notice_steps: u8,
    server: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EndPlan {
    /// A read that succeeded, or a writer's rejection.
    Completed,
    /// It broke off or was given up; a read may still succeed until its server notices the end.
    Broken {
        leaves_state: bool,
    },
    /// The server closed the connection.
    Closed,
    AnswerBegan,
    /// It was given up because the request is over: it failed, or its client left.
    RequestOver,
}

#[derive(Clone, Debug)]
struct Scenario {
    /// The limit `release_within`, in milliseconds.
    release_within_ms: u64,
    behaviors: Vec<ReleaseBehavior>,
    /// For each server the step at which its process stops and for how many steps; `None` for the first
    /// server, which is always reachable.
    stops: Vec<Option<(u16, u16)>>,
    scripts: Vec<(u8, Vec<AttemptPlan>)>,
}

fn attempt() -> impl Strategy<Value = AttemptPlan> {
    let end = prop_oneof![
        3 => Just(EndPlan::Completed),
        2 => any::<bool>().prop_map(|leaves_state| EndPlan::Broken { leaves_state }),
        1 => Just(EndPlan::Closed),
        2 => Just(EndPlan::AnswerBegan),
        1 => Just(EndPlan::RequestOver),
    ];
    let pause_steps = prop_oneof![6 => Just(0u8), 1 => 0..200u8];
    let connect_steps = prop_oneof![6 => 0..4u8, 2 => Just(CONNECT_TIMEOUT_STEPS), 1 => 0..200u8];
    let never_arrives = prop_oneof![3 => Just(false), 1 => Just(true)];
    // Most are short; some outlast several releases.
    let duration_steps = prop_oneof![2 => 1..40u8, 1 => 100..255u8];
    let notice_steps = prop_oneof![1 => Just(0u8), 1 => 0..100u8];
    let connect_steps = proptest::option::weighted(0.9, connect_steps);
    (pause_steps, connect_steps, duration_steps, never_arrives, end, notice_steps, 0..6u8).prop_map(
        |(pause_steps, connect_steps, duration_steps, never_arrives, end, notice_steps, server)| {
            AttemptPlan {
                pause_steps,
                connect_steps,
                duration_steps,
                never_arrives,
                end,
                notice_steps,
                server,
            }
        },
    )
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let behavior = prop_oneof![
        (1..8u8, 0..8u8).prop_map(|(after, before)| ReleaseBehavior::Answers(after, before.min(after))),
        Just(ReleaseBehavior::Refuses),
        Just(ReleaseBehavior::Silent),
        (0..5u8).prop_map(ReleaseBehavior::Busy),
        Just(ReleaseBehavior::AnswerLost)
    ];
    let script = (0..60u8, proptest::collection::vec(attempt(), 1..8));
    // The first server is always reachable.
    let first = (1..8u8, 0..8u8);
    let behaviors =
        (first, proptest::collection::vec(behavior, 0..5)).prop_map(|((after, before), mut behaviors)| {
            behaviors.insert(0, ReleaseBehavior::Answers(after, before.min(after)));
            behaviors
        });
    let release_within_ms = prop_oneof![2 => Just(500u64), 1 => 200..2_000u64];
    let stop = proptest::option::of((0..400u16, 1..LONGEST_STOP_STEPS));
    let stops = proptest::collection::vec(stop, 5);
    let scripts = proptest::collection::vec(script, 1..12);
    (release_within_ms, behaviors, stops, scripts).prop_map(
        |(release_within_ms, behaviors, mut stops, scripts)| {
            stops.insert(0, None);
            Scenario { release_within_ms, behaviors, stops, scripts }
        },
    )
}

/// The true state of one request at its servers.
#[derive(Default)]
struct RequestState {
    /// Held states: reader to the time since when it holds one.
    held_since: BTreeMap<u64, Duration>,
    /// Attempts that wait for the state: until when; `None` while they are in flight.
    waiting_until: Vec<Option<Duration>>,
    /// No attempt has been waiting since then.
    idle_since: Duration,
}

impl RequestState {
    fn has_state(&self, now: Duration) -> bool {
        self.held_since.values().any(|from| *from <= now)
    }

    fn is_awaited(&self, now: Duration) -> bool {
        self.waiting_until.iter().any(|until| until.is_none_or(|until| until > now))
    }

    /// An attempt in flight ends, and its server notices that at `noticed_at`.
    fn end_attempt(&mut self, noticed_at: Duration) {
        if let Some(until) = self.waiting_until.iter_mut().find(|until| until.is_none()) {
            *until = Some(noticed_at);
        }
        self.idle_since = self.idle_since.max(noticed_at);
    }

    fn release(&mut self, now: Duration) {
        if !self.is_awaited(now) {
            self.held_since.retain(|_, from| *from > now);
        }
    }

    /// How long a state has been held without an attempt waiting for it.
    fn unattended(&self, now: Duration) -> Duration {
        if self.is_awaited(now) {
            return Duration::ZERO;
        }
        let since = |from: &Duration| now.saturating_sub((*from).max(self.idle_since));
        self.held_since.values().map(since).max().unwrap_or_default()
    }
}

/// A request as its router sees it.
enum RequestPhase {
    Idle,
    Connecting { until: Option<Duration>, write_by: Option<Duration> },
    AwaitingRelease,
    InFlight { until: Duration, is_read: bool },
    Over,
}

/// A release call in flight.
struct ReleaseCall {
    request: u64,
    server: u64,
    effect_at: Option<Duration>,
    ends_at: Duration,
    outcome: ReleaseOutcome,
}

fn stop_times((from, steps): (u16, u16)) -> (Duration, Duration) {
    (STEP * u32::from(from), STEP * u32::from(from + steps))
}

struct Model {
    config: LeaseConfig,
    leases: Leases<u64>,
    reach: Reachability,
    behaviors: Vec<ReleaseBehavior>,
    /// From when and until when each server's process is stopped.
    stops: Vec<Option<(Duration, Duration)>>,
    calls: Vec<ReleaseCall>,
    request_states: HashMap<u64, RequestState>,
    phases: HashMap<u64, RequestPhase>,
    /// Whether the router means to use the request's state.
    usable: HashMap<u64, bool>,
    max_calls: usize,
}

impl Model {
    fn new(scenario: &Scenario) -> Self {
        let config = LeaseConfig { release_within: ms(scenario.release_within_ms), ..CONFIG };
        let mut reach = Reachability::default();
        (0..scenario.behaviors.len() as u64).for_each(|server| reach.add(server, server as usize % 2));
        Model {
            config,
            leases: Leases::new(config),
            reach,
            behaviors: scenario.behaviors.clone(),
            stops: scenario.stops.iter().map(|stop| stop.map(stop_times)).collect(),
            calls: Vec::new(),
            request_states: HashMap::new(),
            phases: HashMap::new(),
            usable: HashMap::new(),
            max_calls: 0,
        }
    }

    fn poll(&mut self, now: Duration) {
        for action in self.leases.poll(now, &self.reach) {
            match action {
                Action::SendRelease { request, server, .. } => {
                    // The router does not use a state that is released with no attempt in flight.
                    if matches!(
                        self.phases.get(&request),
                        None | Some(RequestPhase::Idle | RequestPhase::AwaitingRelease)
                    ) {
                        self.usable.insert(request, false);
                    }
                    self.send_release(request, server, now);
                }
                Action::StopReleases { request, write_by } => {
                    self.calls.retain(|call| call.request != request);
                    if let Some(RequestPhase::AwaitingRelease) = self.phases.get(&request) {
                        // The time for its connection starts here.
                        self.phases.insert(request, RequestPhase::Connecting { until: None, write_by });
                    }
                }
                Action::ReleasedDuringAttempt { request, held, .. } => {
                    assert!(held >= self.config.release_within / 2, "request {request} after {held:?}");
                    self.usable.insert(request, false);
                }
                Action::ReleaseLate { .. } | Action::LeaseAbandoned { .. } => {
                    panic!("release is late although a server is reachable")
                }
            }
        }
    }

    /// The first time at or after `at` at which the server's process runs.
    fn runs_at(&self, server: u64, at: Duration) -> Duration {
        match self.stops.get(server as usize).copied().flatten() {
            Some((from, until)) if from <= at && at < until => until,
            _ => at,
        }
    }

    fn send_release(&mut self, request: u64, server: u64, now: Duration) {
        let runs_at = self.runs_at(server, now);
        if runs_at > now {
            // The server's machine receives the call, and the process handles it when it continues.
            let (effect_at, ends_at) = (Some(runs_at), now + self.config.release_timeout());
            self.calls.push(ReleaseCall {
                request,
                server,
                effect_at,
                ends_at,
                outcome: ReleaseOutcome::Failed,
            });
            self.max_calls = self.max_calls.max(self.calls.len());
            return;
        }
        let behavior = &mut self.behaviors[server as usize];
        let (effect, after, outcome) = match behavior {
            ReleaseBehavior::Answers(steps, before) => {
                let effect = STEP * u32::from(*steps - *before);
                (Some(effect), STEP * u32::from(*steps), ReleaseOutcome::Answered)
            }
            ReleaseBehavior::Refuses => (None, STEP, ReleaseOutcome::Failed),
            ReleaseBehavior::Silent => (None, self.config.release_timeout(), ReleaseOutcome::Failed),
            ReleaseBehavior::AnswerLost => {
                (Some(Duration::ZERO), self.config.release_timeout(), ReleaseOutcome::Failed)
            }
            ReleaseBehavior::Busy(0) => (Some(STEP), STEP, ReleaseOutcome::Answered),
            ReleaseBehavior::Busy(left) => {
                *left -= 1;
                (None, Duration::ZERO, ReleaseOutcome::Unsent)
            }
        };
        let (effect_at, ends_at) = (effect.map(|effect| now + effect), now + after);
        self.calls.push(ReleaseCall { request, server, effect_at, ends_at, outcome });
        self.max_calls = self.max_calls.max(self.calls.len());
        self.apply_releases(now);
    }

    /// Applies the releases whose servers have handled them by now.
    fn apply_releases(&mut self, now: Duration) {
        for call in &mut self.calls {
            if call.effect_at.is_some_and(|at| at <= now) {
                call.effect_at = None;
                if let Some(state) = self.request_states.get_mut(&call.request) {
                    state.release(now);
                }
            }
        }
    }

    fn deliver_answers(&mut self, now: Duration) {
        self.apply_releases(now);
        while let Some(position) = self.calls.iter().position(|call| call.ends_at <= now) {
            let ReleaseCall { request, server, outcome, .. } = self.calls.swap_remove(position);
            match outcome {
                ReleaseOutcome::Answered => self.reach.record_answer(server, now),
                ReleaseOutcome::Failed => self.reach.record_unreachable(server, now),
                ReleaseOutcome::Unsent => {}
            }
            self.leases.release_ended(request, server, outcome, now, &self.reach);
            self.poll(now);
        }
    }

    /// Advances a request by one step. Returns true if its attempt has ended.
    fn step(&mut self, id: u64, attempt: &AttemptPlan, now: Duration) -> bool {
        let server = u64::from(attempt.server) % self.behaviors.len() as u64;
        match self.phases.remove(&id).unwrap_or(RequestPhase::Idle) {
            RequestPhase::Idle => {
                let until = attempt.connect_steps.map(|steps| now + STEP * u32::from(steps));
                let next = match self.leases.attempt_starts(id, now) {
                    Permission::Now { write_by } => {
                        RequestPhase::Connecting { until: until.or(Some(now)), write_by }
                    }
                    Permission::AfterRelease => RequestPhase::AwaitingRelease,
                };
                self.phases.insert(id, next);
                self.poll(now);
                false
            }
            RequestPhase::Connecting { until, write_by } => {
                let until = until.unwrap_or(now + STEP * u32::from(attempt.connect_steps.unwrap_or(0)));
                let too_late = write_by.is_some_and(|write_by| now >= write_by);
                let fails = attempt.connect_steps.is_none_or(|steps| steps >= CONNECT_TIMEOUT_STEPS);
                if too_late || (now >= until && fails) {
                    self.leases.attempt_ended(id, server, AttemptEnd::NotSent, now);
                    if too_late {
                        self.usable.insert(id, false);
                        self.leases.release(id, now);
                    }
                    self.poll(now);
                    return true;
                }
                let next = match now >= until {
                    true => self.start_flight(id, attempt, now),
                    false => RequestPhase::Connecting { until: Some(until), write_by },
                };
                self.phases.insert(id, next);
                false
            }
            RequestPhase::InFlight { until, is_read } if now >= until => {
                self.end_attempt(id, attempt, server, is_read, now);
                self.poll(now);
                true
            }
            phase => {
                self.phases.insert(id, phase);
                false
            }
        }
    }

    /// The last byte of an attempt has been written.
    fn start_flight(&mut self, id: u64, attempt: &AttemptPlan, now: Duration) -> RequestPhase {
        let is_read = !self.usable.get(&id).copied().unwrap_or(false);
        if !attempt.never_arrives {
            self.request_states.entry(id).or_default().waiting_until.push(None);
        }
        RequestPhase::InFlight { until: now + STEP * u32::from(attempt.duration_steps), is_read }
    }

    fn end_attempt(&mut self, id: u64, attempt: &AttemptPlan, server: u64, is_read: bool, now: Duration) {
        let release_within = self.config.release_within;
        // Servers that notice an end later than this count as possibly unreachable, which this model does not
        // cover.
        let latest = (release_within * 2 / 3).min(LONGEST_NOTICE_DELAY);
        let noticed_at = self.runs_at(server, now) + (STEP * u32::from(attempt.notice_steps)).min(latest);
        // A stopped process sends nothing.
        let is_stopped = self.runs_at(server, now) > now;
        let end = match attempt.end {
            EndPlan::RequestOver => EndPlan::RequestOver,
            _ if is_stopped => EndPlan::Broken { leaves_state: true },
            end => end,
        };
        let state = self.request_states.entry(id).or_default();
        if attempt.never_arrives {
            // The call never arrived, so it neither read nor fetched a state.
            return self.report_failure(id, server, is_read, AttemptEnd::Unanswered, now);
        }
        match end {
            EndPlan::AnswerBegan if !is_read && state.has_state(now) => {
                state.end_attempt(now);
                // The servers drop all held states by themselves; a read that was given up may still succeed.
                state.held_since.retain(|_, from| *from > now);
                self.leases.answer_began(id, now);
                self.phases.insert(id, RequestPhase::Over);
            }
            EndPlan::AnswerBegan if !is_read => {
                state.end_attempt(now);
                self.report_failure(id, server, is_read, AttemptEnd::StateNotFound, now);
            }
            EndPlan::Completed | EndPlan::AnswerBegan if is_read => {
                state.end_attempt(now);
                state.held_since.insert(server, now);
                self.leases.read_ended(id, &id, server, now);
                self.usable.insert(id, true);
            }
            EndPlan::Completed | EndPlan::AnswerBegan => {
                state.end_attempt(now);
                self.report_failure(id, server, is_read, AttemptEnd::Answered, now);
            }
            EndPlan::Broken { leaves_state } => {
                state.end_attempt(noticed_at);
                if is_read && leaves_state {
                    state.held_since.insert(server, noticed_at);
                }
                self.report_failure(id, server, is_read, AttemptEnd::Unanswered, now);
            }
            EndPlan::Closed => {
                // A reader that has closed the connection may still be reading.
                state.end_attempt(if is_read { noticed_at } else { now });
                if is_read {
                    state.held_since.insert(server, noticed_at);
                }
                self.report_failure(id, server, is_read, AttemptEnd::Closed, now);
            }
            EndPlan::RequestOver => {
                state.end_attempt(noticed_at);
                self.report_failure(id, server, is_read, AttemptEnd::Unanswered, now);
                self.leases.request_closed(id, now);
                self.phases.insert(id, RequestPhase::Over);
            }
        }
    }

    fn report_failure(&mut self, id: u64, server: u64, is_read: bool, end: AttemptEnd, now: Duration) {
        match is_read {
            true => self.leases.read_lost(id, &id, server, end, now),
            false => self.leases.attempt_ended(id, server, end, now),
        }
        if end == AttemptEnd::StateNotFound {
            self.usable.insert(id, false);
        }
    }

    /// Whether all requests are over and no state, lease or call is left.
    fn is_finished(&self, now: Duration) -> bool {
        let all_over = self.phases.len() == self.request_states.len()
            && self.request_states.keys().all(|id| self.is_over(*id));
        let is_clean = |state: &RequestState| state.held_since.is_empty() && !state.is_awaited(now);
        all_over
            && self.leases.is_empty()
            && self.calls.is_empty()
            && self.request_states.values().all(is_clean)
    }

    fn is_over(&self, id: u64) -> bool {
        matches!(self.phases.get(&id), Some(RequestPhase::Over))
    }
}

fn run_scenario(scenario: &Scenario) -> Model {
    let mut model = Model::new(scenario);
    let mut positions = vec![0; scenario.scripts.len()];
    let mut paused_steps = vec![0; scenario.scripts.len()];
    for request in 0..scenario.scripts.len() as u64 {
        model.request_states.entry(request).or_default();
    }
    for step in 0..STEPS {
        let now = STEP * step;
        model.deliver_answers(now);
        for (request, (first_step, attempts)) in scenario.scripts.iter().enumerate() {
            let id = request as u64;
            if model.is_over(id) || step < u32::from(*first_step) {
                continue;
            }
            let Some(attempt) = attempts.get(positions[request]) else {
                model.phases.insert(id, RequestPhase::Over);
                model.leases.request_closed(id, now);
                model.poll(now);
                continue;
            };
            if !model.phases.contains_key(&id) && paused_steps[request] < attempt.pause_steps {
                paused_steps[request] += 1;
                continue;
            }
            if model.step(id, attempt, now) {
                positions[request] += 1;
                paused_steps[request] = 0;
            }
        }
        if model.leases.next_due().is_some_and(|next| next <= now) {
            model.poll(now);
        }
        if model.is_finished(now) {
            break;
        }
        let limit = model.config.release_within + model.config.grace;
        for (id, state) in &model.request_states {
            let unattended = state.unattended(now);
            assert!(unattended <= limit, "request {id} at {now:?}: {unattended:?}: {:?}", state.held_since);
        }
    }
    model
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    /// Every state is released in time while one server is reachable: also if attempts never arrive, ends are
    /// noticed late or releases have no effect. No lease remains for a finished request.
    #[test]
    fn states_are_released_in_time_while_a_server_is_reachable(scenario in scenario()) {
        let model = run_scenario(&scenario);
        prop_assert!(model.calls.is_empty());
        prop_assert!(model.leases.is_empty(), "{:?}", model.leases);
        prop_assert!(model.max_calls <= CONFIG.max_concurrent_releases);
        for (id, state) in &model.request_states {
            prop_assert!(state.held_since.is_empty(), "request {id}: {:?}", state.held_since);
        }
    }
}
