//! The platform's front: its protocol's heads and statuses, and nothing else.

use super::{
    Answer, Bad, Body, Conn, LARGEST_BODY, Render, Shared, body, check_length, health, idempotency_key, last,
    note, seconds, submit, untaken,
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

const CHAT: &str = "/v1/chat/completions";
const HEALTH: &str = "/healthz";
/// No client waits longer than this; a budget beyond it is a mistake.
const LONGEST_BUDGET: f64 = 3_600.0;
/// No prompt or answer has more tokens than this: a body is no larger, and a token is four characters. Guards the
/// gate, which would hold up all others until there is room for the impossible.
const MOST_TOKENS: f64 = (LARGEST_BODY / 4) as f64;
const LONGEST_ID: usize = 64;

/// A server's events pass unchanged.
struct Unchanged;

impl Render for Unchanged {
    fn piece(&mut self, piece: Bytes) -> Bytes {
        piece
    }
}

/// Answers one request.
pub async fn front(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let busy = note(&request);
    if request.path() == HEALTH {
        return health(&shared, &request);
    }
    let taken = async {
        if request.path() != CHAT {
            return Err(Bad::Path);
        }
        if request.method() != Method::POST {
            return Err(Bad::Method);
        }
        check_length(&request)?;
        // What the head gets wrong is told before the body has come: it may be long, or never come whole.
        let mut call = call(request.headers(), shared.core.names(), arrived)?;
        call.target = request.uri().path_and_query().map_or(CHAT, |target| target.as_str()).to_owned();
        let Body { bytes, held } = body(&shared, &mut request).await?;
        if serde_json::from_slice::<IgnoredAny>(&bytes).is_err() {
            return Err(Bad::Field("the body is no JSON".to_owned()));
        }
        call.body = bytes;
        call._reservation = Some(Box::new(held));
        submit(&shared, &request, call)
    };
    let mut end = match taken.await {
        Ok(end) => end,
        Err(bad) => {
            log!("request refused code={} reason=\"{bad}\"", bad.status().as_u16());
            let class = request
                .headers()
                .get("X-Call-Class")
                .and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
            untaken(
                &shared,
                &request,
                class.and_then(|name| class_id(shared.core.names(), name)),
                bad.status(),
            );
            let text = format!("{bad}\n");
            // Its client may go on as wrongly: it has to connect anew.
            last(&request);
            return Response::build(bad.status()).force_close().body(text).map_into_boxed_body();
        }
    };
    match end.opening().await {
        Opening::Stream => {
            if let Some(conn) = request.conn_data::<Rc<Conn>>().cloned() {
                end.on_detach_request(move |asked| conn.ask(asked));
            }
            Response::build(StatusCode::OK)
                .insert_header((CONTENT_TYPE, "text/event-stream"))
                .insert_header((CACHE_CONTROL, "no-cache"))
                .body(Answer::new(end, Unchanged, busy))
                .map_into_boxed_body()
        }
        Opening::Refused(after) => {
            let mut response = Response::new(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(after) = after.and_then(seconds) {
                response.headers_mut().insert(RETRY_AFTER, after);
            }
            response
        }
        Opening::Failed => Response::new(StatusCode::BAD_GATEWAY),
        Opening::Unusable => Response::build(Bad::Unusable.status())
            .force_close()
            .body(format!("{}\n", Bad::Unusable))
            .map_into_boxed_body(),
    }
}

/// The core's view of a request, from its head.
fn call(head: &HeaderMap, names: &Names, arrived: Instant) -> Result<Call, Bad> {
    // A field that comes twice may be read in two ways, and is wrong.
    let text = |name: &str| {
        let mut values = head.get_all(name);
        // Names are the customers' own, and may hold more than ASCII.
        match (values.next().map(|value| std::str::from_utf8(value.as_bytes())), values.next()) {
            (Some(Ok(text)), None) => Ok(text.trim()),
            (None, _) => Err(Bad::Field(format!("{name} is missing"))),
            _ => Err(wrong(name)),
        }
    };
    let label = text("X-Call-Id")?;
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if label.is_empty() || label.len() > LONGEST_ID || !label.chars().all(plain) {
        return Err(wrong("X-Call-Id"));
    }
    let class = text("X-Call-Class")?;
    let class = class_id(names, class).ok_or_else(|| wrong("X-Call-Class"))?;
    let tenant = if names.tenants.is_empty() {
        None
    } else {
        let name = text("X-Caller")?;
        Some(names.tenants.iter().position(|known| known == name).ok_or_else(|| wrong("X-Caller"))?)
    };
    let budget: f64 = text("X-Budget")?.parse().map_err(|_| wrong("X-Budget"))?;
    if !(budget > 0.0 && budget <= LONGEST_BUDGET) {
        return Err(wrong("X-Budget"));
    }
    let session = key(text("X-Route-Hash")?).ok_or_else(|| wrong("X-Route-Hash"))?;
    let (mut prefix, mut lengths) = (None, [None; 3]);
    for part in text("X-Call-Info")?.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').ok_or_else(|| wrong("X-Call-Info"))?;
        let place = match name.trim() {
            "prefix" => {
                prefix = Some(key(value.trim()).ok_or_else(|| wrong("X-Call-Info"))?);
                continue;
            }
            "prompt_len" => 0,
            "prefix_len" => 1,
            "max_out" => 2,
            _ => continue,
        };
        let tokens: f64 = value.trim().parse().map_err(|_| wrong("X-Call-Info"))?;
        if !(0.0..=MOST_TOKENS).contains(&tokens) || lengths[place].is_some() {
            return Err(wrong("X-Call-Info"));
        }
        lengths[place] = Some(tokens);
    }
    let [Some(prompt_len), prefix_len, Some(max_out)] = lengths else { return Err(wrong("X-Call-Info")) };
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

fn wrong(name: &str) -> Bad {
    Bad::Field(format!("{name} is wrong"))
}

/// A key is 16 hex digits; another plain word is a key too, by its hash.
fn key(text: &str) -> Option<Key> {
    match u64::from_str_radix(text, 16) {
        Ok(key) if text.len() == 16 => Some(Key(key)),
        _ if text.is_empty() || text.len() > LONGEST_ID => None,
        _ => Some(Key(names::hash(text))),
    }
}
