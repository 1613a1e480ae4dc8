//! Tests of the stand-ins as separate processes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Process;

const TIMEOUT: Duration = Duration::from_secs(10);

fn start(arguments: &str) -> Process {
    let words: Vec<String> = arguments.split_whitespace().map(str::to_owned).collect();
    Process::start("masticreel-standin", &words, None).unwrap()
}

fn send_commands(control: SocketAddr, lines: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(control).unwrap();
    stream.write_all(lines.as_bytes()).unwrap();
    BufReader::new(stream).lines().take(lines.lines().count()).map(Result::unwrap).collect()
}

#[test]
fn test_relay_obeys_its_control_address() {
    let upstream = start("upstream --connect-ms 0");
    let target = upstream.address("address").unwrap();
    let relay = start(&format!("relay --target {target}"));
    let (address, control) = (relay.address("address"), relay.address("control").unwrap());
    let parameters = [("user", "caller")];
    let mut client = PgClient::connect(address.unwrap(), &parameters, TIMEOUT).unwrap();
    assert_eq!(send_commands(control, "cut\nnonsense\n"), ["ok", "error"]);
    client.set_timeout(Duration::from_millis(200)).unwrap();
    assert!(client.query("SELECT 1").is_err());
    assert_eq!(send_commands(control, "heal\ndelay_ms 1\n"), ["ok", "ok"]);
    client.set_timeout(TIMEOUT).unwrap();
    assert_eq!(client.read_answer().unwrap().value(), Some("1"));
}

#[test]
fn test_store_and_list_say_where_they_listen() {
    for command in ["store", "instances --lag-ms 5"] {
        let process = start(command);
        for key in ["address", "control"] {
            let address = process.address(key).unwrap();
            assert!(TcpStream::connect(address).is_ok(), "{command} {key}");
        }
    }
}

#[test]
fn test_killed_server_finds_its_log() {
    let directory = std::env::temp_dir().join(format!("test-processes-{}", std::process::id()));
    let arguments = format!("upstream --connect-ms 0 --data-dir {}", directory.display());
    let parameters = [("user", "masticreel_control")];
    let first = start(&arguments);
    let mut client =
        PgClient::connect(first.address("address").unwrap(), &parameters, TIMEOUT).unwrap();
    client.query("CREATE TABLE t (id INT)").unwrap();
    client.query("INSERT INTO t VALUES (1)").unwrap();
    // Kills the process.
    drop(first);
    let second = start(&arguments);
    let mut client =
        PgClient::connect(second.address("address").unwrap(), &parameters, TIMEOUT).unwrap();
    let response = client.query("SELECT * FROM group_status()").unwrap();
    assert_eq!(response.rows()[0][1].as_deref(), Some("fenced"));
    assert_eq!(response.rows()[0][3].as_deref(), Some("2"));
    drop(second);
    std::fs::remove_dir_all(directory).unwrap();
}
