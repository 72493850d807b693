//! Clients: the server on which they call, and the fronts that speak to them. Parses, hands over and renders;
//! no decision is taken here.

mod conn;
pub mod openai;
pub mod platform;

use crate::core::Core;
use crate::exchange::{Broken, ClientEnd};
use crate::log;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::{DispatchError, PayloadError};
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use conn::{Busy, Conn, Wire};
use futures_core::Stream;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// A body holds at most this much.
const LARGEST_BODY: usize = 256 * 1024;
/// A body comes whole in this time, or its client is told so.
const BODY_TIME: Duration = Duration::from_secs(10);
/// A head comes in this time, on a new connection or from its first byte on.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// A connection without a request is kept for this long.
const KEEP: Duration = Duration::from_secs(90);
/// How often a connection's head is looked at: the server library has a time-out for the first head only.
const LOOK: Duration = Duration::from_secs(2);
/// What a client sent and nobody read is taken for this long before its connection closes.
const LINGER: Duration = Duration::from_millis(500);

/// Why a request was turned down before the core heard of it.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Bad {
    /// No such path.
    #[error("no such path")]
    Path,
    /// Another method is wanted.
    #[error("wrong method")]
    Method,
    /// The body is too large.
    #[error("the body is larger than 256 KiB")]
    TooLarge,
    /// The body never came whole.
    #[error("the body did not come whole")]
    Incomplete,
    /// A field is missing or wrong.
    #[error("{0}")]
    Field(String),
    /// Its id is that of a request still open.
    #[error("a request with this id is open")]
    Twice,
}

impl Bad {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            Bad::Path => StatusCode::NOT_FOUND,
            Bad::Method => StatusCode::METHOD_NOT_ALLOWED,
            Bad::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Bad::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Bad::Field(_) => StatusCode::BAD_REQUEST,
            Bad::Twice => StatusCode::CONFLICT,
        }
    }
}

/// What all fronts share.
pub struct Shared {
    /// Where requests go.
    pub core: Rc<Core>,
    /// The program is about to end: answers close their connections.
    pub stopping: Cell<bool>,
    slots: Arc<Semaphore>,
    open: Rc<Cell<usize>>,
    stop: watch::Sender<bool>,
}

impl Shared {
    /// With so many client connections at most.
    pub fn new(core: Rc<Core>, most: usize) -> Rc<Self> {
        let slots = Arc::new(Semaphore::new(most));
        let stop = watch::Sender::new(false);
        Rc::new(Shared { core, stopping: Cell::new(false), slots, open: Rc::default(), stop })
    }

    /// No connection is accepted from now on, and those without a request are closed.
    pub fn drain(&self) {
        self.stop.send_replace(true);
    }

