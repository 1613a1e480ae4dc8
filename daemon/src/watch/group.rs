//! One watched group: the state that its threads share.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::{GroupId, ServerId};
use masticreel_base::position::TermPosition;
use masticreel_document::groups::{GroupSpec, ServerSpec};
use masticreel_group::failover::Failover;
use masticreel_group::observer::{Assessment, GroupObserver, PollReport};
use masticreel_group::promotion::{ServerCommand, ServerCommandOutcome};
use masticreel_group::suspicion::Finding;
use masticreel_group::view::GroupView;
use slog::{Logger, debug, info, warn};

use crate::watch::ObserverIdentity;
use crate::watch::poller;

/// Time between two polls of a server that nobody waits for.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two polls of a server that somebody waits for.
const DEMAND_INTERVAL: Duration = Duration::from_millis(2);

/// A group whose servers this instance polls.
pub struct WatchedGroup {
    spec: GroupSpec,
    identity: ObserverIdentity,
    state: Mutex<State>,
    /// A report came in.
    reported: Condvar,
    /// A poll or an order is due earlier than planned.
    wanted: Condvar,
    logger: Logger,
    cancellation: CancellationToken,
}

struct State {
    observer: GroupObserver,
    failover: Failover,
    commands: Vec<VecDeque<ServerCommand>>,
    /// How many wait for a report of each server.
    waiting: Vec<usize>,
    announced: Announced,
    last_primary: Option<ServerId>,
}

/// What was last logged, so that only changes are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Announced {
    primary: Option<ServerId>,
    assessment: Option<Assessment>,
}

/// The servers whose next report somebody waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Interest {
    /// All servers of the group.
    AllServers,
    /// One server.
    Server(ServerId),
}

impl Interest {
    fn covers(&self, server: &ServerId) -> bool {
        match self {
            Self::AllServers => true,
            Self::Server(own) => own == server,
        }
    }
}

/// What a poller does next.
pub(super) enum PollerTask {
    /// Ask the server for its status.
    Poll,
    /// Give the server an order.
    SendCommand(ServerCommand),
    /// End the thread.
    Stop,
}

impl WatchedGroup {
    /// Starts a thread for each server.
    pub(super) fn start(
        spec: GroupSpec,
        identity: &ObserverIdentity,
        logger: Logger,
        cancellation: CancellationToken,
    ) -> Arc<Self> {
        let names = spec.servers.iter().map(|server| server.name.clone());
        let state = State {
            observer: GroupObserver::new(names, Instant::now()),
            failover: Failover::new(identity.instance.clone(), identity.incarnation),
            commands: vec![VecDeque::new(); spec.servers.len()],
            waiting: vec![0; spec.servers.len()],
            announced: Announced::default(),
            last_primary: None,
        };
        let group = Arc::new(Self {
            spec,
            identity: identity.clone(),
            state: Mutex::new(state),
            reported: Condvar::new(),
            wanted: Condvar::new(),
            logger,
            cancellation,
        });
        for index in 0..group.spec.servers.len() {
            poller::spawn(group.clone(), index);
        }
        group
    }

    /// Returns the group's name.
    pub fn name(&self) -> &GroupId {
        &self.spec.name
    }

    /// Returns the group as the document has it.
    pub fn spec(&self) -> &GroupSpec {
        &self.spec
    }

    /// Returns what is known about the group.
    pub fn view(&self) -> GroupView {
        self.lock().observer.view()
    }

    /// Returns what this instance makes of the primary.
    pub fn finding(&self, now: Instant) -> Finding {
        let state = self.lock();
        self.finding_of(&state, now)
    }

