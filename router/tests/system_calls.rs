//! Temporary failures of system calls and steps of the wall clock, injected into the router by a preloaded library.

mod standins;

use fawnstream_faults::{FaultControl, FaultKind};
use fawnstream_ledger::entry::Record;
use fawnstream_ledger::store::read_all;
use standins::{READ, RELEASED, Router, start_discovery, start_router, start_server, stream_answer};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// An address at which no server listens.
const UNREACHABLE: &str = "127.0.0.1:9";

/// Starts a reader that counts its reads.
fn start_reader(reads: &Arc<AtomicUsize>) -> SocketAddr {
    let reads = reads.clone();
    start_server(move |head, _| {
        if head.starts_with("DELETE") {
            return Some(RELEASED.to_owned());
        }
        reads.fetch_add(1, Ordering::Relaxed);
        Some(READ.to_owned())
    })
}

fn start_writer() -> SocketAddr {
    start_server(|head, _| match head.starts_with("DELETE") {
        true => Some(RELEASED.to_owned()),
        false => Some(stream_answer("{\"choices\":[]}")),
    })
}

/// Fills one reader, one writer and no discovery into a configuration.
fn with_servers() -> impl Fn(String) -> String {
    let (reader, writer) = (start_reader(&Arc::default()), start_writer());
    move |text: String| {
        let text =
            text.replace("{d}", UNREACHABLE).replace("\"quota_per_s\": 100.0", "\"quota_per_s\": 10000.0");
        text.replace("{r1}", &reader.to_string()).replace("{w1}", &writer.to_string())
    }
}

/// Fills unreachable addresses into a configuration.
fn without_servers(text: String) -> String {
    ["{d}", "{r1}", "{w1}"].iter().fold(text, |text, at| text.replace(at, UNREACHABLE))
}

/// Starts a router under fault injection; `change` modifies the text of its configuration.
fn start(
    folder: &Path,
    control: &FaultControl,
    change: impl Fn(String) -> String,
    arguments: &[&str],
) -> Router {
    std::fs::write(folder.join("config.json"), change(include_str!("config.json").to_owned())).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.join("config.json")).args(arguments);
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    control.preload(&mut command, 7, Some(&folder.join("usage")));
    start_router(command, "router")
}

