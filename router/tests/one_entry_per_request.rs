//! The usage ledger at a stop: each accepted request has exactly one entry, however it ended, and what could not be
//! written is counted.

mod standins;

use fawnstream_faults::{FaultControl, FaultKind};
use fawnstream_ledger::entry::{Entry, Outcome, Record};
use fawnstream_ledger::store::read_all;
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::{BothFronts, READ, RELEASED, Router, chunk, read_message, start_router, start_server};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The head of a writer's stream.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A writer's answer to a body with this text never begins.
const SILENT: &str = "no answer";
/// A writer's answer to a body with this text is complete.
const SHORT: &str = "a short answer";
/// A writer's answer to a body with this text comes as fast as it is taken.
const FLOOD: &str = "a flood of an answer";
/// Ends all answers of a writer.
type Finish = Arc<AtomicBool>;

fn start_reader() -> SocketAddr {
    start_server(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()))
}

fn event(text: &str) -> String {
    chunk(&format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"))
}

fn last_events() -> String {
    let usage = chunk("data: {\"usage\":{\"prompt_tokens\":90,\"completion_tokens\":7}}\n\n");
    format!("{usage}{}0\r\n\r\n", chunk("data: [DONE]\n\n"))
}

/// Starts a writer whose answers go on until their connections end, unless the request's body asks for another one.
fn start_endless_writer() -> SocketAddr {
    start_writer(&Finish::default())
}

/// Starts such a writer, whose answers also end when `finish` is set.
fn start_writer(finish: &Finish) -> SocketAddr {
    let finish = finish.clone();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let finish = finish.clone();
            std::thread::spawn(move || write_answer(stream, &finish));
        }
    });
    address
}

