//! Properties of the owner of holds, in a model of requests, servers and the network in steps of 5 ms.

use fawnstream_attempts::delivery::Delivery;
use fawnstream_fleet::reach::Reach;
use fawnstream_holds::{Act, Called, Holds, Start, Terms};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const TERMS: Terms =
    Terms { within: Duration::from_millis(500), grace: Duration::from_millis(300), at_once: 8, seed: 1 };
const STEP: Duration = Duration::from_millis(5);

/// What a server does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Answers(u8),
    Refuses,
    Silent,
    /// All connections are in use, for the first so many calls.
    Busy(u8),
    /// It lets go, and its answer is lost.
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
    /// Where.
    at: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// A read that ended well, or a writer that turned it away.
    Well,
    /// It broke off, and its state shows so many steps later, if at all.
    Broke(Option<u8>),
    Begins,
    /// The request is over: refused, or its client left.
    Over,
}

#[derive(Clone, Debug)]
struct World {
    /// The settings' time, in milliseconds.
    within: u64,
    ways: Vec<Way>,
    scripts: Vec<(u8, Vec<Try>)>,
}

fn world() -> impl Strategy<Value = World> {
    let way = prop_oneof![
        (1..8u8).prop_map(Way::Answers),
        Just(Way::Refuses),
        Just(Way::Silent),
        (0..5u8).prop_map(Way::Busy),
        Just(Way::Mute)
    ];
    let end = prop_oneof![
        3 => Just(End::Well),
        2 => proptest::option::of(0..95u8).prop_map(End::Broke),
        1 => Just(End::Begins),
        1 => Just(End::Over),
    ];
    let pause = prop_oneof![6 => Just(0u8), 1 => 0..200u8];
    let connects = prop_oneof![2 => 0..4u8, 2 => Just(50u8), 1 => 0..200u8];
    let swallowed = prop_oneof![3 => Just(false), 1 => Just(true)];
    // One that is swallowed lasts until it is given up.
    let lasts = |swallowed: bool, lasts: u8| if swallowed { lasts.saturating_mul(6) } else { lasts };
    let attempt = (pause, proptest::option::of(connects), 1..40u8, swallowed, end, 0..6u8).prop_map(
        move |(pause, connects, steps, swallowed, ends, at)| Try {
            pause,
            connects,
            lasts: lasts(swallowed, steps),
            swallowed,
            ends,
            at,
        },
    );
    let script = (0..60u8, proptest::collection::vec(attempt, 1..10));
    // The first server is always in reach.
    let ways = (1..8u8, proptest::collection::vec(way, 0..5)).prop_map(|(first, mut ways)| {
        ways.insert(0, Way::Answers(first));
        ways
    });
    let within = prop_oneof![2 => Just(500u64), 1 => 200..2_000u64];
    (within, ways, proptest::collection::vec(script, 1..12)).prop_map(|(within, ways, scripts)| World {
        within,
        ways,
        scripts,
    })
}

/// One request's truth.
#[derive(Default)]
struct Truth {
    /// States that are held, by server: from when on.
    states: BTreeMap<u64, Duration>,
    /// A running server has the attempt.
    live: bool,
    /// Since when that is so for none.
    idle: Duration,
    begun: bool,
}

enum Phase {
    Before,
    Starts { until: Option<Duration>, expires: Option<Duration> },
    Waits,
    Live { until: Duration },
    Over,
}

struct Player {
    terms: Terms,
    holds: Holds<u64>,
    reach: Reach,
    ways: Vec<Way>,
    /// Calls under way: request, server, when it ends and how.
    calls: Vec<(u64, u64, Duration, Called)>,
    truth: HashMap<u64, Truth>,
    phases: HashMap<u64, Phase>,
    asked: usize,
    most_calls: usize,
}

