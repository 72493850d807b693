//! The project's own programs as separate processes, started as the deploy file says, and signals to them.

use crate::record;
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: RawFd, to: RawFd) -> RawFd;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// A folder of this run alone, removed at its end.
pub fn folder() -> PathBuf {
    let mut folder = FOLDER.lock().unwrap();
    let path = std::env::temp_dir().join(format!("fawnstream-review-{}", std::process::id()));
    if folder.is_none() {
        std::fs::create_dir_all(&path).unwrap();
        *folder = Some(path.clone());
    }
    path
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    run.map(str::to_owned).ok_or_else(|| "no run in deploy/balancer.toml".to_owned())
}

/// Starts the router; `arguments` go behind the deploy file's command. Call it from the main thread only: the process
/// ends with the thread that started it. Its log goes to the run's folder.
pub fn start_router(
    name: &str,
    arguments: &str,
    environment: &[(&str, String)],
    inherited: Option<&std::net::TcpListener>,
) -> Result<i32, String> {
    let command = format!("{} {arguments}", run_command()?);
    let log =
        std::fs::File::create(folder().join(format!("{name}.log"))).map_err(|error| error.to_string())?;
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", command.trim()]).env_clear().stdin(Stdio::null());
    shell.stdout(log.try_clone().unwrap()).stderr(log);
    if let Some(path) = std::env::var_os("PATH") {
        shell.env("PATH", path);
    }
    shell.envs(environment.iter().map(|(name, value)| (name, value)));
    let fd = inherited.map(AsRawFd::as_raw_fd);
    if fd.is_some() {
        shell.env("PROXY_FD", "3");
    }
    // SAFETY: only calls that are allowed between fork and exec.
    unsafe {
        shell.pre_exec(move || {
            // The process ends with the test, whatever happens to that.
            prctl(1, 9);
            match fd {
                Some(fd) if dup2(fd, 3) != 3 => Err(std::io::Error::last_os_error()),
                _ => Ok(()),
            }
        });
    }
    let child = shell.spawn().map_err(|error| format!("{command}: {error}"))?;
    let id = child.id() as i32;
    record::line(&format!("started {name} pid={id}: {}", command.trim()));
    STARTED.lock().unwrap().push(child);
    Ok(id)
}

/// Sends a signal to a process that this run started.
pub fn signal(pid: i32, signal: i32) {
    let started = STARTED.lock().unwrap();
    if started.iter().any(|child| child.id() as i32 == pid) {
        // SAFETY: a plain system call.
        unsafe { kill(pid, signal) };
        record::line(&format!("signal {signal} to pid={pid}"));
    }
}

/// Whether a started process has ended by now.
pub fn ended(pid: i32) -> Option<String> {
    let mut started = STARTED.lock().unwrap();
    let child = started.iter_mut().find(|child| child.id() as i32 == pid)?;
    child.try_wait().ok().flatten().map(|status| status.to_string())
}

/// Waits until a started process has ended.
pub fn wait_end(pid: i32, limit: Duration) -> Result<(), String> {
    let until = record::now() + limit;
    while record::now() < until {
        if let Some(status) = ended(pid) {
            record::line(&format!("pid={pid} ended: {status}"));
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Err(format!("pid={pid} did not end"))
}

/// Ends all processes that this run started, and removes its folder.
pub fn kill_all() {
    for mut child in std::mem::take(&mut *STARTED.lock().unwrap()) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let keep = std::env::var_os("KEEP_LOGS").is_some();
        if !keep {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

/// Lines of a router's log that contain a text, into the record.
pub fn record_log(name: &str, texts: &[&str]) {
    let log = std::fs::read_to_string(folder().join(format!("{name}.log"))).unwrap_or_default();
    for line in log.lines().filter(|line| texts.iter().any(|text| line.contains(text))) {
        record::line(&format!("log of {name}: {line}"));
    }
}

/// Runs `fawnstream-ledger` to its end; what it wrote.
pub fn ledger_tool(arguments: &[&str]) -> String {
    let output = Command::new("target/release/fawnstream-ledger").args(arguments).output();
    let text = match output {
        Ok(output) => {
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
        }
        Err(error) => error.to_string(),
    };
    text.lines().for_each(|line| record::line(&format!("fawnstream-ledger {}: {line}", arguments[0])));
    text
}
