//! The one object in which clients and servers meet: a request, the answer's stream, and the news that the
//! client left. It knows no HTTP and takes no decision.

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

/// Bytes of an answer that may wait for a slow client; past this its server is not read from.
const MOST_WAITING: usize = 64 * 1024;

/// The client's side gives its connection up in this time, or keeps it.
const DETACH_TIMEOUT: Duration = Duration::from_millis(100);

/// A request as the core sees it.
pub struct Call {
    /// Its id, as servers and the log know it.
    pub label: String,
    /// The conversation.
    pub session: Option<Key>,
    /// The beginning that it shares with other conversations.
    pub prefix: Option<Key>,
    /// Length of that beginning in tokens.
    pub prefix_len: f64,
    /// Length of the prompt in tokens.
    pub prompt_len: f64,
    /// Most tokens the answer may have.
    pub max_out: f64,
    /// Its class.
    pub class: ClassId,
    /// Its customer.
    pub tenant: Option<TenantId>,
    /// When it came.
    pub arrived: Instant,
    /// What the client will wait for a first token, from its send.
    pub budget: Duration,
    /// By what servers know a repeat of it, as its client said it.
    pub idempotency_key: Option<Bytes>,
    /// What servers are asked for; only they look into it.
    pub target: String,
    /// The request's body.
    pub body: Bytes,
    /// What goes when the request does: its part of what all may take.
    pub _reservation: Option<Box<dyn std::any::Any>>,
}

impl Call {
    /// A request whose answer another process began: all that is left to know of it.
    pub fn taken_over(label: String, class: Option<ClassId>, age: Duration, prompt_len: f64) -> Self {
        let now = Instant::now();
        Call {
            label,
            session: None,
            prefix: None,
            prefix_len: 0.0,
            prompt_len,
            max_out: 0.0,
            // A class that is not known here counts nowhere.
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
    /// Failed, with no word on its effect.
    Failed,
    /// Failed, since no server can use what the client sent.
    Unusable,
}

/// The stream ended before its end.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct IncompleteAnswer;

/// The client left.
#[derive(Debug)]
pub struct ClientLeft;

#[derive(Default)]
struct State {
    opening: Option<Opening>,
    waiting: VecDeque<Bytes>,
    size: usize,
    end: Option<bool>,
    client: Option<Waker>,
    server: Option<Waker>,
}

/// A request on its way.
pub struct Exchange {
    /// The request.
    pub call: Call,
    state: RefCell<State>,
    left: Cell<bool>,
    on_leave: RefCell<Option<Box<dyn FnOnce()>>>,
    on_detach_request: RefCell<Option<OnDetachRequest>>,
}

/// Hears that the client's connection is asked for.
type OnDetachRequest = Box<dyn Fn(DetachRequest)>;

/// How the client's side gives its connection up, once nothing of the answer waits there any more. Dropping it says
/// that it does not.
pub struct DetachRequest {
    socket: oneshot::Sender<TcpStream>,
    exchange: Weak<Exchange>,
}

impl DetachRequest {
    /// Nobody waits for it any more.
    pub fn is_cancelled(&self) -> bool {
        self.socket.is_closed()
    }

    /// From here on the client's end of the exchange may be dropped: its client has not left.
    pub fn accept(&self) {
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.on_leave.take();
        }
    }

    /// The connection.
    pub fn complete(self, socket: TcpStream) {
        let _ = self.socket.send(socket);
    }
}

impl Exchange {
    /// A request that has just come.
    pub fn new(call: Call) -> Rc<Self> {
        Rc::new(Exchange {
            call,
            state: RefCell::default(),
            left: Cell::new(false),
            on_leave: RefCell::default(),
            on_detach_request: RefCell::default(),
        })
    }

    // For the core.

    /// Runs once if the client leaves before its answer is whole.
    pub fn on_leave(&self, hear: impl FnOnce() + 'static) {
        *self.on_leave.borrow_mut() = Some(Box::new(hear));
    }

