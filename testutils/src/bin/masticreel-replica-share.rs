//! Measures the share of reads that replicas serve, and the latencies of reads and
//! writes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of instances, over which callers are distributed evenly.
const INSTANCES: usize = 3;
/// Rows that callers read and write.
const ROWS: u32 = 100;

/// Measures the share of reads that replicas serve.
#[derive(FromArgs)]
struct Arguments {
    /// how long durable log entries wait until they are applied, in milliseconds
    #[argh(option, default = "50")]
    apply_lag_ms: u64,
    /// share of writes, in percent
    #[argh(option, default = "10")]
    writes_percent: u32,
    /// maximum staleness of reads, in milliseconds; 0 for reads without this limit
    #[argh(option, default = "0")]
    max_staleness_ms: u64,
    /// number of callers, each with its own session
    #[argh(option, default = "12")]
    callers: usize,
    /// pause of a caller between two statements, in milliseconds
    #[argh(option, default = "20")]
    pause_ms: u64,
    /// how long to measure, in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// seed of the callers' random choices
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match measure(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("masticreel-replica-share: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &Arguments) -> io::Result<()> {
    let settings = DeploymentSettings {
        instances: INSTANCES,
        server_arguments: vec!["--apply-lag-ms".to_owned(), arguments.apply_lag_ms.to_string()],
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start("replica-share", settings)?;
    deployment.wait_until_ready()?;
    let mut first = deployment.connect_with(0, &[]).map_err(io::Error::other)?;
    for row in 0..ROWS {
        first.query(&format!("INSERT INTO notes VALUES ('{row}', 0)")).map_err(io::Error::other)?;
    }
    // Stale reads may see data as old as their limit, which must already have the
    // table and its rows.
    thread::sleep(Duration::from_millis(arguments.max_staleness_ms + arguments.apply_lag_ms));
    let before = reads(&deployment)?;
    let until = Instant::now() + Duration::from_secs(arguments.seconds);
    let mut latencies_ms: Vec<Latencies> = Vec::new();
    thread::scope(|scope| -> io::Result<()> {
        let mut callers = Vec::new();
        for number in 0..arguments.callers {
            let client =
                deployment.connect_with(number % INSTANCES, &[]).map_err(io::Error::other)?;
            callers.push(scope.spawn(move || run_caller(client, arguments, number, until)));
        }
        latencies_ms.extend(callers.into_iter().map(|caller| caller.join().unwrap_or_default()));
        Ok(())
    })?;
    let after = reads(&deployment)?;
    let (replica, primary) = (after.replica - before.replica, after.primary - before.primary);
    println!(
        "apply_lag_ms={} writes_percent={} max_staleness_ms={} seed={} reads={} \
         replica_share={:.3} read_p50_ms={} read_p99_ms={} write_p50_ms={} write_p99_ms={} errors={}",
        arguments.apply_lag_ms,
        arguments.writes_percent,
        arguments.max_staleness_ms,
        arguments.seed,
        replica + primary,
        replica / (replica + primary),
        percentile(&latencies_ms, |latencies| &latencies.reads, 0.5),
        percentile(&latencies_ms, |latencies| &latencies.reads, 0.99),
        percentile(&latencies_ms, |latencies| &latencies.writes, 0.5),
        percentile(&latencies_ms, |latencies| &latencies.writes, 0.99),
        latencies_ms.iter().map(|latencies| latencies.errors).sum::<usize>(),
    );
    Ok(())
}

#[derive(Default)]
struct Latencies {
    reads: Vec<u128>,
    writes: Vec<u128>,
    errors: usize,
}

fn run_caller(
    mut client: PgClient,
    arguments: &Arguments,
    number: usize,
    until: Instant,
) -> Latencies {
    let mut random = ChaCha8Rng::seed_from_u64(arguments.seed + number as u64);
    let mut latencies = Latencies::default();
    while Instant::now() < until {
        let row = random.random_range(0..ROWS);
        let is_write = random.random_range(0..100) < arguments.writes_percent;
        let sql = match (is_write, arguments.max_staleness_ms) {
            (true, _) => format!("UPDATE notes SET n = n + 1 WHERE id = '{row}'"),
            (false, 0) => format!("SELECT n FROM notes WHERE id = '{row}'"),
            (false, age) => {
                format!("SELECT n FROM notes WHERE id = '{row}' /*max_staleness_ms='{age}'*/")
            }
        };
        let started = Instant::now();
        let answer = client.query(&sql);
        let took_ms = started.elapsed().as_millis();
        match answer {
            Ok(answer) if answer.error.is_none() && is_write => latencies.writes.push(took_ms),
            Ok(answer) if answer.error.is_none() => latencies.reads.push(took_ms),
            other => {
                eprintln!("failed={other:?}");
                latencies.errors += 1;
            }
        }
        thread::sleep(Duration::from_millis(arguments.pause_ms));
    }
    latencies
}

fn percentile<Select>(latencies: &[Latencies], select: Select, share: f64) -> u128
where
    Select: Fn(&Latencies) -> &Vec<u128>,
{
    let mut all: Vec<u128> = latencies.iter().flat_map(|one| select(one).clone()).collect();
    all.sort_unstable();
    let last = all.len().saturating_sub(1);
    all.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
}

/// The reads that all instances have counted, by the role that served them.
#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    replica: f64,
    primary: f64,
}

fn reads(deployment: &Deployment) -> io::Result<Reads> {
    let mut reads = Reads::default();
    for addresses in &deployment.addresses {
        let metrics = fetch_metrics(addresses.operators)?;
        let value = |served_by: &str| {
            let prefix = format!("masticreel_reads_total{{served_by=\"{served_by}\"}} ");
            let line = metrics.lines().find_map(|line| line.strip_prefix(prefix.as_str()));
            line.and_then(|value| value.trim().parse::<f64>().ok()).unwrap_or(0.0)
        };
        reads.replica += value("replica");
        reads.primary += value("primary");
    }
    Ok(reads)
}

fn fetch_metrics(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    write!(stream, "GET /metrics HTTP/1.0\r\n\r\n")?;
    let mut metrics = String::new();
    stream.read_to_string(&mut metrics)?;
    Ok(metrics)
}
