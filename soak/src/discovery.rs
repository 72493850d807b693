//! Discovery's agents, one for each router: a watch that tells the whole list at each change, and an empty line every 2 s.

use crate::http::{Inbox, chunk};
use crate::trace::Recorder;
use crate::worker::{Role, Worker};
use serde_json::{Value, json};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);

/// A state of the list.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Servers that are told as leaving.
    pub leaving: Vec<usize>,
    /// Servers that are not on it.
    pub gone: Vec<usize>,
}

/// Discovery: the list, and whether it speaks.
pub struct Discovery {
    list: watch::Sender<List>,
    silent: watch::Sender<bool>,
    /// What agents knew when they fell silent.
    stale: Mutex<Option<Value>>,
    resets: watch::Sender<u64>,
    workers: Vec<Arc<Worker>>,
    recorder: Arc<Recorder>,
}

/// The entries of a list.
pub fn members(workers: &[Arc<Worker>], list: &List) -> Value {
    let listed = workers.iter().filter(|worker| !list.gone.contains(&worker.number));
    let entry = |worker: &Arc<Worker>| {
        json!({
            "id": worker.label(), "host_port": worker.address.to_string(), "cell": worker.number % 2,
            "flavor": if worker.role == Role::Reads { "reads" } else { "writes" },
            "phase": if list.leaving.contains(&worker.number) { "leaving" } else { "active" },
            "up_since_ms": worker.up_since_ms(),
        })
    };
    listed.map(entry).collect()
}

impl Discovery {
    /// A discovery of these servers, all active.
    pub fn new(workers: Vec<Arc<Worker>>, recorder: Arc<Recorder>) -> Arc<Self> {
        let list = List { revision: 1, ..List::default() };
        let (list, silent, resets) =
            (watch::Sender::new(list), watch::Sender::new(false), watch::Sender::new(0));
        let stale = Mutex::default();
        Arc::new(Discovery { list, silent, stale, resets, workers, recorder })
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut List)) {
        self.list.send_modify(|list| {
            change(list);
            list.revision += 1;
        });
    }

    /// Says nothing from now on, or speaks again.
    pub fn silence(&self, silent: bool) {
        let known = members(&self.workers, &self.list.borrow());
        *self.stale.lock().unwrap_or_else(PoisonError::into_inner) = silent.then_some(known);
        self.silent.send_replace(silent);
    }

    /// The servers that agents know now.
    pub fn known(&self) -> Value {
        let stale = self.stale.lock().unwrap_or_else(PoisonError::into_inner).clone();
        stale.unwrap_or_else(|| members(&self.workers, &self.list.borrow()))
    }

    /// Resets all watches.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Starts the agent of a router.
    pub async fn agent(self: &Arc<Self>, router: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(discovery.clone().watched(router, stream));
                }
            }
        });
        Ok(address)
    }

    async fn watched(self: Arc<Self>, router: usize, mut stream: TcpStream) {
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        tokio::select! {
            _ = resets.changed() => {}
            _ = self.watch(router, &mut stream) => return,
        }
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    async fn watch(&self, router: usize, stream: &mut TcpStream) -> Option<()> {
        let mut inbox = Inbox::default();
        inbox.request(stream).await?;
        let (mut list, mut silent) = (self.list.subscribe(), self.silent.subscribe());
        silent.wait_for(|silent| !silent).await.ok()?;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut told = List::default();
        let mut stamps: Vec<u64> = vec![0; self.workers.len()];
        loop {
            let now = list.borrow_and_update().clone();
            let line =
                json!({"revision": now.revision, "complete": true, "members": members(&self.workers, &now)});
            self.note(router, &told, &now);
            self.note_starts(router, &mut stamps);
            stream.write_all(chunk(&format!("{line}\n")).as_bytes()).await.ok()?;
            told = now;
            loop {
                tokio::select! {
                    changed = list.changed() => {
                        changed.ok()?;
                        silent.wait_for(|silent| !silent).await.ok()?;
                        break;
                    }
                    () = tokio::time::sleep(EMPTY_LINE_EVERY) => {
                        silent.wait_for(|silent| !silent).await.ok()?;
                        stream.write_all(chunk("\n").as_bytes()).await.ok()?;
                    }
                }
            }
        }
    }

    /// Notes the starts that a router is told of.
    fn note_starts(&self, router: usize, stamps: &mut [u64]) {
        self.recorder.with(|seen| {
            for (worker, stamp) in self.workers.iter().zip(stamps) {
                if worker.up_since_ms() != *stamp {
                    *stamp = worker.up_since_ms();
                    seen.told_starts.entry((router, worker.number)).or_default().push(Instant::now());
                }
            }
        });
    }

    /// Notes what a router is told: each server's readiness that changes for it.
    fn note(&self, router: usize, before: &List, now: &List) {
        let takes =
            |list: &List, worker: usize| !list.leaving.contains(&worker) && !list.gone.contains(&worker);
        self.recorder.with(|seen| {
            for worker in 0..self.workers.len() {
                if before.revision == 0 || takes(before, worker) != takes(now, worker) {
                    let told = seen.told_status.entry((router, worker)).or_default();
                    told.push((Instant::now(), takes(now, worker)));
                }
            }
        });
    }
}
