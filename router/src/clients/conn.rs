//! A client's connection, and what its log line needs to know of it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What happened on a connection.
#[derive(Default)]
pub struct Conn {
    /// Requests whose head came.
    pub requests: Cell<u64>,
    /// The client ended it.
    pub ended: Cell<bool>,
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
