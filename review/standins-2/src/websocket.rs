//! The handshake of WebSocket (RFC 6455) and its short frames, for stand-ins; Base64.

/// SHA-1 (RFC 3174).
fn sha1(input: &[u8]) -> [u8; 20] {
    let mut state: [u32; 5] = [0x67452301, 0xefcdab89, 0x98badcfe, 0x10325476, 0xc3d2e1f0];
    let mut padded = input.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(input.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0u32; 80];
        for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        }
        for at in 16..80 {
            words[at] = (words[at - 3] ^ words[at - 8] ^ words[at - 14] ^ words[at - 16]).rotate_left(1);
        }
        let [mut a, mut b, mut c, mut d, mut e] = state;
        for (at, word) in words.iter().enumerate() {
            let (mixed, constant) = match at {
                0..=19 => ((b & c) | (!b & d), 0x5a827999),
                20..=39 => (b ^ c ^ d, 0x6ed9eba1),
                40..=59 => ((b & c) | (b & d) | (c & d), 0x8f1bbcdc),
                _ => (b ^ c ^ d, 0xca62c1d6u32),
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
    let mut digest = [0; 20];
    for (bytes, word) in digest.chunks_mut(4).zip(state) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    digest
}

pub fn base64(input: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in input.chunks(3) {
        let bits =
            group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for letter in 0..4 {
            match letter <= group.len() {
                true => out.push(char::from(LETTERS[(bits >> (18 - 6 * letter) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// A server's answer to an upgrade with this key.
pub fn accept(key: &str) -> String {
    let digest = sha1(format!("{key}258EAFA5-E914-47DA-95CA-C5AB0DC85B11").as_bytes());
    format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {}\r\n\r\n",
        base64(&digest)
    )
}

/// A client's upgrade, with a number by which its server can be asked for it.
pub fn upgrade(path: &str, client: usize) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nX-Client: {client}\r\n\r\n"
    )
}

/// A masked close frame with code 1000, as a client sends it.
pub const CLIENT_CLOSE: [u8; 8] = [0x88, 0x82, 0, 0, 0, 0, 0x03, 0xe8];
/// A close frame with code 1000, as a server sends it.
pub const SERVER_CLOSE: [u8; 4] = [0x88, 0x02, 0x03, 0xe8];

#[cfg(test)]
mod tests {
    #[test]
    fn handshake_of_the_rfc() {
        assert!(super::accept("dGhlIHNhbXBsZSBub25jZQ==").contains("s3pPLMBiTxaQ9kYGzzhZRbK+xOo="));
    }
}
