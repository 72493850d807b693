//! What a case is played in: its folder and record, stand-ins for discovery, readers, writers and a sink, and the
//! project's programs as processes of their own.

use crate::http::{self, Ahead, Message};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn signal(pid: u32, number: i32) {
    // SAFETY: a call without memory; the process is one that this program started.
    unsafe { kill(pid as i32, number) };
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of a case, and the processes that it has started.
#[derive(Clone)]
pub struct World {
    record: Arc<Mutex<File>>,
    pub started_at: Instant,
    pub folder: PathBuf,
    pids: Arc<Mutex<Vec<u32>>>,
    pub trouble: bool,
}

impl World {
    pub fn new(case_folder: &Path, name: &str) -> World {
        let record = File::create(case_folder.join("record.txt")).expect("record.txt");
        let folder = std::env::temp_dir().join(format!("fawnstream-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let world = World {
            record: Arc::new(Mutex::new(record)),
            started_at: Instant::now(),
            folder,
            pids: Arc::default(),
            trouble,
        };
        world.note(&format!("case {name}, TROUBLE={}", u8::from(trouble)));
        let watched = world.clone();
        std::thread::spawn(move || {
            sleep_ms(114_000);
            watched.note("the case took too long: it could not run");
            watched.end(2);
        });
        let panicked = world.clone();
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            usual(info);
            if std::thread::current().name() == Some("main") {
                panicked.note(&format!("the case could not run: {info}"));
                panicked.end(2);
            }
        }));
        world
    }

    pub fn note(&self, text: &str) {
        let mut file = self.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:9.3} {text}", self.started_at.elapsed().as_secs_f64());
    }

    /// Ends all processes that were started, and this one.
    pub fn end(&self, code: i32) -> ! {
        for pid in self.pids.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter() {
            signal(*pid, SIGKILL);
        }
        self.note(&format!("exit {code}"));
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file in the temporary folder");
        path
    }

    /// Starts a router as the deploy file does, with further arguments and variables.
    pub fn router(&self, name: &str, arguments: &str, variables: &[(&str, String)]) -> Router {
        let log = self.path(&format!("{name}.log"));
        let file = File::create(&log).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("exec target/release/fawnstream {arguments}")]);
        command.env("TMPDIR", &self.folder).stdin(Stdio::null());
        command.stdout(file.try_clone().expect("a log file")).stderr(file);
        for (variable, value) in variables {
            command.env(variable, value);
        }
        let child = command.spawn().expect("the router starts");
        self.pids.lock().unwrap().push(child.id());
        self.note(&format!("router {name}: started with `{arguments}`"));
        Router { world: self.clone(), name: name.to_owned(), child, log }
    }

    /// Runs one of the project's programs to its end; returns what it printed.
    pub fn run(&self, program: &str, arguments: &[&str]) -> String {
        let output =
            Command::new(format!("target/release/{program}")).args(arguments).output().expect(program);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        self.note(&format!(
            "{program} {}:\n{}{}",
            arguments.join(" "),
            text.trim_end(),
            String::from_utf8_lossy(&output.stderr)
        ));
        text
    }
}

/// A running router.
pub struct Router {
    world: World,
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Router {
    pub fn signal(&self, number: i32, name: &str) {
        self.world.note(&format!("router {}: {name}", self.name));
        signal(self.child.id(), number);
    }

    /// Its exit status, if it has ended.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Waits for its end.
    pub fn wait_end(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        loop {
            if let Some(code) = self.ended() {
                self.world.note(&format!("router {}: ended with {code}", self.name));
                return Some(code);
            }
            if Instant::now() > until {
                return None;
            }
            sleep_ms(5);
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until a call to this address and path is answered with 200.
    pub fn wait_yes(&mut self, address: SocketAddr, path: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        while Instant::now() < until {
            if http::call(address, &request).is_ok_and(|answer| answer.status() == 200) {
                self.world.note(&format!("router {}: {path} says 200", self.name));
                return;
            }
            if let Some(code) = self.ended() {
                panic!("router {} ended with {code}: {}", self.name, self.log());
            }
            sleep_ms(10);
        }
        panic!("router {} is not ready: {}", self.name, self.log());
    }

    /// Copies its log's lines that contain one of these words into the record.
    pub fn note_log(&self, words: &[&str]) {
        for line in self.log().lines().filter(|line| words.iter().any(|word| line.contains(word))) {
            self.world.note(&format!("log of {}: {line}", self.name));
        }
    }
}

/// An address on which a program of the case will listen. It is on a loopback address of this process's own, since a port of
/// 127.0.0.1 that is free now may be an outgoing connection's by the time the program binds it.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 + (high & 63), middle, low);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind((address, port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let each = each.clone();
            std::thread::spawn(move || each(stream));
        }
    });
}

