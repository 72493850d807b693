//! Hollow workers: they answer prompts and releases as the protocol page says, and compute nothing.

use crate::plan::Conditions;
use crate::traffic::{CountedStream, Traffic};
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

/// Load report in every answer of a worker.
pub const LOAD_REPORT: &str = "{\"inflight\":3,\"queue\":0,\"x0\":0.30,\"x1\":2}";
const LOAD_REPORT_HEADER: &str = "X-Load-Report";
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Events buffered for a router that reads its stream slowly.
const STREAM_BUFFER_EVENTS: usize = 4;

type Body = Either<Full<Bytes>, Channel<Bytes>>;

/// Counters shared by all workers of a point.
#[derive(Debug, Default)]
pub struct WorkerCounters {
    /// Prompts read by readers.
    pub reads: AtomicU64,
    /// Streams begun by writers.
    pub streams: AtomicU64,
    /// Releases answered.
    pub releases: AtomicU64,
    /// Connections that are open now.
    pub connections: AtomicU64,
    /// Bytes over all connections.
    pub traffic: Arc<Traffic>,
}

/// How long workers take to answer.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    answer_delay: Duration,
    events: usize,
    event_interval: Duration,
}

impl Timing {
    /// The times of a plan.
    pub fn new(conditions: &Conditions) -> Self {
        Timing {
            answer_delay: Duration::from_millis(conditions.read_ms),
            events: conditions.events,
            event_interval: Duration::from_millis(conditions.event_ms),
        }
    }
}

/// A worker that can be stopped and started again at the same address.
#[derive(Clone)]
pub struct Worker {
    /// Address at which it listens.
    pub address: SocketAddr,
    up: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker on a free loopback port.
    pub async fn start(
        is_reader: bool,
        timing: Timing,
        counters: Arc<WorkerCounters>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let up = watch::Sender::new(true);
        tokio::spawn(run(listener, up.subscribe(), is_reader, timing, counters));
        Ok(Worker { address, up })
    }

    /// Stops the worker and breaks all its connections, or starts it again.
    pub fn set_up(&self, up: bool) {
        self.up.send_replace(up);
    }
}

async fn run(
    first: TcpListener,
    mut up: watch::Receiver<bool>,
    is_reader: bool,
    timing: Timing,
    counters: Arc<WorkerCounters>,
) {
    let Ok(address) = first.local_addr() else { return };
    let mut listener = Some(first);
    loop {
        let current = match listener.take() {
            Some(listener) => listener,
            None => match listen(address) {
                Ok(listener) => listener,
                // The port is not free yet: earlier connections are still closing.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        accept(&current, &mut up, is_reader, timing, &counters).await;
        drop(current);
        // An error means that the `Worker` has been dropped, because its point is over.
        if up.has_changed().is_err() || up.wait_for(|up| *up).await.is_err() {
            return;
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the worker is stopped.
async fn accept(
    listener: &TcpListener,
    up: &mut watch::Receiver<bool>,
    is_reader: bool,
    timing: Timing,
    counters: &Arc<WorkerCounters>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(up) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (mut connection_up, counters) = (up.clone(), counters.clone());
        tokio::spawn(async move {
            counters.connections.fetch_add(1, Ordering::Relaxed);
            let io = TokioIo::new(CountedStream::new(stream, counters.traffic.clone()));
            let request_counters = counters.clone();
            let service = service_fn(move |request| {
                handle_request(request, is_reader, timing, request_counters.clone())
            });
            tokio::select! {
                _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service) => {}
                () = wait_for_stop(&mut connection_up) => {}
            }
            counters.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn wait_for_stop(up: &mut watch::Receiver<bool>) {
    // An error means that the `Worker` has been dropped, which stops it as well.
    let _ = up.wait_for(|up| !*up).await;
}

async fn handle_request(
    request: Request<Incoming>,
    is_reader: bool,
    timing: Timing,
    counters: Arc<WorkerCounters>,
) -> Result<Response<Body>, Infallible> {
    let release = request.method() == Method::DELETE;
    if request.into_body().collect().await.is_err() {
        return Ok(full_response(StatusCode::BAD_REQUEST, ""));
    }
    if release {
        counters.releases.fetch_add(1, Ordering::Relaxed);
        return Ok(full_response(StatusCode::NO_CONTENT, ""));
    }
    tokio::time::sleep(timing.answer_delay).await;
    if is_reader {
        counters.reads.fetch_add(1, Ordering::Relaxed);
        return Ok(full_response(StatusCode::ACCEPTED, "{\"cached_tokens\":400}"));
    }
    counters.streams.fetch_add(1, Ordering::Relaxed);
    let (mut sender, body) = Channel::<Bytes>::new(STREAM_BUFFER_EVENTS);
    tokio::spawn(async move {
        for number in 0..=timing.events {
            let event =
                if number < timing.events { token_event(number) } else { final_events(timing.events) };
            if sender.send_data(event).await.is_err() {
                return;
            }
            tokio::time::sleep(timing.event_interval).await;
        }
    });
    let mut response = Response::new(Either::Right(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

fn full_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(LOAD_REPORT_HEADER, HeaderValue::from_static(LOAD_REPORT));
    response
}

fn token_event(number: usize) -> Bytes {
    let event = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{number:03}\"}},\"finish_reason\":null}}]}}\n\n"
    );
    Bytes::from(event)
}

fn final_events(tokens: usize) -> Bytes {
    let events = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}]}}\n\ndata: {{\"choices\":[],\
         \"usage\":{{\"prompt_tokens\":800,\"completion_tokens\":{tokens},\"prompt_tokens_details\":\
         {{\"cached_tokens\":400}}}}}}\n\ndata: [DONE]\n\n: {LOAD_REPORT_HEADER}: {LOAD_REPORT}\n\n"
    );
    Bytes::from(events)
}
