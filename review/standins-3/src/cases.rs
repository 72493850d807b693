//! The cases.

use crate::Judgement;
use crate::etcd::Etcd;
use crate::http;
use crate::process::{self, SIGCONT, SIGSTOP, SIGTERM};
use crate::record;
use crate::servers::{self, Request, Work};
use crate::websocket;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

type Outcome = Result<Judgement, String>;

pub fn play(name: &str, trouble: bool) -> Outcome {
    match name {
        "gone" => gone(trouble),
        "stop" => stop(trouble),
        "share" => share(trouble),
        "upgrade" => upgrade(trouble),
        "twice" => twice(trouble),
        "queue" => queue(trouble),
        "etcd" => etcd(trouble),
        "again" => again(trouble),
        _ => Err(format!("no case {name}")),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sleep(millis: u64) {
    std::thread::sleep(ms(millis));
}

/// The addresses of one router.
struct Addresses {
    listen: SocketAddr,
    mgmt: SocketAddr,
}

impl Addresses {
    fn free() -> Self {
        Addresses { listen: http::free_address(), mgmt: http::free_address() }
    }
}

fn write_file(name: &str, text: &str) -> Result<PathBuf, String> {
    let path = process::folder().join(name);
    std::fs::write(&path, text).map_err(|error| error.to_string())?;
    Ok(path)
}

/// A configuration with settings like those of a small deployment: two routers, a few workers.
fn configure(name: &str, at: &Addresses, discovery: SocketAddr) -> Result<PathBuf, String> {
    let text = format!(
        r#"{{"name": "n1", "listen": "{}", "mgmt": "{}", "discovery": "{discovery}", "seed": "5ee0f00d12345678",
 "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
 "settings": {{
  "balancers": 2, "self_index": 0, "registry_mode": "pushed", "over_share_worth": 0.05,
  "kinds": ["prefill", "decode"], "zones": ["lab"], "locality": "lab",
  "extra": {{"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 180000], "release_within": 500000000,
    "local_read": false, "resume": false, "may_reserve": false}},
  "ceilings": {{"cancel": true, "probes": false, "max_attempts": 6, "may_duplicate": false, "retry_after": true,
    "max_retry_after": 500000000, "conn_idle": 15000000000, "connect_timeout": 250000000}},
  "rules": {{"cold": 14000000000, "cold_share": 0.32, "fall": 3000000000, "fall_multiple": 4.0,
    "drain_grace": 500000000, "grace_to_answer": 8000000}},
  "telemetry": {{"via": "answers", "fields": ["x0"]}},
  "tenants": [{{"name": "donaupay", "quota_per_s": 14.0, "share": 0.63}},
    {{"name": "murtal-mobil", "quota_per_s": 4.0, "share": 0.2}},
    {{"name": "kremser-tickets", "quota_per_s": 2.0, "share": 0.09}},
    {{"name": "innsoft", "quota_per_s": 2.0, "share": 0.08}}],
  "classes": [
    {{"name": "run-summary", "effect": "pure", "aim": 1500000000, "give_up": 7500000000, "stream": true, "worth": 1.0}},
    {{"name": "log-chat", "effect": "pure", "aim": 2500000000, "give_up": 12000000000, "stream": true, "worth": 1.0}},
    {{"name": "book-device", "effect": "side_effect", "aim": 800000000, "give_up": 3000000000, "stream": true,
      "worth": 2.0}}]}}}}"#,
        at.listen, at.mgmt
    );
    write_file(&format!("{name}.json"), &text)
}

/// Starts a router and waits until it takes clients.
fn start(
    name: &str,
    at: &Addresses,
    discovery: SocketAddr,
    arguments: &str,
    environment: &[(&str, String)],
    inherited: Option<&TcpListener>,
) -> Result<i32, String> {
    let config = configure(name, at, discovery)?;
    let mut environment = environment.to_vec();
    environment.push(("PROXY_CONFIG", config.display().to_string()));
    let pid = process::start_router(name, arguments, &environment, inherited)?;
    let until = record::now() + Duration::from_secs(10);
    while http::call(at.mgmt, "GET", "/status").0 != 200 {
        if let Some(status) = process::ended(pid) {
            return Err(format!("{name} ended at its start: {status}"));
        }
        if record::now() > until {
            return Err(format!("{name} is not ready"));
        }
        sleep(10);
    }
    record::line(&format!("{name} takes clients"));
    Ok(pid)
}

