//! Router processes of the built program: starts, signals, system call faults, and figures when no requests are left.

use crate::client::ConnectionChoice;
use crate::limits::READY_TIMEOUT;
use crate::trace::{IdleRouter, Recorder, RouterEvent};
use fawnstream_faults::{FaultControl, FaultKind};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// Time after SIGTERM in which clients still open new connections.
const NEW_CONNECTION_TIME: Duration = Duration::from_millis(300);
/// Interval at which a starting router's log and health are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a GET request to the router.
const GET_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a router cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("router {router}: {error}")]
pub struct StartError {
    /// The router's number.
    pub router: usize,
    /// The cause.
    pub error: std::io::Error,
}

#[derive(Default)]
struct ProcessState {
    child: Option<Child>,
    /// The process, until it has exited.
    pid: Option<Pid>,
    client_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    /// End of the time in which clients may open new connections; none until SIGTERM is sent.
    new_connections_until: Option<Instant>,
    ready: bool,
    /// The process was killed at some time, so that its ledger may lack the last entries.
    killed: bool,
}

/// One router and its successive processes.
pub struct Router {
    /// The router's number.
    pub number: usize,
    /// Control file of its system call faults.
    pub control: FaultControl,
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
    recorder: Arc<Recorder>,
    state: Mutex<ProcessState>,
    /// Held while a process is ended and the next one started.
    pub restart_lock: tokio::sync::Mutex<()>,
}

impl Router {
    /// Creates a router's folder and configuration files. No process is started.
    pub fn new(
        number: usize,
        program: &Path,
        folder: &Path,
        seed: u64,
        recorder: Arc<Recorder>,
    ) -> std::io::Result<Arc<Self>> {
        let folder = folder.join(format!("n{number}"));
        std::fs::create_dir_all(&folder)?;
        let usage = folder.join("usage");
        let ledger = format!(
            "folder = {:?}\nperiod_s = 3600\ngrace_s = 120\njoin_s = 60\nsync_ms = 50\nsegment_mb = 64\n",
            usage.display()
        );
        std::fs::write(folder.join("ledger.toml"), ledger)?;
        let control = FaultControl::create(&folder.join("control"))?;
        let program = program.to_owned();
        Ok(Arc::new(Router {
            number,
            control,
            program,
            folder,
            seed,
            recorder,
            state: Mutex::default(),
            restart_lock: Default::default(),
        }))
    }

    fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address for clients, and which connections they may use, if the router is ready. Some time after SIGTERM
    /// only open connections may be used.
    pub fn client_access(&self) -> Option<(SocketAddr, ConnectionChoice)> {
        let state = self.state();
        let new_allowed = state.new_connections_until.is_none_or(|until| Instant::now() < until);
        let choice = if new_allowed { ConnectionChoice::Idle } else { ConnectionChoice::OnlyIdle };
        state.client_address.filter(|_| state.ready).map(|at| (at, choice))
    }

    /// Whether one of its processes was killed.
    pub fn was_killed(&self) -> bool {
        self.state().killed
    }

