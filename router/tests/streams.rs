//! Both APIs pass each event of a stream on at once, even next to clients that read nothing, large bodies and invalid
//! streams.

mod standins;

use standins::{READ, RELEASED, chunk, read_message, start_both_fronts, start_server};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longest delay of an event.
const MAX_DELAY: Duration = Duration::from_millis(300);
const EVENTS: usize = 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a writer that follows the prompt: events with the time of their writing, some split; many events at once,
/// for a client that reads nothing; or garbage.
fn start_writer(epoch: Instant) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some((head, body)) = read_message(&mut from) {
                    let sent = if head.starts_with("DELETE") {
                        to.write_all(RELEASED.as_bytes())
                    } else {
                        answer(&mut to, &String::from_utf8(body).unwrap(), epoch)
                    };
                    if sent.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn answer(to: &mut TcpStream, prompt: &str, epoch: Instant) -> std::io::Result<()> {
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
        let at = epoch.elapsed().as_millis();
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

/// Sends a request with this prompt; returns its connection.
fn request(front: SocketAddr, id: u64, prompt: &str) -> TcpStream {
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
    stream.set_read_timeout(Some(standins::STEP_TIMEOUT)).unwrap();
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    stream
}

/// The delay of each event of an answer.
fn event_delays(from: TcpStream, epoch: Instant) -> Vec<Duration> {
    let mut delays = Vec::new();
    for line in BufReader::new(from).lines().map_while(Result::ok) {
        let Some((_, at)) = line.split_once("at ").filter(|_| line.starts_with("data: ")) else { continue };
        let written: u64 = at.split(' ').next().unwrap().parse().unwrap();
        delays.push(epoch.elapsed().saturating_sub(Duration::from_millis(written)));
    }
    delays
}

#[test]
fn passes_each_event_on_at_once_under_disturbances() {
    let epoch = Instant::now();
    let reader =
        start_server(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
    let router = start_both_fronts(reader, start_writer(epoch));
    let large = "x".repeat(250 * 1024);
    for (n, front) in [router.platform, router.openai].into_iter().enumerate() {
        let id = |m: u64| 1_000 * (n as u64 + 1) + m;
        // These clients read nothing of answers that are larger than the sockets' buffers.
        let slow: Vec<TcpStream> = (0..3).map(|m| request(front, id(m), "much")).collect();
        let delays: Vec<Vec<Duration>> = std::thread::scope(|scope| {
            let timed: Vec<_> = (0..4)
                .map(|m| scope.spawn(move || event_delays(request(front, id(10 + m), "timed"), epoch)))
                .collect();
            // Meanwhile, bodies of the largest size and streams that become invalid.
            for m in 0..8 {
                let (prompt, large) = (if m % 2 == 0 { "garbage" } else { large.as_str() }, m % 2 == 1);
                let mut answer = String::new();
                let _ = request(front, id(20 + m), prompt).read_to_string(&mut answer);
                assert!(!large || answer.contains("200 OK"), "front {n}: {answer}");
            }
            timed.into_iter().map(|timed| timed.join().unwrap()).collect()
        });
        for delays in &delays {
            assert_eq!(delays.len(), EVENTS, "front {n}: each event is a separate line");
            let max = delays.iter().max().unwrap();
            assert!(*max < MAX_DELAY, "front {n}: an event was delayed by {max:?}: {delays:?}");
        }
        drop(slow);
    }
}
