//! Identifiers of attempts to edit the document.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use displaydoc::Display as DisplayDoc;
use masticreel_base::ids::Revision;
use serde::{Deserialize, Serialize};

use crate::records::StoreVersion;

/// Identifies one attempt to edit the document; an edit that is attempted again
/// gets a new id.
///
/// It holds the version of the head that the attempt compares and the revision
/// that it would make, so that its outcome can be determined later from the id
/// alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct EditId {
    /// The revision that the attempt makes if it is accepted.
    pub revision: Revision,
    /// The store's version of the head that the attempt compares.
    pub head_version: StoreVersion,
    /// Random text that distinguishes attempts on the same head.
    pub nonce: Nonce,
}

/// Random letters and digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct Nonce(Arc<str>);

impl From<u64> for Nonce {
    fn from(random: u64) -> Self {
        Self(format!("{random:016x}").into())
    }
}

/// not an edit id of the form REVISION-VERSION-NONCE: {0:?}
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct ParseEditIdError(pub String);

impl std::error::Error for ParseEditIdError {}

impl fmt::Display for EditId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}-{}", self.revision, self.head_version, self.nonce)
    }
}

impl FromStr for EditId {
    type Err = ParseEditIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('-').collect();
        let invalid = || ParseEditIdError(text.to_owned());
        let [revision, version, nonce] = parts[..] else {
            return Err(invalid());
        };
        if nonce.is_empty() || !nonce.bytes().all(|byte| byte.is_ascii_alphanumeric()) {
            return Err(invalid());
        }
        Ok(Self {
            revision: Revision(revision.parse().map_err(|_| invalid())?),
            head_version: StoreVersion(version.parse().map_err(|_| invalid())?),
            nonce: Nonce(nonce.into()),
        })
    }
}

impl From<EditId> for String {
    fn from(edit: EditId) -> Self {
        edit.to_string()
    }
}

impl TryFrom<String> for EditId {
    type Error = ParseEditIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