impl Player {
    fn act(&mut self, now: Duration) {
        for act in self.holds.act(now, &self.reach) {
            match act {
                Act::Ask { request, server, .. } => {
                    self.asked += 1;
                    // Under an attempt only what the router has seen nobody take for as long as it may wait.
                    let truth = &self.truth[&request];
                    let waited = now.saturating_sub(truth.idle);
                    assert!(!truth.live || waited >= self.terms.within / 2, "released after {waited:?}");
                    let way = &mut self.ways[server as usize];
                    let (after, how) = match way {
                        Way::Answers(steps) => (STEP * u32::from(*steps), Called::Answered),
                        Way::Refuses => (STEP, Called::Failed),
                        Way::Silent | Way::Mute => (self.terms.patience(), Called::Failed),
                        Way::Busy(0) => (STEP, Called::Answered),
                        Way::Busy(left) => {
                            *left -= 1;
                            (Duration::ZERO, Called::Unasked)
                        }
                    };
                    if matches!(self.ways[server as usize], Way::Mute) {
                        self.truth.get_mut(&request).unwrap().states.clear();
                    }
                    self.calls.push((request, server, now + after, how));
                    self.most_calls = self.most_calls.max(self.calls.len());
                }
                Act::Clear(request, expires) => {
                    self.calls.retain(|call| call.0 != request);
                    if let Some(Phase::Waits) = self.phases.get(&request) {
                        // Its connection is looked for from here on.
                        self.phases.insert(request, Phase::Starts { until: None, expires });
                    }
                }
                Act::Overdue { request, held, .. } => {
                    assert!(held >= self.terms.within / 2, "request {request} is overdue after {held:?}");
                }
                Act::Late { .. } | Act::Forgotten { .. } => panic!("late, with a server in reach"),
            }
        }
    }

    fn answers(&mut self, now: Duration) {
        while let Some(place) = self.calls.iter().position(|call| call.2 <= now) {
            let (request, server, _, how) = self.calls.swap_remove(place);
            match how {
                Called::Answered => {
                    self.truth.get_mut(&request).unwrap().states.retain(|_, from| *from > now);
                    self.reach.heard(server, now);
                }
                Called::Failed => self.reach.failed(server, now),
                Called::Unasked => {}
            }
            self.holds.called(request, server, how, now);
            self.act(now);
        }
    }
}

