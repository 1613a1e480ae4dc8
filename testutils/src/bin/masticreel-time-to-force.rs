//! Measures how long an accepted edit takes until every instance has applied it.
//!
//! It edits the document in the store, pushes it to one instance, and polls all
//! instances for the new revision; during each edit it injects the chosen fault.

use std::error::Error;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use derive_more::FromStr;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::Revision;
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_document::wire::WireDocument;
use masticreel_report::instances::InstanceReport;
use masticreel_report::operators::{DOCUMENT_PATH, SIGNATURE_HEADER, STATUS_PATH};
use masticreel_store::document_store::read_document;
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::etcd::EtcdStore;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use masticreel_testutils::processes::{Process, Signal};
use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::sign;
use serde::Serialize;

const SHARED_KEY: &str = "test key";
const SECTION: &str = "measured";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const TIMING: EditTiming =
    EditTiming { timeout: Duration::from_secs(20), retry_backoff: Duration::from_millis(20) };
/// The pause between two polls of an instance's revision.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The timeout until all instances have applied a revision.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Measure how long accepted edits take until every instance has applied them.
#[derive(FromArgs)]
struct Arguments {
    /// number of edits
    #[argh(option, default = "50")]
    edits: usize,

    /// number of instances
    #[argh(option, default = "6")]
    instances: usize,

    /// what fails: none, slow, lost, down, restart or frozen
    #[argh(option, default = "Fault::None")]
    fault: Fault,

    /// pause after each edit, in milliseconds
    #[argh(option, default = "200")]
    pause_ms: u64,
}

/// What fails during each edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr)]
#[from_str(rename_all = "lowercase")]
enum Fault {
    /// Nothing fails.
    None,
    /// Each call to the store takes 300 ms longer.
    Slow,
    /// Three of ten answers to writes are lost after the write took effect.
    Lost,
    /// The store goes down after the edit was accepted and pushed to one instance.
    Down,
    /// As [`Self::Down`]; in addition one instance is killed and restarted.
    Restart,
    /// One instance is suspended from before the edit until a second after it.
    Frozen,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    fault: String,
    instances: usize,
    edits: usize,
    p50_ms: u128,
    p99_ms: u128,
    max_ms: u128,
    store_calls_per_second: f64,
}

