//! The client side: the listener and the front ends. They parse requests, hand them to the core and render answers;
//! they take no decisions.

pub mod accept_error;
mod conn;
mod listener;
pub mod openai;
pub mod platform;
pub mod resumed_answer;
pub mod websocket;

use crate::core::NotSubmitted;
use crate::exchange::{Call, ClientEnd, Exchange, IncompleteAnswer};
use crate::headers::IDEMPOTENCY_KEY;
use crate::lifecycle::Phase;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use conn::{Conn, REQUEST_TIMEOUT, RequestGuard};
use futures_core::Stream;
pub use listener::{ACCEPT_AFTER_STOP, ACCEPT_BACKLOG, BodyReservation, Shared, serve, serve_upgrades};
use shedrelay::{ClassId, TenantId};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Largest body of a request.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Why a request was rejected before it reached the core, or by the core.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The path is unknown.
    #[error("no such path")]
    Path,
    /// The path does not support the method.
    #[error("wrong method")]
    Method,
    /// The body is too large.
    #[error("the body is larger than 256 KiB")]
    TooLarge,
    /// The body's chunked encoding is invalid.
    #[error("the body cannot be read")]
    Unreadable,
    /// The body was not received whole.
    #[error("the body did not come whole")]
    Incomplete,
    /// A field of the head or the body is missing or invalid; the text is for the client.
    #[error("{0}")]
    Field(String),
    /// The bodies of other requests take up all the memory for bodies.
    #[error("too many large requests at once")]
    BodyMemoryFull,
    /// No server can use it.
    #[error("no server can use this request")]
    Unusable,
    /// A request with the same id is still open.
    #[error("a request with this id is open")]
    DuplicateId,
    /// The client closed the connection just as the request was complete.
    #[error("the client left")]
    ClientLeft,
    /// It follows an answer that announced the close of the connection.
    #[error("the connection ended with the answer before")]
    AfterClose,
    /// It was complete too long after the start of a drain or a stop.
    #[error("the router takes no more requests")]
    Draining,
}

impl RequestError {
    /// The HTTP status of its answer.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Path => StatusCode::NOT_FOUND,
            RequestError::Method => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Incomplete | RequestError::ClientLeft => StatusCode::REQUEST_TIMEOUT,
            RequestError::Field(_) | RequestError::Unusable | RequestError::Unreadable => {
                StatusCode::BAD_REQUEST
            }
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::BodyMemoryFull | RequestError::AfterClose | RequestError::Draining => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// Counts a request that ended before it reached the core.
pub fn count_unsubmitted(shared: &Shared, request: &Request, class: Option<ClassId>, status: StatusCode) {
    let client_closed = || request.conn_data::<Rc<Conn>>().is_some_and(|conn| conn.client_closed.get());
    let how = match status {
        StatusCode::SERVICE_UNAVAILABLE => NotSubmitted::Refused,
        StatusCode::REQUEST_TIMEOUT if client_closed() => NotSubmitted::Left,
        _ => NotSubmitted::Failed,
    };
    shared.core.count_not_submitted(class, how);
}

/// Makes the answer to this request the last one on its connection.
pub fn set_last_answer(request: &Request) {
    if let Some(conn) = request.conn_data::<Rc<Conn>>() {
        conn.set_last_answer();
    }
}

/// Rejects a request whose `Content-Length` exceeds the limit.
pub fn check_content_length(request: &Request) -> Result<(), RequestError> {
    let length = request.headers().get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: u64| length > MAX_BODY_BYTES as u64) {
        Err(RequestError::TooLarge)
    } else {
        Ok(())
    }
}

/// Reads a request's body, up to the limit and before the request's deadline.
pub async fn read_body(shared: &Shared, request: &mut Request) -> Result<Body, RequestError> {
    check_content_length(request)?;
    let conn = request.conn_data::<Rc<Conn>>().cloned();
    let due = conn.as_ref().and_then(|conn| conn.take_request_due());
    let mut reservation = shared.reserve_body();
    let mut payload = request.take_payload();
    let read_all = async {
        let mut body = Vec::new();
        while let Some(piece) = poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await {
            // The server library reports an invalid chunked encoding and a closed connection as the same error.
            let client_closed = || conn.as_ref().is_some_and(|conn| conn.client_closed.get());
            let piece = piece.map_err(|_: PayloadError| match client_closed() {
                true => RequestError::Incomplete,
                false => RequestError::Unreadable,
            })?;
            if body.len() + piece.len() > MAX_BODY_BYTES {
                return Err(RequestError::TooLarge);
            }
            if !reservation.grow(piece.len()) {
                return Err(RequestError::BodyMemoryFull);
            }
            body.extend_from_slice(&piece);
        }
        Ok(Bytes::from(body))
    };
    let due = due.unwrap_or_else(|| Instant::now() + REQUEST_TIMEOUT);
    let bytes =
        tokio::time::timeout_at(due.into(), read_all).await.unwrap_or(Err(RequestError::Incomplete))?;
    if let Some(conn) = conn {
        conn.set_body_complete();
    }
    Ok(Body { bytes, reservation })
}

