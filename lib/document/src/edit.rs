//! The state machine of an edit of the document, without any I/O.
//!
//! A driver carries out each [`EditAction`] and reports its result as an
//! [`EditEvent`].
//!
//! An attempt is one conditional write that compares the store's versions of the
//! section and of the head, and has its own [`EditId`]. An edit needs a further
//! attempt when an edit of another section was accepted first. An edit has landed
//! when one of its attempts was accepted.
//!
//! When the response is lost, the head is read again, since it lists the most
//! recent accepted edits. If the head has not changed, the delayed write may still
//! take effect. A fence, which rewrites the head with the same content, changes its
//! version, so that the delayed write fails its comparison; only then is the
//! outcome "not landed" final.
//!
//! After a failed call, the next action often is the same call again; the driver
//! waits before it carries that out. See `docs/design/08-document.md`.

use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::{Revision, SectionName};

use crate::diff::SectionDiff;
use crate::edit_id::{EditId, Nonce};
use crate::error::DocumentError;
use crate::records::{
    EditEntry, HeadRecord, HeadState, HistoryRecord, SectionRecord, StoreVersion, StoredDocument,
};

/// Maximum number of attempts of one edit; an attempt is repeated when an edit of
/// another section was accepted first.
const MAX_ATTEMPTS: u32 = 64;

/// What an operator wants to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditRequest {
    /// The section to be written.
    pub section: SectionName,
    /// The revision of the text that the operator started from and replaces; 0 for a
    /// new section.
    pub base: Revision,
    /// The new text.
    pub text: Arc<str>,
    /// Who makes the edit.
    pub author: Arc<str>,
    /// When the edit is made, in milliseconds since the Unix epoch.
    pub edited_at_ms: u64,
}

/// How an edit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was accepted and made this revision.
    Landed(Revision),
    /// The section has had the same text since this revision.
    Unchanged(Revision),
    /// The edit had no effect, and no delayed write can change that.
    NotLanded(NotLandedReason),
    /// Another edit of the section was accepted first.
    Conflict(EditConflict),
    /// The edited document would fail validation.
    Invalid(Vec<DocumentError>),
    /// The store did not respond in time, so the edit may have been accepted; with
    /// the id of its last attempt, [`Edit::settle`] can determine the outcome later.
    /// Also the outcome of an edit whose revision a restored store lost.
    Unknown(EditId),
}

/// Why an edit ended without an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotLandedReason {
    /// The store did not answer before the deadline, and no write is outstanding.
    #[display("the store did not answer")]
    StoreUnavailable,
    /// The response to the write was lost, and a later check showed that the
    /// write had no effect.
    #[display("the write was shown to be without effect")]
    Settled,
    /// Each attempt failed because an edit of another section was accepted first.
    #[display("edits of other sections came first too often")]
    Overtaken,
}

/// The edit of the same section that was accepted in the meantime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// The section's current revision; 0 if it does not exist.
    pub current: Revision,
    /// The author of the current revision.
    pub author: Arc<str>,
    /// The differences from the current text to the text of the refused edit.
    pub diff: SectionDiff,
}

/// A conditional write of a section, the head and the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditCommit {
    /// The section to be written.
    pub section: SectionName,
    /// The version that the section must still have.
    pub section_version: StoreVersion,
    /// The state that the head must still have.
    pub head_state: HeadState,
    /// The section's new record.
    pub section_record: SectionRecord,
    /// The new head.
    pub head: HeadRecord,
    /// The history's new record.
    pub history: HistoryRecord,
}

/// A conditional write of the unchanged head.
///
/// It gives the head a new version, so that every outstanding write that
/// compares the old version fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceCommit {
    /// The state that the head must still have.
    pub head_state: HeadState,
    /// The head, unchanged.
    pub head: HeadRecord,
}

/// The next step that the driver of an edit must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditAction {
    /// Read the document.
    Read,
    /// Read the history record of a revision.
    ReadHistory(Revision),
    /// Attempt the conditional write of the edit.
    Commit(EditCommit),
    /// Attempt the conditional write of the fence.
    Fence(FenceCommit),
    /// Report the outcome; the edit is over.
    Finish(EditOutcome),
}

/// The result of an action, reported by the driver of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditEvent {
    /// The document was read.
    Document(StoredDocument),
    /// The history was read; `None` if it has no record of the revision.
    History(Option<HistoryRecord>),
    /// The store accepted the write.
    Committed,
    /// The store refused the write because a compared version had changed.
    Refused,
    /// The call failed; if it was a write, it may still have taken effect.
    Lost,
    /// The deadline passed or the edit was cancelled.
    Stopped,
}

