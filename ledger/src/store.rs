//! An append-only log on disk, split into segments. After a crash it is read up to the last complete record.
//!
//! A record is the length of its text, the CRC-32 of that length, the CRC-32 of the text, and the text in JSON. The
//! first record of a segment is its head. A file that ends in an incomplete record, in zeros, or in a record with a
//! wrong checksum is torn there, and that record is dropped. Other invalid bytes are damage: an error, never skipped.

use crate::lock::LogLock;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Read, Write};
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

/// The format version that is written, and the newest that can be read.
const FORMAT_VERSION: u32 = 1;
/// The maximum length of a record's text.
const MAX_TEXT_BYTES: u32 = 64 * 1024;
/// The length of the three numbers before a record's text.
const HEADER_BYTES: usize = 12;

/// Why a log cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operating system error.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// Bytes that are not a valid record.
    #[error("{}: damaged at byte {offset}: {reason}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A file of an unknown format or of another log, or a missing segment.
    #[error("{}: {reason}", path.display())]
    Mismatch {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// Another process has the log open for writing.
    #[error("{}: another process writes there", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
}

/// The first record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    fawnstream: String,
    form: u32,
    owner: String,
    segment: u64,
}

/// A record as it is written: header and text.
fn encode_record(text: &[u8]) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    let mut frame = length.to_vec();
    frame.extend_from_slice(&crc32fast::hash(&length).to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(text).to_be_bytes());
    frame.extend_from_slice(text);
    frame
}

/// Fills the buffer, or as much of it as the input has bytes. Returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(size) => filled += size,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}

/// Whether all remaining bytes are zero: some file systems leave such a tail after a crash.
fn only_zeros(input: &mut impl Read) -> io::Result<bool> {
    let mut buffer = [0; 4096];
    loop {
        let size = read_up_to(input, &mut buffer)?;
        if buffer[..size].iter().any(|byte| *byte != 0) {
            return Ok(false);
        }
        if size < buffer.len() {
            return Ok(true);
        }
    }
}

/// What was read from a segment.
enum Next {
    /// The text of a record.
    Text(Vec<u8>),
    /// The segment ends here.
    End,
    /// An incomplete record at the end of the segment.
    Torn,
}

/// A segment that is being read.
struct SegmentReader {
    path: PathBuf,
    file: BufReader<File>,
    /// The end of the last complete record.
    offset: u64,
    /// From the segment's head; `None` until it is read.
    owner: Option<String>,
}

impl SegmentReader {
    fn open(path: &Path) -> Result<Self, StoreError> {
        let io = |error| StoreError::Io { path: path.to_owned(), error };
        Ok(SegmentReader {
            path: path.to_owned(),
            file: BufReader::new(File::open(path).map_err(io)?),
            offset: 0,
            owner: None,
        })
    }

    fn io_error(&self, error: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), error }
    }

    fn damaged(&self, reason: &'static str) -> StoreError {
        StoreError::Damaged { path: self.path.clone(), offset: self.offset, reason }
    }

    fn next_text(&mut self) -> Result<Next, StoreError> {
        let mut header = [0; HEADER_BYTES];
        let size = read_up_to(&mut self.file, &mut header).map_err(|error| self.io_error(error))?;
        if size < HEADER_BYTES {
            return Ok(if size == 0 { Next::End } else { Next::Torn });
        }
        let number_at =
            |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        let (length, length_checksum, text_checksum) = (number_at(0), number_at(4), number_at(8));
        if crc32fast::hash(&header[..4]) != length_checksum || length > MAX_TEXT_BYTES || length == 0 {
            let zeros = header.iter().all(|byte| *byte == 0);
            if zeros && only_zeros(&mut self.file).map_err(|error| self.io_error(error))? {
                return Ok(Next::Torn);
            }
            return Err(self.damaged("invalid record header"));
        }
        let mut text = vec![0; length as usize];
        if read_up_to(&mut self.file, &mut text).map_err(|error| self.io_error(error))? < text.len() {
            return Ok(Next::Torn);
        }
        if crc32fast::hash(&text) != text_checksum {
            // A crash may leave the pages of the last record written out of order; any record before it was synced.
            if read_up_to(&mut self.file, &mut [0]).map_err(|error| self.io_error(error))? == 0 {
                return Ok(Next::Torn);
            }
            return Err(self.damaged("record checksum mismatch"));
        }
        self.offset += HEADER_BYTES as u64 + u64::from(length);
        Ok(Next::Text(text))
    }

    /// Checks the segment's head and takes the owner from it.
    fn read_head(&mut self, kind: &str, text: &[u8]) -> Result<(), StoreError> {
        let mismatch = |reason: String| StoreError::Mismatch { path: self.path.clone(), reason };
        let head: Head = serde_json::from_slice(text)
            .map_err(|error| mismatch(format!("invalid segment head: {error}")))?;
        if head.fawnstream != kind || head.form > FORMAT_VERSION {
            return Err(mismatch(format!("holds {} in format version {}", head.fawnstream, head.form)));
        }
        self.owner = Some(head.owner);
        Ok(())
    }

    /// The next record, or at the end `Err` with whether the end is torn.
    fn next_record<T: DeserializeOwned>(&mut self, kind: &str) -> Result<Result<T, bool>, StoreError> {
        loop {
            match self.next_text()? {
                Next::Text(text) if self.owner.is_none() => self.read_head(kind, &text)?,
                Next::Text(text) => {
                    let record = serde_json::from_slice(&text);
                    return record.map(Ok).map_err(|_| self.damaged("record has unexpected content"));
                }
                Next::End => return Ok(Err(false)),
                Next::Torn => return Ok(Err(true)),
            }
        }
    }
}

