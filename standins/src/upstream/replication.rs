//! Sends the log from the primary to its replicas and applies it there.
//!
//! [`send`] sends the primary's log on a replica's connection. [`receive`] and
//! [`apply`] run in a thread each on every server: the first appends received
//! entries to the log, the second applies logged entries to the database.

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use masticreel_base::ids::{LogPosition, Term};
use rusqlite::Connection;
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};

use crate::upstream::database::DatabaseFiles;
use crate::upstream::frame;
use crate::upstream::group::{Membership, Role, State};
use crate::upstream::interrupt::SessionHandle;
use crate::upstream::log::{LogEntry, LogRun, LoggedStatement, last_common};

/// The code that a replica sends in place of a protocol version.
pub const REPLICATION_CODE: u32 = (1234 << 16) | 5690;

/// Maximum number of entries that are sent or applied at once.
const BATCH_ENTRIES: usize = 256;
/// How often a primary without new entries sends an empty message, so that its
/// replicas do not time out.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a replica waits for a connection to the primary, or for a message
/// from it, before it connects again.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a server waits before it connects to the primary, or applies entries,
/// again.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of received entries that wait for the receive lag.
const RECEIVE_QUEUE_ENTRIES: usize = 65_536;
/// Maximum time that a thread waits before it checks the state again.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// A replica's request for the log of the term's primary.
///
/// The runs describe the replica's own log.
#[derive(Debug, Serialize, Deserialize)]
struct FollowRequest {
    term: Term,
    runs: Vec<LogRun>,
}

/// A message from a primary to a replica.
#[derive(Debug, Serialize, Deserialize)]
enum StreamMessage {
    /// The logs agree up to this position; all later entries follow.
    Accepted(LogPosition),
    /// The server is not the primary of the term.
    Refused,
    /// Entries in order; none if the message is only a keep-alive.
    Entries(Vec<LogEntry>),
}

/// Sends the log to one replica until the server's role changes or it stops.
///
/// `received` holds the bytes that were read together with the replication code.
///
/// # Errors
///
/// Fails when the replica disconnects or its request is malformed.
pub fn send(membership: &Membership, stream: &TcpStream, received: &[u8]) -> io::Result<()> {
    let request: FollowRequest = frame::read(&mut received.chain(stream))?;
    let mut output = BufWriter::new(stream);
    let state = membership.lock();
    let role_epoch = state.role_epoch;
    if state.role != Role::Primary || state.term != request.term {
        drop(state);
        frame::write(&mut output, &StreamMessage::Refused)?;
        return output.flush();
    }
    let mut sent = last_common(state.log.runs(), &request.runs);
    drop(state);
    frame::write(&mut output, &StreamMessage::Accepted(sent))?;
    output.flush()?;
    while let Some(entries) = next_entries(membership, role_epoch, sent) {
        sent = LogPosition(sent.0 + entries.len() as u64);
        frame::write(&mut output, &StreamMessage::Entries(entries))?;
        output.flush()?;
    }
    Ok(())
}

fn next_entries(
    membership: &Membership,
    role_epoch: u64,
    sent: LogPosition,
) -> Option<Vec<LogEntry>> {
    let deadline = Instant::now() + KEEPALIVE_INTERVAL;
    let mut state = membership.lock();
    loop {
        if state.role_epoch != role_epoch || state.is_stopped() {
            return None;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if state.log.last() > sent || remaining.is_zero() {
            break;
        }
        state = membership.wait(state, remaining);
    }
    let entries = state.log.after(sent, BATCH_ENTRIES);
    drop(state);
    Some(entries.iter().map(|entry| LogEntry::clone(entry)).collect())
}

/// Receives the log of the primary that the server follows, until the server stops.
pub fn receive(membership: &Membership, receive_lag: Duration) {
    let mut state = membership.lock();
    while !state.is_stopped() {
        let role_epoch = state.role_epoch;
        let Role::Replica(Some(primary)) = state.role else {
            state = membership.wait(state, MAX_WAIT);
            continue;
        };
        let request = FollowRequest { term: state.term, runs: state.log.runs().to_vec() };
        drop(state);
        // A stream usually ends with an error; the next attempt sends a new
        // request.
        let _ = replicate(membership, role_epoch, primary, &request, receive_lag);
        std::thread::sleep(RETRY_BACKOFF);
        state = membership.lock();
    }
}

fn replicate(
    membership: &Membership,
    role_epoch: u64,
    primary: SocketAddr,
    request: &FollowRequest,
    receive_lag: Duration,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&primary, PRIMARY_TIMEOUT)?;
    stream.set_read_timeout(Some(PRIMARY_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let mut opening = 8_u32.to_be_bytes().to_vec();
    opening.extend(REPLICATION_CODE.to_be_bytes());
    opening.extend(frame::encode(request));
    (&stream).write_all(&opening)?;
    let is_finished = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| close_when_over(membership, role_epoch, &stream, &is_finished));
        let result = receive_entries(membership, role_epoch, &stream, receive_lag);
        is_finished.store(true, Ordering::Release);
        membership.notify();
        result
    })
}

