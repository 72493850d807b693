//! A connection to a server. Each has an awc client of its own, limited to that one connection. This shows what awc
//! hides: which connection carries an attempt, and whether the attempt's last byte was written.

use super::connections::ConnectionPermit;
use super::framing::{AnswerError, AnswerParser};
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
use socket2::SockRef;
use std::cell::{Cell, RefCell};
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

/// A server writes a head or a chunk at once, so one that began and is incomplete after this time never completes.
/// Guards against waiting on a stream that can't continue, and against taking its server for silent.
pub const PARTIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes read from a connection at once.
pub const READ_SIZE: usize = 8 * 1024;
/// Whether an attempt may begin. Checked again when its first byte is about to be written, which may be long after the
/// decision to send it.
pub struct BeginCheck {
    /// The server of the attempt.
    pub server: Rc<Server>,
    /// The request.
    pub exchange: Rc<Exchange>,
    /// How long after the news that its server drains the attempt may begin.
    pub drain_grace: Duration,
    /// After this time the attempt is useless or no longer allowed.
    pub begin_by: Instant,
    /// The server has to show on the connection that it is running.
    pub needs_sign_of_life: bool,
}

impl BeginCheck {
    /// Why the attempt must not begin now; `None` if it may.
    pub fn forbidden(&self, sign_of_life: SignOfLife) -> Option<NotBegun> {
        let facts = BeginFacts {
            client_waits: self.exchange.awaits_answer(),
            draining_for: self.server.draining_since.get().map(|told| told.elapsed()),
            drain_grace: self.drain_grace,
            time_left: self.begin_by.checked_duration_since(Instant::now()),
            sign_of_life,
        };
        may_begin(&facts).err()
    }
}

/// The close code of a connection that has carried its answer. It is not logged: such connections end all the time.
const ANSWERED: &str = "answered";

/// State of a connection and of the request that is on it.
#[derive(Default)]
struct ConnectionState {
    /// awc has the whole body; its last byte may still wait to be written.
    body_taken: Cell<bool>,
    /// When the last byte was written.
    written_at: Cell<Option<Instant>>,
    /// The first byte was written.
    begun: Cell<bool>,
    /// Something came back for the request.
    answered: Cell<bool>,
    /// When something was last read from the connection, if ever.
    last_read: Cell<Option<Instant>>,
    /// The local port, which identifies the connection in the log.
    port: Cell<u16>,
    /// Why nothing was written.
    not_begun: Cell<Option<NotBegun>>,
    /// The server ended the connection.
    ended: Cell<bool>,
    /// Bytes came that belong to no answer.
    extra_bytes: Cell<bool>,
    answer_error: Cell<Option<AnswerError>>,
    /// Why the connection ends, for the log.
    close_code: Cell<&'static str>,
    /// `None` if the request is not an attempt.
    begin_check: RefCell<Option<BeginCheck>>,
    /// Number of attempts written completely, on all connections.
    dispatches: Rc<Cell<u64>>,
    /// The socket. It and the parser are kept here so that a stream can be taken away from awc.
    stream: RefCell<Option<TcpStream>>,
    parser: RefCell<Option<AnswerParser>>,
    /// Validated bytes that awc has not read yet.
    unread: Cell<usize>,
    /// The request follows a release on the same connection.
    follows_release: Cell<bool>,
}

impl ConnectionState {
    /// An attempt was begun and its answer has not come to its end.
    fn attempt_in_flight(&self) -> bool {
        self.begun.get() && self.begin_check.borrow().is_some()
    }

    /// Whether the server has shown on this connection that it is running, if the attempt needs that.
    fn sign_of_life(&self, check: &BeginCheck) -> SignOfLife {
        match self.last_read.get() {
            _ if !check.needs_sign_of_life => SignOfLife::NotNeeded,
            None => SignOfLife::Missing,
            Some(last_read) => SignOfLife::Seen { ago: last_read.elapsed() },
        }
    }

    /// Records that something came from the server. `answered` tells whether any of it belongs to the request.
    fn record_read(&self, answered: bool) {
        let now = Instant::now();
        self.answered.set(self.answered.get() || answered);
        self.last_read.set(Some(now));
        if let Some(check) = self.begin_check.borrow().as_ref() {
            check.server.last_heard.set(Some(now));
        }
    }

