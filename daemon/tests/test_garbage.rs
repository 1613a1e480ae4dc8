//! Malformed bytes from a caller neither stop an instance nor affect other callers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use masticreel_testutils::pg_client::{PgClient, startup_bytes};
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const TIMEOUT: Duration = Duration::from_secs(10);
const CASES: u32 = 200;
const SEED: [u8; 32] = [7; 32];

/// The first bytes of a connection: random, malformed and well-formed.
fn opening() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..200),
        (any::<u32>(), any::<u32>(), vec(any::<u8>(), 0..64)).prop_map(|(length, code, body)| {
            [length.to_be_bytes().as_slice(), &code.to_be_bytes(), &body].concat()
        }),
        (0_u16..5, any::<u16>(), vec(any::<u8>(), 0..64))
            .prop_map(|(major, minor, body)| startup_bytes(major, minor, &body)),
        // A cancel request for a connection that does not exist.
        any::<[u8; 8]>().prop_map(|key| {
            [&16_u32.to_be_bytes(), &80_877_102_u32.to_be_bytes(), key.as_slice()].concat()
        }),
    ]
}

/// Messages after a valid start-up, with any type, length and body.
fn messages() -> impl Strategy<Value = Vec<u8>> {
    let kind = prop_oneof![prop::sample::select(b"QPBEDCSHXpdcf".to_vec()), any::<u8>(),];
    let length = prop_oneof![0_u32..64, any::<u32>()];
    let message = (kind, length, vec(any::<u8>(), 0..64)).prop_map(|(kind, length, body)| {
        let mut bytes = vec![kind];
        bytes.extend(length.to_be_bytes());
        bytes.extend(body);
        bytes
    });
    vec(message, 1..4).prop_map(|messages| messages.concat())
}

fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The instance may close the connection before all bytes are sent.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let read = stream.take(1 << 20).read_to_end(&mut answer);
    let timed_out = read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out, "the instance did not close the connection: {bytes:?}");
}

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 100,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn start(name: &str) -> (Deployment, PgClient, SocketAddr) {
    let settings = DeploymentSettings { servers: 1, instances: 1, ..Default::default() };
    let deployment = Deployment::start(name, settings).unwrap();
    let address = deployment.addresses[0].callers;
    let parameters = [("user", "bystander"), ("database", DATABASE)];
    let other_caller = PgClient::connect(address, &parameters, TIMEOUT).unwrap();
    (deployment, other_caller, address)
}

#[test]
fn test_malformed_openings_harm_nobody() {
    let (_deployment, mut other_caller, address) = start("openings");
    let result = runner().run(&opening(), |bytes| {
        send(address, &bytes);
        Ok(())
    });
    result.unwrap();
    assert_eq!(other_caller.query("SELECT 1").unwrap().value(), Some("1"));
}

#[test]
fn test_malformed_messages_harm_nobody() {
    let (_deployment, mut other_caller, address) = start("messages");
    let opening = startup_bytes(3, 0, format!("user\0x\0database\0{DATABASE}\0\0").as_bytes());
    let result = runner().run(&messages(), |bytes| {
        send(address, &[opening.as_slice(), &bytes].concat());
        Ok(())
    });
    result.unwrap();
    assert_eq!(other_caller.query("SELECT 1").unwrap().value(), Some("1"));
}
