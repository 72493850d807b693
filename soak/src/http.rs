//! The parts of HTTP/1.1 that the stand-ins need: heads, bodies with a length, and chunks.

use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt as _};

/// Maximum size of a head. A request that is incomplete after 16 times as many bytes is given up.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of header fields.
const MAX_HEADERS: usize = 32;
/// Size of a read.
const READ_BYTES: usize = 8 * 1024;

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The request id.
    pub id: Option<u64>,
    /// The time left, as told to the server, in seconds.
    pub budget: Option<f64>,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When its first byte arrived.
    pub first: Instant,
    /// When its last byte arrived.
    pub last: Instant,
}

/// Bytes received and not used yet.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    first: Option<Instant>,
    /// The latest answer's head had `Connection: close`.
    pub closes: bool,
}

impl ReadBuffer {
    /// Whether no unused bytes are left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads more bytes; false at the end of the connection.
    pub async fn read_more(&mut self, from: &mut (impl AsyncRead + Unpin)) -> bool {
        // The bytes are read into a local buffer, since this future may be dropped at the await and must then leave
        // `bytes` unchanged.
        let mut buffer = [0; READ_BYTES];
        let size = from.read(&mut buffer).await.unwrap_or(0);
        self.bytes.extend_from_slice(&buffer[..size]);
        if size > 0 {
            self.first.get_or_insert_with(Instant::now);
        }
        size > 0
    }

    fn consume(&mut self, size: usize) {
        self.bytes.drain(..size);
        self.first = (!self.bytes.is_empty()).then(Instant::now);
    }

    /// Reads the next complete request; none if the connection ended, or the bytes are not a request.
    pub async fn read_request(&mut self, from: &mut (impl AsyncRead + Unpin)) -> Option<Request> {
        loop {
            if let Some((mut request, size)) = self.parse_request()? {
                request.first = self.first.unwrap_or_else(Instant::now);
                self.consume(size);
                return Some(request);
            }
            if self.bytes.len() > MAX_HEAD_BYTES * 16 || !self.read_more(from).await {
                return None;
            }
        }
    }

    /// A complete request and its size, if it has arrived. None if the bytes are not a request.
    fn parse_request(&self) -> Option<Option<(Request, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(head) = parsed.parse(&self.bytes).ok()? else { return Some(None) };
        let field = |name: &str| {
            let found = parsed.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok()
        };
        let length = field("content-length").and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        if self.bytes.len() < head + length {
            return Some(None);
        }
        let path = parsed.path?.to_owned();
        let label = field("x-call-id").or_else(|| path.rsplit('/').next());
        let now = Instant::now();
        let request = Request {
            method: parsed.method?.to_owned(),
            id: label.and_then(|label| u64::from_str_radix(label, 16).ok()),
            budget: field("x-budget").and_then(|text| text.trim().parse().ok()),
            path,
            sent: now,
            first: now,
            last: now,
        };
        Some(Some((request, head + length)))
    }

    /// The head of an answer, if it has arrived: status, whether the body is chunked, and the body's length.
    pub fn take_answer_head(&mut self) -> Option<Result<(u16, bool, usize), ()>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let size = match parsed.parse(&self.bytes) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Err(())),
        };
        let status = parsed.code.unwrap_or(0);
        let field = |name: &str| parsed.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name));
        let chunked = field("transfer-encoding").is_some();
        let length = field("content-length")
            .and_then(|field| std::str::from_utf8(field.value).ok()?.trim().parse().ok());
        let (length, closes) = (
            length.unwrap_or(0),
            field("connection").is_some_and(|field| field.value.eq_ignore_ascii_case(b"close")),
        );
        self.consume(size);
        self.closes = closes;
        Some(Ok((status, chunked, length)))
    }

    /// The next complete chunk, if it has arrived.
    pub fn take_chunk(&mut self) -> Option<Result<Vec<u8>, ()>> {
        let (start, size) = match httparse::parse_chunk_size(&self.bytes) {
            Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Err(())),
        };
        if self.bytes.len() < start + size + 2 {
            return None;
        }
        let chunk = self.bytes[start..start + size].to_vec();
        self.consume(start + size + 2);
        Some(Ok(chunk))
    }

    /// Discards a body of this length; false if it has not arrived.
    pub fn take_body(&mut self, length: usize) -> bool {
        let whole = self.bytes.len() >= length;
        if whole {
            self.consume(length);
        }
        whole
    }
}

/// Encodes one chunk.
pub fn encode_chunk(text: &str) -> String {
    format!("{:X}\r\n{text}\r\n", text.len())
}
