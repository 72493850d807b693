//! Counts bytes and messages on connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Traffic counters of all connections of one listener.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes from the routers.
    pub received: AtomicU64,
    /// Bytes to the routers.
    pub sent: AtomicU64,
    /// Messages to and from the routers: requests and pieces of answers.
    pub messages: AtomicU64,
    /// Connections accepted.
    pub accepted: AtomicU64,
}

/// [`Traffic`] at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Bytes both ways.
    pub bytes: u64,
    /// Messages both ways.
    pub messages: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Traffic so far.
    pub fn counts(&self) -> TrafficCounts {
        let bytes = self.received.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed);
        TrafficCounts { bytes, messages: self.messages.load(Ordering::Relaxed) }
    }
}

/// A connection whose bytes are counted.
pub struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountedStream {
    /// Counts the connection as accepted, and its bytes from now on.
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        traffic.accepted.fetch_add(1, Ordering::Relaxed);
        CountedStream { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.traffic.received.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let size = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.traffic.sent.fetch_add(size as u64, Ordering::Relaxed);
        Poll::Ready(Ok(size))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
