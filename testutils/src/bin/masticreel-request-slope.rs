//! Measures the processor time that a statement costs the two instances on its way:
//! the entry, to which the caller is connected, and the owner of the server.

use std::error::Error;

use argh::FromArgs;
use masticreel_testutils::fleet_cost::{Sample, fit};
use masticreel_testutils::load;
use masticreel_testutils::load::settings::{LoadSettings, Protocol, StatementSettings};
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};

/// The instance in the failure domain of the only server, which owns the server.
const OWNER: usize = 0;
/// The instance to which callers connect.
const ENTRY: usize = 1;
const SEED: u64 = 7;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Measure short reads through two instances with several numbers of callers.
#[derive(FromArgs)]
struct Arguments {
    /// numbers of callers that send one statement after the other
    #[argh(positional)]
    callers: Vec<usize>,

    /// duration of each run, in seconds
    #[argh(option, default = "5.0")]
    seconds: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let deployment = Deployment::start("request-slope", settings())?;
    println!("callers,statements_s,entry_cpu_percent,owner_cpu_percent,entry_us,owner_us");
    let mut entry = vec![(0.0, 0.0)];
    let mut owner = vec![(0.0, 0.0)];
    for callers in &arguments.callers {
        let before = samples(&deployment)?;
        let report = load::run(reads(&deployment, *callers, arguments.seconds))?;
        let after = samples(&deployment)?;
        let statements: u64 = report.statements().map(|(_, record)| record.latency_us.len()).sum();
        let rate = statements as f64 / arguments.seconds;
        let busy = |instance: usize| {
            let used: f64 = after[instance].cpu_s() - before[instance].cpu_s();
            used / arguments.seconds
        };
        let (entry_busy, owner_busy) = (busy(ENTRY), busy(OWNER));
        println!(
            "{callers},{rate:.0},{:.1},{:.1},{:.1},{:.1}",
            100.0 * entry_busy,
            100.0 * owner_busy,
            MICROSECONDS_PER_SECOND * entry_busy / rate,
            MICROSECONDS_PER_SECOND * owner_busy / rate
        );
        entry.push((rate, MICROSECONDS_PER_SECOND * entry_busy));
        owner.push((rate, MICROSECONDS_PER_SECOND * owner_busy));
    }
    println!("slope_us_per_statement,entry={:.1},owner={:.1}", fit(&entry).1, fit(&owner).1);
    Ok(())
}

fn settings() -> DeploymentSettings {
    let words = |text: &str| text.split_whitespace().map(str::to_owned).collect();
    DeploymentSettings {
        servers: 1,
        instances: 2,
        server_arguments: words("--slots 64 --max-connections 80"),
        server_document: "slots = 64\nmax_connections = 80\n".to_owned(),
        ..DeploymentSettings::default()
    }
}

fn samples(deployment: &Deployment) -> std::io::Result<Vec<Sample>> {
    let processes = deployment.instances.iter().zip(&deployment.addresses);
    processes.map(|(process, addresses)| Sample::take(process.id(), addresses.operators)).collect()
}

fn reads(deployment: &Deployment, callers: usize, seconds: f64) -> LoadSettings {
    let statement = StatementSettings {
        name: "read".to_owned(),
        sql: "select {id}".to_owned(),
        share: 1.0,
        ids: 1_000,
        protocol: Protocol::Simple,
    };
    LoadSettings {
        targets: vec![deployment.addresses[ENTRY].callers],
        callers,
        seconds,
        seed: SEED,
        user: "load".to_owned(),
        database: DATABASE.to_owned(),
        timeout_ms: 10_000,
        setup: Vec::new(),
        statements: vec![statement],
    }
}
