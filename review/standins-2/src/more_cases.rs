//! Further cases. Each returns what it saw of the rule being broken; nothing if it held.

use crate::cases::{QUOTAS, inherit, websocket_file, websocket_server};
use crate::http::{self, Ahead};
use crate::websocket;
use crate::world::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A long-lived connection whose class must never run twice, at a server that begins to drain.
pub fn unsafe_upgrade(world: &World) -> Vec<String> {
    const CLIENTS: usize = 4;
    // The servers that took each client's upgrade, in their order.
    let taken = Arc::<Mutex<BTreeMap<String, Vec<&'static str>>>>::default();
    let server = |name: &'static str| {
        let taken = taken.clone();
        websocket_server(world, name, move |request| {
            let client = request.field("x-client").unwrap_or("-").to_owned();
            taken.lock().unwrap().entry(client).or_default().push(name);
        })
    };
    let addresses = [("w1", server("w1")), ("w2", server("w2")), ("w3", server("w3"))];
    let readers = [("r1", reader(world)), ("r2", reader(world))];
    let mut members: Vec<String> =
        readers.iter().map(|(name, address)| member(name, *address, "prefill", "active")).collect();
    members.extend(addresses.iter().map(|(name, address)| member(name, *address, "decode", "active")));
    let discovery = Discovery::start(members);
    let (address, mgmt, sockets) = (free_address(), free_address(), free_address());
    let config = world.write("config.json", &configuration(address, mgmt, discovery.address, QUOTAS));
    let file = world.write("websocket.toml", &websocket_file(sockets));
    let config = [("PROXY_CONFIG", config.display().to_string())];
    let mut router = world.router("n1", &format!("--websocket {}", file.display()), &config);
    router.wait_yes(address, "/healthz");
    sleep_ms(500);
    let mut streams = Vec::new();
    for client in 1..=CLIENTS {
        let mut stream = http::connect(sockets).expect("the router accepts");
        let upgrade = websocket::upgrade(&format!("/v1/book?device={client}"), client);
        stream.write_all(upgrade.as_bytes()).expect("the router reads");
        let mut ahead = Ahead::default();
        let head = http::read_head(&mut stream, &mut ahead).ok().flatten().expect("an answer");
        world.note(&format!("client {client}: {}", head.first));
        assert_eq!(head.status(), 101, "the upgrade was not taken");
        streams.push(stream);
        sleep_ms(100);
    }
    sleep_ms(500);
    let first = taken.lock().unwrap().get("1").map_or("", |servers| servers[0]);
    if world.trouble {
        let (name, address) = addresses.iter().find(|(name, _)| *name == first).expect("its server");
        discovery.tell(world, &[member(name, *address, "decode", "leaving")]);
    }
    sleep_ms(5_500);
    for (stream, client) in streams.iter_mut().zip(1..) {
        let mut piece = [0; 256];
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let end = match stream.read(&mut piece) {
            Ok(0) => "ended".to_owned(),
            Ok(size) => format!("got {:?}", &piece[..size]),
            Err(_) => "is open".to_owned(),
        };
        world.note(&format!("client {client}: its connection {end}"));
    }
    router.note_log(&["websocket", "list drains"]);
    let taken = taken.lock().unwrap();
    let twice = taken.iter().filter(|(_, servers)| servers.len() > 1);
    twice
        .map(|(client, servers)| {
            format!("the upgrade of client {client} was taken by {}", servers.join(" and "))
        })
        .collect()
}

/// A new version takes over a stream whose id a bad client has used there meanwhile.
pub fn id_in_use(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let (writer, _) = writer(world, 70);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let start = |name: &str| {
        let mgmt = free_address();
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
        ];
        let mut router = world.router(name, "", &variables);
        router.wait_yes(mgmt, "/status");
        router
    };
    let send = |tenant, class, session, tokens, more: &str| {
        let ask = Ask {
            id: "9b1f03aa5c7e2d41".to_owned(),
            class,
            tenant,
            session,
            budget: 7.5,
            body: format!(
                "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{tokens},{more}\"messages\":[{{\"role\":\"user\",\"content\":\"run\"}}]}}"
            ),
            max_out: tokens,
        };
        let world = world.clone();
        std::thread::spawn(move || ask.send(&world, address))
    };
    let mut old = start("old");
    let usual = send("donaupay", "run-summary", 1, 150, "");
    sleep_ms(1_000);
    let new = start("new");
    old.signal(SIGTERM, "SIGTERM");
    sleep_ms(700);
    // The old process accepts nothing any more, so the new one gets it; its reader is busy for 4 s.
    let bad = world.trouble.then(|| send("innsoft", "run-summary", 2, 10, "\"read_ms\":4000,"));
    // The longest deadline, which counts as 3 s where it is longer, and 0.7 s, both from SIGTERM.
    if old.wait_end(Duration::from_millis(3_000)).is_none() {
        old.signal(SIGKILL, "SIGKILL");
    }
    let (status, whole) = usual.join().unwrap_or((0, false));
    if let Some(bad) = bad {
        let _ = bad.join();
    }
    old.note_log(&["request id=", "handover"]);
    new.note_log(&["request id=", "handover", "peer=server"]);
    match (status, whole) {
        (200, true) => Vec::new(),
        _ => vec![format!("the usual client's answer was cut while its writer wrote (status {status})")],
    }
}

