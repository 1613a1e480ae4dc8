//! Limits on what clients' connections may hold, so that clients that misbehave don't take
//! the memory and the descriptors of the process.
//!
//! - [`ClientLimits`] has the limits that follow from the settings and the machine.
//! - [`input`] buffers what was received and is decoded by position.
//! - [`ledger`] adds up what the connections hold, and decides by the rule of
//!   [`masticreel_admission::memory_budget`] which of them may be read.
//! - [`progress`] measures how long a message or an answer has been incomplete.
//!
//! See `docs/design/15-client-limits.md`.

pub mod input;
pub mod ledger;
pub mod progress;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use masticreel_admission::memory_budget::MemoryBudget;

use crate::moment::Moment;

/// Descriptors that are left for files and for what the process opens besides sockets.
const FILE_DESCRIPTORS: usize = 200;
/// The part of the other descriptors that callers leave for servers, other instances, the
/// store and operators: one of this many.
const RESERVE_DIVISOR: usize = 4;
/// The part of callers' connections that may be without a session: one of this many. A fleet
/// whose callers all come back at once opens most sessions within milliseconds.
const STARTING_DIVISOR: usize = 2;
/// The memory of a machine whose settings don't state it: the smallest one in use.
const DEFAULT_MEMORY_BYTES: usize = 112 << 20;
/// The descriptors of a process for which neither the settings nor the system state a limit.
const DEFAULT_DESCRIPTORS: usize = 65_536;

/// How long a session may take to be opened. Callers send its start at once.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a message may take to arrive: 1 MiB takes 0.9 s over 10 Mbit/s, which up to 60
/// messages may share.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a caller may take nothing of an answer that is ready.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// What a session's variables and prepared statements may hold: some of the longest ones.
const SESSION_STATE_BYTES: usize = 4 << 20;

/// The limits as far as the settings state them; what is missing has its default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitSettings {
    /// The memory of the machine, in MiB.
    pub memory_mb: Option<usize>,
    /// How many descriptors the process may open.
    pub max_descriptors: Option<usize>,
    /// What the connections of clients may hold together, in MiB.
    pub client_memory_mb: Option<usize>,
    /// How many connections of callers may be open.
    pub connections: Option<usize>,
    /// How many of them may be without a session.
    pub starting_connections: Option<usize>,
    /// How long a session may take to be opened.
    pub start_timeout: Option<Duration>,
    /// How long a message may take to arrive.
    pub message_timeout: Option<Duration>,
    /// How long a caller may take nothing of an answer that is ready.
    pub answer_timeout: Option<Duration>,
    /// What a session's variables and prepared statements may hold.
    pub session_state_bytes: Option<usize>,
}

/// The limits of a running process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// What all connections may hold together.
    pub memory: MemoryBudget,
    /// How many sockets may be open in all.
    pub sockets: usize,
    /// How many connections of callers may be open.
    pub connections: usize,
    /// How many of them may be without a session.
    pub starting_connections: usize,
    /// How long a session may take to be opened.
    pub start_timeout: Duration,
    /// How long a message may take to arrive.
    pub message_timeout: Duration,
    /// How long a caller may take nothing of an answer that is ready.
    pub answer_timeout: Duration,
    /// What a session's variables and prepared statements may hold.
    pub session_state_bytes: usize,
    /// What one answer of a server may hold: half of what all connections may hold.
    pub answer_bytes: usize,
}

impl ClientLimits {
    /// Derives the limits from the settings and from how many descriptors the system lets the
    /// process open.
    pub fn new(settings: &LimitSettings, system_descriptors: Option<usize>) -> Self {
        const MIB: usize = 1 << 20;
        let memory = match settings.client_memory_mb {
            Some(mb) => MemoryBudget::of_total(mb.saturating_mul(MIB)),
            None => MemoryBudget::of_machine(
                settings.memory_mb.map_or(DEFAULT_MEMORY_BYTES, |mb| mb.saturating_mul(MIB)),
            ),
        };
        let descriptors = [settings.max_descriptors, system_descriptors];
        let descriptors = descriptors.into_iter().flatten().min().unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS).max(descriptors / 2);
        let callers = (sockets - sockets / RESERVE_DIVISOR).max(1);
        let connections = settings.connections.map_or(callers, |count| count.min(callers));
        let starting = settings.starting_connections.unwrap_or(connections / STARTING_DIVISOR);
        Self {
            memory,
            sockets,
            connections,
            starting_connections: starting.clamp(1, connections),
            start_timeout: settings.start_timeout.unwrap_or(START_TIMEOUT),
            message_timeout: settings.message_timeout.unwrap_or(MESSAGE_TIMEOUT),
            answer_timeout: settings.answer_timeout.unwrap_or(ANSWER_TIMEOUT),
            session_state_bytes: settings.session_state_bytes.unwrap_or(SESSION_STATE_BYTES),
            answer_bytes: memory.total_bytes / 2,
        }
    }
}

/// The limit for which a connection was refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum LimitReason {
    /// As many connections as may be open.
    #[display("connections")]
    Connections,
    /// As many connections without a session as may be open.
    #[display("starting_connections")]
    StartingConnections,
    /// The session was not opened in time.
    #[display("start_timeout")]
    StartTimeout,
    /// A message was begun and not completed in time.
    #[display("message_timeout")]
    MessageTimeout,
    /// A message is longer than any that is accepted.
    #[display("message_length")]
    MessageLength,
    /// An answer was not read.
    #[display("answer_timeout")]
    AnswerTimeout,
    /// All connections together hold too much, and this one the most.
    #[display("memory")]
    Memory,
    /// The session's variables and prepared statements hold too much.
    #[display("session_state")]
    SessionState,
    /// A server's answer is too long.
    #[display("server_answer")]
    ServerAnswer,
}

/// How many lines about one limit are logged per second; a crowd would fill the log otherwise.
const LINES_PER_SECOND: u32 = 10;

/// Bounds the log lines about limits, each limit by itself, so that a crowd that exceeds one
/// doesn't hide who exceeds another.
#[derive(Debug, Clone, Default)]
pub struct LineBudget {
    reasons: BTreeMap<LimitReason, ReasonLines>,
}

#[derive(Debug, Clone, Default)]
struct ReasonLines {
    began_at: Moment,
    lines: u32,
    suppressed: u64,
}

impl LineBudget {
    /// Returns how many lines about the limit were suppressed before this one if it may be
    /// logged.
    pub fn take(&mut self, reason: LimitReason, now: Moment) -> Option<u64> {
        let budget = self.reasons.entry(reason).or_default();
        if now.since(budget.began_at) >= Duration::from_secs(1) {
            budget.began_at = now;
            budget.lines = 0;
        }
        if budget.lines >= LINES_PER_SECOND {
            budget.suppressed += 1;
            return None;
        }
        budget.lines += 1;
        Some(std::mem::take(&mut budget.suppressed))
    }
}
