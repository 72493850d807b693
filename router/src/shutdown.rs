//! The shutdown of a router after SIGTERM: waits for the answers under way, ends the requests that are left, and closes
//! the usage ledger behind the last of them.

use crate::clients::{ACCEPT_AFTER_STOP, Shared};
use crate::core::Core;
use crate::log;
use crate::usage::UsageLedger;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for clients to receive the end of requests that were still open after the stop timeout.
const FAILURE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for cancelled attempts to end by themselves, which tells the tokens that were used. SIGKILL may be near.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);
/// How often the conditions of a shutdown are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a shutdown ends.
pub struct Shutdown {
    /// Knows the open requests and leases.
    pub core: Rc<Core>,
    /// Knows the clients' connections.
    pub shared: Rc<Shared>,
    /// The usage ledger, if one is kept.
    pub usage: Option<Rc<UsageLedger>>,
    /// How long answers under way are waited for.
    pub stop_timeout: Duration,
    /// How long leases are waited for once no request is open.
    pub release_time_limit: Duration,
}

impl Shutdown {
    /// Returns when the process may end.
    pub async fn run(&self) {
        actix_rt::time::sleep(ACCEPT_AFTER_STOP).await;
        self.wait_for_requests(Instant::now() + self.stop_timeout).await;
        let any_ended = self.core.open_requests() > 0;
        self.end_requests().await;
        let answers_sent = async {
            if any_ended {
                self.wait_until(Instant::now() + FAILURE_ANSWER_TIMEOUT, || !self.is_busy()).await;
            }
        };
        // Every request has its outcome, so the ledger needs no time of the clients'.
        tokio::join!(answers_sent, close_ledger(self.usage.as_deref()));
    }

    /// Gives each request that is still open its final outcome.
    pub async fn end_requests(&self) {
        self.core.end_requests();
        self.wait_until(Instant::now() + CANCEL_TIMEOUT, || self.core.unrecorded_requests() == 0).await;
        self.core.record_unfinished();
    }

    /// Waits until nothing is under way, and for leases alone only as long as their release takes.
    async fn wait_for_requests(&self, deadline: Instant) {
        // Since when leases but no requests have been open.
        let mut only_leases_since = None;
        while self.is_busy() && Instant::now() < deadline {
            if self.has_clients() {
                only_leases_since = None;
            } else if only_leases_since.get_or_insert_with(Instant::now).elapsed() > self.release_time_limit {
                // Leases past the release time limit are not waited for: servers free what a stopped router left
                // behind some seconds later.
                log!("stopping leases={} reason=time-to-release-over", self.core.lease_counts().0);
                break;
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether clients are connected or waited for.
    fn has_clients(&self) -> bool {
        self.shared.accepting() || self.shared.open_connections() > 0 || self.core.open_requests() > 0
    }

    fn is_busy(&self) -> bool {
        self.has_clients() || self.core.lease_counts().0 > 0
    }

    async fn wait_until(&self, deadline: Instant, condition: impl Fn() -> bool) {
        while !condition() && Instant::now() < deadline {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Closes the ledger, if there is one and it is not closed yet.
pub async fn close_ledger(usage: Option<&UsageLedger>) {
    if let Some(usage) = usage {
        usage.stop().await;
    }
}
