//! What all cases share: the record, random numbers, the router's process and the platform's discovery.

use crate::wire::{Conn, chunk};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Begins a record.
    pub fn create(path: &Path) -> Self {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("the record")))))
    }

    /// Adds a line with the time in milliseconds since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:9.1} {text}", self.0.0.elapsed().as_secs_f64() * 1e3);
    }
}

/// Random numbers from a seed.
pub struct Random(u64);

impl Random {
    /// Begins with a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// At least 0 and under 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Between two numbers.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    /// A time to the next of events that come by chance, in seconds.
    pub fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.share()).ln()
    }
}

/// Sleeps for so many milliseconds.
pub fn sleep_ms(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3));
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// `prefill` or `decode`.
    pub flavor: &'static str,
    /// `active`, `leaving` or `left`.
    pub phase: &'static str,
    /// Its last start in Unix time, or 0.
    pub up_since_ms: u64,
}

impl Member {
    /// A server that runs since long ago.
    pub fn new(id: &str, address: SocketAddr, flavor: &'static str) -> Self {
        Member { id: id.to_owned(), address, flavor, phase: "active", up_since_ms: 0 }
    }

    /// The entry in discovery's form.
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"graz-keller\",\"flavor\":\"{}\",\"cell\":1,\
             \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.flavor, self.phase, self.up_since_ms
        )
    }
}

#[derive(Default)]
struct List {
    revision: u64,
    members: BTreeMap<String, Member>,
    changes: Vec<(u64, Member)>,
}

/// The platform's discovery: tells the whole list, then each change at once, and an empty line every 2 s.
#[derive(Clone, Default)]
pub struct Discovery(Arc<(Mutex<List>, Condvar)>);

impl Discovery {
    /// Changes an entry.
    pub fn set(&self, member: Member) {
        let mut list = self.0.0.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        list.changes.push((revision, member.clone()));
        match member.phase {
            "left" => drop(list.members.remove(&member.id)),
            _ => drop(list.members.insert(member.id.clone(), member)),
        }
        self.0.1.notify_all();
    }

    /// The whole list in discovery's form.
    pub fn whole(&self) -> String {
        let list = self.0.0.lock().unwrap();
        let members: Vec<String> = list.members.values().map(Member::json).collect();
        format!("{{\"revision\":{},\"complete\":true,\"members\":[{}]}}", list.revision, members.join(","))
    }

    /// Starts to listen.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().expect("discovery");
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.serve(Conn::new(stream)));
            }
        });
        address
    }

    fn serve(&self, mut conn: Conn) {
        let Ok(head) = conn.head(None) else { return };
        let from = head.target().split("from=").nth(1).and_then(|from| from.parse::<u64>().ok());
        let start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if conn.write(start.as_bytes()).is_err() {
            return;
        }
        let (mut known, mut line) = {
            let whole = self.whole();
            (self.0.0.lock().unwrap().revision, whole)
        };
        if from == Some(known) {
            line = String::new();
        }
        loop {
            if conn.write(&chunk(&format!("{line}\n"))).is_err() {
                return;
            }
            let list = self.0.0.lock().unwrap();
            let waited =
                self.0.1.wait_timeout_while(list, Duration::from_secs(2), |list| list.revision == known);
            let (list, _) = waited.unwrap();
            let changed: Vec<String> =
                list.changes.iter().filter(|(at, _)| *at > known).map(|(_, member)| member.json()).collect();
            line = match changed.is_empty() {
                true => String::new(),
                false => format!(
                    "{{\"revision\":{},\"complete\":false,\"members\":[{}]}}",
                    list.revision,
                    changed.join(",")
                ),
            };
            known = list.revision;
        }
    }
}

/// The settings of a small deployment with the brief's figures, as far as a router reads them.
pub const SETTINGS: &str = r#"{
  "balancers": 1, "self_index": 0, "registry_mode": "pushed", "zones": ["graz-keller"], "over_share_worth": 0.05,
  "kinds": ["prefill", "decode"],
  "extra": {"duty_by_kind": ["read", "write"], "kv_tokens": [240000, 160000], "release_within": 500000000,
    "aim_us_per_1000_prompt_tokens": [40000, 40000, 60000]},
  "ceilings": {"cancel": true, "probes": false, "max_attempts": 6, "retry_after": true, "max_retry_after": 500000000,
    "conn_idle": 15000000000, "connect_timeout": 250000000},
  "rules": {"cold": 14000000000, "cold_share": 0.32, "fall": 3000000000, "fall_multiple": 4.0, "drain_grace": 500000000},
  "telemetry": {"via": "answers", "fields": ["inflight", "queue", "x0", "x1"]},
  "tenants": [{"name": "donaupay", "quota_per_s": 14.0}, {"name": "murtal-mobil", "quota_per_s": 4.0},
    {"name": "kremser-tickets", "quota_per_s": 2.0}, {"name": "innsoft", "quota_per_s": 2.0}],
  "classes": [
    {"name": "run-summary", "effect": "pure", "aim": 1500000000, "give_up": 7500000000, "worth": 1.0},
    {"name": "log-chat", "effect": "pure", "aim": 2500000000, "give_up": 12000000000, "worth": 1.0},
    {"name": "book-device", "effect": "side_effect", "aim": 800000000, "give_up": 3000000000, "worth": 2.0}]
}"#;

