//! Properties of leases, in a model of requests, servers and the network in steps of 5 ms. Its servers follow the pages: a
//! release lets go only of what no attempt waits for, and an attempt waits from its arrival until its server has noticed
//! its end.

mod common;

use common::{CONFIG, ms};
use fawnstream_fleet::reach::Reach;
use fawnstream_leases::{Action, AttemptEnd, LeaseConfig, Leases, Permission, ReleaseOutcome};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// All requests have ended long before this step.
const STEPS: u32 = 4_000;
/// A server has noticed the end of a connection after this time.
const LONGEST_NOTICED: Duration = Duration::from_millis(375);
/// A process stands still for so many steps at most, 3.4 s: releases are repeated for four seconds.
const LONGEST_STOP_STEPS: u16 = 680;
/// An attempt whose connection comes up later than this has failed.
const CONNECT_STEPS: u8 = 50;

/// What a server does with a release.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// It answers after so many steps, and has worked on it so many steps before that.
    Answers(u8, u8),
    Refuses,
    Silent,
    /// All connections are in use, for the first so many calls.
    Busy(u8),
    /// It releases, and its answer is lost.
    Mute,
}

/// What becomes of an attempt: steps until it is written, if it is; then until it ends, and how.
#[derive(Clone, Debug)]
struct Try {
    /// Steps before it starts.
    pause: u8,
    connects: Option<u8>,
    lasts: u8,
    /// It is written on a connection that has fallen silent: it never arrives, and nobody says so.
    swallowed: bool,
    ends: End,
    /// Its server notices the end so many steps late, where that is not its own word.
    noticed: u8,
    server: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// A read that ended well, or a writer that turned it away.
    Well,
    /// It broke off or was given up; a read may still end well until its server notices.
    Broke {
        state_shows: bool,
    },
    /// Its server closed the connection.
    Closed,
    Begins,
    /// It was given up since the request is over: it failed, or its client left.
    Over,
}

#[derive(Clone, Debug)]
struct World {
    /// The settings' limit, in milliseconds.
    within: u64,
    ways: Vec<Way>,
    /// From which step on, and for how many, each server's process stands still; none at the first, which is always in reach.
    stops: Vec<Option<(u16, u16)>>,
    scripts: Vec<(u8, Vec<Try>)>,
}

fn attempt() -> impl Strategy<Value = Try> {
    let end = prop_oneof![
        3 => Just(End::Well),
        2 => any::<bool>().prop_map(|state_shows| End::Broke { state_shows }),
        1 => Just(End::Closed),
        2 => Just(End::Begins),
        1 => Just(End::Over),
    ];
    let pause = prop_oneof![6 => Just(0u8), 1 => 0..200u8];
    let connects = prop_oneof![6 => 0..4u8, 2 => Just(CONNECT_STEPS), 1 => 0..200u8];
    let swallowed = prop_oneof![3 => Just(false), 1 => Just(true)];
    // Most are short; some outlast several releases.
    let lasts = prop_oneof![2 => 1..40u8, 1 => 100..255u8];
    let noticed = prop_oneof![1 => Just(0u8), 1 => 0..100u8];
    let connects = proptest::option::weighted(0.9, connects);
    (pause, connects, lasts, swallowed, end, noticed, 0..6u8).prop_map(
        |(pause, connects, lasts, swallowed, ends, noticed, server)| Try {
            pause,
            connects,
            lasts,
            swallowed,
            ends,
            noticed,
            server,
        },
    )
}

fn world() -> impl Strategy<Value = World> {
    let way = prop_oneof![
        (1..8u8, 0..8u8).prop_map(|(after, before)| Way::Answers(after, before.min(after))),
        Just(Way::Refuses),
        Just(Way::Silent),
        (0..5u8).prop_map(Way::Busy),
        Just(Way::Mute)
    ];
    let script = (0..60u8, proptest::collection::vec(attempt(), 1..8));
    // The first server is always in reach.
    let first = (1..8u8, 0..8u8);
    let ways = (first, proptest::collection::vec(way, 0..5)).prop_map(|((after, before), mut ways)| {
        ways.insert(0, Way::Answers(after, before.min(after)));
        ways
    });
    let within = prop_oneof![2 => Just(500u64), 1 => 200..2_000u64];
    let stop = proptest::option::of((0..400u16, 1..LONGEST_STOP_STEPS));
    let stops = proptest::collection::vec(stop, 5);
    let scripts = proptest::collection::vec(script, 1..12);
    (within, ways, stops, scripts).prop_map(|(within, ways, mut stops, scripts)| {
        stops.insert(0, None);
        World { within, ways, stops, scripts }
    })
}

