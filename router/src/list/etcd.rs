//! etcd's watch API as a source of the list, over its JSON gateway: one range request for the whole list, then a watch
//! of the changes after it. A key is a prefix and a server's id; its value is an entry in discovery's format.
//!
//! etcd sends nothing while nothing changes, which looks like a dead connection. So a watch that is silent for as
//! long as a discovery watch may be is opened again after the last revision seen. That costs etcd a call and misses
//! nothing.

use super::{Entry, Update, parse_entry, read_lines, source_changed, watch_client};
use crate::config::etcd::Etcd;
use crate::log;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use fawnstream_fleet::discovery_calls::WATCH_TIMEOUT;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};
use shedrelay::ServerState;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Shortest wait before the next call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait before the next call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time for a watch to begin, connecting included. With [`WATCH_TIMEOUT`] and the backoff, three calls fit into the
/// time after which a change counts as known to the router.
const WATCH_BEGIN_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for the whole list to come.
const RANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Reason of a watch that began and then was silent: nothing changed, or its connection died. It is not logged, since
/// most of these are healthy.
const QUIET: &str = "quiet";
/// Largest answer to a range request, in bytes.
const MAX_RANGE_SIZE: usize = 8 * 1024 * 1024;

/// Parses a revision, which the gateway writes as text.
fn revision<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
}

