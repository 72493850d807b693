//! The lease of one request: its phase, which attempts may be waiting for its state, and what an answered
//! release proves.

use crate::action::{AttemptEnd, LateReason, ReleaseKind, ReleaseProof};
use crate::config::LeaseConfig;
use fawnstream_fleet::reachability::Reachability;
use std::time::Duration;

/// A server counts as possibly unreachable above this doubt.
pub(crate) const DOUBT_THRESHOLD: f64 = 0.5;
/// How long after the first answered release it is repeated because a server concerned may be unreachable.
const DOUBT_REPEAT_LIMIT: Duration = Duration::from_secs(4);

/// The phase of a lease; the [crate's documentation](crate) has the table of transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A state waits at its reader, and an attempt at a writer may fetch it.
    Held,
    /// The state has to be released as soon as another release call may be sent.
    ReleaseDue,
    /// Release calls are being sent.
    Releasing,
    /// A release was answered, but may have had no effect.
    Unconfirmed,
}

/// The state of the request's attempt, as this router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// There is no attempt.
    None,
    /// It starts when the release calls have ended.
    AwaitingRelease,
    /// It is starting or in flight.
    InFlight,
}

/// A release call in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseCall {
    pub server: u64,
    pub sent_at: Duration,
    /// An attempt has ended since the call was sent, maybe at the same instant, so its answer proves nothing
    /// about what that attempt left.
    pub attempt_ended_since: bool,
}

/// The end of an attempt that its server has not confirmed: the router gave the attempt up, or the connection
/// broke. While the server's process is suspended it neither reads attempts nor notices ends, whatever has
/// become of the connection.
#[derive(Clone, Copy, Debug)]
struct UnnoticedEnd {
    server: u64,
    ended_at: Duration,
    /// The attempt was a read, which may still succeed and leave a state.
    is_read: bool,
    /// When the process is known to have run after `ended_at`.
    running_at: Option<Duration>,
    /// A running process notices the end within this time.
    notice_limit: Duration,
}

impl UnnoticedEnd {
    /// When the server must have noticed the end; `None` while it is not known to run.
    fn noticed_by(&self) -> Option<Duration> {
        Some(self.running_at? + self.notice_limit)
    }
}

/// What is not yet known about the ends of the request's attempts.
#[derive(Debug, Default)]
struct AttemptEnds {
    /// A release that is not urgent is sent no earlier than this, so that it does not overtake the close of
    /// the last attempt.
    release_not_before: Duration,
    /// By then the servers of all attempts have noticed their ends, unless they are not running.
    noticed_by: Duration,
    unnoticed: Vec<UnnoticedEnd>,
}

impl AttemptEnds {
    fn record_noticed(&mut self, now: Duration) {
        self.release_not_before = now;
        self.noticed_by = self.noticed_by.max(now);
    }

    fn record_unnoticed(&mut self, server: u64, is_read: bool, now: Duration, config: &LeaseConfig) {
        self.release_not_before = now + config.close_arrives_within;
        self.noticed_by = self.noticed_by.max(now + config.notice_limit());
        // A server that is both reader and writer may still read for an earlier attempt.
        let is_read = is_read || self.unnoticed.iter().any(|end| end.server == server && end.is_read);
        self.unnoticed.retain(|end| end.server != server);
        let notice_limit = config.notice_limit();
        self.unnoticed.push(UnnoticedEnd { server, ended_at: now, is_read, running_at: None, notice_limit });
    }

    /// Called when an answer began: keeps only the reads whose readers may not have noticed their ends.
    /// Returns when the last of those readers must have noticed, if it runs; `None` if there is no such read.
    fn retain_lost_reads(&mut self, now: Duration) -> Option<Duration> {
        self.unnoticed.retain(|end| end.is_read && end.noticed_by().is_none_or(|noticed| noticed > now));
        let noticed =
            self.unnoticed.iter().map(|end| end.noticed_by().unwrap_or(end.ended_at + end.notice_limit));
        noticed.max()
    }

    /// A server that answered this release has run since the release was sent.
    fn record_answered(&mut self, call: ReleaseCall) {
        let answers = |end: &&mut UnnoticedEnd| {
            end.running_at.is_none() && end.server == call.server && call.sent_at >= end.ended_at
        };
        self.unnoticed.iter_mut().filter(answers).for_each(|end| end.running_at = Some(call.sent_at));
    }

    /// Servers that sent anything after their attempts ended have run since.
    fn record_heard(&mut self, reach: &Reachability) {
        for end in self.unnoticed.iter_mut().filter(|end| end.running_at.is_none()) {
            end.running_at = reach.answered_after(end.server, end.ended_at);
        }
    }

