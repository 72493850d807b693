//! A listening socket that the process inherited as a numbered descriptor. The one place of the project with an
//! unsafe block: no safe function of the standard library takes a descriptor by its number, and the well-kept
//! libraries for it want systemd's variables, which this platform does not set.
#![deny(unsafe_code)]
#![warn(missing_docs)]

use socket2::{Socket, Type};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd as _, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// Why a descriptor cannot be taken over.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The text is no number of a descriptor beyond the standard streams.
    #[error("`{0}` is no inherited descriptor's number")]
    Number(String),
    /// No open descriptor has this number, or it is no socket.
    #[error("descriptor {0} is not an open socket")]
    NoSocket(RawFd),
    /// It is a socket that does not listen for TCP connections over IP.
    #[error("descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// A descriptor was taken over before.
    #[error("a descriptor was taken over already")]
    Twice,
    /// The system does not let it be used.
    #[error("descriptor {0}: {1}")]
    Io(RawFd, io::Error),
}

/// Takes over the descriptor with this number, once in the life of a process and before it opens anything else.
/// Other processes may hold the same socket: it is never shut down, and dropping it closes this copy alone.
pub fn listener(number: &str) -> Result<TcpListener, InheritError> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    let fd: RawFd = number
        .trim()
        .parse()
        .ok()
        .filter(|fd| *fd > 2)
        .ok_or_else(|| InheritError::Number(number.to_owned()))?;
    // Guards against a number that nothing stands behind, and against taking what the program opened itself.
    let kind = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if !kind.is_ok_and(|kind| kind.to_string_lossy().starts_with("socket:")) {
        return Err(InheritError::NoSocket(fd));
    }
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(InheritError::Twice);
    }
    // SAFETY: the descriptor is open (just looked up) and nothing in this process owns it: it is no standard
    // stream, this runs once, and its caller has opened nothing yet, so it came from the process's parent.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let socket = Socket::from(owned);
    let io = |error| InheritError::Io(fd, error);
    let tcp = matches!(socket.r#type(), Ok(Type::STREAM));
    let listens = socket.is_listener().unwrap_or(false);
    if !tcp || !listens || socket.local_addr().map_err(io)?.as_socket().is_none() {
        return Err(InheritError::NotListening(fd));
    }
    socket.set_cloexec(true).map_err(io)?;
    socket.set_nonblocking(true).map_err(io)?;
    Ok(socket.into())
}
