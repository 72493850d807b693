//! The cases. Each returns what it saw of the rule being broken; nothing if it held.

use crate::etcd::Etcd;
use crate::http::{self, Ahead};
use crate::json::Json;
use crate::websocket;
use crate::world::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn fcntl(fd: i32, command: i32, ...) -> i32;
}

/// Lets processes that are started inherit the socket; returns its address and the descriptor's number, which is 3 where
/// nobody else has opened that.
pub fn inherit(listener: &TcpListener) -> (SocketAddr, String) {
    const F_SETFD: i32 = 2;
    let number = listener.as_raw_fd();
    // SAFETY: it changes a flag of a descriptor that this program owns.
    assert_eq!(unsafe { fcntl(number, F_SETFD, 0) }, 0);
    (listener.local_addr().expect("an address"), number.to_string())
}

pub const QUOTAS: [f64; 4] = [14.0, 4.0, 2.0, 2.0];

/// A server that takes WebSocket upgrades. It has nothing to say; it answers a close, and ends when its peer does.
pub fn websocket_server(
    world: &World,
    name: &str,
    on_upgrade: impl Fn(&http::Message) + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let (listener, address) = listen();
    let (world, name) = (world.clone(), name.to_owned());
    serve(listener, move |mut stream| {
        let mut ahead = Ahead::default();
        let Ok(Some(request)) = http::read_head(&mut stream, &mut ahead) else { return };
        // Recorded first, since the record takes time.
        on_upgrade(&request);
        let client = request.field("x-client").unwrap_or("-").to_owned();
        let last_id = request.field("last-event-id");
        world.note(&format!(
            "{name}: upgrade for client {client}: {} Last-Event-ID={last_id:?}",
            request.first
        ));
        let answer = websocket::accept(request.field("sec-websocket-key").unwrap_or(""));
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let mut piece = [0; 256];
        while let Ok(size) = stream.read(&mut piece) {
            if size == 0 {
                return;
            }
            if piece[0] == 0x88 {
                world.note(&format!("{name}: client {client} is closed"));
                let _ = stream.write_all(&websocket::SERVER_CLOSE);
                return;
            }
        }
    });
    address
}

/// The WebSocket listener's settings file. The second path's class may not be repeated.
pub fn websocket_file(listen: SocketAddr) -> String {
    format!(
        "listen = \"{listen}\"\nkinds = [\"decode\"]\nmost_at_server = 400\nmost_of_tenant = 200\nload_tokens = 250\nnew_per_s = 80\n[resume]\nid = \"id\"\nack = \"ack\"\n[[path]]\npath = \"/v1/follow\"\nclass = \"log-chat\"\n[[path]]\npath = \"/v1/book\"\nclass = \"book-device\"\n"
    )
}

