//! The client's commands, and the choice between them by the arguments.

use std::io::Write;

use crate::arguments::{Arguments, Command, DocumentCommand};
use crate::context::Context;
use crate::error::CliError;
use crate::exit::Exit;
use crate::settings::{Settings, settings_path};

pub mod apply;
pub mod edit;
pub mod history;
pub mod outcome;
pub mod show;
pub mod views;

/// Runs the command that the arguments name and writes its result to `out`.
///
/// # Errors
///
/// Fails with the error to print; [`CliError::exit`] returns its exit code.
pub fn run<Out>(arguments: Arguments, out: &mut Out) -> Result<Exit, CliError>
where
    Out: Write,
{
    if arguments.version {
        writeln!(out, "masticreel {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(Exit::Done);
    }
    let Some(command) = arguments.command else {
        writeln!(out, "Nothing to do. Run `masticreel --help` for the commands.")?;
        return Ok(Exit::Usage);
    };
    let settings = Settings::load(&settings_path(arguments.settings.as_deref()))?;
    let context = &mut Context::new(settings, arguments.json, out);
    match command {
        Command::Document(document) => run_document(document.command, context),
        Command::Status(_) => views::status(context),
        Command::Instances(_) => views::instances(context),
        Command::Groups(_) => views::groups(context),
        Command::Report(report) => views::report(context, &report),
    }
}

fn run_document<Out>(
    command: DocumentCommand,
    context: &mut Context<'_, Out>,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    match command {
        DocumentCommand::Show(arguments) => show::show(context, &arguments),
        DocumentCommand::Edit(arguments) => edit::write_working_copy(context, &arguments),
        DocumentCommand::Diff(arguments) => edit::diff(context, &arguments),
        DocumentCommand::Apply(arguments) => apply::apply(context, &arguments),
        DocumentCommand::Settle(arguments) => apply::settle(context, &arguments),
        DocumentCommand::History(arguments) => history::history(context, &arguments),
    }
}
