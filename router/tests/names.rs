//! Hashes of names.

use fawnstream::names::hash;

/// The values of FNV-1a. Different hashes in a new version would move all sessions to other servers.
#[test]
fn hashes_are_stable_across_versions() {
    assert_eq!(hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(hash("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(hash("foobar"), 0x8594_4171_f739_67e8);
}
