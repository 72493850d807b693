//! The router's configuration: the file that `$PROXY_CONFIG` names, environment variables and command line.

pub mod arguments;
pub mod etcd;
pub mod ledger;
pub mod openai;
pub mod websocket;

use crate::list;
use crate::names::hash;
use arguments::Arguments;
use serde::Deserialize;
use shedrelay::Settings;
use shedrelay_settings::{ConnectionSettings, Names, RawSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors reserved for listeners, the watch on the server list, operators' connections, standard streams and the
/// runtime.
const SPARE_SOCKETS: usize = 32 + MAX_OPERATOR_CONNECTIONS;
/// Limit on concurrent operators' connections.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Share of the remaining descriptors for client connections; the rest is for server connections.
const CLIENT_SHARE: f64 = 0.55;
/// One in this many server connections is reserved for releases. A release takes a few milliseconds, so a handful of
/// connections can release thousands of leases a second.
const SERVER_SOCKETS_PER_RELEASE: usize = 16;
/// Least number of connections reserved for releases.
const MIN_RELEASE_SOCKETS: usize = 2;
/// Least number of descriptors with which a router can work.
const MIN_SOCKETS: usize = 80;

/// Bytes of request bodies that may be buffered in total, per MB of `memory_mb`: a fifth of the memory. The rest is
/// for connection buffers, about 32 KiB for each busy connection.
const BODY_BYTES_PER_MB: f64 = 1024.0 * 1024.0 / 5.0;
/// Least memory with which a router can work.
const MIN_MEMORY_MB: f64 = 16.0;

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required value is neither in the environment nor in the file.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The file's path.
        path: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The command line is invalid.
    #[error(
        "usage: fawnstream [--openai FILE] [--etcd FILE] [--ledger FILE] [--websocket FILE] [--stop-timeout SECONDS]: {0}"
    )]
    Usage(String),
    /// The content of a file is invalid.
    #[error("{path}: {problem}")]
    Content {
        /// The file's path.
        path: String,
        /// What is invalid.
        problem: String,
    },
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    mgmt: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    known: Option<list::RawUpdate>,
    settings: RawSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, memory_mb: 192.0 }
    }
}

/// The configuration of one router.
pub struct Config {
    /// The router's name.
    pub name: String,
    /// Address for clients of the platform's API.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Address for operators, if there is one.
    pub mgmt: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limit on open client connections.
    pub client_sockets: usize,
    /// Limit on open server connections, releases included.
    pub server_sockets: usize,
    /// Server connections reserved for releases.
    pub release_sockets: usize,
    /// Limit on buffered bytes of request bodies.
    pub body_bytes: usize,
    /// Limit on buffered bytes of WebSocket connections; 0 without any.
    pub websocket_bytes: usize,
    /// The last known list of servers, which may be outdated.
    pub known: Option<list::RawUpdate>,
    /// Settings of the routing logic.
    pub settings: Settings,
    /// Names of classes, tenants, kinds and zones on the wire.
    pub names: Names,
    /// Connection settings.
    pub connections: ConnectionSettings,
    /// The OpenAI-style front, if it is on.
    pub openai: Option<openai::OpenAi>,
    /// etcd as the source of the server list, in place of discovery.
    pub etcd: Option<etcd::Etcd>,
    /// WebSocket connections, if they are on.
    pub websocket: Option<websocket::WebSocket>,
    /// The usage ledger, if it is on.
    pub ledger: Option<ledger::Ledger>,
    /// How long a stop waits for open requests after SIGTERM.
    pub stop_timeout: Duration,
}

impl Config {
    /// Reads the file that `$PROXY_CONFIG` names; environment variables take precedence over it. With an inherited
    /// socket (`shared`) a second process may run at the same time, so that each uses half of the limits.
    pub fn load(shared: bool) -> Result<Self, ConfigError> {
        Config::read(shared, |name, value| std::env::var(name).ok().or(value))
    }

