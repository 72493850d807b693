//! Connections to servers. Each is an awc client of its own with room for one connection, so that this side
//! knows what awc alone would hide: which connection carries an attempt, and whether its last byte was written.

use super::frames::{self, Frames, Spoilt};
use crate::core::Server;
use crate::exchange::Exchange;
use crate::handover::Framing;
use crate::log;
use actix_http::body::{BodySize, MessageBody};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::SendRequestError;
use awc::http::Uri;
use bytes::Bytes;
use fawnstream_attempts::decisions::{BeginFacts, NotBegun, SignOfLife, may_begin};
use fawnstream_attempts::delivery::Delivery;
use shedrelay_settings::ConnectionSettings;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Idle connections go after this part of the time after which servers close them: a close that crosses a
/// request would be a reset, and the request lost.
const IDLE_PART: f64 = 0.6;
/// So many connections that broke at once when they were used again, of late, and none is used again that was idle
/// for half as long as one that broke. Guards against a way on which kept connections die unseen: what may not be
/// sent twice is lost on each.
const STRIKES: f64 = 3.0;
/// What is left of a strike, and how much longer connections are trusted again, each time they are looked at.
const FORGIVE: f64 = 0.95;
const TRUST_MORE: f64 = 1.04;
const LEAST_TRUST: Duration = Duration::from_millis(1);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(500);
/// A server writes a head or a chunk at once: one that began and is not whole by then never will be. Guards against
/// waiting on a stream that can't go on, and against calling its server silent.
const PART_TIME: Duration = Duration::from_millis(500);
/// Read from a connection at once.
const PIECE: usize = 8 * 1024;
/// The first byte to a server that takes nothing new is written in this part of the time in which that has to stop: the
/// rest is for its way.
const GRACE_PART: f64 = 0.7;

/// What an attempt is for, and until when it may begin: asked once more when its first byte is about to be written,
/// which may be long after it was sent this way.
pub struct Begin {
    /// Where it goes.
    pub server: Rc<Server>,
    /// The request.
    pub exchange: Rc<Exchange>,
    /// How long after the news that its server drains it may begin.
    pub grace: Duration,
    /// It is of no use after this time, or no longer allowed.
    pub latest: Instant,
    /// Its server has to show on the connection that it runs.
    pub needs_sign_of_life: bool,
}

impl Begin {
    /// Why it must not begin now, if it must not.
    pub fn forbidden(&self, sign_of_life: SignOfLife) -> Option<NotBegun> {
        let facts = BeginFacts {
            client_waits: self.exchange.awaits_answer(),
            draining_for: self.server.draining_since.get().map(|told| told.elapsed()),
            drain_grace: self.grace,
            time_left: self.latest.checked_duration_since(Instant::now()),
            sign_of_life,
        };
        may_begin(&facts).err()
    }
}

/// What is known of the request now on a connection.
#[derive(Default)]
struct Meter {
    /// awc has the whole body; its last byte may still wait to be written.
    body_taken: Cell<bool>,
    /// When the last byte was written.
    written: Cell<Option<Instant>>,
    begun: Cell<bool>,
    /// Something came back for it.
    answered: Cell<bool>,
    /// When something came on the connection last, if ever.
    heard: Cell<Option<Instant>>,
    /// The connection's port here: its name in the log.
    port: Cell<u16>,
    not_begun: Cell<Option<NotBegun>>,
    ended: Cell<bool>,
    extra: Cell<bool>,
    spoilt: Cell<Option<Spoilt>>,
    code: Cell<&'static str>,
    /// None where the request counts as no attempt.
    begin: RefCell<Option<Begin>>,
    /// Attempts written whole, on all connections.
    dispatches: Rc<Cell<u64>>,
    /// The connection, and its answer's framing: here, so that a stream can be taken out of awc's hands.
    stream: RefCell<Option<TcpStream>>,
    frames: RefCell<Option<Frames>>,
    /// Checked bytes that awc has not taken yet.
    backlog: Cell<usize>,
}

impl Meter {
    /// An attempt was begun and not answered to its end.
    fn attempt_is_out(&self) -> bool {
        self.begun.get() && self.begin.borrow().is_some()
    }

