//! Reports on the fleet, written to the platform's store for operators.
//!
//! Only the few instances that watch the store write, each to the key of its position
//! among them, so the load on the store and the number of keys don't grow with the
//! fleet.

use std::io;
use std::thread;
use std::time::{Duration, UNIX_EPOCH};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_document::layout::report_key;
use masticreel_document::records::encode;
use masticreel_report::fleet::FleetReport;
use masticreel_store::store::{PlatformStore, Put, StoreError};
use slog::debug;

use crate::operator::endpoints::OperatorEndpoints;
use crate::operator::view::ReportSource;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Writes reports to the store at regular intervals.
pub struct Reporter<Reports, Time, Store> {
    endpoints: OperatorEndpoints<Reports, Time>,
    clock: Time,
    store: Store,
    logger: slog::Logger,
}

impl<Reports, Time, Store> Reporter<Reports, Time, Store>
where
    Reports: ReportSource,
    Time: Clock,
    Store: PlatformStore,
{
    /// Creates a reporter that has not started yet.
    pub fn new(
        endpoints: OperatorEndpoints<Reports, Time>,
        clock: Time,
        store: Store,
        logger: slog::Logger,
    ) -> Self {
        Self { endpoints, clock, store, logger }
    }

    /// Reports on a thread of its own until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the system has no room for the thread.
    pub fn start(self, cancellation: CancellationToken) -> io::Result<()> {
        thread::Builder::new().name("reporter".to_owned()).spawn(move || {
            while !cancellation.wait_timeout(REPORT_INTERVAL) {
                // The next report makes up for one that was not written.
                if let Err(error) = self.report() {
                    debug!(self.logger, "report on the fleet not written to the store"; "error" => %error);
                }
            }
        })?;
        Ok(())
    }

    /// Writes a report if this instance has a reporter rank.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn report(&self) -> Result<(), StoreError> {
        let Some(rank) = self.endpoints.fleet.reporter_rank() else { return Ok(()) };
        let put = Put { key: report_key(rank), value: encode(&self.fleet_report()) };
        self.store.commit(&[], &[put]).map(drop)
    }

    fn fleet_report(&self) -> FleetReport {
        let written_at = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        FleetReport {
            reporter: self.endpoints.name.clone(),
            written_at_ms: u64::try_from(written_at.as_millis()).unwrap_or(u64::MAX),
            revision: self.endpoints.documents.current().revision(),
            members: self.endpoints.fleet.members(),
            groups: self.endpoints.fleet.groups(),
            levels: self.endpoints.levels(),
        }
    }
}
