//! Leases at servers that fall silent during reads, counted by fake servers; and a list of 1,024 servers at one of
//! 1,024 routers.

mod standins;

use standins::{READ, RELEASED, Router, STEP_TIMEOUT, chunk, start_router, start_server, stream_answer};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NO_STATE: &str = "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

/// State that servers hold for requests, by request id, and since when.
type HeldStates = Arc<Mutex<HashMap<String, Instant>>>;

/// The id of the request that a message belongs to.
fn request_id(head: &str) -> String {
    let field = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-call-id: ").map(str::to_owned));
    field.unwrap_or_else(|| head.split([' ', '/']).nth(4).unwrap_or_default().to_owned())
}

/// Starts a reader or a writer. While `silent` is set, it executes what it receives and does not answer.
fn start_worker(reads: bool, held: HeldStates, silent: Arc<AtomicBool>) -> SocketAddr {
    start_server(move |head, _| {
        let id = request_id(head);
        if head.starts_with("DELETE") {
            if !silent.load(Ordering::SeqCst) {
                held.lock().unwrap().remove(&id);
                return Some(RELEASED.to_owned());
            }
        } else if reads {
            std::thread::sleep(Duration::from_millis(15));
            held.lock().unwrap().insert(id, Instant::now());
        } else {
            let had_state = held.lock().unwrap().remove(&id).is_some();
            if !silent.load(Ordering::SeqCst) {
                return Some(if had_state { stream_answer("{\"choices\":[]}") } else { NO_STATE.to_owned() });
            }
        }
        if silent.load(Ordering::SeqCst) {
            std::thread::sleep(STEP_TIMEOUT);
            return None;
        }
        Some(READ.to_owned())
    })
}

/// A server list in discovery's format.
fn list(revision: u64, complete: bool, members: &[(String, SocketAddr, bool, &str)]) -> String {
    let entry = |(id, at, reads, phase): &(String, SocketAddr, bool, &str)| {
        let kind = if *reads { "reads" } else { "writes" };
        format!("{{\"id\":\"{id}\",\"host_port\":\"{at}\",\"flavor\":\"{kind}\",\"phase\":\"{phase}\"}}")
    };
    let members: Vec<String> = members.iter().map(entry).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// Starts a router with this known list; `change` modifies its configuration.
fn start(
    discovery: SocketAddr,
    known: &str,
    change: impl Fn(String) -> String,
) -> (Router, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let text = include_str!("config.json").replace("{d}", &discovery.to_string());
    let (before, after) = (text.find("\"known\": ").unwrap() + 9, text.find("\"settings\"").unwrap());
    let text = change(format!("{} {known},\n  {}", &text[..before], &text[after..]));
    std::fs::write(folder.path().join("config.json"), text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    (start_router(command, "router"), folder)
}

/// Half of the readers and writers fall silent during reads for good. All state must be released in the end, because
/// other servers forward the releases.
#[test]
fn releases_all_leases_when_half_of_servers_fall_silent() {
    let (held, silent) = (HeldStates::default(), Arc::new(AtomicBool::new(false)));
    let never_silent = Arc::new(AtomicBool::new(false));
    let members: Vec<_> = (0..16)
        .map(|n| {
            let silent = if n % 4 < 2 { silent.clone() } else { never_silent.clone() };
            (format!("s{n}"), start_worker(n % 2 == 0, held.clone(), silent), n % 2 == 0, "active")
        })
        .collect();
    let known = list(1, true, &members);
    let no_discovery = "127.0.0.1:9".parse().unwrap();
    let (router, _folder) =
        start(no_discovery, &known, |text| text.replace("\"max_attempts\": 3", "\"max_attempts\": 6"));
    let answers = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..80u64)
            .map(|n| {
                let router = &router;
                let class = ["quick", "log-chat", "book-device"][(n % 3) as usize];
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(n * 10));
                    router.request(n + 1, n, class, "donaupay", "2.5", "{}")
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        silent.store(true, Ordering::SeqCst);
        requests.into_iter().map(|request| request.join().unwrap()).collect::<Vec<String>>()
    });
    let served = answers.iter().filter(|answer| answer.ends_with("\r\n0\r\n\r\n")).count();
    assert!(served >= 25, "{served} of {} served", answers.len());
    assert!(answers.iter().all(|answer| !answer.is_empty()), "a request got no answer");
    let until = Instant::now() + STEP_TIMEOUT;
    while router.metric("router_holds") > 0 {
        assert!(Instant::now() < until, "the router still has leases");
        std::thread::sleep(Duration::from_millis(20));
    }
    let left = held.lock().unwrap();
    assert!(left.is_empty(), "{} of {} are still held: {left:?}", left.len(), answers.len());
    assert_eq!(router.metric("router_holds_late"), 0);
}

