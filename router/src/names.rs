//! Numbers for names: the same at every router and after every restart, so that routers agree.

use std::hash::Hasher as _;

/// A number for a name.
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// The same for bytes.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
