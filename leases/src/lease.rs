//! The lease of one request: its phase, who may wait for its state, and what a release proves.

use crate::action::{AttemptEnd, LateReason, ReleaseKind, ReleaseProof};
use crate::config::LeaseConfig;
use fawnstream_fleet::reach::Reach;
use std::time::Duration;

/// A server that may be out of reach is believed to be above this doubt.
pub(crate) const DOUBTED: f64 = 0.5;
/// Releases are repeated while a server concerned is in doubt, for so long after the first that was answered.
const DOUBTED_FOR: Duration = Duration::from_secs(4);

/// Where a lease stands; the table is in the [crate's page](crate).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A state waits at its reader, and a writer's attempt may take it.
    Held,
    /// It has to be released, as soon as there is room for a call.
    ReleaseDue,
    /// Servers are being asked.
    Releasing,
    /// A release was answered that may have been in vain.
    Unconfirmed,
}

/// The request's attempt, as this router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// There is none.
    None,
    /// It starts when the releases have ended.
    AwaitsRelease,
    /// It starts, or is out.
    Out,
}

/// A release that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub server: u64,
    pub sent_at: Duration,
    /// An attempt has ended since it was sent, maybe in the same instant: it proves nothing of what that left.
    pub crossed_end: bool,
}

/// A server that has not said that an attempt there is over: the router gave it up, or its connection broke. Its process may
/// stand still, and reads or notices nothing until it goes on, whatever has become of the connection.
#[derive(Clone, Copy, Debug)]
struct Unnoticed {
    server: u64,
    ended_at: Duration,
    /// It is a read, which may yet end well and leave a state.
    reads: bool,
    /// When its process is known to have run after that.
    ran_at: Option<Duration>,
    /// A process that runs has noticed after this time.
    notices_within: Duration,
}

impl Unnoticed {
    /// When it must have noticed; none while it is not known to run.
    fn noticed_by(&self) -> Option<Duration> {
        Some(self.ran_at? + self.notices_within)
    }
}

/// What the ends of the request's attempts leave open.
#[derive(Debug, Default)]
struct Ends {
    /// A release that nothing else hurries is sent from then on: behind the close of the last attempt, so that it does not
    /// overtake it.
    release_from: Duration,
    /// By then the servers of all of them have noticed, or do not run.
    noticed_by: Duration,
    unnoticed: Vec<Unnoticed>,
}

impl Ends {
    fn note_noticed(&mut self, now: Duration) {
        self.release_from = now;
        self.noticed_by = self.noticed_by.max(now);
    }

    fn note_unnoticed(&mut self, server: u64, reads: bool, now: Duration, config: &LeaseConfig) {
        self.release_from = now + config.close_arrives_within;
        self.noticed_by = self.noticed_by.max(now + config.end_noticed_within());
        // A server that does both may still read for an earlier attempt.
        let reads = reads || self.unnoticed.iter().any(|known| known.server == server && known.reads);
        self.unnoticed.retain(|known| known.server != server);
        let notices_within = config.end_noticed_within();
        self.unnoticed.push(Unnoticed { server, ended_at: now, reads, ran_at: None, notices_within });
    }

    /// An answer began: what is left are reads whose readers may not have noticed their ends. When the last of them has, if it
    /// runs; none if there is no such read.
    fn keep_lost_reads(&mut self, now: Duration) -> Option<Duration> {
        self.unnoticed.retain(|known| known.reads && known.noticed_by().is_none_or(|noticed| noticed > now));
        let noticed = self
            .unnoticed
            .iter()
            .map(|known| known.noticed_by().unwrap_or(known.ended_at + known.notices_within));
        noticed.max()
    }

    /// A server that answered this release has run since it was sent.
    fn note_answered(&mut self, call: Call) {
        let answers = |known: &&mut Unnoticed| {
            known.ran_at.is_none() && known.server == call.server && call.sent_at >= known.ended_at
        };
        self.unnoticed.iter_mut().filter(answers).for_each(|known| known.ran_at = Some(call.sent_at));
    }

    /// Servers of which anything was heard since their attempts ended have run since.
    fn note_heard(&mut self, reach: &Reach) {
        for known in self.unnoticed.iter_mut().filter(|known| known.ran_at.is_none()) {
            known.ran_at = reach.answered_after(known.server, known.ended_at);
        }
    }

