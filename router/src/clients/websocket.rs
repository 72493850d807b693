//! The front of long-lived connections: checks an upgrade as RFC 6455 says, asks to be let in, and answers. What passes
//! afterwards is the relay's. No decision is taken here.

use super::conn::{Conn, Wire};
use super::{Shared, seconds};
use crate::config::websocket::{Route, WebSocket};
use crate::leg::Leg;
use crate::live::relay::{Relay, open_upstream};
use crate::live::{Live, Order, turned_name};
use crate::servers::upgrade::Ask;
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

/// Subprotocols that a client may name.
const MOST_PROTOCOLS: usize = 16;
/// Fields that go on to servers besides those whose names begin with `x-`.
const GO_ON: [HeaderName; 4] =
    [header::ORIGIN, header::COOKIE, header::USER_AGENT, HeaderName::from_static("last-event-id")];
/// An answer that refuses is taken in this time.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Why an upgrade is refused before anybody is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// No such path: 404.
    #[error("no such path")]
    Path,
    /// Not GET: 405.
    #[error("wrong method")]
    Method,
    /// It asks for no upgrade: 426.
    #[error("this address speaks WebSocket")]
    NoUpgrade,
    /// Another version than 13: 426.
    #[error("WebSocket version 13 is spoken here")]
    Version,
    /// A key that is none, or a field that cannot be read: 400.
    #[error("the upgrade cannot be read")]
    Unreadable,
    /// An origin that may not: 403.
    #[error("this origin may not")]
    Origin,
    /// No key, or one that is not known: 401.
    #[error("the key is missing or not known")]
    Key,
}

impl Bad {
    /// For the log and the figures.
    fn name(self) -> &'static str {
        match self {
            Bad::Path => "bad-path",
            Bad::Method => "bad-method",
            Bad::NoUpgrade => "no-upgrade",
            Bad::Version => "bad-version",
            Bad::Unreadable => "bad-upgrade",
            Bad::Origin => "bad-origin",
            Bad::Key => "bad-key",
        }
    }

    fn answer(self) -> Response<BoxBody> {
        let mut response = match self {
            Bad::Path => Response::build(StatusCode::NOT_FOUND),
            Bad::Method => with(StatusCode::METHOD_NOT_ALLOWED, header::ALLOW, "GET"),
            Bad::NoUpgrade => with(StatusCode::UPGRADE_REQUIRED, header::UPGRADE, "websocket"),
            Bad::Version => with(StatusCode::UPGRADE_REQUIRED, header::SEC_WEBSOCKET_VERSION, "13"),
            Bad::Unreadable => Response::build(StatusCode::BAD_REQUEST),
            Bad::Origin => Response::build(StatusCode::FORBIDDEN),
            Bad::Key => with(StatusCode::UNAUTHORIZED, header::WWW_AUTHENTICATE, "Bearer"),
        };
        response.force_close().body(format!("{self}\n")).map_into_boxed_body()
    }
}

fn with(status: StatusCode, name: HeaderName, value: &'static str) -> ResponseBuilder {
    let mut response = Response::build(status);
    response.insert_header((name, HeaderValue::from_static(value)));
    response
}

/// What a request that asks for no upgrade gets.
pub fn plain(request: &Request) -> Response<BoxBody> {
    match *request.method() {
        Method::GET => Bad::NoUpgrade.answer(),
        _ => Bad::Method.answer(),
    }
}

/// The only value of a field that may come once.
fn once<'h>(fields: &'h HeaderMap, name: &HeaderName) -> Result<Option<&'h str>, Bad> {
    let mut values = fields.get_all(name);
    let value = values.next();
    if values.next().is_some() {
        return Err(Bad::Unreadable);
    }
    value.map(|value| value.to_str().map_err(|_| Bad::Unreadable)).transpose()
}