/// Clients that close their connections before their upgrade was sent to a server.
pub fn gone_clients(world: &World) -> Vec<String> {
    const CLIENTS: usize = 30;
    let arrivals = Arc::<Mutex<BTreeMap<usize, Instant>>>::default();
    let seen = arrivals.clone();
    let server = websocket_server(world, "server", move |request| {
        let client: usize = request.field("x-client").and_then(|number| number.parse().ok()).unwrap_or(0);
        seen.lock().unwrap().insert(client, request.whole_at);
    });
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", server, "decode", "active"),
    ]);
    let (address, mgmt, sockets) = (free_address(), free_address(), free_address());
    let config = world.write("config.json", &configuration(address, mgmt, discovery.address, QUOTAS));
    let file = world.write("websocket.toml", &websocket_file(sockets));
    let config = [("PROXY_CONFIG", config.display().to_string())];
    let mut router = world.router("n1", &format!("--websocket {}", file.display()), &config);
    router.wait_yes(address, "/healthz");
    sleep_ms(1_000);
    let closes = Arc::<Mutex<BTreeMap<usize, Instant>>>::default();
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (world, closes) = (world.clone(), closes.clone());
            std::thread::spawn(move || {
                let Ok(mut stream) = http::connect(sockets) else { return };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                if stream.write_all(websocket::upgrade("/v1/follow", client).as_bytes()).is_err() {
                    return;
                }
                if world.trouble {
                    sleep_ms(30);
                } else {
                    let head = http::read_head(&mut stream, &mut Ahead::default());
                    let first = head.ok().flatten().map(|head| head.first);
                    world.note(&format!("client {client}: {first:?}"));
                    let _ = stream.write_all(&websocket::CLIENT_CLOSE);
                    let _ = stream.read(&mut [0; 64]);
                }
                drop(stream);
                closes.lock().unwrap().insert(client, Instant::now());
                world.note(&format!("client {client}: closed its connection"));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(2_500);
    router.note_log(&["websocket"]);
    let (arrivals, closes) = (arrivals.lock().unwrap().clone(), closes.lock().unwrap().clone());
    assert_eq!(closes.len(), CLIENTS, "a client could not connect");
    // 0.1 s by the page, and its 50 ms for every time limit on sockets.
    let bound = Duration::from_millis(150);
    let late = arrivals.iter().filter_map(|(client, at)| {
        let after = at.checked_duration_since(*closes.get(client)?)?;
        (after > bound).then(|| {
            format!("client {client} had closed {} ms before its upgrade reached a server", after.as_millis())
        })
    });
    late.collect()
}

/// Waits until the sink has an entry for each of these ids, or for a time.
fn wait_entries(sink: &Sink, ids: &[String], limit: Duration) -> Vec<Json> {
    let until = Instant::now() + limit;
    loop {
        let entries = sink.entries();
        let has = |id: &String| entries.iter().any(|entry| entry.get("label").text() == id);
        if ids.iter().all(has) || Instant::now() > until {
            return entries;
        }
        sleep_ms(50);
    }
}

/// What is wrong with the entries of answers that clients got whole.
fn check_bills(entries: &[Json], asks: &[(String, &str, u64)]) -> Vec<String> {
    let mut broken = Vec::new();
    for (id, tenant, written) in asks {
        let found: Vec<&Json> = entries.iter().filter(|entry| entry.get("label").text() == id).collect();
        match found.as_slice() {
            [] => broken.push(format!("{id}, an answer that {tenant} got whole, is in no entry")),
            [entry] => {
                let (customer, tokens) = (entry.get("tenant").text(), entry.get("tokens"));
                if customer != *tenant {
                    broken
                        .push(format!("{id}, an answer that {tenant} got whole, is billed to {customer:?}"));
                }
                if tokens.get("written").number() != *written as f64
                    || tokens.get("prompt").number() != PROMPT_TOKENS as f64
                {
                    broken
                        .push(format!("{id}: its server wrote {written} tokens, its entry says {tokens:?}"));
                }
            }
            _ => broken.push(format!("{id} has {} entries", found.len())),
        }
    }
    broken
}

/// Two new versions in a row, while streams are open, with a usage ledger.
pub fn two_upgrades(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let (writer, _) = writer(world, 70);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let sink = Sink::start(world);
    let folder = world.path("usage");
    let ledger = world.write("ledger.toml", &ledger_file(&folder, Some(sink.address), 3600, 120, 60));
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let start = |name: &str| {
        let mgmt = free_address();
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
        ];
        let mut router = world.router(name, &format!("--ledger {}", ledger.display()), &variables);
        router.wait_yes(mgmt, "/status");
        router
    };
    let mut running = start("first");
    let tokens = 300;
    let tenants = ["donaupay", "donaupay", "murtal-mobil", "innsoft"];
    let asks: Vec<(String, &str, u64)> =
        (1..=4).zip(tenants).map(|(n, tenant)| (format!("a{n}"), tenant, tokens)).collect();
    let clients: Vec<_> = asks
        .iter()
        .enumerate()
        .map(|(n, (id, tenant, tokens))| {
            let ask = Ask {
                id: id.clone(),
                class: "run-summary",
                tenant,
                session: 100 + n as u64,
                budget: 7.5,
                body: format!("{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"run {n}\"}}]}}"),
                max_out: *tokens,
            };
            let world = world.clone();
            std::thread::spawn(move || ask.send(&world, address))
        })
        .collect();
    sleep_ms(1_000);
    let upgrades = match std::env::var("UPGRADES") {
        Ok(count) => count.parse().expect("UPGRADES is a number"),
        Err(_) if world.trouble => 2,
        Err(_) => 0,
    };
    for upgrade in 1..=upgrades {
        let next = start(&format!("upgrade-{upgrade}"));
        running.signal(SIGTERM, "SIGTERM");
        // The longest deadline, which counts as 3 s where it is longer, and 0.7 s.
        if running.wait_end(Duration::from_millis(3_700)).is_none() {
            running.signal(SIGKILL, "SIGKILL");
        }
        running.note_log(&["handed-over", "handover", "ledger"]);
        running = next;
        sleep_ms(500);
    }
    let whole: Vec<(u16, bool)> =
        clients.into_iter().map(|client| client.join().unwrap_or((0, false))).collect();
    let served: Vec<(String, &str, u64)> = asks
        .into_iter()
        .zip(&whole)
        .filter(|(_, whole)| **whole == (200, true))
        .map(|(ask, _)| ask)
        .collect();
    let ids: Vec<String> = served.iter().map(|(id, _, _)| id.clone()).collect();
    let entries = wait_entries(&sink, &ids, Duration::from_secs(8));
    running.note_log(&["handed-over", "handover", "ledger", "request id="]);
    world.run("fawnstream-ledger", &["reconcile", &folder.display().to_string(), "--json"]);
    assert!(!served.is_empty(), "no answer came whole");
    check_bills(&entries, &served)
}

