//! Tests which server is promoted, by the commits that the servers have: mostly in a group
//! whose commits are acknowledged once a replica has received them.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use masticreel_proxy::coordinator::{
    ControlFailure, ControlRequest, Coordinator, CoordinatorAction as Action,
};
use masticreel_proxy::moment::Moment;
use masticreel_proxy::protocol::PromoterAnswer;
use masticreel_proxy::records::Phase;
use masticreel_proxy::statement::{Command, Role, ServerStatus};
use masticreel_proxy::store_view::MISSING_SERVER_RETENTION;
use support::{Fixture, coordinator, group, ms, position, tick_with_store};

/// How a server answers the coordinator.
#[derive(Debug, Clone, Copy)]
enum Server {
    /// With the last position that it has received.
    Received(u64),
    /// With a refused connection.
    Refusing,
    /// Not at all.
    Silent,
}

/// A group of `s1`, the primary, and replicas, with one instance, the active coordinator.
struct Deployment {
    fixture: Fixture,
    coordinator: Coordinator,
    servers: BTreeMap<String, Server>,
    /// Servers that lead.
    leading: Vec<String>,
    /// The term of the primary.
    term: u64,
}

impl Deployment {
    fn start(servers: &[(&str, Server)]) -> Self {
        Self::start_with_sync_replicas(1, servers)
    }

    fn start_with_sync_replicas(sync_replicas: usize, servers: &[(&str, Server)]) -> Self {
        let mut fixture = Fixture::serving_with_sync_replicas(sync_replicas);
        fixture.make_coordinator();
        fixture.refresh();
        let mut deployment = Self {
            fixture,
            coordinator: coordinator(),
            servers: servers.iter().map(|(id, server)| ((*id).to_owned(), *server)).collect(),
            leading: vec!["s1".to_owned()],
            term: 1,
        };
        // Longer than a new coordinator waits before its first request.
        deployment.promotions_within(ms(4000));
        deployment
    }

    fn set(&mut self, id: &str, server: Server) {
        self.servers.insert(id.to_owned(), server);
    }

    /// Lets the coordinator find that the primary, whose entry is removed, has to be replaced.
    fn lose_primary(&mut self) {
        self.lose("s1");
    }

    fn lose(&mut self, id: &str) {
        self.fixture.remove(&format!("server/{id}"));
        self.fixture.refresh();
        self.set(id, Server::Refusing);
    }

    /// Lets a promotion take effect, and waits until the new primary may be used.
    fn complete_promotion(&mut self, id: &str) {
        self.leading = vec![id.to_owned()];
        self.term += 1;
        assert_eq!(self.promotions_within(ms(1000)), Vec::<String>::new());
        let record = self.fixture.view.group(&group()).expect("the group has a record");
        assert_eq!((record.primary.as_str(), record.phase), (id, Phase::Serving));
    }

    fn answer(&mut self, request: &ControlRequest) {
        let id = request.server.as_str();
        let result = match self.servers.get(id) {
            None | Some(Server::Refusing) => Err(ControlFailure::Refused),
            Some(Server::Silent) => Err(ControlFailure::Silent),
            Some(Server::Received(number)) => {
                if matches!(request.command, Command::StepDown { .. }) {
                    self.leading.retain(|leading| leading != id);
                }
                let leads = self.leading.iter().any(|leading| leading == id);
                let role = if leads { Role::Primary } else { Role::Replica };
                let term = position(if leads { self.term } else { 1 }, 0).term;
                Ok(ServerStatus { role, term, received: position(1, *number) })
            }
        };
        self.coordinator.control_answered(self.fixture.now, request, result);
    }

    /// Runs until a promotion is requested or the time has passed, and returns the servers
    /// whose promotion was requested.
    fn promotions_within(&mut self, time: Duration) -> Vec<String> {
        let end = self.fixture.now + time;
        let mut promoted = Vec::new();
        while self.fixture.now < end && promoted.is_empty() {
            for action in tick_with_store(&mut self.fixture, &mut self.coordinator) {
                match action {
                    Action::Control(request) => self.answer(&request),
                    Action::Promote(request) => {
                        promoted.push(request.server.to_string());
                        let accepted = Some(PromoterAnswer::Accepted);
                        self.coordinator.promoter_answered(self.fixture.now, &request, accepted);
                    }
                    Action::Store(..) | Action::SendToPeer(..) => {}
                }
            }
            // The instance has no work at the primary.
            let record = self.fixture.view.group(&group());
            if let Some(record) = record.filter(|record| record.phase == Phase::Changing) {
                let epoch = record.epoch;
                self.coordinator.work_done(self.fixture.now, &group(), epoch);
            }
            self.fixture.advance(ms(20));
            self.fixture.refresh();
        }
        promoted
    }
}

/// Guards against the loss of acknowledged commits that only a replica has which is shutting
/// down: the other replica, which lacked them, was promoted (`review/1`).
#[test]
fn test_leaving_replica_is_promoted_if_the_other_one_lacks_acknowledged_commits() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.put_server("s2", Role::Replica, true);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), ["s2"]);
}

