//! HTTP/1.1 on blocking sockets, as far as the cases need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case, and values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn { stream, ahead: Vec::new() }
    }

    /// Connects.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    /// Whether the other side has neither closed the connection nor sent anything that nobody has read.
    pub fn is_open(&self) -> bool {
        let peeked = self.stream.set_nonblocking(true).and_then(|()| self.stream.peek(&mut [0]));
        self.stream.set_nonblocking(false).is_ok()
            && self.ahead.is_empty()
            && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more; fails at the end of the connection and at `until`.
    fn more(&mut self, until: Option<Instant>) -> io::Result<()> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left == Some(Duration::ZERO) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut piece = [0; 8 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) => Err(ended()),
            Ok(size) => {
                self.ahead.extend_from_slice(&piece[..size]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            Err(error) => Err(error),
        }
    }

    /// A line without its end.
    pub fn line(&mut self, until: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.more(until)?;
        }
    }

    /// A head.
    pub fn head(&mut self, until: Option<Instant>) -> io::Result<Head> {
        let mut head = Head { first: self.line(until)?, fields: Vec::new() };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// So many bytes.
    pub fn bytes(&mut self, count: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.more(until)?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// The body of a message with a length; empty without one.
    pub fn body(&mut self, head: &Head, until: Option<Instant>) -> io::Result<Vec<u8>> {
        let length = head.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.bytes(length, until)
    }

    /// A chunk; none for the last one.
    pub fn chunk(&mut self, until: Option<Instant>) -> io::Result<Option<Vec<u8>>> {
        let line = self.line(until)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.bytes(size, until)?;
        self.line(until)?;
        Ok((size > 0).then_some(chunk))
    }
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