/// Closes a stream as soon as the server's role changes, the replication has
/// finished or the server stops.
///
/// The old primary may be frozen or cut off, so that a read from it would last
/// until its timeout.
fn close_when_over(
    membership: &Membership,
    role_epoch: u64,
    stream: &TcpStream,
    is_finished: &AtomicBool,
) {
    let mut state = membership.lock();
    while state.role_epoch == role_epoch
        && !state.is_stopped()
        && !is_finished.load(Ordering::Acquire)
    {
        state = membership.wait(state, MAX_WAIT);
    }
    // A failure means that the stream is closed already.
    let _ = stream.shutdown(Shutdown::Both);
}

fn receive_entries(
    membership: &Membership,
    role_epoch: u64,
    stream: &TcpStream,
    receive_lag: Duration,
) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    let StreamMessage::Accepted(common) = frame::read(&mut input)? else {
        return Ok(());
    };
    if !membership.begin_replication(role_epoch, common) {
        return Ok(());
    }
    let (sender, receiver) = bounded(RECEIVE_QUEUE_ENTRIES);
    std::thread::scope(|scope| {
        scope.spawn(|| append(membership, role_epoch, receiver, receive_lag));
        read_entries(membership, role_epoch, &mut input, sender)
    })
}

fn read_entries(
    membership: &Membership,
    role_epoch: u64,
    input: &mut BufReader<&TcpStream>,
    sender: Sender<(Instant, LogEntry)>,
) -> io::Result<()> {
    loop {
        let message = frame::read(input)?;
        let StreamMessage::Entries(entries) = message else {
            return Ok(());
        };
        let state = membership.lock();
        if state.role_epoch != role_epoch || state.is_stopped() {
            return Ok(());
        }
        drop(state);
        let now = Instant::now();
        for entry in entries {
            if sender.send((now, entry)).is_err() {
                return Ok(());
            }
        }
    }
}

/// Appends received entries to the log once the receive lag has passed.
fn append(
    membership: &Membership,
    role_epoch: u64,
    receiver: Receiver<(Instant, LogEntry)>,
    receive_lag: Duration,
) {
    for (received, entry) in receiver {
        let mut remaining = (received + receive_lag).saturating_duration_since(Instant::now());
        while !remaining.is_zero() {
            let state = membership.lock();
            if state.role_epoch != role_epoch || state.is_stopped() {
                return;
            }
            drop(membership.wait(state, remaining));
            remaining = (received + receive_lag).saturating_duration_since(Instant::now());
        }
        if !membership.append_received(role_epoch, entry) {
            return;
        }
    }
}

/// Entries that are due to be applied to one generation of the database.
struct Batch {
    generation: u64,
    entries: Vec<Arc<LogEntry>>,
}

/// Applies durable entries on a server that is not the primary, until it stops.
pub fn apply(membership: &Membership, files: &DatabaseFiles, apply_lag: Duration) {
    let session_handle = Arc::new(SessionHandle::default());
    let mut open: Option<(u64, Connection)> = None;
    while let Some(Batch { generation, entries }) = next_batch(membership, apply_lag) {
        if open.as_ref().is_none_or(|(opened, _)| *opened != generation) {
            let connection =
                files.open(generation, &session_handle).expect("the directory is usable");
            if let Some((old, _)) = open.replace((generation, connection)) {
                files.remove(old);
            }
        }
        let Some((_, connection)) = &open else { continue };
        if let Err(error) = apply_entries(membership, connection, generation, &entries) {
            // A writer that was just fenced may still hold the file's lock. The
            // entries stay due, so they are retried, whatever the error was.
            let _ = connection.execute_batch("ROLLBACK");
            eprintln!("event=apply_failed error={error:?}");
            std::thread::sleep(RETRY_BACKOFF);
        }
    }
}

