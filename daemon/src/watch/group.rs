//! One watched group, as the state that its threads share.
//!
//! The poller threads of the servers wait in `WatchedGroup::next_task` until a
//! poll is due or a command is queued, and report the results. Requests wait in
//! `WatchedGroup::wait_for_report` for the next result. The ticker of the watch
//! calls `WatchedGroup::tick`, which advances the failover and queues commands.

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

use crate::owner::guard::{ConfirmationCounter, ConfirmationHold};
use crate::watch::ObserverIdentity;
use crate::watch::poller;

/// Interval between polls of a server while no request waits for its report.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between polls of a server while a request waits for its report.
const AWAITED_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A group whose servers this instance polls.
pub struct WatchedGroup {
    spec: GroupSpec,
    identity: ObserverIdentity,
    state: Mutex<State>,
    /// Notified when a poll has ended or the group is stopped.
    reported: Condvar,
    /// Notified when a poll or a command is due earlier than the pollers expected.
    task_due: Condvar,
    /// Requests that have begun here and whose commits this group's polls confirm.
    confirmations: ConfirmationCounter,
    logger: Logger,
    cancellation: CancellationToken,
}

struct State {
    observer: GroupObserver,
    failover: Failover,
    /// Commands to send to each server, in document order of the servers.
    commands: Vec<VecDeque<ServerCommand>>,
    /// Number of requests that wait for a report of each server.
    waiting: Vec<usize>,
    logged: LoggedState,
    last_primary: Option<ServerId>,
}

/// The state that was logged last, so that only changes are logged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct LoggedState {
    primary: Option<ServerId>,
    assessment: Option<Assessment>,
}

/// The servers that are polled more often while a request waits for a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AwaitedServers {
    /// All servers of the group.
    AllServers,
    /// One server.
    Server(ServerId),
}

impl AwaitedServers {
    fn covers(&self, server: &ServerId) -> bool {
        match self {
            Self::AllServers => true,
            Self::Server(expected) => expected == server,
        }
    }
}

/// The next task of a poller.
pub(super) enum PollerTask {
    /// Request the server's status.
    Poll,
    /// Send a command to the server.
    SendCommand(ServerCommand),
    /// End the thread.
    Stop,
}

