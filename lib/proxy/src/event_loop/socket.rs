//! A non-blocking TCP connection with its input and output buffers.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use rustix::net::sockopt::set_tcp_user_timeout;
use socket2::SockRef;

/// The size of a single read.
const READ_BYTES: usize = 16 * 1024;
/// The input buffer's limit on accepted connections: a message of 1 MiB with
/// its header line.
const ACCEPTED_INPUT_LIMIT_BYTES: usize = (1 << 20) + 64 * 1024;
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
    /// The connection failed, or its input exceeded the limit.
    Broken,
}

/// A connection and its buffers.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that were received and not decoded yet.
    pub input: Vec<u8>,
    /// Bytes that were not sent yet.
    pub output: Vec<u8>,
    is_connected: bool,
    input_limit_bytes: usize,
    /// Whether the connection is closed once the output is sent.
    pub ends_after_output: bool,
}

impl Socket {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be configured or registered.
    pub fn accepted(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self::new(stream, true, ACCEPTED_INPUT_LIMIT_BYTES))
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
            input: Vec::new(),
            output: Vec::new(),
            is_connected,
            input_limit_bytes,
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

    /// Reads all available bytes into the input buffer.
    pub fn fill(&mut self) -> Condition {
        let mut buffer = [0_u8; READ_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Condition::Ended,
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if self.input.len() > self.input_limit_bytes {
                        return Condition::Broken;
                    }
                    // A short read means that the socket is empty; the poller
                    // reports an event when more arrives.
                    if count < buffer.len() {
                        return Condition::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Condition::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Condition::Broken,
            }
        }
    }

    /// Writes as much of the output buffer as the socket accepts without
    /// blocking.
    pub fn flush(&mut self) -> Condition {
        if !self.is_connected {
            return Condition::Open;
        }
        let mut sent = 0;
        while sent < self.output.len() {
            match self.stream.write(&self.output[sent..]) {
                Ok(0) => return Condition::Broken,
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Condition::Broken,
            }
        }
        self.output.drain(..sent);
        if self.output.is_empty() {
            self.output.shrink_to(READ_BYTES);
            if self.ends_after_output {
                return Condition::Ended;
            }
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
