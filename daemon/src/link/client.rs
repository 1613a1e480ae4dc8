//! Links that this instance opens to the owners of servers and to observers.
//!
//! Each link has a reader thread that passes each response to the thread that
//! waits for it, by the id of the request. When a link breaks, its pending
//! requests fail with an unknown outcome.
//!
//! When any link that began with this instance's `Hello` closes, the peer rolls back the
//! open transactions of all sessions of this instance, also those that use the other
//! link.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::RequestId;
use masticreel_wire::frame::{FrameReader, SharedKey, Side, handshake};
use masticreel_wire::group::{PositionRequest, PositionResponse, ViewRequest, ViewResponse};
use masticreel_wire::message::{
    Hello, LinkMessage, SessionKey, UpstreamRequest, UpstreamResponse, WireClass,
};

use crate::link::configure;
use crate::link::sender::LinkSender;
use crate::owner::job::Outcome;

/// How long a peer may take to accept a connection, and for each read in the
/// handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for reads from a link, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Stack size of a reader thread.
const READER_STACK_BYTES: usize = 256 * 1024;

/// Which of the two links to a peer carries a message.
///
/// A byte stream delivers in order, so large answers to ordinary requests would
/// delay urgent ones on the same link. Cancel requests, rollbacks and requests about
/// groups use the urgent link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LinkClass {
    Urgent,
    Ordinary,
}

impl From<WireClass> for LinkClass {
    fn from(class: WireClass) -> Self {
        match class {
            WireClass::Urgent => Self::Urgent,
            WireClass::Normal | WireClass::Long => Self::Ordinary,
        }
    }
}

/// Opens links to other instances when they are first needed and reuses them;
/// clones share the links.
#[derive(Clone)]
pub struct LinkPool {
    inner: Arc<PoolInner>,
}

struct PoolInner {
    hello: Hello,
    key: SharedKey,
    links: Mutex<HashMap<(SocketAddr, LinkClass), Arc<Link>>>,
    next_request: AtomicU64,
}

/// A response about groups, as opposed to one of a server.
enum GroupResponse {
    Views(ViewResponse),
    Position(PositionResponse),
}

struct Link {
    sender: LinkSender,
    pending_server_requests: Mutex<HashMap<RequestId, Sender<Outcome>>>,
    pending_group_requests: Mutex<HashMap<RequestId, Sender<GroupResponse>>>,
    is_closed: AtomicBool,
}

