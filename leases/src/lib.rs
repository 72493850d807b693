//! Leases: one owner of all that readers hold for one router's requests. It says until when a state may stand, when and
//! by whom it is released, and when its release is certain. Pure: no clock, no I/O, no threads. Times are since a start
//! that the caller chose.
//!
//! A read leaves a state at its reader; a writer's attempt fetches it. The rule's clock runs while no attempt is out at a
//! running server. Two things are not known here: whether a call that was written has arrived, and whether a server has
//! noticed that a call has ended. So **an answer is not the effect**: a release lets go only of what no attempt waits for,
//! and every server answers it all the same.
//!
//! | phase | event | next | sentence of the operators' pages |
//! | --- | --- | --- | --- |
//! | none | [read ended](Leases::read_ended) | held | "the read state then waits in its memory" |
//! | none, any | [read lost](Leases::read_lost) | release due | "a read may have ended well at the very moment its connection was closed or broke" |
//! | held | limit reached, attempt out or not | release due | "a send that has not arrived is not out: it does not stop that clock" |
//! | held | [release](Leases::release), [request closed](Leases::request_closed) | release due | "REFUSE, FAIL and GONE release nothing" |
//! | release due | its turn | releasing | "`DELETE` releases everything held for the request, at any worker" |
//! | releasing | answered, and conclusive: sent when no attempt can have waited | none | "lets go of every state that is held for the request and that no attempt waits for" |
//! | releasing | answered, anything else, or an attempt awaits it | unconfirmed | the same: an attempt may have waited |
//! | releasing | failed | releasing, the next server | "a machine that vanished says nothing" |
//! | unconfirmed | limit reached again | release due | as held: the state may stand, and nobody may wait for it |
//! | any but none | [read ended](Leases::read_ended) | held | a new state stands beside what is left |
//! | any | [answer began](Leases::answer_began), no read lost a short time ago | none | "with FIRST all else that is held goes by itself" |
//! | any | answer began, a read lost a short time ago | unconfirmed | "a read may have ended well at the very moment its connection was closed" |
//! | releasing | ten times the limit without an answer, no attempt out | none, [abandoned](Action::LeaseAbandoned) | "what a stopped instance left is freed some seconds later" |
//!
//! [`AttemptEnd`] says what an attempt's end proves. A 410 is no proof that a state has gone: "the state is gone (its
//! reader died or **is cut off**, it was released, or there never was one)".
//!
//! A server that has not said that an attempt is over is asked itself: while its process stands still it reads and notices
//! nothing, however the connection has ended, and what it reads when it goes on may leave a state. So a release is conclusive
//! only once each such server has shown that it ran after the end, or four seconds after the first answer.
//!
//! What the caller owes: [`Leases::attempt_starts`] before each attempt, and none of its bytes written before that permits
//! it; one [`Leases::read_ended`], [`Leases::read_lost`], [`Leases::answer_began`] or [`Leases::attempt_ended`] for its end;
//! [`Leases::poll`] after each event and at [`Leases::next_due`]; one [`Leases::release_ended`] for each
//! [`Action::SendRelease`] that no [`Action::ReleasesEnded`] of its request ended.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod action;
mod config;
mod lease;
mod release_calls;
mod timetable;

pub use action::{Action, AttemptEnd, LateReason, Permission, ReleaseCounts, ReleaseOutcome, ReleaseProof};
pub use config::LeaseConfig;

use fawnstream_fleet::reach::Reach;
use lease::{Attempt, Call, Lease, Phase};
use release_calls::ReleaseCalls;
use std::collections::HashMap;
use std::time::Duration;
use timetable::Timetable;

/// A release that fails has the next server asked at once, until so many were asked.
const MOST_AT_ONCE: usize = 16;
/// A release that found no connection is made again after this time, and counts as none.
const UNSENT_RETRY: Duration = Duration::from_millis(10);
/// What no server released is abandoned after so many times the settings' limit: by then its server has ended, or has
/// freed what it holds for routers that are gone.
const ABANDON_FACTOR: u32 = 10;

