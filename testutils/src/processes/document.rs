//! Writes the document, the configuration that all instances share, to the store.

use std::io;
use std::time::Duration;

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::Revision;
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::etcd::EtcdStore;

const TIMING: EditTiming =
    EditTiming { timeout: Duration::from_secs(5), retry_backoff: Duration::from_millis(50) };

/// Replaces a section's text and returns the new revision.
///
/// `base` is the section's present revision, zero if it does not exist yet.
///
/// # Errors
///
/// Fails when the store does not accept the edit.
pub fn write(endpoint: &str, section: &str, text: &str, base: Revision) -> io::Result<Revision> {
    let store = EtcdStore::new(endpoint, Duration::from_secs(1));
    let editor = Editor::new(store, SystemClock, TIMING, CancellationToken::new());
    let request = EditRequest {
        section: section.into(),
        base,
        text: text.into(),
        author: "test".into(),
        edited_at_ms: 0,
    };
    match editor.apply(request, rand::random::<u64>().into()) {
        EditOutcome::Landed(revision) => Ok(revision),
        other => Err(io::Error::other(format!("the document was not accepted: {other:?}"))),
    }
}
