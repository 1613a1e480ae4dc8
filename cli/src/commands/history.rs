//! Shows the last edits of the document.

use std::io::Write;

use masticreel_base::clock::{Clock as _, SystemClock};
use masticreel_base::ids::Revision;
use masticreel_document::diff::SectionDiff;
use masticreel_document::records::{EditEntry, HistoryRecord};
use masticreel_store::document_store::read_history;
use serde::Serialize;

use crate::arguments::HistoryArguments;
use crate::context::Context;
use crate::error::CliError;
use crate::exit::Exit;
use crate::time::{ago, unix_ms};

#[derive(Serialize)]
struct ChangeOutput {
    #[serde(flatten)]
    entry: EditEntry,
    text: String,
    /// Empty if the history no longer keeps the text that was replaced, or if that
    /// text and the new one are equal.
    diff: String,
}

/// Shows the last edits of the document or, if a revision is given, what the edit
/// that made this revision changed.
///
/// # Errors
///
/// Fails when the document or the history can't be read from the store, and when
/// the history does not have the revision.
pub fn history<Out>(
    context: &mut Context<'_, Out>,
    arguments: &HistoryArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    match arguments.revision {
        Some(revision) => show_change(context, Revision(revision))?,
        None => show_recent(context)?,
    }
    Ok(Exit::Done)
}

fn show_recent<Out>(context: &mut Context<'_, Out>) -> Result<(), CliError>
where
    Out: Write,
{
    let recent = context.read_document()?.head.record.recent;
    let now_ms = unix_ms(SystemClock.wall());
    context.print(&recent, |recent| {
        let lines: String = recent.iter().map(|entry| render_entry(entry, now_ms)).collect();
        format!("{:>8}  {:<24} {:<16} {}\n{lines}", "revision", "section", "author", "when")
    })
}

fn render_entry(entry: &EditEntry, now_ms: u64) -> String {
    format!(
        "{:>8}  {:<24} {:<16} {}\n",
        entry.revision.0,
        entry.section.as_str(),
        entry.author,
        ago(entry.edited_at_ms, now_ms)
    )
}

fn show_change<Out>(context: &mut Context<'_, Out>, revision: Revision) -> Result<(), CliError>
where
    Out: Write,
{
    let record = read_history_record(context, revision)?.ok_or(CliError::NoRevision(revision))?;
    let replaced = match record.entry.replaces {
        Revision(0) => Some(String::new()),
        replaces => read_history_record(context, replaces)?.map(|record| record.text.to_string()),
    };
    let diff = replaced.map_or_else(SectionDiff::default, |old| diff(&record, &old));
    let change = ChangeOutput {
        text: record.text.to_string(),
        diff: diff.as_str().to_owned(),
        entry: record.entry,
    };
    context.print(&change, render_change)
}

fn diff(record: &HistoryRecord, old: &str) -> SectionDiff {
    let entry = &record.entry;
    let old_name = format!("{} at revision {}", entry.section, entry.replaces);
    let new_name = format!("{} at revision {}", entry.section, entry.revision);
    SectionDiff::between(&old_name, old, &new_name, &record.text)
}

fn render_change(change: &ChangeOutput) -> String {
    if change.diff.is_empty() {
        return format!(
            "The text before revision {} is no longer kept. The section since then:\n{}",
            change.entry.revision, change.text
        );
    }
    change.diff.clone()
}

/// Returns a revision's record; `None` if it does not exist or was overwritten,
/// as the history keeps a limited number of records.
fn read_history_record<Out>(
    context: &Context<'_, Out>,
    revision: Revision,
) -> Result<Option<HistoryRecord>, CliError> {
    let record = read_history(&context.store, revision)?;
    Ok(record.filter(|record| record.entry.revision == revision))
}
