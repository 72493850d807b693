//! Timeouts of servers whose peers are excluded.

use fawnstream_fleet::timeout::timeout_factors;

#[test]
fn timeout_doubles_for_each_excluded_part_of_the_peers() {
    let readers = (0..10).map(|number| (0, number < 4));
    let writers = (0..5).map(|_| (1, false));
    assert_eq!(timeout_factors(5.0, readers.chain(writers)), [4.0, 1.0, 1.0]);
    assert_eq!(timeout_factors(5.0, std::iter::empty()), [1.0; 3]);
}
