//! A caller's session through two instances, all in processes of their own.

use std::time::Duration;

use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};

const TIMEOUT: Duration = Duration::from_secs(10);

fn connect(deployment: &Deployment, instance: usize) -> PgClient {
    let address = deployment.addresses[instance].callers;
    let parameters = [("user", "ana"), ("database", DATABASE)];
    PgClient::connect(address, &parameters, TIMEOUT).unwrap()
}

#[test]
fn test_a_row_written_at_one_instance_is_read_at_the_other() {
    let deployment = Deployment::start("whole-path", DeploymentSettings::default()).unwrap();
    let mut writer = connect(&deployment, 0);
    let sql = "create table note (id integer primary key, text text)";
    assert_eq!(writer.query(sql).unwrap().error_code(), None);
    let insert = "insert into note values ($1, $2)";
    assert_eq!(writer.execute(insert, &[Some("1"), None]).unwrap().error_code(), None);

    let mut reader = connect(&deployment, 1);
    let answer = reader.query("select id, text from note").unwrap();
    assert_eq!(answer.rows(), [vec![Some("1".to_owned()), None]]);
}

#[test]
fn test_a_transaction_keeps_its_connection_and_others_see_nothing_of_it() {
    let deployment = Deployment::start("transaction", DeploymentSettings::default()).unwrap();
    let mut first = connect(&deployment, 0);
    first.query("create table note (id integer primary key)").unwrap();
    first.query("begin").unwrap();
    first.query("insert into note values (1)").unwrap();

    let mut second = connect(&deployment, 1);
    assert_eq!(second.query("select count(*) from note").unwrap().value(), Some("0"));
    assert_eq!(first.query("select count(*) from note").unwrap().value(), Some("1"));
    first.query("rollback").unwrap();
    assert_eq!(first.query("select count(*) from note").unwrap().value(), Some("0"));
}
