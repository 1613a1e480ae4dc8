//! Faults of a deployment, and what can be seen of them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::pg_client::{ClientError, PgClient, TextRow};
use crate::processes::Signal;
use crate::processes::deployment::{DATABASE, Deployment};

/// Longest wait of a client for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for a server's account of itself.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the first acknowledged write.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks while waiting.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

impl Deployment {
    /// Creates the table that fault tests use, once writes are acknowledged.
    ///
    /// # Errors
    ///
    /// Fails when no write is acknowledged in time.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let sql = "CREATE TABLE IF NOT EXISTS notes (id TEXT PRIMARY KEY, n INTEGER)";
        wait(READY_TIMEOUT, || {
            let answer = self.client(0, &[]).and_then(|mut client| client.query(sql));
            match answer {
                Ok(answer) if answer.error.is_none() => Ok(()),
                other => Err(format!("the deployment is not ready: {other:?}")),
            }
        })
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
        let mut all = vec![("user", "tester"), ("database", DATABASE)];
        all.extend(parameters);
        PgClient::connect(self.addresses[instance].callers, &all, CLIENT_TIMEOUT)
    }

    /// Kills a server.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn kill_server(&mut self, number: usize) -> io::Result<()> {
        self.servers[number].signal(Signal::Kill)
    }

    /// Starts a killed server again, with the log that it had.
    ///
    /// # Errors
    ///
    /// Fails when the server does not start.
    pub fn restart_server(&mut self, number: usize) -> io::Result<()> {
        self.servers[number] = self.start_server(number)?;
        self.point_link(number)
    }

    /// Lets a server's link lead to the server's present address.
    pub(super) fn point_link(&self, number: usize) -> io::Result<()> {
        if self.links.is_empty() {
            return Ok(());
        }
        let address = self.servers[number].address("address");
        let address = address.ok_or_else(|| io::Error::other("the server has no address"))?;
        self.order_link(number, &format!("target {address}"))
    }

    /// Sends a command to a server's link, such as `cut` or `heal`.
    ///
    /// # Errors
    ///
    /// Fails when the link does not obey.
    pub fn order_link(&self, number: usize, command: &str) -> io::Result<()> {
        let control = self.links[number].address("control");
        let control = control.ok_or_else(|| io::Error::other("the link has no control port"))?;
        let mut stream = TcpStream::connect(control)?;
        writeln!(stream, "{command}")?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        if answer.trim() == "ok" { Ok(()) } else { Err(io::Error::other(answer)) }
    }

    /// Returns a server's account of itself, which starts with term and role.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer.
    pub fn status(&self, number: usize) -> Result<TextRow, ClientError> {
        let address = self.servers[number].address("address");
        let address = address.ok_or_else(|| io::Error::other("the server has no address"))?;
        let parameters = [("user", "tester"), ("database", DATABASE)];
        let mut client = PgClient::connect(address, &parameters, STATUS_TIMEOUT)?;
        let answer = client.query("SELECT * FROM group_status()")?;
        Ok(answer.rows().first().cloned().unwrap_or_default())
    }

    /// Waits until a server has a role.
    ///
    /// # Errors
    ///
    /// Fails when it does not get there in time.
    pub fn wait_for_role(&self, number: usize, role: &str, timeout: Duration) -> io::Result<()> {
        wait(timeout, || match self.status(number) {
            Ok(row) if row.get(1).is_some_and(|own| own.as_deref() == Some(role)) => Ok(()),
            other => Err(format!("server {number} is not {role}: {other:?}")),
        })
    }
}

fn wait<Look>(timeout: Duration, look: Look) -> io::Result<()>
where
    Look: Fn() -> Result<(), String>,
{
    let deadline = Instant::now() + timeout;
    loop {
        match look() {
            Ok(()) => return Ok(()),
            Err(message) if Instant::now() >= deadline => return Err(io::Error::other(message)),
            Err(_) => std::thread::sleep(LOOK_INTERVAL),
        }
    }
}
