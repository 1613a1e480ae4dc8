//! The PostgreSQL protocol as callers use it, against separate processes.

use std::thread;
use std::time::Duration;

use masticreel_testutils::pg_client::{ClientError, PgClient, send_cancel};
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{Bind, Execute, Flush, Parse, Sync};

const CALLERS: usize = 6;

fn start(name: &str) -> Deployment {
    let deployment = Deployment::start(name, DeploymentSettings::default()).unwrap();
    let sql = "create table note (id integer primary key, text text)";
    let mut caller = deployment.connect(0).unwrap();
    assert_eq!(caller.query(sql).unwrap().error_code(), None);
    deployment
}

fn parse(name: &str, sql: &str) -> Message {
    Message::Parse(Parse::new(Some(name.to_owned()), sql.to_owned(), vec![]))
}

fn bind(name: &str) -> [Message; 2] {
    let bind = Bind::new(None, Some(name.to_owned()), vec![], vec![], vec![]);
    [Message::Bind(bind), Message::Execute(Execute::new(None, 0))]
}

fn run(caller: &mut PgClient, messages: Vec<Message>) -> (Option<String>, Option<String>) {
    caller.send(&messages).unwrap();
    caller.send(&[Message::Sync(Sync::new())]).unwrap();
    let answer = caller.read_answer().unwrap();
    (answer.value().map(str::to_owned), answer.error_code().map(str::to_owned))
}

#[test]
fn test_named_statements_belong_to_their_caller_only() {
    let deployment = start("named-statements");
    let mut callers: Vec<PgClient> =
        (0..CALLERS).map(|number| deployment.connect(number % 2).unwrap()).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        let result = run(caller, vec![parse("s", &format!("select {number}"))]);
        assert_eq!(result, (None, None));
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        let result = run(caller, bind("s").into());
        assert_eq!(result, (Some(number.to_string()), None));
    }
    let mut other = deployment.connect(0).unwrap();
    let (_, code) = run(&mut other, bind("s").into());
    assert_eq!(code.as_deref(), Some("26000"));
}

#[test]
fn test_settings_follow_their_caller_and_reach_no_other() {
    let deployment = start("settings");
    let mut first = deployment.connect(0).unwrap();
    first.query("set search_path to lab").unwrap();
    for _ in 0..CALLERS {
        let mut other = deployment.connect(0).unwrap();
        let answer = other.query("show search_path").unwrap();
        assert_ne!(answer.value(), Some("lab"));
        assert_eq!(first.query("show search_path").unwrap().value(), Some("lab"));
    }
    first.query("begin; set search_path to attic; rollback").unwrap();
    assert_eq!(first.query("show search_path").unwrap().value(), Some("lab"));
}

#[test]
fn test_temporary_tables_end_with_their_transaction() {
    let deployment = start("temporary");
    let mut first = deployment.connect(0).unwrap();
    let refused = first.query("create temp table scratch (id integer)").unwrap();
    assert_eq!(refused.error_code(), Some("0A000"));
    first.query("begin").unwrap();
    assert_eq!(first.query("create temp table scratch (id integer)").unwrap().error_code(), None);
    first.query("commit").unwrap();
    for _ in 0..CALLERS {
        let answer = first.query("select * from scratch").unwrap();
        assert_eq!(answer.error_code(), Some("42P01"));
    }
}

#[test]
fn test_pipelined_statements_stop_at_the_first_error() {
    let deployment = start("pipeline");
    let mut caller = deployment.connect(1).unwrap();
    let insert = "insert into note values ($1, 'x')";
    let answer = caller
        .pipeline(&[(insert, &[Some("1")]), (insert, &[Some("1")]), (insert, &[Some("2")])])
        .unwrap();
    assert_eq!(answer.error_code(), Some("23505"));
    assert_eq!(answer.status, Some('I'));
    let count = caller.query("select count(*) from note").unwrap();
    assert_eq!(count.value(), Some("0"), "statements before a Sync commit together");
}

