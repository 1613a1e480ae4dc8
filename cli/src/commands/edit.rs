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
use crate::working_copy::{Origin, WorkingCopy};

#[derive(Serialize)]
struct CopyView {
    section: SectionName,
    base: Revision,
    file: String,
}

#[derive(Serialize)]
struct DiffView {
    section: SectionName,
    current: Revision,
    base: Option<Revision>,
    diff: String,
}

/// Copies a section to a file.
///
/// # Errors
///
/// Fails when the store does not answer or the file can't be written.
pub fn edit<Out>(
    context: &mut Context<'_, Out>,
    arguments: &EditArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let stored = context.read_document()?;
    let section = SectionName::from(arguments.section.as_str());
    let (base, text) = section_of(&stored, &section);
    let origin = Some(Origin { section: section.clone(), base });
    let copy = WorkingCopy { origin, text: text.into() };
    let file = arguments.output.clone().unwrap_or_else(|| format!("{section}.toml"));
    std::fs::write(&file, copy.render())
        .map_err(|error| CliError::File(Path::new(&file).to_owned(), error))?;
    context.print(&CopyView { section, base, file }, |view| {
        format!(
            "Wrote section {} at revision {} to {file}.\n\
             Change it, then: masticreel document apply {file}\n",
            view.section,
            view.base,
            file = view.file,
        )
    })?;
    Ok(Exit::Done)
}

/// Shows how a file differs from the section as it is now.
///
/// # Errors
///
/// Fails when the store does not answer or the file can't be read.
pub fn diff<Out>(
    context: &mut Context<'_, Out>,
    arguments: &DiffArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let copy = read_copy(Path::new(&arguments.file))?;
    let named = arguments.section.as_deref().map(SectionName::from);
    let section = named
        .or_else(|| copy.origin.as_ref().map(|origin| origin.section.clone()))
        .ok_or_else(|| CliError::NoBase(Path::new(&arguments.file).to_owned()))?;
    let stored = context.read_document()?;
    let (current, text) = section_of(&stored, &section);
    let old_name = format!("{section} at revision {current}");
    let diff = SectionDiff::between(&old_name, text, &arguments.file, &copy.text);
    let base = copy.origin.map(|origin| origin.base);
    let view = DiffView { section, current, base, diff: diff.as_str().to_owned() };
    context.print(&view, render_diff)?;
    Ok(Exit::Done)
}

fn render_diff(view: &DiffView) -> String {
    let mut text = view.diff.clone();
    if text.is_empty() {
        text = format!("No difference to section {}.\n", view.section);
    }
    if let Some(base) = view.base.filter(|base| *base != view.current) {
        text.push_str(&format!(
            "The file starts from revision {base}, the section is at revision {}: apply would be \
             a conflict.\n",
            view.current
        ));
    }
    text
}

/// Reads a section's text from a file.
///
/// # Errors
///
/// Fails when the file can't be read.
pub fn read_copy(path: &Path) -> Result<WorkingCopy, CliError> {
    let content =
        std::fs::read_to_string(path).map_err(|error| CliError::File(path.to_owned(), error))?;
    Ok(WorkingCopy::parse(&content))
}
