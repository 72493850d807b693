//! Clients: the server on which they call, and the fronts that speak to them. Parses, hands over and renders;
//! no decision is taken here.

pub mod accept_error;
pub mod carried;
mod conn;
mod listener;
pub mod openai;
pub mod platform;
pub mod websocket;

use crate::core::Untaken;
use crate::exchange::{Broken, Call, ClientEnd, Exchange};
use crate::headers::IDEMPOTENCY_KEY;
use crate::lifecycle::Phase;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use conn::{Busy, Conn, REQUEST_TIME};
use futures_core::Stream;
pub use listener::{Held, STILL_OPEN, Shared, serve, serve_upgrades};
use shedrelay::{ClassId, TenantId};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A body holds at most this much.
const LARGEST_BODY: usize = 256 * 1024;
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
    /// The body's chunks are none.
    #[error("the body cannot be read")]
    Unreadable,
    /// The body never came whole.
    #[error("the body did not come whole")]
    Incomplete,
    /// A field is missing or wrong.
    #[error("{0}")]
    Field(String),
    /// The bodies of other requests take all the room there is.
    #[error("too many large requests at once")]
    Crowded,
    /// No server can use it.
    #[error("no server can use this request")]
    Unusable,
    /// Its id is that of a request still open.
    #[error("a request with this id is open")]
    Twice,
    /// Its client closed the connection in the moment in which it had come whole.
    #[error("the client left")]
    Gone,
    /// It stands behind an answer that ends the connection.
    #[error("the connection ended with the answer before")]
    Behind,
}

impl Bad {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            Bad::Path => StatusCode::NOT_FOUND,
            Bad::Method => StatusCode::METHOD_NOT_ALLOWED,
            Bad::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Bad::Incomplete | Bad::Gone => StatusCode::REQUEST_TIMEOUT,
            Bad::Field(_) | Bad::Unusable | Bad::Unreadable => StatusCode::BAD_REQUEST,
            Bad::Twice => StatusCode::CONFLICT,
            Bad::Crowded | Bad::Behind => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A request ended before the core heard of it: it is counted all the same, once.
pub fn untaken(shared: &Shared, request: &Request, class: Option<ClassId>, status: StatusCode) {
    let gone = || request.conn_data::<Rc<Conn>>().is_some_and(|conn| conn.ended.get());
    let how = match status {
        StatusCode::SERVICE_UNAVAILABLE => Untaken::Refused,
        StatusCode::REQUEST_TIMEOUT if gone() => Untaken::Left,
        _ => Untaken::Failed,
    };
    shared.core.untaken(class, how);
}

/// The answer to this request is the last one on its connection.
pub fn last(request: &Request) {
    if let Some(conn) = request.conn_data::<Rc<Conn>>() {
        conn.last();
    }
}

/// Whether a request tells a length that no body may have.
pub fn check_length(request: &Request) -> Result<(), Bad> {
    let told = request.headers().get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if told.is_some_and(|told: u64| told > LARGEST_BODY as u64) { Err(Bad::TooLarge) } else { Ok(()) }
}

/// Reads a request's body, up to the limit and within the time that is left to its client.
pub async fn body(shared: &Shared, request: &mut Request) -> Result<Body, Bad> {
    check_length(request)?;
    let conn = request.conn_data::<Rc<Conn>>().cloned();
    let due = conn.as_ref().and_then(|conn| conn.take_due());
    let mut held = shared.hold();
    let mut payload = request.take_payload();
    let all = async {
        let mut body = Vec::new();
        while let Some(piece) = poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await {
            // The server library calls both by one name: chunks that are none, and a client that has gone.
            let gone = || conn.as_ref().is_some_and(|conn| conn.ended.get());
            let piece = piece.map_err(|_: PayloadError| match gone() {
                true => Bad::Incomplete,
                false => Bad::Unreadable,
            })?;
            if body.len() + piece.len() > LARGEST_BODY {
                return Err(Bad::TooLarge);
            }
            if !held.add(piece.len()) {
                return Err(Bad::Crowded);
            }
            body.extend_from_slice(&piece);
        }
        Ok(Bytes::from(body))
    };
    let due = due.unwrap_or_else(|| Instant::now() + REQUEST_TIME);
    let bytes = tokio::time::timeout_at(due.into(), all).await.unwrap_or(Err(Bad::Incomplete))?;
    if let Some(conn) = conn {
        conn.whole();
    }
    Ok(Body { bytes, held })
}

/// By what servers know a repeat of a request: it passes unchanged, as the request does.
pub fn idempotency_key(head: &HeaderMap) -> Result<Option<Bytes>, Bad> {
    let mut values = head.get_all(IDEMPOTENCY_KEY);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => Ok(Some(Bytes::copy_from_slice(value.as_bytes()))),
        _ => Err(Bad::Field(format!("{IDEMPOTENCY_KEY} is wrong"))),
    }
}

/// Hands a request to the core. Guards against one that begins although its client has gone, its last bytes and the
/// close having come together; and against one that its client sends again, since the answer before said that the
/// connection ends: the server library goes on with what it has read behind it.
pub fn submit(shared: &Shared, request: &Request, call: Call) -> Result<ClientEnd, Bad> {
    let conn = request.conn_data::<Rc<Conn>>();
    if conn.is_some_and(|conn| conn.ended.get()) {
        return Err(Bad::Gone);
    }
    if conn.is_some_and(|conn| conn.said_close.get()) {
        return Err(Bad::Behind);
    }
    shared.core.submit(Exchange::new(call)).ok_or(Bad::Twice)
}

/// A request's body, and its part of the memory that bodies may take.
pub struct Body {
    /// What came.
    pub bytes: Bytes,
    /// Goes with the request.
    pub held: Held,
}

/// The key is missing or not known.
#[derive(Debug)]
pub struct NoKey;

/// Whose key an `Authorization` field holds; nobody's where no keys are told.
pub fn holder(keys: &[(String, TenantId)], field: Option<&str>) -> Result<Option<TenantId>, NoKey> {
    if keys.is_empty() {
        return Ok(None);
    }
    let key = field.and_then(|text| text.strip_prefix("Bearer "));
    let found = key.and_then(|key| keys.iter().find(|(known, _)| known == key.trim()));
    found.map(|(_, tenant)| Some(*tenant)).ok_or(NoKey)
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
    // On an inherited socket the address is the next process's as soon as this one stops: a no from here, on a
    // connection that is still open, would speak for both.
    let takes = match shared.life.phase() {
        Phase::Stopping => shared.inherited,
        phase => phase.accepts_clients(),
    };
    let able = takes && shared.core.able();
    Response::new(if able { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