fn request(id: u64, class: &'static str, tenant: &'static str, text: &str) -> Request {
    let budget = if class == "run-summary" { "7.500" } else { "12.000" };
    Request { id: format!("{id:016x}"), class, tenant, session: id, budget, text: text.to_owned() }
}

fn ask_in_thread(to: SocketAddr, request: Request) -> JoinHandle<servers::Seen> {
    std::thread::spawn(move || servers::ask(to, &request))
}

/// The ledger's file as in `deploy/`, with a folder of this run and no sink.
fn ledger_file() -> Result<(PathBuf, PathBuf), String> {
    let folder = process::folder().join("usage");
    let text = std::fs::read_to_string("deploy/ledger.toml").map_err(|error| error.to_string())?;
    let text = text.split("[sink]").next().unwrap_or_default();
    let text = text.replace("/var/lib/fawnstream/usage", &folder.display().to_string());
    Ok((write_file("ledger.toml", &text)?, folder))
}

/// A number from the line that `fawnstream-ledger check` prints.
fn checked(folder: &std::path::Path, name: &str) -> Result<u64, String> {
    let text = process::ledger_tool(&["check", &folder.display().to_string()]);
    let value = text.split_whitespace().find_map(|word| word.strip_prefix(&format!("{name}=")));
    value.and_then(|value| value.parse().ok()).ok_or_else(|| format!("the ledger cannot be read: {text}"))
}

/// Many clients ask for an upgrade at once, and some leave before it is their turn.
fn gone(trouble: bool) -> Outcome {
    let (writer, upgrades) = websocket::server("w1");
    let reader = servers::reader("r1", |_| Work::quick());
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let front = http::free_address();
    let text = std::fs::read_to_string("deploy/websocket.toml").map_err(|error| error.to_string())?;
    let file = write_file("websocket.toml", &text.replace("127.0.0.1:8082", &front.to_string()))?;
    let at = Addresses::free();
    start("router", &at, discovery, &format!("--websocket {}", file.display()), &[], None)?;
    sleep(300);
    let mut clients = Vec::new();
    for number in 1..=12 {
        let stream = websocket::ask(front, &number.to_string()).map_err(|error| error.to_string())?;
        record::line(&format!("client {number}: asks for an upgrade"));
        clients.push((number.to_string(), Some(stream)));
    }
    let mut left = Vec::new();
    if trouble {
        sleep(40);
        for (name, stream) in clients.iter_mut().skip(4) {
            drop(stream.take());
            left.push((name.clone(), record::now()));
            record::line(&format!("client {name}: closed its connection"));
        }
    }
    sleep(1_500);
    // The rule's 0.1 s, and the 50 ms by which each time limit is longer on sockets.
    let limit = ms(150);
    let mut late = Vec::new();
    for (name, began) in upgrades.lock().unwrap().iter() {
        if let Some((_, closed)) = left.iter().find(|(left, _)| left == name)
            && *began > *closed + limit
        {
            late.push(format!("client {name} {} ms", (*began - *closed).as_millis()));
        }
    }
    let came = upgrades.lock().unwrap().len();
    if came == 0 {
        return Err("no upgrade came".to_owned());
    }
    let reason = format!(
        "{came} upgrades came to the server; {} began over 150 ms after their client had closed: {}",
        late.len(),
        late.join(", ")
    );
    Ok(Judgement { held: late.is_empty(), reason })
}

