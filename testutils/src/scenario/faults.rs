//! Injects faults into processes, links and the store.

use std::time::Duration;

use masticreel_standins::relay::Relay;

use crate::processes::{Process, Signal};
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;
use crate::scenario::environment::Environment;

/// Kills, suspends, resumes, terminates or restarts a process.
pub fn process(
    environment: &mut Environment,
    directive: &str,
    arguments: &mut Arguments<'_>,
) -> Result<String, ScenarioError> {
    let name = arguments.required("name")?;
    if directive == "restart" {
        return restart(environment, &name);
    }
    let process = find_process(environment, &name)?;
    let running =
        process.as_mut().ok_or_else(|| ScenarioError::text("the process is not running"))?;
    match directive {
        "freeze" => running.signal(Signal::Stop)?,
        "thaw" => running.signal(Signal::Continue)?,
        "kill" => {
            running.signal(Signal::Kill)?;
            *process = None;
        }
        _ => {
            running.signal(Signal::Terminate)?;
            let is_success = !arguments.flag("nowait")? && running.wait()?;
            // `told to end`: not waited for, or the process exited with an error.
            return Ok(if is_success { "ended in order" } else { "told to end" }.to_owned());
        }
    }
    Ok("done".to_owned())
}

fn restart(environment: &mut Environment, name: &str) -> Result<String, ScenarioError> {
    if environment.servers.contains_key(name) {
        environment.restart_server(name)?;
    } else {
        environment.instance(name)?;
        environment.start_instance(name)?;
    }
    Ok("started".to_owned())
}

fn find_process<'a>(
    environment: &'a mut Environment,
    name: &str,
) -> Result<&'a mut Option<Process>, ScenarioError> {
    if name == "store" {
        return Ok(&mut environment.store);
    }
    if let Some(server) = environment.servers.get_mut(name) {
        return Ok(&mut server.process);
    }
    let instance = environment.instances.get_mut(name);
    let missing = || ScenarioError::text(format!("nothing is named {name}"));
    Ok(&mut instance.ok_or_else(missing)?.process)
}

/// Cuts, heals or delays a link, or heals all links.
pub fn link(
    environment: &mut Environment,
    directive: &str,
    arguments: &mut Arguments<'_>,
) -> Result<String, ScenarioError> {
    let from = arguments.optional("from")?;
    let Some(to) = arguments.optional("to")? else {
        if directive != "heal" {
            return Err(ScenarioError::text("to= is needed"));
        }
        relays(environment).for_each(Relay::heal);
        return Ok("done".to_owned());
    };
    let relay = find_relay(environment, from.as_deref(), &to)?;
    match directive {
        "cut" => relay.cut(),
        "heal" => relay.heal(),
        _ => relay.set_delay(Duration::from_millis(arguments.number("ms", 0)?)),
    }
    Ok("done".to_owned())
}

fn relays(environment: &Environment) -> impl Iterator<Item = &Relay> {
    let servers = environment.servers.values().map(|server| &server.relay);
    let instances = environment.instances.values();
    servers.chain(instances.flat_map(|instance| [&instance.caller_relay, &instance.store_relay]))
}

fn find_relay<'a>(
    environment: &'a Environment,
    from: Option<&str>,
    to: &str,
) -> Result<&'a Relay, ScenarioError> {
    match (from, to) {
        (Some(instance), "store") => Ok(&environment.instance(instance)?.store_relay),
        (Some(_), _) => Err(ScenarioError::text("from= is allowed only with to=store")),
        (None, "store") => Err(ScenarioError::text("from= is needed to name the instance")),
        (None, server) if environment.servers.contains_key(server) => {
            Ok(&environment.server(server)?.relay)
        }
        (None, instance) => Ok(&environment.instance(instance)?.caller_relay),
    }
}

/// Sends a command to the store's control endpoint.
pub fn store(
    environment: &Environment,
    arguments: &mut Arguments<'_>,
) -> Result<String, ScenarioError> {
    let path = match arguments.one_of(&["down", "silent", "up", "slow", "lose-answers"])? {
        "slow" => format!("slow_ms/{}", arguments.number("ms", 0)?),
        "lose-answers" => format!("lose_next/{}", arguments.number("count", 1)?),
        other => other.to_owned(),
    };
    let store = environment.store.as_ref();
    let control = store.and_then(|store| store.address("control"));
    let control = control.ok_or_else(|| ScenarioError::text("the store is not running"))?;
    let sent = ureq::post(&format!("http://{control}/{path}")).send_empty();
    sent.map_err(|error| ScenarioError::text(error.to_string()))?;
    Ok("done".to_owned())
}
