//! The thread that runs the fleet's state machine and carries out its actions.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::InstanceId;
use masticreel_fleet::dissemination;
use masticreel_fleet::fleet::{Action, Event, Fleet};
use masticreel_fleet::member::{Member, MemberState};
use masticreel_fleet::membership::{self, TICK_INTERVAL};
use slog::{Logger, info, warn};

use crate::documents::Documents;
use crate::fleet::fetch::DocumentJob;
use crate::fleet::metrics::FleetMetrics;
use crate::fleet::queue_or_drop;
use crate::fleet::snapshot::FleetSnapshot;
use crate::fleet::socket::DatagramSender;
use crate::link::client::LinkPool;

/// Longest time between two snapshots; changes that affect routing are published
/// at once.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Feeds events to the fleet's state machine and publishes snapshots of it.
pub(super) struct Driver {
    pub(super) fleet: Fleet,
    pub(super) datagrams: DatagramSender,
    pub(super) events: Receiver<Event>,
    pub(super) fetches: Sender<DocumentJob>,
    pub(super) reads: Sender<DocumentJob>,
    pub(super) documents: Documents,
    pub(super) links: LinkPool,
    pub(super) snapshot: Arc<ArcSwap<FleetSnapshot>>,
    pub(super) metrics: FleetMetrics,
    pub(super) logger: Logger,
}

impl Driver {
    /// Runs on a thread of its own until cancelled.
    pub(super) fn start(mut self, cancellation: CancellationToken) -> io::Result<()> {
        thread::Builder::new().name("fleet".to_owned()).spawn(move || {
            let mut next_tick = Instant::now();
            let mut published_at = Instant::now();
            while !cancellation.is_cancelled() {
                self.step(&mut next_tick);
                self.publish(&mut published_at);
            }
        })?;
        Ok(())
    }

    fn step(&mut self, next_tick: &mut Instant) {
        if Instant::now() < *next_tick {
            if let Ok(event) = self.events.recv_deadline(*next_tick) {
                self.handle(event);
            }
            return;
        }
        *next_tick = Instant::now() + TICK_INTERVAL;
        let revision = self.documents.current().revision();
        if revision > self.fleet.dissemination().applied() {
            self.handle(Event::DocumentActive(revision));
        }
        self.handle(Event::Membership(membership::Event::Tick));
    }

    fn handle(&mut self, event: Event) {
        let actions = self.fleet.handle(event, Instant::now(), &mut rand::rng());
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(outgoing) => self.datagrams.send(&outgoing),
            Action::Document(dissemination::Action::ReadStore) => {
                queue_or_drop(&self.reads, DocumentJob::ReadStore);
            }
            Action::Document(dissemination::Action::Fetch { from, address }) => {
                self.metrics.fetches.inc();
                queue_or_drop(&self.fetches, DocumentJob::Fetch { from, address });
            }
            Action::PrimaryChanged(entry) => {
                info!(self.logger, "primary changed";
                    "group" => %entry.group, "term" => %entry.term, "primary" => %entry.primary);
            }
        }
    }

    fn publish(&mut self, published_at: &mut Instant) {
        let before = self.snapshot.load();
        let membership = self.fleet.membership();
        let is_changed = before.routing_version != membership.roster().routing_version()
            || before.own.leaving != membership.own().leaving
            || before.has_finished_joining != membership.has_finished_joining();
        if !is_changed && published_at.elapsed() < SNAPSHOT_INTERVAL {
            return;
        }
        *published_at = Instant::now();
        let after = FleetSnapshot::of(&self.fleet);
        if is_changed {
            self.handle_changes(&before, &after);
        }
        self.metrics.set_members(&after);
        self.snapshot.store(Arc::new(after));
    }

    fn handle_changes(&self, before: &FleetSnapshot, after: &FleetSnapshot) {
        let previous: BTreeSet<(&InstanceId, MemberState)> =
            before.others.iter().map(|member| (&member.id, member.state)).collect();
        for member in &after.others {
            if !previous.contains(&(&member.id, member.state)) {
                self.handle_change(member);
            }
        }
    }

    fn handle_change(&self, member: &Member) {
        match member.state {
            MemberState::Alive | MemberState::Left => {
                info!(self.logger, "state of member changed"; "member" => %member.id, "state" => %member.state);
            }
            MemberState::Suspect | MemberState::Dead => {
                warn!(self.logger, "state of member changed"; "member" => %member.id, "state" => %member.state);
            }
        }
        if member.state == MemberState::Dead {
            self.close_links(member.address);
        }
    }

    /// Closes the links to an instance that was declared dead, so that the requests that
    /// wait for its responses fail at once.
    fn close_links(&self, address: SocketAddr) {
        self.links.close(address);
    }
}
