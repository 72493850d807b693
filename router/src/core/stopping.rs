//! Ending all requests when the process stops. Afterwards each request has its final outcome, also one whose attempt
//! does not end.

use super::{CancelReason, Core, FinalOutcome, OpenRequest};
use crate::exchange::Opening;
use shedrelay::{Event, RequestId};

impl Core {
    /// Fails all requests without a final answer, breaks off the answers that are under way, and cancels their
    /// attempts. Used when the process is about to end: a client whose connection closes without an answer would assume
    /// that its request was never read.
    pub fn end_requests(&self) {
        for id in self.requests_where(|open| !open.outcome_recorded.get()) {
            self.cancel_attempt(id);
        }
        for id in self.requests_where(|open| !open.settled) {
            self.answer(id, Opening::Failed);
            self.handle(Event::ClientLeft(id));
            self.remove_if_finished(id);
        }
    }

    /// How many requests have no final outcome yet. An answer under way gets it when its attempt ends.
    pub fn unrecorded_requests(&self) -> usize {
        self.requests_where(|open| !open.outcome_recorded.get()).len()
    }

    /// Records an outcome for each answer whose attempt has not ended although it was cancelled. Its stream can't be
    /// handed over any more.
    pub fn record_unfinished(&self) {
        for (id, open) in self.requests.borrow().iter().filter(|(_, open)| !open.outcome_recorded.get()) {
            let outcome = if open.client_left { FinalOutcome::ClientLeft } else { FinalOutcome::Broken };
            self.record_outcome(*id, open, outcome, None);
        }
    }

    /// Whether a request's stream may be handed over: it is billed where it ends, and only once.
    pub fn may_hand_over(&self, request: RequestId) -> bool {
        self.requests.borrow().get(&request).is_some_and(|open| !open.outcome_recorded.get())
    }

    fn requests_where(&self, condition: impl Fn(&OpenRequest) -> bool) -> Vec<RequestId> {
        let requests = self.requests.borrow();
        requests.iter().filter(|(_, open)| condition(open)).map(|(id, _)| *id).collect()
    }

    fn cancel_attempt(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        let current = requests.get_mut(&id).and_then(|open| open.current.as_mut());
        if let Some(cancel) = current.and_then(|(_, cancel)| cancel.take()) {
            let _ = cancel.send(CancelReason::Stopping);
        }
    }
}