#[test]
fn test_staying_replica_is_preferred_to_a_leaving_one_with_the_same_commits() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Received(9)),
    ]);
    deployment.fixture.put_server("s2", Role::Replica, true);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), ["s3"]);
}

/// Guards against a promotion while a server that may have more commits does not answer.
#[test]
fn test_replica_is_not_promoted_while_another_one_may_have_more_commits() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Silent),
        ("s3", Server::Received(7)),
    ]);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(10_000)), Vec::<String>::new());
    deployment.set("s2", Server::Received(9));
    assert_eq!(deployment.promotions_within(ms(2000)), ["s2"]);
}

/// Guards against counting on two replicas with each commit: servers with `sync_replicas` 2
/// were seen that acknowledged commits once one replica had received them.
#[test]
fn test_one_replica_that_does_not_answer_counts_whatever_the_number_of_replicas() {
    let servers =
        [("s1", Server::Received(9)), ("s2", Server::Silent), ("s3", Server::Received(7))];
    let mut deployment = Deployment::start_with_sync_replicas(2, &servers);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), Vec::<String>::new());
}

/// Guards against a promotion that forgets a replica because its entry has expired.
#[test]
fn test_crashed_replica_counts_after_its_entry_was_removed() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Refusing),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(10_000)), Vec::<String>::new());
    deployment.set("s1", Server::Received(9));
    deployment.fixture.put_server("s1", Role::Primary, false);
    deployment.fixture.refresh();
    assert_eq!(deployment.promotions_within(ms(2000)), ["s1"]);
}

/// A crashed server may come back with its log under another id.
#[test]
fn test_crashed_replica_is_not_waited_for_once_it_is_back_under_another_id() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Refusing),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(5000)), Vec::<String>::new());
    deployment.set("s4", Server::Received(9));
    deployment.fixture.put_server_at(2, "s4", Role::Replica, false);
    deployment.fixture.refresh();
    assert_eq!(deployment.promotions_within(ms(2000)), ["s4"]);
}

/// A replica that was removed for good must not prevent the replacement of a primary forever.
#[test]
fn test_replica_without_an_entry_is_waited_for_only_for_a_time() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Refusing),
        ("s3", Server::Received(9)),
    ]);
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.promotions_within(MISSING_SERVER_RETENTION);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), ["s3"]);
}

/// Guards against a choice by what a replica had received while the old primary could still
/// acknowledge commits.
#[test]
fn test_status_from_before_the_end_of_work_at_the_old_primary_does_not_count() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(7)),
        ("s2", Server::Received(7)),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.put_member("proxy-2", 1);
    deployment.fixture.refresh();
    deployment.lose_primary();
    // The statuses are known, and a member still uses the primary.
    assert_eq!(deployment.promotions_within(ms(3500)), Vec::<String>::new());
    // It has a commit acknowledged that only one replica received, which is silent now.
    deployment.set("s2", Server::Silent);
    let epoch = deployment.fixture.view.group(&group()).map_or(0, |record| record.epoch);
    deployment.fixture.confirm_stop("proxy-2", 1, epoch);
    deployment.fixture.refresh();
    assert_eq!(deployment.promotions_within(ms(5000)), Vec::<String>::new());
    deployment.set("s2", Server::Received(9));
    assert_eq!(deployment.promotions_within(ms(2000)), ["s2"]);
}

/// Guards against the loss of what only an old primary has that is shutting down itself.
#[test]
fn test_leaving_primary_leads_again_if_no_replica_has_its_commits() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Silent),
        ("s3", Server::Received(7)),
    ]);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(4000)), Vec::<String>::new());
    deployment.set("s1", Server::Received(9));
    deployment.fixture.put_server("s1", Role::Primary, true);
    deployment.fixture.refresh();
    assert_eq!(deployment.promotions_within(ms(2000)), ["s1"]);
}

/// Guards against replacing a leaving primary again and again while it alone has all commits.
#[test]
fn test_leaving_primary_serves_until_a_replica_has_caught_up() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Silent),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.put_server("s1", Role::Primary, true);
    deployment.fixture.refresh();
    assert_eq!(deployment.promotions_within(ms(5000)), Vec::<String>::new());
    let phase = deployment.fixture.view.group(&group()).map(|record| record.phase);
    assert_eq!(phase, Some(Phase::Serving), "it still serves");
    deployment.set("s3", Server::Received(9));
    assert_eq!(deployment.promotions_within(ms(2000)), ["s3"]);
}

/// Guards against more and more commands to a server that is slow to answer them.
#[test]
fn test_servers_are_not_queried_all_the_time_while_a_primary_is_leaving() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Silent),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.put_server("s1", Role::Primary, true);
    deployment.fixture.refresh();
    let mut queries = 0;
    for _ in 0..100 {
        for action in tick_with_store(&mut deployment.fixture, &mut deployment.coordinator) {
            if let Action::Control(request) = action {
                queries += 1;
                deployment.answer(&request);
            }
        }
        deployment.fixture.advance(ms(20));
        deployment.fixture.refresh();
    }
    assert!((3..=15).contains(&queries), "{queries} queries to three servers in 2 s");
}