fn play(world: &World) -> Player {
    let terms = Terms { within: ms(world.within), ..TERMS };
    let mut reach = Reach::default();
    (0..world.ways.len() as u64).for_each(|server| reach.join(server, server as usize % 2));
    let mut player = Player {
        terms,
        holds: Holds::new(terms),
        reach,
        ways: world.ways.clone(),
        calls: Vec::new(),
        truth: HashMap::new(),
        phases: HashMap::new(),
        asked: 0,
        most_calls: 0,
    };
    let mut places = vec![0; world.scripts.len()];
    let mut paused = vec![0; world.scripts.len()];
    let size = world.ways.len() as u64;
    for step in 0..3_200u32 {
        let now = STEP * step;
        player.answers(now);
        for (request, (begins, tries)) in world.scripts.iter().enumerate() {
            let id = request as u64;
            let truth = player.truth.entry(id).or_default();
            let place = &mut places[request];
            let Some(attempt) = tries.get(*place) else {
                if !matches!(player.phases.get(&id), Some(Phase::Over)) {
                    player.phases.insert(id, Phase::Over);
                    player.holds.closed(id, now);
                    player.act(now);
                }
                continue;
            };
            let server = u64::from(attempt.at) % size;
            match player.phases.remove(&id).unwrap_or(Phase::Before) {
                Phase::Over => {
                    player.phases.insert(id, Phase::Over);
                }
                Phase::Before if step < u32::from(*begins) => {}
                Phase::Before if paused[request] < attempt.pause => paused[request] += 1,
                Phase::Before => {
                    paused[request] = 0;
                    let until = attempt.connects.map(|steps| now + STEP * u32::from(steps));
                    let next = match player.holds.starts(id, now) {
                        Start::Go(expires) => Phase::Starts { until: until.or(Some(now)), expires },
                        Start::Wait => Phase::Waits,
                    };
                    player.phases.insert(id, next);
                    player.act(now);
                }
                Phase::Waits => {
                    player.phases.insert(id, Phase::Waits);
                }
                Phase::Starts { until, expires } => {
                    let until = until.unwrap_or(now + STEP * u32::from(attempt.connects.unwrap_or(0)));
                    let lost = attempt.connects.is_none_or(|steps| steps >= 50);
                    if expires.is_some_and(|expires| now >= expires) || (now >= until && lost) {
                        // No connection in time, or none at all: on to the next one.
                        player.holds.ended(id, Delivery::Unsent, now);
                        if expires.is_some_and(|expires| now >= expires) {
                            player.holds.release(id, now);
                        }
                        *place += 1;
                        player.act(now);
                        player.phases.insert(id, Phase::Before);
                    } else if now >= until {
                        assert!(player.calls.iter().all(|call| call.0 != id), "live under a release");
                        truth.live = !attempt.swallowed;
                        player
                            .phases
                            .insert(id, Phase::Live { until: now + STEP * u32::from(attempt.lasts) });
                    } else {
                        player.phases.insert(id, Phase::Starts { until: Some(until), expires });
                    }
                }
                Phase::Live { until } if now < until => {
                    player.phases.insert(id, Phase::Live { until });
                }
                Phase::Live { .. } if attempt.swallowed => {
                    // Given up here; what it would have read or taken it has not.
                    match truth.states.is_empty() {
                        true => player.holds.lost(id, &id, server, now),
                        false => player.holds.ended(id, Delivery::Written, now),
                    }
                    *place += 1;
                    player.act(now);
                    player.phases.insert(id, Phase::Before);
                }
                Phase::Live { .. } => {
                    (truth.live, truth.idle) = (false, now);
                    let reads = truth.states.is_empty();
                    let mut next = Phase::Before;
                    match attempt.ends {
                        End::Begins => {
                            truth.states.clear();
                            truth.begun = true;
                            player.holds.began(id);
                            next = Phase::Over;
                        }
                        End::Well if reads => {
                            truth.states.insert(server, now);
                            player.holds.read(id, &id, server, now);
                        }
                        End::Broke(shows) if reads => {
                            if let Some(steps) = shows {
                                // Later than that no rule asks for it.
                                let shows = (STEP * u32::from(steps)).min(terms.within * 2 / 3);
                                truth.states.insert(server, now + shows);
                            }
                            player.holds.lost(id, &id, server, now);
                        }
                        _ => player.holds.ended(id, Delivery::Arrived, now),
                    }
                    if attempt.ends == End::Over {
                        player.holds.closed(id, now);
                        next = Phase::Over;
                    }
                    *place += 1;
                    player.act(now);
                    player.phases.insert(id, next);
                }
            }
        }
        if player.holds.next().is_some_and(|next| next <= now) {
            player.act(now);
        }
        for truth in player.truth.values().filter(|truth| !truth.live && !truth.begun) {
            let since = truth.states.values().filter(|from| **from <= now).max();
            let held = since.is_some() && now > truth.idle + terms.within + terms.grace;
            assert!(!held, "held past its time at {now:?}, idle since {:?}: {:?}", truth.idle, truth.states);
        }
    }
    player
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Whatever is held is let go of in time while a server is in reach, also behind attempts that never arrive; no release
    /// goes out under a live attempt before its time, no attempt goes live under a release, and nothing is kept for what
    /// is over.
    #[test]
    fn nothing_is_held_past_its_time(world in world()) {
        let player = play(&world);
        prop_assert!(player.calls.is_empty());
        prop_assert!(player.holds.is_empty(), "{:?}", player.holds);
        prop_assert!(player.most_calls <= TERMS.at_once);
    }
}

fn servers(count: u64) -> Reach {
    let mut reach = Reach::default();
    (0..count).for_each(|server| reach.join(server, 0));
    reach
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn asked(acts: Vec<Act<&'static str>>) -> Vec<u64> {
    acts.into_iter()
        .filter_map(|act| if let Act::Ask { server, .. } = act { Some(server) } else { None })
        .collect()
}

#[test]
fn a_server_that_could_not_be_asked_counts_as_no_try() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(1));
    holds.lost(1, &"a", 0, ms(0));
    assert_eq!(asked(holds.act(ms(0), &reach)), [0]);
    holds.called(1, 0, Called::Unasked, ms(0));
    assert_eq!(asked(holds.act(ms(10), &reach)), [0], "again, at once");
}

