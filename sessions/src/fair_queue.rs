//! New connections that wait for a server's turn: customers in turn, within a customer the longest waiting first.
//! One customer's storm costs the others a turn each, not the line.

use crate::{Millis, SessionId, TenantId};
use std::collections::{BTreeSet, HashMap};

/// A customer's line.
struct Line {
    /// Its place among the customers' turns.
    turn: u64,
    /// Who waits, by when the wait ends: in the order of their coming, also where one was turned away and waits again.
    waiting: BTreeSet<(Millis, SessionId)>,
}

#[derive(Default)]
pub(crate) struct Asks {
    of: HashMap<TenantId, Line>,
    /// Customers with somebody in line, by their turns.
    order: BTreeSet<(u64, TenantId)>,
    turns: u64,
    /// All in line, by when their wait ends.
    ends: BTreeSet<(Millis, SessionId)>,
}

impl Asks {
    pub(crate) fn len(&self) -> usize {
        self.ends.len()
    }

    /// When the first wait ends.
    pub(crate) fn first(&self) -> Option<Millis> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// One whose wait has ended.
    pub(crate) fn expired(&self, now: Millis) -> Option<SessionId> {
        self.ends.first().filter(|(until, _)| *until <= now).map(|(_, id)| *id)
    }

    pub(crate) fn push(&mut self, tenant: TenantId, id: SessionId, until: Millis) {
        self.turns += 1;
        let turn = self.turns;
        let line = self.of.entry(tenant).or_insert_with(|| Line { turn, waiting: BTreeSet::new() });
        self.order.insert((line.turn, tenant));
        line.waiting.insert((until, id));
        self.ends.insert((until, id));
    }

    /// Whose turn it is.
    pub(crate) fn next(&self) -> Option<SessionId> {
        let (_, tenant) = self.order.first()?;
        self.of.get(tenant)?.waiting.first().map(|(_, id)| *id)
    }

    /// One has had its turn, or left: its customer's next one comes after the other customers'.
    pub(crate) fn remove(&mut self, tenant: TenantId, id: SessionId, until: Millis) {
        if !self.ends.remove(&(until, id)) {
            return;
        }
        let Some(line) = self.of.get_mut(&tenant) else { return };
        line.waiting.remove(&(until, id));
        self.order.remove(&(line.turn, tenant));
        if line.waiting.is_empty() {
            self.of.remove(&tenant);
        } else {
            self.turns += 1;
            line.turn = self.turns;
            self.order.insert((line.turn, tenant));
        }
    }
}