fn write_answer(mut stream: TcpStream, finish: &AtomicBool) {
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let Some((head, body)) = read_message(&mut from) else { return };
    let body = String::from_utf8_lossy(&body).into_owned();
    if head.starts_with("DELETE") {
        let _ = stream.write_all(RELEASED.as_bytes());
        return;
    }
    if body.contains(SILENT) {
        let _ = stream.read(&mut [0; 16]);
        return;
    }
    let _ = stream.write_all(format!("{STREAM_HEAD}{}", event("a")).as_bytes());
    let (text, pause) = match body.contains(FLOOD) {
        true => ("b".repeat(32 * 1024), Duration::ZERO),
        false => ("b".to_owned(), Duration::from_millis(20)),
    };
    while !body.contains(SHORT) && !finish.load(Ordering::Relaxed) {
        if stream.write_all(event(&text).as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(pause);
    }
    let _ = stream.write_all(last_events().as_bytes());
}

/// Writes a ledger's configuration without a sink; returns its path and the folder of the ledger.
fn write_ledger_config(folder: &Path) -> (PathBuf, PathBuf) {
    let usage = folder.join("usage");
    let text = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
    let text = text.replace("/var/lib/fawnstream/usage", usage.to_str().unwrap());
    let path = folder.join("ledger.toml");
    std::fs::write(&path, text).unwrap();
    (path, usage)
}

fn entries(usage: &Path) -> Vec<Entry> {
    let mut entries = Vec::new();
    let collect = |record: Record| {
        if let Record::Entry(entry) = record {
            entries.push(*entry);
        }
    };
    read_all::<Record>(usage, "usage", collect).unwrap();
    entries
}

/// A request of the platform's protocol.
fn platform_request(id: u64, body: &str) -> String {
    tenant_request(id, "donaupay", body)
}

/// Such a request of another tenant.
fn tenant_request(id: u64, tenant: &str, body: &str) -> String {
    request_of(id, tenant, "log-chat", body)
}

/// Such a request of any tenant and class.
fn request_of(id: u64, tenant: &str, class: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Caller: {tenant}\r\nX-Route-Hash: {id:016x}\r\nX-Budget: 30\r\nX-Call-Info: prompt_len=90,max_out=80\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request of the platform's protocol, and waits until the answer begins if `begins`.
fn ask_platform(router: &BothFronts, id: u64, body: &str, begins: bool) -> TcpStream {
    send(router.platform, &platform_request(id, body), begins)
}

/// Sends a request of the OpenAI-style API.
fn ask_openai(router: &BothFronts, streamed: bool, text: &str) -> TcpStream {
    let body = format!(
        "{{\"model\":\"log-chat\",\"stream\":{streamed},\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    send(router.openai, &head, streamed)
}

fn send(address: SocketAddr, message: &str, begins: bool) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(standins::STEP_TIMEOUT)).unwrap();
    stream.write_all(message.as_bytes()).unwrap();
    if begins {
        let mut start = [0; 12];
        stream.read_exact(&mut start).unwrap();
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    stream
}

fn terminate(child: &std::process::Child) {
    kill_process(Pid::from_child(child), Signal::TERM).unwrap();
}

/// Answers under way when the stop timeout ends must not go without an entry, on either front, nor may one whose client
/// takes nothing, one whose client has left, or a request that no server has answered. A reload of other settings for the
/// ledger meanwhile changes nothing.
#[test]
fn answers_that_outlast_the_stop_timeout_have_one_entry_each() {
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let arguments = ["--stop-timeout", "1", "--ledger", config.to_str().unwrap()];
    let mut router = standins::start_both_fronts_with(start_reader(), start_endless_writer(), &arguments);
    let streams = [
        ask_platform(&router, 1, "{\"text\":\"long\"}", true),
        ask_openai(&router, true, "long and streamed"),
        ask_openai(&router, false, "long and whole"),
        ask_platform(&router, 5, &format!("{{\"text\":\"{FLOOD}\"}}"), true),
        // Of a class that is never repeated, so that it waits for its one attempt.
        send(
            router.platform,
            &request_of(2, "donaupay", "book-device", &format!("{{\"text\":\"{SILENT}\"}}")),
            false,
        ),
    ];
    drop(ask_platform(&router, 3, "{\"text\":\"client leaves\"}", true));
    let mut short = ask_platform(&router, 4, &format!("{{\"text\":\"{SHORT}\"}}"), true);
    short.read_exact(&mut [0; 16]).unwrap();
    let other_folder = std::fs::read_to_string(&config).unwrap().replace("/usage\"", "/other\"");
    std::fs::write(&config, other_folder).unwrap();
    kill_process(Pid::from_child(&router.child), Signal::HUP).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    terminate(&router.child);
    let stopped_at = Instant::now();
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    assert!(!folder.path().join("other").exists());
    assert!(stopped_at.elapsed() < Duration::from_secs(5), "{:?}", stopped_at.elapsed());
    drop(streams);
    let mut outcomes: Vec<(Outcome, bool)> =
        entries(&usage).iter().map(|entry| (entry.outcome, entry.exact)).collect();
    outcomes.sort_by_key(|(outcome, _)| format!("{outcome:?}"));
    let broken = (Outcome::Broken, false);
    let others = [(Outcome::Failed, true), (Outcome::Left, false), (Outcome::Served, true)];
    assert_eq!(outcomes, [&[broken; 4][..], &others].concat());
}

/// Starts a router on an inherited clients' socket. It hands streams over through a socket in `shared`.
fn start_inheriting(
    folder: &Path,
    listener: &TcpListener,
    writer: SocketAddr,
    shared: &Path,
    arguments: &[&str],
) -> Router {
    write_config(folder, writer, 900);
    start_router(inheriting_command(folder, listener, shared, arguments), "inheriting")
}

/// Writes a configuration with two tenants, whose clients wait for this time at most.
fn write_config(folder: &Path, writer: SocketAddr, longest_wait_ms: u64) {
    let tenants = "[{\"name\": \"donaupay\", \"quota_per_s\": 100.0}";
    let text = include_str!("config.json")
        .replace("\"give_up\": 900000000", &format!("\"give_up\": {longest_wait_ms}000000"))
        .replace("{d}", "127.0.0.1:9")
        .replace("{r1}", &start_reader().to_string())
        .replace("{w1}", &writer.to_string())
        .replace(tenants, &format!("{tenants}, {{\"name\": \"innsoft\", \"quota_per_s\": 100.0}}"));
    std::fs::write(folder.join("config.json"), text).unwrap();
}

/// The command of such a router, whose configuration is written already.
fn inheriting_command(folder: &Path, listener: &TcpListener, shared: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "exec 3<&0 0</dev/null && exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_fawnstream")]);
    command.args(arguments).env_clear();
    command.env("PROXY_CONFIG", folder.join("config.json")).env("PROXY_FD", "3").env("TMPDIR", shared);
    command.stdin(OwnedFd::from(listener.try_clone().unwrap())).stderr(Stdio::piped());
    command
}

