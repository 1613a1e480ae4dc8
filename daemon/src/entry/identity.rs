//! What a session must see, as the entry remembers it.

use std::sync::Arc;

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{GroupId, SessionName};
use masticreel_base::position::TermPosition;
use masticreel_postgres::startup::StartupParameters;
use masticreel_session::floors::{Floor, Floors};
use masticreel_session::token::{SESSION_PARAMETER, TOKEN_PARAMETER, decode, encode};

/// A session's name and floors.
#[derive(Debug, Clone, Default)]
pub struct SessionIdentity {
    name: Option<SessionName>,
    floors: Floors,
    announced: Floors,
}

impl SessionIdentity {
    /// Reads the name and the token that the caller brings along.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed.
    pub fn from_startup(parameters: &StartupParameters) -> Result<Self, Failure> {
        let setting = |name: &str| parameters.settings.get(name).filter(|text| !text.is_empty());
        let mut identity = Self {
            name: setting(SESSION_PARAMETER).map(|name| name.as_str().into()),
            ..Self::default()
        };
        if let Some(token) = setting(TOKEN_PARAMETER) {
            identity.merge_token(token)?;
        }
        Ok(identity)
    }

    /// Takes over the floors of a token.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed.
    pub fn merge_token(&mut self, token: &str) -> Result<(), Failure> {
        let floors = decode(token)
            .map_err(|error| Failure::not_run(FailureKind::Protocol, error.to_string()))?;
        self.floors.merge(&floors);
        Ok(())
    }

    /// Returns whether other connections may be writing for the same session.
    pub fn is_named(&self) -> bool {
        self.name.is_some()
    }

    /// Returns the floor for a group, if one is known.
    pub fn floor(&self, group: &GroupId) -> Option<Floor> {
        self.floors.get(group)
    }

    /// Raises the floor after an acknowledged write, or to a position that
    /// covers all writes.
    pub fn note_write(&mut self, group: &GroupId, position: TermPosition) {
        self.floors.note_write(group, position);
    }

    /// Raises the floor after a read.
    pub fn note_read(&mut self, group: &GroupId, position: TermPosition) {
        self.floors.note_read(group, position);
    }

    /// Returns the session's token if the caller does not know it yet.
    pub fn take_changed_token(&mut self) -> Option<Arc<str>> {
        if self.floors == self.announced {
            return None;
        }
        self.announced = self.floors.clone();
        Some(encode(&self.floors).into())
    }
}
