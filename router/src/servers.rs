//! Servers: sends attempts, says how they ended by the protocol's table, reads load reports and releases what
//! is held. Takes no decision. Nothing is ever sent twice: a connection that fails ends its attempt.

mod closing;
mod events;
mod frames;
mod link;
mod liveness;
pub mod upgrade;

use crate::core::{Core, Ended, Order, RepeatLimits, Server};
use crate::exchange::{Call, ClientEnd, Exchange, Left};
use crate::handover::{Base64Bytes, Framing, Handover, HandoverError, ReceivedStream, StreamState};
use crate::headers::IDEMPOTENCY_KEY;
use crate::log;
use actix_http::error::ParseError;
use awc::ClientResponse;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{CONTENT_TYPE, HeaderValue};
use bytes::Bytes;
use closing::Closings;
use events::{Garbage, Tail, report};
use fawnstream_attempts::MAX_TRANSIT;
use fawnstream_attempts::decisions::{NotBegun, SignOfLife};
use fawnstream_attempts::delivery::Delivery;
use fawnstream_leases::{LeaseConfig, ReleaseOutcome};
use futures_core::Stream;
pub use link::Traced;
use link::{Begin, Dialler, Lane, Pool, Raw, Watched};
use serde::Deserialize;
use shedrelay::{Attempt, ClassId, Evidence, RequestId, Role, Verdict};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A body that is no stream is read up to this size and for this long, so that its connection can be used again.
const SMALL_BODY: usize = 16 * 1024;
const SMALL_BODY_TIME: Duration = Duration::from_millis(100);
/// A stream that says nothing for so long has a dead server: nothing else ends it when a machine vanishes, and its
/// client must not be left waiting for 5 s.
pub const STALL: Duration = Duration::from_secs(4);
/// A stream whose time is over is looked at once more after this: where this process stood still, what came meanwhile is read
/// only after its timers.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// A stream that nobody took is offered again after this time.
const OFFER_AGAIN: Duration = Duration::from_millis(100);
/// No request is older than this.
const LONGEST_AGE_MS: u64 = 3_600_000;
/// An attempt that would have less than this is not begun: nothing answers in that time, and its end would be on the way
/// together with the request's final answer, which says that it has ended.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// A server may answer a request a second time, some milliseconds late. A rejection that comes this soon after the
/// answer before it on the same connection may be such a one, and proves nothing of the request that is out.
const STRAY_ANSWER: Duration = Duration::from_millis(20);
/// A connection that breaks in this time after it was used again was broken before.
const AT_ONCE: Duration = Duration::from_millis(100);

/// The close of a connection has arrived at its server within this time, where nothing is cut off.
pub fn close_arrives_within(links: shedrelay_settings::ConnectionSettings) -> Duration {
    closing::arrives_within(Duration::from_nanos(links.connect.0))
}

/// The servers' side of the router.
pub struct Fleet {
    core: Rc<Core>,
    pool: Rc<Pool>,
    handover: Rc<Handover>,
    closings: Rc<Closings>,
    /// What a release waits for its answer.
    patience: Duration,
}

impl Fleet {
    /// With so many connections at most.
    pub fn new(
        core: Rc<Core>,
        links: shedrelay_settings::ConnectionSettings,
        sockets: usize,
        terms: LeaseConfig,
        handover: Rc<Handover>,
    ) -> Rc<Self> {
        let pool = Pool::new(links, sockets, terms.max_concurrent_releases, core.dispatch_counter());
        pool.clone().sweep();
        let closings = Closings::new(close_arrives_within(links));
        Rc::new(Fleet { core, pool, handover, closings, patience: terms.release_timeout() })
    }

