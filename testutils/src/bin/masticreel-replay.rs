//! Plays an experiment's arrivals to a deployment of its own and measures.

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
use masticreel_testutils::replay::{Played, Route, kinds, play};

/// Play an experiment's arrivals to processes: a store, one server and as many
/// instances as the settings have entries.
#[derive(FromArgs)]
struct Arguments {
    /// settings of the experiment (TOML)
    #[argh(positional)]
    settings: PathBuf,

    /// the distance between failure domains, one way, in milliseconds
    #[argh(option, default = "1.5")]
    distance_ms: f64,

    /// the only phase to play (default: all)
    #[argh(option)]
    phase: Option<String>,

    /// how long a phase lasts at most, in milliseconds
    #[argh(option, default = "10000")]
    duration_ms: u64,
}

/// Connections that the server keeps for control.
const CONTROL_CONNECTIONS: u32 = 3;
const MAX_LATENCY_US: u64 = 600_000_000;
/// How long instances wait until they own the server alone.
const HANDOVER: Duration = Duration::from_millis(500);

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
            std::thread::sleep(HANDOVER);
            let server = deployment.servers[0].address("address");
            let server = server.ok_or("the server has no address")?;
            let far = start_relay(server, arguments.distance_ms)?;
            let far_server = far.address("address").ok_or("the relay has no address")?;
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
            let played = play(&settings, phase, &target);
            report(&settings, phase, route, &played);
        }
    }
    Ok(())
}

fn deployment(settings: &ExperimentSettings, distance_ms: f64) -> std::io::Result<Deployment> {
    let slots = settings.slots;
    let max_connections = settings.connections + CONTROL_CONNECTIONS;
    let arguments = format!("--slots {slots} --max-connections {max_connections}");
    let deployment = DeploymentSettings {
        servers: 1,
        instances: settings.entries as usize,
        server_arguments: arguments.split(' ').map(str::to_owned).collect(),
        server_document: format!("slots = {slots}\nmax_connections = {max_connections}\n"),
        instance_settings: "\n[limits]\nhandover_timeout_ms = 0\n".into(),
        distance_ms,
        ..DeploymentSettings::default()
    };
    Deployment::start("replay", deployment)
}

fn report(settings: &ExperimentSettings, phase: &Phase, route: &str, played: &[Played]) {
    for kind in kinds(settings) {
        let of_kind: Vec<&Played> =
            played.iter().filter(|played| played.arrival.kind == kind).collect();
        let answered: Vec<&Played> =
            of_kind.iter().copied().filter(|played| played.error_code.is_none()).collect();
        let in_time = answered.iter().filter(|played| played.latency <= played.arrival.patience);
        let mut latencies =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        for played in &answered {
            latencies.saturating_record(u64::try_from(played.latency.as_micros()).unwrap_or(0));
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
            load(settings, phase, &answered),
        );
    }
}

/// Returns the share of the slots' time during the phase that went into
/// requests that were answered.
fn load(settings: &ExperimentSettings, phase: &Phase, answered: &[&Played]) -> f64 {
    let begin = Duration::from_millis(settings.warm_up_ms);
    let end = begin + Duration::from_millis(phase.duration_ms);
    let busy: f64 = answered
        .iter()
        .map(|played| {
            let finished = played.arrival.at + played.latency;
            let started = finished.saturating_sub(played.arrival.execution);
            finished.min(end).saturating_sub(started.max(begin)).as_secs_f64()
        })
        .sum();
    busy / (f64::from(settings.slots) * Duration::from_millis(phase.duration_ms).as_secs_f64())
}