/// Reads the records of a log one at a time while it is being written. Reaching the end is not an error: records may
/// follow.
pub struct LogReader<T> {
    folder: PathBuf,
    kind: &'static str,
    segment: Option<(u64, SegmentReader)>,
    _of: PhantomData<T>,
}

impl<T: DeserializeOwned> LogReader<T> {
    /// Starts at the first record. `kind` is the file name prefix of the log.
    pub fn open(folder: &Path, kind: &'static str) -> Result<Self, StoreError> {
        Ok(LogReader { folder: folder.to_owned(), kind, segment: None, _of: PhantomData })
    }

    /// The next complete record; `None` if there is none yet.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<T>, StoreError> {
        loop {
            let next = match &mut self.segment {
                Some((number, segment)) => match segment.next_record(self.kind)? {
                    Ok(record) => return Ok(Some(record)),
                    Err(_) => *number + 1,
                },
                None => 1,
            };
            let path = segment_path(&self.folder, self.kind, next);
            if !path.exists() {
                return Ok(None);
            }
            self.segment = Some((next, SegmentReader::open(&path)?));
        }
    }
}

/// The segments of a log in order.
fn list_segments(folder: &Path, kind: &str) -> Result<Vec<(u64, PathBuf)>, StoreError> {
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
        let reason = format!("segment {} is missing", pair[0].0 + 1);
        return Err(StoreError::Mismatch { path: folder.to_owned(), reason });
    }
    Ok(found)
}

/// Reads all records of a log, one at a time. Returns its owner, empty if there is no log, and whether its end is torn.
pub fn read_all<T: DeserializeOwned>(
    folder: &Path,
    kind: &str,
    mut on_record: impl FnMut(T),
) -> Result<(String, bool), StoreError> {
    let segments = list_segments(folder, kind)?;
    let (mut owner, mut torn) = (None, false);
    for (index, (_, path)) in segments.iter().enumerate() {
        let mut segment = SegmentReader::open(path)?;
        let segment_torn = loop {
            match segment.next_record(kind)? {
                Ok(record) => on_record(record),
                Err(torn) => break torn,
            }
        };
        if segment_torn && index + 1 < segments.len() {
            return Err(segment.damaged("incomplete record in a segment that is not the last"));
        }
        torn |= segment_torn;
        match (&owner, segment.owner) {
            (Some(owner), Some(other)) if *owner != other => {
                let reason = format!("belongs to {other}, but the previous segment belongs to {owner}");
                return Err(StoreError::Mismatch { path: path.clone(), reason });
            }
            (None, first) => owner = first,
            _ => {}
        }
    }
    Ok((owner.unwrap_or_default(), torn))
}

/// The end of the last complete record of a segment.
fn complete_length(path: &Path) -> Result<u64, StoreError> {
    let mut segment = SegmentReader::open(path)?;
    while matches!(segment.next_text()?, Next::Text(_)) {}
    Ok(segment.offset)
}

/// Appends records to a log. Each record stays in memory until it is synced to disk: after a failed write or sync the
/// next [`LogWriter::sync`] writes the missing records again, in the same order, after the last complete one.
pub struct LogWriter<T> {
    folder: PathBuf,
    kind: &'static str,
    owner: String,
    /// The number of the segment that is being written.
    segment: u64,
    file: File,
    /// The end of the last complete record in the file.
    size: u64,
    /// The length of the file that is synced to disk.
    synced: u64,
    /// Encoded records that are not synced.
    unsynced: VecDeque<Vec<u8>>,
    /// How many of `unsynced` are in the file.
    written: usize,
    /// The last call failed; `append` does not write again until a `sync` succeeds.
    failing: bool,
    /// The content of the file after `synced` is unknown.
    uncertain: bool,
    /// The folder's entry for the file is synced.
    folder_synced: bool,
    max_segment_bytes: u64,
    path: PathBuf,
    _lock: LogLock,
    _of: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> LogWriter<T> {
    /// Opens a log for writing and locks it against other processes; see [`LogWriter::open_locked`].
    pub fn open(
        folder: &Path,
        kind: &'static str,
        owner: &str,
        max_segment_bytes: u64,
        on_record: impl FnMut(T),
    ) -> Result<(Self, bool), StoreError> {
        LogWriter::open_locked(LogLock::try_acquire(folder, kind)?, owner, max_segment_bytes, on_record)
    }

    /// Opens a log for writing. Passes the existing records to `on_record`, and cuts off a torn end; returns whether
    /// there was one.
    pub fn open_locked(
        lock: LogLock,
        owner: &str,
        max_segment_bytes: u64,
        mut on_record: impl FnMut(T),
    ) -> Result<(Self, bool), StoreError> {
        let (folder, kind) = (lock.folder(), lock.kind());
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| StoreError::Io { path, error }
        };
        let (existing_owner, torn) = read_all(folder, kind, &mut on_record)?;
        if !existing_owner.is_empty() && existing_owner != owner {
            let reason = format!("belongs to {existing_owner}, not to {owner}");
            return Err(StoreError::Mismatch { path: folder.to_owned(), reason });
        }
        let (segment, path) =
            list_segments(folder, kind)?.pop().unwrap_or_else(|| (1, segment_path(folder, kind, 1)));
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(io(&path))?;
        if torn {
            file.set_len(complete_length(&path)?).map_err(io(&path))?;
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
            folder_synced: false,
            max_segment_bytes,
            path,
            _lock: lock,
            _of: PhantomData,
        };
        if log.size == 0 {
            log.write_head()?;
        }
        log.sync()?;
        Ok((log, torn))
    }

