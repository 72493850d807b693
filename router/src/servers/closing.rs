//! Connections of attempts that were given up. The next attempt of the same request begins only when the server has
//! ended such a connection too, or when the close must have reached it: on a shorter way the new attempt could
//! otherwise overtake the close, and run beside the old one.

use super::link::{Carried, abort};
use shedrelay::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// A connection comes up within the settings' connect time, which takes the way there and back at least. A close takes
/// the way there, and has arrived after this part of that time.
const CLOSE_PART: u32 = 4;
/// Thrown away at once of what a server still says.
const PIECE: usize = 4 * 1024;

/// A close has arrived at its server within this time, where connections come up within `connect`.
pub fn arrives_within(connect: Duration) -> Duration {
    connect / CLOSE_PART
}

/// The closes that are under way, by request. Each takes itself out when it is over.
pub struct Closings {
    longest: Duration,
    last: Cell<u64>,
    under_way: RefCell<HashMap<RequestId, Closing>>,
}

struct Closing {
    number: u64,
    over: oneshot::Receiver<()>,
}

impl Closings {
    /// None yet. A close has arrived within `longest`.
    pub fn new(longest: Duration) -> Rc<Self> {
        Rc::new(Closings { longest, last: Cell::new(0), under_way: RefCell::default() })
    }

    /// Ends the sending side of a given-up attempt's connection and waits for the server to end its own; a server that
    /// says nothing by the time in which the end must have reached it may never have had the request, and is not to have
    /// it later: the connection is aborted. `stream` is none where the connection was closed already, or has no place among all any more and is closed at once.
    pub fn begin(self: &Rc<Self>, request: RequestId, stream: Option<(TcpStream, Carried)>) {
        let (done, over) = oneshot::channel();
        let number = self.last.get() + 1;
        self.last.set(number);
        self.under_way.borrow_mut().insert(request, Closing { number, over });
        let (closings, until) = (self.clone(), Instant::now() + self.longest);
        actix_rt::spawn(async move {
            match stream {
                Some((mut stream, _place)) => {
                    if tokio::time::timeout_at(until.into(), end(&mut stream)).await.is_err() {
                        abort(stream);
                    }
                }
                None => tokio::time::sleep_until(until.into()).await,
            }
            // Nobody may wait for it.
            let _ = done.send(());
            closings.forget(request, number);
        });
    }

    /// Waits until the close of the request's last attempt, if one is under way, has reached its server.
    pub async fn wait(&self, request: RequestId) {
        let closing = self.under_way.borrow_mut().remove(&request);
        if let Some(closing) = closing {
            // An error says that the runtime is ending.
            let _ = closing.over.await;
        }
    }

    fn forget(&self, request: RequestId, number: u64) {
        let mut under_way = self.under_way.borrow_mut();
        if under_way.get(&request).is_some_and(|closing| closing.number == number) {
            under_way.remove(&request);
        }
    }
}

/// Returns when the server has ended the connection, in order or not.
async fn end(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut piece = [0; PIECE];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut piece) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}