/// One request, as its servers see it.
#[derive(Default)]
struct Truth {
    /// States that are held, by reader: from when on.
    states: BTreeMap<u64, Duration>,
    /// Attempts that wait: until when; none while they are out.
    waiting: Vec<Option<Duration>>,
    /// Nobody has waited since.
    idle_since: Duration,
}

impl Truth {
    fn has_state(&self, now: Duration) -> bool {
        self.states.values().any(|from| *from <= now)
    }

    fn is_awaited(&self, now: Duration) -> bool {
        self.waiting.iter().any(|until| until.is_none_or(|until| until > now))
    }

    /// An attempt that is out ends, and its server notices at this time.
    fn ends(&mut self, noticed_at: Duration) {
        if let Some(out) = self.waiting.iter_mut().find(|until| until.is_none()) {
            *out = Some(noticed_at);
        }
        self.idle_since = self.idle_since.max(noticed_at);
    }

    fn release(&mut self, now: Duration) {
        if !self.is_awaited(now) {
            self.states.retain(|_, from| *from > now);
        }
    }

    /// For how long something has stood with nobody waiting for it.
    fn unattended(&self, now: Duration) -> Duration {
        if self.is_awaited(now) {
            return Duration::ZERO;
        }
        let since = |from: &Duration| now.saturating_sub((*from).max(self.idle_since));
        self.states.values().map(since).max().unwrap_or_default()
    }
}

/// A request, as its router sees it.
enum Phase {
    Before,
    Starts { until: Option<Duration>, write_by: Option<Duration> },
    Waits,
    Out { until: Duration, reads: bool },
    Over,
}

/// A release under way.
struct Call {
    request: u64,
    server: u64,
    effect_at: Option<Duration>,
    ends_at: Duration,
    outcome: ReleaseOutcome,
}

fn stopped((from, steps): (u16, u16)) -> (Duration, Duration) {
    (STEP * u32::from(from), STEP * u32::from(from + steps))
}

struct Player {
    config: LeaseConfig,
    leases: Leases<u64>,
    reach: Reach,
    ways: Vec<Way>,
    /// From when on, and until when, each server's process stands still.
    stops: Vec<Option<(Duration, Duration)>>,
    calls: Vec<Call>,
    truth: HashMap<u64, Truth>,
    phases: HashMap<u64, Phase>,
    /// Requests whose state the router means to use.
    usable: HashMap<u64, bool>,
    most_calls: usize,
}

impl Player {
    fn new(world: &World) -> Self {
        let config = LeaseConfig { release_within: ms(world.within), ..CONFIG };
        let mut reach = Reach::default();
        (0..world.ways.len() as u64).for_each(|server| reach.join(server, server as usize % 2));
        Player {
            config,
            leases: Leases::new(config),
            reach,
            ways: world.ways.clone(),
            stops: world.stops.iter().map(|stop| stop.map(stopped)).collect(),
            calls: Vec::new(),
            truth: HashMap::new(),
            phases: HashMap::new(),
            usable: HashMap::new(),
            most_calls: 0,
        }
    }

    fn poll(&mut self, now: Duration) {
        for action in self.leases.poll(now, &self.reach) {
            match action {
                Action::SendRelease { request, server, .. } => {
                    // Nobody means to use what is released with no attempt out.
                    if matches!(self.phases.get(&request), None | Some(Phase::Before | Phase::Waits)) {
                        self.usable.insert(request, false);
                    }
                    self.send_release(request, server, now);
                }
                Action::ReleasesEnded { request, write_by } => {
                    self.calls.retain(|call| call.request != request);
                    if let Some(Phase::Waits) = self.phases.get(&request) {
                        // Its connection is looked for from here on.
                        self.phases.insert(request, Phase::Starts { until: None, write_by });
                    }
                }
                Action::ReleasedUnderAttempt { request, held, .. } => {
                    assert!(held >= self.config.release_within / 2, "request {request} after {held:?}");
                    self.usable.insert(request, false);
                }
                Action::ReleaseLate { .. } | Action::LeaseAbandoned { .. } => {
                    panic!("late, with a server in reach")
                }
            }
        }
    }

    /// When a server's process runs, at this time or next after it.
    fn runs_at(&self, server: u64, at: Duration) -> Duration {
        match self.stops.get(server as usize).copied().flatten() {
            Some((from, until)) if from <= at && at < until => until,
            _ => at,
        }
    }