/// The subprotocols named, each once and each a token.
fn protocols(fields: &HeaderMap) -> Result<Vec<String>, Bad> {
    let mut all: Vec<String> = Vec::new();
    for value in fields.get_all(header::SEC_WEBSOCKET_PROTOCOL) {
        for name in value.to_str().map_err(|_| Bad::Unreadable)?.split(',').map(str::trim) {
            let token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
            let fits = !name.is_empty() && name.len() <= 128 && name.bytes().all(token);
            if !fits || all.iter().any(|known| known == name) || all.len() >= MOST_PROTOCOLS {
                return Err(Bad::Unreadable);
            }
            all.push(name.to_owned());
        }
    }
    Ok(all)
}

/// Checks an upgrade; gives what its path stands for, whose it is and what servers are asked.
fn check(told: &WebSocket, request: &Request) -> Result<(Route, Option<TenantId>, Ask), Bad> {
    let (head, fields) = (request.head(), request.headers());
    if head.version != Version::HTTP_11 {
        return Err(Bad::Unreadable);
    }
    ws::verify_handshake(head).map_err(|error| match error {
        ws::HandshakeError::GetMethodRequired => Bad::Method,
        ws::HandshakeError::UnsupportedVersion | ws::HandshakeError::NoVersionHeader => Bad::Version,
        ws::HandshakeError::NoWebsocketUpgrade | ws::HandshakeError::NoConnectionUpgrade => Bad::NoUpgrade,
        ws::HandshakeError::BadWebsocketKey => Bad::Unreadable,
    })?;
    let route = told.routes.iter().find(|route| route.path == request.path()).ok_or(Bad::Path)?;
    let origin = once(fields, &header::ORIGIN)?.map(str::to_ascii_lowercase);
    // A client that names none is no browser: nobody's page speaks for it.
    if origin.is_some_and(|origin| !told.origins.is_empty() && !told.origins.contains(&origin)) {
        return Err(Bad::Origin);
    }
    let key = if told.keys.is_empty() { None } else { once(fields, &header::AUTHORIZATION)? };
    let tenant = super::holder(&told.keys, key).map_err(|_| Bad::Key)?;
    let goes_on = |name: &HeaderName| GO_ON.contains(name) || name.as_str().starts_with("x-");
    let on = fields.iter().filter(|(name, _)| goes_on(name));
    let ask = Ask {
        target: request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned(),
        protocols: protocols(fields)?,
        fields: on.map(|(name, value)| (name.clone(), value.clone())).collect(),
    };
    Ok((route.clone(), tenant, ask))
}

type Upgrade = Framed<Wire, h1::Codec>;

/// Writes an answer that refuses.
async fn refuse(mut wire: Upgrade, answer: Response<BoxBody>, conn: Option<&Rc<Conn>>) {
    let text = match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE => "come again later\n".to_owned(),
        status => format!("{}\n", status.canonical_reason().unwrap_or_default().to_ascii_lowercase()),
    };
    let head = answer.drop_body();
    let size = BodySize::Sized(text.len() as u64);
    let body = Some(Bytes::from(text));
    let wrote = Pin::new(&mut wire).write(h1::Message::Item((head, size))).is_ok()
        && Pin::new(&mut wire).write(h1::Message::Chunk(body)).is_ok();
    if wrote {
        let out = poll_fn(|cx| Pin::new(&mut wire).flush::<h1::Message<(Response<()>, BodySize)>>(cx));
        let _ = actix_rt::time::timeout(ANSWER_TIME, out).await;
    }
    if let Some(conn) = conn {
        conn.last();
    }
}

/// An answer with a time to come again.
fn later(status: StatusCode, again: Duration) -> Response<BoxBody> {
    let mut response = Response::build(status);
    if let Some(value) = seconds(again) {
        response.insert_header((header::RETRY_AFTER, value));
    }
    response.force_close().finish().map_into_boxed_body()
}

fn turned(why: Refusal, again: Duration) -> Response<BoxBody> {
    match why {
        Refusal::TenantLimit => later(StatusCode::TOO_MANY_REQUESTS, again),
        // It may have run: nothing says that it may be made again.
        Refusal::UpgradeFailed => {
            Response::build(StatusCode::BAD_GATEWAY).force_close().finish().map_into_boxed_body()
        }
        _ => later(StatusCode::SERVICE_UNAVAILABLE, again),
    }
}

