//! Measures the time to choose a server, the time to start a waiting request of a server's
//! queue, and the memory of both, by the number of organisations and waiting requests.

use std::error::Error;
use std::hint::black_box;
use std::time::{Duration, Instant};

use argh::FromArgs;
use masticreel_proxy::balancing::{Draws, LoadReport, ServerLoad, ServerOption, rank};
use masticreel_proxy::moment::Moment;
use masticreel_proxy::queue::{Ticket, WaitingQueue};

const CYCLES: u32 = 2_000;
const SERVERS_OF_GROUP: u32 = 3;

/// Measure the choice of a server and the queue of a server for one load.
#[derive(FromArgs)]
struct Arguments {
    /// organisations over which the requests are distributed
    #[argh(option)]
    organisations: usize,

    /// requests that wait for the server
    #[argh(option)]
    waiting: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let Arguments { organisations, waiting } = argh::from_env();
    let now = Moment::from_start(Duration::from_secs(10));
    println!(
        "organisations={organisations} waiting={waiting} choice_ns={} start_us={:.1} \
         bytes_per_server={} bytes_per_waiting={}",
        choice_ns(now),
        start_us(organisations, waiting, now),
        size_of::<ServerLoad>(),
        WaitingQueue::<u64>::BYTES_PER_REQUEST,
    );
    Ok(())
}

/// Returns the time to rank the servers of a group.
fn choice_ns(now: Moment) -> u128 {
    let mut draws = Draws::new(7);
    let loads: Vec<ServerLoad> = (1..=SERVERS_OF_GROUP)
        .map(|number| {
            let mut load = ServerLoad::default();
            let report = LoadReport { load_hundredths: 70 * number, statement_tenths_ms: 120 };
            load.record_report(report, now);
            load
        })
        .collect();
    let options: Vec<ServerOption<'_>> = loads
        .iter()
        .enumerate()
        .map(|(index, load)| ServerOption {
            load: Some(load),
            slots: 4,
            running: 1,
            is_primary: index == 0,
            is_remote: index != 1,
            has_owner: true,
            is_avoided: false,
            is_at_limit: false,
        })
        .collect();
    let started = Instant::now();
    for _ in 0..CYCLES {
        black_box(rank(black_box(&options), now, &mut draws));
    }
    (started.elapsed() / CYCLES).as_nanos()
}

/// Returns the time to find the next request, start it and queue another one, in
/// microseconds.
fn start_us(organisations: usize, waiting: usize, now: Moment) -> f64 {
    let names: Vec<String> =
        (0..organisations).map(|number| format!("organisation-{number}")).collect();
    let mut queue = WaitingQueue::default();
    let mut tickets: Vec<Ticket> = Vec::new();
    let push = |queue: &mut WaitingQueue<usize>, tickets: &mut Vec<Ticket>| {
        let id = tickets.len();
        let name = Some(names[id * 7919 % organisations].as_str());
        let due_at = now + Duration::from_secs(1);
        let expected = Duration::from_millis(u64::try_from(id % 40).unwrap_or_default());
        tickets.push(queue.push_for(
            name,
            1 + u8::from(id.is_multiple_of(3)),
            id,
            due_at,
            expected,
        ));
    };
    for _ in 0..waiting {
        push(&mut queue, &mut tickets);
    }
    let started = Instant::now();
    for _ in 0..CYCLES {
        if let Some(first) = queue.in_order(now).first() {
            queue.start(tickets[*first]);
        }
        push(&mut queue, &mut tickets);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(CYCLES)
}
