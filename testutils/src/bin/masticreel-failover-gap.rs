//! Measures how long callers wait for an acknowledged write when a primary fails.
//!
//! Each run starts a deployment, writes through every instance, makes the primary
//! fail at a random time, and counts acknowledged writes that are missing
//! afterwards.

use std::collections::BTreeSet;
use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use derive_more::{Display, FromStr};
use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of instances of a deployment, each with one caller that writes.
const INSTANCES: usize = 3;
/// The pause between two writes of a caller.
const WRITE_PAUSE: Duration = Duration::from_millis(2);
/// The fault is injected after a random delay below this.
const MAX_FAULT_DELAY_MS: u64 = 500;
/// How long callers continue to write after the fault.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// How the primary fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
enum Fault {
    /// The process is killed.
    Kill,
    /// The process is suspended; its connections stay open.
    Freeze,
    /// The relay in front of the primary is cut.
    Cut,
}

/// Measures the failover gap over many runs.
#[derive(FromArgs)]
struct Arguments {
    /// kill, freeze or cut
    #[argh(option)]
    fault: Fault,
    /// kill the store before the fault
    #[argh(switch)]
    store_down: bool,
    /// number of runs, each with a new deployment
    #[argh(option, default = "20")]
    runs: usize,
    /// seed of the random delays before the fault
    #[argh(option, default = "1")]
    seed: u64,
    /// delay of log entries on their way to replicas, in milliseconds
    #[argh(option, default = "5")]
    receive_lag_ms: u64,
}

/// An acknowledged write.
struct Acknowledged {
    id: String,
    started_at: Instant,
    acknowledged_at: Instant,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match measure(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failover-gap: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &Arguments) -> io::Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(arguments.seed);
    let mut gaps_ms = Vec::new();
    let mut lost = 0;
    for run in 0..arguments.runs {
        let fault_delay = Duration::from_millis(random.random_range(0..MAX_FAULT_DELAY_MS));
        let outcome = run_once(arguments, fault_delay)?;
        println!("run={run} gap_ms={} lost={}", outcome.gap_ms, outcome.lost);
        gaps_ms.push(outcome.gap_ms);
        lost += outcome.lost;
    }
    gaps_ms.sort_unstable();
    let at = |share: f64| gaps_ms[((gaps_ms.len() - 1) as f64 * share).round() as usize];
    println!(
        "fault={} store={} runs={} seed={} p50_ms={} p99_ms={} max_ms={} lost={lost}",
        arguments.fault,
        if arguments.store_down { "down" } else { "up" },
        arguments.runs,
        arguments.seed,
        at(0.5),
        at(0.99),
        at(1.0),
    );
    Ok(())
}

/// When the injection of a fault began and was complete.
#[derive(Debug, Clone, Copy)]
struct FaultTimes {
    began_at: Instant,
    done_at: Instant,
}

struct RunOutcome {
    /// The time from the fault until each caller has had a write acknowledged that
    /// it began after the fault; the observation time if one had none.
    gap_ms: u128,
    /// The number of acknowledged writes that are missing at the end.
    lost: usize,
}

fn run_once(arguments: &Arguments, fault_delay: Duration) -> io::Result<RunOutcome> {
    let lag_ms = arguments.receive_lag_ms.to_string();
    let settings = DeploymentSettings {
        instances: INSTANCES,
        server_arguments: vec!["--receive-lag-ms".to_owned(), lag_ms],
        has_server_relays: true,
        ..DeploymentSettings::default()
    };
    let mut deployment = Deployment::start("failover-gap", settings)?;
    deployment.wait_until_ready()?;
    if arguments.store_down {
        deployment.store.signal(Signal::Kill)?;
    }
    let is_done = AtomicBool::new(false);
    let mut clients = Vec::new();
    for instance in 0..INSTANCES {
        clients.push(deployment.connect_with(instance, &[]).map_err(io::Error::other)?);
    }
    let (fault, writes) = thread::scope(|scope| {
        let is_done = &is_done;
        let writers: Vec<_> = clients
            .into_iter()
            .enumerate()
            .map(|(number, client)| scope.spawn(move || write_until(client, number, is_done)))
            .collect();
        thread::sleep(fault_delay);
        let began_at = Instant::now();
        let injected = inject_fault(&mut deployment, arguments.fault);
        let fault = FaultTimes { began_at, done_at: Instant::now() };
        thread::sleep(OBSERVATION_TIME);
        is_done.store(true, Ordering::Relaxed);
        let writes: Vec<Vec<Acknowledged>> =
            writers.into_iter().map(|writer| writer.join().unwrap_or_default()).collect();
        injected.map(|()| (fault, writes))
    })?;
    let gap = writes.iter().map(|writes| gap(writes, fault)).max().unwrap_or(OBSERVATION_TIME);
    let lost = count_lost(&deployment, &writes)?;
    Ok(RunOutcome { gap_ms: gap.as_millis(), lost })
}

fn inject_fault(deployment: &mut Deployment, fault: Fault) -> io::Result<()> {
    match fault {
        Fault::Kill => deployment.kill_server(0),
        Fault::Freeze => deployment.servers[0].signal(Signal::Stop),
        Fault::Cut => deployment.send_relay_command(0, "cut"),
    }
}

fn write_until(mut client: PgClient, writer: usize, is_done: &AtomicBool) -> Vec<Acknowledged> {
    let mut acknowledged = Vec::new();
    for number in 0.. {
        if is_done.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("w{writer}-{number}");
        let started_at = Instant::now();
        let answer = client.query(&format!("INSERT INTO notes VALUES ('{id}', {number})"));
        match answer {
            Ok(answer) if answer.error.is_none() => {
                acknowledged.push(Acknowledged { id, started_at, acknowledged_at: Instant::now() });
            }
            Ok(_) => {}
            Err(_) => break,
        }
        thread::sleep(WRITE_PAUSE);
    }
    acknowledged
}

fn gap(writes: &[Acknowledged], fault: FaultTimes) -> Duration {
    writes
        .iter()
        .filter(|write| write.started_at >= fault.done_at)
        .map(|write| write.acknowledged_at - fault.began_at)
        .min()
        .unwrap_or(OBSERVATION_TIME)
}

fn count_lost(deployment: &Deployment, writes: &[Vec<Acknowledged>]) -> io::Result<usize> {
    let mut client = deployment.connect_with(1, &[]).map_err(io::Error::other)?;
    let answer = client.query("SELECT id FROM notes").map_err(io::Error::other)?;
    if let Some(error) = &answer.error {
        return Err(io::Error::other(error.to_string()));
    }
    let present: BTreeSet<&str> =
        answer.rows().iter().filter_map(|row| row.first()?.as_deref()).collect();
    let all = writes.iter().flatten();
    Ok(all.filter(|write| !present.contains(write.id.as_str())).count())
}
