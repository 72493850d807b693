//! A stub of discovery: serves the server list, sends each change to watches, and can be made silent.

use crate::traffic::{CountedStream, Traffic, TrafficCounts};
use bytes::Bytes;
use http_body_util::{Either, Full, channel::Channel};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};
use tokio::task::JoinHandle;

/// Longest pause of a watch; an empty line is sent after it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Changes that a slow watch may be behind; beyond that it is ended, and its router opens a new one.
const WATCH_LAG_LIMIT: usize = 4_096;
/// Lines buffered for a router that reads its watch slowly.
const WATCH_BUFFER_LINES: usize = 64;

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// Whether a worker takes new requests, as the server list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes new requests.
    Active,
    /// It drains: it finishes its requests and takes no new ones.
    Leaving,
    /// It was removed. Sent in changes only, never in a full list.
    Left,
}

/// One entry of the server list.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Name of the worker.
    pub id: String,
    /// Address at which it listens.
    pub host_port: SocketAddr,
    /// Name of its zone.
    pub locality: String,
    /// Reader or writer, as the settings name it.
    pub flavor: &'static str,
    /// Number of its rack.
    pub cell: usize,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Relative size.
    pub size: f64,
    /// Unix time of its start, in milliseconds; 0 means long ago.
    pub up_since_ms: u64,
}

#[derive(Serialize)]
struct ListUpdate<'a> {
    revision: u64,
    complete: bool,
    members: &'a [Member],
}

#[derive(Default)]
struct List {
    revision: u64,
    members: Vec<Member>,
}

impl List {
    fn snapshot(&self) -> Bytes {
        encode_line(&ListUpdate { revision: self.revision, complete: true, members: &self.members })
    }
}

fn encode_line(update: &ListUpdate<'_>) -> Bytes {
    let mut text = serde_json::to_vec(update).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

/// The stub of discovery. Each of its endpoints counts its own traffic.
pub struct Discovery {
    list: Mutex<List>,
    changes: broadcast::Sender<Bytes>,
    silent: watch::Sender<bool>,
}

/// One address at which the stub listens.
pub struct Endpoint {
    /// Address for routers.
    pub address: SocketAddr,
    traffic: Arc<Traffic>,
    accepting: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Endpoint {
    /// Traffic of this endpoint so far.
    pub fn counts(&self) -> TrafficCounts {
        self.traffic.counts()
    }
}

impl Discovery {
    /// Starts with these members in the list.
    pub fn new(members: Vec<Member>) -> Arc<Self> {
        Arc::new(Discovery {
            list: Mutex::new(List { revision: 1, members }),
            changes: broadcast::Sender::new(WATCH_LAG_LIMIT),
            silent: watch::Sender::new(false),
        })
    }

    /// Opens an endpoint on a free loopback port.
    pub async fn listen(self: &Arc<Self>) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (address, traffic) = (listener.local_addr()?, Arc::<Traffic>::default());
        let accepting = tokio::spawn(accept(self.clone(), listener, traffic.clone()));
        Ok(Endpoint { address, traffic, accepting })
    }

    /// While silent, it sends nothing and leaves new requests waiting.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Whether it is silent now.
    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Changes or adds entries, and sends the change to all watches.
    pub fn change(&self, changed: &[Member]) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.revision += 1;
        for member in changed {
            match list.members.iter_mut().find(|known| known.id == member.id) {
                Some(known) => *known = member.clone(),
                None => list.members.push(member.clone()),
            }
        }
        let update = encode_line(&ListUpdate { revision: list.revision, complete: false, members: changed });
        list.members.retain(|member| member.phase != Phase::Left);
        // An error only means that no watch is open.
        let _ = self.changes.send(update);
    }

    /// A snapshot of the list and all changes after it; the lock keeps any change from falling between the two.
    fn subscribe(&self) -> (Bytes, broadcast::Receiver<Bytes>) {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        (list.snapshot(), self.changes.subscribe())
    }
}

async fn accept(discovery: Arc<Discovery>, listener: TcpListener, traffic: Arc<Traffic>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(CountedStream::new(stream, traffic.clone()));
        let (discovery, traffic) = (discovery.clone(), traffic.clone());
        tokio::spawn(async move {
            let service =
                service_fn(move |request| handle_request(discovery.clone(), traffic.clone(), request));
            hyper::server::conn::http1::Builder::new().serve_connection(io, service).await
        });
    }
}

async fn handle_request(
    discovery: Arc<Discovery>,
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    traffic.count_message();
    // While discovery is silent, the request waits.
    let _ = discovery.silent.subscribe().wait_for(|silent| !*silent).await;
    if request.uri().path() != "/v1/servers" {
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let (snapshot, changes) = discovery.subscribe();
    traffic.count_message();
    if request.uri().query().is_none_or(|query| !query.contains("watch=1")) {
        return Ok(Response::new(Either::Left(Full::new(snapshot))));
    }
    let (sender, body) = Channel::new(WATCH_BUFFER_LINES);
    tokio::spawn(send_changes(discovery, traffic, sender, snapshot, changes));
    Ok(Response::new(Either::Right(body)))
}

async fn send_changes(
    discovery: Arc<Discovery>,
    traffic: Arc<Traffic>,
    mut sender: http_body_util::channel::Sender<Bytes>,
    snapshot: Bytes,
    mut changes: broadcast::Receiver<Bytes>,
) {
    let mut next = snapshot;
    let mut silent = discovery.silent.subscribe();
    loop {
        let _ = silent.wait_for(|silent| !*silent).await;
        if sender.send_data(next).await.is_err() {
            return;
        }
        next = tokio::select! {
            update = changes.recv() => match update {
                Ok(update) => update,
                Err(_) => return,
            },
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => Bytes::from_static(b"\n"),
        };
        traffic.count_message();
    }
}
