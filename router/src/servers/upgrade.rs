//! The WebSocket upgrade to a server, done by awc, and what its failure proves about the attempt.

use crate::config::websocket::Limits;
use crate::core::Server;
use crate::websocket_stream::WebSocketStream;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, SEC_WEBSOCKET_PROTOCOL};
use awc::error::{SendRequestError, WsClientError};
use fawnstream_sessions::AttemptOutcome;
use std::rc::Rc;
use std::time::Duration;

/// Tells a new server after which message to resume.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What a client asked for, as each of its servers receives it.
pub struct UpgradeRequest {
    /// Path and query.
    pub target: String,
    /// Subprotocols, in the client's order.
    pub protocols: Vec<String>,
    /// Other headers that are forwarded.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// An upgraded connection to a server.
pub struct Upstream {
    /// Its frames.
    pub stream: WebSocketStream,
    /// The subprotocol that the server chose.
    pub protocol: Option<String>,
}

/// Why an upgrade failed.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct UpgradeError {
    /// Whether the server may have begun the session.
    pub outcome: AttemptOutcome,
    /// For the log.
    pub reason: &'static str,
    /// No other server would accept the request either.
    pub unusable: bool,
}

fn failed(outcome: AttemptOutcome, reason: &'static str) -> UpgradeError {
    UpgradeError { outcome, reason, unusable: false }
}

fn upgrade_error(error: WsClientError) -> UpgradeError {
    match error {
        WsClientError::InvalidResponseStatus(status) => match status.as_u16() {
            // A server sends these before it begins anything.
            429 | 503 => failed(AttemptOutcome::NotRun, "turned-away"),
            400..=499 => UpgradeError { unusable: true, ..failed(AttemptOutcome::NotRun, "unusable") },
            _ => failed(AttemptOutcome::MayHaveRun, "error"),
        },
        WsClientError::SendRequest(SendRequestError::Connect(_)) => {
            failed(AttemptOutcome::NotRun, "no-connection")
        }
        WsClientError::SendRequest(SendRequestError::Timeout) => {
            failed(AttemptOutcome::MayHaveRun, "upgrade-timeout")
        }
        WsClientError::SendRequest(_) => failed(AttemptOutcome::MayHaveRun, "reset"),
        _ => failed(AttemptOutcome::MayHaveRun, "bad-upgrade"),
    }
}

/// The subprotocol in the server's answer; an error if the client did not offer it.
fn chosen_protocol(request: &UpgradeRequest, headers: &HeaderMap) -> Result<Option<String>, UpgradeError> {
    let Some(value) = headers.get(SEC_WEBSOCKET_PROTOCOL) else { return Ok(None) };
    let known = value.to_str().ok().filter(|value| request.protocols.iter().any(|offered| offered == value));
    known
        .map(|value| Some(value.to_owned()))
        .ok_or_else(|| failed(AttemptOutcome::MayHaveRun, "bad-protocol"))
}

/// Opens a connection and upgrades it. `last_id` is the message after which the server resumes.
pub async fn open(
    server: Rc<Server>,
    request: Rc<UpgradeRequest>,
    last_id: Option<String>,
    connect_timeout: Duration,
    limits: Limits,
) -> Result<Upstream, UpgradeError> {
    let connector = awc::Connector::new().timeout(connect_timeout).limit(1);
    let client = awc::Client::builder()
        .connector(connector)
        .timeout(connect_timeout + limits.upgrade_timeout)
        .max_http_version(awc::http::Version::HTTP_11)
        .disable_redirects()
        .no_default_headers()
        .finish();
    let mut upgrade = client
        .ws(format!("ws://{}{}", server.address, request.target))
        .address(server.address)
        .max_frame_size(limits.max_frame_bytes);
    if !request.protocols.is_empty() {
        upgrade = upgrade.protocols(&request.protocols);
    }
    for (name, value) in &request.headers {
        upgrade = upgrade.header(name.clone(), value.clone());
    }
    if let Some(id) = last_id {
        upgrade = upgrade.set_header(LAST_EVENT_ID, id);
    }
    let (answer, framed) = upgrade.connect().await.map_err(upgrade_error)?;
    let protocol = chosen_protocol(&request, answer.headers())?;
    if answer.headers().contains_key("sec-websocket-extensions") {
        // The router offers no extension, and could not read the frames of one.
        return Err(failed(AttemptOutcome::MayHaveRun, "bad-extension"));
    }
    let parts = framed.into_parts();
    let stream = WebSocketStream::new(Box::new(parts.io), parts.read_buf, limits.max_frame_bytes, false);
    Ok(Upstream { stream, protocol })
}
