//! The SQL functions by which masticreel reads and changes the server's role in
//! its group.

use std::net::SocketAddr;
use std::str::FromStr;

use masticreel_base::ids::Term;
use rusqlite::types::Value;

use crate::upstream::error::{SqlError, codes};
use crate::upstream::group::Status;
use crate::upstream::result::{Column, ResultSet};
use crate::upstream::server::ServerState;
use crate::upstream::value::ColumnType;

/// Runs one of the functions.
///
/// # Errors
///
/// Fails with 55000 when the server's state does not allow the command, with
/// 42883 when there is no such function, and with 22P02 when an argument can't
/// be parsed.
pub fn call(server: &ServerState, name: &str, arguments: &[String]) -> Result<ResultSet, SqlError> {
    let membership = &server.membership;
    let status = match (name, arguments) {
        ("group_running", []) => return Ok(running_statements(server)),
        ("group_status", []) => membership.lock().status(),
        ("group_fence", [term, claim]) => {
            let status = membership.fence(parse_term(term)?, claim)?;
            // A fence that is retried after the promotion changes nothing, and the
            // primary keeps its transactions.
            if status.role != "primary" {
                server.write_lock.revoke();
            }
            status
        }
        ("group_promote", [term, claim]) => membership.promote(parse_term(term)?, claim)?,
        ("group_follow", [term, primary]) => {
            let status = membership.follow(parse_term(term)?, parse::<SocketAddr>(primary)?)?;
            server.write_lock.revoke();
            status
        }
        _ => {
            let message = format!("function {name} with {} arguments", arguments.len());
            return Err(SqlError::new(codes::UNKNOWN_FUNCTION, message + " does not exist"));
        }
    };
    Ok(row(&status))
}

/// Returns the columns of all functions but `group_running`.
pub fn columns() -> Vec<Column> {
    vec![
        Column::new("term", ColumnType::Int8),
        Column::new("role", ColumnType::Text),
        Column::new("log_term", ColumnType::Int8),
        Column::new("durable", ColumnType::Int8),
        Column::new("applied", ColumnType::Int8),
        Column::new("primary", ColumnType::Text),
    ]
}

/// Returns how many statements are running, so that tests can wait for one.
fn running_statements(server: &ServerState) -> ResultSet {
    let columns = vec![Column::new("running", ColumnType::Int8)];
    let rows = vec![vec![Value::Integer(server.slots.running_statements() as i64)]];
    ResultSet { columns, rows, tag: "SELECT 1".to_owned() }
}

fn row(status: &Status) -> ResultSet {
    let primary = status.primary.map(|address| address.to_string()).unwrap_or_default();
    let row = vec![
        Value::Integer(status.term.0 as i64),
        Value::Text(status.role.to_owned()),
        Value::Integer(status.log_term.0 as i64),
        Value::Integer(status.durable.0 as i64),
        Value::Integer(status.applied.0 as i64),
        Value::Text(primary),
    ];
    ResultSet { columns: columns(), rows: vec![row], tag: "SELECT 1".to_owned() }
}

fn parse_term(text: &str) -> Result<Term, SqlError> {
    parse(text).map(Term)
}

fn parse<Parsed>(text: &str) -> Result<Parsed, SqlError>
where
    Parsed: FromStr,
{
    let message = || format!("invalid argument: \"{text}\"");
    text.parse().map_err(|_| SqlError::new(codes::INVALID_TEXT, message()))
}
