//! Takes over a listening socket that the process inherited as a numbered file descriptor. It has the only unsafe block
//! of the project: the standard library has no safe function that takes a descriptor by its number, and the maintained
//! crates for it need systemd's environment variables, which this platform does not set.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd as _, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// Why an inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The text is not the number of a descriptor above the standard streams.
    #[error("`{0}` is no inherited descriptor's number")]
    InvalidNumber(String),
    /// The descriptor is not open or not a socket.
    #[error("descriptor {0} is not an open socket")]
    NotASocket(RawFd),
    /// The socket does not listen for TCP connections over IP.
    #[error("descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// This process has already taken over a descriptor.
    #[error("a descriptor was already taken over")]
    AlreadyTaken,
    /// An operating system error.
    #[error("descriptor {0}: {1}")]
    Io(RawFd, io::Error),
}

/// Takes over the descriptor with this number. Call it at most once per process and before opening anything else. Other
/// processes may share the socket: it is never shut down, and dropping it closes only this copy.
pub fn listener(number: &str) -> Result<TcpListener, InheritError> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    let fd: RawFd = number
        .trim()
        .parse()
        .ok()
        .filter(|fd| *fd > 2)
        .ok_or_else(|| InheritError::InvalidNumber(number.to_owned()))?;
    // Rejects descriptors that are not open, and files that the program opened itself.
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if !target.is_ok_and(|target| target.to_string_lossy().starts_with("socket:")) {
        return Err(InheritError::NotASocket(fd));
    }
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(InheritError::AlreadyTaken);
    }
    // SAFETY: the descriptor is open (checked above) and nothing in this process owns it: it is not a standard stream,
    // this runs once, and the caller has opened nothing yet, so the descriptor comes from the parent process.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let io = |error| InheritError::Io(fd, error);
    let is_stream = matches!(socket.r#type(), Ok(Type::STREAM));
    let is_listening = socket.is_listener().unwrap_or(false);
    if !is_stream || !is_listening || socket.local_addr().map_err(io)?.as_socket().is_none() {
        return Err(InheritError::NotListening(fd));
    }
    socket.set_cloexec(true).map_err(io)?;
    socket.set_nonblocking(true).map_err(io)?;
    Ok(socket.into())
}