    /// Whether the server has shown on this connection that it runs, where the attempt needs that.
    fn sign_of_life(&self, begin: &Begin) -> SignOfLife {
        match self.heard.get() {
            _ if !begin.needs_sign_of_life => SignOfLife::NotNeeded,
            None => SignOfLife::Missing,
            Some(heard) => SignOfLife::Seen { ago: heard.elapsed() },
        }
    }

    /// Something came from the server.
    fn note_heard(&self) {
        let now = Instant::now();
        self.answered.set(true);
        self.heard.set(Some(now));
        if let Some(begin) = self.begin.borrow().as_ref() {
            begin.server.last_heard.set(Some(now));
        }
    }

    /// For how long nothing has come, for the log.
    fn heard_ms(&self) -> String {
        self.heard.get().map_or_else(|| "-".to_owned(), |heard| heard.elapsed().as_millis().to_string())
    }

    /// The request's last byte was written: its server may begin it. A release counts as no attempt.
    fn note_written(&self) {
        if self.written.get().is_some() {
            return;
        }
        self.written.set(Some(Instant::now()));
        if self.begin.borrow().is_some() {
            self.dispatches.set(self.dispatches.get() + 1);
        }
    }
}

/// Closes a connection at once. What the kernel still holds for its server is thrown away: closed in order, it would stay
/// on its way behind a silence, and could arrive when the attempt has long been given up and another one has run.
pub fn abort(stream: TcpStream) {
    // One that fails was broken already.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// What a connection that was taken out of awc's hands is told.
fn detached() -> io::Error {
    io::Error::new(io::ErrorKind::NotConnected, "handed over")
}

/// A connection as the log names it.
#[derive(Clone, Copy, Debug)]
pub struct Traced {
    /// Its port here.
    pub port: u16,
    /// For how long nothing has come on it; none if nothing ever did.
    pub heard: Option<Duration>,
}

/// Tells of a lane's connection, also when the lane is gone.
pub struct Trace(Rc<Meter>);

impl Trace {
    /// How the connection is now.
    pub fn now(&self) -> Traced {
        Traced { port: self.0.port.get(), heard: self.0.heard.get().map(|heard| heard.elapsed()) }
    }
}

/// A body that notes when awc has taken it.
pub struct Watched {
    body: Option<Bytes>,
    size: u64,
    meter: Rc<Meter>,
}

impl MessageBody for Watched {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        let this = self.get_mut();
        let next = this.body.take().filter(|body| !body.is_empty());
        this.meter.body_taken.set(true);
        Poll::Ready(next.map(Ok))
    }
}

/// A connection that notes what passes over it, and hands on only answers that can be read. awc writes all that it holds
/// of a request at once: once it has taken the body, a write that leaves nothing over has written the last byte.
pub struct Wire {
    address: SocketAddr,
    meter: Rc<Meter>,
    open: Rc<Cell<usize>>,
    /// Checked bytes that wait for awc.
    checked: Vec<u8>,
    taken: usize,
    part: Option<Pin<Box<Sleep>>>,
    /// Who reads it waits for more. While nobody does, a slow client being held up, its server can't go on.
    waiting: bool,
}

impl Wire {
    /// The answer cannot be read any further.
    fn spoilt<T>(&self, spoilt: Spoilt) -> Poll<io::Result<T>> {
        self.meter.spoilt.set(Some(spoilt));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, spoilt)))
    }

    /// Hands checked bytes on.
    fn hand_on(&mut self, buf: &mut ReadBuf<'_>) {
        let size = buf.remaining().min(self.checked.len() - self.taken);
        buf.put_slice(&self.checked[self.taken..self.taken + size]);
        self.taken += size;
        if self.taken == self.checked.len() {
            self.checked.clear();
            self.taken = 0;
        }
        self.meter.backlog.set(self.checked.len());
    }

    /// Does this with the connection, while it is here.
    fn with<T>(&self, done: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match self.meter.stream.borrow_mut().as_mut() {
            Some(stream) => done(Pin::new(stream)),
            None => Poll::Ready(Err(detached())),
        }
    }
}

