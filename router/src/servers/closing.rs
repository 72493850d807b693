//! Closes the connections of abandoned attempts. The next attempt of the same request begins only when the server has
//! ended such a connection too, or when the close must have reached it: over a faster path the new attempt could
//! otherwise overtake the close and run beside the old one.

use super::connections::ConnectionPermit;
use super::link::abort;
use shedrelay::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// A connect takes at least one round trip and at most the connect timeout. A close takes one way, and has arrived
/// after the connect timeout divided by this.
const CLOSE_TIME_DIVISOR: u32 = 4;
/// Bytes that are read at once, to be discarded.
const READ_SIZE: usize = 4 * 1024;

/// Time within which a close arrives at its server, given the connect timeout.
pub fn arrives_within(connect_timeout: Duration) -> Duration {
    connect_timeout / CLOSE_TIME_DIVISOR
}

/// The pending closes, by request. Each is removed when it is done.
pub struct PendingCloses {
    arrives_within: Duration,
    last_number: Cell<u64>,
    pending: RefCell<HashMap<RequestId, PendingClose>>,
}

struct PendingClose {
    number: u64,
    done: oneshot::Receiver<()>,
}

impl PendingCloses {
    /// No pending closes. A close arrives at its server within `arrives_within`.
    pub fn new(arrives_within: Duration) -> Rc<Self> {
        Rc::new(PendingCloses { arrives_within, last_number: Cell::new(0), pending: RefCell::default() })
    }

    /// Shuts down the sending side of an abandoned attempt's connection and waits for the server to end its own. If
    /// the server has not done so by the time at which the close must have arrived, it may never have received the
    /// request and must not receive it later: the connection is aborted. `stream` is `None` if the connection is
    /// closed already, or if no connection permit was left for it and it was closed at once.
    pub fn begin(self: &Rc<Self>, request: RequestId, stream: Option<(TcpStream, ConnectionPermit)>) {
        let (done_sender, done) = oneshot::channel();
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.pending.borrow_mut().insert(request, PendingClose { number, done });
        let (closes, arrived_at) = (self.clone(), Instant::now() + self.arrives_within);
        actix_rt::spawn(async move {
            match stream {
                Some((mut stream, _permit)) => {
                    if tokio::time::timeout_at(arrived_at.into(), close(&mut stream)).await.is_err() {
                        abort(stream);
                    }
                }
                None => tokio::time::sleep_until(arrived_at.into()).await,
            }
            // Fails if no attempt waits for it.
            let _ = done_sender.send(());
            closes.remove(request, number);
        });
    }

    /// Waits until the close of the request's last attempt, if one is pending, has reached its server.
    pub async fn wait(&self, request: RequestId) {
        let close = self.pending.borrow_mut().remove(&request);
        if let Some(close) = close {
            // Fails only when the runtime is ending.
            let _ = close.done.await;
        }
    }

    fn remove(&self, request: RequestId, number: u64) {
        let mut pending = self.pending.borrow_mut();
        if pending.get(&request).is_some_and(|close| close.number == number) {
            pending.remove(&request);
        }
    }
}

/// Shuts down the sending side and returns when the server has ended the connection, gracefully or not.
async fn close(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut piece = [0; READ_SIZE];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut piece) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}
