//! One side of a long-lived connection: frames from and to a socket, by actix-http's codec, which checks masks,
//! reserved bits, lengths, the order of fragments and close codes. What is added here are bounds and an end.

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

/// Bytes that may wait to be written; past this the other side is not read from. Beside that one more frame.
const MOST_WAITING: usize = 64 * 1024;
/// Read at once.
const PIECE: usize = 4 * 1024;
/// A frame's head is no longer than this.
const HEAD: usize = 14;

/// Why a side can't go on.
#[derive(Debug)]
pub enum FrameError {
    /// What came is no frame that may come: 1002.
    Protocol,
    /// A frame larger than any may be: 1009.
    TooLarge,
    /// The connection broke.
    Broken,
}

/// A byte stream.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin + ?Sized> ByteStream for S {}

/// See the module's page.
pub struct WebSocketStream {
    io: Box<dyn ByteStream>,
    codec: Codec,
    read: BytesMut,
    write: BytesMut,
    largest: usize,
    /// When something last came, or nothing was asked for.
    pub last_read: Instant,
    /// When the system last took something that waited; none while nothing waits.
    write_stalled_since: Option<Instant>,
    /// What its peer was asked by our ping, and when.
    pub pending_ping: Option<(Instant, u64)>,
}

impl WebSocketStream {
    /// A side whose peer is a client or, unless `of_client`, a server; what was read ahead comes first.
    pub fn new(io: Box<dyn ByteStream>, read: BytesMut, largest: usize, of_client: bool) -> Self {
        let codec = Codec::new().max_size(largest);
        let codec = if of_client { codec } else { codec.client_mode() };
        let read = if read.is_empty() { BytesMut::new() } else { read };
        let (write, last_read) = (BytesMut::new(), Instant::now());
        WebSocketStream {
            io,
            codec,
            read,
            write,
            largest,
            last_read,
            write_stalled_since: None,
            pending_ping: None,
        }
    }

    /// The next frame; none at the connection's end.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Frame>, FrameError>> {
        loop {
            if !self.read.is_empty() {
                match self.codec.decode(&mut self.read) {
                    Ok(Some(frame)) => {
                        // Idle connections hold no memory for what may come.
                        if self.read.is_empty() {
                            self.read = BytesMut::new();
                        }
                        return Poll::Ready(Ok(Some(frame)));
                    }
                    // The codec says so only when the whole frame has come.
                    Ok(None)
                        if self.read.len() > self.largest + HEAD || self.told() > self.largest as u64 =>
                    {
                        return Poll::Ready(Err(FrameError::TooLarge));
                    }
                    Ok(None) => {}
                    Err(ProtocolError::Overflow) => return Poll::Ready(Err(FrameError::TooLarge)),
                    Err(_) => return Poll::Ready(Err(FrameError::Protocol)),
                }
            }
            // Read aside: a connection that waits for bytes holds no room for them.
            let mut piece = [MaybeUninit::uninit(); PIECE];
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

    /// The length that a frame's head tells, as far as it has come. Guards against buffering towards a frame that
    /// is refused in the end.
    fn told(&self) -> u64 {
        let long = |from: usize, to: usize| {
            let bytes = self.read.get(from..to)?;
            Some(bytes.iter().fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte)))
        };
        match self.read.get(1).map(|byte| byte & 0x7f) {
            Some(126) => long(2, 4).unwrap_or(0),
            Some(127) => long(2, 10).unwrap_or(0),
            Some(short) => u64::from(short),
            None => 0,
        }
    }

    /// Whether one more frame may be put in.
    pub fn has_room(&self) -> bool {
        self.write.len() < MOST_WAITING
    }

    /// Puts a frame in the line of those to be written.
    pub fn queue(&mut self, message: Message) {
        // It cannot fail: what is put in was a frame before, in the same order.
        let _ = self.codec.encode(message, &mut self.write);
        if self.write_stalled_since.is_none() {
            self.write_stalled_since = Some(Instant::now());
        }
    }

    /// Bytes in its buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.read.len() + self.write.len()
    }

    /// Since when nothing of what waits was taken.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.write_stalled_since
    }

    /// Writes what waits; ready when nothing does.
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

    /// Ends it in order: what waits goes out, and its peer has so long to close.
    pub async fn shutdown(mut self, time: Duration) {
        let all = async {
            poll_fn(|cx| self.poll_flush(cx)).await?;
            poll_fn(|cx| Pin::new(&mut self.io).poll_shutdown(cx)).await?;
            while let Ok(Some(_)) = poll_fn(|cx| self.poll_frame(cx)).await {}
            Ok::<(), io::Error>(())
        };
        let _ = tokio::time::timeout(time, all).await;
    }
}

/// A frame as it goes out again: the same.
pub fn to_message(frame: Frame) -> Message {
    match frame {
        // Checked before it gets here; what is not text goes out as it came.
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
