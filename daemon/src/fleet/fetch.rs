//! Reading the document from peers and from the store, each on its own thread.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::InstanceId;
use masticreel_document::document::Document;
use masticreel_document::wire::WireDocument;
use masticreel_fleet::fleet::Event;
use masticreel_store::store::PlatformStore;
use masticreel_wire::frame::SharedKey;
use slog::{Logger, debug};

use crate::documents::Documents;
use crate::fleet::metrics::FleetMetrics;
use crate::link::document::fetch_document;

/// Interval between checks of the cancellation token.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Where a worker is to read the document from. Each variant is sent to a worker of its
/// own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DocumentJob {
    /// The store.
    ReadStore,
    /// A peer.
    Fetch {
        /// The peer's name.
        from: InstanceId,
        /// Where it accepts links.
        address: SocketAddr,
    },
}

/// Fetches the document from peers that have a newer one.
pub(super) struct PeerFetcher {
    pub(super) key: SharedKey,
    pub(super) documents: Documents,
    pub(super) events: Sender<Event>,
    pub(super) logger: Logger,
}

impl PeerFetcher {
    /// Handles jobs on a thread of its own until cancelled.
    pub(super) fn start(
        self,
        jobs: Receiver<DocumentJob>,
        cancellation: CancellationToken,
    ) -> io::Result<()> {
        spawn_worker("fleet-fetch", jobs, cancellation, move |job| {
            if let DocumentJob::Fetch { from, address } = job {
                self.fetch(&from, address);
            }
        })
    }

    fn fetch(&self, from: &InstanceId, address: SocketAddr) {
        let fetched = fetch_document(address, &self.key);
        let event = match fetched {
            Ok(body) => self.apply(&body),
            Err(error) => {
                debug!(self.logger, "document not fetched from peer"; "from" => %from, "error" => %error);
                Some(Event::FetchFailed)
            }
        };
        // When the queue is full, the state machine continues with its next tick.
        if let Some(event) = event {
            let _ = self.events.try_send(event);
        }
    }

    fn apply(&self, body: &[u8]) -> Option<Event> {
        let wire: WireDocument = serde_json::from_slice(body).ok()?;
        let revision = wire.revision;
        match Document::try_from(wire) {
            Ok(document) => {
                self.documents.apply(document);
                Some(Event::DocumentActive(self.documents.current().revision()))
            }
            Err(errors) => {
                // Without an event the state machine repeats the fetch when it times out.
                self.documents.refuse(revision, &errors.to_string());
                None
            }
        }
    }
}

/// Reads the document from the store for each job. Jobs are sent if this instance is one
/// of the few that watch the store or has to fall back to it.
pub(super) struct StoreReader<Store> {
    pub(super) store: Store,
    pub(super) documents: Documents,
    pub(super) metrics: FleetMetrics,
}

impl<Store> StoreReader<Store>
where
    Store: PlatformStore,
{
    /// Handles jobs on a thread of its own until cancelled.
    pub(super) fn start(
        self,
        jobs: Receiver<DocumentJob>,
        cancellation: CancellationToken,
    ) -> io::Result<()> {
        spawn_worker("fleet-store", jobs, cancellation, move |_| {
            self.metrics.store_reads.inc();
            self.documents.refresh(&self.store);
        })
    }
}

fn spawn_worker<Work>(
    name: &str,
    jobs: Receiver<DocumentJob>,
    cancellation: CancellationToken,
    work: Work,
) -> io::Result<()>
where
    Work: Fn(DocumentJob) + Send + 'static,
{
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        while !cancellation.is_cancelled() {
            if let Ok(job) = jobs.recv_timeout(CHECK_INTERVAL) {
                work(job);
            }
        }
    })?;
    Ok(())
}
