//! One long-lived connection: frames pass both ways unchanged and in order, each side held back while the other is
//! slow, and its server can be changed between two messages. Does what the decisions say, and tells them what it sees.

use super::resume::{self, Message as Passing, Place, Step};
use super::{Member, Order};
use crate::core::Server;
use crate::leg::{Fault, Leg, again};
use crate::log;
use crate::servers::upgrade::{self, Ask, Refused, Upstream};
use actix_http::ws::{CloseCode, CloseReason, Frame, Message};
use bytes::Bytes;
use fawnstream_sessions::{AttemptOutcome, CloseCause};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::{Sleep, sleep_until};

/// A closing handshake is done in this time, or the connection ends without it.
const CLOSING: Duration = Duration::from_secs(2);
/// A move waits so long for the messages under way to end; then it is put off.
const BOUNDARY: Duration = Duration::from_millis(300);
/// A peer that takes nothing for so long has gone, whatever its connection says.
const TAKES_NOTHING: Duration = Duration::from_secs(10);
/// A server that is left has so long to take its close.
const OLD_SERVER: Duration = Duration::from_millis(500);
/// What our own pings say; a number follows. Answers to others pass.
const OURS: &[u8] = b"fawnstream/";

type Attempting = Pin<Box<dyn Future<Output = Result<Upstream, Refused>>>>;

/// Opens an upstream for a connection.
pub fn open_upstream(
    member: &Member,
    server: Rc<Server>,
    ask: &Rc<Ask>,
    last_id: Option<String>,
    connect: Duration,
) -> impl Future<Output = Result<Upstream, Refused>> + 'static {
    upgrade::open(server, ask.clone(), last_id, connect, member.told().limits)
}

/// A move: first the messages under way end, then a new upstream opens.
struct Moving {
    label: String,
    server: Rc<Server>,
    until: Instant,
    attempt: Option<Attempting>,
}

/// What happened.
enum Event {
    Order(Option<Order>),
    Client(Result<Option<Frame>, Fault>),
    Server(Result<Option<Frame>, Fault>),
    Attempt(Result<Upstream, Refused>),
    /// A message's end was waited for, and here it is.
    Boundary,
    Time,
}

/// How it ends.
#[derive(Clone, Copy)]
struct End {
    /// For the log and the figures.
    code: &'static str,
    /// When it ends without the client's word.
    due: Instant,
}

/// See the module's page.
pub struct Relay {
    member: Member,
    client: Leg,
    server: Option<Leg>,
    label: String,
    protocol: Option<String>,
    ask: Rc<Ask>,
    connect: Duration,
    up: Passing,
    down: Passing,
    place: Place,
    moving: Option<Moving>,
    end: Option<End>,
    /// The client closes: its server's word goes back to it.
    client_closes: Option<Option<CloseReason>>,
    timer: Pin<Box<Sleep>>,
    born: Instant,
    /// When the last message passed.
    used: Instant,
    pings: u64,
    moves: u32,
    messages: (u64, u64),
}

fn close(code: u16, text: &str) -> Option<CloseReason> {
    Some(CloseReason { code: CloseCode::from(code), description: Some(text.to_owned()) })
}

impl Relay {
    /// A connection that was just let in.
    pub fn new(
        member: Member,
        client: Leg,
        upstream: Upstream,
        ask: Rc<Ask>,
        connect: Duration,
        label: String,
    ) -> Self {
        let now = Instant::now();
        Relay {
            member,
            client,
            server: Some(upstream.leg),
            label,
            protocol: upstream.protocol,
            ask,
            connect,
            up: Passing::default(),
            down: Passing::default(),
            place: Place::default(),
            moving: None,
            end: None,
            client_closes: None,
            timer: Box::pin(sleep_until(now.into())),
            born: now,
            used: now,
            pings: 0,
            moves: 0,
            messages: (0, 0),
        }
    }

    /// Until its end, which leaves a line in the log.
    pub async fn run(mut self, class: &str, tenant: &str) {
        let code = self.relay().await;
        self.member.ended(code);
        log!(
            "websocket id={} class={class} tenant={tenant:?} server={} code={code} moves={} up={} down={} ms={}",
            self.member.name(),
            self.label,
            self.moves,
            self.messages.0,
            self.messages.1,
            self.born.elapsed().as_millis()
        );
        if let Some(server) = self.server.take() {
            actix_rt::spawn(server.finish(OLD_SERVER));
        }
    }