    /// The answer begins. The core calls this once for each request.
    pub fn begin_answer(&self, opening: Opening) {
        let mut state = self.state.borrow_mut();
        state.opening = Some(opening);
        if opening != Opening::Stream {
            state.end = Some(true);
        }
        wake(&mut state.client);
    }

    // For the servers' side.

    /// Whether its client still waits for an answer to begin: else no attempt is begun for it any more.
    pub fn awaits_answer(&self) -> bool {
        !self.left.get() && self.state.borrow().opening.is_none()
    }

    /// Hands on a piece of the answer; waits while the client is slow.
    pub async fn push(&self, piece: Bytes) -> Result<(), ClientLeft> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if self.left.get() {
                return Poll::Ready(Err(ClientLeft));
            }
            if state.size >= MOST_WAITING {
                state.server = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(Ok(()))
        })
        .await?;
        let mut state = self.state.borrow_mut();
        state.size += piece.len();
        state.waiting.push_back(piece);
        wake(&mut state.client);
        Ok(())
    }

    /// The client's connection, out of the hands of its side, if all that was pushed is out. The answer goes on
    /// elsewhere, or here with [`ClientEnd::reattach`].
    pub async fn detach_client(self: &Rc<Self>) -> Option<TcpStream> {
        if !self.state.borrow().waiting.is_empty() || self.left.get() {
            return None;
        }
        let (socket, given) = oneshot::channel();
        {
            let hook = self.on_detach_request.borrow();
            hook.as_ref()?(DetachRequest { socket, exchange: Rc::downgrade(self) });
        }
        actix_rt::time::timeout(DETACH_TIMEOUT, given).await.ok()?.ok()
    }

    /// The answer ends, whole or not.
    pub fn end_answer(&self, whole: bool) {
        let mut state = self.state.borrow_mut();
        state.end.get_or_insert(whole);
        wake(&mut state.client);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// The client's end of an exchange. Dropping it before the answer's end says that the client left.
pub struct ClientEnd {
    exchange: Rc<Exchange>,
    taken: bool,
}

impl ClientEnd {
    /// A new end for an answer whose client's connection was given up; `hear` runs if the client leaves.
    pub fn reattach(exchange: Rc<Exchange>, hear: impl FnOnce() + 'static) -> Self {
        exchange.left.set(false);
        exchange.on_leave(hear);
        ClientEnd::new(exchange)
    }

    /// How to ask this side for its connection.
    pub fn on_detach_request(&self, hook: impl Fn(DetachRequest) + 'static) {
        *self.exchange.on_detach_request.borrow_mut() = Some(Box::new(hook));
    }

    /// The client's end of this exchange.
    pub fn new(exchange: Rc<Exchange>) -> Self {
        ClientEnd { exchange, taken: false }
    }

    /// Waits for the answer to begin.
    pub async fn opening(&mut self) -> Opening {
        let opening = poll_fn(|cx| {
            let mut state = self.exchange.state.borrow_mut();
            state.client = Some(cx.waker().clone());
            state.opening.map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        self.taken |= opening != Opening::Stream;
        opening
    }

    /// The next piece of the answer, or nothing at its end.
    pub fn poll_chunk(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteAnswer>>> {
        let mut state = self.exchange.state.borrow_mut();
        if let Some(piece) = state.waiting.pop_front() {
            state.size -= piece.len();
            wake(&mut state.server);
            return Poll::Ready(Some(Ok(piece)));
        }
        match state.end {
            Some(whole) => {
                self.taken = true;
                Poll::Ready(if whole { None } else { Some(Err(IncompleteAnswer)) })
            }
            None => {
                state.client = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for ClientEnd {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.exchange.left.set(true);
        wake(&mut self.exchange.state.borrow_mut().server);
        let hear = self.exchange.on_leave.borrow_mut().take();
        if let Some(hear) = hear {
            hear();
        }
    }
}
