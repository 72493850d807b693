//! The command line.

use super::ConfigError;
use clap::Parser;

/// Routes language-model requests to separate readers and writers. Its configuration is the file that $PROXY_CONFIG
/// names.
#[derive(Debug, Parser)]
#[command(name = "fawnstream", version)]
pub struct Arguments {
    /// Turns the OpenAI-style API on, with the settings in this file
    #[arg(long, value_name = "FILE")]
    pub openai: Option<String>,
    /// Reads the server list from etcd instead of discovery, with the settings in this file
    #[arg(long, value_name = "FILE")]
    pub etcd: Option<String>,
    /// Turns the usage ledger on, with the settings in this file
    #[arg(long, value_name = "FILE")]
    pub ledger: Option<String>,
    /// Turns WebSocket connections on, with the settings in this file
    #[arg(long, value_name = "FILE")]
    pub websocket: Option<String>,
    /// Time for open requests to finish after SIGTERM, before they are failed and the program ends
    #[arg(long, value_name = "SECONDS", default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub stop_timeout: u64,
}

impl Arguments {
    /// Parses the command line. `--help` and `--version` print their answer and end the program.
    pub fn read() -> Result<Self, ConfigError> {
        Arguments::try_parse().map_err(|error| {
            if !error.use_stderr() {
                error.exit();
            }
            // Only the first line of clap's message: the others repeat the help.
            let message = error.to_string();
            let line = message.lines().next().unwrap_or_default();
            ConfigError::Usage(line.strip_prefix("error: ").unwrap_or(line).to_owned())
        })
    }
}
