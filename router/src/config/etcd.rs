//! The file that makes etcd the source of the list.

use super::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// Where etcd answers, and under which keys the servers stand.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Etcd {
    /// Its JSON gateway.
    pub endpoint: SocketAddr,
    /// What comes before a server's id in its key.
    pub prefix: String,
}

impl Etcd {
    /// Reads the file.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let told: Etcd = super::toml_file(path)?;
        if told.prefix.is_empty() {
            return Err(ConfigError::Content {
                path: path.to_owned(),
                problem: "prefix is empty".to_owned(),
            });
        }
        Ok(told)
    }
}
