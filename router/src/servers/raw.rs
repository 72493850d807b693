//! A stream's connection to its server without awc: one that another process handed over, or declined to take over.

use super::connections::ConnectionPermit;
use super::framing::{AnswerError, AnswerParser, take_chunk};
use super::link::{PARTIAL_TIMEOUT, READ_SIZE};
use crate::handover::Framing;
use bytes::Bytes;
use std::io;
use std::time::Instant;
use tokio::net::TcpStream;

/// Reads the rest of an answer from a socket.
pub struct RawConnection {
    /// The socket; `None` once it was taken.
    pub stream: Option<TcpStream>,
    parser: AnswerParser,
    /// Complete chunks that have not been passed on.
    validated: bytes::BytesMut,
    /// Since when a part of a chunk waits for the rest.
    partial_since: Option<Instant>,
    /// The server ended the connection.
    pub ended: bool,
    /// Why the answer is invalid.
    pub error: Option<AnswerError>,
    _permit: ConnectionPermit,
}

impl RawConnection {
    /// Resumes the answer on a connection at the given state of its framing. `None` if that state is invalid.
    pub fn new(stream: TcpStream, framing: Framing, permit: ConnectionPermit) -> Option<Self> {
        let parser = AnswerParser::resume(framing)?;
        let partial_since = parser.partial().then(Instant::now);
        let validated = bytes::BytesMut::new();
        Some(RawConnection {
            stream: Some(stream),
            parser,
            validated,
            partial_since,
            ended: false,
            error: None,
            _permit: permit,
        })
    }

    /// The state of the answer's framing, if all of its validated bytes were passed on.
    pub fn framing(&self) -> Option<Framing> {
        let resumable = self.validated.is_empty() && !self.ended && self.error.is_none();
        resumable.then(|| self.parser.framing()).flatten()
    }

    /// The next piece of the answer; `None` at its end, complete or not. Cancellation safe.
    pub async fn next_piece(&mut self) -> Option<Result<Bytes, ()>> {
        loop {
            if let Some(piece) = take_chunk(&mut self.validated) {
                return Some(Ok(piece));
            }
            if self.error.is_some() {
                return Some(Err(()));
            }
            if self.ended || self.parser.done() {
                return None;
            }
            let stream = self.stream.as_mut()?;
            let deadline = self.partial_since.map_or_else(
                || Instant::now() + crate::servers::STALL_TIMEOUT,
                |since| since + PARTIAL_TIMEOUT,
            );
            match tokio::time::timeout_at(deadline.into(), stream.readable()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Some(Err(())),
                Err(_) if self.partial_since.is_some() => {
                    self.error = Some(AnswerError::Truncated);
                    continue;
                }
                // The caller has its own timeout for a silent stream.
                Err(_) => continue,
            }
            let mut piece = [0; READ_SIZE];
            match stream.try_read(&mut piece) {
                Ok(0) => self.ended = true,
                Ok(size) => {
                    let mut validated = Vec::new();
                    self.error = self.parser.feed(&piece[..size], &mut validated).err();
                    self.validated.extend_from_slice(&validated);
                    self.partial_since = match self.parser.partial() {
                        false => None,
                        true if validated.is_empty() => self.partial_since.or_else(|| Some(Instant::now())),
                        true => Some(Instant::now()),
                    };
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Some(Err(())),
            }
        }
    }
}
