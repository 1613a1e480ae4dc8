//! Messages between instances are the same after encoding and decoding, and invalid
//! bytes are rejected.

use masticreel_proxy::frames::{decode, encode};
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::relays::{RelayAnswer, RelayCall};
use proptest::prelude::*;

fn row(text: &str) -> RelayAnswer {
    RelayAnswer::Message(UpstreamMessage::Row(text.into()))
}

#[test]
fn test_long_message_is_compressed_and_comes_back_whole() {
    let message = row(&"a route like the others ".repeat(10_000));
    let mut bytes = Vec::new();
    encode(&message, &mut bytes);
    assert!(bytes.len() < 24_000, "{} bytes", bytes.len());
    let mut part = bytes[..bytes.len() - 1].to_vec();
    assert_eq!(decode::<RelayAnswer>(&mut part), Ok(None), "the last byte is missing");
    assert_eq!(decode(&mut bytes), Ok(Some(message)));
    assert!(bytes.is_empty());
}

#[test]
fn test_stated_sizes_are_checked_before_anything_is_allocated() {
    let mut long = 0x7fff_ffff_u32.to_be_bytes().to_vec();
    assert!(decode::<RelayCall>(&mut long).is_err_and(|error| error.is_too_large));
    let mut bomb = 0x8000_0008_u32.to_be_bytes().to_vec();
    bomb.extend_from_slice(&u32::MAX.to_le_bytes());
    bomb.extend_from_slice(&[0; 4]);
    assert!(decode::<RelayCall>(&mut bomb).is_err_and(|error| error.is_too_large));
}

proptest! {
    /// Random bytes are decoded to a message, an error, or none for an incomplete
    /// frame; input is removed only with a message.
    #[test]
    fn test_any_bytes_are_a_message_an_error_or_not_whole(
        mut bytes in proptest::collection::vec(any::<u8>(), 0..200),
        is_framed in any::<bool>(),
    ) {
        if is_framed && bytes.len() > 4 {
            let length = u32::try_from(bytes.len() - 4).expect("fewer than 200 bytes");
            let flag = u32::from(bytes[0] & 1) << 31;
            bytes[..4].copy_from_slice(&(length | flag).to_be_bytes());
        }
        let before = bytes.len();
        match decode::<RelayCall>(&mut bytes) {
            Ok(Some(_)) => prop_assert!(bytes.len() < before),
            Ok(None) | Err(_) => prop_assert_eq!(bytes.len(), before),
        }
    }

    #[test]
    fn test_messages_come_back(text in ".{0,5000}") {
        let message = row(&text);
        let mut bytes = Vec::new();
        encode(&message, &mut bytes);
        encode(&message, &mut bytes);
        prop_assert_eq!(decode(&mut bytes), Ok(Some(message.clone())));
        prop_assert_eq!(decode(&mut bytes), Ok(Some(message)));
    }
}