/// Discovery: a watch gets the whole list, each change at once, and an empty line after 2 s without one.
pub struct Discovery {
    pub address: SocketAddr,
    /// The lines so far; a line's number is its revision.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start(members: Vec<String>) -> Discovery {
        let (listener, address) = listen();
        let list = format!("{{\"revision\":1,\"complete\":true,\"members\":[{}]}}\n", members.join(","));
        let lines = Arc::new(Mutex::new(vec![list]));
        let told = lines.clone();
        serve(listener, move |mut stream| {
            let mut ahead = Ahead::default();
            let Ok(Some(request)) = http::read_head(&mut stream, &mut ahead) else { return };
            let from = request.target().split("from=").nth(1).and_then(|revision| revision.parse().ok());
            let mut next: usize = from.unwrap_or(0);
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            let mut bytes = head.as_bytes().to_vec();
            let mut silent_ms = 0;
            loop {
                for line in told.lock().unwrap().iter().skip(next) {
                    bytes.extend_from_slice(&http::chunk(line.as_bytes()));
                    next += 1;
                }
                if silent_ms >= 2_000 {
                    bytes.extend_from_slice(&http::chunk(b"\n"));
                }
                if !bytes.is_empty() {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                    bytes.clear();
                    silent_ms = 0;
                }
                sleep_ms(5);
                silent_ms += 5;
            }
        });
        Discovery { address, lines }
    }

    /// Tells open watches of changed entries.
    pub fn tell(&self, world: &World, members: &[String]) {
        let mut lines = self.lines.lock().unwrap();
        let (revision, members) = (lines.len() + 1, members.join(","));
        world.note(&format!("discovery: tells {members}"));
        lines.push(format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{members}]}}\n"));
    }
}

pub fn member(id: &str, address: SocketAddr, kind: &str, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"room\",\"flavor\":\"{kind}\",\"cell\":0,\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// A reader: it has read a prompt after 5 ms, or after the time that the body's `"read_ms"` says.
pub fn reader(world: &World) -> SocketAddr {
    let (listener, address) = listen();
    let world = world.clone();
    serve(listener, move |mut stream| {
        let mut ahead = Ahead::default();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut ahead) {
            let done = if request.method() == "DELETE" {
                http::answer(&mut stream, "204 No Content", "")
            } else if request.method() != "POST" {
                http::answer(&mut stream, "404 Not Found", "")
            } else {
                sleep_ms(number_of(&request.text(), "read_ms").unwrap_or(5));
                world.note(&format!("reader: read {}", request.field("x-call-id").unwrap_or("-")));
                http::answer(&mut stream, "202 Accepted", "{\"cached_tokens\":0}")
            };
            if done.is_err() {
                return;
            }
        }
    });
    address
}

/// What a writer wrote for a request: by its id, prompt tokens and answer tokens of the streams that it ended whole.
pub type Written = Arc<Mutex<BTreeMap<String, (u64, u64)>>>;