    fn send_release(&mut self, request: u64, server: u64, now: Duration) {
        let runs_at = self.runs_at(server, now);
        if runs_at > now {
            // Its machine takes the release, and the process works on it when it goes on.
            let (effect_at, ends_at) = (Some(runs_at), now + self.config.release_timeout());
            self.calls.push(Call { request, server, effect_at, ends_at, outcome: ReleaseOutcome::Failed });
            self.most_calls = self.most_calls.max(self.calls.len());
            return;
        }
        let way = &mut self.ways[server as usize];
        let (effect, after, outcome) = match way {
            Way::Answers(steps, before) => {
                let effect = STEP * u32::from(*steps - *before);
                (Some(effect), STEP * u32::from(*steps), ReleaseOutcome::Answered)
            }
            Way::Refuses => (None, STEP, ReleaseOutcome::Failed),
            Way::Silent => (None, self.config.release_timeout(), ReleaseOutcome::Failed),
            Way::Mute => (Some(Duration::ZERO), self.config.release_timeout(), ReleaseOutcome::Failed),
            Way::Busy(0) => (Some(STEP), STEP, ReleaseOutcome::Answered),
            Way::Busy(left) => {
                *left -= 1;
                (None, Duration::ZERO, ReleaseOutcome::Unsent)
            }
        };
        let (effect_at, ends_at) = (effect.map(|effect| now + effect), now + after);
        self.calls.push(Call { request, server, effect_at, ends_at, outcome });
        self.most_calls = self.most_calls.max(self.calls.len());
        self.work_on_releases(now);
    }

    /// Releases have their effect when their servers work on them.
    fn work_on_releases(&mut self, now: Duration) {
        for call in &mut self.calls {
            if call.effect_at.is_some_and(|at| at <= now) {
                call.effect_at = None;
                if let Some(truth) = self.truth.get_mut(&call.request) {
                    truth.release(now);
                }
            }
        }
    }

    fn answers(&mut self, now: Duration) {
        self.work_on_releases(now);
        while let Some(place) = self.calls.iter().position(|call| call.ends_at <= now) {
            let Call { request, server, outcome, .. } = self.calls.swap_remove(place);
            match outcome {
                ReleaseOutcome::Answered => self.reach.heard(server, now),
                ReleaseOutcome::Failed => self.reach.failed(server, now),
                ReleaseOutcome::Unsent => {}
            }
            self.leases.release_ended(request, server, outcome, now, &self.reach);
            self.poll(now);
        }
    }

