//! The listener: accepts clients' connections, evicts idle ones when it runs out of room, and closes each of them in
//! order.

use super::accept_error::AcceptError;
use super::conn::{ClientStream, Conn};
use crate::core::Core;
use crate::lifecycle::{Lifecycle, Phase, TAKE_AFTER_DRAIN};
use crate::live::LiveConnections;
use crate::log;
use actix_codec::Framed;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::h1::{ExpectHandler, UpgradeHandler};
use actix_http::{ConnectionType, HttpServiceBuilder, Request, Response, h1};
use actix_service::{Service, ServiceFactory, fn_service};
use fawnstream_attempts::decisions::{EvictReason, MIN_IDLE_TIME, may_evict};
use fawnstream_attempts::invariants::Invariant;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// How long a client's bytes are still read after its last answer. Closing a socket with unread bytes would reset the
/// connection, and the client could lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a connection with a request in progress is checked; no longer than the time limits in `conn.rs`.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How often an upgraded connection is checked; the code of its protocol keeps its time limits.
const UPGRADED_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// How long clients are still accepted after SIGTERM, since the layer in front of the router takes a moment to notice.
/// On an inherited socket the next process accepts them at once.
pub const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(600);
/// How long a connection without a request stays open during a drain. Most clients send another request in this time,
/// and their connection closes with its answer. A new connection waits as long for its first request.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Most connections in the system's accept queue.
pub const ACCEPT_BACKLOG: i32 = 1_024;
/// By the end of this time the runtime has polled its sockets once more.
const RUNTIME_POLL_TIME: Duration = Duration::from_millis(5);
/// Connections beyond the limit that get a refusal at the same time; more are closed without an answer.
const MAX_REJECTIONS: usize = 16;
/// Connections evicted for one `accept` that failed because this process had no descriptor left. The next `accept`
/// waits for them, so that accepting neither spins nor stops.
const EVICTIONS_PER_FAILURE: usize = 8;

/// End codes that may leave a request unanswered: the client caused the end, or the answer continues elsewhere.
const UNANSWERED_END_CODES: [&str; 6] =
    ["client-closed", "reset", "handed-over", "answer-broken", "slow-client", "bad-head"];

const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const HEAD_TOO_LARGE_RESPONSE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const NO_ROOM_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// State that all front ends share.
pub struct Shared {
    /// Decides on requests and tracks them.
    pub core: Rc<Core>,
    /// The router's phase.
    pub lifecycle: Lifecycle,
    /// The clients' socket is inherited from the platform: another process may accept on it too.
    pub inherited: bool,
    /// Long-lived connections, if they are configured.
    pub live: Option<Rc<LiveConnections>>,
    /// Configuration reloads since the start: successful and failed.
    pub reloads: Cell<(u64, u64)>,
    /// Open connections; each is removed by its task when it ends.
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    last_number: Cell<u64>,
    /// Listening sockets on which clients are still accepted.
    accepting: Rc<Cell<usize>>,
    max_connections: usize,
    /// Connections beyond the limit that are being refused.
    rejecting: Cell<usize>,
    accept_errors: Cell<u64>,
    /// Memory that all request bodies take together.
    body_bytes: Rc<Cell<usize>>,
    max_body_bytes: usize,
}

impl Shared {
    /// State with limits on client connections and on the bytes of all request bodies together.
    pub fn new(
        core: Rc<Core>,
        live: Option<Rc<LiveConnections>>,
        max_connections: usize,
        max_body_bytes: usize,
        inherited: bool,
    ) -> Rc<Self> {
        Rc::new(Shared {
            core,
            lifecycle: Lifecycle::default(),
            inherited,
            live,
            reloads: Cell::default(),
            conns: RefCell::default(),
            last_number: Cell::new(0),
            accepting: Rc::default(),
            max_connections,
            rejecting: Cell::new(0),
            accept_errors: Cell::new(0),
            body_bytes: Rc::default(),
            max_body_bytes,
        })
    }

