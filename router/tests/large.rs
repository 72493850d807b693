//! Request bodies of the largest size: each API passes the largest allowed body on and refuses one more byte with a
//! clear message; many such bodies at once stay within the memory of a small machine.

mod standins;

use standins::{BothFronts, READ, RELEASED, start_both_fronts, start_server, stream_answer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const MAX_BODY: usize = 256 * 1024;
/// The longest prompt that operators reported, in tokens of four characters.
const LONGEST_PROMPT: usize = 61_671;

/// Starts a router with one reader and one writer. The reader answers after `read_ms`; `largest` is the size of the
/// largest body that it received.
fn start(largest: Arc<AtomicUsize>, read_ms: u64) -> BothFronts {
    let reader = start_server(move |head, body| {
        if head.starts_with("DELETE") {
            return Some(RELEASED.to_owned());
        }
        largest.fetch_max(body.len(), Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(read_ms));
        Some(READ.to_owned())
    });
    let writer = start_server(|_, _| {
        Some(stream_answer("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"}}]}"))
    });
    start_both_fronts(reader, writer)
}

/// A valid body of exactly this size.
fn body(size: usize) -> String {
    let (before, after) = (
        "{\"model\":\"log-chat\",\"messages\":[{\"role\":\"user\",\"content\":\"",
        "\"}],\"max_tokens\":80}",
    );
    format!("{before}{}{after}", "x".repeat(size - before.len() - after.len()))
}

/// Sends a request; returns the whole answer.
fn request(at: SocketAddr, id: usize, body: &str) -> String {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: log-chat\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {id:016x}\r\nX-Budget: 12\r\n\
         X-Call-Info: prompt_len={LONGEST_PROMPT},max_out=80\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(standins::STEP_TIMEOUT)).unwrap();
    // The router may refuse the body by its length, so that writing the rest fails.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn passes_largest_body_and_refuses_larger_one() {
    let largest = Arc::new(AtomicUsize::new(0));
    let router = start(largest.clone(), 0);
    const { assert!(LONGEST_PROMPT * 4 < MAX_BODY, "the longest prompt fits") };
    for (n, front) in [router.platform, router.openai].into_iter().enumerate() {
        largest.store(0, Ordering::SeqCst);
        let answer = request(front, 1 + n, &body(MAX_BODY));
        assert!(answer.starts_with("HTTP/1.1 200"), "front {n}: {answer}");
        assert!(largest.load(Ordering::SeqCst) >= MAX_BODY - 100, "front {n}: the body was cut");
        let refused = request(front, 11 + n, &body(MAX_BODY + 1));
        assert!(refused.starts_with("HTTP/1.1 413"), "front {n}: {refused}");
        assert!(refused.contains("larger than 256 KiB"), "front {n}: {refused}");
    }
}

/// 200 of the largest bodies at once, with 192 MB configured: each request is served or refused, some are served, and
/// the process never uses more memory.
#[test]
fn many_large_bodies_stay_within_configured_memory() {
    let router = start(Arc::default(), 1_500);
    let text = body(MAX_BODY);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..200).map(|n| (n, &router, &text)).collect();
        let requests: Vec<_> = requests
            .into_iter()
            .map(|(n, router, text)| scope.spawn(move || request(router.platform, 100 + n, text)))
            .collect();
        requests.into_iter().map(|request| request.join().unwrap()).collect()
    });
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
    let refused = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 503")).count();
    assert_eq!(served + refused, answers.len(), "each has one of the two answers");
    assert!(served > 10, "{served} served, {refused} refused");
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    println!("{served} served, {refused} refused, {} MB at most", peak / 1024);
    assert!(peak < 192 * 1024, "{peak} kB");
}