impl LinkPool {
    /// Creates a pool without links.
    pub fn new(hello: Hello, key: SharedKey) -> Self {
        let inner = PoolInner {
            hello,
            key,
            links: Mutex::new(HashMap::new()),
            next_request: AtomicU64::new(1),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Sends a request to a peer; its outcome is sent to the channel `outcome`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached. The verdict of the failure states
    /// whether the request may have run.
    pub fn send_request(
        &self,
        peer: SocketAddr,
        mut request: UpstreamRequest,
        outcome: Sender<Outcome>,
    ) -> Result<(), Failure> {
        let link = self.link(peer, request.class.into())?;
        request.id = self.next_id();
        link.request(request, outcome)
    }

    /// Requests that a peer rolls back the open transaction of a session. Does nothing if
    /// the peer can't be reached.
    pub fn roll_back_session(&self, peer: SocketAddr, session: SessionKey) {
        self.notify(peer, &LinkMessage::Release(session));
    }

    /// Requests that a peer cancels the running request of a session. Does nothing if the
    /// peer can't be reached.
    pub fn cancel(&self, peer: SocketAddr, session: SessionKey) {
        self.notify(peer, &LinkMessage::Cancel(session));
    }

    /// Requests an observer's views of groups.
    ///
    /// Returns `None` if the peer does not respond within the timeout.
    pub fn request_views(
        &self,
        peer: SocketAddr,
        request: ViewRequest,
        timeout: Duration,
    ) -> Option<ViewResponse> {
        let id = self.next_id();
        let request = LinkMessage::ViewRequest(ViewRequest { id, ..request });
        match self.send_group_request(peer, id, &request, timeout)? {
            GroupResponse::Views(response) => Some(response),
            GroupResponse::Position(_) => None,
        }
    }

    /// Requests a group's position from an observer.
    ///
    /// Returns `None` if the peer does not respond within the timeout.
    pub fn request_position(
        &self,
        peer: SocketAddr,
        request: PositionRequest,
        timeout: Duration,
    ) -> Option<PositionResponse> {
        let id = self.next_id();
        let request = LinkMessage::PositionRequest(PositionRequest { id, ..request });
        match self.send_group_request(peer, id, &request, timeout)? {
            GroupResponse::Position(response) => Some(response),
            GroupResponse::Views(_) => None,
        }
    }

    fn send_group_request(
        &self,
        peer: SocketAddr,
        id: RequestId,
        request: &LinkMessage,
        timeout: Duration,
    ) -> Option<GroupResponse> {
        let link = self.link(peer, LinkClass::Urgent).ok()?;
        let (sender, receiver) = bounded(1);
        link.lock_group_requests().insert(id, sender);
        let sent = link.sender.send(request);
        let response = sent.ok().and_then(|()| receiver.recv_timeout(timeout).ok());
        link.lock_group_requests().remove(&id);
        response
    }

    fn next_id(&self) -> RequestId {
        RequestId(self.inner.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Closes the links to a peer, which fails their pending requests.
    pub fn close(&self, peer: SocketAddr) {
        let links =
            self.inner.links.lock().expect("no thread panics while it holds the links lock");
        let closed = links.iter().filter(|((address, _), _)| *address == peer);
        closed.for_each(|(_, link)| link.sender.close());
    }

    fn notify(&self, peer: SocketAddr, message: &LinkMessage) {
        if let Ok(link) = self.link(peer, LinkClass::Urgent) {
            // An error means that the link has closed, after which the peer rolls back
            // this instance's open transactions.
            let _ = link.sender.send(message);
        }
    }

    fn link(&self, peer: SocketAddr, class: LinkClass) -> Result<Arc<Link>, Failure> {
        if let Some(link) = self.open_link(peer, class) {
            return Ok(link);
        }
        let link = Link::open(peer, &self.inner.hello, &self.inner.key)?;
        let mut links =
            self.inner.links.lock().expect("no thread panics while it holds the links lock");
        links.insert((peer, class), link.clone());
        Ok(link)
    }

    fn open_link(&self, peer: SocketAddr, class: LinkClass) -> Option<Arc<Link>> {
        let links =
            self.inner.links.lock().expect("no thread panics while it holds the links lock");
        let link = links.get(&(peer, class))?;
        (!link.is_closed.load(Ordering::Acquire)).then(|| link.clone())
    }
}

impl Link {
    fn open(peer: SocketAddr, hello: &Hello, key: &SharedKey) -> Result<Arc<Self>, Failure> {
        let mut stream = TcpStream::connect_timeout(&peer, CONNECT_TIMEOUT)
            .map_err(|error| unreachable(peer, error))?;
        configure(&stream).map_err(|error| unreachable(peer, error))?;
        stream.set_read_timeout(Some(CONNECT_TIMEOUT)).map_err(|error| unreachable(peer, error))?;
        let keys = handshake(&mut stream, Side::Connecting, key)
            .map_err(|error| unreachable(peer, error))?;
        stream.set_read_timeout(None).map_err(|error| unreachable(peer, error))?;
        let sender =
            LinkSender::new(&stream, keys.outgoing).map_err(|error| unreachable(peer, error))?;
        sender
            .send(&LinkMessage::Hello(hello.clone()))
            .map_err(|error| unreachable(peer, error))?;
        let link = Arc::new(Self {
            sender,
            pending_server_requests: Mutex::new(HashMap::new()),
            pending_group_requests: Mutex::new(HashMap::new()),
            is_closed: AtomicBool::new(false),
        });
        let reader =
            FrameReader::new(BufReader::with_capacity(READ_BUFFER_BYTES, stream), keys.incoming);
        link.clone().spawn_reader(reader);
        Ok(link)
    }

    fn spawn_reader(self: Arc<Self>, reader: FrameReader<BufReader<TcpStream>>) {
        thread::Builder::new()
            .name("link-reader".to_owned())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || self.read_responses(reader))
            .expect("the system has room for the reader threads");
    }

    fn read_responses(&self, mut reader: FrameReader<BufReader<TcpStream>>) {
        while let Ok(message) = reader.receive::<LinkMessage>() {
            match message {
                LinkMessage::Response(response) => self.deliver(response),
                LinkMessage::ViewResponse(response) => {
                    self.deliver_group_response(response.id, GroupResponse::Views(response));
                }
                LinkMessage::PositionResponse(response) => {
                    self.deliver_group_response(response.id, GroupResponse::Position(response));
                }
                _ => {}
            }
        }
        self.fail_pending();
    }

    fn deliver(&self, response: UpstreamResponse) {
        let receiver = self.lock_server_requests().remove(&response.id);
        if let Some(receiver) = receiver {
            // An error means that the request has timed out and was answered.
            let _ = receiver.send(response.outcome);
        }
    }

    fn deliver_group_response(&self, id: RequestId, response: GroupResponse) {
        let receiver = self.lock_group_requests().remove(&id);
        if let Some(receiver) = receiver {
            // An error means that the request has timed out.
            let _ = receiver.send(response);
        }
    }

    fn request(&self, request: UpstreamRequest, outcome: Sender<Outcome>) -> Result<(), Failure> {
        let id = request.id;
        self.lock_server_requests().insert(id, outcome);
        if self.is_closed.load(Ordering::Acquire) {
            self.lock_server_requests().remove(&id);
            let message = "the link to the owner was closed before the request was sent";
            return Err(Failure::not_run(FailureKind::Unavailable, message));
        }
        if let Err(error) = self.sender.send(&LinkMessage::Request(request)) {
            self.lock_server_requests().remove(&id);
            return Err(Failure::may_have_run(FailureKind::Lost, error.to_string()));
        }
        Ok(())
    }

    fn fail_pending(&self) {
        self.is_closed.store(true, Ordering::Release);
        self.sender.close();
        self.lock_group_requests().clear();
        let pending = std::mem::take(&mut *self.lock_server_requests());
        for receiver in pending.into_values() {
            let message = "the link to the owner broke before the answer came";
            let _ = receiver.send(Err(Failure::may_have_run(FailureKind::Lost, message)));
        }
    }

    fn lock_group_requests(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<RequestId, Sender<GroupResponse>>> {
        self.pending_group_requests
            .lock()
            .expect("no thread panics while it holds the pending group requests lock")
    }

    fn lock_server_requests(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<RequestId, Sender<Outcome>>> {
        self.pending_server_requests
            .lock()
            .expect("no thread panics while it holds the pending server requests lock")
    }
}

fn unreachable<Error>(peer: SocketAddr, error: Error) -> Failure
where
    Error: std::fmt::Display,
{
    Failure::not_run(FailureKind::Unavailable, format!("instance at {peer}: {error}"))
}
