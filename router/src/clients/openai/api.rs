//! What clients of the OpenAI-style API say and are told, apart from answers.

use super::super::{Bad, Held};
use crate::config::openai::{Model, OpenAi};
use crate::exchange::Call;
use actix_http::StatusCode;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use shedrelay::{ClassId, Key, TenantId};
use std::time::Instant;

/// A token is so many characters.
const CHARS_A_TOKEN: usize = 4;

/// An error as the API words it.
#[derive(Debug)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// For people.
    pub message: String,
    kind: &'static str,
    param: Option<&'static str>,
    code: Option<&'static str>,
    /// What came was no request of this API at all: its client has to connect anew.
    pub close: bool,
}

impl Refusal {
    fn invalid(param: Option<&'static str>, message: impl Into<String>) -> Self {
        let kind = "invalid_request_error";
        Refusal {
            status: StatusCode::BAD_REQUEST,
            message: message.into(),
            kind,
            param,
            code: None,
            close: false,
        }
    }

    /// The servers cannot take it now; trying again is harmless.
    pub fn busy() -> Self {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            message: "The servers are busy. The request did not run; it may be sent again.".to_owned(),
            kind: "server_error",
            param: None,
            code: Some("overloaded"),
            close: false,
        }
    }

    /// It failed, with no word on its effect.
    pub fn failed() -> Self {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            message: "The answer failed. The request may have run.".to_owned(),
            kind: "server_error",
            param: None,
            code: Some("failed"),
            close: false,
        }
    }

    /// The error object.
    pub fn object(&self) -> Value {
        json!({"error": {"message": self.message, "type": self.kind, "param": self.param, "code": self.code}})
    }
}

impl From<Bad> for Refusal {
    fn from(bad: Bad) -> Self {
        Refusal { status: bad.status(), close: true, ..Refusal::invalid(None, bad.to_string()) }
    }
}

/// Whose key this is; none where the file names no keys.
pub fn tenant(told: &OpenAi, key: Option<&HeaderValue>) -> Result<Option<TenantId>, Refusal> {
    let key = key.and_then(|value| value.to_str().ok());
    super::super::holder(&told.keys, key).map_err(|_| Refusal {
        status: StatusCode::UNAUTHORIZED,
        code: Some("invalid_api_key"),
        ..Refusal::invalid(None, "The key is missing or not known.")
    })
}

fn no_model(name: &str) -> Refusal {
    Refusal {
        status: StatusCode::NOT_FOUND,
        code: Some("model_not_found"),
        ..Refusal::invalid(Some("model"), format!("The model `{name}` does not exist."))
    }
}

/// The list of models, or one of them.
pub fn models(told: &OpenAi, one: Option<&str>) -> Result<Value, Refusal> {
    let object =
        |model: &Model| json!({"id": model.name, "object": "model", "created": 0, "owned_by": "fawnstream"});
    match one {
        None => {
            let all: Vec<Value> = told.models.iter().map(object).collect();
            Ok(json!({"object": "list", "data": all}))
        }
        Some(name) => {
            told.models.iter().find(|model| model.name == name).map(object).ok_or_else(|| no_model(name))
        }
    }
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A chat request.
pub struct Chat {
    /// The model's name.
    pub model: String,
    /// Events are wanted, not a whole answer.
    pub stream: bool,
    /// An event with the usage is wanted.
    pub usage: bool,
    place: usize,
    max_out: f64,
    /// The conversation's start and its first message, as hashes; lengths in tokens.
    session: Key,
    prefix: Key,
    prefix_len: f64,
    prompt_len: f64,
    body: Bytes,
}

/// The class of a request that is wrong, if it names a model.
pub fn class(told: &OpenAi, body: &[u8]) -> Option<ClassId> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let name = body.get("model")?.as_str()?;
    told.models.iter().find(|model| model.name == name).map(|model| model.class)
}