/// All leases of one router. Bounded by its open requests, and by those that ended a short time ago and whose release is
/// not certain yet. No event costs a walk over them.
#[derive(Debug)]
pub struct Leases<L> {
    config: LeaseConfig,
    leases: HashMap<u64, Lease<L>>,
    timetable: Timetable,
    calls: ReleaseCalls,
    actions: Vec<Action<L>>,
    /// Requests of which something was held past the limit.
    late: u64,
    counts: ReleaseCounts,
}

impl<L: Clone> Leases<L> {
    /// Nothing is held yet.
    pub fn new(config: LeaseConfig) -> Self {
        Leases {
            config,
            leases: HashMap::new(),
            timetable: Timetable::default(),
            calls: ReleaseCalls::new(config.max_concurrent_releases, config.seed),
            actions: Vec::new(),
            late: 0,
            counts: ReleaseCounts::default(),
        }
    }

    /// Requests for which something is, or may be, held.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Nothing is held.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Requests of which something was held past the limit, ever.
    pub fn late_count(&self) -> u64 {
        self.late
    }

    /// Releases that were answered, by kind.
    pub fn release_counts(&self) -> ReleaseCounts {
        self.counts
    }

    // Attempts.

    /// An attempt is to start.
    pub fn attempt_starts(&mut self, request: u64, now: Duration) -> Permission {
        let limit = self.config.unattended_limit();
        let Some(lease) = self.leases.get_mut(&request) else { return Permission::Now { write_by: None } };
        let write_by = lease.unattended_since + limit;
        if lease.phase == Phase::Unconfirmed && write_by <= now {
            lease.phase = Phase::ReleaseDue;
        }
        match lease.phase {
            Phase::ReleaseDue | Phase::Releasing => {
                lease.attempt = Attempt::AwaitsRelease;
                self.schedule(request, Some(now));
                Permission::AfterRelease
            }
            // Whether it arrives remains to be seen: until something says so, the lease falls due all the same.
            Phase::Held | Phase::Unconfirmed => {
                lease.attempt = Attempt::Out;
                self.schedule(request, Some(write_by));
                Permission::Now { write_by: Some(write_by) }
            }
        }
    }

    /// A read ended well: its state waits at `reader`.
    pub fn read_ended(&mut self, request: u64, label: &L, reader: u64, now: Duration) {
        self.end_calls(request);
        let limit = self.config.unattended_limit();
        self.lease(request, label, reader, now).hold(reader, now);
        self.schedule(request, Some(now + limit));
    }

    /// A read ended in a way that may have left a state at `reader`.
    pub fn read_lost(&mut self, request: u64, label: &L, reader: u64, end: AttemptEnd, now: Duration) {
        let config = self.config;
        self.lease(request, label, reader, now).lose_read(reader, end, now, &config);
        self.schedule(request, Some(now));
    }

    /// An attempt at `server` ended with no answer begun, and was no read that may have left a state.
    pub fn attempt_ended(&mut self, request: u64, server: u64, end: AttemptEnd, now: Duration) {
        self.dequeue(request);
        let limit = self.config.unattended_limit();
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if end == AttemptEnd::Answered && lease.was_released_under_attempt() {
            self.counts.in_vain += 1;
        }
        lease.end_attempt(server, end, now, &self.config);
        let due = match lease.phase {
            Phase::Held | Phase::Unconfirmed => lease.unattended_since + limit,
            // The next round of a release that is under way stays when it was.
            Phase::ReleaseDue | Phase::Releasing => lease.due.unwrap_or(now),
        };
        self.schedule(request, Some(due));
    }

