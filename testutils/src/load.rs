//! Closed-loop load: each caller sends its next statement after the last answer.
//!
//! Each caller draws its statements at random, by their shares, from a seeded
//! generator, so that two runs draw the same sequences of statements.

mod caller;
pub mod report;
pub mod settings;

use std::sync::Arc;
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;

use crate::load::caller::Caller;
use crate::load::report::Report;
use crate::load::settings::LoadSettings;
use crate::pg_client::{ClientError, PgClient};

/// Runs the set-up statements, then the load.
///
/// # Errors
///
/// Fails when there are set-up statements and the first target can't be reached or
/// one of them fails there.
pub fn run(settings: LoadSettings) -> Result<Report, ClientError> {
    set_up(&settings)?;
    let settings = Arc::new(settings);
    let cancellation = CancellationToken::new();
    let start = Instant::now();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| {
            let caller = Caller::new(Arc::clone(&settings), number, cancellation.child());
            std::thread::spawn(move || caller.run())
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(settings.seconds));
    cancellation.cancel();
    let elapsed = start.elapsed();
    let mut report = Report::new(&settings, elapsed);
    for caller in callers {
        report.add(&caller.join().expect("a caller does not panic"));
    }
    Ok(report)
}

fn set_up(settings: &LoadSettings) -> Result<(), ClientError> {
    if settings.setup.is_empty() {
        return Ok(());
    }
    let mut client = PgClient::connect(
        settings.targets[0],
        &settings.start_up_parameters(),
        settings.timeout(),
    )?;
    for sql in &settings.setup {
        if let Some(error) = client.query(sql)?.error {
            return Err(ClientError::Refused(error));
        }
    }
    client.close()
}
