//! Tests of reads in sessions that have commits in several groups, as the configuration leads
//! their database to another group and back.

mod support;

use std::time::Duration;

use masticreel_base::ids::GroupId;
use masticreel_base::position::TermPosition;
use masticreel_proxy::caller::CallerId;
use masticreel_proxy::caller::own_commits::{MAX_GROUPS, OwnCommits};
use masticreel_proxy::connections::ConnectionId;
use masticreel_proxy::directory::Consistency;
use masticreel_proxy::engine::{Engine, Loss};
use masticreel_proxy::protocol::UpstreamMessage;
use masticreel_proxy::statement::{
    Access, Command, Failure, PreparedStatement, Role, SessionState, Statement,
};
use support::*;

/// The session whose reads are tested.
const SESSION: CallerId = CallerId(1);
/// A session through whose commits positions of the primary are known.
const OTHER: CallerId = CallerId(2);
/// Longer than the tests, so that only the session's own commits require recent data.
const AGE: Duration = Duration::from_secs(60);

type Request = Result<Statement, Failure>;

/// Two groups, of which the database is led to the first one.
struct Groups {
    fixture: Fixture,
    engine: Engine,
}

impl Groups {
    fn start() -> Self {
        let mut fixture = Fixture::serving();
        fixture.put_document(Consistency::OwnWrites(AGE));
        fixture.refresh();
        let mut engine = engine();
        engine.group_changed(fixture.context(), &group());
        for id in [SESSION, OTHER] {
            engine.open_session(fixture.context(), id, "db".into(), None).expect("it exists");
        }
        let mut groups = Self { fixture, engine };
        groups.add_group("archive", "s4");
        groups.commit(OTHER, write("sample"), Some(position(1, 5)));
        // Opens a connection to a replica, where reads of sessions without own commits run.
        groups.commit(OTHER, read("a"), Some(position(1, 5)));
        groups
    }

    fn add_group(&mut self, name: &str, primary: &str) {
        self.fixture.group = name.into();
        self.fixture.put_server(primary, Role::Primary, false);
        self.fixture.put_record(1, masticreel_proxy::records::Phase::Serving, primary);
        self.lead_to(group().as_str());
    }

    /// Leads the database to a group.
    fn lead_to(&mut self, name: &str) {
        self.fixture.group = name.into();
        self.fixture.put_document(Consistency::OwnWrites(AGE));
        self.fixture.refresh();
        self.engine.group_changed(self.fixture.context(), &GroupId::from(name));
    }

    /// Sends a request, and accepts what is opened for it until it runs.
    fn send(&mut self, id: CallerId, request: Request) -> (ConnectionId, Option<TermPosition>) {
        self.fixture.advance(ms(1));
        self.fixture.refresh();
        self.engine.request(self.fixture.context(), id, "t".into(), request);
        let mut run = None;
        for _ in 0..8 {
            let actions = take_engine_actions(&mut self.engine);
            for (connection, _) in actions.connects {
                self.end_answer(connection, SessionState::Idle);
            }
            for (connection, command) in actions.sent {
                match command {
                    Command::Run { floor, .. } => run = Some((connection, floor)),
                    Command::Status => self.end_answer(connection, SessionState::Idle),
                    // A command that sets the connection up.
                    _ => self.end_answer(connection, SessionState::Transaction),
                }
            }
        }
        run.expect("the request is sent")
    }

    fn end_answer(&mut self, connection: ConnectionId, state: SessionState) {
        ready(&self.fixture, &mut self.engine, connection, state, None);
    }

    /// Sends a statement of the session that no server is needed for.
    fn answer_locally(&mut self, statement: Statement) {
        self.engine.request(self.fixture.context(), SESSION, "t".into(), Ok(statement));
        assert!(take_engine_actions(&mut self.engine).sent.is_empty());
    }

    fn commit(&mut self, id: CallerId, request: Request, at: Option<TermPosition>) {
        let (connection, _) = self.send(id, request);
        let idle = SessionState::Idle;
        let answers = complete(&self.fixture, &mut self.engine, connection, idle, at).answers;
        assert!(answers[0].1.outcome.is_ok(), "{answers:?}");
    }

