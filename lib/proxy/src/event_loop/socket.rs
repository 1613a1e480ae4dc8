//! A connection with what waits to be read and written.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use rustix::net::sockopt::set_tcp_user_timeout;
use socket2::SockRef;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Unread bytes of a peer's connection at most; a message of 1 MiB and its line.
const PEER_INPUT_LIMIT_BYTES: usize = (1 << 20) + 64 * 1024;
/// Unread bytes of the instance's own connections at most; a list of the store.
const OWN_INPUT_LIMIT_BYTES: usize = 9 << 20;
/// Unacknowledged bytes of the instance's own connections end them after this.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// What became of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It goes on.
    Open,
    /// The peer ended it.
    Ended,
    /// It broke.
    Broken,
}

/// A connection and its buffers.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that were received and not understood yet.
    pub input: Vec<u8>,
    /// Bytes that are to be sent.
    pub output: Vec<u8>,
    is_connected: bool,
    input_limit_bytes: usize,
    /// Whether the connection ends when all is sent.
    pub ends_after_output: bool,
}

impl Socket {
    /// Wraps a connection that a peer opened.
    ///
    /// # Errors
    ///
    /// Fails if the poller doesn't take it.
    pub fn accepted(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self::new(stream, true, PEER_INPUT_LIMIT_BYTES))
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be had or the poller doesn't take it.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
        // Bytes that a partition holds up are lost with the connection and
        // don't arrive after their request was given up.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self::new(stream, false, OWN_INPUT_LIMIT_BYTES))
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

    /// Finds out whether a connection that is being opened is established.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it can't be opened.
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

    /// Reads all that has arrived.
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
                    // A short read has emptied the socket; the poller reports
                    // what arrives later.
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

    /// Sends what the peer takes now.
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

    /// Takes the connection off the poller; it closes when it is dropped.
    pub fn deregister(&mut self, registry: &Registry) {
        // A connection that the poller does not know needs nothing.
        let _ = registry.deregister(&mut self.stream);
    }
}
