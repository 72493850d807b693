//! The front end of the platform's protocol: parses its header fields and answers with its statuses.

use super::{
    Body, Conn, MAX_BODY_BYTES, Render, RequestError, Shared, StreamedBody, check_content_length,
    count_unsubmitted, health, idempotency_key, read_body, retry_after_value, set_last_answer, submit,
    track_request,
};
use crate::exchange::{Call, Opening};
use crate::log;
use crate::names;
use actix_http::body::BoxBody;
use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::de::IgnoredAny;
use shedrelay::{ClassId, Key, TenantId};
use shedrelay_settings::Names;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CHAT_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";
/// Largest budget of a request, in seconds; no client waits longer.
const MAX_BUDGET_S: f64 = 3_600.0;
/// Largest number of tokens of a prompt or an answer: the size limit of a body, at four characters a token. A request
/// that needs more room than there can be would block the queue for all others.
const MAX_TOKENS: f64 = (MAX_BODY_BYTES / 4) as f64;
/// Longest request id, and longest key that is not 16 hex digits.
const MAX_ID_BYTES: usize = 64;

/// Passes a server's events on unchanged.
struct PassThrough;

impl Render for PassThrough {
    fn render(&mut self, piece: Bytes) -> Bytes {
        piece
    }
}

/// Answers one request.
pub async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let guard = track_request(&request);
    if request.path() == HEALTH_PATH {
        return health(&shared, &request);
    }
    let submitted = async {
        if request.path() != CHAT_PATH {
            return Err(RequestError::Path);
        }
        if request.method() != Method::POST {
            return Err(RequestError::Method);
        }
        check_content_length(&request)?;
        // Errors in the head are reported before the body is read: it may be long, or never arrive whole.
        let mut call = parse_call(request.headers(), shared.core.names(), arrived)?;
        call.target = request.uri().path_and_query().map_or(CHAT_PATH, |target| target.as_str()).to_owned();
        let Body { bytes, reservation } = read_body(&shared, &mut request).await?;
        if serde_json::from_slice::<IgnoredAny>(&bytes).is_err() {
            return Err(RequestError::Field("the body is no JSON".to_owned()));
        }
        call.body = bytes;
        call._reservation = Some(Box::new(reservation));
        submit(&shared, &request, call)
    };
    let mut end = match submitted.await {
        Ok(end) => end,
        Err(error) => {
            log!("request refused code={} reason=\"{error}\"", error.status().as_u16());
            let class = request
                .headers()
                .get("X-Call-Class")
                .and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
            count_unsubmitted(
                &shared,
                &request,
                class.and_then(|name| class_id(shared.core.names(), name)),
                error.status(),
            );
            let text = format!("{error}\n");
            // The client may go on sending invalid data: it has to reconnect.
            set_last_answer(&request);
            return Response::build(error.status()).force_close().body(text).map_into_boxed_body();
        }
    };
    match end.opening().await {
        Opening::Stream => {
            if let Some(conn) = request.conn_data::<Rc<Conn>>().cloned() {
                end.on_detach_request(move |surrender| conn.ask_to_surrender(surrender));
            }
            Response::build(StatusCode::OK)
                .insert_header((CONTENT_TYPE, "text/event-stream"))
                .insert_header((CACHE_CONTROL, "no-cache"))
                .body(StreamedBody::new(end, PassThrough, guard))
                .map_into_boxed_body()
        }
        Opening::Refused(after) => {
            let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(after) = after.and_then(retry_after_value) {
                response.headers_mut().insert(RETRY_AFTER, after);
            }
            response
        }
        Opening::Failed => Response::new(StatusCode::BAD_GATEWAY),
        Opening::Unusable => Response::build(RequestError::Unusable.status())
            .force_close()
            .body(format!("{}\n", RequestError::Unusable))
            .map_into_boxed_body(),
    }
}

/// Parses a request's head into a call for the core.
fn parse_call(head: &HeaderMap, names: &Names, arrived: Instant) -> Result<Call, RequestError> {
    // A field that occurs twice is ambiguous, and so invalid.
    let text = |name: &str| {
        let mut values = head.get_all(name);
        // Tenants choose their own names, which may contain more than ASCII.
        match (values.next().map(|value| std::str::from_utf8(value.as_bytes())), values.next()) {
            (Some(Ok(text)), None) => Ok(text.trim()),
            (None, _) => Err(RequestError::Field(format!("{name} is missing"))),
            _ => Err(invalid(name)),
        }
    };
    let label = text("X-Call-Id")?;
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if label.is_empty() || label.len() > MAX_ID_BYTES || !label.chars().all(allowed) {
        return Err(invalid("X-Call-Id"));
    }
    let class = text("X-Call-Class")?;
    let class = class_id(names, class).ok_or_else(|| invalid("X-Call-Class"))?;
    let tenant = if names.tenants.is_empty() {
        None
    } else {
        let name = text("X-Caller")?;
        Some(names.tenants.iter().position(|known| known == name).ok_or_else(|| invalid("X-Caller"))?)
    };
    let budget: f64 = text("X-Budget")?.parse().map_err(|_| invalid("X-Budget"))?;
    if !(budget > 0.0 && budget <= MAX_BUDGET_S) {
        return Err(invalid("X-Budget"));
    }
    let session = parse_key(text("X-Route-Hash")?).ok_or_else(|| invalid("X-Route-Hash"))?;
    let (mut prefix, mut lengths) = (None, [None; 3]);
    for part in text("X-Call-Info")?.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').ok_or_else(|| invalid("X-Call-Info"))?;
        let index = match name.trim() {
            "prefix" => {
                prefix = Some(parse_key(value.trim()).ok_or_else(|| invalid("X-Call-Info"))?);
                continue;
            }
            "prompt_len" => 0,
            "prefix_len" => 1,
            "max_out" => 2,
            _ => continue,
        };
        let tokens: f64 = value.trim().parse().map_err(|_| invalid("X-Call-Info"))?;
        if !(0.0..=MAX_TOKENS).contains(&tokens) || lengths[index].is_some() {
            return Err(invalid("X-Call-Info"));
        }
        lengths[index] = Some(tokens);
    }
    let [Some(prompt_len), prefix_len, Some(max_out)] = lengths else { return Err(invalid("X-Call-Info")) };
    Ok(Call {
        label: label.to_owned(),
        session: Some(session),
        prefix: prefix.filter(|prefix| prefix.0 != 0),
        prefix_len: prefix_len.unwrap_or(0.0).min(prompt_len),
        prompt_len,
        max_out,
        class,
        tenant: tenant.map(TenantId),
        arrived,
        budget: Duration::from_secs_f64(budget),
        idempotency_key: idempotency_key(head)?,
        target: String::new(),
        body: Bytes::new(),
        _reservation: None,
    })
}

fn class_id(names: &Names, name: &str) -> Option<ClassId> {
    names.classes.iter().position(|known| known == name.trim()).map(ClassId)
}

fn invalid(name: &str) -> RequestError {
    RequestError::Field(format!("{name} is wrong"))
}

/// Parses a key of 16 hex digits; any other text of 1 to 64 bytes becomes a key by its hash.
fn parse_key(text: &str) -> Option<Key> {
    match u64::from_str_radix(text, 16) {
        Ok(key) if text.len() == 16 => Some(Key(key)),
        _ if text.is_empty() || text.len() > MAX_ID_BYTES => None,
        _ => Some(Key(names::hash(text))),
    }
}
