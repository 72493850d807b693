//! Numbers for names.

use fawnstream::names::hash;

/// The values of FNV-1a: other ones would move every text's home with a new version.
#[test]
fn numbers_stay_the_same_from_version_to_version() {
    assert_eq!(hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(hash("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(hash("foobar"), 0x8594_4171_f739_67e8);
}
