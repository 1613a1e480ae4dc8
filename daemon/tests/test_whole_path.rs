//! Sessions through two instances, all in separate processes.

use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};

#[test]
fn test_a_row_written_at_one_instance_is_read_at_the_other() {
    let deployment = Deployment::start("whole-path", DeploymentSettings::default()).unwrap();
    let mut writer = deployment.connect(0).unwrap();
    let sql = "create table note (id integer primary key, text text)";
    assert_eq!(writer.query(sql).unwrap().error_code(), None);
    let insert = "insert into note values ($1, $2)";
    assert_eq!(writer.execute(insert, &[Some("1"), None]).unwrap().error_code(), None);

    let mut reader = deployment.connect(1).unwrap();
    let answer = reader.query("select id, text from note").unwrap();
    assert_eq!(answer.rows(), [vec![Some("1".to_owned()), None]]);
}

#[test]
fn test_a_transaction_keeps_its_connection_and_others_see_nothing_of_it() {
    let deployment = Deployment::start("transaction", DeploymentSettings::default()).unwrap();
    let mut first = deployment.connect(0).unwrap();
    first.query("create table note (id integer primary key)").unwrap();
    first.query("begin").unwrap();
    first.query("insert into note values (1)").unwrap();

    let mut second = deployment.connect(1).unwrap();
    assert_eq!(second.query("select count(*) from note").unwrap().value(), Some("0"));
    assert_eq!(first.query("select count(*) from note").unwrap().value(), Some("1"));
    first.query("rollback").unwrap();
    assert_eq!(first.query("select count(*) from note").unwrap().value(), Some("0"));
}
