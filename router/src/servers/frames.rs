//! The framing of a server's answer, read before awc sees it. awc has no bound on a chunk, passes a part of a chunk
//! on before the chunk's end is known to fit, takes a 1xx answer for the final one and does not tell what came
//! behind an answer. This guards against all of them: what is handed on are heads and chunks that are whole, of a
//! sane size and fit, and nothing beyond the answer's end.

use crate::handover::{Base64Bytes, Framing};

/// A head is no longer than this, and one chunk neither: a server's events are far smaller.
const LARGEST_HEAD: usize = 16 * 1024;
const LARGEST_CHUNK: usize = 64 * 1024;
/// The line with a chunk's size, or one of its trailer.
const LONGEST_LINE: usize = 256;
/// Answers of 1xx that may come ahead of the final one.
const MOST_AHEAD: u32 = 16;
const MOST_FIELDS: usize = 96;

/// Why an answer cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// Its head is none, or has no end.
    #[error("bad-head")]
    Head,
    /// A chunk's size makes no sense, or is not that of the chunk.
    #[error("bad-chunk")]
    Chunk,
    /// A head or chunk began and did not come whole.
    #[error("cut-short")]
    CutShort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// The line with a chunk's size.
    Size,
    /// A chunk: what is missing of its bytes and the line's end behind them.
    Chunk(usize),
    Trailer,
    /// A body with a length.
    Body(u64),
    /// A body that ends with its connection.
    UntilEnd,
    Done,
}

/// Reads one answer.
pub struct Frames {
    state: State,
    /// What came of a head, a size and its chunk, or a trailer's line, and waits for the rest.
    held: Vec<u8>,
    ahead: u32,
    /// Something came behind the answer.
    pub extra: bool,
}

impl Frames {
    /// Ready for an answer.
    pub fn new() -> Self {
        Frames { state: State::Head, held: Vec::new(), ahead: 0, extra: false }
    }

    /// Where a chunked answer stands; none of one that is framed otherwise, or has ended.
    pub fn framing(&self) -> Option<Framing> {
        let (missing, trailer) = match self.state {
            State::Size => (None, false),
            State::Chunk(missing) => (Some(missing), false),
            State::Trailer => (None, true),
            _ => return None,
        };
        Some(Framing { missing, trailer, held: Base64Bytes(self.held.clone()) })
    }

    /// Goes on where another process stood. None if that makes no sense.
    pub fn resume(framing: Framing) -> Option<Self> {
        let Framing { missing, trailer, held } = framing;
        let state = match (missing, trailer) {
            (None, false) => State::Size,
            (Some(missing), false) if missing <= LARGEST_CHUNK + 2 => State::Chunk(missing),
            (None, true) => State::Trailer,
            _ => return None,
        };
        let most = if missing.is_some() { LONGEST_LINE + LARGEST_CHUNK + 2 } else { LONGEST_LINE };
        (held.0.len() <= most).then(|| Frames { state, held: held.0, ..Frames::new() })
    }

