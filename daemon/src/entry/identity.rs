//! A session's name, and the minimum position that it must see in each group.

use std::sync::Arc;

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::{GroupId, SessionName};
use masticreel_base::position::TermPosition;
use masticreel_postgres::startup::StartupParameters;
use masticreel_session::floors::{Floor, Floors};
use masticreel_session::token::{SESSION_PARAMETER, TOKEN_PARAMETER, decode, encode};

/// A session's name and its floor, or minimum position, in each group.
#[derive(Debug, Clone, Default)]
pub struct SessionIdentity {
    name: Option<SessionName>,
    floors: Floors,
    /// The floors in the last token that the caller received.
    sent_floors: Floors,
}

impl SessionIdentity {
    /// Reads the session's name and token from the caller's startup parameters.
    ///
    /// # Errors
    ///
    /// Fails if the token is malformed.
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

    /// Raises the floors to those in a token.
    ///
    /// # Errors
    ///
    /// Fails if the token is malformed.
    pub fn merge_token(&mut self, token: &str) -> Result<(), Failure> {
        let floors = decode(token)
            .map_err(|error| Failure::not_run(FailureKind::Protocol, error.to_string()))?;
        self.floors.merge(&floors);
        Ok(())
    }

    /// Returns whether the session is named, so that other connections may write in it.
    pub fn is_named(&self) -> bool {
        self.name.is_some()
    }

    /// Returns the floor for a group, if one is known.
    pub fn floor(&self, group: &GroupId) -> Option<Floor> {
        self.floors.get(group)
    }

    /// Raises the floor to a position that the session must see: that of an acknowledged
    /// write, or, before a read, one that covers all acknowledged writes.
    pub fn record_write(&mut self, group: &GroupId, position: TermPosition) {
        self.floors.record_write(group, position);
    }

    /// Raises the floor to the position of a read, so that a later read is not older.
    pub fn record_read(&mut self, group: &GroupId, position: TermPosition) {
        self.floors.record_read(group, position);
    }

    /// Returns the session's token if it changed since the last call.
    pub fn take_changed_token(&mut self) -> Option<Arc<str>> {
        if self.floors == self.sent_floors {
            return None;
        }
        self.sent_floors = self.floors.clone();
        Some(encode(&self.floors).into())
    }
}