    /// When the servers of all attempts must have noticed their ends; `None` while one of them is not known
    /// to run.
    fn all_noticed_by(&self) -> Option<Duration> {
        let times: Option<Vec<Duration>> = self.unnoticed.iter().map(UnnoticedEnd::noticed_by).collect();
        Some(times?.into_iter().fold(self.noticed_by, Duration::max))
    }
}

/// The lease of one request.
#[derive(Debug)]
pub struct Lease<L> {
    pub(crate) label: L,
    pub(crate) phase: Phase,
    pub(crate) reader: u64,
    /// Since when the state may have been held without an attempt waiting for it: since then no attempt is
    /// known to have arrived, and no release to have found it.
    pub(crate) unattended_since: Duration,
    pub(crate) attempt: AttemptState,
    ends: AttemptEnds,
    /// A release was answered since the state was read.
    released: bool,
    /// A release that was sent after the last attempt ended was answered.
    released_since_end: bool,
    /// A release was answered while the current attempt was in flight.
    released_during_attempt: bool,
    /// After this time a possibly unreachable server no longer causes a repeated release.
    doubt_repeat_until: Option<Duration>,
    /// Servers asked in this release.
    pub(crate) asked: Vec<u64>,
    pub(crate) calls: Vec<ReleaseCall>,
    pub(crate) round: u32,
    pub(crate) late_reason: LateReason,
    pub(crate) late_reported: bool,
    /// When the lease has to be looked at next.
    pub(crate) due: Option<Duration>,
    /// Its sort key in the queue for a release call.
    pub(crate) queue_key: Option<Duration>,
}

impl<L> Lease<L> {
    pub(crate) fn new(label: L, reader: u64, now: Duration) -> Self {
        Lease {
            label,
            phase: Phase::Held,
            reader,
            unattended_since: now,
            attempt: AttemptState::None,
            ends: AttemptEnds::default(),
            released: false,
            released_since_end: false,
            released_during_attempt: false,
            doubt_repeat_until: None,
            asked: Vec::new(),
            calls: Vec::new(),
            round: 0,
            late_reason: LateReason::Unanswered,
            late_reported: false,
            due: None,
            queue_key: None,
        }
    }

    /// A state is, or may be, held at this reader from now on.
    pub(crate) fn set_held(&mut self, reader: u64, now: Duration) {
        self.phase = Phase::Held;
        self.reader = reader;
        self.unattended_since = now;
        self.attempt = AttemptState::None;
        self.released = false;
        self.released_since_end = false;
        self.released_during_attempt = false;
        self.doubt_repeat_until = None;
    }

    /// The request's attempt ended.
    pub(crate) fn end_attempt(&mut self, server: u64, end: AttemptEnd, now: Duration, config: &LeaseConfig) {
        self.attempt = AttemptState::None;
        self.released_during_attempt = false;
        if end == AttemptEnd::NotSent {
            return;
        }
        self.released_since_end = false;
        self.calls.iter_mut().for_each(|call| call.attempt_ended_since = true);
        match end {
            AttemptEnd::NotSent => {}
            AttemptEnd::Answered | AttemptEnd::StateNotFound => {
                self.unattended_since = now;
                self.ends.record_noticed(now);
            }
            // The attempt may never have arrived, in which case the state has been unattended all the time.
            AttemptEnd::Closed => self.ends.record_noticed(now),
            AttemptEnd::Unanswered => self.ends.record_unnoticed(server, false, now, config),
        }
    }

    /// A read ended in a way that may have left a state at this reader, or may still leave one.
    pub(crate) fn record_lost_read(
        &mut self,
        reader: u64,
        end: AttemptEnd,
        now: Duration,
        config: &LeaseConfig,
    ) {
        // A reader that has closed the connection may still be reading.
        let end = if end == AttemptEnd::Closed { AttemptEnd::Unanswered } else { end };
        self.set_held(reader, now);
        self.end_attempt(reader, end, now, config);
        self.phase = Phase::ReleaseDue;
        if end == AttemptEnd::Unanswered {
            self.ends.record_unnoticed(reader, true, now, config);
        }
    }

    /// The answer began, and the servers have dropped all held states by themselves. Returns when a state
    /// that a lost read may still leave has to be released; `None` if there is no such read.
    pub(crate) fn answer_began(&mut self, now: Duration) -> Option<Duration> {
        let noticed_by = self.ends.retain_lost_reads(now)?.max(now);
        self.ends.noticed_by = self.ends.noticed_by.max(noticed_by);
        self.ends.release_not_before = self.ends.noticed_by;
        let reader = self.ends.unnoticed.last().map_or(self.reader, |end| end.server);
        self.set_held(reader, now);
        self.phase = Phase::Unconfirmed;
        Some(self.ends.release_not_before)
    }

