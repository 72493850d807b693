//! What is held at servers, counted by stand-ins that fall silent in the middle of reads; and lists of 1,024 servers told
//! to one of 1,024 routers.

mod standins;

use standins::{PATIENCE, READ, RELEASED, Router, answer, begin, chunk, serve};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NO_STATE: &str = "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

/// What all servers hold: since when, by request.
type Held = Arc<Mutex<HashMap<String, Instant>>>;

/// The request that a message is about.
fn id(head: &str) -> String {
    let field = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-call-id: ").map(str::to_owned));
    field.unwrap_or_else(|| head.split([' ', '/']).nth(4).unwrap_or_default().to_owned())
}

/// A server that reads or writes. Once it is `silent` it takes what comes, does it, and says nothing.
fn server(reads: bool, held: Held, silent: Arc<AtomicBool>) -> SocketAddr {
    serve(move |head, _| {
        let id = id(head);
        if head.starts_with("DELETE") {
            if !silent.load(Ordering::SeqCst) {
                held.lock().unwrap().remove(&id);
                return Some(RELEASED.to_owned());
            }
        } else if reads {
            std::thread::sleep(Duration::from_millis(15));
            held.lock().unwrap().insert(id, Instant::now());
        } else {
            let taken = held.lock().unwrap().remove(&id).is_some();
            if !silent.load(Ordering::SeqCst) {
                return Some(if taken { answer("{\"choices\":[]}") } else { NO_STATE.to_owned() });
            }
        }
        if silent.load(Ordering::SeqCst) {
            std::thread::sleep(PATIENCE);
            return None;
        }
        Some(READ.to_owned())
    })
}

/// A list in discovery's form.
fn list(revision: u64, complete: bool, members: &[(String, SocketAddr, bool, &str)]) -> String {
    let entry = |(id, at, reads, phase): &(String, SocketAddr, bool, &str)| {
        let kind = if *reads { "reads" } else { "writes" };
        format!("{{\"id\":\"{id}\",\"host_port\":\"{at}\",\"flavor\":\"{kind}\",\"phase\":\"{phase}\"}}")
    };
    let members: Vec<String> = members.iter().map(entry).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// Starts a router that knows this list; `change` changes its configuration.
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
    (begin(command, "router"), folder)
}

/// Half of the readers and of the writers fall silent in the middle of reads, and stay so. Whatever their clients are
/// told, in the end nothing is held for anybody: others pass the releases on.
#[test]
fn nothing_stays_held_where_half_of_the_servers_fall_silent() {
    let (held, silent) = (Held::default(), Arc::new(AtomicBool::new(false)));
    let never = Arc::new(AtomicBool::new(false));
    let members: Vec<_> = (0..16)
        .map(|n| {
            let silent = if n % 4 < 2 { silent.clone() } else { never.clone() };
            (format!("s{n}"), server(n % 2 == 0, held.clone(), silent), n % 2 == 0, "active")
        })
        .collect();
    let known = list(1, true, &members);
    let nobody = "127.0.0.1:9".parse().unwrap();
    let (router, _folder) =
        start(nobody, &known, |text| text.replace("\"max_attempts\": 3", "\"max_attempts\": 6"));
    let ended = std::thread::scope(|scope| {
        let asked: Vec<_> = (0..80u64)
            .map(|n| {
                let router = &router;
                let class = ["quick", "log-chat", "book-device"][(n % 3) as usize];
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(n * 10));
                    router.ask(n + 1, n, class, "donaupay", "2.5", "{}")
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        silent.store(true, Ordering::SeqCst);
        asked.into_iter().map(|asked| asked.join().unwrap()).collect::<Vec<String>>()
    });
    let served = ended.iter().filter(|answer| answer.ends_with("\r\n0\r\n\r\n")).count();
    assert!(served >= 25, "{served} of {} served", ended.len());
    assert!(ended.iter().all(|answer| !answer.is_empty()), "each has its final answer");
    let until = Instant::now() + PATIENCE;
    while router.figure("router_holds") > 0 {
        assert!(Instant::now() < until, "the router still holds something");
        std::thread::sleep(Duration::from_millis(20));
    }
    let left = held.lock().unwrap();
    assert!(left.is_empty(), "{} of {} are still held: {left:?}", left.len(), ended.len());
    assert_eq!(router.figure("router_holds_late"), 0);
}

/// Tells lists to a router that watches, and tells them anew to one that watches anew.
struct Discovery {
    address: SocketAddr,
    now: Arc<Mutex<(String, Option<TcpStream>)>>,
}

impl Discovery {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, now) =
            (listener.local_addr().unwrap(), Arc::<Mutex<(String, Option<TcpStream>)>>::default());
        let told = now.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                standins::message(&mut BufReader::new(stream.try_clone().unwrap()));
                let mut told = told.lock().unwrap();
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(format!("{head}{}", chunk(&format!("{}\n", told.0))).as_bytes());
                told.1 = Some(stream);
            }
        });
        Discovery { address, now }
    }

    fn tell(&self, list: String) {
        let mut now = self.now.lock().unwrap();
        now.0 = list;
        let text = chunk(&format!("{}\n", now.0));
        if let Some(stream) = &mut now.1 {
            let _ = stream.write_all(text.as_bytes());
        }
    }
}

/// The most memory that a process ever had, in MB.
fn memory(router: &Router) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1024
}

/// 1,024 servers, and settings that tell of 1,024 routers: it starts, serves, takes a whole new list, drains half of it,
/// and its memory stays small. Some servers share an address here, so that the test needs few descriptors.
#[test]
fn a_thousand_servers_and_a_thousand_routers() {
    const SIZE: usize = 1_024;
    let (held, never) = (Held::default(), Arc::new(AtomicBool::new(false)));
    let at: Vec<SocketAddr> = (0..32).map(|n| server(n % 2 == 0, held.clone(), never.clone())).collect();
    let members = |name: &str, size: usize| -> Vec<_> {
        (0..size).map(|n| (format!("{name}-{n}"), at[n % at.len()], n % 2 == 0, "active")).collect()
    };
    let discovery = Discovery::start();
    let first = list(1, true, &members("a", SIZE));
    discovery.tell(first.clone());
    let (router, _folder) = start(discovery.address, &first, |text| {
        let text = text.replace("\"balancers\": 1,", &format!("\"balancers\": {SIZE},"));
        text.replace("\"self_index\": 0", &format!("\"self_index\": {}", SIZE - 1))
    });
    let started = memory(&router);
    let serve = |from: u64| {
        for n in from..from + 60 {
            let answer = router.ask(n, n, "log-chat", "donaupay", "9", "{}");
            assert!(answer.ends_with("\r\n0\r\n\r\n"), "{n}: {answer}");
        }
    };
    router.wait("router_targets", SIZE as u64);
    serve(1);
    // All are replaced at once, by some more.
    let all = SIZE + 32;
    discovery.tell(list(2, true, &members("b", all)));
    router.wait("router_targets", all as u64);
    serve(1_001);
    let mut half = members("b", SIZE / 2);
    half.iter_mut().for_each(|member| member.3 = "leaving");
    discovery.tell(list(3, false, &half));
    router.wait("router_targets_disabled", SIZE as u64 / 2);
    serve(2_001);
    assert_eq!(router.figure("router_targets"), all as u64);
    let most = memory(&router);
    println!("memory: {started} MB with the first list, {most} MB at most");
    assert!(most < 40, "{most} MB");
    assert!(held.lock().unwrap().is_empty());
}
