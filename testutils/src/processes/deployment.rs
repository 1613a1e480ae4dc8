//! A small deployment: a store, a database group and some instances.
//!
//! [`Deployment::start`] starts the store, the servers and their relays, writes
//! the document and then starts the instances.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticreel_base::ids::Revision;

use crate::pg_client::{ClientError, PgClient};
use crate::processes::{Process, document, unused_loopback_address};

/// The database that callers connect to.
pub const DATABASE: &str = "app";
/// The failure domains to which servers and instances are assigned in turn.
pub const FAILURE_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// The port of an instance for callers.
const CALLER_PORT: u16 = 6432;
/// The port of an instance for other instances.
const PEER_PORT: u16 = 6433;
/// The port of an instance for operators.
const OPERATOR_PORT: u16 = 6434;
/// The target of a relay until its server has started; nothing listens there.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";
/// The read timeout of a test's caller.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// The only section of a test's document, which consists of named sections.
const SECTION: &str = "test";

/// The parts of a deployment and their settings.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentSettings {
    /// How many servers the group has.
    pub servers: usize,
    /// How many instances are started.
    pub instances: usize,
    /// Additional command-line arguments of each server.
    pub server_arguments: Vec<String>,
    /// Lines appended to each server's table in the document.
    pub server_document: String,
    /// Text appended to each instance's settings.
    pub instance_settings: String,
    /// The one-way latency between failure domains, in milliseconds.
    pub distance_ms: f64,
    /// Text appended to the document, after its group.
    pub document: String,
    /// Whether instances connect to each server through a relay that can be cut.
    pub has_server_relays: bool,
}

impl Default for DeploymentSettings {
    fn default() -> Self {
        Self {
            servers: 3,
            instances: 2,
            server_arguments: Vec::new(),
            server_document: String::new(),
            instance_settings: String::new(),
            distance_ms: 0.0,
            document: String::new(),
            has_server_relays: false,
        }
    }
}

/// The addresses of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Where the instance serves HTTP requests of operators.
    pub operators: SocketAddr,
}

/// The running processes of one deployment; they are killed when it is dropped.
pub struct Deployment {
    /// The store, a stand-in for etcd.
    pub store: Process,
    /// The database servers, the initial primary first.
    pub servers: Vec<Process>,
    /// The relays through which instances connect to the servers, one per server;
    /// empty without [`DeploymentSettings::has_server_relays`].
    pub server_relays: Vec<Process>,
    /// The instances.
    pub instances: Vec<Process>,
    /// The instances' addresses, in the same order.
    pub addresses: Vec<InstanceAddresses>,
    settings: DeploymentSettings,
    /// Relays that delay connections from instances in other failure domains, one
    /// per instance; empty if there is no latency between them.
    peer_relays: Vec<Process>,
    folder: PathBuf,
    revision: Revision,
}

impl Deployment {
    /// Starts all processes and writes the document.
    ///
    /// # Errors
    ///
    /// Fails when a program has not been built or does not start.
    pub fn start(name: &str, settings: DeploymentSettings) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("masticreel-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Process::start("masticreel-standin", &words("store"), None)?;
        let addresses: Vec<_> =
            (0..settings.instances).map(|_| InstanceAddresses::choose()).collect();
        let mut deployment = Self {
            store,
            servers: Vec::new(),
            server_relays: Vec::new(),
            instances: Vec::new(),
            peer_relays: start_peer_relays(&settings, &addresses)?,
            addresses,
            settings,
            folder,
            revision: Revision(0),
        };
        deployment.start_servers()?;
        let text = deployment.document_text()?;
        deployment.edit_document(&text)?;
        for number in 0..deployment.settings.instances {
            let instance = deployment.start_instance(number)?;
            deployment.instances.push(instance);
        }
        Ok(deployment)
    }

    fn start_servers(&mut self) -> io::Result<()> {
        for number in 0..self.settings.servers {
            if self.settings.has_server_relays {
                let relay = words(&format!("relay --target {UNUSED_ADDRESS}"));
                self.server_relays.push(Process::start("masticreel-standin", &relay, None)?);
            }
            let server = self.start_server(number)?;
            self.servers.push(server);
            self.set_relay_target(number)?;
        }
        Ok(())
    }

    /// Starts a server, or restarts it with its existing data directory.
    ///
    /// # Errors
    ///
    /// Fails when the server does not start.
    pub fn start_server(&self, number: usize) -> io::Result<Process> {
        let mut arguments = words(&format!("upstream --name {DATABASE}-{number}"));
        if number > 0 {
            let primary = self.server_address(0)?;
            arguments.extend(words(&format!("--initial-role replica --primary {primary}")));
        }
        let data = self.folder.join(format!("data-{number}"));
        arguments.extend(["--data-dir".to_owned(), data.display().to_string()]);
        arguments.extend(self.settings.server_arguments.iter().cloned());
        Process::start("masticreel-standin", &arguments, None)
    }