    /// When to send a release before the state is due for one; `None` if a release was answered since the
    /// last attempt ended.
    pub(crate) fn early_release_at(&self, now: Duration) -> Option<Duration> {
        (!self.released_since_end).then(|| self.ends.release_not_before.max(now))
    }

    /// A release begins.
    pub(crate) fn begin_release(&mut self) {
        self.phase = Phase::Releasing;
        self.round = 0;
        self.late_reason = LateReason::Unanswered;
        self.late_reported = false;
        self.asked.clear();
    }

    /// Removes the release call at this server.
    pub(crate) fn end_call(&mut self, server: u64) -> Option<ReleaseCall> {
        let position = self.calls.iter().position(|call| call.server == server)?;
        Some(self.calls.swap_remove(position))
    }

    /// Why the release that was just answered had been sent.
    pub(crate) fn release_kind(&self) -> ReleaseKind {
        match (self.attempt, self.released) {
            (AttemptState::InFlight, _) => ReleaseKind::DuringAttempt,
            (_, true) => ReleaseKind::Repeated,
            _ => ReleaseKind::Needed,
        }
    }

    /// Uses what was heard from servers to learn which processes have run since the ends of attempts there.
    pub(crate) fn record_heard(&mut self, reach: &Reachability) {
        self.ends.record_heard(reach);
    }

    /// A server to ask first, because nothing shows yet that its process has run since an attempt there
    /// ended. Only if a release has been answered since then: until then, and while an attempt waits for the
    /// release, the server that answers soonest matters more.
    pub(crate) fn server_not_known_to_run(&self) -> Option<u64> {
        if !self.was_released_since_end() {
            return None;
        }
        let mut unnoticed = self.ends.unnoticed.iter();
        unnoticed.find(|end| end.running_at.is_none()).map(|end| end.server)
    }

    /// When to repeat an answered release while no attempt is in flight.
    pub(crate) fn repeat_release_at(&self, config: &LeaseConfig) -> Duration {
        let usual = self.unattended_since + config.repeat_delay();
        self.ends.all_noticed_by().map_or(usual, |noticed_by| noticed_by.max(usual))
    }

    /// A release was answered. Any state still held now had an attempt waiting for it when the release was
    /// sent.
    pub(crate) fn record_release_answer(&mut self, call: ReleaseCall, now: Duration, reach: &Reachability) {
        self.ends.record_answered(call);
        self.ends.record_heard(reach);
        self.released = true;
        self.released_since_end |= !call.attempt_ended_since;
        self.unattended_since = self.unattended_since.max(call.sent_at);
        match self.attempt {
            AttemptState::InFlight => self.released_during_attempt = true,
            AttemptState::None | AttemptState::AwaitingRelease => {
                self.doubt_repeat_until.get_or_insert(now + DOUBT_REPEAT_LIMIT);
            }
        }
    }

    /// A release that was sent after the last attempt ended has been answered, and no attempt has started
    /// since.
    pub(crate) fn was_released_since_end(&self) -> bool {
        self.released_since_end && self.attempt == AttemptState::None
    }

    /// The state was released while the current attempt was in flight.
    pub(crate) fn was_released_during_attempt(&self) -> bool {
        self.released_during_attempt
    }

    /// What the answer to a release proves. A release has no effect while an attempt waits for the state: one
    /// that is in flight, or one whose server has not noticed its end. The latter is unknown for a server
    /// that may be unreachable, or that has sent nothing since and whose process may be suspended. A release
    /// is also unconfirmed if the reader may be unreachable, because the server that answered may be cut off
    /// from it.
    pub(crate) fn release_proof(
        &self,
        call: ReleaseCall,
        now: Duration,
        reach: &Reachability,
    ) -> ReleaseProof {
        if self.attempt == AttemptState::InFlight {
            return ReleaseProof::DuringAttempt;
        }
        let sent_after_ends = !call.attempt_ended_since && call.sent_at >= self.ends.noticed_by;
        let all_ends_noticed =
            self.ends.all_noticed_by().is_some_and(|noticed_by| call.sent_at >= noticed_by);
        let in_doubt = |server: &u64| reach.doubt(*server, now) > DOUBT_THRESHOLD;
        let mut concerned = self.ends.unnoticed.iter().map(|end| &end.server).chain([&self.reader]);
        let doubtful = !all_ends_noticed || concerned.any(in_doubt);
        let doubt_matters = self.doubt_repeat_until.is_none_or(|end| now < end);
        match sent_after_ends && !(doubt_matters && doubtful) {
            true => ReleaseProof::Conclusive,
            false => ReleaseProof::Unconfirmed,
        }
    }
}
