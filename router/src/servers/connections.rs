//! Opens connections to servers and limits how many are open. A connection carries one attempt or one release and is
//! then closed. Over HTTP/1.1 an answer does not name its request: on a connection that has carried an earlier request,
//! a late second answer to that one could not be told from the answer that is waited for.

use super::link::ServerConnection;
use crate::core::Server;
use shedrelay_settings::ConnectionSettings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Share of the drain grace within which the first byte of an attempt is written; the rest is for its transit.
const GRACE_SHARE: f64 = 0.7;

/// Counts as one of the open connections until dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// All connections to servers.
pub struct Connections {
    open_count: Rc<Cell<usize>>,
    max_open: usize,
    /// How many of these are reserved for releases.
    reserved: usize,
    settings: ConnectionSettings,
    dispatches: Rc<Cell<u64>>,
}

impl Connections {
    /// At most `max_open` connections, `reserved` of them for releases. Attempts that were written completely are
    /// counted in `dispatches`.
    pub fn new(
        settings: ConnectionSettings,
        max_open: usize,
        reserved: usize,
        dispatches: Rc<Cell<u64>>,
    ) -> Rc<Self> {
        Rc::new(Connections { open_count: Rc::default(), max_open, reserved, settings, dispatches })
    }

    /// A new connection for an attempt. `None` if all are in use.
    pub fn open(&self, server: &Server) -> Option<ServerConnection> {
        self.permit().map(|permit| self.open_with(server, permit))
    }

    /// A new connection for a release, which must not wait: it may also use the reserved ones.
    pub fn open_reserved(&self, server: &Server) -> Option<ServerConnection> {
        self.permit_within(self.max_open).map(|permit| self.open_with(server, permit))
    }

    fn open_with(&self, server: &Server, permit: ConnectionPermit) -> ServerConnection {
        ServerConnection::new(server.address, self.connect_timeout(), permit, self.dispatches.clone())
    }

    /// A permit for a connection that is not opened here. `None` if all connections are in use.
    pub fn permit(&self) -> Option<ConnectionPermit> {
        self.permit_within(self.max_open - self.reserved)
    }

    fn permit_within(&self, max_open: usize) -> Option<ConnectionPermit> {
        if self.open_count.get() >= max_open {
            return None;
        }
        self.open_count.set(self.open_count.get() + 1);
        Some(ConnectionPermit(self.open_count.clone()))
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_nanos(self.settings.connect.0)
    }

    /// How long after the news that a server drains an attempt may begin there.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_nanos(self.settings.drain_grace.0).mul_f64(GRACE_SHARE)
    }
}
