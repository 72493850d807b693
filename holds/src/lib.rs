//! What is held at servers for requests: one owner, with an explicit state for each request, that says when it has to be
//! let go of and whom to ask. Pure: no clock, no I/O, no threads. Times are since a start that the caller chose.
//!
//! A state that was read waits at its reader (`Held`) until a writer's attempt takes it. The rule's clock runs until a
//! call is known to have arrived at a running server: while connections fail to come up, and while a call that was
//! written is not answered, for a connection may have fallen silent with no error. What has to go is `Owed`; it is
//! `Releasing` while servers are asked, and `Gone` once one of them said so: every server passes a release on. A read
//! that broke off may still have left its state after that, so what was lost is released once more.
//!
//! What the caller owes: [`Holds::starts`] before each attempt, and none of its bytes written before that says so; one
//! [`Holds::read`], [`Holds::lost`], [`Holds::began`] or [`Holds::ended`] for its end; [`Holds::act`] after each event and
//! at [`Holds::next`]; one [`Holds::called`] for each [`Act::Ask`] that no [`Act::Clear`] of its request ended.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use fawnstream_attempts::delivery::Delivery;
use fawnstream_fleet::chance::mix;
use fawnstream_fleet::reach::Reach;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A server that may be out of reach is asked in its turn only: above this doubt another is.
const DOUBTED: f64 = 0.5;
/// A round of calls has this part of the settings' time; the next one asks twice as many servers.
const ROUND: u32 = 5;
/// So many rounds fit between the time at which a state has to go and the rule's: one server of seven answers.
const ROUNDS: u32 = 3;
/// Servers asked in one round at most; past the rule's time it is one.
const MOST_A_ROUND: usize = 4;
/// A call that fails has the next server asked at once, until so many were asked.
const MOST_AT_ONCE: usize = 16;
/// Calls under way at one server at most: more requests that are held there are passed on by others.
const MOST_AT_ONE: usize = 4;
/// A call that found no connection is made again after this time, and counts as none.
const UNASKED: Duration = Duration::from_millis(10);
/// What nobody let go of is forgotten after so many times the settings' time: by then its server has ended, or has
/// freed what it holds for routers that are gone.
const FORGET: u32 = 10;

/// What the settings and the protocol say.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// What is held with no attempt out is taken or let go of in this time ...
    pub within: Duration,
    /// ... or so much more, on sockets; releases have this time.
    pub grace: Duration,
    /// Calls under way at once.
    pub at_once: usize,
    /// The only source of chance: routers that draw alike would all ask the same servers.
    pub seed: u64,
}

impl Terms {
    /// A call that got no answer in this time has failed: servers answer at once.
    pub fn patience(&self) -> Duration {
        self.round() * 3 / 2
    }

    fn round(&self) -> Duration {
        self.within / ROUND
    }

    /// For how long a state may wait for a writer.
    fn waits(&self) -> Duration {
        self.within.min((self.within + self.grace).saturating_sub(self.round() * ROUNDS))
    }
}

/// Whether an attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Now. If its last byte is not written by this time it must end, and what is held be let go of.
    Go(Option<Duration>),
    /// Only after the request's [`Act::Clear`]: a release is under way, and would take this attempt's state away.
    Wait,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Called {
    /// The server said that it let go.
    Answered,
    /// It did not.
    Failed,
    /// It was never asked: there was no connection for that.
    Unasked,
}

