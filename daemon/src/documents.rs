//! Keeping the operators' document up to date.

use std::fmt::Display;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use masticreel_base::cancellation::CancellationToken;
use masticreel_document::document::Document;
use masticreel_platform::document_store::read_document;
use masticreel_platform::store::PlatformStore;
use slog::{Logger, info, warn};

use crate::metrics::Metrics;

/// The document in force at this instance, shared by threads.
pub type DocumentCell = Arc<ArcSwap<Document>>;

/// Applies newer revisions of the document and never an older one.
#[derive(Clone)]
pub struct Documents {
    cell: DocumentCell,
    metrics: Metrics,
    logger: Logger,
}

impl Documents {
    /// Starts with an empty document.
    pub fn new(metrics: Metrics, logger: Logger) -> Self {
        Self { cell: DocumentCell::default(), metrics, logger }
    }

    /// Returns the cell that always holds the document in force.
    pub fn cell(&self) -> DocumentCell {
        self.cell.clone()
    }

    /// Puts a document in force unless a newer one is.
    ///
    /// Returns whether the document in force changed.
    pub fn apply(&self, document: Document) -> bool {
        let document = Arc::new(document);
        let revision = document.revision();
        let previous = self.cell.rcu(|current| {
            if current.revision() < revision { document.clone() } else { current.clone() }
        });
        let is_newer = previous.revision() < revision;
        if is_newer {
            self.metrics.document_revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
            info!(self.logger, "document in force"; "revision" => %revision);
        }
        is_newer
    }

    /// Reads the document from the store and puts it in force.
    ///
    /// Returns whether the store answered with a valid document.
    pub fn refresh<Store>(&self, store: &Store) -> bool
    where
        Store: PlatformStore,
    {
        let stored = match read_document(store) {
            Ok(stored) => stored,
            Err(error) => {
                warn!(self.logger, "document not read"; "error" => %error);
                return false;
            }
        };
        match stored.to_document() {
            Ok(document) => {
                self.apply(document);
                true
            }
            Err(errors) => {
                warn!(self.logger, "document refused"; "error" => join_lines(&errors));
                false
            }
        }
    }

    /// Reads the document again and again on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the system has no room for the thread.
    pub fn follow<Store>(
        self,
        store: Store,
        interval: Duration,
        cancellation: CancellationToken,
    ) -> io::Result<()>
    where
        Store: PlatformStore,
    {
        thread::Builder::new().name("document".to_owned()).spawn(move || {
            while !cancellation.wait_timeout(interval) {
                self.refresh(&store);
            }
        })?;
        Ok(())
    }
}

fn join_lines<Line>(lines: &[Line]) -> String
where
    Line: Display,
{
    lines.iter().map(Line::to_string).collect::<Vec<_>>().join("; ")
}
