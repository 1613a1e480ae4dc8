//! The operators' client `masticreel`.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    masticreel_cli::run(&arguments, &mut io::stdout(), &mut io::stderr()).into()
}