    fn way(&self) -> Way<'_> {
        Way { core: &self.core, pool: &self.pool, handover: &self.handover, closings: &self.closings }
    }

    /// Goes on with a stream that another process began, once what this returns is called; until then nothing of it
    /// is touched. `clients` is given the client's end and its connection. None if there is no room for it, or if it
    /// makes no sense.
    pub fn carry(
        self: &Rc<Self>,
        carried: ReceivedStream,
        clients: impl FnOnce(ClientEnd, TcpStream) + 'static,
    ) -> Option<Box<dyn FnOnce()>> {
        let ReceivedStream { state: form, client, server } = carried;
        let raw = Raw::new(server, form.framing, self.pool.carried()?)?;
        let tail = Tail::resume(form.event.0, form.done, form.kept, form.used)?;
        let class = self.core.names().classes.iter().position(|class| *class == form.class);
        let age = Duration::from_millis(form.age_ms.min(LONGEST_AGE_MS));
        let told = form.bill.as_ref().map_or(0.0, |bill| bill.prompt);
        let call = Call::carried(form.label, class.map(ClassId), age, told);
        let exchange = Exchange::new(call);
        let fleet = self.clone();
        Some(Box::new(move || {
            let Some((order, end)) = fleet.core.carry(exchange, &form.server, form.address, form.bill) else {
                return log!("handover dropped reason=twice");
            };
            clients(end, client);
            actix_rt::spawn(async move {
                let (request, attempt) = (order.request, order.attempt);
                let mut way = fleet.way();
                let ended = way.go_on(order, raw, tail).await;
                way.tell(request, attempt, ended);
            });
        }))
    }
}

impl crate::core::Servers for Fleet {
    fn send(&self, mut order: Order) {
        let (core, pool, handover) = (self.core.clone(), self.pool.clone(), self.handover.clone());
        let closings = self.closings.clone();
        actix_rt::spawn(async move {
            let (request, attempt) = (order.request, order.attempt);
            let mut way = Way { core: &core, pool: &pool, handover: &handover, closings: &closings };
            if let Some(after) = order.after.take() {
                order.write_by = tokio::select! {
                    biased;
                    // Nobody can say so any more where the core has ended.
                    write_by = after => write_by.unwrap_or_default(),
                    _ = &mut order.stop => {
                        return core.ended(request, attempt, Ended::unsent(Verdict::Cancelled, "cancelled"));
                    }
                };
            }
            tokio::select! {
                biased;
                () = closings.wait(request) => {}
                // Too late for it then; that is told where attempts begin.
                () = actix_rt::time::sleep_until(order.until.into()) => {}
                _ = &mut order.stop => {
                    return core.ended(request, attempt, Ended::unsent(Verdict::Cancelled, "cancelled"));
                }
            }
            let Some(lane) = pool.take(&order.server) else {
                return core.ended(request, attempt, Ended::unsent(Verdict::Moot, "no-sockets"));
            };
            let (idle, trace) = (lane.idle(), lane.trace());
            let sent = Instant::now();
            let ended = run(&mut way, order, lane).await;
            let ended = ended.map(|ended| Ended { idle, connection: Some(trace.now()), ..ended });
            if let (Some(idle), Some("reset" | "closed")) = (idle, ended.as_ref().map(|ended| ended.reason))
                && sent.elapsed() < AT_ONCE
            {
                pool.distrust(idle);
            }
            way.tell(request, attempt, ended);
        });
    }

    fn release(&self, label: Rc<str>, at: Rc<Server>) -> Pin<Box<dyn Future<Output = ReleaseOutcome>>> {
        Box::pin(release(self.pool.clone(), label, at, self.patience))
    }

    fn retire(&self, server: &Server) {
        self.pool.forget(server.address);
    }
}

/// After the final event the last chunk comes in this time.
const LAST_CHUNK: Duration = Duration::from_secs(1);
/// A client that takes nothing of its answer for so long has left, whatever its connection says.
const SLOW_CLIENT: Duration = Duration::from_secs(10);

/// What an attempt goes by.
struct Way<'a> {
    core: &'a Rc<Core>,
    pool: &'a Rc<Pool>,
    handover: &'a Rc<Handover>,
    closings: &'a Rc<Closings>,
}

/// Where a stream comes from.
enum Source<'a> {
    /// A client of the library.
    Awc(&'a mut ClientResponse, &'a Lane),
    /// A connection that was handed over, or was to be.
    Raw(&'a mut Raw),
}

