//! Plays recorded byte exchanges against the started program. `docs/testing.md` says how a recording is written.

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

/// How long a step waits for what it expects; only a failing test takes so long.
const PATIENCE: Duration = Duration::from_secs(20);

struct Peer {
    stream: TcpStream,
    seen: Vec<u8>,
}

impl Peer {
    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        Peer { stream, seen: Vec::new() }
    }

    /// Reads once; false at the end of the connection.
    fn read(&mut self) -> bool {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece) {
            Ok(0) => false,
            Ok(size) => {
                self.seen.extend_from_slice(&piece[..size]);
                true
            }
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// The length of the text at the start of `seen` that matches; `{*}` stands for any text within a line.
fn matched(pattern: &str, seen: &str) -> Option<usize> {
    let Some((fixed, rest)) = pattern.split_once("{*}") else {
        return seen.starts_with(pattern).then_some(pattern.len());
    };
    let line = seen.strip_prefix(fixed)?;
    let ends = line.find(['\r', '\n']).unwrap_or(line.len());
    let tries = (0..=ends).filter(|at| line.is_char_boundary(*at));
    tries.into_iter().find_map(|at| Some(fixed.len() + at + matched(rest, &line[at..])?))
}

/// A message whose head's lines are in order, if it has a whole head: the program's libraries shuffle them.
fn sorted(text: &str) -> Option<String> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let (first, fields) = head.split_once("\r\n").unwrap_or((head, ""));
    if !first.contains("HTTP/1.1") {
        return None;
    }
    let mut fields: Vec<&str> = fields.split("\r\n").collect();
    fields.sort();
    Some(format!("{first}\r\n{}\r\n\r\n{body}", fields.join("\r\n")))
}

/// A started program and its log.
#[derive(Default)]
struct Running {
    program: Option<Child>,
    log: Option<Receiver<String>>,
    lines: Vec<String>,
}

impl Running {
    fn end(&mut self) {
        if let Some(mut program) = self.program.take() {
            let _ = program.kill();
            let _ = program.wait();
        }
    }
}

struct Stage {
    running: Running,
    /// The one that was started before, beside it.
    other: Running,
    /// The clients' socket, where the platform holds it.
    door: TcpListener,
    /// What two processes share. A short path: that of a Unix socket is no longer than 107 bytes.
    shared: PathBuf,
    listeners: HashMap<String, TcpListener>,
    /// Connections that take all places where a server listens.
    fillers: Vec<TcpStream>,
    peers: HashMap<String, Peer>,
    folder: PathBuf,
    within: Option<Instant>,
}

