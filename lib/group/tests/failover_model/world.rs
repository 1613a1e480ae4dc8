//! The world of the failover model: two actors, three servers and a network.
//!
//! Each step of a schedule is one event, such as a poll or the delivery of one
//! message; messages may arrive in any order, be lost or be duplicated. `World`
//! records acknowledged writes and promotions and stops at the first violation
//! of an invariant: an acknowledged write that is missing in a later term or was
//! made at an old primary after its replacement, two primaries in one term, or a
//! view whose confirmed position or fresh server misses an acknowledged write.

use std::time::{Duration, Instant};

use masticreel_base::ids::{Incarnation, InstanceId, LogPosition, ServerId, Term};
use masticreel_base::position::TermPosition;
use masticreel_group::failover::Failover;
use masticreel_group::observer::{GroupObserver, PollReport};
use masticreel_group::promotion::{ServerCommand, ServerCommandKind, ServerCommandOutcome, follow};
use masticreel_group::server::{ClaimId, Role, ServerStatus};
use proptest::sample::Index;

use crate::server::{Entry, ModelServer};

const SERVERS: usize = 3;
const STEP: Duration = Duration::from_millis(10);

#[derive(Debug, Clone)]
pub enum Step {
    Poll(usize, usize),
    Write(usize),
    StartPromotion(usize),
    Tick(usize),
    Deliver(Index),
    Lose(Index),
    Duplicate(Index),
    Replicate(usize),
    Apply(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Acknowledge once a majority holds the write; promote the server of a fenced
    /// majority whose log reaches furthest.
    Majority,
    /// Acknowledge once the primary holds the write; promote the next server
    /// as soon as it alone is fenced.
    Naive,
}

#[derive(Debug, Clone)]
enum Message {
    PollRequest { actor: usize, server: usize, started_at: Instant },
    PollResponse { actor: usize, report: PollReport },
    Command { actor: usize, command: ServerCommand },
    Outcome { actor: usize, command: ServerCommand, outcome: ServerCommandOutcome },
}

/// One of the instances that poll the servers and may replace the primary.
struct Actor {
    observer: GroupObserver,
    failover: Failover,
    pending: Vec<Commit>,
    naive_claims: u64,
}

#[derive(Debug, Clone)]
struct Commit {
    position: TermPosition,
    entry: Entry,
    written_at: Instant,
}

#[derive(Debug, Clone)]
pub struct Acknowledged {
    position: TermPosition,
    entry: Entry,
    acknowledged_at: Instant,
}

pub struct Promoted {
    term: Term,
    server: usize,
    log: Vec<Entry>,
    promoted_at: Instant,
}

pub struct World {
    policy: Policy,
    servers: Vec<ModelServer>,
    actors: Vec<Actor>,
    network: Vec<Message>,
    entries: usize,
    now: Instant,
    pub acknowledged: Vec<Acknowledged>,
    pub promotions: Vec<Promoted>,
    pub violation: Option<String>,
}

fn name(server: usize) -> ServerId {
    format!("s{server}").into()
}

fn index(server: &ServerId) -> usize {
    server.as_str()[1..].parse().expect("server names come from `name`")
}

impl World {
    pub fn new(policy: Policy) -> Self {
        let now = Instant::now();
        let roles = [Role::Primary, Role::Replica, Role::Replica];
        Self {
            policy,
            servers: roles.map(ModelServer::new).into(),
            actors: (0..2).map(|actor| Actor::new(actor, now)).collect(),
            network: Vec::new(),
            entries: 0,
            now,
            acknowledged: Vec::new(),
            promotions: Vec::new(),
            violation: None,
        }
    }

    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.now += STEP;
            self.step(step);
            if self.violation.is_some() {
                return;
            }
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Poll(actor, server) => {
                let message =
                    Message::PollRequest { actor: *actor, server: *server, started_at: self.now };
                self.network.push(message);
            }
            Step::Write(actor) => self.write(*actor),
            Step::StartPromotion(actor) => self.start_promotion(*actor),
            Step::Tick(actor) => {
                let state = &mut self.actors[*actor];
                let commands = state.failover.tick(&state.observer, Some(0), self.now);
                self.send(*actor, commands);
            }
            Step::Deliver(which) if !self.network.is_empty() => {
                let message = self.network.swap_remove(which.index(self.network.len()));
                self.deliver(message);
            }
            Step::Lose(which) if !self.network.is_empty() => {
                let message = self.network.swap_remove(which.index(self.network.len()));
                self.lose(message);
            }
            Step::Duplicate(which) if !self.network.is_empty() => {
                let message = self.network[which.index(self.network.len())].clone();
                self.network.push(message);
            }
            Step::Replicate(server) => self.replicate(*server),
            Step::Apply(server) => self.servers[*server].apply(),
            Step::Deliver(_) | Step::Lose(_) | Step::Duplicate(_) => {}
        }
    }

    fn send(&mut self, actor: usize, commands: Vec<ServerCommand>) {
        self.network
            .extend(commands.into_iter().map(|command| Message::Command { actor, command }));
    }

    fn write(&mut self, actor: usize) {
        let Some(primary) = self.actors[actor].observer.primary().map(index) else {
            return;
        };
        self.entries += 1;
        let Some(position) = self.servers[primary].write(self.entries) else {
            return;
        };
        let term = self.servers[primary].term;
        let commit = Commit {
            position: TermPosition::new(term, LogPosition(position as u64)),
            entry: Entry { term, number: self.entries },
            written_at: self.now,
        };
        match self.policy {
            Policy::Majority => self.actors[actor].pending.push(commit),
            Policy::Naive => self.acknowledge(commit),
        }
    }

    fn start_promotion(&mut self, actor: usize) {
        let state = &mut self.actors[actor];
        let commands = match self.policy {
            Policy::Majority => state.failover.start_attempt(&state.observer, self.now),
            Policy::Naive => state.start_naive_promotion(actor),
        };
        self.send(actor, commands);
    }

    fn replicate(&mut self, server: usize) {
        let term = self.servers[server].term;
        let primary = (0..SERVERS).find(|other| {
            let candidate = &self.servers[*other];
            candidate.role == Role::Primary && candidate.term == term
        });
        if let Some(primary) = primary {
            let source = self.servers[primary].clone();
            self.servers[server].copy_from(&source);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::PollRequest { actor, server, started_at } => {
                let status = Some(self.servers[server].status());
                let report = PollReport { server: name(server), started_at, status };
                self.network.push(Message::PollResponse { actor, report });
            }
            Message::PollResponse { actor, report } => self.receive_report(actor, report),
            Message::Command { actor, command } => self.apply_command(actor, command),
            Message::Outcome { actor, command, outcome } => self.complete(actor, command, outcome),
        }
    }

    /// Drops a message. A lost request or command outcome ends as a timeout at the
    /// actor; a lost poll response has no further effect.
    fn lose(&mut self, message: Message) {
        match message {
            Message::PollRequest { actor, server, started_at } => {
                let report = PollReport { server: name(server), started_at, status: None };
                self.receive_report(actor, report);
            }
            Message::Command { actor, command } | Message::Outcome { actor, command, .. } => {
                self.complete(actor, command, ServerCommandOutcome::Lost);
            }
            Message::PollResponse { .. } => {}
        }
    }

    fn apply_command(&mut self, actor: usize, command: ServerCommand) {
        let server = index(&command.server);
        let outcome = self.servers[server].execute(&command.kind);
        let promoted = matches!(command.kind, ServerCommandKind::Promote { .. });
        if promoted && matches!(outcome, ServerCommandOutcome::Done(_)) {
            self.record_promotion(server);
        }
        self.network.push(Message::Outcome { actor, command, outcome });
    }

    fn complete(&mut self, actor: usize, command: ServerCommand, outcome: ServerCommandOutcome) {
        let commands = match self.policy {
            Policy::Majority => self.actors[actor].failover.on_outcome(&command, outcome, self.now),
            Policy::Naive => after_naive_command(&command, &outcome),
        };
        self.send(actor, commands);
    }

    fn receive_report(&mut self, actor: usize, report: PollReport) {
        let state = &mut self.actors[actor];
        state.observer.record(report.clone());
        let commands = match &report.status {
            Some(status) => state.failover.on_status(&report.server, status),
            None => Vec::new(),
        };
        let pending = std::mem::take(&mut state.pending);
        let (durable, pending): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|commit| state.observer.is_on_majority(commit.position));
        state.pending = pending;
        self.send(actor, commands);
        for commit in durable {
            self.acknowledge(commit);
        }
        self.check_view(actor);
    }

    fn acknowledge(&mut self, commit: Commit) {
        let Commit { position, entry, written_at } = commit;
        let acknowledged = Acknowledged { position, entry, acknowledged_at: self.now };
        for promoted in self.promotions.iter().filter(|other| other.term > position.term) {
            if !contains(&promoted.log, &acknowledged) {
                self.violation = Some(format!(
                    "acknowledged write {position} is missing in term {}",
                    promoted.term
                ));
            }
            if promoted.promoted_at < written_at {
                self.violation =
                    Some(format!("write {position} was acknowledged by an old primary"));
            }
        }
        self.acknowledged.push(acknowledged);
    }

    fn record_promotion(&mut self, server: usize) {
        let ModelServer { term, log, .. } = self.servers[server].clone();
        if self.promotions.iter().any(|other| other.term == term && other.server != server) {
            self.violation = Some(format!("two primaries in term {term}"));
        }
        let older = self.acknowledged.iter().filter(|write| write.position.term < term);
        for lost in older.filter(|write| !contains(&log, write)) {
            self.violation = Some(format!("term {term} lost acknowledged write {}", lost.position));
        }
        self.promotions.push(Promoted { term, server, log, promoted_at: self.now });
    }

    /// Checks an actor's view against the actual state of the servers.
    fn check_view(&mut self, actor: usize) {
        if self.policy == Policy::Naive {
            return;
        }
        let view = self.actors[actor].observer.view();
        for write in &self.acknowledged {
            let outdated = |confirmed: TermPosition| {
                confirmed.term < write.position.term || confirmed.position < write.position.position
            };
            if view.position_covering(write.acknowledged_at).is_some_and(outdated) {
                self.violation =
                    Some(format!("the confirmed position does not cover write {}", write.position));
            }
            for server in &view.servers {
                let actual = &self.servers[index(&server.server)];
                let current = server.readable.is_some_and(|seen| seen.term == actual.term);
                let visible = contains(&actual.log[..actual.applied], write);
                let fresh = server.fresh_as_of.is_some_and(|as_of| as_of >= write.acknowledged_at);
                if current && !visible && (fresh || server.covers(write.position)) {
                    self.violation = Some(format!(
                        "write {} is not visible on {}",
                        write.position, server.server
                    ));
                }
            }
        }
    }
}

