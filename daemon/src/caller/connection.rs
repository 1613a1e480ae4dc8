//! One caller's connection: the start-up, the requests and the close.

mod accounting;

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::failure::{Severity, put_failure};
use masticreel_postgres::message::missing_bytes;
use masticreel_postgres::request::{CallerInput, CallerRequest};
use masticreel_postgres::startup::{
    CancelKey, StartupPacket, StartupParameters, put_startup_response, take_startup,
};
use masticreel_wire::message::SessionKey;

use crate::caller::closures::Reason;
use crate::caller::server::CallerContext;
use crate::caller::session::Session;
use crate::directory::OwnerDirectory;
use crate::memory::Held;
use crate::owner::guard::ServerGuard;

/// How long a worker thread waits for a caller to read, before the rest of the answer
/// waits without a thread.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1);
/// How many times its size a request takes while it runs: its messages, the payload, the
/// text of its statements, the packet for the server, and an answer of the same size on its
/// way. A statement of 1 MiB with its answer took 9 MiB.
const REQUEST_COPIES: usize = 8;
/// Requests up to this size run without a check of the budget, since they take less than
/// the buffers of a thread.
const UNCHECKED_REQUEST_BYTES: usize = 2 * READ_BYTES;
/// How long a worker thread waits for a caller's next request before it returns
/// the connection to the poller, which costs two thread switches.
const FOLLOW_UP_TIMEOUT: Duration = Duration::from_millis(1);
/// Size of the buffer for one read from a caller, in bytes.
pub(super) const READ_BYTES: usize = 16 * 1024;
/// The answer to a request for TLS or GSSAPI encryption: not supported.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// What to do with a connection next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// Keep serving it: input was read and processed, and more may follow soon.
    Served,
    /// Return it to the poller, since no input is left. Within [`Connection::serve`]
    /// also the result of a step that succeeded, after which serving goes on.
    Idle,
    /// Serve it again once its caller reads, since a part of an answer is not sent yet.
    Blocked,
    /// Read from it again once there is memory for what it may send.
    Paused,
    /// Close it.
    Close,
}

/// One caller's connection and, once it has started up, its session.
pub(super) struct Connection {
    number: usize,
    stream: TcpStream,
    buffer: BytesMut,
    session: Option<Box<Session>>,
    cancel_key: Option<CancelKey>,
    opened_at: Instant,
    /// The part of the answers that is not sent yet.
    output: BytesMut,
    /// When the message that the buffer begins with was begun.
    message_began_at: Instant,
    /// When the answer that is not sent yet was ready.
    output_began_at: Instant,
    /// When the caller last sent or took something.
    active_at: Instant,
    /// Whether the connection waits for a thread, since its caller has sent or read.
    is_queued: bool,
    /// The size of a complete request that waits for memory.
    waiting_request_bytes: Option<usize>,
    /// Why the next thread that serves the connection closes it.
    closed_for: Option<Reason>,
    /// Since when the connection waits for memory.
    paused_at: Option<Instant>,
    /// What was charged last.
    charged: Option<Held>,
}

impl Connection {
    /// Sets the socket options of a connection that was just accepted.
    pub(super) fn new(number: usize, stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(FOLLOW_UP_TIMEOUT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let now = Instant::now();
        Ok(Self {
            number,
            stream,
            buffer: BytesMut::new(),
            session: None,
            cancel_key: None,
            opened_at: now,
            output: BytesMut::new(),
            message_began_at: now,
            output_began_at: now,
            active_at: now,
            is_queued: false,
            waiting_request_bytes: None,
            closed_for: None,
            paused_at: None,
            charged: None,
        })
    }

    /// Returns the connection's number, unique among the instance's connections.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the connection can be closed during the shutdown: without interrupting a
    /// request, and, while requests are served, a transaction.
    pub(super) fn may_end<Guard, Directory>(
        &self,
        context: &CallerContext<Guard, Directory>,
    ) -> bool {
        let session = self.session.as_ref();
        let has_request = !self.buffer.is_empty()
            || !self.output.is_empty()
            || session.is_some_and(|session| session.assembler.is_partial());
        let keeps_transaction = session.is_some_and(|session| session.has_transaction())
            && !context.shutdown.is_over(Instant::now());
        !has_request && !keeps_transaction
    }

    /// Sends the caller the failure that the instance is shutting down.
    pub(super) fn send_shutting_down(&mut self) {
        let message = "the instance is shutting down";
        let failure = Failure::not_run(FailureKind::ShuttingDown, message);
        let mut output = BytesMut::new();
        put_failure(&mut output, Severity::Fatal, &failure);
        self.write(&output);
    }

    /// Rolls back the session's open transaction, removes its cancel key and closes the
    /// socket.
    pub(super) fn close<Guard, Directory>(mut self, context: &CallerContext<Guard, Directory>)
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        if let Some(session) = &mut self.session {
            context.router.roll_back_session(&mut session.routed);
        }
        if let Some(key) = self.cancel_key {
            context.cancel_keys.remove(key);
        }
        if self.session.is_none() {
            context.starting.fetch_sub(1, Ordering::AcqRel);
        }
        context.memory.remove(self.number);
    }

