//! Tests of the client against a store and instances that run as processes.

use std::io::{self, Write as _};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use masticreel_base::ids::Revision;
use masticreel_cli::operators::InstanceClient;
use masticreel_document::document::Document;
use masticreel_document::records::StoredDocument;
use masticreel_document::wire::WireDocument;
use masticreel_report::instances::{InstanceReport, StoreState};
use masticreel_report::operators::{DOCUMENT_PATH, SIGNATURE_HEADER, STATUS_PATH};
use masticreel_store::document_store::read_document;
use masticreel_store::etcd::EtcdStore;
use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};
use masticreel_wire::frame::SharedKey;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment and a folder with the client's settings.
struct TestEnvironment {
    deployment: Deployment,
    folder: PathBuf,
}

impl TestEnvironment {
    fn start(name: &str) -> Self {
        let deployment = Deployment::start(name, DeploymentSettings::default()).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let operator_addresses: Vec<String> = deployment
            .addresses
            .iter()
            .map(|addresses| format!("\"{}\"", addresses.operators))
            .collect();
        let settings = format!(
            "platform = \"{}\"\ninstances = [{}]\nshared_key = \"test key\"\nauthor = \"tester\"\n\
             call_timeout_ms = 1000\nedit_timeout_ms = 3000\n",
            deployment.store_endpoint().unwrap(),
            operator_addresses.join(", ")
        );
        std::fs::write(folder.join("masticreel.toml"), settings).unwrap();
        Self { deployment, folder }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_masticreel"));
        command.args(arguments).current_dir(&self.folder).stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn run(&self, arguments: &[&str]) -> CommandOutput {
        CommandOutput::from(self.command(arguments).output())
    }

    /// Writes a section's file as `document edit` would at the given revision.
    fn write_section_file(&self, file: &str, section: &str, base: u64, pattern: &str) {
        let text = format!(
            "# masticreel section {section} from revision {base}\n\
             [[rules]]\npattern = \"{pattern}\"\nclass = \"urgent\"\n"
        );
        std::fs::write(self.folder.join(file), text).unwrap();
    }

    /// Sends a command to the control endpoint of the store's stand-in, such as
    /// `down` or `lose_next/1`.
    fn send_store_command(&self, command: &str) {
        let control = self.deployment.store.address("control").unwrap();
        ureq::get(format!("http://{control}/{command}")).call().unwrap();
    }

    fn stored_document(&self) -> StoredDocument {
        let store = EtcdStore::new(&self.deployment.store_endpoint().unwrap(), TIMEOUT);
        read_document(&store).unwrap()
    }

    fn revision(&self) -> Revision {
        self.stored_document().head.record.revision
    }

    /// Returns a client of the first instance.
    fn instance_client(&self) -> InstanceClient {
        InstanceClient::new(&[self.deployment.addresses[0].operators], TIMEOUT)
    }

    fn wait_for_status<Check>(&self, check: Check) -> InstanceReport
    where
        Check: Fn(&InstanceReport) -> bool,
    {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let report: InstanceReport = self.instance_client().get(STATUS_PATH).unwrap();
            if check(&report) {
                return report;
            }
            assert!(Instant::now() < deadline, "{report:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The primary of the deployment's group, as the client reports it.
#[derive(Debug)]
struct GroupPrimary {
    primary: String,
    term: u64,
}

impl TestEnvironment {
    fn group_primary(&self) -> Option<GroupPrimary> {
        let output = self.run(&["--json", "groups"]);
        let groups: serde_json::Value = serde_json::from_str(&output.out).unwrap();
        let primary = groups[0]["primary"].as_str()?.to_owned();
        Some(GroupPrimary { primary, term: groups[0]["term"].as_u64()? })
    }

    fn wait_for_primary<Check>(&self, check: Check) -> GroupPrimary
    where
        Check: Fn(&GroupPrimary) -> bool,
    {
        let deadline = Instant::now() + 2 * TIMEOUT;
        loop {
            match self.group_primary() {
                Some(primary) if check(&primary) => return primary,
                other => assert!(Instant::now() < deadline, "{other:?}"),
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl From<io::Result<Output>> for CommandOutput {
    fn from(output: io::Result<Output>) -> Self {
        let output = output.unwrap();
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

#[test]
fn test_an_edit_goes_from_file_to_force_and_into_the_history() {
    let test_env = TestEnvironment::start("edit");
    let output = test_env.run(&["document", "edit", "lab"]);
    assert_eq!(output.code, 0, "{}", output.err);
    let file = test_env.folder.join("lab.toml");
    let copy = std::fs::read_to_string(&file).unwrap();
    assert_eq!(copy, "# masticreel section lab from revision 0\n");
    std::fs::write(&file, format!("{copy}owner = \"the lab\"\n")).unwrap();

    let output = test_env.run(&["document", "diff", "lab.toml"]);
    assert!(output.out.contains("+owner = \"the lab\""), "{}", output.out);
    let output = test_env.run(&["document", "apply", "lab.toml", "--wait"]);
    assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    assert!(output.out.starts_with("Landed as revision 2.\nIn force on "), "{}", output.out);
    test_env.wait_for_status(|report| report.revision == Revision(2));

    let output = test_env.run(&["document", "show", "lab"]);
    assert!(output.out.contains("section lab, revision 2, by tester"), "{}", output.out);
    let output = test_env.run(&["document", "history"]);
    assert!(output.out.contains("lab"), "{}", output.out);
    let output = test_env.run(&["document", "history", "--revision", "2"]);
    assert!(output.out.contains("+owner = \"the lab\""), "{}", output.out);
    assert_eq!(test_env.run(&["document", "history", "--revision", "9"]).code, 1);
}

#[test]
fn test_racing_edits_of_different_sections_all_land() {
    let test_env = TestEnvironment::start("race-different");
    let sections = ["a", "b", "c", "d", "e", "f"];
    let mut clients = Vec::new();
    for section in sections {
        let file = format!("{section}.toml");
        test_env.write_section_file(&file, section, 0, &format!("pattern-{section}"));
        clients.push(test_env.command(&["document", "apply", &file]).spawn().unwrap());
    }
    for client in clients {
        let output = CommandOutput::from(client.wait_with_output());
        assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    }
    let stored = test_env.stored_document();
    assert_eq!(stored.head.record.revision, Revision(1 + sections.len() as u64));
    assert_eq!(stored.to_document().unwrap().rules().len(), sections.len());
}

#[test]
fn test_of_racing_edits_of_one_section_one_lands_and_the_others_see_a_diff() {
    let test_env = TestEnvironment::start("race-same");
    let mut clients = Vec::new();
    for number in 0..6 {
        let file = format!("{number}.toml");
        test_env.write_section_file(&file, "lab", 0, &format!("pattern-{number}"));
        clients.push(test_env.command(&["document", "apply", &file]).spawn().unwrap());
    }
    let outputs: Vec<CommandOutput> =
        clients.into_iter().map(|client| CommandOutput::from(client.wait_with_output())).collect();
    let landed = outputs.iter().filter(|output| output.code == 0).count();
    let conflicts: Vec<&CommandOutput> = outputs.iter().filter(|output| output.code == 3).collect();
    assert_eq!((landed, conflicts.len()), (1, 5));
    for conflict in conflicts {
        assert!(conflict.out.contains("-pattern = \"pattern-"), "{}", conflict.out);
    }
    assert_eq!(test_env.revision(), Revision(2));
}

#[test]
fn test_a_lost_answer_ends_as_landed() {
    let test_env = TestEnvironment::start("lost-answer");
    test_env.write_section_file("lab.toml", "lab", 0, "a");
    test_env.send_store_command("lose_next/1");
    let output = test_env.run(&["document", "apply", "lab.toml"]);
    assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    assert_eq!(test_env.revision(), Revision(2), "the edit landed once");
}

#[test]
fn test_the_verdict_on_a_late_write_is_true() {
    let test_env = TestEnvironment::start("late-write");
    test_env.write_section_file("lab.toml", "lab", 0, "a");
    // Each call takes 400 ms, so the write is in progress when the store becomes
    // silent after 600 ms. The silent store holds the write back until `up`, which
    // follows only after the client gave up.
    test_env.send_store_command("slow_ms/400");
    let client = test_env.command(&["document", "apply", "lab.toml"]).spawn().unwrap();
    thread::sleep(Duration::from_millis(600));
    test_env.send_store_command("silent");
    let output = CommandOutput::from(client.wait_with_output());
    assert_eq!(output.code, 5, "{}{}", output.out, output.err);
    let edit = output.out.split_whitespace().last().unwrap().to_owned();
    test_env.send_store_command("up");
    let output = test_env.run(&["document", "settle", &edit]);
    let landed = test_env.stored_document().sections.contains_key(&"lab".into());
    assert_eq!(output.code, if landed { 0 } else { 6 }, "{}", output.out);
    thread::sleep(Duration::from_secs(1));
    let landed_later = test_env.stored_document().sections.contains_key(&"lab".into());
    assert_eq!(landed, landed_later, "the reported outcome is final");
}

#[test]
fn test_with_the_store_down_nothing_is_lost_and_the_document_is_shown() {
    let test_env = TestEnvironment::start("store-down");
    test_env.write_section_file("lab.toml", "lab", 0, "a");
    test_env.send_store_command("down");
    let output = test_env.run(&["document", "apply", "lab.toml"]);
    assert_eq!(output.code, 6, "{}{}", output.out, output.err);
    let output = test_env.run(&["document", "show"]);
    assert_eq!(output.code, 0, "{}", output.err);
    assert!(output.out.contains("the store does not answer"), "{}", output.out);
    assert!(output.out.contains(&format!("database = \"{DATABASE}\"")), "{}", output.out);
    test_env.wait_for_status(|report| report.store == StoreState::Unreachable);

    test_env.send_store_command("up");
    let output = test_env.run(&["document", "apply", "lab.toml"]);
    assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    test_env.wait_for_status(|report| report.revision == Revision(2));
}

#[test]
fn test_a_faulty_document_in_the_store_stays_out_of_force() {
    use masticreel_store::store::{PlatformStore as _, Put};

    let test_env = TestEnvironment::start("faulty");
    let mut stored = test_env.stored_document();
    let section = stored.sections.values_mut().next().unwrap();
    section.record.text = "[[rules]]\nclas = 1\n".into();
    stored.head.record.revision = Revision(2);
    let name = stored.sections.keys().next().unwrap().clone();
    let puts = [
        Put {
            key: masticreel_document::layout::section_key(&name),
            value: masticreel_document::records::encode(&stored.sections[&name].record),
        },
        Put {
            key: masticreel_document::layout::HEAD_KEY.to_owned(),
            value: masticreel_document::records::encode(&stored.head.record),
        },
    ];
    let store = EtcdStore::new(&test_env.deployment.store_endpoint().unwrap(), TIMEOUT);
    store.commit(&[], &puts).unwrap();
    let report = test_env.wait_for_status(|report| report.refused.is_some());
    assert_eq!(report.revision, Revision(1));
    assert!(report.refused.unwrap().contains("key \"rules[0].clas\""));
}

#[test]
fn test_operators_are_told_that_the_store_lost_edits() {
    let test_env = TestEnvironment::start("lost-edits");
    test_env.write_section_file("lab.toml", "lab", 0, "a");
    test_env.send_store_command("copy");
    assert_eq!(test_env.run(&["document", "apply", "lab.toml"]).code, 0);
    test_env.wait_for_status(|report| report.revision == Revision(2));
    test_env.send_store_command("restore");
    let report = test_env.wait_for_status(|report| report.lost_edits.is_some());
    assert_eq!(report.revision, Revision(2));
    for command in ["status", "instances"] {
        let output = test_env.run(&[command]);
        assert!(output.out.contains("lost      revisions 2 to 2 by the store"), "{}", output.out);
    }
    let output = test_env.run(&["document", "show"]);
    let told = "lost revisions 2 to 2; revision 2 stays in force until the next edit";
    assert!(output.out.contains(told), "{}", output.out);

    let output = test_env.run(&["document", "apply", "--wait", "lab.toml"]);
    assert!(output.out.starts_with("Landed as revision 3.\nIn force on 2 of 2"), "{}", output.out);
    let output = test_env.run(&["document", "show"]);
    assert!(output.out.contains("edits since then have replaced them"), "{}", output.out);
    test_env.wait_for_status(|report| report.lost_edits.is_none());
}

#[test]
fn test_a_document_handed_over_is_in_force_while_the_store_is_down() {
    let test_env = TestEnvironment::start("hand-over");
    test_env.send_store_command("down");
    let client = test_env.instance_client();
    let mut wire: WireDocument = client.get(DOCUMENT_PATH).unwrap();
    wire.revision = Revision(7);
    let document = Document::try_from(wire).unwrap();
    let wrong = SharedKey::from_text("another key");
    assert!(client.send_document(&document, &wrong).is_err());
    let key = SharedKey::from_text("test key");
    client.send_document(&document, &key).unwrap();
    let report: InstanceReport = client.get(STATUS_PATH).unwrap();
    assert_eq!(report.revision, Revision(7));

    // A lower revision is accepted without an error and changes nothing.
    let mut lower = WireDocument::from(&document);
    lower.revision = Revision(6);
    client.send_document(&Document::try_from(lower).unwrap(), &key).unwrap();
    let report: InstanceReport = client.get(STATUS_PATH).unwrap();
    assert_eq!(report.revision, Revision(7));
}

#[test]
fn test_stalled_posts_do_not_keep_operators_from_their_reports() {
    let test_env = TestEnvironment::start("stalled-posts");
    let address = test_env.deployment.addresses[0].operators;
    let stalled: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = format!(
                "POST {DOCUMENT_PATH} HTTP/1.1\r\nHost: operators\r\n\
                 {SIGNATURE_HEADER}: 00\r\nContent-Length: 100000\r\n\r\nstart"
            );
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let report: InstanceReport = test_env.instance_client().get(STATUS_PATH).unwrap();
    assert_eq!(report.revision, Revision(1));
    drop(stalled);
}

#[test]
fn test_groups_tell_the_primary_after_a_failover() {
    let mut test_env = TestEnvironment::start("groups");
    let first = format!("{DATABASE}-0");
    let before = test_env.wait_for_primary(|current| current.primary == first);
    test_env.deployment.servers[0].signal(Signal::Kill).unwrap();
    let after = test_env.wait_for_primary(|current| current.primary != first);
    assert!(after.term > before.term, "{after:?} after {before:?}");
    let output = test_env.run(&["groups"]);
    // The role that is shown for a server that does not answer.
    assert!(output.out.contains("silent"), "{}", output.out);
}

#[test]
fn test_reports_tell_levels_instances_and_groups() {
    let test_env = TestEnvironment::start("reports");
    let text = "# masticreel section levels from revision 0\n\
                [[levels]]\nname = \"reads\"\nclass = \"normal\"\nlatency_ms = 5000\n\
                objective_percent = 99.0\n";
    std::fs::write(test_env.folder.join("levels.toml"), text).unwrap();
    assert_eq!(test_env.run(&["document", "apply", "levels.toml", "--wait"]).code, 0);
    let callers = test_env.deployment.addresses[0].callers;
    let parameters = [("user", "ana"), ("database", DATABASE)];
    let mut client = PgClient::connect(callers, &parameters, TIMEOUT).unwrap();
    for _ in 0..7 {
        assert_eq!(client.query("select 1").unwrap().error_code(), None);
    }
    let output = test_env.run(&["--json", "report", "--html", "report.html"]);
    assert_eq!(output.code, 0, "{}", output.err);
    let levels: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(levels[0]["name"], "reads");
    // The requests in the long window of the burn rate.
    assert_eq!(levels[0]["long"]["total"], 7);
    let output = test_env.run(&["report"]);
    assert!(output.out.ends_with("from 2 of 2 instances\n"), "{}", output.out);
    let page = std::fs::read_to_string(test_env.folder.join("report.html")).unwrap();
    assert!(page.contains("<svg"), "{page}");

    assert!(test_env.run(&["instances"]).out.contains("instance-0"));
    assert!(test_env.run(&["groups"]).out.contains(&format!("database {DATABASE}")));
    assert!(test_env.run(&["status"]).out.contains("state     serving"));
    // Instances that report to the store do so every five seconds; instance-0 is
    // one of them.
    let deadline = Instant::now() + 2 * TIMEOUT;
    while !test_env.run(&["document", "show"]).out.contains("reported by instance-0") {
        assert!(Instant::now() < deadline);
        thread::sleep(Duration::from_millis(200));
    }
}
