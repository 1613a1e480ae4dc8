//! Processes of a test, which end with it.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

/// A running process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    first_line: String,
    _output: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program and waits for the first line that it prints.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or ends without a line.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut output = BufReader::new(stdout);
        let mut first_line = String::new();
        output.read_line(&mut first_line)?;
        if first_line.is_empty() {
            let status = child.wait()?;
            return Err(io::Error::other(format!("{command:?} ended with {status}")));
        }
        Ok(Self { child, first_line, _output: output })
    }

    /// Returns a value of the first line, which consists of `key=value` words.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing or its value can't be read.
    pub fn announced<Value>(&self, key: &str) -> io::Result<Value>
    where
        Value: std::str::FromStr,
    {
        let value = self.first_line.split_whitespace().find_map(|word| {
            let (name, value) = word.split_once('=')?;
            (name == key).then_some(value)
        });
        value
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| io::Error::other(format!("no {key} in {:?}", self.first_line)))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // A process that has ended already needs no more.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process in its tracks, without its noticing.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal("-STOP")
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal("-CONT")
    }

    fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of one of the workspace's programs.
///
/// Tests and tools run from the same build directory as the programs.
///
/// # Errors
///
/// Fails when the program was not built; build the workspace first.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .map(|directory: &Path| directory.join(name))
        .take(3)
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::other(format!("{name} is not built; build the workspace first")))
}
