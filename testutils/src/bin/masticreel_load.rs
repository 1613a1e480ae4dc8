//! Runs the load that the settings describe and prints its latencies and errors.

use std::error::Error;
use std::fs::File;
use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use masticreel_testutils::load;

/// Sends a load of statements and prints what it measured.
#[derive(FromArgs)]
struct Arguments {
    /// the settings in TOML, see docs/load.md
    #[argh(positional)]
    settings: PathBuf,
    /// where to write the figures as comma-separated values
    #[argh(option)]
    csv: Option<PathBuf>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let settings = toml::from_str(&std::fs::read_to_string(&arguments.settings)?)?;
    let report = load::run(settings)?;
    report.write_text(&mut io::stdout().lock())?;
    if let Some(path) = arguments.csv {
        report.write_csv(&mut File::create(path)?)?;
    }
    Ok(())
}
