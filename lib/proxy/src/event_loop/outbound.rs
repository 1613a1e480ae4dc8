//! Executes the calls of the store sync and the coordinator: calls to the
//! store, commands to servers, requests to the promoter and datagrams to other
//! instances. Also receives datagrams, passes on calls to the store that other
//! instances make through this one, and reports changes of the view of the store
//! to the engine and the coordinator.
//!
//! Calls to the store share connections, one call at a time on each. A command
//! to a server and a request to the promoter have a connection of their own,
//! which is closed after the answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::Token;
use slog::{debug, info, warn};

use super::followers::InstanceCall;
use super::serve::loss_of_unopened;
use super::{CONNECT_TIMEOUT, Connection, EventLoop, Loss, StoreUse, Use};
use crate::coordinator::{ControlFailure, ControlRequest, CoordinatorAction, Purpose};
use crate::engine::Context;
use crate::frames;
use crate::moment::{Moment, SteadyClock};
use crate::peers::{MESSAGE_LIMIT_BYTES, PeerMessage};
use crate::protocol::{
    Platform, PromoterProtocol, StoreProtocol, UpstreamMessage, UpstreamProtocol,
};
use crate::records::{Phase, StoreAnswer, StoreCall, StoreReply};
use crate::store_era::revision_of_store;
use crate::store_route::{GiveUpReason, ReadCall};
use crate::store_sync::{CALL_TIMEOUT, WATCH_TIMEOUT_MARGIN};
use crate::store_view::ViewChange;

/// If there are more changes of the view at once, changed servers are not logged
/// one by one.
const LOGGED_CHANGES_LIMIT: usize = 200;
/// How long an answer of the store may take from the call until it has arrived
/// as a whole. Several times what a megabyte takes over a slow link.
const WHOLE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the timeout of a call to the store on an established connection.
pub(super) fn call_timeout(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Watch { wait, .. } => *wait + WATCH_TIMEOUT_MARGIN,
        _ => CALL_TIMEOUT,
    }
}

