//! A database group, a store and several instances, each a process of its own.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::Revision;
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_platform::editor::{EditTiming, Editor};
use masticreel_platform::etcd::EtcdStore;

use crate::pg_client::{ClientError, PgClient};
use crate::process::{Process, program};

/// The database that callers connect to.
pub const DATABASE: &str = "app";
/// Servers of the group.
pub const SERVERS: usize = 3;
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
const EDIT_DEADLINE: Duration = Duration::from_secs(5);
const EDIT_RETRY_PAUSE: Duration = Duration::from_millis(100);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the cluster to serve its first write.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait of a client for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// What a cluster looks like.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Instances of masticreel, spread over the failure domains.
    pub instances: usize,
    /// How long log entries are under way to replicas, in milliseconds.
    pub receive_lag_ms: u64,
    /// How long durable log entries wait until they are applied, in milliseconds.
    pub apply_lag_ms: u64,
    /// Rules of the document, as TOML.
    pub rules: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { instances: 3, receive_lag_ms: 0, apply_lag_ms: 0, rules: String::new() }
    }
}

/// A running cluster; its processes end with it.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    /// The platform's store.
    pub store: Process,
    /// The group's servers; the first starts as the primary.
    pub servers: Vec<Process>,
    /// The links to the servers, from instances and other servers alike.
    pub links: Vec<Process>,
    /// The instances.
    pub instances: Vec<Process>,
    directory: PathBuf,
}

impl Cluster {
    /// Starts everything and waits until a write is acknowledged.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or no write is acknowledged.
    pub fn start(options: ClusterOptions) -> io::Result<Self> {
        let directory = scratch_directory()?;
        let store = standin("store", &[])?;
        let mut cluster = Self {
            options,
            store,
            servers: Vec::new(),
            links: Vec::new(),
            instances: Vec::new(),
            directory,
        };
        for number in 0..SERVERS {
            cluster.start_server(number)?;
        }
        cluster.write_document()?;
        cluster.start_instances()?;
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    fn start_server(&mut self, number: usize) -> io::Result<()> {
        // The link gets its target once the server has an address.
        let nowhere = "127.0.0.1:9";
        let link = standin("relay", &["--target", nowhere])?;
        self.links.push(link);
        let server = self.run_server(number, number != 0)?;
        self.servers.push(server);
        self.retarget(number)
    }

    fn run_server(&self, number: usize, is_replica: bool) -> io::Result<Process> {
        let receive_lag = self.options.receive_lag_ms.to_string();
        let apply_lag = self.options.apply_lag_ms.to_string();
        let name = server_name(number);
        let data = self.directory.join(&name).display().to_string();
        let mut arguments = vec!["--name", &name, "--data-dir", &data];
        arguments.extend(["--receive-lag-ms", &receive_lag, "--apply-lag-ms", &apply_lag]);
        let primary = self.server_address(0)?.to_string();
        if is_replica {
            arguments.extend(["--initial-role", "replica", "--primary", &primary]);
        }
        standin("upstream", &arguments)
    }

    /// Starts a killed server again, with the log that it had.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn restart_server(&mut self, number: usize) -> io::Result<()> {
        self.servers[number] = self.run_server(number, number != 0)?;
        self.retarget(number)
    }

    fn retarget(&self, number: usize) -> io::Result<()> {
        let address: SocketAddr = self.servers[number].announced("address")?;
        self.order_link(number, &format!("target {address}"))
    }

    /// Returns the address under which the document knows a server.
    ///
    /// # Errors
    ///
    /// Fails when the link has announced none.
    pub fn server_address(&self, number: usize) -> io::Result<SocketAddr> {
        self.links[number].announced("address")
    }

    /// Sends a command to a server's link, such as `cut` or `heal`.
    ///
    /// # Errors
    ///
    /// Fails when the link does not obey.
    pub fn order_link(&self, number: usize, command: &str) -> io::Result<()> {
        let control: SocketAddr = self.links[number].announced("control")?;
        let mut stream = TcpStream::connect(control)?;
        writeln!(stream, "{command}")?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        if answer.trim() == "ok" { Ok(()) } else { Err(io::Error::other(answer)) }
    }

    fn write_document(&self) -> io::Result<()> {
        let timing = EditTiming { deadline: EDIT_DEADLINE, retry_pause: EDIT_RETRY_PAUSE };
        let address: SocketAddr = self.store.announced("address")?;
        let client = EtcdStore::new(&format!("http://{address}"), STORE_TIMEOUT);
        let editor = Editor::new(client, SystemClock, timing, CancellationToken::new());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let request = EditRequest {
            section: "upstreams".into(),
            base: Revision(0),
            text: self.document_text()?.into(),
            author: "test".into(),
            edited_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        };
        match editor.apply(request, rand::random::<u64>().into()) {
            EditOutcome::Landed(_) => Ok(()),
            other => Err(io::Error::other(format!("the document was not accepted: {other:?}"))),
        }
    }