impl Source<'_> {
    async fn piece(&mut self) -> Option<Result<Bytes, ()>> {
        match self {
            Source::Awc(answer, _) => piece(answer).await,
            Source::Raw(raw) => raw.piece().await,
        }
    }

    fn ended(&self) -> bool {
        match self {
            Source::Awc(_, lane) => lane.ended(),
            Source::Raw(raw) => raw.ended,
        }
    }

    fn spoilt(&self) -> Option<&'static str> {
        match self {
            Source::Awc(_, lane) => lane.spoilt(),
            Source::Raw(raw) => raw.spoilt.map(link::reason),
        }
    }

    fn framing(&self) -> Option<Framing> {
        match self {
            Source::Awc(_, lane) => lane.framing(),
            Source::Raw(raw) => raw.framing(),
        }
    }

    fn detach(&mut self) -> Option<TcpStream> {
        match self {
            Source::Awc(_, lane) => {
                lane.closing("handed-over");
                lane.detach()
            }
            Source::Raw(raw) => raw.stream.take(),
        }
    }
}

/// How a stream's relay ended here.
enum Relayed {
    /// The attempt is over.
    Over(Ended),
    /// It goes on in another process.
    Handed,
    /// It goes on here, without the libraries: its connections were given up and not taken.
    Bare(TcpStream, Framing, TcpStream),
}

impl Way<'_> {
    /// An attempt is given up that may still be out at its server, and another one may follow.
    fn give_up(&self, order: &Order, lane: &Lane) {
        if lane.delivery().may_have_run() && order.exchange.waits() {
            let place = self.pool.carried();
            self.closings.begin(order.request, place.and_then(|place| Some((lane.detach()?, place))));
        }
    }

    /// Returns when the server has shown, on the connection of a repeat, that its process runs; `latest` is when the repeat
    /// has to begin. Half of that time at most is spent, so that another server can be asked.
    async fn sign_of_life(&self, order: &mut Order, lane: &Lane, latest: Instant) -> Result<(), Ended> {
        let address = order.server.address;
        let left = latest.saturating_duration_since(Instant::now());
        let patience = (left / 2).min(self.pool.connect_time());
        let asked = liveness::ask(lane, address, &order.exchange.call.label);
        let answered = tokio::select! {
            biased;
            answered = asked => answered,
            _ = &mut order.stop => return Err(Ended::unsent(Verdict::Cancelled, "cancelled")),
            () = expired(order.write_by, lane) => return Err(Ended::unsent(Verdict::Expired, "expired")),
            () = actix_rt::time::sleep(patience) => Err(liveness::Unanswered::NoAnswer),
        };
        self.core.repeat_counts().count_asked(answered.is_ok());
        match answered {
            Ok(()) => {
                order.server.spoke.set(Some(Instant::now()));
                Ok(())
            }
            Err(liveness::Unanswered::NoConnection(error)) => {
                let (verdict, _, reason) = failed(&error, lane);
                Err(Ended::unsent(verdict, reason))
            }
            Err(liveness::Unanswered::NoAnswer) => {
                Err(Ended::unsent(Verdict::NoSignOfLife, "no-sign-of-life"))
            }
        }
    }

    /// Tells the core how an attempt ended here.
    fn tell(&self, request: RequestId, attempt: Attempt, ended: Option<Ended>) {
        match ended {
            Some(ended) => self.core.ended(request, attempt, ended),
            None => self.core.handed(request, attempt),
        }
    }

    /// Relays a stream without the library, to its end; none if it goes on elsewhere.
    async fn go_on(&mut self, mut order: Order, mut raw: Raw, mut tail: Tail) -> Option<Ended> {
        loop {
            let until = Instant::now() + STALL;
            match stream(self, &mut order, Source::Raw(&mut raw), &mut tail, Some(until)).await {
                Relayed::Over(ended) => return Some(ended),
                Relayed::Handed => return None,
                Relayed::Bare(server, framing, client) => {
                    let Some(next) = self.bare(&order, server, framing, client) else {
                        order.exchange.close(false);
                        return Some(over(&tail, Verdict::Reset, "handover-failed"));
                    };
                    raw = next;
                }
            }
        }
    }

    /// The connections of a stream that nobody took: from here on it goes by them alone.
    fn bare(&self, order: &Order, server: TcpStream, framing: Framing, client: TcpStream) -> Option<Raw> {
        let raw = Raw::new(server, framing, self.pool.carried()?)?;
        let end = self.core.client_again(order.request, &order.exchange);
        self.core.bare(end, client);
        Some(raw)
    }

    /// Offers a stream that stands between two chunks. None if it goes on as it is.
    async fn offer(&self, order: &Order, source: &mut Source<'_>, tail: &Tail) -> Option<Relayed> {
        let kept =
            |reason: &HandoverError| log!("handover kept id={} reason={reason}", order.exchange.call.label);
        let call = match self.handover.connect().await {
            Ok(call) => call,
            Err(reason) => {
                kept(&reason);
                return None;
            }
        };
        let framing = source.framing()?;
        // The client's side first: it may not be able to, and then nothing has changed.
        let client = order.exchange.surrender().await?;
        let form = StreamState {
            label: order.exchange.call.label.clone(),
            class: self.core.class_name(order.exchange.call.class).to_owned(),
            server: order.server.label.clone(),
            address: order.server.address,
            age_ms: order.exchange.call.arrived.elapsed().as_millis() as u64,
            framing: framing.clone(),
            event: Base64Bytes(tail.held.to_vec()),
            done: tail.done,
            kept: tail.kept,
            used: tail.used,
            bill: self.core.bill(&order.exchange.call),
        };
        let server = source.detach()?;
        match call.send(&form, &client, &server).await {
            Ok(()) => Some(Relayed::Handed),
            Err(reason) => {
                kept(&reason);
                Some(Relayed::Bare(server, framing, client))
            }
        }
    }
}