fn contains(log: &[Entry], acknowledged: &Acknowledged) -> bool {
    let position = acknowledged.position.position.0 as usize;
    log.get(position - 1) == Some(&acknowledged.entry)
}

impl Actor {
    fn new(actor: usize, now: Instant) -> Self {
        let mut observer = GroupObserver::new((0..SERVERS).map(name), now);
        let status = ModelServer::new(Role::Primary).status();
        observer.record(PollReport { server: name(0), started_at: now, status: Some(status) });
        let instance = InstanceId::from(format!("a{actor}"));
        let failover = Failover::new(instance, Incarnation(1));
        Self { observer, failover, pending: Vec::new(), naive_claims: 0 }
    }

    fn start_naive_promotion(&mut self, actor: usize) -> Vec<ServerCommand> {
        let primary = self.observer.primary().map(index).unwrap_or_default();
        let server = name((primary + 1) % SERVERS);
        self.naive_claims += 1;
        let claim = ClaimId(format!("a{actor}.{}", self.naive_claims).into());
        vec![ServerCommand {
            server,
            kind: ServerCommandKind::Fence { term: self.observer.term().next(), claim },
        }]
    }
}

/// Returns the next commands of the naive policy, which promotes the one server
/// that it fenced and makes the others follow it.
fn after_naive_command(
    command: &ServerCommand,
    outcome: &ServerCommandOutcome,
) -> Vec<ServerCommand> {
    let ServerCommandOutcome::Done(ServerStatus { term, .. }) = outcome else {
        return Vec::new();
    };
    match &command.kind {
        ServerCommandKind::Fence { term, claim } => {
            let kind = ServerCommandKind::Promote { term: *term, claim: claim.clone() };
            vec![ServerCommand { server: command.server.clone(), kind }]
        }
        ServerCommandKind::Promote { .. } => {
            let others = (0..SERVERS).map(name).filter(|other| *other != command.server);
            others.map(|other| follow(&other, *term, &command.server)).collect()
        }
        ServerCommandKind::Follow { .. } => Vec::new(),
    }
}
