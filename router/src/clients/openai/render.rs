//! Renders a server's events as answers of the OpenAI-style API.

use super::super::Render;
use super::api::ChatRequest;
use super::{broken_event, parse_object, with_total};
use crate::sse::{self, LineSplitter};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use std::fmt::Write;

/// Renders an answer as a stream of chunks.
pub struct ChunkRenderer {
    lines: LineSplitter,
    id: String,
    created: u64,
    model: String,
    include_usage: bool,
    /// The first delta, which names the role, has been rendered.
    role_sent: bool,
}

impl ChunkRenderer {
    /// A renderer for the answer to this request.
    pub fn new(id: String, created: u64, chat: &ChatRequest) -> Self {
        let (model, include_usage) = (chat.model.clone(), chat.include_usage);
        ChunkRenderer { lines: LineSplitter::default(), id, created, model, include_usage, role_sent: false }
    }

    fn chunk(&mut self, mut object: Map<String, Value>) -> Option<Value> {
        let usage = object.remove("usage").filter(|usage| !usage.is_null());
        let choices = object.get_mut("choices").and_then(Value::as_array_mut);
        let empty = choices.as_ref().is_none_or(|choices| choices.is_empty());
        if empty && !(self.include_usage && usage.is_some()) {
            return None;
        }
        if let Some(delta) = choices
            .and_then(|choices| choices.first_mut())
            .and_then(|choice| choice.get_mut("delta"))
            .and_then(Value::as_object_mut)
            .filter(|_| !self.role_sent)
        {
            // The first delta names the role.
            delta.entry("role").or_insert(json!("assistant"));
            self.role_sent = true;
        }
        object.insert("id".to_owned(), json!(self.id));
        object.insert("object".to_owned(), json!("chat.completion.chunk"));
        object.insert("created".to_owned(), json!(self.created));
        object.insert("model".to_owned(), json!(self.model));
        if self.include_usage {
            object.insert("usage".to_owned(), usage.map_or(Value::Null, with_total));
        }
        Some(Value::Object(object))
    }
}

impl Render for ChunkRenderer {
    fn render(&mut self, piece: Bytes) -> Bytes {
        let mut lines = std::mem::take(&mut self.lines);
        let mut out = String::new();
        lines.feed(&piece, |line| {
            let Some(data) = sse::field(line, "data") else { return };
            // Writing to a string cannot fail.
            if data == b"[DONE]" {
                out.push_str("data: [DONE]\n\n");
            } else if let Some(chunk) = parse_object(data).and_then(|object| self.chunk(object)) {
                let _ = write!(out, "data: {chunk}\n\n");
            }
        });
        self.lines = lines;
        Bytes::from(out)
    }

    fn render_broken(&mut self) -> Bytes {
        Bytes::from(broken_event())
    }
}

/// Collects a stream into one JSON answer.
#[derive(Default)]
pub struct AnswerCollector {
    lines: LineSplitter,
    message: Map<String, Value>,
    finish_reason: Value,
    usage: Option<Value>,
}

impl AnswerCollector {
    /// Adds a piece of the stream.
    pub fn add(&mut self, piece: &[u8]) {
        let mut lines = std::mem::take(&mut self.lines);
        lines.feed(piece, |line| {
            if let Some(event) = sse::field(line, "data").and_then(parse_object) {
                self.add_event(event);
            }
        });
        self.lines = lines;
    }

    fn add_event(&mut self, mut event: Map<String, Value>) {
        if let Some(usage) = event.remove("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(with_total(usage));
        }
        let Some(choice) = event.get_mut("choices").and_then(|choices| choices.get_mut(0)) else { return };
        if let Some(Value::Object(delta)) = choice.get_mut("delta").map(Value::take) {
            merge(&mut self.message, delta);
        }
        if let Some(reason) = choice.get_mut("finish_reason").filter(|reason| !reason.is_null()) {
            self.finish_reason = reason.take();
        }
    }

    /// The answer's JSON object.
    pub fn object(mut self, id: &str, created: u64, model: &str) -> Value {
        self.message.entry("role").or_insert(json!("assistant"));
        self.message.entry("content").or_insert(Value::Null);
        if let Some(Value::Array(calls)) = self.message.get_mut("tool_calls") {
            // The index only served to merge the deltas.
            for call in calls.iter_mut().filter_map(Value::as_object_mut) {
                call.remove("index");
            }
        }
        let choice = json!({
            "index": 0, "message": self.message, "logprobs": null, "finish_reason": self.finish_reason,
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

/// Merges a delta into a message: streamed texts are appended, array items merge with the item of the same index.
fn merge(message: &mut Map<String, Value>, delta: Map<String, Value>) {
    for (name, value) in delta {
        match (message.get_mut(&name), value) {
            (_, Value::Null) => {}
            (Some(Value::String(text)), Value::String(more)) if is_streamed_text(&name) => {
                text.push_str(&more)
            }
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

/// Whether the text of this member arrives in pieces; that of all others arrives whole.
fn is_streamed_text(name: &str) -> bool {
    matches!(name, "content" | "refusal" | "arguments" | "reasoning_content")
}