#[test]
fn the_holder_is_asked_first_unless_it_is_believed_out_of_reach() {
    let (mut holds, mut reach) = (Holds::new(Terms { at_once: 64, ..TERMS }), servers(100));
    holds.lost(1, &"a", 7, ms(0));
    assert_eq!(asked(holds.act(ms(0), &reach)), [7]);
    reach.failed(7, ms(0));
    holds.lost(2, &"b", 7, ms(1));
    let others = asked(holds.act(ms(1), &reach));
    assert!(others.len() == 1 && others[0] != 7);
    // Nobody says anything: twice as many are asked, and then four times, each another one.
    assert_eq!(asked(holds.act(ms(101), &reach)).len(), 2 + 2);
    assert_eq!(asked(holds.act(ms(201), &reach)).len(), 4 + 4);
}

/// A zone is cut, and all that was read there falls due at once: calls stay within their bounds, at each server and
/// together, and go to many servers.
#[test]
fn many_that_fall_due_at_once_are_spread_within_bounds() {
    let terms = Terms { at_once: 64, ..TERMS };
    let (mut holds, reach) = (Holds::new(terms), servers(1_024));
    (0..10_000).for_each(|request| holds.lost(request, &"a", 3, ms(0)));
    let (mut now, mut at, mut most, mut made) = (ms(0), HashMap::<u64, usize>::new(), 0, 0);
    let mut calls = std::collections::VecDeque::new();
    while !holds.is_empty() && now < ms(20_000) {
        for act in holds.act(now, &reach) {
            if let Act::Ask { request, server, .. } = act {
                calls.push_back((request, server));
                let here = at.entry(server).or_default();
                *here += 1;
                most = most.max(*here);
                made += 1;
            }
        }
        assert!(calls.len() <= 64);
        now += ms(1);
        for (request, server) in calls.drain(..) {
            *at.get_mut(&server).unwrap() -= 1;
            holds.called(request, server, Called::Answered, now);
        }
    }
    assert!(holds.is_empty() && most <= 4, "{most}");
    assert!(made <= 20_000, "{made}: each was lost, and is released twice");
    assert_eq!(holds.late(), 0, "{now:?}");
}

#[test]
fn what_nobody_lets_go_of_is_told_once_and_forgotten() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(0));
    holds.read(1, &"a", 9, ms(0));
    assert!(holds.act(ms(100), &reach).is_empty(), "a writer may still take it");
    let (mut late, mut forgotten, mut calls) = (0, 0, 0);
    for step in 0..1_200 {
        for act in holds.act(ms(step * 5), &reach) {
            match act {
                Act::Late { held, .. } => {
                    (late, _) = (late + 1, assert!(held >= ms(800) && held < ms(1_000)))
                }
                Act::Forgotten { .. } => forgotten += 1,
                Act::Ask { request, server, .. } => {
                    calls += 1;

                    holds.called(request, server, Called::Failed, ms(step * 5));
                }
                Act::Clear(..) | Act::Overdue { .. } => {}
            }
        }
    }
    assert_eq!((late, forgotten, holds.len(), holds.late()), (1, 1, 0, 1));
    assert!(calls <= 30, "{calls}");
}

#[test]
fn a_server_that_refuses_has_the_next_one_asked_at_once() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(10));
    holds.lost(1, &"a", 0, ms(0));
    let first = asked(holds.act(ms(0), &reach));
    holds.called(1, first[0], Called::Failed, ms(1));
    let next = asked(holds.act(ms(1), &reach));
    assert!(next.len() == 2 && !next.contains(&first[0]));
}

/// An attempt waits for the release no longer than the rule's time: its client waits too.
#[test]
fn an_attempt_starts_in_the_end_though_nobody_lets_go() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(3));
    holds.lost(1, &"a", 0, ms(0));
    assert_eq!(holds.starts(1, ms(0)), Start::Wait);
    let clear = |acts: Vec<Act<_>>| acts.iter().any(|act| matches!(act, Act::Clear(1, None)));
    assert!(!(0..800).any(|now| clear(holds.act(ms(now), &reach))));
    assert!(clear(holds.act(ms(900), &reach)));
    assert!(asked(holds.act(ms(1_500), &reach)).is_empty(), "none under the attempt");
    holds.ended(1, Delivery::Unsent, ms(1_600));
    assert_eq!(asked(holds.act(ms(1_600), &reach)).len(), 1);
}