/// A process that declines streams until `from` and then accepts each of them so late that its sender may have stopped
/// waiting for the stream's end meanwhile. Returns the ids of streams that were committed to it.
fn start_late_successor(shared: &Path, from: Arc<Mutex<Option<Instant>>>) -> Arc<Mutex<Vec<String>>> {
    let committed = Arc::<Mutex<Vec<String>>>::default();
    let path = shared.join("fawnstream.handover");
    std::fs::remove_file(&path).unwrap();
    let listener = UnixListener::bind(path).unwrap();
    let record = committed.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if from.lock().unwrap().is_none_or(|from| Instant::now() < from) {
                continue;
            }
            let record = record.clone();
            std::thread::spawn(move || accept_late(stream, &record));
        }
    });
    committed
}

fn accept_late(mut stream: UnixStream, committed: &Mutex<Vec<String>>) -> Option<()> {
    stream.write_all(b"r").ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    let mut state = vec![0; u32::from_be_bytes(head[8..].try_into().ok()?) as usize];
    stream.read_exact(&mut state).ok()?;
    std::thread::sleep(Duration::from_millis(180));
    stream.write_all(b"y").ok()?;
    let mut letter = [0];
    stream.read_exact(&mut letter).ok()?;
    assert_eq!(&letter, b"g");
    let state: serde_json::Value = serde_json::from_slice(&state).ok()?;
    committed.lock().unwrap().push(state["label"].as_str()?.to_owned());
    Some(())
}

/// A stream that is being handed over when the stop timeout ends must not be billed by both processes, nor by neither.
#[test]
fn stream_offered_as_the_stop_timeout_ends_is_billed_by_one_process() {
    const STREAMS: u64 = 12;
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let arguments = ["--stop-timeout", "3", "--ledger", config.to_str().unwrap()];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared = folder.path().join("t");
    std::fs::create_dir(&shared).unwrap();
    let writer = start_endless_writer();
    let mut router = start_inheriting(folder.path(), &listener, writer, &shared, &arguments);
    let from = Arc::<Mutex<Option<Instant>>>::default();
    let committed = start_late_successor(&shared, from.clone());
    let streams: Vec<TcpStream> = (1..=STREAMS)
        .map(|id| send(router.clients, &platform_request(id, "{\"text\":\"long\"}"), true))
        .collect();
    // Offers begin 3 s after SIGTERM, and the stop timeout ends after 3.6 s.
    terminate(&router.child);
    *from.lock().unwrap() = Some(Instant::now() + Duration::from_millis(3_520));
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    std::thread::sleep(Duration::from_millis(100));
    drop(streams);
    let mut billed: Vec<String> = entries(&usage).into_iter().map(|entry| entry.label).collect();
    let committed = committed.lock().unwrap().clone();
    println!("{} entries, {} committed", billed.len(), committed.len());
    billed.extend(committed);
    billed.sort();
    assert_eq!(billed, (1..=STREAMS).map(|id| format!("{id:016x}")).collect::<Vec<_>>());
}

