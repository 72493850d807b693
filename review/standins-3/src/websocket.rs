//! A server that takes WebSocket upgrades (RFC 6455) and keeps the connections open, and upgrades as clients send them.

use crate::http;
use crate::record;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Each upgrade that came: the client's name from `X-Client`, and when.
pub type Upgrades = Arc<Mutex<Vec<(String, Duration)>>>;

fn sha1(text: &[u8]) -> [u8; 20] {
    let mut state: [u32; 5] = [0x67452301, 0xefcdab89, 0x98badcfe, 0x10325476, 0xc3d2e1f0];
    let mut data = text.to_vec();
    data.push(0x80);
    while data.len() % 64 != 56 {
        data.push(0);
    }
    data.extend_from_slice(&(text.len() as u64 * 8).to_be_bytes());
    for block in data.chunks(64) {
        let mut words = [0u32; 80];
        for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for i in 16..80 {
            words[i] = (words[i - 3] ^ words[i - 8] ^ words[i - 14] ^ words[i - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = state;
        for (i, word) in words.iter().enumerate() {
            let (f, k) = match i {
                0..20 => ((b & c) | (!b & d), 0x5a827999),
                20..40 => (b ^ c ^ d, 0x6ed9eba1),
                40..60 => ((b & c) | (b & d) | (c & d), 0x8f1bbcdc),
                _ => (b ^ c ^ d, 0xca62c1d6u32),
            };
            let next = a.rotate_left(5).wrapping_add(f).wrapping_add(e).wrapping_add(k).wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (sum, value) in state.iter_mut().zip([a, b, c, d, e]) {
            *sum = sum.wrapping_add(value);
        }
    }
    let mut out = [0; 20];
    for (bytes, word) in out.chunks_mut(4).zip(state) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let group = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let sign = SIGNS[(group >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= part.len() { sign } else { '=' });
        }
    }
    out
}

/// A server that takes each upgrade at once and says nothing until its connection ends.
pub fn server(name: &'static str) -> (SocketAddr, Upgrades) {
    let upgrades = Upgrades::default();
    let seen = upgrades.clone();
    let address = http::listen(move |mut stream| {
        let mut from = BufReader::new(stream.try_clone().unwrap());
        let Some(message) = http::read_head(&mut from) else { return };
        if !message.field("upgrade").eq_ignore_ascii_case("websocket") {
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            return;
        }
        let client = message.field("x-client").to_owned();
        seen.lock().unwrap().push((client.clone(), record::now()));
        record::line(&format!(
            "{name}: upgrade for client {client}: {} last-event-id={:?}",
            message.first,
            message.field("last-event-id")
        ));
        let key = format!("{}258EAFA5-E914-47DA-95CA-C5AB0DC85B11", message.field("sec-websocket-key"));
        let head = format!(
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Accept: {}\r\n\r\n",
            base64(&sha1(key.as_bytes()))
        );
        if stream.write_all(head.as_bytes()).is_ok() {
            let _ = from.read_to_end(&mut Vec::new());
        }
        record::line(&format!("{name}: connection of client {client} ended"));
    });
    (address, upgrades)
}

/// Connects and asks for an upgrade.
pub fn ask(to: SocketAddr, client: &str) -> std::io::Result<TcpStream> {
    ask_path(to, client, "/v1/follow")
}

pub fn ask_path(to: SocketAddr, client: &str, path: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nX-Client: {client}\r\n\
         Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    Ok(stream)
}
