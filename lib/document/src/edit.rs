//! Decides how an edit of the document proceeds, without any I/O.
//!
//! An edit is one conditional write that compares the versions of the section
//! and of the head. When its answer is lost, the head is read back: it names
//! the edits that were accepted. If the head has not moved, the lost write may
//! still arrive; rewriting the head as it is (a fence) makes that impossible,
//! and only then is the verdict "not landed" final. See
//! `docs/design/08-document.md`.

use std::sync::Arc;

use derive_more::Display;
use masticreel_base::ids::{Revision, SectionName};

use crate::diff::SectionDiff;
use crate::edit_id::{EditId, Nonce};
use crate::error::DocumentError;
use crate::records::{
    EditEntry, HeadRecord, HistoryRecord, SectionRecord, StoreVersion, StoredDocument,
};

/// How often an edit is tried anew when edits of other sections come first.
const MAX_ATTEMPTS: u32 = 64;

/// What an operator wants to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditRequest {
    /// The section to be written.
    pub section: SectionName,
    /// The revision of the text that the operator started from; 0 for a new section.
    pub base: Revision,
    /// The new text.
    pub text: Arc<str>,
    /// Who makes the edit.
    pub author: Arc<str>,
    /// When the edit is made, in milliseconds since 1970.
    pub edited_at_ms: u64,
}

/// How an edit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was accepted and made this revision.
    Landed(Revision),
    /// The section already had this text, since this revision.
    Unchanged(Revision),
    /// The edit has no effect and never will.
    NotLanded(NotLandedReason),
    /// Another edit of the section came first.
    Conflict(EditConflict),
    /// The document would be faulty.
    Invalid(Vec<DocumentError>),
    /// The store did not answer in time; the id lets the client ask again later.
    Unknown(EditId),
}

/// Why an edit was given up without an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotLandedReason {
    /// The store did not answer before anything was sent.
    #[display("the store did not answer")]
    StoreUnavailable,
    /// The answer was lost and the write was then shown to be without effect.
    #[display("the write was shown to be without effect")]
    Settled,
    /// Edits of other sections came first too often.
    #[display("edits of other sections came first too often")]
    Overtaken,
}

/// What another operator did to the section meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// The section's revision now; 0 if it does not exist.
    pub current: Revision,
    /// Who wrote it.
    pub author: Arc<str>,
    /// From the present text to the one that was to be written.
    pub diff: SectionDiff,
}

/// A conditional write of a section, the head and the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditCommit {
    /// The section to be written.
    pub section: SectionName,
    /// The version that the section must still have.
    pub section_version: StoreVersion,
    /// The version that the head must still have.
    pub head_version: StoreVersion,
    /// The section's new record.
    pub section_record: SectionRecord,
    /// The new head.
    pub head: HeadRecord,
    /// The history's new record.
    pub history: HistoryRecord,
}

/// A conditional write of the head as it is, which outdates writes under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceCommit {
    /// The version that the head must still have.
    pub head_version: StoreVersion,
    /// The head, unchanged.
    pub head: HeadRecord,
}

/// What the driver of an edit has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditAction {
    /// Read the document.
    Read,
    /// Read the history's record of a revision.
    ReadHistory(Revision),
    /// Try to write the edit.
    Commit(EditCommit),
    /// Try to write the fence.
    Fence(FenceCommit),
    /// Report the outcome; the edit is over.
    Finish(EditOutcome),
}

/// What the driver of an edit learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditEvent {
    /// The document was read.
    Document(StoredDocument),
    /// The history was read; none if the slot is empty.
    History(Option<HistoryRecord>),
    /// The write was carried out.
    Committed,
    /// The write was refused, since a version had changed.
    Refused,
    /// The call failed; a write may have taken effect all the same.
    Lost,
    /// There is no more time.
    DeadlinePassed,
}

/// An edit under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    request: Option<EditRequest>,
    nonce: Nonce,
    attempts: u32,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// No write is under way; waits for the document.
    Preparing,
    /// Waits for the answer to the write.
    Committing(Attempt),
    /// The write's answer was lost or a refusal; waits for the document.
    Verifying(Attempt),
    /// Waits for the history, since the head no longer names the revision.
    VerifyingHistory(Attempt),
    /// Waits for the answer to the fence.
    Fencing(Attempt),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Attempt {
    edit: EditId,
    /// Whether the store answered, so that the write can't arrive any more.
    answered: bool,
}

/// What the head tells about an attempt.
enum Fate {
    Landed(Revision),
    NotLanded,
    /// The write is without effect so far but may still arrive.
    InDoubt,
    /// The head does not reach back far enough.
    TooOld,
    /// The head is older than the one that the attempt saw.
    StaleRead,
}

impl Edit {
    /// Starts an edit; the nonce must be random.
    pub fn start(request: EditRequest, nonce: Nonce) -> (Self, EditAction) {
        let edit = Self { request: Some(request), nonce, attempts: 0, state: State::Preparing };
        (edit, EditAction::Read)
    }

    /// Finds out how an attempt of an earlier run ended, without trying it anew.
    pub fn settle(edit: EditId) -> (Self, EditAction) {
        let nonce = edit.nonce.clone();
        let state = State::Verifying(Attempt { edit, answered: false });
        (Self { request: None, nonce, attempts: 0, state }, EditAction::Read)
    }