impl std::fmt::Debug for Wire {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Wire({})", self.address)
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        // Nobody else holds it now; the lane, which outlives it by a moment, opens a new one.
        if let Some(stream) = self.meter.stream.take().filter(|_| self.meter.attempt_is_out()) {
            abort(stream);
        }
        let code = if self.meter.code.get().is_empty() { "cancelled" } else { self.meter.code.get() };
        let (address, port) = (self.address, self.meter.port.get());
        log!(
            "connection peer=server address={address} port={port} code={code} heard_ms={}",
            self.meter.heard_ms()
        );
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Some(part) = this.part.as_mut().filter(|_| !this.waiting) {
            part.as_mut().reset((Instant::now() + PART_TIME).into());
        }
        this.waiting = true;
        while this.checked.is_empty() {
            if let Some(spoilt) = this.meter.spoilt.get() {
                return this.spoilt(spoilt);
            }
            let mut piece = [0; PIECE];
            let mut piece = ReadBuf::new(&mut piece);
            match this.with(|stream| stream.poll_read(cx, &mut piece)) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    let late = this.part.as_mut().is_some_and(|part| part.as_mut().poll(cx).is_ready());
                    return if late { this.spoilt(Spoilt::CutShort) } else { Poll::Pending };
                }
            }
            if piece.filled().is_empty() {
                this.meter.ended.set(true);
                return Poll::Ready(Ok(()));
            }
            if !this.meter.begun.get() {
                // Nothing was asked yet: it stands behind an earlier answer. To awc the connection has ended.
                this.meter.extra.set(true);
                return Poll::Ready(Ok(()));
            }
            let mut frames = this.meter.frames.borrow_mut();
            let frames = frames.get_or_insert_with(Frames::new);
            if let Err(spoilt) = frames.feed(piece.filled(), &mut this.checked) {
                this.meter.spoilt.set(Some(spoilt));
            }
            this.meter.extra.set(frames.extra);
            this.meter.note_heard();
            if !frames.partial() {
                this.part = None;
            } else if this.part.is_none() || !this.checked.is_empty() {
                this.part = Some(Box::pin(sleep(PART_TIME)));
            }
        }
        this.hand_on(buf);
        this.waiting = false;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !this.meter.begun.get() {
            let begin = this.meter.begin.borrow();
            let forbidden = begin.as_ref().and_then(|begin| begin.forbidden(this.meter.sign_of_life(begin)));
            drop(begin);
            if forbidden.is_some() {
                this.meter.not_begun.set(forbidden);
                return Poll::Ready(Err(io::Error::other("it must not begin any more")));
            }
        }
        let wrote = this.with(|stream| stream.poll_write(cx, buf));
        let Poll::Ready(Ok(size)) = wrote else { return wrote };
        if !this.meter.begun.replace(true) {
            *this.meter.frames.borrow_mut() = Some(Frames::new());
        }
        if this.meter.body_taken.get() && size == buf.len() {
            this.meter.note_written();
        }
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for Wire {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens the connections of one lane.
#[derive(Clone)]
struct Dial {
    address: SocketAddr,
    meter: Rc<Meter>,
    open: Rc<Cell<usize>>,
    /// A connection that is up before it is asked for.
    ready: Rc<RefCell<Option<TcpStream>>>,
}

impl Service<ConnectInfo<Uri>> for Dial {
    type Response = Connection<Uri, Wire>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let Dial { address, meter, open, ready } = self.clone();
        Box::pin(async move {
            let ready = ready.take();
            let stream = match ready {
                Some(stream) => stream,
                None => TcpStream::connect(address).await.map_err(ConnectError::Io)?,
            };
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            open.set(open.get() + 1);
            meter.ended.set(false);
            meter.heard.set(None);
            meter.port.set(stream.local_addr().map_or(0, |address| address.port()));
            *meter.stream.borrow_mut() = Some(stream);
            let wire =
                Wire { address, meter, open, checked: Vec::new(), taken: 0, part: None, waiting: false };
            Ok(Connection::new(info.request().clone(), wire))
        })
    }
}

/// Opens a lane's connection ahead of its first request, so that the request can tell what time is left once it is up.
pub struct Dialler {
    address: SocketAddr,
    /// Where the connection is put; none where it is up already.
    ready: Option<Rc<RefCell<Option<TcpStream>>>>,
    connect: Duration,
}

