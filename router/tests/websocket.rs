//! Long-lived WebSocket connections through the program. Fake servers and clients use another library (tungstenite), a
//! fake discovery sends drains, and raw bytes test what no library would send.

use futures_util::{SinkExt as _, StreamExt as _};
use rstest::rstest;
use std::collections::HashMap;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::frame::{Frame, coding::Data, coding::OpCode};
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, accept_hdr_async, connect_async};

/// Longest wait for anything expected.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// How a server behaves.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Run,
    /// Breaks its connections.
    Kill,
    /// Neither writes nor reads, and leaves its connections open.
    Freeze,
    /// Closes its connections in order.
    Leave,
    /// Accepts connections and never answers an upgrade.
    Mute,
}

/// A server that sends numbered messages on each connection, beginning after the id in `Last-Event-ID`.
struct Server {
    id: String,
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    open: Arc<AtomicUsize>,
    mode: watch::Sender<Mode>,
}

impl Server {
    async fn start(id: &str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (arrivals, open) = (Arc::<Mutex<Vec<Instant>>>::default(), Arc::<AtomicUsize>::default());
        let (mode, mode_watch) = watch::channel(Mode::Run);
        let (all_arrivals, open_count) = (arrivals.clone(), open.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                all_arrivals.lock().unwrap().push(Instant::now());
                let (open_count, mut killed) = (open_count.clone(), mode_watch.clone());
                tokio::spawn(async move {
                    open_count.fetch_add(1, Ordering::SeqCst);
                    let mut mode = killed.clone();
                    tokio::select! {
                        () = serve_connection(stream, &mut mode) => {}
                        () = async { drop(killed.wait_for(|mode| *mode == Mode::Kill).await) } => {}
                    }
                    open_count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Server { id: id.to_owned(), address, arrivals, open, mode }
    }

    /// The server's entry in a list.
    fn entry(&self, phase: &str, up_since_ms: u64) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"flavor\":\"writes\",\"phase\":\"{phase}\",\"up_since_ms\":{up_since_ms}}}",
            self.id, self.address
        )
    }

    /// Number of open connections.
    fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Serves one connection as the query of its path says.
async fn serve_connection(stream: TcpStream, mode: &mut watch::Receiver<Mode>) {
    let mute = *mode.borrow() == Mode::Mute;
    if mute {
        return std::future::pending().await;
    }
    let (mut query, mut last_id) = (String::new(), 0);
    #[allow(clippy::result_large_err)]
    let on_upgrade = |request: &Request, mut response: Response| {
        query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        last_id = field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if let Some(first) = field("sec-websocket-protocol").and_then(|names| names.split(',').next()) {
            response.headers_mut().insert("sec-websocket-protocol", first.parse().unwrap());
        }
        Ok(response)
    };
    let Ok(mut peer) = accept_hdr_async(stream, on_upgrade).await else { return };
    let fragment = |text: &str, code, last| {
        Message::Frame(Frame::message(text.to_owned().into_bytes(), OpCode::Data(code), last))
    };
    if query.contains("part") && last_id == 0 {
        let _ = peer.send(fragment("{\"id\":1,\"li", Data::Text, false)).await;
    }
    let (mut next, mut received) = (last_id + 1, 0);
    let quiet = query.contains("echo") || query.contains("part") || query.contains("quiet");
    let interval = if query.contains("flood") { Duration::ZERO } else { Duration::from_millis(40) };
    let padding = if query.contains("flood") { "x".repeat(16 * 1024) } else { String::new() };
    let current_mode = mode.clone();
    loop {
        tokio::select! {
            biased;
            () = async { drop(mode.wait_for(|mode| matches!(mode, Mode::Freeze | Mode::Leave)).await) } => {
                let frozen = *current_mode.borrow() == Mode::Freeze;
                if frozen {
                    return std::future::pending().await;
                }
                let code = tungstenite::protocol::frame::coding::CloseCode::Restart;
                let _ = peer.close(Some(tungstenite::protocol::CloseFrame { code, reason: "".into() })).await;
                return;
            }
            message = peer.next() => match message {
                Some(Ok(Message::Close(_))) | Some(Err(_)) | None => return drop(peer.flush().await),
                Some(Ok(message @ (Message::Text(_) | Message::Binary(_)))) if query.contains("echo") => {
                    let _ = peer.send(message).await;
                }
                Some(Ok(Message::Text(_))) if !query.contains("noack") => {
                    received += 1;
                    if query.contains("slowack") {
                        tokio::time::sleep(Duration::from_millis(600)).await;
                    }
                    let _ = peer.send(Message::text(format!("{{\"ack\":{received}}}"))).await;
                }
                Some(Ok(_)) => {}
            },
            () = tokio::time::sleep(interval), if !quiet => {
                let text = format!("{{\"id\":{next},\"line\":\"{padding}\"}}");
                if peer.send(Message::text(text)).await.is_err() {
                    return;
                }
                next += 1;
            }
        }
    }
}

/// A fake discovery that sends updates to open watches, and an empty line after 2 s without one.
struct Discovery {
    address: SocketAddr,
    updates: broadcast::Sender<String>,
    revision: u64,
}

impl Discovery {
    async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (updates, _) = broadcast::channel::<String>(64);
        let sender = updates.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut updates = sender.subscribe();
                tokio::spawn(async move {
                    let _ = stream.read(&mut [0; 1024]).await;
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
                    let _ = stream.write_all(head.as_bytes()).await;
                    loop {
                        let line = match tokio::time::timeout(Duration::from_secs(2), updates.recv()).await {
                            Ok(Ok(line)) => line,
                            Ok(Err(_)) => return,
                            Err(_) => "\n".to_owned(),
                        };
                        let chunk = format!("{:X}\r\n{line}\r\n", line.len());
                        if stream.write_all(chunk.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { address, updates, revision: 1 }
    }

    fn send(&mut self, entries: &[String]) {
        self.revision += 1;
        let (revision, members) = (self.revision, entries.join(","));
        let line = format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{members}]}}\n");
        self.updates.send(line).unwrap();
    }
}

struct Router {
    child: Child,
    clients: SocketAddr,
    operators: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    folder: tempfile::TempDir,
}

impl Drop for Router {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.log.lock().unwrap().join("\n"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings file of `deploy/` with some values replaced.
fn settings(changes: &[(&str, &str)]) -> String {
    let text = include_str!("../../deploy/websocket.toml")
        .replace("127.0.0.1:8082", "127.0.0.1:0")
        .replace("\"decode\"", "\"writes\"");
    changes.iter().fold(text, |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    })
}

/// Writes a router's files and prepares its command.
fn prepare(servers: &[&Server], discovery: SocketAddr, settings: &str) -> (Command, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let members: Vec<String> = servers.iter().map(|server| server.entry("active", 0)).collect();
    let config = include_str!("config.json")
        .replace("{d}", &discovery.to_string())
        .replace(
            "\"sockets\": 256",
            if settings.ends_with(SMALL_MEMORY) {
                "\"sockets\": 4096, \"memory_mb\": 40"
            } else {
                "\"sockets\": 20000"
            },
        )
        .replace("{r1}", "127.0.0.1:9");
    let (before, rest) = config.split_once("{\"id\": \"w1\"").unwrap();
    let (_, after) = rest.split_once("]},").unwrap();
    let config = format!("{before}{}]}},{after}", members.join(","));
    std::fs::write(folder.path().join("config.json"), config).unwrap();
    std::fs::write(folder.path().join("websocket.toml"), settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.args(["--websocket", folder.path().join("websocket.toml").to_str().unwrap()]);
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.env("KEY", "secret").stdin(Stdio::null()).stderr(Stdio::piped());
    (command, folder)
}

/// Marks a settings file whose router is to be configured with little memory.
const SMALL_MEMORY: &str = "\n# small\n";

fn start(servers: &[&Server], discovery: SocketAddr, settings: &str) -> Router {
    let (command, folder) = prepare(servers, discovery, settings);
    spawn(command, folder)
}

/// Starts a router and reads its addresses from its log.
fn spawn(mut command: Command, folder: tempfile::TempDir) -> Router {
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut address = |what: &str| {
        let line = lines.find(|line| line.contains(what)).unwrap_or_else(|| panic!("no {what}"));
        line.split("listen=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    };
    let (operators, clients) = (address("operators listen="), address("websocket listen="));
    let log = Arc::<Mutex<Vec<String>>>::default();
    let log_lines = log.clone();
    std::thread::spawn(move || lines.for_each(|line| log_lines.lock().unwrap().push(line)));
    Router { child, clients, operators, log, folder }
}

impl Router {
    /// Makes a call at the operators' address.
    fn call(&self, call: &str) -> String {
        let mut stream = std::net::TcpStream::connect(self.operators).unwrap();
        stream.write_all(format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn rss_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
    }

    fn metric(&self, name: &str) -> usize {
        let answer = self.call("GET /status/metrics");
        let line = answer.lines().find_map(|line| line.strip_prefix(&format!("router_{name} ")));
        line.map_or(0, |value| value.parse().unwrap())
    }

    /// Waits until a condition holds.
    async fn wait_until(&self, what: &str, holds: impl Fn(&Router) -> bool) {
        let until = Instant::now() + STEP_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < until, "{what}:\n{}", self.call("GET /status/metrics"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn connect(&self, query: &str) -> Result<Socket, tungstenite::Error> {
        connect_async(format!("ws://{}/v1/follow?{query}", self.clients)).await.map(|(socket, _)| socket)
    }

    /// Connects clients; a task for each one receives messages until the connection ends.
    async fn clients(&self, count: usize, query: &str) -> Vec<tokio::task::JoinHandle<Seen>> {
        let mut all = Vec::new();
        for _ in 0..count {
            // Clients without a server in time are refused, and retry.
            let socket = loop {
                match self.connect(query).await {
                    Ok(socket) => break socket,
                    Err(tungstenite::Error::Http(answer)) if answer.status() == 503 => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    Err(error) => panic!("{error}"),
                }
            };
            all.push(tokio::spawn(receive_all(socket)));
        }
        all
    }
}

type Socket = WebSocketStream<MaybeTlsStream<TcpStream>>;

/// What a client received.
#[derive(Debug, Default)]
struct Seen {
    /// The last message id.
    last: u64,
    /// Consecutive ids that do not follow each other.
    gaps: Vec<(u64, u64)>,
    close: Option<(u16, String)>,
}

/// Receives messages until the connection ends.
async fn receive_all(mut socket: Socket) -> Seen {
    let mut seen = Seen::default();
    while let Some(message) = socket.next().await {
        match message {
            Ok(Message::Text(text)) => {
                let message: serde_json::Value = serde_json::from_str(text.as_str()).unwrap();
                let Some(id) = message["id"].as_u64() else { continue };
                if id != seen.last + 1 {
                    seen.gaps.push((seen.last, id));
                }
                seen.last = id;
            }
            Ok(Message::Close(Some(close))) => {
                seen.close = Some((close.code.into(), close.reason.to_string()));
            }
            Ok(_) => {}
            Err(_) => break,
        }
    }
    seen
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Asserts that within any time window no more connections arrive than the rate of a cold server permits, plus the
/// token bucket's content. `slack` allows for the time between a decision and its arrival.
fn assert_arrival_rate(arrivals: &[Instant], listed: Instant, new_per_s: f64, slack: Duration) {
    for (first, from) in arrivals.iter().enumerate() {
        for (last, to) in arrivals.iter().enumerate().skip(first) {
            let warm = (0.5 + 0.5 * to.duration_since(listed).as_secs_f64()).min(1.0);
            let window = (to.duration_since(*from) + slack).as_secs_f64();
            let (arrived, limit) = ((last - first + 1) as f64, new_per_s * warm * window + 2.0);
            assert!(arrived <= limit, "{arrived} arrivals in {window} s, the limit is {limit}");
        }
    }
}

const CLIENTS: usize = 400;

/// A rollout drains all servers at once and adds cold ones. Each client must continue without a gap or get a close
/// frame, drained servers must get no new connections, and new servers no more than their rate permits.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_moves_or_closes_every_connection() {
    let old = [Server::start("w1").await, Server::start("w2").await, Server::start("w3").await];
    let new = [Server::start("w8").await, Server::start("w9").await];
    let mut discovery = Discovery::start().await;
    let file = settings(&[("= 80", "= 100"), ("most_of_tenant = 200", "most_of_tenant = 2000")]);
    let router = start(&old.each_ref(), discovery.address, &file);
    let clients = router.clients(CLIENTS, "x").await;
    router.wait_until("all open", |router| router.metric("websocket_open") == CLIENTS).await;
    assert!(old.iter().all(|server| server.open() > CLIENTS / 6), "not spread over the servers");
    let listed = Instant::now();
    let mut changes: Vec<String> = old.iter().map(|server| server.entry("leaving", 0)).collect();
    changes.extend(new.iter().map(|server| server.entry("active", unix_ms())));
    discovery.send(&changes);
    router.wait_until("old servers empty", |_| old.iter().all(|server| server.open() == 0)).await;
    let took = listed.elapsed();
    let moved = router.metric("websocket_moved");
    for server in &old {
        let late = |at: &&Instant| **at > listed + Duration::from_millis(500);
        assert_eq!(server.arrivals.lock().unwrap().iter().filter(late).count(), 0);
    }
    for server in &new {
        assert_arrival_rate(&server.arrivals.lock().unwrap(), listed, 100.0, Duration::from_millis(60));
    }
    // Moved connections stay open.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(new.iter().map(Server::open).sum::<usize>(), moved);
    assert!(router.call("PUT /standby").contains("200 OK"));
    let (mut closed_in_rollout, mut closed_later) = (0, 0);
    for client in clients {
        let seen = client.await.unwrap();
        assert!(seen.gaps.is_empty() && seen.last > 0, "{seen:?}");
        let (code, reason) = seen.close.expect("no close frame");
        assert!(code == 1012 && reason.starts_with("come again in "), "{code} {reason}");
        (closed_in_rollout, closed_later) = if seen.last * 40 > took.as_millis() as u64 {
            (closed_in_rollout, closed_later + 1)
        } else {
            (closed_in_rollout + 1, closed_later)
        };
    }
    println!(
        "clients={CLIENTS} moved={moved} took_ms={} closed={closed_in_rollout} later={closed_later}",
        took.as_millis()
    );
    assert!(moved > CLIENTS / 4 && took < Duration::from_secs(6), "{moved} moved in {took:?}");
    let ended = router.metric("websocket_ended{reason=\"restart\"}");
    assert_eq!((ended, router.metric("websocket_open")), (CLIENTS, 0));
}

/// The connections of a server that breaks, freezes or leaves continue at another server.
#[rstest]
#[case::killed(Mode::Kill)]
#[case::cut_off(Mode::Freeze)]
#[case::leaves(Mode::Leave)]
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_lost_server_continue_elsewhere(#[case] mode: Mode) {
    let (first, second) = (Server::start("w1").await, Server::start("w2").await);
    let discovery = Discovery::start().await;
    let file = settings(&[("ping_s = 20", "ping_s = 0.3"), ("pong_s = 10", "pong_s = 0.3")]);
    let router = start(&[&first, &second], discovery.address, &file);
    let clients = router.clients(20, "x").await;
    assert!(first.open() > 0 && second.open() > 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (lost, since) = (first.open(), Instant::now());
    let before = second.open();
    first.mode.send(mode).unwrap();
    router.wait_until("moved", |router| router.metric("websocket_moved") >= lost).await;
    // The ping and pong timeouts, and the time that the servers' rates need for the moves.
    assert!(since.elapsed() < Duration::from_millis(600 + 1_500), "{:?}", since.elapsed());
    if mode == Mode::Kill {
        // Connections that were tried at the killed server meanwhile break as well.
        assert!(second.open() >= before);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    router.call("PUT /standby");
    for client in clients {
        let seen = client.await.unwrap();
        assert!(seen.gaps.is_empty() && seen.last > 5, "{seen:?}");
        assert_eq!(seen.close.map(|close| close.0), Some(1012));
    }
}

/// A partly sent message cannot be continued, and an unacknowledged client message is not sent again. When their
/// server drains, such connections are closed with a close frame, and the others move.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_cannot_move_are_closed_cleanly() {
    let (first, second) = (Server::start("w1").await, Server::start("w2").await);
    let mut discovery = Discovery::start().await;
    let file = settings(&[("longest_wait_ms = 4000", "longest_wait_ms = 1500")]);
    let router = start(&[&first], discovery.address, &file);
    let half = router.clients(1, "part").await;
    let mut unacked = router.connect("quiet&noack").await.unwrap();
    let mut acked = router.connect("quiet").await.unwrap();
    let fresh = router.connect("quiet").await.unwrap();
    unacked.send(Message::text("book")).await.unwrap();
    acked.send(Message::text("filter")).await.unwrap();
    assert_eq!(acked.next().await.unwrap().unwrap(), Message::text("{\"ack\":1}"));
    // A client that has sent half a message.
    let mut speaking = router.connect("quiet").await.unwrap();
    let begun = Frame::message("ha".as_bytes().to_vec(), OpCode::Data(Data::Text), false);
    speaking.send(Message::Frame(begun)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    discovery.send(&[first.entry("leaving", 0), second.entry("active", 0)]);
    for seen in [
        half.into_iter().next().unwrap().await.unwrap(),
        receive_all(unacked).await,
        receive_all(speaking).await,
    ] {
        let code = seen.close.expect("no close frame").0;
        assert!(code == 1012 || code == 1013, "{code}");
    }
    router.wait_until("moved", |router| router.metric("websocket_moved") == 2 && second.open() == 2).await;
    drop((acked, fresh));
    router.wait_until("all ended", |router| router.metric("websocket_open") == 0 && second.open() == 0).await;
}

/// Guards against a move that drops a message which its client ended while the move waited for that end: the message is
/// acknowledged before the move, or its client is told by a close.
#[rstest]
#[case::soon("quiet")]
#[case::late("quiet&slowack")]
#[tokio::test(flavor = "multi_thread")]
async fn message_that_ends_during_move_is_not_dropped(#[case] query: &str) {
    let (first, second) = (Server::start("w1").await, Server::start("w2").await);
    let mut discovery = Discovery::start().await;
    let router = start(&[&first], discovery.address, &settings(&[]));
    let mut client = router.connect(query).await.unwrap();
    let fragment = |text: &str, code, last| {
        Message::Frame(Frame::message(text.as_bytes().to_vec(), OpCode::Data(code), last))
    };
    client.send(fragment("bo", Data::Text, false)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    discovery.send(&[first.entry("leaving", 0), second.entry("active", 0)]);
    router.wait_until("a move that waits", |router| router.metric("websocket_trying") == 1).await;
    client.send(fragment("ok", Data::Continue, true)).await.unwrap();
    let next = tokio::time::timeout(Duration::from_secs(3), client.next()).await;
    match next.expect("neither an acknowledgement nor a close").unwrap().unwrap() {
        Message::Text(text) => {
            assert_eq!(text.as_str(), "{\"ack\":1}");
            router.wait_until("moved", |router| router.metric("websocket_moved") == 1).await;
            assert_eq!(second.open(), 1);
        }
        Message::Close(close) => assert!(matches!(u16::from(close.unwrap().code), 1012 | 1013)),
        other => panic!("{other}"),
    }
}

/// The target of a move never answers and drains during the move. The old server continues meanwhile, and in the end
/// another server takes the connection exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn failed_move_ends_in_one_outcome() {
    let (old, mute, last) = (Server::start("w1").await, Server::start("w2").await, Server::start("w3").await);
    mute.mode.send(Mode::Mute).unwrap();
    let mut discovery = Discovery::start().await;
    let change =
        [("upgrade_ms = 1000", "upgrade_ms = 300"), ("longest_wait_ms = 4000", "longest_wait_ms = 8000")];
    let router = start(&[&old], discovery.address, &settings(&change));
    let clients = router.clients(3, "x").await;
    discovery.send(&[old.entry("leaving", 0), mute.entry("active", 0)]);
    router.wait_until("a move under way", |router| router.metric("websocket_trying") > 0).await;
    let drained = Instant::now();
    discovery.send(&[mute.entry("leaving", 0), last.entry("active", 0)]);
    router.wait_until("moved", |router| router.metric("websocket_moved") == 3 && old.open() == 0).await;
    assert!(router.metric("websocket_put_off") >= 1);
    let late = |at: &&Instant| **at > drained + Duration::from_millis(500);
    assert_eq!(mute.arrivals.lock().unwrap().iter().filter(late).count(), 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(last.open(), 3);
    router.call("PUT /standby");
    for client in clients {
        let seen = client.await.unwrap();
        assert!(seen.gaps.is_empty() && seen.close.is_some(), "{seen:?}");
    }
}

/// Closes a client that answers no ping, an idle connection, and connections whose buffers exceed the memory limit.
#[tokio::test(flavor = "multi_thread")]
async fn closes_dead_idle_and_heavy_connections() {
    let server = Server::start("w1").await;
    let change = [
        ("ping_s = 20", "ping_s = 0.2"),
        ("pong_s = 10", "pong_s = 0.3"),
        ("idle_s = 3600", "idle_s = 1.2"),
        ("most_of_tenant = 200", "most_of_tenant = 400"),
        ("new_per_s = 80", "new_per_s = 400"),
    ];
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &settings(&change));
    // A raw client does not answer pings.
    let (_dead, head) = connect_raw(&router, UPGRADE).await;
    assert!(head.starts_with("HTTP/1.1 101 "));
    let since = Instant::now();
    router.wait_until("dead", |router| router.metric("websocket_ended{reason=\"client-silent\"}") == 1).await;
    assert!((400..1_500).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
    let idle = router.connect("quiet").await.unwrap();
    let seen = receive_all(idle).await;
    assert_eq!(seen.close.map(|close| close.0), Some(1001));
    // 4 MB of memory for all buffers, and 120 clients that do not read a flood of messages.
    let change = [("most_of_tenant = 200", "most_of_tenant = 400"), ("new_per_s = 80", "new_per_s = 400")];
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &(settings(&change) + SMALL_MEMORY));
    let mut slow = Vec::new();
    for _ in 0..120 {
        slow.push(router.connect("flood").await.unwrap());
    }
    router.wait_until("heavy", |router| router.metric("websocket_ended{reason=\"no-memory\"}") >= 20).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let left = router.metric("websocket_open");
    assert!((30..=100).contains(&left), "{left} left");
}

/// During an upgrade both processes accept connections; the old one closes its clients, which reconnect to the new
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn new_version_takes_over() {
    let server = Server::start("w1").await;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let file = settings(&[]).replace("127.0.0.1:0", &free);
    let inherited = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let no_discovery = "127.0.0.1:9".parse().unwrap();
    let start_inheriting = || {
        let (command, folder) = prepare(&[&server], no_discovery, &file);
        let mut shell = Command::new("sh");
        shell.args(["-c", "exec \"$0\" \"$@\" 3<&0 </dev/null"]).arg(command.get_program());
        shell.args(command.get_args()).env_clear();
        shell.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
        shell.env("PROXY_FD", "3").env("TMPDIR", folder.path());
        shell.stdin(Stdio::from(std::os::fd::OwnedFd::from(inherited.try_clone().unwrap())));
        shell.stderr(Stdio::piped());
        spawn(shell, folder)
    };
    let mut old = start_inheriting();
    let clients = old.clients(4, "x").await;
    let new = start_inheriting();
    assert!(Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status().unwrap().success());
    for client in clients {
        assert_eq!(client.await.unwrap().close.map(|close| close.0), Some(1012));
    }
    let reconnected = new.clients(4, "x").await;
    assert!(old.child.wait().unwrap().success());
    assert_eq!(new.metric("websocket_open"), 4);
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(new);
    for client in reconnected {
        assert!(client.await.unwrap().last > 0);
    }
}

/// Memory and CPU time of many connections, and the duration of their moves; not part of CI. `cargo test --release -p
/// fawnstream --test websocket -- --ignored --nocapture`, with as many connections as `CONNECTIONS` says.
#[ignore = "a measurement"]
#[tokio::test(flavor = "multi_thread")]
async fn measure() {
    let count: usize = std::env::var("CONNECTIONS").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
    let servers = [Server::start("w1").await, Server::start("w2").await, Server::start("w3").await];
    let mut discovery = Discovery::start().await;
    let file = settings(&[
        ("most_of_tenant = 200", "most_of_tenant = 100000"),
        ("most_at_server = 400", "most_at_server = 100000"),
        ("new_per_s = 80", "new_per_s = 1000"),
        ("most_waiting = 1000", "most_waiting = 100000"),
    ]);
    let router = start(&[&servers[0], &servers[1]], discovery.address, &file);
    let proc = |what: &str| std::fs::read_to_string(format!("/proc/{}/{what}", router.child.id())).unwrap();
    let ticks = || {
        let stat = proc("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split(' ').collect();
        fields[12].parse::<u64>().unwrap() + fields[13].parse::<u64>().unwrap()
    };
    let empty = router.rss_kib();
    let since = Instant::now();
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.extend(router.clients(count / 8, "quiet").await);
    }
    println!("open={} ms={}", router.metric("websocket_open"), since.elapsed().as_millis());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (full, before) = (router.rss_kib(), ticks());
    tokio::time::sleep(Duration::from_secs(5)).await;
    println!(
        "idle: {} bytes each, {} ms of CPU a second",
        (full - empty) * 1024 / count as u64,
        (ticks() - before) * 2
    );
    let (since, before) = (Instant::now(), ticks());
    let there = servers[0].open();
    discovery.send(&[servers[0].entry("leaving", 0), servers[2].entry("active", 0)]);
    router.wait_until("moved", |_| servers[0].open() == 0).await;
    let (moved, cpu) = (router.metric("websocket_moved"), (ticks() - before) * 10);
    let closed = router.metric("websocket_ended{reason=\"restart\"}");
    println!(
        "drain of {there}: moved={moved} closed={closed} ms={} cpu_ms={cpu}",
        since.elapsed().as_millis()
    );
    drop(clients);
}

/// A client that reads nothing slows down its own server's connection and no other.
#[tokio::test(flavor = "multi_thread")]
async fn slow_client_slows_only_its_own_connection() {
    let server = Server::start("w1").await;
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &settings(&[]));
    let slow = router.connect("flood").await.unwrap();
    let quick = router.clients(1, "x").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let full = router.rss_kib();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(router.rss_kib() < full + 1_024, "from {full} to {} KiB", router.rss_kib());
    // The slow client still gets all waiting messages in order, and the other one is unaffected.
    let mut seen = tokio::spawn(receive_all(slow));
    assert!(tokio::time::timeout(Duration::from_millis(500), &mut seen).await.is_err());
    router.call("PUT /standby");
    let (slow, quick) = (seen.await.unwrap(), quick.into_iter().next().unwrap().await.unwrap());
    assert!(slow.gaps.is_empty() && slow.last > 100, "{slow:?}");
    assert_eq!(slow.close.map(|close| close.0), Some(1012));
    assert!(quick.gaps.is_empty() && quick.last >= 30, "{quick:?}");
}

/// Of many clients at once, as many as the limits permit are let in. The others get different times for their retry.
#[tokio::test(flavor = "multi_thread")]
async fn connection_storm_is_admitted_up_to_limits() {
    let server = Server::start("w1").await;
    let file =
        settings(&[("most_of_tenant = 200", "most_of_tenant = 30"), ("new_per_s = 80", "new_per_s = 50")]);
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &file);
    let all: Vec<_> = futures_util::future::join_all((0..200).map(|_| router.connect("quiet"))).await;
    let mut retry_times = HashMap::<u64, usize>::new();
    let mut statuses = HashMap::<u16, usize>::new();
    for refused in all.iter().filter_map(|one| one.as_ref().err()) {
        let tungstenite::Error::Http(answer) = refused else { panic!("{refused}") };
        let after: f64 = answer.headers()["retry-after"].to_str().unwrap().parse().unwrap();
        *retry_times.entry(after as u64).or_default() += 1;
        *statuses.entry(answer.status().as_u16()).or_default() += 1;
    }
    let open = all.iter().filter(|one| one.is_ok()).count();
    assert!((10..=30).contains(&open), "{open}");
    assert!(
        statuses[&429] >= 100 && statuses.keys().all(|status| [429, 503].contains(status)),
        "{statuses:?}"
    );
    assert!(retry_times.len() >= 3 && retry_times.values().all(|count| *count < 120), "{retry_times:?}");
    assert_arrival_rate(
        &server.arrivals.lock().unwrap(),
        Instant::now() - Duration::from_secs(9),
        50.0,
        Duration::from_millis(60),
    );
}

/// SIGTERM closes all connections with a close frame before the program ends; SIGHUP applies new limits and keeps open
/// connections.
#[tokio::test(flavor = "multi_thread")]
async fn signals_reload_limits_and_close_connections() {
    let server = Server::start("w1").await;
    let file = settings(&[("most_of_tenant = 200", "most_of_tenant = 2")]);
    let mut router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &file);
    let clients = router.clients(2, "x").await;
    let over_limit =
        |error: tungstenite::Error| matches!(error, tungstenite::Error::Http(a) if a.status() == 429);
    assert!(router.connect("x").await.is_err_and(over_limit));
    let signal = |name: &str| {
        let id = router.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    };
    std::fs::write(router.folder.path().join("websocket.toml"), settings(&[("= 200", "= 3")])).unwrap();
    signal("-HUP");
    router.wait_until("reloaded", |router| router.metric("reload_success") == 1).await;
    let third = tokio::spawn(receive_all(router.connect("x").await.unwrap()));
    let since = Instant::now();
    signal("-TERM");
    for client in clients.into_iter().chain([third]) {
        assert_eq!(client.await.unwrap().close.map(|close| close.0), Some(1012));
    }
    assert!(router.child.wait().unwrap().success() && since.elapsed() < Duration::from_secs(4));
}

/// Sends an upgrade request as raw bytes; returns the connection and the answer's head.
async fn connect_raw(router: &Router, request: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(router.clients).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    (stream, String::from_utf8(head).unwrap())
}

/// A valid upgrade request.
const UPGRADE: &str = "GET /v1/follow?echo HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
    Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nAuthorization: Bearer secret\r\n\r\n";

/// Each invalid upgrade gets the status for its reason, and each invalid configuration fails the start.
#[tokio::test(flavor = "multi_thread")]
async fn validates_upgrades_and_settings() {
    let server = Server::start("w1").await;
    let key = "\n[[key]]\nenv = \"KEY\"\ntenant = \"donaupay\"\n";
    let file = settings(&[]) + key;
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &file);
    let cases = [
        ("GET /v1/follow", "GET /v1/other", "404", ""),
        ("GET /v1", "POST /v1", "405", "allow: GET"),
        ("Upgrade: websocket\r\n", "", "426", "upgrade: websocket"),
        ("Version: 13", "Version: 8", "426", "sec-websocket-version: 13"),
        ("Key: dGhlIHNhbXBsZSBub25jZQ==", "Key: short", "400", ""),
        ("Host: x\r\n", "Host: x\r\nOrigin: https://evil.example\r\n", "403", ""),
        ("Host: x\r\n", "Host: x\r\nSec-WebSocket-Protocol: a b\r\n", "400", ""),
        ("Bearer secret", "Bearer other", "401", "www-authenticate: Bearer"),
        ("Host: x\r\n", "Host: x\r\nOrigin: https://LAB.example\r\n", "101", "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="),
        (
            "Host: x\r\n",
            "Host: x\r\nSec-WebSocket-Protocol: log.v2, log.v1\r\n",
            "101",
            "sec-websocket-protocol: log.v2",
        ),
    ];
    for (old, new, status, field) in cases {
        assert!(UPGRADE.contains(old));
        let (_, head) = connect_raw(&router, &UPGRADE.replace(old, new)).await;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")) && head.contains(field), "{new:?}: {head}");
    }
    // Settings that name a kind that only reads, and an unknown setting.
    server.mode.send(Mode::Kill).unwrap();
    let mut invalid = settings(&[("writes", "reads")]);
    let (mut command, _folder) = prepare(&[&server], "127.0.0.1:9".parse().unwrap(), &invalid);
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let line = String::from_utf8(output.stderr).unwrap();
    assert!(
        line.ends_with("kind `reads` only reads: it cannot take connections\n") && line.lines().count() == 1,
        "{line}"
    );
    invalid = settings(&[("new_per_s", "new_per_sec")]);
    let (mut command, _folder) = prepare(&[&server], "127.0.0.1:9".parse().unwrap(), &invalid);
    assert!(String::from_utf8(command.output().unwrap().stderr).unwrap().contains("new_per_sec"));
}

/// A client's frame, masked with zeros so that the payload stays readable.
fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    match payload.len() {
        short @ 0..=125 => bytes.push(0x80 | short as u8),
        long => {
            bytes.push(0x80 | 126);
            bytes.extend((long as u16).to_be_bytes());
        }
    }
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}

/// A server's frame.
fn unmasked(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = masked(first, payload);
    bytes[1] &= 0x7f;
    bytes.drain(2..6);
    bytes
}

/// Conformance of frames: what a client sends, and what it receives from a server that echoes messages. Close frames
/// are compared by code.
#[rstest]
#[case::text(vec![masked(0x81, b"ab")], vec![unmasked(0x81, b"ab")])]
#[case::empty(vec![masked(0x81, b"")], vec![unmasked(0x81, b"")])]
#[case::binary(vec![masked(0x82, &[0, 255])], vec![unmasked(0x82, &[0, 255])])]
#[case::fragments_join(vec![masked(0x01, b"a\xc3"), masked(0x89, b"p"), masked(0x80, b"\xbc")], vec![unmasked(0x8a, b"p"), unmasked(0x81, "aü".as_bytes())])]
#[case::ping(vec![masked(0x89, b"x")], vec![unmasked(0x8a, b"x")])]
#[case::pong_unasked(vec![masked(0x8a, b"x"), masked(0x81, b"y")], vec![unmasked(0x81, b"y")])]
#[case::close_carried(vec![masked(0x88, b"\x0b\xb8bye")], vec![unmasked(0x88, b"\x0b\xb8bye")])]
#[case::not_masked(vec![unmasked(0x81, b"ab")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::reserved_bit(vec![masked(0xc1, b"ab")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::reserved_opcode(vec![masked(0x83, b"ab")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::long_control(vec![masked(0x89, &[0; 126])], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::control_in_fragments(vec![masked(0x09, b"x")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::continuation_of_nothing(vec![masked(0x80, b"x")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::text_in_fragments(vec![masked(0x01, b"x"), masked(0x81, b"y")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::close_of_one_byte(vec![masked(0x88, b"x")], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::close_with_1005(vec![masked(0x88, &1005u16.to_be_bytes())], vec![unmasked(0x88, &1002u16.to_be_bytes())])]
#[case::no_text(vec![masked(0x81, b"a\xff")], vec![unmasked(0x88, &1007u16.to_be_bytes())])]
#[case::cut_character(vec![masked(0x01, b"\xc3"), masked(0x80, b"")], vec![unmasked(0x88, &1007u16.to_be_bytes())])]
#[case::surrogate(vec![masked(0x81, b"\xed\xa0\x80")], vec![unmasked(0x88, &1007u16.to_be_bytes())])]
#[case::large_message(vec![masked(0x01, &[b'x'; 60_000]), masked(0x00, &[b'x'; 60_000]), masked(0x00, &[b'x'; 60_000]), masked(0x00, &[b'x'; 60_000]), masked(0x80, &[b'x'; 60_000])], vec![unmasked(0x88, &1009u16.to_be_bytes())])]
#[case::large_frame(vec![vec![0x82, 0xff, 0, 0, 0, 0, 0x40, 0, 0, 0, 0, 0, 0, 0]], vec![unmasked(0x88, &1009u16.to_be_bytes())])]
#[tokio::test(flavor = "multi_thread")]
async fn handles_frames_as_specified(#[case] sent: Vec<Vec<u8>>, #[case] wanted: Vec<Vec<u8>>) {
    let server = Server::start("w1").await;
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &settings(&[]));
    let (mut stream, head) = connect_raw(&router, UPGRADE).await;
    assert!(head.starts_with("HTTP/1.1 101 "), "{head}");
    for bytes in sent {
        // In two writes, because a frame may arrive in pieces.
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        let _ = stream.write_all(first).await;
        tokio::task::yield_now().await;
        let _ = stream.write_all(rest).await;
    }
    for frame in wanted {
        let mut received = vec![0; 2];
        let read = async {
            stream.read_exact(&mut received).await.unwrap();
            let mut payload = vec![0; usize::from(received[1])];
            stream.read_exact(&mut payload).await.unwrap();
            received.extend(payload);
        };
        tokio::time::timeout(STEP_TIMEOUT, read).await.expect("no frame received");
        if frame[0] == 0x88 && frame.len() == 4 {
            assert_eq!((received[0], &received[2..4]), (0x88, &frame[2..4]), "{received:?}");
        } else {
            assert_eq!(received, frame);
        }
    }
}

/// Time after a client's close in which an attempt for it may still begin: 0.1 s, and 50 ms as for every time limit.
const CLOSE_NOTICED_WITHIN: Duration = Duration::from_millis(150);

/// How many connections reached a server after this time.
fn arrivals_after(server: &Server, time: Instant) -> usize {
    server.arrivals.lock().unwrap().iter().filter(|at| **at > time).count()
}

/// Clients that leave while their upgrades wait for a server's turn: none of them is sent to a server any more.
#[tokio::test(flavor = "multi_thread")]
async fn no_upgrade_begins_for_clients_that_left_in_the_queue() {
    let server = Server::start("w1").await;
    let file = settings(&[("new_per_s = 80", "new_per_s = 20")]);
    let router = start(&[&server], "127.0.0.1:9".parse().unwrap(), &file);
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = TcpStream::connect(router.clients).await.unwrap();
        client.write_all(UPGRADE.as_bytes()).await.unwrap();
        clients.push(client);
    }
    // One has sent more behind its upgrade, so that its close is behind unread bytes.
    clients[19].write_all(&masked(0x81, b"early")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    drop(clients);
    let closed_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(arrivals_after(&server, closed_at + CLOSE_NOTICED_WITHIN), 0);
    assert!(router.metric("websocket_refused{reason=\"client-left\"}") >= 10);
    assert_eq!(router.metric("websocket_asking"), 0);
}

/// A client that leaves while its connection has no server, since that one broke: no other server is asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn no_upgrade_begins_for_client_that_left_after_its_server_broke() {
    let (broken, successor) = (Server::start("w1").await, Server::start("w2").await);
    let mut discovery = Discovery::start().await;
    let router = start(&[&broken], discovery.address, &settings(&[]));
    let (client, head) = connect_raw(&router, UPGRADE).await;
    assert!(head.starts_with("HTTP/1.1 101"), "{head}");
    broken.mode.send_replace(Mode::Kill);
    router.wait_until("it waits", |router| router.metric("websocket_waiting") == 1).await;
    drop(client);
    let closed_at = Instant::now();
    tokio::time::sleep(CLOSE_NOTICED_WITHIN).await;
    discovery.send(&[successor.entry("active", 0)]);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let late = closed_at + CLOSE_NOTICED_WITHIN;
    assert_eq!((arrivals_after(&broken, late), arrivals_after(&successor, late)), (0, 0));
    assert_eq!(router.metric("websocket_waiting"), 0);
    assert_eq!(router.metric("websocket_ended{reason=\"client-left\"}"), 1);
}
