//! The outcome of an edit as text, JSON and exit code.

use masticreel_base::ids::Revision;
use masticreel_document::edit::EditOutcome;
use masticreel_document::error::DocumentError;
use masticreel_report::fleet::Progress;
use serde::Serialize;

use crate::exit::Exit;

/// The outcome of an edit, as it is printed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OutcomeOutput {
    /// The edit was accepted.
    Landed {
        /// The revision that the edit created.
        revision: Revision,
        /// On how many instances the revision or a later one is active; set only
        /// with `--wait`.
        progress: Option<Progress>,
        /// Why the document could not be sent to any instance, if it was not.
        not_handed_over: Option<String>,
    },
    /// The section already had this text.
    Unchanged {
        /// The revision since which the section has this text.
        revision: Revision,
    },
    /// The edit was not accepted and can't be accepted later.
    NotLanded {
        /// Why it was not accepted.
        reason: String,
    },
    /// Another edit of the section came first.
    Conflict {
        /// The section's current revision.
        current: Revision,
        /// The author of the current revision; empty if unknown.
        author: String,
        /// The difference from the current text to the rejected one.
        diff: String,
    },
    /// The edit would make the document invalid.
    Invalid {
        /// All errors found.
        errors: Vec<ErrorOutput>,
    },
    /// The store did not answer, or lost the edit when it was restored, so the edit may
    /// have been accepted.
    Unknown {
        /// The edit's id.
        edit: String,
    },
}

/// One error in the document, as it is printed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorOutput {
    section: String,
    line: usize,
    key: String,
    problem: String,
}

impl From<&DocumentError> for ErrorOutput {
    fn from(error: &DocumentError) -> Self {
        Self {
            section: error.section.to_string(),
            line: error.line,
            key: error.key.to_string(),
            problem: error.problem.to_string(),
        }
    }
}

impl From<EditOutcome> for OutcomeOutput {
    fn from(outcome: EditOutcome) -> Self {
        match outcome {
            EditOutcome::Landed(revision) => {
                Self::Landed { revision, progress: None, not_handed_over: None }
            }
            EditOutcome::Unchanged(revision) => Self::Unchanged { revision },
            EditOutcome::NotLanded(reason) => Self::NotLanded { reason: reason.to_string() },
            EditOutcome::Conflict(conflict) => Self::Conflict {
                current: conflict.current,
                author: conflict.author.to_string(),
                diff: conflict.diff.as_str().to_owned(),
            },
            EditOutcome::Invalid(errors) => {
                Self::Invalid { errors: errors.iter().map(ErrorOutput::from).collect() }
            }
            EditOutcome::Unknown(edit) => Self::Unknown { edit: edit.to_string() },
        }
    }
}

impl OutcomeOutput {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Landed { progress: Some(progress), .. } if !progress.is_complete() => {
                Exit::NotActive
            }
            Self::Landed { .. } | Self::Unchanged { .. } => Exit::Done,
            Self::NotLanded { .. } => Exit::NotLanded,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Invalid { .. } => Exit::Invalid,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }

    /// Returns the outcome as text.
    pub fn render(&self) -> String {
        match self {
            Self::Landed { revision, progress, not_handed_over } => {
                render_landed(*revision, *progress, not_handed_over.as_deref())
            }
            Self::Unchanged { revision } => {
                format!("Unchanged: the section has this text since revision {revision}.\n")
            }
            Self::NotLanded { reason } => format!("Not landed, and never will be: {reason}.\n"),
            Self::Conflict { current, author, diff } => format!(
                "Conflict: {} changed the section meanwhile (now revision {current}).\n\
                 Nothing was written. From the present text to yours:\n{diff}\
                 Fetch the section again with `masticreel document edit` and repeat the change.\n",
                if author.is_empty() { "another edit" } else { author },
            ),
            Self::Invalid { errors } => {
                let lines: String = errors.iter().map(render_error).collect();
                format!("Refused, nothing was written:\n{lines}")
            }
            Self::Unknown { edit } => format!(
                "Unknown: the store did not answer or has lost the edit, which may have landed.\n\
                 `masticreel document show` tells which revisions a restored store lost.\n\
                 When the store is back: masticreel document settle {edit}\n"
            ),
        }
    }
}

fn render_landed(
    revision: Revision,
    progress: Option<Progress>,
    not_handed_over: Option<&str>,
) -> String {
    let mut text = format!("Landed as revision {revision}.\n");
    if let Some(reason) = not_handed_over {
        text.push_str(&format!(
            "No instance was handed the document ({reason}); instances read it from the store.\n"
        ));
    }
    if let Some(Progress { in_force, counted }) = progress {
        text.push_str(&format!("In force on {in_force} of {counted} instances.\n"));
    }
    text
}

fn render_error(error: &ErrorOutput) -> String {
    format!(
        "  section {}, line {}, key {:?}: {}\n",
        error.section, error.line, error.key, error.problem
    )
}
