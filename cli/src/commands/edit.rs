//! Copies sections to files, and compares files with sections.

use std::io::Write;
use std::path::Path;

use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::diff::SectionDiff;
use serde::Serialize;

use crate::arguments::{DiffArguments, EditArguments};
use crate::context::{Context, section_of};
use crate::error::CliError;
use crate::exit::Exit;
use crate::working_copy::{SectionOrigin, WorkingCopy};

#[derive(Serialize)]
struct WorkingCopyOutput {
    section: SectionName,
    base: Revision,
    file: String,
}

#[derive(Serialize)]
struct DiffOutput {
    section: SectionName,
    current: Revision,
    base: Option<Revision>,
    diff: String,
}

/// Writes a section to a file, with a first line that names its origin.
///
/// # Errors
///
/// Fails when the document can't be read from the store or the file can't be
/// written.
pub fn write_working_copy<Out>(
    context: &mut Context<'_, Out>,
    arguments: &EditArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let stored = context.read_document()?;
    let section = SectionName::from(arguments.section.as_str());
    let (base, text) = section_of(&stored, &section);
    let origin = Some(SectionOrigin { section: section.clone(), base });
    let working_copy = WorkingCopy { origin, text: text.into() };
    let file = arguments.output.clone().unwrap_or_else(|| format!("{section}.toml"));
    std::fs::write(&file, working_copy.render())
        .map_err(|error| CliError::File(Path::new(&file).to_owned(), error))?;
    context.print(&WorkingCopyOutput { section, base, file }, |output| {
        format!(
            "Wrote section {} at revision {} to {file}.\n\
             Change it, then: masticreel document apply {file}\n",
            output.section,
            output.base,
            file = output.file,
        )
    })?;
    Ok(Exit::Done)
}

/// Shows how a file differs from the section as it is now.
///
/// # Errors
///
/// Fails when the file does not name its section and no section is given, and
/// when the file or the document in the store can't be read.
pub fn diff<Out>(
    context: &mut Context<'_, Out>,
    arguments: &DiffArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let working_copy = read_working_copy(Path::new(&arguments.file))?;
    let named = arguments.section.as_deref().map(SectionName::from);
    let section = named
        .or_else(|| working_copy.origin.as_ref().map(|origin| origin.section.clone()))
        .ok_or_else(|| CliError::NoBase(Path::new(&arguments.file).to_owned()))?;
    let stored = context.read_document()?;
    let (current, text) = section_of(&stored, &section);
    let old_name = format!("{section} at revision {current}");
    let diff = SectionDiff::between(&old_name, text, &arguments.file, &working_copy.text);
    let base = working_copy.origin.map(|origin| origin.base);
    let output = DiffOutput { section, current, base, diff: diff.as_str().to_owned() };
    context.print(&output, render_diff)?;
    Ok(Exit::Done)
}

fn render_diff(output: &DiffOutput) -> String {
    let mut text = output.diff.clone();
    if text.is_empty() {
        text = format!("No difference to section {}.\n", output.section);
    }
    if let Some(base) = output.base.filter(|base| *base != output.current) {
        text.push_str(&format!(
            "The file starts from revision {base}, the section is at revision {}: apply would be \
             a conflict.\n",
            output.current
        ));
    }
    text
}

/// Reads a section's text and its origin from a file.
///
/// # Errors
///
/// Fails when the file can't be read.
pub fn read_working_copy(path: &Path) -> Result<WorkingCopy, CliError> {
    let content =
        std::fs::read_to_string(path).map_err(|error| CliError::File(path.to_owned(), error))?;
    Ok(WorkingCopy::parse(&content))
}
