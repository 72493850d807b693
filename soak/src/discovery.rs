//! Discovery's agents, one for each router: a watch that sends the whole list at each change, and an empty line every
//! 2 s as a heartbeat.

use crate::http::{ReadBuffer, encode_chunk};
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

/// Interval of the empty lines that a watch sends between changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A version of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// The version's number.
    pub revision: u64,
    /// Servers listed as leaving.
    pub leaving: Vec<usize>,
    /// Servers missing from the list.
    pub gone: Vec<usize>,
}

/// Discovery's list, and the agents' state.
pub struct Discovery {
    list: watch::Sender<List>,
    silent: watch::Sender<bool>,
    /// The list that agents had when they fell silent.
    list_when_silent: Mutex<Option<Value>>,
    resets: watch::Sender<u64>,
    workers: Vec<Arc<Worker>>,
    recorder: Arc<Recorder>,
}

/// The entries of a list, as JSON.
pub fn members(workers: &[Arc<Worker>], list: &List) -> Value {
    let listed = workers.iter().filter(|worker| !list.gone.contains(&worker.number));
    let entry = |worker: &Arc<Worker>| {
        json!({
            "id": worker.id(), "host_port": worker.address.to_string(), "cell": worker.number % 2,
            "flavor": if worker.role == Role::Reader { "reads" } else { "writes" },
            "phase": if list.leaving.contains(&worker.number) { "leaving" } else { "active" },
            "up_since_ms": worker.up_since_ms(),
        })
    };
    listed.map(entry).collect()
}

impl Discovery {
    /// Discovery of these servers, all active.
    pub fn new(workers: Vec<Arc<Worker>>, recorder: Arc<Recorder>) -> Arc<Self> {
        let list = List { revision: 1, ..List::default() };
        let (list, silent, resets) =
            (watch::Sender::new(list), watch::Sender::new(false), watch::Sender::new(0));
        let list_when_silent = Mutex::default();
        Arc::new(Discovery { list, silent, list_when_silent, resets, workers, recorder })
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut List)) {
        self.list.send_modify(|list| {
            change(list);
            list.revision += 1;
        });
    }

    /// Starts or ends the agents' silence.
    pub fn set_silent(&self, silent: bool) {
        let known = members(&self.workers, &self.list.borrow());
        *self.list_when_silent.lock().unwrap_or_else(PoisonError::into_inner) = silent.then_some(known);
        self.silent.send_replace(silent);
    }

    /// The servers that agents know now.
    pub fn known(&self) -> Value {
        let list_when_silent = self.list_when_silent.lock().unwrap_or_else(PoisonError::into_inner).clone();
        list_when_silent.unwrap_or_else(|| members(&self.workers, &self.list.borrow()))
    }

    /// Resets all watches.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Starts the agent of a router, and returns its address.
    pub async fn agent(self: &Arc<Self>, router: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(discovery.clone().serve(router, stream));
                }
            }
        });
        Ok(address)
    }

    async fn serve(self: Arc<Self>, router: usize, mut stream: TcpStream) {
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        tokio::select! {
            _ = resets.changed() => {}
            _ = self.watch(router, &mut stream) => return,
        }
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    async fn watch(&self, router: usize, stream: &mut TcpStream) -> Option<()> {
        let mut buffer = ReadBuffer::default();
        buffer.read_request(stream).await?;
        let (mut list, mut silent) = (self.list.subscribe(), self.silent.subscribe());
        silent.wait_for(|silent| !silent).await.ok()?;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut told_list = List::default();
        let mut told_starts: Vec<u64> = vec![0; self.workers.len()];
        loop {
            let now = list.borrow_and_update().clone();
            let line =
                json!({"revision": now.revision, "complete": true, "members": members(&self.workers, &now)});
            self.record_changes(router, &told_list, &now);
            self.record_starts(router, &mut told_starts);
            stream.write_all(encode_chunk(&format!("{line}\n")).as_bytes()).await.ok()?;
            told_list = now;
            loop {
                tokio::select! {
                    changed = list.changed() => {
                        changed.ok()?;
                        silent.wait_for(|silent| !silent).await.ok()?;
                        break;
                    }
                    () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                        silent.wait_for(|silent| !silent).await.ok()?;
                        stream.write_all(encode_chunk("\n").as_bytes()).await.ok()?;
                    }
                }
            }
        }
    }

    /// Records server starts that the router is told of.
    fn record_starts(&self, router: usize, told_starts: &mut [u64]) {
        self.recorder.with(|seen| {
            for (worker, told_start) in self.workers.iter().zip(told_starts) {
                if worker.up_since_ms() != *told_start {
                    *told_start = worker.up_since_ms();
                    seen.told_starts.entry((router, worker.number)).or_default().push(Instant::now());
                }
            }
        });
    }

    /// Records each server whose availability changes for the router.
    fn record_changes(&self, router: usize, before: &List, now: &List) {
        let available =
            |list: &List, worker: usize| !list.leaving.contains(&worker) && !list.gone.contains(&worker);
        self.recorder.with(|seen| {
            for worker in 0..self.workers.len() {
                if before.revision == 0 || available(before, worker) != available(now, worker) {
                    let told = seen.told_status.entry((router, worker)).or_default();
                    told.push((Instant::now(), available(now, worker)));
                }
            }
        });
    }
}
