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
    /// A failure that no other code names, for example a file that can't be read.
    Failed = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// Another edit of the section came first; nothing was changed.
    Conflict = 3,
    /// The edit would make the document invalid; nothing was changed.
    Invalid = 4,
    /// The store did not answer, so the edit may have been accepted. `masticreel
    /// document settle` determines whether it was.
    Unknown = 5,
    /// The edit was not accepted and can't be accepted later.
    NotLanded = 6,
    /// Neither the store nor an instance answered.
    Unreachable = 7,
    /// The revision was not active on every instance when `--wait` timed out.
    NotActive = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