    async fn relay(&mut self) -> &'static str {
        loop {
            let next = self.next_look();
            self.timer.as_mut().reset(next.into());
            let event = poll_fn(|cx| self.poll(cx)).await;
            let ended = match event {
                Event::Order(order) => self.order(order),
                Event::Client(frame) => self.client_sent(frame),
                Event::Server(frame) => self.server_sent(frame),
                Event::Attempt(attempt) => self.attempted(attempt),
                Event::Boundary => self.begin_attempt(),
                Event::Time => self.look(),
            };
            if let Some(code) = ended {
                let _ = actix_rt::time::timeout(CLOSING, poll_fn(|cx| self.client.poll_flush(cx))).await;
                return code;
            }
            let bytes = self.client.held()
                + self.server.as_ref().map_or(0, Leg::held)
                + self.up.held()
                + self.down.held();
            if !self.member.holds(bytes) && self.end.is_none() {
                self.finish("no-memory", 1013, "the router is short of memory");
            }
        }
    }

    /// Whether messages wait for a move: both sides stand still between two messages.
    fn still(&self, passing: &Passing) -> bool {
        self.moving.is_some() && !passing.open()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Poll::Ready(Err(_)) = self.client.poll_flush(cx) {
            return Poll::Ready(Event::Client(Err(Fault::Broken)));
        }
        if let Some(Poll::Ready(Err(_))) = self.server.as_mut().map(|server| server.poll_flush(cx)) {
            return Poll::Ready(Event::Server(Err(Fault::Broken)));
        }
        if let Poll::Ready(order) = self.member.orders.poll_recv(cx)
            && self.end.is_none()
        {
            return Poll::Ready(Event::Order(order));
        }
        if let Some(moving) = &mut self.moving {
            match &mut moving.attempt {
                Some(attempt) => {
                    if let Poll::Ready(attempt) = attempt.as_mut().poll(cx) {
                        return Poll::Ready(Event::Attempt(attempt));
                    }
                }
                None if !self.up.open() && !self.down.open() => return Poll::Ready(Event::Boundary),
                None => {}
            }
        }
        // What cannot go on is not read: a slow side holds back its own connection alone.
        let to_server = self.server.as_ref().is_some_and(Leg::has_room) && !self.still(&self.up);
        if (to_server || self.end.is_some())
            && let Poll::Ready(frame) = self.client.poll_frame(cx)
        {
            return Poll::Ready(Event::Client(frame));
        }
        if self.client.has_room()
            && !self.still(&self.down)
            && let Some(server) = &mut self.server
            && let Poll::Ready(frame) = server.poll_frame(cx)
        {
            return Poll::Ready(Event::Server(frame));
        }
        self.timer.as_mut().poll(cx).map(|()| Event::Time)
    }

    // What it is told.

    fn order(&mut self, order: Option<Order>) -> Option<&'static str> {
        match order {
            Some(Order::Try(server)) => {
                let until = Instant::now() + BOUNDARY;
                let label = server.label.clone();
                self.moving = Some(Moving { label, server, until, attempt: None });
            }
            Some(Order::Close(code, again)) => {
                let (name, number) = match code {
                    CloseCause::ServerGone => ("server-gone", 1001),
                    CloseCause::Restart => ("restart", 1012),
                    CloseCause::TryLater => ("try-later", 1013),
                };
                self.finish(name, number, &format!("come again in {:.3} s", again.as_secs_f64()));
            }
            Some(Order::Turn(..)) | None => self.finish("lost", 1012, "come again"),
        }
        None
    }

    /// Sends the final message to both sides.
    fn finish(&mut self, code: &'static str, number: u16, text: &str) {
        if self.end.is_some() {
            return;
        }
        self.client.put(Message::Close(close(number, text)));
        self.leave_server(1001);
        self.moving = None;
        self.end = Some(End { code, due: Instant::now() + CLOSING });
    }

    /// The server is told that nobody follows it any more.
    fn leave_server(&mut self, number: u16) {
        if let Some(mut server) = self.server.take() {
            server.put(Message::Close(close(number, "")));
            actix_rt::spawn(server.finish(OLD_SERVER));
        }
    }

    // Moves.

    fn begin_attempt(&mut self) -> Option<&'static str> {
        if let Some(moving) = &mut self.moving {
            let last_id = self.place.last_id().map(str::to_owned);
            let attempt =
                open_upstream(&self.member, moving.server.clone(), &self.ask, last_id, self.connect);
            moving.attempt = Some(Box::pin(attempt));
        }
        None
    }

    fn attempted(&mut self, attempt: Result<Upstream, Refused>) -> Option<&'static str> {
        let moving = self.moving.take()?;
        let upstream = attempt.and_then(|upstream| match upstream.protocol == self.protocol {
            true => Ok(upstream),
            // The client speaks the one that it was told.
            false => Err(Refused {
                attempt: AttemptOutcome::MayHaveRun,
                reason: "other-protocol",
                unusable: false,
            }),
        });
        match upstream {
            Ok(upstream) => {
                self.leave_server(1000);
                log!("websocket moved id={} from={} to={}", self.member.name(), self.label, moving.label);
                (self.server, self.label) = (Some(upstream.leg), moving.label);
                self.moves += 1;
                self.member.tried(AttemptOutcome::Opened);
            }
            Err(error) => {
                let (name, label) = (self.member.name(), moving.label);
                log!("websocket attempt id={name} server={label} reason={}", error.reason);
                self.member.tried(error.attempt);
            }
        }
        None
    }

    // Frames.

    fn client_sent(&mut self, frame: Result<Option<Frame>, Fault>) -> Option<&'static str> {
        let frame = match frame {
            Ok(Some(frame)) => frame,
            // Its word that it has closed did not come, or is not needed any more.
            Ok(None) | Err(Fault::Broken) => {
                self.leave_server(1001);
                return Some(self.end.map_or("client-left", |end| end.code));
            }
            Err(fault) => return self.wrong(fault),
        };
        if let Some(end) = self.end {
            // Only its close is waited for.
            return matches!(frame, Frame::Close(_)).then_some(end.code);
        }
        if self.is_ours(&frame, true) {
            return None;
        }
        if let Frame::Close(reason) = &frame {
            self.client_closes = Some(reason.clone());
            self.end = Some(End { code: "client-closed", due: Instant::now() + CLOSING });
        }
        let limits = self.member.told().limits;
        match self.up.pass(&frame, limits.max_message_bytes, false) {
            Ok(Step::Whole(_)) => {
                self.messages.0 += 1;
                self.used = Instant::now();
                self.place.said();
                self.member.movable(self.place.movable());
            }
            Ok(_) => {}
            Err(fault) => return self.unfit(fault),
        }
        match &mut self.server {
            Some(server) => server.put(again(frame)),
            None => return self.client_closes.take().map(|reason| self.answer_close(reason)),
        }
        None
    }

    /// The client's close is answered as it was said.
    fn answer_close(&mut self, reason: Option<CloseReason>) -> &'static str {
        self.client.put(Message::Close(reason));
        "client-closed"
    }

    /// What the client sent is no WebSocket: it hears so.
    fn wrong(&mut self, fault: Fault) -> Option<&'static str> {
        if let Some(end) = self.end {
            return Some(end.code);
        }
        match fault {
            Fault::TooLarge => self.finish("too-large", 1009, "too large"),
            _ => self.finish("bad-frame", 1002, "this cannot be read"),
        }
        None
    }

    fn unfit(&mut self, fault: resume::Fault) -> Option<&'static str> {
        match fault {
            resume::Fault::TooLarge => self.finish("too-large", 1009, "too large"),
            resume::Fault::NotText => self.finish("bad-text", 1007, "this is no text"),
        }
        None
    }

    fn server_sent(&mut self, frame: Result<Option<Frame>, Fault>) -> Option<&'static str> {
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) => return self.broke("server-closed"),
            Err(Fault::Broken) => return self.broke("server-reset"),
            // What is behind it cannot be read either: nobody knows where to go on.
            Err(_) => return self.spoilt("server-bad-frame"),
        };
        if self.is_ours(&frame, false) {
            return None;
        }
        if let Frame::Close(reason) = &frame {
            let leaves = reason.as_ref().is_some_and(|reason| matches!(u16::from(reason.code), 1001 | 1012));
            if leaves && self.client_closes.is_none() {
                // It goes, and the connection need not go with it.
                return self.broke("server-leaves");
            }
            self.client.put(Message::Close(reason.clone()));
            self.leave_server(1000);
            if self.client_closes.take().is_some() {
                return Some("client-closed");
            }
            self.moving = None;
            self.end = Some(End { code: "closed", due: Instant::now() + CLOSING });
            return None;
        }
        let told = self.member.told();
        match self.down.pass(&frame, told.limits.max_message_bytes, told.resume.any()) {
            Ok(Step::Whole(text)) => {
                self.messages.1 += 1;
                self.used = Instant::now();
                self.place.heard(text.as_deref(), &told.resume);
                self.member.movable(self.place.movable());
            }
            Ok(_) => {}
            Err(_) => return self.spoilt("server-bad-text"),
        }
        self.client.put(again(frame));
        None
    }

    /// What the server sent cannot be read: the client has part of it, so nobody can go on.
    fn spoilt(&mut self, reason: &'static str) -> Option<&'static str> {
        self.member.movable(false);
        self.broke(reason)
    }

    /// The server's side has ended without the connection's.
    fn broke(&mut self, reason: &'static str) -> Option<&'static str> {
        log!("websocket broke id={} server={} reason={reason}", self.member.name(), self.label);
        self.leave_server(1001);
        if let Some(reason) = self.client_closes.take() {
            return Some(self.answer_close(reason));
        }
        if self.end.is_some() {
            return None;
        }
        if self.down.open() || self.up.open() {
            // A message that stops in its middle can't be gone on with.
            self.member.movable(false);
        }
        self.member.broke();
        None
    }

    // Time.

    /// Whether a frame is the answer to a ping of ours.
    fn is_ours(&mut self, frame: &Frame, of_client: bool) -> bool {
        let leg = if of_client { Some(&mut self.client) } else { self.server.as_mut() };
        let (Frame::Pong(said), Some(leg)) = (frame, leg) else { return false };
        let asked = leg.asked.map(|(_, number)| payload(number));
        if asked.is_none_or(|asked| asked != said) {
            // A late answer to an earlier ping of ours is nobody else's either.
            return said.starts_with(OURS);
        }
        leg.asked = None;
        true
    }

    /// When something may be due.
    fn next_look(&self) -> Instant {
        let limits = self.member.told().limits;
        let of = |leg: &Leg| {
            let sign =
                leg.asked.map_or(leg.heard + limits.ping_after, |(asked, _)| asked + limits.pong_timeout);
            leg.stuck().map_or(sign, |stuck| sign.min(stuck + TAKES_NOTHING))
        };
        let mut next = of(&self.client).min(self.used + limits.idle_timeout);
        if let Some(server) = &self.server {
            next = next.min(of(server));
        }
        if let Some(moving) = self.moving.as_ref().filter(|moving| moving.attempt.is_none()) {
            next = next.min(moving.until);
        }
        self.end.map_or(next, |end| next.min(end.due))
    }

    /// Time has passed: half-open peers are asked for a sign, or found to have gone.
    fn look(&mut self) -> Option<&'static str> {
        let (now, limits) = (Instant::now(), self.member.told().limits);
        if let Some(end) = self.end.filter(|end| end.due <= now) {
            if let Some(reason) = self.client_closes.take() {
                self.leave_server(1001);
                return Some(self.answer_close(reason));
            }
            return Some(end.code);
        }
        if self.moving.as_ref().is_some_and(|moving| moving.attempt.is_none() && moving.until <= now) {
            self.moving = None;
            self.member.tried(AttemptOutcome::Deferred);
        }
        let paused = !self.server.as_ref().is_some_and(Leg::has_room) || self.moving.is_some();
        match sign(
            &mut self.client,
            now,
            limits.ping_after,
            limits.pong_timeout,
            paused && self.end.is_none(),
            &mut self.pings,
        ) {
            Sign::Well => {}
            Sign::Silent => {
                self.leave_server(1001);
                return Some("client-silent");
            }
            Sign::Stuck => {
                self.leave_server(1001);
                return Some("slow-client");
            }
        }
        let paused = !self.client.has_room() || self.moving.is_some();
        if let Some(server) = &mut self.server {
            match sign(server, now, limits.ping_after, limits.pong_timeout, paused, &mut self.pings) {
                Sign::Well => {}
                Sign::Silent => return self.broke("server-silent"),
                Sign::Stuck => return self.broke("server-stuck"),
            }
        }
        if self.used + limits.idle_timeout <= now {
            self.finish("idle", 1001, "nothing has passed for long");
        }
        None
    }
}

fn payload(number: u64) -> Bytes {
    Bytes::from([OURS, number.to_string().as_bytes()].concat())
}

enum Sign {
    Well,
    Silent,
    Stuck,
}

/// Looks after one side. While it is not read from nothing can be heard of it, and nothing is asked.
fn sign(leg: &mut Leg, now: Instant, ping: Duration, pong: Duration, paused: bool, pings: &mut u64) -> Sign {
    if leg.stuck().is_some_and(|stuck| stuck + TAKES_NOTHING <= now) {
        return Sign::Stuck;
    }
    if paused {
        leg.heard = now;
        leg.asked = leg.asked.map(|(_, number)| (now, number));
        return Sign::Well;
    }
    match leg.asked {
        // Anything that came since is as good a sign.
        Some((asked, _)) if leg.heard > asked => leg.asked = None,
        Some((asked, _)) if asked + pong <= now => return Sign::Silent,
        None if leg.heard + ping <= now => {
            *pings += 1;
            leg.asked = Some((now, *pings));
            leg.put(Message::Ping(payload(*pings)));
        }
        _ => {}
    }
    Sign::Well
}