    /// The answer has ended.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether a part of a head or chunk waits for the rest.
    pub fn partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Takes bytes in; what may be handed on goes to `out`.
    pub fn feed(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Spoilt> {
        while !bytes.is_empty() {
            match self.state {
                State::Head => bytes = self.head(bytes, out)?,
                State::Size => {
                    let (line, rest) = self.line(bytes)?;
                    bytes = rest;
                    if let Some(line) = line {
                        let size = chunk_size(&self.held[..line]).ok_or(Spoilt::Chunk)?;
                        self.state = if size == 0 { State::Trailer } else { State::Chunk(size + 2) };
                        if size == 0 {
                            out.append(&mut self.held);
                        }
                    }
                }
                State::Chunk(missing) => {
                    let (part, rest) = bytes.split_at(missing.min(bytes.len()));
                    self.held.extend_from_slice(part);
                    bytes = rest;
                    self.state = State::Chunk(missing - part.len());
                    if missing == part.len() {
                        if !self.held.ends_with(b"\r\n") {
                            return Err(Spoilt::Chunk);
                        }
                        out.append(&mut self.held);
                        self.state = State::Size;
                    }
                }
                State::Trailer => {
                    let (line, rest) = self.line(bytes)?;
                    bytes = rest;
                    if line.is_some() {
                        if self.held.trim_ascii().is_empty() {
                            self.state = State::Done;
                        }
                        out.append(&mut self.held);
                    }
                }
                State::Body(missing) => {
                    let now =
                        usize::try_from(missing).map_or(bytes.len(), |missing| missing.min(bytes.len()));
                    out.extend_from_slice(&bytes[..now]);
                    bytes = &bytes[now..];
                    let left = missing - now as u64;
                    self.state = if left == 0 { State::Done } else { State::Body(left) };
                }
                State::UntilEnd => {
                    out.extend_from_slice(bytes);
                    return Ok(());
                }
                State::Done => {
                    self.extra = true;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Adds to the line that is held; its length once it is whole.
    fn line<'a>(&mut self, bytes: &'a [u8]) -> Result<(Option<usize>, &'a [u8]), Spoilt> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
        let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        self.held.extend_from_slice(part);
        if self.held.len() > LONGEST_LINE {
            return Err(Spoilt::Chunk);
        }
        Ok((end.map(|_| self.held.len()), rest))
    }

    fn head<'a>(&mut self, bytes: &'a [u8], out: &mut Vec<u8>) -> Result<&'a [u8], Spoilt> {
        let before = self.held.len();
        // A head may be held already in part: only what is new has to be looked through for its end.
        let most = (LARGEST_HEAD + 1).saturating_sub(before).min(bytes.len());
        self.held.extend_from_slice(&bytes[..most]);
        let start = b"HTTP/1.";
        let seen = self.held.len().min(start.len());
        if self.held[..seen] != start[..seen] {
            return Err(Spoilt::Head);
        }
        let from = before.saturating_sub(3);
        let end = self.held[from..].windows(4).position(|part| part == b"\r\n\r\n").map(|at| from + at + 4);
        let Some(end) = end else {
            return if self.held.len() > LARGEST_HEAD { Err(Spoilt::Head) } else { Ok(&bytes[most..]) };
        };
        let state = self.after_head(end)?;
        if let Some(state) = state {
            self.state = state;
            out.extend_from_slice(&self.held[..end]);
        }
        self.held.clear();
        Ok(&bytes[end - before..])
    }

    /// What follows the head that is held; none if it is one that comes ahead of the final one.
    fn after_head(&mut self, end: usize) -> Result<Option<State>, Spoilt> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        if !head.parse(&self.held[..end]).is_ok_and(|parsed| parsed.is_complete()) {
            return Err(Spoilt::Head);
        }
        let status = head.code.ok_or(Spoilt::Head)?;
        if status < 200 {
            self.ahead += 1;
            // A change of protocol was never asked for.
            return if status == 101 || self.ahead > MOST_AHEAD { Err(Spoilt::Head) } else { Ok(None) };
        }
        let (mut length, mut coded) = (None, false);
        for field in head.headers.iter() {
            let text = std::str::from_utf8(field.value).unwrap_or("?").trim();
            if field.name.eq_ignore_ascii_case("content-length") {
                let told = text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse::<u64>().ok());
                if length.is_some() || told.flatten().is_none() {
                    return Err(Spoilt::Head);
                }
                length = told.flatten();
            } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
                if coded || !text.eq_ignore_ascii_case("chunked") {
                    return Err(Spoilt::Head);
                }
                coded = true;
            }
        }
        Ok(Some(match (length, coded) {
            (Some(_), true) => return Err(Spoilt::Head),
            _ if matches!(status, 204 | 304) => State::Done,
            (None, true) => State::Size,
            (Some(0), false) => State::Done,
            (Some(length), false) => State::Body(length),
            (None, false) => State::UntilEnd,
        }))
    }
}

/// Takes the first chunk out of bytes that this framing has handed on; the last one gives nothing.
pub fn chunk(bytes: &mut bytes::BytesMut) -> Option<bytes::Bytes> {
    let line = bytes.iter().position(|byte| *byte == b'\n')? + 1;
    let size = chunk_size(&bytes[..line]).filter(|size| *size > 0)?;
    if bytes.len() < line + size + 2 {
        return None;
    }
    let whole = bytes.split_to(line + size + 2).freeze();
    Some(whole.slice(line..line + size))
}

/// A chunk's size from its line: hex digits, then perhaps an extension. None beyond what one chunk may have.
fn chunk_size(line: &[u8]) -> Option<usize> {
    let line = line.strip_suffix(b"\r\n")?;
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    (size <= LARGEST_CHUNK).then_some(size)
}
