//! How the client ended, as its exit code.

use std::process::ExitCode;

/// How the client ended; scripts may rely on the numbers.
///
/// The help text and `docs/document.md` list them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// What was asked for is done.
    Done = 0,
    /// Something failed that no other code names, such as a file.
    Failed = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// Another edit of the section came first; nothing was changed.
    Conflict = 3,
    /// The document would be faulty; nothing was changed.
    Invalid = 4,
    /// The edit may have landed: the store did not answer. `masticreel
    /// document settle` finds out.
    Unknown = 5,
    /// The edit has no effect and never will.
    NotLanded = 6,
    /// Neither the store nor an instance answered.
    Unreachable = 7,
    /// The revision was not in force everywhere in time.
    NotInForce = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
