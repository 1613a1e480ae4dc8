//! Measures an owner's memory per server and its time per request, by the number of
//! caller bases and waiting requests.

use std::collections::VecDeque;
use std::error::Error;
use std::fs;
use std::time::{Duration, Instant};

use argh::FromArgs;
use masticreel_admission::connection_pool::Ownership;
use masticreel_admission::expected_times::Fingerprint;
use masticreel_admission::request::{ConnectionNeed, ConnectionOutcome};
use masticreel_admission::server_admission::{ServerAction, ServerAdmission, Submission};
use masticreel_base::ids::{Incarnation, RequestId};
use masticreel_document::class::Class;

type Admission = ServerAdmission<u64, u64>;

const PAGE_BYTES: u64 = 4096;
const MAX_CONNECTIONS: u32 = 30;
const SLOTS: u32 = 2;
const SERVERS: usize = 200;
const CYCLES: u32 = 20_000;
/// Long enough that no request expires during a run.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);

/// Measure an owner's memory and time for one load; use one process per load,
/// because freed memory is not returned to the system.
#[derive(FromArgs)]
struct Arguments {
    /// caller bases over which the requests are distributed
    #[argh(option)]
    caller_bases: u64,

    /// requests that wait for each server
    #[argh(option)]
    waiting: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let Arguments { caller_bases, waiting } = argh::from_env();
    let now = Instant::now();
    let before = resident_bytes()?;
    let mut servers: Vec<Admission> =
        (0..SERVERS).map(|_| filled_server(caller_bases, waiting, now)).collect();
    let bytes_per_server = resident_bytes()?.saturating_sub(before) / SERVERS as u64;
    let request_ns = time_per_request(&mut servers[0], caller_bases, now);
    println!(
        "servers={SERVERS} caller_bases={caller_bases} waiting={waiting} \
         bytes_per_server={bytes_per_server} request_ns={request_ns}"
    );
    Ok(())
}

/// Creates a server's admission state whose slots are busy and whose queue holds
/// the given number of requests.
fn filled_server(caller_bases: u64, waiting: u64, now: Instant) -> Admission {
    let mut admission = Admission::new(MAX_CONNECTIONS, SLOTS, Ownership::Sole);
    for session in 0..waiting + u64::from(SLOTS) {
        let (_, mut actions) = admission.submit(submission(session, caller_bases, now), now);
        while let Some(action) = actions.pop() {
            if let ServerAction::Open(connection, target) = action {
                actions.extend(admission.connection_opened(connection, target, now));
            }
        }
    }
    admission
}

/// Returns the mean processing time, in nanoseconds, of a cycle that submits one
/// request and finishes another, so that the queue's length stays constant.
fn time_per_request(admission: &mut Admission, caller_bases: u64, now: Instant) -> u128 {
    let mut running: VecDeque<RequestId> = (0..u64::from(SLOTS)).map(RequestId).collect();
    let mut session = 1_000_000;
    let begin = Instant::now();
    for _ in 0..CYCLES {
        session += 1;
        let (_, actions) = admission.submit(submission(session, caller_bases, now), now);
        running.extend(started(&actions));
        let Some(id) = running.pop_front() else { continue };
        let took = Some(Duration::from_millis(5));
        let connection = admission.connection_of(id).expect("the request executes");
        running.extend(started(&admission.finished(id, ConnectionOutcome::Idle, took, now)));
        let released = admission.connection_released(connection, ConnectionOutcome::Idle, now);
        running.extend(started(&released));
    }
    begin.elapsed().as_nanos() / u128::from(CYCLES)
}

fn started(actions: &[ServerAction<u64>]) -> Vec<RequestId> {
    let ids = actions.iter().filter_map(|action| match action {
        ServerAction::Start(id, _) => Some(*id),
        _ => None,
    });
    ids.collect()
}

fn submission(session: u64, caller_bases: u64, now: Instant) -> Submission<u64, u64> {
    let caller_base = session % caller_bases;
    Submission {
        session,
        connection_target: caller_base,
        class: Class::Normal,
        fingerprint: Fingerprint::from(session % 50),
        deadline: now + REQUEST_TIMEOUT,
        caller_base: format!("base-{caller_base}").into(),
        entry_incarnation: Incarnation(session % 6),
        need: ConnectionNeed::Statement,
    }
}

/// Returns the process's resident memory, in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
