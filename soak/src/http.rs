//! As much of HTTP/1.1 as the stand-ins need: heads, bodies by length, and chunks.

use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt as _};

/// No head is longer.
const LONGEST_HEAD: usize = 32 * 1024;
const MOST_FIELDS: usize = 32;
const PIECE: usize = 8 * 1024;

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its id.
    pub id: Option<u64>,
    /// The time that it was told, in seconds.
    pub budget: Option<f64>,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When its first byte came, and its last.
    pub first: Instant,
    /// See `first`.
    pub last: Instant,
}

/// Bytes that came and are not used yet.
#[derive(Debug, Default)]
pub struct Inbox {
    bytes: Vec<u8>,
    first: Option<Instant>,
    /// The last answer's head said that the connection ends with it.
    pub ends: bool,
}

impl Inbox {
    /// Whether nothing unused stands here.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads more; false at the end of the connection.
    pub async fn more(&mut self, from: &mut (impl AsyncRead + Unpin)) -> bool {
        // Read aside: who waits here may be dropped, and must leave nothing behind.
        let mut piece = [0; PIECE];
        let size = from.read(&mut piece).await.unwrap_or(0);
        self.bytes.extend_from_slice(&piece[..size]);
        if size > 0 {
            self.first.get_or_insert_with(Instant::now);
        }
        size > 0
    }

    fn used(&mut self, size: usize) {
        self.bytes.drain(..size);
        self.first = (!self.bytes.is_empty()).then(Instant::now);
    }

    /// The next whole request; none when the connection has ended, or what came is none.
    pub async fn request(&mut self, from: &mut (impl AsyncRead + Unpin)) -> Option<Request> {
        loop {
            if let Some((mut request, size)) = self.whole_request()? {
                request.first = self.first.unwrap_or_else(Instant::now);
                self.used(size);
                return Some(request);
            }
            if self.bytes.len() > LONGEST_HEAD * 16 || !self.more(from).await {
                return None;
            }
        }
    }

    /// A whole request, if there is one, and its size. None if what stands here is no request.
    fn whole_request(&self) -> Option<Option<(Request, usize)>> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
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

    /// The head of an answer that has come: its status, whether it is chunked, and its length.
    pub fn answer_head(&mut self) -> Option<Result<(u16, bool, usize), ()>> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
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
        let (length, ends) = (
            length.unwrap_or(0),
            field("connection").is_some_and(|field| field.value.eq_ignore_ascii_case(b"close")),
        );
        self.used(size);
        self.ends = ends;
        Some(Ok((status, chunked, length)))
    }

    /// The next whole chunk that has come.
    pub fn chunk(&mut self) -> Option<Result<Vec<u8>, ()>> {
        let (start, size) = match httparse::parse_chunk_size(&self.bytes) {
            Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Err(())),
        };
        if self.bytes.len() < start + size + 2 {
            return None;
        }
        let chunk = self.bytes[start..start + size].to_vec();
        self.used(start + size + 2);
        Some(Ok(chunk))
    }

    /// Takes a body of this length, once it has come.
    pub fn body(&mut self, length: usize) -> bool {
        let whole = self.bytes.len() >= length;
        if whole {
            self.used(length);
        }
        whole
    }
}

/// One chunk.
pub fn chunk(text: &str) -> String {
    format!("{:X}\r\n{text}\r\n", text.len())
}
