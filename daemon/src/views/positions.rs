//! Determines a group's current position for reads: one that covers all writes
//! acknowledged so far.
//!
//! Reads that wait for the position of the same group share queries to its
//! observers. A read only uses the result of a query that was started after the
//! read began to wait.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use masticreel_base::ids::{GroupId, RequestId};
use masticreel_base::position::TermPosition;
use masticreel_document::groups::GroupSpec;
use masticreel_wire::group::{PositionRequest, PositionResponse};

use crate::directory::{OwnerDirectory, OwnerLocation};
use crate::views::Views;
use crate::watch::{Watch, observers};

/// Timeout for the answer of one observer.
const OBSERVER_TIMEOUT: Duration = Duration::from_millis(500);

/// The position queries of each group.
#[derive(Default)]
pub struct PositionQueries {
    by_group: Mutex<HashMap<GroupId, Arc<GroupQueries>>>,
}

/// The position queries of one group, of which at most one is in flight.
#[derive(Default)]
struct GroupQueries {
    state: Mutex<QueryState>,
    /// Notified when a query has ended.
    completed: Condvar,
}

#[derive(Default)]
struct QueryState {
    in_flight: bool,
    /// Number of the last query that was started.
    last_started: u64,
    /// Number of the last query that has ended.
    last_completed: u64,
    /// The result of the last query that has ended.
    position: Option<TermPosition>,
}

impl PositionQueries {
    /// Returns a position that covers every write acknowledged before the call.
    ///
    /// Returns `None` if no majority confirmed such a position before the deadline.
    pub fn current<Directory>(
        &self,
        views: &Views<Directory>,
        group: &GroupSpec,
        deadline: Instant,
    ) -> Option<TermPosition>
    where
        Directory: OwnerDirectory,
    {
        let query = self.query(&group.name);
        query.wait(deadline, || views.query_position(group, deadline))
    }

    fn query(&self, group: &GroupId) -> Arc<GroupQueries> {
        let mut by_group =
            self.by_group.lock().expect("no thread panics while it holds the queries lock");
        by_group.entry(group.clone()).or_default().clone()
    }
}

impl GroupQueries {
    /// Waits for the result of a query that is started after the call.
    ///
    /// A query that is in flight already may miss writes acknowledged before the call.
    /// The first thread that finds no query in flight runs the next one, for all that
    /// wait by then.
    fn wait<Run>(&self, deadline: Instant, run: Run) -> Option<TermPosition>
    where
        Run: Fn() -> Option<TermPosition>,
    {
        let mut state =
            self.state.lock().expect("no thread panics while it holds the query's state lock");
        let needed = state.last_started + 1;
        loop {
            if state.last_completed >= needed {
                return state.position;
            }
            if !state.in_flight {
                state.in_flight = true;
                state.last_started += 1;
                let number = state.last_started;
                drop(state);
                let position = run();
                state = self
                    .state
                    .lock()
                    .expect("no thread panics while it holds the query's state lock");
                state.in_flight = false;
                state.last_completed = number;
                state.position = position;
                self.completed.notify_all();
                continue;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let (woken, _) = self
                .completed
                .wait_timeout(state, remaining)
                .expect("no thread panics while it holds the query's state lock");
            state = woken;
        }
    }
}

impl<Directory> Views<Directory>
where
    Directory: OwnerDirectory,
{
    /// Queries the observers one after the other by rank, until one has an answer.
    fn query_position(&self, group: &GroupSpec, deadline: Instant) -> Option<TermPosition> {
        let primary = self.view(&group.name).primary;
        observers(&self.directory, group, primary.as_ref())
            .into_iter()
            .take_while(|_| Instant::now() < deadline)
            .find_map(|observer| self.query_observer(observer, group, deadline))
    }

    fn query_observer(
        &self,
        observer: OwnerLocation,
        group: &GroupSpec,
        deadline: Instant,
    ) -> Option<TermPosition> {
        let deadline = deadline.min(Instant::now() + OBSERVER_TIMEOUT);
        let Some(peer) = observer.peer() else {
            return self.watch.group(&group.name)?.wait_for_position(deadline);
        };
        let timeout = deadline.saturating_duration_since(Instant::now());
        let request = PositionRequest {
            id: RequestId::default(),
            group: group.name.clone(),
            timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        };
        self.links.request_position(peer, request, timeout)?.position
    }
}

/// Waits for a group's current position on behalf of another instance.
pub fn handle_position_request<Directory>(
    watch: &Watch<Directory>,
    request: &PositionRequest,
) -> PositionResponse
where
    Directory: OwnerDirectory,
{
    let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
    let position = watch.group(&request.group).and_then(|group| group.wait_for_position(deadline));
    PositionResponse { id: request.id, position }
}
