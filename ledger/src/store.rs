//! Records on a disk: segments that are only appended to, and read to the last whole record after a crash.
//!
//! A record is its length and that length's CRC-32, its text's CRC-32, and the text, JSON. The first record of a
//! segment is its head. A file that stops inside a record was torn there; bytes that cannot be a record, with others
//! behind them, are damage and never skipped.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
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
    Mismatch {
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

/// What stands next in a segment.
enum Next {
    /// A record's text.
    Text(Vec<u8>),
    /// Nothing more.
    End,
    /// A record that is not whole, and nothing behind it.
    Torn,
}

/// One segment, as it is read.
struct Segment {
    path: PathBuf,
    file: BufReader<File>,
    /// All before this byte is whole.
    at: u64,
    owner: Option<String>,
}

impl Segment {
    fn open(path: &Path) -> Result<Self, StoreError> {
        let io = |error| StoreError::Io { path: path.to_owned(), error };
        Ok(Segment {
            path: path.to_owned(),
            file: BufReader::new(File::open(path).map_err(io)?),
            at: 0,
            owner: None,
        })
    }

    fn failed(&self, error: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), error }
    }

    fn damaged(&self, what: &'static str) -> StoreError {
        StoreError::Damaged { path: self.path.clone(), at: self.at, what }
    }

    fn next(&mut self) -> Result<Next, StoreError> {
        let mut frame = [0; FRAME];
        let size = fill(&mut self.file, &mut frame).map_err(|error| self.failed(error))?;
        if size < FRAME {
            return Ok(if size == 0 { Next::End } else { Next::Torn });
        }
        let part = |from: usize| {
            u32::from_be_bytes([frame[from], frame[from + 1], frame[from + 2], frame[from + 3]])
        };
        let (length, check, sum) = (part(0), part(4), part(8));
        if crc32fast::hash(&frame[..4]) != check || length > LONGEST || length == 0 {
            let zeros = frame.iter().all(|byte| *byte == 0);
            if zeros && only_zeros(&mut self.file).map_err(|error| self.failed(error))? {
                return Ok(Next::Torn);
            }
            return Err(self.damaged("no record's head"));
        }
        let mut text = vec![0; length as usize];
        if fill(&mut self.file, &mut text).map_err(|error| self.failed(error))? < text.len() {
            return Ok(Next::Torn);
        }
        if crc32fast::hash(&text) != sum {
            // The last record's pages may have been written out of order; anything before it was synced.
            if fill(&mut self.file, &mut [0]).map_err(|error| self.failed(error))? == 0 {
                return Ok(Next::Torn);
            }
            return Err(self.damaged("a record's sum is wrong"));
        }
        self.at += FRAME as u64 + u64::from(length);
        Ok(Next::Text(text))
    }

    /// Takes the text of the head, which is the first.
    fn head(&mut self, kind: &str, text: &[u8]) -> Result<(), StoreError> {
        let foreign = |what: String| StoreError::Mismatch { path: self.path.clone(), what };
        let head: Head =
            serde_json::from_slice(text).map_err(|error| foreign(format!("no head: {error}")))?;
        if head.fawnstream != kind || head.form > FORM {
            return Err(foreign(format!("holds {} in form {}", head.fawnstream, head.form)));
        }
        self.owner = Some(head.owner);
        Ok(())
    }

    /// The next record; none at the end, which is torn or not.
    fn record<T: DeserializeOwned>(&mut self, kind: &str) -> Result<Result<T, bool>, StoreError> {
        loop {
            match self.next()? {
                Next::Text(text) if self.owner.is_none() => self.head(kind, &text)?,
                Next::Text(text) => {
                    let record = serde_json::from_slice(&text);
                    return record.map(Ok).map_err(|_| self.damaged("a record makes no sense"));
                }
                Next::End => return Ok(Err(false)),
                Next::Torn => return Ok(Err(true)),
            }
        }
    }
}