    /// An attempt's answer began: all that is held goes by itself. What a lost read leaves after that does not.
    pub fn answer_began(&mut self, request: u64, now: Duration) {
        self.end_calls(request);
        self.dequeue(request);
        match self.leases.get_mut(&request).and_then(|lease| lease.answer_began(now)) {
            Some(due) => self.schedule(request, Some(due)),
            None => self.remove(request),
        }
    }

    /// What is held has to go. Under an attempt that is out it goes at its time.
    pub fn release(&mut self, request: u64, now: Duration) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if matches!(lease.phase, Phase::ReleaseDue | Phase::Releasing) {
            return;
        }
        let hurried = lease.hurried_release(now);
        if lease.phase == Phase::Held {
            lease.phase = Phase::ReleaseDue;
        }
        if lease.attempt == Attempt::None
            && let Some(hurried) = hurried
        {
            let due = lease.due.map_or(hurried, |due| due.min(hurried));
            self.schedule(request, Some(due));
        }
    }

    /// The request has ended, with no attempt out: nobody will take what is held.
    pub fn request_closed(&mut self, request: u64, now: Duration) {
        self.release(request, now);
    }

    // Releases.

    /// A release ended at `server`. What that proves, if it was answered and not ended before.
    pub fn release_ended(
        &mut self,
        request: u64,
        server: u64,
        outcome: ReleaseOutcome,
        now: Duration,
        reach: &Reach,
    ) -> Option<ReleaseProof> {
        let lease = self.leases.get_mut(&request)?;
        let call = lease.end_call(server)?;
        self.calls.ended(server);
        let last = lease.calls.is_empty();
        match outcome {
            ReleaseOutcome::Answered => return self.answered(request, call, now, reach),
            ReleaseOutcome::Failed => {
                lease.late_reason = LateReason::Unanswered;
                if last && lease.asked.len() < MOST_AT_ONCE {
                    self.schedule(request, Some(now));
                }
            }
            ReleaseOutcome::Unsent => {
                lease.asked.retain(|asked| *asked != server);
                lease.late_reason = LateReason::NoConnection;
                if last {
                    self.schedule(request, Some(now + UNSENT_RETRY));
                }
            }
        }
        None
    }

    /// A server said that it released what is held. That ends the lease only if no attempt can have waited for it.
    fn answered(&mut self, request: u64, call: Call, now: Duration, reach: &Reach) -> Option<ReleaseProof> {
        let limit = self.config.unattended_limit();
        let lease = self.leases.get_mut(&request)?;
        self.counts.count(lease.release_kind());
        lease.note_released(call, now, reach);
        let proof = lease.proof_of(call, now, reach);
        let conclusive = proof == ReleaseProof::Conclusive;
        if conclusive && lease.attempt == Attempt::None {
            self.end_releases(request, None);
            self.remove(request);
            return Some(proof);
        }
        lease.phase = Phase::Unconfirmed;
        let limit_reached = lease.unattended_since + limit;
        let again = match lease.attempt {
            Attempt::None => lease.repeated_at(&self.config),
            Attempt::AwaitsRelease | Attempt::Out => limit_reached,
        };
        // Nothing is left for an attempt that starts now; how it ends matters to what is read after it.
        self.end_releases(request, (!conclusive).then_some(limit_reached));
        self.schedule(request, Some(again.max(now)));
        Some(proof)
    }

    /// When [`Leases::poll`] has something to do without any event.
    pub fn next_due(&self) -> Option<Duration> {
        self.timetable.next_due()
    }

    /// What is to be done now. `reach`: which servers are listed, and what is believed of them.
    pub fn poll(&mut self, now: Duration, reach: &Reach) -> Vec<Action<L>> {
        while let Some(request) = self.timetable.first_due(now) {
            self.schedule(request, None);
            self.fall_due(request, now);
        }
        while self.calls.has_room()
            && let Some(request) = self.timetable.pop_queued()
        {
            if let Some(lease) = self.leases.get_mut(&request) {
                lease.queued_by = None;
                self.ask_next_servers(request, now, reach);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn fall_due(&mut self, request: u64, now: Duration) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        match lease.phase {
            // Nobody is known to have taken it, and nobody said that it has to go: the owner does not wait for that.
            Phase::Held => {
                lease.phase = Phase::ReleaseDue;
                if lease.attempt != Attempt::None {
                    let (reader, held) = (lease.reader, now.saturating_sub(lease.unattended_since));
                    self.actions.push(Action::ReleasedUnderAttempt { request, reader, held });
                }
            }
            Phase::Unconfirmed => lease.phase = Phase::ReleaseDue,
            Phase::Releasing => {
                if self.is_given_up(request, now) {
                    return;
                }
            }
            Phase::ReleaseDue => {}
        }
        self.enqueue(request);
    }

    /// Tells what is held past the limit. True if no server is asked any more for now.
    fn is_given_up(&mut self, request: u64, now: Duration) -> bool {
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
            self.late += 1;
        }
        if lease.attempt == Attempt::AwaitsRelease {
            // Its client waits no longer for a server that nobody reaches.
            lease.phase = Phase::ReleaseDue;
            self.end_releases(request, None);
            return true;
        }
        let abandoned = lease.attempt == Attempt::None && held >= release_within * ABANDON_FACTOR;
        if abandoned {
            self.actions.push(Action::LeaseAbandoned { label, reader });
            self.end_releases(request, None);
            self.remove(request);
        }
        abandoned
    }

    /// Asks the next servers for a release.
    fn ask_next_servers(&mut self, request: u64, now: Duration, reach: &Reach) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.phase == Phase::ReleaseDue {
            lease.begin_release();
        }
        let patience = if lease.late_reported { self.config.release_within } else { self.config.round() };
        for server in self.calls.choose_round(request, lease, now, reach) {
            let label = lease.label.clone();
            self.actions.push(Action::SendRelease { request, label, server });
        }
        self.schedule(request, Some(now + patience));
    }

    // The table of leases.

    fn lease(&mut self, request: u64, label: &L, reader: u64, now: Duration) -> &mut Lease<L> {
        self.dequeue(request);
        self.leases.entry(request).or_insert_with(|| Lease::new(label.clone(), reader, now))
    }

    fn schedule(&mut self, request: u64, due: Option<Duration>) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        let old = std::mem::replace(&mut lease.due, due);
        self.timetable.reschedule(request, old, due);
    }

    fn enqueue(&mut self, request: u64) {
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.queued_by.is_none() {
            lease.queued_by = Some(lease.unattended_since);
            self.timetable.enqueue(request, lease.unattended_since);
        }
    }

    fn dequeue(&mut self, request: u64) {
        if let Some(lease) = self.leases.get_mut(&request)
            && let Some(key) = lease.queued_by.take()
        {
            self.timetable.dequeue(request, key);
        }
    }

    /// Ends the request's releases, if any are under way.
    fn end_calls(&mut self, request: u64) {
        if self.leases.get(&request).is_some_and(|lease| !lease.calls.is_empty()) {
            self.end_releases(request, None);
        }
    }

    /// Ends the request's releases, and lets an attempt that waits for them start.
    fn end_releases(&mut self, request: u64, write_by: Option<Duration>) {
        self.dequeue(request);
        let Some(lease) = self.leases.get_mut(&request) else { return };
        if lease.attempt == Attempt::AwaitsRelease {
            lease.attempt = Attempt::Out;
        }
        lease.asked.clear();
        self.actions.push(Action::ReleasesEnded { request, write_by });
        for call in lease.calls.drain(..) {
            self.calls.ended(call.server);
        }
    }

    fn remove(&mut self, request: u64) {
        self.dequeue(request);
        self.schedule(request, None);
        if let Some(lease) = self.leases.remove(&request) {
            for call in lease.calls {
                self.calls.ended(call.server);
            }
        }
    }
}
