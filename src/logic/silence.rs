//! Outlier detection for silent servers: they are excluded, then probed with one request at a time
//! (half-open) until they show a sign of life.
//!
//! A connection that has fallen silent reports no error, and neither do the requests on it. A server is
//! suspected by all its unanswered attempts together, if nothing was heard from it on any connection since
//! they were sent. One that is heard on other connections is alive; an attempt there that later ones overtake
//! was lost on its own connection, see `Router::check_late_attempts`.

use super::{Job, LATE_LATENCIES, Router, Server, Stage};
use crate::interface::{Action, Effect, RequestId, Role, ServerId, Span, Time};
use fawnstream_fleet::reachability::Contact;
use fawnstream_fleet::timeout::timeout_factors;
use std::collections::BTreeMap;

/// A server is silent after this many times its role's latency without a sign of life, if also past
/// `MIN_SILENCE` and `TOTAL_LATENESS`.
const SILENCE_LATENCIES: f64 = 4.0;
/// Shortest silence that counts: a stalled process or one slow exchange may take this long.
const MIN_SILENCE: Span = Span::from_millis(200);
/// The lateness of all attempts at a silent server together must reach this many times the longest silence
/// allowed, because a single one may just be long.
const TOTAL_LATENESS: f64 = 3.0;
/// Network cuts affect several servers at once: for this long after a peer fell silent, one late attempt is
/// enough to find a server silent.
const CUT_WINDOW: Span = Span::from_millis(1_000);
/// Maximum attempts at a peer in that time until it shows a sign of life.
const PROBATION_SENDS: u32 = 6;
/// Answers of a role needed before its latency is known.
const MIN_ANSWERS: f64 = 10.0;

/// An attempt is lost once its server answered this many later ones of ours: servers take requests in order.
const LOST_AFTER_OVERTAKES: u32 = 3;
/// Maximum divisor of a reader's timeout: several unanswered reads prove more than one.
const MAX_TIMEOUT_DIVISOR: u32 = 2;
/// Number of equal parts of a server's peers; each excluded part doubles the timeout.
const PEER_PARTS: f64 = 5.0;
/// First exclusion of a silent or unreachable server; doubles up to `MAX_EXCLUSION` while it stays so.
pub(super) const FIRST_EXCLUSION: Span = Span::from_millis(1_500);
/// Longest exclusion.
const MAX_EXCLUSION: Span = Span::from_millis(6_000);

/// State of an excluded server: it gets one request at a time until it shows a sign of life.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HalfOpen {
    /// The request in flight.
    pub(super) probe: Option<RequestId>,
}

/// Limit on attempts at a server after a peer fell silent, until it shows a sign of life: the silent one's
/// requests go to its peers, and the same network cut may affect them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probation {
    until: Time,
    sends_left: u32,
}

impl Probation {
    pub(super) fn allows_send(&self, now: Time) -> bool {
        self.sends_left > 0 || self.until <= now
    }

    pub(super) fn record_send(&mut self) {
        self.sends_left = self.sends_left.saturating_sub(1);
    }
}

