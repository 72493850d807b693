//! The lock that keeps other processes from writing to a log. It ends with its holder, however that ends.

use crate::store::StoreError;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The lock of one log, held until dropped.
#[derive(Debug)]
pub struct LogLock {
    folder: PathBuf,
    kind: &'static str,
    _file: File,
}

impl LogLock {
    /// Takes the lock; fails at once if another process holds it. `kind` is the file name prefix of the log. Creates the
    /// folder if there is none.
    pub fn try_acquire(folder: &Path, kind: &'static str) -> Result<Self, StoreError> {
        let (path, file) = open_lock_file(folder, kind)?;
        match file.try_lock() {
            Ok(()) => Ok(LogLock { folder: folder.to_owned(), kind, _file: file }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path }),
            Err(TryLockError::Error(error)) => Err(StoreError::Io { path, error }),
        }
    }

    /// Takes the lock; waits in the system while another process holds it, so that it is had as soon as it is free.
    pub fn acquire(folder: &Path, kind: &'static str) -> Result<Self, StoreError> {
        let (path, file) = open_lock_file(folder, kind)?;
        loop {
            match file.lock() {
                Ok(()) => return Ok(LogLock { folder: folder.to_owned(), kind, _file: file }),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(StoreError::Io { path, error }),
            }
        }
    }

    /// The folder of the log.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The file name prefix of the log.
    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

fn open_lock_file(folder: &Path, kind: &str) -> Result<(PathBuf, File), StoreError> {
    std::fs::create_dir_all(folder).map_err(|error| StoreError::Io { path: folder.to_owned(), error })?;
    let path = folder.join(format!("{kind}.lock"));
    match OpenOptions::new().create(true).append(true).open(&path) {
        Ok(file) => Ok((path, file)),
        Err(error) => Err(StoreError::Io { path, error }),
    }
}
