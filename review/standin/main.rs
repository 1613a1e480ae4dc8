//! Plays the cases of the review that are scripts, one by name.
//!
//! It starts the project's instances and stand-ins for everything around them, writes what was
//! sent, answered and run into `record.txt` of the case's folder, and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it leaves out the
//! disruption.

mod cases;
mod instances;
mod json;
mod record;
mod servers;
mod store;

use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// A case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        instances::end_all();
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| cases::play(name, !is_calm, &record));
    instances::end_all();
    let verdict = played.unwrap_or_default();
    let (text, code) = match verdict {
        Some(faults) if faults.is_empty() => ("the rule held".to_owned(), 0),
        Some(faults) => (
            format!(
                "the rule was broken {} times:\n{}",
                faults.len(),
                faults[..faults.len().min(8)].join("\n")
            ),
            1,
        ),
        None => ("the case could not run".to_owned(), 2),
    };
    record.line(&format!("VERDICT {text}"));
    println!("{name}: {text}");
    ExitCode::from(code)
}
