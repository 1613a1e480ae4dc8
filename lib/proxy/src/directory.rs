//! The configuration that an instance reads from the store.
//!
//! Operators write routes and limits as one [`Document`]. Each server describes
//! itself in an entry of its own ([`Server`]).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{FailureDomain, GroupId, ServerId};

use crate::organisations::Organisations;
use crate::statement::Role;

/// The consistency that a route guarantees for reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Reads see every acknowledged commit.
    Latest,
    /// Reads are at most this old.
    Bounded(Duration),
    /// Reads are at most this old and see the session's own commits.
    OwnWrites(Duration),
}

/// How requests to a database are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The group that holds the database.
    pub group: GroupId,
    /// The consistency of reads.
    pub consistency: Consistency,
    /// How long one statement may take.
    pub statement_timeout: Duration,
    /// How long a request should take at most, from its arrival to its answer.
    pub target_latency: Duration,
    /// The urgency of requests; lower values are more urgent.
    pub urgency: u8,
    /// Whether callers need no key where the configuration has organisations.
    pub is_public: bool,
}

/// Limits of a group's servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupLimits {
    /// How many connections each server accepts from all instances together.
    pub max_connections: usize,
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// One version of the operators' document.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Document {
    /// The version, which only increases.
    pub version: u64,
    /// The routes by database.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// The groups.
    pub groups: HashMap<GroupId, GroupLimits>,
    /// How long a transaction may be idle between two statements.
    pub transaction_idle_timeout: Option<Duration>,
    /// The organisations; none if callers need no keys.
    pub organisations: Option<Organisations>,
}

/// A server as its own entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The group that it serves.
    pub group: GroupId,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// How many statements it executes at the same time.
    pub slots: usize,
    /// Whether it is about to shut down.
    pub is_leaving: bool,
    /// The role that it reports.
    pub role: Option<Role>,
    /// When its process started, as Unix time in ms; distinguishes restarts under
    /// one id.
    pub started_ms: u64,
}