struct Bench {
    deployment: Deployment,
    store: EtcdStore,
    client: ureq::Agent,
    fault: Fault,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let settings =
        DeploymentSettings { instances: arguments.instances, ..DeploymentSettings::default() };
    let deployment = Deployment::start("time-to-force", settings)?;
    let store = EtcdStore::new(&deployment.store_endpoint()?, CALL_TIMEOUT);
    let client = masticreel_store::http::http_client(CALL_TIMEOUT);
    let mut bench = Bench { deployment, store, client, fault: arguments.fault };
    // Membership has to be stable before the first edit.
    thread::sleep(Duration::from_secs(2));
    bench.send_store_command("counts/reset")?;
    let started = Instant::now();
    let mut times = Vec::new();
    for number in 0..arguments.edits {
        times.push(bench.measure(number)?);
        thread::sleep(Duration::from_millis(arguments.pause_ms));
    }
    let calls = bench.store_calls()? as f64;
    let seconds = started.elapsed().as_secs_f64();
    times.sort();
    let figures = Figures {
        fault: format!("{:?}", arguments.fault).to_lowercase(),
        instances: arguments.instances,
        edits: arguments.edits,
        p50_ms: quantile(&times, 0.5).as_millis(),
        p99_ms: quantile(&times, 0.99).as_millis(),
        max_ms: quantile(&times, 1.0).as_millis(),
        store_calls_per_second: calls / seconds,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Returns a quantile of sorted times: the smallest time that at least this share of
/// the times does not exceed.
fn quantile(sorted: &[Duration], share: f64) -> Duration {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
}

impl Bench {
    /// Makes an edit and returns the time from its acceptance, or from the restart or
    /// resumption of the failed instance, until all instances have applied it.
    fn measure(&mut self, number: usize) -> Result<Duration, Box<dyn Error>> {
        self.inject_fault_before_edit()?;
        let revision = self.edit(number)?;
        let accepted = Instant::now();
        self.push_document()?;
        let recovered_at = self.inject_fault_after_edit()?;
        let applied_by_all_at = self.wait_until_applied(revision)?;
        self.end_fault()?;
        Ok(applied_by_all_at.saturating_duration_since(recovered_at.unwrap_or(accepted)))
    }

    fn inject_fault_before_edit(&mut self) -> Result<(), Box<dyn Error>> {
        match self.fault {
            Fault::Slow => self.send_store_command("slow_ms/300"),
            Fault::Lost => self.send_store_command("lose/0.3/7"),
            Fault::Frozen => Ok(self.last_instance()?.signal(Signal::Stop)?),
            Fault::None | Fault::Down | Fault::Restart => Ok(()),
        }
    }

    /// Returns when an instance was restarted or resumed, if one was.
    fn inject_fault_after_edit(&mut self) -> Result<Option<Instant>, Box<dyn Error>> {
        match self.fault {
            Fault::Down => self.send_store_command("down")?,
            Fault::Restart => {
                self.send_store_command("down")?;
                let last = self.deployment.instances.len() - 1;
                self.last_instance()?.signal(Signal::Kill)?;
                let started = Instant::now();
                let process = self.deployment.start_instance(last)?;
                self.deployment.instances[last] = process;
                return Ok(Some(started));
            }
            Fault::Frozen => {
                thread::sleep(Duration::from_secs(1));
                self.last_instance()?.signal(Signal::Continue)?;
                return Ok(Some(Instant::now()));
            }
            Fault::None | Fault::Slow | Fault::Lost => {}
        }
        Ok(None)
    }

    fn end_fault(&self) -> Result<(), Box<dyn Error>> {
        self.send_store_command("up")
    }

    fn last_instance(&mut self) -> Result<&mut Process, Box<dyn Error>> {
        self.deployment.instances.last_mut().ok_or_else(|| "the deployment has no instances".into())
    }

    fn edit(&self, number: usize) -> Result<Revision, Box<dyn Error>> {
        let stored = read_document(&self.store)?;
        let section = stored.sections.get(&SECTION.into());
        let request = EditRequest {
            section: SECTION.into(),
            base: section.map_or(Revision(0), |section| section.record.revision),
            text: format!("[[rules]]\npattern = \"edit {number}\"\nclass = \"urgent\"\n").into(),
            author: "measurement".into(),
            edited_at_ms: 0,
        };
        let editor = Editor::new(self.store.clone(), SystemClock, TIMING, CancellationToken::new());
        match editor.apply(request, rand::random::<u64>().into()) {
            EditOutcome::Landed(revision) => Ok(revision),
            other => Err(format!("the edit was not accepted: {other:?}").into()),
        }
    }

    /// Pushes the stored document to the first instance.
    fn push_document(&self) -> Result<(), Box<dyn Error>> {
        let document = read_document(&self.store)?;
        let document = document.to_document().map_err(|errors| format!("{errors:?}"))?;
        let body = serde_json::to_vec(&WireDocument::from(&document))?;
        let address = self.deployment.addresses[0].operators;
        self.client
            .post(format!("http://{address}{DOCUMENT_PATH}"))
            .header(SIGNATURE_HEADER, sign(&SharedKey::from_text(SHARED_KEY), &body))
            .send(&body[..])?;
        Ok(())
    }

    /// Returns the time at which all instances had applied the revision.
    fn wait_until_applied(&self, revision: Revision) -> Result<Instant, Box<dyn Error>> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        let waiters: Vec<_> = self
            .deployment
            .addresses
            .iter()
            .map(|addresses| {
                let (client, address) = (self.client.clone(), addresses.operators);
                thread::spawn(move || wait_for_instance(&client, address, revision, deadline))
            })
            .collect();
        let mut applied_by_all_at = Instant::now();
        for waiter in waiters {
            let reached = waiter.join().map_err(|_| "a polling thread panicked")?;
            applied_by_all_at = applied_by_all_at
                .max(reached.ok_or("an instance did not apply the revision within 30 s")?);
        }
        Ok(applied_by_all_at)
    }

    fn send_store_command(&self, path: &str) -> Result<(), Box<dyn Error>> {
        self.request_store_control(path).map(drop)
    }

    fn store_calls(&self) -> Result<u64, Box<dyn Error>> {
        let counts = self.request_store_control("counts")?;
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        Ok(count("reads") + count("writes") + count("watches"))
    }

    /// Sends a request to the control endpoint of the store's stand-in, which injects
    /// faults and counts calls.
    fn request_store_control(&self, path: &str) -> Result<serde_json::Value, Box<dyn Error>> {
        let control = self
            .deployment
            .store
            .address("control")
            .ok_or("the store did not report its control address")?;
        let mut response = self.client.get(format!("http://{control}/{path}")).call()?;
        Ok(response.body_mut().read_json()?)
    }
}

fn wait_for_instance(
    client: &ureq::Agent,
    address: SocketAddr,
    revision: Revision,
    deadline: Instant,
) -> Option<Instant> {
    while Instant::now() < deadline {
        let response = client.get(format!("http://{address}{STATUS_PATH}")).call();
        let report: Option<InstanceReport> =
            response.ok().and_then(|mut response| response.body_mut().read_json().ok());
        if report.is_some_and(|report| report.revision >= revision) {
            return Some(Instant::now());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}
