//! Keeps the picture of the store up to date: a list, then one watch after the
//! other.

use std::sync::Arc;
use std::time::Duration;

use crate::mirror::Mirror;
use crate::moment::Moment;
use crate::protocol::StoreProtocol;
use crate::records::{Item, StoreAnswer, StoreCall};
use crate::store_view::{Change, StoreView};

/// How long the store may hold a watch without changes.
///
/// With [`WATCH_SLACK`], a connection that went silent costs less than the
/// three seconds in which a configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// How long another instance may hold a watch without changes.
const FOLLOWER_WAIT: Duration = Duration::from_millis(1000);
/// The age of the picture from which a follower asks the store itself.
const STALE_AGE: Duration = Duration::from_millis(2800);
/// How much later than the wait a watch is given up.
pub const WATCH_SLACK: Duration = Duration::from_millis(700);
/// How long a call may take; a slow store takes about 0.4 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Watches that brought news within this time follow each other closely.
const NEWS_WINDOW: Duration = Duration::from_millis(250);
/// How many such watches in a row are made without a pause.
const FREE_NEWS: u32 = 6;
/// The pause between further ones; a burst of changes then costs few calls.
const NEWS_PAUSE: Duration = Duration::from_millis(150);
/// The first pause after a failure.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows the store's items.
#[derive(Debug)]
pub struct StoreLink {
    state: State,
    asked_at: Moment,
    is_waiting: bool,
    not_before: Moment,
    failures: u32,
    news_at: Moment,
    news_in_row: u32,
    is_lost: bool,
}

#[derive(Debug)]
enum State {
    Listing { after: Option<Arc<str>>, items: Vec<Item>, started: Option<(Moment, u64)> },
    Watching,
}

/// What an answer of the store means.
#[derive(Debug, Default)]
pub struct Progress {
    /// What changed in the picture.
    pub changes: Vec<Change>,
    /// Whether the store has just stopped answering.
    pub is_newly_lost: bool,
    /// Whether the store answers again.
    pub is_regained: bool,
}

impl StoreLink {
    /// Creates a link that starts with a list.
    pub fn new() -> Self {
        Self {
            state: State::Listing { after: None, items: Vec::new(), started: None },
            asked_at: Moment::default(),
            is_waiting: false,
            not_before: Moment::default(),
            failures: 0,
            news_at: Moment::default(),
            news_in_row: 0,
            is_lost: false,
        }
    }

    /// Returns whether a full list was received.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Watching)
    }

    /// Returns whether the last answer came so late that another source is
    /// better.
    pub fn is_stale(&self, view: &StoreView, now: Moment) -> bool {
        view.confirmed_at().is_none_or(|at| now.since(at) > STALE_AGE)
    }

    /// Returns whether a call is due.
    pub fn is_due(&self, now: Moment) -> bool {
        !self.is_waiting && now >= self.not_before
    }

    /// Returns the next call, none while one is under way.
    pub fn next_call(&mut self, view: &StoreView, now: Moment, follows: bool) -> Option<StoreCall> {
        if !self.is_due(now) {
            return None;
        }
        self.is_waiting = true;
        self.asked_at = now;
        let wait = if follows { FOLLOWER_WAIT } else { WATCH_WAIT };
        Some(match &self.state {
            State::Listing { after, .. } => {
                StoreCall::List { after: after.clone(), may_be_stale: false }
            }
            State::Watching => StoreCall::Watch { after: view.revision(), wait },
        })
    }

    /// Takes an answer, none if the call was lost.
    pub fn answered<Store>(
        &mut self,
        view: &mut StoreView,
        mirror: &mut Mirror,
        now: Moment,
        answer: Option<StoreAnswer>,
        store: &Store,
    ) -> Progress
    where
        Store: StoreProtocol,
    {
        self.is_waiting = false;
        let mut progress = Progress::default();
        match answer {
            Some(StoreAnswer::Page { items, is_truncated, revision, age }) => {
                self.asked_at = self.asked_at.before(age);
                progress.changes = self.listed(view, mirror, items, is_truncated, revision, store);
            }
            Some(StoreAnswer::Events { events, revision, age }) => {
                self.pace_watches(now, !events.is_empty());
                mirror.apply(&events);
                progress.changes = view.apply(&events, store);
                view.confirm(self.asked_at.before(age), revision);
            }
            Some(StoreAnswer::HistoryGone) => self.restart(),
            Some(_) | None => {
                self.failures += 1;
                let pause = SHORTEST_PAUSE * self.failures.min(8);
                self.not_before = now + pause.min(LONGEST_PAUSE);
                progress.is_newly_lost = !std::mem::replace(&mut self.is_lost, true);
                if !self.is_complete() {
                    self.restart();
                }
                return progress;
            }
        }
        self.failures = 0;
        progress.is_regained = std::mem::replace(&mut self.is_lost, false);
        progress
    }

    /// Lets changes gather once several watches in a row have brought some.
    fn pace_watches(&mut self, now: Moment, has_news: bool) {
        let is_soon = now.since(self.news_at) < NEWS_WINDOW;
        self.news_in_row = if has_news && is_soon { self.news_in_row + 1 } else { 0 };
        if has_news {
            self.news_at = now;
        }
        if self.news_in_row > FREE_NEWS {
            self.not_before = now + NEWS_PAUSE;
        }
    }

    fn restart(&mut self) {
        self.state = State::Listing { after: None, items: Vec::new(), started: None };
    }

    fn listed<Store>(
        &mut self,
        view: &mut StoreView,
        mirror: &mut Mirror,
        page: Vec<Item>,
        is_truncated: bool,
        revision: u64,
        store: &Store,
    ) -> Vec<Change>
    where
        Store: StoreProtocol,
    {
        let State::Listing { after, items, started } = &mut self.state else {
            return Vec::new();
        };
        // Pages are no snapshot, so the watch starts from the first of them.
        let (asked_at, first_revision) = *started.get_or_insert((self.asked_at, revision));
        let last = page.last().map(|item| item.key.clone());
        items.extend(page);
        if is_truncated && last.is_some() {
            *after = last;
            return Vec::new();
        }
        let changes = view.replace(items, store);
        mirror.replace(items, first_revision);
        view.confirm(asked_at, first_revision);
        self.state = State::Watching;
        changes
    }
}

impl Default for StoreLink {
    fn default() -> Self {
        Self::new()
    }
}
