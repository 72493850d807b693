//! The relay of one long-lived connection. Passes frames both ways unchanged and in order, with back-pressure between
//! the two sides, and can change the server between two messages. Carries out commands and reports events.

use super::resume::{FrameKind, MessageError, MessageTracker, ResumeState};
use super::{ConnectionHandle, RelayCommand};
use crate::core::Server;
use crate::log;
use crate::servers::upgrade::{self, UpgradeError, UpgradeRequest, Upstream};
use crate::websocket_stream::{FrameError, WebSocketStream, to_message};
use actix_http::ws::{CloseCode, CloseReason, Frame, Message};
use bytes::Bytes;
use fawnstream_sessions::{AttemptOutcome, CloseCause};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::{Sleep, sleep_until};

/// A closing handshake that takes longer is given up and the connection ends without it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A move that has waited this long for the current messages to end and to be acknowledged is deferred.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that has accepted no bytes for this long counts as gone, even if its connection looks open.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a server that the connection leaves may take to receive the close frame.
const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Payload prefix of the router's own pings; a number follows. Pongs to other pings are passed on.
const PING_PREFIX: &[u8] = b"fawnstream/";

type UpgradeAttempt = Pin<Box<dyn Future<Output = Result<Upstream, UpgradeError>>>>;

/// Opens an upstream for a connection.
pub fn open_upstream(
    handle: &ConnectionHandle,
    server: Rc<Server>,
    upgrade_request: &Rc<UpgradeRequest>,
    last_id: Option<String>,
    connect_timeout: Duration,
) -> impl Future<Output = Result<Upstream, UpgradeError>> + 'static {
    upgrade::open(server, upgrade_request.clone(), last_id, connect_timeout, handle.settings().limits)
}

/// A move to another server. The current messages end first and the client's are acknowledged, then a new upstream is
/// opened.
struct Move {
    label: String,
    server: Rc<Server>,
    /// The move is deferred if it cannot begin by then.
    settle_by: Instant,
    attempt: Option<UpgradeAttempt>,
}

/// What a relay waits for.
enum Event {
    Command(Option<RelayCommand>),
    Client(Result<Option<Frame>, FrameError>),
    /// The client has closed its connection while it is not read from, since the server has gone or a move is pending.
    ClientClosed,
    Server(Result<Option<Frame>, FrameError>),
    Attempt(Result<Upstream, UpgradeError>),
    /// A move is pending, and it would neither cut nor lose a message.
    Settled,
    Timer,
}

/// The end of a connection that is being closed.
#[derive(Clone, Copy)]
struct End {
    /// The reason in the log and the metrics.
    code: &'static str,
    /// When it ends even if the client's close frame has not come.
    due: Instant,
}

/// Relays one connection.
pub struct Relay {
    handle: ConnectionHandle,
    client: WebSocketStream,
    server: Option<WebSocketStream>,
    server_label: String,
    protocol: Option<String>,
    upgrade_request: Rc<UpgradeRequest>,
    connect_timeout: Duration,
    from_client: MessageTracker,
    from_server: MessageTracker,
    resume: ResumeState,
    pending_move: Option<Move>,
    end: Option<End>,
    /// The client's close reason, from its close frame until it has been answered.
    client_close: Option<Option<CloseReason>>,
    timer: Pin<Box<Sleep>>,
    started_at: Instant,
    last_message_at: Instant,
    pings: u64,
    moves: u32,
    /// Messages passed from the client and from the server.
    messages: (u64, u64),
}

fn close_reason(code: u16, text: &str) -> Option<CloseReason> {
    Some(CloseReason { code: CloseCode::from(code), description: Some(text.to_owned()) })
}

impl Relay {
    /// A relay for a connection that has just been accepted.
    pub fn new(
        handle: ConnectionHandle,
        client: WebSocketStream,
        upstream: Upstream,
        upgrade_request: Rc<UpgradeRequest>,
        connect_timeout: Duration,
        server_label: String,
    ) -> Self {
        let now = Instant::now();
        Relay {
            handle,
            client,
            server: Some(upstream.stream),
            server_label,
            protocol: upstream.protocol,
            upgrade_request,
            connect_timeout,
            from_client: MessageTracker::default(),
            from_server: MessageTracker::default(),
            resume: ResumeState::default(),
            pending_move: None,
            end: None,
            client_close: None,
            timer: Box::pin(sleep_until(now.into())),
            started_at: now,
            last_message_at: now,
            pings: 0,
            moves: 0,
            messages: (0, 0),
        }
    }