/// The client's side, out of the server library's hands.
fn leg(wire: Upgrade, largest: usize) -> Leg {
    let parts = wire.into_parts();
    Leg::new(Box::new(parts.io), parts.read_buf, largest, true)
}

/// One connection, from its upgrade to its end.
pub async fn serve(live: Rc<Live>, shared: Rc<Shared>, connect: Duration, request: Request, wire: Upgrade) {
    let conn = request.conn_data::<Rc<Conn>>().cloned();
    let _busy = super::note(&request);
    if let Some(conn) = &conn {
        conn.take_due();
        conn.upgraded.set(true);
    }
    let told = live.told();
    let (route, tenant, ask) = match check(&told, &request) {
        Ok(checked) => checked,
        Err(bad) => {
            live.refused(bad.name());
            crate::log!("websocket refused path={:?} reason={}", request.path(), bad.name());
            return refuse(wire, bad.answer(), conn.as_ref()).await;
        }
    };
    let tenant_name = shared.core.tenant_name(tenant).to_owned();
    let turn_away = |name: &str, why: Refusal| {
        crate::log!("websocket refused id={name} tenant={tenant_name:?} reason={}", turned_name(why));
    };
    let mut member = match live.ask(tenant, route.safe) {
        Ok(member) => member,
        Err((why, again)) => {
            turn_away("-", why);
            return refuse(wire, turned(why, again), conn.as_ref()).await;
        }
    };
    let (name, ask) = (member.name(), Rc::new(ask));
    // The decisions say where to, and end it in time: every wait of theirs is bounded.
    let upstream = loop {
        match member.orders.recv().await {
            Some(Order::Try(server)) => {
                let label = server.label.clone();
                match Box::pin(open_upstream(&member, server, &ask, None, connect)).await {
                    Ok(upstream) => break Some((upstream, label)),
                    Err(error) => {
                        crate::log!("websocket attempt id={name} server={label} reason={}", error.reason);
                        if error.unusable {
                            member.turned("unusable");
                            let answer = Response::build(StatusCode::BAD_GATEWAY).force_close().finish();
                            return refuse(wire, answer.map_into_boxed_body(), conn.as_ref()).await;
                        }
                        member.tried(error.attempt);
                    }
                }
            }
            Some(Order::Turn(why, again)) => {
                turn_away(&name, why);
                member.turned(turned_name(why));
                return refuse(wire, turned(why, again), conn.as_ref()).await;
            }
            Some(Order::Close(_, again)) => {
                turn_away(&name, Refusal::Draining);
                member.turned(turned_name(Refusal::Draining));
                return refuse(wire, turned(Refusal::Draining, again), conn.as_ref()).await;
            }
            None => break None,
        }
    };
    let Some((upstream, label)) = upstream else { return };
    let mut wire = wire;
    let mut response = ws::handshake_response(request.head());
    if let Some(protocol) = &upstream.protocol {
        response.insert_header((header::SEC_WEBSOCKET_PROTOCOL, protocol.as_str()));
    }
    let head = response.finish().drop_body();
    let size = BodySize::None;
    let written = Pin::new(&mut wire).write(h1::Message::Item((head, size))).is_ok();
    let out = poll_fn(|cx| Pin::new(&mut wire).flush::<h1::Message<(Response<()>, BodySize)>>(cx));
    let out = written && matches!(actix_rt::time::timeout(ANSWER_TIME, out).await, Ok(Ok(())));
    member.tried(fawnstream_sessions::AttemptOutcome::Opened);
    if !out {
        crate::log!("websocket id={name} server={label} code=client-left");
        return member.turned("client-left");
    }
    member.opened();
    // What the upgrade needed goes now: the connection may stay for hours.
    let leg = leg(wire, told.limits.max_frame_bytes);
    drop((request, told));
    let class = shared.core.class_name(route.class).to_owned();
    Relay::new(member, leg, upstream, ask, connect, label).run(&class, &tenant_name).await;
}
