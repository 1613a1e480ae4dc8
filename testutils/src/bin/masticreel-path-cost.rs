//! Measures the cost of an instance between caller and upstream.
//!
//! The same point reads are sent to the upstream directly and through one
//! instance, in the same run; then the memory of idle callers is measured.

use std::error::Error;
use std::net::SocketAddr;

use masticreel_testutils::load;
use masticreel_testutils::load::report::Report;
use masticreel_testutils::load::settings::{LoadSettings, Protocol, StatementSettings};
use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Process;
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};

/// Runs of each target, alternating so that drift affects both equally.
const ROUNDS: usize = 5;
/// Length of one run, in seconds.
const SECONDS: f64 = 2.0;
/// Callers in the throughput run.
const MANY_CALLERS: usize = 64;
/// Callers that stay connected without sending requests.
const IDLE_CALLERS: usize = 5_000;
/// Rows from which the point reads draw.
const ROWS: u64 = 1_000;
const SEED: u64 = 7;

type Result<Value> = std::result::Result<Value, Box<dyn Error>>;

fn main() -> Result<()> {
    let deployment = Deployment::start("path-cost", settings())?;
    let upstream = deployment.servers[0]
        .address("address")
        .ok_or("the upstream did not report its address")?;
    let instance = deployment.addresses[0].callers;
    load::run(point_reads(instance, 1, SECONDS, set_up()))?;

    println!("callers target p50_us p99_us rate_per_s errors");
    for _ in 0..ROUNDS {
        measure("direct", upstream, 1)?;
        measure("instance", instance, 1)?;
    }
    measure("direct", upstream, MANY_CALLERS)?;
    measure("instance", instance, MANY_CALLERS)?;
    measure_idle(&deployment)
}

fn settings() -> DeploymentSettings {
    let words = |text: &str| text.split_whitespace().map(str::to_owned).collect();
    DeploymentSettings {
        servers: 1,
        instances: 1,
        server_arguments: words("--slots 64 --max-connections 80"),
        server_document: "slots = 64\nmax_connections = 80\n".to_owned(),
        ..DeploymentSettings::default()
    }
}

fn set_up() -> Vec<String> {
    let rows: Vec<String> = (0..ROWS).map(|id| format!("({id}, 'reading {id}')")).collect();
    vec![
        "create table reading (id integer primary key, text text)".to_owned(),
        format!("insert into reading values {}", rows.join(", ")),
    ]
}

fn point_reads(
    target: SocketAddr,
    callers: usize,
    seconds: f64,
    setup: Vec<String>,
) -> LoadSettings {
    let statement = StatementSettings {
        name: "point".to_owned(),
        sql: "select text from reading where id = {id}".to_owned(),
        share: 1.0,
        ids: ROWS,
        protocol: Protocol::Simple,
    };
    LoadSettings {
        targets: vec![target],
        callers,
        seconds,
        seed: SEED,
        user: "load".to_owned(),
        database: DATABASE.to_owned(),
        timeout_ms: 10_000,
        setup,
        statements: vec![statement],
    }
}

fn measure(name: &str, target: SocketAddr, callers: usize) -> Result<()> {
    let report = load::run(point_reads(target, callers, SECONDS, Vec::new()))?;
    print_line(name, callers, &report);
    Ok(())
}

fn print_line(name: &str, callers: usize, report: &Report) {
    for (_, record) in report.statements() {
        let latency = &record.latency_us;
        let errors: u64 = record.errors.values().sum();
        let rate = latency.len() as f64 / SECONDS;
        let p50 = latency.value_at_quantile(0.5);
        let p99 = latency.value_at_quantile(0.99);
        println!("{callers} {name} {p50} {p99} {rate:.0} {errors}");
    }
}

fn measure_idle(deployment: &Deployment) -> Result<()> {
    let process = &deployment.instances[0];
    println!("idle_callers resident_kb");
    println!("0 {}", resident_kb(process)?);
    let callers: Vec<PgClient> =
        (0..IDLE_CALLERS).map(|_| deployment.connect(0)).collect::<std::result::Result<_, _>>()?;
    println!("{} {}", callers.len(), resident_kb(process)?);
    Ok(())
}

fn resident_kb(process: &Process) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or("the process status has no resident size")?.parse()?)
}
