//! Instances of the project, started as the deploy file says, and clients of them.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::record::Record;
use crate::servers::{Group, SERVICES, Setup};
use crate::store::Store;

/// The word of `run` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/masticreel-platform";

/// The settings of a small deployment; `PROTOCOL.md` names the routes' fields.
pub fn configuration(setup: Setup) -> String {
    let service = SERVICES[0].0;
    let route = |host: &str, kind: &str, timeout_ms: u64, priority: u64, age_ms: u64| {
        format!(
            r#"{{"name":"r-{host}","host":"{host}","prefix":"/","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":200,"priority":{priority},"service":"{service}","max_attempts":2,"max_staleness_ms":{age_ms}}}"#
        )
    };
    let routes = [
        route("latest", "primary", 800, 1, 0),
        route("bounded", "bounded_staleness", 1500, 2, 1500),
        route("own", "read_your_writes", 800, 2, 2500),
    ];
    let services = SERVICES.map(|(name, _)| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":{},"protocol":"h1","tls":false,"sync_replicas":{}}}"#,
            setup.max_connections, setup.sync_replicas
        )
    });
    format!(
        r#"{{"version":3,"routes":[{}],"services":[{}],"limits":{{"tx_idle_ms":3000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// The processes that were started; each instance knows its place.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap_or_else(|lock| lock.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Instance {
    name: String,
    pub frontend: SocketAddr,
    child: usize,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    /// How often its process has ended by itself.
    pub exits: usize,
}

impl Instance {
    pub fn start(number: u8, store: &Store, record: &Record) -> Instance {
        let name = format!("proxy-z-{number}");
        let ip = Ipv4Addr::new(127, 0, 0, 1);
        let port = free_ports(5);
        let frontend = SocketAddr::from((ip, port));
        let text = format!(
            "node_name={name}\nrole=instance\nnode_class=proxy\nserves=proxy\nip={ip}\nzone=z-{zone}\n\
             region=r\nzones.z-1=r\nzones.z-2=r\nzones.z-3=r\nlisten.frontend={frontend}\n\
             listen.readiness={ip}:{readiness}\nport_range={first},{last}\nbootstrap=true\n\
             limits.cpu_quota=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4300\n\
             limits.bandwidth_mbps=1000.0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             bounds.drain_timeout_ms=7000\nbounds.grace_s=6\nbounds.config_deadline_ms=3000\n\
             platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.max_value_bytes=1048576\n\
             platform.min_ttl_ms=1000\ncloud.address={store}\ncloud.duties=failover\n",
            zone = (number - 1) % 3 + 1,
            readiness = port + 1,
            first = port + 2,
            last = port + 4,
            store = store.address,
        );
        let folder = std::env::temp_dir();
        let stem = format!("review-{}-{name}", std::process::id());
        let settings = folder.join(format!("{stem}.conf"));
        let log = folder.join(format!("{stem}.log"));
        fs::write(&settings, text).expect("the settings file can be written");
        let process = spawn(&settings, &log);
        let mut children = CHILDREN.lock().unwrap();
        children.push(process);
        let child = children.len() - 1;
        record.line(&format!("START {name}"));
        Instance { name, frontend, child, settings, log, record: record.clone(), exits: 0 }
    }

    /// Checks whether the process has ended by itself; if so, starts it again after a short
    /// delay, as the platform does.
    pub fn has_ended(&mut self) -> bool {
        let status = CHILDREN.lock().unwrap()[self.child].try_wait();
        let Some(status) = status.expect("the process can be queried") else {
            return false;
        };
        self.exits += 1;
        self.record.line(&format!("EXIT {} by itself: {status}", self.name));
        std::thread::sleep(Duration::from_millis(500));
        CHILDREN.lock().unwrap()[self.child] = spawn(&self.settings, &self.log);
        self.record.line(&format!("START {} again", self.name));
        true
    }

    /// Waits until the instance answers a read at the primary.
    pub fn wait_until_serving(&mut self) -> bool {
        for _ in 0..300 {
            if let Some(mut client) = Client::open(self.frontend, "latest")
                && client.ask("probe", "READ probe").is_some_and(|answer| answer.outcome.is_ok())
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Ok(mut children) = CHILDREN.lock() {
            let _ = children[self.child].kill();
            let _ = children[self.child].wait();
        }
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.log);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    let errors = log.try_clone().expect("the log can be shared");
    Command::new(PROGRAM)
        .env("MASTICREEL_NODE_FILE", settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::from(errors))
        .spawn()
        .expect("the program of the deploy file is built")
}

/// Returns the first of some successive free ports.
fn free_ports(count: u16) -> u16 {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 12_000 + (std::process::id() % 150) as u16 * 100;
    loop {
        let first = start + NEXT.fetch_add(count, Ordering::Relaxed);
        let is_free = (first..first + count).all(|port| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        });
        if is_free {
            return first;
        }
    }
}

/// What a client was answered.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The signature, or the code with its text.
    pub outcome: Result<String, String>,
    #[allow(dead_code)]
    pub state: String,
}

/// A client's session.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(frontend: SocketAddr, database: &str) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut client = Client { stream, reader };
        client.send(&format!("STARTUP {database} review\r\n"))?;
        (client.line()? == "READY I -").then_some(client)
    }

    pub fn send(&mut self, bytes: &str) -> Option<()> {
        self.stream.write_all(bytes.as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
    }

    /// Sends a request and returns its answer, none if there is none.
    pub fn ask(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        self.answer()
    }

    pub fn answer(&mut self) -> Option<Answer> {
        let mut rows = Vec::new();
        let mut outcome = Err("no outcome".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Some(Answer { rows, outcome, state });
                }
                _ => return None,
            }
        }
    }
}

/// The stand-ins and the instances of a case.
pub struct Deployment {
    pub group: Group,
    pub instances: Vec<Instance>,
}

impl Deployment {
    /// Starts all, and waits until each instance serves; none if one doesn't.
    pub fn start(count: u8, setup: Setup, record: &Record) -> Option<Deployment> {
        let groups = SERVICES.map(|(service, letter)| Group::start(service, letter, setup, record));
        let store = Store::start(&groups);
        store.put("op/config", &configuration(setup));
        for group in &groups {
            group.register(&store);
        }
        std::thread::sleep(Duration::from_millis(100));
        let mut instances: Vec<Instance> =
            (1..=count).map(|number| Instance::start(number, &store, record)).collect();
        let all_serve = instances.iter_mut().all(Instance::wait_until_serving);
        record.line(&format!("all instances serve: {all_serve}"));
        let [group, ..] = groups;
        all_serve.then_some(Deployment { group, instances })
    }
}
