//! Tests of the fleet as processes when the platform's store comes back from an older copy.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_document::wire::WireDocument;
use masticreel_report::operators::{DOCUMENT_PATH, SIGNATURE_HEADER, STATUS_PATH};
use masticreel_store::document_store::read_document;
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::etcd::EtcdStore;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::sign;
use serde_json::Value;

/// Instances in the fleet; only three of them watch the store.
const SIZE: usize = 6;
const SECTION: &str = "lab";
/// Within this time an acknowledged edit must be in force everywhere.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Longer than the interval at which the watchers read the store.
const SEVERAL_POLLS: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(15);

struct Fleet {
    deployment: Deployment,
    store: EtcdStore,
}

impl Fleet {
    /// Starts a fleet where the section holds the text "kept".
    fn start(name: &str) -> Self {
        let settings = DeploymentSettings { instances: SIZE, ..DeploymentSettings::default() };
        let deployment = Deployment::start(name, settings).unwrap();
        let store = EtcdStore::new(&deployment.store_endpoint().unwrap(), TIMEOUT);
        let fleet = Self { deployment, store };
        fleet.edit("kept");
        fleet.wait_until_in_force("kept", TIMEOUT);
        fleet
    }

    /// Lets the store go back to before two edits that are in force.
    fn lose_edits(&self) {
        self.command_store("copy");
        self.edit("lost-1");
        self.edit("lost-2");
        self.wait_until_in_force("lost-2", TIMEOUT);
        self.command_store("restore");
        assert!(self.stored_text().contains("kept"));
    }

    fn command_store(&self, command: &str) {
        let control = self.deployment.store.address("control").unwrap();
        assert!(get(control, &format!("/{command}")).is_some());
    }

    fn stored_text(&self) -> String {
        let stored = read_document(&self.store).unwrap();
        stored.sections[&SectionName::from(SECTION)].record.text.to_string()
    }

    /// Edits the section as the store has it; the edit must be acknowledged.
    fn edit(&self, pattern: &str) -> Revision {
        let stored = read_document(&self.store).unwrap();
        let section = stored.sections.get(&SectionName::from(SECTION));
        let request = EditRequest {
            section: SECTION.into(),
            base: section.map_or(Revision(0), |section| section.record.revision),
            text: format!("[[rules]]\npattern = \"{pattern}\"\nclass = \"urgent\"\n").into(),
            author: "an engineer".into(),
            edited_at_ms: 0,
        };
        let timing = EditTiming { timeout: TIMEOUT, retry_backoff: Duration::from_millis(50) };
        let editor = Editor::new(self.store.clone(), SystemClock, timing, CancellationToken::new());
        match editor.apply(request, rand::random::<u64>().into()) {
            EditOutcome::Landed(revision) => revision,
            other => panic!("the edit was not acknowledged: {other:?}"),
        }
    }

    fn document(&self, instance: usize) -> Option<WireDocument> {
        let address = self.deployment.addresses[instance].operators;
        get(address, DOCUMENT_PATH).and_then(|body| serde_json::from_str(&body).ok())
    }

    fn is_in_force(&self, instance: usize, pattern: &str) -> bool {
        let document = self.document(instance);
        let section = document.and_then(|it| it.sections.get(&SectionName::from(SECTION)).cloned());
        section.is_some_and(|section| section.text.contains(&format!("\"{pattern}\"")))
    }

