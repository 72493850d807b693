//! Checks the events of a writer's stream before they are relayed, and extracts what the last ones report.

use crate::sse;
use crate::usage;
use bytes::{Bytes, BytesMut};
use fawnstream_ledger::entry::Tokens;
use serde::Deserialize;
use serde::de::IgnoredAny;
use shedrelay::Report;

/// Largest event, in bytes; a larger one is invalid.
const MAX_EVENT_SIZE: usize = 64 * 1024;

/// Buffers a stream until its events are complete and valid, and keeps what the last ones report. Guards against
/// relaying bytes that are no event stream.
#[derive(Default)]
pub struct EventBuffer {
    /// The event that has not ended.
    pub partial: BytesMut,
    /// How many bytes of it are parsed.
    parsed: usize,
    /// The final event has come.
    pub done: bool,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: Option<f64>,
    /// What the request used.
    pub usage: Option<Tokens>,
    /// The server's load report.
    pub report: Option<Report>,
}

/// A line that is not part of a valid event stream, or an event that is too large.
#[derive(Debug)]
pub struct InvalidEvent;

impl EventBuffer {
    /// Resumes a stream that another process handed over. `None` if the partial event is too large.
    pub fn resume(
        partial: Vec<u8>,
        done: bool,
        cached_tokens: Option<f64>,
        usage: Option<Tokens>,
    ) -> Option<Self> {
        let parsed = partial.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        let fits = partial.len() <= MAX_EVENT_SIZE;
        fits.then(|| EventBuffer {
            partial: BytesMut::from(partial.as_slice()),
            parsed,
            done,
            cached_tokens,
            usage,
            report: None,
        })
    }

    /// Adds a piece of the stream; returns the events that it completes, unchanged.
    pub fn feed(&mut self, piece: &[u8]) -> Result<Bytes, InvalidEvent> {
        self.partial.extend_from_slice(piece);
        let mut complete = 0;
        while let Some(end) = self.partial[self.parsed..].iter().position(|byte| *byte == b'\n') {
            let end = self.parsed + end + 1;
            let line = self.partial[self.parsed..end].trim_ascii();
            if line.is_empty() {
                complete = end;
            }
            let LineInfo { done, cached_tokens, usage, report } = parse_line(line)?;
            self.done |= done;
            self.usage = usage.or(self.usage);
            self.cached_tokens = cached_tokens.or(self.cached_tokens);
            self.report = report.or(self.report);
            self.parsed = end;
        }
        if self.partial.len() - complete > MAX_EVENT_SIZE {
            return Err(InvalidEvent);
        }
        self.parsed -= complete;
        Ok(self.partial.split_to(complete).freeze())
    }

    /// The lines that are left at the end of the stream because no empty line follows them.
    pub fn rest(&mut self) -> Result<Bytes, InvalidEvent> {
        if self.parsed < self.partial.len() {
            return Err(InvalidEvent);
        }
        self.parsed = 0;
        Ok(self.partial.split().freeze())
    }
}

/// What a line reports.
#[derive(Default)]
struct LineInfo {
    done: bool,
    cached_tokens: Option<f64>,
    usage: Option<Tokens>,
    report: Option<Report>,
}

fn parse_line(line: &[u8]) -> Result<LineInfo, InvalidEvent> {
    let mut info = LineInfo::default();
    if let Some(data) = sse::field(line, "data") {
        info.done = data == b"[DONE]";
        if !info.done && (data.first() != Some(&b'{') || serde_json::from_slice::<IgnoredAny>(data).is_err())
        {
            return Err(InvalidEvent);
        }
        if data.windows(14).any(|part| part == b"\"prompt_tokens") {
            let usage = serde_json::from_slice(data)
                .ok()
                .and_then(|mut value: serde_json::Value| value.as_object_mut()?.remove("usage"));
            info.cached_tokens = usage.as_ref().and_then(cached_tokens);
            info.usage = usage.as_ref().and_then(usage::parse_tokens);
        }
    } else if line.first() == Some(&b':') {
        // A comment. A report that cannot be parsed is ignored, and does not make the stream invalid.
        info.report = sse::field(line, ": X-Load-Report").and_then(parse_report);
    } else if !line.is_empty()
        && !["event", "id", "retry"].iter().any(|name| sse::field(line, name).is_some())
    {
        return Err(InvalidEvent);
    }
    Ok(info)
}

/// Prompt tokens found in the prefix cache, as the last events of a stream report them.
fn cached_tokens(usage: &serde_json::Value) -> Option<f64> {
    usage.pointer("/prompt_tokens_details/cached_tokens")?.as_f64()
}

/// Parses a server's load report.
pub fn parse_report(text: &[u8]) -> Option<Report> {
    #[derive(Deserialize)]
    struct RawReport {
        x0: f64,
    }
    let raw: RawReport = serde_json::from_slice(text).ok()?;
    Some(Report { memory_share: raw.x0 }).filter(|report| report.memory_share.is_finite())
}
