//! One attempt as its server sees it.

use super::{Mode, Role, Worker, Writes};
use crate::http::Request;
use crate::network::Connection;
use crate::trace::{Ran, RequestEvent};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;

/// One attempt at a server, over at the latest when this goes.
pub(super) struct Attempt<'a> {
    worker: &'a Worker,
    pub(super) connection: &'a Connection,
    id: u64,
    pub(super) number: u64,
    /// The server was running when it came.
    pub(super) taken: bool,
    /// Whether it may have taken effect by now.
    ran: AtomicBool,
    over: AtomicBool,
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
        // A process that hangs has not taken what its machine accepts.
        let taken = *worker.mode.borrow() != Mode::Hangs;
        let whole =
            RequestEvent::Whole { attempt: number, worker: worker.number, budget, sent: request.sent, taken };
        worker.recorder.record_at(id, request.last, whole);
        let reads = worker.role == Role::Reads;
        let (ran, over) = (AtomicBool::new(!reads), AtomicBool::new(false));
        Attempt { worker, connection, id, number, taken, ran, over }
    }

    pub(super) fn runs(&self) {
        self.ran.store(true, Ordering::Relaxed);
    }

    /// It is over: from now on, or since the router ended its connection. "A second copy if an earlier one is still out on
    /// an **open** connection."
    pub(super) fn over(&self, ran: Ran) {
        if !self.over.swap(true, Ordering::Relaxed) {
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
    /// Its connection has ended, and the server's process sees that now.
    pub(super) fn connection_ended(&self) {
        let ran = self.ran.load(Ordering::Relaxed);
        self.over(if ran { Ran::Yes } else { Ran::No });
    }

    /// "503 or 504 with `X-Rejected: 1`: turned away, never has it run." False if the connection has ended.
    pub(super) async fn turned_away(&self, writes: &mut Writes) -> bool {
        const TURNED_AWAY: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
        self.connection.passes().await;
        self.over(Ran::No);
        writes.write_all(TURNED_AWAY).await.is_ok()
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.connection_ended();
    }
}