    /// Returns what a reader makes of the observer's state.
    pub fn with_observer<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&GroupObserver) -> Output,
    {
        read(&self.lock().observer)
    }

    /// Waits for the next report, while some servers are polled often.
    pub fn wait_for_report(&self, interest: &Interest, timeout: Duration) {
        let mut state = self.lock();
        state.begin_waiting(interest, &self.spec);
        self.wanted.notify_all();
        let (mut state, _) = self
            .reported
            .wait_timeout(state, timeout)
            .expect("no holder of the group's state panics");
        state.end_waiting(interest, &self.spec);
    }

    /// Waits for a position that covers everything acknowledged by now.
    pub fn wait_for_position(&self, deadline: Instant) -> Option<TermPosition> {
        let asked_at = Instant::now();
        while !self.cancellation.is_cancelled() {
            let position = self.view().position_since(asked_at);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if position.is_some() || remaining.is_zero() {
                return position;
            }
            self.wait_for_report(&Interest::AllServers, remaining);
        }
        None
    }

    /// Takes in what another observer found out.
    pub(super) fn on_finding(&self, finding: Finding, now: Instant) {
        self.lock().failover.on_finding(finding, now);
    }

    /// Weighs the findings and carries on with an attempt.
    ///
    /// Returns the server that was replaced as primary since the last call.
    pub(super) fn tick(&self, rank: Option<u32>, now: Instant) -> Option<ServerId> {
        let mut state = self.lock();
        let finding = self.finding_of(&state, now);
        self.announce(&mut state, finding.assessment);
        let State { observer, failover, .. } = &mut *state;
        failover.on_finding(finding, now);
        let commands = failover.tick(observer, rank, now);
        self.queue(&mut state, commands);
        state.take_demoted()
    }

    /// Ends the group's threads.
    pub(super) fn stop(&self) {
        self.cancellation.cancel();
        let _state = self.lock();
        self.wanted.notify_all();
        self.reported.notify_all();
    }

    pub(super) fn server(&self, index: usize) -> &ServerSpec {
        &self.spec.servers[index]
    }

    pub(super) fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Takes in the outcome of a poll.
    pub(super) fn on_report(&self, report: PollReport) {
        let mut state = self.lock();
        state.observer.report(report.clone());
        if let Some(status) = &report.status {
            let commands = state.failover.on_status(&report.server, status);
            self.queue(&mut state, commands);
        }
        self.reported.notify_all();
    }

    /// Takes in how an order ended.
    pub(super) fn on_outcome(&self, command: &ServerCommand, outcome: ServerCommandOutcome) {
        info!(self.logger, "order given"; "group" => %self.spec.name,
            "server" => %command.server, "order" => ?command.kind, "outcome" => ?outcome);
        let mut state = self.lock();
        let commands = state.failover.on_outcome(command, outcome, Instant::now());
        self.queue(&mut state, commands);
        // The status has changed, so the next poll should not wait.
        self.wanted.notify_all();
    }

    /// Waits until the server's next poll is due or an order came.
    pub(super) fn next_task(&self, index: usize, last_started_at: Option<Instant>) -> PollerTask {
        let mut state = self.lock();
        loop {
            if self.cancellation.is_cancelled() {
                return PollerTask::Stop;
            }
            if let Some(command) = state.commands[index].pop_front() {
                return PollerTask::SendCommand(command);
            }
            let now = Instant::now();
            let due_at = last_started_at.map_or(now, |last| last + state.poll_interval(index));
            if due_at <= now {
                return PollerTask::Poll;
            }
            let (woken, _) = self
                .wanted
                .wait_timeout(state, due_at - now)
                .expect("no holder of the group's state panics");
            state = woken;
        }
    }

    fn finding_of(&self, state: &State, now: Instant) -> Finding {
        Finding {
            observer: self.identity.instance.clone(),
            failure_domain: self.identity.failure_domain.clone(),
            term: state.observer.term(),
            assessment: state.observer.assess(now),
        }
    }

    fn queue(&self, state: &mut State, commands: Vec<ServerCommand>) {
        if commands.is_empty() {
            return;
        }
        for command in commands {
            let position =
                self.spec.servers.iter().position(|server| server.name == command.server);
            if let Some(index) = position {
                state.commands[index].push_back(command);
            }
        }
        self.wanted.notify_all();
    }

    fn announce(&self, state: &mut State, assessment: Assessment) {
        let now =
            Announced { primary: state.observer.primary().cloned(), assessment: Some(assessment) };
        if now == state.announced {
            return;
        }
        let primary = now.primary.as_ref().map(ServerId::as_str).unwrap_or_default();
        let term = state.observer.term();
        match assessment {
            Assessment::Healthy => {
                info!(self.logger, "primary seen"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
            Assessment::PrimaryUnseen => {
                warn!(self.logger, "primary unseen"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
            Assessment::Unclear => {
                debug!(self.logger, "primary unclear"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
        }
        state.announced = now;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the group's state panics")
    }
}

impl State {
    fn take_demoted(&mut self) -> Option<ServerId> {
        let primary = self.observer.primary()?;
        let replaced = self.last_primary.take().filter(|last| last != primary);
        self.last_primary = Some(primary.clone());
        replaced
    }

    fn begin_waiting(&mut self, interest: &Interest, spec: &GroupSpec) {
        for (waiting, server) in self.waiting.iter_mut().zip(&spec.servers) {
            *waiting += usize::from(interest.covers(&server.name));
        }
    }

    fn end_waiting(&mut self, interest: &Interest, spec: &GroupSpec) {
        for (waiting, server) in self.waiting.iter_mut().zip(&spec.servers) {
            *waiting -= usize::from(interest.covers(&server.name));
        }
    }

    fn poll_interval(&self, index: usize) -> Duration {
        if self.waiting[index] > 0 { DEMAND_INTERVAL } else { POLL_INTERVAL }
    }
}
