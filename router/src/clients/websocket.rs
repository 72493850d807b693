//! The front end of long-lived connections: checks an upgrade by RFC 6455, asks for admission, and answers. An
//! upgraded connection goes to the relay. Takes no decisions.

use super::conn::{ClientStream, Conn};
use super::{Shared, retry_after_value};
use crate::config::websocket::{Route, WebSocket};
use crate::live::relay::{Relay, open_upstream};
use crate::live::{ConnectionHandle, LiveConnections, RelayCommand, refusal_name};
use crate::servers::upgrade::UpgradeRequest;
use crate::websocket_stream::WebSocketStream;
use actix_codec::Framed;
use actix_http::body::{BodySize, BoxBody};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, Method, Request, Response, ResponseBuilder, StatusCode, Version, h1, ws};
use bytes::Bytes;
use fawnstream_sessions::Refusal;
use shedrelay::TenantId;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Most subprotocols that a client may name.
const MAX_PROTOCOLS: usize = 16;
/// Header fields that are forwarded to servers, besides those whose names begin with `x-`.
const FORWARDED_FIELDS: [HeaderName; 4] =
    [header::ORIGIN, header::COOKIE, header::USER_AGENT, HeaderName::from_static("last-event-id")];
/// Time limit for writing the answer to an upgrade.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an upgrade is rejected before it asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpgradeRejection {
    /// The path is unknown: 404.
    #[error("no such path")]
    Path,
    /// The method is not GET: 405.
    #[error("wrong method")]
    Method,
    /// The request asks for no WebSocket upgrade: 426.
    #[error("this address speaks WebSocket")]
    NoUpgrade,
    /// The version is missing or not 13: 426.
    #[error("WebSocket version 13 is spoken here")]
    Version,
    /// The request is not HTTP/1.1, or its WebSocket key or another field is invalid: 400.
    #[error("the upgrade cannot be read")]
    Unreadable,
    /// The origin is not allowed: 403.
    #[error("this origin may not")]
    Origin,
    /// The API key is missing or unknown: 401.
    #[error("the key is missing or not known")]
    Key,
}

impl UpgradeRejection {
    /// The name in the log and the metrics.
    fn name(self) -> &'static str {
        match self {
            UpgradeRejection::Path => "bad-path",
            UpgradeRejection::Method => "bad-method",
            UpgradeRejection::NoUpgrade => "no-upgrade",
            UpgradeRejection::Version => "bad-version",
            UpgradeRejection::Unreadable => "bad-upgrade",
            UpgradeRejection::Origin => "bad-origin",
            UpgradeRejection::Key => "bad-key",
        }
    }

    fn answer(self) -> Response<BoxBody> {
        let mut response = match self {
            UpgradeRejection::Path => Response::build(StatusCode::NOT_FOUND),
            UpgradeRejection::Method => response_with(StatusCode::METHOD_NOT_ALLOWED, header::ALLOW, "GET"),
            UpgradeRejection::NoUpgrade => {
                response_with(StatusCode::UPGRADE_REQUIRED, header::UPGRADE, "websocket")
            }
            UpgradeRejection::Version => {
                response_with(StatusCode::UPGRADE_REQUIRED, header::SEC_WEBSOCKET_VERSION, "13")
            }
            UpgradeRejection::Unreadable => Response::build(StatusCode::BAD_REQUEST),
            UpgradeRejection::Origin => Response::build(StatusCode::FORBIDDEN),
            UpgradeRejection::Key => {
                response_with(StatusCode::UNAUTHORIZED, header::WWW_AUTHENTICATE, "Bearer")
            }
        };
        response.force_close().body(format!("{self}\n")).map_into_boxed_body()
    }
}

fn response_with(status: StatusCode, name: HeaderName, value: &'static str) -> ResponseBuilder {
    let mut response = Response::build(status);
    response.insert_header((name, HeaderValue::from_static(value)));
    response
}

/// Rejects a request that asks for no upgrade.
pub fn reject_plain(request: &Request) -> Response<BoxBody> {
    match *request.method() {
        Method::GET => UpgradeRejection::NoUpgrade.answer(),
        _ => UpgradeRejection::Method.answer(),
    }
}

/// The value of a field that may occur only once.
fn single_value<'h>(fields: &'h HeaderMap, name: &HeaderName) -> Result<Option<&'h str>, UpgradeRejection> {
    let mut values = fields.get_all(name);
    let value = values.next();
    if values.next().is_some() {
        return Err(UpgradeRejection::Unreadable);
    }
    value.map(|value| value.to_str().map_err(|_| UpgradeRejection::Unreadable)).transpose()
}

