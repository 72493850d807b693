//! Queue of new connections that wait for a server's turn: round robin over the tenants, and in order of
//! arrival within a tenant. A burst of one tenant costs each other tenant one turn, not a wait behind the
//! whole burst.

use crate::{Millis, SessionId, TenantId};
use std::collections::{BTreeSet, HashMap};

/// The queue of one tenant.
struct TenantQueue {
    /// Its position in the round robin.
    turn: u64,
    /// The queued connections by the time at which their wait ends. This keeps the order of arrival, also for
    /// a connection that is queued again after a failed attempt.
    waiting: BTreeSet<(Millis, SessionId)>,
}

#[derive(Default)]
pub(crate) struct FairQueue {
    tenants: HashMap<TenantId, TenantQueue>,
    /// Tenants with queued connections, by their turns.
    turn_order: BTreeSet<(u64, TenantId)>,
    last_turn: u64,
    /// All queued connections, by the time at which their wait ends.
    by_expiry: BTreeSet<(Millis, SessionId)>,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// When the first wait ends.
    pub(crate) fn next_expiry(&self) -> Option<Millis> {
        self.by_expiry.first().map(|(wait_until, _)| *wait_until)
    }

    /// A connection whose wait has ended.
    pub(crate) fn expired(&self, now: Millis) -> Option<SessionId> {
        self.by_expiry.first().filter(|(wait_until, _)| *wait_until <= now).map(|(_, id)| *id)
    }

    pub(crate) fn push(&mut self, tenant: TenantId, id: SessionId, wait_until: Millis) {
        self.last_turn += 1;
        let turn = self.last_turn;
        let queue =
            self.tenants.entry(tenant).or_insert_with(|| TenantQueue { turn, waiting: BTreeSet::new() });
        self.turn_order.insert((queue.turn, tenant));
        queue.waiting.insert((wait_until, id));
        self.by_expiry.insert((wait_until, id));
    }

    /// The connection whose turn is next.
    pub(crate) fn next(&self) -> Option<SessionId> {
        let (_, tenant) = self.turn_order.first()?;
        self.tenants.get(tenant)?.waiting.first().map(|(_, id)| *id)
    }

    /// Removes a connection that has had its turn or left. Its tenant's next turn comes after those of the
    /// other tenants.
    pub(crate) fn remove(&mut self, tenant: TenantId, id: SessionId, wait_until: Millis) {
        if !self.by_expiry.remove(&(wait_until, id)) {
            return;
        }
        let Some(queue) = self.tenants.get_mut(&tenant) else { return };
        queue.waiting.remove(&(wait_until, id));
        self.turn_order.remove(&(queue.turn, tenant));
        if queue.waiting.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.last_turn += 1;
            queue.turn = self.last_turn;
            self.turn_order.insert((queue.turn, tenant));
        }
    }
}