/// An attempt whose stream has ended.
fn over(tail: &Tail, verdict: Verdict, reason: &'static str) -> Ended {
    Ended {
        kept: tail.kept,
        used: tail.used,
        report: tail.report,
        ..Ended::new(verdict, Evidence::Server, Delivery::Answered, reason)
    }
}

/// One attempt from its send to its end; none if its stream goes on in another process.
async fn run(way: &mut Way<'_>, mut order: Order, lane: Lane) -> Option<Ended> {
    let (core, pool) = (way.core, way.pool);
    let useful = order.until.checked_sub(LEAST_TIME).unwrap_or(order.until);
    let begin = Begin {
        server: order.server.clone(),
        exchange: order.exchange.clone(),
        grace: pool.grace(),
        latest: order.repeat.map_or(useful, |repeat| repeat.begin_by.min(useful)),
        needs_sign_of_life: order.repeat.is_some_and(|repeat| repeat.needs_sign_of_life),
    };
    if let Some(forbidden) = begin.forbidden(SignOfLife::NotNeeded) {
        let (verdict, reason) = not_begun(forbidden);
        // Its connection is as good as before.
        pool.unused(lane);
        return Some(Ended::unsent(verdict, reason));
    }
    if begin.needs_sign_of_life
        && let Err(ended) = way.sign_of_life(&mut order, &lane, begin.latest).await
    {
        return Some(ended);
    }
    let call = &order.exchange.call;
    let body = lane.watch(begin, call.body.clone());
    let asked = ask(
        lane.dialler(),
        lane.client.clone(),
        order.exchange.clone(),
        order.server.address,
        order.deadline,
        body,
    );
    let until = order.until;
    let cut = |lane: &Lane, verdict, reason| {
        lane.closing(reason);
        let delivery = lane.delivery();
        // A connection closed before the last byte was written proves that nothing ran.
        let unsent = !delivery.may_have_run();
        let verdict = if verdict == Verdict::Timeout && unsent { Verdict::NoRoute } else { verdict };
        // With nothing heard for it, its server may not have read it yet.
        let evidence = if delivery == Delivery::Written { Evidence::Silence } else { Evidence::Router };
        Ended::new(verdict, evidence, delivery, reason)
    };
    // Kept until the reason is noted: dropping it ends the connection.
    let mut asked = std::pin::pin!(asked);
    let answer = tokio::select! {
        biased;
        answer = &mut asked => Ok(answer),
        _ = &mut order.stop => Err(cut(&lane, Verdict::Cancelled, "cancelled")),
        () = actix_rt::time::sleep_until(until.into()) => Err(cut(&lane, Verdict::Timeout, "timed-out")),
        () = expired(order.write_by, &lane) => Err(cut(&lane, Verdict::Expired, "expired")),
        () = unheard(order.repeat, &order.server, &lane) => Err(cut(&lane, Verdict::Timeout, "window-over")),
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(ended) => {
            way.give_up(&order, &lane);
            return Some(ended);
        }
    };
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            let (verdict, evidence, reason) = match lane.spoilt() {
                Some(spoilt) => (spoilt_at(&order.server), Evidence::Router, spoilt),
                None => failed(&error, &lane),
            };
            lane.closing(reason);
            if evidence == Evidence::Router {
                way.give_up(&order, &lane);
            }
            return Some(Ended::new(verdict, evidence, lane.delivery(), reason));
        }
    };
    let rejected = answer.headers().get("X-Rejected").is_some_and(|value| value.as_bytes() == b"1");
    let told = answer.headers().get("X-Load-Report").and_then(|value| report(value.as_bytes()));
    let (verdict, reason) = match (answer.status(), order.server.role) {
        (StatusCode::OK, Role::Writer | Role::Mixed) => {
            // Noted now: a report is of the time at which it came, and its stream may take seconds.
            core.reported(&order.server, told);
            let mut tail = Tail::default();
            let source = Source::Awc(&mut answer, &lane);
            return match stream(way, &mut order, source, &mut tail, None).await {
                Relayed::Over(ended) => {
                    if ended.verdict == Verdict::Ok {
                        pool.give(lane);
                    } else {
                        lane.closing(ended.reason);
                        way.give_up(&order, &lane);
                    }
                    Some(ended)
                }
                Relayed::Handed => None,
                Relayed::Bare(server, framing, client) => {
                    drop((answer, lane));
                    match way.bare(&order, server, framing, client) {
                        Some(raw) => way.go_on(order, raw, tail).await,
                        None => {
                            order.exchange.close(false);
                            Some(over(&tail, Verdict::Reset, "handover-failed"))
                        }
                    }
                }
            };
        }
        (StatusCode::ACCEPTED, Role::Reader | Role::Mixed) => (Verdict::Read, "read"),
        (StatusCode::GONE, _) if rejected => (Verdict::NoState, "no-state"),
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if rejected => {
            (Verdict::Full, "rejected")
        }
        (status, _) if status.is_server_error() => (Verdict::Error, "server-error"),
        // The server works; what it was sent is no use to it, nor to any other.
        (status, _) if status.is_client_error() => (Verdict::Moot, "unusable"),
        _ => (Verdict::Error, "bad-answer"),
    };
    let stray = rejected && lane.idle().is_some_and(|idle| idle < STRAY_ANSWER);
    let body = small(&mut answer).await;
    // An answer that does not come to its end leaves the attempt out until its connection is closed here.
    let evidence = if body.is_some() && !stray { Evidence::Server } else { Evidence::Router };
    let delivery = if stray { Delivery::Written } else { Delivery::Arrived };
    match body {
        Some(_) if !lane.ended() => pool.give(lane),
        _ => {
            lane.closing("body-broken");
            way.give_up(&order, &lane);
        }
    }
    #[derive(Deserialize)]
    struct Kept {
        cached_tokens: f64,
    }
    let kept = body.filter(|_| verdict == Verdict::Read);
    let kept =
        kept.and_then(|body| serde_json::from_slice::<Kept>(&body).ok()).map(|kept| kept.cached_tokens);
    Some(Ended {
        kept,
        report: told,
        unusable: reason == "unusable",
        ..Ended::new(verdict, evidence, delivery, reason)
    })
}

