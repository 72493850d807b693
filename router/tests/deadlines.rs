//! What an attempt tells its server of the time that its client has left.

mod standins;

use socket2::{Domain, Socket, Type};
use standins::{READ, RELEASED, answer, begin, message, serve};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The operators' slack between what is told and what is left.
const SLACK: Duration = Duration::from_millis(150);
const BUDGET: Duration = Duration::from_secs(9);

/// A reader to which no connection comes up for a while; tells the heads of what it is asked, and when they came.
fn slow_to_accept(after: Duration) -> (SocketAddr, Receiver<(String, Instant)>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let (told, heads) = channel();
    // Connections that take all places of the backlog.
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
    let fillers: Vec<TcpStream> = std::iter::from_fn(|| fill().ok()).collect();
    std::thread::spawn(move || {
        std::thread::sleep(after);
        drop(fillers);
        for stream in listener.incoming().flatten() {
            let told = told.clone();
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some((head, _)) = message(&mut from) {
                    let released = head.starts_with("DELETE");
                    let _ = told.send((head, Instant::now()));
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
fn an_attempt_tells_what_is_left_when_its_connection_is_up() {
    let (reads, heads) = slow_to_accept(Duration::from_millis(1_200));
    let writes = serve(|head, _| match head.starts_with("DELETE") {
        true => Some(RELEASED.to_owned()),
        false => Some(answer("{\"choices\":[]}")),
    });
    let folder = tempfile::tempdir().unwrap();
    let config = include_str!("config.json")
        .replace("{d}", "127.0.0.1:9")
        .replace("{r1}", &reads.to_string())
        .replace("{w1}", &writes.to_string())
        .replace("\"connect_timeout\": 1000000000", "\"connect_timeout\": 9000000000");
    std::fs::write(folder.path().join("config.json"), config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    let router = begin(command, "router");
    let asked = Instant::now();
    let budget = BUDGET.as_secs().to_string();
    let whole = router.ask(1, 1, "log-chat", "donaupay", &budget, "{\"model\":\"m\"}");
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    let (head, came) = heads.iter().find(|(head, _)| head.starts_with("POST")).unwrap();
    let told = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-budget: ")?.parse::<f64>().ok());
    let told = Duration::from_secs_f64(told.unwrap());
    let left = BUDGET - (came - asked);
    assert!(came - asked > Duration::from_millis(900), "the connection came up late");
    assert!(told <= left + SLACK, "{told:?} told, {left:?} left");
}