/// The router is told to end while a stream is open that lasts longer than its time to stop.
fn stop(trouble: bool) -> Outcome {
    let reader = servers::reader("r1", |_| Work::quick());
    let writer = servers::writer("w1", |message| match message.field("x-call-class") {
        _ if String::from_utf8_lossy(&message.body).contains("long") => {
            Work { first: ms(20), events: 80, pause: ms(100) }
        }
        _ => Work::quick(),
    });
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let (ledger, folder) = ledger_file()?;
    let at = Addresses::free();
    let arguments = format!("--ledger {} --stop-timeout 2", ledger.display());
    let pid = start("router", &at, discovery, &arguments, &[], None)?;
    for id in 1..=3 {
        let seen = servers::ask(at.listen, &request(id, "log-chat", "donaupay", &format!("short {id}")));
        if !seen.whole {
            return Err("a short request was not served".to_owned());
        }
    }
    let long = ask_in_thread(at.listen, request(4, "log-chat", "donaupay", "long"));
    sleep(1_000);
    if trouble {
        process::signal(pid, SIGTERM);
        process::wait_end(pid, Duration::from_secs(20))?;
    }
    let seen = long.join().map_err(|_| "a client failed")?;
    let events = seen.body.matches("\"content\"").count();
    sleep(1_000);
    process::record_log("router", &["request id=", "stopp", "ledger"]);
    process::ledger_tool(&["reconcile", &folder.display().to_string()]);
    let entries = checked(&folder, "entries")?;
    let reason = format!(
        "4 requests were taken, 4 answers begun (the last one gave its client {events} events); the ledger has {entries} entries"
    );
    Ok(Judgement { held: entries == 4, reason })
}

/// One customer's traffic jumps; another customer, within its share, asks some of the same things once each.
fn share(trouble: bool) -> Outcome {
    let reader = servers::reader("r1", |_| Work::quick());
    let writer = servers::writer("w1", |_| Work::quick());
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let (ledger, folder) = ledger_file()?;
    let front = http::free_address();
    let openai = write_file(
        "openai.toml",
        &format!(
            "listen = \"{front}\"\n[[model]]\nname = \"run-summary\"\nclass = \"run-summary\"\ndeadline_s = 7.5\n\
             max_tokens = 800\n[[key]]\nenv = \"KEY_DONAUPAY\"\ntenant = \"donaupay\"\n[[key]]\nenv = \"KEY_INNSOFT\"\n\
             tenant = \"innsoft\"\n"
        ),
    )?;
    let at = Addresses::free();
    let arguments = format!("--openai {} --ledger {}", openai.display(), ledger.display());
    let keys = [("KEY_DONAUPAY", "key-donaupay".to_owned()), ("KEY_INNSOFT", "key-innsoft".to_owned())];
    start("router", &at, discovery, &arguments, &keys, None)?;
    let ask = move |tenant: &'static str, text: String| {
        std::thread::spawn(move || {
            let body = format!(
                "{{\"model\":\"run-summary\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
            );
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-{tenant}\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let seen = servers::exchange(front, &head);
            record::line(&format!("{tenant} asked `{text}`: status={} whole={}", seen.status, seen.whole));
            seen
        })
    };
    let mut asked = Vec::new();
    // 15 a second for 4 s: 2.4 times what this customer usually has at one of two routers. Without it only the last six.
    let calls = if trouble { 60 } else { 6 };
    for number in 0..calls {
        let left = calls - number;
        let text =
            if left <= 6 { format!("common question {left}") } else { format!("own question {number}") };
        asked.push(ask("donaupay", text));
        sleep(if trouble { 66 } else { 300 });
    }
    sleep(500);
    // One in 1.2 s; its share at this router is one a second.
    for number in 1..=6 {
        asked.push(ask("innsoft", format!("common question {number}")));
        sleep(1_200);
    }
    for thread in asked {
        thread.join().map_err(|_| "a client failed")?;
    }
    sleep(1_000);
    let text = process::ledger_tool(&["reconcile", &folder.display().to_string(), "--json"]);
    let count = |tenant: &str, part: &str| -> u64 {
        let lines = text.lines().filter(|line| line.contains(&format!("\"tenant\":\"{tenant}\"")));
        let numbers = lines.filter_map(|line| {
            let rest = line.split(&format!("\"{part}\":")).nth(1)?;
            let rest = rest.split("\"requests\":").nth(1)?;
            rest.split(|sign: char| !sign.is_ascii_digit()).next()?.parse::<u64>().ok()
        });
        numbers.sum()
    };
    let (within, beyond) = (count("innsoft", "within"), count("innsoft", "beyond"));
    if within + beyond != 6 {
        return Err(format!("innsoft has {within} + {beyond} requests in the ledger, not 6"));
    }
    let reason = format!(
        "innsoft sent 6 requests, one in 1.2 s, within its share of one a second; billed within {within}, beyond {beyond}"
    );
    Ok(Judgement { held: beyond == 0, reason })
}

/// A socket for clients that several processes inherit, as the platform holds it.
fn shared_socket() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok((listener, address))
}