/// Sends a request once its connection is up, and waits for its answer's head: the server is told the time that is left
/// by then.
async fn ask(
    dialler: Dialler,
    client: awc::Client,
    exchange: Rc<Exchange>,
    address: SocketAddr,
    deadline: Instant,
    body: Watched,
) -> Result<ClientResponse, SendRequestError> {
    dialler.dial().await?;
    let call = &exchange.call;
    let left = deadline.saturating_duration_since(Instant::now());
    let asked = client
        .post(format!("http://{address}{}", call.target))
        .insert_header((CONTENT_TYPE, "application/json"))
        .insert_header(("X-Call-Id", call.label.as_str()))
        .insert_header(("X-Budget", format!("{:.3}", left.as_secs_f64())));
    let key = call.idempotency_key.as_ref().and_then(|key| HeaderValue::from_bytes(key).ok());
    let asked = match key {
        Some(key) => asked.insert_header((IDEMPOTENCY_KEY, key)),
        None => asked,
    };
    asked.send_body(body).await
}

/// A head that cannot be read: a writer's would have begun the answer, while what a reader read may wait there.
fn spoilt_at(server: &Server) -> Verdict {
    if server.role == Role::Reader { Verdict::Error } else { Verdict::Spoilt }
}

/// Waits until what is held for an attempt has to be let go; for ever once its last byte is written, for it may be
/// running: what is held is let go of while it is out.
async fn expired(at: Option<Instant>, lane: &Lane) {
    if let Some(at) = at {
        actix_rt::time::sleep_until(at.into()).await;
    }
    if at.is_none() || lane.delivery().may_have_run() {
        std::future::pending::<()>().await;
    }
}

