//! Errors of the client.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::edit_id::ParseEditIdError;
use masticreel_store::document_store::ReadError;

use crate::exit::Exit;
use crate::operators::InstanceError;
use crate::settings::SettingsError;

/// An error that ends a command; the variants' doc comments are the messages.
#[derive(Debug, Display)]
pub enum CliError {
    /// {0}
    Settings(SettingsError),
    /// can't use file {0:?}: {1}
    File(PathBuf, io::Error),
    /// can't write the output: {0}
    Output(io::Error),
    /// {0}
    Store(ReadError),
    /// {0}
    Operators(InstanceError),
    /// neither the store nor an instance answered; store: {0}; instance: {1}
    NothingAnswers(ReadError, InstanceError),
    /// {0}
    EditId(ParseEditIdError),
    /// the document has no section {0}
    NoSection(SectionName),
    /// the store has no valid text of revision {0}
    NoRevision(Revision),
    /// {0:?} does not name its section and base revision: start with `masticreel document edit`, or give --section, and --base to apply it
    NoBase(PathBuf),
    /// no author is known: give --author, or set `author` in the settings
    NoAuthor,
    /// the settings name no instances, so there is none to ask
    NoInstances,
    /// the settings have no shared_key, so no instance would accept the document from here
    NoSharedKey,
}

impl std::error::Error for CliError {}

impl CliError {
    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_)
            | Self::EditId(_)
            | Self::NoBase(_)
            | Self::NoAuthor
            | Self::NoInstances
            | Self::NoSharedKey => Exit::Usage,
            Self::File(..) | Self::Output(_) | Self::NoSection(_) | Self::NoRevision(_) => {
                Exit::Failed
            }
            Self::Store(_) | Self::Operators(_) | Self::NothingAnswers(..) => Exit::Unreachable,
        }
    }
}

impl From<io::Error> for CliError {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

impl From<SettingsError> for CliError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<ReadError> for CliError {
    fn from(error: ReadError) -> Self {
        Self::Store(error)
    }
}

impl From<InstanceError> for CliError {
    fn from(error: InstanceError) -> Self {
        Self::Operators(error)
    }
}

impl From<ParseEditIdError> for CliError {
    fn from(error: ParseEditIdError) -> Self {
        Self::EditId(error)
    }
}