    /// Reads once from the caller and serves the requests that are complete, as long as
    /// the caller takes the answers.
    pub(super) fn serve<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
        scratch: &mut [u8],
    ) -> Next
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        self.is_queued = false;
        let next = self.serve_input(context, scratch);
        self.charge(0, &context.memory);
        next
    }

    fn serve_input<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
        scratch: &mut [u8],
    ) -> Next
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        if self.waiting_request_bytes.take().is_some() {
            self.resume();
        } else if self.output.is_empty() {
            if !context.memory.may_read(self.number, scratch.len()) {
                self.paused_at.get_or_insert_with(Instant::now);
                return Next::Paused;
            }
            self.resume();
            match self.stream.read(scratch) {
                Ok(0) => return Next::Close,
                Ok(received) => self.received(&scratch[..received]),
                Err(error) if is_timeout(&error) => return Next::Idle,
                Err(_) => return Next::Close,
            }
        } else {
            // Requests that were received with an earlier one wait until its answer is read.
            let next = self.flush();
            if next != Next::Idle {
                return next;
            }
        }
        let bytes_before = self.buffer.len();
        let result = self.serve_buffer(context);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        } else if self.buffer.len() < bytes_before {
            // A copy, since the rest shares the memory of the messages that were taken.
            self.buffer = BytesMut::from(&self.buffer[..]);
            self.message_began_at = Instant::now();
        }
        match result {
            Ok(next) => self.after_serving(next, context),
            Err(failure) => self.close_with(&failure),
        }
    }

    fn received(&mut self, bytes: &[u8]) {
        self.active_at = Instant::now();
        if self.buffer.is_empty() {
            self.message_began_at = self.active_at;
        }
        self.buffer.extend_from_slice(bytes);
    }

    fn after_serving<Guard, Directory>(
        &mut self,
        next: Next,
        context: &CallerContext<Guard, Directory>,
    ) -> Next {
        let may_close = context.is_draining.load(Ordering::Acquire) && self.may_end(context);
        if next == Next::Idle && may_close {
            self.send_shutting_down();
            return Next::Close;
        }
        if next == Next::Idle { Next::Served } else { next }
    }

    fn serve_buffer<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Next, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        while self.session.is_none() {
            let packet = take_startup(&mut self.buffer).map_err(protocol_failure)?;
            let Some(packet) = packet else { return Ok(Next::Idle) };
            let next = self.start_up(packet, context)?;
            if next != Next::Idle {
                return Ok(next);
            }
        }
        self.serve_requests(context)
    }

    fn start_up<Guard, Directory>(
        &mut self,
        packet: StartupPacket,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Next, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        match packet {
            StartupPacket::EncryptionRequest => Ok(self.write(ENCRYPTION_REFUSED)),
            StartupPacket::Cancel(key) => {
                context.cancel(key);
                Ok(Next::Close)
            }
            StartupPacket::Open(parameters) => self.open_session(&parameters, context),
        }
    }

    fn open_session<Guard, Directory>(
        &mut self,
        parameters: &StartupParameters,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Next, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        if !context.router.has_database(&parameters.database) {
            let message = format!("database \"{}\" does not exist", parameters.database);
            return Err(Failure::not_run(FailureKind::UnknownDatabase, message));
        }
        if parameters.settings.contains_key("replication") {
            let message = "replication connections are not supported";
            return Err(Failure::not_run(FailureKind::Unsupported, message));
        }
        let key = SessionKey { entry: context.incarnation, caller: self.number as u64 };
        let session = Session::new(key, parameters, context.limits.max_request_bytes)?;
        let cancel_key = context.cancel_keys.issue(key, session.routed.running_owner.clone());
        self.session = Some(Box::new(session));
        context.starting.fetch_sub(1, Ordering::AcqRel);
        self.cancel_key = Some(cancel_key);
        let mut output = BytesMut::new();
        put_startup_response(&mut output, cancel_key);
        Ok(self.write(&output))
    }

    fn serve_requests<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Next, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        loop {
            let request_bytes = self.large_request_bytes();
            let running = self.held(request_bytes);
            if request_bytes > 0 && !context.memory.may_run(self.number, running) {
                self.waiting_request_bytes = Some(request_bytes);
                self.paused_at.get_or_insert_with(Instant::now);
                return Ok(Next::Paused);
            }
            self.charged = None;
            let result = self.serve_next(context);
            if request_bytes > 0 {
                context.memory.run_ended();
            }
            match result? {
                Some(Next::Idle) => {}
                Some(next) => return Ok(next),
                None => return Ok(Next::Idle),
            }
        }
    }

    /// Returns the size of the request that the next message completes, or 0 if there is
    /// none or it is not large.
    fn large_request_bytes(&self) -> usize {
        let pending_bytes =
            self.session.as_ref().map_or(0, |session| session.assembler.held_bytes());
        let is_complete = !self.buffer.is_empty() && missing_bytes(&self.buffer) == 0;
        let request_bytes = pending_bytes + self.buffer.len();
        if is_complete && request_bytes > UNCHECKED_REQUEST_BYTES { request_bytes } else { 0 }
    }

    /// Serves the next request in the buffer; returns `None` if none is complete.
    fn serve_next<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Option<Next>, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        let Some(session) = &mut self.session else { return Ok(Some(Next::Close)) };
        let input = session.assembler.next_input(&mut self.buffer).map_err(protocol_failure)?;
        Ok(Some(match input {
            None => return Ok(None),
            Some(CallerInput::Terminate) => Next::Close,
            Some(CallerInput::Flush) => self.refuse_flush(),
            Some(CallerInput::Request(request)) => self.serve_request(&request, context)?,
        }))
    }

    fn serve_request<Guard, Directory>(
        &mut self,
        request: &CallerRequest,
        context: &CallerContext<Guard, Directory>,
    ) -> Result<Next, Failure>
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        self.charge(
            request.messages.iter().map(|message| message.bytes.len()).sum(),
            &context.memory,
        );
        let Some(session) = &mut self.session else { return Ok(Next::Close) };
        let started = Instant::now();
        let mut output = BytesMut::new();
        let outcome =
            session.serve(request, &context.router, &mut output).map_err(protocol_failure)?;
        context.record_request(outcome, session.routed.class, started.elapsed());
        self.active_at = Instant::now();
        self.output_began_at = self.active_at;
        Ok(self.write_answer(output))
    }

    /// Refuses a Flush, which asks for answers before the series of messages
    /// ends; the caller still has to send Sync.
    fn refuse_flush(&mut self) -> Next {
        let message = "Flush is not supported; end the series with Sync";
        let failure = Failure::not_run(FailureKind::Unsupported, message);
        let mut output = BytesMut::new();
        put_failure(&mut output, Severity::Error, &failure);
        self.write(&output)
    }

    /// Sends bytes to the caller; what it does not take now is sent later.
    fn write(&mut self, bytes: &[u8]) -> Next {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    /// As [`Self::write`], without a copy of a large answer.
    fn write_answer(&mut self, answer: BytesMut) -> Next {
        if !self.output.is_empty() {
            return self.write(&answer);
        }
        self.output = answer;
        self.flush()
    }

    fn flush(&mut self) -> Next {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Next::Close,
                Ok(sent) => {
                    self.output.advance(sent);
                    self.active_at = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => return Next::Blocked,
                Err(_) => return Next::Close,
            }
        }
        self.output = BytesMut::new();
        Next::Idle
    }

    fn close_with(&mut self, failure: &Failure) -> Next {
        let mut output = BytesMut::new();
        put_failure(&mut output, Severity::Fatal, failure);
        self.write(&output);
        Next::Close
    }
}

/// Returns whether a read ended because the caller has sent nothing.
fn is_timeout(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}

fn protocol_failure<Error>(error: Error) -> Failure
where
    Error: std::fmt::Display,
{
    Failure::not_run(FailureKind::Protocol, error.to_string())
}
