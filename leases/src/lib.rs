//! Leases on the states that readers hold for the requests of one router. This crate decides how long a state
//! may be held, when and through which servers it is released, and when the release is certain. It is pure:
//! no clock, no I/O, no threads. Times are measured from a start that the caller chooses.
//!
//! A read leaves a state at its reader, and a writer's attempt fetches it. The limit on holding a state runs
//! while no attempt is in flight at a running server. Two things are not known here: whether an attempt that
//! was written has arrived, and whether a server has noticed that an attempt has ended. So **the answer to a
//! release does not prove its effect**: a release drops only states that no attempt waits for, and every
//! server answers it all the same.
//!
//! | phase | event | next | sentence of the operators' documentation |
//! | --- | --- | --- | --- |
//! | none | [read ended](Leases::read_ended) | held | "the read state then waits in its memory" |
//! | none, any | [read lost](Leases::read_lost) | release due | "a read may have ended well at the very moment its connection was closed or broke" |
//! | held | unattended limit reached, whether or not an attempt is in flight | release due | "a send that has not arrived is not out: it does not stop that clock" |
//! | held | [release](Leases::release), [request closed](Leases::request_closed) | release due | "REFUSE, FAIL and GONE release nothing" |
//! | release due | a call may be sent | releasing | "`DELETE` releases everything held for the request, at any worker" |
//! | releasing | answered, conclusive: when it was sent no attempt can have been waiting | none | "lets go of every state that is held for the request and that no attempt waits for" |
//! | releasing | answered otherwise, or an attempt awaits the release | unconfirmed | the same: an attempt may have been waiting |
//! | releasing | failed | releasing, the next server | "a machine that vanished says nothing" |
//! | unconfirmed | repeat due, or unattended limit reached again | release due | as for held: a state may be left that no attempt waits for |
//! | any but none | [read ended](Leases::read_ended) | held | a new state is held besides any that is left |
//! | any | [answer began](Leases::answer_began), no read lost a short time ago | none | "with FIRST all else that is held goes by itself" |
//! | any | answer began, a read lost a short time ago | unconfirmed | "a read may have ended well at the very moment its connection was closed" |
//! | releasing | ten times `release_within` without an answer, no attempt in flight | none, [abandoned](Action::LeaseAbandoned) | "what a stopped instance left is freed some seconds later" |
//!
//! [`AttemptEnd`] says what the end of an attempt proves. A 410 does not prove that a state has gone: "the
//! state is gone (its reader died or **is cut off**, it was released, or there never was one)".
//!
//! A server that has not confirmed the end of an attempt is asked itself: while its process is suspended it
//! neither reads attempts nor notices ends, however the connection has ended, and an attempt that it reads
//! when it resumes may leave a state. So a release is conclusive only once each such server has shown that it
//! ran after the end, or four seconds after the first answer.
//!
//! The caller must report [`Leases::attempt_starts`] before each attempt, and write none of its bytes before
//! that permits it; then exactly one of [`Leases::read_ended`], [`Leases::read_lost`],
//! [`Leases::answer_began`] and [`Leases::attempt_ended`] for its end. It calls [`Leases::poll`] after each
//! event and at [`Leases::next_due`], and [`Leases::release_ended`] once for each [`Action::SendRelease`]
//! that no [`Action::StopReleases`] of its request has stopped.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod action;
mod config;
mod lease;
mod queues;
mod release_calls;

pub use action::{Action, AttemptEnd, LateReason, Permission, ReleaseCounts, ReleaseOutcome, ReleaseProof};
pub use config::LeaseConfig;

use fawnstream_fleet::reachability::Reachability;
use lease::{AttemptState, Lease, Phase, ReleaseCall};
use queues::LeaseQueues;
use release_calls::ReleaseCalls;
use std::collections::HashMap;
use std::time::Duration;

/// After a failed release call the next server is asked immediately, until this many servers have been asked.
const IMMEDIATE_RETRY_LIMIT: usize = 16;
/// Delay before a release call that found no connection is tried again. It does not count as a call.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A lease that no server has released is abandoned after `release_within` times this. By then the reader has
/// ended, or has dropped what it holds for routers that are gone.
const ABANDON_FACTOR: u32 = 10;

