//! Drives an edit of the document to its outcome.
//!
//! The decisions are made by [`Edit`], which makes no calls itself: the editor
//! carries out its actions as calls of the store and reports their results
//! back as events.

use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_document::edit::{Edit, EditAction, EditEvent, EditOutcome, EditRequest};
use masticreel_document::edit_id::{EditId, Nonce};

use crate::document_store::{commit_edit, commit_fence, read_document, read_history};
use crate::store::{CommitOutcome, PlatformStore, StoreError};

/// How long an edit may take and how often it calls the store.
#[derive(Debug, Clone, Copy)]
pub struct EditTiming {
    /// The time after which the edit makes no further call and ends with what
    /// is known.
    pub timeout: Duration,
    /// The backoff after a call that failed.
    pub retry_backoff: Duration,
}

/// Edits the document in the platform's store.
///
/// Each call of the store may fail or lose its response; the outcome states
/// what is known in the end.
pub struct Editor<Store, Time> {
    store: Store,
    clock: Time,
    timing: EditTiming,
    cancellation: CancellationToken,
}

impl<Store, Time> Editor<Store, Time>
where
    Store: PlatformStore,
    Time: Clock,
{
    /// Creates an editor; cancelling the token ends an edit like its deadline.
    pub fn new(
        store: Store,
        clock: Time,
        timing: EditTiming,
        cancellation: CancellationToken,
    ) -> Self {
        Self { store, clock, timing, cancellation }
    }

    /// Attempts an edit; the nonce must be random, since it distinguishes attempts
    /// on the same head.
    pub fn apply(&self, request: EditRequest, nonce: Nonce) -> EditOutcome {
        let (edit, action) = Edit::start(request, nonce);
        self.run(edit, action)
    }

    /// Determines how an attempt of an earlier run ended, without retrying it. A write
    /// that may still arrive is invalidated.
    pub fn settle(&self, edit: EditId) -> EditOutcome {
        let (edit, action) = Edit::settle(edit);
        self.run(edit, action)
    }

    fn run(&self, mut edit: Edit, mut action: EditAction) -> EditOutcome {
        let deadline = self.clock.now() + self.timing.timeout;
        loop {
            if let EditAction::Finish(outcome) = action {
                return outcome;
            }
            let event = self.next_event(&action, deadline);
            (edit, action) = edit.handle(event);
        }
    }

    fn next_event(&self, action: &EditAction, deadline: Instant) -> EditEvent {
        if self.cancellation.is_cancelled() || self.clock.now() >= deadline {
            return EditEvent::Stopped;
        }
        let event = self.call_store(action);
        if event == EditEvent::Lost {
            self.cancellation.wait_timeout(self.timing.retry_backoff);
        }
        event
    }

    fn call_store(&self, action: &EditAction) -> EditEvent {
        match action {
            // A read is lost also if the store holds an invalid record.
            EditAction::Read => {
                read_document(&self.store).map_or(EditEvent::Lost, EditEvent::Document)
            }
            EditAction::ReadHistory(revision) => {
                read_history(&self.store, *revision).map_or(EditEvent::Lost, EditEvent::History)
            }
            EditAction::Commit(edit) => write_event(commit_edit(&self.store, edit)),
            EditAction::Fence(fence) => write_event(commit_fence(&self.store, fence)),
            EditAction::Finish(_) => EditEvent::Stopped,
        }
    }
}

fn write_event(result: Result<CommitOutcome, StoreError>) -> EditEvent {
    match result {
        Ok(CommitOutcome::Committed(_)) => EditEvent::Committed,
        Ok(CommitOutcome::Conflict) => EditEvent::Refused,
        Err(_) => EditEvent::Lost,
    }
}
