//! Tests of a group under random failovers: its servers end with the same data,
//! and no commit that a majority held is lost.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use masticreel_standins::upstream::{InitialRole, Upstream, UpstreamSettings};
use masticreel_testutils::pg_client::PgClient;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TIMEOUT: Duration = Duration::from_secs(10);
const SERVERS: usize = 3;
const ROUNDS: u64 = 12;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Status {
    term: u64,
    role: String,
    log_term: u64,
    durable: u64,
    applied: u64,
}

fn start(initial_role: InitialRole) -> Upstream {
    let connect_delay = Duration::ZERO;
    Upstream::start(UpstreamSettings { connect_delay, initial_role, ..Default::default() }).unwrap()
}

fn connect(server: &Upstream, user: &str) -> PgClient {
    PgClient::connect(server.address(), &[("user", user)], TIMEOUT).unwrap()
}

fn call_group_function(server: &Upstream, call: &str) -> Result<Status, String> {
    let response = connect(server, "masticreel_control").query(&format!("SELECT * FROM {call}"));
    let response = response.unwrap();
    if let Some(error) = response.error {
        return Err(error.code);
    }
    let field = |index: usize| response.rows()[0][index].clone().unwrap_or_default();
    let number = |index: usize| field(index).parse().unwrap();
    Ok(Status {
        term: number(0),
        role: field(1),
        log_term: number(2),
        durable: number(3),
        applied: number(4),
    })
}

fn status(server: &Upstream) -> Status {
    call_group_function(server, "group_status()").unwrap()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition did not hold in time");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Writes a row on the server, and returns whether it was committed there.
fn write(server: &Upstream, id: u64) -> bool {
    let response = connect(server, "caller").query(&format!("INSERT INTO t VALUES ({id})"));
    response.unwrap().error.is_none()
}

/// Returns whether a majority holds all entries up to the primary's given status.
fn is_held_by_majority(servers: &[Upstream], primary: &Status) -> bool {
    let holds = |server: &&Upstream| {
        let status = status(server);
        let reaches = status.log_term == primary.log_term && status.durable >= primary.durable;
        status.term == primary.term && reaches
    };
    servers.iter().filter(holds).count() > SERVERS / 2
}

/// Fences a random majority and returns the index of its server with the most
/// advanced log, which is to be promoted.
fn fence_majority(servers: &[Upstream], term: u64, random: &mut ChaCha8Rng) -> usize {
    let count = random.random_range(SERVERS / 2 + 1..=SERVERS);
    let fenced = (0..SERVERS).sample(random, count);
    let fence = format!("group_fence({term}, 'claim-{term}')");
    let statuses =
        fenced.iter().map(|index| (call_group_function(&servers[*index], &fence).unwrap(), *index));
    let furthest = statuses.max_by_key(|(status, _)| (status.log_term, status.durable));
    let (_, chosen) = furthest.unwrap();
    // The other servers continue in the old term until they receive group_follow.
    chosen
}

fn rows(server: &Upstream) -> BTreeSet<u64> {
    let response = connect(server, "caller").query("SELECT id FROM t").unwrap();
    response.rows().iter().map(|row| row[0].as_ref().unwrap().parse().unwrap()).collect()
}

fn run_group(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut servers = vec![start(InitialRole::Primary)];
    let replica_role = InitialRole::Replica { primary: Some(servers[0].address()) };
    servers.extend((1..SERVERS).map(|_| start(replica_role.clone())));
    connect(&servers[0], "caller").query("CREATE TABLE t (id INT PRIMARY KEY)").unwrap();
    wait_until(|| servers.iter().all(|server| status(server).durable == 1));
    let mut primary = 0;
    let mut held_by_majority = BTreeSet::new();
    let mut next_id = 0;
    for term in 2..2 + ROUNDS {
        for _ in 0..random.random_range(0..6) {
            next_id += 1;
            if write(&servers[primary], next_id) {
                let at = status(&servers[primary]);
                if random.random_bool(0.5) {
                    wait_until(|| is_held_by_majority(&servers, &at));
                    held_by_majority.insert(next_id);
                }
            }
        }
        let chosen = fence_majority(&servers, term, &mut random);
        // An old primary that was not fenced accepts further writes.
        for _ in 0..random.random_range(0..4) {
            next_id += 1;
            write(&servers[primary], next_id);
        }
        call_group_function(&servers[chosen], &format!("group_promote({term}, 'claim-{term}')"))
            .unwrap();
        let follow = format!("group_follow({term}, '{}')", servers[chosen].address());
        for (index, server) in servers.iter().enumerate() {
            if index != chosen {
                call_group_function(server, &follow).unwrap();
            }
        }
        primary = chosen;
        let present = rows(&servers[primary]);
        let missing: Vec<_> = held_by_majority.difference(&present).collect();
        assert!(missing.is_empty(), "seed {seed}, term {term}: {missing:?} are lost");
    }
    let end = status(&servers[primary]);
    wait_until(|| {
        servers.iter().map(status).all(|status| {
            status.term == end.term && status.applied == end.durable && status.role != "fenced"
        })
    });
    let expected = rows(&servers[primary]);
    for server in &servers {
        assert_eq!(rows(server), expected, "seed {seed}: the servers differ");
    }
}

#[test]
fn test_random_failovers_lose_nothing_that_a_majority_held() {
    for seed in 0..8 {
        run_group(seed);
    }
}

#[test]
fn test_nothing_is_committed_once_a_fence_has_returned() {
    let server = start(InitialRole::Primary);
    connect(&server, "caller").query("CREATE TABLE t (id INTEGER PRIMARY KEY)").unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (0..4)
        .map(|_| {
            let mut client = connect(&server, "caller");
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let mut written = 0_u64;
                while !is_over.load(Ordering::Relaxed) {
                    let response = client.query("INSERT INTO t DEFAULT VALUES").unwrap();
                    written += u64::from(response.error.is_none());
                }
                written
            })
        })
        .collect();
    wait_until(|| status(&server).durable > 100);
    let fenced = call_group_function(&server, "group_fence(2, 'a')").unwrap();
    assert_eq!(fenced.role, "fenced");
    let rows_at_fence = row_count(&server);
    std::thread::sleep(Duration::from_millis(100));
    is_over.store(true, Ordering::Relaxed);
    let written: u64 = writers.into_iter().map(|writer| writer.join().unwrap()).sum();
    let after = status(&server);
    assert_eq!(after.durable, fenced.durable);
    assert_eq!(after.durable, written + 1);
    assert_eq!(row_count(&server), rows_at_fence);
    assert_eq!(rows_at_fence, written);
}

fn row_count(server: &Upstream) -> u64 {
    let response = connect(server, "caller").query("SELECT count(*) FROM t").unwrap();
    response.value().unwrap().parse().unwrap()
}