    /// Reads the file again. Now the file takes precedence: the variables still have their values from the start.
    pub fn reload(shared: bool) -> Result<Self, ConfigError> {
        Config::read(shared, |name, value| value.or_else(|| std::env::var(name).ok()))
    }

    fn read(
        shared: bool,
        choose: impl Fn(&str, Option<String>) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| ConfigError::Unset("PROXY_CONFIG"))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::File { path: path.clone(), error })?;
        let invalid = |problem: String| ConfigError::Content { path: path.clone(), problem };
        let file: File = serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        let required =
            |name: &'static str, value: Option<String>| choose(name, value).ok_or(ConfigError::Unset(name));
        let address = |name: &'static str, value: Option<String>| {
            let text = required(name, value)?;
            text.parse().map_err(|_| invalid(format!("{name}: `{text}` is not address:port")))
        };
        let processes = if shared { 2 } else { 1 };
        let sockets = file.limits.sockets / processes;
        if sockets < MIN_SOCKETS {
            let (given, min) = (file.limits.sockets, MIN_SOCKETS * processes);
            return Err(invalid(format!("limits.sockets: {given} is under {min}")));
        }
        let memory_mb = file.limits.memory_mb / processes as f64;
        if memory_mb < MIN_MEMORY_MB {
            let (given, min) = (file.limits.memory_mb, MIN_MEMORY_MB * processes as f64);
            return Err(invalid(format!("limits.memory_mb: {given} is under {min}")));
        }
        let client_sockets = ((sockets - SPARE_SOCKETS) as f64 * CLIENT_SHARE) as usize;
        let connections = file.settings.connection_settings();
        let (settings, names) =
            file.settings.into_settings().map_err(|e| invalid(format!("settings: {e}")))?;
        settings.check().map_err(|error| invalid(error.to_string()))?;
        let mut server_sockets = sockets - SPARE_SOCKETS - client_sockets;
        let mut body_bytes = (memory_mb * BODY_BYTES_PER_MB) as usize;
        let arguments = Arguments::read()?;
        let load = |path: &String| websocket::WebSocket::load(path, &names, &settings, server_sockets);
        let websocket = arguments.websocket.as_ref().map(load).transpose()?;
        let mut websocket_bytes = 0;
        if websocket.is_some() {
            server_sockets -= websocket::session_slots(server_sockets).0;
            websocket_bytes = body_bytes / 2;
            body_bytes -= websocket_bytes;
        }
        Ok(Config {
            name: required("PROXY_NAME", file.name).unwrap_or_else(|_| "router".to_owned()),
            listen: address("PROXY_LISTEN", file.listen)?,
            discovery: address("PROXY_DISCOVERY", file.discovery)?,
            mgmt: match choose("PROXY_MGMT", file.mgmt) {
                Some(text) => Some(address("PROXY_MGMT", Some(text))?),
                None => None,
            },
            seed: seed(&file.seed),
            client_sockets,
            server_sockets,
            release_sockets: (server_sockets / SERVER_SOCKETS_PER_RELEASE).max(MIN_RELEASE_SOCKETS),
            body_bytes,
            websocket_bytes,
            known: file.known,
            openai: arguments.openai.map(|path| openai::OpenAi::load(&path, &names)).transpose()?,
            etcd: arguments.etcd.map(|path| etcd::Etcd::load(&path)).transpose()?,
            ledger: arguments.ledger.map(|path| ledger::Ledger::load(&path)).transpose()?,
            websocket,
            stop_timeout: Duration::from_secs(arguments.stop_timeout),
            settings,
            names,
            connections,
        })
    }
}

/// Reads one of the router's TOML files.
fn toml_file<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::File { path: path.to_owned(), error })?;
    toml::from_str(&text)
        .map_err(|error| ConfigError::Content { path: path.to_owned(), problem: error.message().to_owned() })
}

/// Parses a seed of 16 hex digits; other text is hashed.
fn seed(value: &serde_json::Value) -> u64 {
    match value {
        serde_json::Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)),
        serde_json::Value::Number(number) => number.as_u64().unwrap_or(0),
        _ => 0,
    }
}
