//! Starts and stops a real router process, and reads its log.

use crate::changes::ChangeTracker;
use serde_json::Value;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Time in which a router must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Environment variable that makes a process of this program run as a router.
pub const ROLE_VARIABLE: &str = "FAWNSTREAM_SCALE_ROLE";
/// Value of [`ROLE_VARIABLE`] for a router.
pub const ROUTER_ROLE: &str = "router";

/// Why a router process cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program cannot be started.
    #[error("{program}: {error}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// The router ended or timed out before it was ready.
    #[error("a router did not become ready: {0}")]
    NotReady(String),
}

/// Addresses at which a router listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running router.
pub struct RouterProcess {
    child: Child,
    /// Addresses at which it listens.
    pub addresses: Addresses,
}

/// What the log tells of a router's start.
enum LogEvent {
    Clients(SocketAddr),
    Operators(SocketAddr),
    Active,
    /// A line of an error message or a panic.
    Failure(String),
}

impl RouterProcess {
    /// Starts a router and waits until it is active. Without a `program`, this program runs as the router.
    pub fn start(
        program: Option<&Path>,
        folder: &Path,
        configuration: &Value,
        tracker: Arc<ChangeTracker>,
    ) -> Result<Self, ProcessError> {
        let own_program = std::env::current_exe();
        let program = match (program, own_program) {
            (Some(program), _) => program.to_owned(),
            (None, Ok(own_program)) => own_program,
            (None, Err(error)) => {
                return Err(ProcessError::Start { program: "this program".into(), error });
            }
        };
        let start_error = |error| ProcessError::Start { program: program.clone(), error };
        let name = configuration["name"].as_str().unwrap_or("router");
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, configuration.to_string()).map_err(start_error)?;
        let mut child = Command::new(&program)
            .env("PROXY_CONFIG", &file)
            .env(ROLE_VARIABLE, ROUTER_ROLE)
            .env_remove("PROXY_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(start_error)?;
        let (sender, events) = channel();
        if let Some(log) = child.stderr.take() {
            std::thread::spawn(move || read_log(BufReader::new(log), &sender, &tracker));
        }
        match wait_until_active(&events) {
            Ok(addresses) => Ok(RouterProcess { child, addresses }),
            Err(error) => {
                kill(&mut child);
                Err(error)
            }
        }
    }

    /// The process's id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        kill(&mut self.child);
    }
}

fn kill(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// Removes the time at the beginning of a log line; lines of a panic have none.
fn without_time(line: String) -> String {
    match line.split_once(' ') {
        Some((time, rest)) if time.starts_with("time=") => rest.to_owned(),
        _ => line,
    }
}

/// Reads the log to its end, because a full pipe would block the router.
fn read_log(log: impl std::io::BufRead, sender: &Sender<LogEvent>, tracker: &ChangeTracker) {
    for line in log.lines().map_while(Result::ok).map(without_time) {
        if let Some(server) = line.strip_prefix("list drains server=") {
            tracker.record_applied(server);
            continue;
        }
        let address = || line.split("listen=").nth(1)?.split(' ').next()?.parse().ok();
        let event = match line.split(' ').next() {
            Some("operators") => address().map(LogEvent::Operators),
            Some("started") => address().map(LogEvent::Clients),
            Some("life") if line.contains("phase=active") => Some(LogEvent::Active),
            Some("fawnstream:") | Some("thread") => Some(LogEvent::Failure(line)),
            _ => None,
        };
        // Sending fails once the router is active, because nothing waits for events any more.
        event.into_iter().for_each(|event| drop(sender.send(event)));
    }
}

fn wait_until_active(events: &Receiver<LogEvent>) -> Result<Addresses, ProcessError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let (mut clients, mut operators, mut failure) = (None, None, String::new());
    loop {
        match events.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(LogEvent::Clients(address)) => clients = Some(address),
            Ok(LogEvent::Operators(address)) => operators = Some(address),
            Ok(LogEvent::Failure(line)) => failure = line,
            Ok(LogEvent::Active) => {
                return match (clients, operators) {
                    (Some(clients), Some(operators)) => Ok(Addresses { clients, operators }),
                    _ => Err(ProcessError::NotReady("it logged no addresses".to_owned())),
                };
            }
            Err(RecvTimeoutError::Timeout) => {
                return Err(ProcessError::NotReady(format!(
                    "not active after {} s",
                    READY_TIMEOUT.as_secs()
                )));
            }
            Err(RecvTimeoutError::Disconnected) if failure.is_empty() => {
                return Err(ProcessError::NotReady("it ended".to_owned()));
            }
            Err(RecvTimeoutError::Disconnected) => return Err(ProcessError::NotReady(failure)),
        }
    }
}
