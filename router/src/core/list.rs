//! The server list as the core keeps it, and its updates to the decision module and to the owner of long-lived
//! connections.

use super::{Core, Server, server_id};
use crate::list::{Entry, Update};
use crate::log;
use fawnstream_fleet::start_times::Clocks;
use shedrelay::*;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An update of a server in the list, for the owner of long-lived connections.
pub struct ServerUpdate {
    /// The server.
    pub server: ServerId,
    /// Its kind; none if the list has dropped it.
    pub kind: Option<KindId>,
    /// Its state in the list.
    pub state: ServerState,
    /// Unix time of its last start; none if that was long ago.
    pub up_since: Option<Time>,
}

/// Called with updates of the server list.
pub type OnListUpdate = Rc<dyn Fn(&[ServerUpdate])>;

impl Core {
    /// Applies an update of the server list.
    pub fn apply_list(&self, update: Update) {
        let mut members = Vec::new();
        // Servers that a complete list no longer has.
        let mut dropped = Vec::new();
        {
            let mut list = self.list.borrow_mut();
            let now = Instant::now();
            if update.complete {
                // A set, so that a complete list is applied in linear time with 1,024 servers too.
                let listed: HashSet<ServerId> = update.entries.iter().map(|e| server_id(&e.id)).collect();
                for (id, server) in list.iter().filter(|(id, _)| !listed.contains(id)) {
                    mark_draining(server, now);
                    dropped.push(*id);
                    self.start_times.borrow_mut().dropped(id.0, self.clock_time());
                }
                list.retain(|id, _| listed.contains(id));
            }
            for entry in &update.entries {
                let Some(member) = self.list_member(entry, update.last_synced) else { continue };
                let role = self.roles[member.kind.0];
                let same = |known: &&Rc<Server>| known.address == entry.address && known.role == role;
                let known = list.get(&member.server).filter(same);
                let server = known.cloned().unwrap_or_else(|| {
                    if member.up_since.is_some() {
                        let name = if role == Role::Reader { "reader" } else { "writer" };
                        log!("list new server={} role={name} up_since_ms={}", entry.id, entry.up_since_ms);
                    }
                    let announced_at = (!update.complete).then_some(now);
                    Server::new(entry.id.clone(), entry.address, role, announced_at)
                });
                if member.state == ServerState::Active {
                    server.draining_since.set(None);
                } else {
                    mark_draining(&server, now);
                }
                if let Some(old) = list.insert(member.server, server.clone())
                    && !Rc::ptr_eq(&old, &server)
                {
                    mark_draining(&old, now);
                }
                // Otherwise the list would grow with every server that ever joined.
                if member.state == ServerState::Removed {
                    list.remove(&member.server);
                    self.start_times.borrow_mut().dropped(member.server.0, self.clock_time());
                }
                members.push(member);
            }
        }
        self.start_times.borrow_mut().sweep(self.clock_time());
        let on_list_update = self.on_list_update.borrow().clone();
        let updates = on_list_update.is_some().then(|| {
            let dropped = dropped.iter().map(|id| ServerUpdate {
                server: *id,
                kind: None,
                state: ServerState::Removed,
                up_since: None,
            });
            let listed = members.iter().map(|member| ServerUpdate {
                server: member.server,
                kind: Some(member.kind),
                state: member.state,
                up_since: member.up_since,
            });
            dropped.chain(listed).collect::<Vec<ServerUpdate>>()
        });
        self.handle(Event::Members(match update.complete {
            true => Members::Full(members),
            false => Members::Changes(members),
        }));
        if let (Some(callback), Some(updates)) = (on_list_update, updates) {
            callback(&updates);
        }
    }

    /// When a server started, on the decision module's clock; none if that was long ago.
    fn start_time(&self, entry: &Entry, current: Option<Instant>) -> Option<Time> {
        if entry.up_since_ms == 0 {
            return None;
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clocks = Clocks { monotonic: self.clock_time(), wall };
        let current = current.map(|at| self.clock_time_at(at));
        let stamp = Duration::from_millis(entry.up_since_ms);
        let start = self.start_times.borrow_mut().listed(server_id(&entry.id).0, stamp, clocks, current);
        Some(Time(start.as_nanos() as u64))
    }

    /// The decision module's clock at an instant.
    pub(super) fn clock_time_at(&self, at: Instant) -> Duration {
        Duration::from_nanos(self.unix_start_ns) + at.saturating_duration_since(self.started_at)
    }

    fn list_member(&self, entry: &Entry, current: Option<Instant>) -> Option<Member> {
        let Some(kind) = self.names.kinds.iter().position(|kind| *kind == entry.kind) else {
            log!("list dropped server={:?} reason=unknown-kind", entry.id);
            return None;
        };
        let zone = self.names.zones.iter().position(|zone| *zone == entry.zone).unwrap_or(usize::MAX);
        Some(Member {
            server: server_id(&entry.id),
            state: entry.state,
            kind: KindId(kind),
            zone: ZoneId(zone),
            cell: CellId(entry.cell),
            up_since: self.start_time(entry, current),
        })
    }
}

/// Notes and logs that a server drains, unless that is known already.
fn mark_draining(server: &Server, now: Instant) {
    if server.draining_since.get().is_none() {
        server.draining_since.set(Some(now));
        log!("list drains server={}", server.label);
    }
}