/// A new version is started beside the old one, which has an answer under way that takes most of its time to stop.
fn upgrade(trouble: bool) -> Outcome {
    let reader = servers::reader("r1", |_| Work::quick());
    let writer =
        servers::writer("w1", |message| match String::from_utf8_lossy(&message.body).contains("long") {
            true => Work { first: ms(20), events: 640, pause: ms(100) },
            false => Work::quick(),
        });
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let (ledger, folder) = ledger_file()?;
    let (socket, listen) = shared_socket()?;
    let arguments = format!("--ledger {}", ledger.display());
    let old_at = Addresses { listen, mgmt: http::free_address() };
    let old = start("old", &old_at, discovery, &arguments, &[], Some(&socket))?;
    let mut served = 0;
    let mut ask_three = |first: u64| {
        for id in first..first + 3 {
            let seen = servers::ask(listen, &request(id, "log-chat", "donaupay", &format!("short {id}")));
            served += u64::from(seen.whole);
        }
    };
    ask_three(1);
    let long = ask_in_thread(listen, request(100, "run-summary", "donaupay", "long"));
    sleep(300);
    let mut new = None;
    if trouble {
        let new_at = Addresses { listen, mgmt: http::free_address() };
        new = Some((start("new", &new_at, discovery, &arguments, &[], Some(&socket))?, new_at.mgmt));
        sleep(4_500);
        process::signal(old, SIGTERM);
    } else {
        sleep(5_000);
    }
    sleep(3_000);
    ask_three(11);
    let seen = long.join().map_err(|_| "a client failed")?;
    served += u64::from(seen.whole);
    if trouble {
        process::wait_end(old, Duration::from_secs(20))?;
    }
    sleep(2_000);
    let mut ask_three = |first: u64| {
        for id in first..first + 3 {
            let seen = servers::ask(listen, &request(id, "log-chat", "donaupay", &format!("short {id}")));
            served += u64::from(seen.whole);
        }
    };
    ask_three(21);
    sleep(2_000);
    if let Some((_, mgmt)) = new {
        let (_, figures) = http::call(mgmt, "GET", "/status/metrics");
        for line in figures.lines().filter(|line| line.starts_with("router_ledger")) {
            record::line(&format!("figures of new: {line}"));
        }
        process::record_log("new", &["ledger", "stopp"]);
        process::record_log("old", &["ledger", "stopp", "handover"]);
    }
    process::ledger_tool(&["reconcile", &folder.display().to_string()]);
    let entries = checked(&folder, "entries")?;
    let reason = format!("{served} requests were served; the ledger has {entries} entries");
    if served != 10 {
        return Err(reason);
    }
    Ok(Judgement { held: entries == served, reason })
}

/// A stream is handed over to a new version while a bad client has used its id for a request of its own there.
fn twice(trouble: bool) -> Outcome {
    // The second read of one id takes long: the reader is busy.
    let reads = std::sync::atomic::AtomicUsize::new(0);
    let reader =
        servers::reader("r1", move |_| match reads.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
            0 => Work::quick(),
            _ => Work { first: ms(5_000), ..Work::quick() },
        });
    let writer =
        servers::writer("w1", |message| match String::from_utf8_lossy(&message.body).contains("victim") {
            true => Work { first: ms(20), events: 100, pause: ms(100) },
            false => Work::quick(),
        });
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let (socket, listen) = shared_socket()?;
    let shared = process::folder().join("tmp");
    std::fs::create_dir_all(&shared).map_err(|error| error.to_string())?;
    let environment = [("TMPDIR", shared.display().to_string())];
    let old_at = Addresses { listen, mgmt: http::free_address() };
    let old = start("old", &old_at, discovery, "", &environment, Some(&socket))?;
    let victim = ask_in_thread(listen, request(7, "log-chat", "donaupay", "victim"));
    sleep(500);
    let new_at = Addresses { listen, mgmt: http::free_address() };
    start("new", &new_at, discovery, "", &environment, Some(&socket))?;
    process::signal(old, SIGTERM);
    sleep(700);
    let bad = trouble.then(|| ask_in_thread(listen, request(7, "run-summary", "innsoft", "bad client")));
    let seen = victim.join().map_err(|_| "a client failed")?;
    process::wait_end(old, Duration::from_secs(20))?;
    if let Some(bad) = bad {
        let _ = bad.join();
    }
    process::record_log("old", &["request id=", "handover", "outcome"]);
    process::record_log("new", &["request id=", "handover", "outcome", "peer=server"]);
    let events = seen.body.matches("\"content\"").count();
    let reason =
        format!("the client's answer: status={} events={events} of 100 whole={}", seen.status, seen.whole);
    Ok(Judgement { held: seen.status == 200 && seen.whole && events == 100, reason })
}

