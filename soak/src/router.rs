//! Router processes of the built program: starts, signals, faults of their system calls, and how they are at rest.

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

/// After SIGTERM clients come for so long on new connections.
const STILL_COMING: Duration = Duration::from_millis(300);
/// How often a router's log and its health are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// An answer of the operators' address comes in this time.
const ANSWER: Duration = Duration::from_secs(2);

/// Why a router cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("router {router}: {error}")]
pub struct StartError {
    /// Which.
    pub router: usize,
    /// What is wrong.
    pub error: std::io::Error,
}

#[derive(Default)]
struct State {
    child: Option<Child>,
    /// Its process, until it has ended.
    pid: Option<Pid>,
    clients: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    /// Clients may come on new connections until then; none for as long as it runs.
    until: Option<Instant>,
    ready: bool,
    /// It was killed in the middle of its work: its ledger lacks its last moments.
    killed: bool,
}

/// One router and its processes, one after the other.
pub struct Router {
    /// Its number.
    pub number: usize,
    /// Faults of its system calls.
    pub control: FaultControl,
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    /// Held by who ends a process and starts the next one.
    pub turn: tokio::sync::Mutex<()>,
}

impl Router {
    /// A router with its configuration in a folder of its own; it does not run yet.
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
            turn: Default::default(),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a client may ask now, and on which connections: once it was told to end, some time later only on those
    /// that are open.
    pub fn takes(&self) -> Option<(SocketAddr, ConnectionChoice)> {
        let state = self.state();
        let still = state.until.is_none_or(|until| Instant::now() < until);
        let takes = if still { ConnectionChoice::Kept } else { ConnectionChoice::OnlyKept };
        state.clients.filter(|_| state.ready).map(|at| (at, takes))
    }

    /// It was killed at some time.
    pub fn was_killed(&self) -> bool {
        self.state().killed
    }

    /// Its ledger's folder.
    pub fn usage(&self) -> PathBuf {
        self.folder.join("usage")
    }

    fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Lines of its log that tell of a panic or a violation of a rule.
    pub fn alarms(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.log()).unwrap_or_default();
        let alarming = |line: &&str| line.contains("panicked") || line.contains("invariant violated");
        text.lines().filter(alarming).map(|line| format!("n{}: {line}", self.number)).collect()
    }

    /// Starts a process with this configuration and waits until it is ready.
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
            tokio::time::sleep(LOOK).await;
        }
        self.recorder.record_router(self.number, RouterEvent::NotReady);
        Ok(())
    }

    fn spawn(&self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log())?;
        let from = log.metadata()?.len();
        let mut command = std::process::Command::new(&self.program);
        command.env_clear().env("PROXY_CONFIG", self.folder.join("config.json"));
        command.arg("--ledger").arg(self.folder.join("ledger.toml"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.control.preload(&mut command, self.seed, Some(&self.usage()));
        let child = Command::from(command).kill_on_drop(true).spawn()?;
        let mut state = self.state();
        state.pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
        (state.child, state.clients, state.operators) = (Some(child), None, None);
        (state.until, state.ready) = (None, false);
        std::fs::write(self.folder.join("log-from"), from.to_string())
    }

    /// Reads where it listens, and asks whether it is healthy.
    async fn is_ready(&self) -> bool {
        let from = std::fs::read_to_string(self.folder.join("log-from")).unwrap_or_default();
        let text = std::fs::read(self.log()).unwrap_or_default();
        let text =
            String::from_utf8_lossy(text.get(from.parse().unwrap_or(0)..).unwrap_or_default()).into_owned();
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
            (state.clients, state.operators) = (Some(clients), Some(operators));
        }
        get(clients, "/healthz").await.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.state().pid;
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Holds it up for so long.
    pub async fn freeze(&self, time: Duration) {
        self.recorder.record_router(self.number, RouterEvent::Frozen(time));
        self.signal(Signal::STOP);
        tokio::time::sleep(time).await;
        self.signal(Signal::CONT);
    }

    /// SIGKILL.
    pub async fn kill(&self) {
        let child = {
            let mut state = self.state();
            (state.ready, state.killed) = (false, true);
            state.child.take()
        };
        if let Some(mut child) = child {
            self.recorder.record_router(self.number, RouterEvent::Killed);
            let _ = child.kill().await;
            self.state().pid = None;
        }
    }

    /// SIGTERM; SIGKILL if it has not ended after this time. `then`: further signals, so far apart.
    pub async fn stop(&self, kill_after: Duration, then: &[(Duration, Signal)]) {
        self.signal(Signal::TERM);
        self.recorder.record_router(self.number, RouterEvent::Told);
        let kill_at = Instant::now() + kill_after;
        let child = {
            let mut state = self.state();
            state.until = Some(Instant::now() + STILL_COMING);
            state.child.take()
        };
        let Some(mut child) = child else { return };
        for (pause, signal) in then {
            tokio::time::sleep(*pause).await;
            // A process that has ended and was not waited for yet keeps its number.
            self.signal(*signal);
        }
        match tokio::time::timeout_at(kill_at.into(), child.wait()).await {
            Ok(status) => {
                self.recorder.record_router(
                    self.number,
                    RouterEvent::Ended(status.ok().and_then(|status| status.code())),
                );
            }
            Err(_) => {
                self.state().killed = true;
                self.recorder.record_router(self.number, RouterEvent::Killed);
                let _ = child.kill().await;
            }
        }
        let mut state = self.state();
        (state.ready, state.pid) = (false, None);
    }

    /// Whether its process has ended though nobody told it to.
    pub fn died(&self) -> Option<Option<i32>> {
        let mut state = self.state();
        let status = state.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    /// How it is at rest.
    pub async fn rest(&self) -> Option<IdleRouter> {
        let (pid, operators) = {
            let state = self.state();
            (state.child.as_ref()?.id()?, state.operators?)
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

    /// So many of a thousand calls fail from now on.
    pub fn fail(&self, call: FaultKind, per_mille: u32) {
        // A page that cannot be written is told by the play's own counts.
        let _ = self.control.set_rate(call, per_mille);
    }
}

/// An answer to a GET, whole.
async fn get(at: SocketAddr, path: &str) -> Option<String> {
    let asked = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    tokio::time::timeout(ANSWER, asked).await.ok()?
}
