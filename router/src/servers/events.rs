//! The events of a writer's stream: held back until they are whole and can be read, and what the last ones tell.

use crate::sse;
use crate::usage;
use bytes::{Bytes, BytesMut};
use fawnstream_ledger::entry::Tokens;
use serde::Deserialize;
use serde::de::IgnoredAny;
use shedrelay::Report;

/// An event that has not ended after so many bytes is none.
const LARGEST_EVENT: usize = 64 * 1024;

/// Holds a stream back until its events are whole and can be read, and notes what its last ones tell. Guards
/// against handing on what no server made.
#[derive(Default)]
pub struct Tail {
    /// The event that has not ended.
    pub held: BytesMut,
    /// Its lines up to here have been looked at.
    seen: usize,
    /// The final event has come.
    pub done: bool,
    /// Prompt tokens found kept.
    pub kept: Option<f64>,
    /// What the request used.
    pub used: Option<Tokens>,
    /// The server's report.
    pub report: Option<Report>,
}

/// A line that no event stream has.
#[derive(Debug)]
pub struct Garbage;

impl Tail {
    /// Goes on where another process stood. None if that is larger than any event.
    pub fn resume(held: Vec<u8>, done: bool, kept: Option<f64>, used: Option<Tokens>) -> Option<Self> {
        let seen = held.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        let fits = held.len() <= LARGEST_EVENT;
        fits.then(|| Tail { held: BytesMut::from(held.as_slice()), seen, done, kept, used, report: None })
    }

    /// The events that this piece makes whole, as they came.
    pub fn feed(&mut self, piece: &[u8]) -> Result<Bytes, Garbage> {
        self.held.extend_from_slice(piece);
        let mut whole = 0;
        while let Some(end) = self.held[self.seen..].iter().position(|byte| *byte == b'\n') {
            let end = self.seen + end + 1;
            let line = self.held[self.seen..end].trim_ascii();
            if line.is_empty() {
                whole = end;
            }
            let Line { done, kept, used, report } = line_of(line)?;
            self.done |= done;
            self.used = used.or(self.used);
            self.kept = kept.or(self.kept);
            self.report = report.or(self.report);
            self.seen = end;
        }
        if self.held.len() - whole > LARGEST_EVENT {
            return Err(Garbage);
        }
        self.seen -= whole;
        Ok(self.held.split_to(whole).freeze())
    }

    /// What is left when the stream has ended: lines that no empty one follows.
    pub fn rest(&mut self) -> Result<Bytes, Garbage> {
        if self.seen < self.held.len() {
            return Err(Garbage);
        }
        self.seen = 0;
        Ok(self.held.split().freeze())
    }
}

/// What a line tells.
#[derive(Default)]
struct Line {
    done: bool,
    kept: Option<f64>,
    used: Option<Tokens>,
    report: Option<Report>,
}

fn line_of(line: &[u8]) -> Result<Line, Garbage> {
    let mut told = Line::default();
    if let Some(data) = sse::field(line, "data") {
        told.done = data == b"[DONE]";
        if !told.done && (data.first() != Some(&b'{') || serde_json::from_slice::<IgnoredAny>(data).is_err())
        {
            return Err(Garbage);
        }
        if data.windows(14).any(|part| part == b"\"prompt_tokens") {
            let usage = serde_json::from_slice(data)
                .ok()
                .and_then(|mut value: serde_json::Value| value.as_object_mut()?.remove("usage"));
            told.kept = usage.as_ref().and_then(cached);
            told.used = usage.as_ref().and_then(usage::parse_tokens);
        }
    } else if line.first() == Some(&b':') {
        // A comment; a report that cannot be read is none, and its stream a good one.
        told.report = sse::field(line, ": X-Load-Report").and_then(report);
    } else if !line.is_empty()
        && !["event", "id", "retry"].iter().any(|name| sse::field(line, name).is_some())
    {
        return Err(Garbage);
    }
    Ok(told)
}

/// Prompt tokens found kept, as the last events of a stream report them.
fn cached(usage: &serde_json::Value) -> Option<f64> {
    usage.pointer("/prompt_tokens_details/cached_tokens")?.as_f64()
}

/// What a server says of its load.
pub fn report(text: &[u8]) -> Option<Report> {
    #[derive(Deserialize)]
    struct Wire {
        x0: f64,
    }
    let wire: Wire = serde_json::from_slice(text).ok()?;
    Some(Report { memory_share: wire.x0 }).filter(|report| report.memory_share.is_finite())
}
