//! Long-lived connections to servers: the upgrade, by awc, and how it ended as far as that can be known.

use crate::config::websocket::Limits;
use crate::core::Server;
use crate::leg::Leg;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, SEC_WEBSOCKET_PROTOCOL};
use awc::error::{SendRequestError, WsClientError};
use fawnstream_sessions::AttemptOutcome;
use std::rc::Rc;
use std::time::Duration;

/// What a new server is told behind which message it goes on.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What a client asked for, as each of its servers hears it.
pub struct Ask {
    /// Path and query.
    pub target: String,
    /// Subprotocols, in the client's order.
    pub protocols: Vec<String>,
    /// Other fields that go on.
    pub fields: Vec<(HeaderName, HeaderValue)>,
}

/// A server's side of a connection.
pub struct Upstream {
    /// Its frames.
    pub leg: Leg,
    /// The subprotocol that it chose.
    pub protocol: Option<String>,
}

/// Why there is none.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct Refused {
    /// What may have run.
    pub attempt: AttemptOutcome,
    /// For the log.
    pub reason: &'static str,
    /// No other server would take it either.
    pub unusable: bool,
}

fn refused(attempt: AttemptOutcome, reason: &'static str) -> Refused {
    Refused { attempt, reason, unusable: false }
}

fn refusal(error: WsClientError) -> Refused {
    match error {
        WsClientError::InvalidResponseStatus(status) => match status.as_u16() {
            // Said before anything of it ran.
            429 | 503 => refused(AttemptOutcome::NotRun, "turned-away"),
            400..=499 => Refused { unusable: true, ..refused(AttemptOutcome::NotRun, "unusable") },
            _ => refused(AttemptOutcome::MayHaveRun, "error"),
        },
        WsClientError::SendRequest(SendRequestError::Connect(_)) => {
            refused(AttemptOutcome::NotRun, "no-connection")
        }
        WsClientError::SendRequest(SendRequestError::Timeout) => {
            refused(AttemptOutcome::MayHaveRun, "upgrade-timeout")
        }
        WsClientError::SendRequest(_) => refused(AttemptOutcome::MayHaveRun, "reset"),
        _ => refused(AttemptOutcome::MayHaveRun, "bad-upgrade"),
    }
}

/// The subprotocol of an answer: one of those that were asked for.
fn chosen(ask: &Ask, fields: &HeaderMap) -> Result<Option<String>, Refused> {
    let Some(value) = fields.get(SEC_WEBSOCKET_PROTOCOL) else { return Ok(None) };
    let known = value.to_str().ok().filter(|value| ask.protocols.iter().any(|asked| asked == value));
    known
        .map(|value| Some(value.to_owned()))
        .ok_or_else(|| refused(AttemptOutcome::MayHaveRun, "bad-protocol"))
}

/// Opens a connection and upgrades it; `last_id`: the message behind which the server goes on.
pub async fn open(
    server: Rc<Server>,
    ask: Rc<Ask>,
    last_id: Option<String>,
    connect: Duration,
    limits: Limits,
) -> Result<Upstream, Refused> {
    let connector = awc::Connector::new().timeout(connect).limit(1);
    let client = awc::Client::builder()
        .connector(connector)
        .timeout(connect + limits.upgrade_timeout)
        .max_http_version(awc::http::Version::HTTP_11)
        .disable_redirects()
        .no_default_headers()
        .finish();
    let mut request = client
        .ws(format!("ws://{}{}", server.address, ask.target))
        .address(server.address)
        .max_frame_size(limits.max_frame_bytes);
    if !ask.protocols.is_empty() {
        request = request.protocols(&ask.protocols);
    }
    for (name, value) in &ask.fields {
        request = request.header(name.clone(), value.clone());
    }
    if let Some(id) = last_id {
        request = request.set_header(LAST_EVENT_ID, id);
    }
    let (answer, framed) = request.connect().await.map_err(refusal)?;
    let protocol = chosen(&ask, answer.headers())?;
    if answer.headers().contains_key("sec-websocket-extensions") {
        // None was asked for: its frames could not be read.
        return Err(refused(AttemptOutcome::MayHaveRun, "bad-extension"));
    }
    let parts = framed.into_parts();
    let leg = Leg::new(Box::new(parts.io), parts.read_buf, limits.max_frame_bytes, false);
    Ok(Upstream { leg, protocol })
}
