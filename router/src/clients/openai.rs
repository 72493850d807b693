//! The OpenAI-style front: chat requests in, streamed events or a whole answer out. It parses, hands over and
//! renders the outcome; the core decides.

mod api;
mod render;

use super::{Answer, Bad, Busy, Shared, body, health, idempotency_key, note, submit, untaken};
use crate::config::openai::OpenAi;
use crate::exchange::{Call, ClientEnd, Opening};
use crate::log;
use crate::names;
use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpMessage as _, Method, Request, Response, ResponseBuilder, StatusCode};
use api::{Chat, Refusal};
use render::{Chunks, Whole};
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const CHAT: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
const HEALTH: &str = "/healthz";
/// A whole answer is gathered up to this size; one that grows past it has failed.
const LARGEST_ANSWER: usize = 4 * 1024 * 1024;

/// The front's settings and its source of ids.
pub struct Api {
    told: OpenAi,
    seed: u64,
    last: Cell<u64>,
}

impl Api {
    /// A front; the seed keeps ids apart from those of other routers and earlier lives.
    pub fn new(told: OpenAi, seed: u64) -> Rc<Self> {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Api { told, seed: seed ^ clock.as_nanos() as u64, last: Cell::new(0) })
    }

    fn id(&self) -> String {
        self.last.set(self.last.get() + 1);
        format!("{:016x}", names::hash(&format!("{:x}-{:x}", self.seed, self.last.get())))
    }
}

/// Answers one request.
pub async fn front(api: Rc<Api>, shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let busy = note(&request);
    let path = request.path().to_owned();
    if path == HEALTH {
        return health(&shared, &request);
    }
    // A model stands for a class: a request that names none is counted nowhere.
    let mut class = None;
    let answered = async {
        let tenant = api::tenant(&api.told, request.headers().get(AUTHORIZATION))?;
        let wanted = if path == CHAT { Method::POST } else { Method::GET };
        if path != CHAT && path != MODELS && !path.starts_with("/v1/models/") {
            return Err(Bad::Path.into());
        }
        if *request.method() != wanted {
            return Err(Bad::Method.into());
        }
        if path != CHAT {
            return Ok(json_response(
                StatusCode::OK,
                &api::models(&api.told, path.strip_prefix("/v1/models/"))?,
            ));
        }
        let body = body(&shared, &mut request).await?;
        let chat = Chat::parse(&api.told, &body.bytes)
            .inspect_err(|_| class = api::class(&api.told, &body.bytes))?;
        let id = api.id();
        let idempotency_key = idempotency_key(request.headers())?;
        let call = Call { idempotency_key, ..chat.call(&api.told, tenant, id.clone(), arrived, body.held) };
        let end = submit(&shared, &request, call)?;
        Ok(answer(end, &chat, &id, busy).await)
    };
    let answered = answered.await;
    answered.unwrap_or_else(|refusal: Refusal| {
        untaken(&shared, &request, class, refusal.status);
        log!("request refused code={} reason={:?}", refusal.status.as_u16(), refusal.message);
        let mut response = Response::build(refusal.status);
        if refusal.close {
            response.force_close();
        }
        refusal_response(&refusal, &mut response)
    })
}

fn json_response(status: StatusCode, value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, "application/json")).body(value.to_string()).map_into_boxed_body()
}

fn refusal_response(refusal: &Refusal, response: &mut ResponseBuilder) -> Response<BoxBody> {
    let body = refusal.object().to_string();
    response.insert_header((CONTENT_TYPE, "application/json")).body(body).map_into_boxed_body()
}

/// Renders the outcome that the core decided on.
async fn answer(mut end: ClientEnd, chat: &Chat, id: &str, busy: Option<Busy>) -> Response<BoxBody> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let name = format!("chatcmpl-{id}");
    let failed = || {
        let refusal = Refusal::failed();
        // The usual client libraries ask again after a 5xx of themselves; this may have run already.
        refusal_response(&refusal, Response::build(refusal.status).insert_header(("x-should-retry", "false")))
    };
    match end.opening().await {
        Opening::Stream if chat.stream => Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header((CACHE_CONTROL, "no-cache"))
            .body(Answer::new(end, Chunks::new(name, unix, chat), busy))
            .map_into_boxed_body(),
        Opening::Stream => {
            let (mut whole, mut size) = (Whole::default(), 0);
            loop {
                match poll_fn(|cx| end.poll_chunk(cx)).await {
                    Some(Ok(piece)) => {
                        size += piece.len();
                        if size > LARGEST_ANSWER {
                            return failed();
                        }
                        whole.piece(&piece);
                    }
                    Some(Err(_)) => return failed(),
                    None => break json_response(StatusCode::OK, &whole.object(&name, unix, &chat.model)),
                }
            }
        }
        Opening::Refused(after) => {
            let refusal = Refusal::busy();
            let mut response = Response::build(refusal.status);
            if let Some(after) = after {
                let whole = after.as_millis().div_ceil(1_000);
                response.insert_header((RETRY_AFTER, whole.to_string()));
                response.insert_header(("retry-after-ms", after.as_millis().to_string()));
            }
            refusal_response(&refusal, &mut response)
        }
        Opening::Failed => failed(),
        Opening::Unusable => {
            let refusal = Refusal::from(Bad::Unusable);
            refusal_response(&refusal, Response::build(refusal.status).force_close())
        }
    }
}

/// An error event for a stream that breaks off; the connection ends after it without a last chunk.
fn broken_event() -> String {
    format!("data: {}\n\n", Refusal::failed().object())
}

/// The object that clients get for a piece of JSON text, if it is one.
fn object(data: &[u8]) -> Option<serde_json::Map<String, Value>> {
    match serde_json::from_slice(data) {
        Ok(Value::Object(object)) => Some(object),
        _ => None,
    }
}

/// Usage as clients know it: with its total.
fn usage(mut usage: Value) -> Value {
    let tokens = |usage: &Value, name: &str| usage.get(name).and_then(Value::as_u64);
    if let (Some(read), Some(made)) = (tokens(&usage, "prompt_tokens"), tokens(&usage, "completion_tokens")) {
        usage["total_tokens"] = json!(read + made);
    }
    usage
}