impl Dialler {
    /// Returns when the connection is up.
    pub async fn dial(self) -> Result<(), SendRequestError> {
        let Some(ready) = self.ready else { return Ok(()) };
        let dialled = actix_rt::time::timeout(self.connect, TcpStream::connect(self.address)).await;
        let stream = dialled
            .map_err(|_| SendRequestError::Connect(awc::error::ConnectError::Timeout))?
            .map_err(|error| SendRequestError::Connect(awc::error::ConnectError::Io(error)))?;
        *ready.borrow_mut() = Some(stream);
        Ok(())
    }
}

/// A client with one connection, for one request at a time.
pub struct Lane {
    /// The client.
    pub client: awc::Client,
    address: SocketAddr,
    meter: Rc<Meter>,
    /// Where a connection waits that was dialled ahead of its request, and how long one may take to come up.
    ready: Rc<RefCell<Option<TcpStream>>>,
    connect: Duration,
    idle_since: Instant,
    used: bool,
}

impl Lane {
    /// Who opens the connection ahead of its first request.
    pub fn dialler(&self) -> Dialler {
        let is_up = self.used || self.meter.stream.borrow().is_some();
        let ready = (!is_up).then(|| self.ready.clone());
        Dialler { address: self.address, ready, connect: self.connect }
    }

    /// Prepares for a request that counts as an attempt.
    pub fn watch(&self, begin: Begin, body: Bytes) -> Watched {
        self.unwatched();
        self.meter.body_taken.set(body.is_empty());
        *self.meter.begin.borrow_mut() = Some(begin);
        Watched { size: body.len() as u64, body: Some(body), meter: self.meter.clone() }
    }

    /// Prepares for a request that counts as none.
    pub fn unwatched(&self) {
        let meter = &self.meter;
        let flags = [&meter.body_taken, &meter.begun, &meter.answered, &meter.ended, &meter.extra];
        flags.into_iter().for_each(|flag| flag.set(false));
        meter.written.set(None);
        meter.not_begun.set(None);
        meter.spoilt.set(None);
        meter.code.set("");
        *meter.begin.borrow_mut() = None;
    }

    /// For how long it has been idle; none if its connection is yet to be opened.
    pub fn idle(&self) -> Option<Duration> {
        self.used.then(|| self.idle_since.elapsed())
    }

    /// How far the request has come.
    pub fn delivery(&self) -> Delivery {
        match (self.meter.answered.get(), self.meter.written.get()) {
            (true, Some(_)) => Delivery::Arrived,
            (false, Some(_)) => Delivery::Written,
            (_, None) => Delivery::Unsent,
        }
    }

    /// When its last byte was written.
    pub fn written_at(&self) -> Option<Instant> {
        self.meter.written.get()
    }

    /// Who tells of the connection when its attempt has ended.
    pub fn trace(&self) -> Trace {
        Trace(self.meter.clone())
    }

    /// Why nothing was written, where that was forbidden.
    pub fn not_begun(&self) -> Option<NotBegun> {
        self.meter.not_begun.get()
    }

    /// The server ended the connection.
    pub fn ended(&self) -> bool {
        self.meter.ended.get()
    }

    /// Its answer cannot be read.
    pub fn spoilt(&self) -> Option<&'static str> {
        self.meter.spoilt.get().map(reason)
    }

    /// Where its answer's framing stands, if awc has all that was checked of it and it is chunked.
    pub fn framing(&self) -> Option<Framing> {
        let spoilt = self.meter.spoilt.get().is_some() || self.meter.ended.get();
        let frames = self.meter.frames.borrow();
        frames.as_ref().filter(|_| !spoilt && self.meter.backlog.get() == 0).and_then(Frames::framing)
    }

    /// Takes the connection out of awc's hands; it is neither shut down nor used there again.
    pub fn detach(&self) -> Option<TcpStream> {
        self.meter.stream.take()
    }

    /// Says for the log why the connection is about to end.
    pub fn closing(&self, code: &'static str) {
        self.meter.code.set(code);
    }
}