    /// A request's next step. True if its attempt has ended.
    fn step(&mut self, id: u64, attempt: &Try, now: Duration) -> bool {
        let server = u64::from(attempt.server) % self.ways.len() as u64;
        match self.phases.remove(&id).unwrap_or(Phase::Before) {
            Phase::Before => {
                let until = attempt.connects.map(|steps| now + STEP * u32::from(steps));
                let next = match self.leases.attempt_starts(id, now) {
                    Permission::Now { write_by } => Phase::Starts { until: until.or(Some(now)), write_by },
                    Permission::AfterRelease => Phase::Waits,
                };
                self.phases.insert(id, next);
                self.poll(now);
                false
            }
            Phase::Starts { until, write_by } => {
                let until = until.unwrap_or(now + STEP * u32::from(attempt.connects.unwrap_or(0)));
                let too_late = write_by.is_some_and(|write_by| now >= write_by);
                let fails = attempt.connects.is_none_or(|steps| steps >= CONNECT_STEPS);
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
                    true => self.begins(id, attempt, now),
                    false => Phase::Starts { until: Some(until), write_by },
                };
                self.phases.insert(id, next);
                false
            }
            Phase::Out { until, reads } if now >= until => {
                self.ends(id, attempt, server, reads, now);
                self.poll(now);
                true
            }
            phase => {
                self.phases.insert(id, phase);
                false
            }
        }
    }

    /// An attempt's last byte is written.
    fn begins(&mut self, id: u64, attempt: &Try, now: Duration) -> Phase {
        let reads = !self.usable.get(&id).copied().unwrap_or(false);
        if !attempt.swallowed {
            self.truth.entry(id).or_default().waiting.push(None);
        }
        Phase::Out { until: now + STEP * u32::from(attempt.lasts), reads }
    }

    fn ends(&mut self, id: u64, attempt: &Try, server: u64, reads: bool, now: Duration) {
        let within = self.config.release_within;
        // Servers that notice an end later are in doubt, of which nothing is asked here.
        let latest = (within * 2 / 3).min(LONGEST_NOTICED);
        let noticed_at = self.runs_at(server, now) + (STEP * u32::from(attempt.noticed)).min(latest);
        // A process that stands still says nothing.
        let stands_still = self.runs_at(server, now) > now;
        let ends = match attempt.ends {
            End::Over => End::Over,
            _ if stands_still => End::Broke { state_shows: true },
            ends => ends,
        };
        let truth = self.truth.entry(id).or_default();
        if attempt.swallowed {
            // What it would have read or taken it has not.
            return self.fails(id, server, reads, AttemptEnd::Unanswered, now);
        }
        match ends {
            End::Begins if !reads && truth.has_state(now) => {
                truth.ends(now);
                // All that is held goes by itself; a read that was given up may still end well.
                truth.states.retain(|_, from| *from > now);
                self.leases.answer_began(id, now);
                self.phases.insert(id, Phase::Over);
            }
            End::Begins if !reads => {
                truth.ends(now);
                self.fails(id, server, reads, AttemptEnd::StateNotFound, now);
            }
            End::Well | End::Begins if reads => {
                truth.ends(now);
                truth.states.insert(server, now);
                self.leases.read_ended(id, &id, server, now);
                self.usable.insert(id, true);
            }
            End::Well | End::Begins => {
                truth.ends(now);
                self.fails(id, server, reads, AttemptEnd::Answered, now);
            }
            End::Broke { state_shows } => {
                truth.ends(noticed_at);
                if reads && state_shows {
                    truth.states.insert(server, noticed_at);
                }
                self.fails(id, server, reads, AttemptEnd::Unanswered, now);
            }
            End::Closed => {
                // A reader that has closed the connection may read on.
                truth.ends(if reads { noticed_at } else { now });
                if reads {
                    truth.states.insert(server, noticed_at);
                }
                self.fails(id, server, reads, AttemptEnd::Closed, now);
            }
            End::Over => {
                truth.ends(noticed_at);
                self.fails(id, server, reads, AttemptEnd::Unanswered, now);
                self.leases.request_closed(id, now);
                self.phases.insert(id, Phase::Over);
            }
        }
    }

    fn fails(&mut self, id: u64, server: u64, reads: bool, end: AttemptEnd, now: Duration) {
        match reads {
            true => self.leases.read_lost(id, &id, server, end, now),
            false => self.leases.attempt_ended(id, server, end, now),
        }
        if end == AttemptEnd::StateNotFound {
            self.usable.insert(id, false);
        }
    }

    /// Nothing will happen any more.
    fn is_at_rest(&self, now: Duration) -> bool {
        let all_over = self.phases.len() == self.truth.len() && self.truth.keys().all(|id| self.is_over(*id));
        let shown = |truth: &Truth| truth.states.is_empty() && !truth.is_awaited(now);
        all_over && self.leases.is_empty() && self.calls.is_empty() && self.truth.values().all(shown)
    }

    fn is_over(&self, id: u64) -> bool {
        matches!(self.phases.get(&id), Some(Phase::Over))
    }
}

fn play(world: &World) -> Player {
    let mut player = Player::new(world);
    let mut places = vec![0; world.scripts.len()];
    let mut paused = vec![0; world.scripts.len()];
    for request in 0..world.scripts.len() as u64 {
        player.truth.entry(request).or_default();
    }
    for step in 0..STEPS {
        let now = STEP * step;
        player.answers(now);
        for (request, (begins, tries)) in world.scripts.iter().enumerate() {
            let id = request as u64;
            if player.is_over(id) || step < u32::from(*begins) {
                continue;
            }
            let Some(attempt) = tries.get(places[request]) else {
                player.phases.insert(id, Phase::Over);
                player.leases.request_closed(id, now);
                player.poll(now);
                continue;
            };
            if !player.phases.contains_key(&id) && paused[request] < attempt.pause {
                paused[request] += 1;
                continue;
            }
            if player.step(id, attempt, now) {
                places[request] += 1;
                paused[request] = 0;
            }
        }
        if player.leases.next_due().is_some_and(|next| next <= now) {
            player.poll(now);
        }
        if player.is_at_rest(now) {
            break;
        }
        let limit = player.config.release_within + player.config.grace;
        for (id, truth) in &player.truth {
            let unattended = truth.unattended(now);
            assert!(unattended <= limit, "request {id} at {now:?}: {unattended:?}: {:?}", truth.states);
        }
    }
    player
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    /// Whatever is held is released in time while a server is in reach, also behind attempts that never arrive, behind ends
    /// that are noticed late and behind releases that were made in vain; nothing is kept for what is over.
    #[test]
    fn nothing_is_held_past_its_time(world in world()) {
        let player = play(&world);
        prop_assert!(player.calls.is_empty());
        prop_assert!(player.leases.is_empty(), "{:?}", player.leases);
        prop_assert!(player.most_calls <= CONFIG.max_concurrent_releases);
        for (id, truth) in &player.truth {
            prop_assert!(truth.states.is_empty(), "request {id}: {:?}", truth.states);
        }
    }
}
