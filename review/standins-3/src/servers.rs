//! Discovery, readers and writers as the protocol page describes them, and clients.

use crate::http::{self, Message, chunk};
use crate::record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One worker of the list.
pub fn member(id: &str, address: SocketAddr, flavor: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"lab\",\"flavor\":\"{flavor}\",\"cell\":0,\
         \"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// Discovery with a list that does not change.
pub fn discovery(members: Vec<String>) -> SocketAddr {
    Discovery::start(members).address
}

/// Discovery, which tells open watches of changes at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The lines so far; a line's number is its revision.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start(members: Vec<String>) -> Self {
        let list = format!("{{\"revision\":1,\"complete\":true,\"members\":[{}]}}\n", members.join(","));
        let lines = Arc::new(Mutex::new(vec![list]));
        let served = lines.clone();
        let address = http::listen(move |stream| serve_discovery(stream, &served));
        Discovery { address, lines }
    }

    /// Tells of changed entries.
    pub fn tell(&self, members: &[String]) {
        let mut lines = self.lines.lock().unwrap();
        let revision = lines.len() + 1;
        let members = members.join(",");
        record::line(&format!("discovery tells: {members}"));
        lines.push(format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{members}]}}\n"));
    }
}

fn serve_discovery(stream: TcpStream, lines: &Arc<Mutex<Vec<String>>>) {
    let mut to = stream.try_clone().unwrap();
    let mut from = BufReader::new(stream);
    // The stand-in's routers only ever watch.
    while let Some((message, true)) = http::read_message(&mut from) {
        if !message.first.contains("watch=1") {
            if !answer_small(&mut to, "404 Not Found", "") {
                return;
            }
            continue;
        }
        let from = message.first.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let mut next: usize = from.unwrap_or(0);
        let mut text =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned();
        let mut silent_since = record::now();
        loop {
            for line in lines.lock().unwrap().iter().skip(next) {
                text += &chunk(line);
                next += 1;
            }
            if text.is_empty() && record::now() - silent_since > Duration::from_secs(2) {
                text = chunk("\n");
            }
            if !text.is_empty() {
                silent_since = record::now();
                if to.write_all(text.as_bytes()).is_err() {
                    return;
                }
                text.clear();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// How a worker does one request.
#[derive(Clone)]
pub struct Work {
    /// Time until a reader has read, or a writer's first event.
    pub first: Duration,
    /// Events, and the time between two of them.
    pub events: u32,
    pub pause: Duration,
}

impl Work {
    pub fn quick() -> Self {
        Work { first: Duration::from_millis(20), events: 4, pause: Duration::from_millis(10) }
    }
}

type Plan = Arc<dyn Fn(&Message) -> Work + Send + Sync>;

fn answer_small(to: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Load-Report: {{\"x0\":0.1}}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    to.write_all(text.as_bytes()).is_ok()
}

/// Calls that a reader and a writer take alike. True if it was one.
fn other_call(to: &mut TcpStream, message: &Message) -> Option<bool> {
    if message.first.starts_with("DELETE /bootstrap/rooms/") {
        return Some(to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok());
    }
    let known =
        message.first.starts_with("POST /v1/chat/completions") && !message.field("x-call-id").is_empty();
    (!known).then(|| answer_small(to, "404 Not Found", ""))
}

/// A reader.
pub fn reader(name: &'static str, plan: impl Fn(&Message) -> Work + Send + Sync + 'static) -> SocketAddr {
    let plan: Plan = Arc::new(plan);
    http::listen(move |stream| {
        let mut to = stream.try_clone().unwrap();
        let mut from = BufReader::new(stream);
        while let Some((message, true)) = http::read_message(&mut from) {
            let goes_on = match other_call(&mut to, &message) {
                Some(goes_on) => goes_on,
                None => {
                    let id = message.field("x-call-id").to_owned();
                    record::line(&format!("{name}: read {id} begins"));
                    std::thread::sleep(plan(&message).first);
                    let sent = answer_small(&mut to, "202 Accepted", "{\"cached_tokens\":0}");
                    record::line(&format!("{name}: read {id} answered={sent}"));
                    sent
                }
            };
            if !goes_on {
                return;
            }
        }
    })
}

/// A writer. Its answers' usage says 40 prompt tokens and as many written ones as events.
pub fn writer(name: &'static str, plan: impl Fn(&Message) -> Work + Send + Sync + 'static) -> SocketAddr {
    let plan: Plan = Arc::new(plan);
    http::listen(move |stream| serve_writer(name, stream, &plan))
}

pub fn serve_writer_request(name: &str, to: &mut TcpStream, message: &Message, work: Work) -> bool {
    let id = message.field("x-call-id").to_owned();
    record::line(&format!("{name}: answer {id} begins"));
    std::thread::sleep(work.first);
    let mut text =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    for number in 0..work.events {
        text += &chunk(&format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{number} \"}},\"finish_reason\":null}}]}}\n\n"
        ));
        if to.write_all(text.as_bytes()).is_err() {
            record::line(&format!("{name}: answer {id} broken off by its reader after {number} events"));
            return false;
        }
        text.clear();
        std::thread::sleep(work.pause);
    }
    text += &chunk("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
    text += &chunk(&format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":40,\"completion_tokens\":{},\
         \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n",
        work.events
    ));
    text += &chunk("data: [DONE]\n\n");
    text += "0\r\n\r\n";
    let sent = to.write_all(text.as_bytes()).is_ok();
    record::line(&format!("{name}: answer {id} ended whole={sent} events={}", work.events));
    sent
}

fn serve_writer(name: &str, stream: TcpStream, plan: &Plan) {
    let mut to = stream.try_clone().unwrap();
    let mut from = BufReader::new(stream);
    while let Some((message, true)) = http::read_message(&mut from) {
        let goes_on = match other_call(&mut to, &message) {
            Some(goes_on) => goes_on,
            None => serve_writer_request(name, &mut to, &message, plan(&message)),
        };
        if !goes_on {
            return;
        }
    }
}

/// A request of the platform's protocol.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub session: u64,
    pub budget: &'static str,
    pub text: String,
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    /// The answer came to its last chunk, or to its length.
    pub whole: bool,
    pub body: String,
}

/// Sends one request on a connection of its own and reads its answer to the end.
pub fn ask(to: SocketAddr, request: &Request) -> Seen {
    let body = format!(
        "{{\"model\":\"m\",\"stream\":true,\"max_tokens\":200,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
        request.text
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nContent-Type: application/json\r\n\
         X-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Route-Hash: {:016x}\r\nX-Budget: {}\r\n\
         X-Call-Info: prompt_len=40,prefix_len=0,max_out=200\r\nContent-Length: {}\r\n\r\n",
        request.id,
        request.class,
        request.tenant,
        request.session,
        request.budget,
        body.len()
    );
    let id = &request.id;
    record::line(&format!("client: {id} sent class={} tenant={}", request.class, request.tenant));
    let seen = exchange(to, &(head + &body));
    let events = seen.body.matches("\"content\"").count();
    record::line(&format!("client: {id} answer status={} whole={} events={events}", seen.status, seen.whole));
    seen
}

/// Sends bytes on a connection of its own and reads one answer.
pub fn exchange(to: SocketAddr, bytes: &str) -> Seen {
    let all = || {
        let mut stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        stream.write_all(bytes.as_bytes()).ok()?;
        let (message, whole) = http::read_message(&mut BufReader::new(stream))?;
        let body = String::from_utf8_lossy(&message.body).into_owned();
        Some(Seen { status: message.status(), whole, body })
    };
    all().unwrap_or(Seen { status: 0, whole: false, body: String::new() })
}
