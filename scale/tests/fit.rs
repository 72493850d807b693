//! Fitting a line to measured points.

use fawnstream_scale::fit::fit_line;

#[test]
fn points_on_a_line_give_that_line() {
    let fitted = fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fitted.slope - 2.0).abs() < 1e-9 && (fitted.offset - 3.0).abs() < 1e-9);
    assert!((fitted.r_squared - 1.0).abs() < 1e-9);
    assert!((fitted.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn single_x_gives_no_line_and_bad_fit_has_low_r_squared() {
    assert_eq!(fit_line(&[(1.0, 5.0)]), None);
    assert_eq!(fit_line(&[(1.0, 5.0), (1.0, 6.0)]), None);
    let peak = fit_line(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]).unwrap();
    assert!(peak.r_squared < 0.1, "{peak:?}");
    assert_eq!(fit_line(&[(0.0, 4.0), (9.0, 4.0)]).unwrap().r_squared, 1.0);
}
