//! Tests of the relay: cuts hold bytes back, and links can be delayed and reset.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use masticreel_standins::relay::Relay;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that sends back what it receives.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            std::thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn echo(mut stream: &TcpStream, text: &str) -> std::io::Result<String> {
    stream.write_all(text.as_bytes())?;
    receive(stream, text.len())
}

fn receive(mut stream: &TcpStream, length: usize) -> std::io::Result<String> {
    let mut response = vec![0; length];
    stream.read_exact(&mut response)?;
    Ok(String::from_utf8(response).unwrap())
}

#[test]
fn test_cut_holds_bytes_until_healed() {
    let relay = Relay::start(any_port(), start_echo()).unwrap();
    let stream = TcpStream::connect(relay.address()).unwrap();
    assert_eq!(echo(&stream, "before").unwrap(), "before");
    relay.cut();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert!(echo(&stream, "during").is_err());
    relay.heal();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(receive(&stream, 6).unwrap(), "during");
}

#[test]
fn test_delay_holds_in_both_directions() {
    let relay = Relay::start(any_port(), start_echo()).unwrap();
    relay.set_delay(Duration::from_millis(50));
    let stream = TcpStream::connect(relay.address()).unwrap();
    let start = Instant::now();
    echo(&stream, "x").unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
}

#[test]
fn test_reset_closes_connections() {
    let relay = Relay::start(any_port(), start_echo()).unwrap();
    let stream = TcpStream::connect(relay.address()).unwrap();
    echo(&stream, "x").unwrap();
    relay.reset();
    assert!(echo(&stream, "y").is_err());
}