/// The subprotocols that the client names. Each must be a token and occur only once.
fn parse_protocols(fields: &HeaderMap) -> Result<Vec<String>, UpgradeRejection> {
    let mut protocols: Vec<String> = Vec::new();
    for value in fields.get_all(header::SEC_WEBSOCKET_PROTOCOL) {
        for name in value.to_str().map_err(|_| UpgradeRejection::Unreadable)?.split(',').map(str::trim) {
            let token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
            let valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(token_byte);
            if !valid || protocols.iter().any(|known| known == name) || protocols.len() >= MAX_PROTOCOLS {
                return Err(UpgradeRejection::Unreadable);
            }
            protocols.push(name.to_owned());
        }
    }
    Ok(protocols)
}

/// Checks an upgrade; returns the route of its path, its tenant and the upgrade to ask servers for.
fn check_upgrade(
    config: &WebSocket,
    request: &Request,
) -> Result<(Route, Option<TenantId>, UpgradeRequest), UpgradeRejection> {
    let (head, fields) = (request.head(), request.headers());
    if head.version != Version::HTTP_11 {
        return Err(UpgradeRejection::Unreadable);
    }
    ws::verify_handshake(head).map_err(|error| match error {
        ws::HandshakeError::GetMethodRequired => UpgradeRejection::Method,
        ws::HandshakeError::UnsupportedVersion | ws::HandshakeError::NoVersionHeader => {
            UpgradeRejection::Version
        }
        ws::HandshakeError::NoWebsocketUpgrade | ws::HandshakeError::NoConnectionUpgrade => {
            UpgradeRejection::NoUpgrade
        }
        ws::HandshakeError::BadWebsocketKey => UpgradeRejection::Unreadable,
    })?;
    let route =
        config.routes.iter().find(|route| route.path == request.path()).ok_or(UpgradeRejection::Path)?;
    let origin = single_value(fields, &header::ORIGIN)?.map(str::to_ascii_lowercase);
    // A client without an origin is not a browser, so no web page acts on its behalf.
    if origin.is_some_and(|origin| !config.origins.is_empty() && !config.origins.contains(&origin)) {
        return Err(UpgradeRejection::Origin);
    }
    let key = if config.keys.is_empty() { None } else { single_value(fields, &header::AUTHORIZATION)? };
    let tenant = super::tenant_of_key(&config.keys, key).map_err(|_| UpgradeRejection::Key)?;
    let is_forwarded = |name: &HeaderName| FORWARDED_FIELDS.contains(name) || name.as_str().starts_with("x-");
    let forwarded = fields.iter().filter(|(name, _)| is_forwarded(name));
    let ask = UpgradeRequest {
        target: request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned(),
        protocols: parse_protocols(fields)?,
        headers: forwarded.map(|(name, value)| (name.clone(), value.clone())).collect(),
    };
    Ok((route.clone(), tenant, ask))
}

type FramedClient = Framed<ClientStream, h1::Codec>;

/// Writes a refusal. Its body is a text by its status.
async fn refuse(mut framed: FramedClient, answer: Response<BoxBody>, conn: Option<&Rc<Conn>>) {
    let text = match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE => "come again later\n".to_owned(),
        status => format!("{}\n", status.canonical_reason().unwrap_or_default().to_ascii_lowercase()),
    };
    let head = answer.drop_body();
    let size = BodySize::Sized(text.len() as u64);
    let body = Some(Bytes::from(text));
    let written = Pin::new(&mut framed).write(h1::Message::Item((head, size))).is_ok()
        && Pin::new(&mut framed).write(h1::Message::Chunk(body)).is_ok();
    if written {
        let flush = poll_fn(|cx| Pin::new(&mut framed).flush::<h1::Message<(Response<()>, BodySize)>>(cx));
        let _ = actix_rt::time::timeout(ANSWER_TIMEOUT, flush).await;
    }
    if let Some(conn) = conn {
        conn.set_last_answer();
    }
}

/// A refusal that tells the client when to retry.
fn retry_later(status: StatusCode, delay: Duration) -> Response<BoxBody> {
    let mut response = Response::build(status);
    if let Some(value) = retry_after_value(delay) {
        response.insert_header((header::RETRY_AFTER, value));
    }
    response.force_close().finish().map_into_boxed_body()
}

fn refusal_response(reason: Refusal, delay: Duration) -> Response<BoxBody> {
    match reason {
        Refusal::TenantLimit => retry_later(StatusCode::TOO_MANY_REQUESTS, delay),
        // The upgrade may have run, so the client is not told to retry.
        Refusal::UpgradeFailed => {
            Response::build(StatusCode::BAD_GATEWAY).force_close().finish().map_into_boxed_body()
        }
        _ => retry_later(StatusCode::SERVICE_UNAVAILABLE, delay),
    }
}

/// Takes the client's stream from the server library.
fn client_leg(framed: FramedClient, max_frame: usize) -> WebSocketStream {
    let parts = framed.into_parts();
    WebSocketStream::new(Box::new(parts.io), parts.read_buf, max_frame, true)
}