    /// Hands a document to an instance, as the client does.
    fn hand_over(&self, instance: usize, document: &WireDocument) {
        let body = serde_json::to_vec(document).unwrap();
        let signature = sign(&SharedKey::from_text("test key"), &body);
        let head = format!(
            "POST {DOCUMENT_PATH} HTTP/1.0\r\n{SIGNATURE_HEADER}: {signature}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), &body].concat();
        assert!(exchange(self.deployment.addresses[instance].operators, &request).is_some());
    }

    fn in_force(&self, pattern: &str) -> usize {
        (0..SIZE).filter(|instance| self.is_in_force(*instance, pattern)).count()
    }

    fn wait_until_in_force(&self, pattern: &str, limit: Duration) {
        let start = Instant::now();
        while self.in_force(pattern) < SIZE {
            let in_force = self.in_force(pattern);
            assert!(start.elapsed() < limit, "{pattern} in force on {in_force} of {SIZE}");
            std::thread::sleep(Duration::from_millis(20));
        }
        println!("{pattern}: in_force_ms={}", start.elapsed().as_millis());
    }

    fn assert_stays_in_force(&self, pattern: &str) {
        let end = Instant::now() + SEVERAL_POLLS;
        while Instant::now() < end {
            assert_eq!(self.in_force(pattern), SIZE, "{pattern} reverted");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    exchange(address, format!("GET {path} HTTP/1.0\r\n\r\n").as_bytes())
}

/// Sends an HTTP request and returns the body of the response.
fn exchange(address: SocketAddr, request: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(request).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (_, body) = response.split_once("\r\n\r\n")?;
    Some(body.to_owned())
}

#[test]
fn test_edit_after_the_store_was_restored_takes_effect() {
    let fleet = Fleet::start("restored-edit");
    fleet.lose_edits();
    std::thread::sleep(SEVERAL_POLLS);
    fleet.edit("after");
    fleet.wait_until_in_force("after", APPLY_BOUND);
    fleet.assert_stays_in_force("after");
}

#[test]
fn test_edit_right_after_the_store_was_restored_takes_effect() {
    let fleet = Fleet::start("restored-edit-at-once");
    fleet.lose_edits();
    fleet.edit("after");
    fleet.wait_until_in_force("after", APPLY_BOUND);
    fleet.assert_stays_in_force("after");
}

#[test]
fn test_as_many_edits_as_were_lost_take_effect() {
    let fleet = Fleet::start("restored-equal-revision");
    fleet.lose_edits();
    fleet.edit("after-1");
    fleet.edit("after-2");
    fleet.wait_until_in_force("after-2", APPLY_BOUND);
    fleet.assert_stays_in_force("after-2");
}

#[test]
fn test_edit_that_the_store_lost_stays_in_force_until_the_next_edit() {
    let mut fleet = Fleet::start("restored-kept");
    fleet.lose_edits();
    fleet.assert_stays_in_force("lost-2");
    fleet.deployment.instances[1].signal(Signal::Kill).unwrap();
    fleet.deployment.instances[1] = fleet.deployment.start_instance(1).unwrap();
    fleet.wait_until_in_force("lost-2", APPLY_BOUND);
    fleet.assert_stays_in_force("lost-2");
}

#[test]
fn test_status_tells_that_the_store_lost_edits() {
    let fleet = Fleet::start("restored-status");
    fleet.lose_edits();
    std::thread::sleep(SEVERAL_POLLS);
    let told = (0..SIZE).filter(|instance| {
        let address = fleet.deployment.addresses[*instance].operators;
        let status: Value = serde_json::from_str(&get(address, STATUS_PATH).unwrap()).unwrap();
        status["lost_edits"] == "revisions 3 to 4"
    });
    assert!(told.count() >= 3, "the three watchers of the store tell it");
}

#[test]
fn test_document_of_before_the_restore_does_not_come_back() {
    let fleet = Fleet::start("restored-outdated");
    fleet.lose_edits();
    let mut outdated = fleet.document(0).unwrap();
    fleet.edit("after");
    fleet.wait_until_in_force("after", APPLY_BOUND);
    // An edit of before the restore that no instance had yet, with a higher revision.
    outdated.revision = Revision(9);
    fleet.hand_over(0, &outdated);
    let is_settled = |instance: usize| {
        fleet.document(instance).is_some_and(|it| it.revision > outdated.revision)
            && fleet.is_in_force(instance, "after")
    };
    let start = Instant::now();
    while !(0..SIZE).all(is_settled) {
        assert!(start.elapsed() < APPLY_BOUND, "an outdated document stays in force");
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.assert_stays_in_force("after");
}
