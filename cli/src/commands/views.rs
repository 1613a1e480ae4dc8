//! Commands that request reports from the instances and show them.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use masticreel_burn::page::render_page;
use masticreel_burn::report::{LevelReport, merge_reports};
use masticreel_burn::table::render_table;
use masticreel_report::groups::{GroupReport, ServerReport};
use masticreel_report::instances::{InstanceReport, MemberReport};
use masticreel_report::operators::{GROUPS_PATH, INSTANCES_PATH, REPORT_PATH, STATUS_PATH};

use crate::arguments::ReportArguments;
use crate::context::Context;
use crate::error::CliError;
use crate::exit::Exit;

/// Shows the state of the first instance that answers.
///
/// # Errors
///
/// Fails when no instance answers.
pub fn status<Out>(context: &mut Context<'_, Out>) -> Result<Exit, CliError>
where
    Out: Write,
{
    let report: InstanceReport = context.instances.get(STATUS_PATH)?;
    context.print(&report, render_status)?;
    Ok(Exit::Done)
}

/// Shows the instances, as known to the first one that answers.
///
/// # Errors
///
/// Fails when no instance answers.
pub fn instances<Out>(context: &mut Context<'_, Out>) -> Result<Exit, CliError>
where
    Out: Write,
{
    let members: Vec<MemberReport> = context.instances.get(INSTANCES_PATH)?;
    let status: Option<InstanceReport> = context.instances.get(STATUS_PATH).ok();
    let lost = status.as_ref().map_or_else(String::new, render_lost);
    context.print(&members, |members| format!("{}{lost}", render_members(members)))?;
    Ok(Exit::Done)
}

/// Shows the database groups with their primaries and servers.
///
/// # Errors
///
/// Fails when no instance answers.
pub fn groups<Out>(context: &mut Context<'_, Out>) -> Result<Exit, CliError>
where
    Out: Write,
{
    let groups: Vec<GroupReport> = context.instances.get(GROUPS_PATH)?;
    context.print(&groups, |groups| render_groups(groups))?;
    Ok(Exit::Done)
}

/// Shows how fast the service levels burn their error budgets, merged over all
/// instances that answer; see [`masticreel_burn`].
///
/// # Errors
///
/// Fails when no instance answers or the page can't be written.
pub fn report<Out>(
    context: &mut Context<'_, Out>,
    arguments: &ReportArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let members: Vec<MemberReport> = context.instances.get(INSTANCES_PATH)?;
    // An instance may lack another one's address for operators, so the addresses
    // from the settings are queried as well.
    let known = members.iter().filter_map(|member| member.operators);
    let addresses: BTreeSet<SocketAddr> =
        known.chain(context.settings.instances.iter().copied()).collect();
    let mut answered = 0;
    let mut all: Vec<LevelReport> = Vec::new();
    for address in addresses {
        if let Ok(levels) = context.instances.get_from::<Vec<LevelReport>>(address, REPORT_PATH) {
            answered += 1;
            all.extend(levels);
        }
    }
    let levels = merge_reports(all);
    if let Some(file) = &arguments.html {
        let title = format!("service levels of {answered} instances");
        std::fs::write(file, render_page(&title, &levels))
            .map_err(|error| CliError::File(Path::new(file).to_owned(), error))?;
    }
    // Members that are expected to apply new revisions; others may have answered
    // as well.
    let expected_instances = members.iter().filter(|member| member.is_expected_to_apply()).count();
    context.print(&levels, |levels| {
        format!("{}from {answered} of {expected_instances} instances\n", render_table(levels))
    })?;
    Ok(Exit::Done)
}

fn render_status(report: &InstanceReport) -> String {
    let refused = match &report.refused {
        Some(reason) => format!("refused   {reason}\n"),
        None => String::new(),
    };
    let lost = render_lost(report);
    format!(
        "instance  {}\nversion   {}\ndomain    {}\nstate     {}\nrevision  {}\nstore     {}\n{lost}{refused}",
        report.name,
        report.version,
        report.failure_domain,
        report.state,
        report.revision,
        report.store,
    )
}

fn render_lost(report: &InstanceReport) -> String {
    match &report.lost_edits {
        Some(lost) => format!("lost      {lost} by the store; in force until the next edit\n"),
        None => String::new(),
    }
}

/// Renders one line for each member of the fleet.
pub fn render_members(members: &[MemberReport]) -> String {
    let mut table = format!(
        "{:<20} {:<16} {:<22} {:<8} {:>8}\n",
        "instance", "failure domain", "address", "health", "revision"
    );
    for member in members {
        table.push_str(&format!(
            "{:<20} {:<16} {:<22} {:<8} {:>8}\n",
            member.name.as_str(),
            member.failure_domain.as_str(),
            member.address.to_string(),
            member.health.to_string(),
            member.revision.0
        ));
    }
    table
}

/// Renders the groups with one line for each server.
pub fn render_groups(groups: &[GroupReport]) -> String {
    let mut table = format!(
        "{:<20} {:<22} {:<16} {:<8} {:<12} {:<20}\n",
        "group / server", "address", "failure domain", "role", "applied", "owner"
    );
    for group in groups {
        let primary = group.primary.as_ref().map_or("none", |primary| primary.as_str());
        table.push_str(&format!(
            "{} (database {}, term {}, primary {primary})\n",
            group.name, group.database, group.term
        ));
        table.extend(group.servers.iter().map(render_server));
    }
    table
}

fn render_server(server: &ServerReport) -> String {
    let leaving = if server.leaving { " leaving" } else { "" };
    format!(
        "  {:<18} {:<22} {:<16} {:<8} {:<12} {:<20}{leaving}\n",
        server.name.as_str(),
        server.address.to_string(),
        server.failure_domain.as_str(),
        server.role,
        server.applied.as_deref().unwrap_or("-"),
        server.owner.as_ref().map_or("-", |owner| owner.as_str()),
    )
}