    /// For how long nothing has come, for the log.
    fn silent_ms(&self) -> String {
        self.last_read
            .get()
            .map_or_else(|| "-".to_owned(), |last_read| last_read.elapsed().as_millis().to_string())
    }

    /// Records that the request's last byte was written: its server may begin it. Counts attempts, but not releases.
    fn record_written(&self) {
        if self.written_at.get().is_some() {
            return;
        }
        self.written_at.set(Some(Instant::now()));
        if self.begin_check.borrow().is_some() {
            self.dispatches.set(self.dispatches.get() + 1);
        }
    }
}

/// Closes a connection at once and discards what the kernel still has to send. After a graceful close the kernel would
/// keep sending it, and it could arrive long after the attempt was abandoned and another one has run.
pub fn abort(stream: TcpStream) {
    // An error means that the connection was broken already.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// The error that awc gets from a connection that was taken away from it.
fn detached_error() -> io::Error {
    io::Error::new(io::ErrorKind::NotConnected, "handed over")
}

/// A connection as it appears in the log.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionInfo {
    /// The local port.
    pub port: u16,
    /// For how long nothing has come on it; `None` if nothing ever did.
    pub silent_for: Option<Duration>,
}

/// Gives a connection's log details, also after its [`ServerConnection`] is dropped.
pub struct ConnectionObserver(Rc<ConnectionState>);

impl ConnectionObserver {
    /// The connection's log details now.
    pub fn info(&self) -> ConnectionInfo {
        ConnectionInfo {
            port: self.0.port.get(),
            silent_for: self.0.last_read.get().map(|last_read| last_read.elapsed()),
        }
    }
}

/// A request body that records when awc has taken it.
pub struct ObservedBody {
    body: Option<Bytes>,
    size: u64,
    state: Rc<ConnectionState>,
}

impl MessageBody for ObservedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        let this = self.get_mut();
        let next = this.body.take().filter(|body| !body.is_empty());
        this.state.body_taken.set(true);
        Poll::Ready(next.map(Ok))
    }
}

/// The socket that awc uses: it records what passes over it and passes on only valid answers. awc writes all that it
/// has of a request at once, so once it has taken the body, a write that leaves nothing over has written the last
/// byte.
pub struct Wire {
    address: SocketAddr,
    state: Rc<ConnectionState>,
    /// Validated bytes that wait for awc.
    validated: Vec<u8>,
    /// How many of them awc has read.
    consumed: usize,
    /// Runs out when a head or chunk stays incomplete.
    partial_timer: Option<Pin<Box<Sleep>>>,
    /// awc waits for more. While it does not read, because the client is slow, the server can't complete a chunk.
    awaited: bool,
}

