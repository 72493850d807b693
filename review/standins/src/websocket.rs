//! RFC 6455 as far as the cases need it: upgrades and frames, on both sides.

use crate::wire::{Conn, Head};
use std::io;
use std::time::Instant;

/// The SHA-1 of a short text.
fn sha1(text: &[u8]) -> [u8; 20] {
    let mut message = text.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(text.len() as u64 * 8).to_be_bytes());
    let mut state: [u32; 5] = [0x6745_2301, 0xefcd_ab89, 0x98ba_dcfe, 0x1032_5476, 0xc3d2_e1f0];
    for block in message.chunks(64) {
        let mut words = [0u32; 80];
        for (at, bytes) in block.chunks(4).enumerate() {
            words[at] = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for at in 16..80 {
            words[at] = (words[at - 3] ^ words[at - 8] ^ words[at - 14] ^ words[at - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = state;
        for (at, word) in words.iter().enumerate() {
            let (mixed, constant) = match at {
                0..20 => ((b & c) | (!b & d), 0x5a82_7999),
                20..40 => (b ^ c ^ d, 0x6ed9_eba1),
                40..60 => ((b & c) | (b & d) | (c & d), 0x8f1b_bcdc),
                _ => (b ^ c ^ d, 0xca62_c1d6u32),
            };
            let next = a
                .rotate_left(5)
                .wrapping_add(mixed)
                .wrapping_add(e)
                .wrapping_add(constant)
                .wrapping_add(*word);
            (e, d, c, b, a) = (d, c, b.rotate_left(30), a, next);
        }
        for (sum, part) in state.iter_mut().zip([a, b, c, d, e]) {
            *sum = sum.wrapping_add(part);
        }
    }
    let mut hash = [0; 20];
    for (at, word) in state.iter().enumerate() {
        hash[at * 4..at * 4 + 4].copy_from_slice(&word.to_be_bytes());
    }
    hash
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            text.push(match digit <= group.len() {
                true => DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char,
                false => '=',
            });
        }
    }
    text
}

/// A server's answer to an upgrade.
pub fn accept(head: &Head) -> String {
    let key = head.field("sec-websocket-key").unwrap_or("");
    let accept = base64(&sha1(format!("{key}258EAFA5-E914-47DA-95CA-C5AB0DC85B11").as_bytes()));
    format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Accept: {accept}\r\n\r\n"
    )
}

/// A client's upgrade.
pub fn upgrade(target: &str) -> String {
    format!(
        "GET {target} HTTP/1.1\r\nHost: api.internal\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
    )
}

/// A frame.
#[derive(Debug)]
pub struct Frame {
    /// It ends its message.
    pub last: bool,
    /// 0 continuation, 1 text, 2 binary, 8 close, 9 ping, 10 pong.
    pub code: u8,
    /// Its content.
    pub payload: Vec<u8>,
}

impl Frame {
    /// The code of a close.
    pub fn close_code(&self) -> u16 {
        self.payload.get(..2).map_or(1005, |code| u16::from_be_bytes([code[0], code[1]]))
    }
}

/// A frame's bytes; clients mask theirs.
pub fn encode(last: bool, code: u8, payload: &[u8], masked: bool) -> Vec<u8> {
    let mut bytes = vec![if last { 0x80 } else { 0 } | code];
    let mask_bit = if masked { 0x80 } else { 0 };
    match payload.len() {
        size @ 0..126 => bytes.push(mask_bit | size as u8),
        size @ 126..65_536 => {
            bytes.push(mask_bit | 126);
            bytes.extend_from_slice(&(size as u16).to_be_bytes());
        }
        size => {
            bytes.push(mask_bit | 127);
            bytes.extend_from_slice(&(size as u64).to_be_bytes());
        }
    }
    let mask = [0x37, 0xfa, 0x21, 0x3d];
    if masked {
        bytes.extend_from_slice(&mask);
    }
    let xor = |(at, byte): (usize, &u8)| if masked { byte ^ mask[at % 4] } else { *byte };
    bytes.extend(payload.iter().enumerate().map(xor));
    bytes
}

/// Reads a frame.
pub fn read(conn: &mut Conn, until: Option<Instant>) -> io::Result<Frame> {
    let start = conn.bytes(2, until)?;
    let size = match start[1] & 0x7f {
        126 => conn.bytes(2, until)?.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte)),
        127 => conn.bytes(8, until)?.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte)),
        short => usize::from(short),
    };
    let mask = if start[1] & 0x80 != 0 { conn.bytes(4, until)? } else { vec![0; 4] };
    let mut payload = conn.bytes(size, until)?;
    payload.iter_mut().enumerate().for_each(|(at, byte)| *byte ^= mask[at % 4]);
    Ok(Frame { last: start[0] & 0x80 != 0, code: start[0] & 0x0f, payload })
}
