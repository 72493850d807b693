//! The budget that an attempt sends to its server.

mod standins;

use socket2::{Domain, Socket, Type};
use standins::{READ, RELEASED, read_message, start_router, start_server, stream_answer};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Slack that operators allow between the budget sent and the time left.
const SLACK: Duration = Duration::from_millis(150);
const BUDGET: Duration = Duration::from_secs(9);

/// Starts a reader to which no connection can be established for a while. It reports the head and the arrival time of
/// each message.
fn slow_to_accept(after: Duration) -> (SocketAddr, Receiver<(String, Instant)>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let (report, heads) = channel();
    // Connections that fill the backlog.
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
    let fillers: Vec<TcpStream> = std::iter::from_fn(|| fill().ok()).collect();
    std::thread::spawn(move || {
        std::thread::sleep(after);
        drop(fillers);
        for stream in listener.incoming().flatten() {
            let report = report.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some((head, _)) = read_message(&mut from) {
                    let released = head.starts_with("DELETE");
                    let _ = report.send((head, Instant::now()));
                    let text = if released { RELEASED } else { READ };
                    if to.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, heads)
}

#[test]
fn budget_sent_excludes_connect_time() {
    let (reader, heads) = slow_to_accept(Duration::from_millis(1_200));
    let writer = start_server(|head, _| match head.starts_with("DELETE") {
        true => Some(RELEASED.to_owned()),
        false => Some(stream_answer("{\"choices\":[]}")),
    });
    let folder = tempfile::tempdir().unwrap();
    let config = include_str!("config.json")
        .replace("{d}", "127.0.0.1:9")
        .replace("{r1}", &reader.to_string())
        .replace("{w1}", &writer.to_string())
        .replace("\"connect_timeout\": 1000000000", "\"connect_timeout\": 9000000000");
    std::fs::write(folder.path().join("config.json"), config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    let router = start_router(command, "router");
    let sent = Instant::now();
    let budget = BUDGET.as_secs().to_string();
    let answer = router.request(1, 1, "log-chat", "donaupay", &budget, "{\"model\":\"m\"}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let (head, arrived) = heads.iter().find(|(head, _)| head.starts_with("POST")).unwrap();
    let budget_sent = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-budget: ")?.parse::<f64>().ok());
    let budget_sent = Duration::from_secs_f64(budget_sent.unwrap());
    let left = BUDGET - (arrived - sent);
    assert!(arrived - sent > Duration::from_millis(900), "the connection was established late");
    assert!(budget_sent <= left + SLACK, "{budget_sent:?} sent, {left:?} left");
}
