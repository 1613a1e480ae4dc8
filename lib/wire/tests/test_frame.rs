//! Tests of authenticated frames.

use std::io::Cursor;

use masticreel_base::ids::{Incarnation, InstanceId};
use masticreel_wire::frame::{FrameError, FrameReader, FrameWriter};
use masticreel_wire::message::{Hello, LinkMessage};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const KEY: [u8; 32] = [7; 32];

fn hello(number: u64) -> LinkMessage {
    let instance = InstanceId::from("north-1");
    LinkMessage::Hello(Hello { instance, incarnation: Incarnation(number) })
}

/// Returns the bytes of two frames and the length of the first.
fn two_frames() -> (Vec<u8>, usize) {
    let mut bytes = Vec::new();
    let mut writer = FrameWriter::new(&mut bytes, KEY);
    let first = writer.send(&hello(1)).unwrap();
    writer.send(&hello(2)).unwrap();
    (bytes, first)
}

#[test]
fn test_frames_arrive_in_order() {
    let (bytes, _) = two_frames();
    let mut reader = FrameReader::new(Cursor::new(bytes), KEY);
    assert_eq!(reader.receive::<LinkMessage>().unwrap(), hello(1));
    assert_eq!(reader.receive::<LinkMessage>().unwrap(), hello(2));
    assert!(matches!(reader.receive::<LinkMessage>(), Err(FrameError::Io(_))));
}

#[test]
fn test_replayed_frame_is_refused() {
    let (bytes, first) = two_frames();
    let replayed = [&bytes[..first], &bytes[..first]].concat();
    let mut reader = FrameReader::new(Cursor::new(replayed), KEY);
    reader.receive::<LinkMessage>().unwrap();
    assert!(matches!(reader.receive::<LinkMessage>(), Err(FrameError::Unauthentic)));
}

#[test]
fn test_other_key_is_refused() {
    let (bytes, _) = two_frames();
    let mut reader = FrameReader::new(Cursor::new(bytes), [8; 32]);
    assert!(matches!(reader.receive::<LinkMessage>(), Err(FrameError::Unauthentic)));
}

#[test]
fn test_damaged_bytes_are_never_accepted() {
    let (bytes, first) = two_frames();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (0..first, 1..=255u8);
    runner
        .run(&strategy, |(index, flip)| {
            let mut damaged = bytes.clone();
            damaged[index] ^= flip;
            let mut reader = FrameReader::new(Cursor::new(damaged), KEY);
            prop_assert!(reader.receive::<LinkMessage>().is_err());
            Ok(())
        })
        .unwrap();
}