/// All processes that were started, to be ended whatever happens.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let started = std::mem::take(&mut *STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    for child in started {
        let mut child = child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A running router.
pub struct Router {
    child: Arc<Mutex<Child>>,
    lines: Arc<Mutex<Vec<String>>>,
    name: &'static str,
    record: Record,
}

impl Router {
    /// Starts the router with the command of the deploy file and these options, from the root of the repository.
    pub fn start(
        case: &Case,
        name: &'static str,
        config: &Path,
        options: &[String],
        inherited: Option<&TcpListener>,
    ) -> Self {
        let mut command = format!("{} {}", case.run, options.join(" "));
        let mut stdin = Stdio::null();
        if let Some(listener) = inherited {
            // The platform's listening socket, inherited as descriptor 3.
            command = format!("exec 3<&0 0</dev/null; {command}");
            stdin = Stdio::from(std::os::fd::OwnedFd::from(listener.try_clone().expect("a socket")));
        }
        let folder = case.temp.join("tmp");
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command.trim()).current_dir(&case.root).env_clear();
        shell.env("PATH", std::env::var_os("PATH").unwrap_or_default());
        shell.env("PROXY_CONFIG", config).env("TMPDIR", &folder);
        if inherited.is_some() {
            shell.env("PROXY_FD", "3");
        }
        let mut child =
            shell.stdin(stdin).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the router");
        case.record.line(&format!("router {name} started with `{command}`"));
        // For the script, which ends what is left if this program is ended.
        let pids = OpenOptions::new().create(true).append(true).open(case.temp.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let (kept, from) = (lines.clone(), child.stderr.take().expect("the router's log"));
        let mut log = File::create(case.temp.join(format!("{name}.log"))).expect("the router's log");
        std::thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                kept.lock().unwrap().push(line);
            }
        });
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(child.clone());
        Router { child, lines, name, record: case.record.clone() }
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for(&mut self, text: &str, timeout: Duration) -> Option<String> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(line) = self.lines.lock().unwrap().iter().find(|line| line.contains(text)) {
                return Some(line.clone());
            }
            if self.ended().is_some() {
                sleep_ms(100.0);
                return self.lines.lock().unwrap().iter().find(|line| line.contains(text)).cloned();
            }
            sleep_ms(5.0);
        }
        None
    }

    /// The address after `listen=` in the line of the log that contains this text.
    pub fn address(&mut self, text: &str) -> SocketAddr {
        let Some(line) = self.wait_for(text, Duration::from_secs(10)) else {
            self.record.line(&format!("router {} did not start", self.name));
            end_all();
            std::process::exit(2);
        };
        let address = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        address.and_then(|address| address.parse().ok()).expect("an address")
    }

    /// Its exit status, once it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.lock().unwrap().try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// The lines of its log that contain this text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.lines.lock().unwrap().iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Sends SIGTERM.
    pub fn term(&self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.child.lock().unwrap().id().to_string()).status();
        self.record.line(&format!("SIGTERM to router {}", self.name));
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
        self.record.line(&format!("SIGKILL to router {}", self.name));
    }
}

/// What a case was started with.
pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub temp: PathBuf,
    /// The deploy file's command for the router.
    pub run: String,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// The record.
    pub record: Record,
}

impl Case {
    /// Writes a configuration of the router; clients' and operators' ports are free ones.
    pub fn config(&self, name: &str, discovery: SocketAddr, known: &str, limits: &str) -> PathBuf {
        let path = self.temp.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"mgmt\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\
             \"seed\":\"00000000000005ee\",\"limits\":{limits},\"known\":{known},\"settings\":{SETTINGS}}}"
        );
        std::fs::write(&path, text).expect("the configuration");
        path
    }

    /// Tells the verdict and ends: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    pub fn verdict(&self, code: i32, text: &str) -> ! {
        let word = ["held", "broken", "not run"][code as usize % 3];
        self.record.line(&format!("verdict: {word}: {text}"));
        println!("{word}: {text}");
        end_all();
        std::process::exit(code);
    }
}
