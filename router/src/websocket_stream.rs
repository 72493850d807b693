//! One side of a long-lived connection: WebSocket frames read from and written to a socket by actix-http's codec,
//! which checks masks, reserved bits, lengths, the order of fragments and close codes. Added here are bounds on the
//! buffers and a graceful shutdown.

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::ws::{Codec, Frame, Message, ProtocolError};
use bytes::{Buf as _, BytesMut};
use bytestring::ByteString;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may wait to be written, one more frame aside; beyond this the other side is not read from.
const MAX_QUEUED: usize = 64 * 1024;
/// Bytes read at once.
const READ_SIZE: usize = 4 * 1024;
/// Longest header of a frame, in bytes.
const MAX_FRAME_HEADER: usize = 14;

/// Why a side can't continue.
#[derive(Debug)]
pub enum FrameError {
    /// An invalid frame: close code 1002.
    Protocol,
    /// A frame above the size limit: close code 1009.
    TooLarge,
    /// The connection broke.
    Broken,
}

/// A byte stream.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {
    /// Ready once the peer has closed its sending side, although nothing is read. Never ready where that is not watched.
    fn poll_closed(&mut self, _cx: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }
}

impl ByteStream for awc::BoxedSocket {}

/// One side of a long-lived connection.
pub struct WebSocketStream {
    io: Box<dyn ByteStream>,
    codec: Codec,
    read: BytesMut,
    write: BytesMut,
    max_frame: usize,
    /// When something was last read, or reading was last paused.
    pub last_read: Instant,
    /// When the socket last accepted some of the queued bytes; `None` while nothing is queued.
    write_stalled_since: Option<Instant>,
    /// When the unanswered ping was sent to the peer, and its number.
    pub pending_ping: Option<(Instant, u64)>,
}

impl WebSocketStream {
    /// A side whose peer is a client or, unless `of_client`, a server. `read` holds bytes that were already read.
    pub fn new(io: Box<dyn ByteStream>, read: BytesMut, max_frame: usize, of_client: bool) -> Self {
        let codec = Codec::new().max_size(max_frame);
        let codec = if of_client { codec } else { codec.client_mode() };
        let read = if read.is_empty() { BytesMut::new() } else { read };
        let (write, last_read) = (BytesMut::new(), Instant::now());
        WebSocketStream {
            io,
            codec,
            read,
            write,
            max_frame,
            last_read,
            write_stalled_since: None,
            pending_ping: None,
        }
    }

    /// The next frame; `None` at the connection's end.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Frame>, FrameError>> {
        loop {
            if !self.read.is_empty() {
                match self.codec.decode(&mut self.read) {
                    Ok(Some(frame)) => {
                        // Frees the buffer, so that an idle connection holds no memory for it.
                        if self.read.is_empty() {
                            self.read = BytesMut::new();
                        }
                        return Poll::Ready(Ok(Some(frame)));
                    }
                    // The codec reports a frame as too large only once all of it has come.
                    Ok(None)
                        if self.read.len() > self.max_frame + MAX_FRAME_HEADER
                            || self.announced_length() > self.max_frame as u64 =>
                    {
                        return Poll::Ready(Err(FrameError::TooLarge));
                    }
                    Ok(None) => {}
                    Err(ProtocolError::Overflow) => return Poll::Ready(Err(FrameError::TooLarge)),
                    Err(_) => return Poll::Ready(Err(FrameError::Protocol)),
                }
            }
            // Read into the stack: a connection that waits for bytes holds no buffer for them.
            let mut piece = [MaybeUninit::uninit(); READ_SIZE];
            let mut piece = ReadBuf::uninit(&mut piece);
            if ready!(Pin::new(&mut self.io).poll_read(cx, &mut piece)).is_err() {
                return Poll::Ready(Err(FrameError::Broken));
            }
            self.last_read = Instant::now();
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(None));
            }
            self.read.extend_from_slice(piece.filled());
        }
    }

    /// Ready once the peer has closed a connection that is not read from now.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.io.poll_closed(cx)
    }

    /// The payload length in the header of the frame that is being read, or 0 until it has come. Guards against
    /// buffering a frame that is refused in the end.
    fn announced_length(&self) -> u64 {
        let extended = |from: usize, to: usize| {
            let bytes = self.read.get(from..to)?;
            Some(bytes.iter().fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte)))
        };
        match self.read.get(1).map(|byte| byte & 0x7f) {
            Some(126) => extended(2, 4).unwrap_or(0),
            Some(127) => extended(2, 10).unwrap_or(0),
            Some(short) => u64::from(short),
            None => 0,
        }
    }

    /// Whether one more frame may be queued.
    pub fn has_room(&self) -> bool {
        self.write.len() < MAX_QUEUED
    }

    /// Queues a frame for writing.
    pub fn queue(&mut self, message: Message) {
        // It cannot fail: forwarded messages were valid frames, and are queued in the same order.
        let _ = self.codec.encode(message, &mut self.write);
        if self.write_stalled_since.is_none() {
            self.write_stalled_since = Some(Instant::now());
        }
    }

    /// Bytes in both buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.read.len() + self.write.len()
    }

    /// Since when the socket has accepted none of the queued bytes; `None` while nothing is queued.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.write_stalled_since
    }

    /// Writes the queued bytes; ready once all are written.
    pub fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.write.is_empty() {
            let size = ready!(Pin::new(&mut self.io).poll_write(cx, &self.write))?;
            if size == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.write.advance(size);
            self.write_stalled_since = Some(Instant::now());
        }
        if self.write_stalled_since.take().is_some() {
            self.write = BytesMut::new();
            ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        }
        Poll::Ready(Ok(()))
    }

    /// Writes the queued bytes, shuts down the sending side and waits for the peer to close, for `timeout` at most.
    pub async fn shutdown(mut self, timeout: Duration) {
        let all = async {
            poll_fn(|cx| self.poll_flush(cx)).await?;
            poll_fn(|cx| Pin::new(&mut self.io).poll_shutdown(cx)).await?;
            while let Ok(Some(_)) = poll_fn(|cx| self.poll_frame(cx)).await {}
            Ok::<(), io::Error>(())
        };
        let _ = tokio::time::timeout(timeout, all).await;
    }
}

/// The message that forwards a frame unchanged.
pub fn to_message(frame: Frame) -> Message {
    match frame {
        // Text was validated before it gets here.
        Frame::Text(piece) => match ByteString::try_from(piece) {
            Ok(text) => Message::Text(text),
            Err(_) => Message::Nop,
        },
        Frame::Binary(piece) => Message::Binary(piece),
        Frame::Continuation(item) => Message::Continuation(item),
        Frame::Ping(piece) => Message::Ping(piece),
        Frame::Pong(piece) => Message::Pong(piece),
        Frame::Close(reason) => Message::Close(reason),
    }
}
