//! A stand-in for etcd: its JSON gateway's range request and watch. As etcd does, it sends what a watch has missed in
//! answers of at most 1,000 revisions, one every 100 ms, and the header of each names the store's revision.

use crate::http::{self, Ahead};
use crate::websocket::base64;
use crate::world::{World, listen, serve, sleep_ms};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Most revisions in one answer to a watch that has to catch up.
const REVISIONS_PER_ANSWER: usize = 1_000;

#[derive(Default)]
struct Store {
    /// All changes, the first being revision 1: the key, and its value unless it was deleted.
    changes: Vec<(String, Option<String>)>,
    /// The program is down: it takes no calls, and its watches have ended.
    down: bool,
    /// The connection of the next watch that catches up ends behind its first answer.
    cut_next: bool,
}

#[derive(Clone)]
pub struct Etcd {
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
}

impl Etcd {
    pub fn start(world: &World) -> Etcd {
        let (listener, address) = listen();
        let etcd = Etcd { address, store: Arc::default() };
        let (served, world) = (etcd.clone(), world.clone());
        serve(listener, move |stream| {
            let _ = served.connection(&world, stream);
        });
        etcd
    }

    pub fn change(&self, key: &str, value: Option<String>) {
        self.store.lock().unwrap().changes.push((key.to_owned(), value));
    }

    pub fn set_down(&self, down: bool) {
        self.store.lock().unwrap().down = down;
    }

    pub fn cut_next(&self) {
        self.store.lock().unwrap().cut_next = true;
    }

    fn connection(&self, world: &World, mut stream: TcpStream) -> std::io::Result<()> {
        let mut ahead = Ahead::default();
        while let Some(request) = http::read_message(&mut stream, &mut ahead)? {
            if self.store.lock().unwrap().down {
                return Ok(());
            }
            match request.target() {
                "/v3/kv/range" => {
                    let answer = self.range();
                    world.note("etcd: a range request");
                    http::answer(&mut stream, "200 OK", &answer)?;
                }
                "/v3/watch" => {
                    let body = request.text();
                    let from =
                        body.split("\"start_revision\":\"").nth(1).and_then(|rest| rest.split('"').next());
                    let from = from.and_then(|from| from.parse().ok()).unwrap_or(1);
                    return self.watch(world, stream, from);
                }
                _ => http::answer(&mut stream, "404 Not Found", "{}")?,
            }
        }
        Ok(())
    }

    fn range(&self) -> String {
        let store = self.store.lock().unwrap();
        let mut keys = BTreeMap::new();
        for (key, value) in &store.changes {
            match value {
                Some(value) => drop(keys.insert(key, value)),
                None => drop(keys.remove(key)),
            }
        }
        let pair = |(key, value): (&&String, &&String)| {
            format!("{{\"key\":\"{}\",\"value\":\"{}\"}}", base64(key.as_bytes()), base64(value.as_bytes()))
        };
        let pairs: Vec<String> = keys.iter().map(pair).collect();
        format!("{{\"header\":{{\"revision\":\"{}\"}},\"kvs\":[{}]}}", store.changes.len(), pairs.join(","))
    }

    fn watch(&self, world: &World, mut stream: TcpStream, from: usize) -> std::io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        let revision = self.store.lock().unwrap().changes.len();
        world.note(&format!("etcd: a watch from revision {from}, the store's is {revision}"));
        let created = format!(
            "{{\"result\":{{\"header\":{{\"revision\":\"{revision}\"}},\"watch_id\":\"0\",\"created\":true}}}}\n"
        );
        stream.write_all(&http::chunk(created.as_bytes()))?;
        let mut next = from.max(1);
        loop {
            let (events, last, revision, cut) = {
                let mut store = self.store.lock().unwrap();
                if store.down {
                    return Ok(());
                }
                let revision = store.changes.len();
                let last = revision.min(next - 1 + REVISIONS_PER_ANSWER);
                if last < next {
                    drop(store);
                    sleep_ms(5);
                    continue;
                }
                let event = |at: usize| {
                    let (key, value) = &store.changes[at - 1];
                    let key = base64(key.as_bytes());
                    match value {
                        Some(value) => format!(
                            "{{\"kv\":{{\"key\":\"{key}\",\"mod_revision\":\"{at}\",\"value\":\"{}\"}}}}",
                            base64(value.as_bytes())
                        ),
                        None => format!(
                            "{{\"type\":\"DELETE\",\"kv\":{{\"key\":\"{key}\",\"mod_revision\":\"{at}\"}}}}"
                        ),
                    }
                };
                let events: Vec<String> = (next..=last).map(event).collect();
                let cut = last < revision && std::mem::take(&mut store.cut_next);
                (events, last, revision, cut)
            };
            let line = format!(
                "{{\"result\":{{\"header\":{{\"revision\":\"{revision}\"}},\"watch_id\":\"0\",\"events\":[{}]}}}}\n",
                events.join(",")
            );
            stream.write_all(&http::chunk(line.as_bytes()))?;
            world.note(&format!("etcd: told revisions {next} to {last} of {revision}"));
            next = last + 1;
            if cut {
                // What was written goes out; the rest of the answer never comes.
                sleep_ms(50);
                world.note("etcd: the watch's connection ends");
                return Ok(());
            }
            if last < revision {
                sleep_ms(100);
            }
        }
    }
}