/// Why an answer cannot be read, for the log.
pub fn reason(spoilt: Spoilt) -> &'static str {
    match spoilt {
        Spoilt::Head => "bad-head",
        Spoilt::Chunk => "bad-chunk",
        Spoilt::CutShort => "cut-short",
    }
}

fn longest_idle(links: ConnectionSettings) -> Duration {
    Duration::from_nanos(links.idle.0).mul_f64(IDLE_PART)
}

/// A connection's place among all, for one that this process did not open.
pub struct Carried(Rc<Cell<usize>>);

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A stream's connection without awc: one that came from another process, or was to go to one.
pub struct Raw {
    /// The connection.
    pub stream: Option<TcpStream>,
    frames: Frames,
    /// Whole chunks that have not been handed on.
    checked: bytes::BytesMut,
    /// Since when a part of a chunk waits for the rest.
    part: Option<Instant>,
    /// The server ended it.
    pub ended: bool,
    /// It cannot be read any further.
    pub spoilt: Option<Spoilt>,
    _place: Carried,
}

impl Raw {
    /// Goes on with a connection whose answer stands there. None if that makes no sense.
    pub fn new(stream: TcpStream, framing: Framing, place: Carried) -> Option<Self> {
        let frames = Frames::resume(framing)?;
        let part = frames.partial().then(Instant::now);
        let checked = bytes::BytesMut::new();
        Some(Raw { stream: Some(stream), frames, checked, part, ended: false, spoilt: None, _place: place })
    }

    /// Where its framing stands, if all that was checked has been handed on.
    pub fn framing(&self) -> Option<Framing> {
        let whole = self.checked.is_empty() && !self.ended && self.spoilt.is_none();
        whole.then(|| self.frames.framing()).flatten()
    }

    /// The next piece of the answer; nothing at its end, however it came. May be dropped and called again.
    pub async fn piece(&mut self) -> Option<Result<Bytes, ()>> {
        loop {
            if let Some(piece) = frames::chunk(&mut self.checked) {
                return Some(Ok(piece));
            }
            if self.spoilt.is_some() {
                return Some(Err(()));
            }
            if self.ended || self.frames.done() {
                return None;
            }
            let stream = self.stream.as_mut()?;
            let late = self.part.map_or_else(|| Instant::now() + crate::servers::STALL, |at| at + PART_TIME);
            match tokio::time::timeout_at(late.into(), stream.readable()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Some(Err(())),
                Err(_) if self.part.is_some() => {
                    self.spoilt = Some(Spoilt::CutShort);
                    continue;
                }
                // Who asks has its own time for silence.
                Err(_) => continue,
            }
            let mut piece = [0; PIECE];
            match stream.try_read(&mut piece) {
                Ok(0) => self.ended = true,
                Ok(size) => {
                    let mut checked = Vec::new();
                    self.spoilt = self.frames.feed(&piece[..size], &mut checked).err();
                    self.checked.extend_from_slice(&checked);
                    self.part = match self.frames.partial() {
                        false => None,
                        true if checked.is_empty() => self.part.or_else(|| Some(Instant::now())),
                        true => Some(Instant::now()),
                    };
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Some(Err(())),
            }
        }
    }
}

/// All connections to servers.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Lane>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// So many of these are kept back for releases.
    kept_back: usize,
    links: ConnectionSettings,
    strikes: Cell<f64>,
    trust: Cell<Duration>,
    dispatches: Rc<Cell<u64>>,
}

impl Pool {
    /// With so many connections at most, and so many of these kept back; counts the attempts written whole.
    pub fn new(
        links: ConnectionSettings,
        most: usize,
        kept_back: usize,
        dispatches: Rc<Cell<u64>>,
    ) -> Rc<Self> {
        let (strikes, trust) = (Cell::new(0.0), Cell::new(longest_idle(links)));
        Rc::new(Pool {
            idle: RefCell::default(),
            open: Rc::default(),
            most,
            kept_back,
            links,
            strikes,
            trust,
            dispatches,
        })
    }

