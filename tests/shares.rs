//! Every class, every customer inside its share, the longest prompts and every session get their part: one router and
//! twelve, before readers that read one prompt after the other, at two thirds of what is asked of them and on a quiet day.

mod common;

use common::*;
use fawnstream_fleet::math::mix;
use shedrelay::*;
use std::collections::{BTreeMap, VecDeque};

const READERS: u64 = 6;
/// Tokens that a reader reads in one step of 20 ms.
const STEP: f64 = 600.0;
/// Requests a second, of all routers together: more than the readers read, and far less.
const RATE: u64 = 150;
const QUIET: u64 = 60;
/// How much longer than the others one in ten is.
const SHORT: f64 = 1_000.0;
const LONG: f64 = 8_000.0;

struct Asked {
    router: usize,
    session: u64,
    attempts: u32,
    class: usize,
    tenant: usize,
    long: bool,
    tokens: f64,
}

/// Asked and answered, of some kind of request.
type Parts = BTreeMap<String, (f64, f64)>;

fn play(count: u32, over_share_worth: f64, per_1000: Span) -> Parts {
    play_at(RATE, true, count, over_share_worth, per_1000)
}

/// So many requests a second, in sessions of three turns some seconds apart.
fn play_at(rate: u64, tenants: bool, count: u32, over_share_worth: f64, per_1000: Span) -> Parts {
    let sessions = rate * 5;
    let members: Vec<Member> =
        (0..READERS).flat_map(|n| [member(1 + n, 0, n / 2), member(101 + n, 1, n / 2)]).collect();
    let mut told = settings(Effect::Safe);
    // One that may not be repeated, and one of little worth.
    let class = |effect, worth| Class { effect, worth, aim_per_1000: per_1000, ..told.classes[0].clone() };
    told.classes = vec![class(Effect::Safe, 1.0), class(Effect::Unsafe, 2.0), class(Effect::Safe, 1.0)];
    // The first customer asks for all of its share, the second for far more than that.
    if tenants {
        told.tenants = vec![Tenant { quota_per_s: 80.0 }, Tenant { quota_per_s: 20.0 }];
    }
    (told.routers, told.over_share_worth) = (count, over_share_worth);
    let mut routers: Vec<Bench> = (0..count).map(|_| Bench::new(told.clone(), members.clone())).collect();
    let (mut open, mut lines) = (BTreeMap::new(), BTreeMap::<u64, VecDeque<(u64, f64)>>::new());
    let mut parts = Parts::new();
    let (mut id, mut acts) = (0, Vec::<(usize, Action)>::new());
    for step in 0..50 * 20u64 {
        // The last five seconds only answer what was asked before.
        let due = if step < 50 * 15 { (step + 1) * rate / 50 - step * rate / 50 } else { 0 };
        let timers = (0..routers.len()).map(|at| (at, Event::Timer(TimerId(1))));
        let mut events: Vec<(usize, Event)> = timers.collect();
        for _ in 0..due {
            id += 1;
            let draw = |salt: u64, among: u64| mix(id << 8 | salt) % among;
            let (class, tenant) = ([0, 0, 1, 2, 2][draw(1, 5) as usize], draw(2, 2) as usize);
            let long = draw(3, 10) == 0;
            let tokens = if long { LONG } else { SHORT };
            let router = (id as usize * 7) % routers.len();
            let session = id % sessions;
            open.insert(id, Asked { router, session, attempts: 0, class, tenant, long, tokens });
            events.push((
                router,
                Event::Request(Request {
                    id: RequestId(id),
                    session: Some(Key(1 + session)),
                    prompt_len: tokens,
                    max_out: 50.0,
                    budget: Span::from_millis(4_000),
                    class: ClassId(class),
                    tenant: tenants.then_some(TenantId(tenant)),
                    ..Request::default()
                }),
            ));
        }
        for (reader, line) in &mut lines {
            let mut left = STEP;
            while let Some((id, tokens)) = line.front_mut().filter(|_| left > 0.0) {
                let read = tokens.min(left);
                (*tokens, left) = (*tokens - read, left - read);
                if *tokens <= 0.0 {
                    let asked: &Asked = &open[id];
                    assert!(*reader <= READERS);
                    events.push((asked.router, outcome(*id, asked.attempts - 1, Verdict::Read)));
                    line.pop_front();
                }
            }
        }
        for (at, event) in events {
            let bench = &mut routers[at];
            bench.now = (1_000 + step * 20) * MS;
            acts.extend(bench.hear(event).into_iter().map(|act| (at, act)));
            while let Some((at, act)) = acts.pop() {
                let (id, answered) = match act {
                    Action::Send { request, server, .. } => {
                        let asked = open.get_mut(&request.0).unwrap();
                        asked.attempts += 1;
                        if server.0 <= READERS {
                            lines.entry(server.0).or_default().push_back((request.0, asked.tokens));
                            continue;
                        }
                        // Writers have room and answer at once.
                        let last = asked.attempts - 1;
                        let mut more = routers[at].first(request.0, last);
                        more.extend(routers[at].end(request.0, last, Verdict::Ok));
                        acts.extend(more.into_iter().map(|act| (at, act)));
                        (request.0, 1.0)
                    }
                    Action::Refuse { request, .. } | Action::Fail(request) => (request.0, 0.0),
                    _ => continue,
                };
                let asked = &open[&id];
                let mut note = |kind: String| {
                    let part = parts.entry(kind).or_default();
                    (part.0, part.1) = (part.0 + 1.0, part.1 + answered);
                };
                note(format!("class {}", asked.class));
                note(format!("customer {}", asked.tenant));
                note(if asked.long { "long" } else { "short" }.to_owned());
                note(format!("session {}", asked.session));
                note("all".to_owned());
            }
        }
    }
    parts
}

