//! Requests and attempts, rebuilt from event traces.

use crate::class::Class;
use crate::trace::{Outcome, Ran, RequestEvent, Trace};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An attempt, rebuilt from the event trace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) began: Instant,
    pub(super) received: Option<Instant>,
    /// When the router had sent its last byte.
    pub(super) sent: Option<Instant>,
    /// A running server received it.
    pub(super) taken: bool,
    pub(super) budget: Option<Duration>,
    pub(super) ended: Option<(Instant, Ran)>,
    /// When a running server noticed that its connection had ended.
    pub(super) end_noticed: Option<Instant>,
}

/// A request, rebuilt from its event trace.
pub(super) struct Request<'a> {
    pub(super) id: u64,
    pub(super) trace: &'a Trace,
    pub(super) asked: Instant,
    pub(super) router: usize,
    pub(super) class: Class,
    pub(super) fresh: bool,
    pub(super) left_at: Option<Instant>,
    pub(super) head_at: Option<Instant>,
    pub(super) ended: Option<(Instant, Outcome)>,
    pub(super) attempts: Vec<Attempt>,
}

impl<'a> Request<'a> {
    /// None if the client never sent the request.
    pub(super) fn of(id: u64, trace: &'a Trace) -> Option<Self> {
        let asked = trace.iter().find_map(|(at, event)| match event {
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
            left_at: None,
            head_at: None,
            ended: None,
            attempts: Vec::new(),
        };
        let mut attempts = BTreeMap::new();
        for (at, event) in trace {
            match event {
                RequestEvent::Left => request.left_at = Some(*at),
                RequestEvent::Head(_) => request.head_at = Some(*at),
                RequestEvent::Ended(outcome) => request.ended = Some((*at, *outcome)),
                RequestEvent::First { attempt, worker } => {
                    let new = Attempt {
                        worker: *worker,
                        began: *at,
                        received: None,
                        sent: None,
                        taken: false,
                        budget: None,
                        ended: None,
                        end_noticed: None,
                    };
                    attempts.insert(*attempt, new);
                }
                RequestEvent::Whole { attempt, budget, sent, taken, .. } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        (known.received, known.budget, known.taken) = (Some(*at), *budget, *taken);
                        known.sent = Some(*sent);
                    }
                }
                RequestEvent::Over { attempt, ran, .. } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        known.ended = Some((*at, *ran));
                    }
                }
                RequestEvent::Noticed { attempt } => {
                    if let Some(known) = attempts.get_mut(attempt) {
                        known.end_noticed = Some(*at);
                    }
                }
                _ => {}
            }
        }
        request.attempts = attempts.into_values().collect();
        request.attempts.sort_by_key(|attempt| attempt.began);
        Some(request)
    }
}

/// Formats a request's event trace, one line per event.
pub(super) fn format_trace(request: &Request) -> Vec<String> {
    let mut trace: Vec<&(Instant, RequestEvent)> = request.trace.iter().collect();
    trace.sort_by_key(|(at, _)| *at);
    let after = |at: &Instant| match at.checked_duration_since(request.asked) {
        Some(after) => format!("+{:.1}", after.as_secs_f64() * 1e3),
        None => format!("-{:.1}", (request.asked - *at).as_secs_f64() * 1e3),
    };
    trace.iter().map(|(at, event)| format!("{} ms {event:?}", after(at))).collect()
}