    /// Takes in what the driver learned and says what to do next.
    pub fn handle(mut self, event: EditEvent) -> (Self, EditAction) {
        if event == EditEvent::DeadlinePassed {
            let outcome = self.outcome_at_deadline();
            return (self, EditAction::Finish(outcome));
        }
        let action = match (self.state.clone(), event) {
            (State::Preparing, EditEvent::Document(stored)) => self.prepare(&stored),
            (State::Preparing, _) => EditAction::Read,
            (State::Committing(attempt), EditEvent::Committed) => {
                EditAction::Finish(EditOutcome::Landed(attempt.edit.revision))
            }
            (State::Committing(attempt), event) => {
                let answered = event == EditEvent::Refused;
                self.verify(Attempt { answered, ..attempt })
            }
            (State::Verifying(attempt), EditEvent::Document(stored)) => {
                self.judge(attempt, &stored)
            }
            (State::VerifyingHistory(attempt), EditEvent::History(record)) => {
                self.judge_history(&attempt, record)
            }
            (State::VerifyingHistory(attempt), _) => EditAction::ReadHistory(attempt.edit.revision),
            (State::Fencing(_), EditEvent::Committed) => self.settled_as_not_landed(),
            (State::Verifying(attempt) | State::Fencing(attempt), _) => self.verify(attempt),
        };
        (self, action)
    }

    fn outcome_at_deadline(&self) -> EditOutcome {
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
        if let Some(outcome) = refuse(request, stored) {
            return EditAction::Finish(outcome);
        }
        if self.attempts == MAX_ATTEMPTS {
            return EditAction::Finish(EditOutcome::NotLanded(NotLandedReason::Overtaken));
        }
        let commit = commit(request, stored, &self.nonce);
        let edit = commit.section_record.edit.clone();
        self.attempts += 1;
        self.state = State::Committing(Attempt { edit, answered: false });
        EditAction::Commit(commit)
    }

    fn verify(&mut self, attempt: Attempt) -> EditAction {
        self.state = State::Verifying(attempt);
        EditAction::Read
    }

    fn judge(&mut self, attempt: Attempt, stored: &StoredDocument) -> EditAction {
        match fate(&attempt, stored) {
            Fate::Landed(revision) => EditAction::Finish(EditOutcome::Landed(revision)),
            Fate::NotLanded => {
                self.state = State::Preparing;
                self.prepare(stored)
            }
            Fate::InDoubt => {
                self.state = State::Fencing(attempt);
                EditAction::Fence(FenceCommit {
                    head_version: stored.head.version,
                    head: stored.head.record.clone(),
                })
            }
            Fate::TooOld => {
                let revision = attempt.edit.revision;
                self.state = State::VerifyingHistory(attempt);
                EditAction::ReadHistory(revision)
            }
            Fate::StaleRead => self.verify(attempt),
        }
    }

    fn judge_history(&mut self, attempt: &Attempt, record: Option<HistoryRecord>) -> EditAction {
        let edit = &attempt.edit;
        match record {
            Some(record) if record.entry.edit == *edit => {
                EditAction::Finish(EditOutcome::Landed(edit.revision))
            }
            Some(record) if record.entry.revision == edit.revision => self.settled_as_not_landed(),
            _ => EditAction::Finish(EditOutcome::Unknown(edit.clone())),
        }
    }

    /// Tries anew, or ends the edit if it was only to be settled.
    fn settled_as_not_landed(&mut self) -> EditAction {
        if self.request.is_none() {
            return EditAction::Finish(EditOutcome::NotLanded(NotLandedReason::Settled));
        }
        self.state = State::Preparing;
        EditAction::Read
    }
}

fn fate(attempt: &Attempt, stored: &StoredDocument) -> Fate {
    let edit = &attempt.edit;
    let head = &stored.head;
    if let Some(entry) = head.record.recent.iter().find(|entry| entry.edit == *edit) {
        return Fate::Landed(entry.revision);
    }
    if head.version < edit.head_version {
        return Fate::StaleRead;
    }
    if head.version == edit.head_version {
        return if attempt.answered { Fate::NotLanded } else { Fate::InDoubt };
    }
    let reaches_back =
        head.record.revision < edit.revision || head.record.edit_of(edit.revision).is_some();
    if reaches_back { Fate::NotLanded } else { Fate::TooOld }
}

/// Returns why an edit can't be tried on the document as it is.
fn refuse(request: &EditRequest, stored: &StoredDocument) -> Option<EditOutcome> {
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

fn validate(request: &EditRequest, stored: &StoredDocument) -> Result<(), Vec<DocumentError>> {
    let mut edited = stored.clone();
    let commit = commit(request, stored, &Nonce::from(0));
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

fn commit(request: &EditRequest, stored: &StoredDocument, nonce: &Nonce) -> EditCommit {
    let section = stored.sections.get(&request.section);
    let revision = stored.head.record.revision.next();
    let edit = EditId { revision, head_version: stored.head.version, nonce: nonce.clone() };
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
        head_version: stored.head.version,
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
