//! Records on a disk: segments that are only appended to, and read to the last whole record after a crash.
//!
//! A record is its length and that length's CRC-32, its text's CRC-32, and the text, JSON. The first record of a
//! segment is its head. A file that stops inside a record was torn there; bytes that cannot be a record, with others
//! behind them, are damage and never skipped.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, BufReader, Read, Write};
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

/// The form that this version writes, and the oldest that it reads.
const FORM: u32 = 1;
/// No record is longer.
const LONGEST: u32 = 64 * 1024;
const FRAME: usize = 12;

/// Why a ledger cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system says no.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What it says.
        error: io::Error,
    },
    /// Bytes that cannot be a record.
    #[error("{}: damaged at byte {at}: {what}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        at: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// A file of another form or of another ledger.
    #[error("{}: {what}", path.display())]
    Foreign {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        what: String,
    },
    /// Another process writes there.
    #[error("{}: another process writes there", path.display())]
    Locked {
        /// The file.
        path: PathBuf,
    },
}

/// What a segment begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    fawnstream: String,
    form: u32,
    owner: String,
    segment: u64,
}

/// Where a file ends well.
struct Read1 {
    good: u64,
    whole: bool,
    owner: String,
}

fn framed(text: &[u8]) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    let mut frame = length.to_vec();
    frame.extend_from_slice(&crc32fast::hash(&length).to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(text).to_be_bytes());
    frame.extend_from_slice(text);
    frame
}

/// Reads as many bytes as there are, up to the buffer's size.
fn fill(from: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match from.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(size) => got += size,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(got)
}

/// Whether nothing but zeros follows: some file systems leave them behind a crash.
fn only_zeros(from: &mut impl Read) -> io::Result<bool> {
    let mut piece = [0; 4096];
    loop {
        let size = fill(from, &mut piece)?;
        if piece[..size].iter().any(|byte| *byte != 0) {
            return Ok(false);
        }
        if size < piece.len() {
            return Ok(true);
        }
    }
}

/// Reads one segment. `last`: it may be torn.
fn read<T: DeserializeOwned>(
    path: &Path,
    kind: &str,
    last: bool,
    hear: &mut impl FnMut(T),
) -> Result<Read1, StoreError> {
    let io = |error| StoreError::Io { path: path.to_owned(), error };
    let mut file = BufReader::new(File::open(path).map_err(io)?);
    let (mut at, mut owner) = (0u64, None);
    let whole = loop {
        let damaged = |what| Err(StoreError::Damaged { path: path.to_owned(), at, what });
        let mut frame = [0; FRAME];
        let size = fill(&mut file, &mut frame).map_err(io)?;
        if size == 0 {
            break true;
        }
        if size < FRAME {
            break false;
        }
        let part = |from: usize| {
            u32::from_be_bytes([frame[from], frame[from + 1], frame[from + 2], frame[from + 3]])
        };
        let (length, check, sum) = (part(0), part(4), part(8));
        if crc32fast::hash(&frame[..4]) != check || length > LONGEST || length == 0 {
            if frame.iter().all(|byte| *byte == 0) && only_zeros(&mut file).map_err(io)? {
                break false;
            }
            return damaged("no record's head");
        }
        let mut text = vec![0; length as usize];
        if fill(&mut file, &mut text).map_err(io)? < text.len() {
            break false;
        }
        if crc32fast::hash(&text) != sum {
            // The last record's pages may have been written out of order; anything before it was synced.
            let mut more = [0];
            if fill(&mut file, &mut more).map_err(io)? == 0 {
                break false;
            }
            return damaged("a record's sum is wrong");
        }
        if owner.is_none() {
            let foreign = |what: String| Err(StoreError::Foreign { path: path.to_owned(), what });
            let head: Head = match serde_json::from_slice(&text) {
                Ok(head) => head,
                Err(error) => return foreign(format!("no head: {error}")),
            };
            if head.fawnstream != kind || head.form > FORM {
                return foreign(format!("holds {} in form {}", head.fawnstream, head.form));
            }
            owner = Some(head.owner);
        } else {
            match serde_json::from_slice(&text) {
                Ok(record) => hear(record),
                Err(_) => return damaged("a record makes no sense"),
            }
        }
        at += FRAME as u64 + u64::from(length);
    };
    if !whole && !last {
        return Err(StoreError::Damaged {
            path: path.to_owned(),
            at,
            what: "the file stops here, and is not the last",
        });
    }
    Ok(Read1 { good: at, whole, owner: owner.unwrap_or_default() })
}

/// A ledger's segments in their order.
fn segments(folder: &Path, kind: &str) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let io = |error| StoreError::Io { path: folder.to_owned(), error };
    let mut found = Vec::new();
    for file in std::fs::read_dir(folder).map_err(io)? {
        let path = file.map_err(io)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let number = name.strip_prefix(kind).and_then(|rest| rest.strip_prefix('-')?.strip_suffix(".log"));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            found.push((number, path));
        }
    }
    found.sort();
    if let Some(pair) = found.windows(2).find(|pair| pair[1].0 != pair[0].0 + 1) {
        let what = format!("segment {} is missing", pair[0].0 + 1);
        return Err(StoreError::Foreign { path: folder.to_owned(), what });
    }
    Ok(found)
}

