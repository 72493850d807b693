//! Many routers restarted at once become ready soon, even while discovery does not answer.

mod standins;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Routers started here, of a configured fleet of 300.
const ROUTERS: usize = 40;
/// Nine in ten routers must be ready in this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether the health check succeeds.
fn is_ready(router: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(router) else { return false };
    let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut answer = String::new();
    sent.is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200")
}

/// How many routers become ready in time with this discovery, with or without a known list.
fn count_ready(discovery: SocketAddr, with_list: bool, mode: &str) -> usize {
    let config = include_str!("config.json")
        .replace("{d}", &discovery.to_string())
        .replace("{r1}", "127.0.0.1:9")
        .replace("{w1}", "127.0.0.1:9")
        .replace("\"balancers\": 1", "\"balancers\": 300")
        .replace("\"pushed\"", &format!("{mode:?}"));
    let list = config.find("\"known\"").unwrap()..config.find("\"settings\"").unwrap();
    let config = if with_list { config } else { format!("{}{}", &config[..list.start], &config[list.end..]) };
    let folder = tempfile::tempdir().unwrap();
    let mut routers = Vec::new();
    for n in 0..ROUTERS {
        let path = folder.path().join(format!("{n}.json"));
        std::fs::write(&path, config.replace("00c0ffee00c0ffee", &format!("{n:016x}"))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
        command.env_clear().env("PROXY_CONFIG", path);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        routers.push(standins::start_router(command, &format!("router {n}")));
    }
    // Timed from the start of the last router, because starting all of them takes some seconds on a busy machine.
    let started = Instant::now();
    let mut waiting: Vec<SocketAddr> = routers.iter().map(|router| router.clients).collect();
    while !waiting.is_empty() && started.elapsed() < READY_TIMEOUT {
        waiting.retain(|router| !is_ready(*router));
        std::thread::sleep(Duration::from_millis(50));
    }
    ROUTERS - waiting.len()
}

/// Discovery accepts connections and never answers.
#[test]
fn routers_with_known_list_are_ready_while_discovery_is_silent() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    for mode in ["pushed", "on_request"] {
        let ready = count_ready(silent.local_addr().unwrap(), true, mode);
        assert!(ready >= ROUTERS * 9 / 10, "{mode}: {ready} of {ROUTERS}");
    }
}

/// Without a known list, and with a discovery that refuses all calls for the first 4 s.
#[test]
fn routers_without_list_are_ready_soon_after_discovery_answers() {
    let list = "{\"revision\":1,\"complete\":true,\"members\":[\
                {\"id\":\"r1\",\"host_port\":\"127.0.0.1:9\",\"flavor\":\"reads\",\"phase\":\"active\"},\
                {\"id\":\"w1\",\"host_port\":\"127.0.0.1:9\",\"flavor\":\"writes\",\"phase\":\"active\"}]}\n";
    let chunk = standins::chunk(list);
    for mode in ["pushed", "on_request"] {
        let (started, chunk) = (Instant::now(), chunk.clone());
        let discovery = standins::start_server(move |_, _| {
            if started.elapsed() < Duration::from_secs(4) {
                return Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned());
            }
            Some(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"))
        });
        let ready = count_ready(discovery, false, mode);
        assert!(ready >= ROUTERS * 9 / 10, "{mode}: {ready} of {ROUTERS}");
    }
}
