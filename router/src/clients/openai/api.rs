//! The OpenAI-style API apart from answers: chat requests, models, keys and errors.

use super::super::{BodyReservation, RequestError};
use crate::config::openai::{Model, OpenAi};
use crate::exchange::Call;
use actix_http::StatusCode;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use shedrelay::{ClassId, Key, TenantId};
use std::time::Instant;

/// Characters per token, for estimating lengths in tokens.
const CHARS_PER_TOKEN: usize = 4;

/// An error of the API.
#[derive(Debug)]
pub struct ApiError {
    /// The HTTP status.
    pub status: StatusCode,
    /// The message for people.
    pub message: String,
    kind: &'static str,
    param: Option<&'static str>,
    code: Option<&'static str>,
    /// It was not a request of this API: the connection closes, and the client has to reconnect.
    pub close: bool,
}

impl ApiError {
    fn invalid(param: Option<&'static str>, message: impl Into<String>) -> Self {
        let kind = "invalid_request_error";
        ApiError {
            status: StatusCode::BAD_REQUEST,
            message: message.into(),
            kind,
            param,
            code: None,
            close: false,
        }
    }

    /// The servers cannot take the request now; a retry is safe.
    pub fn overloaded() -> Self {
        ApiError {
            status: StatusCode::SERVICE_UNAVAILABLE,
            message: "The servers are busy. The request did not run; it may be sent again.".to_owned(),
            kind: "server_error",
            param: None,
            code: Some("overloaded"),
            close: false,
        }
    }

    /// The request failed, and may have run.
    pub fn failed() -> Self {
        ApiError {
            status: StatusCode::BAD_GATEWAY,
            message: "The answer failed. The request may have run.".to_owned(),
            kind: "server_error",
            param: None,
            code: Some("failed"),
            close: false,
        }
    }

    /// The JSON error object.
    pub fn object(&self) -> Value {
        json!({"error": {"message": self.message, "type": self.kind, "param": self.param, "code": self.code}})
    }
}

impl From<RequestError> for ApiError {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::Draining => ApiError { close: true, ..ApiError::overloaded() },
            error => {
                ApiError { status: error.status(), close: true, ..ApiError::invalid(None, error.to_string()) }
            }
        }
    }
}

/// The tenant to which an `Authorization` field belongs; none if no keys are configured.
pub fn tenant(config: &OpenAi, authorization: Option<&HeaderValue>) -> Result<Option<TenantId>, ApiError> {
    let authorization = authorization.and_then(|value| value.to_str().ok());
    super::super::tenant_of_key(&config.keys, authorization).map_err(|_| ApiError {
        status: StatusCode::UNAUTHORIZED,
        code: Some("invalid_api_key"),
        ..ApiError::invalid(None, "The key is missing or not known.")
    })
}

fn unknown_model(name: &str) -> ApiError {
    ApiError {
        status: StatusCode::NOT_FOUND,
        code: Some("model_not_found"),
        ..ApiError::invalid(Some("model"), format!("The model `{name}` does not exist."))
    }
}

/// The list of models, or the model with this name.
pub fn models(config: &OpenAi, name: Option<&str>) -> Result<Value, ApiError> {
    let object =
        |model: &Model| json!({"id": model.name, "object": "model", "created": 0, "owned_by": "fawnstream"});
    match name {
        None => {
            let all: Vec<Value> = config.models.iter().map(object).collect();
            Ok(json!({"object": "list", "data": all}))
        }
        Some(name) => config
            .models
            .iter()
            .find(|model| model.name == name)
            .map(object)
            .ok_or_else(|| unknown_model(name)),
    }
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A chat request.
pub struct ChatRequest {
    /// The model's name.
    pub model: String,
    /// The client asks for streamed events rather than one JSON answer.
    pub stream: bool,
    /// The client asks for the usage in the stream.
    pub include_usage: bool,
    model_index: usize,
    max_tokens: f64,
    /// Hash of the messages up to the first one of the user.
    session: Key,
    /// Hash of the first message.
    prefix: Key,
    /// Estimated length of the first message in tokens.
    prefix_len: f64,
    /// Estimated length of all messages in tokens.
    prompt_len: f64,
    /// The body for the servers, which always asks for a stream with usage.
    body: Bytes,
}

/// The class of an invalid request, if it names a known model.
pub fn class(config: &OpenAi, body: &[u8]) -> Option<ClassId> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let name = body.get("model")?.as_str()?;
    config.models.iter().find(|model| model.name == name).map(|model| model.class)
}

