//! A small HTTP/1.1 for stand-ins: messages with a content length, read whole, and chunked answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its fields in lower case, its body, and when its last byte came.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub whole_at: Instant,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// An answer's status; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Bytes of a connection that were read ahead.
#[derive(Default)]
pub struct Ahead(pub Vec<u8>);

fn more(stream: &mut TcpStream, ahead: &mut Ahead) -> io::Result<bool> {
    let mut piece = [0; 16 * 1024];
    let size = stream.read(&mut piece)?;
    ahead.0.extend_from_slice(&piece[..size]);
    Ok(size > 0)
}

/// The next head; none if the connection ended before it.
pub fn read_head(stream: &mut TcpStream, ahead: &mut Ahead) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = ahead.0.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        if !more(stream, ahead)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&ahead.0[..end]).into_owned();
    ahead.0.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Message { first, fields, body: Vec::new(), whole_at: Instant::now() }))
}

/// The next message with its body: by its length, or by its chunks. A body that ends early is an error.
pub fn read_message(stream: &mut TcpStream, ahead: &mut Ahead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, ahead)? else { return Ok(None) };
    let early = || io::Error::from(io::ErrorKind::UnexpectedEof);
    if message.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        while let Some(chunk) = read_chunk(stream, ahead)? {
            message.body.extend_from_slice(&chunk);
        }
    } else {
        let length = message.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while ahead.0.len() < length {
            if !more(stream, ahead)? {
                return Err(early());
            }
        }
        message.body = ahead.0.drain(..length).collect();
    }
    message.whole_at = Instant::now();
    Ok(Some(message))
}

/// The next chunk; none for the last one. An end of the connection before the last chunk is an error.
pub fn read_chunk(stream: &mut TcpStream, ahead: &mut Ahead) -> io::Result<Option<Vec<u8>>> {
    let early = || io::Error::from(io::ErrorKind::UnexpectedEof);
    loop {
        if let Some(end) = ahead.0.windows(2).position(|part| part == b"\r\n") {
            let line = String::from_utf8_lossy(&ahead.0[..end]).into_owned();
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if ahead.0.len() >= end + 2 + size + 2 {
                let chunk = ahead.0[end + 2..end + 2 + size].to_vec();
                ahead.0.drain(..end + 2 + size + 2);
                return Ok((size > 0).then_some(chunk));
            }
        }
        if !more(stream, ahead)? {
            return Err(early());
        }
    }
}

pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut whole = format!("{:x}\r\n", data.len()).into_bytes();
    whole.extend_from_slice(data);
    whole.extend_from_slice(b"\r\n");
    whole
}

/// Writes an answer with a body.
pub fn answer(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(100)))?;
    Ok(stream)
}

/// One call on a connection of its own.
pub fn call(address: SocketAddr, request: &str) -> io::Result<Message> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(request.as_bytes())?;
    let answer = read_message(&mut stream, &mut Ahead::default())?;
    answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}
