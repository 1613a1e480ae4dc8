//! The active document of this instance, and its replacement by newer revisions.

use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use masticreel_base::ids::Revision;
use masticreel_document::document::Document;
use masticreel_document::edit::FenceCommit;
use masticreel_document::records::{HeadRecord, LostEdits, StoredHead};
use masticreel_report::instances::StoreState;
use masticreel_store::document_store::{ReadError, commit_fence, read_document, read_head};
use masticreel_store::store::{CommitOutcome, PlatformStore};
use slog::{Logger, info, warn};

use crate::metrics::Metrics;

/// The active document of this instance, shared by threads.
pub type DocumentCell = Arc<ArcSwap<Document>>;

/// Holds the one active document; applies newer revisions and never an older one.
///
/// Also keeps whether the store is reachable and which revision was refused, for
/// operators. Clones share the document.
#[derive(Clone)]
pub struct Documents {
    cell: DocumentCell,
    apply_state: Arc<Mutex<ApplyState>>,
    metrics: Metrics,
    logger: Logger,
}

/// What may keep the instance from applying the newest revision.
#[derive(Debug)]
struct ApplyState {
    store: StoreState,
    refused: Option<Refused>,
    /// As the store's head told it at the last read.
    lost: Option<LostEdits>,
}

/// A newer revision that was not applied, since it is faulty.
#[derive(Debug)]
struct Refused {
    revision: Revision,
    reason: Arc<str>,
}

impl Documents {
    /// Starts with an empty document.
    pub fn new(metrics: Metrics, logger: Logger) -> Self {
        let apply_state = ApplyState { store: StoreState::Unused, refused: None, lost: None };
        let apply_state = Arc::new(Mutex::new(apply_state));
        Self { cell: DocumentCell::default(), apply_state, metrics, logger }
    }

    /// Returns the active document.
    pub fn current(&self) -> Arc<Document> {
        self.cell.load_full()
    }

    /// Returns why a newer revision was refused, if there is one.
    pub fn refused(&self) -> Option<Arc<str>> {
        self.apply_state().refused.as_ref().map(|refused| refused.reason.clone())
    }

    /// Returns which edits the store lost, if the last of them is still in force.
    pub fn lost_edits(&self) -> Option<LostEdits> {
        let lost = self.apply_state().lost;
        lost.filter(|lost| self.current().revision() <= lost.through)
    }

    /// Returns whether the store answered the last read.
    pub fn store_state(&self) -> StoreState {
        self.apply_state().store
    }

    /// Returns the cell that always holds the active document.
    pub fn cell(&self) -> DocumentCell {
        self.cell.clone()
    }

    /// Applies a document if it is newer than the active one.
    ///
    /// Returns whether the document was applied.
    pub fn apply(&self, document: Document) -> bool {
        let document = Arc::new(document);
        let revision = document.revision();
        let previous = self.cell.rcu(|current| {
            if current.revision() < revision { document.clone() } else { current.clone() }
        });
        let is_newer = previous.revision() < revision;
        if is_newer {
            self.metrics.document_revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
            info!(self.logger, "document applied"; "revision" => %revision);
            self.clear_refusal_up_to(revision);
        }
        is_newer
    }

    /// Reads the document from the store if it holds a newer one, and applies it.
    ///
    /// Returns whether the store answered and its newest revision is not refused.
    pub fn refresh<Store>(&self, store: &Store) -> bool
    where
        Store: PlatformStore,
    {
        match self.read_newer(store) {
            Ok(()) => {
                self.set_store_state(StoreState::Reachable, "");
                self.apply_state().refused.is_none()
            }
            Err(error) => {
                self.set_store_state(StoreState::Unreachable, &error.to_string());
                false
            }
        }
    }

    fn read_newer<Store>(&self, store: &Store) -> Result<(), ReadError>
    where
        Store: PlatformStore,
    {
        let in_force = self.current();
        let head = read_head(store)?;
        self.apply_state().lost = head.record.lost;
        if let Some(raised) = head.record.after_restore(&in_force) {
            return self.raise_head(store, &head, raised);
        }
        let newest = head.record.revision;
        let is_refused =
            self.apply_state().refused.as_ref().is_some_and(|it| it.revision == newest);
        if newest <= self.current().revision() || is_refused {
            return Ok(());
        }
        let stored = read_document(store)?;
        match stored.to_document() {
            Ok(document) => {
                self.apply(document);
            }
            Err(errors) => self.refuse(stored.head.record.revision, &join_lines(&errors)),
        }
        Ok(())
    }

    /// Writes the head that a restored store needs, unless another instance or an edit
    /// was first; the next read tells then.
    fn raise_head<Store>(
        &self,
        store: &Store,
        head: &StoredHead,
        raised: HeadRecord,
    ) -> Result<(), ReadError>
    where
        Store: PlatformStore,
    {
        let lost = raised.lost;
        let fence = FenceCommit { head_state: head.state.clone(), head: raised };
        if let CommitOutcome::Committed(_) = commit_fence(store, &fence)? {
            self.apply_state().lost = lost;
            let lost = lost.map(|lost| lost.to_string()).unwrap_or_default();
            warn!(self.logger, "store lost edits";
                "lost" => lost, "stored" => %head.record.revision);
        }
        Ok(())
    }

    /// Records that a revision is faulty, for the metrics and status requests.
    pub fn refuse(&self, revision: Revision, reason: &str) {
        warn!(self.logger, "document refused"; "revision" => %revision, "error" => reason);
        self.metrics.document_refused.set(1);
        self.apply_state().refused = Some(Refused { revision, reason: reason.into() });
    }

    fn clear_refusal_up_to(&self, revision: Revision) {
        let mut apply_state = self.apply_state();
        if apply_state.refused.as_ref().is_some_and(|refused| refused.revision <= revision) {
            apply_state.refused = None;
            self.metrics.document_refused.set(0);
        }
    }

    /// Records whether the store is reachable. Logs only changes, since an outage
    /// may be long.
    fn set_store_state(&self, state: StoreState, error: &str) {
        let before = std::mem::replace(&mut self.apply_state().store, state);
        self.metrics.store_reachable.set(i64::from(state == StoreState::Reachable));
        match (before, state) {
            (StoreState::Unreachable, StoreState::Reachable) => {
                info!(self.logger, "store reachable again");
            }
            (StoreState::Unused | StoreState::Reachable, StoreState::Unreachable) => {
                warn!(self.logger, "store unreachable"; "error" => error);
            }
            _ => {}
        }
    }

    fn apply_state(&self) -> MutexGuard<'_, ApplyState> {
        self.apply_state
            .lock()
            .expect("no thread panics while it holds the document's apply state lock")
    }
}

fn join_lines<Line>(lines: &[Line]) -> String
where
    Line: Display,
{
    lines.iter().map(Line::to_string).collect::<Vec<_>>().join("; ")
}