    /// Waits until the router has to stop accepting connections.
    async fn accept_end(&self) {
        let _ = self.lifecycle.subscribe().wait_for(|status| status.phase == Phase::Stopping).await;
        if !self.inherited {
            actix_rt::time::sleep(ACCEPT_AFTER_STOP).await;
        }
    }

    /// Whether there is room to take over a connection from another process.
    pub fn can_take_over(&self) -> bool {
        self.open_connections() < self.max_connections && self.lifecycle.phase() != Phase::Stopping
    }

    /// Registers an open connection until the guard is dropped.
    pub fn register(self: &Rc<Self>, conn: &Rc<Conn>) -> Registration {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.conns.borrow_mut().insert(number, conn.clone());
        Registration { shared: self.clone(), number }
    }

    /// Records a failed `accept`. If this process has no descriptor left, evicts up to `max_evictions` idle
    /// connections.
    pub fn accept_failed(&self, peer: &str, kind: AcceptError, error: &std::io::Error, max_evictions: usize) {
        log!("accept failed peer={peer} kind={} error=\"{error}\"", kind.name());
        self.accept_errors.set(self.accept_errors.get() + 1);
        if kind == AcceptError::NoDescriptors {
            let _ = (0..max_evictions).all(|_| self.evict(EvictReason::Descriptors));
        }
    }

    /// Calls to `accept` that have failed.
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.get()
    }

    /// How many client connections are open.
    pub fn open_connections(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Whether clients are still accepted on any socket.
    pub fn accepting(&self) -> bool {
        self.accepting.get() > 0
    }

    /// An empty reservation of memory for a body.
    pub fn reserve_body(&self) -> BodyReservation {
        BodyReservation { bytes: 0, total: self.body_bytes.clone(), max_total: self.max_body_bytes }
    }

    /// Makes room for one more connection; evicts one if the limit is reached. Prefers a connection that has never
    /// sent a request, else the one longest without a request. False if none can be evicted.
    fn make_room(&self) -> bool {
        self.open_connections() < self.max_connections || self.evict(EvictReason::ClientSlot)
    }

    /// Evicts one connection without a request. False if there is none: a connection whose request has begun to
    /// arrive is owed an answer.
    fn evict(&self, reason: EvictReason) -> bool {
        let conns = self.conns.borrow();
        let evictable = |conn: &&Rc<Conn>| may_evict(&conn.facts(), reason);
        let rank = |conn: &&Rc<Conn>| {
            let rank = match (conn.requests.get(), conn.idle_since.get().elapsed() < MIN_IDLE_TIME) {
                (0, false) => 0,
                (0, true) => 2,
                _ => 1,
            };
            (rank, conn.idle_since.get())
        };
        let Some(victim) = conns.values().filter(evictable).min_by_key(rank) else { return false };
        victim.evicting.set(true);
        victim.evict.notify_one();
        true
    }
}

/// Counts a listening socket on which clients are accepted, until dropped.
struct Accepting(Rc<Cell<usize>>);

impl Accepting {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Accepting(count.clone())
    }
}

impl Drop for Accepting {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Keeps a connection among the open ones until dropped.
pub struct Registration {
    shared: Rc<Shared>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.conns.borrow_mut().remove(&self.number);
    }
}

/// A body's share of the memory that all bodies may take together; returned when dropped.
pub struct BodyReservation {
    bytes: usize,
    total: Rc<Cell<usize>>,
    max_total: usize,
}

