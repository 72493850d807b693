//! An exchange connects the client's side and the servers' side of one request: the request itself, the stream of its
//! answer, and the notice that the client has left. Independent of HTTP; makes no decisions.

use bytes::Bytes;
use shedrelay::{ClassId, Key, TenantId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Back-pressure limit: while this many bytes of an answer wait for a slow client, its server is not read from.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// If the client's side has not detached its connection within this time, it keeps it.
const DETACH_TIMEOUT: Duration = Duration::from_millis(100);

/// A client's request, independent of the API it came by.
pub struct Call {
    /// Its id, as servers and the log know it.
    pub label: String,
    /// The conversation it belongs to.
    pub session: Option<Key>,
    /// The prompt prefix that it shares with other conversations.
    pub prefix: Option<Key>,
    /// Length of that prefix in tokens.
    pub prefix_len: f64,
    /// Length of the prompt in tokens.
    pub prompt_len: f64,
    /// Maximum length of the answer in tokens.
    pub max_out: f64,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When it arrived.
    pub arrived: Instant,
    /// How long the client waits for the first token, counted from when it sent the request.
    pub budget: Duration,
    /// The client's idempotency key, by which servers recognise a repeat.
    pub idempotency_key: Option<Bytes>,
    /// The request target for servers, passed on as it is.
    pub target: String,
    /// The request's body.
    pub body: Bytes,
    /// Its share of the memory for request bodies, given back on drop.
    pub _reservation: Option<Box<dyn std::any::Any>>,
}

impl Call {
    /// A request whose answer another process began, with the little that is still known of it.
    pub fn taken_over(label: String, class: Option<ClassId>, age: Duration, prompt_len: f64) -> Self {
        let now = Instant::now();
        Call {
            label,
            session: None,
            prefix: None,
            prefix_len: 0.0,
            prompt_len,
            max_out: 0.0,
            // An unknown class is not counted.
            class: class.unwrap_or(ClassId(usize::MAX)),
            tenant: None,
            arrived: now.checked_sub(age).unwrap_or(now),
            budget: Duration::ZERO,
            idempotency_key: None,
            target: String::new(),
            body: Bytes::new(),
            _reservation: None,
        }
    }
}

/// How an answer begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// A server's events follow.
    Stream,
    /// Refused: trying again is harmless, after this time if one is told.
    Refused(Option<Duration>),
    /// Failed: the request may have had an effect.
    Failed,
    /// Failed: no server can process what the client sent.
    Unusable,
}

/// The answer's stream ended before the answer was complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer ended before it was complete")]
pub struct IncompleteAnswer;

/// The client has left.
#[derive(Debug)]
pub struct ClientLeft;

#[derive(Default)]
struct State {
    opening: Option<Opening>,
    buffered: VecDeque<Bytes>,
    buffered_bytes: usize,
    /// Set once the answer has ended: whether it is complete.
    end: Option<bool>,
    client_waker: Option<Waker>,
    server_waker: Option<Waker>,
}

/// An open request.
pub struct Exchange {
    /// The request.
    pub call: Call,
    state: RefCell<State>,
    client_left: Cell<bool>,
    on_client_left: RefCell<Option<Box<dyn FnOnce()>>>,
    on_detach_request: RefCell<Option<OnDetachRequest>>,
}

/// Called when the client's connection is asked for.
type OnDetachRequest = Box<dyn Fn(DetachRequest)>;

/// A request to the client's side to detach its connection once it has written all that it has of the answer.
/// Dropping it declines.
pub struct DetachRequest {
    socket: oneshot::Sender<TcpStream>,
    exchange: Weak<Exchange>,
}

impl DetachRequest {
    /// Whether the connection is not wanted any more.
    pub fn is_cancelled(&self) -> bool {
        self.socket.is_closed()
    }

    /// From here on, dropping the [`ClientEnd`] does not mean that the client has left.
    pub fn accept(&self) {
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.on_client_left.take();
        }
    }

    /// Hands the connection over.
    pub fn complete(self, socket: TcpStream) {
        let _ = self.socket.send(socket);
    }
}

impl Exchange {
    /// An exchange for a new request.
    pub fn new(call: Call) -> Rc<Self> {
        Rc::new(Exchange {
            call,
            state: RefCell::default(),
            client_left: Cell::new(false),
            on_client_left: RefCell::default(),
            on_detach_request: RefCell::default(),
        })
    }

