//! A hollow worker: answers reads, streams and releases as the protocol page says, and computes nothing.

use crate::counted::{Counted, Traffic};
use crate::plan::Conditions;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Either, Full, channel::Channel};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

/// What every answer says of the worker's load.
pub const REPORT: &str = "{\"inflight\":3,\"queue\":0,\"x0\":0.30,\"x1\":2}";
const REPORT_FIELD: &str = "X-Load-Report";
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Events that may wait for a slow router.
const EVENTS_AHEAD: usize = 4;

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// What all workers of a point have counted.
#[derive(Debug, Default)]
pub struct Work {
    /// Prompts read.
    pub reads: AtomicU64,
    /// Answers begun.
    pub streams: AtomicU64,
    /// Releases answered.
    pub releases: AtomicU64,
    /// Connections open now.
    pub connections: AtomicU64,
    /// What passed over the connections.
    pub traffic: Arc<Traffic>,
}

/// How workers take their time.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    read: Duration,
    events: usize,
    event: Duration,
}

impl Pace {
    /// The pace that a plan tells.
    pub fn new(conditions: &Conditions) -> Self {
        Pace {
            read: Duration::from_millis(conditions.read_ms),
            events: conditions.events,
            event: Duration::from_millis(conditions.event_ms),
        }
    }
}

/// A worker that can be taken down and brought back at its address.
#[derive(Clone)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    up: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker on a free port of the loopback.
    pub async fn start(reads: bool, pace: Pace, work: Arc<Work>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let up = watch::Sender::new(true);
        tokio::spawn(live(listener, up.subscribe(), reads, pace, work));
        Ok(Worker { address, up })
    }

    /// Takes it down, with all its connections, or brings it back.
    pub fn set_up(&self, up: bool) {
        self.up.send_replace(up);
    }
}

async fn live(first: TcpListener, mut up: watch::Receiver<bool>, reads: bool, pace: Pace, work: Arc<Work>) {
    let Ok(address) = first.local_addr() else { return };
    let mut listener = Some(first);
    loop {
        let accepting = match listener.take() {
            Some(listener) => listener,
            None => match listen(address) {
                Ok(listener) => listener,
                // The port is not free yet: connections of before are still closing.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        accept(&accepting, &mut up, reads, pace, &work).await;
        drop(accepting);
        // Nobody can take it down or bring it back any more: its point is over.
        if up.has_changed().is_err() || up.wait_for(|up| *up).await.is_err() {
            return;
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the worker is taken down.
async fn accept(
    listener: &TcpListener,
    up: &mut watch::Receiver<bool>,
    reads: bool,
    pace: Pace,
    work: &Arc<Work>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = taken_down(up) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (mut down, work) = (up.clone(), work.clone());
        tokio::spawn(async move {
            work.connections.fetch_add(1, Ordering::Relaxed);
            let wire = TokioIo::new(Counted::new(stream, work.traffic.clone()));
            let of = work.clone();
            let answer = service_fn(move |request| answer(request, reads, pace, of.clone()));
            tokio::select! {
                _ = hyper::server::conn::http1::Builder::new().serve_connection(wire, answer) => {}
                () = taken_down(&mut down) => {}
            }
            work.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn taken_down(up: &mut watch::Receiver<bool>) {
    // An error says that the worker itself has gone.
    let _ = up.wait_for(|up| !*up).await;
}

async fn answer(
    request: Request<Incoming>,
    reads: bool,
    pace: Pace,
    work: Arc<Work>,
) -> Result<Response<Body>, Infallible> {
    let release = request.method() == Method::DELETE;
    if request.into_body().collect().await.is_err() {
        return Ok(whole(StatusCode::BAD_REQUEST, ""));
    }
    if release {
        work.releases.fetch_add(1, Ordering::Relaxed);
        return Ok(whole(StatusCode::NO_CONTENT, ""));
    }
    tokio::time::sleep(pace.read).await;
    if reads {
        work.reads.fetch_add(1, Ordering::Relaxed);
        return Ok(whole(StatusCode::ACCEPTED, "{\"cached_tokens\":400}"));
    }
    work.streams.fetch_add(1, Ordering::Relaxed);
    let (mut sender, body) = Channel::<Bytes>::new(EVENTS_AHEAD);
    tokio::spawn(async move {
        for number in 0..=pace.events {
            let event = if number < pace.events { token(number) } else { last(pace.events) };
            if sender.send_data(event).await.is_err() {
                return;
            }
            tokio::time::sleep(pace.event).await;
        }
    });
    let mut response = Response::new(Either::Right(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

fn whole(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(REPORT_FIELD, HeaderValue::from_static(REPORT));
    response
}

fn token(number: usize) -> Bytes {
    let event = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{number:03}\"}},\"finish_reason\":null}}]}}\n\n"
    );
    Bytes::from(event)
}

fn last(tokens: usize) -> Bytes {
    let event = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}]}}\n\ndata: {{\"choices\":[],\
         \"usage\":{{\"prompt_tokens\":800,\"completion_tokens\":{tokens},\"prompt_tokens_details\":\
         {{\"cached_tokens\":400}}}}}}\n\ndata: [DONE]\n\n: {REPORT_FIELD}: {REPORT}\n\n"
    );
    Bytes::from(event)
}
