//! A retry of a request with an idempotency key, sent to a writer whose process is suspended. Uses real processes.
//!
//! The failure: a request with a deduplication window (0.7 s here) may have run at one writer, which closed its
//! connection without an answer. Within the window the router retried it at the other writer, whose process was
//! suspended (SIGSTOP). That machine's kernel accepted the bytes. When the process resumed, after the window, it read
//! them and ran the request a second time.
//!
//! The cause: the router assumed that an attempt which it had ended had ended at the server too. But a reset only
//! takes back bytes that have not reached the server's machine: `recv` returns all that the kernel has acknowledged
//! before it returns `ECONNRESET`. Cancelling the attempt before the window ends therefore does not help; it must not
//! be sent to a process that does not run.
//!
//! Log of the faulty version (`w2` is the suspended writer; times in milliseconds after the first read):
//!
//! ```text
//! w1 read POST +0.0        attempt id=... try=1 server=w1 role=writer verdict=Closed reason=closed delivery=Written
//! w2 read POST +903.1      attempt id=... try=2 server=w2 role=writer verdict=Timeout reason=timed-out delivery=Written
//! ```

mod standins;

use rustix::process::{Pid, Signal, kill_process};
use standins::{
    READ, RELEASED, Router, read_message, start_discovery, start_router, start_server, stream_answer,
};
use std::fs::{File, OpenOptions};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Servers drop repeats of a request for this time.
const DEDUP_WINDOW: Duration = Duration::from_millis(700);
/// Tolerance of every time limit (50 ms), plus 10 ms for the writers' own reading.
const SLACK: Duration = Duration::from_millis(60);
/// Time until a writer that fails a request closes its connection. The other writer is suspended meanwhile.
const FAILURE_DELAY: Duration = Duration::from_millis(120);
/// Time from the window's end until the suspended process resumes.
const RESUME_DELAY: Duration = Duration::from_millis(200);
/// Time for the resumed process to read everything that waits for it.
const READ_TIME: Duration = Duration::from_millis(400);
/// Environment variable with the writers' shared folder; a test process in which it is set acts as a writer.
const WRITER_FOLDER: &str = "STOPPED_PROCESS_FOLDER";

/// A writer's process read a request.
#[derive(Clone, Copy, Debug)]
struct ReadEvent {
    writer: usize,
    at: SystemTime,
}

/// A writer in its own process. Of all writers, the first one to read a request fails it, the others answer.
struct Writer {
    child: Child,
    address: SocketAddr,
}

