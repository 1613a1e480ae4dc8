//! Replays an experiment's arrivals against real processes and measures latencies.
//!
//! Each phase is replayed twice, each time against a new deployment: directly to
//! the server as the baseline, then through masticreel's instances.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use masticreel_testutils::experiment::settings::{ExperimentSettings, Phase};
use masticreel_testutils::processes::deployment::{
    Deployment, DeploymentSettings, FAILURE_DOMAINS, start_relay,
};
use masticreel_testutils::replay::{ArrivalResult, Route, kinds, replay};

/// Replay an experiment's arrivals against processes: a store, one server and as many
/// instances as the settings have entries.
#[derive(FromArgs)]
struct Arguments {
    /// settings of the experiment (TOML)
    #[argh(positional)]
    settings: PathBuf,

    /// one-way latency between failure domains, in milliseconds
    #[argh(option, default = "1.5")]
    distance_ms: f64,

    /// the only phase to replay (default: all)
    #[argh(option)]
    phase: Option<String>,

    /// maximum duration of a phase, in milliseconds
    #[argh(option, default = "10000")]
    duration_ms: u64,
}

/// Connections that the server reserves for the instances' own queries.
const RESERVED_CONNECTIONS: u32 = 3;
const MAX_LATENCY_US: u64 = 600_000_000;
/// How long to wait after the start until one instance owns the server.
const OWNERSHIP_WAIT: Duration = Duration::from_millis(500);

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let mut settings: ExperimentSettings =
        toml::from_str(&fs::read_to_string(&arguments.settings)?)?;
    settings.warm_up_ms = settings.warm_up_ms.min(3000);
    for phase in &mut settings.phases {
        phase.duration_ms = phase.duration_ms.min(arguments.duration_ms);
    }
    println!("phase,route,kind,arrived,answered,in_time,failed,p50_ms,p99_ms,max_ms,load");
    let wanted = arguments.phase.as_deref();
    for phase in settings.phases.iter().filter(|phase| wanted.is_none_or(|w| w == &*phase.name)) {
        for route in ["direct", "masticreel"] {
            let deployment = deployment(&settings, arguments.distance_ms)?;
            std::thread::sleep(OWNERSHIP_WAIT);
            let server = deployment.servers[0].address("address");
            let server = server.ok_or("the server did not report its address")?;
            let relay = start_relay(server, arguments.distance_ms)?;
            let far_server =
                relay.address("address").ok_or("the relay did not report its address")?;
            let target = match route {
                "direct" => {
                    // The server is in the first failure domain.
                    let is_near = |entry| entry % FAILURE_DOMAINS.len() == 0;
                    let address = |entry| if is_near(entry) { server } else { far_server };
                    Route::Direct((0..settings.entries as usize).map(address).collect())
                }
                _ => Route::Instances(
                    deployment.addresses.iter().map(|addresses| addresses.callers).collect(),
                ),
            };
            let replayed = replay(&settings, phase, &target);
            report(&settings, phase, route, &replayed);
        }
    }
    Ok(())
}

fn deployment(settings: &ExperimentSettings, distance_ms: f64) -> std::io::Result<Deployment> {
    let slots = settings.slots;
    let max_connections = settings.connections + RESERVED_CONNECTIONS;
    let arguments = format!("--slots {slots} --max-connections {max_connections}");
    let deployment = DeploymentSettings {
        servers: 1,
        instances: settings.entries as usize,
        server_arguments: arguments.split(' ').map(str::to_owned).collect(),
        server_document: format!("slots = {slots}\nmax_connections = {max_connections}\n"),
        // There is no previous owner to wait for.
        instance_settings: "\n[limits]\nhandover_timeout_ms = 0\n".into(),
        distance_ms,
        ..DeploymentSettings::default()
    };
    Deployment::start("replay", deployment)
}

fn report(settings: &ExperimentSettings, phase: &Phase, route: &str, replayed: &[ArrivalResult]) {
    for kind in kinds(settings) {
        let of_kind: Vec<&ArrivalResult> =
            replayed.iter().filter(|replayed| replayed.arrival.kind == kind).collect();
        let answered: Vec<&ArrivalResult> =
            of_kind.iter().copied().filter(|replayed| replayed.error_code.is_none()).collect();
        let in_time =
            answered.iter().filter(|replayed| replayed.latency <= replayed.arrival.timeout);
        let mut latencies =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        for replayed in &answered {
            latencies.saturating_record(u64::try_from(replayed.latency.as_micros()).unwrap_or(0));
        }
        let milliseconds = |percentile| latencies.value_at_percentile(percentile) as f64 / 1000.0;
        println!(
            "{},{route},{kind},{},{},{},{},{:.2},{:.2},{:.2},{:.3}",
            phase.name,
            of_kind.len(),
            answered.len(),
            in_time.count(),
            of_kind.len() - answered.len(),
            milliseconds(50.0),
            milliseconds(99.0),
            latencies.max() as f64 / 1000.0,
            utilisation(settings, phase, &answered),
        );
    }
}

/// Returns the share of the slots' time during the phase that was spent on
/// answered requests.
fn utilisation(settings: &ExperimentSettings, phase: &Phase, answered: &[&ArrivalResult]) -> f64 {
    let begin = Duration::from_millis(settings.warm_up_ms);
    let end = begin + Duration::from_millis(phase.duration_ms);
    let busy: f64 = answered
        .iter()
        .map(|replayed| {
            let finished = replayed.arrival.at + replayed.latency;
            let started = finished.saturating_sub(replayed.arrival.execution);
            finished.min(end).saturating_sub(started.max(begin)).as_secs_f64()
        })
        .sum();
    busy / (f64::from(settings.slots) * Duration::from_millis(phase.duration_ms).as_secs_f64())
}
