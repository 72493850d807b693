//! Checks the framing of a server's answer before awc reads it. awc does not limit the size of a chunk, passes on part
//! of a chunk before its end is checked, takes a 1xx answer for the final one and does not report bytes after an
//! answer. This guards against all four: it passes on only complete and valid heads and chunks of limited size, and
//! nothing after the end of the answer.

use crate::handover::{Base64Bytes, Framing};

/// Largest head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Largest chunk, in bytes; a server's events are far smaller.
const MAX_CHUNK: usize = 64 * 1024;
/// Longest line with a chunk's size, or of the trailer, in bytes.
const MAX_LINE: usize = 256;
/// Most 1xx answers that may come before the final one.
const MAX_INTERIM_ANSWERS: u32 = 16;
/// Most second answers to a release that may come before the answer.
const MAX_SKIPPED_RELEASES: u32 = 16;
/// Most headers of an answer.
const MAX_HEADERS: usize = 96;

/// Why an answer cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// Its head is invalid or too large.
    #[error("bad-head")]
    Head,
    /// A chunk's size is invalid or too large, or does not match the chunk.
    #[error("bad-chunk")]
    Chunk,
    /// The rest of a head or chunk did not come in time.
    #[error("cut-short")]
    Truncated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// The line with a chunk's size.
    Size,
    /// A chunk: how many of its bytes and of the CRLF after them are missing.
    Chunk(usize),
    Trailer,
    /// A body with a length.
    Body(u64),
    /// A body that ends with its connection.
    UntilEnd,
    Done,
}

/// Parses the framing of one answer.
pub struct AnswerParser {
    state: State,
    /// An incomplete head, size line and chunk, or trailer line.
    buffer: Vec<u8>,
    interim_answers: u32,
    /// Whether answers to an earlier release are skipped, and how many were.
    skipped_releases: Option<u32>,
    /// Bytes came after the answer.
    pub extra_bytes: bool,
}

impl AnswerParser {
    /// A parser at the start of an answer.
    pub fn new() -> Self {
        AnswerParser {
            state: State::Head,
            buffer: Vec::new(),
            interim_answers: 0,
            skipped_releases: None,
            extra_bytes: false,
        }
    }

    /// A parser for the answer to an attempt that follows an answered release on its connection. An attempt is never
    /// answered with 204, so each 204 is a second answer to the release and is skipped.
    pub fn after_release() -> Self {
        AnswerParser { skipped_releases: Some(0), ..AnswerParser::new() }
    }

    /// Whether anything has come that belongs to the answer. After a release, an incomplete head may be a second answer
    /// to that.
    pub fn answer_started(&self) -> bool {
        self.skipped_releases.is_none() || self.state != State::Head || self.interim_answers > 0
    }

    /// The state within a chunked answer, for a hand-over; `None` if the answer is not chunked or has ended.
    pub fn framing(&self) -> Option<Framing> {
        let (missing, trailer) = match self.state {
            State::Size => (None, false),
            State::Chunk(missing) => (Some(missing), false),
            State::Trailer => (None, true),
            _ => return None,
        };
        Some(Framing { missing, trailer, held: Base64Bytes(self.buffer.clone()) })
    }

    /// Resumes an answer that another process handed over. `None` if the state is invalid.
    pub fn resume(framing: Framing) -> Option<Self> {
        let Framing { missing, trailer, held } = framing;
        let state = match (missing, trailer) {
            (None, false) => State::Size,
            (Some(missing), false) if missing <= MAX_CHUNK + 2 => State::Chunk(missing),
            (None, true) => State::Trailer,
            _ => return None,
        };
        let max = if missing.is_some() { MAX_LINE + MAX_CHUNK + 2 } else { MAX_LINE };
        (held.0.len() <= max).then(|| AnswerParser { state, buffer: held.0, ..AnswerParser::new() })
    }

