//! Plays the arrivals of an experiment to running processes.
//!
//! Arrivals come at their own times, whatever is answered, and latency counts
//! from the time of arrival. The same arrivals go through masticreel or, as
//! the baseline, to the server from entries with an equal share of its
//! connections each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use masticreel_document::class::Class;

use crate::experiment::settings::{ExperimentSettings, Phase};
use crate::experiment::trace::{Arrival, arrivals};
use crate::pg_client::PgClient;
use crate::processes::deployment::DATABASE;

/// Where the arrivals go.
#[derive(Debug, Clone)]
pub enum Route {
    /// To the instances, one for each entry; each caller has a connection.
    Instances(Vec<SocketAddr>),
    /// To the server, from entries with an equal share of its connections; one
    /// address for each entry, since some are far from the server.
    Direct(Vec<SocketAddr>),
}

/// What became of one arrival.
#[derive(Debug, Clone)]
pub struct Played {
    /// The arrival.
    pub arrival: Arrival,
    /// Time from the arrival to the answer.
    pub latency: Duration,
    /// The SQLSTATE if the request failed; a code of its own for those that
    /// were dropped before they were sent.
    pub error_code: Option<String>,
}

/// The code of arrivals that waited past their deadline before they were sent.
pub const NOT_SENT: &str = "not sent";

/// Callers of each class at each entry.
const CALLERS: [(Class, usize); 3] = [(Class::Urgent, 8), (Class::Normal, 40), (Class::Long, 8)];
const CALLER_STACK_BYTES: usize = 256 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(60);

struct Due {
    arrival: Arrival,
    at: Instant,
}

/// Plays one phase and returns what became of the arrivals that it measures.
pub fn play(settings: &ExperimentSettings, phase: &Phase, route: &Route) -> Vec<Played> {
    let (results, played) = unbounded();
    let entries = settings.entries as usize;
    let queues: Vec<Vec<(Vec<Class>, Sender<Due>)>> =
        (0..entries).map(|entry| start_entry(settings, entry, route, &results)).collect();
    drop(results);
    // Callers connect before the first arrival.
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    for arrival in arrivals(settings, phase) {
        let at = begin + arrival.at;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let entry = usize::try_from(arrival.entry.0).unwrap_or(0) % entries;
        let queue = queues[entry].iter().find(|(classes, _)| classes.contains(&arrival.class));
        if let Some((_, queue)) = queue {
            // The callers live until the queues are dropped.
            let _ = queue.send(Due { arrival, at });
        }
    }
    drop(queues);
    played.iter().filter(|played: &Played| played.arrival.is_measured).collect()
}

/// Starts an entry's callers and returns their queues.
fn start_entry(
    settings: &ExperimentSettings,
    entry: usize,
    route: &Route,
    results: &Sender<Played>,
) -> Vec<(Vec<Class>, Sender<Due>)> {
    match route {
        Route::Instances(targets) => CALLERS
            .into_iter()
            .map(|(class, callers)| {
                (vec![class], start_callers(targets[entry % targets.len()], callers, results))
            })
            .collect(),
        Route::Direct(targets) => {
            let share = (settings.connections / settings.entries).max(1) as usize;
            let classes = CALLERS.map(|(class, _)| class).to_vec();
            vec![(classes, start_callers(targets[entry % targets.len()], share, results))]
        }
    }
}

fn start_callers(target: SocketAddr, callers: usize, results: &Sender<Played>) -> Sender<Due> {
    let (sender, queue) = unbounded();
    for _ in 0..callers {
        let (queue, results): (Receiver<Due>, _) = (queue.clone(), results.clone());
        thread::Builder::new()
            .stack_size(CALLER_STACK_BYTES)
            .spawn(move || run_caller(target, &queue, &results))
            .expect("the system has room for the callers");
    }
    sender
}

fn run_caller(target: SocketAddr, queue: &Receiver<Due>, results: &Sender<Played>) {
    let parameters = [("user", "load"), ("database", DATABASE)];
    let mut client = PgClient::connect(target, &parameters, CONNECT_TIMEOUT)
        .expect("the target accepts as many callers as the settings say");
    for due in queue {
        let error_code = send(&mut client, &due);
        let latency = due.at.elapsed();
        let _ = results.send(Played { arrival: due.arrival, latency, error_code });
    }
}

fn send(client: &mut PgClient, due: &Due) -> Option<String> {
    if due.at.elapsed() >= due.arrival.patience {
        return Some(NOT_SENT.to_owned());
    }
    let answer = client.query(&statement(&due.arrival));
    answer.expect("the target stays up").error_code().map(str::to_owned)
}

fn statement(arrival: &Arrival) -> String {
    let Arrival { kind, class, execution, .. } = arrival;
    format!("select pg_sleep({:.6}) as {kind} /*class='{class}'*/", execution.as_secs_f64())
}

/// The names of the kinds, for reports.
pub fn kinds(settings: &ExperimentSettings) -> Vec<Arc<str>> {
    settings.kinds.iter().map(|kind| kind.name.clone()).collect()
}
