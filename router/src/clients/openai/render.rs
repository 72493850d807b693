//! Answers of the OpenAI-style API, from a server's events.

use super::super::Render;
use super::api::Chat;
use super::{broken_event, object, usage};
use crate::sse::{self, LineSplitter};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use std::fmt::Write;

/// A stream of chunks.
pub struct Chunks {
    lines: LineSplitter,
    id: String,
    created: u64,
    model: String,
    usage: bool,
    begun: bool,
}

impl Chunks {
    /// Renders the answer to this request.
    pub fn new(id: String, created: u64, chat: &Chat) -> Self {
        let (model, usage) = (chat.model.clone(), chat.usage);
        Chunks { lines: LineSplitter::default(), id, created, model, usage, begun: false }
    }

    fn chunk(&mut self, mut object: Map<String, Value>) -> Option<Value> {
        let told = object.remove("usage").filter(|told| !told.is_null());
        let choices = object.get_mut("choices").and_then(Value::as_array_mut);
        let empty = choices.as_ref().is_none_or(|choices| choices.is_empty());
        if empty && !(self.usage && told.is_some()) {
            return None;
        }
        if let Some(delta) = choices
            .and_then(|choices| choices.first_mut())
            .and_then(|choice| choice.get_mut("delta"))
            .and_then(Value::as_object_mut)
            .filter(|_| !self.begun)
        {
            // The first delta says who speaks.
            delta.entry("role").or_insert(json!("assistant"));
            self.begun = true;
        }
        object.insert("id".to_owned(), json!(self.id));
        object.insert("object".to_owned(), json!("chat.completion.chunk"));
        object.insert("created".to_owned(), json!(self.created));
        object.insert("model".to_owned(), json!(self.model));
        if self.usage {
            object.insert("usage".to_owned(), told.map_or(Value::Null, usage));
        }
        Some(Value::Object(object))
    }
}

impl Render for Chunks {
    fn piece(&mut self, piece: Bytes) -> Bytes {
        let mut lines = std::mem::take(&mut self.lines);
        let mut out = String::new();
        lines.feed(&piece, |line| {
            let Some(data) = sse::field(line, "data") else { return };
            // Writing to a string cannot fail.
            if data == b"[DONE]" {
                out.push_str("data: [DONE]\n\n");
            } else if let Some(chunk) = object(data).and_then(|object| self.chunk(object)) {
                let _ = write!(out, "data: {chunk}\n\n");
            }
        });
        self.lines = lines;
        Bytes::from(out)
    }

    fn broken(&mut self) -> Bytes {
        Bytes::from(broken_event())
    }
}

/// A whole answer, gathered from a stream.
#[derive(Default)]
pub struct Whole {
    lines: LineSplitter,
    message: Map<String, Value>,
    finish: Value,
    usage: Option<Value>,
}

impl Whole {
    /// Takes in a piece of the stream.
    pub fn piece(&mut self, piece: &[u8]) {
        let mut lines = std::mem::take(&mut self.lines);
        lines.feed(piece, |line| {
            if let Some(event) = sse::field(line, "data").and_then(object) {
                self.event(event);
            }
        });
        self.lines = lines;
    }

    fn event(&mut self, mut event: Map<String, Value>) {
        if let Some(told) = event.remove("usage").filter(|told| !told.is_null()) {
            self.usage = Some(usage(told));
        }
        let Some(choice) = event.get_mut("choices").and_then(|choices| choices.get_mut(0)) else { return };
        if let Some(Value::Object(delta)) = choice.get_mut("delta").map(Value::take) {
            merge(&mut self.message, delta);
        }
        if let Some(finish) = choice.get_mut("finish_reason").filter(|finish| !finish.is_null()) {
            self.finish = finish.take();
        }
    }

    /// The answer.
    pub fn object(mut self, id: &str, created: u64, model: &str) -> Value {
        self.message.entry("role").or_insert(json!("assistant"));
        self.message.entry("content").or_insert(Value::Null);
        if let Some(Value::Array(calls)) = self.message.get_mut("tool_calls") {
            // Their places served to put the pieces together.
            for call in calls.iter_mut().filter_map(Value::as_object_mut) {
                call.remove("index");
            }
        }
        let choice = json!({
            "index": 0, "message": self.message, "logprobs": null, "finish_reason": self.finish,
        });
        let mut answer = json!({
            "id": id, "object": "chat.completion", "created": created, "model": model, "choices": [choice],
        });
        if let Some(usage) = self.usage {
            answer["usage"] = usage;
        }
        answer
    }
}

/// Adds a delta to a message: texts grow, parts of tool calls join those with their index.
fn merge(message: &mut Map<String, Value>, delta: Map<String, Value>) {
    for (name, value) in delta {
        match (message.get_mut(&name), value) {
            (_, Value::Null) => {}
            (Some(Value::String(text)), Value::String(more)) if grows(&name) => text.push_str(&more),
            (Some(Value::Object(known)), Value::Object(more)) => merge(known, more),
            (Some(Value::Array(known)), Value::Array(more)) => {
                for part in more {
                    let same = known.iter_mut().find(|k| k.get("index") == part.get("index"));
                    match (same, part) {
                        (Some(Value::Object(known)), Value::Object(part)) => merge(known, part),
                        (_, part) => known.push(part),
                    }
                }
            }
            (Some(known), value) => *known = value,
            (None, value) => {
                message.insert(name, value);
            }
        }
    }
}

/// Texts that come in pieces; others come whole.
fn grows(name: &str) -> bool {
    matches!(name, "content" | "refusal" | "arguments" | "reasoning_content")
}
