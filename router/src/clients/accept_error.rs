//! Classifies errors of `accept`. accept(2) names three kinds: errors of the new connection itself, which Linux passes
//! on; shortages of the whole machine, which are temporary; and this process being out of file descriptors. Only the
//! last one is a reason to evict connections.

use std::io;
use std::time::Duration;

/// Backoff after a shortage of the machine.
pub const SHORTAGE_BACKOFF: Duration = Duration::from_millis(5);
/// Backoff when this process is out of file descriptors: evicted connections need this time to free theirs.
pub const NO_DESCRIPTORS_BACKOFF: Duration = Duration::from_millis(20);

/// Why `accept` failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The new connection broke before it was accepted; the next one is not affected.
    Connection,
    /// A system-wide table or the machine's memory is full; this process is not the cause.
    Shortage,
    /// This process has no file descriptor left.
    NoDescriptors,
}

impl AcceptError {
    /// Classifies an error of `accept`.
    pub fn classify(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE) => AcceptError::NoDescriptors,
            Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::Shortage,
            Some(
                libc::ECONNABORTED
                | libc::EINTR
                | libc::EPERM
                | libc::EPROTO
                | libc::ENETDOWN
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
                | libc::ETIMEDOUT
                | libc::ECONNRESET,
            ) => AcceptError::Connection,
            // An unknown error may persist: the backoff keeps the accept loop from spinning.
            _ => AcceptError::Shortage,
        }
    }

    /// How long to wait before the next `accept`.
    pub fn backoff(self) -> Option<Duration> {
        match self {
            AcceptError::Connection => None,
            AcceptError::Shortage => Some(SHORTAGE_BACKOFF),
            AcceptError::NoDescriptors => Some(NO_DESCRIPTORS_BACKOFF),
        }
    }

    /// The name in the log lines.
    pub fn name(self) -> &'static str {
        match self {
            AcceptError::Connection => "connection",
            AcceptError::Shortage => "shortage",
            AcceptError::NoDescriptors => "no-descriptors",
        }
    }
}
