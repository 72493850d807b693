//! A client's connection: what its log line needs to know of it, by when its next request must be whole, and how
//! much is read of it. actix-http bounds neither the time of a body or of a later head nor, to less than 128 KiB,
//! what it takes in; and while a request is under way it reads on without a pause. Both are guarded against here.

use crate::exchange::DetachRequest;
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

/// A request comes whole in this time, head and body, from the accept or, on a connection that was used before,
/// from its first byte on. A client that says nothing has as long.
pub const REQUEST_TIME: Duration = Duration::from_millis(2_400);
/// A connection without a request is kept for this long after an answer.
pub const KEEP: Duration = Duration::from_millis(2_300);
/// A client that takes nothing of its answer for so long has left, whatever its connection says.
pub const TAKES_NOTHING: Duration = Duration::from_secs(10);
/// A head is no longer than this.
const LARGEST_HEAD: usize = 32 * 1024;
/// Read at one go; then what came is looked at first.
const PIECE: usize = 16 * 1024;
/// What is read behind a request while its answer is under way.
const AHEAD: usize = 16 * 1024;
/// How often a client that is not read from is looked at: its close stands behind what nobody reads, and nothing may be
/// begun for it 100 ms later.
const LOOK_CLOSED: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Default, PartialEq)]
enum Over {
    #[default]
    No,
    Told,
    Out,
}

/// What happened on a connection.
pub struct Conn {
    /// Requests whose head came.
    pub requests: Cell<u64>,
    /// An answer has said that the connection ends with it: its client takes what stands behind for unread.
    pub said_close: Cell<bool>,
    /// The client ended it.
    pub ended: Cell<bool>,
    /// It has just done so.
    pub gone: Notify,
    /// Its head grew too large.
    pub large: Cell<bool>,
    /// Since when it is without a request.
    pub since: Cell<Instant>,
    /// Its place is needed for another: it is about to end.
    pub evict: Notify,
    /// It was told so.
    pub leaving: Cell<bool>,
    /// Its client is sent away: who follows it hears when it is without a request.
    pub away: Cell<bool>,
    /// It ends as soon as nothing unread stands on it.
    pub leave: Cell<bool>,
    /// An answer is out while its client is sent away, or its connection is asked for.
    pub free: Notify,
    /// Who asks for the connection, to go on with its answer elsewhere.
    pub surrender: RefCell<Option<DetachRequest>>,
    /// The socket, once the server library has let go of it.
    pub socket: RefCell<Option<TcpStream>>,
    /// It speaks another protocol now.
    pub upgraded: Cell<bool>,
    /// Its last answer was an error after which nothing is read: out already, or about to be.
    over: Cell<Over>,
    /// Since when the client takes nothing of its answer.
    stuck: Cell<Option<Instant>>,
    busy: Cell<u32>,
    /// By when the next request is whole.
    due: Cell<Option<Instant>>,
    /// Bytes of a head, or ahead of the answer under way.
    bytes: Cell<usize>,
    whole: Cell<bool>,
    paused: RefCell<Option<Waker>>,
}

impl Conn {
    /// A connection just accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Conn {
            requests: Cell::new(0),
            said_close: Cell::new(false),
            ended: Cell::new(false),
            gone: Notify::new(),
            large: Cell::new(false),
            since: Cell::new(now),
            evict: Notify::new(),
            leaving: Cell::new(false),
            away: Cell::new(false),
            leave: Cell::new(false),
            free: Notify::new(),
            surrender: RefCell::default(),
            socket: RefCell::default(),
            upgraded: Cell::new(false),
            over: Cell::default(),
            stuck: Cell::new(None),
            busy: Cell::new(0),
            due: Cell::new(Some(now + REQUEST_TIME)),
            bytes: Cell::new(0),
            whole: Cell::new(false),
            paused: RefCell::default(),
        })
    }

    /// A request's head came; until the guard goes its answer is under way.
    pub fn request(self: &Rc<Self>) -> Busy {
        self.requests.set(self.requests.get() + 1);
        self.busy.set(self.busy.get() + 1);
        self.bytes.set(0);
        self.leave.set(false);
        Busy(self.clone())
    }

    /// No request is under way.
    pub fn idle(&self) -> bool {
        self.busy.get() == 0
    }

    /// What decides whether it may end for another one.
    pub fn facts(&self) -> ConnectionFacts {
        ConnectionFacts {
            busy: !self.idle(),
            partial_request: self.begun(),
            closing: self.leaving.get(),
            idle_for: self.since.get().elapsed(),
        }
    }

    /// A request that came whole is under way, and its client is still there.
    pub fn owes(&self) -> bool {
        !self.idle() && self.whole.get() && !self.ended.get()
    }

    /// Its answer's bytes are all with the system, and its client has sent nothing behind its request: the connection
    /// can go on elsewhere.
    pub fn quiet(&self) -> bool {
        let written = self.stuck.get().is_none() && !self.ended.get() && self.over.get() == Over::No;
        written && self.busy.get() == 1 && self.whole.get() && self.bytes.get() == 0
    }

    /// Asks for the connection.
    pub fn ask(&self, surrender: DetachRequest) {
        self.surrender.replace(Some(surrender));
        self.free.notify_one();
    }

    /// Part of a head came.
    pub fn begun(&self) -> bool {
        self.idle() && self.bytes.get() > 0
    }

    /// By when the next request is whole, or the connection closes.
    pub fn due(&self) -> Option<Instant> {
        self.due.get()
    }

    /// The answer about to go out is the last one, whatever its client still sends.
    pub fn last(&self) {
        self.over.set(Over::Told);
    }

    /// Its client has taken nothing of an answer for too long.
    pub fn stuck(&self) -> bool {
        self.stuck.get().is_some_and(|since| since.elapsed() >= TAKES_NOTHING)
    }

    /// The time that is left for a body; who reads it sees to it.
    pub fn take_due(&self) -> Option<Instant> {
        self.due.take()
    }

    /// A request's body is whole.
    pub fn whole(&self) {
        self.whole.set(true);
    }
}