    fn document_text(&self) -> io::Result<String> {
        let mut text = format!("[[groups]]\nname = \"{DATABASE}\"\ndatabase = \"{DATABASE}\"\n");
        for (number, domain) in DOMAINS.iter().enumerate() {
            let (name, address) = (server_name(number), self.server_address(number)?);
            text.push_str(&format!(
                "\n[[groups.servers]]\nname = \"{name}\"\naddress = \"{address}\"\n\
                 failure_domain = \"{domain}\"\n"
            ));
        }
        text.push('\n');
        text.push_str(&self.options.rules);
        Ok(text)
    }

    fn start_instances(&mut self) -> io::Result<()> {
        let peers = free_addresses(self.options.instances)?;
        let store: SocketAddr = self.store.announced("address")?;
        for number in 0..peers.len() {
            let path = self.directory.join(format!("instance-{number}.toml"));
            std::fs::write(&path, instance_settings(number, &peers, store))?;
            let log = std::fs::File::create(self.directory.join(format!("instance-{number}.log")))?;
            let mut command = Command::new(program("masticreeld")?);
            let instance = Process::start(command.arg("--settings").arg(&path).stderr(log))?;
            self.instances.push(instance);
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let created = self.client(0, &[]).and_then(|mut client| {
                client.query("CREATE TABLE IF NOT EXISTS notes (id TEXT PRIMARY KEY, n INTEGER)")
            });
            match created {
                Ok(answer) if answer.error.is_none() => return Ok(()),
                other if Instant::now() >= deadline => {
                    return Err(io::Error::other(format!("the cluster is not ready: {other:?}")));
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Connects to an instance as a caller.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses.
    pub fn client(
        &self,
        instance: usize,
        parameters: &[(&str, &str)],
    ) -> Result<PgClient, ClientError> {
        let address = self.instances[instance].announced("callers")?;
        let mut all = vec![("user", "tester"), ("database", DATABASE)];
        all.extend(parameters);
        PgClient::connect(address, &all, CLIENT_TIMEOUT)
    }

    /// Returns a server's account of itself: term, role, log term, durable, applied.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer.
    pub fn status(&self, number: usize) -> Result<Vec<String>, ClientError> {
        let address = self.servers[number].announced("address")?;
        let parameters = [("user", "tester"), ("database", DATABASE)];
        let mut client = PgClient::connect(address, &parameters, Duration::from_secs(1))?;
        let answer = client.query("SELECT * FROM group_status()")?;
        let row = answer.rows().first().cloned().unwrap_or_default();
        Ok(row.into_iter().map(Option::unwrap_or_default).collect())
    }

    /// Waits until a server has a role.
    ///
    /// # Errors
    ///
    /// Fails when it does not get there in time.
    pub fn wait_for_role(&self, number: usize, role: &str, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.status(number);
            if status.as_ref().is_ok_and(|status| status.get(1).is_some_and(|own| own == role)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!("server {number} is {status:?}")));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns where the instances' logs and settings are.
    pub fn directory(&self) -> &std::path::Path {
        &self.directory
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.directory.display());
            return;
        }
        // A directory that stays is only untidy.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn standin(kind: &str, arguments: &[&str]) -> io::Result<Process> {
    Process::start(Command::new(program("masticreel-standin")?).arg(kind).args(arguments))
}

fn server_name(number: usize) -> String {
    format!("{DATABASE}-{number}")
}

fn scratch_directory() -> io::Result<PathBuf> {
    let name = format!("masticreel-{}-{:08x}", std::process::id(), rand::random::<u32>());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Finds ports that nobody uses at the moment.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn instance_settings(number: usize, peers: &[SocketAddr], store: SocketAddr) -> String {
    let domain = |number: usize| DOMAINS[number % DOMAINS.len()];
    let mut text = format!(
        "[instance]\nname = \"i{number}\"\nfailure_domain = \"{}\"\n\
         caller_address = \"127.0.0.1:0\"\npeer_address = \"{}\"\n\
         operator_address = \"127.0.0.1:0\"\nshared_key = \"test\"\n\n\
         [platform]\nstore_endpoint = \"http://{store}\"\n",
        domain(number),
        peers[number],
    );
    for (peer, address) in peers.iter().enumerate() {
        text.push_str(&format!(
            "\n[[peers]]\nname = \"i{peer}\"\nfailure_domain = \"{}\"\npeer_address = \"{address}\"\n",
            domain(peer),
        ));
    }
    text
}