    /// Client connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// Serves one front until the program ends.
pub async fn serve<F, A>(listener: TcpListener, shared: Rc<Shared>, front: F)
where
    F: Fn(Rc<Shared>, Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let of = shared.clone();
    let stop = shared.stop.subscribe();
    let service = fn_service(move |request: Request| {
        let (shared, front) = (of.clone(), front.clone());
        async move {
            let mut response = front(shared.clone(), request).await;
            if shared.stopping.get() {
                response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let factory = HttpService::<Wire, _, BoxBody>::build()
        .keep_alive(KEEP)
        .client_request_timeout(HEAD_TIME)
        .client_disconnect_timeout(LINGER)
        // A client that closes its connection has gone away.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || {
            let mut stop = stop.clone();
            async move {
                let _ = stop.wait_for(|stop| *stop).await;
            }
        })
        .on_connect_ext(|wire: &Wire, data| {
            data.insert(wire.conn.clone());
        })
        .h1(service);
    let Ok(handler) = factory.new_service(()).await else {
        log!("front failed reason=no-service");
        return;
    };
    let mut stop = shared.stop.subscribe();
    loop {
        let slots = shared.slots.clone();
        let accepted = async {
            let slot = slots.acquire_owned().await;
            (slot, listener.accept().await)
        };
        let (slot, accepted) = tokio::select! {
            accepted = accepted => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let conn = Rc::<Conn>::default();
                let served = handler.call((Wire::new(stream, conn.clone()), Some(peer)));
                let shared = shared.clone();
                shared.open.set(shared.open.get() + 1);
                actix_rt::spawn(async move {
                    let mut served = std::pin::pin!(served);
                    let code = loop {
                        match actix_rt::time::timeout(LOOK, &mut served).await {
                            Ok(end) => break code(&end, &conn, shared.stopping.get()),
                            Err(_) if conn.head_time().is_some_and(|time| time > HEAD_TIME) => {
                                break "slow-head";
                            }
                            Err(_) => {}
                        }
                    };
                    shared.open.set(shared.open.get() - 1);
                    log!(
                        "connection peer=client address={peer} code={code} requests={}",
                        conn.requests.get()
                    );
                    drop(slot);
                });
            }
            Err(error) => {
                log!("accept failed error=\"{error}\"");
                // Out of descriptors, most likely: others must end first.
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// The reason why a connection ended, for the log.
fn code(end: &Result<(), DispatchError>, conn: &Conn, stopping: bool) -> &'static str {
    match end {
        Err(DispatchError::Body(_)) => "answer-broken",
        Err(DispatchError::Parse(_)) => "bad-head",
        Err(DispatchError::Io(_)) => "reset",
        Err(DispatchError::DisconnectTimeout) => "linger-timeout",
        Err(_) => "error",
        Ok(()) if conn.ended.get() => "client-closed",
        Ok(()) if stopping => "stopping",
        Ok(()) if conn.requests.get() == 0 => "no-request",
        Ok(()) => "closed",
    }
}

/// Reads a request's body, up to the limit.
pub async fn body(request: &mut Request) -> Result<Bytes, Bad> {
    let told = request.headers().get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if told.is_some_and(|told: usize| told > LARGEST_BODY) {
        return Err(Bad::TooLarge);
    }
    let mut payload = request.take_payload();
    let all = async {
        let mut body = Vec::with_capacity(told.unwrap_or(0));
        while let Some(piece) = poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await {
            let piece = piece.map_err(|_: PayloadError| Bad::Incomplete)?;
            if body.len() + piece.len() > LARGEST_BODY {
                return Err(Bad::TooLarge);
            }
            body.extend_from_slice(&piece);
        }
        Ok(Bytes::from(body))
    };
    actix_rt::time::timeout(BODY_TIME, all).await.unwrap_or(Err(Bad::Incomplete))
}

/// Notes a request on its connection, until its answer is out.
pub fn note(request: &Request) -> Option<Busy> {
    request.conn_data::<Rc<Conn>>().map(Conn::request)
}

/// Seconds as `Retry-After` tells them.
pub fn seconds(time: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())).ok()
}

/// An answer that streams: each piece goes out as it comes, and one that breaks off ends its connection
/// without a last chunk.
pub struct Answer<R> {
    end: ClientEnd,
    render: R,
    broken: bool,
    flushed: bool,
    _busy: Option<Busy>,
}

/// Turns pieces of a server's stream into what a front sends.
pub trait Render: Unpin + 'static {
    /// What to send for a piece; may be empty.
    fn piece(&mut self, piece: Bytes) -> Bytes;

    /// What to send when the answer breaks off; may be empty.
    fn broken(&mut self) -> Bytes {
        Bytes::new()
    }
}

impl<R: Render> Answer<R> {
    /// The body of an answer whose opening was a stream.
    pub fn new(end: ClientEnd, render: R, busy: Option<Busy>) -> Self {
        Answer { end, render, broken: false, flushed: false, _busy: busy }
    }
}

impl<R: Render> MessageBody for Answer<R> {
    type Error = Broken;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        let this = self.get_mut();
        while !this.broken {
            match this.end.poll_piece(cx) {
                Poll::Ready(Some(Ok(piece))) => {
                    let piece = this.render.piece(piece);
                    if !piece.is_empty() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                }
                Poll::Ready(Some(Err(Broken))) => {
                    // What came before must be written first: an error drops what waits in the buffer.
                    (this.broken, this.flushed) = (true, false);
                    let last = this.render.broken();
                    if !last.is_empty() {
                        return Poll::Ready(Some(Ok(last)));
                    }
                }
                other => return other,
            }
        }
        if this.flushed {
            return Poll::Ready(Some(Err(Broken)));
        }
        this.flushed = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// Whether the router could serve now.
fn health(shared: &Shared, request: &Request) -> Response<BoxBody> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return Response::new(Bad::Method.status());
    }
    let able = !shared.stopping.get() && shared.core.able();
    Response::new(if able { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
