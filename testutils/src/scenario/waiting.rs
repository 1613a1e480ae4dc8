//! Waits until something is so, instead of sleeping.

use std::time::{Duration, Instant};

use crate::pg_client::{Answer, ClientError};
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;
use crate::scenario::caller::{Callers, Request};
use crate::scenario::environment::Environment;

/// How long to wait between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a server's status or a statement's result is as wanted.
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
        return until(deadline, || {
            let status = environment.status(&server).unwrap_or_default();
            let is = |key: &str, wanted: &Option<String>| {
                wanted.as_ref().is_none_or(|wanted| status.get(key) == Some(wanted))
            };
            let seen = format!("{:?} {:?}", status.get("role"), status.get("applied"));
            Ok((is("role", &role) && is("applied", &applied), seen))
        });
    }
    if let Some(group) = arguments.optional("group")? {
        if let Some(wanted) = arguments.optional("running")? {
            return until(deadline, || {
                let running = environment.running(&group)?.to_string();
                Ok((running == wanted, running))
            });
        }
        return until(deadline, || settled(environment, &group));
    }
    let wanted = arguments.text("until")?;
    let request = Request::new(environment, arguments)?;
    until(deadline, || {
        let seen = summary(&callers.ask(environment, &request, sql)?);
        let is_success = wanted == "ok" && seen.starts_with("ok");
        Ok((is_success || seen == wanted || seen == format!("ok {wanted}"), seen))
    })
}

/// Returns whether a group has one primary, whom all others have caught up with.
fn settled(environment: &Environment, group: &str) -> Result<(bool, String), ScenarioError> {
    let prefix = format!("{group}-");
    let names = environment.servers.keys().filter(|name| name.starts_with(&prefix));
    let mut statuses = Vec::new();
    for name in names {
        statuses.push(environment.status(name).unwrap_or_default());
    }
    let values = |key: &str| statuses.iter().map(|status| status.get(key)).collect::<Vec<_>>();
    let roles = values("role");
    let count =
        |wanted: &str| roles.iter().filter(|role| role.is_some_and(|role| role == wanted)).count();
    let is_same = |key: &str| values(key).windows(2).all(|pair| pair[0] == pair[1]);
    let is_settled = count("primary") == 1
        && count("replica") + 1 == roles.len()
        && ["term", "log_term", "durable", "applied"].into_iter().all(is_same);
    Ok((is_settled, format!("{roles:?}")))
}

fn until(
    deadline: Instant,
    mut look: impl FnMut() -> Result<(bool, String), ScenarioError>,
) -> Result<String, ScenarioError> {
    loop {
        let (is_reached, seen) = look()?;
        if is_reached {
            return Ok("reached".to_owned());
        }
        if Instant::now() > deadline {
            return Ok(format!("not reached: {seen}"));
        }
        std::thread::sleep(INTERVAL);
    }
}

/// Returns `ok` with the first value, or the SQLSTATE, or `lost`.
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
