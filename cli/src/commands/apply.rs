//! Applies changed sections, and settles edits whose response was lost.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::{Clock as _, SystemClock};
use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_document::edit_id::Nonce;
use masticreel_report::fleet::Progress;
use masticreel_report::instances::MemberReport;
use masticreel_report::operators::INSTANCES_PATH;
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::etcd::EtcdStore;
use masticreel_wire::frame::SharedKey;

use crate::arguments::{ApplyArguments, SettleArguments};
use crate::commands::edit::read_working_copy;
use crate::commands::outcome::OutcomeOutput;
use crate::context::Context;
use crate::error::CliError;
use crate::exit::Exit;
use crate::time::unix_ms;

/// How long to wait after a failed call to the store.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// How often `--wait` checks on which instances the revision is active.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes a changed section to the document in the store. If the edit was accepted,
/// the command then sends the new document to an instance.
///
/// # Errors
///
/// Fails when the file can't be read, or when section, base revision or author
/// are not given, and when the output can't be written. A rejected edit, or one
/// of unknown outcome, is returned as an exit code, not as an error.
pub fn apply<Out>(
    context: &mut Context<'_, Out>,
    arguments: &ApplyArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let request = request(context, arguments)?;
    let outcome = editor(context).apply(request, Nonce::from(rand::random::<u64>()));
    distribute_and_print(context, outcome, arguments.wait.then_some(arguments.wait_timeout_ms))
}

/// Determines whether an edit was accepted after the store's response was lost,
/// and prevents it from being accepted later.
///
/// # Errors
///
/// Fails when the edit's id is malformed or the output can't be written.
pub fn settle<Out>(
    context: &mut Context<'_, Out>,
    arguments: &SettleArguments,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let edit = arguments.edit.parse()?;
    let outcome = editor(context).settle(edit);
    distribute_and_print(context, outcome, None)
}

fn request<Out>(
    context: &Context<'_, Out>,
    arguments: &ApplyArguments,
) -> Result<EditRequest, CliError> {
    let path = Path::new(&arguments.file);
    let working_copy = read_working_copy(path)?;
    let origin = working_copy.origin.as_ref();
    let section = arguments
        .section
        .as_deref()
        .map(SectionName::from)
        .or_else(|| origin.map(|origin| origin.section.clone()));
    let base = arguments.base.map(Revision).or_else(|| origin.map(|origin| origin.base));
    let (Some(section), Some(base)) = (section, base) else {
        return Err(CliError::NoBase(path.to_owned()));
    };
    let author = arguments
        .author
        .as_deref()
        .map(Arc::from)
        .or_else(|| context.settings.author.clone())
        .ok_or(CliError::NoAuthor)?;
    let edited_at_ms = unix_ms(SystemClock.wall());
    Ok(EditRequest { section, base, text: working_copy.text, author, edited_at_ms })
}

fn editor<Out>(context: &Context<'_, Out>) -> Editor<EtcdStore, SystemClock> {
    let timing =
        EditTiming { timeout: context.settings.edit_timeout(), retry_backoff: RETRY_BACKOFF };
    Editor::new(context.store.clone(), SystemClock, timing, CancellationToken::new())
}

/// Distributes the document if the edit was accepted, prints the outcome and
/// returns the exit code.
///
/// The document is sent to an instance. If `wait_ms` is given, the function then
/// waits at most that long until the revision is active on every instance.
fn distribute_and_print<Out>(
    context: &mut Context<'_, Out>,
    outcome: EditOutcome,
    wait_ms: Option<u64>,
) -> Result<Exit, CliError>
where
    Out: Write,
{
    let mut output = OutcomeOutput::from(outcome);
    if let OutcomeOutput::Landed { revision, progress, not_handed_over } = &mut output {
        *not_handed_over = send_document(context, *revision).err().map(|error| error.to_string());
        *progress = wait_ms.map(|wait_ms| wait_until_active(context, *revision, wait_ms));
    }
    context.print(&output, OutcomeOutput::render)?;
    Ok(output.exit())
}

/// Sends the document to an instance, so that an outage of the store right
/// after the edit does not delay its distribution.
fn send_document<Out>(context: &Context<'_, Out>, revision: Revision) -> Result<(), CliError>
where
    Out: Write,
{
    if context.settings.instances.is_empty() {
        return Err(CliError::NoInstances);
    }
    let Some(key) = &context.settings.shared_key else {
        return Err(CliError::NoSharedKey);
    };
    let stored = context.read_document()?;
    let Ok(document) = stored.to_document() else {
        return Err(CliError::NoRevision(revision));
    };
    Ok(context.instances.send_document(&document, &SharedKey::from_text(key))?)
}

fn wait_until_active<Out>(
    context: &Context<'_, Out>,
    revision: Revision,
    wait_ms: u64,
) -> Progress {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        // A failed request counts as no progress.
        let members: Vec<MemberReport> = context.instances.get(INSTANCES_PATH).unwrap_or_default();
        let progress = Progress::of(&members, revision);
        if progress.is_complete() || Instant::now() >= deadline {
            return progress;
        }
        std::thread::sleep(PROGRESS_POLL_INTERVAL);
    }
}
