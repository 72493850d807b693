//! A client's connection: its state for the log and the listener, the deadline of its next request, and limits on what
//! is read from it. actix-http sets no time limit on a body or on a later head, buffers up to 128 KiB, and reads on
//! while a request is in progress; this module adds the missing limits.

use crate::exchange::DetachRequest;
use crate::websocket_stream::ByteStream;
use fawnstream_attempts::decisions::ConnectionFacts;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep_until};

/// Time limit for a whole request, head and body. It runs from the accept, or on a reused connection from the first
/// byte of the request. A new connection that sends nothing is closed after the same time.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// How long a connection without a request stays open after an answer.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// A client that accepts no bytes of its answer for this long counts as gone, whatever the state of its connection.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes read in one go before the server library gets to parse them.
const READ_BURST_BYTES: usize = 16 * 1024;
/// Bytes that are read behind a request while its answer is in progress.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// How often a connection that is not read from is checked for its close, which arrives behind the unread bytes.
/// Nothing may be started for a client later than 100 ms after it closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Whether the last answer on a connection, an error after which nothing is read, has been written.
#[derive(Clone, Copy, Default, PartialEq)]
enum LastAnswer {
    #[default]
    None,
    Pending,
    Written,
}

/// The state of a client's connection.
pub struct Conn {
    /// Requests whose head has been received.
    pub requests: Cell<u64>,
    /// An answer announced the close of the connection: its client takes requests behind it for unread.
    pub close_announced: Cell<bool>,
    /// The client closed the connection.
    pub client_closed: Cell<bool>,
    /// Signals that the client closed the connection.
    pub client_close: Notify,
    /// The head of a request exceeded the limit.
    pub head_too_large: Cell<bool>,
    /// Since when it has been without a request.
    pub idle_since: Cell<Instant>,
    /// Signals that it is evicted to make room for another connection.
    pub evict: Notify,
    /// It has been chosen for eviction.
    pub evicting: Cell<bool>,
    /// The router is draining: the end of an answer is signalled by `wake`.
    pub draining: Cell<bool>,
    /// It closes as soon as no unread bytes remain on it.
    pub close_when_read: Cell<bool>,
    /// Signals that an answer ended while the router is draining, or that the connection is asked for.
    pub wake: Notify,
    /// The request for the connection, to continue its answer elsewhere.
    pub surrender: RefCell<Option<DetachRequest>>,
    /// The socket, once the server library has dropped its stream.
    pub socket: RefCell<Option<TcpStream>>,
    /// It has been upgraded to another protocol.
    pub upgraded: Cell<bool>,
    last_answer: Cell<LastAnswer>,
    /// Since when the client has accepted no bytes of its answer.
    write_stalled_since: Cell<Option<Instant>>,
    /// Requests whose answer is in progress.
    active_requests: Cell<u32>,
    /// When the next request must be complete.
    request_due: Cell<Option<Instant>>,
    /// Bytes received of a head, or read ahead behind the request in progress.
    pending_bytes: Cell<usize>,
    /// The body of the request in progress has been received whole.
    body_complete: Cell<bool>,
    /// Wakes the reader, which pauses when too much has been read ahead.
    paused_reader: RefCell<Option<Waker>>,
}

