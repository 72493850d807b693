//! Settings of the usage ledger.

use super::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    folder: PathBuf,
    period_s: u64,
    grace_s: u64,
    join_s: u64,
    sync_ms: u64,
    segment_mb: u64,
    sink: Option<Sink>,
}

/// The HTTP sink to which entries are exported.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sink {
    /// The sink's address.
    pub address: SocketAddr,
    /// Path to which batches are posted.
    pub path: String,
}

/// Settings of the usage ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Folder of the ledger's files.
    pub folder: PathBuf,
    /// Length of a billing period.
    pub period_ms: u64,
    /// Time between a period's end and its closing.
    pub grace_ms: u64,
    /// A repeat within this time belongs to the same request.
    pub join_ms: u64,
    /// Longest time from a write to its sync to disk.
    pub sync: Duration,
    /// Size in bytes at which a new file is begun.
    pub segment: u64,
    /// Where entries are exported, if anywhere.
    pub sink: Option<Sink>,
}

impl Ledger {
    /// Reads and validates the file.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let file: File = super::toml_file(path)?;
        let problem = match () {
            () if file.period_s == 0 => Some("period_s must be at least 1"),
            () if file.grace_s < file.join_s => Some("grace_s must not be under join_s"),
            () if file.sync_ms == 0 || file.sync_ms > 60_000 => Some("sync_ms must be 1 to 60000"),
            () if file.segment_mb == 0 || file.segment_mb > 4_096 => Some("segment_mb must be 1 to 4096"),
            () if file.sink.as_ref().is_some_and(|sink| !sink.path.starts_with('/')) => {
                Some("sink.path must begin with /")
            }
            () => None,
        };
        if let Some(problem) = problem {
            return Err(ConfigError::Content { path: path.to_owned(), problem: problem.to_owned() });
        }
        let ms = |seconds: u64| seconds.saturating_mul(1_000);
        Ok(Ledger {
            folder: file.folder,
            period_ms: ms(file.period_s),
            grace_ms: ms(file.grace_s),
            join_ms: ms(file.join_s),
            sync: Duration::from_millis(file.sync_ms),
            segment: file.segment_mb.saturating_mul(1024 * 1024),
            sink: file.sink,
        })
    }
}
