//! Servers that have fallen silent: found out by all the calls together that they owe an answer to, and given
//! one call at a time from then on until they say something.
//!
//! A connection that has fallen silent reports no error, and neither does a call on it. What a server owes is
//! known here: calls that are out and have no answer, with nothing heard from it on any connection since.
//! Where it is heard on others it is well, and a call that later ones overtake was lost on its own
//! connection: `Router::find_silent`.

use super::{Job, PATIENCE, Router, Server, Stage};
use crate::interface::{Action, Effect, RequestId, Role, ServerId, Span, Time};
use fawnstream_fleet::reachability::Contact;
use fawnstream_fleet::timeout::timeout_factors;
use std::collections::BTreeMap;

/// A server is silent when it has said nothing for this many times what its role's answers usually take to
/// begin ...
const USUAL_TIMES: f64 = 4.0;
/// ... and for this long: what a process that is held up, or one slow exchange, may take ...
const LEAST_SILENCE: Span = Span::from_millis(200);
/// ... and its calls together are later by this many times that: one alone may be long.
const LATE_TOGETHER: f64 = 3.0;
/// Cuts take several servers at once: this long after a peer fell silent one call says enough.
const CUT_LASTS: Span = Span::from_millis(1_000);
/// Calls that a peer may be sent in that time before it says something.
const UNPROVEN_CALLS: u32 = 6;
/// What is usual is known after so many answers of a role.
const KNOWN: f64 = 10.0;

/// So many later requests of ours that a server answered first say that it lost one: it takes them in turn.
const OVERTAKEN: u32 = 3;
/// Reads out at one silent reader share the patience, so many at most.
const SURE: u32 = 2;
/// Patience doubles for each part of the peers that is out already; this is how many parts make the whole.
const DOUBT: f64 = 5.0;
/// First exclusion of a silent or unreachable server; doubles up to the longest while it stays so.
pub(super) const FIRST_OUT: Span = Span::from_millis(1_500);
const LONGEST_OUT: Span = Span::from_millis(6_000);

/// A server that was shut out is tried by one call at a time until it says something.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trial {
    /// The call that is out.
    pub(super) probe: Option<RequestId>,
}

/// A server whose peer fell silent, and that has said nothing since, is given few calls until it does: what
/// the silent one was sent goes to its peers, and the cut may have taken them too.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unproven {
    until: Time,
    calls_left: u32,
}

impl Unproven {
    pub(super) fn takes_calls(&self, now: Time) -> bool {
        self.calls_left > 0 || self.until <= now
    }

    pub(super) fn note_call(&mut self) {
        self.calls_left = self.calls_left.saturating_sub(1);
    }
}