/// The number behind a member's name in a body.
pub fn number_of(body: &str, name: &str) -> Option<u64> {
    let from = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = body[from..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// A writer: the first token comes after 20 ms; an event with a token every `gap_ms`; as many tokens as the body's
/// `max_tokens` says. A request whose body has `"first_ms"` gets its first token after that time.
pub fn writer(world: &World, gap_ms: u64) -> (SocketAddr, Written) {
    let (listener, address) = listen();
    let written = Written::default();
    let (world, result) = (world.clone(), written.clone());
    serve(listener, move |mut stream| {
        let mut ahead = Ahead::default();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut ahead) {
            if request.method() != "POST" {
                let status = if request.method() == "DELETE" { "204 No Content" } else { "404 Not Found" };
                if http::answer(&mut stream, status, "").is_err() {
                    return;
                }
                continue;
            }
            let (id, body) = (request.field("x-call-id").unwrap_or("-").to_owned(), request.text());
            let tokens = number_of(&body, "max_tokens").unwrap_or(10);
            world.note(&format!("writer: begins {id}, {tokens} tokens"));
            sleep_ms(number_of(&body, "first_ms").unwrap_or(20));
            match write_answer(&mut stream, tokens, gap_ms) {
                Ok(()) => {
                    world.note(&format!("writer: wrote all of {id}"));
                    written.lock().unwrap().insert(id, (PROMPT_TOKENS, tokens));
                }
                Err(error) => {
                    world.note(&format!("writer: {id} broke off: {error}"));
                    return;
                }
            }
        }
    });
    (address, result)
}

/// The prompt tokens that each writer reports.
pub const PROMPT_TOKENS: u64 = 400;

fn write_answer(stream: &mut TcpStream, tokens: u64, gap_ms: u64) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    for token in 0..tokens {
        if token > 0 {
            sleep_ms(gap_ms);
        }
        let event =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n";
        stream.write_all(&http::chunk(event.as_bytes()))?;
        // A router that gave the attempt up has closed the connection.
        stream.set_nonblocking(true)?;
        let closed = matches!(stream.read(&mut [0]), Ok(0));
        stream.set_nonblocking(false)?;
        if closed {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
    }
    let last = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}]}}\n\ndata: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{PROMPT_TOKENS},\"completion_tokens\":{tokens},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\ndata: [DONE]\n\n"
    );
    stream.write_all(&http::chunk(last.as_bytes()))?;
    stream.write_all(b"0\r\n\r\n")
}

/// The sink of usage: it keeps each batch once, by its name.
#[derive(Clone)]
pub struct Sink {
    pub address: SocketAddr,
    pub batches: Arc<Mutex<BTreeMap<String, Message>>>,
}

impl Sink {
    pub fn start(world: &World) -> Sink {
        let (listener, address) = listen();
        let batches = Arc::<Mutex<BTreeMap<String, Message>>>::default();
        let (kept, world) = (batches.clone(), world.clone());
        serve(listener, move |mut stream| {
            let mut ahead = Ahead::default();
            while let Ok(Some(request)) = http::read_message(&mut stream, &mut ahead) {
                let body = crate::json::Json::parse(&request.text());
                let name = body.as_ref().map_or("", |body| body.get("batch").text()).to_owned();
                world.note(&format!("sink: got {}", request.text()));
                kept.lock().unwrap().entry(name).or_insert(request);
                if http::answer(&mut stream, "200 OK", "{}").is_err() {
                    return;
                }
            }
        });
        Sink { address, batches }
    }

    /// All entries, of all batches, in the order of the batches' names.
    pub fn entries(&self) -> Vec<crate::json::Json> {
        let batches = self.batches.lock().unwrap();
        let bodies = batches.values().filter_map(|message| crate::json::Json::parse(&message.text()));
        bodies.flat_map(|body| body.get("entries").list().to_vec()).collect()
    }
}

