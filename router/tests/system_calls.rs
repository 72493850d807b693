//! System calls that fail for a while, and a wall clock that is stepped: the router under a preloaded library of faults.

mod standins;

use fawnstream_faults::{FaultControl, FaultKind};
use fawnstream_ledger::entry::Record;
use fawnstream_ledger::store::read_all;
use standins::{READ, RELEASED, Router, answer, begin, discovery, serve};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const DROPPED: &str = "127.0.0.1:9";

/// A reader that counts what it reads.
fn reader(reads: &Arc<AtomicUsize>) -> SocketAddr {
    let reads = reads.clone();
    serve(move |head, _| {
        if head.starts_with("DELETE") {
            return Some(RELEASED.to_owned());
        }
        reads.fetch_add(1, Ordering::Relaxed);
        Some(READ.to_owned())
    })
}

fn writer() -> SocketAddr {
    serve(|head, _| match head.starts_with("DELETE") {
        true => Some(RELEASED.to_owned()),
        false => Some(answer("{\"choices\":[]}")),
    })
}

/// What puts one reader and one writer into a configuration, and no discovery.
fn beside_servers() -> impl Fn(String) -> String {
    let (reads, writes) = (reader(&Arc::default()), writer());
    move |text: String| {
        let text = text.replace("{d}", DROPPED).replace("\"quota_per_s\": 100.0", "\"quota_per_s\": 10000.0");
        text.replace("{r1}", &reads.to_string()).replace("{w1}", &writes.to_string())
    }
}

/// What puts servers into a configuration at whose addresses nobody listens.
fn beside_nobody(text: String) -> String {
    ["{d}", "{r1}", "{w1}"].iter().fold(text, |text, at| text.replace(at, DROPPED))
}

/// A router under a control page, with its configuration's text changed.
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
    begin(command, "router")
}