/// Waits until a repeat has to be given up, for it is about to be dropped no more and nothing says that its server has read
/// it; for ever where something does. On a way that is cut it would arrive late otherwise.
async fn unheard(repeat: Option<RepeatLimits>, server: &Server, lane: &Lane) {
    if let Some(repeat) = repeat {
        actix_rt::time::sleep_until(repeat.unheard_until.into()).await;
        if !lane.delivery().may_have_run() {
            // It may still begin; what has not begun by then is told where attempts begin.
            actix_rt::time::sleep_until(repeat.begin_by.into()).await;
        }
    }
    let spoke_since = || {
        let read_by = lane.written_at().map(|written| written + MAX_TRANSIT);
        read_by.is_some_and(|read_by| server.spoke.get().is_some_and(|spoke| spoke > read_by))
    };
    if repeat.is_none() || lane.delivery() != Delivery::Written || spoke_since() {
        std::future::pending::<()>().await;
    }
}

/// What an attempt is to the core that must not begin: it has not run.
fn not_begun(why: NotBegun) -> (Verdict, &'static str) {
    match why {
        // Another server may still take it.
        NotBegun::Draining => (Verdict::Refused, "draining"),
        NotBegun::NotWanted => (Verdict::Cancelled, "not-wanted"),
        NotBegun::TooLate => (Verdict::Moot, "too-late"),
        NotBegun::NoSignOfLife => (Verdict::NoSignOfLife, "no-sign-of-life"),
    }
}

/// Has it run? The protocol's table, for attempts that got no answer's head.
fn failed(error: &SendRequestError, lane: &Lane) -> (Verdict, Evidence, &'static str) {
    if let Some(why) = lane.not_begun() {
        let (verdict, reason) = not_begun(why);
        return (verdict, Evidence::Router, reason);
    }
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => {
            (Verdict::NoRoute, Evidence::Router, "connect-timeout")
        }
        // Refused, or reset before it was written whole: a machine that vanished says nothing.
        _ if !lane.delivery().may_have_run() => (Verdict::Refused, Evidence::Server, "no-connection"),
        // A process that dies resets its connections; this one lives, and could not read what came.
        _ if lane.ended() => (Verdict::Closed, Evidence::Server, "closed"),
        SendRequestError::Response(ParseError::Io(_)) => (Verdict::Reset, Evidence::Server, "reset"),
        SendRequestError::Response(_) => (Verdict::Error, Evidence::Router, "garbage"),
        _ => (Verdict::Reset, Evidence::Server, "reset"),
    }
}

async fn piece(answer: &mut ClientResponse) -> Option<Result<Bytes, ()>> {
    poll_fn(|cx| Pin::new(&mut *answer).poll_next(cx)).await.map(|piece| piece.map_err(|_| ()))
}

/// Reads a small body to its end; none if it is large, slow or broken.
async fn small(answer: &mut ClientResponse) -> Option<Vec<u8>> {
    let all = async {
        let mut body = Vec::new();
        while let Some(piece) = piece(answer).await {
            body.extend_from_slice(&piece.ok()?);
            if body.len() > SMALL_BODY {
                return None;
            }
        }
        Some(body)
    };
    actix_rt::time::timeout(SMALL_BODY_TIME, all).await.ok().flatten()
}

