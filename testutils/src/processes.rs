//! Starting masticreel and its stand-ins as processes of their own.
//!
//! Programs are looked for beside the running test, where cargo puts them.

pub mod deployment;
pub(crate) mod document;
mod faults;

use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Signals that a test sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks the process to finish.
    Terminate,
    /// Stops the process from running until it is continued.
    Stop,
    /// Lets a stopped process run again.
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
    /// Starts a program and waits for its first line.
    ///
    /// Standard error goes to the log file, if one is named.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or ends without a line.
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
            return Err(io::Error::other(format!("{program} ended at once: {status}")));
        }
        Ok(Self { child, first_line })
    }

    /// Returns the first line that the program printed.
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    /// Returns the process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address after `key=` in the first line.
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        let prefix = format!("{key}=");
        let mut words = self.first_line.split_whitespace();
        words.find_map(|word| word.strip_prefix(&prefix)?.parse().ok())
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if signal == Signal::Kill {
            self.child.kill()?;
            self.child.wait()?;
            return Ok(());
        }
        let status = Command::new("kill")
            .args(["-s", signal.name(), &self.child.id().to_string()])
            .status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the process is gone")) }
    }

    /// Waits until the process ends; returns whether it was successful.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns where cargo put a program of this workspace.
///
/// # Errors
///
/// Fails when the program was not built.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let found = running.ancestors().skip(1).take(2).map(|folder| folder.join(program));
    found
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::other(format!("{program} is not built beside {running:?}")))
}

/// Returns a loopback address that no other test uses.
///
/// All of 127.0.0.0/8 is this machine, and connections start at 127.0.0.1, so a
/// fixed port of such an address is always free.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, number)
}
