//! A stream's events are passed on as they come: each one by itself and soon, on both fronts, also beside clients that
//! read nothing, large bodies and streams that can't be read.

mod standins;

use standins::{READ, RELEASED, both_fronts, chunk, message, serve};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An event later than this was held back.
const SOON: Duration = Duration::from_millis(300);
const EVENTS: usize = 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A writer that does as the prompt says: events that tell when they were written, some in pieces; many at once for a
/// client that reads nothing; or garbage.
fn writer(born: Instant) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some((head, body)) = message(&mut from) {
                    let answered = if head.starts_with("DELETE") {
                        to.write_all(RELEASED.as_bytes())
                    } else {
                        answer(&mut to, &String::from_utf8(body).unwrap(), born)
                    };
                    if answered.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn answer(to: &mut TcpStream, prompt: &str, born: Instant) -> std::io::Result<()> {
    to.write_all(HEAD.as_bytes())?;
    if prompt.contains("garbage") {
        to.write_all(chunk("data: {\"choices\":[]}\n\n").as_bytes())?;
        return to.write_all(b"zzz\r\nno chunk");
    }
    if prompt.contains("much") {
        let event = chunk(&format!("data: {{\"choices\":[],\"x\":\"{}\"}}\n\n", "x".repeat(32 * 1024)));
        return (0..200).try_for_each(|_| to.write_all(event.as_bytes()));
    }
    for n in 0..EVENTS {
        std::thread::sleep(Duration::from_millis([20, 90, 5][n % 3]));
        let at = born.elapsed().as_millis();
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"at {at} ;\"}},\"finish_reason\":null}}]}}\n\n"
        );
        let bytes = chunk(&event);
        // An event may come in pieces.
        let cut = if n % 4 == 3 { bytes.len() / 2 } else { bytes.len() };
        to.write_all(&bytes.as_bytes()[..cut])?;
        if cut < bytes.len() {
            std::thread::sleep(Duration::from_millis(30));
        }
        to.write_all(&bytes.as_bytes()[cut..])?;
    }
    to.write_all(format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n")).as_bytes())
}

/// A client that asks for this; its connection.
fn ask(front: SocketAddr, id: u64, prompt: &str) -> TcpStream {
    let body = format!(
        "{{\"model\":\"log-chat\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}],\
         \"max_tokens\":80}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: log-chat\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {id:016x}\r\nX-Budget: 12\r\nConnection: close\r\n\
         X-Call-Info: prompt_len=90,max_out=80\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(front).unwrap();
    stream.set_read_timeout(Some(standins::PATIENCE)).unwrap();
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    stream
}

/// How late each event of this answer came.
fn lateness(from: TcpStream, born: Instant) -> Vec<Duration> {
    let mut late = Vec::new();
    for line in BufReader::new(from).lines().map_while(Result::ok) {
        let Some((_, at)) = line.split_once("at ").filter(|_| line.starts_with("data: ")) else { continue };
        let written: u64 = at.split(' ').next().unwrap().parse().unwrap();
        late.push(born.elapsed().saturating_sub(Duration::from_millis(written)));
    }
    late
}

#[test]
fn events_are_passed_on_one_by_one_and_soon_whatever_goes_on_beside() {
    let born = Instant::now();
    let reader = serve(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
    let router = both_fronts(reader, writer(born));
    let large = "x".repeat(250 * 1024);
    for (n, front) in [router.platform, router.openai].into_iter().enumerate() {
        let id = |m: u64| 1_000 * (n as u64 + 1) + m;
        // These read nothing of answers that are larger than what systems hold.
        let slow: Vec<TcpStream> = (0..3).map(|m| ask(front, id(m), "much")).collect();
        let late: Vec<Vec<Duration>> = std::thread::scope(|scope| {
            let timed: Vec<_> = (0..4)
                .map(|m| scope.spawn(move || lateness(ask(front, id(10 + m), "timed"), born)))
                .collect();
            // Meanwhile, bodies of the largest size and streams that turn to garbage.
            for m in 0..8 {
                let (prompt, large) = (if m % 2 == 0 { "garbage" } else { large.as_str() }, m % 2 == 1);
                let mut answer = String::new();
                let _ = ask(front, id(20 + m), prompt).read_to_string(&mut answer);
                assert!(!large || answer.contains("200 OK"), "front {n}: {answer}");
            }
            timed.into_iter().map(|timed| timed.join().unwrap()).collect()
        });
        for late in &late {
            assert_eq!(late.len(), EVENTS, "front {n}: each event is a line of its own");
            let most = late.iter().max().unwrap();
            assert!(*most < SOON, "front {n}: the latest came after {most:?}: {late:?}");
        }
        drop(slow);
    }
}
