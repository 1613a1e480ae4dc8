//! The sending half of a link, shared by threads.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};

use derive_more::Debug;
use masticreel_wire::frame::{FrameError, FrameWriter};
use masticreel_wire::message::{LinkMessage, UpstreamResponse};

/// Sends messages on a link; clones share the link.
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
    /// Wraps a link after the handshake.
    ///
    /// # Errors
    ///
    /// Fails when the system can't duplicate the socket.
    pub fn new(stream: &TcpStream, key: [u8; 32]) -> std::io::Result<Self> {
        let writer = Mutex::new(FrameWriter::new(stream.try_clone()?, key));
        Ok(Self { inner: Arc::new(Inner { stream: stream.try_clone()?, writer }) })
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails when the peer is gone or takes no bytes; the link is then closed,
    /// because the next frame could not be told from the rest of this one.
    pub fn send(&self, message: &LinkMessage) -> Result<(), FrameError> {
        let mut writer = self.inner.writer.lock().expect("no holder of the writer panics");
        let result = writer.send(message);
        if result.is_err() {
            self.close();
        }
        result.map(drop)
    }

    /// Sends an answer; a peer that is gone needs none.
    pub fn send_response(&self, response: UpstreamResponse) {
        let _ = self.send(&LinkMessage::Response(response));
    }

    /// Closes the link in both directions.
    pub fn close(&self) {
        // A failure only means that the peer closed first.
        let _ = self.inner.stream.shutdown(Shutdown::Both);
    }
}
