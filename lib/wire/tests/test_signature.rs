//! Tests of the signatures of messages.

use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::{is_valid_signature, sign};

#[test]
fn test_only_the_right_key_and_body_pass() {
    let key = SharedKey::from_text("a shared key");
    let signature = sign(&key, b"body");
    assert!(is_valid_signature(&key, b"body", &signature));
    assert!(!is_valid_signature(&key, b"bodY", &signature));
    assert!(!is_valid_signature(&SharedKey::from_text("another"), b"body", &signature));
    assert!(!is_valid_signature(&key, b"body", ""));
    assert!(!is_valid_signature(&key, b"body", &signature[1..]));
}
