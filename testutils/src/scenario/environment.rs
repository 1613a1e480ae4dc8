//! The processes of a scenario, and the relays that stand in for the links between
//! them.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use masticreel_base::ids::Revision;
use masticreel_standins::relay::Relay;

use crate::pg_client::{PgClient, StatementResult};
use crate::processes::deployment::{FAILURE_DOMAINS, InstanceAddresses};
use crate::processes::{Process, document};
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;

/// The timeout for querying a server's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// The options of a server that a scenario may set; all are numeric.
const SERVER_OPTIONS: [&str; 7] = [
    "slots",
    "max-connections",
    "connect-ms",
    "receive-lag-ms",
    "apply-lag-ms",
    "one-way-ms",
    "lock-timeout-ms",
];

/// A database server behind its relay.
pub struct Server {
    /// The process; `None` after it was killed.
    pub process: Option<Process>,
    /// The relay through which all instances connect to the server.
    pub relay: Relay,
    arguments: Vec<String>,
    failure_domain: String,
}

/// An instance and its relays.
pub struct Instance {
    /// The process; `None` before the start and after a kill.
    pub process: Option<Process>,
    /// The relay through which callers connect.
    pub caller_relay: Relay,
    /// The relay through which the instance connects to the store.
    pub store_relay: Relay,
    /// The addresses on which the instance listens.
    pub addresses: InstanceAddresses,
    failure_domain: String,
    settings: String,
}

/// All processes and relays of a scenario.
#[derive(Default)]
pub struct Environment {
    /// The store.
    pub store: Option<Process>,
    /// The database servers by name.
    pub servers: BTreeMap<String, Server>,
    /// The instances by name.
    pub instances: BTreeMap<String, Instance>,
    folder: Option<PathBuf>,
}

impl Environment {
    /// Starts the store, a group or instances, as the directive requests.
    pub fn start(
        &mut self,
        arguments: &mut Arguments<'_>,
        input: &str,
    ) -> Result<String, ScenarioError> {
        match arguments.one_of(&["store", "group", "instances"])? {
            "store" => {
                let process = Process::start("masticreel-standin", &words("store"), None)?;
                self.store = Some(process);
            }
            "group" => self.start_group(arguments)?,
            _ => self.start_instances(arguments, input)?,
        }
        Ok("started".to_owned())
    }

    /// Returns a temporary directory for the scenario's files; creates it on first
    /// use.
    pub fn folder(&mut self) -> Result<PathBuf, ScenarioError> {
        if let Some(folder) = &self.folder {
            return Ok(folder.clone());
        }
        let number = rand::random::<u64>();
        let folder = std::env::temp_dir().join(format!("masticreel-scenario-{number:016x}"));
        std::fs::create_dir_all(&folder)?;
        self.folder = Some(folder.clone());
        Ok(folder)
    }

    /// Returns the store's own address, not that of a relay.
    pub fn store_address(&self) -> Result<SocketAddr, ScenarioError> {
        let store =
            self.store.as_ref().ok_or_else(|| ScenarioError::text("the store is not running"))?;
        listen_address(store)
    }

    /// Returns the address at which callers connect to an instance.
    pub fn caller_address(&self, instance: &str) -> Result<SocketAddr, ScenarioError> {
        Ok(self.instance(instance)?.caller_relay.address())
    }

    /// Returns an instance by name.
    pub fn instance(&self, name: &str) -> Result<&Instance, ScenarioError> {
        self.instances.get(name).ok_or_else(|| unknown_name("instance", name))
    }

    /// Returns a server by name.
    pub fn server(&self, name: &str) -> Result<&Server, ScenarioError> {
        self.servers.get(name).ok_or_else(|| unknown_name("server", name))
    }

    /// Replaces each `{name}` in a text by the relay's address of that server, or the
    /// peer address of that instance.
    pub fn substitute_addresses(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (name, server) in &self.servers {
            text = text.replace(&format!("{{{name}}}"), &server.relay.address().to_string());
        }
        for (name, instance) in &self.instances {
            text = text.replace(&format!("{{{name}}}"), &instance.addresses.peers.to_string());
        }
        text
    }

    /// Returns a server's status as column and value pairs.
    pub fn status(&self, server: &str) -> Result<BTreeMap<String, String>, ScenarioError> {
        let result = self.query(server, "SELECT * FROM group_status()")?;
        let row = result.rows.into_iter().next().unwrap_or_default();
        Ok(result.columns.into_iter().zip(row.into_iter().flatten()).collect())
    }

    /// Returns how many statements run on the servers of a group.
    pub fn running_statements(&self, group: &str) -> Result<usize, ScenarioError> {
        let prefix = format!("{group}-");
        let mut running = 0;
        for name in self.servers.keys().filter(|name| name.starts_with(&prefix)) {
            let result = self.query(name, "SELECT * FROM group_running()")?;
            let value = result.rows.into_iter().flatten().flatten().next();
            running += value.and_then(|value| value.parse::<usize>().ok()).unwrap_or(0);
        }
        Ok(running)
    }

    /// Runs a statement directly on a server, bypassing its relay.
    fn query(&self, server: &str, sql: &str) -> Result<StatementResult, ScenarioError> {
        let process = self.server(server)?.process.as_ref();
        let process =
            process.ok_or_else(|| ScenarioError::text(format!("{server} is not running")))?;
        // Any user but the instances' control user leaves the reserved connections to
        // the instances.
        let parameters = [("user", "scenario")];
        let client = PgClient::connect(listen_address(process)?, &parameters, STATUS_TIMEOUT);
        let answer = client.and_then(|mut client| client.query(sql));
        let answer = answer.map_err(|error| ScenarioError::text(error.to_string()))?;
        Ok(answer.results.into_iter().next().unwrap_or_default())
    }

