//! The list of servers: where its news comes from, and what a piece of news is.

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

/// A line longer than this is no list.
const LONGEST_LINE: usize = 4 * 1024 * 1024;

/// One server as a source of the list knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same at every router.
    pub id: String,
    /// Where it listens, for this router.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes work.
    pub state: ServerState,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// A piece of news.
pub struct Update {
    /// The entries are the whole list.
    pub complete: bool,
    /// The list, or its changes.
    pub entries: Vec<Entry>,
    /// When the list was last known to be up to date before this; none for the first news.
    pub last_synced: Option<Instant>,
}

/// Discovery's form of the list.
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
    /// The news in it; `last_synced` is when the list was last known to be up to date before.
    pub fn into_update(self, last_synced: Option<Instant>) -> Update {
        Update {
            complete: self.complete,
            entries: self.members.into_iter().filter_map(entry).collect(),
            last_synced,
        }
    }
}

/// An entry; one that makes no sense is dropped and logged.
fn entry(value: serde_json::Value) -> Option<Entry> {
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
            Phase::Leaving => ServerState::Leaving,
            Phase::Left => ServerState::Left,
        },
        up_since_ms: entry.up_since_ms,
    })
}

/// Puts objects together that come over several lines: lists may come indented. Guards against a list that is dropped
/// line by line, and against one that broke off and swallows those after it: an object begins with its brace in the
/// first column, and an empty line ends whatever was begun.
#[derive(Default)]
struct Indented {
    held: Vec<u8>,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Indented {
    /// Hears a line; gives each text that has ended, whole or not.
    fn line(&mut self, line: &[u8], mut ended: impl FnMut(&[u8])) {
        let empty = line.trim_ascii().is_empty();
        if empty || line.first() == Some(&b'{') {
            self.end(&mut ended);
        }
        if empty {
            return;
        }
        for byte in line {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_text => self.escaped = true,
                b'"' => self.in_text = !self.in_text,
                b'{' | b'[' if !self.in_text => self.depth += 1,
                b'}' | b']' if !self.in_text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        if self.held.is_empty() && self.depth == 0 {
            return ended(line);
        }
        self.held.extend_from_slice(line);
        if self.depth == 0 || self.held.len() > LONGEST_LINE {
            self.end(&mut ended);
        }
    }

    fn end(&mut self, ended: &mut impl FnMut(&[u8])) {
        let text = std::mem::take(self).held;
        if !text.is_empty() {
            ended(&text);
        }
    }
}

/// Waits until another source of the list is told.
async fn moved<T>(told: &mut watch::Receiver<T>) {
    if told.changed().await.is_err() {
        // Nobody can tell any more.
        std::future::pending::<()>().await;
    }
}

/// A client for a watch: one connection, no time-out of its own, nothing followed.
fn watcher(connect: Duration) -> awc::Client {
    let connector = awc::Connector::new().timeout(connect).limit(1);
    let client = awc::Client::builder().connector(connector);
    client.disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Hands on the lines of a watch, empty ones too, until it ends or one of them ends it; gives the reason. Only a whole
/// line is a sign of life: guards against one that comes byte by byte and never ends.
async fn read_lines(
    answer: &mut ClientResponse,
    silence: Duration,
    mut hear: impl FnMut(&[u8]) -> Result<(), &'static str>,
) -> &'static str {
    let mut line = Vec::new();
    let mut heard = Instant::now();
    loop {
        let piece = poll_fn(|cx| Pin::new(&mut *answer).poll_next(cx));
        let piece = match tokio::time::timeout_at((heard + silence).into(), piece).await {
            Ok(Some(Ok(piece))) => piece,
            Ok(Some(Err(_))) => return "broken",
            Ok(None) => return "ended",
            Err(_) => return "silent",
        };
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            line.extend_from_slice(part);
            if line.len() > LONGEST_LINE {
                return "line-too-long";
            }
            if part.ends_with(b"\n") {
                if let Err(reason) = hear(&line) {
                    return reason;
                }
                line.clear();
                heard = Instant::now();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn heard(lines: &str) -> Vec<String> {
        let (mut texts, mut indented) = (Vec::new(), Indented::default());
        for line in lines.split_inclusive('\n') {
            indented
                .line(line.as_bytes(), |text| texts.push(String::from_utf8_lossy(text).trim().to_owned()));
        }
        texts
    }

    #[test]
    fn objects_over_several_lines_are_put_together() {
        let one = r#"{"revision":1,"complete":true,"members":[]}"#;
        assert_eq!(heard(&format!("{one}\n\n{one}\n")), [one, one]);
        let object = "{\n  \"a\": [\n    {\"b\": \"}]\\\"{\"}\n  ]\n}";
        assert_eq!(heard(&format!("{object}\n{one}\n{object}\n")), [object, one, object]);
    }

    #[test]
    fn one_that_broke_off_swallows_none_after_it() {
        let one = r#"{"revision":1}"#;
        assert_eq!(heard(&format!("{{\"a\": [\n  1,\n{one}\n")), ["{\"a\": [\n  1,", one]);
        assert_eq!(heard(&format!("{{\"a\": \"x\n\n{one}\n")), ["{\"a\": \"x", one]);
        assert_eq!(heard("no list\n]\n"), ["no list", "]"]);
    }
}
