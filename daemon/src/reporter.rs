//! Reports on the fleet, written to the platform's store for operators.
//!
//! Only the few instances with a reporter rank write, each to the key of its
//! rank, so the load on the store and the number of keys don't grow with the
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
use crate::operator::view::FleetView;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Writes reports to the store at regular intervals.
pub struct Reporter<View, Time, Store> {
    endpoints: OperatorEndpoints<View, Time>,
    clock: Time,
    store: Store,
    logger: slog::Logger,
}

impl<View, Time, Store> Reporter<View, Time, Store>
where
    View: FleetView,
    Time: Clock,
    Store: PlatformStore,
{
    /// Creates a reporter that has not started yet.
    pub fn new(
        endpoints: OperatorEndpoints<View, Time>,
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
    /// Fails when the system has no room for the thread.
    pub fn start(self, cancellation: CancellationToken) -> io::Result<()> {
        thread::Builder::new().name("reporter".to_owned()).spawn(move || {
            while !cancellation.wait_timeout(REPORT_INTERVAL) {
                // The next report makes up for one that was not written.
                if let Err(error) = self.report() {
                    debug!(self.logger, "report not written"; "error" => %error);
                }
            }
        })?;
        Ok(())
    }

    /// Writes a report if this instance has a reporter rank.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub fn report(&self) -> Result<(), StoreError> {
        let Some(rank) = self.endpoints.view.reporter_rank() else { return Ok(()) };
        let put = Put { key: report_key(rank), value: encode(&self.fleet_report()) };
        self.store.commit(&[], &[put]).map(drop)
    }

    fn fleet_report(&self) -> FleetReport {
        let written_at = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        FleetReport {
            reporter: self.endpoints.name.clone(),
            written_at_ms: u64::try_from(written_at.as_millis()).unwrap_or(u64::MAX),
            revision: self.endpoints.documents.current().revision(),
            members: self.endpoints.view.members(),
            groups: self.endpoints.view.groups(),
            levels: self.endpoints.levels(),
        }
    }
}