fn outcome(id: u64, attempt: u32, verdict: Verdict) -> Event {
    let (request, attempt) = (RequestId(id), Attempt(attempt));
    Event::Outcome(Outcome {
        request,
        attempt,
        verdict,
        evidence: Evidence::Server,
        settled: false,
        kept: None,
        report: None,
    })
}

fn part(parts: &Parts, kind: &str) -> f64 {
    parts.get(kind).map_or(0.0, |(asked, answered)| answered / asked)
}

#[test]
fn every_class_customer_and_long_prompt_gets_its_part_under_overload() {
    for count in [1, 12] {
        let parts = play(count, 0.05, Span::from_millis(60));
        let all = part(&parts, "all");
        assert!((0.3..0.95).contains(&all), "{count} routers: it is an overload: {parts:?}");
        for (kind, least) in [("class 0", 0.5), ("class 1", 0.5), ("class 2", 0.5), ("long", 1.0 / 3.0)] {
            let got = part(&parts, kind);
            assert!(got >= all * least, "{count} routers, {kind}: {got} of {all}: {parts:?}");
        }
        // Who keeps to its share is served before what another asks for beyond its own.
        let (inside, beyond) = (part(&parts, "customer 0"), part(&parts, "customer 1"));
        assert!(inside > beyond + 0.1, "{count} routers: {inside}, {beyond}");
    }
}

/// What the test above rests on, taken away: beyond its share a customer counts as any other.
#[test]
fn without_shares_who_floods_is_served_alike() {
    let parts = play(1, 1.0, Span::from_millis(60));
    assert!(part(&parts, "customer 0") <= part(&parts, "customer 1") + 0.1, "{parts:?}");
}

/// The part of the sessions whose turns were all refused, less what chance gives where each turn has the same prospect.
fn refused_throughout(parts: &Parts) -> f64 {
    let sessions: Vec<_> = parts.iter().filter(|(kind, _)| kind.starts_with("session")).collect();
    let all = sessions.iter().filter(|(_, (_, answered))| *answered == 0.0).count() as f64;
    let refused = 1.0 - part(parts, "all");
    let chance: f64 = sessions.iter().map(|(_, (asked, _))| refused.powf(*asked)).sum();
    (all - chance) / sessions.len() as f64
}

/// On a quiet day hardly anybody is refused: not the longest prompts, no class and no session, with customers told and
/// without. Guards against an order that leaves the same ones to the last while there is room.
#[test]
fn on_a_quiet_day_nobody_is_singled_out() {
    for (count, tenants) in [(1, true), (1, false), (12, true), (12, false)] {
        let parts = play_at(QUIET, tenants, count, 0.05, Span::from_millis(60));
        let what = format!("{count} routers, customers {tenants}");
        let all = part(&parts, "all");
        assert!(all > 0.95, "{what}: it is a quiet day: {all}");
        for kind in ["class 0", "class 1", "class 2", "long", "short"] {
            assert!(part(&parts, kind) >= all * 0.9, "{what}, {kind}: {} of {all}", part(&parts, kind));
        }
        let throughout = refused_throughout(&parts);
        assert!(throughout <= 0.02, "{what}: {throughout} of the sessions are refused throughout");
    }
}

/// Under overload, too, the longest prompts get half of what the others get, with customers told and without, and turns
/// are refused by chance rather than by session.
#[test]
fn under_overload_long_prompts_get_half_and_no_sessions_are_singled_out() {
    for (count, tenants) in [(1, true), (1, false), (12, true), (12, false)] {
        // Without customers nothing but worth and size tells requests apart.
        let parts = play_at(RATE, tenants, count, 1.0, Span::from_millis(60));
        let what = format!("{count} routers, customers {tenants}");
        let (all, long) = (part(&parts, "all"), part(&parts, "long"));
        println!("{what}: all {all}, long {long}, {}", refused_throughout(&parts));
        assert!((0.3..0.95).contains(&all), "{what}: it is an overload: {all}");
        assert!(long >= all * 0.5, "{what}: {long} of {all}");
        let throughout = refused_throughout(&parts);
        assert!(throughout <= 0.12, "{what}: {throughout} of the sessions are refused throughout");
    }
}