/// Reads a folder's records one at a time, and on as they are written. Its end is no error: more may come.
pub struct LogReader<T> {
    folder: PathBuf,
    kind: &'static str,
    segment: Option<(u64, Segment)>,
    _of: PhantomData<T>,
}

impl<T: DeserializeOwned> LogReader<T> {
    /// From the first record on.
    pub fn open(folder: &Path, kind: &'static str) -> Result<Self, StoreError> {
        Ok(LogReader { folder: folder.to_owned(), kind, segment: None, _of: PhantomData })
    }

    /// The next record that was written whole; none if there is none yet.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<T>, StoreError> {
        loop {
            let next = match &mut self.segment {
                Some((number, segment)) => match segment.record(self.kind)? {
                    Ok(record) => return Ok(Some(record)),
                    Err(_) => *number + 1,
                },
                None => 1,
            };
            let path = segment_path(&self.folder, self.kind, next);
            if !path.exists() {
                return Ok(None);
            }
            self.segment = Some((next, Segment::open(&path)?));
        }
    }
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
        return Err(StoreError::Mismatch { path: folder.to_owned(), what });
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
    let (mut owner, mut torn) = (None, false);
    for (place, (_, path)) in all.iter().enumerate() {
        let mut segment = Segment::open(path)?;
        let end = loop {
            match segment.record(kind)? {
                Ok(record) => hear(record),
                Err(end) => break end,
            }
        };
        if end && place + 1 < all.len() {
            return Err(segment.damaged("the file stops here, and is not the last"));
        }
        torn |= end;
        match (&owner, segment.owner) {
            (Some(owner), Some(other)) if *owner != other => {
                let what = format!("belongs to {other}, the one before it to {owner}");
                return Err(StoreError::Mismatch { path: path.clone(), what });
            }
            (None, told) => owner = told,
            _ => {}
        }
    }
    Ok((owner.unwrap_or_default(), torn))
}

/// Up to where a segment is whole.
fn good(path: &Path) -> Result<u64, StoreError> {
    let mut segment = Segment::open(path)?;
    while matches!(segment.next()?, Next::Text(_)) {}
    Ok(segment.at)
}

