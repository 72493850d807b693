//! etcd's watch API as a source of the list, over its JSON gateway: one range for the whole list, then a watch
//! of what changes after it. A key is a prefix and a server's id; its value is an entry in discovery's form. etcd says
//! nothing while nothing changes, as a connection that died does: so a watch that is silent for as long as one of
//! discovery's may be is opened anew, after the last revision seen. That costs etcd a call, and misses nothing.

use super::{Entry, Update, entry, moved, read_lines, watcher};
use crate::config::etcd::Etcd;
use crate::log;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use fawnstream_fleet::discovery_calls::WATCH_TIMEOUT;
use serde::Deserialize;
use serde_json::{Value, json};
use shedrelay::ServerState;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// A watch has begun in this time, dial and all: with [`WATCH_TIMEOUT`] and the waits that leaves time for three calls within
/// that after which news counts as told.
const ANSWER: Duration = Duration::from_millis(900);
/// The whole list comes in this time.
const WHOLE: Duration = Duration::from_secs(2);
/// A watch that had begun has said nothing of late: nothing changed, or it died. No line of the log: most are well.
const QUIET: &str = "quiet";
/// A list larger than this is none.
const LARGEST: usize = 8 * 1024 * 1024;

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Kv {
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Range {
    header: Header,
    #[serde(default)]
    kvs: Vec<Kv>,
}

#[derive(Deserialize)]
struct Line {
    result: Watched,
}

#[derive(Deserialize)]
struct Watched {
    header: Header,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// Absent for a put: the gateway leaves out what is zero.
    #[serde(rename = "type", default)]
    kind: String,
    kv: Kv,
}

/// Follows the list for ever, at the endpoint that was told last. Another one is asked for the whole list: its
/// revisions may be its own.
pub async fn follow(mut told: watch::Receiver<Etcd>, mut hear: impl FnMut(Update)) {
    let fresh = |told: &mut watch::Receiver<Etcd>| Source {
        told: told.borrow_and_update().clone(),
        from: 0,
        known: BTreeMap::new(),
        last_synced: None,
    };
    let mut source = fresh(&mut told);
    let mut wait = FIRST_WAIT;
    loop {
        let before = source.from;
        let reason = tokio::select! {
            reason = source.watch(&mut hear) => reason,
            () = moved(&mut told) => "moved",
        };
        if reason != QUIET {
            log!(
                "connection peer=etcd address={} code={reason} revision={}",
                source.told.endpoint,
                source.from
            );
        }
        if reason != "moved" {
            let well = source.from != before || reason == QUIET;
            wait = if well { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
            tokio::select! {
                () = actix_rt::time::sleep(wait) => continue,
                () = moved(&mut told) => {}
            }
        }
        (source, wait) = (fresh(&mut told), FIRST_WAIT);
    }
}

struct Source {
    told: Etcd,
    /// The last revision seen; 0 when the whole list must be asked for.
    from: u64,
    known: BTreeMap<String, Entry>,
    /// When the list was last known to be up to date; none before the first news.
    last_synced: Option<Instant>,
}

impl Source {
    /// The keys under the prefix, as the API names a range.
    fn range(&self) -> (String, String) {
        let mut end = self.told.prefix.clone().into_bytes();
        if let Some(last) = end.last_mut() {
            // A prefix is text, so its last byte is never the largest.
            *last += 1;
        }
        (BASE64_STANDARD.encode(&self.told.prefix), BASE64_STANDARD.encode(end))
    }

    async fn watch(&mut self, hear: &mut impl FnMut(Update)) -> &'static str {
        let client = watcher(ANSWER);
        let (key, range_end) = self.range();
        if self.from == 0 {
            let uri = format!("http://{}/v3/kv/range", self.told.endpoint);
            let asked = client.post(uri).send_json(&json!({"key": key, "range_end": range_end}));
            let answer = async {
                let mut answer = asked.await.map_err(|_| "no-connection")?;
                if !answer.status().is_success() {
                    return Err("bad-status");
                }
                answer.json::<Range>().limit(LARGEST).await.map_err(|_| "bad-list")
            };
            let range = match actix_rt::time::timeout(WHOLE, answer).await {
                Ok(Ok(range)) => range,
                Ok(Err(reason)) => return reason,
                Err(_) => return "silent",
            };
            let Ok(revision) = range.header.revision.parse() else { return "bad-list" };
            self.from = revision;
            self.known.clear();
            range.kvs.into_iter().for_each(|kv| drop(self.put(kv)));
            let last_synced = self.last_synced.replace(Instant::now());
            hear(Update { complete: true, entries: self.known.values().cloned().collect(), last_synced });
        }
        let uri = format!("http://{}/v3/watch", self.told.endpoint);
        let start = (self.from + 1).to_string();
        let create = json!({"create_request": {"key": key, "range_end": range_end, "start_revision": start}});
        let mut answer = match actix_rt::time::timeout(ANSWER, client.post(uri).send_json(&create)).await {
            Ok(Ok(answer)) if answer.status().is_success() => answer,
            Ok(Ok(_)) => return "bad-status",
            Ok(Err(_)) => return "no-connection",
            Err(_) => return "silent",
        };
        let mut begun = false;
        let line = |line: &[u8]| {
            begun = true;
            if !line.trim_ascii().is_empty() {
                return self.line(line, hear);
            }
            self.last_synced = self.last_synced.map(|_| Instant::now());
            Ok(())
        };
        match read_lines(&mut answer, WATCH_TIMEOUT, line).await {
            "silent" if begun => QUIET,
            reason => reason,
        }
    }

    /// One line of a watch. Garbage changes nothing, and what it was to tell is asked for anew; a watch that etcd cancels
    /// (its revision was compacted, say) begins again from the whole list.
    fn line(&mut self, line: &[u8], hear: &mut impl FnMut(Update)) -> Result<(), &'static str> {
        let parsed = serde_json::from_slice::<Line>(line).map_err(|error| error.to_string());
        let parsed = parsed.and_then(|line| {
            let revision = line.result.header.revision.parse::<u64>().map_err(|error| error.to_string())?;
            Ok((revision, line.result))
        });
        let (revision, watched) = match parsed {
            Ok(parsed) => parsed,
            Err(error) => {
                log!("list dropped reason=bad-line error=\"{error}\"");
                return Err("bad-list");
            }
        };
        if watched.canceled {
            self.from = 0;
            return Err("canceled");
        }
        let mut entries = Vec::new();
        for event in watched.events {
            entries.extend(if event.kind == "DELETE" { self.delete(&event.kv) } else { self.put(event.kv) });
        }
        if !entries.is_empty() {
            self.from = revision;
            let last_synced = self.last_synced.replace(Instant::now());
            hear(Update { complete: false, entries, last_synced });
        }
        Ok(())
    }

    fn id(&self, key: &str) -> Option<String> {
        let key = String::from_utf8(BASE64_STANDARD.decode(key).ok()?).ok()?;
        key.strip_prefix(&self.told.prefix).filter(|id| !id.is_empty()).map(str::to_owned)
    }

    fn put(&mut self, kv: Kv) -> Option<Entry> {
        let id = self.id(&kv.key)?;
        let value = BASE64_STANDARD.decode(&kv.value).ok();
        let value = value.and_then(|value| serde_json::from_slice::<Value>(&value).ok());
        let mut value = value.unwrap_or(Value::Null);
        if let Some(object) = value.as_object_mut() {
            object.insert("id".to_owned(), json!(id));
        }
        let entry = entry(value)?;
        self.known.insert(id, entry.clone());
        Some(entry)
    }

    fn delete(&mut self, kv: &Kv) -> Option<Entry> {
        let entry = self.known.remove(&self.id(&kv.key)?)?;
        Some(Entry { state: ServerState::Left, ..entry })
    }
}