    /// Runs until the connection has ended, and logs its end.
    pub async fn run(mut self, class: &str, tenant: &str) {
        let code = self.relay().await;
        self.handle.ended(code);
        log!(
            "websocket id={} class={class} tenant={tenant:?} server={} code={code} moves={} up={} down={} ms={}",
            self.handle.name(),
            self.server_label,
            self.moves,
            self.messages.0,
            self.messages.1,
            self.started_at.elapsed().as_millis()
        );
        if let Some(server) = self.server.take() {
            actix_rt::spawn(server.shutdown(SERVER_CLOSE_TIMEOUT));
        }
    }

    async fn relay(&mut self) -> &'static str {
        loop {
            let due = self.next_due();
            self.timer.as_mut().reset(due.into());
            let event = poll_fn(|cx| self.poll(cx)).await;
            let ended = match event {
                Event::Command(command) => self.handle_command(command),
                Event::Client(frame) => self.client_frame(frame),
                Event::ClientClosed => self.client_closed(),
                Event::Server(frame) => self.server_frame(frame),
                Event::Attempt(result) => self.attempt_ended(result),
                Event::Settled => self.start_attempt(),
                Event::Timer => self.check_timeouts(),
            };
            if let Some(code) = ended {
                let _ =
                    actix_rt::time::timeout(CLOSE_TIMEOUT, poll_fn(|cx| self.client.poll_flush(cx))).await;
                return code;
            }
            let bytes = self.client.buffered_bytes()
                + self.server.as_ref().map_or(0, WebSocketStream::buffered_bytes)
                + self.from_client.buffered_bytes()
                + self.from_server.buffered_bytes();
            if !self.handle.set_buffered_bytes(bytes) && self.end.is_none() {
                self.close("no-memory", 1013, "the router is short of memory");
            }
        }
    }

    /// Whether a pending move can begin: no message is unfinished, and none would be lost or repeated. A message that
    /// ended after the move was ordered may not be acknowledged yet.
    fn settled(&self) -> bool {
        !self.from_client.unfinished() && !self.from_server.unfinished() && self.resume.movable()
    }

    /// Whether the client is not read from because of a pending move: between two messages it is paused.
    fn client_paused(&self) -> bool {
        self.pending_move.is_some() && !self.from_client.unfinished()
    }

    /// Whether the client is not read from until another server is open, or its move is deferred.
    fn waits_for_server(&self) -> bool {
        self.end.is_none() && (self.server.is_none() || self.client_paused())
    }

    /// Whether the server is not read from because of a pending move. Its acknowledgements are needed before.
    fn server_paused(&self) -> bool {
        self.pending_move.as_ref().is_some_and(|pending| pending.attempt.is_some() || self.settled())
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Poll::Ready(Err(_)) = self.client.poll_flush(cx) {
            return Poll::Ready(Event::Client(Err(FrameError::Broken)));
        }
        if let Some(Poll::Ready(Err(_))) = self.server.as_mut().map(|server| server.poll_flush(cx)) {
            return Poll::Ready(Event::Server(Err(FrameError::Broken)));
        }
        // Asked before an attempt goes on or begins: none is made for a client that has gone.
        if self.waits_for_server() && self.client.poll_closed(cx).is_ready() {
            return Poll::Ready(Event::ClientClosed);
        }
        if let Poll::Ready(command) = self.handle.commands.poll_recv(cx)
            && self.end.is_none()
        {
            return Poll::Ready(Event::Command(command));
        }
        let settled = self.settled();
        if let Some(pending_move) = &mut self.pending_move {
            match &mut pending_move.attempt {
                Some(attempt) => {
                    if let Poll::Ready(result) = attempt.as_mut().poll(cx) {
                        return Poll::Ready(Event::Attempt(result));
                    }
                }
                None if settled => return Poll::Ready(Event::Settled),
                None => {}
            }
        }
        // Back-pressure: a frame is read only if it can be passed on, so a slow side slows only its own connection.
        let server_has_room =
            self.server.as_ref().is_some_and(WebSocketStream::has_room) && !self.client_paused();
        if (server_has_room || self.end.is_some())
            && let Poll::Ready(frame) = self.client.poll_frame(cx)
        {
            return Poll::Ready(Event::Client(frame));
        }
        if self.client.has_room()
            && !self.server_paused()
            && let Some(server) = &mut self.server
            && let Poll::Ready(frame) = server.poll_frame(cx)
        {
            return Poll::Ready(Event::Server(frame));
        }
        self.timer.as_mut().poll(cx).map(|()| Event::Timer)
    }

    // Commands. These handlers, and those below, return the end's reason once the connection has ended.

    fn handle_command(&mut self, command: Option<RelayCommand>) -> Option<&'static str> {
        match command {
            Some(RelayCommand::OpenUpstream(server)) => {
                let settle_by = Instant::now() + SETTLE_TIMEOUT;
                let label = server.label.clone();
                self.pending_move = Some(Move { label, server, settle_by, attempt: None });
            }
            Some(RelayCommand::Close(cause, retry_after)) => {
                let (code, number) = match cause {
                    CloseCause::ServerGone => ("server-gone", 1001),
                    CloseCause::Restart => ("restart", 1012),
                    CloseCause::TryLater => ("try-later", 1013),
                };
                self.close(code, number, &format!("come again in {:.3} s", retry_after.as_secs_f64()));
            }
            Some(RelayCommand::Refuse(..)) | None => self.close("lost", 1012, "come again"),
        }
        None
    }

    /// Starts closing the connection: sends a close frame to both sides.
    fn close(&mut self, code: &'static str, number: u16, text: &str) {
        if self.end.is_some() {
            return;
        }
        self.client.queue(Message::Close(close_reason(number, text)));
        self.leave_server(1001);
        self.pending_move = None;
        self.end = Some(End { code, due: Instant::now() + CLOSE_TIMEOUT });
    }

    /// Closes the connection to the server.
    fn leave_server(&mut self, number: u16) {
        if let Some(mut server) = self.server.take() {
            server.queue(Message::Close(close_reason(number, "")));
            actix_rt::spawn(server.shutdown(SERVER_CLOSE_TIMEOUT));
        }
    }

    // Moves.

    fn start_attempt(&mut self) -> Option<&'static str> {
        if let Some(pending_move) = &mut self.pending_move {
            let last_id = self.resume.last_id().map(str::to_owned);
            let attempt = open_upstream(
                &self.handle,
                pending_move.server.clone(),
                &self.upgrade_request,
                last_id,
                self.connect_timeout,
            );
            pending_move.attempt = Some(Box::pin(attempt));
        }
        None
    }

    fn attempt_ended(&mut self, result: Result<Upstream, UpgradeError>) -> Option<&'static str> {
        let pending_move = self.pending_move.take()?;
        let upstream = result.and_then(|upstream| match upstream.protocol == self.protocol {
            true => Ok(upstream),
            // The client keeps to the subprotocol that it was told at its upgrade.
            false => Err(UpgradeError {
                outcome: AttemptOutcome::MayHaveRun,
                reason: "other-protocol",
                unusable: false,
            }),
        });
        match upstream {
            Ok(upstream) => {
                self.leave_server(1000);
                log!(
                    "websocket moved id={} from={} to={}",
                    self.handle.name(),
                    self.server_label,
                    pending_move.label
                );
                (self.server, self.server_label) = (Some(upstream.stream), pending_move.label);
                self.moves += 1;
                self.handle.attempt_ended(AttemptOutcome::Opened);
            }
            Err(error) => {
                let (name, label) = (self.handle.name(), pending_move.label);
                log!("websocket attempt id={name} server={label} reason={}", error.reason);
                self.handle.attempt_ended(error.outcome);
            }
        }
        None
    }

    // Frames.

    fn client_frame(&mut self, frame: Result<Option<Frame>, FrameError>) -> Option<&'static str> {
        let frame = match frame {
            Ok(Some(frame)) => frame,
            // Its close frame did not come, or is not needed any more.
            Ok(None) | Err(FrameError::Broken) => {
                self.leave_server(1001);
                return Some(self.end.map_or("client-left", |end| end.code));
            }
            Err(fault) => return self.protocol_error(fault),
        };
        if let Some(end) = self.end {
            // Only its close frame matters now.
            return matches!(frame, Frame::Close(_)).then_some(end.code);
        }
        if self.take_own_pong(&frame, true) {
            return None;
        }
        if let Frame::Close(reason) = &frame {
            self.client_close = Some(reason.clone());
            self.end = Some(End { code: "client-closed", due: Instant::now() + CLOSE_TIMEOUT });
        }
        let limits = self.handle.settings().limits;
        match self.from_client.pass(&frame, limits.max_message_bytes, false) {
            Ok(FrameKind::MessageEnd(_)) => {
                self.messages.0 += 1;
                self.last_message_at = Instant::now();
                self.resume.client_message();
                self.handle.set_movable(self.resume.movable());
            }
            Ok(_) => {}
            Err(error) => return self.message_error(error),
        }
        match &mut self.server {
            Some(server) => server.queue(to_message(frame)),
            None => return self.client_close.take().map(|reason| self.answer_close(reason)),
        }
        None
    }

    /// The client has left. What it said before its close is passed on first, if its server is still there.
    fn client_closed(&mut self) -> Option<&'static str> {
        if self.pending_move.take().is_some() {
            self.handle.attempt_ended(AttemptOutcome::Deferred);
        }
        self.server.is_none().then_some("client-left")
    }

    /// Answers the client's close frame with the same reason.
    fn answer_close(&mut self, reason: Option<CloseReason>) -> &'static str {
        self.client.queue(Message::Close(reason));
        "client-closed"
    }

    /// Closes the connection because the client broke the WebSocket protocol.
    fn protocol_error(&mut self, fault: FrameError) -> Option<&'static str> {
        if let Some(end) = self.end {
            return Some(end.code);
        }
        match fault {
            FrameError::TooLarge => self.close("too-large", 1009, "too large"),
            _ => self.close("bad-frame", 1002, "this cannot be read"),
        }
        None
    }

    /// Closes the connection because the client sent an invalid message.
    fn message_error(&mut self, error: MessageError) -> Option<&'static str> {
        match error {
            MessageError::TooLarge => self.close("too-large", 1009, "too large"),
            MessageError::NotText => self.close("bad-text", 1007, "this is no text"),
        }
        None
    }

    fn server_frame(&mut self, frame: Result<Option<Frame>, FrameError>) -> Option<&'static str> {
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) => return self.server_broke("server-closed"),
            Err(FrameError::Broken) => return self.server_broke("server-reset"),
            // The bytes after it cannot be framed either, so there is no point to resume from.
            Err(_) => return self.server_unreadable("server-bad-frame"),
        };
        if self.take_own_pong(&frame, false) {
            return None;
        }
        if let Frame::Close(reason) = &frame {
            let server_leaves =
                reason.as_ref().is_some_and(|reason| matches!(u16::from(reason.code), 1001 | 1012));
            if server_leaves && self.client_close.is_none() {
                // The connection may continue at another server.
                return self.server_broke("server-leaves");
            }
            self.client.queue(Message::Close(reason.clone()));
            self.leave_server(1000);
            if self.client_close.take().is_some() {
                return Some("client-closed");
            }
            self.pending_move = None;
            self.end = Some(End { code: "closed", due: Instant::now() + CLOSE_TIMEOUT });
            return None;
        }
        let settings = self.handle.settings();
        match self.from_server.pass(&frame, settings.limits.max_message_bytes, settings.resume.any()) {
            Ok(FrameKind::MessageEnd(text)) => {
                self.messages.1 += 1;
                self.last_message_at = Instant::now();
                self.resume.server_message(text.as_deref(), &settings.resume);
                self.handle.set_movable(self.resume.movable());
            }
            Ok(_) => {}
            Err(_) => return self.server_unreadable("server-bad-text"),
        }
        self.client.queue(to_message(frame));
        None
    }

    /// The server's data cannot be read. The client may have part of the message, so no other server can resume.
    fn server_unreadable(&mut self, reason: &'static str) -> Option<&'static str> {
        self.handle.set_movable(false);
        self.server_broke(reason)
    }

    /// The server's side has ended; the connection may continue at another server.
    fn server_broke(&mut self, reason: &'static str) -> Option<&'static str> {
        log!("websocket broke id={} server={} reason={reason}", self.handle.name(), self.server_label);
        self.leave_server(1001);
        if let Some(reason) = self.client_close.take() {
            return Some(self.answer_close(reason));
        }
        if self.end.is_some() {
            return None;
        }
        if self.from_server.unfinished() || self.from_client.unfinished() {
            // No other server can continue an unfinished message.
            self.handle.set_movable(false);
        }
        self.handle.upstream_broke();
        None
    }

    // Timeouts and pings.

    /// Whether a frame is the pong to one of the router's own pings, which is not passed on. Clears the pending ping
    /// if the pong answers it.
    fn take_own_pong(&mut self, frame: &Frame, of_client: bool) -> bool {
        let leg = if of_client { Some(&mut self.client) } else { self.server.as_mut() };
        let (Frame::Pong(payload), Some(leg)) = (frame, leg) else { return false };
        let expected = leg.pending_ping.map(|(_, number)| ping_payload(number));
        if expected.is_none_or(|expected| expected != payload) {
            // A late pong to an earlier ping of the router is not passed on either.
            return payload.starts_with(PING_PREFIX);
        }
        leg.pending_ping = None;
        true
    }

    /// When the next timeout may be due.
    fn next_due(&self) -> Instant {
        let limits = self.handle.settings().limits;
        let leg_due = |leg: &WebSocketStream| {
            let heartbeat = leg
                .pending_ping
                .map_or(leg.last_read + limits.ping_after, |(pinged, _)| pinged + limits.pong_timeout);
            leg.write_stalled_since().map_or(heartbeat, |stuck| heartbeat.min(stuck + WRITE_STALL_TIMEOUT))
        };
        let mut due = leg_due(&self.client).min(self.last_message_at + limits.idle_timeout);
        if let Some(server) = &self.server {
            due = due.min(leg_due(server));
        }
        if let Some(pending) = self.pending_move.as_ref().filter(|pending| pending.attempt.is_none()) {
            due = due.min(pending.settle_by);
        }
        self.end.map_or(due, |end| due.min(end.due))
    }

    /// Acts on timeouts that are due. Pings detect half-open connections.
    fn check_timeouts(&mut self) -> Option<&'static str> {
        let (now, limits) = (Instant::now(), self.handle.settings().limits);
        if let Some(end) = self.end.filter(|end| end.due <= now) {
            if let Some(reason) = self.client_close.take() {
                self.leave_server(1001);
                return Some(self.answer_close(reason));
            }
            return Some(end.code);
        }
        if self
            .pending_move
            .as_ref()
            .is_some_and(|pending| pending.attempt.is_none() && pending.settle_by <= now)
        {
            self.pending_move = None;
            self.handle.attempt_ended(AttemptOutcome::Deferred);
        }
        let paused =
            !self.server.as_ref().is_some_and(WebSocketStream::has_room) || self.pending_move.is_some();
        match check_liveness(
            &mut self.client,
            now,
            limits.ping_after,
            limits.pong_timeout,
            paused && self.end.is_none(),
            &mut self.pings,
        ) {
            Liveness::Alive => {}
            Liveness::Silent => {
                self.leave_server(1001);
                return Some("client-silent");
            }
            Liveness::Stuck => {
                self.leave_server(1001);
                return Some("slow-client");
            }
        }
        let paused = !self.client.has_room() || self.pending_move.is_some();
        if let Some(server) = &mut self.server {
            match check_liveness(server, now, limits.ping_after, limits.pong_timeout, paused, &mut self.pings)
            {
                Liveness::Alive => {}
                Liveness::Silent => return self.server_broke("server-silent"),
                Liveness::Stuck => return self.server_broke("server-stuck"),
            }
        }
        if self.last_message_at + limits.idle_timeout <= now {
            self.close("idle", 1001, "nothing has passed for long");
        }
        None
    }
}