    /// Returns a server's role and term as a line.
    pub fn status_line(&self, server: &str) -> Result<String, ScenarioError> {
        let status = self.status(server)?;
        Ok(format!("role={} term={}", status["role"], status["term"]))
    }

    /// Restarts a killed server with its existing data directory.
    pub fn restart_server(&mut self, name: &str) -> Result<(), ScenarioError> {
        let server = self.servers.get_mut(name).ok_or_else(|| unknown_name("server", name))?;
        let process = Process::start("masticreel-standin", &server.arguments, None)?;
        server.relay.set_target(listen_address(&process)?);
        server.process = Some(process);
        Ok(())
    }

    /// Starts or restarts an instance.
    pub fn start_instance(&mut self, name: &str) -> Result<(), ScenarioError> {
        let folder = self.folder()?;
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, self.instance_settings(name)?)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let log = folder.join(format!("{name}.log"));
        let process = Process::start("masticreeld", &arguments, Some(&log))?;
        if let Some(instance) = self.instances.get_mut(name) {
            instance.process = Some(process);
        }
        Ok(())
    }

    fn start_group(&mut self, arguments: &mut Arguments<'_>) -> Result<(), ScenarioError> {
        let group = arguments.required("name")?;
        let count = arguments.number("servers", 3)?;
        let mut options = Vec::new();
        for option in SERVER_OPTIONS {
            if let Some(value) = arguments.optional(option)? {
                options.extend([format!("--{option}"), value]);
            }
        }
        let mut primary = None;
        for number in 0..count as usize {
            let name = format!("{group}-{number}");
            let data_dir = self.folder()?.join(&name).display().to_string();
            let mut words = words(&format!("upstream --name {name} --data-dir {data_dir}"));
            if let Some(primary) = primary {
                let role = format!("--initial-role replica --primary {primary}");
                words.extend(role.split_whitespace().map(str::to_owned));
            }
            words.extend(options.iter().cloned());
            let process = Process::start("masticreel-standin", &words, None)?;
            let relay = Relay::start(any_port(), listen_address(&process)?)?;
            primary.get_or_insert(relay.address());
            let failure_domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].to_owned();
            let server = Server { process: Some(process), relay, arguments: words, failure_domain };
            self.servers.insert(name, server);
        }
        let text = self.group_text(&group);
        let endpoint = format!("http://{}", self.store_address()?);
        document::write(&endpoint, &group, &text, Revision(0))?;
        Ok(())
    }

    fn group_text(&self, group: &str) -> String {
        let mut text = format!("[[groups]]\nname = \"{group}\"\ndatabase = \"{group}\"\n");
        let prefix = format!("{group}-");
        for (name, server) in self.servers.iter().filter(|(name, _)| name.starts_with(&prefix)) {
            text.push_str(&format!(
                "\n[[groups.servers]]\nname = \"{name}\"\naddress = \"{}\"\n\
                 failure_domain = \"{}\"\n",
                server.relay.address(),
                server.failure_domain
            ));
        }
        text
    }

    fn start_instances(
        &mut self,
        arguments: &mut Arguments<'_>,
        settings: &str,
    ) -> Result<(), ScenarioError> {
        let names = arguments.list("names")?;
        let store = self.store_address()?;
        for (number, name) in names.iter().enumerate() {
            let addresses = InstanceAddresses::choose();
            let instance = Instance {
                process: None,
                caller_relay: Relay::start(any_port(), addresses.callers)?,
                store_relay: Relay::start(any_port(), store)?,
                addresses,
                failure_domain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].to_owned(),
                settings: settings.to_owned(),
            };
            self.instances.insert(name.clone(), instance);
        }
        for name in &names {
            self.start_instance(name)?;
        }
        Ok(())
    }

    fn instance_settings(&self, name: &str) -> Result<String, ScenarioError> {
        let own = self.instance(name)?;
        let InstanceAddresses { callers, peers, operators } = own.addresses;
        let mut text = format!(
            "[instance]\nname = \"{name}\"\nfailure_domain = \"{}\"\n\
             caller_address = \"{callers}\"\npeer_address = \"{peers}\"\n\
             operator_address = \"{operators}\"\nshared_key = \"{SHARED_KEY}\"\n\n\
             [platform]\nstore_endpoint = \"http://{}\"\ndocument_poll_ms = 200\n",
            own.failure_domain,
            own.store_relay.address(),
        );
        for (peer, instance) in &self.instances {
            text.push_str(&format!(
                "\n[[peers]]\nname = \"{peer}\"\nfailure_domain = \"{}\"\npeer_address = \"{}\"\n",
                instance.failure_domain, instance.addresses.peers
            ));
        }
        text.push('\n');
        text.push_str(&own.settings);
        Ok(text)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        if let Some(folder) = &self.folder {
            // If this fails, the files stay in the temporary directory.
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

/// The secret that all instances of a scenario share.
pub const SHARED_KEY: &str = "scenario";

/// Returns the address that a process reported in its first line.
pub fn listen_address(process: &Process) -> Result<SocketAddr, ScenarioError> {
    let missing = || io::Error::other("a process did not report its address");
    Ok(process.address("address").ok_or_else(missing)?)
}

fn unknown_name(kind: &str, name: &str) -> ScenarioError {
    ScenarioError::text(format!("no {kind} is named {name}"))
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}
