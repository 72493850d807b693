//! Event streams, as far as a router reads them: lines, from pieces that end anywhere.

/// A line longer than this is cut: nothing that a router looks for is so long.
const LONGEST_LINE: usize = 256 * 1024;

/// Cuts pieces of a stream into lines.
#[derive(Default)]
pub struct LineSplitter {
    partial: Vec<u8>,
}

impl LineSplitter {
    /// Hands each line that this piece completes to `hear`, without its end.
    pub fn feed(&mut self, piece: &[u8], mut hear: impl FnMut(&[u8])) {
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            if self.partial.len() < LONGEST_LINE {
                self.partial.extend_from_slice(part);
            }
            if part.ends_with(b"\n") {
                hear(self.partial.trim_ascii_end());
                self.partial.clear();
            }
        }
    }
}

/// The value of a line such as `data: ...`.
pub fn field<'a>(line: &'a [u8], name: &str) -> Option<&'a [u8]> {
    line.strip_prefix(name.as_bytes())?.strip_prefix(b":").map(<[u8]>::trim_ascii_start)
}
