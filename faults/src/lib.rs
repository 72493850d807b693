//! Injects operating system faults into a child process. A preloaded C library makes system calls fail in ways that
//! Linux documents and steps the wall clock. It is controlled by a small file that this crate writes and the library
//! maps, so faults can begin and end while the process runs.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The number of fault kinds that the control file has room for: a 32-bit rate and a 32-bit count each.
const MAX_KINDS: usize = 16;
/// The offset of the wall clock step in the control file, in bytes.
const STEP_OFFSET: u64 = MAX_KINDS as u64 * 4;
/// The offset of the counts of injected faults, in bytes.
const COUNTS_OFFSET: u64 = STEP_OFFSET + 8;
/// The size of the control file, in bytes.
const CONTROL_FILE_BYTES: u64 = COUNTS_OFFSET + MAX_KINDS as u64 * 4;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// `accept4`: errors of the new connection, and temporary ones.
    Accept = 0,
    /// `connect`: no local address, no route, refused, timed out.
    Connect = 1,
    /// `socket`: the system's file table or memory is temporarily full.
    Socket = 2,
    /// `open` of a file under the folder: ENOSPC, EIO, ENFILE.
    Open = 3,
    /// `write` to a file under the folder: ENOSPC or EIO, at once or after a partial write. Also `ftruncate`: EIO.
    Write = 4,
    /// `fsync` and `fdatasync` of a file under the folder: ENOSPC, EIO.
    Sync = 5,
    /// `epoll_wait`: EINTR.
    Wait = 6,
    /// Short reads and writes of sockets, each followed by a new readiness event.
    Short = 7,
    /// `accept4`: the process is out of descriptors (EMFILE).
    Exhausted = 8,
    /// `fsync` and `fdatasync` of a file under the folder take 10 s.
    SlowSync = 9,
}

/// The path of the preloaded library.
pub fn library_path() -> &'static Path {
    Path::new(concat!(env!("OUT_DIR"), "/libfaults.so"))
}

/// The control file of one process.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    file: std::fs::File,
}

impl FaultControl {
    /// Creates a control file without faults.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(CONTROL_FILE_BYTES)?;
        Ok(FaultControl { path: path.to_owned(), file })
    }

    /// Makes a command load the library with this control file. File faults apply to files under `folder`; `seed`
    /// determines the random choices.
    pub fn preload(&self, command: &mut Command, seed: u64, folder: Option<&Path>) {
        command.env("LD_PRELOAD", library_path()).env("FAULTS_CONTROL", &self.path);
        command.env("FAULTS_SEED", seed.to_string());
        if let Some(folder) = folder {
            command.env("FAULTS_FOLDER", folder);
        }
    }

    /// Sets how many calls out of a thousand fail.
    pub fn set_rate(&self, kind: FaultKind, per_mille: u32) -> io::Result<()> {
        self.file.write_all_at(&per_mille.to_ne_bytes(), kind as u64 * 4)
    }

    /// Sets how far the wall clock is ahead of the machine's; behind it if negative.
    pub fn step_wall_clock(&self, ms: i64) -> io::Result<()> {
        self.file.write_all_at(&ms.to_ne_bytes(), STEP_OFFSET)
    }

    /// How many faults of this kind were injected so far.
    pub fn injected_count(&self, kind: FaultKind) -> io::Result<u32> {
        let mut count = [0; 4];
        self.file.read_exact_at(&mut count, COUNTS_OFFSET + kind as u64 * 4)?;
        Ok(u32::from_ne_bytes(count))
    }

    /// Ends all faults and resets the wall clock to the machine's.
    pub fn clear(&self) -> io::Result<()> {
        self.file.write_all_at(&[0; COUNTS_OFFSET as usize], 0)
    }
}