/// Clients ask for WebSocket upgrades while the old of two processes is held up for a moment and told to end.
fn queue(trouble: bool) -> Outcome {
    let (writer, _) = websocket::server("w1");
    let reader = servers::reader("r1", |_| Work::quick());
    let discovery = servers::discovery(vec![
        servers::member("r1", reader, "prefill"),
        servers::member("w1", writer, "decode"),
    ]);
    let front = http::free_address();
    let text = std::fs::read_to_string("deploy/websocket.toml").map_err(|error| error.to_string())?;
    let file = write_file("websocket.toml", &text.replace("127.0.0.1:8082", &front.to_string()))?;
    let arguments = format!("--websocket {}", file.display());
    let (socket, listen) = shared_socket()?;
    let old_at = Addresses { listen, mgmt: http::free_address() };
    let old = start("old", &old_at, discovery, &arguments, &[], Some(&socket))?;
    let new_at = Addresses { listen, mgmt: http::free_address() };
    start("new", &new_at, discovery, &arguments, &[], Some(&socket))?;
    sleep(500);
    let mut clients = Vec::new();
    for thread in 0..8 {
        clients.push(std::thread::spawn(move || {
            let mut streams = Vec::new();
            for number in 0..40 {
                if let Ok(stream) = websocket::ask(front, &format!("{thread}-{number}")) {
                    streams.push(stream);
                }
                sleep(5);
            }
            streams
        }));
    }
    sleep(60);
    if trouble {
        // Held up for less than the 0.15 s that the page names.
        process::signal(old, SIGSTOP);
        process::signal(old, SIGTERM);
        sleep(120);
        process::signal(old, SIGCONT);
    }
    let mut unanswered = 0;
    let mut asked = 0;
    for thread in clients {
        for mut stream in thread.join().map_err(|_| "a client failed")? {
            asked += 1;
            let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
            let mut byte = [0];
            let result = std::io::Read::read(&mut stream, &mut byte);
            if !matches!(result, Ok(1)) {
                unanswered += 1;
                record::line(&format!("client: connection ended without an answer: {result:?}"));
            }
        }
    }
    let reason = format!("{unanswered} of {asked} upgrades that were written whole got no answer");
    Ok(Judgement { held: unanswered == 0, reason })
}

/// Two servers begin to drain, one right after the other, and the watch at etcd breaks behind the first one's event.
fn etcd(trouble: bool) -> Outcome {
    let attempts = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = attempts.clone();
    let reader = servers::reader("r1", |_| Work::quick());
    let writer = |name: &'static str| {
        let seen = seen.clone();
        servers::writer(name, move |_| {
            seen.lock().unwrap().push((name, record::now()));
            Work::quick()
        })
    };
    let (w1, w2, w3) = (writer("w1"), writer("w2"), writer("w3"));
    let etcd = Etcd::start();
    let entry = |id: &str, address: SocketAddr, flavor: &str, phase: &str| {
        let value = servers::member(id, address, flavor).replace("\"active\"", &format!("\"{phase}\""));
        (format!("/fawnstream/servers/{id}"), value)
    };
    etcd.put(&[
        entry("r1", reader, "prefill", "active"),
        entry("w1", w1, "decode", "active"),
        entry("w2", w2, "decode", "active"),
        entry("w3", w3, "decode", "active"),
    ]);
    let text = std::fs::read_to_string("deploy/etcd.toml").map_err(|error| error.to_string())?;
    let file = write_file("etcd.toml", &text.replace("127.0.0.1:2379", &etcd.address.to_string()))?;
    let at = Addresses::free();
    start("router", &at, etcd.address, &format!("--etcd {}", file.display()), &[], None)?;
    sleep(1_000);
    let listen = at.listen;
    let ask =
        move |id: u64| ask_in_thread(listen, request(id, "log-chat", "donaupay", &format!("question {id}")));
    let mut clients = Vec::new();
    for id in 1..=20 {
        clients.push(ask(id));
        sleep(50);
    }
    if trouble {
        etcd.break_behind(1);
    }
    etcd.put(&[entry("w1", w1, "decode", "leaving"), entry("w2", w2, "decode", "leaving")]);
    let drained = record::now();
    for id in 101..=240 {
        clients.push(ask(id));
        sleep(100);
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    process::record_log("router", &["peer=etcd", "list drains"]);
    // Told 6 s after etcd had it at the latest; then `drain_grace` of the settings, and 50 ms.
    let limit = drained + ms(6_000 + 500 + 50);
    let attempts = attempts.lock().unwrap();
    let after = |name: &str| attempts.iter().filter(|(at, began)| *at == name && *began > limit).count();
    let before = attempts.iter().filter(|(at, began)| *at == "w2" && *began < drained).count();
    if before == 0 {
        return Err("w2 got nothing before its drain".to_owned());
    }
    let (first, second) = (after("w1"), after("w2"));
    let reason = format!(
        "answers begun over 6.55 s after etcd had the drains of w1 and w2: w1 {first}, w2 {second}, w3 {}",
        after("w3")
    );
    Ok(Judgement { held: first + second == 0, reason })
}

