//! The pool of connections to servers.

use super::link::ServerConnection;
use crate::core::Server;
use shedrelay_settings::ConnectionSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections are closed after this share of the time after which servers close them. A server's close that
/// crosses a request would reset the connection, and the request would be lost.
const IDLE_SHARE: f64 = 0.6;
/// Once this many connections have recently broken right after reuse, connections are no longer reused after half the
/// idle time of one that broke. Guards against a network path on which idle connections die unnoticed: each of them
/// would lose a request that may not be sent twice.
const EARLY_BREAK_LIMIT: f64 = 3.0;
/// Share of the count of early breaks that remains after each sweep.
const EARLY_BREAK_DECAY: f64 = 0.95;
/// Factor by which the reuse limit grows again with each sweep.
const REUSE_LIMIT_GROWTH: f64 = 1.04;
/// Smallest reuse limit.
const MIN_REUSE_LIMIT: Duration = Duration::from_millis(1);
/// Time between sweeps of the idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the drain grace within which the first byte of an attempt is written; the rest is for its transit.
const GRACE_SHARE: f64 = 0.7;

fn max_idle(settings: ConnectionSettings) -> Duration {
    Duration::from_nanos(settings.idle.0).mul_f64(IDLE_SHARE)
}

/// Counts as one of the pool's open connections, for a connection that is not opened through the pool.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// All connections to servers.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<ServerConnection>>>,
    open_count: Rc<Cell<usize>>,
    max_open: usize,
    /// How many of these are reserved for releases.
    reserved: usize,
    settings: ConnectionSettings,
    /// Decaying count of connections that broke right after reuse.
    early_breaks: Cell<f64>,
    /// A connection that was idle for longer is not reused.
    reuse_limit: Cell<Duration>,
    dispatches: Rc<Cell<u64>>,
}

impl Pool {
    /// A pool of at most `max_open` connections, `reserved` of them for releases. Attempts that were written
    /// completely are counted in `dispatches`.
    pub fn new(
        settings: ConnectionSettings,
        max_open: usize,
        reserved: usize,
        dispatches: Rc<Cell<u64>>,
    ) -> Rc<Self> {
        let (early_breaks, reuse_limit) = (Cell::new(0.0), Cell::new(max_idle(settings)));
        Rc::new(Pool {
            idle: RefCell::default(),
            open_count: Rc::default(),
            max_open,
            reserved,
            settings,
            early_breaks,
            reuse_limit,
            dispatches,
        })
    }

    /// Records that a connection broke right after reuse, having been idle for this long.
    pub fn record_early_break(&self, idle: Duration) {
        self.early_breaks.set(self.early_breaks.get() + 1.0);
        if self.early_breaks.get() >= EARLY_BREAK_LIMIT {
            self.reuse_limit.set(self.reuse_limit.get().min(idle / 2).max(MIN_REUSE_LIMIT));
        }
    }

    /// A connection to this server for an attempt: the one used last, or a new one. `None` if all are in use.
    pub fn take(&self, server: &Server) -> Option<ServerConnection> {
        self.take_within(server, self.max_open - self.reserved)
    }

    /// A connection for a release, which must not wait: it may also use the reserved ones.
    pub fn take_reserved(&self, server: &Server) -> Option<ServerConnection> {
        self.take_within(server, self.max_open)
    }

    fn take_within(&self, server: &Server, max_open: usize) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        if let Some(connection) = idle.get_mut(&server.address).and_then(Vec::pop) {
            if connection.idle_since().elapsed() <= self.reuse_limit.get() {
                return Some(connection);
            }
            connection.set_close_code("idle");
        }
        if self.open_count.get() >= max_open {
            let oldest = idle.values_mut().filter(|connections| !connections.is_empty());
            let oldest = oldest.min_by_key(|connections| connections[0].idle_since())?;
            oldest.remove(0).set_close_code("evicted");
        }
        Some(ServerConnection::new(
            server.address,
            self.connect_timeout(),
            max_idle(self.settings),
            self.open_count.clone(),
            self.dispatches.clone(),
        ))
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_nanos(self.settings.connect.0)
    }

    /// How long after the news that a server drains an attempt may begin there.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_nanos(self.settings.drain_grace.0).mul_f64(GRACE_SHARE)
    }

    /// Puts back a connection on which nothing was written since it was taken.
    pub fn put_back_unused(&self, connection: ServerConnection) {
        if connection.used() {
            self.idle.borrow_mut().entry(connection.address()).or_default().push(connection);
        }
    }

    /// A permit for a connection that is not opened through the pool; `None` if all connections are in use.
    pub fn permit(&self) -> Option<ConnectionPermit> {
        if self.open_count.get() >= self.max_open - self.reserved {
            return None;
        }
        self.open_count.set(self.open_count.get() + 1);
        Some(ConnectionPermit(self.open_count.clone()))
    }

    /// Puts back a connection whose request is done. It is closed instead if its server drains, or if bytes came after
    /// the answer, which would be taken for the next answer.
    pub fn put_back(&self, mut connection: ServerConnection) {
        if connection.has_extra_bytes() {
            return connection.set_close_code("unread-bytes");
        }
        if connection.finish_request() {
            return connection.set_close_code("server-left");
        }
        connection.set_close_code("server-closed");
        self.idle.borrow_mut().entry(connection.address()).or_default().push(connection);
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        for connection in self.idle.borrow_mut().remove(&address).into_iter().flatten() {
            connection.set_close_code("server-left");
        }
    }

    /// Starts a task that closes connections that were idle for too long.
    pub fn start_sweeps(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(SWEEP_INTERVAL).await;
                self.early_breaks.set(self.early_breaks.get() * EARLY_BREAK_DECAY);
                let limit = max_idle(self.settings).min(self.reuse_limit.get().mul_f64(REUSE_LIMIT_GROWTH));
                self.reuse_limit.set(limit);
                let mut idle = self.idle.borrow_mut();
                for connections in idle.values_mut() {
                    let stale =
                        connections.partition_point(|connection| connection.idle_since().elapsed() > limit);
                    connections.drain(..stale).for_each(|connection| connection.set_close_code("idle"));
                }
                idle.retain(|_, connections| !connections.is_empty());
            }
        });
    }
}