impl Stage {
    fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let listen = |name: &str| (name.to_owned(), TcpListener::bind("127.0.0.1:0").unwrap());
        let listeners = ["d", "e", "r1", "r2", "w1", "w2"].map(listen).into();
        let peers = HashMap::new();
        let (running, other) = Default::default();
        let door = TcpListener::bind("127.0.0.1:0").unwrap();
        let shared = std::env::temp_dir().join(format!("fawnstream-{}-{name}", std::process::id()));
        Stage { running, other, door, shared, listeners, fillers: Vec::new(), peers, folder, within: None }
    }

    /// Fills in the addresses of servers.
    fn filled(&self, text: &str) -> String {
        self.listeners.iter().fold(text.to_owned(), |text, (name, listener)| {
            text.replace(&format!("{{{name}}}"), &listener.local_addr().unwrap().to_string())
        })
    }

    /// A configuration: the usual one if none is told. `name=value` among the arguments changes it.
    fn configured(&self, arguments: &str, body: &str) -> String {
        let usual = include_str!("config.json");
        let text = if body.is_empty() { self.filled(usual) } else { body.to_owned() };
        let changes = arguments.split_whitespace().filter_map(|argument| argument.split_once('='));
        changes.fold(text, |text, (name, value)| {
            let at = text.find(&format!("\"{name}\": ")).unwrap() + name.len() + 4;
            let end = at + text[at..].find([',', '}']).unwrap();
            format!("{}{}{}", &text[..at], self.filled(value), &text[end..])
        })
    }

    fn start(&mut self, arguments: &str, body: &str) {
        std::mem::swap(&mut self.running, &mut self.other);
        let (config, openai) = (self.folder.join("config.json"), self.folder.join("openai.toml"));
        std::fs::write(&config, self.configured(arguments, body)).unwrap();
        let models = include_str!("../../deploy/openai.toml").replace("127.0.0.1:8081", "127.0.0.1:0");
        std::fs::write(&openai, models).unwrap();
        let key = "[[key]]\nenv = \"FAWNSTREAM_KEY\"\ntenant = \"donaupay\"\n";
        let keys = self.folder.join("keys.toml");
        std::fs::write(&keys, std::fs::read_to_string(&openai).unwrap() + key).unwrap();
        let etcd = self.folder.join("etcd.toml");
        std::fs::write(&etcd, self.filled("endpoint = \"{d}\"\nprefix = \"/s/\"\n")).unwrap();
        let (ledger, usage) = (self.folder.join("ledger.toml"), self.shared.join("usage"));
        let kept = include_str!("../../deploy/ledger.toml").split("[sink]").next().unwrap();
        let kept = kept.replace("/var/lib/fawnstream/usage", usage.to_str().unwrap());
        std::fs::write(&ledger, kept.replace("sync_ms = 200", "sync_ms = 5")).unwrap();
        // `ulimit:N` among the arguments gives the program so many descriptors.
        let few = arguments.split_whitespace().find_map(|argument| argument.strip_prefix("ulimit:"));
        let mut command = Command::new("sh");
        let limit = few.map_or_else(String::new, |few| format!("ulimit -n {few} && "));
        // `fd:3`: the program inherits the clients' socket as this descriptor; `fd:9` is none.
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
            .stdin(fd.map_or_else(Stdio::null, |_| OwnedFd::from(self.door.try_clone().unwrap()).into()));
        command.envs(fd.map(|fd| ("PROXY_FD", fd)));
        if fd.is_some() {
            std::fs::create_dir_all(&self.shared).unwrap();
            command.env("TMPDIR", &self.shared);
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
        let (told, log) = channel();
        let stderr = BufReader::new(program.stderr.take().unwrap());
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| told.send(line)));
        self.running = Running { program: Some(program), log: Some(log), lines: Vec::new() };
    }

    /// Waits for a line of the log in which the pattern matches somewhere.
    fn wait_log(&mut self, pattern: &str) -> String {
        let found = |line: &&String| {
            (0..=line.len()).any(|at| line.is_char_boundary(at) && matched(pattern, &line[at..]).is_some())
        };
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(line) = self.running.lines.iter().find(found) {
                return line.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            match self.running.log.as_ref().unwrap().recv_timeout(left) {
                Ok(line) => self.running.lines.push(line),
                Err(_) => panic!("no line `{pattern}` in the log:\n{}", self.running.lines.join("\n")),
            }
        }
    }

    /// What the log has said so far.
    fn all_lines(&mut self) -> &[String] {
        let Running { log, lines, .. } = &mut self.running;
        lines.extend(log.as_ref().unwrap().try_iter());
        lines
    }

    fn peer(&mut self, name: &str) -> &mut Peer {
        if !self.peers.contains_key(name) {
            let server = name.split('.').next().unwrap();
            let peer = if let Some(listener) = self.listeners.get(server) {
                listener.set_nonblocking(true).unwrap();
                let until = Instant::now() + PATIENCE;
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
                let front = match name.as_bytes()[0] {
                    b'o' => "openai listen=",
                    b'm' => "operators listen=",
                    _ => "started {*}listen=",
                };
                let line = self.wait_log(front);
                let address = line.split("listen=").nth(1).unwrap().split(' ').next().unwrap().to_owned();
                Peer::new(TcpStream::connect(address).unwrap())
            };
            self.peers.insert(name.to_owned(), peer);
        }
        self.peers.get_mut(name).unwrap()
    }

    /// Until when a step waits.
    fn until(&self) -> Instant {
        self.within.unwrap_or_else(|| Instant::now() + PATIENCE)
    }

    fn step(&mut self, verb: &str, rest: &str, body: &str) {
        match verb {
            "start" => self.start(rest, body),
            "log" => drop(self.wait_log(rest)),
            // Something stands where processes meet.
            "litter" => {
                std::fs::create_dir_all(&self.shared).unwrap();
                std::fs::write(self.shared.join("fawnstream.handover"), "left by nobody").unwrap();
            }
            // Somebody is ready to take a stream over, and then does not.
            "impostor" => {
                let path = self.shared.join("fawnstream.handover");
                let _ = std::fs::remove_file(&path);
                let listener = UnixListener::bind(path).unwrap();
                std::thread::spawn(move || {
                    for mut stream in listener.incoming().flatten() {
                        let _ = stream.write_all(b"r").and_then(|()| stream.read(&mut [0; 4096]));
                        let _ = stream.write_all(b"n");
                    }
                });
            }
            // The steps that follow are about the other one of two programs.
            "swap" => std::mem::swap(&mut self.running, &mut self.other),
            // Operators find this figure, soon.
            "figure" => {
                let (wanted, until) = (format!("router_{rest}"), self.until());
                loop {
                    self.peers.remove("metrics");
                    let peer = self.peer("metrics");
                    peer.stream.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
                    while peer.read() {}
                    let seen = String::from_utf8(std::mem::take(&mut peer.seen)).unwrap();
                    if seen.lines().any(|line| line == wanted) {
                        break;
                    }
                    assert!(Instant::now() < until, "wanted {wanted}, got\n{seen}");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            "once" => {
                self.wait_log(rest);
                let lines = self.all_lines();
                let times = lines.iter().filter(|line| line.contains(rest)).count();
                assert_eq!(times, 1, "`{rest}` in\n{}", lines.join("\n"));
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
            "shut" => drop(self.listeners.remove(rest)),
            // Connections to it never come up, as to a machine that was cut off.
            "deaf" => {
                let listener = &self.listeners[rest];
                let (address, socket) = (listener.local_addr().unwrap(), socket2::SockRef::from(listener));
                socket.listen(0).unwrap();
                let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
                self.fillers.extend(std::iter::from_fn(|| fill().ok()));
            }
            // They come up from here on.
            "heed" => {
                let listener = &self.listeners[rest];
                listener.set_nonblocking(true).unwrap();
                while listener.accept().is_ok() {}
                listener.set_nonblocking(false).unwrap();
                socket2::SockRef::from(listener).listen(128).unwrap();
                self.fillers.clear();
            }
            // The program has begun to connect there.
            "dialling" => {
                let port = self.listeners[rest].local_addr().unwrap().port();
                let until = self.until();
                // Of /proc/net/tcp: a connection to this port in the state SYN_SENT.
                let wanted = format!("0100007F:{port:04X} 02");
                while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&wanted) {
                    assert!(Instant::now() < until, "{rest}: nobody connects");
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            "pause" => std::thread::sleep(Duration::from_millis(rest.parse().unwrap())),
            // `freeze` and `thaw`: what happens between them meets the program all at once.
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
                let text = format!("endpoint = \"{}\"\nprefix = \"/s/\"\n", self.filled(rest));
                std::fs::write(self.folder.join("etcd.toml"), text).unwrap();
            }
            // A new configuration in place of the old one, put there whole.
            "config" => {
                let (new, config) = (self.folder.join("config.new"), self.folder.join("config.json"));
                std::fs::write(&new, self.configured(rest, body)).unwrap();
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
                // A whole request, whatever it says.
                let until = Instant::now() + PATIENCE;
                let peer = self.peer(rest);
                loop {
                    let seen = String::from_utf8(peer.seen.clone()).unwrap();
                    let size =
                        seen.split_once("content-length: ").and_then(|(_, size)| size.split_once("\r\n"));
                    let body = seen.find("\r\n\r\n").map(|at| at + 4);
                    if let (Some((size, _)), Some(body)) = (size, body) {
                        let whole = body + size.parse::<usize>().unwrap();
                        if seen.len() >= whole {
                            peer.seen.drain(..whole);
                            return;
                        }
                    }
                    assert!(peer.read() && Instant::now() < until, "{rest}: wanted a request, got\n{seen}");
                }
            }
            "half" => self.peer(rest).stream.shutdown(Shutdown::Write).unwrap(),
            // What the next steps wait for comes in this time.
            "within" => {
                self.within = Some(Instant::now() + Duration::from_millis(rest.parse().unwrap()));
            }
            // So many connections that say nothing.
            "crowd" => {
                let (name, count) = rest.split_once(' ').unwrap();
                for n in 1..=count.parse().unwrap() {
                    self.peer(&format!("{name}{n}"));
                }
            }
            // So many bytes, while what comes back is read.
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
            // So many events of 32 KiB, one a chunk, as fast as the program takes them, while the next steps go on.
            "pour" => {
                let (name, count) = rest.split_once(' ').unwrap();
                let event = format!("data: {{\"x\":\"{}\"}}\n\n", "x".repeat(32 * 1024));
                let chunk = format!("{:X}\r\n{event}\r\n", event.len());
                let count: usize = count.parse().unwrap();
                let mut stream = self.peer(name).stream.try_clone().unwrap();
                std::thread::spawn(move || (0..count).all(|_| stream.write_all(chunk.as_bytes()).is_ok()));
            }
            // So many bytes come, whatever they say.
            "drink" => {
                let (name, count) = rest.split_once(' ').unwrap();
                let (until, mut left) = (self.until(), count.parse().unwrap());
                let peer = self.peer(name);
                while left > 0 {
                    assert!(peer.read() && Instant::now() < until, "{name}: {left} bytes did not come");
                    left -= peer.seen.len().min(left);
                    peer.seen.clear();
                }
            }
            "end" | "hears" => {
                let until = self.until();
                let peer = self.peer(rest);
                while peer.read() {
                    assert!(Instant::now() < until, "{rest}: the connection stays open");
                }
                let left = String::from_utf8_lossy(&peer.seen);
                assert!(left.is_empty(), "{rest}: more came: {left}");
                if verb == "end" {
                    self.peers.remove(rest);
                }
            }
            "get" => {
                let until = self.until();
                let wanted = sorted(body).unwrap_or_else(|| body.to_owned());
                let peer = self.peer(rest);
                loop {
                    let seen = String::from_utf8(peer.seen.clone()).unwrap();
                    let head = if sorted(body).is_some() { sorted(&seen) } else { Some(seen.clone()) };
                    if let Some(size) = head.and_then(|seen| matched(&wanted, &seen)) {
                        peer.seen.drain(..size);
                        return;
                    }
                    let open = peer.read();
                    assert!(open && Instant::now() < until, "{rest}: wanted\n{wanted}\ngot\n{seen}");
                }
            }
            other => panic!("no such step: {other}"),
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::thread::panicking() && self.running.log.is_some() {
            println!("the log:\n{}", self.all_lines().join("\n"));
        }
        self.running.end();
        self.other.end();
        let _ = std::fs::remove_dir_all(&self.shared);
    }
}

/// The bytes that a line of a recording stands for.
fn bytes(line: &str) -> String {
    let escaped = |text: &str| {
        // `<<text>>` is text in base64.
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
        Some((":", text)) => escaped(text.strip_prefix(' ').unwrap_or(text)),
        Some(("c", text)) => {
            let text = escaped(text.strip_prefix(' ').unwrap_or(text));
            format!("{:X}\r\n{text}\r\n", text.len())
        }
        Some(("C", text)) => format!("{{*}}\r\n{}\r\n", escaped(text.strip_prefix(' ').unwrap_or(text))),
        Some(("z", _)) => "0\r\n\r\n".to_owned(),
        _ => panic!("no such line: {line}"),
    }
}

/// Plays a recording, with these words in place of those in braces; gives the program's final outcomes.
fn play_file(path: &Path, name: &str, words: &[(&str, &str)]) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap();
    let text = words.iter().fold(text, |text, (word, value)| text.replace(&format!("{{{word}}}"), value));
    let common = include_str!("exchanges/common.inc").split("\n== ").skip(1);
    let named: HashMap<&str, &str> = common.filter_map(|part| part.split_once('\n')).collect();
    let mut stage = Stage::new(name);
    let mut steps: Vec<(String, String, String)> = Vec::new();
    let mut read = |line: &str| {
        if line.is_empty() || line.starts_with('#') {
            return;
        }
        let mark = line.split(' ').next().unwrap();
        if ["|", ":", "c", "C", "z"].contains(&mark) {
            steps.last_mut().unwrap().2.push_str(&bytes(&stage.filled(line)));
        } else {
            let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
            steps.push((verb.to_owned(), rest.to_owned(), String::new()));
        }
    };
    for line in text.lines() {
        // `use NAME a=b ...`: lines from the common file, with these words in place of {a}.
        let Some(call) = line.strip_prefix("use ") else {
            read(line);
            continue;
        };
        let mut told = call.split(' ');
        let name = told.next().unwrap();
        let part = named.get(name).unwrap_or_else(|| panic!("no `{name}`")).to_string();
        let told = told.filter_map(|word| word.split_once('='));
        told.fold(part, |part, (word, value)| part.replace(&format!("{{{word}}}"), &value.replace('~', " ")))
            .lines()
            .for_each(&mut read);
    }
    for (verb, rest, body) in steps {
        let rest = stage.filled(&rest);
        stage.step(&verb, &rest, &body);
    }
    let outcomes = stage.running.lines.iter().filter(|line| line.contains(" outcome="));
    let tail =
        |line: &String| line[line.find("class=").unwrap()..line.find(" first_ms=").unwrap()].to_owned();
    outcomes.map(tail).collect()
}

#[rstest]
fn play(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    play_file(&path, path.file_stem().unwrap().to_str().unwrap(), &[]);
}

#[rstest]
fn fronts_agree(#[files("tests/exchanges/both/*.txt")] path: PathBuf) {
    let platform = play_file(&path, "platform", &[("f", ""), ("c", "a")]);
    let openai = play_file(&path, "openai", &[("f", "o"), ("c", "o")]);
    assert!(!platform.is_empty());
    assert_eq!(platform, openai);
}
