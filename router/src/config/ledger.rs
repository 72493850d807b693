//! The file that switches the usage ledger on.

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

/// Where entries go.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sink {
    /// The sink.
    pub address: SocketAddr,
    /// Where it takes batches.
    pub path: String,
}

/// The ledger's settings.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Where its files are.
    pub folder: PathBuf,
    /// A period's length.
    pub period_ms: u64,
    /// How long after its end a period closes.
    pub grace_ms: u64,
    /// A repeat within this time is a try of the same request.
    pub join_ms: u64,
    /// What was written is on the disk after this time.
    pub sync: Duration,
    /// A file's size.
    pub segment: u64,
    /// Where entries go.
    pub sink: Option<Sink>,
}

impl Ledger {
    /// Reads the file and checks that its figures fit each other.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        let told: File = super::toml_file(path)?;
        let problem = match () {
            () if told.period_s == 0 => Some("period_s must be at least 1"),
            () if told.grace_s < told.join_s => Some("grace_s must not be under join_s"),
            () if told.sync_ms == 0 || told.sync_ms > 60_000 => Some("sync_ms must be 1 to 60000"),
            () if told.segment_mb == 0 || told.segment_mb > 4_096 => Some("segment_mb must be 1 to 4096"),
            () if told.sink.as_ref().is_some_and(|sink| !sink.path.starts_with('/')) => {
                Some("sink.path must begin with /")
            }
            () => None,
        };
        if let Some(problem) = problem {
            return Err(ConfigError::Content { path: path.to_owned(), problem: problem.to_owned() });
        }
        let ms = |seconds: u64| seconds.saturating_mul(1_000);
        Ok(Ledger {
            folder: told.folder,
            period_ms: ms(told.period_s),
            grace_ms: ms(told.grace_s),
            join_ms: ms(told.join_s),
            sync: Duration::from_millis(told.sync_ms),
            segment: told.segment_mb.saturating_mul(1024 * 1024),
            sink: told.sink,
        })
    }
}
