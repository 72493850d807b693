//! Servers that answer requests a second time, as late as can be: right behind the next request on the connection.
//! Over HTTP/1.1 an answer does not name its request, so only a connection without an earlier answer proves whose an
//! answer is.

mod standins;

use standins::{BothFronts, READ, RELEASED, STEP_TIMEOUT, read_message, start_both_fronts, stream_answer};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Requests that are sent one after the other on each front.
const REQUESTS: u64 = 12;

/// Counts of what the stand-ins saw.
#[derive(Default)]
struct Seen {
    /// Requests and releases.
    calls: AtomicU64,
    /// Answers that were sent a second time.
    second_answers: AtomicU64,
    /// Releases.
    releases: AtomicU64,
}

/// The word of the prompt that marks its request, which writers put into each event.
fn mark(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.split(|c: char| !c.is_ascii_alphanumeric()).find(|word| word.starts_with("mark")).unwrap().to_owned()
}

/// A stream whose event carries this text.
fn stream(text: &str) -> String {
    stream_answer(&format!(
        "{{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":\"stop\"}}]}}"
    ))
}

/// Starts a server whose connections first repeat their last answer whenever another call comes on them.
fn start_server(seen: Arc<Seen>, answer: fn(&Seen, &str, &[u8]) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || serve(socket, &seen, answer));
        }
    });
    address
}

fn serve(socket: TcpStream, seen: &Seen, answer: fn(&Seen, &str, &[u8]) -> String) {
    let mut from = BufReader::new(socket.try_clone().unwrap());
    let mut to = socket;
    let mut last_answer = String::new();
    while let Some((head, body)) = read_message(&mut from) {
        seen.calls.fetch_add(1, Ordering::Relaxed);
        seen.second_answers.fetch_add(u64::from(!last_answer.is_empty()), Ordering::Relaxed);
        if to.write_all(last_answer.as_bytes()).is_err() {
            return;
        }
        last_answer = answer(seen, &head, &body);
        if to.write_all(last_answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request on a connection of its own; returns everything received until the connection closes.
fn ask(front: SocketAddr, id: u64, class: &str, text: &str) -> String {
    let body = format!(
        "{{\"model\":\"{class}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {id:016x}\r\nX-Budget: 9\r\nX-Call-Info: prompt_len=90,max_out=80\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(front).unwrap();
    stream.write_all((head + &body).as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// A reader's answer. The first release gets none.
fn read(seen: &Seen, head: &str, _: &[u8]) -> String {
    if !head.starts_with("DELETE ") {
        return READ.to_owned();
    }
    match seen.releases.fetch_add(1, Ordering::Relaxed) {
        0 => String::new(),
        _ => RELEASED.to_owned(),
    }
}

/// Starts a router between a reader and a writer with this answer.
fn start(seen: &Arc<Seen>, write: fn(&Seen, &str, &[u8]) -> String) -> BothFronts {
    start_both_fronts(start_server(seen.clone(), read), start_server(seen.clone(), write))
}

/// Guards against passing a server's late second answer on to the client whose request follows on the connection.
#[test]
fn late_second_answer_reaches_no_other_client() {
    let seen = Arc::<Seen>::default();
    let router = start(&seen, |_, _, body| stream(&mark(body)));
    for number in 0..REQUESTS {
        for (front, address) in [("platform", router.platform), ("openai", router.openai)] {
            let own = format!("mark{front}{number}");
            let answer = ask(address, number + 1, "log-chat", &own);
            let foreign = answer.matches("mark").count() - answer.matches(&own).count();
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(&own), "{own}: {answer}");
            assert_eq!(foreign, 0, "{own} got another request's answer: {answer}");
            assert!(answer.contains("[DONE]"), "{own}: {answer}");
        }
    }
    // Each was read once and written once: no second 202 was taken for a read.
    assert_eq!(seen.calls.load(Ordering::Relaxed), 4 * REQUESTS);
    assert_eq!(seen.second_answers.load(Ordering::Relaxed), 0);
}

/// Guards against taking a late second answer for the answer to a release: the state would stay held.
#[test]
fn late_second_answer_is_not_taken_for_release() {
    let seen = Arc::<Seen>::default();
    let failing =
        |_: &Seen, _: &str, _: &[u8]| "HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n".to_owned();
    let router = start(&seen, failing);
    let answer = ask(router.platform, 1, "book-device", "mark");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let until = Instant::now() + STEP_TIMEOUT;
    while seen.releases.load(Ordering::Relaxed) < 2 {
        assert!(Instant::now() < until, "a release without an answer was not repeated");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(seen.second_answers.load(Ordering::Relaxed), 0);
}