/// Guards against the loss of commits that a server has taken with it that left before any
/// other replica had caught up.
#[test]
fn test_server_that_has_left_counts_until_a_replica_has_caught_up() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Received(7)),
    ]);
    deployment.fixture.put_server("s2", Role::Replica, true);
    deployment.fixture.refresh();
    deployment.promotions_within(ms(500));
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.set("s2", Server::Refusing);
    deployment.promotions_within(ms(500));
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), Vec::<String>::new());
}

#[test]
fn test_server_that_has_left_does_not_count_once_a_replica_has_caught_up() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Received(9)),
    ]);
    deployment.fixture.put_server("s2", Role::Replica, true);
    deployment.fixture.refresh();
    deployment.promotions_within(ms(500));
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.set("s2", Server::Refusing);
    deployment.promotions_within(ms(500));
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), ["s3"]);
}

/// Guards against a choice that forgets what a server has answered that left afterwards.
#[test]
fn test_answer_of_a_server_counts_after_it_has_left() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Silent),
    ]);
    deployment.fixture.put_server("s2", Role::Replica, true);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(4000)), Vec::<String>::new());
    deployment.fixture.remove("server/s2");
    deployment.fixture.refresh();
    deployment.set("s2", Server::Refusing);
    deployment.set("s3", Server::Received(7));
    assert_eq!(deployment.promotions_within(ms(4000)), Vec::<String>::new());
}

/// An answer to a query that was sent earlier, and took longer, says less than a later one.
#[test]
fn test_late_answer_does_not_replace_the_answer_to_a_later_query() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(9)),
        ("s3", Server::Silent),
    ]);
    deployment.lose_primary();
    assert_eq!(deployment.promotions_within(ms(6000)), Vec::<String>::new());
    let late = ControlRequest {
        sent_at: Moment::default(),
        ..support::status_request("s3", deployment.fixture.now)
    };
    let status =
        ServerStatus { role: Role::Replica, term: position(1, 0).term, received: position(1, 7) };
    deployment.coordinator.control_answered(deployment.fixture.now, &late, Ok(status));
    assert_eq!(deployment.promotions_within(ms(300)), Vec::<String>::new());
    deployment.set("s3", Server::Received(8));
    assert_eq!(deployment.promotions_within(ms(2000)), ["s2"]);
}

/// Guards against commits that are part of the log again after reads have missed them
/// (`review/2`): the old primary, which had them alone, was promoted when the new one failed.
#[test]
fn test_server_with_discarded_commits_is_not_promoted() {
    let servers =
        [("s1", Server::Received(9)), ("s2", Server::Received(7)), ("s3", Server::Received(6))];
    let mut deployment = Deployment::start_with_sync_replicas(0, &servers);
    deployment.lose("s1");
    assert_eq!(deployment.promotions_within(ms(6000)), ["s2"]);
    deployment.complete_promotion("s2");
    // The old primary is back, and the new one fails before it has reached it.
    deployment.set("s4", Server::Received(9));
    deployment.fixture.put_server_at(1, "s4", Role::Replica, false);
    deployment.lose("s2");
    assert_eq!(deployment.promotions_within(ms(6000)), ["s3"]);
}

/// A group must get a primary in the end, also if only such a server is left.
#[test]
fn test_server_with_discarded_commits_is_promoted_if_no_other_comes_back() {
    let servers =
        [("s1", Server::Received(9)), ("s2", Server::Received(7)), ("s3", Server::Refusing)];
    let mut deployment = Deployment::start_with_sync_replicas(0, &servers);
    deployment.lose("s1");
    assert_eq!(deployment.promotions_within(ms(6000)), ["s2"]);
    deployment.complete_promotion("s2");
    deployment.set("s4", Server::Received(9));
    deployment.fixture.put_server_at(1, "s4", Role::Replica, false);
    deployment.lose("s2");
    assert_eq!(deployment.promotions_within(ms(10_000)), Vec::<String>::new());
    assert_eq!(deployment.promotions_within(ms(10_000)), ["s4"]);
}

/// Guards against the loss of acknowledged commits that only a replica has which the
/// coordinator has not seen yet: its list of servers was taken for complete once all primary
/// leases had expired.
#[test]
fn test_replica_that_an_old_view_lacks_may_have_the_only_copy_of_a_commit() {
    let mut deployment = Deployment::start(&[
        ("s1", Server::Received(9)),
        ("s2", Server::Received(7)),
        ("s3", Server::Received(7)),
    ]);
    deployment.lose_primary();
    deployment.fixture.put_server("s4", Role::Replica, false);
    deployment.set("s4", Server::Received(9));
    deployment.fixture.is_cut_off = true;
    assert_eq!(deployment.promotions_within(ms(30_000)), Vec::<String>::new());
    deployment.fixture.is_cut_off = false;
    assert_eq!(deployment.promotions_within(ms(3000)), ["s4"]);
}
