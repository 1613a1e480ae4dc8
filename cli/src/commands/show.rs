//! Shows the document: the sections of the teams and the instances' reports.

use std::collections::BTreeMap;
use std::io::Write;

use masticreel_base::clock::{Clock as _, SystemClock};
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::layout::REPORT_PREFIX;
use masticreel_document::records::{LostEdits, decode};
use masticreel_document::section::SectionText;
use masticreel_document::wire::WireDocument;
use masticreel_report::fleet::{FleetReport, instances_by_revision};
use masticreel_report::operators::DOCUMENT_PATH;
use masticreel_store::document_store::ReadError;
use masticreel_store::store::PlatformStore as _;
use serde::Serialize;

use crate::arguments::ShowArguments;
use crate::commands::views::{render_groups, render_members};
use crate::context::Context;
use crate::error::CliError;
use crate::exit::Exit;
use crate::time::{ago, unix_ms};

#[derive(Serialize)]
struct DocumentOutput {
    revision: Revision,
    /// Whether the document comes from the store and not from an instance.
    from_store: bool,
    /// The edits that the store lost when it was last restored from a copy.
    lost: Option<LostEdits>,
    sections: BTreeMap<SectionName, SectionText>,
    reported: Vec<FleetReport>,
}

/// Shows the sections and the reports of the instances.
///
/// # Errors
///
/// Fails when neither the store nor an instance answers, and when there is no
/// such section.
pub fn show<Out>(
    context: &mut Context<'_, Out>,
    arguments: &ShowArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let mut output = match read_from_store(context) {
        Ok(output) => output,
        Err(error) => read_from_instance(context, error)?,
    };
    if let Some(name) = arguments.section.as_deref().map(SectionName::from) {
        output.sections.retain(|section, _| *section == name);
        if output.sections.is_empty() {
            return Err(CliError::NoSection(name));
        }
    }
    let now_ms = unix_ms(SystemClock.wall());
    context.print(&output, |output| render(output, now_ms))?;
    Ok(Exit::Done)
}

fn read_from_store<Out>(context: &Context<'_, Out>) -> Result<DocumentOutput, ReadError>
where
    Out: Write,
{
    let stored = masticreel_store::document_store::read_document(&context.store)?;
    let reports = context.store.read_prefix(REPORT_PREFIX)?;
    // Reports that can't be decoded come from another version of the program and
    // are skipped.
    let reported =
        reports.entries.iter().filter_map(|entry| decode(&entry.key, &entry.value).ok()).collect();
    Ok(DocumentOutput {
        revision: stored.head.record.revision,
        from_store: true,
        lost: stored.head.record.lost,
        sections: stored.texts(),
        reported,
    })
}

fn read_from_instance<Out>(
    context: &Context<'_, Out>,
    error: ReadError,
) -> Result<DocumentOutput, CliError> {
    match context.instances.get::<WireDocument>(DOCUMENT_PATH) {
        Ok(document) => Ok(DocumentOutput {
            revision: document.revision,
            from_store: false,
            lost: None,
            sections: document.sections,
            reported: Vec::new(),
        }),
        Err(operators) => Err(CliError::NothingAnswers(error, operators)),
    }
}

fn render(output: &DocumentOutput, now_ms: u64) -> String {
    let mut text = format!("# document at revision {}\n", output.revision);
    if !output.from_store {
        text.push_str("# the store does not answer; this is in force at an instance\n");
    }
    if let Some(lost) = output.lost {
        text.push_str(&render_lost(lost, output.revision));
    }
    for (name, section) in &output.sections {
        text.push_str(&format!(
            "\n## section {name}, revision {}, by {}\n{}",
            section.revision, section.author, section.text
        ));
        if !section.text.ends_with('\n') {
            text.push('\n');
        }
    }
    for report in &output.reported {
        text.push_str(&render_report(report, now_ms));
    }
    text
}

fn render_lost(lost: LostEdits, stored: Revision) -> String {
    let in_force = if stored <= lost.through {
        format!("revision {} stays in force until the next edit", lost.through)
    } else {
        "edits since then have replaced them".to_owned()
    };
    format!("# the store was restored from a copy and lost {lost}; {in_force}\n")
}

fn render_report(report: &FleetReport, now_ms: u64) -> String {
    let revisions: Vec<String> = instances_by_revision(&report.members)
        .iter()
        .rev()
        .map(|(revision, count)| format!("revision {revision} on {count}"))
        .collect();
    format!(
        "\n## reported by {}, {}\nin force: {}\n\n{}\n{}\n{}",
        report.reporter,
        ago(report.written_at_ms, now_ms),
        revisions.join(", "),
        render_members(&report.members),
        render_groups(&report.groups),
        masticreel_burn::table::render_table(&report.levels),
    )
}
