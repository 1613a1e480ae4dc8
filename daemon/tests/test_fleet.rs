//! Tests of the fleet as separate processes: membership and the active document
//! while instances are killed or suspended and the store is unavailable.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use masticreel_testutils::processes::{Process, Signal};

/// Instances in the fleet.
const SIZE: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Within this time after an instance failed or announced its stop, the others must
/// have stopped routing to it and serve without it.
const ROUTE_AROUND_BOUND: Duration = Duration::from_secs(2);
/// Within this time an edit must be applied everywhere, or a started instance must
/// serve.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Timeout for events that have no bound to keep.
const TIMEOUT: Duration = Duration::from_secs(15);

fn start(name: &str) -> Deployment {
    let settings = DeploymentSettings { instances: SIZE, ..DeploymentSettings::default() };
    let deployment = Deployment::start(name, settings).unwrap();
    let all: Vec<usize> = (0..SIZE).collect();
    wait_for(TIMEOUT, "a full fleet", || all.iter().all(|it| alive(&deployment, *it) == SIZE));
    deployment
}

fn wait_for<Condition>(limit: Duration, what: &str, mut condition: Condition) -> Duration
where
    Condition: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "{what} took longer than {limit:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
    start.elapsed()
}

fn metrics(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.0\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn metric(deployment: &Deployment, instance: usize, name: &str) -> Option<f64> {
    let text = metrics(deployment.addresses[instance].operators)?;
    let line = text.lines().find(|line| line.starts_with(&format!("{name} ")))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn alive(deployment: &Deployment, instance: usize) -> usize {
    let name = "masticreel_members{state=\"alive\"}";
    metric(deployment, instance, name).unwrap_or_default() as usize
}

fn revision(deployment: &Deployment, instance: usize) -> u64 {
    metric(deployment, instance, "masticreel_document_revision").unwrap_or_default() as u64
}

fn serves(deployment: &Deployment, instance: usize) -> bool {
    let Ok(mut client) = deployment.connect(instance) else {
        return false;
    };
    client.set_timeout(Duration::from_secs(3)).unwrap();
    client.query("SELECT 1").is_ok_and(|answer| answer.value() == Some("1"))
}

#[test]
fn test_edit_is_in_force_on_all_instances_within_three_seconds() {
    let mut deployment = start("fleet-edit");
    let text = deployment.document_text().unwrap();
    for edit in 0..5 {
        let before = revision(&deployment, 0);
        deployment.edit_document(&format!("{text}\n# edit {edit}\n")).unwrap();
        let took = wait_for(APPLY_BOUND, "the edit", || {
            (0..SIZE).all(|instance| revision(&deployment, instance) > before)
        });
        println!("edit={edit} in_force_ms={}", took.as_millis());
    }
}

#[test]
fn test_frozen_instance_is_routed_around_and_comes_back() {
    let mut deployment = start("fleet-frozen");
    deployment.instances[1].signal(Signal::Stop).unwrap();
    let others = [0, 2, 3, 4, 5];
    let took = wait_for(ROUTE_AROUND_BOUND, "suspecting the instance", || {
        others.iter().all(|instance| alive(&deployment, *instance) == SIZE - 1)
    });
    println!("frozen_routed_around_ms={}", took.as_millis());
    for instance in others {
        let took = wait_for(ROUTE_AROUND_BOUND, "an answer", || serves(&deployment, instance));
        assert!(took <= ROUTE_AROUND_BOUND, "{took:?}");
    }
    deployment.instances[1].signal(Signal::Continue).unwrap();
    let took = wait_for(TIMEOUT, "the return", || {
        (0..SIZE).all(|instance| alive(&deployment, instance) == SIZE)
    });
    println!("thawed_back_ms={}", took.as_millis());
    assert!(serves(&deployment, 1));
}

#[test]
fn test_killed_instance_is_routed_around_and_replaced() {
    let mut deployment = start("fleet-killed");
    deployment.instances[4].signal(Signal::Kill).unwrap();
    let others = [0, 1, 2, 3, 5];
    let took = wait_for(ROUTE_AROUND_BOUND, "suspecting the instance", || {
        others.iter().all(|instance| alive(&deployment, *instance) == SIZE - 1)
    });
    println!("killed_routed_around_ms={}", took.as_millis());
    assert!(others.iter().all(|instance| serves(&deployment, *instance)));
    deployment.instances[4] = deployment.start_instance(4).unwrap();
    wait_for(TIMEOUT, "the replacement", || {
        (0..SIZE).all(|instance| alive(&deployment, instance) == SIZE)
    });
}

#[test]
fn test_instance_started_with_the_store_down_serves_within_three_seconds() {
    let mut deployment = start("fleet-store-down");
    deployment.store.signal(Signal::Stop).unwrap();
    deployment.instances[2].signal(Signal::Kill).unwrap();
    let start = Instant::now();
    deployment.instances[2] = deployment.start_instance(2).unwrap();
    wait_for(APPLY_BOUND, "an answer", || serves(&deployment, 2));
    println!("served_without_store_ms={}", start.elapsed().as_millis());
    assert!(start.elapsed() <= APPLY_BOUND, "{:?}", start.elapsed());
}

#[test]
fn test_datagrams_without_the_key_change_nothing() {
    let deployment = start("fleet-noise");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let refused = "masticreel_refused_datagrams_total{reason=\"not_authentic\"}";
    let mut noise = vec![0_u8; 1_400];
    for length in (0..1_400).step_by(7) {
        noise.iter_mut().for_each(|byte| *byte = byte.wrapping_mul(31).wrapping_add(length as u8));
        socket.send_to(&noise[..length], deployment.addresses[0].peers).unwrap();
    }
    wait_for(TIMEOUT, "the refusals", || {
        metric(&deployment, 0, refused).is_some_and(|count| count >= 100.0)
    });
    assert_eq!(alive(&deployment, 0), SIZE);
    assert!(serves(&deployment, 0));
}

#[test]
fn test_stopping_instance_says_farewell() {
    let mut deployment = start("fleet-farewell");
    let process: &mut Process = &mut deployment.instances[3];
    process.signal(Signal::Terminate).unwrap();
    assert!(process.wait().unwrap());
    let others = [0, 1, 2, 4, 5];
    wait_for(ROUTE_AROUND_BOUND, "the announcement", || {
        others.iter().all(|instance| {
            let left = "masticreel_members{state=\"left\"}";
            metric(&deployment, *instance, left) == Some(1.0)
        })
    });
}
