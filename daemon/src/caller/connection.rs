//! One caller's connection: the start-up, the requests and the close.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_postgres::failure::{Severity, put_failure};
use masticreel_postgres::request::{CallerInput, CallerRequest};
use masticreel_postgres::startup::{
    CancelKey, StartupPacket, StartupParameters, put_startup_response, take_startup,
};
use masticreel_wire::message::SessionKey;

use crate::caller::server::CallerContext;
use crate::caller::session::Session;
use crate::directory::OwnerDirectory;
use crate::owner::guard::ServerGuard;

/// How long a write may wait for a caller that does not read its answers.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
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
}

impl Connection {
    /// Sets the socket options of a connection that was just accepted.
    pub(super) fn new(number: usize, stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(FOLLOW_UP_TIMEOUT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Self {
            number,
            stream,
            buffer: BytesMut::new(),
            session: None,
            cancel_key: None,
            opened_at: Instant::now(),
        })
    }

    /// Returns the connection's number, unique among the instance's connections.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the caller has not opened a session within the timeout.
    pub(super) fn is_overdue(&self, timeout: Duration) -> bool {
        self.session.is_none() && self.opened_at.elapsed() > timeout
    }

    /// Returns whether the connection can be closed without interrupting a
    /// request or transaction.
    pub(super) fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.session.as_ref().is_none_or(|session| session.is_idle())
    }

    /// Sends the caller the failure that the instance is shutting down.
    pub(super) fn send_shutting_down(&mut self) {
        let message = "the instance is shutting down";
        let failure = Failure::not_run(FailureKind::ShuttingDown, message);
        let mut output = BytesMut::new();
        put_failure(&mut output, Severity::Fatal, &failure);
        // An error means that the caller has disconnected.
        let _ = self.stream.write_all(&output);
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
    }

    /// Reads once from the caller and serves every request that is complete.
    pub(super) fn serve<Guard, Directory>(
        &mut self,
        context: &CallerContext<Guard, Directory>,
        scratch: &mut [u8],
    ) -> Next
    where
        Guard: ServerGuard,
        Directory: OwnerDirectory,
    {
        match self.stream.read(scratch) {
            Ok(0) => return Next::Close,
            Ok(received) => self.buffer.extend_from_slice(&scratch[..received]),
            Err(error) if is_timeout(&error) => return Next::Idle,
            Err(_) => return Next::Close,
        }
        let result = self.serve_buffer(context);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        match result {
            Ok(next) => self.after_serving(next, context),
            Err(failure) => self.close_with(&failure),
        }
    }

    fn after_serving<Guard, Directory>(
        &mut self,
        next: Next,
        context: &CallerContext<Guard, Directory>,
    ) -> Next {
        let may_close = context.is_draining.load(Ordering::Acquire) && self.is_idle();
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
            if self.start_up(packet, context)? == Next::Close {
                return Ok(Next::Close);
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
        let session = Session::new(key, parameters)?;
        let cancel_key = context.cancel_keys.issue(key, session.routed.running_owner.clone());
        self.session = Some(Box::new(session));
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
            let Some(session) = &mut self.session else { return Ok(Next::Close) };
            let input = session.assembler.next_input(&mut self.buffer).map_err(protocol_failure)?;
            let next = match input {
                None => return Ok(Next::Idle),
                Some(CallerInput::Terminate) => Next::Close,
                Some(CallerInput::Flush) => self.refuse_flush(),
                Some(CallerInput::Request(request)) => self.serve_request(&request, context)?,
            };
            if next == Next::Close {
                return Ok(Next::Close);
            }
        }
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
        let Some(session) = &mut self.session else { return Ok(Next::Close) };
        let started = Instant::now();
        let mut output = BytesMut::new();
        let outcome =
            session.serve(request, &context.router, &mut output).map_err(protocol_failure)?;
        context.record_request(outcome, session.routed.class, started.elapsed());
        Ok(self.write(&output))
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

    fn write(&mut self, bytes: &[u8]) -> Next {
        match self.stream.write_all(bytes) {
            Ok(()) => Next::Idle,
            Err(_) => Next::Close,
        }
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