/// The idempotency key, by which servers recognise a repeat of a request. It is passed on unchanged.
pub fn idempotency_key(head: &HeaderMap) -> Result<Option<Bytes>, RequestError> {
    let mut values = head.get_all(IDEMPOTENCY_KEY);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => Ok(Some(Bytes::copy_from_slice(value.as_bytes()))),
        _ => Err(RequestError::Field(format!("{IDEMPOTENCY_KEY} is wrong"))),
    }
}

/// Hands a request to the core, unless its client has left or sends it again elsewhere, or it comes too late. A request's
/// last bytes and the close of its connection may arrive together. After an answer that announced the close, the server
/// library still processes requests that it has read behind it, while the client sends them again on another connection.
/// What is complete long after SIGTERM is refused, not begun: its answer might be cut by SIGKILL.
pub fn submit(shared: &Shared, request: &Request, call: Call) -> Result<ClientEnd, RequestError> {
    let conn = request.conn_data::<Rc<Conn>>();
    if conn.is_some_and(|conn| conn.client_closed.get()) {
        return Err(RequestError::ClientLeft);
    }
    if conn.is_some_and(|conn| conn.close_announced.get()) {
        return Err(RequestError::AfterClose);
    }
    if !shared.lifecycle.takes_requests() {
        return Err(RequestError::Draining);
    }
    shared.core.submit(Exchange::new(call)).ok_or(RequestError::DuplicateId)
}

/// A request's body, and its share of the memory for bodies.
pub struct Body {
    /// The body.
    pub bytes: Bytes,
    /// To be kept as long as the request.
    pub reservation: BodyReservation,
}

/// The key is missing or unknown.
#[derive(Debug)]
pub struct InvalidKey;

/// The tenant to which the key in an `Authorization` field belongs; none if no keys are configured.
pub fn tenant_of_key(
    keys: &[(String, TenantId)],
    field: Option<&str>,
) -> Result<Option<TenantId>, InvalidKey> {
    if keys.is_empty() {
        return Ok(None);
    }
    let key = field.and_then(|text| text.strip_prefix("Bearer "));
    let found = key.and_then(|key| keys.iter().find(|(known, _)| known == key.trim()));
    found.map(|(_, tenant)| Some(*tenant)).ok_or(InvalidKey)
}

/// Registers a request on its connection until the guard is dropped, at the end of its answer.
pub fn track_request(request: &Request) -> Option<RequestGuard> {
    request.conn_data::<Rc<Conn>>().map(Conn::start_request)
}

/// The value of a `Retry-After` field, in seconds.
pub fn retry_after_value(delay: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())).ok()
}

/// The body of a streamed answer. Each piece is sent as it arrives; an answer that breaks off ends its connection
/// without a last chunk.
pub struct StreamedBody<R> {
    end: ClientEnd,
    renderer: R,
    broken: bool,
    /// One pending poll after the break has let the server library write the earlier pieces.
    flushed: bool,
    _guard: Option<RequestGuard>,
}

/// Turns pieces of a server's stream into what a front end sends.
pub trait Render: Unpin + 'static {
    /// What to send for a piece; may be empty.
    fn render(&mut self, piece: Bytes) -> Bytes;

    /// What to send when the answer breaks off; may be empty.
    fn render_broken(&mut self) -> Bytes {
        Bytes::new()
    }
}

impl<R: Render> StreamedBody<R> {
    /// The body of an answer whose opening was a stream.
    pub fn new(end: ClientEnd, renderer: R, guard: Option<RequestGuard>) -> Self {
        StreamedBody { end, renderer, broken: false, flushed: false, _guard: guard }
    }
}

impl<R: Render> MessageBody for StreamedBody<R> {
    type Error = IncompleteAnswer;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteAnswer>>> {
        let this = self.get_mut();
        while !this.broken {
            match this.end.poll_chunk(cx) {
                Poll::Ready(Some(Ok(piece))) => {
                    let piece = this.renderer.render(piece);
                    if !piece.is_empty() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                }
                Poll::Ready(Some(Err(IncompleteAnswer))) => {
                    // Earlier pieces must be written first: an error discards the server library's write buffer.
                    (this.broken, this.flushed) = (true, false);
                    let last = this.renderer.render_broken();
                    if !last.is_empty() {
                        return Poll::Ready(Some(Ok(last)));
                    }
                }
                other => return other,
            }
        }
        if this.flushed {
            return Poll::Ready(Some(Err(IncompleteAnswer)));
        }
        this.flushed = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// The answer to a health check: whether the router can serve requests now.
fn health(shared: &Shared, request: &Request) -> Response<BoxBody> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return Response::new(RequestError::Method.status());
    }
    // Once this process stops, the address of an inherited socket belongs to the next process. A refusal on a
    // connection that is still open here would count against both.
    let takes_clients = match shared.lifecycle.phase() {
        Phase::Stopping => shared.inherited,
        phase => phase.accepts_clients(),
    };
    let healthy = takes_clients && shared.core.can_serve();
    Response::new(if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
