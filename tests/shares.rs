//! Fairness between classes, tenants, long and short prompts, and sessions: with one router and twelve, under overload
//! and with low load. Readers read one prompt at a time; under overload they can read two thirds of the requests.

mod common;

use common::*;
use fawnstream_fleet::math::mix;
use shedrelay::*;
use std::collections::{BTreeMap, VecDeque};

const READERS: u64 = 6;
/// Tokens that a reader reads per step of 20 ms.
const TOKENS_PER_STEP: f64 = 600.0;
/// Requests per second of all routers together, more than the readers can read.
const OVERLOAD_RATE: u64 = 150;
/// Requests per second of all routers together, far less than the readers can read.
const LOW_RATE: u64 = 60;
/// Tokens of nine in ten prompts.
const SHORT: f64 = 1_000.0;
/// Tokens of one in ten prompts.
const LONG: f64 = 8_000.0;

struct OpenRequest {
    router: usize,
    session: u64,
    attempts: u32,
    class: usize,
    tenant: usize,
    long: bool,
    tokens: f64,
}

/// Numbers of requests and of answers, by kind of request.
type Parts = BTreeMap<String, (f64, f64)>;

fn simulate_overload(count: u32, over_share_worth: f64, per_1000: Span) -> Parts {
    simulate(OVERLOAD_RATE, true, count, over_share_worth, per_1000)
}

