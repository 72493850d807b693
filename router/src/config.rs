//! What the platform tells the router: `$PROXY_CONFIG`, and the variables that stand beside it.

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

/// Descriptors kept for the listeners, the list's watch, operators' callers, standard streams and the runtime.
const SPARE_SOCKETS: usize = 32 + MAX_OPERATOR_CONNECTIONS;
/// Operators' callers at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Part of the others that clients may hold; the rest is for servers.
const CLIENT_PART: f64 = 0.55;
/// One of so many of these is kept back for releases, and so many at least: a release takes a few milliseconds, so
/// that a handful lets go of thousands a second.
const RELEASE_PART: usize = 16;
const LEAST_RELEASES: usize = 2;
/// With fewer descriptors than this a router cannot work.
const LEAST_SOCKETS: usize = 80;

/// Bytes that requests' bodies may hold together for each MB of the memory: a fifth of it. The rest is for
/// buffers, of which each connection has some 32 KiB when it is busy.
const BODY_PART: f64 = 1024.0 * 1024.0 / 5.0;
/// With less memory than this a router cannot work.
const LEAST_MEMORY_MB: f64 = 16.0;

/// Why the router cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the variable nor the file says where things are.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file cannot be read.
    #[error("{path}: {error}")]
    File {
        /// Its path.
        path: String,
        /// What went wrong.
        error: std::io::Error,
    },
    /// An argument that is not known.
    #[error(
        "usage: fawnstream [--openai FILE] [--etcd FILE] [--ledger FILE] [--websocket FILE] [--stop-timeout SECONDS]: {0}"
    )]
    Usage(String),
    /// A file is not what it should be.
    #[error("{path}: {problem}")]
    Content {
        /// Its path.
        path: String,
        /// What is wrong.
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
    known: Option<list::Wire>,
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

/// All that a router is told at its start.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub mgmt: Option<SocketAddr>,
    /// Seed of the module's chance.
    pub seed: u64,
    /// Client connections that may be open at once.
    pub client_sockets: usize,
    /// Server connections that may be open at once.
    pub server_sockets: usize,
    /// Of these, the ones kept back for releases.
    pub release_sockets: usize,
    /// Bytes of requests' bodies that may be held at once.
    pub body_bytes: usize,
    /// Bytes that long-lived connections may hold at once, where there are any.
    pub websocket_bytes: usize,
    /// The list of servers as last held; may be old.
    pub known: Option<list::Wire>,
    /// The module's settings.
    pub settings: Settings,
    /// Names used on the wire.
    pub names: Names,
    /// What is told of connections.
    pub connections: ConnectionSettings,
    /// The second front, where it is wanted.
    pub openai: Option<openai::OpenAi>,
    /// The list's source, where it is not discovery.
    pub etcd: Option<etcd::Etcd>,
    /// Long-lived connections, where they are wanted.
    pub websocket: Option<websocket::WebSocket>,
    /// The usage ledger, where it is wanted.
    pub ledger: Option<ledger::Ledger>,
    /// How long answers under way are waited for after SIGTERM.
    pub stop_timeout: Duration,
}

impl Config {
    /// Reads the file that `$PROXY_CONFIG` names; variables of their own outweigh it. With an inherited socket
    /// (`shared`) another process may run beside this one: each takes half of what both may have.
    pub fn load(shared: bool) -> Result<Self, ConfigError> {
        Config::read(shared, |name, value| std::env::var(name).ok().or(value))
    }

    /// Reads the file again. Now it outweighs the variables: they still say what held at the start.
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
        let wrong = |problem: String| ConfigError::Content { path: path.clone(), problem };
        let file: File = serde_json::from_str(&text).map_err(|error| wrong(error.to_string()))?;
        let told =
            |name: &'static str, value: Option<String>| choose(name, value).ok_or(ConfigError::Unset(name));
        let address = |name: &'static str, value: Option<String>| {
            let text = told(name, value)?;
            text.parse().map_err(|_| wrong(format!("{name}: `{text}` is not address:port")))
        };
        let processes = if shared { 2 } else { 1 };
        let sockets = file.limits.sockets / processes;
        if sockets < LEAST_SOCKETS {
            let (told, least) = (file.limits.sockets, LEAST_SOCKETS * processes);
            return Err(wrong(format!("limits.sockets: {told} is under {least}")));
        }
        let memory_mb = file.limits.memory_mb / processes as f64;
        if memory_mb < LEAST_MEMORY_MB {
            let (told, least) = (file.limits.memory_mb, LEAST_MEMORY_MB * processes as f64);
            return Err(wrong(format!("limits.memory_mb: {told} is under {least}")));
        }
        let client_sockets = ((sockets - SPARE_SOCKETS) as f64 * CLIENT_PART) as usize;
        let connections = file.settings.connection_settings();
        let (settings, names) = file.settings.into_settings().map_err(|e| wrong(format!("settings: {e}")))?;
        settings.check().map_err(|error| wrong(error.to_string()))?;
        let mut server_sockets = sockets - SPARE_SOCKETS - client_sockets;
        let mut body_bytes = (memory_mb * BODY_PART) as usize;
        let told_of = Arguments::read()?;
        let load = |path: &String| websocket::WebSocket::load(path, &names, &settings, server_sockets);
        let websocket = told_of.websocket.as_ref().map(load).transpose()?;
        let mut websocket_bytes = 0;
        if websocket.is_some() {
            server_sockets -= websocket::session_slots(server_sockets).0;
            websocket_bytes = body_bytes / 2;
            body_bytes -= websocket_bytes;
        }
        Ok(Config {
            name: told("PROXY_NAME", file.name).unwrap_or_else(|_| "router".to_owned()),
            listen: address("PROXY_LISTEN", file.listen)?,
            discovery: address("PROXY_DISCOVERY", file.discovery)?,
            mgmt: match choose("PROXY_MGMT", file.mgmt) {
                Some(told) => Some(address("PROXY_MGMT", Some(told))?),
                None => None,
            },
            seed: seed(&file.seed),
            client_sockets,
            server_sockets,
            release_sockets: (server_sockets / RELEASE_PART).max(LEAST_RELEASES),
            body_bytes,
            websocket_bytes,
            known: file.known,
            openai: told_of.openai.map(|path| openai::OpenAi::load(&path, &names)).transpose()?,
            etcd: told_of.etcd.map(|path| etcd::Etcd::load(&path)).transpose()?,
            ledger: told_of.ledger.map(|path| ledger::Ledger::load(&path)).transpose()?,
            websocket,
            stop_timeout: Duration::from_secs(told_of.stop_timeout),
            settings,
            names,
            connections,
        })
    }
}

/// A file of ours, as TOML.
fn toml_file<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::File { path: path.to_owned(), error })?;
    toml::from_str(&text)
        .map_err(|error| ConfigError::Content { path: path.to_owned(), problem: error.message().to_owned() })
}

/// A seed is 16 hex digits; anything else still gives some number.
fn seed(value: &serde_json::Value) -> u64 {
    match value {
        serde_json::Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)),
        serde_json::Value::Number(number) => number.as_u64().unwrap_or(0),
        _ => 0,
    }
}
