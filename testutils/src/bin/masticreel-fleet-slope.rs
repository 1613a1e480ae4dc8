//! Measures what membership, shared documents and store reads cost an idle instance,
//! by the fleet's size.
//!
//! It starts fleets of several sizes, averages the resource use of their instances
//! and fits a line through each cost, to estimate it at a larger size.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use masticreel_testutils::fleet_cost::{Cost, Sample, fit};
use masticreel_testutils::processes::deployment::{
    Deployment, DeploymentSettings, FAILURE_DOMAINS,
};

/// The timeout until all instances consider each other alive.
const FORM_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Limits the idle worker threads, which would use up the machine's process ids.
const WORKER_LIMIT_SETTINGS: &str = "\n[limits]\nmax_concurrent_requests = 16\n";

/// Measure idle fleets of several sizes and fit a line through each cost.
#[derive(FromArgs)]
struct Arguments {
    /// numbers of instances
    #[argh(positional)]
    sizes: Vec<usize>,

    /// seconds to wait before measuring, once the instances have found each other
    #[argh(option, default = "20")]
    settle_s: u64,

    /// seconds to measure
    #[argh(option, default = "30")]
    measure_s: u64,

    /// idle groups of three servers in the document besides the first
    #[argh(option, default = "0")]
    groups: usize,

    /// the size at which the fitted lines are evaluated
    #[argh(option, default = "530")]
    target: usize,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    let mut costs = Vec::new();
    println!("instances,cpu_percent,rss_mb,threads,sent_b_s,received_b_s,store_reads_s,fetches_s");
    for size in &arguments.sizes {
        let cost = measure(*size, &arguments)?;
        println!("{size},{cost}");
        costs.push((*size, cost));
    }
    println!("cost,intercept,slope_per_instance,at_{}", arguments.target);
    for (name, read) in Cost::FIELDS {
        let points: Vec<(f64, f64)> =
            costs.iter().map(|(size, cost)| (*size as f64, read(cost))).collect();
        let (intercept, slope) = fit(&points);
        let at_target = intercept + slope * arguments.target as f64;
        println!("{name},{intercept:.3},{slope:.5},{at_target:.2}");
    }
    Ok(())
}

fn measure(size: usize, arguments: &Arguments) -> io::Result<Cost> {
    let document = (0..arguments.groups).map(group_text).collect();
    let settings = DeploymentSettings {
        instances: size,
        document,
        instance_settings: WORKER_LIMIT_SETTINGS.to_owned(),
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(&format!("slope-{size}"), settings)?;
    wait_until_formed(&deployment, size)?;
    std::thread::sleep(Duration::from_secs(arguments.settle_s));
    let before = samples(&deployment)?;
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(arguments.measure_s));
    let after = samples(&deployment)?;
    Ok(Cost::mean(&before, &after, started.elapsed()))
}

/// Returns the document's text for a group whose servers refuse connections.
fn group_text(number: usize) -> String {
    let mut text =
        format!("\n[[groups]]\nname = \"idle-{number}\"\ndatabase = \"idle-{number}\"\n");
    for (server, domain) in FAILURE_DOMAINS.iter().enumerate() {
        let index = number * FAILURE_DOMAINS.len() + server;
        let (high, low) = (index / 250, index % 250 + 1);
        text.push_str(&format!(
            "\n[[groups.servers]]\nname = \"idle-{index}\"\naddress = \"127.250.{high}.{low}:1\"\n\
             failure_domain = \"{domain}\"\n"
        ));
    }
    text
}

fn samples(deployment: &Deployment) -> io::Result<Vec<Sample>> {
    let processes = deployment.instances.iter().zip(&deployment.addresses);
    processes.map(|(process, addresses)| Sample::take(process.id(), addresses.operators)).collect()
}

fn wait_until_formed(deployment: &Deployment, size: usize) -> io::Result<()> {
    let deadline = Instant::now() + FORM_TIMEOUT;
    let addresses: Vec<SocketAddr> = deployment.addresses.iter().map(|it| it.operators).collect();
    for address in addresses {
        while Sample::members_alive(address)? < size {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{size} instances did not find each other within 60 s"
                )));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    Ok(())
}
