//! Readers and writers as the protocol page describes them, and clients of the platform's front.

use crate::common::{Random, Record, sleep_ms};
use crate::wire::{Conn, Head, chunk};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Read states: the reader that holds each request's state.
pub type States = Arc<Mutex<HashMap<String, String>>>;

/// A server of one kind.
pub struct Server {
    /// Its id in the list.
    pub id: String,
    /// It reads; otherwise it writes.
    pub reads: bool,
    /// All states that are held.
    pub states: States,
    /// The record.
    pub record: Record,
    /// Share of its streams behind which a second answer comes.
    pub second_answers: f64,
    /// Fewest and most events of a stream.
    pub events: (u64, u64),
    /// Least and most time before an event, in milliseconds.
    pub event_ms: (f64, f64),
    /// Requests in hand.
    pub inflight: AtomicU64,
    /// Second answers sent.
    pub second_sent: Arc<AtomicU64>,
}

const REJECTED: &str = "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

impl Server {
    /// Starts to listen.
    pub fn start(self: Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a server");
        let address = listener.local_addr().expect("a server");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = self.clone();
                std::thread::spawn(move || {
                    let port = stream.peer_addr().map_or(0, |peer| peer.port());
                    let mut random = Random::new(u64::from(port) + 7);
                    let mut conn = Conn::new(stream);
                    while server.answer(&mut conn, port, &mut random).is_ok() {}
                });
            }
        });
        address
    }

    fn report(&self) -> String {
        let inflight = self.inflight.load(Ordering::Relaxed);
        format!("{{\"inflight\":{inflight},\"queue\":0,\"x0\":{:.2},\"x1\":0.0}}", inflight as f64 * 0.01)
    }

    fn answer(&self, conn: &mut Conn, port: u16, random: &mut Random) -> io::Result<()> {
        let head = conn.head(None)?;
        let body = conn.body(&head, None)?;
        if let Some(id) = head.target().strip_prefix("/bootstrap/rooms/") {
            if head.method() == "DELETE" {
                self.states.lock().unwrap().remove(id);
                return conn.write(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
            return conn.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        let Some(id) = head.field("x-call-id").map(str::to_owned) else {
            return conn.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        };
        self.record.line(&format!("{} port={port} takes {id} ({} bytes)", self.id, body.len()));
        self.inflight.fetch_add(1, Ordering::Relaxed);
        let result = if self.reads {
            self.read(conn, &id, random)
        } else {
            self.write(conn, &head, &id, port, random)
        };
        self.inflight.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn read(&self, conn: &mut Conn, id: &str, random: &mut Random) -> io::Result<()> {
        sleep_ms(random.between(20.0, 60.0));
        self.states.lock().unwrap().insert(id.to_owned(), self.id.clone());
        let body = "{\"cached_tokens\":0}";
        conn.write(
            format!(
                "HTTP/1.1 202 Accepted\r\nX-Load-Report: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.report(),
                body.len()
            )
            .as_bytes(),
        )?;
        self.record.line(&format!("{} has read {id}", self.id));
        Ok(())
    }

    fn write(&self, conn: &mut Conn, _: &Head, id: &str, port: u16, random: &mut Random) -> io::Result<()> {
        if self.states.lock().unwrap().remove(id).is_none() {
            self.record.line(&format!("{} port={port} has no state for {id}", self.id));
            return conn.write(REJECTED.as_bytes());
        }
        sleep_ms(random.between(10.0, 30.0));
        let start =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut all = start.as_bytes().to_vec();
        conn.write(start.as_bytes())?;
        let events = self.events.0 + random.next() % (self.events.1 - self.events.0 + 1);
        for number in 0..events {
            // Each event names its request, so that a client sees whose answer it gets.
            let event = chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}.{number} \"}},\"finish_reason\":null}}]}}\n\n"
            ));
            conn.write(&event)?;
            all.extend_from_slice(&event);
            sleep_ms(random.between(self.event_ms.0, self.event_ms.1));
        }
        let end = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}.end\"}},\"finish_reason\":\"stop\"}}]}}\n\n\
             data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":1000,\"completion_tokens\":{events},\
             \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\ndata: [DONE]\n\n: X-Load-Report: {}\n\n",
            self.report()
        );
        let mut end = chunk(&end);
        end.extend_from_slice(b"0\r\n\r\n");
        conn.write(&end)?;
        all.extend_from_slice(&end);
        self.record.line(&format!("{} port={port} has answered {id}", self.id));
        if random.share() < self.second_answers {
            // "a second answer may come some milliseconds late"
            let late = random.between(2.0, 8.0);
            sleep_ms(late);
            conn.write(&all)?;
            self.second_sent.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(&format!("{} port={port} answers {id} a second time, {late:.1} ms late", self.id));
        }
        Ok(())
    }
}

/// A request of a client.
pub struct Ask {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// Its tenant.
    pub tenant: &'static str,
    /// How long the client waits for the first token.
    pub budget: f64,
    /// Its conversation.
    pub session: u64,
    /// Its prompt's length in tokens.
    pub prompt: u32,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// 200 and a whole stream: the contents of its events.
    Served(String),
    /// 200 and a stream that ended without its last chunk.
    Broken(String),
    /// Another status.
    Status(u16),
    /// The connection ended without an answer.
    Closed,
    /// Nothing in time.
    Nothing,
}

impl Ask {
    /// Sends the request and reads its answer; whether the connection stays.
    pub fn send(&self, conn: &mut Conn) -> (Outcome, bool) {
        match self.write(conn, 1, 0.0) {
            Ok(()) => self.read(conn),
            Err(_) => (Outcome::Closed, false),
        }
    }

    /// Writes the request in so many pieces, with so many milliseconds between two.
    pub fn write(&self, conn: &mut Conn, pieces: usize, pause_ms: f64) -> io::Result<()> {
        let body = format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
            "abcd".repeat(self.prompt as usize)
        );
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n\
             X-Caller: {}\r\nX-Route-Hash: {:016x}\r\nX-Budget: {:.3}\r\n\
             X-Call-Info: prompt_len={},max_out=80\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.class,
            self.tenant,
            self.session,
            self.budget,
            self.prompt,
            body.len()
        );
        for (at, piece) in head.as_bytes().chunks(head.len().div_ceil(pieces)).enumerate() {
            if at > 0 {
                sleep_ms(pause_ms);
            }
            conn.write(piece)?;
        }
        Ok(())
    }

    /// Reads the answer; whether the connection stays.
    pub fn read(&self, conn: &mut Conn) -> (Outcome, bool) {
        let until = Instant::now() + Duration::from_secs_f64(self.budget + 0.5);
        let head = match conn.head(Some(until)) {
            Ok(head) => head,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => return (Outcome::Nothing, false),
            Err(_) => return (Outcome::Closed, false),
        };
        let keeps = !head.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if head.status() != 200 {
            let read = conn.body(&head, Some(until)).is_ok();
            return (Outcome::Status(head.status()), keeps && read);
        }
        let mut text = Vec::new();
        loop {
            match conn.chunk(Some(Instant::now() + Duration::from_secs(10))) {
                Ok(Some(piece)) => text.extend_from_slice(&piece),
                Ok(None) => return (Outcome::Served(contents(&text)), keeps),
                Err(_) => return (Outcome::Broken(contents(&text)), false),
            }
        }
    }
}

/// The contents of a stream's events, one behind the other.
fn contents(text: &[u8]) -> String {
    let text = String::from_utf8_lossy(text);
    let parts = text.split("\"content\":\"").skip(1).filter_map(|rest| rest.split('"').next());
    parts.collect()
}