#[test]
fn test_rows_of_a_megabyte_arrive_whole() {
    const ROW_BYTES: usize = 1_048_576;
    let deployment = start("large-rows");
    let mut caller = deployment.connect(0).unwrap();
    let text = "k".repeat(ROW_BYTES);
    let insert = "insert into note values (1, $1)";
    assert_eq!(caller.execute(insert, &[Some(&text)]).unwrap().error_code(), None);
    let mut other = deployment.connect(1).unwrap();
    let answer = other.query("select text from note").unwrap();
    assert_eq!(answer.value().map(str::len), Some(ROW_BYTES));
}

#[test]
fn test_a_cancelled_statement_ends_and_the_session_goes_on() {
    let deployment = start("cancel");
    let mut caller = deployment.connect(0).unwrap();
    let request = caller.cancel_request().unwrap();
    let address = deployment.addresses[0].callers;
    let sleeper = thread::spawn(move || {
        let answer = caller.query("select pg_sleep(30)").unwrap();
        (caller, answer)
    });
    while !sleeper.is_finished() {
        send_cancel(address, &request).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let (mut caller, answer) = sleeper.join().unwrap();
    assert_eq!(answer.error_code(), Some("57014"));
    assert_eq!(caller.query("select 7").unwrap().value(), Some("7"));
}

#[test]
fn test_what_is_not_supported_gets_an_error_and_no_hang() {
    let deployment = start("unsupported");
    let mut caller = deployment.connect(0).unwrap();
    for sql in ["copy note from stdin", "listen news", "prepare p as select 1"] {
        assert_eq!(caller.query(sql).unwrap().error_code(), Some("0A000"), "{sql}");
    }
    caller.send(&[parse("", "select 1"), Message::Flush(Flush::new())]).unwrap();
    caller.send(&[Message::Sync(Sync::new())]).unwrap();
    assert_eq!(caller.read_answer().unwrap().error_code(), Some("0A000"));
    assert_eq!(caller.query("select 2").unwrap().value(), Some("2"));
    assert_eq!(caller.query("").unwrap().error_code(), None);
}

#[test]
fn test_an_unknown_database_is_refused_at_the_start() {
    let deployment = start("unknown-database");
    let parameters = [("user", "ana"), ("database", "nowhere")];
    let address = deployment.addresses[0].callers;
    let refused = PgClient::connect(address, &parameters, Duration::from_secs(5));
    let Err(ClientError::Refused(error)) = refused else { panic!("the session is accepted") };
    assert_eq!(error.code, "3D000");
    assert_eq!(error.detail.as_deref(), Some("verdict=not_run kind=unknown_database"));
}

#[test]
fn test_statements_behind_a_lost_transaction_do_not_run_on_their_own() {
    let settings = DeploymentSettings {
        instance_settings: "\n[limits]\ntransaction_idle_timeout_ms = 50\n".to_owned(),
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start("lost-transaction", settings).unwrap();
    let mut caller = deployment.connect(0).unwrap();
    caller.query("create table note (id integer primary key)").unwrap();
    caller.query("begin").unwrap();
    caller.query("insert into note values (1)").unwrap();
    // The other caller's write waits for the lock that the rollback after the
    // idle timeout releases.
    let mut other = deployment.connect(1).unwrap();
    assert_eq!(other.query("insert into note values (9)").unwrap().error_code(), None);
    let first = caller.query("insert into note values (2)").unwrap();
    assert_eq!((first.error_code(), first.status), (Some("40001"), Some('E')));
    let second = caller.query("insert into note values (3)").unwrap();
    assert_eq!((second.error_code(), second.status), (Some("25P02"), Some('E')));
    let end = caller.query("commit").unwrap();
    assert_eq!((end.tag(), end.status), (Some("ROLLBACK"), Some('I')));
    assert_eq!(caller.query("select id from note").unwrap().value(), Some("9"));
}
