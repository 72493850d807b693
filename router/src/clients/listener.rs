//! The listener: accepts clients' connections, sees to it that there is room for those that ask something, and ends
//! each of them in order.

use super::accept_error::AcceptError;
use super::conn::{Conn, Wire};
use crate::core::Core;
use crate::lifecycle::{Lifecycle, Phase};
use crate::live::Live;
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

/// What a client still sends is taken for this long after its answer: closing on bytes that nobody read would
/// reset the connection, and take the answer from the client.
const LINGER: Duration = Duration::from_millis(1_500);
/// How often a connection with a request under way is looked at; no longer than its times in `conn.rs`.
const LOOK: Duration = Duration::from_secs(2);
/// One that speaks another protocol keeps its times itself.
const LOOK_UPGRADED: Duration = Duration::from_secs(60);
/// After SIGTERM clients keep coming for a moment, until the front layer has heard; they are still served. Where the
/// socket is inherited the next process takes them at once.
pub const STILL_OPEN: Duration = Duration::from_millis(600);
/// Clients that are sent away may ask once more on a connection without a request for so long, so that most of them
/// close with an answer; a new connection stays open for as long until its first request.
const LAST_USE: Duration = Duration::from_millis(600);
/// A head that has begun is whole this long after its client was sent away: 4 s after a drain no connection may carry
/// a request from the last 2 s.
const LAST_HEAD: Duration = Duration::from_millis(1_900);
/// Connections that the system accepts ahead of the router, at most.
const BACKLOG: u32 = 1_024;
/// The runtime has looked at its sockets once more after this.
const ONE_TURN: Duration = Duration::from_millis(5);
/// Connections beyond the limit that are told so, rather than just closed.
const MOST_TURNED_AWAY: usize = 16;
/// When this process has no descriptor left, so many connections end, and accepting waits for them: it neither spins
/// nor stops.
const EVICTED_AT_ONCE: usize = 8;

/// Ends of a connection under a request that are the client's, or go on elsewhere.
const FREE_ENDS: [&str; 6] =
    ["client-closed", "reset", "handed-over", "answer-broken", "slow-client", "bad-head"];

const LATE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const LARGE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// What all fronts share.
pub struct Shared {
    /// Where requests go.
    pub core: Rc<Core>,
    /// Where in its life the router is.
    pub life: Lifecycle,
    /// The clients' socket is the platform's, and another process may accept from it.
    pub inherited: bool,
    /// Long-lived connections, where there are any.
    pub live: Option<Rc<Live>>,
    /// Configurations taken over and turned down since the start.
    pub reloads: Cell<(u64, u64)>,
    /// Connections that are open; each is taken out by its task when it ends.
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    last: Cell<u64>,
    /// Sockets on which clients are still accepted.
    accepting: Rc<Cell<usize>>,
    most: usize,
    turned_away: Cell<usize>,
    accept_errors: Cell<u64>,
    bodies: Rc<Cell<usize>>,
    most_bodies: usize,
}

impl Shared {
    /// With so many client connections, and so many bytes of requests' bodies, at most.
    pub fn new(
        core: Rc<Core>,
        live: Option<Rc<Live>>,
        most: usize,
        most_bodies: usize,
        inherited: bool,
    ) -> Rc<Self> {
        Rc::new(Shared {
            core,
            life: Lifecycle::default(),
            inherited,
            live,
            reloads: Cell::default(),
            conns: RefCell::default(),
            last: Cell::new(0),
            accepting: Rc::default(),
            most,
            turned_away: Cell::new(0),
            accept_errors: Cell::new(0),
            bodies: Rc::default(),
            most_bodies,
        })
    }

    /// Waits until no connection is to be accepted any more.
    async fn shut(&self) {
        let _ = self.life.subscribe().wait_for(|(phase, _)| *phase == Phase::Stopping).await;
        if !self.inherited {
            actix_rt::time::sleep(STILL_OPEN).await;
        }
    }

    /// Whether one more connection of another process can be taken over.
    pub fn takes_over(&self) -> bool {
        self.open() < self.most && self.life.phase() != Phase::Stopping
    }

    /// Notes a connection that did not come through the listener, until the guard goes.
    pub fn enter(self: &Rc<Self>, conn: &Rc<Conn>) -> Entered {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.conns.borrow_mut().insert(number, conn.clone());
        Entered { shared: self.clone(), number }
    }