/// An edit in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// `None` if this run only determines the outcome of an earlier attempt.
    request: Option<EditRequest>,
    nonce: Nonce,
    attempts: u32,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// Waits for the document; no write is outstanding.
    Preparing,
    /// Waits for the response to the write.
    Committing(Attempt),
    /// Waits for the document, after the write was refused or its response lost.
    Verifying(Attempt),
    /// Waits for the history, since the head no longer lists the revision.
    VerifyingHistory(Attempt),
    /// Waits for the response to the fence.
    Fencing(Attempt),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Attempt {
    edit: EditId,
    /// Whether the store refused the write, so that it can no longer take effect.
    refused: bool,
}

/// What the head shows about an attempt.
enum AttemptOutcome {
    Landed(Revision),
    NotLanded,
    /// The write has had no effect so far but may still take effect.
    Undecided,
    /// The head no longer lists the edit that made the attempt's revision.
    NoLongerListed,
    /// The head that was read is older than the one that the attempt compared.
    StaleRead,
    /// The store was restored from a copy, and its record of the attempt, if there was
    /// one, is lost.
    Lost,
}

impl Edit {
    /// Starts an edit. The nonce must be random, since it distinguishes
    /// attempts on the same head.
    pub fn start(request: EditRequest, nonce: Nonce) -> (Self, EditAction) {
        let edit = Self { request: Some(request), nonce, attempts: 0, state: State::Preparing };
        (edit, EditAction::Read)
    }

    /// Determines the outcome of an attempt of an earlier run, without retrying it.
    pub fn settle(edit: EditId) -> (Self, EditAction) {
        let nonce = edit.nonce.clone();
        let state = State::Verifying(Attempt { edit, refused: false });
        (Self { request: None, nonce, attempts: 0, state }, EditAction::Read)
    }

    /// Applies an event and returns the next action.
    pub fn handle(mut self, event: EditEvent) -> (Self, EditAction) {
        if event == EditEvent::Stopped {
            let outcome = self.outcome_when_stopped();
            return (self, EditAction::Finish(outcome));
        }
        let action = match (self.state.clone(), event) {
            (State::Preparing, EditEvent::Document(stored)) => self.prepare(&stored),
            (State::Preparing, _) => EditAction::Read,
            (State::Committing(attempt), EditEvent::Committed) => {
                EditAction::Finish(EditOutcome::Landed(attempt.edit.revision))
            }
            (State::Committing(attempt), event) => {
                let refused = event == EditEvent::Refused;
                self.verify(Attempt { refused, ..attempt })
            }
            (State::Verifying(attempt), EditEvent::Document(stored)) => {
                self.check_head(attempt, &stored)
            }
            (State::VerifyingHistory(attempt), EditEvent::History(record)) => {
                self.check_history(&attempt, record)
            }
            (State::VerifyingHistory(attempt), _) => EditAction::ReadHistory(attempt.edit.revision),
            (State::Fencing(_), EditEvent::Committed) => self.retry_or_finish(),
            (State::Verifying(attempt) | State::Fencing(attempt), _) => self.verify(attempt),
        };
        (self, action)
    }

    fn outcome_when_stopped(&self) -> EditOutcome {
        match &self.state {
            State::Preparing => EditOutcome::NotLanded(NotLandedReason::StoreUnavailable),
            State::Committing(attempt)
            | State::Verifying(attempt)
            | State::VerifyingHistory(attempt)
            | State::Fencing(attempt) => EditOutcome::Unknown(attempt.edit.clone()),
        }
    }

    fn prepare(&mut self, stored: &StoredDocument) -> EditAction {
        let Some(request) = &self.request else {
            return EditAction::Finish(EditOutcome::NotLanded(NotLandedReason::Settled));
        };
        if let Some(outcome) = check_request(request, stored) {
            return EditAction::Finish(outcome);
        }
        if self.attempts == MAX_ATTEMPTS {
            return EditAction::Finish(EditOutcome::NotLanded(NotLandedReason::Overtaken));
        }
        let commit = build_commit(request, stored, &self.nonce);
        let edit = commit.section_record.edit.clone();
        self.attempts += 1;
        self.state = State::Committing(Attempt { edit, refused: false });
        EditAction::Commit(commit)
    }

    fn verify(&mut self, attempt: Attempt) -> EditAction {
        self.state = State::Verifying(attempt);
        EditAction::Read
    }

    fn check_head(&mut self, attempt: Attempt, stored: &StoredDocument) -> EditAction {
        match attempt_outcome(&attempt, stored) {
            AttemptOutcome::Landed(revision) => EditAction::Finish(EditOutcome::Landed(revision)),
            AttemptOutcome::NotLanded => {
                self.state = State::Preparing;
                self.prepare(stored)
            }
            AttemptOutcome::Undecided => {
                self.state = State::Fencing(attempt);
                EditAction::Fence(FenceCommit {
                    head_state: stored.head.state.clone(),
                    head: stored.head.record.clone(),
                })
            }
            AttemptOutcome::NoLongerListed => {
                let revision = attempt.edit.revision;
                self.state = State::VerifyingHistory(attempt);
                EditAction::ReadHistory(revision)
            }
            AttemptOutcome::StaleRead => self.verify(attempt),
            AttemptOutcome::Lost => EditAction::Finish(EditOutcome::Unknown(attempt.edit)),
        }
    }

