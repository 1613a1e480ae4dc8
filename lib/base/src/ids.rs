//! Identifiers as newtypes, so that one kind can't be passed for another.
//!
//! An id of an instance, server or group is the name that operators gave it.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Serialize, Deserialize)]
        #[from(Arc<str>, &str, String)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From, Into,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

name_type! {
    /// Names one instance of `masticreeld`, as the operators know it.
    InstanceId
}
name_type! {
    /// Names one upstream database server.
    ServerId
}
name_type! {
    /// Names a database group: a primary and its replicas.
    GroupId
}
name_type! {
    /// Names a part of the platform whose machines can fail together.
    FailureDomain
}
name_type! {
    /// Names a session, which may move between instances.
    SessionName
}
name_type! {
    /// Names a section of the operators' document.
    SectionName
}

number_type! {
    /// Distinguishes successive processes with the same instance name.
    ///
    /// It is derived from the time at which the process started, in a unit that
    /// depends on the use, so values of different uses are not comparable.
    Incarnation
}
number_type! {
    /// Numbers the requests of one sender or one receiver, which assigns the ids.
    RequestId
}
number_type! {
    /// Numbers the accepted edits of the document.
    Revision
}
number_type! {
    /// Numbers the terms of a database group; each has at most one primary.
    Term
}
number_type! {
    /// Numbers the entries of a database group's log.
    LogPosition
}