    /// When the servers of all attempts must have noticed their ends; none while one is not known to run.
    fn all_noticed_by(&self) -> Option<Duration> {
        let known: Option<Vec<Duration>> = self.unnoticed.iter().map(Unnoticed::noticed_by).collect();
        Some(known?.into_iter().fold(self.noticed_by, Duration::max))
    }
}

/// The lease of one request.
#[derive(Debug)]
pub struct Lease<L> {
    pub(crate) label: L,
    pub(crate) phase: Phase,
    pub(crate) reader: u64,
    /// From then on the state may stand with nobody waiting for it: no attempt is known to have arrived, and no release to
    /// have found it, since.
    pub(crate) unattended_since: Duration,
    pub(crate) attempt: Attempt,
    ends: Ends,
    /// A release was answered since the state was read; and one that was sent since the last attempt ended.
    released: bool,
    released_since_end: bool,
    /// A release was answered under the attempt that is out.
    released_under_attempt: bool,
    /// Servers in doubt no longer count after this.
    doubts_end: Option<Duration>,
    /// Servers asked in this release.
    pub(crate) asked: Vec<u64>,
    pub(crate) calls: Vec<Call>,
    pub(crate) round: u32,
    pub(crate) late_reason: LateReason,
    pub(crate) late_reported: bool,
    /// When it is looked at next.
    pub(crate) due: Option<Duration>,
    /// Its key in the queue for a call.
    pub(crate) queued_by: Option<Duration>,
}

impl<L> Lease<L> {
    pub(crate) fn new(label: L, reader: u64, now: Duration) -> Self {
        Lease {
            label,
            phase: Phase::Held,
            reader,
            unattended_since: now,
            attempt: Attempt::None,
            ends: Ends::default(),
            released: false,
            released_since_end: false,
            released_under_attempt: false,
            doubts_end: None,
            asked: Vec::new(),
            calls: Vec::new(),
            round: 0,
            late_reason: LateReason::Unanswered,
            late_reported: false,
            due: None,
            queued_by: None,
        }
    }

    /// A state is, or may be, held at this reader from now on.
    pub(crate) fn hold(&mut self, reader: u64, now: Duration) {
        self.phase = Phase::Held;
        self.reader = reader;
        self.unattended_since = now;
        self.attempt = Attempt::None;
        self.released = false;
        self.released_since_end = false;
        self.released_under_attempt = false;
        self.doubts_end = None;
    }

    /// Its attempt ended.
    pub(crate) fn end_attempt(&mut self, server: u64, end: AttemptEnd, now: Duration, config: &LeaseConfig) {
        self.attempt = Attempt::None;
        self.released_under_attempt = false;
        if end == AttemptEnd::NotSent {
            return;
        }
        self.released_since_end = false;
        self.calls.iter_mut().for_each(|call| call.crossed_end = true);
        match end {
            AttemptEnd::NotSent => {}
            AttemptEnd::Answered | AttemptEnd::StateNotFound => {
                self.unattended_since = now;
                self.ends.note_noticed(now);
            }
            // It may never have arrived: then the clock has been running all the time.
            AttemptEnd::Closed => self.ends.note_noticed(now),
            AttemptEnd::Unanswered => self.ends.note_unnoticed(server, false, now, config),
        }
    }

    /// A read ended in a way that may have left a state at this reader, or may leave one yet.
    pub(crate) fn lose_read(&mut self, reader: u64, end: AttemptEnd, now: Duration, config: &LeaseConfig) {
        // A reader that has closed the connection may read on.
        let end = if end == AttemptEnd::Closed { AttemptEnd::Unanswered } else { end };
        self.hold(reader, now);
        self.end_attempt(reader, end, now, config);
        self.phase = Phase::ReleaseDue;
        if end == AttemptEnd::Unanswered {
            self.ends.note_unnoticed(reader, true, now, config);
        }
    }

    /// The answer began, and all that was held has gone by itself. When what a lost read may leave yet has to be released;
    /// none if there is no such read.
    pub(crate) fn answer_began(&mut self, now: Duration) -> Option<Duration> {
        let noticed_by = self.ends.keep_lost_reads(now)?.max(now);
        self.ends.noticed_by = self.ends.noticed_by.max(noticed_by);
        self.ends.release_from = self.ends.noticed_by;
        let reader = self.ends.unnoticed.last().map_or(self.reader, |known| known.server);
        self.hold(reader, now);
        self.phase = Phase::Unconfirmed;
        Some(self.ends.release_from)
    }

