//! The OpenAI-style front end: parses chat requests, hands them to the core, and renders the outcome as streamed
//! events or as one JSON answer.

mod api;
mod render;

use super::{
    RequestError, RequestGuard, Shared, StreamedBody, count_unsubmitted, health, idempotency_key, read_body,
    submit, track_request,
};
use crate::config::openai::OpenAi;
use crate::exchange::{Call, ClientEnd, Opening};
use crate::log;
use crate::names;
use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpMessage as _, Method, Request, Response, ResponseBuilder, StatusCode};
use api::{ApiError, ChatRequest};
use render::{AnswerCollector, ChunkRenderer};
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const CHAT_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const HEALTH_PATH: &str = "/healthz";
/// Most bytes of a server's stream that are collected for an answer that is not streamed; a larger one fails.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The front end's settings and its source of ids.
pub struct Api {
    config: OpenAi,
    seed: u64,
    last_id: Cell<u64>,
}

impl Api {
    /// A front end. The seed and the clock keep its ids apart from those of other routers and of earlier processes.
    pub fn new(config: OpenAi, seed: u64) -> Rc<Self> {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Api { config, seed: seed ^ clock.as_nanos() as u64, last_id: Cell::new(0) })
    }

    fn next_id(&self) -> String {
        self.last_id.set(self.last_id.get() + 1);
        format!("{:016x}", names::hash(&format!("{:x}-{:x}", self.seed, self.last_id.get())))
    }
}

/// Answers one request.
pub async fn handle(api: Rc<Api>, shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let guard = track_request(&request);
    let path = request.path().to_owned();
    if path == HEALTH_PATH {
        return health(&shared, &request);
    }
    // The class follows from the model: a rejected request that names no known model is counted in no class.
    let mut class = None;
    let response = async {
        let tenant = api::tenant(&api.config, request.headers().get(AUTHORIZATION))?;
        let allowed = if path == CHAT_PATH { Method::POST } else { Method::GET };
        if path != CHAT_PATH && path != MODELS_PATH && !path.starts_with("/v1/models/") {
            return Err(RequestError::Path.into());
        }
        if *request.method() != allowed {
            return Err(RequestError::Method.into());
        }
        if path != CHAT_PATH {
            return Ok(json_response(
                StatusCode::OK,
                &api::models(&api.config, path.strip_prefix("/v1/models/"))?,
            ));
        }
        let body = read_body(&shared, &mut request).await?;
        let chat = ChatRequest::parse(&api.config, &body.bytes)
            .inspect_err(|_| class = api::class(&api.config, &body.bytes))?;
        let id = api.next_id();
        let idempotency_key = idempotency_key(request.headers())?;
        let call =
            Call { idempotency_key, ..chat.call(&api.config, tenant, id.clone(), arrived, body.reservation) };
        let end = submit(&shared, &request, call)?;
        Ok(answer(end, &chat, &id, guard).await)
    };
    let response = response.await;
    response.unwrap_or_else(|error: ApiError| {
        count_unsubmitted(&shared, &request, class, error.status);
        log!("request refused code={} reason={:?}", error.status.as_u16(), error.message);
        let mut response = Response::build(error.status);
        if error.close {
            response.force_close();
        }
        error_response(&error, &mut response)
    })
}

fn json_response(status: StatusCode, value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, "application/json")).body(value.to_string()).map_into_boxed_body()
}

fn error_response(error: &ApiError, response: &mut ResponseBuilder) -> Response<BoxBody> {
    let body = error.object().to_string();
    response.insert_header((CONTENT_TYPE, "application/json")).body(body).map_into_boxed_body()
}

/// Renders the outcome that the core decided on.
async fn answer(
    mut end: ClientEnd,
    chat: &ChatRequest,
    id: &str,
    guard: Option<RequestGuard>,
) -> Response<BoxBody> {
    let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let name = format!("chatcmpl-{id}");
    let failed = || {
        let error = ApiError::failed();
        // The usual client libraries retry a 5xx by themselves, but this request may have run already.
        error_response(&error, Response::build(error.status).insert_header(("x-should-retry", "false")))
    };
    match end.opening().await {
        Opening::Stream if chat.stream => Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .insert_header((CACHE_CONTROL, "no-cache"))
            .body(StreamedBody::new(end, ChunkRenderer::new(name, created, chat), guard))
            .map_into_boxed_body(),
        Opening::Stream => {
            let (mut collector, mut size) = (AnswerCollector::default(), 0);
            loop {
                match poll_fn(|cx| end.poll_chunk(cx)).await {
                    Some(Ok(piece)) => {
                        size += piece.len();
                        if size > MAX_ANSWER_BYTES {
                            return failed();
                        }
                        collector.add(&piece);
                    }
                    Some(Err(_)) => return failed(),
                    None => {
                        break json_response(StatusCode::OK, &collector.object(&name, created, &chat.model));
                    }
                }
            }
        }
        Opening::Refused(after) => {
            let error = ApiError::overloaded();
            let mut response = Response::build(error.status);
            if let Some(after) = after {
                let seconds = after.as_millis().div_ceil(1_000);
                response.insert_header((RETRY_AFTER, seconds.to_string()));
                response.insert_header(("retry-after-ms", after.as_millis().to_string()));
            }
            error_response(&error, &mut response)
        }
        Opening::Failed => failed(),
        Opening::Unusable => {
            let error = ApiError::from(RequestError::Unusable);
            error_response(&error, Response::build(error.status).force_close())
        }
    }
}

/// The error event for a stream that breaks off; the connection closes after it without a last chunk.
fn broken_event() -> String {
    format!("data: {}\n\n", ApiError::failed().object())
}

/// Parses the data of an event, if it is a JSON object.
fn parse_object(data: &[u8]) -> Option<serde_json::Map<String, Value>> {
    match serde_json::from_slice(data) {
        Ok(Value::Object(object)) => Some(object),
        _ => None,
    }
}

/// Adds the total to a server's usage, as clients expect it.
fn with_total(mut usage: Value) -> Value {
    let tokens = |usage: &Value, name: &str| usage.get(name).and_then(Value::as_u64);
    if let (Some(prompt), Some(completion)) =
        (tokens(&usage, "prompt_tokens"), tokens(&usage, "completion_tokens"))
    {
        usage["total_tokens"] = json!(prompt + completion);
    }
    usage
}