    /// The answer has ended.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the buffer holds an incomplete head or chunk.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Parses bytes; those that may be passed on are appended to `out`.
    pub fn feed(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) -> Result<(), AnswerError> {
        while !bytes.is_empty() {
            match self.state {
                State::Head => bytes = self.read_head(bytes, out)?,
                State::Size => {
                    let (line, rest) = self.read_line(bytes)?;
                    bytes = rest;
                    if let Some(line) = line {
                        let size = chunk_size(&self.buffer[..line]).ok_or(AnswerError::Chunk)?;
                        self.state = if size == 0 { State::Trailer } else { State::Chunk(size + 2) };
                        if size == 0 {
                            out.append(&mut self.buffer);
                        }
                    }
                }
                State::Chunk(missing) => {
                    let (part, rest) = bytes.split_at(missing.min(bytes.len()));
                    self.buffer.extend_from_slice(part);
                    bytes = rest;
                    self.state = State::Chunk(missing - part.len());
                    if missing == part.len() {
                        if !self.buffer.ends_with(b"\r\n") {
                            return Err(AnswerError::Chunk);
                        }
                        out.append(&mut self.buffer);
                        self.state = State::Size;
                    }
                }
                State::Trailer => {
                    let (line, rest) = self.read_line(bytes)?;
                    bytes = rest;
                    if line.is_some() {
                        if self.buffer.trim_ascii().is_empty() {
                            self.state = State::Done;
                        }
                        out.append(&mut self.buffer);
                    }
                }
                State::Body(missing) => {
                    let size =
                        usize::try_from(missing).map_or(bytes.len(), |missing| missing.min(bytes.len()));
                    out.extend_from_slice(&bytes[..size]);
                    bytes = &bytes[size..];
                    let left = missing - size as u64;
                    self.state = if left == 0 { State::Done } else { State::Body(left) };
                }
                State::UntilEnd => {
                    out.extend_from_slice(bytes);
                    return Ok(());
                }
                State::Done => {
                    self.extra_bytes = true;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Adds to the buffered line; returns the line's length once it is complete, and the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<(Option<usize>, &'a [u8]), AnswerError> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
        let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        self.buffer.extend_from_slice(part);
        if self.buffer.len() > MAX_LINE {
            return Err(AnswerError::Chunk);
        }
        Ok((end.map(|_| self.buffer.len()), rest))
    }

    /// Adds to the buffered head and checks it once it is complete; returns the bytes after it.
    fn read_head<'a>(&mut self, bytes: &'a [u8], out: &mut Vec<u8>) -> Result<&'a [u8], AnswerError> {
        let before = self.buffer.len();
        let size = (MAX_HEAD + 1).saturating_sub(before).min(bytes.len());
        self.buffer.extend_from_slice(&bytes[..size]);
        let start = b"HTTP/1.";
        let compared = self.buffer.len().min(start.len());
        if self.buffer[..compared] != start[..compared] {
            return Err(AnswerError::Head);
        }
        // Only the new bytes, and the three before them, are searched for the end of the head.
        let from = before.saturating_sub(3);
        let end = self.buffer[from..].windows(4).position(|part| part == b"\r\n\r\n").map(|at| from + at + 4);
        let Some(end) = end else {
            return if self.buffer.len() > MAX_HEAD { Err(AnswerError::Head) } else { Ok(&bytes[size..]) };
        };
        let state = self.parse_head(end)?;
        if let Some(state) = state {
            self.state = state;
            out.extend_from_slice(&self.buffer[..end]);
        }
        self.buffer.clear();
        Ok(&bytes[end - before..])
    }

    /// Parses the buffered head; returns the state after it, or `None` after an answer that is skipped.
    fn parse_head(&mut self, end: usize) -> Result<Option<State>, AnswerError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        if !head.parse(&self.buffer[..end]).is_ok_and(|parsed| parsed.is_complete()) {
            return Err(AnswerError::Head);
        }
        let status = head.code.ok_or(AnswerError::Head)?;
        if let Some(skipped) = self.skipped_releases.as_mut().filter(|_| status == 204) {
            *skipped += 1;
            return if *skipped > MAX_SKIPPED_RELEASES { Err(AnswerError::Head) } else { Ok(None) };
        }
        if status < 200 {
            self.interim_answers += 1;
            // 101: a protocol switch was never requested.
            return if status == 101 || self.interim_answers > MAX_INTERIM_ANSWERS {
                Err(AnswerError::Head)
            } else {
                Ok(None)
            };
        }
        let (mut length, mut chunked) = (None, false);
        for header in head.headers.iter() {
            let text = std::str::from_utf8(header.value).unwrap_or("?").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let parsed = text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse::<u64>().ok());
                if length.is_some() || parsed.flatten().is_none() {
                    return Err(AnswerError::Head);
                }
                length = parsed.flatten();
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if chunked || !text.eq_ignore_ascii_case("chunked") {
                    return Err(AnswerError::Head);
                }
                chunked = true;
            }
        }
        Ok(Some(match (length, chunked) {
            (Some(_), true) => return Err(AnswerError::Head),
            _ if matches!(status, 204 | 304) => State::Done,
            (None, true) => State::Size,
            (Some(0), false) => State::Done,
            (Some(length), false) => State::Body(length),
            (None, false) => State::UntilEnd,
        }))
    }
}

/// Takes the data of the first chunk out of bytes that [`AnswerParser::feed`] passed on; `None` for the last chunk.
pub fn take_chunk(bytes: &mut bytes::BytesMut) -> Option<bytes::Bytes> {
    let line = bytes.iter().position(|byte| *byte == b'\n')? + 1;
    let size = chunk_size(&bytes[..line]).filter(|size| *size > 0)?;
    if bytes.len() < line + size + 2 {
        return None;
    }
    let chunk = bytes.split_to(line + size + 2).freeze();
    Some(chunk.slice(line..line + size))
}

/// A chunk's size from its line: hex digits and an optional extension. `None` if it is invalid or above the limit.
fn chunk_size(line: &[u8]) -> Option<usize> {
    let line = line.strip_suffix(b"\r\n")?;
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    (size <= MAX_CHUNK).then_some(size)
}
