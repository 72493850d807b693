//! Stopping a router while a writer does not answer an attempt. The router must end on its own once the time limit for
//! releasing leases is over: servers free what a stopped router left behind some seconds later.

mod standins;

use rustix::process::{Pid, Signal, kill_process};
use standins::{READ, RELEASED, start_discovery, start_router, start_server};
use std::io::Write as _;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The silence of the writer, longer than the test.
const SILENCE: Duration = Duration::from_secs(60);
/// Time from SIGTERM to the end: the router stays open for a while, has 0.8 s to release leases, and as much again for
/// its own work. Operators saw it end within 1.9 s before it kept leases for silent writers.
const MAX_STOP_TIME: Duration = Duration::from_millis(1_900);

#[test]
fn stop_does_not_wait_for_silent_writer() {
    let reader =
        start_server(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
    let writer = start_server(|_, _| {
        std::thread::sleep(SILENCE);
        None
    });
    let (_list, changes) = channel();
    let folder = tempfile::tempdir().unwrap();
    let config = include_str!("config.json")
        .replace("{d}", &start_discovery(changes).to_string())
        .replace("{r1}", &reader.to_string())
        .replace("{w1}", &writer.to_string());
    std::fs::write(folder.path().join("config.json"), config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    let mut router = start_router(
        {
            command.stdin(Stdio::null()).stderr(Stdio::piped());
            command
        },
        "stop",
    );
    let mut client = TcpStream::connect(router.clients).unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: 0000000000005201\r\n\
                X-Call-Class: book-device\r\nX-Caller: donaupay\r\nX-Route-Hash: 0000000000000007\r\nX-Budget: 9\r\n\
                X-Call-Info: prompt_len=90,max_out=80\r\nContent-Length: 2\r\n\r\n{}";
    client.write_all(head.as_bytes()).unwrap();
    // Both the read and the writer's attempt have been sent.
    router.wait_for_metric("router_dispatches", 2);
    drop(client);
    router.wait_for_metric("router_abandoned{type=\"book-device\"}", 1);
    kill_process(Pid::from_child(&router.child), Signal::TERM).unwrap();
    let signalled = Instant::now();
    let status = router.child.wait().unwrap();
    assert!(status.success(), "{status}");
    assert!(signalled.elapsed() < MAX_STOP_TIME, "it ended after {:?}", signalled.elapsed());
}
