//! Faults of the operating system for a started process: a preloaded library, written in C, makes system calls fail in
//! ways that Linux documents and steps the wall clock, as long as a control page says so. The page is a small file that
//! this crate writes and the library maps, so faults begin and end while the process runs.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Words of the page that hold rates, and as many that count what was injected.
const RATES: usize = 16;
/// Where the wall clock's step stands, in bytes.
const STEP_AT: u64 = RATES as u64 * 4;
/// Where the counts stand, in bytes.
const COUNTS_AT: u64 = STEP_AT + 8;
/// The page's size, in bytes.
const SIZE: u64 = COUNTS_AT + RATES as u64 * 4;

/// What can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// `accept4`: the new connection's own errors, and those that pass.
    Accept = 0,
    /// `connect`: no address, no route, refused, timed out.
    Connect = 1,
    /// `socket`: a table or memory is full for a moment.
    Socket = 2,
    /// `open` of a file under the folder: ENOSPC, EIO, ENFILE.
    Open = 3,
    /// `write` to such a file: ENOSPC or EIO, at once or behind half of the bytes.
    Write = 4,
    /// `fsync` and `fdatasync` of such a file: ENOSPC, EIO.
    Sync = 5,
    /// `epoll_wait`: EINTR.
    Wait = 6,
    /// Reads and writes of sockets that move fewer bytes than there are, followed by a fresh edge.
    Short = 7,
    /// `accept4`: this process has no descriptor left (EMFILE).
    Exhausted = 8,
}

/// The preloaded library.
pub fn library_path() -> &'static Path {
    Path::new(concat!(env!("OUT_DIR"), "/libfaults.so"))
}

/// The control page of one process.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    file: std::fs::File,
}

impl FaultControl {
    /// A page that changes nothing yet.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(SIZE)?;
        Ok(FaultControl { path: path.to_owned(), file })
    }

    /// Makes a command start under this page. `folder` is where files fail; chance comes from `seed`.
    pub fn preload(&self, command: &mut Command, seed: u64, folder: Option<&Path>) {
        command.env("LD_PRELOAD", library_path()).env("FAULTS_CONTROL", &self.path);
        command.env("FAULTS_SEED", seed.to_string());
        if let Some(folder) = folder {
            command.env("FAULTS_FOLDER", folder);
        }
    }

    /// From now on so many of a thousand calls fail.
    pub fn set_rate(&self, call: FaultKind, per_mille: u32) -> io::Result<()> {
        self.file.write_all_at(&per_mille.to_ne_bytes(), call as u64 * 4)
    }

    /// From now on the wall clock is so many milliseconds ahead of the machine's; behind it where negative.
    pub fn step_wall_clock(&self, ms: i64) -> io::Result<()> {
        self.file.write_all_at(&ms.to_ne_bytes(), STEP_AT)
    }

    /// How many calls have failed so far.
    pub fn injected_count(&self, call: FaultKind) -> io::Result<u32> {
        let mut count = [0; 4];
        self.file.read_exact_at(&mut count, COUNTS_AT + call as u64 * 4)?;
        Ok(u32::from_ne_bytes(count))
    }

    /// All calls work again, and the wall clock is the machine's.
    pub fn clear(&self) -> io::Result<()> {
        self.file.write_all_at(&[0; COUNTS_AT as usize], 0)
    }
}
