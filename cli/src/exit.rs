//! Exit codes of the client.

use std::process::ExitCode;

/// The client's exit code; scripts may rely on the numbers.
///
/// The help text and `docs/document.md` list them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Any other failure, for example a file that can't be read.
    Failed = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// Another edit of the section came first; nothing was changed.
    Conflict = 3,
    /// The edit would make the document invalid; nothing was changed.
    Invalid = 4,
    /// The store did not answer, so the edit may have landed. `masticreel
    /// document settle` finds out.
    Unknown = 5,
    /// The edit has no effect and never will.
    NotLanded = 6,
    /// Neither the store nor an instance answered.
    Unreachable = 7,
    /// The revision was not active on every instance when `--wait` timed out.
    NotInForce = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
