//! The operators' address: state, metrics, drain and resume. Each connection serves one call. The time for a call's
//! head is short and few connections are served at once, so that stalled callers block no others. Makes no decisions
//! on requests, but asks the life cycle and the core.

mod metrics;

use crate::clients::Shared;
use crate::clients::accept_error::AcceptError;
// Descriptors are reserved for this many. One connection more evicts the oldest one.
use crate::config::MAX_OPERATOR_CONNECTIONS;
use crate::lifecycle::Event;
use crate::log;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Timeout for receiving a call's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for sending an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// After an answer, further input is discarded for this long: closing with unread input would reset the connection and
/// could destroy the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest size of a head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most header fields of a head.
const MAX_FIELDS: usize = 64;
/// Number of idle client connections closed for operators when the process has no descriptor left.
const EVICTED_AT_ONCE: usize = 4;

/// An answer to a call.
struct Answer {
    status: &'static str,
    /// A header field: the allowed methods or the content type, with its line ending.
    field: &'static str,
    text: String,
}

fn answer(status: &'static str, text: &str) -> Answer {
    Answer { status, field: "content-type: text/plain; charset=utf-8\r\n", text: format!("{text}\n") }
}

/// The parsed head of a call.
#[derive(Debug, PartialEq)]
enum Head {
    /// Incomplete.
    Partial,
    /// A complete call: its method and path.
    Call(String, String),
    /// Not HTTP.
    Unreadable,
    /// Over the size or field limit.
    TooLarge,
}

fn parse_head(bytes: &[u8]) -> Head {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => match (request.method, request.path) {
            (Some(method), Some(path)) => Head::Call(method.to_owned(), path.to_owned()),
            _ => Head::Unreadable,
        },
        Err(httparse::Error::TooManyHeaders) => Head::TooLarge,
        Err(_) => Head::Unreadable,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => Head::TooLarge,
        Ok(httparse::Status::Partial) => Head::Partial,
    }
}

/// Executes a call.
fn execute(shared: &Shared, method: &str, path: &str) -> Answer {
    let path = path.split('?').next().unwrap_or_default();
    let (allowed, wanted) = match path {
        "/status" | "/status/metrics" => ("allow: GET, HEAD\r\n", ["GET", "HEAD"]),
        "/standby" | "/active" => ("allow: PUT\r\n", ["PUT", "PUT"]),
        _ => return answer("404 Not Found", "no such path"),
    };
    if !wanted.contains(&method) {
        return Answer { field: allowed, ..answer("405 Method Not Allowed", "wrong method") };
    }
    let life = &shared.lifecycle;
    let apply = |event| {
        if life.apply(event) {
            answer("200 OK", life.phase().name())
        } else {
            answer("409 Conflict", life.phase().name())
        }
    };
    match path {
        "/standby" => apply(Event::Drain),
        "/active" => apply(Event::Resume),
        "/status" if life.phase().accepts_clients() => answer("200 OK", life.phase().name()),
        "/status" => answer("503 Service Unavailable", life.phase().name()),
        _ => Answer {
            status: "200 OK",
            field: "content-type: text/plain; version=0.0.4; charset=utf-8\r\n",
            text: metrics::render(shared),
        },
    }
}

/// Reads one call's head; `None` if the caller disconnects first.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut piece = [0; 1024];
    loop {
        let size = stream.read(&mut piece).await?;
        if size == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&piece[..size]);
        match parse_head(&bytes) {
            Head::Partial => {}
            head => return Ok(Some(head)),
        }
    }
}

/// Serves one connection; returns the code for the log.
async fn serve_one(shared: &Shared, stream: &mut TcpStream) -> &'static str {
    let (answer, with_text, code) = match tokio::time::timeout(HEAD_TIMEOUT, read_head(stream)).await {
        Err(_) => (answer("408 Request Timeout", "the head did not come whole"), true, "slow-head"),
        Ok(Err(_)) => return "reset",
        Ok(Ok(None)) => return "no-request",
        Ok(Ok(Some(Head::Call(method, path)))) => {
            let answer = execute(shared, &method, &path);
            // Not logged: the life cycle logs drains itself, and status calls are frequent.
            (answer, method != "HEAD", "closed")
        }
        Ok(Ok(Some(Head::TooLarge))) => {
            (answer("431 Request Header Fields Too Large", "the head is too large"), true, "large-head")
        }
        Ok(Ok(Some(_))) => (answer("400 Bad Request", "the head cannot be read"), true, "bad-head"),
    };
    let Answer { status, field, text } = answer;
    let mut response = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        response,
        "HTTP/1.1 {status}\r\n{field}content-length: {}\r\nconnection: close\r\n\r\n",
        text.len()
    );
    if with_text {
        response.push_str(&text);
    }
    let send = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, send).await {
        Err(_) => return "slow-client",
        Ok(Err(_)) => return "reset",
        Ok(Ok(())) => {}
    }
    let mut discarded = [0; 1024];
    let linger = async { while stream.read(&mut discarded).await.is_ok_and(|size| size > 0) {} };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, linger).await;
    code
}

/// Serves operators' connections until the program ends.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    // Open connections, the oldest first. A send evicts a connection; a closed sender means that it has ended.
    let mut open: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let (mut stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                let kind = AcceptError::classify(&error);
                shared.accept_failed("operator", kind, &error, EVICTED_AT_ONCE);
                if let Some(wait) = kind.backoff() {
                    tokio::time::sleep(wait).await;
                }
                continue;
            }
        };
        open.retain(|connection| !connection.is_closed());
        if open.len() >= MAX_OPERATOR_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            let _ = oldest.send(());
        }
        let (evict, evicted) = oneshot::channel();
        open.push_back(evict);
        let shared = shared.clone();
        actix_rt::spawn(async move {
            let _ = stream.set_nodelay(true);
            let code = tokio::select! {
                biased;
                code = serve_one(&shared, &mut stream) => code,
                Ok(()) = evicted => "evicted",
            };
            if code != "closed" {
                log!("connection peer=operator address={peer} code={code}");
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_heads() {
        assert_eq!(parse_head(b"PUT /standby HTT"), Head::Partial);
        assert_eq!(
            parse_head(b"PUT /standby HTTP/1.1\r\nhost: x\r\n\r\n"),
            Head::Call("PUT".to_owned(), "/standby".to_owned())
        );
        assert_eq!(parse_head(b"\x16\x03\x01\x02\x00"), Head::Unreadable);
        assert_eq!(parse_head(&[b'A'; MAX_HEAD_BYTES]), Head::TooLarge);
        let many = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(MAX_FIELDS + 1));
        assert_eq!(parse_head(many.as_bytes()), Head::TooLarge);
    }
}
