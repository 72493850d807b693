//! The command line.

use super::ConfigError;
use clap::Parser;

/// Routes language-model requests to separate readers and writers. Its configuration is the file that $PROXY_CONFIG
/// names.
#[derive(Debug, Parser)]
#[command(name = "fawnstream", version)]
pub struct Arguments {
    /// The OpenAI-style front's settings; off without it
    #[arg(long, value_name = "FILE")]
    pub openai: Option<String>,
    /// etcd as the source of the list, in place of discovery
    #[arg(long, value_name = "FILE")]
    pub etcd: Option<String>,
    /// The usage ledger's settings; off without it
    #[arg(long, value_name = "FILE")]
    pub ledger: Option<String>,
    /// Settings of long-lived WebSocket connections; off without it
    #[arg(long, value_name = "FILE")]
    pub websocket: Option<String>,
    /// After SIGTERM answers under way have this long; then they are failed and the program ends
    #[arg(long, value_name = "SECONDS", default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub stop_timeout: u64,
}

impl Arguments {
    /// What the program was started with. A call for help or for the version is answered, and ends it.
    pub fn read() -> Result<Self, ConfigError> {
        Arguments::try_parse().map_err(|error| {
            if !error.use_stderr() {
                error.exit();
            }
            // One line: the rest of what the library says is what help says.
            let text = error.to_string();
            let line = text.lines().next().unwrap_or_default();
            ConfigError::Usage(line.strip_prefix("error: ").unwrap_or(line).to_owned())
        })
    }
}
