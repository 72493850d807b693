//! Plays recorded byte exchanges (recordings) against the program. `docs/testing.md` describes their format.

use base64::prelude::{BASE64_STANDARD, Engine as _};
use rstest::rstest;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longest wait of a step for what it expects; only a failing test takes this long.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection of a client, a server or an operator.
struct Peer {
    stream: TcpStream,
    /// Bytes received and not yet consumed by a step.
    received: Vec<u8>,
    /// The first line of the last call that a server took on it.
    last_call: Option<String>,
}

impl Peer {
    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        Peer { stream, received: Vec::new(), last_call: None }
    }

    /// Reads once; false at the end of the connection.
    fn read(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(size) => {
                self.received.extend_from_slice(&buffer[..size]);
                true
            }
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    /// Notes a call that a server took. A connection carries one call; an attempt may follow a release, which asks
    /// whether the server runs.
    fn note_call(&mut self, name: &str, message: &str) {
        let line = message.lines().next().unwrap_or_default();
        if let Some(earlier) = &self.last_call {
            assert!(
                earlier.starts_with("DELETE ") && line.starts_with("POST "),
                "{name}: `{line}` on the connection of `{earlier}`"
            );
        }
        self.last_call = Some(line.to_owned());
    }
}

/// Whether a peer is a server, whose connections carry one call each.
fn is_server(name: &str) -> bool {
    name.starts_with(['r', 'w'])
}

/// The length of the prefix of `text` that matches; `{*}` in a pattern matches any text within a line.
fn match_prefix(pattern: &str, text: &str) -> Option<usize> {
    let Some((fixed, rest)) = pattern.split_once("{*}") else {
        return text.starts_with(pattern).then_some(pattern.len());
    };
    let line = text.strip_prefix(fixed)?;
    let line_end = line.find(['\r', '\n']).unwrap_or(line.len());
    let wildcard_ends = (0..=line_end).filter(|end| line.is_char_boundary(*end));
    wildcard_ends.into_iter().find_map(|end| Some(fixed.len() + end + match_prefix(rest, &line[end..])?))
}

/// Sorts the header fields of a message with a complete head, because the program's libraries shuffle them.
fn sort_fields(text: &str) -> Option<String> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let (first, fields) = head.split_once("\r\n").unwrap_or((head, ""));
    if !first.contains("HTTP/1.1") {
        return None;
    }
    let mut fields: Vec<&str> = fields.split("\r\n").collect();
    fields.sort();
    Some(format!("{first}\r\n{}\r\n\r\n{body}", fields.join("\r\n")))
}

/// A running program and its log.
#[derive(Default)]
struct RunningProgram {
    program: Option<Child>,
    log: Option<Receiver<String>>,
    lines: Vec<String>,
}

impl RunningProgram {
    fn kill(&mut self) {
        if let Some(mut program) = self.program.take() {
            let _ = program.kill();
            let _ = program.wait();
        }
    }
}

/// Everything that a recording acts on.
struct TestBed {
    /// The program that steps act on.
    running: RunningProgram,
    /// The program started before it, if both run.
    other: RunningProgram,
    /// The clients' socket for programs that inherit it.
    inherited: TcpListener,
    /// The folder that two programs share. Its path is short, because that of a Unix socket is limited to 107 bytes.
    shared_folder: PathBuf,
    listeners: HashMap<String, TcpListener>,
    /// Addresses of servers that listen no more.
    shut: HashMap<String, std::net::SocketAddr>,
    /// Connections that fill a server's backlog.
    fillers: Vec<TcpStream>,
    peers: HashMap<String, Peer>,
    folder: PathBuf,
    /// Deadline of the next steps, after a `within` step.
    deadline: Option<Instant>,
}