/// Waits for entries that are due; `None` when the server stops.
///
/// The batch is empty when a rebuild has nothing left to apply; applying it
/// switches to the rebuilt database.
fn next_batch(membership: &Membership, apply_lag: Duration) -> Option<Batch> {
    let mut state = membership.lock();
    while !state.is_stopped() {
        match due_entries(&state, membership.generation(), apply_lag) {
            Ok(batch) => return Some(batch),
            Err(remaining) => state = membership.wait(state, remaining.min(MAX_WAIT)),
        }
    }
    None
}

/// Returns the entries that are due, or as an error how long to wait for the next.
fn due_entries(
    state: &State,
    generation_in_use: u64,
    apply_lag: Duration,
) -> Result<Batch, Duration> {
    if state.role == Role::Primary {
        return Err(MAX_WAIT);
    }
    let (generation, applied) = match state.rebuild {
        Some(rebuild) if rebuild.applied >= rebuild.target => {
            return Ok(Batch { generation: rebuild.generation, entries: Vec::new() });
        }
        Some(rebuild) => (rebuild.generation, rebuild.applied),
        None => (generation_in_use, state.applied),
    };
    let since = state.log.durable_since(applied.next()).ok_or(MAX_WAIT)?;
    let now = Instant::now();
    // A promotion of a fenced server waits for these entries, so they are
    // applied without lag.
    let lag = if state.role == Role::Fenced { Duration::ZERO } else { apply_lag };
    let remaining = (since + lag).saturating_duration_since(now);
    if !remaining.is_zero() {
        return Err(remaining);
    }
    let is_due = |entry: &Arc<LogEntry>| {
        state.log.durable_since(entry.position).is_some_and(|since| since + lag <= now)
    };
    let mut entries = state.log.after(applied, BATCH_ENTRIES);
    entries.retain(is_due);
    Ok(Batch { generation, entries })
}

fn apply_entries(
    membership: &Membership,
    connection: &Connection,
    generation: u64,
    entries: &[Arc<LogEntry>],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for statement in entries.iter().flat_map(|entry| &entry.statements) {
        apply_statement(connection, statement)?;
    }
    let mut state = membership.lock();
    if !is_next(&state, membership.generation(), generation, entries) {
        return connection.execute_batch("ROLLBACK");
    }
    connection.execute_batch("COMMIT")?;
    let applied = state.rebuild.map_or(state.applied, |rebuild| rebuild.applied);
    let last = entries.last().map_or(applied, |entry| entry.position);
    membership.record_applied(&mut state, generation, last);
    Ok(())
}

fn apply_statement(connection: &Connection, statement: &LoggedStatement) -> rusqlite::Result<()> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    for (index, value) in statement.parameters.iter().enumerate() {
        if let Some(sqlite_index) = prepared.parameter_index(&format!("${}", index + 1))? {
            prepared.raw_bind_parameter(sqlite_index, Value::from(value.clone()))?;
        }
    }
    let mut rows = prepared.raw_query();
    while rows.next()?.is_some() {}
    Ok(())
}

/// Returns whether the entries still follow the last applied one in the log.
///
/// The log may have been truncated and extended again while they were applied.
fn is_next(
    state: &State,
    generation_in_use: u64,
    generation: u64,
    entries: &[Arc<LogEntry>],
) -> bool {
    let (current, applied) = match state.rebuild {
        Some(rebuild) => (rebuild.generation, rebuild.applied),
        None => (generation_in_use, state.applied),
    };
    if current != generation || state.role == Role::Primary {
        return false;
    }
    let logged = state.log.after(applied, entries.len());
    logged.len() == entries.len()
        && logged.iter().zip(entries).all(|(left, right)| Arc::ptr_eq(left, right))
}