impl Conn {
    /// A connection just accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Conn {
            requests: Cell::new(0),
            close_announced: Cell::new(false),
            client_closed: Cell::new(false),
            client_close: Notify::new(),
            head_too_large: Cell::new(false),
            idle_since: Cell::new(now),
            evict: Notify::new(),
            evicting: Cell::new(false),
            draining: Cell::new(false),
            close_when_read: Cell::new(false),
            wake: Notify::new(),
            surrender: RefCell::default(),
            socket: RefCell::default(),
            upgraded: Cell::new(false),
            last_answer: Cell::default(),
            write_stalled_since: Cell::new(None),
            active_requests: Cell::new(0),
            request_due: Cell::new(Some(now + REQUEST_TIMEOUT)),
            pending_bytes: Cell::new(0),
            body_complete: Cell::new(false),
            paused_reader: RefCell::default(),
        })
    }

    /// Registers a request whose head has been received; its answer is in progress until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> RequestGuard {
        self.requests.set(self.requests.get() + 1);
        self.active_requests.set(self.active_requests.get() + 1);
        self.pending_bytes.set(0);
        self.close_when_read.set(false);
        RequestGuard(self.clone())
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.active_requests.get() == 0
    }

    /// What the decision on its eviction depends on.
    pub fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            busy: !self.is_idle(),
            partial_request: self.head_started(),
            closing: self.evicting.get(),
            idle_for: self.idle_since.get().elapsed(),
        }
    }

    /// Whether a complete request is in progress and its client is still connected.
    pub fn owes_answer(&self) -> bool {
        !self.is_idle() && self.body_complete.get() && !self.client_closed.get()
    }

    /// Whether its answer can continue elsewhere: the system has taken all bytes written so far, and the client has
    /// sent nothing behind its request.
    pub fn can_surrender(&self) -> bool {
        let written = self.write_stalled_since.get().is_none()
            && !self.client_closed.get()
            && self.last_answer.get() == LastAnswer::None;
        written
            && self.active_requests.get() == 1
            && self.body_complete.get()
            && self.pending_bytes.get() == 0
    }

    /// Asks to hand the connection over, so that its answer continues elsewhere.
    pub fn ask_to_surrender(&self, surrender: DetachRequest) {
        self.surrender.replace(Some(surrender));
        self.wake.notify_one();
    }

    /// Whether part of a head has been received.
    pub fn head_started(&self) -> bool {
        self.is_idle() && self.pending_bytes.get() > 0
    }

    /// When the next request must be complete; the connection closes if it is not.
    pub fn request_due(&self) -> Option<Instant> {
        self.request_due.get()
    }

    /// Makes the answer about to be written the last one, whatever the client sends after it.
    pub fn set_last_answer(&self) {
        self.last_answer.set(LastAnswer::Pending);
    }

    /// Whether its client has accepted no bytes of an answer for too long.
    pub fn write_stalled(&self) -> bool {
        self.write_stalled_since.get().is_some_and(|since| since.elapsed() >= WRITE_STALL_TIMEOUT)
    }

    /// Takes the deadline for the caller, who reads the body and has to keep it.
    pub fn take_request_due(&self) -> Option<Instant> {
        self.request_due.take()
    }

    /// Notes that a request's body has been received whole.
    pub fn set_body_complete(&self) {
        self.body_complete.set(true);
    }
}

/// Keeps an answer in progress until dropped.
pub struct RequestGuard(Rc<Conn>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let conn = &self.0;
        conn.active_requests.set(conn.active_requests.get() - 1);
        if conn.is_idle() {
            let now = Instant::now();
            conn.idle_since.set(now);
            conn.request_due.set(Some(now + KEEP_ALIVE_TIMEOUT));
            conn.pending_bytes.set(0);
            conn.body_complete.set(false);
            if let Some(paused) = conn.paused_reader.take() {
                paused.wake();
            }
            if conn.draining.get() {
                conn.wake.notify_one();
            }
        }
    }
}

