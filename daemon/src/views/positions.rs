//! Asks for a group's current position, once for all who wait.

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

/// Longest wait for one observer's answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The questions under way, by group.
#[derive(Default)]
pub struct Positions {
    by_group: Mutex<HashMap<GroupId, Arc<Question>>>,
}

/// The questions about one group. Only one is under way at a time.
#[derive(Default)]
struct Question {
    state: Mutex<QuestionState>,
    answered: Condvar,
}

#[derive(Default)]
struct QuestionState {
    under_way: bool,
    /// Number of the last question that was sent.
    sent: u64,
    /// Number of the last question that was answered, and its answer.
    answered: u64,
    answer: Option<TermPosition>,
}

impl Positions {
    /// Returns a position that covers all that was acknowledged before the call.
    ///
    /// Returns nothing if no majority confirmed one in time.
    pub fn current<Directory>(
        &self,
        views: &Views<Directory>,
        group: &GroupSpec,
        deadline: Instant,
    ) -> Option<TermPosition>
    where
        Directory: OwnerDirectory,
    {
        let question = self.question(&group.name);
        question.wait(deadline, || views.ask_position(group, deadline))
    }

    fn question(&self, group: &GroupId) -> Arc<Question> {
        let mut by_group = self.by_group.lock().expect("no holder of the questions panics");
        by_group.entry(group.clone()).or_default().clone()
    }
}

impl Question {
    /// Waits for the answer to a question that is sent from now on.
    ///
    /// The first who finds no question under way sends the next one, on behalf
    /// of all who came before it was sent.
    fn wait<Ask>(&self, deadline: Instant, ask: Ask) -> Option<TermPosition>
    where
        Ask: Fn() -> Option<TermPosition>,
    {
        let mut state = self.state.lock().expect("no holder of the question panics");
        let needed = state.sent + 1;
        loop {
            if state.answered >= needed {
                return state.answer;
            }
            if !state.under_way {
                state.under_way = true;
                state.sent += 1;
                let number = state.sent;
                drop(state);
                let answer = ask();
                state = self.state.lock().expect("no holder of the question panics");
                state.under_way = false;
                state.answered = number;
                state.answer = answer;
                self.answered.notify_all();
                continue;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let (woken, _) = self
                .answered
                .wait_timeout(state, remaining)
                .expect("no holder of the question panics");
            state = woken;
        }
    }
}

impl<Directory> Views<Directory>
where
    Directory: OwnerDirectory,
{
    /// Asks the observers, the primary's owner first.
    fn ask_position(&self, group: &GroupSpec, deadline: Instant) -> Option<TermPosition> {
        let primary = self.view(&group.name).primary;
        observers(&self.directory, group, primary.as_ref())
            .into_iter()
            .take_while(|_| Instant::now() < deadline)
            .find_map(|observer| self.ask_observer(observer, group, deadline))
    }

    fn ask_observer(
        &self,
        observer: OwnerLocation,
        group: &GroupSpec,
        deadline: Instant,
    ) -> Option<TermPosition> {
        let deadline = deadline.min(Instant::now() + QUESTION_TIMEOUT);
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

/// Answers another instance's question about a group's position.
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
