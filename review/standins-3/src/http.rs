//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// One message: its first line, its fields and its body.
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. None at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first: String::new(), fields: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk. None if the connection ends first; empty for the last one.
pub fn read_chunk(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    from.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a whole message. The flag says whether its body came whole.
pub fn read_message(from: &mut impl BufRead) -> Option<(Message, bool)> {
    let mut message = read_head(from)?;
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match read_chunk(from) {
                None => return Some((message, false)),
                Some(chunk) if chunk.is_empty() => return Some((message, true)),
                Some(chunk) => message.body.extend_from_slice(&chunk),
            }
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    let whole = from.read_exact(&mut body).is_ok();
    message.body = body;
    Some((message, whole))
}

pub fn chunk(text: &str) -> String {
    format!("{:X}\r\n{text}\r\n", text.len())
}

/// Listens on a free loopback port and serves each connection in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// One call on a connection of its own; the status, 0 without an answer.
pub fn call(to: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let all = || {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).ok()?;
        let (message, _) = read_message(&mut BufReader::new(stream))?;
        Some((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
    };
    all().unwrap_or_default()
}
