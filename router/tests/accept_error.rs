//! Classification of errors of `accept`.

use fawnstream::clients::accept_error::AcceptError;
use std::io;

#[test]
fn only_emfile_is_exhaustion() {
    let classify = |code| AcceptError::classify(&io::Error::from_raw_os_error(code));
    assert_eq!(classify(libc::EMFILE), AcceptError::NoDescriptors);
    for code in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EBADF] {
        assert_eq!(classify(code), AcceptError::Shortage, "{code}");
    }
    for code in
        [libc::ECONNABORTED, libc::EPROTO, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EINTR, libc::EPERM]
    {
        assert_eq!(classify(code), AcceptError::Connection, "{code}");
    }
}

#[test]
fn waits_for_shortages_but_not_for_connection_errors() {
    assert_eq!(AcceptError::Connection.backoff(), None);
    assert!(AcceptError::Shortage.backoff() < AcceptError::NoDescriptors.backoff());
}