    /// Notes that `accept` failed; where this process has no descriptor left, so many connections that rest end.
    pub fn accept_failed(&self, peer: &str, kind: AcceptError, error: &std::io::Error, most: usize) {
        log!("accept failed peer={peer} kind={} error=\"{error}\"", kind.name());
        self.accept_errors.set(self.accept_errors.get() + 1);
        if kind == AcceptError::Exhausted {
            let _ = (0..most).all(|_| self.evict(EvictReason::Descriptors));
        }
    }

    /// Calls of `accept` that have failed.
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.get()
    }

    /// Client connections that are open.
    pub fn open(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Whether clients are still accepted anywhere.
    pub fn accepting(&self) -> bool {
        self.accepting.get() > 0
    }

    /// Room for a body, none of it taken yet.
    pub fn hold(&self) -> Held {
        Held { bytes: 0, all: self.bodies.clone(), most: self.most_bodies }
    }

    /// Makes room for one more connection, at the cost of the one that needs its place least: silent from the
    /// start, else longest without a request. False if none can go.
    fn make_room(&self) -> bool {
        self.open() < self.most || self.evict(EvictReason::ClientSlot)
    }

    /// Ends one connection without a request. False if there is none: one whose request has begun to come is owed an
    /// answer.
    fn evict(&self, need: EvictReason) -> bool {
        let conns = self.conns.borrow();
        let may_go = |conn: &&Rc<Conn>| may_evict(&conn.facts(), need);
        let rank = |conn: &&Rc<Conn>| {
            let rank = match (conn.requests.get(), conn.since.get().elapsed() < MIN_IDLE_TIME) {
                (0, false) => 0,
                (0, true) => 2,
                _ => 1,
            };
            (rank, conn.since.get())
        };
        let Some(least) = conns.values().filter(may_go).min_by_key(rank) else { return false };
        least.leaving.set(true);
        least.evict.notify_one();
        true
    }
}

/// A socket on which clients are accepted, counted until the guard goes.
struct Accepting(Rc<Cell<usize>>);

impl Accepting {
    fn new(all: &Rc<Cell<usize>>) -> Self {
        all.set(all.get() + 1);
        Accepting(all.clone())
    }
}

impl Drop for Accepting {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection's place among those that are open.
pub struct Entered {
    shared: Rc<Shared>,
    number: u64,
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.shared.conns.borrow_mut().remove(&self.number);
    }
}

/// A part of the memory that all bodies may take together; goes back by itself.
pub struct Held {
    bytes: usize,
    all: Rc<Cell<usize>>,
    most: usize,
}

impl Held {
    /// Takes more; false if there is no more.
    pub fn add(&mut self, bytes: usize) -> bool {
        if self.all.get() + bytes > self.most {
            return false;
        }
        self.bytes += bytes;
        self.all.set(self.all.get() + bytes);
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.bytes);
    }
}

/// How the server library serves connections. Times are kept by `Conn`, and the end of a connection is seen to here.
fn builder<S>() -> HttpServiceBuilder<Wire, S, ExpectHandler, UpgradeHandler>
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
        // A client that closes its connection has gone away.
        .h1_allow_half_closed(false)
        .on_connect_ext(|wire: &Wire, data| {
            data.insert(wire.conn.clone());
        })
}