impl BodyReservation {
    /// Reserves more memory; false if too little is left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if self.total.get() + bytes > self.max_total {
            return false;
        }
        self.bytes += bytes;
        self.total.set(self.total.get() + bytes);
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// Configures the server library without its own time limits: `Conn` keeps the time limits, and this module closes the
/// connections.
fn service_builder<S>() -> HttpServiceBuilder<ClientStream, S, ExpectHandler, UpgradeHandler>
where
    S: ServiceFactory<Request, Config = ()>,
    S::Error: Into<Response<BoxBody>> + 'static,
    S::InitError: std::fmt::Debug,
    <S::Service as Service<Request>>::Future: 'static,
{
    HttpServiceBuilder::default()
        .keep_alive(Duration::from_secs(24 * 3_600))
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        // A client that closes its sending side counts as gone.
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.conn.clone());
        })
}

/// Serves one front end until the program ends.
pub async fn serve<F, A>(listener: TcpListener, shared: Rc<Shared>, handle: F)
where
    F: Fn(Rc<Shared>, Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let service_shared = shared.clone();
    let service = fn_service(move |request: Request| {
        let (shared, handle) = (service_shared.clone(), handle.clone());
        async move {
            let conn = request.conn_data::<Rc<Conn>>().cloned();
            let mut response = handle(shared.clone(), request).await;
            if shared.lifecycle.phase().is_draining() {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            if let Some(conn) = conn.filter(|_| !response.head().keep_alive()) {
                conn.close_announced.set(true);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let Ok(handler) = service_builder().h1(service).new_service(()).await else {
        return crate::log!("front failed reason=no-service");
    };
    accept(listener, shared, handler).await;
}

/// Serves a front end whose requests ask for another protocol, until the program ends; `reject_plain` answers those
/// that do not.
pub async fn serve_upgrades<F, A>(
    listener: TcpListener,
    shared: Rc<Shared>,
    reject_plain: fn(&Request) -> Response<BoxBody>,
    upgrade: F,
) where
    F: Fn(Request, Framed<ClientStream, h1::Codec>) -> A + Clone + 'static,
    A: Future<Output = ()> + 'static,
{
    let service =
        fn_service(move |request: Request| async move { Ok::<_, Infallible>(reject_plain(&request)) });
    let upgraded = fn_service(move |(request, framed): (Request, Framed<ClientStream, h1::Codec>)| {
        // Boxed, since the library's own state is as large as the larger of both services' futures.
        let upgraded = Box::pin(upgrade(request, framed));
        async move {
            upgraded.await;
            Ok::<_, Infallible>(())
        }
    });
    let Ok(handler) = service_builder().upgrade(upgraded).h1(service).new_service(()).await else {
        return crate::log!("front failed reason=no-service");
    };
    accept(listener, shared, handler).await;
}

/// Accepts connections and spawns a task for each, until the router has to stop accepting.
async fn accept<H>(listener: TcpListener, shared: Rc<Shared>, handler: H)
where
    H: Service<(ClientStream, Option<SocketAddr>), Response = (), Error = DispatchError>,
    H::Future: 'static,
{
    if shared.inherited {
        // Until this process has started, the previous one accepts the connections.
        let starting = |phase: &Phase| matches!(phase, Phase::Starting { .. });
        let _ = shared.lifecycle.subscribe().wait_for(|status| !starting(&status.phase)).await;
    }
    let _accepting = Accepting::new(&shared.accepting);
    let mut accept_end = std::pin::pin!(shared.accept_end());
    // Once the socket is about to be closed: how many connections may still be accepted, and until when.
    let mut last_accepts = None;
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut accept_end, if last_accepts.is_none() => {
                if shared.inherited {
                    return;
                }
                // Connections in the system's accept queue are owed an answer. The runtime sees them when it polls
                // its sockets next.
                last_accepts = Some((ACCEPT_BACKLOG, Box::pin(actix_rt::time::sleep(RUNTIME_POLL_TIME))));
                continue;
            }
            accepted = listener.accept(),
                if last_accepts.as_ref().is_none_or(|(left, _)| *left > 0) => accepted,
            () = async { if let Some((_, poll_time)) = &mut last_accepts { poll_time.await } },
                if last_accepts.is_some() => return,
        };
        if let Some((left, _)) = &mut last_accepts {
            *left -= 1;
        }
        match accepted {
            Ok((stream, _)) if !shared.make_room() => reject(&shared, stream),
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let conn = Conn::new();
                let served = handler.call((ClientStream::new(stream, conn.clone()), Some(peer)));
                let registration = shared.register(&conn);
                let shared = shared.clone();
                actix_rt::spawn(async move {
                    let code = supervise(served, &conn, &shared).await;
                    if conn.owes_answer() && !UNANSWERED_END_CODES.contains(&code) {
                        let details = format!("connection={peer} code={code}");
                        shared.core.record_violation(Invariant::ClosedUnanswered, &details);
                    }
                    drop(registration);
                    log!(
                        "connection peer=client address={peer} code={code} requests={}",
                        conn.requests.get()
                    );
                });
            }
            Err(error) => {
                let kind = AcceptError::classify(&error);
                shared.accept_failed("client", kind, &error, EVICTIONS_PER_FAILURE);
                if let Some(backoff) = kind.backoff() {
                    actix_rt::time::sleep(backoff).await;
                }
            }
        }
    }
}

/// The planned close of a connection without a request.
struct PendingClose {
    code: &'static str,
    since: Instant,
    /// Requests received by then: if another one arrives, the close is called off.
    requests: u64,
}

/// Supervises a connection from its accept to its end; returns the end code.
async fn supervise(
    served: impl Future<Output = Result<(), DispatchError>>,
    conn: &Rc<Conn>,
    shared: &Shared,
) -> &'static str {
    let mut served = Box::pin(served);
    let mut phase_changes = shared.lifecycle.subscribe();
    let accepted_at = Instant::now();
    let mut pending_close: Option<PendingClose> = None;
    let code = loop {
        let now = Instant::now();
        let drain_start = shared.lifecycle.draining_since();
        let head_due = |due: Instant| {
            drain_start.filter(|_| conn.head_started()).map_or(due, |start| due.min(start + TAKE_AFTER_DRAIN))
        };
        let drain_close = drain_start
            .map(|start| start + DRAIN_IDLE_TIMEOUT)
            .filter(|_| conn.is_idle() && !conn.head_started());
        // The first request of a new connection may be on its way.
        let drain_close = drain_close
            .map(|at| if conn.requests.get() == 0 { at.max(accepted_at + DRAIN_IDLE_TIMEOUT) } else { at });
        conn.draining.set(drain_start.is_some());
        let requests = conn.requests.get();
        let between_requests = conn.is_idle() && !conn.head_started();
        if pending_close.take_if(|close| !between_requests || close.requests != requests).is_some() {
            conn.evicting.set(false);
        }
        if pending_close.is_none() && between_requests && conn.request_due().is_some_and(|due| due <= now) {
            let code = if requests == 0 { "no-request" } else { "idle" };
            pending_close = Some(PendingClose { code, since: now, requests });
        }
        conn.close_when_read.set(pending_close.is_some() || drain_close.is_some_and(|at| at <= now));
        let interval = if conn.upgraded.get() { UPGRADED_CHECK_INTERVAL } else { CHECK_INTERVAL };
        let next_check = match &pending_close {
            Some(close) => close.since + LINGER_TIMEOUT,
            None => conn.request_due().map_or_else(|| now + interval, head_due),
        };
        let next_check =
            drain_close.filter(|_| !conn.close_when_read.get()).map_or(next_check, |at| next_check.min(at));
        tokio::select! {
            biased;
            end = &mut served => break match &pending_close {
                // It closed as planned, with nothing unread.
                Some(close) if end.is_ok() && !conn.client_closed.get() => close.code,
                _ => end_code(&end, conn, shared.lifecycle.phase()),
            },
            // The server library may still be waiting to write bytes that the client will not read.
            () = conn.client_close.notified() => if !conn.is_idle() { break "client-closed" },
            () = conn.evict.notified() => match (conn.is_idle(), conn.head_started()) {
                (true, false) => {
                    pending_close =
                        Some(PendingClose { code: "evicted", since: now, requests: conn.requests.get() });
                }
                // Its next request arrived in the meantime: it stays open.
                _ => conn.evicting.set(false),
            },
            _ = phase_changes.changed() => {}
            () = conn.wake.notified() => {
                let surrender =
                    conn.surrender.take().filter(|surrender| !surrender.is_cancelled() && conn.can_surrender());
                if let Some(surrender) = surrender {
                    surrender.accept();
                    drop(served);
                    if let Some(socket) = conn.socket.take() {
                        surrender.complete(socket);
                    }
                    return "handed-over";
                }
            }
            () = actix_rt::time::sleep_until(next_check.into()) => {
                if conn.write_stalled() && !conn.upgraded.get() {
                    break "slow-client";
                }
                let between_requests = conn.is_idle() && !conn.head_started();
                let close =
                    pending_close.as_ref().filter(|close| close.since + LINGER_TIMEOUT <= Instant::now());
                // A request that has just been read is owed its answer.
                if let Some(close) = close.filter(|_| between_requests) {
                    // The server library has not closed in time, since its last answer cannot be written.
                    break close.code;
                }
                if conn.head_started()
                    && conn.request_due().is_some_and(|due| head_due(due) <= Instant::now())
                {
                    break "slow-head";
                }
            }
        }
    };
    // The server library gives the socket back.
    drop(served);
    let socket = conn.socket.borrow_mut().take();
    let answer: &[u8] = match code {
        "slow-head" => TIMEOUT_RESPONSE,
        "large-head" => HEAD_TOO_LARGE_RESPONSE,
        "closed" | "bad-head" | "answer-broken" | "idle" | "no-request" | "stopping" | "standby" => b"",
        _ => return code,
    };
    if let Some(socket) = socket.filter(|_| !conn.client_closed.get()) {
        tokio::select! {
            () = linger(socket, answer) => {}
            () = conn.evict.notified() => {}
        }
    }
    code
}

/// Closes a connection on which the client may still be sending: writes the answer, closes the sending side, and
/// discards what still arrives until the client closes or `LINGER_TIMEOUT` has passed.
pub async fn linger(mut socket: TcpStream, answer: &[u8]) {
    let all = async {
        let _ = socket.write_all(answer).await;
        let _ = socket.shutdown().await;
        let mut sink = vec![0; 16 * 1024];
        while socket.readable().await.is_ok() {
            match socket.try_read(&mut sink) {
                Ok(0) => return,
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    let _ = actix_rt::time::timeout(LINGER_TIMEOUT, all).await;
}

/// Refuses a connection beyond the limit.
fn reject(shared: &Rc<Shared>, socket: TcpStream) {
    log!("connection peer=client code=no-room requests=0");
    if shared.rejecting.get() >= MAX_REJECTIONS {
        return;
    }
    shared.rejecting.set(shared.rejecting.get() + 1);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        linger(socket, NO_ROOM_RESPONSE).await;
        shared.rejecting.set(shared.rejecting.get() - 1);
    });
}

/// The end code of a connection, for the log.
fn end_code(end: &Result<(), DispatchError>, conn: &Conn, phase: Phase) -> &'static str {
    match end {
        _ if conn.head_too_large.get() => "large-head",
        Err(DispatchError::Body(_)) => "answer-broken",
        Err(DispatchError::Parse(_)) => "bad-head",
        Err(DispatchError::Io(_)) => "reset",
        Err(_) => "error",
        Ok(()) if conn.client_closed.get() => "client-closed",
        Ok(()) if phase.is_draining() => phase.name(),
        Ok(()) if conn.requests.get() == 0 => "no-request",
        Ok(()) => "closed",
    }
}