/// Simulates `rate` requests per second, in sessions of three turns some seconds apart.
fn simulate(rate: u64, tenants: bool, count: u32, over_share_worth: f64, per_1000: Span) -> Parts {
    let sessions = rate * 5;
    let members: Vec<Member> =
        (0..READERS).flat_map(|n| [member(1 + n, 0, n / 2), member(101 + n, 1, n / 2)]).collect();
    let mut config = settings(Effect::Safe);
    // The second class may not be repeated.
    let class = |effect, worth| Class { effect, worth, aim_per_1000: per_1000, ..config.classes[0].clone() };
    config.classes = vec![class(Effect::Safe, 1.0), class(Effect::Unsafe, 2.0), class(Effect::Safe, 1.0)];
    // The first tenant uses all of its quota, the second far more than its quota.
    if tenants {
        config.tenants = vec![Tenant { quota_per_s: 80.0 }, Tenant { quota_per_s: 20.0 }];
    }
    (config.routers, config.over_share_worth) = (count, over_share_worth);
    let mut routers: Vec<Harness> =
        (0..count).map(|_| Harness::new(config.clone(), members.clone())).collect();
    let (mut open, mut queues) = (BTreeMap::new(), BTreeMap::<u64, VecDeque<(u64, f64)>>::new());
    let mut parts = Parts::new();
    let (mut id, mut actions) = (0, Vec::<(usize, Action)>::new());
    for step in 0..50 * 20u64 {
        // No new requests in the last five seconds.
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
            open.insert(id, OpenRequest { router, session, attempts: 0, class, tenant, long, tokens });
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
        for (reader, queue) in &mut queues {
            let mut left = TOKENS_PER_STEP;
            while let Some((id, tokens)) = queue.front_mut().filter(|_| left > 0.0) {
                let read = tokens.min(left);
                (*tokens, left) = (*tokens - read, left - read);
                if *tokens <= 0.0 {
                    let asked: &OpenRequest = &open[id];
                    assert!(*reader <= READERS);
                    events.push((asked.router, outcome(*id, asked.attempts - 1, Verdict::Read)));
                    queue.pop_front();
                }
            }
        }
        for (at, event) in events {
            let harness = &mut routers[at];
            harness.now = (1_000 + step * 20) * MS;
            actions.extend(harness.handle(event).into_iter().map(|action| (at, action)));
            while let Some((at, action)) = actions.pop() {
                let (id, answered) = match action {
                    Action::Send { request, server, .. } => {
                        let asked = open.get_mut(&request.0).unwrap();
                        asked.attempts += 1;
                        if server.0 <= READERS {
                            queues.entry(server.0).or_default().push_back((request.0, asked.tokens));
                            continue;
                        }
                        // Writers have room and answer at once.
                        let last = asked.attempts - 1;
                        let mut more = routers[at].first_token(request.0, last);
                        more.extend(routers[at].end_attempt(request.0, last, Verdict::Ok));
                        actions.extend(more.into_iter().map(|action| (at, action)));
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
                note(format!("tenant {}", asked.tenant));
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
        cached_tokens: None,
        report: None,
    })
}

fn part(parts: &Parts, kind: &str) -> f64 {
    parts.get(kind).map_or(0.0, |(asked, answered)| answered / asked)
}

#[test]
fn overload_leaves_every_class_tenant_and_long_prompt_a_share() {
    for count in [1, 12] {
        let parts = simulate_overload(count, 0.05, Span::from_millis(60));
        let all = part(&parts, "all");
        assert!((0.3..0.95).contains(&all), "{count} routers: not an overload: {parts:?}");
        for (kind, least) in [("class 0", 0.5), ("class 1", 0.5), ("class 2", 0.5), ("long", 1.0 / 3.0)] {
            let got = part(&parts, kind);
            assert!(got >= all * least, "{count} routers, {kind}: {got} of {all}: {parts:?}");
        }
        // A tenant within its quota is served before requests beyond a quota.
        let (inside, beyond) = (part(&parts, "tenant 0"), part(&parts, "tenant 1"));
        assert!(inside > beyond + 0.1, "{count} routers: {inside}, {beyond}");
    }
}

/// Control for the test above: without a lower worth beyond the quota the flooding tenant is served alike.
#[test]
fn without_quota_penalty_a_flooding_tenant_is_served_alike() {
    let parts = simulate_overload(1, 1.0, Span::from_millis(60));
    assert!(part(&parts, "tenant 0") <= part(&parts, "tenant 1") + 0.1, "{parts:?}");
}

/// Share of the sessions with all turns refused, less the share expected if turns are refused independently.
fn fully_refused_sessions(parts: &Parts) -> f64 {
    let sessions: Vec<_> = parts.iter().filter(|(kind, _)| kind.starts_with("session")).collect();
    let all = sessions.iter().filter(|(_, (_, answered))| *answered == 0.0).count() as f64;
    let refused = 1.0 - part(parts, "all");
    let chance: f64 = sessions.iter().map(|(_, (asked, _))| refused.powf(*asked)).sum();
    (all - chance) / sessions.len() as f64
}

/// With low load hardly any request is refused, whatever its length, class or session, with and without tenants.
/// Guards against a queue order that always serves the same requests last although there is room.
#[test]
fn low_load_refuses_no_kind_of_request() {
    for (count, tenants) in [(1, true), (1, false), (12, true), (12, false)] {
        let parts = simulate(LOW_RATE, tenants, count, 0.05, Span::from_millis(60));
        let case = format!("{count} routers, tenants {tenants}");
        let all = part(&parts, "all");
        assert!(all > 0.95, "{case}: not low load: {all}");
        for kind in ["class 0", "class 1", "class 2", "long", "short"] {
            assert!(part(&parts, kind) >= all * 0.9, "{case}, {kind}: {} of {all}", part(&parts, kind));
        }
        let fully_refused = fully_refused_sessions(&parts);
        assert!(fully_refused <= 0.02, "{case}: {fully_refused} of the sessions are refused in all turns");
    }
}

/// Under overload long prompts are answered at least half as often as all requests, with and without tenants, and
/// turns are refused by chance instead of by session.
#[test]
fn overload_spares_long_prompts_and_sessions() {
    for (count, tenants) in [(1, true), (1, false), (12, true), (12, false)] {
        // Requests differ in worth and size only, not by quota.
        let parts = simulate(OVERLOAD_RATE, tenants, count, 1.0, Span::from_millis(60));
        let case = format!("{count} routers, tenants {tenants}");
        let (all, long) = (part(&parts, "all"), part(&parts, "long"));
        println!("{case}: all {all}, long {long}, {}", fully_refused_sessions(&parts));
        assert!((0.3..0.95).contains(&all), "{case}: not an overload: {all}");
        assert!(long >= all * 0.5, "{case}: {long} of {all}");
        let fully_refused = fully_refused_sessions(&parts);
        assert!(fully_refused <= 0.12, "{case}: {fully_refused} of the sessions are refused in all turns");
    }
}