fn ping_payload(number: u64) -> Bytes {
    Bytes::from([PING_PREFIX, number.to_string().as_bytes()].concat())
}

enum Liveness {
    Alive,
    /// No frame came within the pong timeout after a ping.
    Silent,
    /// It has accepted no bytes for too long.
    Stuck,
}

/// Checks one side, and pings it when it is due. While reading from it is paused nothing can be heard from it, so the
/// timeouts do not run.
fn check_liveness(
    leg: &mut WebSocketStream,
    now: Instant,
    ping: Duration,
    pong: Duration,
    paused: bool,
    pings: &mut u64,
) -> Liveness {
    if leg.write_stalled_since().is_some_and(|stuck| stuck + WRITE_STALL_TIMEOUT <= now) {
        return Liveness::Stuck;
    }
    if paused {
        leg.last_read = now;
        leg.pending_ping = leg.pending_ping.map(|(_, number)| (now, number));
        return Liveness::Alive;
    }
    match leg.pending_ping {
        // Any frame since the ping shows as much as its pong.
        Some((pinged, _)) if leg.last_read > pinged => leg.pending_ping = None,
        Some((pinged, _)) if pinged + pong <= now => return Liveness::Silent,
        None if leg.last_read + ping <= now => {
            *pings += 1;
            leg.pending_ping = Some((now, *pings));
            leg.queue(Message::Ping(ping_payload(*pings)));
        }
        _ => {}
    }
    Liveness::Alive
}