    /// Returns the minimum position that a read of the session carries; none if it was sent to
    /// the primary.
    fn floor_of_read(&mut self, statement: Request) -> Option<TermPosition> {
        let (connection, floor) = self.send(SESSION, statement);
        let idle = SessionState::Idle;
        complete(&self.fixture, &mut self.engine, connection, idle, Some(position(1, 9)));
        floor
    }
}

/// Guards against a session's own commit that is forgotten when the session commits in other
/// groups, so that a replica without it answers the session's reads: with single statements,
/// prepared ones and transactions.
#[test]
fn test_read_sees_the_own_commit_after_ones_in_other_groups() {
    for (is_prepared, is_transaction) in [(false, false), (true, false), (false, true)] {
        let mut groups = Groups::start();
        groups.add_group("third", "s5");
        let (mut read, mut write) = (read("a"), write("a"));
        if is_prepared {
            for (name, access) in [("r", Access::Read), ("w", Access::Write)] {
                let shape = PreparedStatement { access, text: "x".into() };
                groups.answer_locally(Statement::Prepare { name: name.into(), shape });
            }
            let execute =
                |name: &str| Statement::Execute { name: name.into(), arguments: "a".into() };
            (read, write) = (Ok(execute("r")), Ok(execute("w")));
        }
        if is_transaction {
            groups.answer_locally(Statement::Begin { read_only: false });
            let (connection, _) = groups.send(SESSION, write.clone());
            let in_transaction = SessionState::Transaction;
            complete(&groups.fixture, &mut groups.engine, connection, in_transaction, None);
            groups.commit(SESSION, Ok(Statement::Commit), Some(position(1, 9)));
        } else {
            groups.commit(SESSION, write.clone(), Some(position(1, 9)));
        }
        assert_eq!(groups.floor_of_read(read.clone()), Some(position(1, 9)));
        for name in ["archive", "third"] {
            groups.lead_to(name);
            groups.commit(SESSION, write.clone(), Some(position(1, 2)));
        }
        groups.lead_to(group().as_str());
        assert_eq!(groups.floor_of_read(read), Some(position(1, 9)));
    }
}

/// Guards against a commit without a known position, of which only the primary is certain to
/// have it, that an earlier position stands for.
#[test]
fn test_read_after_a_commit_without_a_position_runs_at_the_primary() {
    for is_cut_off in [true, false] {
        let mut groups = Groups::start();
        groups.commit(SESSION, write("a"), Some(position(1, 6)));
        if is_cut_off {
            let (connection, _) = groups.send(SESSION, write("a"));
            let result = UpstreamMessage::Complete(Some("signature".into()));
            groups.engine.upstream_message(groups.fixture.context(), connection, result, None);
            groups.engine.connection_lost(groups.fixture.context(), connection, Loss::Closed);
            take_engine_actions(&mut groups.engine);
        } else {
            groups.commit(SESSION, write("a"), None);
        }
        groups.lead_to("archive");
        groups.commit(SESSION, write("a"), Some(position(1, 1)));
        groups.lead_to(group().as_str());
        let floor = groups.floor_of_read(read("a"));
        let is_at_primary = floor.is_none_or(|floor| floor > position(1 << 60, 0));
        assert!(is_at_primary, "cut off: {is_cut_off}; a replica may reach {floor:?}");
    }
}

/// Guards against memory that grows with the groups of a session, and against replicas that
/// answer reads in a group which was forgotten.
#[test]
fn test_own_commits_are_kept_for_a_bounded_number_of_groups() {
    let name = |index: usize| GroupId::from(format!("g{index}").as_str());
    let mut commits = OwnCommits::default();
    assert_eq!(commits.in_group(&name(0)), None);
    for index in 0..MAX_GROUPS {
        commits.record(name(index), Some(position(1, index as u64)));
    }
    commits.record(name(0), Some(position(2, 0)));
    assert_eq!(commits.in_group(&name(MAX_GROUPS)), None, "no commit there");
    commits.record(name(MAX_GROUPS), Some(position(1, 1)));
    assert_eq!(commits.in_group(&name(0)), Some(position(2, 0)));
    assert_eq!(commits.in_group(&name(2)), Some(position(1, 2)));
    let forgotten = commits.in_group(&name(1)).expect("the oldest one was forgotten");
    assert!(forgotten > position(1 << 60, 0), "no replica reaches {forgotten}");
    commits.record(name(1), Some(position(3, 0)));
    assert_eq!(commits.in_group(&name(1)), Some(position(3, 0)));
}
