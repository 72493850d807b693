//! Settings for etcd as the source of the server list.

use super::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// Where to find the server list in etcd.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Etcd {
    /// Address of etcd's JSON gateway.
    pub endpoint: SocketAddr,
    /// Prefix of the servers' keys; the rest of a key is the server's id.
    pub prefix: String,
}

impl Etcd {
    /// Reads the file.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let etcd: Etcd = super::toml_file(path)?;
        if etcd.prefix.is_empty() {
            return Err(ConfigError::Content {
                path: path.to_owned(),
                problem: "prefix is empty".to_owned(),
            });
        }
        Ok(etcd)
    }
}