/// Waits until a client that waits for its upgrade closes its connection.
async fn client_closed(framed: &mut FramedClient) {
    poll_fn(|cx| framed.io_mut().poll_closed(cx)).await;
}

/// Ends an upgrade whose client has gone: its place in the queue or its attempt ends with its handle.
fn client_left(member: &ConnectionHandle, name: &str, conn: Option<&Rc<Conn>>) {
    if let Some(conn) = conn {
        conn.client_closed.set(true);
    }
    crate::log!("websocket refused id={name} reason=client-left");
    member.refused("client-left");
}

/// Serves one connection from its upgrade to its end.
pub async fn serve(
    live: Rc<LiveConnections>,
    shared: Rc<Shared>,
    connect: Duration,
    request: Request,
    framed: FramedClient,
) {
    let conn = request.conn_data::<Rc<Conn>>().cloned();
    let _guard = super::track_request(&request);
    if let Some(conn) = &conn {
        conn.take_request_due();
        conn.upgraded.set(true);
    }
    let config = live.settings();
    let (route, tenant, ask) = match check_upgrade(&config, &request) {
        Ok(checked) => checked,
        Err(error) => {
            live.count_refused(error.name());
            crate::log!("websocket refused path={:?} reason={}", request.path(), error.name());
            return refuse(framed, error.answer(), conn.as_ref()).await;
        }
    };
    let tenant_name = shared.core.tenant_name(tenant).to_owned();
    let log_refusal = |name: &str, reason: Refusal| {
        crate::log!("websocket refused id={name} tenant={tenant_name:?} reason={}", refusal_name(reason));
    };
    let mut member = match live.enqueue(tenant, route.safe) {
        Ok(member) => member,
        Err((reason, delay)) => {
            log_refusal("-", reason);
            return refuse(framed, refusal_response(reason, delay), conn.as_ref()).await;
        }
    };
    let (name, ask) = (member.name(), Rc::new(ask));
    let mut framed = framed;
    // The session decisions choose the servers to try, and bound every wait.
    let upstream = loop {
        let command = tokio::select! {
            biased;
            // Asked first, so that no attempt begins for a client that has gone.
            () = client_closed(&mut framed) => return client_left(&member, &name, conn.as_ref()),
            command = member.commands.recv() => command,
        };
        match command {
            Some(RelayCommand::OpenUpstream(server)) => {
                let label = server.label.clone();
                let opened = tokio::select! {
                    biased;
                    () = client_closed(&mut framed) => return client_left(&member, &name, conn.as_ref()),
                    opened = Box::pin(open_upstream(&member, server, &ask, None, connect)) => opened,
                };
                match opened {
                    Ok(upstream) => break Some((upstream, label)),
                    Err(error) => {
                        crate::log!("websocket attempt id={name} server={label} reason={}", error.reason);
                        if error.unusable {
                            member.refused("unusable");
                            let answer = Response::build(StatusCode::BAD_GATEWAY).force_close().finish();
                            return refuse(framed, answer.map_into_boxed_body(), conn.as_ref()).await;
                        }
                        member.attempt_ended(error.outcome);
                    }
                }
            }
            Some(RelayCommand::Refuse(reason, delay)) => {
                log_refusal(&name, reason);
                member.refused(refusal_name(reason));
                return refuse(framed, refusal_response(reason, delay), conn.as_ref()).await;
            }
            Some(RelayCommand::Close(_, delay)) => {
                log_refusal(&name, Refusal::Draining);
                member.refused(refusal_name(Refusal::Draining));
                return refuse(framed, refusal_response(Refusal::Draining, delay), conn.as_ref()).await;
            }
            None => break None,
        }
    };
    let Some((upstream, label)) = upstream else { return };
    let mut response = ws::handshake_response(request.head());
    if let Some(protocol) = &upstream.protocol {
        response.insert_header((header::SEC_WEBSOCKET_PROTOCOL, protocol.as_str()));
    }
    let head = response.finish().drop_body();
    let size = BodySize::None;
    let written = Pin::new(&mut framed).write(h1::Message::Item((head, size))).is_ok();
    let flush = poll_fn(|cx| Pin::new(&mut framed).flush::<h1::Message<(Response<()>, BodySize)>>(cx));
    let flushed = written && matches!(actix_rt::time::timeout(ANSWER_TIMEOUT, flush).await, Ok(Ok(())));
    member.attempt_ended(fawnstream_sessions::AttemptOutcome::Opened);
    if !flushed {
        crate::log!("websocket id={name} server={label} code=client-left");
        return member.refused("client-left");
    }
    member.opened();
    // Frees what only the upgrade needed: the connection may stay open for hours.
    let leg = client_leg(framed, config.limits.max_frame_bytes);
    drop((request, config));
    let class = shared.core.class_name(route.class).to_owned();
    Relay::new(member, leg, upstream, ask, connect, label).run(&class, &tenant_name).await;
}
