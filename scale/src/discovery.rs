//! A stand-in for discovery: the whole list, watches that are told of each change, and silence on demand.

use crate::counted::{Counted, Counts, Traffic};
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

/// A watch says something at least this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Changes that a slow watch may be behind; after more it ends, and is opened anew.
const BEHIND: usize = 4_096;
const LINES_AHEAD: usize = 64;

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// Whether a worker takes work, as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It does.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It was removed; told among changes only.
    Left,
}

/// One entry of the list.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone.
    pub locality: String,
    /// Its kind.
    pub flavor: &'static str,
    /// Its rack.
    pub cell: usize,
    /// Whether it takes work.
    pub phase: Phase,
    /// Its relative size.
    pub size: f64,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

#[derive(Serialize)]
struct News<'a> {
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
    fn whole(&self) -> Bytes {
        line(&News { revision: self.revision, complete: true, members: &self.members })
    }
}

fn line(news: &News<'_>) -> Bytes {
    let mut text = serde_json::to_vec(news).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

/// The stand-in. Each of its listeners counts its own traffic.
pub struct Discovery {
    list: Mutex<List>,
    changes: broadcast::Sender<Bytes>,
    down: watch::Sender<bool>,
}

/// One address of the stand-in.
pub struct Door {
    /// Where routers call.
    pub address: SocketAddr,
    traffic: Arc<Traffic>,
    accepting: JoinHandle<()>,
}

impl Drop for Door {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Door {
    /// What has passed here so far.
    pub fn counts(&self) -> Counts {
        self.traffic.counts()
    }
}

impl Discovery {
    /// A list with these members.
    pub fn new(members: Vec<Member>) -> Arc<Self> {
        Arc::new(Discovery {
            list: Mutex::new(List { revision: 1, members }),
            changes: broadcast::Sender::new(BEHIND),
            down: watch::Sender::new(false),
        })
    }

    /// Opens an address.
    pub async fn open(self: &Arc<Self>) -> std::io::Result<Door> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (address, traffic) = (listener.local_addr()?, Arc::<Traffic>::default());
        let accepting = tokio::spawn(accept(self.clone(), listener, traffic.clone()));
        Ok(Door { address, traffic, accepting })
    }

    /// From now on it says nothing and takes no new call, or it is back.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Whether it is silent now.
    pub fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Changes entries and tells all watches.
    pub fn change(&self, changed: &[Member]) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.revision += 1;
        for member in changed {
            match list.members.iter_mut().find(|known| known.id == member.id) {
                Some(known) => *known = member.clone(),
                None => list.members.push(member.clone()),
            }
        }
        let news = line(&News { revision: list.revision, complete: false, members: changed });
        list.members.retain(|member| member.phase != Phase::Left);
        // Nobody may watch yet.
        let _ = self.changes.send(news);
    }

    /// The whole list, and what follows it: no change falls between the two.
    fn follow(&self) -> (Bytes, broadcast::Receiver<Bytes>) {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        (list.whole(), self.changes.subscribe())
    }
}

async fn accept(discovery: Arc<Discovery>, listener: TcpListener, traffic: Arc<Traffic>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let wire = TokioIo::new(Counted::new(stream, traffic.clone()));
        let (discovery, traffic) = (discovery.clone(), traffic.clone());
        tokio::spawn(async move {
            let answer = service_fn(move |request| answer(discovery.clone(), traffic.clone(), request));
            hyper::server::conn::http1::Builder::new().serve_connection(wire, answer).await
        });
    }
}

async fn answer(
    discovery: Arc<Discovery>,
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    traffic.message();
    // While it is down it stays silent: the call waits.
    let _ = discovery.down.subscribe().wait_for(|down| !*down).await;
    if request.uri().path() != "/v1/servers" {
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let (whole, changes) = discovery.follow();
    traffic.message();
    if request.uri().query().is_none_or(|query| !query.contains("watch=1")) {
        return Ok(Response::new(Either::Left(Full::new(whole))));
    }
    let (sender, body) = Channel::new(LINES_AHEAD);
    tokio::spawn(watch_list(discovery, traffic, sender, whole, changes));
    Ok(Response::new(Either::Right(body)))
}

async fn watch_list(
    discovery: Arc<Discovery>,
    traffic: Arc<Traffic>,
    mut sender: http_body_util::channel::Sender<Bytes>,
    whole: Bytes,
    mut changes: broadcast::Receiver<Bytes>,
) {
    let mut next = whole;
    let mut down = discovery.down.subscribe();
    loop {
        let _ = down.wait_for(|down| !*down).await;
        if sender.send_data(next).await.is_err() {
            return;
        }
        next = tokio::select! {
            news = changes.recv() => match news {
                Ok(news) => news,
                Err(_) => return,
            },
            () = tokio::time::sleep(HEARTBEAT) => Bytes::from_static(b"\n"),
        };
        traffic.message();
    }
}
