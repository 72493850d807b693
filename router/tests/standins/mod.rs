//! Helpers shared by several tests: fake servers on their own threads, and a running router.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for anything expected; only a failing test takes this long.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Random numbers from a seed, so that a failing run can be reproduced.
pub struct Random(pub u64);

impl Random {
    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// Reads one HTTP message; returns its head and body.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|size| *size > 0)?;
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Starts a server that answers each message with `answer`; without an answer it closes the connection.
pub fn start_server(answer: impl Fn(&str, &[u8]) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, answer) = (listener.local_addr().unwrap(), Arc::new(answer));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some((head, body)) = read_message(&mut from) {
                    let Some(text) = answer(&head, &body) else { return };
                    if to.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:X}\r\n{text}\r\n", text.len())
}

/// Starts a discovery whose single watch sends `lines`, and an empty line after each second without one.
pub fn start_discovery(lines: std::sync::mpsc::Receiver<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut from = BufReader::new(stream.try_clone().unwrap());
            let mut to = stream;
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if read_message(&mut from).is_none() || to.write_all(head.as_bytes()).is_err() {
                continue;
            }
            loop {
                let line = lines.recv_timeout(Duration::from_secs(1)).unwrap_or_default();
                if to.write_all(chunk(&format!("{line}\n")).as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

/// A reader's answer after it has read a prompt.
pub const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}";
/// A server's answer to a release.
pub const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A writer's complete answer, with one event and the final event.
pub fn stream_answer(event: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let event = chunk(&format!("data: {event}\n\n"));
    format!("{head}{event}{}0\r\n\r\n", chunk("data: [DONE]\n\n"))
}

/// A running router.
pub struct Router {
    pub child: Child,
    pub clients: SocketAddr,
    pub operators: SocketAddr,
    /// What it has logged since its start.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a router and reads its addresses from its log.
pub fn start_router(mut command: Command, name: &str) -> Router {
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut address = |what: &str| {
        let line = lines.find(|line| line.contains(what)).unwrap_or_else(|| panic!("{name}: no {what}"));
        line.split("listen=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    };
    let (operators, clients) = (address("operators listen="), address("started name="));
    let log = Arc::<Mutex<Vec<String>>>::default();
    let record = log.clone();
    std::thread::spawn(move || lines.for_each(|line| record.lock().unwrap().push(line)));
    Router { child, clients, operators, log }
}

impl Router {
    /// Sends one request; returns everything received until the connection closes.
    pub fn request(
        &self,
        id: u64,
        session: u64,
        class: &str,
        tenant: &str,
        budget: &str,
        body: &str,
    ) -> String {
        self.request_after(Duration::ZERO, id, session, class, tenant, budget, body)
    }

    /// Like [`Router::request`], with a pause between connecting and sending.
    #[allow(clippy::too_many_arguments)]
    pub fn request_after(
        &self,
        pause: Duration,
        id: u64,
        session: u64,
        class: &str,
        tenant: &str,
        budget: &str,
        body: &str,
    ) -> String {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
             X-Caller: {tenant}\r\nX-Route-Hash: {session:016x}\r\nX-Budget: {budget}\r\n\
             X-Call-Info: prompt_len=90,max_out=80\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(self.clients).unwrap();
        std::thread::sleep(pause);
        let mut answer = String::new();
        if stream.write_all(head.as_bytes()).is_ok() {
            let _ = stream.read_to_string(&mut answer);
        }
        answer
    }

    /// Reads a metric at the operators' address.
    pub fn metric(&self, name: &str) -> u64 {
        let mut stream = TcpStream::connect(self.operators).unwrap();
        stream.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let line = answer.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in\n{answer}")).parse().unwrap()
    }

    /// Waits until a metric has reached a value.
    pub fn wait_for_metric(&self, name: &str, wanted: u64) {
        let until = Instant::now() + STEP_TIMEOUT;
        while self.metric(name) < wanted {
            assert!(Instant::now() < until, "{name} is {}, wanted {wanted}", self.metric(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A running router with the platform's and the OpenAI-style API, with room for the largest requests.
pub struct BothFronts {
    pub child: Child,
    pub platform: SocketAddr,
    pub openai: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for BothFronts {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts such a router with one reader and one writer.
pub fn start_both_fronts(reader: SocketAddr, writer: SocketAddr) -> BothFronts {
    start_both_fronts_with(reader, writer, &[])
}

/// Starts such a router with further arguments.
pub fn start_both_fronts_with(reader: SocketAddr, writer: SocketAddr, arguments: &[&str]) -> BothFronts {
    let folder = tempfile::tempdir().unwrap();
    let config = include_str!("../config.json")
        .replace("{d}", "127.0.0.1:9")
        .replace("{r1}", &reader.to_string())
        .replace("{w1}", &writer.to_string())
        .replace("\"sockets\": 256", "\"sockets\": 1024, \"memory_mb\": 192")
        .replace("\"kv_tokens\": [100000, 100000]", "\"kv_tokens\": [600000000, 600000000]");
    std::fs::write(folder.path().join("config.json"), config).unwrap();
    let models = include_str!("../../../deploy/openai.toml").replace("127.0.0.1:8081", "127.0.0.1:0");
    std::fs::write(folder.path().join("openai.toml"), models).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.arg("--openai").arg(folder.path().join("openai.toml")).args(arguments);
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut address = |what: &str| -> SocketAddr {
        let line = lines.find(|line| line.contains(what)).unwrap_or_else(|| panic!("no {what}"));
        line.split("listen=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    };
    let (openai, platform) = (address("openai listen="), address("started name="));
    std::thread::spawn(move || lines.for_each(drop));
    BothFronts { child, platform, openai, _folder: folder }
}
