//! A real router process: its start, what it logs, and its end.

use crate::changes::Board;
use serde_json::Value;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// A router that is not ready by then does not become so.
const READY: Duration = Duration::from_secs(30);
/// Set in a process that is to be a router: this program is one too.
pub const ROLE: &str = "FAWNSTREAM_SCALE_ROLE";
/// Its value.
pub const ROUTER: &str = "router";

/// Why a router process cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It cannot be started.
    #[error("{program}: {error}")]
    Start {
        /// The program.
        program: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// It ended, or said nothing, before it was ready.
    #[error("a router was not ready: {0}")]
    NotReady(String),
}

/// Where a router's process listens.
#[derive(Clone, Copy, Debug)]
pub struct Listens {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running router.
pub struct Router {
    child: Child,
    /// Where it listens.
    pub listens: Listens,
}

enum Heard {
    Clients(SocketAddr),
    Operators(SocketAddr),
    Active,
    Line(String),
}

impl Router {
    /// Starts one and waits until it takes clients. `program` is the built router; without one this program is.
    pub fn start(
        program: Option<&Path>,
        folder: &Path,
        configuration: &Value,
        board: Arc<Board>,
    ) -> Result<Self, ProcessError> {
        let own = std::env::current_exe();
        let program = match (program, own) {
            (Some(program), _) => program.to_owned(),
            (None, Ok(own)) => own,
            (None, Err(error)) => {
                return Err(ProcessError::Start { program: "this program".into(), error });
            }
        };
        let failed = |error| ProcessError::Start { program: program.clone(), error };
        let name = configuration["name"].as_str().unwrap_or("router");
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, configuration.to_string()).map_err(failed)?;
        let mut child = Command::new(&program)
            .env("PROXY_CONFIG", &file)
            .env(ROLE, ROUTER)
            .env_remove("PROXY_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(failed)?;
        let (tell, heard) = channel();
        if let Some(log) = child.stderr.take() {
            std::thread::spawn(move || follow(BufReader::new(log), &tell, &board));
        }
        match wait(&heard) {
            Ok(listens) => Ok(Router { child, listens }),
            Err(error) => {
                end(&mut child);
                Err(error)
            }
        }
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// A line of the log without the time that it begins with; a panic's has none.
fn without_time(line: String) -> String {
    match line.split_once(' ') {
        Some((time, rest)) if time.starts_with("time=") => rest.to_owned(),
        _ => line,
    }
}

/// Reads the log to its end: nobody else does, and a full pipe would hold the router up.
fn follow(log: impl std::io::BufRead, tell: &Sender<Heard>, board: &Board) {
    for line in log.lines().map_while(Result::ok).map(without_time) {
        if let Some(server) = line.strip_prefix("list drains server=") {
            board.seen(server);
            continue;
        }
        let address = || line.split("listen=").nth(1)?.split(' ').next()?.parse().ok();
        let heard = match line.split(' ').next() {
            Some("operators") => address().map(Heard::Operators),
            Some("started") => address().map(Heard::Clients),
            Some("life") if line.contains("phase=active") => Some(Heard::Active),
            Some("fawnstream:") | Some("thread") => Some(Heard::Line(line)),
            _ => None,
        };
        // Nobody waits any more once it is ready.
        heard.into_iter().for_each(|heard| drop(tell.send(heard)));
    }
}

fn wait(heard: &Receiver<Heard>) -> Result<Listens, ProcessError> {
    let until = Instant::now() + READY;
    let (mut clients, mut operators, mut line) = (None, None, String::new());
    loop {
        match heard.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Heard::Clients(address)) => clients = Some(address),
            Ok(Heard::Operators(address)) => operators = Some(address),
            Ok(Heard::Line(said)) => line = said,
            Ok(Heard::Active) => {
                return match (clients, operators) {
                    (Some(clients), Some(operators)) => Ok(Listens { clients, operators }),
                    _ => Err(ProcessError::NotReady("it told no addresses".to_owned())),
                };
            }
            Err(RecvTimeoutError::Timeout) => {
                return Err(ProcessError::NotReady(format!("nothing in {} s", READY.as_secs())));
            }
            Err(RecvTimeoutError::Disconnected) if line.is_empty() => {
                return Err(ProcessError::NotReady("it ended".to_owned()));
            }
            Err(RecvTimeoutError::Disconnected) => return Err(ProcessError::NotReady(line)),
        }
    }
}
