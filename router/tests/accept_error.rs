//! What failed accepts ask for.

use fawnstream::clients::accept_error::AcceptError;
use std::io;

#[test]
fn only_a_process_without_descriptors_calls_for_room() {
    let of = |code| AcceptError::classify(&io::Error::from_raw_os_error(code));
    assert_eq!(of(libc::EMFILE), AcceptError::NoDescriptors);
    for code in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EBADF] {
        assert_eq!(of(code), AcceptError::Shortage, "{code}");
    }
    for code in
        [libc::ECONNABORTED, libc::EPROTO, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EINTR, libc::EPERM]
    {
        assert_eq!(of(code), AcceptError::Connection, "{code}");
    }
}

#[test]
fn what_does_not_pass_at_once_is_waited_for() {
    assert_eq!(AcceptError::Connection.backoff(), None);
    assert!(AcceptError::Shortage.backoff() < AcceptError::NoDescriptors.backoff());
}
