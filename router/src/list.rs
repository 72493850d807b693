//! The list of servers: its sources and the updates they send.

pub mod discovery;
pub mod etcd;

use awc::ClientResponse;
use futures_core::Stream;
use serde::Deserialize;
use shedrelay::ServerState;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest line of a watch, in bytes; a longer one is not a list.
const MAX_LINE: usize = 4 * 1024 * 1024;

/// One server as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server's name, the same at every router.
    pub id: String,
    /// The address at which this router reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Unix time of its last start in milliseconds; 0 if that was long ago.
    pub up_since_ms: u64,
}

/// A snapshot of the list, or changes to it.
pub struct Update {
    /// The entries are the whole list, not only changes.
    pub complete: bool,
    /// The listed or changed servers.
    pub entries: Vec<Entry>,
    /// When the list was last known to be up to date before this update; `None` for the first one.
    pub last_synced: Option<Instant>,
}

/// An update in discovery's format.
#[derive(Clone, Deserialize)]
pub struct RawUpdate {
    /// The list's version.
    pub revision: u64,
    complete: bool,
    members: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawEntry {
    id: String,
    host_port: SocketAddr,
    #[serde(default)]
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default)]
    up_since_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Active,
    Leaving,
    Left,
}

impl RawUpdate {
    /// Parses the members; those that cannot be parsed are dropped and logged.
    pub fn into_update(self, last_synced: Option<Instant>) -> Update {
        Update {
            complete: self.complete,
            entries: self.members.into_iter().filter_map(parse_entry).collect(),
            last_synced,
        }
    }
}

/// Parses an entry; one that cannot be parsed is dropped and logged.
fn parse_entry(value: serde_json::Value) -> Option<Entry> {
    let entry = serde_json::from_value::<RawEntry>(value)
        .map_err(|error| crate::log!("list dropped reason=bad-entry error=\"{error}\""))
        .ok()?;
    Some(Entry {
        id: entry.id,
        address: entry.host_port,
        zone: entry.locality,
        kind: entry.flavor,
        cell: entry.cell,
        state: match entry.phase {
            Phase::Active => ServerState::Active,
            Phase::Leaving => ServerState::Draining,
            Phase::Left => ServerState::Removed,
        },
        up_since_ms: entry.up_since_ms,
    })
}

/// Assembles JSON objects that span several lines, since a source may indent its lists. A `{` in the first column or
/// an empty line ends an unfinished object. Guards against an indented list that is dropped line by line, and against
/// a truncated one that swallows the lists after it.
#[derive(Default)]
struct ObjectAssembler {
    buffer: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ObjectAssembler {
    /// Adds a line; passes each text that has ended to `on_text`, complete or not.
    fn add_line(&mut self, line: &[u8], mut on_text: impl FnMut(&[u8])) {
        let empty = line.trim_ascii().is_empty();
        if empty || line.first() == Some(&b'{') {
            self.finish(&mut on_text);
        }
        if empty {
            return;
        }
        for byte in line {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        if self.buffer.is_empty() && self.depth == 0 {
            return on_text(line);
        }
        self.buffer.extend_from_slice(line);
        if self.depth == 0 || self.buffer.len() > MAX_LINE {
            self.finish(&mut on_text);
        }
    }

    fn finish(&mut self, on_text: &mut impl FnMut(&[u8])) {
        let text = std::mem::take(self).buffer;
        if !text.is_empty() {
            on_text(&text);
        }
    }
}

/// Waits until a reload configures another source of the list.
async fn source_changed<T>(source: &mut watch::Receiver<T>) {
    if source.changed().await.is_err() {
        // The sender is gone, so the source can no longer change.
        std::future::pending::<()>().await;
    }
}

/// An HTTP client for a watch: one connection, no timeout beyond the connect timeout, no redirects.
fn watch_client(connect_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new().timeout(connect_timeout).limit(1);
    let client = awc::Client::builder().connector(connector);
    client.disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Passes each line of a watch to `on_line`, empty ones too, until the watch ends, is silent for `timeout` or
/// `on_line` returns an error; returns the reason. Only a whole line restarts the timeout: guards against a line that
/// comes byte by byte and never ends.
async fn read_lines(
    answer: &mut ClientResponse,
    timeout: Duration,
    mut on_line: impl FnMut(&[u8]) -> Result<(), &'static str>,
) -> &'static str {
    let mut line = Vec::new();
    let mut last_line = Instant::now();
    loop {
        let piece = poll_fn(|cx| Pin::new(&mut *answer).poll_next(cx));
        let piece = match tokio::time::timeout_at((last_line + timeout).into(), piece).await {
            Ok(Some(Ok(piece))) => piece,
            Ok(Some(Err(_))) => return "broken",
            Ok(None) => return "ended",
            Err(_) => return "silent",
        };
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            line.extend_from_slice(part);
            if line.len() > MAX_LINE {
                return "line-too-long";
            }
            if part.ends_with(b"\n") {
                if let Err(reason) = on_line(&line) {
                    return reason;
                }
                line.clear();
                last_line = Instant::now();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn texts(lines: &str) -> Vec<String> {
        let (mut texts, mut assembler) = (Vec::new(), ObjectAssembler::default());
        for line in lines.split_inclusive('\n') {
            assembler.add_line(line.as_bytes(), |text| {
                texts.push(String::from_utf8_lossy(text).trim().to_owned())
            });
        }
        texts
    }

    #[test]
    fn assembles_objects_that_span_several_lines() {
        let one = r#"{"revision":1,"complete":true,"members":[]}"#;
        assert_eq!(texts(&format!("{one}\n\n{one}\n")), [one, one]);
        let object = "{\n  \"a\": [\n    {\"b\": \"}]\\\"{\"}\n  ]\n}";
        assert_eq!(texts(&format!("{object}\n{one}\n{object}\n")), [object, one, object]);
    }

    #[test]
    fn truncated_object_does_not_swallow_the_next_one() {
        let one = r#"{"revision":1}"#;
        assert_eq!(texts(&format!("{{\"a\": [\n  1,\n{one}\n")), ["{\"a\": [\n  1,", one]);
        assert_eq!(texts(&format!("{{\"a\": \"x\n\n{one}\n")), ["{\"a\": \"x", one]);
        assert_eq!(texts("no list\n]\n"), ["no list", "]"]);
    }
}
