//! A request, put together from its trace.

use crate::class::Class;
use crate::trace::{Outcome, Ran, RequestEvent, Trace};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An attempt, put together from its trace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) first: Instant,
    pub(super) whole: Option<Instant>,
    /// When the router had sent its last byte.
    pub(super) sent: Option<Instant>,
    /// It reached a running server.
    pub(super) taken: bool,
    pub(super) budget: Option<Duration>,
    pub(super) over: Option<(Instant, Ran)>,
    /// When a running server saw that its connection had ended.
    pub(super) noticed: Option<Instant>,
}

/// A request, put together from its trace.
pub(super) struct Request<'a> {
    pub(super) id: u64,
    pub(super) trace: &'a Trace,
    pub(super) asked: Instant,
    pub(super) router: usize,
    pub(super) class: Class,
    pub(super) fresh: bool,
    pub(super) left: Option<Instant>,
    pub(super) head: Option<Instant>,
    pub(super) ended: Option<(Instant, Outcome)>,
    pub(super) attempts: Vec<Attempt>,
}

impl<'a> Request<'a> {
    /// None if its client never asked.
    pub(super) fn of(id: u64, trace: &'a Trace) -> Option<Self> {
        let asked = trace.iter().find_map(|(at, happened)| match happened {
            RequestEvent::Asked { router, class, fresh } => Some((*at, *router, *class, *fresh)),
            _ => None,
        });
        let (asked, router, class, fresh) = asked?;
        let mut request = Request {
            id,
            trace,
            asked,
            router,
            class,
            fresh,
            left: None,
            head: None,
            ended: None,
            attempts: Vec::new(),
        };
        let mut attempts = BTreeMap::new();
        for (at, happened) in trace {
            match happened {
                RequestEvent::Left => request.left = Some(*at),
                RequestEvent::Head(_) => request.head = Some(*at),
                RequestEvent::Ended(outcome) => request.ended = Some((*at, *outcome)),
                RequestEvent::First { attempt, worker } => {
                    let new = Attempt {
                        worker: *worker,
                        first: *at,
                        whole: None,
                        sent: None,
                        taken: false,
                        budget: None,
                        over: None,
                        noticed: None,
                    };
                    attempts.insert(*attempt, new);
                }
                RequestEvent::Whole { attempt, budget, sent, taken, .. } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        (known.whole, known.budget, known.taken) = (Some(*at), *budget, *taken);
                        known.sent = Some(*sent);
                    }
                }
                RequestEvent::Over { attempt, ran, .. } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        known.over = Some((*at, *ran));
                    }
                }
                RequestEvent::Noticed { attempt } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        known.noticed = Some(*at);
                    }
                }
                _ => {}
            }
        }
        request.attempts = attempts.into_values().collect();
        request.attempts.sort_by_key(|attempt| attempt.first);
        Some(request)
    }
}

/// A request's trace, a line each.
pub(super) fn lines(request: &Request) -> Vec<String> {
    let mut trace: Vec<&(Instant, RequestEvent)> = request.trace.iter().collect();
    trace.sort_by_key(|(at, _)| *at);
    let after = |at: &Instant| match at.checked_duration_since(request.asked) {
        Some(after) => format!("+{:.1}", after.as_secs_f64() * 1e3),
        None => format!("-{:.1}", (request.asked - *at).as_secs_f64() * 1e3),
    };
    trace.iter().map(|(at, happened)| format!("{} ms {happened:?}", after(at))).collect()
}