/// Records that are being written. Each is kept in memory until it is on the disk: a write or a sync that fails is made
/// up for by the next [`LogWriter::sync`], behind the last whole record and in the same order.
pub struct LogWriter<T> {
    folder: PathBuf,
    kind: &'static str,
    owner: String,
    segment: u64,
    file: File,
    /// Whole records end here in the file, and up to there they are on the disk.
    size: u64,
    synced: u64,
    /// Framed records that are not on the disk, and how many of them are in the file.
    unsynced: VecDeque<Vec<u8>>,
    written: usize,
    /// The last call failed: appending does not try again by itself.
    failing: bool,
    /// What stands behind `synced` is not known.
    uncertain: bool,
    /// The folder has the file's name on the disk.
    named: bool,
    largest: u64,
    path: PathBuf,
    _lock: File,
    _of: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> LogWriter<T> {
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
            return Err(StoreError::Mismatch { path: folder.to_owned(), what });
        }
        let (segment, path) =
            segments(folder, kind)?.pop().unwrap_or_else(|| (1, segment_path(folder, kind, 1)));
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(io(&path))?;
        if torn {
            file.set_len(good(&path)?).map_err(io(&path))?;
        }
        let size = file.metadata().map_err(io(&path))?.len();
        let (folder, owner) = (folder.to_owned(), owner.to_owned());
        let mut log = LogWriter {
            folder,
            kind,
            owner,
            segment,
            file,
            size,
            synced: size,
            unsynced: VecDeque::new(),
            written: 0,
            failing: false,
            uncertain: false,
            named: false,
            largest,
            path,
            _lock: held,
            _of: PhantomData,
        };
        if log.size == 0 {
            log.head()?;
        }
        log.sync()?;
        Ok((log, torn))
    }

    /// Records that are not on the disk yet.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Takes records on. They are on the disk after a [`LogWriter::sync`] that succeeds, and stay in memory until then; in the
    /// file they are at once where that can be done, so that they outlive the process.
    pub fn append(&mut self, records: &[T]) -> Result<(), StoreError> {
        for record in records {
            let text = serde_json::to_vec(record).map_err(|error| self.failed(error.into()))?;
            if text.len() > LONGEST as usize {
                return Err(self.failed(io::ErrorKind::InvalidInput.into()));
            }
            self.unsynced.push_back(framed(&text));
        }
        if !self.failing {
            // What fails is tried again by the next sync, which tells.
            self.failing = self.write_out().is_err();
        }
        Ok(())
    }

    /// Puts all that was appended on the disk. After an error a part of it is there, and the rest is kept for the next
    /// call.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        let wrote = self.write_out();
        let done = if self.uncertain { wrote } else { self.sync_written().and(wrote) };
        self.failing = done.is_err();
        done
    }

    fn failed(&self, error: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), error }
    }

    /// Writes what is not in the file yet.
    fn write_out(&mut self) -> Result<(), StoreError> {
        if self.uncertain {
            self.rewind()?;
        }
        while self.written < self.unsynced.len() {
            if self.size >= self.largest {
                self.sync_written()?;
                self.next_segment()?;
            }
            if self.size == 0 {
                self.head()?;
            }
            let Some(frame) = self.unsynced.get(self.written).cloned() else { break };
            self.put(&frame)?;
            self.written += 1;
        }
        Ok(())
    }

    /// Goes back to what is on the disk for certain: after a sync that failed the system may have dropped the rest.
    fn rewind(&mut self) -> Result<(), StoreError> {
        self.file.set_len(self.synced).map_err(|error| self.failed(error))?;
        (self.size, self.written, self.uncertain) = (self.synced, 0, false);
        Ok(())
    }

    /// Writes one frame behind the last whole one; a part of it never stays.
    fn put(&mut self, frame: &[u8]) -> Result<(), StoreError> {
        if let Err(error) = self.file.write_all(frame) {
            self.uncertain = self.file.set_len(self.size).is_err();
            return Err(self.failed(error));
        }
        self.size += frame.len() as u64;
        Ok(())
    }

    /// The first record of a segment.
    fn head(&mut self) -> Result<(), StoreError> {
        let (fawnstream, owner) = (self.kind.to_owned(), self.owner.clone());
        let head = Head { fawnstream, form: FORM, owner, segment: self.segment };
        let text = serde_json::to_vec(&head).map_err(|error| self.failed(error.into()))?;
        self.put(&framed(&text))
    }

    /// Begins the next segment; the one before it is whole on the disk by then.
    fn next_segment(&mut self) -> Result<(), StoreError> {
        let path = segment_path(&self.folder, self.kind, self.segment + 1);
        let failed = |error| StoreError::Io { path: path.clone(), error };
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(failed)?;
        // A try before this one may have left a part of its head.
        file.set_len(0).map_err(failed)?;
        (self.file, self.path) = (file, path);
        (self.segment, self.size, self.synced, self.named) = (self.segment + 1, 0, 0, false);
        Ok(())
    }

    /// Puts on the disk what is in the file.
    fn sync_written(&mut self) -> Result<(), StoreError> {
        if let Err(error) = self.file.sync_data() {
            self.uncertain = true;
            return Err(self.failed(error));
        }
        if !self.named {
            // The file's name is the folder's.
            let folder = File::open(&self.folder).and_then(|folder| folder.sync_all());
            folder.map_err(|error| self.failed(error))?;
            self.named = true;
        }
        self.synced = self.size;
        self.unsynced.drain(..self.written);
        self.written = 0;
        Ok(())
    }
}

fn segment_path(folder: &Path, kind: &str, number: u64) -> PathBuf {
    folder.join(format!("{kind}-{number:08}.log"))
}