impl Router {
    /// Records a sign of life and ends an exclusion.
    pub(super) fn record_activity(&mut self, at: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&at) else { return };
        let was_excluded = server.half_open.is_some();
        server.record_heard(now);
        if was_excluded {
            server.excluded_until = server.excluded_until.min(now);
            self.record_contact(at, Contact::Answered);
        }
    }

    /// Whether a request may probe a half-open server. One that may run only once would be lost if the server
    /// is still silent, so it may do so only after a long time without any probe.
    pub(super) fn may_probe(&self, server: &Server, job: &Job) -> bool {
        let repeatable = self.settings.classes[job.request.class.0].effect == Effect::Safe;
        server.half_open.is_none() || repeatable || server.excluded_until + MAX_EXCLUSION <= self.now
    }

    /// Longest silence allowed to a server of a role while attempts wait for it; `None` until the role's
    /// latency is known.
    fn max_silence(&self, role: Role) -> Option<Span> {
        let latency = &self.latencies[role as usize];
        let longest = Span((latency.ewma_ns * SILENCE_LATENCIES) as u64);
        (latency.answers >= MIN_ANSWERS).then(|| longest.max(MIN_SILENCE))
    }

    /// Whether a server of a role is silent, from the times at which its unanswered attempts were sent.
    fn is_silent(&self, role: Role, sent: &[Time]) -> bool {
        let Some(longest) = self.max_silence(role) else { return false };
        let Some(oldest) = sent.iter().min().map(|sent| self.now - *sent) else { return false };
        let recent_cut = self.last_silence[role as usize].is_some_and(|cut| self.now - cut <= CUT_WINDOW);
        let latency = Span(self.latencies[role as usize].ewma_ns as u64);
        let late = |sent: &Time| (self.now - *sent - latency).min(longest).secs();
        let total_lateness: f64 = sent.iter().map(late).sum();
        oldest > longest && (recent_cut || total_lateness >= longest.secs() * TOTAL_LATENESS)
    }

    /// Excludes servers whose writes have been unanswered for too long, and cancels what may be repeated.
    pub(super) fn exclude_silent_writers(&mut self, out: &mut Vec<Action>) {
        let mut unanswered: BTreeMap<ServerId, Vec<Time>> = Default::default();
        for job in self.jobs.values().filter(|job| job.stage == Stage::Writing) {
            let Some((at, server)) = job.server.and_then(|at| Some((at, self.servers.get(&at)?))) else {
                continue;
            };
            if server.last_heard < job.sent && server.excluded_until <= self.now {
                unanswered.entry(at).or_default().push(job.sent);
            }
        }
        // Two passes: each silent server lowers the threshold for those checked before it.
        for _ in 0..2 {
            unanswered.retain(|at, sent| {
                let silent = self.is_silent(self.servers[at].role, sent);
                if silent {
                    self.mark_silent(*at, out);
                }
                !silent
            });
        }
    }

    /// The state of a request was released during its attempt, so a retry must read it again. A writer
    /// that has been silent since the attempt was sent, for longer than `max_silence`, is excluded.
    pub(super) fn lease_released(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.has_lease = false;
        let (sent, writing) = (job.sent, job.stage == Stage::Writing);
        let Some(at) = job.server.filter(|_| writing) else { return };
        let Some(server) = self.servers.get(&at).filter(|server| server.last_heard < sent) else { return };
        if self.max_silence(server.role).is_some_and(|longest| self.now - sent > longest) {
            self.mark_silent(at, out);
        }
    }

    /// Excludes a silent server, limits attempts at its peers, and cancels its writes that may be repeated.
    fn mark_silent(&mut self, at: ServerId, out: &mut Vec<Action>) {
        self.exclude(at, Contact::Unanswered);
        if let Some(role) = self.servers.get(&at).map(|server| server.role) {
            self.last_silence[role as usize] = Some(self.now);
            let probation = Probation { until: self.now + CUT_WINDOW, sends_left: PROBATION_SENDS };
            for peer in self.servers.values_mut().filter(|peer| peer.role == role) {
                if peer.probation.is_none_or(|known| known.until <= self.now) {
                    peer.probation = Some(probation);
                }
            }
        }
        if !self.settings.may_cancel {
            return;
        }
        let classes = &self.settings.classes;
        let repeatable = |job: &Job| classes[job.request.class.0].effect == Effect::Safe;
        let there = |job: &Job| job.stage == Stage::Writing && job.server == Some(at);
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| there(job) && repeatable(job)) {
            job.cancel_attempt(*id, out);
        }
    }

    /// Excludes a server (hung, dead or cut off) if an attempt has passed its timeout and nothing was heard
    /// from the server since the attempt was sent; cancels the attempt if it may be repeated. A very long
    /// read can be mistaken for silence and cancelled. While a server answers other attempts, a late one is
    /// left running: cancelling does not stop work on the server, and a retry elsewhere would double the
    /// load. It is cancelled only if several later attempts were answered first.
    pub(super) fn check_late_attempts(&mut self, out: &mut Vec<Action>) {
        let mut silent = Vec::new();
        // Each fifth of the peers that is excluded doubles the timeout: many late servers mean high load.
        let peers = self.servers.values().filter(|server| server.is_active());
        let factors =
            timeout_factors(PEER_PARTS, peers.map(|s| (s.role as usize, s.excluded_until > self.now)));
        for (id, job) in &mut self.jobs {
            let is_unanswered = matches!(job.stage, Stage::Reading | Stage::Writing);
            let Some(at) = job.server.filter(|_| is_unanswered) else { continue };
            let Some(server) = self.servers.get(&at) else { continue };
            let lost_after = Span((self.latencies[server.role as usize].ewma_ns * LATE_LATENCIES) as u64);
            let lost = job.overtaken >= LOST_AFTER_OVERTAKES && self.now - job.sent > lost_after;
            if server.last_heard >= job.sent && !lost {
                continue;
            }
            // Several unanswered reads prove more than one; a writer's attempts include running streams.
            let divisor = if server.role == Role::Reader {
                server.attempts_in_flight.clamp(1, MAX_TIMEOUT_DIVISOR)
            } else {
                1
            };
            let timeout = job.late_after.times(factors[server.role as usize] / f64::from(divisor));
            if self.now - job.sent <= timeout && !lost {
                continue;
            }
            if server.last_heard < job.sent {
                silent.push(at);
            }
            let repeatable = self.settings.classes[job.request.class.0].effect == Effect::Safe;
            if (repeatable || job.stage == Stage::Reading) && self.settings.may_cancel {
                job.cancel_attempt(*id, out);
            }
        }
        silent.into_iter().for_each(|at| self.exclude(at, Contact::Unanswered));
    }

    /// Excludes a server for a while, longer each time; after that it gets one request at a time until it
    /// shows a sign of life.
    pub(super) fn exclude(&mut self, at: ServerId, how: Contact) {
        self.record_contact(at, how);
        let Some(server) = self.servers.get_mut(&at).filter(|s| s.excluded_until <= self.now) else { return };
        server.excluded_until = self.now + server.next_exclusion;
        server.next_exclusion = (server.next_exclusion + server.next_exclusion).min(MAX_EXCLUSION);
        server.half_open = Some(HalfOpen::default());
    }
}