impl<Protocols, Clock> EventLoop<'_, Protocols, Clock>
where
    Protocols: Platform,
    Clock: SteadyClock,
{
    /// Makes the next call that updates the view of the store, if it is due.
    pub(super) fn call_store(&mut self) {
        self.give_up_sync_call();
        // Choosing the instance to call goes through all members, so it is not
        // done in each iteration.
        if !self.store_sync.is_due(self.now) {
            return;
        }
        let via = self.sync_address();
        if let Some(call) = self.store_sync.start_next_call(&self.view, self.now, via.is_some()) {
            self.start_call(StoreUse::Sync, call, via);
        }
    }

    /// Gives up the call that keeps the view up to date if another way is likely to show
    /// the changes sooner. An answer that has begun to arrive is awaited.
    fn give_up_sync_call(&mut self) {
        let Some((token, call)) = &mut self.sync_call else {
            return;
        };
        let connection = self.connections.get(token);
        if connection.is_some_and(|connection| !connection.socket.input.is_empty()) {
            call.give_up_at = None;
            return;
        }
        let (token, is_through_instance) = (*token, call.is_through_instance);
        let awaited_since = self.coordinator.awaits_view_since(&self.view);
        let reason = self.store_route.reason_to_give_up(call, &self.view, awaited_since, self.now);
        let Some(reason) = reason else {
            return;
        };
        self.metrics.store_read_given_up(reason);
        info!(self.log, "call that reads the store is given up"; "reason" => %reason,
            "through_instance" => is_through_instance,
            "view_age_ms" => self.store_age().map(|age| age.as_millis()));
        if reason == GiveUpReason::Asked {
            self.sync_call = None;
            self.close(token);
            self.store_sync.call_given_up();
        } else {
            self.connection_ended(token, false);
        }
    }

    /// Makes a call to the store, directly or through the instance at `via`, on
    /// an idle connection or else on a new one.
    pub(super) fn start_call(
        &mut self,
        store_use: StoreUse,
        call: StoreCall,
        via: Option<SocketAddr>,
    ) {
        let timeout = call_timeout(&call);
        let idle = self.connections.iter().find_map(|(token, connection)| {
            let is_idle = matches!(&connection.used_for,
                Use::Store { call: None, via: known } if *known == via);
            is_idle.then_some(*token)
        });
        let token = match idle {
            Some(token) => token,
            None => {
                let unused = Use::Store { call: None, via };
                let address = via.unwrap_or(self.settings.store);
                match self.connect(address, unused, CONNECT_TIMEOUT) {
                    Ok(token) => token,
                    Err(error) => {
                        warn!(self.log, "connection for a store call can't be opened";
                            "error" => %error);
                        self.store_answered(store_use, &call, self.now, None);
                        return;
                    }
                }
            }
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            match via {
                Some(_) => {
                    let call = InstanceCall::Store(call.clone(), self.view.era());
                    frames::encode(&call, &mut connection.socket.output);
                }
                None => self.platform.store().encode(&call, &mut connection.socket.output),
            }
            let is_connected = connection.socket.is_connected();
            let timeout = if is_connected { timeout } else { CONNECT_TIMEOUT };
            connection.deadline = Some(self.now + timeout);
            if store_use == StoreUse::Sync {
                let is_watch = matches!(call, StoreCall::Watch { .. });
                let can_call_store = !self.store_route.is_direct_failing();
                let give_up_at = if via.is_some() && is_watch && can_call_store {
                    self.store_sync.followed_until(&self.view)
                } else {
                    None
                };
                let is_through_instance = via.is_some();
                let call = ReadCall { called_at: self.now, is_through_instance, give_up_at };
                self.sync_call = Some((token, call));
            }
            connection.used_for = Use::Store { call: Some((store_use, call, self.now)), via };
            self.dirty.insert(token);
        }
    }

    /// Reads the answer to the current call on a connection to the store or to
    /// the instance through which it is called.
    pub(super) fn read_store(&mut self, token: Token) {
        let Some(Connection { socket, used_for: Use::Store { call, via }, deadline, .. }) =
            self.connections.get_mut(&token)
        else {
            return;
        };
        let Some((store_use, store_call, called_at)) = call.take() else {
            return;
        };
        let decoded = match via {
            Some(_) => frames::decode(socket.input.as_vec()),
            None => self.platform.store().decode(&store_call, socket.input.as_vec()),
        };
        match decoded {
            Ok(None) => {
                // A partly received answer extends the deadline: over a slow
                // link a retry would only transfer the same answer again.
                let extended = (self.now + CALL_TIMEOUT).min(called_at + WHOLE_ANSWER_TIMEOUT);
                *deadline = (*deadline).max(Some(extended));
                *call = Some((store_use, store_call, called_at));
            }
            Ok(Some(StoreReply { era, answer })) => {
                *deadline = None;
                let is_served = !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Lost);
                if via.is_none() {
                    self.store_route.record_direct_call(is_served, self.now);
                } else if !is_served {
                    self.store_route.record_followed_failure(self.now);
                }
                let answer = (answer != StoreAnswer::Lost).then_some(answer);
                self.observe_store_era(era);
                self.store_answered(store_use, &store_call, called_at, answer);
            }
            Err(error) => {
                warn!(self.log, "answer to a store call can't be read"; "call" => store_call.name(),
                    "reason" => error.reason);
                self.close(token);
                if error.is_too_large && matches!(store_use, StoreUse::Sync) {
                    // The same watch would get the same changes and more. A list has only
                    // the last value of each item, and comes in pages.
                    self.store_sync.list_again();
                }
                self.store_answered(store_use, &store_call, called_at, None);
            }
        }
    }

    /// Records the store's era, which each of its answers states. In a new one all that was
    /// written since its copy was made is gone, and the leases with it.
    pub(super) fn observe_store_era(&mut self, era: u64) {
        let previous = self.view.era();
        if !self.view.observe_era(era) {
            return;
        }
        // An instance that has just started doesn't know whether the era is new.
        if self.view.confirmed_at().is_some() {
            warn!(self.log, "store has come back from an older copy; listing again"; "era" => era,
                "previous_era" => previous,
                "revision" => revision_of_store(self.view.revision()));
        }
        self.coordinator.store_era_changed(era);
    }

    /// Passes the answer to a call to the store, `None` if it was lost, to the
    /// component or the other instance that made the call.
    ///
    /// An instance whose call was forwarded gets [`StoreAnswer::Lost`] for a lost answer.
    pub(super) fn store_answered(
        &mut self,
        store_use: StoreUse,
        call: &StoreCall,
        called_at: Moment,
        answer: Option<StoreAnswer>,
    ) {
        let outcome = match &answer {
            None => "lost",
            Some(StoreAnswer::Lost) => "lost",
            Some(StoreAnswer::Unavailable) => "unavailable",
            Some(StoreAnswer::Conflict) => "conflict",
            Some(StoreAnswer::Rejected) => "rejected",
            Some(_) => "ok",
        };
        self.metrics.store_called(call.name(), outcome);
        let is_answered = !matches!(answer, None | Some(StoreAnswer::Unavailable));
        if is_answered && self.is_store_failing {
            self.store_sync.store_is_back(self.now);
            self.coordinator.store_is_back(self.now);
        }
        self.is_store_failing = !is_answered;
        match store_use {
            StoreUse::Sync => {
                self.sync_call = None;
                let store = self.platform.store();
                let was_complete = self.store_sync.is_complete();
                let store_cache = &mut self.store_cache;
                let effect =
                    self.store_sync.answered(&mut self.view, store_cache, self.now, answer, store);
                if effect.is_outdated {
                    self.store_route.record_followed_failure(self.now);
                    info!(self.log, "list of another instance is outdated; listing again";
                        "revision" => revision_of_store(self.view.revision()),
                        "era" => self.view.era());
                } else if effect.is_newly_failing {
                    warn!(self.log, "store is not answering this instance";
                        "call" => call.name(), "outcome" => outcome,
                        "revision" => revision_of_store(self.view.revision()),
                        "era" => self.view.era());
                }
                if effect.is_succeeding_again || (!was_complete && self.store_sync.is_complete()) {
                    info!(self.log, "store is reachable";
                        "revision" => revision_of_store(self.view.revision()),
                        "era" => self.view.era());
                }
                self.handle_changes(effect.changes);
                if !was_complete && self.store_sync.is_complete() {
                    self.open_waiting_sessions();
                }
            }
            StoreUse::Forwarded(token) => {
                let answer = answer.unwrap_or(StoreAnswer::Lost);
                let answer = StoreReply { era: self.view.era(), answer };
                if let Some(connection) = self.connections.get_mut(&token) {
                    frames::encode(&answer, &mut connection.socket.output);
                    self.dirty.insert(token);
                }
            }
            StoreUse::Coordinator(purpose) => {
                debug!(self.log, "store call ended"; "purpose" => ?purpose, "outcome" => outcome);
                if outcome != "ok" {
                    info!(self.log, "store call not successful"; "purpose" => ?purpose,
                        "outcome" => outcome,
                        "took_ms" => self.now.since(called_at).as_millis());
                }
                self.coordinator.store_answered(self.now, called_at, &purpose, answer.as_ref());
                for (group, record) in self.coordinator.take_committed_records() {
                    let changes = self.view.apply_own_record(&group, record);
                    self.handle_changes(changes);
                }
                if let Some(member) = self.coordinator.take_committed_registration() {
                    let changes = self.view.apply_own_registration(&self.settings.instance, member);
                    self.handle_changes(changes);
                    let context = Context { view: &self.view, now: self.now };
                    self.engine.tick(context);
                }
                self.coordinator.tick(&self.view, self.now);
            }
        }
    }

    /// Reports changes in the view of the store to the engine and the
    /// coordinator.
    fn handle_changes(&mut self, changes: Vec<ViewChange>) {
        if changes.is_empty() {
            return;
        }
        let is_bulk = changes.len() > LOGGED_CHANGES_LIMIT;
        if is_bulk {
            info!(self.log, "many items of the store changed"; "changes" => changes.len(),
                "revision" => revision_of_store(self.view.revision()));
        }
        let mut are_members_changed = false;
        for change in changes {
            let context = Context { view: &self.view, now: self.now };
            match change {
                ViewChange::Document => {
                    if let Some(document) = self.view.document() {
                        info!(self.log, "configuration activated";
                            "version" => document.version, "routes" => document.routes.len(),
                            "groups" => document.groups.len());
                    }
                    self.engine.limits_changed(context);
                }
                ViewChange::Server(id) => {
                    match self.view.server(&id) {
                        _ if is_bulk => {}
                        Some(server) => info!(self.log, "server's entry read"; "server" => %id,
                            "group" => %server.group, "address" => %server.address,
                            "leaving" => server.is_leaving,
                            "role" => server.role.map(|role| role.to_string())),
                        None => info!(self.log, "server's entry removed"; "server" => %id),
                    }
                    self.engine.server_changed(context, &id);
                }
                ViewChange::Group(group) => self.engine.group_changed(context, &group),
                // Also makes the coordinator tick below.
                ViewChange::Coordination => are_members_changed = true,
                ViewChange::Unusable(key, reason) => {
                    warn!(self.log, "item of the store can't be used"; "key" => %key,
                        "reason" => reason);
                }
            }
        }
        if are_members_changed {
            self.observe_quota_standing();
            self.engine.members_changed(Context { view: &self.view, now: self.now });
        }
        // The coordinator confirms that work at a primary has ended, so it has to
        // receive the engine's actions first.
        self.execute_actions();
        self.coordinator.tick(&self.view, self.now);
    }

    pub(super) fn execute_coordinator_action(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Store(purpose, call) => {
                let is_test = matches!(purpose, Purpose::Grant | Purpose::Renew)
                    && self.store_route.tests_direct_calls(self.now);
                let via = if is_test { None } else { self.forwarder_address() };
                self.start_call(StoreUse::Coordinator(purpose), call, via);
            }
            CoordinatorAction::Control(request) => {
                let used_for =
                    Use::Control { request: request.clone(), status_row: None, stage: 0 };
                match self.connect(request.address, used_for, CONNECT_TIMEOUT) {
                    Ok(token) => {
                        if let Some(connection) = self.connections.get_mut(&token) {
                            let ControlRequest { group, server, .. } = &request;
                            let output = &mut connection.socket.output;
                            self.platform.upstreams().encode_start(group, server, None, output);
                        }
                    }
                    Err(error) => {
                        warn!(self.log, "connection for a command to a server can't be opened";
                            "server" => %request.server, "error" => %error);
                        self.control_failed(&request, loss_of_unopened(&error));
                    }
                }
            }
            CoordinatorAction::SendToPeer(address, message) => {
                // A lost datagram is not sent again here: the active coordinator sends
                // records repeatedly, and a member confirms again after each one.
                self.send_datagram(address, &message);
            }
            CoordinatorAction::Promote(request) => {
                let Some(promoter) = self.settings.promoter else {
                    warn!(self.log, "promotion not requested: no promoter is configured";
                        "group" => %request.group);
                    return;
                };
                let used_for = Use::Promoter { request: request.clone() };
                match self.connect(promoter, used_for, CONNECT_TIMEOUT) {
                    Ok(token) => {
                        if let Some(connection) = self.connections.get_mut(&token) {
                            self.platform
                                .promoter()
                                .encode(&request, &mut connection.socket.output);
                        }
                    }
                    Err(error) => {
                        warn!(self.log, "connection to the promoter can't be opened";
                            "error" => %error);
                        self.coordinator.promoter_answered(self.now, &request, None);
                    }
                }
            }
        }
    }

    pub(super) fn send_datagram(&self, address: SocketAddr, message: &PeerMessage) {
        if let Err(error) = self.peers.send_to(&message.encode(), address) {
            debug!(self.log, "datagram not sent"; "to" => %address, "error" => %error);
        }
    }

    /// Reads the datagrams of other instances.
    pub(super) fn read_datagrams(&mut self) {
        let mut buffer = [0_u8; MESSAGE_LIMIT_BYTES];
        loop {
            let (length, from) = match self.peers.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    warn!(self.log, "receiving datagrams from other instances failed"; "error" => %error);
                    return;
                }
            };
            match PeerMessage::decode(&buffer[..length]) {
                Some(PeerMessage::Record { group, record }) => {
                    if record.phase == Phase::Changing {
                        self.coordinator.note_stop_request(&self.view, self.now, &group, from);
                    }
                    let changes = self.view.apply_peer_record(&group, record);
                    if !changes.is_empty() {
                        info!(self.log, "group's record received from another instance";
                            "group" => %group, "from" => %from);
                    }
                    self.handle_changes(changes);
                    let context = Context { view: &self.view, now: self.now };
                    self.engine.tick(context);
                }
                Some(PeerMessage::Stopped { instance, group, epoch }) => {
                    info!(self.log, "member has ended its work at the old primary";
                        "member" => %instance, "group" => %group, "epoch" => epoch);
                    self.coordinator.peer_stopped(&instance, &group, epoch);
                    self.coordinator.tick(&self.view, self.now);
                }
                Some(PeerMessage::QuotaRequest { version, wants }) => {
                    self.engine.quotas.requested(from, version, &wants, self.now);
                }
                Some(PeerMessage::QuotaGrant { granted, .. }) => {
                    self.engine.quotas.granted(&granted, self.now);
                }
                Some(PeerMessage::QuotaHandover { incarnation, buckets }) => {
                    self.engine.quotas.handed(incarnation, buckets, self.now);
                }
                None => warn!(self.log, "datagram can't be read"; "from" => %from),
            }
        }
    }

    /// Reads the answers to the session start and the command on a connection
    /// of the coordinator to a server.
    pub(super) fn read_control(&mut self, token: Token) {
        loop {
            let Some(Connection {
                socket,
                used_for: Use::Control { request, status_row, stage },
                ..
            }) = self.connections.get_mut(&token)
            else {
                return;
            };
            let message = match self.platform.upstreams().decode_next(&mut socket.input) {
                Ok(None) => return,
                Ok(Some(message)) => message,
                Err(error) => {
                    warn!(self.log, "server's answer to a coordinator's command can't be read";
                        "reason" => error.reason);
                    self.connection_ended(token, false);
                    return;
                }
            };
            match message {
                UpstreamMessage::Row(text) => *status_row = Some(text),
                UpstreamMessage::Complete(_) => {}
                UpstreamMessage::Ready { .. } if *stage == 0 => {
                    *stage = 1;
                    let output = &mut socket.output;
                    self.platform.upstreams().encode_command(&request.command, output);
                    self.dirty.insert(token);
                }
                UpstreamMessage::Ready { .. } | UpstreamMessage::Error(_) => {
                    let status = status_row
                        .take()
                        .and_then(|row| self.platform.upstreams().decode_status(&row));
                    let request = request.clone();
                    self.close(token);
                    let result = status.ok_or(ControlFailure::Rejected);
                    self.coordinator.control_answered(self.now, &request, result);
                    self.coordinator.tick(&self.view, self.now);
                    return;
                }
            }
        }
    }

    /// Reports to the coordinator that a command to a server was not answered.
    ///
    /// A command that times out on an established connection has
    /// [`Loss::Closed`], like one whose connection was closed.
    pub(super) fn control_failed(&mut self, request: &ControlRequest, loss: Loss) {
        let failure = match loss {
            Loss::Refused => ControlFailure::Refused,
            Loss::Silent => ControlFailure::Silent,
            Loss::Closed | Loss::Abandoned | Loss::Garbage => ControlFailure::Rejected,
        };
        self.coordinator.control_answered(self.now, request, Err(failure));
    }

    /// Reads the promoter's answer and passes it to the coordinator.
    pub(super) fn read_promoter(&mut self, token: Token) {
        let Some(Connection { socket, used_for: Use::Promoter { request }, .. }) =
            self.connections.get_mut(&token)
        else {
            return;
        };
        match self.platform.promoter().decode(socket.input.as_vec()) {
            Ok(None) => {}
            Ok(Some(answer)) => {
                let request = request.clone();
                self.close(token);
                self.coordinator.promoter_answered(self.now, &request, Some(answer));
            }
            Err(error) => {
                warn!(self.log, "promoter's answer can't be read"; "reason" => error.reason);
                self.connection_ended(token, false);
            }
        }
    }

    /// Returns the age of the view of the store, `None` before the first
    /// complete list.
    pub(super) fn store_age(&self) -> Option<Duration> {
        self.view.confirmed_at().map(|at| self.now.since(at))
    }
}