/// A call that was written and is not answered: its state is let go of in time, the call goes on, and nothing is left.
#[test]
fn what_a_silent_writer_was_sent_for_is_let_go_of_while_the_attempt_is_out() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(3));
    holds.read(1, &"a", 0, ms(0));
    assert_eq!(holds.starts(1, ms(5)), Start::Go(Some(ms(500))));
    assert!(holds.act(ms(499), &reach).is_empty());
    let acts = holds.act(ms(500), &reach);
    assert!(acts.contains(&Act::Overdue { request: 1, at: 0, held: ms(500) }), "{acts:?}");
    assert_eq!(asked(acts), [0]);
    holds.called(1, 0, Called::Answered, ms(502));
    assert!(holds.is_empty());
    // It arrives after all, and finds nothing: no clock is left to start.
    holds.ended(1, Delivery::Arrived, ms(900));
    assert!(holds.is_empty() && holds.next().is_none());
}

/// The answer begins while its state is being let go of: the calls end, and nothing is counted as late.
#[test]
fn an_answer_ends_a_release_that_is_under_way() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(3));
    holds.read(1, &"a", 0, ms(0));
    holds.starts(1, ms(0));
    assert_eq!(asked(holds.act(ms(500), &reach)), [0]);
    holds.began(1);
    assert!(holds.act(ms(501), &reach).contains(&Act::Clear(1, None)));
    holds.called(1, 0, Called::Answered, ms(502));
    assert!(holds.is_empty() && holds.next().is_none() && holds.late() == 0);
}

/// A later read of the same request waits for the release of the earlier one's state, which would take its own.
#[test]
fn a_second_read_waits_for_a_release_that_began_under_an_attempt() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(3));
    holds.read(1, &"a", 0, ms(0));
    holds.starts(1, ms(0));
    assert_eq!(asked(holds.act(ms(500), &reach)), [0]);
    holds.ended(1, Delivery::Written, ms(501));
    assert_eq!(holds.starts(1, ms(501)), Start::Wait);
    holds.called(1, 0, Called::Answered, ms(503));
    assert!(holds.act(ms(503), &reach).contains(&Act::Clear(1, None)));
    holds.read(1, &"a", 2, ms(520));
    assert!(asked(holds.act(ms(1_019), &reach)).is_empty());
    assert_eq!(asked(holds.act(ms(1_020), &reach)), [2]);
}

/// What a lost read may have left is released once more while the next read is out; when that ends its state is new, and
/// the release that is under way ends.
#[test]
fn a_read_ends_a_release_of_what_an_earlier_one_left() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(3));
    holds.lost(1, &"a", 0, ms(0));
    assert_eq!(asked(holds.act(ms(0), &reach)), [0]);
    holds.called(1, 0, Called::Answered, ms(2));
    holds.act(ms(2), &reach);
    assert_eq!(holds.starts(1, ms(5)), Start::Go(Some(ms(500))));
    assert_eq!(asked(holds.act(ms(500), &reach)), [0]);
    holds.read(1, &"a", 2, ms(510));
    assert!(holds.act(ms(510), &reach).contains(&Act::Clear(1, None)));
    // Its answer is too late to say anything of the new state.
    holds.called(1, 0, Called::Answered, ms(511));
    assert_eq!(asked(holds.act(ms(1_010), &reach)), [2]);
}

/// The end of the attempt under which a release began does not hurry it: its next round stays when it was.
#[test]
fn the_end_of_an_attempt_does_not_hurry_a_release() {
    let (mut holds, reach) = (Holds::new(TERMS), servers(10));
    holds.read(1, &"a", 0, ms(0));
    holds.starts(1, ms(0));
    assert_eq!(asked(holds.act(ms(500), &reach)), [0]);
    holds.ended(1, Delivery::Written, ms(510));
    assert!(asked(holds.act(ms(510), &reach)).is_empty());
    assert_eq!(asked(holds.act(ms(600), &reach)).len(), 2);
}
