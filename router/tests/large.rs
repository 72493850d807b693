//! The largest bodies: on both fronts the largest legal one passes whole and one byte more is refused with a clear word;
//! and many of them at once stay far within the memory of a small machine.

mod standins;

use standins::{BothFronts, READ, RELEASED, answer, both_fronts, serve};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const LARGEST: usize = 256 * 1024;
/// The longest prompt that operators told of, in tokens of four characters.
const LONGEST_PROMPT: usize = 61_671;

/// A router with one reader and one writer that answer all, the reader after a while; `largest` is the largest body that
/// the reader got.
fn start(largest: Arc<AtomicUsize>, read_ms: u64) -> BothFronts {
    let reader = serve(move |head, body| {
        if head.starts_with("DELETE") {
            return Some(RELEASED.to_owned());
        }
        largest.fetch_max(body.len(), Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(read_ms));
        Some(READ.to_owned())
    });
    let writer = serve(|_, _| Some(answer("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"}}]}")));
    both_fronts(reader, writer)
}

/// A body of exactly this size.
fn body(size: usize) -> String {
    let (before, after) = (
        "{\"model\":\"log-chat\",\"messages\":[{\"role\":\"user\",\"content\":\"",
        "\"}],\"max_tokens\":80}",
    );
    format!("{before}{}{after}", "x".repeat(size - before.len() - after.len()))
}

/// The whole answer.
fn ask(at: SocketAddr, id: usize, body: &str) -> String {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: log-chat\r\n\
         X-Caller: donaupay\r\nX-Route-Hash: {id:016x}\r\nX-Budget: 12\r\n\
         X-Call-Info: prompt_len={LONGEST_PROMPT},max_out=80\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(standins::PATIENCE)).unwrap();
    // The router may refuse by the length alone and take the rest as it comes.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn the_largest_legal_body_passes_both_fronts_and_one_byte_more_is_refused() {
    let largest = Arc::new(AtomicUsize::new(0));
    let router = start(largest.clone(), 0);
    const { assert!(LONGEST_PROMPT * 4 < LARGEST, "the longest prompt fits") };
    for (n, front) in [router.platform, router.openai].into_iter().enumerate() {
        largest.store(0, Ordering::SeqCst);
        let answer = ask(front, 1 + n, &body(LARGEST));
        assert!(answer.starts_with("HTTP/1.1 200"), "front {n}: {answer}");
        assert!(largest.load(Ordering::SeqCst) >= LARGEST - 100, "front {n}: it came whole");
        let refused = ask(front, 11 + n, &body(LARGEST + 1));
        assert!(refused.starts_with("HTTP/1.1 413"), "front {n}: {refused}");
        assert!(refused.contains("larger than 256 KiB"), "front {n}: {refused}");
    }
}

/// 200 of the largest bodies are read at once, on a machine that is told 192 MB: all are served or refused, some are
/// served, and the process never had more than that.
#[test]
fn many_of_the_largest_bodies_at_once_stay_within_the_memory_told() {
    let router = start(Arc::default(), 1_500);
    let text = body(LARGEST);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let asked: Vec<_> = (0..200).map(|n| (n, &router, &text)).collect();
        let asked: Vec<_> = asked
            .into_iter()
            .map(|(n, router, text)| scope.spawn(move || ask(router.platform, 100 + n, text)))
            .collect();
        asked.into_iter().map(|asked| asked.join().unwrap()).collect()
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
