//! The list of servers: where its news comes from, and what a piece of news is.

pub mod discovery;

use serde::Deserialize;
use shedrelay::ServerState;
use std::net::SocketAddr;

/// One server as a source of the list knows it.
#[derive(Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same at every router.
    pub id: String,
    /// Where it listens, for this router.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes work.
    pub state: ServerState,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// A piece of news.
pub struct Update {
    /// The entries are the whole list.
    pub complete: bool,
    /// The list, or its changes.
    pub entries: Vec<Entry>,
}

/// Discovery's form of the list.
#[derive(Clone, Deserialize)]
pub struct Wire {
    /// The list's version.
    pub revision: u64,
    complete: bool,
    members: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct WireEntry {
    id: String,
    host_port: SocketAddr,
    #[serde(default)]
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default)]
    up_since_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Active,
    Leaving,
    Left,
}

impl Wire {
    /// The news in it; entries that make no sense are dropped and logged.
    pub fn update(self) -> Update {
        let entry = |value: serde_json::Value| match serde_json::from_value::<WireEntry>(value) {
            Ok(entry) => Some(Entry {
                id: entry.id,
                address: entry.host_port,
                zone: entry.locality,
                kind: entry.flavor,
                cell: entry.cell,
                state: match entry.phase {
                    Phase::Active => ServerState::Active,
                    Phase::Leaving => ServerState::Leaving,
                    Phase::Left => ServerState::Left,
                },
                up_since_ms: entry.up_since_ms,
            }),
            Err(error) => {
                crate::log!("list dropped reason=bad-entry error=\"{error}\"");
                None
            }
        };
        Update { complete: self.complete, entries: self.members.into_iter().filter_map(entry).collect() }
    }
}