impl TestBed {
    fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let listen = |name: &str| (name.to_owned(), TcpListener::bind("127.0.0.1:0").unwrap());
        let listeners = ["d", "e", "r1", "r2", "w1", "w2"].map(listen).into();
        let peers = HashMap::new();
        let (running, other) = Default::default();
        let inherited = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared_folder = std::env::temp_dir().join(format!("fawnstream-{}-{name}", std::process::id()));
        TestBed {
            running,
            other,
            inherited,
            shared_folder,
            listeners,
            shut: HashMap::new(),
            fillers: Vec::new(),
            peers,
            folder,
            deadline: None,
        }
    }

    /// Replaces the placeholders for servers' addresses.
    fn fill_addresses(&self, text: &str) -> String {
        self.listeners.iter().fold(text.to_owned(), |text, (name, listener)| {
            text.replace(&format!("{{{name}}}"), &listener.local_addr().unwrap().to_string())
        })
    }

    /// The configuration in `body`, or the default one without a body. Each `name=value` among the arguments changes
    /// it.
    fn render_config(&self, arguments: &str, body: &str) -> String {
        let default = include_str!("config.json");
        let text = if body.is_empty() { self.fill_addresses(default) } else { body.to_owned() };
        let changes = arguments.split_whitespace().filter_map(|argument| argument.split_once('='));
        changes.fold(text, |text, (name, value)| {
            let start = text.find(&format!("\"{name}\": ")).unwrap() + name.len() + 4;
            let end = start + text[start..].find([',', '}']).unwrap();
            format!("{}{}{}", &text[..start], self.fill_addresses(value), &text[end..])
        })
    }

    fn start(&mut self, arguments: &str, body: &str) {
        std::mem::swap(&mut self.running, &mut self.other);
        let (config, openai) = (self.folder.join("config.json"), self.folder.join("openai.toml"));
        std::fs::write(&config, self.render_config(arguments, body)).unwrap();
        let models = include_str!("../../deploy/openai.toml").replace("127.0.0.1:8081", "127.0.0.1:0");
        std::fs::write(&openai, models).unwrap();
        let key = "[[key]]\nenv = \"FAWNSTREAM_KEY\"\ntenant = \"donaupay\"\n";
        let keys = self.folder.join("keys.toml");
        std::fs::write(&keys, std::fs::read_to_string(&openai).unwrap() + key).unwrap();
        let etcd = self.folder.join("etcd.toml");
        std::fs::write(&etcd, self.fill_addresses("endpoint = \"{d}\"\nprefix = \"/s/\"\n")).unwrap();
        let (ledger, usage) = (self.folder.join("ledger.toml"), self.shared_folder.join("usage"));
        let settings = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
        let settings = settings.replace("/var/lib/fawnstream/usage", usage.to_str().unwrap());
        std::fs::write(&ledger, settings.replace("sync_ms = 200", "sync_ms = 5")).unwrap();
        // The argument `ulimit:N` limits the program to N descriptors.
        let max_fds = arguments.split_whitespace().find_map(|argument| argument.strip_prefix("ulimit:"));
        let mut command = Command::new("sh");
        let limit = max_fds.map_or_else(String::new, |max_fds| format!("ulimit -n {max_fds} && "));
        // The argument `fd:3` lets the program inherit the clients' socket as this descriptor; `fd:9` names no socket.
        let fd = arguments.split_whitespace().find_map(|argument| argument.strip_prefix("fd:"));
        let inherit = fd.map_or("", |_| "exec 3<&0 0</dev/null && ");
        command.args([
            "-c",
            &format!("{limit}{inherit}exec \"$0\" \"$@\""),
            env!("CARGO_BIN_EXE_fawnstream"),
        ]);
        command
            .env_clear()
            .env("PROXY_CONFIG", config)
            .env("FAWNSTREAM_KEY", "open sesame")
            .stderr(Stdio::piped())
            .stdin(
                fd.map_or_else(Stdio::null, |_| OwnedFd::from(self.inherited.try_clone().unwrap()).into()),
            );
        command.envs(fd.map(|fd| ("PROXY_FD", fd)));
        if fd.is_some() {
            std::fs::create_dir_all(&self.shared_folder).unwrap();
            command.env("TMPDIR", &self.shared_folder);
        }
        command.args(arguments.split_whitespace().filter(|argument| !argument.contains(['=', ':'])).map(
            |word| match word {
                "FILE" => openai.clone().into_os_string(),
                "KEYS" => keys.clone().into_os_string(),
                "ETCD" => etcd.clone().into_os_string(),
                "LEDGER" => ledger.clone().into_os_string(),
                _ => word.into(),
            },
        ));
        let mut program = command.spawn().unwrap();
        let (sender, log) = channel();
        let stderr = BufReader::new(program.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        self.running = RunningProgram { program: Some(program), log: Some(log), lines: Vec::new() };
    }

    /// Waits for a log line that contains the pattern.
    fn wait_for_log(&mut self, pattern: &str) -> String {
        let matches = |line: &&String| {
            (0..=line.len())
                .any(|start| line.is_char_boundary(start) && match_prefix(pattern, &line[start..]).is_some())
        };
        let until = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(line) = self.running.lines.iter().find(matches) {
                return line.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            match self.running.log.as_ref().unwrap().recv_timeout(left) {
                Ok(line) => self.running.lines.push(line),
                Err(_) => panic!("no line `{pattern}` in the log:\n{}", self.running.lines.join("\n")),
            }
        }
    }

    /// All log lines so far.
    fn all_lines(&mut self) -> &[String] {
        let RunningProgram { log, lines, .. } = &mut self.running;
        lines.extend(log.as_ref().unwrap().try_iter());
        lines
    }

    /// The connection of this name. A new one is accepted for a server's name, and opened otherwise.
    fn peer(&mut self, name: &str) -> &mut Peer {
        if !self.peers.contains_key(name) {
            let server = name.split('.').next().unwrap();
            let peer = if let Some(listener) = self.listeners.get(server) {
                listener.set_nonblocking(true).unwrap();
                let until = Instant::now() + STEP_TIMEOUT;
                let stream = loop {
                    match listener.accept() {
                        Ok((stream, _)) => break stream,
                        Err(_) if Instant::now() < until => std::thread::sleep(Duration::from_millis(2)),
                        Err(error) => panic!("{name}: no connection: {error}"),
                    }
                };
                listener.set_nonblocking(false).unwrap();
                stream.set_nonblocking(false).unwrap();
                Peer::new(stream)
            } else {
                let listen_line = match name.as_bytes()[0] {
                    b'o' => "openai listen=",
                    b'm' => "operators listen=",
                    _ => "started {*}listen=",
                };
                let line = self.wait_for_log(listen_line);
                let address = line.split("listen=").nth(1).unwrap().split(' ').next().unwrap().to_owned();
                Peer::new(TcpStream::connect(address).unwrap())
            };
            self.peers.insert(name.to_owned(), peer);
        }
        self.peers.get_mut(name).unwrap()
    }

    /// Whether a server's connection has ended with nothing unread. Its next call then comes on a new connection, which
    /// takes over the name.
    fn replace_ended(&mut self, name: &str) -> bool {
        let ended = is_server(name)
            && self.peers.get(name).is_some_and(|peer| peer.received.is_empty() && peer.last_call.is_some());
        if ended {
            self.peers.remove(name);
        }
        ended
    }

    /// The deadline of a step that begins now.
    fn step_deadline(&self) -> Instant {
        self.deadline.unwrap_or_else(|| Instant::now() + STEP_TIMEOUT)
    }

    fn step(&mut self, verb: &str, rest: &str, body: &str) {
        match verb {
            "start" => self.start(rest, body),
            "log" => drop(self.wait_for_log(rest)),
            // A file is in the way of the hand-over socket.
            "litter" => {
                std::fs::create_dir_all(&self.shared_folder).unwrap();
                std::fs::write(self.shared_folder.join("fawnstream.handover"), "left by nobody").unwrap();
            }
            // A process that is ready to receive a stream, and then declines it.
            "impostor" => {
                let path = self.shared_folder.join("fawnstream.handover");
                let _ = std::fs::remove_file(&path);
                let listener = UnixListener::bind(path).unwrap();
                std::thread::spawn(move || {
                    for mut stream in listener.incoming().flatten() {
                        let _ = stream.write_all(b"r").and_then(|()| stream.read(&mut [0; 4096]));
                        let _ = stream.write_all(b"n");
                    }
                });
            }
            // The next steps act on the other one of two programs.
            "swap" => std::mem::swap(&mut self.running, &mut self.other),
            // Operators can read this metric soon.
            "figure" => {
                let (wanted, until) = (format!("router_{rest}"), self.step_deadline());
                loop {
                    self.peers.remove("metrics");
                    let peer = self.peer("metrics");
                    peer.stream.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
                    while peer.read() {}
                    let metrics = String::from_utf8(std::mem::take(&mut peer.received)).unwrap();
                    if metrics.lines().any(|line| line == wanted) {
                        break;
                    }
                    assert!(Instant::now() < until, "wanted {wanted}, got\n{metrics}");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            "once" => {
                self.wait_for_log(rest);
                let lines = self.all_lines();
                let count = lines.iter().filter(|line| line.contains(rest)).count();
                assert_eq!(count, 1, "`{rest}` in\n{}", lines.join("\n"));
            }
            "never" => {
                let lines = self.all_lines();
                assert!(!lines.iter().any(|line| line.contains(rest)), "{}", lines.join("\n"));
            }
            "kept" => {
                let listener = &self.listeners[rest];
                listener.set_nonblocking(true).unwrap();
                assert!(listener.accept().is_err(), "{rest} got a connection");
                listener.set_nonblocking(false).unwrap();
            }
            "close" => drop(self.peers.remove(rest)),
            "shut" => {
                let listener = self.listeners.remove(rest).unwrap();
                self.shut.insert(rest.to_owned(), listener.local_addr().unwrap());
            }
            // A server that was shut listens again.
            "reopen" => {
                let address = self.shut.remove(rest).unwrap();
                self.listeners.insert(rest.to_owned(), TcpListener::bind(address).unwrap());
            }
            // Connections to this server are never established, as to an unreachable machine.
            "deaf" => {
                let listener = &self.listeners[rest];
                let (address, socket) = (listener.local_addr().unwrap(), socket2::SockRef::from(listener));
                socket.listen(0).unwrap();
                let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
                self.fillers.extend(std::iter::from_fn(|| fill().ok()));
            }
            // Connections to this server are established again.
            "heed" => {
                let listener = &self.listeners[rest];
                listener.set_nonblocking(true).unwrap();
                while listener.accept().is_ok() {}
                listener.set_nonblocking(false).unwrap();
                socket2::SockRef::from(listener).listen(128).unwrap();
                self.fillers.clear();
            }
            // The program has begun to connect to this server.
            "dialling" => {
                let port = self.listeners[rest].local_addr().unwrap().port();
                let until = self.step_deadline();
                // An entry of /proc/net/tcp: a connection to this port in the state SYN_SENT.
                let wanted = format!("0100007F:{port:04X} 02");
                while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&wanted) {
                    assert!(Instant::now() < until, "{rest}: no connection attempt");
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            "pause" => std::thread::sleep(Duration::from_millis(rest.parse().unwrap())),
            // Everything that happens between `freeze` and `thaw` reaches the program at once.
            "term" | "hup" | "freeze" | "thaw" => {
                let id = self.running.program.as_ref().unwrap().id().to_string();
                let signal = match verb {
                    "freeze" => "STOP".to_owned(),
                    "thaw" => "CONT".to_owned(),
                    verb => verb.to_uppercase(),
                };
                let kill = format!("kill -{signal} {id}");
                assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
            }
            "etcd" => {
                let text = format!("endpoint = \"{}\"\nprefix = \"/s/\"\n", self.fill_addresses(rest));
                std::fs::write(self.folder.join("etcd.toml"), text).unwrap();
            }
            // Replaces the configuration atomically.
            "config" => {
                let (new, config) = (self.folder.join("config.new"), self.folder.join("config.json"));
                std::fs::write(&new, self.render_config(rest, body)).unwrap();
                std::fs::rename(new, config).unwrap();
            }
            "exit" => {
                let status = self.running.program.as_mut().unwrap().wait().unwrap();
                assert_eq!(status.code().map(|code| code.to_string()).as_deref(), Some(rest));
                self.running.program = None;
            }
            "send" => {
                let size = body.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
                let body = body.replace("{size}", &size.to_string());
                self.peer(rest).stream.write_all(body.as_bytes()).unwrap();
            }
            "take" => {
                // Consumes a complete request, whatever its content.
                let until = Instant::now() + STEP_TIMEOUT;
                loop {
                    let peer = self.peer(rest);
                    let received = String::from_utf8(peer.received.clone()).unwrap();
                    let size =
                        received.split_once("content-length: ").and_then(|(_, size)| size.split_once("\r\n"));
                    let body = received.find("\r\n\r\n").map(|at| at + 4);
                    if let (Some((size, _)), Some(body)) = (size, body) {
                        let total = body + size.parse::<usize>().unwrap();
                        if received.len() >= total {
                            peer.received.drain(..total);
                            if is_server(rest) {
                                peer.note_call(rest, &received);
                            }
                            return;
                        }
                    }
                    let open = peer.read();
                    if !open && self.replace_ended(rest) {
                        continue;
                    }
                    assert!(open && Instant::now() < until, "{rest}: wanted a request, got\n{received}");
                }
            }
            "half" => self.peer(rest).stream.shutdown(Shutdown::Write).unwrap(),
            // Deadline of the next steps.
            "within" => {
                self.deadline = Some(Instant::now() + Duration::from_millis(rest.parse().unwrap()));
            }
            // Opens this many connections that send nothing.
            "crowd" => {
                let (name, count) = rest.split_once(' ').unwrap();
                for n in 1..=count.parse().unwrap() {
                    self.peer(&format!("{name}{n}"));
                }
            }
            // Sends this many bytes, until the connection breaks.
            "flood" => {
                let (name, count) = rest.split_once(' ').unwrap();
                let (peer, piece) = (self.peer(name), [b'x'; 4096]);
                let mut left: usize = count.parse().unwrap();
                while left > 0 {
                    match peer.stream.write(&piece[..left.min(piece.len())]) {
                        Ok(size) => left -= size,
                        Err(_) => break,
                    }
                }
            }
            // Sends this many events of 32 KiB, one per chunk, in the background.
            "pour" => {
                let (name, count) = rest.split_once(' ').unwrap();
                let event = format!("data: {{\"x\":\"{}\"}}\n\n", "x".repeat(32 * 1024));
                let chunk = format!("{:X}\r\n{event}\r\n", event.len());
                let count: usize = count.parse().unwrap();
                let mut stream = self.peer(name).stream.try_clone().unwrap();
                std::thread::spawn(move || (0..count).all(|_| stream.write_all(chunk.as_bytes()).is_ok()));
            }
            // Receives this many bytes, whatever their content.
            "drink" => {
                let (name, count) = rest.split_once(' ').unwrap();
                let (until, mut left) = (self.step_deadline(), count.parse().unwrap());
                let peer = self.peer(name);
                while left > 0 {
                    assert!(peer.read() && Instant::now() < until, "{name}: {left} bytes are missing");
                    left -= peer.received.len().min(left);
                    peer.received.clear();
                }
            }
            "end" | "hears" => {
                let until = self.step_deadline();
                let peer = self.peer(rest);
                while peer.read() {
                    assert!(Instant::now() < until, "{rest}: the connection stays open");
                }
                let left = String::from_utf8_lossy(&peer.received);
                assert!(left.is_empty(), "{rest}: unexpected bytes: {left}");
                if verb == "end" {
                    self.peers.remove(rest);
                }
            }
            "get" => {
                let until = self.step_deadline();
                let wanted = sort_fields(body).unwrap_or_else(|| body.to_owned());
                loop {
                    let peer = self.peer(rest);
                    let received = String::from_utf8(peer.received.clone()).unwrap();
                    let message = if sort_fields(body).is_some() {
                        sort_fields(&received)
                    } else {
                        Some(received.clone())
                    };
                    if let Some(size) = message.and_then(|message| match_prefix(&wanted, &message)) {
                        peer.received.drain(..size);
                        if is_server(rest) {
                            peer.note_call(rest, &received);
                        }
                        return;
                    }
                    let open = peer.read();
                    if !open && self.replace_ended(rest) {
                        continue;
                    }
                    assert!(open && Instant::now() < until, "{rest}: wanted\n{wanted}\ngot\n{received}");
                }
            }
            other => panic!("no such step: {other}"),
        }
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        if std::thread::panicking() && self.running.log.is_some() {
            println!("the log:\n{}", self.all_lines().join("\n"));
        }
        self.running.kill();
        self.other.kill();
        let _ = std::fs::remove_dir_all(&self.shared_folder);
    }
}

/// The bytes that a line of a recording represents.
fn decode_line(line: &str) -> String {
    let unescape = |text: &str| {
        // `<<text>>` stands for the text in base64.
        let mut text = text.replace("\\n", "\n").replace("{cr}", "\r");
        while let Some((before, (plain, after))) =
            text.split_once("<<").and_then(|(b, r)| Some((b, r.split_once(">>")?)))
        {
            text = format!("{before}{}{after}", BASE64_STANDARD.encode(plain));
        }
        text
    };
    match line.split_at_checked(1) {
        Some(("|", text)) => format!("{}\r\n", text.strip_prefix(' ').unwrap_or(text)),
        Some((":", text)) => unescape(text.strip_prefix(' ').unwrap_or(text)),
        Some(("c", text)) => {
            let text = unescape(text.strip_prefix(' ').unwrap_or(text));
            format!("{:X}\r\n{text}\r\n", text.len())
        }
        Some(("C", text)) => format!("{{*}}\r\n{}\r\n", unescape(text.strip_prefix(' ').unwrap_or(text))),
        Some(("z", _)) => "0\r\n\r\n".to_owned(),
        _ => panic!("no such line: {line}"),
    }
}

/// Plays a recording with these values for the placeholders in braces. Returns the log's final outcomes of requests.
fn play_recording(path: &Path, name: &str, words: &[(&str, &str)]) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap();
    let text = words.iter().fold(text, |text, (word, value)| text.replace(&format!("{{{word}}}"), value));
    let parts = include_str!("exchanges/common.inc").split("\n== ").skip(1);
    let shared_steps: HashMap<&str, &str> = parts.filter_map(|part| part.split_once('\n')).collect();
    let mut bed = TestBed::new(name);
    let mut steps: Vec<(String, String, String)> = Vec::new();
    let mut read_line = |line: &str| {
        if line.is_empty() || line.starts_with('#') {
            return;
        }
        let prefix = line.split(' ').next().unwrap();
        if ["|", ":", "c", "C", "z"].contains(&prefix) {
            steps.last_mut().unwrap().2.push_str(&decode_line(&bed.fill_addresses(line)));
        } else {
            let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
            steps.push((verb.to_owned(), rest.to_owned(), String::new()));
        }
    };
    for line in text.lines() {
        // `use NAME a=b ...` inserts shared steps from the common file, with `b` for each {a}.
        let Some(call) = line.strip_prefix("use ") else {
            read_line(line);
            continue;
        };
        let mut words = call.split(' ');
        let name = words.next().unwrap();
        let part = shared_steps.get(name).unwrap_or_else(|| panic!("no `{name}`")).to_string();
        let replacements = words.filter_map(|word| word.split_once('='));
        replacements
            .fold(part, |part, (word, value)| part.replace(&format!("{{{word}}}"), &value.replace('~', " ")))
            .lines()
            .for_each(&mut read_line);
    }
    for (verb, rest, body) in steps {
        let rest = bed.fill_addresses(&rest);
        bed.step(&verb, &rest, &body);
    }
    let outcomes = bed.running.lines.iter().filter(|line| line.contains(" outcome="));
    let tail =
        |line: &String| line[line.find("class=").unwrap()..line.find(" first_ms=").unwrap()].to_owned();
    outcomes.map(tail).collect()
}

#[rstest]
fn play(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    play_recording(&path, path.file_stem().unwrap().to_str().unwrap(), &[]);
}

#[rstest]
fn fronts_agree(#[files("tests/exchanges/both/*.txt")] path: PathBuf) {
    let platform = play_recording(&path, "platform", &[("f", ""), ("c", "a")]);
    let openai = play_recording(&path, "openai", &[("f", "o"), ("c", "o")]);
    assert!(!platform.is_empty());
    assert_eq!(platform, openai);
}
