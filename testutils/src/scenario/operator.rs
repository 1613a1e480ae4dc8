//! Operators that use `masticreel`, the command-line client.

use std::path::PathBuf;
use std::process::{Command, Output};

use crate::processes::program_path;
use crate::scenario::ScenarioError;
use crate::scenario::arguments::Arguments;
use crate::scenario::environment::{Environment, SHARED_KEY};

/// Replaces a section's text.
///
/// Without `base=` the edit is based on the section's current revision.
pub fn edit(
    environment: &mut Environment,
    arguments: &mut Arguments<'_>,
    input: &str,
) -> Result<String, ScenarioError> {
    let section = arguments.required("section")?;
    let author = arguments.required("author")?;
    let base = arguments.optional("base")?;
    let path = environment.folder()?.join(format!("{section}.edit.toml"));
    let file = path.display().to_string();
    let mut header = String::new();
    if base.is_none() {
        let fetched = run_command_line_client(
            environment,
            &["document", "edit", &section, "--output", &file],
        )?;
        if !fetched.status.success() {
            return Ok(outcome(&fetched));
        }
        let copy = std::fs::read_to_string(&path)?;
        header = copy.lines().next().unwrap_or_default().to_owned() + "\n";
    }
    std::fs::write(&path, header + &environment.substitute_addresses(input) + "\n")?;
    let mut words = vec!["document", "apply", &file, "--author", &author, "--section", &section];
    if let Some(base) = &base {
        words.extend(["--base", base]);
    }
    if arguments.flag("wait")? {
        words.push("--wait");
    }
    let applied = run_command_line_client(environment, &words)?;
    Ok(outcome(&applied))
}

/// Runs the command-line client with the input's words as arguments, and returns its
/// output.
pub fn run(environment: &mut Environment, input: &str) -> Result<String, ScenarioError> {
    let words: Vec<&str> = input.split_whitespace().collect();
    let output = run_command_line_client(environment, &words)?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    if !output.status.success() {
        text.push_str(&outcome(&output));
    }
    Ok(text)
}

/// Returns the meaning of the command-line client's exit code; see `docs/document.md`.
fn outcome(output: &Output) -> String {
    let name = match output.status.code() {
        Some(0) => "landed",
        Some(3) => "conflict",
        Some(4) => "refused",
        Some(5) => "unknown",
        Some(6) => "not landed",
        Some(7) => "unreachable",
        Some(8) => "not in force everywhere",
        _ => return format!("failed: {}", String::from_utf8_lossy(&output.stderr)),
    };
    name.to_owned()
}

fn run_command_line_client(
    environment: &mut Environment,
    words: &[&str],
) -> Result<Output, ScenarioError> {
    let settings = write_settings(environment)?;
    let mut command = Command::new(program_path("masticreel")?);
    command.arg("--settings").arg(settings).args(words);
    Ok(command.output()?)
}

fn write_settings(environment: &mut Environment) -> Result<PathBuf, ScenarioError> {
    let path = environment.folder()?.join("operator.toml");
    let instances = environment.instances.values();
    let operators = instances.map(|instance| format!("\"{}\"", instance.addresses.operators));
    let text = format!(
        "platform = \"http://{}\"\ninstances = [{}]\nshared_key = \"{SHARED_KEY}\"\n\
         call_timeout_ms = 500\nedit_timeout_ms = 5000\n",
        environment.store_address()?,
        operators.collect::<Vec<_>>().join(", ")
    );
    std::fs::write(&path, text)?;
    Ok(path)
}