impl Chat {
    /// Reads a request's body.
    pub fn parse(told: &OpenAi, body: &[u8]) -> Result<Self, Refusal> {
        let invalid = |param, message: &str| Refusal::invalid(param, message);
        let mut object: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| invalid(None, &format!("The body is not a JSON object: {error}")))?;
        let Some(Value::String(model)) = object.get("model") else {
            return Err(invalid(Some("model"), "`model` must be a string."));
        };
        let model = model.clone();
        let place = told.models.iter().position(|known| known.name == model);
        let place = place.ok_or_else(|| no_model(&model))?;
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
        let mut max_out = f64::from(told.models[place].max_tokens);
        for name in ["max_tokens", "max_completion_tokens"] {
            match object.get(name) {
                None | Some(Value::Null) => {}
                Some(value) => match value.as_u64().filter(|tokens| (1..=1_000_000).contains(tokens)) {
                    Some(tokens) => max_out = tokens as f64,
                    None => return Err(invalid(Some(name), &format!("`{name}` must be a positive number."))),
                },
            }
        }
        let Some(Value::Array(messages)) = object.get("messages") else {
            return Err(invalid(Some("messages"), "`messages` must be an array."));
        };
        let mut start = Vec::new();
        let (mut chars, mut first, mut open) = (0, None, true);
        for message in messages {
            let Some(role) = message.get("role").and_then(Value::as_str) else {
                return Err(invalid(Some("messages"), "Each message must have a `role`."));
            };
            chars += content(message.get("content")).ok_or_else(|| {
                invalid(Some("messages"), "`content` must be text, an array of parts, or null.")
            })?;
            if open {
                start.extend_from_slice(message.to_string().as_bytes());
                first.get_or_insert((hash(&start), chars));
                // A conversation is known by what comes up to its first question.
                open = role != "user";
            }
        }
        let Some((prefix, prefix_chars)) = first else {
            return Err(invalid(Some("messages"), "`messages` must not be empty."));
        };
        object.insert("stream".to_owned(), json!(true));
        object.insert("stream_options".to_owned(), json!({"include_usage": true}));
        let tokens = |chars: usize| chars.div_ceil(CHARS_A_TOKEN) as f64;
        Ok(Chat {
            stream,
            usage: options.include_usage,
            place,
            max_out,
            session: hash(&start),
            prefix,
            prefix_len: tokens(prefix_chars),
            prompt_len: tokens(chars).max(1.0),
            body: Bytes::from(Value::Object(object).to_string()),
            model,
        })
    }

    /// The request as the core sees it.
    pub fn call(
        &self,
        told: &OpenAi,
        tenant: Option<TenantId>,
        label: String,
        arrived: Instant,
        held: Held,
    ) -> Call {
        let model = &told.models[self.place];
        Call {
            label,
            session: Some(self.session),
            prefix: Some(self.prefix),
            prefix_len: self.prefix_len,
            prompt_len: self.prompt_len,
            max_out: self.max_out,
            class: model.class,
            tenant: tenant.or(model.tenant),
            arrived,
            budget: model.deadline,
            idempotency_key: None,
            target: super::CHAT.to_owned(),
            body: self.body.clone(),
            _reservation: Some(Box::new(held)),
        }
    }
}

fn hash(text: &[u8]) -> Key {
    Key(crate::names::hash_bytes(text))
}

/// Characters of a message's content; none if it is neither text, parts nor null.
fn content(content: Option<&Value>) -> Option<usize> {
    let chars = |text: &str| text.chars().count();
    match content {
        None | Some(Value::Null) => Some(0),
        Some(Value::String(text)) => Some(chars(text)),
        Some(Value::Array(parts)) => {
            let mut all = 0;
            for part in parts {
                let text = part.as_object()?.get("text").and_then(Value::as_str);
                all += text.map_or(0, chars);
            }
            Some(all)
        }
        Some(_) => None,
    }
}