/// Serves one front until the program ends.
pub async fn serve<F, A>(listener: TcpListener, shared: Rc<Shared>, front: F)
where
    F: Fn(Rc<Shared>, Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let of = shared.clone();
    let service = fn_service(move |request: Request| {
        let (shared, front) = (of.clone(), front.clone());
        async move {
            let conn = request.conn_data::<Rc<Conn>>().cloned();
            let mut response = front(shared.clone(), request).await;
            if shared.life.phase().is_draining() {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            if let Some(conn) = conn.filter(|_| !response.head().keep_alive()) {
                conn.said_close.set(true);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let Ok(handler) = builder().h1(service).new_service(()).await else {
        return crate::log!("front failed reason=no-service");
    };
    accept(listener, shared, handler).await;
}

/// Serves a front whose requests ask for another protocol, until the program ends; `plain` answers those that do not.
pub async fn serve_upgrades<F, A>(
    listener: TcpListener,
    shared: Rc<Shared>,
    plain: fn(&Request) -> Response<BoxBody>,
    upgrade: F,
) where
    F: Fn(Request, Framed<Wire, h1::Codec>) -> A + Clone + 'static,
    A: Future<Output = ()> + 'static,
{
    let service = fn_service(move |request: Request| async move { Ok::<_, Infallible>(plain(&request)) });
    let upgraded = fn_service(move |(request, wire): (Request, Framed<Wire, h1::Codec>)| {
        // Apart from the library's own state, which is as large as the largest of both.
        let upgraded = Box::pin(upgrade(request, wire));
        async move {
            upgraded.await;
            Ok::<_, Infallible>(())
        }
    });
    let Ok(handler) = builder().upgrade(upgraded).h1(service).new_service(()).await else {
        return crate::log!("front failed reason=no-service");
    };
    accept(listener, shared, handler).await;
}

async fn accept<H>(listener: TcpListener, shared: Rc<Shared>, handler: H)
where
    H: Service<(Wire, Option<SocketAddr>), Response = (), Error = DispatchError>,
    H::Future: 'static,
{
    if shared.inherited {
        // Until then the process before this one takes what comes.
        let starting = |phase: &Phase| matches!(phase, Phase::Starting { .. });
        let _ = shared.life.subscribe().wait_for(|(phase, _)| !starting(phase)).await;
    }
    let _accepting = Accepting::new(&shared.accepting);
    let mut shut = std::pin::pin!(shared.shut());
    // How many more are accepted, once the socket is about to be closed.
    let mut last = None;
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut shut, if last.is_none() => {
                if shared.inherited {
                    return;
                }
                // What the system has accepted by now is owed an answer. The runtime hears of it with its next turn.
                last = Some((BACKLOG, Box::pin(actix_rt::time::sleep(ONE_TURN))));
                continue;
            }
            accepted = listener.accept(), if last.as_ref().is_none_or(|(left, _)| *left > 0) => accepted,
            () = async { if let Some((_, turn)) = &mut last { turn.await } }, if last.is_some() => return,
        };
        if let Some((left, _)) = &mut last {
            *left -= 1;
        }
        match accepted {
            Ok((stream, _)) if !shared.make_room() => turn_away(&shared, stream),
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let conn = Conn::new();
                let served = handler.call((Wire::new(stream, conn.clone()), Some(peer)));
                let entered = shared.enter(&conn);
                let shared = shared.clone();
                actix_rt::spawn(async move {
                    let code = follow(served, &conn, &shared).await;
                    if conn.owes() && !FREE_ENDS.contains(&code) {
                        let what = format!("connection={peer} code={code}");
                        shared.core.violated(Invariant::ClosedUnanswered, &what);
                    }
                    drop(entered);
                    log!(
                        "connection peer=client address={peer} code={code} requests={}",
                        conn.requests.get()
                    );
                });
            }
            Err(error) => {
                let kind = AcceptError::of(&error);
                shared.accept_failed("client", kind, &error, EVICTED_AT_ONCE);
                if let Some(wait) = kind.wait() {
                    actix_rt::time::sleep(wait).await;
                }
            }
        }
    }
}

/// Why a connection is to end between two requests.
struct Ending {
    code: &'static str,
    since: Instant,
    /// Requests that had come by then: one more, and it does not end.
    requests: u64,
}

/// A connection from its accept to its end; gives the reason.
async fn follow(
    served: impl Future<Output = Result<(), DispatchError>>,
    conn: &Rc<Conn>,
    shared: &Shared,
) -> &'static str {
    let mut served = Box::pin(served);
    let mut life = shared.life.subscribe();
    let born = Instant::now();
    let mut ending: Option<Ending> = None;
    let code = loop {
        let now = Instant::now();
        let away = shared.life.draining_since();
        let by = |due: Instant| away.filter(|_| conn.begun()).map_or(due, |away| due.min(away + LAST_HEAD));
        let free = away.map(|away| away + LAST_USE).filter(|_| conn.idle() && !conn.begun());
        // Its first request may be on its way.
        let free = free.map(|free| if conn.requests.get() == 0 { free.max(born + LAST_USE) } else { free });
        conn.away.set(away.is_some());
        let requests = conn.requests.get();
        let resting = conn.idle() && !conn.begun();
        if ending.take_if(|ending| !resting || ending.requests != requests).is_some() {
            conn.leaving.set(false);
        }
        if ending.is_none() && resting && conn.due().is_some_and(|due| due <= now) {
            let code = if requests == 0 { "no-request" } else { "idle" };
            ending = Some(Ending { code, since: now, requests });
        }
        conn.leave.set(ending.is_some() || free.is_some_and(|free| free <= now));
        let often = if conn.upgraded.get() { LOOK_UPGRADED } else { LOOK };
        let look = match &ending {
            Some(ending) => ending.since + LINGER,
            None => conn.due().map_or_else(|| now + often, by),
        };
        let look = free.filter(|_| !conn.leave.get()).map_or(look, |free| look.min(free));
        tokio::select! {
            biased;
            end = &mut served => break match &ending {
                // It ended as it was asked to, with nothing unread.
                Some(ending) if end.is_ok() && !conn.ended.get() => ending.code,
                _ => code(&end, conn, shared.life.phase()),
            },
            // The server library may wait until it has written what nobody reads any more.
            () = conn.gone.notified() => if !conn.idle() { break "client-closed" },
            () = conn.evict.notified() => match (conn.idle(), conn.begun()) {
                (true, false) => {
                    ending = Some(Ending { code: "evicted", since: now, requests: conn.requests.get() });
                }
                // Its next request came in that moment: it stays.
                _ => conn.leaving.set(false),
            },
            _ = life.changed() => {}
            () = conn.free.notified() => {
                let asked = conn.surrender.take().filter(|asked| !asked.is_void() && conn.quiet());
                if let Some(asked) = asked {
                    asked.begin();
                    drop(served);
                    if let Some(socket) = conn.socket.take() {
                        asked.give(socket);
                    }
                    return "handed-over";
                }
            }
            () = actix_rt::time::sleep_until(look.into()) => {
                if conn.stuck() && !conn.upgraded.get() {
                    break "slow-client";
                }
                let resting = conn.idle() && !conn.begun();
                let ending = ending.as_ref().filter(|ending| ending.since + LINGER <= Instant::now());
                // A request that was read in this very moment is owed its answer.
                if let Some(ending) = ending.filter(|_| resting) {
                    // What it was answered does not get away.
                    break ending.code;
                }
                if conn.begun() && conn.due().is_some_and(|due| by(due) <= Instant::now()) {
                    break "slow-head";
                }
            }
        }
    };
    // The library lets go of the socket.
    drop(served);
    let socket = conn.socket.borrow_mut().take();
    let answer: &[u8] = match code {
        "slow-head" => LATE,
        "large-head" => LARGE,
        "closed" | "bad-head" | "answer-broken" | "idle" | "no-request" | "stopping" | "standby" => b"",
        _ => return code,
    };
    if let Some(socket) = socket.filter(|_| !conn.ended.get()) {
        tokio::select! {
            () = linger(socket, answer) => {}
            () = conn.evict.notified() => {}
        }
    }
    code
}

/// Ends a connection on which the client may still be sending: the answer goes out, then the sending side is
/// closed, and what still comes is thrown away for a while.
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
    let _ = actix_rt::time::timeout(LINGER, all).await;
}

/// No room for this one.
fn turn_away(shared: &Rc<Shared>, socket: TcpStream) {
    log!("connection peer=client code=no-room requests=0");
    if shared.turned_away.get() >= MOST_TURNED_AWAY {
        return;
    }
    shared.turned_away.set(shared.turned_away.get() + 1);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        linger(socket, FULL).await;
        shared.turned_away.set(shared.turned_away.get() - 1);
    });
}

/// The reason why a connection ended, for the log.
fn code(end: &Result<(), DispatchError>, conn: &Conn, phase: Phase) -> &'static str {
    match end {
        _ if conn.large.get() => "large-head",
        Err(DispatchError::Body(_)) => "answer-broken",
        Err(DispatchError::Parse(_)) => "bad-head",
        Err(DispatchError::Io(_)) => "reset",
        Err(_) => "error",
        Ok(()) if conn.ended.get() => "client-closed",
        Ok(()) if phase.is_draining() => phase.name(),
        Ok(()) if conn.requests.get() == 0 => "no-request",
        Ok(()) => "closed",
    }
}