impl Wire {
    /// Records that the answer is invalid, and returns the error for awc.
    fn fail<T>(&self, error: AnswerError) -> Poll<io::Result<T>> {
        self.state.answer_error.set(Some(error));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)))
    }

    /// Passes validated bytes on to awc.
    fn pass_on(&mut self, buf: &mut ReadBuf<'_>) {
        let size = buf.remaining().min(self.validated.len() - self.consumed);
        buf.put_slice(&self.validated[self.consumed..self.consumed + size]);
        self.consumed += size;
        if self.consumed == self.validated.len() {
            self.validated.clear();
            self.consumed = 0;
        }
        self.state.unread.set(self.validated.len());
    }

    /// Polls the socket, unless it was taken away.
    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.state.stream.borrow_mut().as_mut() {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(detached_error())),
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
        // The socket has no other user: the `ServerConnection` may live on for a moment, but would open a new one.
        if let Some(stream) = self.state.stream.take().filter(|_| self.state.attempt_in_flight()) {
            abort(stream);
        }
        let code = match self.state.close_code.get() {
            ANSWERED => return,
            "" => "cancelled",
            code => code,
        };
        let (address, port) = (self.address, self.state.port.get());
        log!(
            "connection peer=server address={address} port={port} code={code} heard_ms={}",
            self.state.silent_ms()
        );
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Some(timer) = this.partial_timer.as_mut().filter(|_| !this.awaited) {
            timer.as_mut().reset((Instant::now() + PARTIAL_TIMEOUT).into());
        }
        this.awaited = true;
        while this.validated.is_empty() {
            if let Some(error) = this.state.answer_error.get() {
                return this.fail(error);
            }
            let mut piece = [0; READ_SIZE];
            let mut piece = ReadBuf::new(&mut piece);
            match this.poll_socket(|stream| stream.poll_read(cx, &mut piece)) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    let late =
                        this.partial_timer.as_mut().is_some_and(|timer| timer.as_mut().poll(cx).is_ready());
                    return if late { this.fail(AnswerError::Truncated) } else { Poll::Pending };
                }
            }
            if piece.filled().is_empty() {
                this.state.ended.set(true);
                return Poll::Ready(Ok(()));
            }
            if !this.state.begun.get() {
                // No request was sent yet, so these bytes follow an earlier answer. awc sees the end of the
                // connection.
                this.state.extra_bytes.set(true);
                return Poll::Ready(Ok(()));
            }
            let mut parser = this.state.parser.borrow_mut();
            let parser = parser.get_or_insert_with(AnswerParser::new);
            if let Err(error) = parser.feed(piece.filled(), &mut this.validated) {
                this.state.answer_error.set(Some(error));
            }
            this.state.extra_bytes.set(parser.extra_bytes);
            this.state.record_read(parser.answer_started());
            if !parser.partial() {
                this.partial_timer = None;
            } else if this.partial_timer.is_none() || !this.validated.is_empty() {
                this.partial_timer = Some(Box::pin(sleep(PARTIAL_TIMEOUT)));
            }
        }
        this.pass_on(buf);
        this.awaited = false;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !this.state.begun.get() {
            let check = this.state.begin_check.borrow();
            let forbidden = check.as_ref().and_then(|check| check.forbidden(this.state.sign_of_life(check)));
            drop(check);
            if forbidden.is_some() {
                this.state.not_begun.set(forbidden);
                return Poll::Ready(Err(io::Error::other("the attempt may no longer begin")));
            }
        }
        let written = this.poll_socket(|stream| stream.poll_write(cx, buf));
        let Poll::Ready(Ok(size)) = written else { return written };
        if !this.state.begun.replace(true) {
            let parser = match this.state.follows_release.get() {
                true => AnswerParser::after_release(),
                false => AnswerParser::new(),
            };
            *this.state.parser.borrow_mut() = Some(parser);
        }
        if this.state.body_taken.get() && size == buf.len() {
            this.state.record_written();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for Wire {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.poll_socket(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.poll_socket(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens the socket of one [`ServerConnection`] for awc.
#[derive(Clone)]
struct Connector {
    address: SocketAddr,
    state: Rc<ConnectionState>,
    /// A socket that a [`Dialer`] connected ahead of time.
    ready: Rc<RefCell<Option<TcpStream>>>,
}

impl Service<ConnectInfo<Uri>> for Connector {
    type Response = Connection<Uri, Wire>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let Connector { address, state, ready } = self.clone();
        Box::pin(async move {
            let ready = ready.take();
            let stream = match ready {
                Some(stream) => stream,
                None => TcpStream::connect(address).await.map_err(ConnectError::Io)?,
            };
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            state.ended.set(false);
            state.last_read.set(None);
            state.port.set(stream.local_addr().map_or(0, |address| address.port()));
            *state.stream.borrow_mut() = Some(stream);
            let wire = Wire {
                address,
                state,
                validated: Vec::new(),
                consumed: 0,
                partial_timer: None,
                awaited: false,
            };
            Ok(Connection::new(info.request().clone(), wire))
        })
    }
}

/// Connects a socket ahead of its first request, so that the request can state the time that is left once it is up.
pub struct Dialer {
    address: SocketAddr,
    /// Where the socket is put; `None` if it is up already.
    ready: Option<Rc<RefCell<Option<TcpStream>>>>,
    connect_timeout: Duration,
}

impl Dialer {
    /// Returns when the connection is up.
    pub async fn dial(self) -> Result<(), SendRequestError> {
        let Some(ready) = self.ready else { return Ok(()) };
        let connected = actix_rt::time::timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = connected
            .map_err(|_| SendRequestError::Connect(awc::error::ConnectError::Timeout))?
            .map_err(|error| SendRequestError::Connect(awc::error::ConnectError::Io(error)))?;
        *ready.borrow_mut() = Some(stream);
        Ok(())
    }
}

/// An awc client with one connection, for one attempt or one release. The attempt may follow a release that shows that
/// its server runs.
pub struct ServerConnection {
    /// The awc client.
    pub client: awc::Client,
    address: SocketAddr,
    state: Rc<ConnectionState>,
    /// A socket that was connected ahead of its first request.
    ready: Rc<RefCell<Option<TcpStream>>>,
    connect_timeout: Duration,
    _permit: ConnectionPermit,
}

impl ServerConnection {
    /// A connection that is opened for its first request.
    pub fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        permit: ConnectionPermit,
        dispatches: Rc<Cell<u64>>,
    ) -> Self {
        let state = Rc::new(ConnectionState { dispatches, ..ConnectionState::default() });
        let ready = Rc::<RefCell<Option<TcpStream>>>::default();
        let connector = Connector { address, state: state.clone(), ready: ready.clone() };
        let connector = awc::Connector::new()
            .connector(connector)
            .limit(1)
            .timeout(connect_timeout)
            .disconnect_timeout(Duration::from_millis(1));
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        ServerConnection { client, address, state, ready, connect_timeout, _permit: permit }
    }

    /// Whether its socket has carried a request.
    fn used(&self) -> bool {
        self.state.stream.borrow().is_some()
    }

    /// Closes the connection after a complete answer.
    pub fn close(self) {
        // The attempt is over, so its connection needs no abort.
        self.state.begin_check.take();
        self.set_close_code(if self.state.extra_bytes.get() { "unread-bytes" } else { ANSWERED });
    }

    /// Connects the socket ahead of the first request.
    pub fn dialer(&self) -> Dialer {
        let ready = (!self.used()).then(|| self.ready.clone());
        Dialer { address: self.address, ready, connect_timeout: self.connect_timeout }
    }

    /// Prepares for an attempt.
    pub fn prepare_attempt(&self, check: BeginCheck, body: Bytes) -> ObservedBody {
        self.prepare_request();
        self.state.follows_release.set(self.used());
        self.state.body_taken.set(body.is_empty());
        *self.state.begin_check.borrow_mut() = Some(check);
        ObservedBody { size: body.len() as u64, body: Some(body), state: self.state.clone() }
    }

    /// Prepares for a request that is not an attempt.
    pub fn prepare_request(&self) {
        let state = &self.state;
        let flags = [&state.body_taken, &state.begun, &state.answered, &state.ended, &state.extra_bytes];
        flags.into_iter().for_each(|flag| flag.set(false));
        state.written_at.set(None);
        state.not_begun.set(None);
        state.answer_error.set(None);
        state.close_code.set("");
        *state.begin_check.borrow_mut() = None;
    }

    /// How far the request has provably come.
    pub fn delivery(&self) -> Delivery {
        match (self.state.answered.get(), self.state.written_at.get()) {
            (true, Some(_)) => Delivery::Arrived,
            (false, Some(_)) => Delivery::Written,
            (_, None) => Delivery::Unsent,
        }
    }

    /// When the request's last byte was written.
    pub fn written_at(&self) -> Option<Instant> {
        self.state.written_at.get()
    }

    /// An observer that outlives the attempt.
    pub fn observer(&self) -> ConnectionObserver {
        ConnectionObserver(self.state.clone())
    }

    /// Why nothing was written, if the attempt was not allowed to begin.
    pub fn not_begun(&self) -> Option<NotBegun> {
        self.state.not_begun.get()
    }

    /// The server ended the connection.
    pub fn ended(&self) -> bool {
        self.state.ended.get()
    }

    /// Why the answer is invalid, for the log.
    pub fn answer_error(&self) -> Option<&'static str> {
        self.state.answer_error.get().map(error_reason)
    }

    /// The state of the answer's framing, if it is chunked and awc has read all of its validated bytes.
    pub fn framing(&self) -> Option<Framing> {
        let broken = self.state.answer_error.get().is_some() || self.state.ended.get();
        let parser = self.state.parser.borrow();
        parser.as_ref().filter(|_| !broken && self.state.unread.get() == 0).and_then(AnswerParser::framing)
    }

    /// Takes the socket away from awc, which neither uses it again nor shuts it down.
    pub fn detach(&self) -> Option<TcpStream> {
        self.state.stream.take()
    }

    /// Sets the reason that is logged when the connection ends.
    pub fn set_close_code(&self, code: &'static str) {
        self.state.close_code.set(code);
    }
}

/// Why an answer is invalid, for the log.
pub fn error_reason(error: AnswerError) -> &'static str {
    match error {
        AnswerError::Head => "bad-head",
        AnswerError::Chunk => "bad-chunk",
        AnswerError::Truncated => "cut-short",
    }
}