    /// The number of records that are not synced to disk yet.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Appends records. They stay in memory until a [`LogWriter::sync`] succeeds. They are also written to the file at
    /// once if possible, so that they survive a crash of the process.
    pub fn append(&mut self, records: &[T]) -> Result<(), StoreError> {
        for record in records {
            let text = serde_json::to_vec(record).map_err(|error| self.io_error(error.into()))?;
            if text.len() > MAX_TEXT_BYTES as usize {
                return Err(self.io_error(io::ErrorKind::InvalidInput.into()));
            }
            self.unsynced.push_back(encode_record(&text));
        }
        if !self.failing {
            // The next sync retries a failed write and reports the error.
            self.failing = self.write_unwritten().is_err();
        }
        Ok(())
    }

    /// Syncs all appended records to disk. After an error some of them are on disk, and the rest is kept for the next
    /// call.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        let write_result = self.write_unwritten();
        let result = if self.uncertain { write_result } else { self.sync_written().and(write_result) };
        self.failing = result.is_err();
        result
    }

    fn io_error(&self, error: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), error }
    }

    /// Writes the records that are not in the file yet, and begins new segments as needed.
    fn write_unwritten(&mut self) -> Result<(), StoreError> {
        if self.uncertain {
            self.truncate_to_synced()?;
        }
        while self.written < self.unsynced.len() {
            if self.size >= self.max_segment_bytes {
                self.sync_written()?;
                self.begin_segment()?;
            }
            if self.size == 0 {
                self.write_head()?;
            }
            let Some(record) = self.unsynced.get(self.written).cloned() else { break };
            self.write(&record)?;
            self.written += 1;
        }
        Ok(())
    }

    /// Truncates the file to what is synced: after a failed sync the system may have lost the later writes.
    fn truncate_to_synced(&mut self) -> Result<(), StoreError> {
        self.file.set_len(self.synced).map_err(|error| self.io_error(error))?;
        (self.size, self.written, self.uncertain) = (self.synced, 0, false);
        Ok(())
    }

    /// Writes a record after the last complete one. A partial write is cut off.
    fn write(&mut self, record: &[u8]) -> Result<(), StoreError> {
        if let Err(error) = self.file.write_all(record) {
            self.uncertain = self.file.set_len(self.size).is_err();
            return Err(self.io_error(error));
        }
        self.size += record.len() as u64;
        Ok(())
    }

    fn write_head(&mut self) -> Result<(), StoreError> {
        let (fawnstream, owner) = (self.kind.to_owned(), self.owner.clone());
        let head = Head { fawnstream, form: FORMAT_VERSION, owner, segment: self.segment };
        let text = serde_json::to_vec(&head).map_err(|error| self.io_error(error.into()))?;
        self.write(&encode_record(&text))
    }

    /// Begins the next segment. The previous one must be synced.
    fn begin_segment(&mut self) -> Result<(), StoreError> {
        let path = segment_path(&self.folder, self.kind, self.segment + 1);
        let io = |error| StoreError::Io { path: path.clone(), error };
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(io)?;
        // An earlier failed attempt may have left part of the head.
        file.set_len(0).map_err(io)?;
        (self.file, self.path) = (file, path);
        (self.segment, self.size, self.synced, self.folder_synced) = (self.segment + 1, 0, 0, false);
        Ok(())
    }

    /// Syncs what is written to the file.
    fn sync_written(&mut self) -> Result<(), StoreError> {
        if let Err(error) = self.file.sync_data() {
            self.uncertain = true;
            return Err(self.io_error(error));
        }
        if !self.folder_synced {
            // The file's name is stored in the folder.
            let folder = File::open(&self.folder).and_then(|folder| folder.sync_all());
            folder.map_err(|error| self.io_error(error))?;
            self.folder_synced = true;
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