    fn check_history(&mut self, attempt: &Attempt, record: Option<HistoryRecord>) -> EditAction {
        let edit = &attempt.edit;
        match record {
            Some(record) if record.entry.edit == *edit => {
                EditAction::Finish(EditOutcome::Landed(edit.revision))
            }
            Some(record) if record.entry.revision == edit.revision => self.retry_or_finish(),
            _ => EditAction::Finish(EditOutcome::Unknown(edit.clone())),
        }
    }

    /// Retries the edit after an attempt without effect, or finishes if this run only
    /// determines an outcome.
    fn retry_or_finish(&mut self) -> EditAction {
        if self.request.is_none() {
            return EditAction::Finish(EditOutcome::NotLanded(NotLandedReason::Settled));
        }
        self.state = State::Preparing;
        EditAction::Read
    }
}

fn attempt_outcome(attempt: &Attempt, stored: &StoredDocument) -> AttemptOutcome {
    let edit = &attempt.edit;
    let head = &stored.head;
    if let Some(entry) = head.record.recent.iter().find(|entry| entry.edit == *edit) {
        return AttemptOutcome::Landed(entry.revision);
    }
    let is_lost = head.record.lost.is_some_and(|lost| lost.contains(edit.revision));
    if is_lost && !attempt.refused {
        return AttemptOutcome::Lost;
    }
    if head.state.version < edit.head_version {
        return AttemptOutcome::StaleRead;
    }
    if head.state.version == edit.head_version {
        // A refusal is final. Without a response, the write may still be delayed.
        return if attempt.refused { AttemptOutcome::NotLanded } else { AttemptOutcome::Undecided };
    }
    // A write that compares the old head version can no longer take effect. It
    // took none if its revision does not exist yet or the list of edits goes back to it.
    let is_conclusive =
        head.record.revision < edit.revision || head.record.lists_edits_since(edit.revision);
    if is_conclusive { AttemptOutcome::NotLanded } else { AttemptOutcome::NoLongerListed }
}

/// Returns the outcome of an edit that must not be written to the current
/// document; `None` if it may be written.
fn check_request(request: &EditRequest, stored: &StoredDocument) -> Option<EditOutcome> {
    let section = stored.sections.get(&request.section).map(|section| &section.record);
    let current = section.map_or(Revision(0), |section| section.revision);
    let text = section.map_or("", |section| &section.text);
    if section.is_some() && *text == *request.text {
        return Some(EditOutcome::Unchanged(current));
    }
    if current != request.base {
        return Some(EditOutcome::Conflict(EditConflict {
            current,
            author: section.map_or_else(Arc::default, |section| section.author.clone()),
            diff: SectionDiff::between(
                &format!("{} at revision {current}", request.section),
                text,
                &format!("{} as edited from revision {}", request.section, request.base),
                &request.text,
            ),
        }));
    }
    validate(request, stored).err().map(EditOutcome::Invalid)
}

/// Validates the document that the edit would lead to.
fn validate(request: &EditRequest, stored: &StoredDocument) -> Result<(), Vec<DocumentError>> {
    let mut edited = stored.clone();
    let commit = build_commit(request, stored, &Nonce::from(0));
    let section = edited.sections.entry(request.section.clone()).or_insert_with(|| {
        crate::records::Versioned {
            version: StoreVersion::default(),
            record: commit.section_record.clone(),
        }
    });
    section.record = commit.section_record;
    edited.head.record = commit.head;
    edited.to_document().map(drop)
}

/// Builds the conditional write of an edit on the document as it was read.
fn build_commit(request: &EditRequest, stored: &StoredDocument, nonce: &Nonce) -> EditCommit {
    let section = stored.sections.get(&request.section);
    let revision = stored.head.record.next_revision();
    let edit = EditId { revision, head_version: stored.head.state.version, nonce: nonce.clone() };
    let entry = EditEntry {
        revision,
        edit: edit.clone(),
        section: request.section.clone(),
        replaces: request.base,
        author: request.author.clone(),
        edited_at_ms: request.edited_at_ms,
    };
    EditCommit {
        section: request.section.clone(),
        section_version: section.map_or_else(StoreVersion::default, |section| section.version),
        head_state: stored.head.state.clone(),
        section_record: SectionRecord {
            revision,
            edit,
            author: request.author.clone(),
            text: request.text.clone(),
        },
        head: stored.head.record.with_edit(entry.clone()),
        history: HistoryRecord { entry, text: request.text.clone() },
    }
}