/// Two new versions in a row, while answers are under way: each answer is handed over twice, and must be billed to its
/// own tenant and as a request of its own, not as a repeat of another.
#[test]
fn answer_that_is_handed_over_twice_is_billed_to_its_tenant() {
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let arguments = ["--ledger", config.to_str().unwrap()];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared = folder.path().join("t");
    std::fs::create_dir(&shared).unwrap();
    let finish = Finish::default();
    let writer = start_writer(&finish);
    let start = || start_inheriting(folder.path(), &listener, writer, &shared, &arguments);
    let mut router = start();
    let tenants = ["donaupay", "innsoft", "innsoft"];
    let streams: Vec<TcpStream> = (1..)
        .zip(tenants)
        .map(|(id, tenant)| {
            let body = format!("{{\"text\":\"number {id}\"}}");
            send(router.clients, &tenant_request(id, tenant, &body), true)
        })
        .collect();
    for id in [11, 12] {
        let next = start();
        next.wait_for_metric("router_targets", 2);
        terminate(&router.child);
        assert_eq!(router.child.wait().unwrap().code(), Some(0));
        next.wait_for_metric("router_concurrent", tenants.len() as u64);
        // Its entry shows that this process has the ledger now.
        next.request(id, id, "log-chat", "donaupay", "9", &format!("{{\"text\":\"{SHORT} {id}\"}}"));
        next.wait_for_metric("router_ledger_entries", 1);
        router = next;
    }
    finish.store(true, Ordering::Relaxed);
    router.wait_for_metric("router_ledger_entries", 1 + tenants.len() as u64);
    drop((router, streams));
    let mut billed: Vec<(String, String, Outcome, Option<u64>)> = entries(&usage)
        .into_iter()
        .map(|entry| (entry.label, entry.tenant, entry.outcome, entry.repeat_of))
        .collect();
    billed.sort_by(|a, b| a.0.cmp(&b.0));
    let expected = (1..).zip(tenants).chain([(11, "donaupay"), (12, "donaupay")]);
    let expected =
        expected.map(|(id, tenant)| (format!("{id:016x}"), tenant.to_owned(), Outcome::Served, None));
    assert_eq!(billed, expected.collect::<Vec<_>>());
}

/// A disk that fails or hangs at the stop must not hold the process up, and the log says in time how many requests have
/// no entry: SIGKILL may be near.
#[rstest]
#[case::failing(FaultKind::Sync)]
#[case::slow(FaultKind::SlowSync)]
fn stop_with_a_bad_disk_is_bounded_and_says_what_is_missing(#[case] fault: FaultKind) {
    const SERVED: u64 = 3;
    const UNDER_WAY: u64 = 2;
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let text = include_str!("config.json")
        .replace("{d}", "127.0.0.1:9")
        .replace("{r1}", &start_reader().to_string())
        .replace("{w1}", &start_endless_writer().to_string());
    std::fs::write(folder.path().join("config.json"), text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.args(["--stop-timeout", "1", "--ledger"]).arg(&config).env_clear();
    command.env("PROXY_CONFIG", folder.path().join("config.json"));
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    control.preload(&mut command, 7, Some(&usage));
    let mut router = start_router(command, "router");
    for id in 1..=SERVED {
        router.request(id, id, "log-chat", "donaupay", "9", &format!("{{\"text\":\"{SHORT} {id}\"}}"));
    }
    router.wait_for_metric("router_ledger_entries", SERVED);
    control.set_rate(fault, 1_000).unwrap();
    let streams: Vec<TcpStream> = (SERVED + 1..=SERVED + UNDER_WAY)
        .map(|id| send(router.clients, &platform_request(id, &format!("{{\"text\":\"long {id}\"}}")), true))
        .collect();
    terminate(&router.child);
    let stopped_at = Instant::now();
    let says = |text: &str| router.log.lock().unwrap().iter().any(|line| line.contains(text));
    let notice = format!("ledger is not written yet missing={UNDER_WAY}");
    while !says(&notice) {
        // The stop timeout ends after 1.6 s.
        assert!(stopped_at.elapsed() < Duration::from_millis(2_200), "{:?}", router.log.lock().unwrap());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    assert!(stopped_at.elapsed() < Duration::from_secs(6), "{:?}", stopped_at.elapsed());
    std::thread::sleep(Duration::from_millis(50));
    let log = router.log.lock().unwrap().clone();
    let closed = format!("ledger closed without entries that are due entries={SERVED} lost={UNDER_WAY}");
    assert!(log.iter().any(|line| line.contains(&closed)), "{log:?}");
    // `fawnstream-losses` knows answers that a stop cut off by this reason.
    let cancelled = log.iter().filter(|line| line.contains("verdict=Cancelled reason=stopping"));
    assert_eq!(cancelled.count() as u64, UNDER_WAY, "{log:?}");
    drop(streams);
}

/// A new version that can't listen on one of its addresses ends before it has accepted anything, clients and streams
/// alike, and before it has taken the place at which the running process receives streams.
#[test]
fn start_that_fails_accepts_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let (config, _) = write_ledger_config(folder.path());
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let models = include_str!("../../deploy/openai.toml")
        .replace("127.0.0.1:8081", &taken.local_addr().unwrap().to_string());
    std::fs::write(folder.path().join("openai.toml"), models).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared = folder.path().join("t");
    std::fs::create_dir(&shared).unwrap();
    let writer = start_endless_writer();
    let arguments = ["--ledger", config.to_str().unwrap()];
    let running = start_inheriting(folder.path(), &listener, writer, &shared, &arguments);
    running.wait_for_metric("router_targets", 2);
    let mut command = inheriting_command(folder.path(), &listener, &shared, &arguments);
    command.arg("--openai").arg(folder.path().join("openai.toml"));
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("fawnstream: listening on"), "{text}");
    // The ledger's files were not touched: the running process has them.
    assert!(text.contains("ledger waits") && !text.contains("ledger open"), "{text}");
    let mut receiver = UnixStream::connect(shared.join("fawnstream.handover")).unwrap();
    let mut letter = [0];
    receiver.read_exact(&mut letter).unwrap();
    assert_eq!(&letter, b"r");
}

