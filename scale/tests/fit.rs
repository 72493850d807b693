//! The line through measured points.

use fawnstream_scale::fit::line;

#[test]
fn a_line_goes_through_points_on_it() {
    let found = line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((found.slope - 2.0).abs() < 1e-9 && (found.offset - 3.0).abs() < 1e-9);
    assert!((found.r_squared - 1.0).abs() < 1e-9);
    assert!((found.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn what_is_no_line_says_so() {
    assert_eq!(line(&[(1.0, 5.0)]), None);
    assert_eq!(line(&[(1.0, 5.0), (1.0, 6.0)]), None);
    let bent = line(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]).unwrap();
    assert!(bent.r_squared < 0.1, "{bent:?}");
    assert_eq!(line(&[(0.0, 4.0), (9.0, 4.0)]).unwrap().r_squared, 1.0);
}