/// Passes a writer's stream on, as it comes. `began`: its answer has begun already, and says something by then.
async fn stream(
    way: &Way<'_>,
    order: &mut Order,
    mut source: Source<'_>,
    tail: &mut Tail,
    began: Option<Instant>,
) -> Relayed {
    let mut started = began.is_some();
    let mut limit = began.unwrap_or(order.until);
    let mut offers = Instant::now();
    // Its time is over, and what may have come meanwhile is looked for once more.
    let mut looks_again = false;
    let (verdict, reason) = loop {
        let next = tokio::select! {
            biased;
            next = source.piece() => next,
            _ = &mut order.stop => break (Verdict::Cancelled, "cancelled"),
            () = actix_rt::time::sleep_until(limit.into()) => {
                if started && !std::mem::replace(&mut looks_again, true) {
                    limit = Instant::now() + LOOK_AGAIN;
                    continue;
                }
                break if started { (Verdict::Reset, "stalled") } else { (Verdict::Timeout, "timed-out") };
            }
            // Nothing more can be read now, so the stream stands between two chunks.
            () = going(way.handover, offers), if started => {
                if let Some(relayed) = way.offer(order, &mut source, tail).await {
                    return relayed;
                }
                offers = Instant::now() + OFFER_AGAIN;
                continue;
            }
        };
        match next {
            Some(Ok(bytes)) => {
                way.core.heard(&order.server);
                let Ok(events) = tail.feed(&bytes) else { break (Verdict::Spoilt, "garbage") };
                if events.is_empty() {
                    continue;
                }
                if !started {
                    if !way.core.started(order.request, order.attempt) {
                        break (Verdict::Cancelled, "not-wanted");
                    }
                    started = true;
                }
                if let Err(reason) = push(order, events).await {
                    break (Verdict::Cancelled, reason);
                }
                looks_again = false;
                limit = Instant::now() + if tail.done { LAST_CHUNK } else { STALL };
            }
            Some(Err(())) => match source.spoilt() {
                Some(spoilt) => break (Verdict::Spoilt, spoilt),
                None => break (Verdict::Reset, "stream-broken"),
            },
            None if source.ended() => break (Verdict::Reset, "stream-broken"),
            None if !tail.done => break (Verdict::Reset, "no-final-event"),
            None => match tail.rest() {
                Ok(rest) if rest.is_empty() => break (Verdict::Ok, "whole"),
                Ok(rest) => match push(order, rest).await {
                    Ok(()) => break (Verdict::Ok, "whole"),
                    Err(reason) => break (Verdict::Cancelled, reason),
                },
                Err(Garbage) => break (Verdict::Spoilt, "garbage"),
            },
        }
    };
    if started {
        order.exchange.close(verdict == Verdict::Ok);
    }
    Relayed::Over(over(tail, verdict, reason))
}

/// Waits until streams are handed over, and then until this one is offered next.
async fn going(handover: &Handover, next: Instant) {
    handover.started().await;
    actix_rt::time::sleep_until(next.into()).await;
}

/// Hands events to the client; waits while it is slow.
async fn push(order: &mut Order, events: Bytes) -> Result<(), &'static str> {
    tokio::select! {
        biased;
        _ = &mut order.stop => Err("client-left"),
        pushed = order.exchange.push(events) => pushed.map_err(|Left| "client-left"),
        () = actix_rt::time::sleep(SLOW_CLIENT) => Err("slow-client"),
    }
}

/// Asks a server to let go of all that is held for a request. Only an answer counts: a dead machine takes bytes too.
async fn release(pool: Rc<Pool>, label: Rc<str>, at: Rc<Server>, patience: Duration) -> ReleaseOutcome {
    let Some(lane) = pool.take_kept_back(&at) else { return ReleaseOutcome::Unsent };
    let uri = format!("http://{}/bootstrap/rooms/{label}", at.address);
    lane.unwatched();
    // What its connection's end is put down to, unless it is kept, which has that noted anew: another server may
    // have answered first, or this one not in time.
    lane.closing("release-failed");
    let answered = {
        let mut asked = std::pin::pin!(async {
            let mut answer = lane.client.delete(uri).send().await.ok()?;
            small(&mut answer).await.filter(|_| answer.status().is_success())
        });
        actix_rt::time::timeout(patience, &mut asked).await
    };
    if !matches!(answered, Ok(Some(_))) {
        return ReleaseOutcome::Failed;
    }
    at.spoke.set(Some(Instant::now()));
    pool.give(lane);
    ReleaseOutcome::Answered
}
