//! The operators' client: edits the configuration document in the store, and
//! shows it with the reports of the instances.
//!
//! `arguments` parses the command line, and `commands` runs one command with a
//! `Context` of settings, clients and output. `exit` has the exit codes.
//!
//! See `docs/document.md` for the document and `docs/operating.md` for the
//! reports.

use std::io::Write;

use argh::FromArgs as _;

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::exit::Exit;

pub mod arguments;
pub mod commands;
pub mod context;
pub mod error;
pub mod exit;
pub mod operators;
pub mod settings;
pub mod time;
pub mod working_copy;

/// The program's name in usage texts and error messages.
const PROGRAM: &str = "masticreel";

/// Runs the client and returns its exit code.
///
/// `arguments` leaves out the program's name. Results are written to `out` and
/// errors to `err`.
pub fn run<Out, Err>(arguments: &[String], out: &mut Out, err: &mut Err) -> Exit
where
    Out: Write,
    Err: Write,
{
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = match Arguments::from_args(&[PROGRAM], &arguments) {
        Ok(parsed) => parsed,
        Err(early) => return show_usage(&early, out, err),
    };
    match commands::run(parsed, out) {
        Ok(exit) => exit,
        Err(error) => {
            // If `err` can't be written, there is nowhere left to report that.
            writeln!(err, "{PROGRAM}: {error}").ok();
            error.exit()
        }
    }
}

fn show_usage<Out, Err>(early: &argh::EarlyExit, out: &mut Out, err: &mut Err) -> Exit
where
    Out: Write,
    Err: Write,
{
    if early.status.is_ok() {
        let written = write!(out, "{}", early.output).map_err(CliError::from);
        return written.map_or_else(|error| error.exit(), |()| Exit::Done);
    }
    write!(err, "{}", early.output).ok();
    Exit::Usage
}
