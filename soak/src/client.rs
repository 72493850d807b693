//! Clients: they ask, read, leave early, keep their connections, and some send half a request and stay.

use crate::class::Class;
use crate::http::Inbox;
use crate::limits::{LATE_ANSWER_GRACE, PARTIAL_REQUEST_TIMEOUT};
use crate::trace::{Outcome, PartialRequest, Recorder, RequestEvent};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// A connection that rested for longer is not used again.
const LONGEST_REST: Duration = Duration::from_millis(2_000);
/// A client that waits for the end of a stream gives up after this.
const LONGEST_STREAM: Duration = Duration::from_secs(12);

/// Connections that rest, by router's address.
pub type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>>;

/// The connection that a client takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A new one.
    New,
    /// One that rests, if there is one; else a new one.
    Kept,
    /// One that rests, or it does not ask: the router is about to end, and the front sends it nobody new.
    OnlyKept,
}

/// What one client does.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request.
    pub id: u64,
    /// Its session.
    pub session: u64,
    /// Its class.
    pub class: Class,
    /// The router, and where it listens.
    pub router: usize,
    /// See `router`.
    pub at: SocketAddr,
    /// How long it waits for its answer.
    pub budget: Duration,
    /// It leaves after this.
    pub leaves: Option<Duration>,
    /// Which connection it takes.
    pub takes: ConnectionChoice,
    /// It sends its request in two pieces, so far apart.
    pub pieces: Option<Duration>,
}

fn text(ask: &ClientRequest) -> String {
    let body = "{\"model\":\"m\"}";
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {:016x}\r\nX-Call-Class: {}\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {:016x}\r\nX-Budget: {}\r\n\
         X-Call-Info: prefix={:016x},prompt_len=512,prefix_len=256,max_out=80\r\nContent-Length: {}\r\n\r\n{body}",
        ask.id,
        ask.class.name(),
        ask.session,
        ask.budget.as_secs_f64(),
        ask.session % 4,
        body.len()
    )
}

/// A connection that rests and is still open.
fn rested(resting: &IdleConnections, at: SocketAddr) -> Option<TcpStream> {
    let mut resting = resting.lock().unwrap_or_else(PoisonError::into_inner);
    let streams = resting.get_mut(&at)?;
    while let Some((stream, since)) = streams.pop() {
        let open =
            stream.try_read(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        if open && since.elapsed() < LONGEST_REST {
            return Some(stream);
        }
    }
    None
}

/// One request from its connection to its end.
pub async fn ask(ask: ClientRequest, recorder: Arc<Recorder>, resting: IdleConnections) {
    let kept = if ask.takes == ConnectionChoice::New { None } else { rested(&resting, ask.at) };
    let fresh = kept.is_none();
    let stream = match kept {
        Some(stream) => stream,
        None if ask.takes == ConnectionChoice::OnlyKept => return,
        None => match TcpStream::connect(ask.at).await {
            Ok(stream) => stream,
            // Nobody listens: no router has taken it.
            Err(_) => return,
        },
    };
    let _ = stream.set_nodelay(true);
    let mut stream = stream;
    let whole = text(&ask);
    if let Some(pause) = ask.pieces {
        let (first, _) = whole.split_at(whole.len() / 3);
        if stream.write_all(first.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
    let rest = if ask.pieces.is_some() { &whole[whole.len() / 3..] } else { &whole };
    if stream.write_all(rest.as_bytes()).await.is_err() {
        return;
    }
    let asked = Instant::now();
    recorder.record_at(ask.id, asked, RequestEvent::Asked { router: ask.router, class: ask.class, fresh });
    let leaves = ask.leaves.map(|after| asked + after);
    let mut inbox = Inbox::default();
    let reading = read(&mut stream, &mut inbox, &ask, &recorder, asked);
    let outcome = match leaves {
        Some(at) => tokio::time::timeout_at(at.into(), reading).await.unwrap_or(Outcome::Left),
        None => reading.await,
    };
    if outcome == Outcome::Left {
        drop(stream);
        recorder.record(ask.id, RequestEvent::Left);
        return recorder.record(ask.id, RequestEvent::Ended(outcome));
    }
    recorder.record(ask.id, RequestEvent::Ended(outcome));
    let ends_well =
        matches!(outcome, Outcome::Served | Outcome::Answered(_)) && inbox.is_empty() && !inbox.ends;
    if ends_well {
        let mut resting = resting.lock().unwrap_or_else(PoisonError::into_inner);
        resting.entry(ask.at).or_default().push((stream, Instant::now()));
    }
}

async fn read(
    stream: &mut TcpStream,
    inbox: &mut Inbox,
    ask: &ClientRequest,
    recorder: &Recorder,
    asked: Instant,
) -> Outcome {
    let until = asked + ask.budget + LATE_ANSWER_GRACE + Duration::from_secs(1);
    let (status, chunked, length) = loop {
        match inbox.answer_head() {
            Some(Ok(head)) => break head,
            Some(Err(())) => return Outcome::Broken,
            None => {}
        }
        match tokio::time::timeout_at(until.into(), inbox.more(stream)).await {
            Ok(true) => {}
            Ok(false) => return Outcome::Closed,
            Err(_) => return Outcome::Silent,
        }
    };
    recorder.record(ask.id, RequestEvent::Head(status));
    if !chunked {
        while !inbox.body(length) {
            if !inbox.more(stream).await {
                return Outcome::Broken;
            }
        }
        return Outcome::Answered(status);
    }
    let until = asked + LONGEST_STREAM;
    loop {
        match inbox.chunk() {
            Some(Ok(chunk)) if chunk.is_empty() => return Outcome::Served,
            Some(Ok(chunk)) => note_events(&chunk, ask, recorder),
            Some(Err(())) => return Outcome::Broken,
            None => match tokio::time::timeout_at(until.into(), inbox.more(stream)).await {
                Ok(true) => {}
                _ => return Outcome::Broken,
            },
        }
    }
}

/// Events carry their numbers.
fn note_events(chunk: &[u8], ask: &ClientRequest, recorder: &Recorder) {
    let text = String::from_utf8_lossy(chunk);
    for part in text.split("\"content\":\"n").skip(1) {
        let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
        if let Ok(number) = digits.parse() {
            recorder.record(ask.id, RequestEvent::Event(number));
        }
    }
}

/// A client that sends half a request and stays.
pub async fn half(router: usize, at: SocketAddr, ask: ClientRequest, cut: usize, recorder: Arc<Recorder>) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return };
    let whole = text(&ask);
    let part = &whole[..whole.len().min(1 + cut % (whole.len() - 1))];
    if stream.write_all(part.as_bytes()).await.is_err() {
        return;
    }
    let at = Instant::now();
    let mut inbox = Inbox::default();
    let waited = tokio::time::timeout(PARTIAL_REQUEST_TIMEOUT * 2, inbox.more(&mut stream)).await;
    let waited = waited.ok().map(|_| at.elapsed());
    recorder.with(|seen| seen.partial_requests.push(PartialRequest { router, at, waited }));
}
