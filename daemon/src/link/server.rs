//! Links that other instances open to this one.
//!
//! Each link has a thread that reads its messages. When a link that began with a
//! `Hello` closes, the open transactions of all sessions of that instance are rolled
//! back, also those that use the instance's other link.

use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::Incarnation;
use masticreel_document::wire::WireDocument;
use masticreel_wire::frame::{FrameError, FrameReader, SharedKey, Side, handshake};
use masticreel_wire::group::PositionRequest;
use masticreel_wire::message::LinkMessage;
use slog::{Logger, info, warn};

use crate::directory::OwnerDirectory;
use crate::documents::Documents;
use crate::link::configure;
use crate::link::sender::LinkSender;
use crate::owner::Owner;
use crate::owner::guard::ServerGuard;
use crate::owner::job::Reply;
use crate::views::handle_view_request;
use crate::views::positions::handle_position_request;
use crate::watch::Watch;

/// How long each read may take until the peer has sent its `Hello`.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for reads from a link, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Largest first message of a link, in bytes. Peers begin with a `Hello` or a request for
/// the document, which are shorter.
const MAX_FIRST_MESSAGE_BYTES: usize = 16 * 1024;
/// Stack size of a thread that handles one position request.
const POSITION_STACK_BYTES: usize = 64 * 1024;
/// Stack size of a link's thread.
const LINK_STACK_BYTES: usize = 256 * 1024;

/// Accepts links, passes requests for servers to the owner and answers those
/// about groups and the document.
pub struct LinkServer<Guard, Directory> {
    owner: Arc<Owner<Guard>>,
    watch: Arc<Watch<Directory>>,
    documents: Documents,
    key: SharedKey,
    logger: Logger,
    cancellation: CancellationToken,
}

impl<Guard, Directory> LinkServer<Guard, Directory>
where
    Guard: ServerGuard,
    Directory: OwnerDirectory,
{
    /// Creates a server that has not started yet.
    pub fn new(
        owner: Arc<Owner<Guard>>,
        watch: Arc<Watch<Directory>>,
        documents: Documents,
        key: SharedKey,
        logger: Logger,
        cancellation: CancellationToken,
    ) -> Self {
        Self { owner, watch, documents, key, logger, cancellation }
    }

    /// Accepts links on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the system has no room for the thread.
    pub fn start(self, listener: TcpListener) -> io::Result<()> {
        let server = Arc::new(self);
        thread::Builder::new().name("link-accept".to_owned()).spawn(move || {
            for stream in listener.incoming() {
                if server.cancellation.is_cancelled() {
                    return;
                }
                if let Ok(stream) = stream {
                    server.clone().spawn_link(stream);
                }
            }
        })?;
        Ok(())
    }

    fn spawn_link(self: Arc<Self>, stream: TcpStream) {
        let logger = self.logger.clone();
        let result = thread::Builder::new()
            .name("link".to_owned())
            .stack_size(LINK_STACK_BYTES)
            .spawn(move || self.serve_link(stream));
        if let Err(error) = result {
            warn!(logger, "peer link failed"; "error" => %error);
        }
    }

    fn serve_link(&self, stream: TcpStream) {
        let peer = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        let mut incarnation = None;
        let result = self.read_link(stream, &mut incarnation);
        if let Some(incarnation) = incarnation {
            self.owner.roll_back_instance(incarnation);
        }
        match result {
            // The usual end, since `read_link` returns only errors.
            Err(FrameError::Io(_)) | Ok(()) => {
                info!(self.logger, "link closed"; "peer" => peer);
            }
            Err(error) => warn!(self.logger, "peer link failed"; "peer" => peer, "error" => %error),
        }
    }

    /// Handles a position request on a thread of its own, since the response
    /// needs a round of polls and would delay the link's other messages.
    fn handle_position(&self, request: PositionRequest, sender: &LinkSender) {
        let watch = self.watch.clone();
        let sender = sender.clone();
        let result = thread::Builder::new()
            .name("position".to_owned())
            .stack_size(POSITION_STACK_BYTES)
            .spawn(move || {
                let response = handle_position_request(&watch, &request);
                // An error means that the peer has closed the link.
                let _ = sender.send(&LinkMessage::PositionResponse(response));
            });
        if let Err(error) = result {
            warn!(self.logger, "position request not answered: thread not started"; "error" => %error);
        }
    }

    fn document(&self) -> LinkMessage {
        let document = WireDocument::from(&*self.documents.current());
        let body = serde_json::to_vec(&document).expect("a document has string keys only");
        LinkMessage::Document(body)
    }

    fn read_link(
        &self,
        mut stream: TcpStream,
        incarnation: &mut Option<Incarnation>,
    ) -> Result<(), FrameError> {
        configure(&stream)?;
        stream.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
        let keys = handshake(&mut stream, Side::Accepting, &self.key)?;
        let sender = LinkSender::new(&stream, keys.outgoing)?;
        let socket = stream.try_clone()?;
        let mut reader =
            FrameReader::new(BufReader::with_capacity(READ_BUFFER_BYTES, stream), keys.incoming);
        reader.set_max_first_bytes(MAX_FIRST_MESSAGE_BYTES);
        loop {
            match reader.receive::<LinkMessage>()? {
                LinkMessage::Hello(hello) => {
                    socket.set_read_timeout(None)?;
                    *incarnation = Some(hello.incarnation);
                }
                LinkMessage::Request(request) => {
                    let reply = Reply::Remote { link: sender.clone(), id: request.id };
                    self.owner.submit(request, reply);
                }
                LinkMessage::Cancel(session) => self.owner.cancel(session),
                LinkMessage::Release(session) => self.owner.roll_back_session(session),
                LinkMessage::ViewRequest(request) => {
                    let response = handle_view_request(&self.watch, request);
                    sender.send(&LinkMessage::ViewResponse(response))?;
                }
                LinkMessage::PositionRequest(request) => self.handle_position(request, &sender),
                LinkMessage::FetchDocument => sender.send(&self.document())?,
                LinkMessage::Response(_)
                | LinkMessage::Document(_)
                | LinkMessage::ViewResponse(_)
                | LinkMessage::PositionResponse(_) => {}
            }
        }
    }
}
