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

#[cfg(test)]
mod tests {
    /// The values of FNV-1a: other ones would move every text's home with a new version.
    #[test]
    fn numbers_stay_the_same_from_version_to_version() {
        assert_eq!(super::hash(""), 0xcbf2_9ce4_8422_2325);
        assert_eq!(super::hash("a"), 0xaf63_dc4c_8601_ec8c);
        assert_eq!(super::hash("foobar"), 0x8594_4171_f739_67e8);
    }
}