/// A stream that nobody takes over stays with a process that may be killed. A killed process can't write its entry, so
/// the log counts it before.
#[test]
fn process_that_may_be_killed_counts_what_has_no_entry() {
    const STREAMS: u64 = 3;
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let arguments = ["--ledger", config.to_str().unwrap()];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared = folder.path().join("t");
    std::fs::create_dir(&shared).unwrap();
    let writer = start_endless_writer();
    let router = start_inheriting(folder.path(), &listener, writer, &shared, &arguments);
    let streams: Vec<TcpStream> = (1..=STREAMS)
        .map(|id| send(router.clients, &platform_request(id, &format!("{{\"text\":\"long {id}\"}}")), true))
        .collect();
    terminate(&router.child);
    // Clients of this configuration wait for 0.9 s at most: SIGKILL comes 1.6 s after SIGTERM at the earliest.
    std::thread::sleep(Duration::from_millis(1_550));
    let log = router.log.lock().unwrap().clone();
    let notice = format!("ledger lacks what SIGKILL would end now open={STREAMS} waiting=0");
    assert!(log.iter().any(|line| line.contains(&notice)), "{log:?}");
    drop((router, streams));
    assert_eq!(entries(&usage).len(), 0);
}

/// A stop timeout that ends before the time at which streams are usually handed over must not cut streams that another
/// process would take.
#[test]
fn streams_are_handed_over_before_a_short_stop_timeout_ends() {
    let folder = tempfile::tempdir().unwrap();
    let (config, usage) = write_ledger_config(folder.path());
    let arguments = ["--stop-timeout", "1", "--ledger", config.to_str().unwrap()];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let shared = folder.path().join("t");
    std::fs::create_dir(&shared).unwrap();
    let finish = Finish::default();
    write_config(folder.path(), start_writer(&finish), 9_000);
    let start = || start_router(inheriting_command(folder.path(), &listener, &shared, &arguments), "router");
    let mut old = start();
    let stream = send(old.clients, &platform_request(1, "{\"text\":\"long\"}"), true);
    let new = start();
    new.wait_for_metric("router_targets", 2);
    terminate(&old.child);
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    finish.store(true, Ordering::Relaxed);
    new.wait_for_metric("router_ledger_entries", 1);
    drop((new, stream));
    let outcomes: Vec<Outcome> = entries(&usage).iter().map(|entry| entry.outcome).collect();
    assert_eq!(outcomes, [Outcome::Served]);
}
