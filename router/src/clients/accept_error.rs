//! What a failed `accept` asks for. accept(2) names three kinds: errors of the new connection itself, which Linux passes
//! on; shortages of the whole machine, which pass; and this process being out of descriptors, which alone calls for room.

use std::io;
use std::time::Duration;

/// How long to wait until a shortage of the machine may have passed.
pub const SHORTAGE_BACKOFF: Duration = Duration::from_millis(5);
/// How long to wait until connections that were asked to end have given their descriptors back.
pub const NO_DESCRIPTORS_BACKOFF: Duration = Duration::from_millis(20);

/// Why `accept` failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The new connection broke before it was accepted: the next one is not concerned.
    Connection,
    /// A table or the memory of the machine is full: nothing of this process is at fault.
    Shortage,
    /// This process has no descriptor left.
    NoDescriptors,
}

impl AcceptError {
    /// What an error of `accept` means.
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
            // Not known to pass at once: waiting keeps the loop from spinning.
            _ => AcceptError::Shortage,
        }
    }

    /// How long to wait before the next call.
    pub fn backoff(self) -> Option<Duration> {
        match self {
            AcceptError::Connection => None,
            AcceptError::Shortage => Some(SHORTAGE_BACKOFF),
            AcceptError::NoDescriptors => Some(NO_DESCRIPTORS_BACKOFF),
        }
    }

    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            AcceptError::Connection => "connection",
            AcceptError::Shortage => "shortage",
            AcceptError::NoDescriptors => "no-descriptors",
        }
    }
}
