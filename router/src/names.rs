//! Stable hashes of names (FNV-1a). Routers agree on them, also after a restart or an upgrade.

use std::hash::Hasher as _;

/// Hashes a name.
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Hashes bytes; equal to [`hash`] for the same UTF-8 text.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
