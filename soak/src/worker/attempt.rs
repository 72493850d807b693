//! An attempt as its server observes it.

use super::{Mode, Role, Worker, WriteSide};
use crate::http::Request;
use crate::network::Connection;
use crate::trace::{Ran, RequestEvent};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;

/// An attempt at a server. It ends at the latest when it is dropped.
pub(super) struct Attempt<'a> {
    worker: &'a Worker,
    pub(super) connection: &'a Connection,
    id: u64,
    pub(super) number: u64,
    /// The server's process was running when the request arrived.
    pub(super) taken: bool,
    /// Whether it may have had a side effect by now.
    ran: AtomicBool,
    ended: AtomicBool,
}

impl<'a> Attempt<'a> {
    pub(super) fn begin(worker: &'a Worker, connection: &'a Connection, id: u64, request: &Request) -> Self {
        let number = worker.attempts.fetch_add(1, Ordering::Relaxed);
        let budget = request.budget.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
        worker.recorder.record_at(
            id,
            request.first,
            RequestEvent::First { attempt: number, worker: worker.number },
        );
        // A process that hangs has not taken what its machine accepted.
        let taken = *worker.mode.borrow() != Mode::Hangs;
        let whole =
            RequestEvent::Whole { attempt: number, worker: worker.number, budget, sent: request.sent, taken };
        worker.recorder.record_at(id, request.last, whole);
        let is_reader = worker.role == Role::Reader;
        let (ran, ended) = (AtomicBool::new(!is_reader), AtomicBool::new(false));
        Attempt { worker, connection, id, number, taken, ran, ended }
    }

    pub(super) fn set_running(&self) {
        self.ran.store(true, Ordering::Relaxed);
    }

    /// Records the attempt's end: now, or when the router ended its connection, since the specification only forbids
    /// "a second copy if an earlier one is still out on an **open** connection".
    pub(super) fn end(&self, ran: Ran) {
        if !self.ended.swap(true, Ordering::Relaxed) {
            let (attempt, worker) = (self.number, self.worker.number);
            let closed = self.connection.closed_by_router();
            if closed.is_some() {
                self.worker.recorder.record(self.id, RequestEvent::Noticed { attempt });
            }
            let at = closed.unwrap_or_else(Instant::now);
            self.worker.recorder.record_at(self.id, at, RequestEvent::Over { attempt, worker, ran });
        }
    }
}

impl Attempt<'_> {
    /// The server's process notices that the connection ended.
    pub(super) fn connection_ended(&self) {
        let ran = self.ran.load(Ordering::Relaxed);
        self.end(if ran { Ran::Yes } else { Ran::No });
    }

    /// "503 or 504 with `X-Rejected: 1`: turned away, never has it run." False if the connection ended.
    pub(super) async fn reject(&self, output: &mut WriteSide) -> bool {
        const REJECTED: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
        self.connection.wait_delivery().await;
        self.end(Ran::No);
        output.write_all(REJECTED).await.is_ok()
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.connection_ended();
    }
}
