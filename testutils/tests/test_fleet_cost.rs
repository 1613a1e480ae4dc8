//! Tests of the line that is fitted through measured costs.

use masticreel_testutils::fleet_cost::fit;

#[test]
fn test_line_goes_through_points_on_it() {
    let (intercept, slope) = fit(&[(6.0, 13.0), (24.0, 49.0), (96.0, 193.0)]);
    assert!((intercept - 1.0).abs() < 1e-9, "{intercept}");
    assert!((slope - 2.0).abs() < 1e-9, "{slope}");
}

#[test]
fn test_line_through_one_size_is_flat() {
    assert_eq!(fit(&[(6.0, 5.0)]), (5.0, 0.0));
}
