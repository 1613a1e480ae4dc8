//! Plays an experiment's arrivals to a deployment of its own and measures.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use masticreel_testutils::experiment::settings::ExperimentSettings;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use masticreel_testutils::replay::{Played, Route, kinds, play};

/// Play an experiment's arrivals to processes: a store, one server and as many
/// instances as the settings have entries.
#[derive(FromArgs)]
struct Arguments {
    /// settings of the experiment (TOML)
    #[argh(positional)]
    settings: PathBuf,

    /// the distance between entries and the server, one way, in milliseconds
    #[argh(option, default = "1.5")]
    one_way_ms: f64,

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
    println!("phase,route,kind,arrived,answered,in_time,failed,p50_ms,p99_ms,max_ms,useful_load");
    let wanted = arguments.phase.as_deref();
    for phase in settings.phases.iter().filter(|phase| wanted.is_none_or(|w| w == &*phase.name)) {
        for route in ["direct", "masticreel"] {
            let deployment = deployment(&settings, arguments.one_way_ms)?;
            std::thread::sleep(HANDOVER);
            let target = match route {
                "direct" => {
                    let server = deployment.servers[0].address("address");
                    Route::Direct(server.ok_or("the server has no address")?)
                }
                _ => Route::Instances(
                    deployment.addresses.iter().map(|addresses| addresses.callers).collect(),
                ),
            };
            let played = play(&settings, phase, &target);
            let slot_time = f64::from(settings.slots) * phase.duration_ms as f64 / 1000.0;
            report(&settings, &phase.name, route, &played, slot_time);
        }
    }
    Ok(())
}

fn deployment(settings: &ExperimentSettings, one_way_ms: f64) -> std::io::Result<Deployment> {
    let max_connections = settings.connections + CONTROL_CONNECTIONS;
    let text = format!(
        "--slots {} --max-connections {max_connections} --one-way-ms {one_way_ms}",
        settings.slots
    );
    let deployment = DeploymentSettings {
        servers: 1,
        instances: settings.entries as usize,
        server_arguments: text.split(' ').map(str::to_owned).collect(),
        instance_settings: "\n[limits]\nhandover_timeout_ms = 0\nrequest_timeout_ms = 2000\n"
            .into(),
        ..DeploymentSettings::default()
    };
    Deployment::start("replay", deployment)
}

fn report(
    settings: &ExperimentSettings,
    phase: &str,
    route: &str,
    played: &[Played],
    slot_time: f64,
) {
    for kind in kinds(settings) {
        let of_kind: Vec<&Played> =
            played.iter().filter(|played| played.arrival.kind == kind).collect();
        let answered: Vec<&&Played> =
            of_kind.iter().filter(|played| played.error_code.is_none()).collect();
        let in_time: Vec<&&&Played> =
            answered.iter().filter(|played| played.latency <= played.arrival.patience).collect();
        let useful: f64 = in_time.iter().map(|p| p.arrival.execution.as_secs_f64()).sum();
        let mut latencies =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported");
        for played in &answered {
            latencies.saturating_record(u64::try_from(played.latency.as_micros()).unwrap_or(0));
        }
        let milliseconds = |percentile| latencies.value_at_percentile(percentile) as f64 / 1000.0;
        println!(
            "{phase},{route},{kind},{},{},{},{},{:.2},{:.2},{:.2},{:.3}",
            of_kind.len(),
            answered.len(),
            in_time.len(),
            of_kind.len() - answered.len(),
            milliseconds(50.0),
            milliseconds(99.0),
            latencies.max() as f64 / 1000.0,
            useful / slot_time,
        );
    }
}
