//! The socket for datagrams between instances.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use masticreel_base::cancellation::CancellationToken;
use masticreel_fleet::codec::{self, SharedKey};
use masticreel_fleet::fleet::Event;
use masticreel_fleet::membership;
use masticreel_fleet::message::{MAX_DATAGRAM_BYTES, OutgoingMessage};
use masticreel_fleet::replay::{ReplayGuard, Stamp};

use crate::fleet::metrics::FleetMetrics;

/// Interval between checks of the cancellation token.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Backoff after the socket reported an error.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// Receives datagrams and passes on those that are authentic and not replayed.
pub(super) struct DatagramReceiver {
    pub(super) socket: UdpSocket,
    pub(super) address: SocketAddr,
    pub(super) key: SharedKey,
    pub(super) events: Sender<Event>,
    pub(super) metrics: FleetMetrics,
}

impl DatagramReceiver {
    /// Receives on a thread of its own until cancelled.
    pub(super) fn start(self, cancellation: CancellationToken) -> io::Result<()> {
        self.socket.set_read_timeout(Some(CHECK_INTERVAL))?;
        thread::Builder::new().name("fleet-receive".to_owned()).spawn(move || {
            let mut guard = ReplayGuard::default();
            while !cancellation.is_cancelled() {
                self.receive(&mut guard, &cancellation);
            }
        })?;
        Ok(())
    }

    fn receive(&self, guard: &mut ReplayGuard, cancellation: &CancellationToken) {
        // One byte more than allowed, so that a datagram that is too long is not
        // truncated to a valid length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let length = match self.socket.recv_from(&mut buffer) {
            Ok((length, _)) => length,
            Err(error) if is_timeout(&error) => return,
            Err(_) => {
                // The system also reports here that a peer's port is closed.
                cancellation.wait_timeout(ERROR_BACKOFF);
                return;
            }
        };
        self.metrics.received_bytes.inc_by(length as u64);
        match codec::decode(&buffer[..length], self.address, &self.key) {
            Ok((message, stamp)) if guard.accept(&message.sender.id, stamp) => {
                let event = Event::Membership(membership::Event::Received(message));
                // Datagrams are dropped when the queue is full; the protocol
                // tolerates their loss, as on the network.
                let _ = self.events.try_send(event);
            }
            Ok(_) => self.metrics.count_dropped("replayed"),
            Err(_) => self.metrics.count_dropped("not_authentic"),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Stamps, encodes and sends messages.
pub(super) struct DatagramSender {
    socket: UdpSocket,
    key: SharedKey,
    last: Stamp,
    metrics: FleetMetrics,
}

impl DatagramSender {
    pub(super) fn new(
        socket: UdpSocket,
        key: SharedKey,
        incarnation: u64,
        metrics: FleetMetrics,
    ) -> Self {
        Self { socket, key, last: Stamp { life: incarnation, counter: 0 }, metrics }
    }

    pub(super) fn send(&mut self, outgoing: &OutgoingMessage) {
        self.last.counter += 1;
        let encoded = codec::encode(&outgoing.message, self.last, outgoing.to, &self.key);
        let Ok(datagram) = encoded else {
            self.metrics.count_dropped("too_large");
            return;
        };
        // A datagram that can't be sent is lost; the probes detect a peer that
        // can't be reached.
        if self.socket.send_to(&datagram, outgoing.to).is_ok() {
            self.metrics.sent_bytes.inc_by(datagram.len() as u64);
        }
    }
}
