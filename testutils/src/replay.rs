//! Replays the arrivals of an experiment against running processes.
//!
//! The load is open: requests arrive at their drawn times, whether or not
//! earlier ones were answered, and latency counts from the time of arrival. The
//! same arrivals are sent through masticreel's instances or, as the baseline,
//! directly to the server. An entry is the point through which a request comes:
//! an instance, or in the baseline a client with an equal share of the server's
//! connections.

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

/// Where the requests are sent.
#[derive(Debug, Clone)]
pub enum Route {
    /// To the instances, one for each entry; each caller has its own connection.
    Instances(Vec<SocketAddr>),
    /// Directly to the server, from entries with an equal share of its
    /// connections. There is one address for each entry, since entries in other
    /// failure domains reach the server through a delaying relay.
    Direct(Vec<SocketAddr>),
}

/// The result of one arrival.
#[derive(Debug, Clone)]
pub struct ArrivalResult {
    /// The arrival.
    pub arrival: Arrival,
    /// Time from the arrival to the answer.
    pub latency: Duration,
    /// The SQLSTATE if the request failed; [`NOT_SENT`] if it was dropped before
    /// it was sent.
    pub error_code: Option<String>,
}

/// The error code of arrivals whose deadline passed before they were sent.
pub const NOT_SENT: &str = "not sent";

/// Callers of each class at each entry.
const CALLERS_PER_ENTRY: [(Class, usize); 3] =
    [(Class::Urgent, 8), (Class::Normal, 40), (Class::Long, 8)];
const CALLER_STACK_BYTES: usize = 256 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(60);

struct ScheduledArrival {
    arrival: Arrival,
    at: Instant,
}

/// Replays one phase and returns the results of its arrivals, without those of
/// the warm-up.
pub fn replay(settings: &ExperimentSettings, phase: &Phase, route: &Route) -> Vec<ArrivalResult> {
    let (results, replayed) = unbounded();
    let entries = settings.entries as usize;
    let queues: Vec<Vec<(Vec<Class>, Sender<ScheduledArrival>)>> =
        (0..entries).map(|entry| start_entry(settings, entry, route, &results)).collect();
    drop(results);
    // Gives the callers time to connect before the first arrival.
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    for arrival in arrivals(settings, phase) {
        let at = begin + arrival.at;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let entry = usize::try_from(arrival.entry.0).unwrap_or(0) % entries;
        let queue = queues[entry].iter().find(|(classes, _)| classes.contains(&arrival.class));
        if let Some((_, queue)) = queue {
            // Fails only if all callers of the queue have panicked; their arrivals then
            // have no results.
            let _ = queue.send(ScheduledArrival { arrival, at });
        }
    }
    drop(queues);
    replayed.iter().filter(|result: &ArrivalResult| result.arrival.is_measured).collect()
}

/// Starts an entry's callers and returns their queues.
fn start_entry(
    settings: &ExperimentSettings,
    entry: usize,
    route: &Route,
    results: &Sender<ArrivalResult>,
) -> Vec<(Vec<Class>, Sender<ScheduledArrival>)> {
    match route {
        Route::Instances(targets) => CALLERS_PER_ENTRY
            .into_iter()
            .map(|(class, callers)| {
                (vec![class], start_callers(targets[entry % targets.len()], callers, results))
            })
            .collect(),
        Route::Direct(targets) => {
            let share = (settings.connections / settings.entries).max(1) as usize;
            let classes = CALLERS_PER_ENTRY.map(|(class, _)| class).to_vec();
            vec![(classes, start_callers(targets[entry % targets.len()], share, results))]
        }
    }
}

fn start_callers(
    target: SocketAddr,
    callers: usize,
    results: &Sender<ArrivalResult>,
) -> Sender<ScheduledArrival> {
    let (sender, queue) = unbounded();
    for _ in 0..callers {
        let (queue, results): (Receiver<ScheduledArrival>, _) = (queue.clone(), results.clone());
        thread::Builder::new()
            .stack_size(CALLER_STACK_BYTES)
            .spawn(move || run_caller(target, &queue, &results))
            .expect("the system can start the threads of all callers");
    }
    sender
}

fn run_caller(
    target: SocketAddr,
    queue: &Receiver<ScheduledArrival>,
    results: &Sender<ArrivalResult>,
) {
    let parameters = [("user", "load"), ("database", DATABASE)];
    let mut client = PgClient::connect(target, &parameters, CONNECT_TIMEOUT)
        .expect("the target accepts the connections of all callers");
    for scheduled in queue {
        let error_code = send(&mut client, &scheduled);
        let latency = scheduled.at.elapsed();
        let _ = results.send(ArrivalResult { arrival: scheduled.arrival, latency, error_code });
    }
}

fn send(client: &mut PgClient, scheduled: &ScheduledArrival) -> Option<String> {
    if scheduled.at.elapsed() >= scheduled.arrival.timeout {
        return Some(NOT_SENT.to_owned());
    }
    let answer = client.query(&statement(&scheduled.arrival));
    answer.expect("the target answers each statement").error_code().map(str::to_owned)
}

fn statement(arrival: &Arrival) -> String {
    let Arrival { kind, class, execution, .. } = arrival;
    format!("select pg_sleep({:.6}) as {kind} /*class='{class}'*/", execution.as_secs_f64())
}

/// Returns the names of the request kinds, for reports.
pub fn kinds(settings: &ExperimentSettings) -> Vec<Arc<str>> {
    settings.kinds.iter().map(|kind| kind.name.clone()).collect()
}