/// All leases of one router. Their number is bounded by the open requests and those that ended a short time
/// ago and whose release is not certain yet. No event iterates over all of them.
#[derive(Debug)]
pub struct Leases<L> {
    config: LeaseConfig,
    leases: HashMap<u64, Lease<L>>,
    queues: LeaseQueues,
    calls: ReleaseCalls,
    actions: Vec<Action<L>>,
    /// Number of requests for which a state was held past the time limit.
    late_count: u64,
    release_counts: ReleaseCounts,
}

impl<L: Clone> Leases<L> {
    /// Creates an empty set of leases.
    pub fn new(config: LeaseConfig) -> Self {
        Leases {
            config,
            leases: HashMap::new(),
            queues: LeaseQueues::default(),
            calls: ReleaseCalls::new(config.max_concurrent_releases, config.seed),
            actions: Vec::new(),
            late_count: 0,
            release_counts: ReleaseCounts::default(),
        }
    }

    /// Number of requests for which a state is, or may be, held.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no state is held.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Number of requests so far for which a state was held past the time limit.
    pub fn late_count(&self) -> u64 {
        self.late_count
    }

    /// Numbers of answered releases, by kind.
    pub fn release_counts(&self) -> ReleaseCounts {
        self.release_counts
    }

    // Attempts.

    /// An attempt is to start; returns whether it may.
    pub fn attempt_starts(&mut self, request: u64, now: Duration) -> Permission {
        let limit = self.config.unattended_limit();
        let Some(lease) = self.leases.get_mut(&request) else { return Permission::Now { write_by: None } };
        let write_by = lease.unattended_since + limit;
        if lease.phase == Phase::Unconfirmed && write_by <= now {
            lease.phase = Phase::ReleaseDue;
        }
        match lease.phase {
            Phase::ReleaseDue | Phase::Releasing => {
                lease.attempt = AttemptState::AwaitingRelease;
                self.schedule(request, Some(now));
                Permission::AfterRelease
            }
            // It is not known yet whether the attempt arrives; until it is, the lease falls due as before.
            Phase::Held | Phase::Unconfirmed => {
                lease.attempt = AttemptState::InFlight;
                self.schedule(request, Some(write_by));
                Permission::Now { write_by: Some(write_by) }
            }
        }
    }

    /// A read succeeded, and its state waits at `reader`.
    pub fn read_ended(&mut self, request: u64, label: &L, reader: u64, now: Duration) {
        self.stop_calls_in_flight(request);
        let limit = self.config.unattended_limit();
        self.lease_or_insert(request, label, reader, now).set_held(reader, now);
        self.schedule(request, Some(now + limit));
    }

    /// A read ended in a way that may have left a state at `reader`.
    pub fn read_lost(&mut self, request: u64, label: &L, reader: u64, end: AttemptEnd, now: Duration) {
        let config = self.config;
        self.lease_or_insert(request, label, reader, now).record_lost_read(reader, end, now, &config);
        self.schedule(request, Some(now));
    }

    /// An attempt at `server` ended before an answer began, and it was no read that may have left a state.
    pub fn attempt_ended(&mut self, request: u64, server: u64, end: AttemptEnd, now: Duration) {
        self.dequeue(request);
        let limit = self.config.unattended_limit();
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if end == AttemptEnd::Answered && lease.was_released_during_attempt() {
            self.release_counts.without_effect += 1;
        }
        lease.end_attempt(server, end, now, &self.config);
        let due = match lease.phase {
            Phase::Held | Phase::Unconfirmed => lease.unattended_since + limit,
            // A release that has begun keeps the time of its next round.
            Phase::ReleaseDue | Phase::Releasing => lease.due.unwrap_or(now),
        };
        self.schedule(request, Some(due));
    }

    /// An attempt's answer began, and the servers drop all held states by themselves, except a state that a
    /// lost read leaves later.
    pub fn answer_began(&mut self, request: u64, now: Duration) {
        self.stop_calls_in_flight(request);
        self.dequeue(request);
        match self.leases.get_mut(&request).and_then(|lease| lease.answer_began(now)) {
            Some(due) => self.schedule(request, Some(due)),
            None => self.remove(request),
        }
    }

