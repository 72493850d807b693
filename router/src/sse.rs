//! Server-sent events, as far as the router parses them: lines, split from pieces that end anywhere.

/// A line longer than this is truncated: nothing that the router looks for is this long.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Splits a stream into lines.
#[derive(Default)]
pub struct LineSplitter {
    partial: Vec<u8>,
}

impl LineSplitter {
    /// Passes each line that this piece completes to `on_line`, without its line ending.
    pub fn feed(&mut self, piece: &[u8], mut on_line: impl FnMut(&[u8])) {
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            if self.partial.len() < MAX_LINE_BYTES {
                self.partial.extend_from_slice(part);
            }
            if part.ends_with(b"\n") {
                on_line(self.partial.trim_ascii_end());
                self.partial.clear();
            }
        }
    }
}

/// The value of a field such as `data: ...`, if this line has that field.
pub fn field<'a>(line: &'a [u8], name: &str) -> Option<&'a [u8]> {
    line.strip_prefix(name.as_bytes())?.strip_prefix(b":").map(<[u8]>::trim_ascii_start)
}
