//! Who may use a server's slots and connections next, in order of arrival.

use std::collections::VecDeque;

use masticreel_wire::message::{Pinning, SessionKey};

/// Numbers the requests in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the queue must know about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request's number in the queue.
    pub ticket: Ticket,
    /// The session that it belongs to.
    pub session: SessionKey,
    /// Whether it has a connection already.
    pub pinning: Pinning,
}

/// Starts requests while slots and connections are free.
#[derive(Debug)]
pub struct ServerQueue {
    free_slots: u32,
    free_connections: u32,
    max_waiting: usize,
    waiting: VecDeque<QueuedRequest>,
}

impl ServerQueue {
    /// Creates an empty queue.
    pub fn new(slots: u32, connections: u32, max_waiting: usize) -> Self {
        Self {
            free_slots: slots,
            free_connections: connections,
            max_waiting,
            waiting: VecDeque::new(),
        }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request; returns whether there was room for it.
    pub fn submit(&mut self, request: QueuedRequest) -> bool {
        if self.waiting.len() >= self.max_waiting {
            return false;
        }
        self.waiting.push_back(request);
        true
    }

    /// Removes the waiting requests of a session.
    pub fn remove(&mut self, session: SessionKey) -> Vec<Ticket> {
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|request| request.session == session);
        self.waiting = kept;
        removed.into_iter().map(|request| request.ticket).collect()
    }

    /// Takes the requests that can start now.
    pub fn startable(&mut self) -> Vec<QueuedRequest> {
        let mut started = Vec::new();
        while self.free_slots > 0 {
            let Some(index) = self.waiting.iter().position(|request| self.can_start(request))
            else {
                break;
            };
            let Some(request) = self.waiting.remove(index) else { break };
            self.free_slots -= 1;
            if request.pinning == Pinning::Free {
                self.free_connections -= 1;
            }
            started.push(request);
        }
        started
    }

    /// Returns the slot of a request that was answered.
    pub fn slot_freed(&mut self) {
        self.free_slots += 1;
    }

    /// Returns a connection that no session holds any more.
    pub fn connection_freed(&mut self) {
        self.free_connections += 1;
    }

    fn can_start(&self, request: &QueuedRequest) -> bool {
        request.pinning == Pinning::Pinned || self.free_connections > 0
    }
}
