//! Servers and routes as the instance knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, GroupId, ServerId};

use crate::statement::Role;

/// What a route promises its callers about reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Reads see every acknowledged commit.
    Latest,
    /// Reads are at most this old.
    Bounded(Duration),
    /// Reads are at most this old and see the session's own commits.
    OwnWrites(Duration),
}

/// How a database is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The group that holds the database.
    pub group: GroupId,
    /// What reads may miss.
    pub consistency: Consistency,
    /// How long one statement may take.
    pub statement_timeout: Duration,
    /// How soon callers want the whole operation.
    pub target_latency: Duration,
    /// The lower, the more urgent.
    pub urgency: u8,
}

/// Limits of a group's servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLimits {
    /// Connections that each server accepts from all instances together.
    pub max_connections: usize,
    /// Replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// One version of what the operators wrote.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Document {
    /// The version; it only rises.
    pub version: u64,
    /// The routes by database.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// The groups.
    pub groups: HashMap<GroupId, GroupLimits>,
    /// How long a transaction may rest between two statements.
    pub transaction_idle: Option<Duration>,
}

/// A server by its own account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The group that it serves.
    pub group: GroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The part of the platform with which it fails.
    pub domain: FailureDomain,
    /// Statements that it executes at the same time.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Its role as it sees itself.
    pub role: Option<Role>,
    /// Distinguishes two lives under one id; Unix time in ms.
    pub born_ms: u64,
}