/// The byte stream of a connection, as the server library reads and writes it.
pub struct ClientStream {
    stream: Option<TcpStream>,
    /// The connection's state.
    pub conn: Rc<Conn>,
    /// Bytes read since the reader last paused or found nothing to read.
    burst: usize,
    /// When a connection that is not read from is checked next for its close.
    close_check: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, conn: Rc<Conn>) -> Self {
        ClientStream { stream: Some(stream), conn, burst: 0, close_check: None }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

/// What can be read next from a connection.
#[derive(Clone, Copy, PartialEq)]
enum Unread {
    Nothing,
    Bytes,
    /// The end of the connection, by a close or an error.
    End,
}

impl ClientStream {
    /// Whether the client has closed a connection that is not read from: its close is behind unread bytes.
    /// Schedules the next check.
    fn closed_behind_unread(&mut self, cx: &mut Context<'_>) -> bool {
        let next = || Instant::now() + CLOSE_CHECK_INTERVAL;
        let check = self.close_check.get_or_insert_with(|| Box::pin(sleep_until(next().into())));
        while check.as_mut().poll(cx).is_ready() {
            check.as_mut().reset(next().into());
        }
        let Some(stream) = &self.stream else { return false };
        match pin!(stream.ready(Interest::READABLE)).poll(cx) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Ready once the client has closed a connection that is not read from, whatever it has sent before. Closing its
    /// sending side alone counts, as everywhere.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.closed_behind_unread(cx) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Notes that the client has closed the connection.
    fn set_client_closed(&self) {
        self.conn.client_closed.set(true);
        self.conn.client_close.notify_one();
    }

    /// Asks the system what can be read next: the runtime's readiness may be out of date.
    fn peek_unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        let Some(stream) = &self.stream else { return Unread::End };
        match SockRef::from(stream).peek(&mut byte) {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        // The task that accepted the connection closes it.
        *self.conn.socket.borrow_mut() = self.stream.take();
    }
}

impl ByteStream for ClientStream {
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ClientStream::poll_closed(self, cx)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let conn = this.conn.clone();
        if conn.last_answer.get() == LastAnswer::Written {
            // Reports the end of the stream: the server library would otherwise read a chunked body to its end,
            // however long that takes, before it closes.
            return Poll::Ready(Ok(()));
        }
        if this.burst >= READ_BURST_BYTES {
            this.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if conn.is_idle() && conn.pending_bytes.get() >= MAX_HEAD_BYTES {
            conn.head_too_large.set(true);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if conn.body_complete.get() && conn.pending_bytes.get() >= MAX_READ_AHEAD_BYTES {
            *conn.paused_reader.borrow_mut() = Some(cx.waker().clone());
            if this.closed_behind_unread(cx) {
                this.set_client_closed();
                return Poll::Ready(Ok(()));
            }
            return Poll::Pending;
        }
        this.close_check = None;
        let before = buf.filled().len();
        let read = this.stream()?.poll_read(cx, buf);
        let received = buf.filled().len() - before;
        match read {
            Poll::Pending => {
                this.burst = 0;
                // Reports the end of the stream, so that the server library closes the connection in order. Peeks
                // first, so that a request that has arrived but was not seen yet is not cut off.
                if conn.close_when_read.get()
                    && conn.is_idle()
                    && conn.pending_bytes.get() == 0
                    && this.peek_unread() == Unread::Nothing
                {
                    return Poll::Ready(Ok(()));
                }
            }
            Poll::Ready(Ok(())) if received == 0 => this.set_client_closed(),
            _ => {}
        }
        // The runtime reports a close right behind these bytes only later, when their request has already started.
        if received > 0 && this.peek_unread() == Unread::End {
            conn.client_closed.set(true);
        }
        this.burst += received;
        // A first request that arrives just as its connection was about to close gets the full time.
        let new_deadline = conn.requests.get() > 0 || conn.close_when_read.get();
        if received > 0 && conn.is_idle() && conn.pending_bytes.get() == 0 && new_deadline {
            conn.request_due.set(Some(Instant::now() + REQUEST_TIMEOUT));
        }
        if conn.is_idle() || conn.body_complete.get() {
            conn.pending_bytes.set(conn.pending_bytes.get() + received);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let wrote = this.stream()?.poll_write(cx, buf);
        // While written bytes wait, the server library does not poll the answer and never learns that it has ended. A
        // client that reads nothing would keep its place for good without this time.
        let stalled_since = &this.conn.write_stalled_since;
        stalled_since.set(wrote.is_pending().then(|| stalled_since.get().unwrap_or_else(Instant::now)));
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = this.stream()?.poll_flush(cx);
        if this.conn.last_answer.get() == LastAnswer::Pending && flushed.is_ready() {
            this.conn.last_answer.set(LastAnswer::Written);
            cx.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_shutdown(cx)
    }
}