    // Used by the core.

    /// `callback` runs once if the client leaves before its answer is complete.
    pub fn on_client_left(&self, callback: impl FnOnce() + 'static) {
        *self.on_client_left.borrow_mut() = Some(Box::new(callback));
    }

    /// Begins the answer. The core calls this once for each request.
    pub fn begin_answer(&self, opening: Opening) {
        let mut state = self.state.borrow_mut();
        state.opening = Some(opening);
        if opening != Opening::Stream {
            state.end = Some(true);
        }
        wake(&mut state.client_waker);
    }

    // Used by the servers' side.

    /// Whether the client still waits for an answer to begin. If not, no attempt is started any more.
    pub fn awaits_answer(&self) -> bool {
        !self.client_left.get() && self.state.borrow().opening.is_none()
    }

    /// Passes on a chunk of the answer; waits while the client is slow.
    pub async fn push(&self, chunk: Bytes) -> Result<(), ClientLeft> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if self.client_left.get() {
                return Poll::Ready(Err(ClientLeft));
            }
            if state.buffered_bytes >= MAX_BUFFERED_BYTES {
                state.server_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(Ok(()))
        })
        .await?;
        let mut state = self.state.borrow_mut();
        state.buffered_bytes += chunk.len();
        state.buffered.push_back(chunk);
        wake(&mut state.client_waker);
        Ok(())
    }

    /// Takes the client's connection from the client's side, if no chunk is buffered. The answer continues in another
    /// process, or here after [`ClientEnd::reattach`].
    pub async fn detach_client(self: &Rc<Self>) -> Option<TcpStream> {
        if !self.state.borrow().buffered.is_empty() || self.client_left.get() {
            return None;
        }
        let (socket, detached) = oneshot::channel();
        {
            let callback = self.on_detach_request.borrow();
            callback.as_ref()?(DetachRequest { socket, exchange: Rc::downgrade(self) });
        }
        actix_rt::time::timeout(DETACH_TIMEOUT, detached).await.ok()?.ok()
    }

    /// Ends the answer.
    pub fn end_answer(&self, complete: bool) {
        let mut state = self.state.borrow_mut();
        state.end.get_or_insert(complete);
        wake(&mut state.client_waker);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// The client's end of an exchange. Dropping it before the answer's end means that the client has left.
pub struct ClientEnd {
    exchange: Rc<Exchange>,
    /// The client's side has read the answer to its end.
    finished: bool,
}

impl ClientEnd {
    /// A new end for an answer whose client's connection was detached; `callback` runs if the client leaves.
    pub fn reattach(exchange: Rc<Exchange>, callback: impl FnOnce() + 'static) -> Self {
        exchange.client_left.set(false);
        exchange.on_client_left(callback);
        ClientEnd::new(exchange)
    }

    /// `callback` runs when this side is asked to detach its connection.
    pub fn on_detach_request(&self, callback: impl Fn(DetachRequest) + 'static) {
        *self.exchange.on_detach_request.borrow_mut() = Some(Box::new(callback));
    }

    /// The first end of an exchange.
    pub fn new(exchange: Rc<Exchange>) -> Self {
        ClientEnd { exchange, finished: false }
    }

    /// Waits for the answer to begin.
    pub async fn opening(&mut self) -> Opening {
        let opening = poll_fn(|cx| {
            let mut state = self.exchange.state.borrow_mut();
            state.client_waker = Some(cx.waker().clone());
            state.opening.map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        self.finished |= opening != Opening::Stream;
        opening
    }

    /// The next chunk of the answer, or none at its end.
    pub fn poll_chunk(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteAnswer>>> {
        let mut state = self.exchange.state.borrow_mut();
        if let Some(chunk) = state.buffered.pop_front() {
            state.buffered_bytes -= chunk.len();
            wake(&mut state.server_waker);
            return Poll::Ready(Some(Ok(chunk)));
        }
        match state.end {
            Some(complete) => {
                self.finished = true;
                Poll::Ready(if complete { None } else { Some(Err(IncompleteAnswer)) })
            }
            None => {
                state.client_waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for ClientEnd {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        self.exchange.client_left.set(true);
        wake(&mut self.exchange.state.borrow_mut().server_waker);
        let callback = self.exchange.on_client_left.borrow_mut().take();
        if let Some(callback) = callback {
            callback();
        }
    }
}