    /// The state is no longer needed. It is released early, unless an attempt is in flight: then at its usual
    /// time.
    pub fn release(&mut self, request: u64, now: Duration) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if matches!(lease.phase, Phase::ReleaseDue | Phase::Releasing) {
            return;
        }
        let early = lease.early_release_at(now);
        if lease.phase == Phase::Held {
            lease.phase = Phase::ReleaseDue;
        }
        if lease.attempt == AttemptState::None
            && let Some(early) = early
        {
            let due = lease.due.map_or(early, |due| due.min(early));
            self.schedule(request, Some(due));
        }
    }

    /// The request has ended with no attempt in flight, so the state will not be fetched.
    pub fn request_closed(&mut self, request: u64, now: Duration) {
        self.release(request, now);
    }

    // Releases.

    /// A release call ended at `server`. Returns what that proves, if the server answered and the call had
    /// not been stopped.
    pub fn release_ended(
        &mut self,
        request: u64,
        server: u64,
        outcome: ReleaseOutcome,
        now: Duration,
        reach: &Reachability,
    ) -> Option<ReleaseProof> {
        let lease = self.leases.get_mut(&request)?;
        let call = lease.end_call(server)?;
        self.calls.call_ended(server);
        let last = lease.calls.is_empty();
        match outcome {
            ReleaseOutcome::Answered => return self.release_answered(request, call, now, reach),
            ReleaseOutcome::Failed => {
                lease.late_reason = LateReason::Unanswered;
                if last && lease.asked.len() < IMMEDIATE_RETRY_LIMIT {
                    self.schedule(request, Some(now));
                }
            }
            ReleaseOutcome::Unsent => {
                lease.asked.retain(|asked| *asked != server);
                lease.late_reason = LateReason::NoConnection;
                if last {
                    self.schedule(request, Some(now + UNSENT_RETRY_DELAY));
                }
            }
        }
        None
    }

    /// A server answered a release. That ends the lease only if no attempt can have been waiting for the
    /// state.
    fn release_answered(
        &mut self,
        request: u64,
        call: ReleaseCall,
        now: Duration,
        reach: &Reachability,
    ) -> Option<ReleaseProof> {
        let limit = self.config.unattended_limit();
        let lease = self.leases.get_mut(&request)?;
        self.release_counts.count(lease.release_kind());
        lease.record_release_answer(call, now, reach);
        let proof = lease.release_proof(call, now, reach);
        let conclusive = proof == ReleaseProof::Conclusive;
        if conclusive && lease.attempt == AttemptState::None {
            self.stop_releases(request, None);
            self.remove(request);
            return Some(proof);
        }
        lease.phase = Phase::Unconfirmed;
        let limit_reached = lease.unattended_since + limit;
        let repeat_at = match lease.attempt {
            AttemptState::None => lease.repeat_release_at(&self.config),
            AttemptState::AwaitingRelease | AttemptState::InFlight => limit_reached,
        };
        // If the release was conclusive, an attempt that starts now finds no state; but how it ends matters
        // to a later read, so the lease stays.
        self.stop_releases(request, (!conclusive).then_some(limit_reached));
        self.schedule(request, Some(repeat_at.max(now)));
        Some(proof)
    }

    /// When [`Leases::poll`] next has something to do without a new event.
    pub fn next_due(&self) -> Option<Duration> {
        self.queues.next_due()
    }

    /// Returns what has to be done now. `reach` says which servers are listed and how likely each is to be
    /// reachable.
    pub fn poll(&mut self, now: Duration, reach: &Reachability) -> Vec<Action<L>> {
        while let Some(request) = self.queues.first_due(now) {
            self.schedule(request, None);
            self.handle_due(request, now);
        }
        while self.calls.has_room()
            && let Some(request) = self.queues.pop_queued()
        {
            if let Some(lease) = self.leases.get_mut(&request) {
                lease.queue_key = None;
                self.ask_next_servers(request, now, reach);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_due(&mut self, request: u64, now: Duration) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        match lease.phase {
            // No attempt is known to have fetched the state, and the caller has not asked for its release; it
            // is released without waiting for either.
            Phase::Held => {
                lease.phase = Phase::ReleaseDue;
                if lease.attempt != AttemptState::None {
                    let (reader, held) = (lease.reader, now.saturating_sub(lease.unattended_since));
                    self.actions.push(Action::ReleasedDuringAttempt { request, reader, held });
                }
            }
            Phase::Unconfirmed => lease.phase = Phase::ReleaseDue,
            Phase::Releasing => {
                if self.handle_late(request, now) {
                    return;
                }
            }
            Phase::ReleaseDue => {}
        }
        self.enqueue(request);
    }

    /// Reports a state held past the time limit once, and stops or abandons its release where that is due.
    /// Returns true if no further server is asked now.
    fn handle_late(&mut self, request: u64, now: Duration) -> bool {
        let LeaseConfig { release_within, grace, .. } = self.config;
        let Some(lease) = self.leases.get_mut(&request) else { return true };
        let held = now.saturating_sub(lease.unattended_since);
        if held < release_within + grace {
            return false;
        }
        let (label, reader) = (lease.label.clone(), lease.reader);
        if !std::mem::replace(&mut lease.late_reported, true) {
            let reason = lease.late_reason;
            self.actions.push(Action::ReleaseLate { label: label.clone(), reader, held, reason });
            self.late_count += 1;
        }
        if lease.attempt == AttemptState::AwaitingRelease {
            // The client of the waiting attempt does not wait longer for a release that no server answers.
            lease.phase = Phase::ReleaseDue;
            self.stop_releases(request, None);
            return true;
        }
        let abandoned = lease.attempt == AttemptState::None && held >= release_within * ABANDON_FACTOR;
        if abandoned {
            self.actions.push(Action::LeaseAbandoned { label, reader });
            self.stop_releases(request, None);
            self.remove(request);
        }
        abandoned
    }

    /// Asks the next servers for a release.
    fn ask_next_servers(&mut self, request: u64, now: Duration, reach: &Reachability) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.phase == Phase::ReleaseDue {
            lease.begin_release();
        }
        let wait =
            if lease.late_reported { self.config.release_within } else { self.config.round_interval() };
        for server in self.calls.choose_servers(request, lease, now, reach) {
            let label = lease.label.clone();
            self.actions.push(Action::SendRelease { request, label, server });
        }
        self.schedule(request, Some(now + wait));
    }

    // The table of leases.

    fn lease_or_insert(&mut self, request: u64, label: &L, reader: u64, now: Duration) -> &mut Lease<L> {
        self.dequeue(request);
        self.leases.entry(request).or_insert_with(|| Lease::new(label.clone(), reader, now))
    }

    fn schedule(&mut self, request: u64, due: Option<Duration>) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        let old = std::mem::replace(&mut lease.due, due);
        self.queues.reschedule(request, old, due);
    }

    fn enqueue(&mut self, request: u64) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.queue_key.is_none() {
            lease.queue_key = Some(lease.unattended_since);
            self.queues.enqueue(request, lease.unattended_since);
        }
    }

    fn dequeue(&mut self, request: u64) {
        if let Some(lease) = self.leases.get_mut(&request)
            && let Some(key) = lease.queue_key.take()
        {
            self.queues.dequeue(request, key);
        }
    }

    /// Stops the request's release calls, if any are in flight.
    fn stop_calls_in_flight(&mut self, request: u64) {
        if self.leases.get(&request).is_some_and(|lease| !lease.calls.is_empty()) {
            self.stop_releases(request, None);
        }
    }

    /// Stops the request's release calls, and lets an attempt that waits for them start.
    fn stop_releases(&mut self, request: u64, write_by: Option<Duration>) {
        self.dequeue(request);
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.attempt == AttemptState::AwaitingRelease {
            lease.attempt = AttemptState::InFlight;
        }
        lease.asked.clear();
        self.actions.push(Action::StopReleases { request, write_by });
        for call in lease.calls.drain(..) {
            self.calls.call_ended(call.server);
        }
    }

    fn remove(&mut self, request: u64) {
        self.dequeue(request);
        self.schedule(request, None);
        if let Some(lease) = self.leases.remove(&request) {
            for call in lease.calls {
                self.calls.call_ended(call.server);
            }
        }
    }
}