/// A stop in order while streams are open, with a usage ledger.
pub fn orderly_stop(world: &World) -> Vec<String> {
    let (writer, _) = writer(world, 70);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let sink = Sink::start(world);
    let folder = world.path("usage");
    let ledger = world.write("ledger.toml", &ledger_file(&folder, Some(sink.address), 3600, 120, 60));
    let (address, mgmt) = (free_address(), free_address());
    let config = world.write("config.json", &configuration(address, mgmt, discovery.address, QUOTAS));
    let variables = [("PROXY_CONFIG", config.display().to_string())];
    let arguments = format!("--stop-timeout 3 --ledger {}", ledger.display());
    let mut router = world.router("before", &arguments, &variables);
    router.wait_yes(address, "/healthz");
    let asks = [("short-1", 10), ("long-1", 250), ("long-2", 250)];
    let clients: Vec<_> = asks
        .into_iter()
        .zip(1..)
        .map(|((id, tokens), session)| {
            let ask = Ask {
                id: id.to_owned(),
                class: "run-summary",
                tenant: "donaupay",
                session,
                budget: 7.5,
                body: format!("{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"run {session}\"}}]}}"),
                max_out: tokens,
            };
            let world = world.clone();
            std::thread::spawn(move || ask.send(&world, address))
        })
        .collect();
    sleep_ms(1_500);
    let results = if world.trouble {
        router.signal(SIGTERM, "SIGTERM");
        let code = router.wait_end(Duration::from_secs(30));
        assert_eq!(code, Some(0), "the router did not end in order");
        clients.into_iter().map(|client| client.join().unwrap_or((0, false))).collect::<Vec<_>>()
    } else {
        let results =
            clients.into_iter().map(|client| client.join().unwrap_or((0, false))).collect::<Vec<_>>();
        router.signal(SIGTERM, "SIGTERM");
        let code = router.wait_end(Duration::from_secs(30));
        assert_eq!(code, Some(0), "the router did not end in order");
        results
    };
    router.note_log(&["request id=", "ledger", "stopp"]);
    // The next process sends what the first one had not sent yet.
    let mut next = world.router("after", &arguments, &variables);
    next.wait_yes(address, "/healthz");
    let ids: Vec<String> = asks.iter().map(|(id, _)| (*id).to_owned()).collect();
    let entries = wait_entries(&sink, &ids, Duration::from_secs(4));
    world.run("fawnstream-ledger", &["check", &folder.display().to_string()]);
    world.run("fawnstream-ledger", &["reconcile", &folder.display().to_string(), "--json"]);
    let began = ids.iter().zip(results).filter(|(_, (status, _))| *status == 200);
    began
        .filter(|(id, _)| !entries.iter().any(|entry| entry.get("label").text() == id.as_str()))
        .map(|(id, (_, whole))| {
            format!(
                "{id}: its client got {} of its answer, and no entry names it",
                if whole { "all" } else { "part" }
            )
        })
        .collect()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The totals of a period as `fawnstream-ledger reconcile` prints them.
fn period_total(world: &World, folder: &str, period: u64) -> Vec<String> {
    let text = world.run("fawnstream-ledger", &["reconcile", folder, "--join-s", "10", "--json"]);
    let of_period =
        |line: &&str| Json::parse(line).is_some_and(|line| line.get("period").number() == period as f64);
    text.lines().filter(of_period).map(str::to_owned).collect()
}

/// A retry whose answer ends after its first try's period has closed.
pub fn closed_period(world: &World) -> Vec<String> {
    const PERIOD_MS: u64 = 20_000;
    let (writer, _) = writer(world, 70);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let folder = world.path("usage");
    let ledger = world.write("ledger.toml", &ledger_file(&folder, None, PERIOD_MS / 1_000, 10, 10));
    let folder = folder.display().to_string();
    let (address, mgmt) = (free_address(), free_address());
    let config = world.write("config.json", &configuration(address, mgmt, discovery.address, QUOTAS));
    let variables = [("PROXY_CONFIG", config.display().to_string())];
    let mut router = world.router("n1", &format!("--ledger {}", ledger.display()), &variables);
    router.wait_yes(address, "/healthz");
    let ask = |id: &str| {
        Ask {
        id: id.to_owned(),
        class: "run-summary",
        tenant: "donaupay",
        session: 7,
        budget: 7.5,
        body: "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":180,\"messages\":[{\"role\":\"user\",\"content\":\"why did it fail?\"}]}".to_owned(),
        max_out: 180,
    }
    };
    // 4 s before the end of a period.
    let period = (unix_ms() + 5_000) / PERIOD_MS;
    let end = (period + 1) * PERIOD_MS;
    let wait_until = |at: u64| sleep_ms(at.saturating_sub(unix_ms()));
    wait_until(end - 4_000);
    let first = ask("first-try");
    let retry = if world.trouble {
        let mut stream = http::connect(address).expect("a connection");
        stream.write_all(first.text().as_bytes()).expect("a request");
        world.note("client: sends first-try");
        let mut ahead = Ahead::default();
        let head = http::read_head(&mut stream, &mut ahead).ok().flatten().expect("an answer");
        assert_eq!(head.status(), 200, "the first try was not served");
        wait_until(end - 1_500);
        drop(stream);
        world.note("client: leaves in the middle of its answer");
        wait_until(end + 1_000);
        ask("second-try")
    } else {
        first
    };
    let (client_world, client) = (world.clone(), address);
    let client = std::thread::spawn(move || retry.send(&client_world, client));
    // The period closes 10 s after its end.
    wait_until(end + 11_500);
    let check = world.run("fawnstream-ledger", &["check", &folder]);
    assert!(check.contains(&format!("closed={period} ")), "period {period} is not closed: {check}");
    let at_close = period_total(world, &folder, period);
    assert_eq!(client.join().unwrap_or((0, false)), (200, true), "the answer did not come whole");
    wait_until(end + 16_000);
    let later = period_total(world, &folder, period);
    if at_close == later {
        return Vec::new();
    }
    vec![format!("period {period} was closed with {at_close:?}; later its account is {later:?}")]
}

/// Two customers that ask the same, of whom one is beyond its share.
pub fn two_customers(world: &World) -> Vec<String> {
    let (writer, _) = writer(world, 5);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let sink = Sink::start(world);
    let folder = world.path("usage");
    let ledger = world.write("ledger.toml", &ledger_file(&folder, Some(sink.address), 3600, 120, 60));
    let (address, mgmt, front) = (free_address(), free_address(), free_address());
    let config =
        world.write("config.json", &configuration(address, mgmt, discovery.address, [2.0, 2.0, 2.0, 2.0]));
    let file = world.write(
        "openai.toml",
        &format!(
            "listen = \"{front}\"\n[[model]]\nname = \"log-chat\"\nclass = \"log-chat\"\ndeadline_s = 12.0\nmax_tokens = 400\n[[key]]\nenv = \"KEY_DONAUPAY\"\ntenant = \"donaupay\"\n[[key]]\nenv = \"KEY_MURTAL\"\ntenant = \"murtal-mobil\"\n"
        ),
    );
    let variables = [
        ("PROXY_CONFIG", config.display().to_string()),
        ("KEY_DONAUPAY", "sk-donaupay".to_owned()),
        ("KEY_MURTAL", "sk-murtal".to_owned()),
    ];
    let arguments = format!("--ledger {} --openai {}", ledger.display(), file.display());
    let mut router = world.router("n1", &arguments, &variables);
    router.wait_yes(front, "/healthz");
    let ask = |key: &str, question: &str| {
        let body = format!(
            "{{\"model\":\"log-chat\",\"stream\":true,\"max_tokens\":10,\"messages\":[{{\"role\":\"user\",\"content\":\"{question}\"}}]}}"
        );
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        world.note(&format!("client: {key} asks {question:?}"));
        let answer = http::call(front, &request).expect("an answer");
        world.note(&format!("client: {key} got {}", answer.status()));
        answer.status()
    };
    let questions = [17, 23, 42].map(|error| format!("What does error {error} mean?"));
    // 16 requests a second; all customers' usual traffic is 8.
    const PAUSE_MS: u64 = 60;
    if world.trouble {
        for number in 0..40 {
            ask("sk-donaupay", &format!("Summarise log {number}."));
            sleep_ms(PAUSE_MS);
        }
    }
    for question in &questions {
        ask("sk-donaupay", question);
        sleep_ms(PAUSE_MS);
    }
    sleep_ms(1_000);
    for question in &questions {
        assert_eq!(ask("sk-murtal", question), 200, "the second customer was not served");
    }
    sleep_ms(2_000);
    for entry in sink.entries() {
        world.note(&format!("sink has {entry:?}"));
    }
    let account = world.run("fawnstream-ledger", &["reconcile", &folder.display().to_string(), "--json"]);
    let lines: Vec<Json> = account.lines().filter_map(Json::parse).collect();
    let of_customer = lines.iter().filter(|line| line.get("tenant").text() == "murtal-mobil");
    let sum = |share: &str| -> f64 {
        of_customer.clone().map(|line| line.get("use").get(share).get("requests").number()).sum()
    };
    let (within, beyond) = (sum("within"), sum("beyond"));
    if (within, beyond) == (3.0, 0.0) {
        return Vec::new();
    }
    vec![format!(
        "murtal-mobil asked 3 times, within its share; its account has {within} within and {beyond} beyond"
    )]
}

/// A new version beside the old one, with the OpenAI-style front.
pub fn upgrade_with_openai(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let (writer, _) = writer(world, 5);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let front = free_address();
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let file = world.write(
        "openai.toml",
        &format!(
            "listen = \"{front}\"\n[[model]]\nname = \"log-chat\"\nclass = \"log-chat\"\ndeadline_s = 12.0\nmax_tokens = 400\n"
        ),
    );
    let start = |name: &str| {
        let mgmt = free_address();
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
        ];
        (world.router(name, &format!("--openai {}", file.display()), &variables), mgmt)
    };
    let (mut old, mgmt) = start("old");
    old.wait_yes(mgmt, "/status");
    if !world.trouble {
        return Vec::new();
    }
    let (mut new, mgmt) = start("new");
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        if let Some(code) = new.ended() {
            new.note_log(&[""]);
            return vec![format!(
                "the new process ended with {code} beside the old one: {}",
                new.log().trim()
            )];
        }
        if http::call(mgmt, "GET /status HTTP/1.1\r\nHost: a\r\n\r\n")
            .is_ok_and(|answer| answer.status() == 200)
        {
            return Vec::new();
        }
        sleep_ms(20);
    }
    vec!["the new process did not take clients within 6 s".to_owned()]
}

