//! Starts masticreel, and the stand-ins for its store, servers and links, as separate
//! processes.
//!
//! Programs are looked up in the directory of the running test and in its
//! parent, where cargo puts them. `deployment` starts a whole deployment,
//! `faults` makes parts of it fail, and `document` writes the document, the
//! configuration that all its instances share.

pub mod deployment;
pub(crate) mod document;
mod faults;

use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a process may take to stop after [`Signal::Stop`], on a busy machine too.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Signals that a test sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Requests an orderly shutdown.
    Terminate,
    /// Suspends the process until `Continue`.
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a program and waits for its first line of standard output, which
    /// reports its addresses.
    ///
    /// Standard error is appended to the log file, if one is given.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or exits without printing a line.
    pub fn start(program: &str, arguments: &[String], log: Option<&Path>) -> io::Result<Self> {
        let stderr = match log {
            Some(path) => {
                Stdio::from(std::fs::File::options().create(true).append(true).open(path)?)
            }
            None => Stdio::null(),
        };
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut first_line = String::new();
        BufReader::new(stdout).read_line(&mut first_line)?;
        let first_line = first_line.trim_end().to_owned();
        if first_line.is_empty() {
            let status = child.wait()?;
            return Err(io::Error::other(format!(
                "{program} exited before it printed its first line: {status}"
            )));
        }
        Ok(Self { child, first_line })
    }

    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address after `key=` in the first line.
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        let prefix = format!("{key}=");
        let mut words = self.first_line.split_whitespace();
        words.find_map(|word| word.strip_prefix(&prefix)?.parse().ok())
    }

    /// Sends a signal; after [`Signal::Kill`] also waits until the process has exited,
    /// after [`Signal::Stop`] until all of its threads are stopped.
    ///
    /// # Errors
    ///
    /// Fails when the process has already exited.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if signal == Signal::Kill {
            self.child.kill()?;
            self.child.wait()?;
            return Ok(());
        }
        let status = Command::new("kill")
            .args(["-s", signal.name(), &self.child.id().to_string()])
            .status()?;
        if !status.success() {
            return Err(io::Error::other("the signal could not be sent: the process has exited"));
        }
        if signal == Signal::Stop {
            self.wait_until_stopped()?;
        }
        Ok(())
    }

    /// Waits until no thread of the process runs any more.
    ///
    /// The signal reaches one thread, which stops the others only once it is scheduled;
    /// until then they continue to serve requests.
    fn wait_until_stopped(&self) -> io::Result<()> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !is_stopped(self.child.id())? {
            if Instant::now() >= deadline {
                return Err(io::Error::other("the process did not stop in time"));
            }
            thread::sleep(STOP_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Waits until the process exits; returns whether it exited successfully.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't report the exit status.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads of a process are stopped, according to `/proc`.
fn is_stopped(process: u32) -> io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let status = std::fs::read_to_string(thread?.path().join("stat"))?;
        // The state follows the name of the program, which is in parentheses.
        let state = status.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
        if state != Some('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns the path of a program of this workspace as cargo built it.
///
/// # Errors
///
/// Fails when the program has not been built.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let found = running.ancestors().skip(1).take(2).map(|folder| folder.join(program));
    found
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::other(format!("{program} is missing beside {running:?}")))
}

/// Returns a different loopback address at each call, derived from the process id, so
/// that tests can listen on fixed ports.
///
/// All of 127.0.0.0/8 is local. Outgoing connections have 127.0.0.1 as their source
/// address, so their source ports can't take a fixed port of the returned address.
pub fn unused_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, number)
}