    /// The ledger's folder.
    pub fn ledger_folder(&self) -> PathBuf {
        self.folder.join("usage")
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Lines of its log that report a panic or an invariant violation.
    pub fn alarms(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let alarming = |line: &&str| line.contains("panicked") || line.contains("invariant violated");
        text.lines().filter(alarming).map(|line| format!("n{}: {line}", self.number)).collect()
    }

    /// Starts a process with this configuration, and waits until it is ready.
    pub async fn start(&self, config: &str) -> Result<(), StartError> {
        let written = std::fs::write(self.folder.join("config.json"), config);
        written.map_err(|error| StartError { router: self.number, error })?;
        self.spawn().map_err(|error| StartError { router: self.number, error })?;
        self.recorder.record_router(self.number, RouterEvent::Started);
        let until = Instant::now() + READY_TIMEOUT + READY_TIMEOUT / 2;
        while Instant::now() < until {
            if self.is_ready().await {
                self.state().ready = true;
                self.recorder.record_router(self.number, RouterEvent::Ready);
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.recorder.record_router(self.number, RouterEvent::NotReady);
        Ok(())
    }

    fn spawn(&self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log_path())?;
        let log_start = log.metadata()?.len();
        let mut command = std::process::Command::new(&self.program);
        command.env_clear().env("PROXY_CONFIG", self.folder.join("config.json"));
        command.arg("--ledger").arg(self.folder.join("ledger.toml"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.control.preload(&mut command, self.seed, Some(&self.ledger_folder()));
        let child = Command::from(command).kill_on_drop(true).spawn()?;
        let mut state = self.state();
        state.pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
        (state.child, state.client_address, state.operator_address) = (Some(child), None, None);
        (state.new_connections_until, state.ready) = (None, false);
        std::fs::write(self.folder.join("log-from"), log_start.to_string())
    }

    /// Reads the listening addresses from the log, and asks for the process's health.
    async fn is_ready(&self) -> bool {
        let log_start = std::fs::read_to_string(self.folder.join("log-from")).unwrap_or_default();
        let text = std::fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(text.get(log_start.parse().unwrap_or(0)..).unwrap_or_default())
            .into_owned();
        let address = |what: &str| {
            let line = text.lines().find(|line| line.contains(what))?;
            line.split("listen=").nth(1)?.split(' ').next()?.parse().ok()
        };
        let (Some(clients), Some(operators)) = (address("started name="), address("operators listen="))
        else {
            return false;
        };
        {
            let mut state = self.state();
            (state.client_address, state.operator_address) = (Some(clients), Some(operators));
        }
        get(clients, "/healthz").await.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.state().pid;
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops the process with SIGSTOP for this time.
    pub async fn freeze(&self, time: Duration) {
        self.recorder.record_router(self.number, RouterEvent::Paused(time));
        self.signal(Signal::STOP);
        tokio::time::sleep(time).await;
        self.signal(Signal::CONT);
    }

    /// Sends SIGKILL.
    pub async fn kill(&self) {
        let child = {
            let mut state = self.state();
            (state.ready, state.killed) = (false, true);
            state.child.take()
        };
        if let Some(mut child) = child {
            self.recorder.record_router(self.number, RouterEvent::SigkillSent);
            let _ = child.kill().await;
            self.state().pid = None;
        }
    }

    /// Sends SIGTERM, and SIGKILL if the process has not exited after `kill_after`. `then`: signals in between, each
    /// after a pause.
    pub async fn stop(&self, kill_after: Duration, then: &[(Duration, Signal)]) {
        self.signal(Signal::TERM);
        self.recorder.record_router(self.number, RouterEvent::SigtermSent);
        let kill_at = Instant::now() + kill_after;
        let child = {
            let mut state = self.state();
            state.new_connections_until = Some(Instant::now() + NEW_CONNECTION_TIME);
            state.child.take()
        };
        let Some(mut child) = child else { return };
        for (pause, signal) in then {
            tokio::time::sleep(*pause).await;
            // The pid of a process that has exited stays valid until it is waited for.
            self.signal(*signal);
        }
        match tokio::time::timeout_at(kill_at.into(), child.wait()).await {
            Ok(status) => {
                self.recorder.record_router(
                    self.number,
                    RouterEvent::Exited(status.ok().and_then(|status| status.code())),
                );
            }
            Err(_) => {
                self.state().killed = true;
                self.recorder.record_router(self.number, RouterEvent::SigkillSent);
                let _ = child.kill().await;
            }
        }
        let mut state = self.state();
        (state.ready, state.pid) = (false, None);
    }

    /// The exit code if the process has exited by itself.
    pub fn exit_code(&self) -> Option<Option<i32>> {
        let mut state = self.state();
        let status = state.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    /// Figures of the process; none if it cannot be asked.
    pub async fn idle_figures(&self) -> Option<IdleRouter> {
        let (pid, operators) = {
            let state = self.state();
            (state.child.as_ref()?.id()?, state.operator_address?)
        };
        let answer = get(operators, "/status/metrics").await?;
        let mut metrics = BTreeMap::new();
        for line in answer.lines().filter(|line| !line.starts_with('#')) {
            if let Some((name, value)) = line.rsplit_once(' ')
                && let Ok(value) = value.parse()
            {
                metrics.insert(name.to_owned(), value);
            }
        }
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse().ok());
        Some(IdleRouter { router: self.number, descriptors, memory_kb: memory?, metrics })
    }

    /// Sets the failure rate of a system call.
    pub fn set_fault_rate(&self, call: FaultKind, per_mille: u32) {
        // A control file that cannot be written shows in the run's own counts.
        let _ = self.control.set_rate(call, per_mille);
    }
}

/// The whole answer to a GET request.
async fn get(at: SocketAddr, path: &str) -> Option<String> {
    let answer = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    tokio::time::timeout(GET_TIMEOUT, answer).await.ok()?
}