/// Why something is held past its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No server that was asked has answered.
    Unanswered,
    /// None could be asked for want of connections.
    Unasked,
    /// No server is listed.
    NoServer,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act<L> {
    /// Ask this server to let go of all that is held for the request.
    Ask {
        /// The request.
        request: u64,
        /// Its name.
        label: L,
        /// The server.
        server: u64,
    },
    /// What is held is being let go of while an attempt is out that may never have arrived: the attempt goes on, and if it
    /// does arrive it finds nothing.
    Overdue {
        /// The request.
        request: u64,
        /// Where it is held.
        at: u64,
        /// For how long by now.
        held: Duration,
    },
    /// Calls for the request that are still under way end, and an attempt that waits may start: as with [`Start::Go`].
    Clear(u64, Option<Duration>),
    /// Something was held past the rule's time.
    Late {
        /// The request's name.
        label: L,
        /// Where it is held.
        at: u64,
        /// For how long by now.
        held: Duration,
        /// Why.
        why: Why,
    },
    /// Nobody let go of it; it is asked for no more.
    Forgotten {
        /// The request's name.
        label: L,
        /// Where it is held.
        at: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Held,
    Owed,
    Releasing,
    Gone,
}

#[derive(Debug)]
struct Hold<L> {
    label: L,
    state: State,
    at: u64,
    /// Since when no attempt is known to have arrived.
    since: Duration,
    /// An attempt starts or is out.
    out: bool,
    /// It waits for the release.
    waits: bool,
    /// A read broke off, and may leave its state yet.
    lost: bool,
    /// When to let go of that.
    again: Option<Duration>,
    /// Servers asked in this release, and of these the ones that have not said anything.
    asked: Vec<u64>,
    calls: Vec<u64>,
    round: u32,
    /// Why nobody has let go so far, and whether that was told.
    why: Why,
    told: bool,
    due: Option<Duration>,
    /// Its place in the line for a call.
    queued: bool,
}

/// Everything that is held for one router's requests. Bounded by its open requests, and by those that ended in the last
/// [`FORGET`] times of the rule and could not be released. No event costs a walk over them.
#[derive(Debug)]
pub struct Holds<L> {
    terms: Terms,
    holds: HashMap<u64, Hold<L>>,
    /// When each is to be looked at.
    times: BTreeSet<(Duration, u64)>,
    /// Releases that wait for a call, the longest held first.
    line: BTreeSet<(Duration, u64)>,
    /// Calls under way, at each server.
    calls: HashMap<u64, usize>,
    under_way: usize,
    acts: Vec<Act<L>>,
    /// Requests of which something was held past its time.
    late: u64,
}

impl<L: Clone> Holds<L> {
    /// Nothing is held yet.
    pub fn new(terms: Terms) -> Self {
        Holds {
            terms,
            holds: HashMap::new(),
            times: BTreeSet::new(),
            line: BTreeSet::new(),
            calls: HashMap::new(),
            under_way: 0,
            acts: Vec::new(),
            late: 0,
        }
    }

    /// Requests for which something is, or may be, held.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Nothing is held.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Requests of which something was held past its time, ever.
    pub fn late(&self) -> u64 {
        self.late
    }

    // Attempts.

    /// An attempt is to start.
    pub fn starts(&mut self, request: u64, now: Duration) -> Start {
        let Some(hold) = self.holds.get_mut(&request) else { return Start::Go(None) };
        hold.out = true;
        if hold.state == State::Gone && hold.again.is_some_and(|again| again <= now) {
            hold.owe();
        }
        match hold.state {
            State::Owed | State::Releasing => {
                hold.waits = true;
                self.wake(request, Some(now));
                Start::Wait
            }
            // Whether it arrives remains to be seen: until something says so, it falls due all the same.
            State::Held => {
                let expires = hold.since + self.terms.waits();
                self.wake(request, Some(expires));
                Start::Go(Some(expires))
            }
            State::Gone => {
                let expires = hold.again;
                self.wake(request, expires);
                Start::Go(expires)
            }
        }
    }

    /// A read ended well: its state waits there.
    pub fn read(&mut self, request: u64, label: &L, at: u64, now: Duration) {
        self.end_calls(request);
        let hold = self.hold(request, label, at, now);
        (hold.state, hold.at, hold.since, hold.out) = (State::Held, at, now, false);
        self.wake(request, Some(now + self.terms.waits()));
    }

    /// A read ended in a way that may have left a state there.
    pub fn lost(&mut self, request: u64, label: &L, at: u64, now: Duration) {
        let hold = self.hold(request, label, at, now);
        (hold.at, hold.since, hold.out, hold.lost) = (at, now, false, true);
        hold.owe();
        self.wake(request, Some(now));
    }

    /// Another attempt ended with no answer begun. If it had arrived the clock starts anew.
    pub fn ended(&mut self, request: u64, delivery: Delivery, now: Duration) {
        self.leave_line(request);
        let waits = self.terms.waits();
        let Some(hold) = self.holds.get_mut(&request) else { return };
        if delivery.arrived() {
            hold.since = now;
            hold.again = hold.again.map(|_| now + waits);
        }
        (hold.out, hold.waits) = (false, false);
        let due = match hold.state {
            State::Held => Some(hold.since + self.terms.waits()),
            // The next round of a release that is under way stays when it was.
            State::Owed | State::Releasing => hold.due.or(Some(now)),
            State::Gone => hold.again.map(|again| again.max(now)),
        };
        self.wake(request, due);
    }

    /// An attempt's answer began: all that is held goes by itself.
    pub fn began(&mut self, request: u64) {
        self.end_calls(request);
        self.forget(request);
    }

    /// What is held has to go.
    pub fn release(&mut self, request: u64, now: Duration) {
        if let Some(hold) = self.holds.get_mut(&request).filter(|hold| hold.state == State::Held) {
            hold.owe();
            let due = if hold.out { hold.due } else { Some(now) };
            self.wake(request, due);
        }
    }

    /// The request has ended, with no attempt out: nobody will take what is held.
    pub fn closed(&mut self, request: u64, now: Duration) {
        self.release(request, now);
    }

    // Calls.

    /// A call ended.
    pub fn called(&mut self, request: u64, server: u64, how: Called, now: Duration) {
        let Some(hold) = self.holds.get_mut(&request) else { return };
        let Some(place) = hold.calls.iter().position(|call| *call == server) else { return };
        hold.calls.swap_remove(place);
        let last = hold.calls.is_empty();
        self.under_way -= 1;
        free(&mut self.calls, server);
        let Some(hold) = self.holds.get_mut(&request) else { return };
        match how {
            Called::Answered => {
                hold.state = State::Gone;
                // Once more, when what came later has to go at the latest.
                let again = hold.since + self.terms.waits();
                hold.again = std::mem::take(&mut hold.lost).then_some(again);
                let due = hold.again;
                self.clear(request);
                match due {
                    Some(due) => self.wake(request, Some(due.max(now))),
                    None => self.forget(request),
                }
            }
            Called::Failed => {
                hold.why = Why::Unanswered;
                if last && hold.asked.len() < MOST_AT_ONCE {
                    self.wake(request, Some(now));
                }
            }
            Called::Unasked => {
                hold.asked.retain(|asked| *asked != server);
                hold.why = Why::Unasked;
                if last {
                    self.wake(request, Some(now + UNASKED));
                }
            }
        }
    }

    /// When [`Holds::act`] has something to do without any event.
    pub fn next(&self) -> Option<Duration> {
        self.times.first().map(|(due, _)| *due)
    }

    /// What is to be done now. `reach`: which servers are listed, and what is believed of them.
    pub fn act(&mut self, now: Duration, reach: &Reach) -> Vec<Act<L>> {
        while let Some((_, request)) = self.times.first().copied().filter(|(due, _)| *due <= now) {
            self.wake(request, None);
            self.fall_due(request, now);
        }
        while self.under_way < self.terms.at_once
            && let Some((since, request)) = self.line.pop_first()
        {
            if let Some(hold) = self.holds.get_mut(&request) {
                hold.queued = false;
                debug_assert_eq!(hold.since, since);
                self.round(request, now, reach);
            }
        }
        std::mem::take(&mut self.acts)
    }

    fn hold(&mut self, request: u64, label: &L, at: u64, now: Duration) -> &mut Hold<L> {
        self.leave_line(request);
        self.holds.entry(request).or_insert_with(|| Hold {
            label: label.clone(),
            state: State::Gone,
            at,
            since: now,
            out: false,
            waits: false,
            lost: false,
            again: None,
            asked: Vec::new(),
            calls: Vec::new(),
            round: 0,
            why: Why::Unanswered,
            told: false,
            due: None,
            queued: false,
        })
    }

    fn wake(&mut self, request: u64, due: Option<Duration>) {
        let Some(hold) = self.holds.get_mut(&request) else { return };
        if let Some(old) = std::mem::replace(&mut hold.due, due) {
            self.times.remove(&(old, request));
        }
        if let Some(due) = due {
            self.times.insert((due, request));
        }
    }

    fn leave_line(&mut self, request: u64) {
        if let Some(hold) = self.holds.get_mut(&request)
            && std::mem::take(&mut hold.queued)
        {
            self.line.remove(&(hold.since, request));
        }
    }

    fn join_line(&mut self, request: u64) {
        if let Some(hold) = self.holds.get_mut(&request)
            && !std::mem::replace(&mut hold.queued, true)
        {
            self.line.insert((hold.since, request));
        }
    }

    fn fall_due(&mut self, request: u64, now: Duration) {
        let Some(hold) = self.holds.get_mut(&request) else { return };
        let held = now.saturating_sub(hold.since);
        match hold.state {
            // Nobody is known to have taken it, and nobody said that it has to go: the owner does not wait for that.
            State::Held => {
                hold.owe();
                if hold.out {
                    self.acts.push(Act::Overdue { request, at: hold.at, held });
                }
            }
            State::Gone if hold.again.is_some() => hold.owe(),
            State::Gone => return self.forget(request),
            State::Owed | State::Releasing => {}
        }
        let Terms { within, grace, .. } = self.terms;
        if hold.state == State::Releasing && held >= within + grace {
            if !std::mem::replace(&mut hold.told, true) {
                self.acts.push(Act::Late { label: hold.label.clone(), at: hold.at, held, why: hold.why });
                self.late += 1;
            }
            if hold.waits {
                // Its client waits no longer for a server that nobody reaches.
                (hold.state, hold.waits) = (State::Owed, false);
                return self.clear(request);
            }
            if held >= within * FORGET {
                let forgotten = Act::Forgotten { label: hold.label.clone(), at: hold.at };
                self.acts.push(forgotten);
                self.clear(request);
                return self.forget(request);
            }
        }
        self.join_line(request);
    }

    /// Asks the next servers.
    fn round(&mut self, request: u64, now: Duration, reach: &Reach) {
        let Terms { within, at_once, seed, .. } = self.terms;
        let Some(hold) = self.holds.get_mut(&request) else { return };
        if hold.state == State::Owed {
            (hold.state, hold.round, hold.again) = (State::Releasing, 0, None);
            (hold.why, hold.told) = (Why::Unanswered, false);
            hold.asked.clear();
        }
        let (late, round) = (hold.told, hold.round);
        let wanted = if late { 1 } else { (1 << round.min(8)).min(MOST_A_ROUND) };
        hold.round += 1;
        for nth in 0..wanted {
            if self.under_way >= at_once {
                break;
            }
            let Some(hold) = self.holds.get_mut(&request) else { return };
            let busy = |server: &u64| self.calls.get(server).is_some_and(|calls| *calls >= MOST_AT_ONE);
            // Whoever has not been asked, or not been heard yet.
            let asked: Vec<u64> = hold.asked.iter().chain(&hold.calls).copied().collect();
            let mut but = asked.clone();
            let own = Some(hold.at).filter(|at| !but.contains(at));
            let fine = own.filter(|at| !busy(at) && reach.doubt(*at, now) <= DOUBTED);
            let mut other = || {
                let draw = mix(seed ^ request ^ mix(u64::from(round) ^ ((but.len() as u64) << 32)));
                let picked = reach.pick(draw, now, &but)?;
                but.push(picked);
                Some(picked)
            };
            // The last round in time begins with who is known to answer: calls that nobody answers may have left few.
            let known = (nth == 0 && round + 1 >= ROUNDS).then(|| reach.answered_last(&asked)).flatten();
            let known = known.filter(|known| !busy(known));
            let others = || std::iter::from_fn(&mut other).take(MOST_A_ROUND).find(|picked| !busy(picked));
            let Some(server) = fine.or(known).or_else(others).or(own) else {
                if hold.asked.is_empty() && hold.calls.is_empty() {
                    hold.why = Why::NoServer;
                }
                // All have been: from the beginning, in the next round.
                if nth == 0 {
                    hold.asked.clear();
                }
                break;
            };
            hold.asked.push(server);
            hold.calls.push(server);
            *self.calls.entry(server).or_default() += 1;
            self.under_way += 1;
            let label = hold.label.clone();
            self.acts.push(Act::Ask { request, label, server });
        }
        let patience = if late { within } else { self.terms.round() };
        self.wake(request, Some(now + patience));
    }

    /// Ends the request's calls, if there are any.
    fn end_calls(&mut self, request: u64) {
        if self.holds.get(&request).is_some_and(|hold| !hold.calls.is_empty()) {
            self.clear(request);
        }
    }

    /// Ends the request's calls, and lets an attempt that waits start.
    fn clear(&mut self, request: u64) {
        self.leave_line(request);
        let Some(hold) = self.holds.get_mut(&request) else { return };
        hold.waits = false;
        hold.asked.clear();
        self.acts.push(Act::Clear(request, hold.again));
        for server in hold.calls.drain(..) {
            self.under_way -= 1;
            free(&mut self.calls, server);
        }
    }

    fn forget(&mut self, request: u64) {
        self.leave_line(request);
        self.wake(request, None);
        if let Some(hold) = self.holds.remove(&request) {
            for server in hold.calls {
                self.under_way -= 1;
                free(&mut self.calls, server);
            }
        }
    }
}

impl<L> Hold<L> {
    fn owe(&mut self) {
        (self.state, self.again) = (State::Owed, None);
    }
}

fn free(calls: &mut HashMap<u64, usize>, server: u64) {
    if let Some(count) = calls.get_mut(&server) {
        *count -= 1;
        if *count == 0 {
            calls.remove(&server);
        }
    }
}
