//! Test harness: a router with its clock and a record of its actions.
#![allow(dead_code)]

use shedrelay::*;

pub const MS: u64 = 1_000_000;

pub fn settings(effect: Effect) -> Settings {
    let kind = |role| Kind { role, memory_tokens: Some(150_000.0) };
    Settings {
        routers: 2,
        router: 0,
        max_attempts: 6,
        may_cancel: true,
        probes_enabled: false,
        refusal_backoff: None,
        subscribe_to_list: false,
        writers_read: false,
        over_share_worth: 0.2,
        rules: Rules {
            cold_share: 0.3,
            cold: Span::from_millis(10_000),
            fall_multiple: 3.0,
            fall: Span::from_millis(2_000),
        },
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        classes: vec![Class {
            aim: Span::from_millis(1_000),
            aim_per_1000: Span::from_millis(40),
            worth: 1.0,
            effect,
        }],
        tenants: Vec::new(),
    }
}

pub fn member(server: u64, kind: usize, cell: u64) -> Member {
    Member {
        server: ServerId(server),
        state: ServerState::Active,
        kind: KindId(kind),
        zone: ZoneId(cell as usize),
        cell: CellId(cell),
        up_since: None,
    }
}

/// Readers 1 and 2, writers 11 and 12, in cells 0 and 1.
pub fn fleet() -> Vec<Member> {
    vec![member(1, 0, 0), member(2, 0, 1), member(11, 1, 0), member(12, 1, 1)]
}

pub struct Harness {
    pub router: Router,
    pub now: u64,
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        let router = Router::new(settings, 7).expect("settings are valid");
        let mut harness = Harness { router, now: 1_000 * MS, actions: Vec::new() };
        harness.handle(Event::Members(Members::Full(members)));
        harness
    }

    /// Handles an event and returns the resulting actions without timers.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(Time(self.now), event, &mut out);
        out.retain(|action| !matches!(action, Action::Timer { .. }));
        self.actions.extend(out.iter().cloned());
        out
    }

    /// Advances the clock with a tick every 20 ms.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..ms.div_ceil(20) {
            self.now += 20 * MS;
            out.extend(self.handle(Event::Timer(TimerId(1))));
        }
        out
    }

    pub fn request(&mut self, id: u64, prefix: Option<u64>) -> Vec<Action> {
        self.request_in_session(id, 1_000 + id, prefix)
    }

    pub fn request_in_session(&mut self, id: u64, session: u64, prefix: Option<u64>) -> Vec<Action> {
        self.handle(Event::Request(Request {
            id: RequestId(id),
            session: Some(Key(session)),
            prefix: prefix.map(Key),
            prefix_len: if prefix.is_some() { 1_500.0 } else { 0.0 },
            prompt_len: 2_000.0,
            max_out: 200.0,
            budget: Span::from_millis(5_000),
            class: ClassId(0),
            tenant: None,
        }))
    }

    pub fn end_attempt(&mut self, id: u64, attempt: u32, verdict: Verdict) -> Vec<Action> {
        self.end_attempt_with(id, attempt, verdict, None)
    }

    pub fn end_attempt_with(
        &mut self,
        id: u64,
        attempt: u32,
        verdict: Verdict,
        kept: Option<f64>,
    ) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt: Attempt(attempt),
            verdict,
            evidence: Evidence::Server,
            settled: verdict == Verdict::Ok,
            cached_tokens: kept,
            report: None,
        }))
    }

    pub fn first_token(&mut self, id: u64, attempt: u32) -> Vec<Action> {
        self.handle(Event::FirstToken { request: RequestId(id), attempt: Attempt(attempt) })
    }
}

/// Servers to which the actions send requests.
pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { server, .. } => Some(server.0),
            _ => None,
        })
        .collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}

pub fn released(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Release(_)))
}