/// Reads all records of a folder, with bounded memory; gives their owner, and whether the end was torn.
pub fn read_all<T: DeserializeOwned>(
    folder: &Path,
    kind: &str,
    mut hear: impl FnMut(T),
) -> Result<(String, bool), StoreError> {
    let all = segments(folder, kind)?;
    let (mut owner, mut torn) = (String::new(), false);
    for (place, (_, path)) in all.iter().enumerate() {
        let read = read(path, kind, place + 1 == all.len(), &mut hear)?;
        if !owner.is_empty() && !read.owner.is_empty() && read.owner != owner {
            let what = format!("belongs to {}, the one before it to {owner}", read.owner);
            return Err(StoreError::Foreign { path: path.clone(), what });
        }
        owner = if read.owner.is_empty() { owner } else { read.owner };
        torn |= !read.whole;
    }
    Ok((owner, torn))
}

/// Records that are being written.
pub struct Log<T> {
    folder: PathBuf,
    kind: &'static str,
    owner: String,
    segment: u64,
    file: File,
    size: u64,
    largest: u64,
    path: PathBuf,
    _lock: File,
    _of: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> Log<T> {
    /// Opens a folder for writing, alone: reads what is there, and cuts a torn end off. True if it did.
    pub fn open(
        folder: &Path,
        kind: &'static str,
        owner: &str,
        largest: u64,
        mut hear: impl FnMut(T),
    ) -> Result<(Self, bool), StoreError> {
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| StoreError::Io { path, error }
        };
        std::fs::create_dir_all(folder).map_err(io(folder))?;
        let lock = folder.join(format!("{kind}.lock"));
        let held = OpenOptions::new().create(true).append(true).open(&lock).map_err(io(&lock))?;
        match held.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked { path: lock }),
            Err(TryLockError::Error(error)) => return Err(StoreError::Io { path: lock, error }),
        }
        let (told, torn) = read_all(folder, kind, &mut hear)?;
        if !told.is_empty() && told != owner {
            let what = format!("belongs to {told}, not to {owner}");
            return Err(StoreError::Foreign { path: folder.to_owned(), what });
        }
        let (segment, path) =
            segments(folder, kind)?.pop().unwrap_or_else(|| (1, segment_path(folder, kind, 1)));
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(io(&path))?;
        let size = if torn { read::<T>(&path, kind, true, &mut |_| {})?.good } else { 0 };
        if torn {
            file.set_len(size).map_err(io(&path))?;
        }
        let size = file.metadata().map_err(io(&path))?.len();
        let (folder, owner) = (folder.to_owned(), owner.to_owned());
        let mut log =
            Log { folder, kind, owner, segment, file, size, largest, path, _lock: held, _of: PhantomData };
        if log.size == 0 {
            log.head()?;
        }
        log.sync()?;
        Ok((log, torn))
    }

    fn failed(&self, error: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), error }
    }

    fn put(&mut self, text: &[u8]) -> Result<(), StoreError> {
        let frame = framed(text);
        self.file.write_all(&frame).map_err(|error| self.failed(error))?;
        self.size += frame.len() as u64;
        Ok(())
    }

    fn head(&mut self) -> Result<(), StoreError> {
        let (fawnstream, owner) = (self.kind.to_owned(), self.owner.clone());
        let head = Head { fawnstream, form: FORM, owner, segment: self.segment };
        let text = serde_json::to_vec(&head).map_err(|error| self.failed(error.into()))?;
        self.put(&text)
    }

    /// Appends records. They are on the disk after [`Log::sync`].
    pub fn append(&mut self, records: &[T]) -> Result<(), StoreError> {
        for record in records {
            if self.size >= self.largest {
                self.roll()?;
            }
            let text = serde_json::to_vec(record).map_err(|error| self.failed(error.into()))?;
            if text.len() > LONGEST as usize {
                return Err(self.failed(io::ErrorKind::InvalidInput.into()));
            }
            self.put(&text)?;
        }
        Ok(())
    }

    /// Begins the next segment; the one before it is whole on the disk by then.
    fn roll(&mut self) -> Result<(), StoreError> {
        self.sync()?;
        let path = segment_path(&self.folder, self.kind, self.segment + 1);
        let opened = OpenOptions::new().create_new(true).append(true).open(&path);
        self.file = opened.map_err(|error| StoreError::Io { path: path.clone(), error })?;
        (self.segment, self.size, self.path) = (self.segment + 1, 0, path);
        self.head()
    }

    /// All that was appended is on the disk.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.file.sync_data().map_err(|error| self.failed(error))?;
        // The file's name is the folder's.
        let folder = File::open(&self.folder).and_then(|folder| folder.sync_all());
        folder.map_err(|error| self.failed(error))
    }
}

fn segment_path(folder: &Path, kind: &str, number: u64) -> PathBuf {
    folder.join(format!("{kind}-{number:08}.log"))
}