impl Router {
    /// A server said something: it is well.
    pub(super) fn heard(&mut self, at: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&at) else { return };
        let was_shut_out = server.trial.is_some();
        server.note_heard(now);
        if was_shut_out {
            server.out_until = server.out_until.min(now);
            self.met(at, Contact::Answered);
        }
    }

    /// Whether a request may be the one call of a server that is on trial: one that may be repeated, as long
    /// as there are such. Guards against requests that may run only once, and are lost if the server is still
    /// silent.
    pub(super) fn may_try(&self, server: &Server, job: &Job) -> bool {
        let safe = self.settings.classes[job.ask.class.0].effect == Effect::Safe;
        server.trial.is_none() || safe || server.out_until + LONGEST_OUT <= self.now
    }

    /// How long a server of a role may say nothing while it owes answers; none while nothing is known of its
    /// peers.
    fn longest_silence(&self, role: Role) -> Option<Span> {
        let pool = &self.pools[role as usize];
        let usual = Span((pool.usual * USUAL_TIMES) as u64);
        (pool.answers >= KNOWN).then(|| usual.max(LEAST_SILENCE))
    }

    /// Whether a server of a role is silent that owes an answer to calls that were sent then.
    fn is_silent(&self, role: Role, sent: &[Time]) -> bool {
        let Some(longest) = self.longest_silence(role) else { return false };
        let Some(oldest) = sent.iter().min().map(|sent| self.now - *sent) else { return false };
        let cut = self.cut[role as usize].is_some_and(|cut| self.now - cut <= CUT_LASTS);
        let usual = Span(self.pools[role as usize].usual as u64);
        let late = |sent: &Time| (self.now - *sent - usual).min(longest).secs();
        let together: f64 = sent.iter().map(late).sum();
        oldest > longest && (cut || together >= longest.secs() * LATE_TOGETHER)
    }

    /// Shuts out writers that owe answers and have said nothing for too long, and calls off what may be
    /// repeated.
    pub(super) fn find_silent_servers(&mut self, out: &mut Vec<Action>) {
        let mut owed: BTreeMap<ServerId, Vec<Time>> = Default::default();
        for job in self.jobs.values().filter(|job| job.stage == Stage::Writing) {
            let Some((at, server)) = job.at.and_then(|at| Some((at, self.servers.get(&at)?))) else {
                continue;
            };
            if server.heard < job.sent && server.out_until <= self.now {
                owed.entry(at).or_default().push(job.sent);
            }
        }
        // Twice, for one that is found says something of those that were looked at before it.
        for _ in 0..2 {
            owed.retain(|at, sent| {
                let silent = self.is_silent(self.servers[at].role, sent);
                if silent {
                    self.fell_silent(*at, out);
                }
                !silent
            });
        }
    }

    /// What was held for a request is gone though its call is out: whoever takes it next has to read it anew.
    /// A writer that has said nothing since, for longer than its peers take, is silent.
    pub(super) fn hold_released(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.held = false;
        let (sent, writing) = (job.sent, job.stage == Stage::Writing);
        let Some(at) = job.at.filter(|_| writing) else { return };
        let Some(server) = self.servers.get(&at).filter(|server| server.heard < sent) else { return };
        if self.longest_silence(server.role).is_some_and(|longest| self.now - sent > longest) {
            self.fell_silent(at, out);
        }
    }

    /// A server has fallen silent. What it was sent and may be repeated goes elsewhere.
    fn fell_silent(&mut self, at: ServerId, out: &mut Vec<Action>) {
        self.shut_out(at, Contact::Unanswered);
        if let Some(role) = self.servers.get(&at).map(|server| server.role) {
            self.cut[role as usize] = Some(self.now);
            let unproven = Unproven { until: self.now + CUT_LASTS, calls_left: UNPROVEN_CALLS };
            for peer in self.servers.values_mut().filter(|peer| peer.role == role) {
                if peer.unproven.is_none_or(|known| known.until <= self.now) {
                    peer.unproven = Some(unproven);
                }
            }
        }
        if !self.settings.may_cancel {
            return;
        }
        let classes = &self.settings.classes;
        let safe = |job: &Job| classes[job.ask.class.0].effect == Effect::Safe;
        let there = |job: &Job| job.stage == Stage::Writing && job.at == Some(at);
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| there(job) && safe(job)) {
            job.cancel_attempt(*id, out);
        }
    }

    /// Silence: a server owes an answer for longer than its peers take, and said nothing since. It is shut
    /// out, and what may be repeated is called off. One that still answers others is waited for: a cancel
    /// stops no running work, so trying elsewhere would only double the load; but what several later requests
    /// have overtaken there is lost, and called off too. Guards against hung, dead or
    /// cut-off servers; a lone very long read can look like silence, which costs that read.
    pub(super) fn find_silent(&mut self, out: &mut Vec<Action>) {
        let mut silent = Vec::new();
        // Each fifth of the peers that is out doubles the patience: what many show at once is load.
        let peers = self.servers.values().filter(|server| server.listed());
        let doubt = timeout_factors(DOUBT, peers.map(|s| (s.role as usize, s.out_until > self.now)));
        for (id, job) in &mut self.jobs {
            let out_there = matches!(job.stage, Stage::Reading | Stage::Writing);
            let Some(at) = job.at.filter(|_| out_there) else { continue };
            let Some(server) = self.servers.get(&at) else { continue };
            let usual = Span((self.pools[server.role as usize].usual * PATIENCE) as u64);
            let lost = job.overtaken >= OVERTAKEN && self.now - job.sent > usual;
            if server.heard >= job.sent && !lost {
                continue;
            }
            // Several silent reads say more than one; streams at a writer say nothing of it.
            let silent_reads = if server.role == Role::Reader { server.attempts.clamp(1, SURE) } else { 1 };
            let patience = job.patience.times(doubt[server.role as usize] / f64::from(silent_reads));
            if self.now - job.sent <= patience && !lost {
                continue;
            }
            if server.heard < job.sent {
                silent.push(at);
            }
            let safe = self.settings.classes[job.ask.class.0].effect == Effect::Safe;
            if (safe || job.stage == Stage::Reading) && self.settings.may_cancel {
                job.cancel_attempt(*id, out);
            }
        }
        silent.into_iter().for_each(|at| self.shut_out(at, Contact::Unanswered));
    }

    /// A server gets nothing for a while, longer each time, and then one call at a time until it says
    /// something.
    pub(super) fn shut_out(&mut self, at: ServerId, how: Contact) {
        self.met(at, how);
        let Some(server) = self.servers.get_mut(&at).filter(|s| s.out_until <= self.now) else { return };
        server.out_until = self.now + server.out_span;
        server.out_span = (server.out_span + server.out_span).min(LONGEST_OUT);
        server.trial = Some(Trial::default());
    }
}
