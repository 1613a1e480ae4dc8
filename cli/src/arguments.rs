//! The arguments of the command line; their doc comments are the help texts.

use argh::FromArgs;

/// Operators' client of masticreel, a database proxy with session consistency.
///
/// Teams configure masticreel through one document in the store; each team edits
/// its own section. Begin with `masticreel document show`, which shows the
/// document together with the reports of the instances.
#[derive(FromArgs, Debug)]
#[argh(
    example = "masticreel document edit calibration --output calibration.toml",
    example = "masticreel document diff calibration.toml",
    example = "masticreel document apply calibration.toml --wait",
    note = "The settings are read from --settings, else from the file named by\n\
            MASTICREEL_SETTINGS, else from masticreel.toml.",
    error_code(0, "done"),
    error_code(1, "failed, for example a file can't be read"),
    error_code(2, "the command line or the settings are wrong"),
    error_code(3, "conflict: another edit of the section came first"),
    error_code(4, "the document would be faulty"),
    error_code(5, "unknown: the store did not answer; use `document settle`"),
    error_code(6, "not landed: the edit has no effect and never will"),
    error_code(7, "neither the store nor an instance answered"),
    error_code(8, "the revision was not in force everywhere in time")
)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// print JSON for scripts instead of text
    #[argh(switch)]
    pub json: bool,
    /// the settings file
    #[argh(option)]
    pub settings: Option<String>,
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The top-level commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Document(DocumentArguments),
    Status(StatusArguments),
    Instances(InstancesArguments),
    Groups(GroupsArguments),
    Report(ReportArguments),
}

/// Show and change the document.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "document")]
pub struct DocumentArguments {
    #[argh(subcommand)]
    pub command: DocumentCommand,
}

/// The commands below `masticreel document`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum DocumentCommand {
    Show(ShowArguments),
    Edit(EditArguments),
    Diff(DiffArguments),
    Apply(ApplyArguments),
    Settle(SettleArguments),
    History(HistoryArguments),
}

/// Show the sections and the reports of the instances.
///
/// If the store does not answer, the document that is in force at an instance is
/// shown.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct ShowArguments {
    /// show only this section
    #[argh(positional)]
    pub section: Option<String>,
}

/// Copy a section to a file, to be changed with an editor and then applied.
///
/// The file's first line names the section and its revision; keep that line.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "edit")]
pub struct EditArguments {
    /// the section; a name not yet in the document starts a new one
    #[argh(positional)]
    pub section: String,
    /// the file to be written; SECTION.toml if not given
    #[argh(option)]
    pub output: Option<String>,
}

/// Show how a file differs from the section as it is now.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// the section; read from the file's first line if not given
    #[argh(option)]
    pub section: Option<String>,
}

/// Apply a changed section to the document.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// the section; read from the file's first line if not given
    #[argh(option)]
    pub section: Option<String>,
    /// the revision that the change starts from, 0 for a new section; read from
    /// the file's first line if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// who makes the edit
    #[argh(option)]
    pub author: Option<String>,
    /// wait until the revision is in force on every instance
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, in milliseconds; 10000 if not given
    #[argh(option, default = "10_000")]
    pub wait_timeout_ms: u64,
}

/// Determine whether an edit landed after the store did not answer.
///
/// The result is final: an edit that has not landed is prevented from landing
/// later.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settle")]
pub struct SettleArguments {
    /// the edit's id, as printed by apply
    #[argh(positional)]
    pub edit: String,
}

/// Show the last edits, or the text of one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct HistoryArguments {
    /// show this revision's change instead
    #[argh(option)]
    pub revision: Option<u64>,
}

/// Show the state of the first instance that answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// Show the instances, as known to the first one that answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "instances")]
pub struct InstancesArguments {}

/// Show the database groups, their primaries and servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "groups")]
pub struct GroupsArguments {}

/// Show how fast the service levels burn their error budgets.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArguments {
    /// write an HTML page to this file as well
    #[argh(option)]
    pub html: Option<String>,
}