/// Asks so many times from several clients at once, each on a new connection; how many got no answer.
fn unanswered(router: &Router, requests: u64) -> usize {
    const CLIENTS: u64 = 10;
    let lost = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let lost = &lost;
            scope.spawn(move || {
                for number in 0..requests / CLIENTS {
                    let id = client << 32 | number;
                    let on_its_way = Duration::from_millis(number % 4 * 15);
                    let body = "{\"model\":\"m\"}";
                    let answer = router.ask_after(on_its_way, id, id, "log-chat", "donaupay", "9", body);
                    if !answer.starts_with("HTTP/1.1 ") {
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    lost.into_inner()
}

/// Whatever accept says, a connection whose request is on its way keeps its place. Operators call meanwhile, whose
/// address accepts under the same faults.
#[test]
fn a_failed_accept_costs_no_client_its_request() {
    [FaultKind::Accept, FaultKind::Exhausted].into_iter().for_each(ask_while_accept_fails);
}

fn ask_while_accept_fails(call: FaultKind) {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let fill = beside_servers();
    let router = start(folder.path(), &control, fill, &[]);
    control.set_rate(call, 200).unwrap();
    let lost = std::thread::scope(|scope| {
        let asked = scope.spawn(|| unanswered(&router, 600));
        while !asked.is_finished() {
            router.figure("router_concurrent");
            std::thread::sleep(Duration::from_millis(5));
        }
        asked.join().unwrap()
    });
    assert!(control.injected_count(call).unwrap() > 50, "the fault struck");
    assert_eq!(lost, 0, "{call:?}: requests without an answer of 600");
}

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Of 100 reads, those that a server gets which starts once the machine's wall clock was stepped.
fn reads_of_a_cold_server(step_ms: i64) -> usize {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let counts: [Arc<AtomicUsize>; 2] = Default::default();
    let (known, fresh, writes) = (reader(&counts[0]), reader(&counts[1]), writer());
    let (news, lines) = channel();
    let agent = discovery(lines);
    let fill = |text: String| {
        let text = text.replace("{d}", &agent.to_string()).replace("{r1}", &known.to_string());
        let text = text.replace(
            "\"cold\": 1000000000, \"cold_share\": 0.5",
            "\"cold\": 20000000000, \"cold_share\": 0.05",
        );
        text.replace("{w1}", &writes.to_string()).replace("\"quota_per_s\": 100.0", "\"quota_per_s\": 200.0")
    };
    let router = start(folder.path(), &control, fill, &[]);
    std::thread::sleep(Duration::from_millis(300));
    control.step_wall_clock(step_ms).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let stamp = unix_ms() + step_ms;
    news.send(format!(
        "{{\"revision\":2,\"complete\":false,\"members\":[{{\"id\":\"r2\",\"host_port\":\"{fresh}\",\"flavor\":\"reads\",\
         \"phase\":\"active\",\"up_since_ms\":{stamp}}}]}}"
    ))
    .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    for number in 0..100 {
        assert!(
            router.ask(number, number, "log-chat", "donaupay", "9", "{\"model\":\"m\"}").contains(" 200 ")
        );
    }
    counts[1].load(Ordering::Relaxed)
}

/// A server that starts does so slowly, whatever the wall clock says by then.
#[test]
fn a_server_starts_slowly_though_the_wall_clock_was_stepped() {
    for step_ms in [0, -3_600_000, 3_600_000] {
        let reads = reads_of_a_cold_server(step_ms);
        // At 0.05 to 0.1 of what a warm one does; a warm one gets 22 or more.
        assert!(
            reads <= 12,
            "stepped by {step_ms} ms: {reads} of 100 reads went to the server that just started"
        );
    }
}

/// Asks one after the other for so long; how many requests were answered.
fn ask_for(router: &Router, time: Duration, from: u64) -> u64 {
    let born = std::time::Instant::now();
    let mut number = from;
    while born.elapsed() < time {
        assert!(
            router.ask(number, number, "log-chat", "donaupay", "9", "{\"model\":\"m\"}").contains(" 200 ")
        );
        number += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    number
}

/// Writes, syncs and opens that fail for a while are made up for: behind the last whole record, in order, none twice.
#[test]
fn the_ledger_goes_on_when_the_disk_does() {
    [FaultKind::Write, FaultKind::Sync].into_iter().for_each(serve_while_the_disk_fails);
}

fn serve_while_the_disk_fails(call: FaultKind) {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let fill = beside_servers();
    let usage = folder.path().join("usage");
    let ledger = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
    let ledger = ledger
        .replace("/var/lib/fawnstream/usage", usage.to_str().unwrap())
        .replace("sync_ms = 200", "sync_ms = 5");
    std::fs::write(folder.path().join("ledger.toml"), ledger).unwrap();
    let ledger = folder.path().join("ledger.toml");
    let router = start(folder.path(), &control, fill, &["--ledger", ledger.to_str().unwrap()]);
    let first = ask_for(&router, Duration::from_millis(500), 0);
    control.set_rate(call, 1_000).unwrap();
    let second = ask_for(&router, Duration::from_millis(1_500), first);
    // Some succeed in between: half records and half batches.
    control.set_rate(call, 500).unwrap();
    let third = ask_for(&router, Duration::from_millis(1_000), second);
    control.clear().unwrap();
    let all = ask_for(&router, Duration::from_millis(500), third);
    router.wait("router_ledger_entries", all);
    assert!(control.injected_count(call).unwrap() > 2, "the fault struck");
    let figures = ["router_ledger_lost", "router_ledger_stopped"].map(|name| router.figure(name));
    assert_eq!(figures, [0, 0], "{call:?}");
    drop(router);
    let mut numbers = Vec::new();
    let hear = |record: Record| {
        if let Record::Entry(entry) = record {
            numbers.push(entry.number);
        }
    };
    read_all::<Record>(&usage, "usage", hear).unwrap();
    assert_eq!(numbers, (1..=all).collect::<Vec<u64>>(), "{call:?}");
}

/// A disk that fails while a router starts is waited for.
#[test]
fn a_router_starts_once_its_ledgers_disk_works() {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let usage = folder.path().join("usage");
    let ledger = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
    let ledger = ledger.replace("/var/lib/fawnstream/usage", usage.to_str().unwrap());
    std::fs::write(folder.path().join("ledger.toml"), ledger).unwrap();
    let ledger = folder.path().join("ledger.toml");
    control.set_rate(FaultKind::Sync, 1_000).unwrap();
    let router = std::thread::scope(|scope| {
        let started = scope
            .spawn(|| start(folder.path(), &control, beside_nobody, &["--ledger", ledger.to_str().unwrap()]));
        std::thread::sleep(Duration::from_millis(700));
        control.clear().unwrap();
        started.join().unwrap()
    });
    assert!(control.injected_count(FaultKind::Sync).unwrap() > 1, "the fault struck");
    assert_eq!(router.figure("router_ledger_stopped"), 0);
}

/// The clients' address still takes connections.
#[test]
fn the_router_accepts_again_once_descriptors_are_to_be_had() {
    let folder = tempfile::tempdir().unwrap();
    let control = FaultControl::create(&folder.path().join("control")).unwrap();
    let router = start(folder.path(), &control, beside_nobody, &[]);
    control.set_rate(FaultKind::Exhausted, 1_000).unwrap();
    let _waiting = TcpStream::connect(router.clients).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    control.clear().unwrap();
    assert!(router.ask(1, 1, "log-chat", "donaupay", "1", "{}").starts_with("HTTP/1.1 "));
}