    /// A connection broke at once when it was used again after so long.
    pub fn distrust(&self, idle: Duration) {
        self.strikes.set(self.strikes.get() + 1.0);
        if self.strikes.get() >= STRIKES {
            self.trust.set(self.trust.get().min(idle / 2).max(LEAST_TRUST));
        }
    }

    /// A lane to this server: the one used last, or a new one. None if all connections are taken.
    pub fn take(&self, server: &Server) -> Option<Lane> {
        self.take_of(server, self.most - self.kept_back)
    }

    /// The same for a release. Guards against attempts that leave no connection for what must not wait.
    pub fn take_kept_back(&self, server: &Server) -> Option<Lane> {
        self.take_of(server, self.most)
    }

    fn take_of(&self, server: &Server, most: usize) -> Option<Lane> {
        let mut idle = self.idle.borrow_mut();
        if let Some(lane) = idle.get_mut(&server.address).and_then(Vec::pop) {
            if lane.idle_since.elapsed() <= self.trust.get() {
                return Some(lane);
            }
            lane.closing("idle");
        }
        if self.open.get() >= most {
            let oldest = idle.values_mut().filter(|lanes| !lanes.is_empty());
            let oldest = oldest.min_by_key(|lanes| lanes[0].idle_since)?;
            oldest.remove(0).closing("evicted");
        }
        let meter = Rc::new(Meter { dispatches: self.dispatches.clone(), ..Meter::default() });
        let address = server.address;
        let ready = Rc::<RefCell<Option<TcpStream>>>::default();
        let dial = Dial { address, meter: meter.clone(), open: self.open.clone(), ready: ready.clone() };
        let connect = self.connect_time();
        let connector = awc::Connector::new()
            .connector(dial)
            .limit(1)
            .timeout(connect)
            .conn_keep_alive(longest_idle(self.links))
            .conn_lifetime(Duration::from_secs(24 * 3_600))
            .disconnect_timeout(Duration::from_millis(1));
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Some(Lane { client, address, meter, ready, connect, idle_since: Instant::now(), used: false })
    }

    /// How long a connection may take to come up.
    pub fn connect_time(&self) -> Duration {
        Duration::from_nanos(self.links.connect.0)
    }

    /// How long after the news that a server drains an attempt may begin there.
    pub fn grace(&self) -> Duration {
        Duration::from_nanos(self.links.drain_grace.0).mul_f64(GRACE_PART)
    }

    /// Puts a lane back on which nothing was written since it was taken.
    pub fn unused(&self, lane: Lane) {
        if lane.used {
            self.idle.borrow_mut().entry(lane.address).or_default().push(lane);
        }
    }

    /// Room for a connection that another process opened; none if all are taken.
    pub fn carried(&self) -> Option<Carried> {
        if self.open.get() >= self.most - self.kept_back {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Carried(self.open.clone()))
    }

    /// Puts a lane back whose connection is free again. One on which more came than its answer is closed: what
    /// stands there would be taken for the next answer.
    pub fn give(&self, mut lane: Lane) {
        if lane.meter.extra.get() {
            return lane.closing("unread-bytes");
        }
        // The request goes with its attempt, whatever becomes of its connection.
        if lane.meter.begin.take().is_some_and(|begin| begin.server.draining_since.get().is_some()) {
            return lane.closing("server-left");
        }
        (lane.idle_since, lane.used) = (Instant::now(), true);
        lane.closing("server-closed");
        self.idle.borrow_mut().entry(lane.address).or_default().push(lane);
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        for lane in self.idle.borrow_mut().remove(&address).into_iter().flatten() {
            lane.closing("server-left");
        }
    }

    /// Closes what was idle for too long, for ever.
    pub fn sweep(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(SWEEP).await;
                self.strikes.set(self.strikes.get() * FORGIVE);
                let longest = longest_idle(self.links).min(self.trust.get().mul_f64(TRUST_MORE));
                self.trust.set(longest);
                let mut idle = self.idle.borrow_mut();
                for lanes in idle.values_mut() {
                    let stale = lanes.partition_point(|lane| lane.idle_since.elapsed() > longest);
                    lanes.drain(..stale).for_each(|lane| lane.closing("idle"));
                }
                idle.retain(|_, lanes| !lanes.is_empty());
            }
        });
    }
}