#[derive(Deserialize)]
struct Header {
    /// The store's revision when the answer was made. An answer with events may be one of several that are still
    /// under way, so it does not tell up to which revision the events have come.
    #[serde(deserialize_with = "revision")]
    revision: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Kv {
    key: String,
    value: String,
    /// The revision of the key's last change; for an event that of the change itself.
    #[serde(deserialize_with = "revision")]
    mod_revision: u64,
}

#[derive(Deserialize)]
struct Range {
    header: Header,
    #[serde(default)]
    kvs: Vec<Kv>,
}

#[derive(Deserialize)]
struct WatchLine {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// Absent for a put, since the gateway omits zero values.
    #[serde(rename = "type", default)]
    kind: String,
    kv: Kv,
}

/// Follows the list forever, at the endpoint that was configured last. A new endpoint is asked for the whole list,
/// since its revisions may be unrelated.
pub async fn follow(mut config_changes: watch::Receiver<Etcd>, mut on_update: impl FnMut(Update)) {
    let new_source = |config_changes: &mut watch::Receiver<Etcd>| Source {
        config: config_changes.borrow_and_update().clone(),
        revision: 0,
        entries: BTreeMap::new(),
        last_synced: None,
    };
    let mut source = new_source(&mut config_changes);
    let mut backoff = MIN_BACKOFF;
    loop {
        let revision_before = source.revision;
        let reason = tokio::select! {
            reason = source.watch(&mut on_update) => reason,
            () = source_changed(&mut config_changes) => "moved",
        };
        if reason != QUIET {
            log!(
                "connection peer=etcd address={} code={reason} revision={}",
                source.config.endpoint,
                source.revision
            );
        }
        if reason != "moved" {
            let healthy = source.revision != revision_before || reason == QUIET;
            backoff = if healthy { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
            tokio::select! {
                () = actix_rt::time::sleep(backoff) => continue,
                () = source_changed(&mut config_changes) => {}
            }
        }
        (source, backoff) = (new_source(&mut config_changes), MIN_BACKOFF);
    }
}

struct Source {
    config: Etcd,
    /// The last revision seen; 0 if the whole list must be asked for.
    revision: u64,
    /// Listed servers, by id.
    entries: BTreeMap<String, Entry>,
    /// When the list was last known to be up to date; `None` before the first update.
    last_synced: Option<Instant>,
}

impl Source {
    /// The keys under the prefix as a range of the API: its first key and its end.
    fn key_range(&self) -> (String, String) {
        let mut end = self.config.prefix.clone().into_bytes();
        if let Some(last) = end.last_mut() {
            // It cannot overflow: the prefix is UTF-8, whose bytes are all below 0xff.
            *last += 1;
        }
        (BASE64_STANDARD.encode(&self.config.prefix), BASE64_STANDARD.encode(end))
    }

    /// Runs one watch to its end, after a request for the whole list if needed; returns the reason for the end.
    async fn watch(&mut self, on_update: &mut impl FnMut(Update)) -> &'static str {
        let client = watch_client(WATCH_BEGIN_TIMEOUT);
        let (key, range_end) = self.key_range();
        if self.revision == 0 {
            let uri = format!("http://{}/v3/kv/range", self.config.endpoint);
            let request = client.post(uri).send_json(&json!({"key": key, "range_end": range_end}));
            let answer = async {
                let mut answer = request.await.map_err(|_| "no-connection")?;
                if !answer.status().is_success() {
                    return Err("bad-status");
                }
                answer.json::<Range>().limit(MAX_RANGE_SIZE).await.map_err(|_| "bad-list")
            };
            let range = match actix_rt::time::timeout(RANGE_TIMEOUT, answer).await {
                Ok(Ok(range)) => range,
                Ok(Err(reason)) => return reason,
                Err(_) => return "silent",
            };
            self.revision = range.header.revision;
            self.entries.clear();
            range.kvs.into_iter().for_each(|kv| drop(self.put(kv)));
            let last_synced = self.last_synced.replace(Instant::now());
            on_update(Update {
                complete: true,
                entries: self.entries.values().cloned().collect(),
                last_synced,
            });
        }
        let uri = format!("http://{}/v3/watch", self.config.endpoint);
        let start = (self.revision + 1).to_string();
        let create = json!({"create_request": {"key": key, "range_end": range_end, "start_revision": start}});
        let mut answer =
            match actix_rt::time::timeout(WATCH_BEGIN_TIMEOUT, client.post(uri).send_json(&create)).await {
                Ok(Ok(answer)) if answer.status().is_success() => answer,
                Ok(Ok(_)) => return "bad-status",
                Ok(Err(_)) => return "no-connection",
                Err(_) => return "silent",
            };
        let mut begun = false;
        let on_line = |line: &[u8]| {
            begun = true;
            if !line.trim_ascii().is_empty() {
                return self.apply_line(line, on_update);
            }
            self.last_synced = self.last_synced.map(|_| Instant::now());
            Ok(())
        };
        match read_lines(&mut answer, WATCH_TIMEOUT, on_line).await {
            "silent" if begun => QUIET,
            reason => reason,
        }
    }

    /// Applies one line of a watch. An invalid one changes nothing and ends the watch, so that the next watch asks
    /// for it again. A watch that etcd cancels, for instance because its revision was compacted, begins again from
    /// the whole list.
    fn apply_line(&mut self, line: &[u8], on_update: &mut impl FnMut(Update)) -> Result<(), &'static str> {
        let result = match serde_json::from_slice::<WatchLine>(line) {
            Ok(line) => line.result,
            Err(error) => {
                log!("list dropped reason=bad-line error=\"{error}\"");
                return Err("bad-list");
            }
        };
        if result.canceled {
            self.revision = 0;
            return Err("canceled");
        }
        // All events of a revision come in one answer, in the order of their revisions.
        let last_event = result.events.iter().map(|event| event.kv.mod_revision).max();
        let mut entries = Vec::new();
        for event in result.events {
            entries.extend(if event.kind == "DELETE" { self.delete(&event.kv) } else { self.put(event.kv) });
        }
        self.revision = self.revision.max(last_event.unwrap_or_default());
        if !entries.is_empty() {
            let last_synced = self.last_synced.replace(Instant::now());
            on_update(Update { complete: false, entries, last_synced });
        }
        Ok(())
    }

    /// The server's id in a key.
    fn server_id(&self, key: &str) -> Option<String> {
        let key = String::from_utf8(BASE64_STANDARD.decode(key).ok()?).ok()?;
        key.strip_prefix(&self.config.prefix).filter(|id| !id.is_empty()).map(str::to_owned)
    }

    fn put(&mut self, kv: Kv) -> Option<Entry> {
        let id = self.server_id(&kv.key)?;
        let value = BASE64_STANDARD.decode(&kv.value).ok();
        let value = value.and_then(|value| serde_json::from_slice::<Value>(&value).ok());
        let mut value = value.unwrap_or(Value::Null);
        if let Some(object) = value.as_object_mut() {
            object.insert("id".to_owned(), json!(id));
        }
        let entry = parse_entry(value)?;
        self.entries.insert(id, entry.clone());
        Some(entry)
    }

    fn delete(&mut self, kv: &Kv) -> Option<Entry> {
        let entry = self.entries.remove(&self.server_id(&kv.key)?)?;
        Some(Entry { state: ServerState::Removed, ..entry })
    }
}
