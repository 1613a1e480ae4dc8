//! Further methods of [`Deployment`]: readiness, callers with start-up parameters,
//! faults and the status of servers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::pg_client::{ClientError, PgClient, TextRow};
use crate::processes::Signal;
use crate::processes::deployment::{DATABASE, Deployment};

/// The read timeout of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout for querying a server's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout until the first write is acknowledged.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Deployment {
    /// Waits until a write is acknowledged: the creation of the table `notes`, which
    /// fault tests and some measurements use.
    ///
    /// # Errors
    ///
    /// Fails when no write is acknowledged within the timeout.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let sql = "CREATE TABLE IF NOT EXISTS notes (id TEXT PRIMARY KEY, n INTEGER)";
        wait_until(READY_TIMEOUT, || {
            let answer = self.connect_with(0, &[]).and_then(|mut client| client.query(sql));
            match answer {
                Ok(answer) if answer.error.is_none() => Ok(()),
                other => Err(format!("the deployment is not ready: {other:?}")),
            }
        })
    }

    /// Connects to an instance as a caller, with the user `tester` and additional
    /// start-up parameters.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses the connection.
    pub fn connect_with(
        &self,
        instance: usize,
        parameters: &[(&str, &str)],
    ) -> Result<PgClient, ClientError> {
        let mut all = vec![("user", "tester"), ("database", DATABASE)];
        all.extend(parameters);
        PgClient::connect(self.addresses[instance].callers, &all, CLIENT_TIMEOUT)
    }

    /// Kills a server.
    ///
    /// # Errors
    ///
    /// Fails when the process has already exited.
    pub fn kill_server(&mut self, number: usize) -> io::Result<()> {
        self.servers[number].signal(Signal::Kill)
    }

    /// Restarts a killed server with its existing data directory.
    ///
    /// # Errors
    ///
    /// Fails when the server does not start.
    pub fn restart_server(&mut self, number: usize) -> io::Result<()> {
        self.servers[number] = self.start_server(number)?;
        self.set_relay_target(number)
    }

    /// Sets the target of a server's relay to the server's current address.
    pub(super) fn set_relay_target(&self, number: usize) -> io::Result<()> {
        if self.server_relays.is_empty() {
            return Ok(());
        }
        let address = self.servers[number].address("address");
        let address =
            address.ok_or_else(|| io::Error::other("the server did not report its address"))?;
        self.send_relay_command(number, &format!("target {address}"))
    }

    /// Sends a command to a server's relay, such as `cut` or `heal`.
    ///
    /// # Errors
    ///
    /// Fails when the relay does not acknowledge the command.
    pub fn send_relay_command(&self, number: usize, command: &str) -> io::Result<()> {
        let control = self.server_relays[number].address("control");
        let control = control
            .ok_or_else(|| io::Error::other("the relay did not report its control address"))?;
        let mut stream = TcpStream::connect(control)?;
        writeln!(stream, "{command}")?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        if answer.trim() == "ok" { Ok(()) } else { Err(io::Error::other(answer)) }
    }

    /// Returns a server's status as a row, which starts with term and role.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer.
    pub fn status(&self, number: usize) -> Result<TextRow, ClientError> {
        let address = self.servers[number].address("address");
        let address =
            address.ok_or_else(|| io::Error::other("the server did not report its address"))?;
        let parameters = [("user", "tester"), ("database", DATABASE)];
        let mut client = PgClient::connect(address, &parameters, STATUS_TIMEOUT)?;
        let answer = client.query("SELECT * FROM group_status()")?;
        Ok(answer.rows().first().cloned().unwrap_or_default())
    }

    /// Waits until a server has a role.
    ///
    /// # Errors
    ///
    /// Fails when the server does not have the role within the timeout.
    pub fn wait_for_role(&self, number: usize, role: &str, timeout: Duration) -> io::Result<()> {
        wait_until(timeout, || match self.status(number) {
            Ok(row) if row.get(1).is_some_and(|own| own.as_deref() == Some(role)) => Ok(()),
            other => Err(format!("server {number} is not {role}: {other:?}")),
        })
    }
}

/// Repeats a check until it succeeds; fails with its last message at the timeout.
fn wait_until<Check>(timeout: Duration, check: Check) -> io::Result<()>
where
    Check: Fn() -> Result<(), String>,
{
    let deadline = Instant::now() + timeout;
    loop {
        match check() {
            Ok(()) => return Ok(()),
            Err(message) if Instant::now() >= deadline => return Err(io::Error::other(message)),
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
