//! Tests of cancellation tokens.

use std::time::Duration;

use masticreel_base::cancellation::CancellationToken;

#[test]
fn test_child_is_cancelled_with_its_parent() {
    let parent = CancellationToken::new();
    let child = parent.child();
    parent.cancel();
    assert!(child.is_cancelled());
    assert!(child.wait_timeout(Duration::ZERO));
}

#[test]
fn test_parent_outlives_its_child() {
    let parent = CancellationToken::new();
    parent.child().cancel();
    assert!(!parent.is_cancelled());
}

#[test]
fn test_child_of_a_cancelled_parent_starts_cancelled() {
    let parent = CancellationToken::new();
    parent.cancel();
    assert!(parent.child().is_cancelled());
}
