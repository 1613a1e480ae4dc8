//! Compares admission policies on simulated arrivals and writes the figures as CSV
//! and SVG.

use std::error::Error;
use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use masticreel_testutils::experiment::plot::to_svg;
use masticreel_testutils::experiment::report::{compare, to_csv};
use masticreel_testutils::experiment::settings::ExperimentSettings;

/// Compare admission policies on simulated arrivals.
#[derive(FromArgs)]
struct Arguments {
    /// settings of the experiment (TOML)
    #[argh(positional)]
    settings: PathBuf,

    /// directory that receives NAME.csv and NAME.svg
    #[argh(option, default = "PathBuf::from(\".\")")]
    output: PathBuf,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let settings: ExperimentSettings = toml::from_str(&fs::read_to_string(&arguments.settings)?)?;
    let rows = compare(&settings);
    let csv = to_csv(&settings.name, &rows);
    fs::create_dir_all(&arguments.output)?;
    fs::write(arguments.output.join(format!("{}.csv", settings.name)), &csv)?;
    let svg = to_svg(&settings.name, &rows);
    fs::write(arguments.output.join(format!("{}.svg", settings.name)), svg)?;
    print!("{csv}");
    Ok(())
}
