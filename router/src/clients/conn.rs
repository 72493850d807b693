//! A client's connection, and what its log line needs to know of it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What happened on a connection.
#[derive(Default)]
pub struct Conn {
    /// Requests whose head came.
    pub requests: Cell<u64>,
    /// The client ended it.
    pub ended: Cell<bool>,
    busy: Cell<u32>,
    begun: Cell<Option<Instant>>,
}

impl Conn {
    /// A request's head came; until the guard goes its answer is under way.
    pub fn request(self: &Rc<Self>) -> Busy {
        self.requests.set(self.requests.get() + 1);
        self.busy.set(self.busy.get() + 1);
        self.begun.set(None);
        Busy(self.clone())
    }

    /// For how long a head has been coming.
    pub fn head_time(&self) -> Option<Duration> {
        self.begun.get().map(|begun| begun.elapsed())
    }
}

/// An answer under way.
pub struct Busy(Rc<Conn>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

/// A connection that notes who ended it.
pub struct Wire {
    stream: TcpStream,
    /// What happened on it.
    pub conn: Rc<Conn>,
}

impl Wire {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, conn: Rc<Conn>) -> Self {
        Wire { stream, conn }
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() == before {
            this.conn.ended.set(true);
        } else if buf.filled().len() > before && this.conn.busy.get() == 0 && this.conn.begun.get().is_none()
        {
            this.conn.begun.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