/// An answer under way.
pub struct Busy(Rc<Conn>);

impl Drop for Busy {
    fn drop(&mut self) {
        let conn = &self.0;
        conn.busy.set(conn.busy.get() - 1);
        if conn.idle() {
            let now = Instant::now();
            conn.since.set(now);
            conn.due.set(Some(now + KEEP));
            conn.bytes.set(0);
            conn.whole.set(false);
            if let Some(paused) = conn.paused.take() {
                paused.wake();
            }
            if conn.away.get() {
                conn.free.notify_one();
            }
        }
    }
}

/// A connection's bytes.
pub struct Wire {
    stream: Option<TcpStream>,
    /// What happened on it.
    pub conn: Rc<Conn>,
    /// Read since there was nothing more to read.
    read: usize,
    /// When a client that is not read from is looked at next.
    look: Option<Pin<Box<Sleep>>>,
}

impl Wire {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, conn: Rc<Conn>) -> Self {
        Wire { stream: Some(stream), conn, read: 0, look: None }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.stream.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

/// What stands on a connection, unread.
#[derive(Clone, Copy, PartialEq)]
enum Stands {
    Nothing,
    Bytes,
    /// Its end, in order or not.
    End,
}

impl Wire {
    /// Whether a client that is not read from has closed, its close standing behind bytes that are not read. Looks again
    /// in a while.
    fn closed_behind(&mut self, cx: &mut Context<'_>) -> bool {
        let next = || Instant::now() + LOOK_CLOSED;
        let look = self.look.get_or_insert_with(|| Box::pin(sleep_until(next().into())));
        while look.as_mut().poll(cx).is_ready() {
            look.as_mut().reset(next().into());
        }
        let Some(stream) = &self.stream else { return false };
        match pin!(stream.ready(Interest::READABLE)).poll(cx) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Notes that the client has closed.
    fn ended(&self) {
        self.conn.ended.set(true);
        self.conn.gone.notify_one();
    }

    /// What stands on the connection, asked of the system itself: what it has told so far may be old.
    fn stands(&self) -> Stands {
        let mut byte = [MaybeUninit::uninit()];
        let Some(stream) = &self.stream else { return Stands::End };
        match SockRef::from(stream).peek(&mut byte) {
            Ok(0) => Stands::End,
            Ok(_) => Stands::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Stands::Nothing,
            Err(_) => Stands::End,
        }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        // Its end is seen to by who accepted it.
        *self.conn.socket.borrow_mut() = self.stream.take();
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let conn = this.conn.clone();
        if conn.over.get() == Over::Out {
            // The server library would read a chunked body to its end, however long that takes, and close then.
            return Poll::Ready(Ok(()));
        }
        if this.read >= PIECE {
            this.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if conn.idle() && conn.bytes.get() >= LARGEST_HEAD {
            conn.large.set(true);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        if conn.whole.get() && conn.bytes.get() >= AHEAD {
            *conn.paused.borrow_mut() = Some(cx.waker().clone());
            if this.closed_behind(cx) {
                this.ended();
                return Poll::Ready(Ok(()));
            }
            return Poll::Pending;
        }
        this.look = None;
        let before = buf.filled().len();
        let read = this.stream()?.poll_read(cx, buf);
        let came = buf.filled().len() - before;
        match read {
            Poll::Pending => {
                this.read = 0;
                // To the server library the client has closed, so it ends the connection in order. Guards against
                // closing on a request that has come and was not seen yet.
                if conn.leave.get()
                    && conn.idle()
                    && conn.bytes.get() == 0
                    && this.stands() == Stands::Nothing
                {
                    return Poll::Ready(Ok(()));
                }
            }
            Poll::Ready(Ok(())) if came == 0 => this.ended(),
            _ => {}
        }
        // The runtime tells of an end that stands right behind these bytes only later, when what they ask for has begun.
        if came > 0 && this.stands() == Stands::End {
            conn.ended.set(true);
        }
        this.read += came;
        // A first one that comes in the moment in which its connection was to end has as long as any other.
        let anew = conn.requests.get() > 0 || conn.leave.get();
        if came > 0 && conn.idle() && conn.bytes.get() == 0 && anew {
            conn.due.set(Some(Instant::now() + REQUEST_TIME));
        }
        if conn.idle() || conn.whole.get() {
            conn.bytes.set(conn.bytes.get() + came);
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let wrote = this.stream()?.poll_write(cx, buf);
        // The server library asks for no more of an answer that waits to be written, so it would never hear that
        // the answer has ended: a client that reads nothing would keep its place for good.
        let stuck = &this.conn.stuck;
        stuck.set(wrote.is_pending().then(|| stuck.get().unwrap_or_else(Instant::now)));
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = this.stream()?.poll_flush(cx);
        if this.conn.over.get() == Over::Told && flushed.is_ready() {
            this.conn.over.set(Over::Out);
            cx.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream()?.poll_shutdown(cx)
    }
}