impl WatchedGroup {
    /// Starts a poller thread for each server.
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
            logged: LoggedState::default(),
            last_primary: None,
        };
        let group = Arc::new(Self {
            spec,
            identity: identity.clone(),
            state: Mutex::new(state),
            reported: Condvar::new(),
            task_due: Condvar::new(),
            confirmations: ConfirmationCounter::default(),
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

    /// Returns the group's specification in the document.
    pub fn spec(&self) -> &GroupSpec {
        &self.spec
    }

    /// Keeps the group polled until the returned value is dropped.
    pub fn hold_confirmation(&self) -> ConfirmationHold {
        self.confirmations.hold()
    }

    /// Returns whether a commit may still have to be confirmed by the group's polls.
    pub(super) fn is_held(&self) -> bool {
        self.confirmations.is_held()
    }

    /// Returns what the polls have shown about the group.
    pub fn view(&self) -> GroupView {
        self.lock().observer.view()
    }

    /// Returns this instance's finding about the group's primary.
    pub fn finding(&self, now: Instant) -> Finding {
        let state = self.lock();
        self.finding_of(&state, now)
    }

    /// Calls `read` with the observer while the group's state is locked.
    pub fn with_observer<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&GroupObserver) -> Output,
    {
        read(&self.lock().observer)
    }

    /// Waits for the next report of any server, at most for `timeout`.
    ///
    /// Meanwhile the servers in `awaited` are polled more often.
    pub fn wait_for_report(&self, awaited: &AwaitedServers, timeout: Duration) {
        let mut state = self.lock();
        state.begin_waiting(awaited, &self.spec);
        self.task_due.notify_all();
        let (mut state, _) = self
            .reported
            .wait_timeout(state, timeout)
            .expect("no thread panics while it holds the group's state lock");
        state.end_waiting(awaited, &self.spec);
    }

    /// Waits for a position that covers every write acknowledged before this call.
    ///
    /// Returns `None` if no such position is confirmed before the deadline.
    pub fn wait_for_position(&self, deadline: Instant) -> Option<TermPosition> {
        let called_at = Instant::now();
        while !self.cancellation.is_cancelled() {
            let position = self.view().position_covering(called_at);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if position.is_some() || remaining.is_zero() {
                return position;
            }
            self.wait_for_report(&AwaitedServers::AllServers, remaining);
        }
        None
    }

    /// Records a finding of another observer.
    pub(super) fn on_finding(&self, finding: Finding, now: Instant) {
        self.lock().failover.on_finding(finding, now);
    }

    /// Evaluates the findings and advances the failover attempt, if there is one.
    ///
    /// Returns the server that was replaced as primary since the last call.
    pub(super) fn tick(&self, rank: Option<u32>, now: Instant) -> Option<ServerId> {
        let mut state = self.lock();
        let finding = self.finding_of(&state, now);
        self.log_change(&mut state, finding.assessment);
        let State { observer, failover, .. } = &mut *state;
        failover.on_finding(finding, now);
        let commands = failover.tick(observer, rank, now);
        self.queue(&mut state, commands);
        state.take_replaced()
    }

    /// Ends the group's threads.
    pub(super) fn stop(&self) {
        self.cancellation.cancel();
        let _state = self.lock();
        self.task_due.notify_all();
        self.reported.notify_all();
    }

    pub(super) fn server(&self, index: usize) -> &ServerSpec {
        &self.spec.servers[index]
    }

    pub(super) fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Records the result of a poll.
    pub(super) fn on_report(&self, report: PollReport) {
        let mut state = self.lock();
        state.observer.record(report.clone());
        if let Some(status) = &report.status {
            let commands = state.failover.on_status(&report.server, status);
            self.queue(&mut state, commands);
        }
        self.reported.notify_all();
    }

    /// Records the outcome of a command.
    pub(super) fn on_outcome(&self, command: &ServerCommand, outcome: ServerCommandOutcome) {
        info!(self.logger, "command to server of watched group finished"; "group" => %self.spec.name,
            "server" => %command.server, "order" => ?command.kind, "outcome" => ?outcome);
        let mut state = self.lock();
        let commands = state.failover.on_outcome(command, outcome, Instant::now());
        self.queue(&mut state, commands);
        // The command may have changed the servers' status, which polls should show soon.
        // Wakes the other pollers, which poll if they are due; the one that sent the
        // command is due at once.
        self.task_due.notify_all();
    }

    /// Waits until the server's next poll is due or a command for it is queued.
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
                .task_due
                .wait_timeout(state, due_at - now)
                .expect("no thread panics while it holds the group's state lock");
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
        self.task_due.notify_all();
    }

    fn log_change(&self, state: &mut State, assessment: Assessment) {
        let current = LoggedState {
            primary: state.observer.primary().cloned(),
            assessment: Some(assessment),
        };
        if current == state.logged {
            return;
        }
        let primary = current.primary.as_ref().map(ServerId::as_str).unwrap_or_default();
        let term = state.observer.term();
        match assessment {
            Assessment::Healthy => {
                info!(self.logger, "primary of group is healthy"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
            Assessment::PrimaryUnseen => {
                warn!(self.logger, "primary of group not observed, failover may follow"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
            Assessment::Unclear => {
                debug!(self.logger, "reports do not suffice to assess primary of group"; "group" => %self.spec.name,
                    "primary" => primary, "term" => %term);
            }
        }
        state.logged = current;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the group's state lock")
    }
}

impl State {
    fn take_replaced(&mut self) -> Option<ServerId> {
        let primary = self.observer.primary()?;
        let replaced = self.last_primary.take().filter(|last| last != primary);
        self.last_primary = Some(primary.clone());
        replaced
    }

    fn begin_waiting(&mut self, awaited: &AwaitedServers, spec: &GroupSpec) {
        for (waiting, server) in self.waiting.iter_mut().zip(&spec.servers) {
            *waiting += usize::from(awaited.covers(&server.name));
        }
    }

    fn end_waiting(&mut self, awaited: &AwaitedServers, spec: &GroupSpec) {
        for (waiting, server) in self.waiting.iter_mut().zip(&spec.servers) {
            *waiting -= usize::from(awaited.covers(&server.name));
        }
    }

    fn poll_interval(&self, index: usize) -> Duration {
        if self.waiting[index] > 0 { AWAITED_POLL_INTERVAL } else { POLL_INTERVAL }
    }
}