/// A watch of etcd that is cut while it catches up.
pub fn etcd_cut(world: &World) -> Vec<String> {
    const PREFIX: &str = "/fawnstream/servers/";
    const REPLACED: usize = 340;
    const DRAINED: usize = 40;
    // Attempts at writers: the server's number and when it was whole.
    let attempts = Arc::<Mutex<Vec<(usize, Instant)>>>::default();
    let server = |number: usize| {
        let (listener, address) = listen();
        let attempts = attempts.clone();
        serve(listener, move |mut stream| {
            let mut ahead = Ahead::default();
            while let Ok(Some(request)) = http::read_message(&mut stream, &mut ahead) {
                if request.method() == "DELETE" {
                    let _ = http::answer(&mut stream, "204 No Content", "");
                    continue;
                }
                // Nobody else's calls are counted.
                if request.method() != "POST"
                    || !request.field("x-call-id").is_some_and(|id| id.starts_with("c"))
                {
                    let _ = http::answer(&mut stream, "404 Not Found", "");
                    continue;
                }
                attempts.lock().unwrap().push((number, request.whole_at));
                let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut answer = head.as_bytes().to_vec();
                answer.extend_from_slice(&http::chunk(event.as_bytes()));
                answer.extend_from_slice(b"0\r\n\r\n");
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        address
    };
    let entry = |address: SocketAddr, kind: &str, phase: &str| {
        Some(format!(
            "{{\"host_port\":\"{address}\",\"locality\":\"room\",\"flavor\":\"{kind}\",\"cell\":0,\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
        ))
    };
    let etcd = Etcd::start(world);
    let key = |id: &str| format!("{PREFIX}{id}");
    for number in 1..=4 {
        etcd.change(&key(&format!("r{number}")), entry(reader(world), "prefill", "active"));
    }
    // Writers 1 to 40 will drain; the others are replaced, each by a new one at its address.
    let drained: Vec<SocketAddr> = (1..=DRAINED).map(server).collect();
    let replaced: Vec<SocketAddr> = (1..=REPLACED).map(|number| server(1_000 + number)).collect();
    for (number, address) in (1..).zip(&drained) {
        etcd.change(&key(&format!("w{number}")), entry(*address, "decode", "active"));
    }
    for (number, address) in (1..).zip(&replaced) {
        etcd.change(&key(&format!("old-{number}")), entry(*address, "decode", "active"));
    }
    let (address, mgmt) = (free_address(), free_address());
    let config =
        world.write("config.json", &configuration(address, mgmt, free_address(), [400.0, 40.0, 20.0, 20.0]));
    let file = world.write("etcd.toml", &format!("endpoint = \"{}\"\nprefix = \"{PREFIX}\"\n", etcd.address));
    let variables = [("PROXY_CONFIG", config.display().to_string())];
    let mut router = world.router("n1", &format!("--etcd {}", file.display()), &variables);
    router.wait_yes(address, "/healthz");
    sleep_ms(1_000);
    // etcd is down for 3 s, in which the release goes on.
    etcd.set_down(true);
    world.note("etcd: down");
    sleep_ms(1_000);
    for (number, address) in (1..).zip(&replaced) {
        etcd.change(&key(&format!("old-{number}")), entry(*address, "decode", "leaving"));
    }
    for (number, address) in (1..).zip(&replaced) {
        etcd.change(&key(&format!("old-{number}")), None);
        etcd.change(&key(&format!("new-{number}")), entry(*address, "decode", "active"));
    }
    for (number, address) in (1..).zip(&drained) {
        etcd.change(&key(&format!("w{number}")), entry(*address, "decode", "leaving"));
    }
    sleep_ms(2_000);
    if world.trouble {
        etcd.cut_next();
    }
    etcd.set_down(false);
    let back = Instant::now();
    world.note("etcd: up again");
    sleep_ms(7_000);
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let world = world.clone();
            std::thread::spawn(move || {
                let served = (0..50).filter(|number| {
                    let ask = Ask {
                        id: format!("c{client}-{number}"),
                        class: "run-summary",
                        tenant: "donaupay",
                        session: 1_000 * client + number,
                        budget: 7.5,
                        body: "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"run\"}]}".to_owned(),
                        max_out: 10,
                    };
                    sleep_ms(50);
                    ask.send(&world, address) == (200, true)
                });
                served.count()
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    world.note(&format!("{served} of 400 were served"));
    router.note_log(&["peer=etcd"]);
    assert!(served > 200, "too few were served: {}", router.log());
    // Told at the latest 6 s after etcd could be reached; 500 ms of grace; 50 ms for each limit on sockets.
    let bound = back + Duration::from_millis(6_000 + 500 + 50);
    let attempts = attempts.lock().unwrap();
    let late = attempts.iter().filter(|(number, at)| *number <= DRAINED && *at > bound).count();
    world.note(&format!("{} attempts at writers, {late} of them at ones that drain", attempts.len()));
    if late == 0 {
        return Vec::new();
    }
    vec![format!(
        "{late} of {} attempts went to writers that etcd had said drain over 6.55 s before",
        attempts.len()
    )]
}

/// A new version beside an old one that has an answer under way for longer than the new one waits for the ledger.
pub fn ledger_wait(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let (writer, _) = writer(world, 80);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let sink = Sink::start(world);
    let folder = world.path("usage");
    let ledger = world.write("ledger.toml", &ledger_file(&folder, Some(sink.address), 3600, 120, 60));
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let start = |name: &str| {
        let mgmt = free_address();
        // A folder of its own for each process: streams stay in the process that began them.
        let own = world.path(&format!("tmp-{name}"));
        std::fs::create_dir_all(&own).expect("a folder");
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
            ("TMPDIR", own.display().to_string()),
        ];
        let mut router = world.router(name, &format!("--ledger {}", ledger.display()), &variables);
        router.wait_yes(mgmt, "/status");
        router
    };
    let ask = |id: &str, class: &'static str, tokens: u64| Ask {
        id: id.to_owned(),
        class,
        tenant: "donaupay",
        session: tokens,
        budget: 7.5,
        body: format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"{id}\"}}]}}"
        ),
        max_out: tokens,
    };
    let mut old = start("old");
    let (long, long_world) = (ask("long", "log-chat", if world.trouble { 800 } else { 100 }), world.clone());
    let long = std::thread::spawn(move || long.send(&long_world, address));
    sleep_ms(500);
    let new = start("new");
    old.signal(SIGTERM, "SIGTERM");
    sleep_ms(1_000);
    let ids: Vec<String> = (1..=5).map(|number| format!("short-{number}")).collect();
    let mut asks = Vec::new();
    for (id, number) in ids.iter().zip(1..) {
        if ask(id, "run-summary", 10 + number).send(world, address) == (200, true) {
            asks.push((id.clone(), "donaupay", 10 + number));
        }
    }
    old.wait_end(Duration::from_secs(80));
    let _ = long.join();
    let entries = wait_entries(&sink, &ids, Duration::from_secs(5));
    new.note_log(&["ledger"]);
    check_bills(&entries, &asks)
}