/// A long-lived connection whose class may not be repeated is open at a server that begins to drain.
fn again(trouble: bool) -> Outcome {
    let (w1, first) = websocket::server("w1");
    let (w2, second) = websocket::server("w2");
    let reader = servers::reader("r1", |_| Work::quick());
    let members = [
        servers::member("r1", reader, "prefill"),
        servers::member("w1", w1, "decode"),
        servers::member("w2", w2, "decode"),
    ];
    let discovery = servers::Discovery::start(members.to_vec());
    let front = http::free_address();
    let text = std::fs::read_to_string("deploy/websocket.toml").map_err(|error| error.to_string())?;
    let text = text.replace("127.0.0.1:8082", &front.to_string());
    let text = format!("{text}\n[[path]]\npath = \"/v1/book\"\nclass = \"book-device\"\n");
    let file = write_file("websocket.toml", &text)?;
    let at = Addresses::free();
    start("router", &at, discovery.address, &format!("--websocket {}", file.display()), &[], None)?;
    sleep(300);
    let mut streams = Vec::new();
    for number in 1..=4 {
        let stream = websocket::ask_path(front, &number.to_string(), &format!("/v1/book?device={number}"))
            .map_err(|error| error.to_string())?;
        record::line(&format!("client {number}: asks for device {number}"));
        streams.push(stream);
        sleep(100);
    }
    sleep(500);
    let before = (first.lock().unwrap().len(), second.lock().unwrap().len());
    if before.0 + before.1 != 4 || before.0 == 0 {
        return Err(format!("{} and {} upgrades at first", before.0, before.1));
    }
    if trouble {
        discovery.tell(&[members[1].replace("active", "leaving")]);
    }
    sleep(5_500);
    for (number, stream) in streams.iter_mut().enumerate() {
        let _ = stream.set_read_timeout(Some(ms(100)));
        let mut bytes = [0; 1024];
        let mut seen = Vec::new();
        while let Ok(size @ 1..) = std::io::Read::read(stream, &mut bytes) {
            seen.extend_from_slice(&bytes[..size]);
        }
        let head = seen.windows(4).position(|end| end == b"\r\n\r\n").map_or(0, |at| at + 4);
        record::line(&format!(
            "client {}: got {:?}, then {} bytes",
            number + 1,
            String::from_utf8_lossy(&seen[..head.min(12)]),
            seen.len() - head
        ));
    }
    process::record_log("router", &["websocket"]);
    let mut twice = Vec::new();
    let all: Vec<String> = first
        .lock()
        .unwrap()
        .iter()
        .chain(second.lock().unwrap().iter())
        .map(|(name, _)| name.clone())
        .collect();
    for number in 1..=4 {
        let count = all.iter().filter(|name| **name == number.to_string()).count();
        if count > 1 {
            twice.push(format!("client {number}: {count} times"));
        }
    }
    let reason = format!(
        "upgrades of a class that must never run twice, taken by more than one server: {}",
        twice.join(", ")
    );
    Ok(Judgement { held: twice.is_empty(), reason })
}