/// The old process of an upgrade is held up for a moment as it is told to end, while clients ask for upgrades.
pub fn held_at_stop(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let server = websocket_server(world, "w1", |_| {});
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", server, "decode", "active"),
    ]);
    let sockets = free_address();
    let file = world.write("websocket.toml", &websocket_file(sockets));
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let start = |name: &str| {
        let mgmt = free_address();
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
        ];
        let mut router = world.router(name, &format!("--websocket {}", file.display()), &variables);
        router.wait_yes(mgmt, "/status");
        router
    };
    let old = start("old");
    let _new = start("new");
    sleep_ms(500);
    let clients: Vec<_> = (0..8)
        .map(|group| {
            std::thread::spawn(move || {
                let mut streams = Vec::new();
                for number in 0..40 {
                    let Ok(mut stream) = http::connect(sockets) else { continue };
                    let upgrade = websocket::upgrade("/v1/follow", group * 100 + number);
                    if stream.write_all(upgrade.as_bytes()).is_ok() {
                        streams.push(stream);
                    }
                    sleep_ms(5);
                }
                streams
            })
        })
        .collect();
    sleep_ms(60);
    if world.trouble {
        // Held up for less than the 0.15 s that the page names.
        old.signal(SIGSTOP, "SIGSTOP");
        old.signal(SIGTERM, "SIGTERM");
        sleep_ms(120);
        old.signal(SIGCONT, "SIGCONT");
    }
    let (mut asked, mut unanswered) = (0, 0);
    for client in clients {
        for mut stream in client.join().expect("a client") {
            asked += 1;
            let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
            unanswered += u32::from(!matches!(stream.read(&mut [0]), Ok(1)));
        }
    }
    world.note(&format!("{asked} upgrades were written whole, {unanswered} of them got no answer"));
    match unanswered {
        0 => Vec::new(),
        _ => vec![format!("{unanswered} of {asked} upgrades that were written whole got no answer")],
    }
}

/// One of the two processes of an upgrade is held up for a moment while streams are handed over. `HOLD=old` or `new`
/// says which, `AT` when, in milliseconds behind SIGTERM.
pub fn held_handover(world: &World, inherited: TcpListener) -> Vec<String> {
    let (address, descriptor) = inherit(&inherited);
    let (writer, _) = writer(world, 23);
    let discovery = Discovery::start(vec![
        member("r1", reader(world), "prefill", "active"),
        member("w1", writer, "decode", "active"),
    ]);
    let config =
        world.write("config.json", &configuration(address, free_address(), discovery.address, QUOTAS));
    let start = |name: &str| {
        let mgmt = free_address();
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_MGMT", mgmt.to_string()),
            ("PROXY_FD", descriptor.clone()),
        ];
        let mut router = world.router(name, "", &variables);
        router.wait_yes(mgmt, "/status");
        router
    };
    let mut old = start("old");
    let clients: Vec<_> = (0..30)
        .map(|number| {
            let ask = Ask {
                id: format!("a{number}"),
                class: "run-summary",
                tenant: "donaupay",
                session: number,
                budget: 7.5,
                body: "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":\"run\"}]}".to_owned(),
                max_out: 300,
            };
            let world = world.clone();
            sleep_ms(40);
            std::thread::spawn(move || ask.send(&world, address))
        })
        .collect();
    let new = start("new");
    old.signal(SIGTERM, "SIGTERM");
    let setting = |name: &str, usual: &str| std::env::var(name).unwrap_or_else(|_| usual.to_owned());
    let at: u64 = setting("AT", "3010").parse().expect("AT is a number");
    sleep_ms(at);
    if world.trouble {
        let held = if setting("HOLD", "new") == "old" { &old } else { &new };
        held.signal(SIGSTOP, "SIGSTOP");
        sleep_ms(140);
        held.signal(SIGCONT, "SIGCONT");
    }
    if old.wait_end(Duration::from_millis(3_700_u64.saturating_sub(at + 140))).is_none() {
        old.signal(SIGKILL, "SIGKILL");
    }
    old.note_log(&["handover", "outcome"]);
    new.note_log(&["handover"]);
    let ends = clients.into_iter().map(|client| client.join().unwrap_or((0, false)));
    let cut = ends.filter(|end| *end != (200, true)).count();
    if cut > 0 { vec![format!("{cut} of 30 answers were cut")] } else { Vec::new() }
}
