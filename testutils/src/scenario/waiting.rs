//! Waits until a condition holds, so that scenarios need no fixed sleeps.

use std::time::{Duration, Instant};

use crate::pg_client::{Answer, ClientError};
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;
use crate::scenario::caller::{Callers, Request};
use crate::scenario::environment::Environment;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a server's status, a group's state or a statement's result is as
/// the arguments require, by default at most 10 s.
///
/// A statement's `until=` is `ok`, the first value of the result, or an outcome as
/// [`summary`] returns it.
pub fn wait(
    environment: &Environment,
    callers: &mut Callers,
    arguments: &mut Arguments<'_>,
    sql: &str,
) -> Result<String, ScenarioError> {
    let deadline = Instant::now() + arguments.within()?;
    if let Some(server) = arguments.optional("server")? {
        let role = arguments.optional("role")?;
        let applied = arguments.optional("applied")?;
        return poll_until(deadline, || {
            let status = environment.status(&server).unwrap_or_default();
            let is = |key: &str, expected: &Option<String>| {
                expected.as_ref().is_none_or(|expected| status.get(key) == Some(expected))
            };
            let seen = format!("{:?} {:?}", status.get("role"), status.get("applied"));
            Ok((is("role", &role) && is("applied", &applied), seen))
        });
    }
    if let Some(group) = arguments.optional("group")? {
        if let Some(expected) = arguments.optional("running")? {
            return poll_until(deadline, || {
                let running = environment.running_statements(&group)?.to_string();
                Ok((running == expected, running))
            });
        }
        return poll_until(deadline, || check_settled(environment, &group));
    }
    let expected = arguments.required("until")?;
    let request = Request::new(environment, arguments)?;
    poll_until(deadline, || {
        let seen = summary(&callers.execute(environment, &request, sql)?);
        let is_success = expected == "ok" && seen.starts_with("ok");
        Ok((is_success || seen == expected || seen == format!("ok {expected}"), seen))
    })
}

/// Returns whether a group has one primary with which all replicas have caught up,
/// and the observed roles.
fn check_settled(environment: &Environment, group: &str) -> Result<(bool, String), ScenarioError> {
    let prefix = format!("{group}-");
    let names = environment.servers.keys().filter(|name| name.starts_with(&prefix));
    let mut statuses = Vec::new();
    for name in names {
        statuses.push(environment.status(name).unwrap_or_default());
    }
    let values = |key: &str| statuses.iter().map(|status| status.get(key)).collect::<Vec<_>>();
    let roles = values("role");
    let count =
        |name: &str| roles.iter().filter(|role| role.is_some_and(|role| role == name)).count();
    let is_same = |key: &str| values(key).windows(2).all(|pair| pair[0] == pair[1]);
    let is_settled = count("primary") == 1
        && count("replica") + 1 == roles.len()
        && ["term", "log_term", "durable", "applied"].into_iter().all(is_same);
    Ok((is_settled, format!("{roles:?}")))
}

/// Repeats a check, which also returns the observed state, until it holds or the
/// deadline passes; reports which of both as the directive's output.
fn poll_until(
    deadline: Instant,
    mut check: impl FnMut() -> Result<(bool, String), ScenarioError>,
) -> Result<String, ScenarioError> {
    loop {
        let (is_reached, seen) = check()?;
        if is_reached {
            return Ok("reached".to_owned());
        }
        if Instant::now() > deadline {
            return Ok(format!("not reached: {seen}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns `ok` with the first value, or the SQLSTATE of an error, or `lost` if no
/// valid answer was received in time.
fn summary(result: &Result<Answer, ClientError>) -> String {
    match result {
        Ok(answer) => match (answer.error_code(), answer.value()) {
            (Some(code), _) => code.to_owned(),
            (None, Some(value)) => format!("ok {value}"),
            (None, None) => "ok".to_owned(),
        },
        Err(ClientError::Refused(error)) => error.code.clone(),
        Err(ClientError::Io(_) | ClientError::Protocol(_)) => "lost".to_owned(),
    }
}
