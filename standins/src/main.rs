//! Runs a stand-in or a relay as a process of its own.
//!
//! Each prints one line with its addresses once it listens, and runs until it
//! is killed.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use masticreel_base::ids::Term;
use masticreel_standins::instances::{InstanceList, InstanceListSettings};
use masticreel_standins::relay::Relay;
use masticreel_standins::store::{Store, StoreSettings};
use masticreel_standins::upstream::{InitialRole, Upstream, UpstreamSettings};

/// Runs a stand-in for a system that masticreel depends on.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Upstream(UpstreamArguments),
    Store(StoreArguments),
    Instances(InstancesArguments),
    Relay(RelayArguments),
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs one database server of a group.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamArguments {
    /// where to listen
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// the server's name
    #[argh(option, default = "String::from(\"upstream\")")]
    name: String,
    /// primary or replica
    #[argh(option, default = "String::from(\"primary\")")]
    initial_role: String,
    /// the primary that a replica follows
    #[argh(option)]
    primary: Option<SocketAddr>,
    /// the term to start in, which numbers a primary's tenure
    #[argh(option, default = "1")]
    term: u64,
    /// the directory that keeps the log across restarts
    #[argh(option)]
    data_dir: Option<PathBuf>,
    /// how many statements run at once
    #[argh(option, default = "2")]
    slots: usize,
    /// how many connections are accepted, including the 3 that are reserved for
    /// the user masticreel_control
    #[argh(option, default = "16")]
    max_connections: usize,
    /// how long opening a connection takes, in milliseconds
    #[argh(option, default = "12")]
    connect_ms: u64,
    /// how long log entries take to reach this server, in milliseconds
    #[argh(option, default = "0")]
    receive_lag_ms: u64,
    /// how long durable log entries wait until they are applied, in
    /// milliseconds
    #[argh(option, default = "0")]
    apply_lag_ms: u64,
    /// the network latency of each request and each response, in milliseconds
    #[argh(option, default = "0.0")]
    one_way_ms: f64,
    /// how long a write waits for another transaction's write lock, in
    /// milliseconds
    #[argh(option, default = "10000")]
    lock_timeout_ms: u64,
}

/// Runs the platform's key-value store, an etcd.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArguments {
    /// where to listen
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// where to listen for commands that inject faults
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// how many reads are accepted per second
    #[argh(option, default = "2000.0")]
    reads_per_second: f64,
    /// how many writes are accepted per second
    #[argh(option, default = "500.0")]
    writes_per_second: f64,
}

/// Serves the platform's list of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct InstancesArguments {
    /// where to listen
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// where to listen for commands that change the list
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// how long a change takes to become visible to readers, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// Runs a TCP relay that can be cut and slowed down.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct RelayArguments {
    /// where to listen
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// the address that connections are relayed to
    #[argh(option)]
    target: SocketAddr,
    /// where to listen for one-line commands
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// how long bytes are delayed in each direction, in milliseconds
    #[argh(option, default = "0.0")]
    delay_ms: f64,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Upstream(arguments) => run_upstream(arguments),
        Command::Store(arguments) => run_store(&arguments),
        Command::Instances(arguments) => run_instances(&arguments),
        Command::Relay(arguments) => run_relay(&arguments),
    }
}

fn run_upstream(arguments: UpstreamArguments) -> io::Result<()> {
    let initial_role = match arguments.initial_role.as_str() {
        "primary" => InitialRole::Primary,
        "replica" => InitialRole::Replica { primary: arguments.primary },
        other => return Err(io::Error::other(format!("unknown role: {other}"))),
    };
    let one_way_latency = Duration::try_from_secs_f64(arguments.one_way_ms / 1000.0);
    let upstream = Upstream::start(UpstreamSettings {
        name: arguments.name,
        listen: arguments.listen,
        initial_role,
        initial_term: Term(arguments.term),
        data_dir: arguments.data_dir,
        slots: arguments.slots,
        max_connections: arguments.max_connections,
        connect_delay: Duration::from_millis(arguments.connect_ms),
        receive_lag: Duration::from_millis(arguments.receive_lag_ms),
        apply_lag: Duration::from_millis(arguments.apply_lag_ms),
        one_way_latency: one_way_latency.map_err(io::Error::other)?,
        lock_timeout: Duration::from_millis(arguments.lock_timeout_ms),
    })?;
    announce(&format!("listening address={}", upstream.address()))?;
    run_until_killed()
}

fn run_store(arguments: &StoreArguments) -> io::Result<()> {
    let store = Store::start(&StoreSettings {
        listen: arguments.listen,
        control: arguments.control,
        reads_per_second: arguments.reads_per_second,
        writes_per_second: arguments.writes_per_second,
    })?;
    let (address, control) = (store.address(), store.control_address());
    announce(&format!("listening address={address} control={control}"))?;
    run_until_killed()
}

fn run_instances(arguments: &InstancesArguments) -> io::Result<()> {
    let list = InstanceList::start(&InstanceListSettings {
        listen: arguments.listen,
        control: arguments.control,
        lag: Duration::from_millis(arguments.lag_ms),
    })?;
    let (address, control) = (list.address(), list.control_address());
    announce(&format!("listening address={address} control={control}"))?;
    run_until_killed()
}

fn run_relay(arguments: &RelayArguments) -> io::Result<()> {
    let relay = Relay::start(arguments.listen, arguments.target)?;
    relay.set_delay(Duration::from_secs_f64(arguments.delay_ms / 1000.0));
    let control = TcpListener::bind(arguments.control)?;
    let (address, control_address) = (relay.address(), control.local_addr()?);
    announce(&format!("listening address={address} control={control_address}"))?;
    relay.serve_control(&control)
}

/// Prints the line from which the starting process reads the addresses.
fn announce(line: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}

fn run_until_killed() -> ! {
    loop {
        std::thread::park();
    }
}
