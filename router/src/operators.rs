//! Operators: the second address, where they ask how the router is and drain it. One call a connection; every
//! caller has a short time for its head, and few are served at once, so that callers who finish nothing are in
//! nobody's way. Takes no decision on requests: it asks the life cycle and the core.

mod figures;

use crate::clients::Shared;
use crate::clients::accept_error::AcceptError;
// Callers at once; their descriptors are kept back. One more ends the one that has said nothing longest.
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

/// A head comes whole in this time, and an answer is taken in it.
const HEAD_TIME: Duration = Duration::from_secs(2);
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// What a caller still sends is thrown away for this long, so that the close does not take the answer from it.
const LINGER: Duration = Duration::from_millis(500);
/// No head is longer, and none has more fields.
const LARGEST_HEAD: usize = 8 * 1024;
const MOST_FIELDS: usize = 64;
/// When this process has no descriptor left, so many clients' connections without a request end for the callers.
const EVICTED_AT_ONCE: usize = 4;

/// An answer to a call.
struct Answer {
    status: &'static str,
    /// What else its head says: the methods of a path, the kind of its text.
    field: &'static str,
    text: String,
}

fn answer(status: &'static str, text: &str) -> Answer {
    Answer { status, field: "content-type: text/plain; charset=utf-8\r\n", text: format!("{text}\n") }
}

/// What came on a connection.
#[derive(Debug, PartialEq)]
enum Head {
    /// Not whole yet.
    Partial,
    /// A call: its method and path.
    Call(String, String),
    /// No HTTP.
    Unreadable,
    /// Larger than any call.
    TooLarge,
}

fn head(bytes: &[u8]) -> Head {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => match (request.method, request.path) {
            (Some(method), Some(path)) => Head::Call(method.to_owned(), path.to_owned()),
            _ => Head::Unreadable,
        },
        Err(httparse::Error::TooManyHeaders) => Head::TooLarge,
        Err(_) => Head::Unreadable,
        Ok(httparse::Status::Partial) if bytes.len() >= LARGEST_HEAD => Head::TooLarge,
        Ok(httparse::Status::Partial) => Head::Partial,
    }
}

/// What a call gets.
fn call(shared: &Shared, method: &str, path: &str) -> Answer {
    let path = path.split('?').next().unwrap_or_default();
    let (allowed, wanted) = match path {
        "/status" | "/status/metrics" => ("allow: GET, HEAD\r\n", ["GET", "HEAD"]),
        "/standby" | "/active" => ("allow: PUT\r\n", ["PUT", "PUT"]),
        _ => return answer("404 Not Found", "no such path"),
    };
    if !wanted.contains(&method) {
        return Answer { field: allowed, ..answer("405 Method Not Allowed", "wrong method") };
    }
    let life = &shared.life;
    let told = |event| {
        if life.apply(event) {
            answer("200 OK", life.phase().name())
        } else {
            answer("409 Conflict", life.phase().name())
        }
    };
    match path {
        "/standby" => told(Event::Drain),
        "/active" => told(Event::Resume),
        "/status" if life.phase().accepts_clients() => answer("200 OK", life.phase().name()),
        "/status" => answer("503 Service Unavailable", life.phase().name()),
        _ => Answer {
            status: "200 OK",
            field: "content-type: text/plain; version=0.0.4; charset=utf-8\r\n",
            text: figures::text(shared),
        },
    }
}

/// Reads one call's head; none if its caller ends before.
async fn read(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut piece = [0; 1024];
    loop {
        let size = stream.read(&mut piece).await?;
        if size == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&piece[..size]);
        match head(&bytes) {
            Head::Partial => {}
            whole => return Ok(Some(whole)),
        }
    }
}

/// One caller, from its connection to its end; gives the reason for the log.
async fn serve_one(shared: &Shared, stream: &mut TcpStream) -> &'static str {
    let (answer, with_text, code) = match tokio::time::timeout(HEAD_TIME, read(stream)).await {
        Err(_) => (answer("408 Request Timeout", "the head did not come whole"), true, "slow-head"),
        Ok(Err(_)) => return "reset",
        Ok(Ok(None)) => return "no-request",
        Ok(Ok(Some(Head::Call(method, path)))) => {
            let answer = call(shared, &method, &path);
            // A drain is logged by the life cycle; who asks how things are, and often, is not.
            (answer, method != "HEAD", "closed")
        }
        Ok(Ok(Some(Head::TooLarge))) => {
            (answer("431 Request Header Fields Too Large", "the head is too large"), true, "large-head")
        }
        Ok(Ok(Some(_))) => (answer("400 Bad Request", "the head cannot be read"), true, "bad-head"),
    };
    let Answer { status, field, text } = answer;
    let mut whole = String::new();
    // Writing to a string cannot fail.
    let _ = write!(
        whole,
        "HTTP/1.1 {status}\r\n{field}content-length: {}\r\nconnection: close\r\n\r\n",
        text.len()
    );
    if with_text {
        whole.push_str(&text);
    }
    let out = async {
        stream.write_all(whole.as_bytes()).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(ANSWER_TIME, out).await {
        Err(_) => return "slow-client",
        Ok(Err(_)) => return "reset",
        Ok(Ok(())) => {}
    }
    let mut sink = [0; 1024];
    let rest = async { while stream.read(&mut sink).await.is_ok_and(|size| size > 0) {} };
    let _ = tokio::time::timeout(LINGER, rest).await;
    code
}

/// Serves callers until the program ends.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    // Who is here, the longest first; each hears when it has to go, and its sender closes when it has gone.
    let mut callers: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let (mut stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                let kind = AcceptError::of(&error);
                shared.accept_failed("operator", kind, &error, EVICTED_AT_ONCE);
                if let Some(wait) = kind.wait() {
                    tokio::time::sleep(wait).await;
                }
                continue;
            }
        };
        callers.retain(|caller| !caller.is_closed());
        if callers.len() >= MAX_OPERATOR_CONNECTIONS
            && let Some(longest) = callers.pop_front()
        {
            let _ = longest.send(());
        }
        let (go, told) = oneshot::channel();
        callers.push_back(go);
        let shared = shared.clone();
        actix_rt::spawn(async move {
            let _ = stream.set_nodelay(true);
            let code = tokio::select! {
                biased;
                code = serve_one(&shared, &mut stream) => code,
                Ok(()) = told => "evicted",
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
    fn heads_are_told_apart() {
        assert_eq!(head(b"PUT /standby HTT"), Head::Partial);
        assert_eq!(
            head(b"PUT /standby HTTP/1.1\r\nhost: x\r\n\r\n"),
            Head::Call("PUT".to_owned(), "/standby".to_owned())
        );
        assert_eq!(head(b"\x16\x03\x01\x02\x00"), Head::Unreadable);
        assert_eq!(head(&[b'A'; LARGEST_HEAD]), Head::TooLarge);
        let many = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(MOST_FIELDS + 1));
        assert_eq!(head(many.as_bytes()), Head::TooLarge);
    }
}