    /// When a release is sent that nobody waits to make use of; none if one was answered since the last attempt ended.
    pub(crate) fn hurried_release(&self, now: Duration) -> Option<Duration> {
        (!self.released_since_end).then(|| self.ends.release_from.max(now))
    }

    /// A release begins.
    pub(crate) fn begin_release(&mut self) {
        self.phase = Phase::Releasing;
        self.round = 0;
        self.late_reason = LateReason::Unanswered;
        self.late_reported = false;
        self.asked.clear();
    }

    /// A release at this server is under way no more.
    pub(crate) fn end_call(&mut self, server: u64) -> Option<Call> {
        let place = self.calls.iter().position(|call| call.server == server)?;
        Some(self.calls.swap_remove(place))
    }

    /// What a release that was answered had been made for.
    pub(crate) fn release_kind(&self) -> ReleaseKind {
        match (self.attempt, self.released) {
            (Attempt::Out, _) => ReleaseKind::UnderAttempt,
            (_, true) => ReleaseKind::Repeated,
            _ => ReleaseKind::Needed,
        }
    }

    /// What was heard of servers may show that their processes have run since the ends of attempts there.
    pub(crate) fn note_heard(&mut self, reach: &Reach) {
        self.ends.note_heard(reach);
    }

    /// A server to ask first, for nothing says yet that its process has run since an attempt there ended. Only where a release
    /// has been answered since: until then, and while an attempt waits for it, who answers soonest matters more.
    pub(crate) fn not_known_to_run(&self) -> Option<u64> {
        if !self.was_released_since_end() {
            return None;
        }
        let mut unnoticed = self.ends.unnoticed.iter();
        unnoticed.find(|known| known.ran_at.is_none()).map(|known| known.server)
    }

    /// When a release that was answered is to be repeated, with no attempt out.
    pub(crate) fn repeated_at(&self, config: &LeaseConfig) -> Duration {
        let usual = self.unattended_since + config.repeat_delay();
        self.ends.all_noticed_by().map_or(usual, |noticed_by| noticed_by.max(usual))
    }

    /// A release was answered. Whatever is held now was waited for when it was sent.
    pub(crate) fn note_released(&mut self, call: Call, now: Duration, reach: &Reach) {
        self.ends.note_answered(call);
        self.ends.note_heard(reach);
        self.released = true;
        self.released_since_end |= !call.crossed_end;
        self.unattended_since = self.unattended_since.max(call.sent_at);
        match self.attempt {
            Attempt::Out => self.released_under_attempt = true,
            Attempt::None | Attempt::AwaitsRelease => {
                self.doubts_end.get_or_insert(now + DOUBTED_FOR);
            }
        }
    }

    /// A release was answered that was sent since the last attempt ended.
    pub(crate) fn was_released_since_end(&self) -> bool {
        self.released_since_end && self.attempt == Attempt::None
    }

    /// Its state was released under the attempt that is out.
    pub(crate) fn was_released_under_attempt(&self) -> bool {
        self.released_under_attempt
    }

    /// What the answer of a release proves. It has let go of nothing if an attempt may have waited: one that is out, or one
    /// whose server had not noticed its end, which is not known of a server that is in doubt, or that has shown nothing since:
    /// its process may stand still. Nor if its reader is in doubt: who answered may be cut off from it.
    pub(crate) fn proof_of(&self, call: Call, now: Duration, reach: &Reach) -> ReleaseProof {
        if self.attempt == Attempt::Out {
            return ReleaseProof::UnderAttempt;
        }
        let behind_ends = !call.crossed_end && call.sent_at >= self.ends.noticed_by;
        let all_noticed = self.ends.all_noticed_by().is_some_and(|noticed_by| call.sent_at >= noticed_by);
        let in_doubt = |server: &u64| reach.doubt(*server, now) > DOUBTED;
        let mut concerned = self.ends.unnoticed.iter().map(|known| &known.server).chain([&self.reader]);
        let doubtful = !all_noticed || concerned.any(in_doubt);
        let doubts_count = self.doubts_end.is_none_or(|end| now < end);
        match behind_ends && !(doubts_count && doubtful) {
            true => ReleaseProof::Conclusive,
            false => ReleaseProof::Unconfirmed,
        }
    }
}
