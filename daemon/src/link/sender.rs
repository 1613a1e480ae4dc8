//! The sending half of a link, shared by several threads.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};

use derive_more::Debug;
use masticreel_wire::frame::{FrameError, FrameWriter};
use masticreel_wire::message::{LinkMessage, UpstreamResponse};

/// Sends messages on a link; clones share the link, which sends one message at a
/// time.
#[derive(Debug, Clone)]
pub struct LinkSender {
    #[debug(skip)]
    inner: Arc<Inner>,
}

struct Inner {
    stream: TcpStream,
    writer: Mutex<FrameWriter<TcpStream>>,
}

impl LinkSender {
    /// Wraps a link's stream after the handshake, with the key for sending.
    ///
    /// # Errors
    ///
    /// Fails if the system can't duplicate the socket.
    pub fn new(stream: &TcpStream, key: [u8; 32]) -> std::io::Result<Self> {
        let writer = Mutex::new(FrameWriter::new(stream.try_clone()?, key));
        Ok(Self { inner: Arc::new(Inner { stream: stream.try_clone()?, writer }) })
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails if the peer has closed the link or does not read from it. The link is then
    /// closed, because part of a frame may have been sent and the peer could not find
    /// the beginning of the next.
    pub fn send(&self, message: &LinkMessage) -> Result<(), FrameError> {
        let mut writer =
            self.inner.writer.lock().expect("no thread panics while it holds the writer lock");
        let result = writer.send(message);
        if result.is_err() {
            self.close();
        }
        result.map(drop)
    }

    /// Sends a response; an error is ignored, since the peer reports its pending requests
    /// as failed when the link closes.
    pub fn send_response(&self, response: UpstreamResponse) {
        let _ = self.send(&LinkMessage::Response(response));
    }

    /// Closes the link in both directions.
    pub fn close(&self) {
        // An error means that the peer has closed the link first.
        let _ = self.inner.stream.shutdown(Shutdown::Both);
    }
}