impl Writer {
    fn start(number: usize, folder: &Path, reads: Sender<ReadEvent>) -> Self {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--ignored", "--exact", "writer_process", "--nocapture", "--test-threads=1"]);
        command.env(WRITER_FOLDER, folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let address = lines.find_map(|line| line.strip_prefix("listen ").map(|at| at.parse().unwrap()));
        std::thread::spawn(move || {
            for line in lines {
                if let Some(micros) = line.strip_prefix("read ") {
                    let at = UNIX_EPOCH + Duration::from_micros(micros.parse().unwrap());
                    let _ = reads.send(ReadEvent { writer: number, at });
                }
            }
        });
        Writer { child, address: address.unwrap() }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Suspends the process and waits until it is suspended.
    fn suspend(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + Duration::from_secs(5);
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "the writer was not suspended");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Not a test: the writer's process, which the other tests start.
#[test]
#[ignore = "a writer's process, which the other tests start"]
fn writer_process() {
    let Some(folder) = std::env::var_os(WRITER_FOLDER).map(PathBuf::from) else { return };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    eprintln!("listen {}", listener.local_addr().unwrap());
    for stream in listener.incoming().flatten() {
        let folder = folder.clone();
        std::thread::spawn(move || serve_connection(stream, &folder));
    }
}

fn serve_connection(stream: TcpStream, folder: &Path) {
    let _ = stream.set_nodelay(true);
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let mut to = stream;
    while let Some((head, _)) = read_message(&mut from) {
        if head.starts_with("DELETE") {
            let _ = to.write_all(RELEASED.as_bytes());
            continue;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        eprintln!("read {}", now.as_micros());
        if is_first_read(folder) {
            std::thread::sleep(FAILURE_DELAY);
            return;
        }
        let _ = to.write_all(stream_answer("{\"choices\":[]}").as_bytes());
    }
}

/// Whether no writer has read a request before.
fn is_first_read(folder: &Path) -> bool {
    OpenOptions::new().write(true).create_new(true).open(folder.join("first")).is_ok()
}

/// A router with one reader and two writer processes.
struct TestBed {
    router: Router,
    writers: [Writer; 2],
    reads: Receiver<ReadEvent>,
    _list: Sender<String>,
    _folder: tempfile::TempDir,
}

impl TestBed {
    fn start(name: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (send, reads) = channel();
        let writers = [1, 2].map(|number| Writer::start(number, folder.path(), send.clone()));
        let reader =
            start_server(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
        let (list, changes) = channel();
        let member = |id: &str, at: SocketAddr, flavor: &str| {
            format!(
                "{{\"id\": \"{id}\", \"host_port\": \"{at}\", \"flavor\": \"{flavor}\", \"phase\": \"active\"}}"
            )
        };
        let members = [
            member("r1", reader, "reads"),
            member("w1", writers[0].address, "writes"),
            member("w2", writers[1].address, "writes"),
        ];
        let template = include_str!("config.json");
        let start = template.find("\"members\": [").unwrap();
        let end = start + template[start..].find("]}").unwrap();
        let config =
            format!("{}\"members\": [{}{}", &template[..start], members.join(", "), &template[end..])
                .replace("{d}", &start_discovery(changes).to_string())
                .replace(
                    "\"memory_span\": 1500000000",
                    &format!("\"memory_span\": {}", DEDUP_WINDOW.as_nanos()),
                );
        let path = folder.path().join("config.json");
        File::create(&path).unwrap().write_all(config.as_bytes()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
        command.env_clear().env("PROXY_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped());
        TestBed { router: start_router(command, name), writers, reads, _list: list, _folder: folder }
    }

    fn next_read(&self) -> ReadEvent {
        self.reads.recv_timeout(standins::STEP_TIMEOUT).expect("no writer read the request")
    }

    /// Sends a request. The writer that did not get it first is suspended before the first one fails, and resumes
    /// after the window's end. Returns how long after the first read that writer read the request, if it did, and the
    /// client's answer.
    fn request_with_retry_writer_suspended(&self, budget: &str) -> (Option<Duration>, String) {
        let router = &self.router;
        std::thread::scope(|scope| {
            let request = scope
                .spawn(|| router.request(0x5101, 7, "renew-loan", "donaupay", budget, "{\"model\":\"m\"}\n"));
            let first = self.next_read();
            let other = &self.writers[usize::from(first.writer == 1)];
            other.suspend();
            let suspended_after = SystemTime::now().duration_since(first.at).unwrap();
            assert!(suspended_after < FAILURE_DELAY, "suspended too late: {suspended_after:?}");
            std::thread::sleep((DEDUP_WINDOW + RESUME_DELAY).saturating_sub(first.at.elapsed().unwrap()));
            other.signal(Signal::CONT);
            std::thread::sleep(READ_TIME);
            let late = self.reads.try_iter().map(|read| read.at.duration_since(first.at).unwrap()).max();
            (late, request.join().unwrap())
        })
    }
}

fn assert_no_late_read(late: Option<Duration>) {
    let late = late.filter(|late| *late > DEDUP_WINDOW + SLACK);
    assert!(late.is_none(), "the repeat was read {late:?} after the first attempt: it runs twice");
}

/// The router cancels the retry and resets its connection before the process resumes.
#[test]
fn cancelled_retry_does_not_run_after_window() {
    let bed = TestBed::start("given-up");
    let (late, answer) = bed.request_with_retry_writer_suspended("0.85");
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_no_late_read(late);
}

/// The process resumes while the router still waits.
#[test]
fn pending_retry_does_not_run_after_window() {
    let bed = TestBed::start("out");
    let (late, _) = bed.request_with_retry_writer_suspended("4");
    assert_no_late_read(late);
}

/// If the other writer runs, the retry is sent and served.
#[test]
fn retry_at_running_process_is_served() {
    let bed = TestBed::start("served");
    let answer = bed.router.request(0x5102, 7, "renew-loan", "donaupay", "4", "{\"model\":\"m\"}\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let (first, second) = (bed.next_read(), bed.next_read());
    assert_ne!(first.writer, second.writer);
}