/// Sends requests from several clients at once, each on a new connection. Returns how many got no answer.
fn count_unanswered(router: &Router, requests: u64) -> usize {
    const CLIENTS: u64 = 10;
    let lost = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let lost = &lost;
            scope.spawn(move || {
                for number in 0..requests / CLIENTS {
                    let id = client << 32 | number;
                    let pause = Duration::from_millis(number % 4 * 15);
                    let body = "{\"model\":\"m\"}";
                    let answer = router.request_after(pause, id, id, "log-chat", "donaupay", "9", body);
                    if !answer.starts_with("HTTP/1.1 ") {
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    lost.into_inner()
}

/// While `accept` fails, connections whose requests are on their way must not be closed. Operators call at the same
/// time, since their address accepts under the same faults.
#[test]
fn failing_accept_loses_no_request() {
    [FaultKind::Accept, FaultKind::Exhausted].into_iter().for_each(request_while_accept_fails);
}

fn request_while_accept_fails(call: FaultKind) {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let fill = with_servers();
    let router = start(folder.path(), &control, fill, &[]);
    control.set_rate(call, 200).unwrap();
    let lost = std::thread::scope(|scope| {
        let clients = scope.spawn(|| count_unanswered(&router, 600));
        while !clients.is_finished() {
            router.metric("router_concurrent");
            std::thread::sleep(Duration::from_millis(5));
        }
        clients.join().unwrap()
    });
    assert!(control.injected_count(call).unwrap() > 50, "too few faults injected");
    assert_eq!(lost, 0, "{call:?}: requests without an answer of 600");
}

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// How many of 100 reads go to a server that starts after the wall clock was stepped.
fn reads_at_cold_server(step_ms: i64) -> usize {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let counts: [Arc<AtomicUsize>; 2] = Default::default();
    let (warm, cold, writer) = (start_reader(&counts[0]), start_reader(&counts[1]), start_writer());
    let (updates, lines) = channel();
    let discovery = start_discovery(lines);
    let fill = |text: String| {
        let text = text.replace("{d}", &discovery.to_string()).replace("{r1}", &warm.to_string());
        let text = text.replace(
            "\"cold\": 1000000000, \"cold_share\": 0.5",
            "\"cold\": 20000000000, \"cold_share\": 0.05",
        );
        text.replace("{w1}", &writer.to_string()).replace("\"quota_per_s\": 100.0", "\"quota_per_s\": 200.0")
    };
    let router = start(folder.path(), &control, fill, &[]);
    std::thread::sleep(Duration::from_millis(300));
    control.step_wall_clock(step_ms).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let up_since_ms = unix_ms() + step_ms;
    updates.send(format!(
        "{{\"revision\":2,\"complete\":false,\"members\":[{{\"id\":\"r2\",\"host_port\":\"{cold}\",\"flavor\":\"reads\",\
         \"phase\":\"active\",\"up_since_ms\":{up_since_ms}}}]}}"
    ))
    .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    for number in 0..100 {
        assert!(
            router
                .request(number, number, "log-chat", "donaupay", "9", "{\"model\":\"m\"}")
                .contains(" 200 ")
        );
    }
    counts[1].load(Ordering::Relaxed)
}

/// Slow start applies to a new server even if the router's wall clock was stepped.
#[test]
fn slow_start_works_with_stepped_wall_clock() {
    for step_ms in [0, -3_600_000, 3_600_000] {
        let reads = reads_at_cold_server(step_ms);
        // A cold server works at 0.05 to 0.1 of a warm one's rate. A warm one would get 22 reads or more.
        assert!(
            reads <= 12,
            "stepped by {step_ms} ms: {reads} of 100 reads went to the server that just started"
        );
    }
}

/// Sends requests one after the other for this long, numbered from `first`; returns the number after the last one.
fn request_for(router: &Router, time: Duration, first: u64) -> u64 {
    let started = std::time::Instant::now();
    let mut number = first;
    while started.elapsed() < time {
        assert!(
            router
                .request(number, number, "log-chat", "donaupay", "9", "{\"model\":\"m\"}")
                .contains(" 200 ")
        );
        number += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    number
}

/// After writes, syncs and opens have failed for a while, the ledger continues behind the last complete record: in
/// order and without repeats.
#[test]
fn ledger_recovers_from_disk_failures() {
    [FaultKind::Write, FaultKind::Sync].into_iter().for_each(serve_while_the_disk_fails);
}

fn serve_while_the_disk_fails(call: FaultKind) {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let fill = with_servers();
    let usage = folder.path().join("usage");
    let ledger = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
    let ledger = ledger
        .replace("/var/lib/fawnstream/usage", usage.to_str().unwrap())
        .replace("sync_ms = 200", "sync_ms = 5");
    std::fs::write(folder.path().join("ledger.toml"), ledger).unwrap();
    let ledger = folder.path().join("ledger.toml");
    let router = start(folder.path(), &control, fill, &["--ledger", ledger.to_str().unwrap()]);
    let before_fault = request_for(&router, Duration::from_millis(500), 0);
    control.set_rate(call, 1_000).unwrap();
    let under_fault = request_for(&router, Duration::from_millis(1_500), before_fault);
    // Half of the calls succeed now, which leaves partial records and partial batches.
    control.set_rate(call, 500).unwrap();
    let under_partial_fault = request_for(&router, Duration::from_millis(1_000), under_fault);
    control.clear().unwrap();
    let all = request_for(&router, Duration::from_millis(500), under_partial_fault);
    router.wait_for_metric("router_ledger_entries", all);
    assert!(control.injected_count(call).unwrap() > 2, "too few faults injected");
    let metrics = ["router_ledger_lost", "router_ledger_stopped"].map(|name| router.metric(name));
    assert_eq!(metrics, [0, 0], "{call:?}");
    drop(router);
    let mut numbers = Vec::new();
    let collect = |record: Record| {
        if let Record::Entry(entry) = record {
            numbers.push(entry.number);
        }
    };
    read_all::<Record>(&usage, "usage", collect).unwrap();
    assert_eq!(numbers, (1..=all).collect::<Vec<u64>>(), "{call:?}");
}

/// A starting router waits for a failing disk.
#[test]
fn router_starts_when_ledger_disk_recovers() {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let usage = folder.path().join("usage");
    let ledger = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
    let ledger = ledger.replace("/var/lib/fawnstream/usage", usage.to_str().unwrap());
    std::fs::write(folder.path().join("ledger.toml"), ledger).unwrap();
    let ledger = folder.path().join("ledger.toml");
    control.set_rate(FaultKind::Sync, 1_000).unwrap();
    let router = std::thread::scope(|scope| {
        let starting = scope.spawn(|| {
            start(folder.path(), &control, without_servers, &["--ledger", ledger.to_str().unwrap()])
        });
        std::thread::sleep(Duration::from_millis(700));
        control.clear().unwrap();
        starting.join().unwrap()
    });
    assert!(control.injected_count(FaultKind::Sync).unwrap() > 1, "too few faults injected");
    assert_eq!(router.metric("router_ledger_stopped"), 0);
}

/// The clients' address accepts connections again after the process had no descriptors left.
#[test]
fn accepts_again_when_descriptors_are_available() {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let router = start(folder.path(), &control, without_servers, &[]);
    control.set_rate(FaultKind::Exhausted, 1_000).unwrap();
    let _waiting = TcpStream::connect(router.clients).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    control.clear().unwrap();
    assert!(router.request(1, 1, "log-chat", "donaupay", "1", "{}").starts_with("HTTP/1.1 "));
}