/// A fake discovery that sends lists to the router's watch, and the latest list to each new watch.
struct Discovery {
    address: SocketAddr,
    /// The latest list, and the connection of the open watch.
    current: Arc<Mutex<(String, Option<TcpStream>)>>,
}

impl Discovery {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, current) =
            (listener.local_addr().unwrap(), Arc::<Mutex<(String, Option<TcpStream>)>>::default());
        let shared = current.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                standins::read_message(&mut BufReader::new(stream.try_clone().unwrap()));
                let mut current = shared.lock().unwrap();
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(format!("{head}{}", chunk(&format!("{}\n", current.0))).as_bytes());
                current.1 = Some(stream);
            }
        });
        Discovery { address, current }
    }

    fn send(&self, list: String) {
        let mut current = self.current.lock().unwrap();
        current.0 = list;
        let text = chunk(&format!("{}\n", current.0));
        if let Some(stream) = &mut current.1 {
            let _ = stream.write_all(text.as_bytes());
        }
    }
}

/// The peak memory of a router's process in MB.
fn peak_memory_mb(router: &Router) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1024
}

/// With 1,024 servers and settings for 1,024 routers, a router starts, serves, takes over a completely new list and a
/// drain of half of it, and its memory stays small. Several servers share an address, to need fewer descriptors.
#[test]
fn serves_with_a_thousand_servers_and_routers() {
    const SIZE: usize = 1_024;
    let (held, never_silent) = (HeldStates::default(), Arc::new(AtomicBool::new(false)));
    let addresses: Vec<SocketAddr> =
        (0..32).map(|n| start_worker(n % 2 == 0, held.clone(), never_silent.clone())).collect();
    let members = |name: &str, size: usize| -> Vec<_> {
        (0..size)
            .map(|n| (format!("{name}-{n}"), addresses[n % addresses.len()], n % 2 == 0, "active"))
            .collect()
    };
    let discovery = Discovery::start();
    let first = list(1, true, &members("a", SIZE));
    discovery.send(first.clone());
    let (router, _folder) = start(discovery.address, &first, |text| {
        let text = text.replace("\"balancers\": 1,", &format!("\"balancers\": {SIZE},"));
        text.replace("\"self_index\": 0", &format!("\"self_index\": {}", SIZE - 1))
    });
    let started_mb = peak_memory_mb(&router);
    let assert_serves = |from: u64| {
        for n in from..from + 60 {
            let answer = router.request(n, n, "log-chat", "donaupay", "9", "{}");
            assert!(answer.ends_with("\r\n0\r\n\r\n"), "{n}: {answer}");
        }
    };
    router.wait_for_metric("router_targets", SIZE as u64);
    assert_serves(1);
    // All servers are replaced at once by slightly more.
    let all = SIZE + 32;
    discovery.send(list(2, true, &members("b", all)));
    router.wait_for_metric("router_targets", all as u64);
    assert_serves(1_001);
    let mut half = members("b", SIZE / 2);
    half.iter_mut().for_each(|member| member.3 = "leaving");
    discovery.send(list(3, false, &half));
    router.wait_for_metric("router_targets_disabled", SIZE as u64 / 2);
    assert_serves(2_001);
    assert_eq!(router.metric("router_targets"), all as u64);
    let peak_mb = peak_memory_mb(&router);
    println!("memory: {started_mb} MB with the first list, {peak_mb} MB at most");
    assert!(peak_mb < 40, "{peak_mb} MB");
    assert!(held.lock().unwrap().is_empty());
}