impl ChatRequest {
    /// Parses a request's body.
    pub fn parse(config: &OpenAi, body: &[u8]) -> Result<Self, ApiError> {
        let invalid = |param, message: &str| ApiError::invalid(param, message);
        let mut object: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| invalid(None, &format!("The body is not a JSON object: {error}")))?;
        let Some(Value::String(model)) = object.get("model") else {
            return Err(invalid(Some("model"), "`model` must be a string."));
        };
        let model = model.clone();
        let model_index = config.models.iter().position(|known| known.name == model);
        let model_index = model_index.ok_or_else(|| unknown_model(&model))?;
        let stream = match object.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid(Some("stream"), "`stream` must be true or false.")),
        };
        let options = match object.get("stream_options") {
            None | Some(Value::Null) => StreamOptions::default(),
            Some(_) if !stream => {
                return Err(invalid(Some("stream_options"), "`stream_options` goes with `stream`."));
            }
            Some(options) => StreamOptions::deserialize(options)
                .map_err(|_| invalid(Some("stream_options"), "`stream_options` is wrong."))?,
        };
        if object.get("n").is_some_and(|n| !n.is_null() && n.as_u64() != Some(1)) {
            return Err(invalid(Some("n"), "Only one choice is made: `n` must be 1."));
        }
        let mut max_tokens = f64::from(config.models[model_index].max_tokens);
        for name in ["max_tokens", "max_completion_tokens"] {
            match object.get(name) {
                None | Some(Value::Null) => {}
                Some(value) => match value.as_u64().filter(|tokens| (1..=1_000_000).contains(tokens)) {
                    Some(tokens) => max_tokens = tokens as f64,
                    None => return Err(invalid(Some(name), &format!("`{name}` must be a positive number."))),
                },
            }
        }
        let Some(Value::Array(messages)) = object.get("messages") else {
            return Err(invalid(Some("messages"), "`messages` must be an array."));
        };
        let mut start = Vec::new();
        let (mut chars, mut first, mut in_start) = (0, None, true);
        for message in messages {
            let Some(role) = message.get("role").and_then(Value::as_str) else {
                return Err(invalid(Some("messages"), "Each message must have a `role`."));
            };
            chars += content_chars(message.get("content")).ok_or_else(|| {
                invalid(Some("messages"), "`content` must be text, an array of parts, or null.")
            })?;
            if in_start {
                start.extend_from_slice(message.to_string().as_bytes());
                first.get_or_insert((hash(&start), chars));
                // The messages up to the first one of the user identify the conversation.
                in_start = role != "user";
            }
        }
        let Some((prefix, prefix_chars)) = first else {
            return Err(invalid(Some("messages"), "`messages` must not be empty."));
        };
        object.insert("stream".to_owned(), json!(true));
        object.insert("stream_options".to_owned(), json!({"include_usage": true}));
        let tokens = |chars: usize| chars.div_ceil(CHARS_PER_TOKEN) as f64;
        Ok(ChatRequest {
            stream,
            include_usage: options.include_usage,
            model_index,
            max_tokens,
            session: hash(&start),
            prefix,
            prefix_len: tokens(prefix_chars),
            prompt_len: tokens(chars).max(1.0),
            body: Bytes::from(Value::Object(object).to_string()),
            model,
        })
    }

    /// The call for the core.
    pub fn call(
        &self,
        config: &OpenAi,
        tenant: Option<TenantId>,
        label: String,
        arrived: Instant,
        reservation: BodyReservation,
    ) -> Call {
        let model = &config.models[self.model_index];
        Call {
            label,
            session: Some(self.session),
            prefix: Some(self.prefix),
            prefix_len: self.prefix_len,
            prompt_len: self.prompt_len,
            max_out: self.max_tokens,
            class: model.class,
            tenant: tenant.or(model.tenant),
            arrived,
            budget: model.deadline,
            idempotency_key: None,
            target: super::CHAT_PATH.to_owned(),
            body: self.body.clone(),
            _reservation: Some(Box::new(reservation)),
        }
    }
}

fn hash(text: &[u8]) -> Key {
    Key(crate::names::hash_bytes(text))
}

/// The number of characters in a message's content; none if it is neither text, an array of parts nor null.
fn content_chars(content: Option<&Value>) -> Option<usize> {
    let chars = |text: &str| text.chars().count();
    match content {
        None | Some(Value::Null) => Some(0),
        Some(Value::String(text)) => Some(chars(text)),
        Some(Value::Array(parts)) => {
            let mut total = 0;
            for part in parts {
                let text = part.as_object()?.get("text").and_then(Value::as_str);
                total += text.map_or(0, chars);
            }
            Some(total)
        }
        Some(_) => None,
    }
}
