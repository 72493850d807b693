//! etcd as its API reference describes it, over the JSON gateway: a range request, and a watch from a revision on. The
//! header of each response has the revision of the store when the response was made; each event has its own.

use crate::http::{self, chunk};
use crate::record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

struct Change {
    revision: u64,
    key: String,
    value: String,
}

#[derive(Default)]
struct Store {
    changes: Vec<Change>,
    revision: u64,
    /// A watch breaks behind the event of this revision, once.
    break_behind: Option<u64>,
}

/// A running etcd.
#[derive(Clone)]
pub struct Etcd {
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
}

/// Decodes base64, for keys of requests.
fn decode(text: &str) -> String {
    let signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let (mut bytes, mut group, mut bits) = (Vec::new(), 0u32, 0);
    for value in text.chars().filter_map(|sign| signs.find(sign)) {
        (group, bits) = (group << 6 | value as u32, bits + 6);
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The text of a member of a JSON object, where it stands once and is a string or a number.
fn member(body: &str, name: &str) -> String {
    let rest = body.split(&format!("\"{name}\":")).nth(1).unwrap_or_default().trim_start();
    let rest = rest.strip_prefix('"').unwrap_or(rest);
    rest.chars().take_while(|sign| !"\",}".contains(*sign)).collect()
}

fn header(revision: u64) -> String {
    format!("{{\"cluster_id\":\"7\",\"member_id\":\"1\",\"revision\":\"{revision}\",\"raft_term\":\"2\"}}")
}

fn kv(change: &Change) -> String {
    let encode = |text: &str| crate::websocket::base64(text.as_bytes());
    format!(
        "{{\"key\":\"{}\",\"create_revision\":\"1\",\"mod_revision\":\"{}\",\"version\":\"1\",\"value\":\"{}\"}}",
        encode(&change.key),
        change.revision,
        encode(&change.value)
    )
}

impl Etcd {
    pub fn start() -> Self {
        let store = Arc::<Mutex<Store>>::default();
        let served = store.clone();
        let address = http::listen(move |stream| serve(stream, &served));
        Etcd { address, store }
    }

    /// Puts keys, one after the other, with nothing between them.
    pub fn put(&self, pairs: &[(String, String)]) {
        let mut store = self.store.lock().unwrap();
        for (key, value) in pairs {
            store.revision += 1;
            let revision = store.revision;
            record::line(&format!("etcd: revision {revision}: {key} = {value}"));
            store.changes.push(Change { revision, key: key.clone(), value: value.clone() });
        }
    }

    /// The open watch breaks once it has sent the event of the revision `ahead` of the present one.
    pub fn break_behind(&self, ahead: u64) {
        let mut store = self.store.lock().unwrap();
        store.break_behind = Some(store.revision + ahead);
    }
}

fn serve(stream: TcpStream, store: &Arc<Mutex<Store>>) {
    let mut to = stream.try_clone().unwrap();
    let mut from = BufReader::new(stream);
    while let Some((message, true)) = http::read_message(&mut from) {
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let prefix = decode(&member(&body, "key"));
        if message.first.contains("/v3/kv/range") {
            let text = {
                let store = store.lock().unwrap();
                let mut latest: Vec<&Change> = Vec::new();
                for change in store.changes.iter().filter(|change| change.key.starts_with(&prefix)) {
                    latest.retain(|known| known.key != change.key);
                    latest.push(change);
                }
                let kvs: Vec<String> = latest.iter().map(|change| kv(change)).collect();
                record::line(&format!("etcd: whole list asked for, revision {}", store.revision));
                format!(
                    "{{\"header\":{},\"kvs\":[{}],\"count\":\"{}\"}}",
                    header(store.revision),
                    kvs.join(","),
                    kvs.len()
                )
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if to.write_all(head.as_bytes()).is_err() {
                return;
            }
        } else if message.first.contains("/v3/watch") {
            return watch(to, store, &prefix, member(&body, "start_revision").parse().unwrap_or(0));
        } else if to.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// One watch, until its connection ends.
fn watch(mut to: TcpStream, store: &Arc<Mutex<Store>>, prefix: &str, start: u64) {
    let mut next = start;
    let mut text =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let revision = store.lock().unwrap().revision;
    if start <= revision {
        record::line(&format!("etcd: watch from revision {start}, store at {revision}"));
    }
    text += &chunk(&format!("{{\"result\":{{\"header\":{},\"created\":true}}}}\n", header(revision)));
    let mut idle = 0;
    loop {
        let mut breaks = false;
        {
            let mut store = store.lock().unwrap();
            let news: Vec<&Change> = store
                .changes
                .iter()
                .filter(|change| change.revision >= next && change.key.starts_with(prefix))
                .collect();
            for change in news {
                record::line(&format!(
                    "etcd: watch sends the event of revision {}, header revision {}",
                    change.revision, store.revision
                ));
                text += &chunk(&format!(
                    "{{\"result\":{{\"header\":{},\"events\":[{{\"kv\":{}}}]}}}}\n",
                    header(store.revision),
                    kv(change)
                ));
                next = change.revision + 1;
                breaks = store.break_behind == Some(change.revision);
                if breaks {
                    break;
                }
            }
            if breaks {
                store.break_behind = None;
            }
        }
        if !text.is_empty() {
            if to.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
        }
        if breaks {
            record::line("etcd: the watch breaks");
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
        idle += 1;
        // Notices a watch whose client has gone.
        if idle % 400 == 0 {
            let mut byte = [0];
            let _ = to.set_read_timeout(Some(Duration::from_millis(1)));
            if matches!(to.peek(&mut byte), Ok(0)) {
                return;
            }
        }
    }
}
