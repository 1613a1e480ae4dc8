//! A non-blocking TCP connection with its input and output buffers.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use rustix::net::sockopt::set_tcp_user_timeout;
use socket2::SockRef;

use crate::limits::input::Input;

/// The size of a single read.
const READ_BYTES: usize = 16 * 1024;
/// An output buffer keeps no more memory than this once its bytes are sent: thousands of idle
/// sessions each have one.
const KEPT_BYTES: usize = 2 * 1024;
/// The input buffer's limit on accepted connections: a message of 1 MiB with
/// its header line.
pub const ACCEPTED_INPUT_LIMIT_BYTES: usize = (1 << 20) + 64 * 1024;
/// The input buffer's limit on connections that have only short messages: those of HTTP
/// clients and callers without a session.
pub const SHORT_INPUT_LIMIT_BYTES: usize = 32 * 1024;
/// The input buffer's limit on connections that the instance opened: a full
/// list of the store's items.
const OPENED_INPUT_LIMIT_BYTES: usize = 9 << 20;
/// A connection that the instance opened breaks if the other side does not
/// acknowledge sent bytes for this long.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// The state of a connection after it was read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The connection is open.
    Open,
    /// The other side closed the connection, or it is to be closed after its
    /// output.
    Ended,
    /// The connection failed.
    Broken,
}

/// A connection and its buffers.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that were received and not decoded yet.
    pub input: Input,
    /// Bytes to be sent; those up to `sent` were sent already.
    pub output: Vec<u8>,
    sent: usize,
    is_connected: bool,
    /// The most bytes that the input may have.
    pub input_limit_bytes: usize,
    /// Whether there may be bytes to read. The poller reports only that more have arrived, so
    /// a connection that was not read to the end has to be read again without an event.
    pub has_unread: bool,
    /// Whether the connection is closed once the output is sent.
    pub ends_after_output: bool,
}

impl Socket {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be configured or registered.
    pub fn accepted(
        mut stream: TcpStream,
        registry: &Registry,
        token: Token,
        input_limit_bytes: usize,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self::new(stream, true, input_limit_bytes))
    }

    /// Starts to open a connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created, configured or registered.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
        // On close, unsent bytes are discarded. Bytes that are held up by a
        // network partition then can't arrive after their request has timed
        // out.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self::new(stream, false, OPENED_INPUT_LIMIT_BYTES))
    }

    fn new(stream: TcpStream, is_connected: bool, input_limit_bytes: usize) -> Self {
        Self {
            stream,
            input: Input::default(),
            output: Vec::new(),
            sent: 0,
            is_connected,
            input_limit_bytes,
            has_unread: false,
            ends_after_output: false,
        }
    }

    /// Returns whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Checks whether a connection that is being opened is established.
    ///
    /// # Errors
    ///
    /// Fails with the cause if the connection can't be established.
    pub fn check_connected(&mut self) -> io::Result<bool> {
        if self.is_connected {
            return Ok(true);
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.is_connected = true;
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns whether the input has as many bytes as it may have.
    pub fn is_full(&self) -> bool {
        self.input.len() >= self.input_limit_bytes
    }

    /// Returns the number of bytes that were not sent yet.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.sent
    }

    /// Returns the memory that the buffers occupy.
    pub fn held_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Reads up to `allowed_bytes` into the input buffer, as far as it has room, and records
    /// whether more may be available.
    pub fn fill(&mut self, allowed_bytes: usize) -> Condition {
        let mut buffer = [0_u8; READ_BYTES];
        let mut read = 0;
        self.has_unread = true;
        while read < allowed_bytes && !self.is_full() {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Condition::Ended,
                Ok(count) => {
                    // One read more than the limit.
                    let limit_bytes = self.input_limit_bytes + READ_BYTES;
                    self.input.append(&buffer[..count], limit_bytes);
                    read += count;
                    // A short read means that the socket is empty; the poller
                    // reports an event when more arrives.
                    if count < buffer.len() {
                        self.has_unread = false;
                        return Condition::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.has_unread = false;
                    return Condition::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Condition::Broken,
            }
        }
        Condition::Open
    }

    /// Writes as much of the output buffer as the socket accepts without
    /// blocking.
    pub fn flush(&mut self) -> Condition {
        if !self.is_connected {
            return Condition::Open;
        }
        while self.sent < self.output.len() {
            match self.stream.write(&self.output[self.sent..]) {
                Ok(0) => return Condition::Broken,
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Condition::Broken,
            }
        }
        if self.sent * 2 >= self.output.len() {
            self.output.drain(..self.sent);
            self.sent = 0;
            self.output.shrink_to((self.output.len() * 2).max(KEPT_BYTES));
        }
        if self.output.is_empty() && self.ends_after_output {
            return Condition::Ended;
        }
        Condition::Open
    }

    /// Ends the sending direction after all output was sent.
    ///
    /// Closing the connection at once would reset it if the other side had sent something
    /// meanwhile, and discard answers that it has not read yet.
    pub fn finish_sending(&self) {
        // This fails only if the connection has ended already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Removes the connection from the poller. It is closed when it is dropped.
    pub fn deregister(&mut self, registry: &Registry) {
        // This fails only if the connection is not registered.
        let _ = registry.deregister(&mut self.stream);
    }
}