    /// Returns the address at which others connect to a server: that of its relay,
    /// if it has one.
    ///
    /// # Errors
    ///
    /// Fails when the server or its relay did not report its address.
    pub fn server_address(&self, number: usize) -> io::Result<SocketAddr> {
        let process = self.server_relays.get(number).or_else(|| self.servers.get(number));
        let address = process.and_then(|process| process.address("address"));
        address.ok_or_else(|| missing_address("server"))
    }

    /// Starts or restarts an instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not start.
    pub fn start_instance(&self, number: usize) -> io::Result<Process> {
        let path = self.folder.join(format!("instance-{number}.toml"));
        std::fs::write(&path, self.instance_text(number)?)?;
        let arguments = vec!["--settings".to_owned(), path.display().to_string()];
        Process::start("masticreeld", &arguments, Some(&self.log_path(number)))
    }

    /// Connects to an instance as a caller, with the user `ana`.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses the connection.
    pub fn connect(&self, instance: usize) -> Result<PgClient, ClientError> {
        let parameters = [("user", "ana"), ("database", DATABASE)];
        PgClient::connect(self.addresses[instance].callers, &parameters, CLIENT_TIMEOUT)
    }

    /// Returns the path of an instance's log file.
    pub fn log_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("instance-{number}.log"))
    }

    /// Returns the store's endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the store did not report its address.
    pub fn store_endpoint(&self) -> io::Result<String> {
        let address = self.store.address("address").ok_or_else(|| missing_address("store"))?;
        Ok(format!("http://{address}"))
    }

    fn instance_text(&self, number: usize) -> io::Result<String> {
        let own = &self.addresses[number];
        let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
        let mut text = format!(
            "[instance]\nname = \"instance-{number}\"\nfailure_domain = \"{domain}\"\n\
             caller_address = \"{}\"\npeer_address = \"{}\"\noperator_address = \"{}\"\n\
             shared_key = \"test key\"\n\n[platform]\nstore_endpoint = \"{}\"\n\
             document_poll_ms = 200\n",
            own.callers,
            own.peers,
            own.operators,
            self.store_endpoint()?,
        );
        for (peer, addresses) in self.addresses.iter().enumerate() {
            let peer_domain = FAILURE_DOMAINS[peer % FAILURE_DOMAINS.len()];
            let relay = self.peer_relays.get(peer).filter(|_| peer_domain != domain);
            let address = relay.and_then(|relay| relay.address("address"));
            text.push_str(&format!(
                "\n[[peers]]\nname = \"instance-{peer}\"\nfailure_domain = \"{peer_domain}\"\n\
                 peer_address = \"{}\"\n",
                address.unwrap_or(addresses.peers)
            ));
        }
        text.push_str(&self.settings.instance_settings);
        Ok(text)
    }

    /// Returns the text of the document's only section.
    ///
    /// # Errors
    ///
    /// Fails when a server did not report its address.
    pub fn document_text(&self) -> io::Result<String> {
        let mut text = format!("[[groups]]\nname = \"{DATABASE}\"\ndatabase = \"{DATABASE}\"\n");
        for number in 0..self.servers.len() {
            let address = self.server_address(number)?;
            let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
            text.push_str(&format!(
                "\n[[groups.servers]]\nname = \"{DATABASE}-{number}\"\naddress = \"{address}\"\n\
                 failure_domain = \"{domain}\"\n{}",
                self.settings.server_document
            ));
        }
        text.push_str(&self.settings.document);
        Ok(text)
    }

    /// Replaces the text of the document's only section.
    ///
    /// # Errors
    ///
    /// Fails when the text is not accepted.
    pub fn edit_document(&mut self, text: &str) -> io::Result<()> {
        self.revision = document::write(&self.store_endpoint()?, SECTION, text, self.revision)?;
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // If this fails, the files stay in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl InstanceAddresses {
    /// Chooses addresses that no other instance of this test run has.
    pub fn choose() -> Self {
        let address = unused_loopback_address();
        let with_port = |port| SocketAddr::from((address, port));
        Self {
            callers: with_port(CALLER_PORT),
            peers: with_port(PEER_PORT),
            operators: with_port(OPERATOR_PORT),
        }
    }
}

/// Starts a relay that delays all data to and from the target.
///
/// # Errors
///
/// Fails when the relay does not start.
pub fn start_relay(target: SocketAddr, delay_ms: f64) -> io::Result<Process> {
    let arguments = words(&format!("relay --target {target} --delay-ms {delay_ms}"));
    Process::start("masticreel-standin", &arguments, None)
}

fn start_peer_relays(
    settings: &DeploymentSettings,
    addresses: &[InstanceAddresses],
) -> io::Result<Vec<Process>> {
    if settings.distance_ms == 0.0 {
        return Ok(Vec::new());
    }
    let relays = addresses.iter().map(|own| start_relay(own.peers, settings.distance_ms));
    relays.collect()
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn missing_address(what: &str) -> io::Error {
    io::Error::other(format!("the {what} did not report its address"))
}
