//! Admits requests to servers according to the results of the watch.

use std::sync::Arc;
use std::time::{Duration, Instant};

use masticreel_base::failure::{Failure, FailureKind};
use masticreel_base::ids::ServerId;
use masticreel_base::position::TermPosition;
use masticreel_group::observer::GroupObserver;
use masticreel_group::view::GroupView;
use masticreel_session::routing::ReadRequirements;
use masticreel_wire::message::{Target, UpstreamRequest};

use crate::directory::OwnerDirectory;
use crate::owner::guard::{CheckedTerm, ConfirmationHold, ServerGuard};
use crate::watch::Watch;
use crate::watch::group::{AwaitedServers, WatchedGroup};

/// A primary gets new requests only if a majority confirmed its position within this
/// time.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);

/// Admits requests and confirms commits by the polls of the watched groups.
pub struct WatchGuard<Directory> {
    watch: Arc<Watch<Directory>>,
}

impl<Directory> Clone for WatchGuard<Directory> {
    fn clone(&self) -> Self {
        Self { watch: self.watch.clone() }
    }
}

impl<Directory> WatchGuard<Directory>
where
    Directory: OwnerDirectory,
{
    /// Creates a guard that uses the results of a watch.
    pub fn new(watch: Arc<Watch<Directory>>) -> Self {
        Self { watch }
    }

    fn group(&self, request: &UpstreamRequest) -> Option<Arc<WatchedGroup>> {
        self.watch.group(&request.group)
    }
}

impl<Directory> ServerGuard for WatchGuard<Directory>
where
    Directory: OwnerDirectory,
{
    fn check_request(&self, request: &UpstreamRequest) -> Option<Result<CheckedTerm, Failure>> {
        let Some(group) = self.group(request) else {
            let message = format!("this instance does not watch group {}", request.group);
            return Some(Err(Failure::not_run(FailureKind::NotOwner, message)));
        };
        if group.with_observer(GroupObserver::is_isolated) {
            // That may be because all control connections are taken: servers reserve few
            // of them, and a frozen instance keeps those that it opened. Another
            // observer can still serve the request.
            let message = format!("no server of group {} answers this instance", request.group);
            return Some(Err(Failure::not_run(FailureKind::NotOwner, message)));
        }
        let view = group.view();
        let now = Instant::now();
        match &request.target {
            Target::Primary => check_primary(&view, &request.server, now),
            Target::Read { floor, max_staleness_ms } => {
                let max_staleness = max_staleness_ms.map(Duration::from_millis);
                let requirements = ReadRequirements { floor: *floor, max_staleness };
                let is_met = requirements.are_met_in(&view, &request.server, now);
                is_met.then_some(Ok(CheckedTerm { term: view.term }))
            }
        }
    }

    fn hold_confirmation(&self, request: &UpstreamRequest) -> ConfirmationHold {
        self.group(request).map(|group| group.hold_confirmation()).unwrap_or_default()
    }

    fn check_commit(
        &self,
        request: &UpstreamRequest,
        position: TermPosition,
    ) -> Option<Result<(), Failure>> {
        match self.watch.polled_group(&request.group) {
            Some(group) => group.with_observer(|observer| check_commit(observer, position)),
            None => Some(Err(unconfirmed("the group is not watched here any more"))),
        }
    }

    fn wait_for_change(&self, request: &UpstreamRequest, timeout: Duration) {
        let awaited = match &request.target {
            Target::Primary => AwaitedServers::AllServers,
            Target::Read { .. } => AwaitedServers::Server(request.server.clone()),
        };
        match self.watch.polled_group(&request.group) {
            Some(group) => group.wait_for_report(&awaited, timeout),
            None => std::thread::sleep(timeout),
        }
    }
}

fn check_commit(observer: &GroupObserver, position: TermPosition) -> Option<Result<(), Failure>> {
    // A commit that wrote nothing may report a position before the primary's own
    // entries, in the log that it inherited, and needs no confirmation.
    if observer.is_on_majority(position) || observer.is_inherited(position) {
        return Some(Ok(()));
    }
    let is_superseded = observer.term() > position.term;
    is_superseded
        .then(|| Err(unconfirmed("the primary was replaced before a majority held the commit")))
}

fn check_primary(
    view: &GroupView,
    server: &ServerId,
    now: Instant,
) -> Option<Result<CheckedTerm, Failure>> {
    let primary = view.primary.as_ref()?;
    if primary != server {
        let message = format!("server {server} is not the primary");
        return Some(Err(Failure::not_run(FailureKind::NotPrimary, message)));
    }
    is_recently_confirmed(view, now).then_some(Ok(CheckedTerm { term: view.term }))
}

fn is_recently_confirmed(view: &GroupView, now: Instant) -> bool {
    view.confirmed.is_some_and(|confirmed| {
        let age = now.saturating_duration_since(confirmed.as_of);
        confirmed.position.term == view.term && age <= MAX_CONFIRMATION_AGE
    })
}

fn unconfirmed(message: &str) -> Failure {
    Failure::may_have_run(FailureKind::Unconfirmed, message)
}