/// A router's configuration for a deployment with one router, a reader's and a writer's kind, three classes and four
/// customers.
pub fn configuration(
    listen: SocketAddr,
    mgmt: SocketAddr,
    discovery: SocketAddr,
    quotas: [f64; 4],
) -> String {
    let [first, second, third, fourth] = quotas;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","mgmt":"{mgmt}","seed":"5b1e80aa20c4f1d7",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"revision":0,"complete":true,"members":[]}},
 "settings":{{"balancers":1,"self_index":0,"registry_mode":"pushed","over_share_worth":0.05,
  "kinds":["prefill","decode"],"zones":["room"],"locality":"room",
  "extra":{{"duty_by_kind":["read","write"],"kv_tokens":[200000,180000],"release_within":500000000,
   "token_aim":[70000000,80000000,50000000],"aim_us_per_1000_prompt_tokens":[40000,40000,60000]}},
  "ceilings":{{"cancel":true,"probes":false,"max_attempts":6,"retry_after":true,"max_retry_after":500000000,
   "conn_idle":15000000000,"connect_timeout":250000000}},
  "rules":{{"cold":14000000000,"cold_share":0.32,"fall":3000000000,"fall_multiple":4.0,"drain_grace":500000000}},
  "telemetry":{{"via":"answers","fields":["inflight","queue","x0","x1"]}},
  "tenants":[{{"name":"donaupay","quota_per_s":{first},"share":0.63}},{{"name":"murtal-mobil","quota_per_s":{second},"share":0.2}},
   {{"name":"kremser-tickets","quota_per_s":{third},"share":0.09}},{{"name":"innsoft","quota_per_s":{fourth},"share":0.08}}],
  "classes":[
   {{"name":"run-summary","effect":"pure","aim":1500000000,"give_up":7500000000,"worth":1.0}},
   {{"name":"log-chat","effect":"pure","aim":2500000000,"give_up":12000000000,"worth":1.0}},
   {{"name":"book-device","effect":"side_effect","aim":800000000,"give_up":3000000000,"worth":2.0}}]}}}}"#
    )
}

/// The ledger's settings file.
pub fn ledger_file(
    folder: &Path,
    sink: Option<SocketAddr>,
    period_s: u64,
    grace_s: u64,
    join_s: u64,
) -> String {
    let sink = sink.map_or(String::new(), |sink| {
        format!("\n[sink]\naddress = \"{sink}\"\npath = \"/v1/usage/batches\"\n")
    });
    format!(
        "folder = \"{}\"\nperiod_s = {period_s}\ngrace_s = {grace_s}\njoin_s = {join_s}\nsync_ms = 200\nsegment_mb = 64\n{sink}",
        folder.display()
    )
}

/// A request of the platform's protocol.
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub session: u64,
    pub budget: f64,
    pub body: String,
    pub max_out: u64,
}

impl Ask {
    pub fn text(&self) -> String {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Route-Hash: {:016x}\r\nX-Budget: {:.3}\r\nX-Call-Info: prompt_len={PROMPT_TOKENS},prefix_len=0,max_out={}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            self.id,
            self.class,
            self.tenant,
            self.session,
            self.budget,
            self.max_out,
            self.body.len(),
            self.body
        )
    }

    /// Sends it on a connection of its own and reads the answer to its end: its status, and whether it came whole.
    pub fn send(&self, world: &World, router: SocketAddr) -> (u16, bool) {
        let run = || -> std::io::Result<(u16, bool)> {
            let mut stream = http::connect(router)?;
            stream.write_all(self.text().as_bytes())?;
            let mut ahead = Ahead::default();
            let Some(head) = http::read_head(&mut stream, &mut ahead)? else { return Ok((0, false)) };
            if head.status() != 200 {
                return Ok((head.status(), false));
            }
            loop {
                match http::read_chunk(&mut stream, &mut ahead) {
                    Ok(Some(_)) => {}
                    Ok(None) => return Ok((200, true)),
                    Err(_) => return Ok((200, false)),
                }
            }
        };
        world.note(&format!("client: sends {} ({}, {})", self.id, self.class, self.tenant));
        let result = run().unwrap_or((0, false));
        world.note(&format!("client: {} got {} whole={}", self.id, result.0, result.1));
        result
    }
}
