//! The thread that polls one server and sends commands to it, on one control
//! connection: a connection to the server for its status and for commands only.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_group::observer::PollReport;
use masticreel_group::promotion::{ServerCommand, ServerCommandKind, ServerCommandOutcome};
use masticreel_group::server::{ServerControl, ServerStatus};
use masticreel_postgres::control::PostgresControl;
use slog::debug;

use crate::watch::group::{PollerTask, WatchedGroup};

/// Timeout for a server's answer on a control connection.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);
/// Stack size of a poller thread.
const POLLER_STACK_BYTES: usize = 256 * 1024;

/// Starts the thread for one server of a group.
pub(super) fn spawn(group: Arc<WatchedGroup>, index: usize) {
    let server = group.server(index);
    let database = group.spec().database.clone();
    let control = PostgresControl::new(server.address, &database, CONTROL_TIMEOUT);
    thread::Builder::new()
        .name(format!("poll-{}", server.name))
        .stack_size(POLLER_STACK_BYTES)
        .spawn(move || run(&group, index, control))
        .expect("a poller thread can be started");
}

fn run<Control>(group: &WatchedGroup, index: usize, mut control: Control)
where
    Control: ServerControl,
{
    let mut last_started_at = None;
    loop {
        match group.next_task(index, last_started_at) {
            PollerTask::Stop => return,
            PollerTask::Poll => {
                let started_at = Instant::now();
                last_started_at = Some(started_at);
                let status = poll(group, index, &mut control);
                let server = group.server(index).name.clone();
                group.on_report(PollReport { server, started_at, status });
            }
            PollerTask::SendCommand(command) => {
                let outcome = send_command(group, &command, &mut control);
                group.on_outcome(&command, outcome);
                // The command may have changed the status, so poll without delay.
                last_started_at = None;
            }
        }
    }
}

fn poll<Control>(group: &WatchedGroup, index: usize, control: &mut Control) -> Option<ServerStatus>
where
    Control: ServerControl,
{
    match control.status() {
        Ok(status) => Some(status),
        Err(failure) => {
            debug!(group.logger(), "status poll of server failed";
                "server" => %group.server(index).name, "error" => %failure);
            None
        }
    }
}

fn send_command<Control>(
    group: &WatchedGroup,
    command: &ServerCommand,
    control: &mut Control,
) -> ServerCommandOutcome
where
    Control: ServerControl,
{
    let result = match &command.kind {
        ServerCommandKind::Fence { term, claim } => control.fence(*term, claim),
        ServerCommandKind::Promote { term, claim } => control.promote(*term, claim),
        ServerCommandKind::Follow { term, primary } => {
            let primary = group.spec().servers.iter().find(|server| server.name == *primary);
            match primary {
                Some(primary) => control.follow(*term, primary.address),
                None => return ServerCommandOutcome::Refused,
            }
        }
    };
    match result {
        Ok(status) => ServerCommandOutcome::Done(status),
        Err(failure) if is_refusal(&failure) => ServerCommandOutcome::Refused,
        Err(_) => ServerCommandOutcome::Lost,
    }
}

/// Returns whether the server received the command and refused it, which
/// `PostgresControl` reports with this kind for any reason.
fn is_refusal(failure: &Failure) -> bool {
    failure.kind == FailureKind::NotPrimary
}
