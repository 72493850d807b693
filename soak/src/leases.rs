//! What readers hold for requests, and which attempts at writers wait for it, as the servers know it. Each transition
//! cites the sentence of the operators' specification that it implements.

use crate::release_reach::ReleaseReach;
use crate::trace::{Recorder, RequestEvent};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The leases of all requests.
pub struct Leases {
    reach: ReleaseReach,
    recorder: Arc<Recorder>,
    requests: Mutex<HashMap<u64, RequestLeases>>,
}

#[derive(Default)]
struct RequestLeases {
    readers: BTreeSet<usize>,
    waiting: BTreeSet<u64>,
}

impl Leases {
    /// Creates an empty set of leases.
    pub fn new(reach: ReleaseReach, recorder: Arc<Recorder>) -> Arc<Self> {
        Arc::new(Leases { reach, recorder, requests: Mutex::default() })
    }

    /// How releases treat states that attempts wait for.
    pub fn reach(&self) -> ReleaseReach {
        self.reach
    }

    fn locked(&self) -> MutexGuard<'_, HashMap<u64, RequestLeases>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// "The read state then waits in its memory."
    pub fn add(&self, request: u64, reader: usize) {
        let mut requests = self.locked();
        requests.entry(request).or_default().readers.insert(reader);
        // Recorded under the lock: a release recorded before it would make the trace say that the state is held
        // forever.
        self.recorder.record(request, RequestEvent::Held(reader));
    }

    /// "The request waits in its queue until a slot and memory for the prompt are free": the attempt has arrived at a
    /// running writer, and waits until the returned guard is dropped.
    pub fn wait(self: &Arc<Self>, request: u64, attempt: u64) -> WaitingAttempt {
        self.locked().entry(request).or_default().waiting.insert(attempt);
        WaitingAttempt { leases: self.clone(), request, attempt }
    }

    /// "The state is fetched, the reader's memory is let go", and "with FIRST all else that is held goes by itself".
    /// False if "the state is gone".
    pub fn fetch(&self, request: u64) -> bool {
        let readers = self.take_readers(request);
        self.record_let_go(request, &readers);
        !readers.is_empty()
    }

    /// "`DELETE` releases everything held for the request, at any worker." See [`ReleaseReach`].
    pub fn release(&self, request: u64) {
        let awaited = self.locked().get(&request).is_some_and(|request| !request.waiting.is_empty());
        if awaited && self.reach == ReleaseReach::Unawaited {
            self.recorder.record(request, RequestEvent::ReleasedInVain);
            return;
        }
        let readers = self.take_readers(request);
        self.record_let_go(request, &readers);
    }

    /// "When a process dies": drops all leases of a reader.
    pub fn drop_reader(&self, reader: usize) {
        let mut lost = Vec::new();
        for (id, request) in self.locked().iter_mut() {
            if request.readers.remove(&reader) {
                lost.push(*id);
            }
        }
        lost.into_iter().for_each(|id| self.record_let_go(id, &BTreeSet::from([reader])));
    }

    fn take_readers(&self, request: u64) -> BTreeSet<usize> {
        let mut requests = self.locked();
        requests.get_mut(&request).map(|request| std::mem::take(&mut request.readers)).unwrap_or_default()
    }

    fn record_let_go(&self, request: u64, readers: &BTreeSet<usize>) {
        readers.iter().for_each(|reader| self.recorder.record(request, RequestEvent::LetGo(*reader)));
    }
}

/// An attempt that waits at a writer. Drop this when its answer begins, it is rejected, or the writer has noticed
/// that its connection ended.
pub struct WaitingAttempt {
    leases: Arc<Leases>,
    request: u64,
    attempt: u64,
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        let mut requests = self.leases.locked();
        let Some(request) = requests.get_mut(&self.request) else { return };
        request.waiting.remove(&self.attempt);
        if request.waiting.is_empty() && request.readers.is_empty() {
            requests.remove(&self.request);
        }
    }
}
