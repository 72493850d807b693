//! Clients: they send requests, read answers, leave early, reuse connections, and some send only part of a request.

use crate::class::Class;
use crate::http::ReadBuffer;
use crate::limits::{LATE_ANSWER_GRACE, PARTIAL_REQUEST_TIMEOUT};
use crate::trace::{Outcome, PartialRequest, Recorder, RequestEvent};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// A connection that was idle for longer is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a client stops waiting for a stream's end.
const STREAM_TIMEOUT: Duration = Duration::from_secs(12);

/// Idle connections by router address.
pub type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>>;

/// Which connection a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A new one.
    New,
    /// An idle one if there is one, else a new one.
    Idle,
    /// An idle one, or the request is not sent: the router is about to exit, and the front sends it no new
    /// connections.
    OnlyIdle,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request's id.
    pub id: u64,
    /// The session's hash.
    pub session: u64,
    /// The request's class.
    pub class: Class,
    /// The router's number.
    pub router: usize,
    /// The router's address.
    pub address: SocketAddr,
    /// Time until the deadline.
    pub budget: Duration,
    /// Time after which the client closes the connection, if it leaves early.
    pub leaves_after: Option<Duration>,
    /// Which connection the client uses.
    pub connection: ConnectionChoice,
    /// Pause between the two parts of the request, if it is sent in two.
    pub pause: Option<Duration>,
}

fn request_text(request: &ClientRequest) -> String {
    let body = "{\"model\":\"m\"}";
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {:016x}\r\nX-Call-Class: {}\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {:016x}\r\nX-Budget: {}\r\n\
         X-Call-Info: prefix={:016x},prompt_len=512,prefix_len=256,max_out=80\r\nContent-Length: {}\r\n\r\n{body}",
        request.id,
        request.class.name(),
        request.session,
        request.budget.as_secs_f64(),
        request.session % 4,
        body.len()
    )
}

/// Takes an idle connection that is still open.
fn take_idle(idle: &IdleConnections, address: SocketAddr) -> Option<TcpStream> {
    let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
    let streams = idle.get_mut(&address)?;
    while let Some((stream, since)) = streams.pop() {
        let open =
            stream.try_read(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        if open && since.elapsed() < MAX_IDLE_TIME {
            return Some(stream);
        }
    }
    None
}

/// Sends a request and reads its answer to the end.
pub async fn send_request(request: ClientRequest, recorder: Arc<Recorder>, idle: IdleConnections) {
    let reused =
        if request.connection == ConnectionChoice::New { None } else { take_idle(&idle, request.address) };
    let fresh = reused.is_none();
    let stream = match reused {
        Some(stream) => stream,
        None if request.connection == ConnectionChoice::OnlyIdle => return,
        None => match TcpStream::connect(request.address).await {
            Ok(stream) => stream,
            // The connection was refused: no router has the request.
            Err(_) => return,
        },
    };
    let _ = stream.set_nodelay(true);
    let mut stream = stream;
    let whole = request_text(&request);
    if let Some(pause) = request.pause {
        let (first, _) = whole.split_at(whole.len() / 3);
        if stream.write_all(first.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
    let rest = if request.pause.is_some() { &whole[whole.len() / 3..] } else { &whole };
    if stream.write_all(rest.as_bytes()).await.is_err() {
        return;
    }
    let asked = Instant::now();
    recorder.record_at(
        request.id,
        asked,
        RequestEvent::Asked { router: request.router, class: request.class, fresh },
    );
    let leave_at = request.leaves_after.map(|after| asked + after);
    let mut buffer = ReadBuffer::default();
    let reading = read_answer(&mut stream, &mut buffer, &request, &recorder, asked);
    let outcome = match leave_at {
        Some(at) => tokio::time::timeout_at(at.into(), reading).await.unwrap_or(Outcome::Left),
        None => reading.await,
    };
    if outcome == Outcome::Left {
        drop(stream);
        recorder.record(request.id, RequestEvent::Left);
        return recorder.record(request.id, RequestEvent::Ended(outcome));
    }
    recorder.record(request.id, RequestEvent::Ended(outcome));
    let ends_well =
        matches!(outcome, Outcome::Served | Outcome::Answered(_)) && buffer.is_empty() && !buffer.closes;
    if ends_well {
        let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(request.address).or_default().push((stream, Instant::now()));
    }
}

async fn read_answer(
    stream: &mut TcpStream,
    buffer: &mut ReadBuffer,
    request: &ClientRequest,
    recorder: &Recorder,
    asked: Instant,
) -> Outcome {
    let until = asked + request.budget + LATE_ANSWER_GRACE + Duration::from_secs(1);
    let (status, chunked, length) = loop {
        match buffer.take_answer_head() {
            Some(Ok(head)) => break head,
            Some(Err(())) => return Outcome::Broken,
            None => {}
        }
        match tokio::time::timeout_at(until.into(), buffer.read_more(stream)).await {
            Ok(true) => {}
            Ok(false) => return Outcome::Closed,
            Err(_) => return Outcome::Silent,
        }
    };
    recorder.record(request.id, RequestEvent::Head(status));
    if !chunked {
        while !buffer.take_body(length) {
            if !buffer.read_more(stream).await {
                return Outcome::Broken;
            }
        }
        return Outcome::Answered(status);
    }
    let until = asked + STREAM_TIMEOUT;
    loop {
        match buffer.take_chunk() {
            Some(Ok(chunk)) if chunk.is_empty() => return Outcome::Served,
            Some(Ok(chunk)) => record_events(&chunk, request, recorder),
            Some(Err(())) => return Outcome::Broken,
            None => match tokio::time::timeout_at(until.into(), buffer.read_more(stream)).await {
                Ok(true) => {}
                _ => return Outcome::Broken,
            },
        }
    }
}

/// Records the events of a chunk. Their contents are their numbers.
fn record_events(chunk: &[u8], request: &ClientRequest, recorder: &Recorder) {
    let text = String::from_utf8_lossy(chunk);
    for part in text.split("\"content\":\"n").skip(1) {
        let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
        if let Ok(number) = digits.parse() {
            recorder.record(request.id, RequestEvent::Event(number));
        }
    }
}

/// Sends part of a request, and waits for an error or a close.
pub async fn send_part(
    router: usize,
    address: SocketAddr,
    request: ClientRequest,
    cut: usize,
    recorder: Arc<Recorder>,
) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let whole = request_text(&request);
    let part = &whole[..whole.len().min(1 + cut % (whole.len() - 1))];
    if stream.write_all(part.as_bytes()).await.is_err() {
        return;
    }
    let at = Instant::now();
    let mut buffer = ReadBuffer::default();
    let waited = tokio::time::timeout(PARTIAL_REQUEST_TIMEOUT * 2, buffer.read_more(&mut stream)).await;
    let waited = waited.ok().map(|_| at.elapsed());
    recorder.with(|seen| seen.partial_requests.push(PartialRequest { router, at, waited }));
}
