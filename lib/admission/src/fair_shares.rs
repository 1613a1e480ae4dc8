//! Fair shares of a server's execution time among keys with waiting requests.

use std::collections::BTreeMap;
use std::time::Duration;

/// Sums the expected execution times of the requests started for each key while
/// requests were waiting.
///
/// This is start-time fair queueing with an allowance: a key is within its share
/// while it was charged at most `allowance` more than the least charged among the
/// keys with waiting requests. The allowance leaves the queue free to order
/// requests by expected time. All accounts are cleared when no request waits, so
/// that time received without contention doesn't count against a key later.
#[derive(Debug, Clone)]
pub struct FairShares<Key> {
    allowance: Duration,
    accounts: BTreeMap<Key, Account>,
    /// Least time charged to a key with waiting requests; never decreases while
    /// requests wait.
    min_charged: Duration,
}

#[derive(Debug, Clone, Default)]
struct Account {
    /// Expected execution time of the requests that were started.
    charged: Duration,
    waiting: usize,
}

/// Above this number of accounts, all without waiting requests are removed.
///
/// At or below it, one without waiting requests is kept while it was charged more
/// than `min_charged`.
const MAX_ACCOUNTS: usize = 256;

impl<Key> FairShares<Key>
where
    Key: Ord + Clone,
{
    /// Creates shares without accounts.
    pub fn new(allowance: Duration) -> Self {
        Self { allowance, accounts: BTreeMap::new(), min_charged: Duration::ZERO }
    }

    /// Records that a request of this key waits.
    pub fn enqueued(&mut self, key: &Key) {
        let min_charged = self.min_charged;
        let account = self.accounts.entry(key.clone()).or_default();
        if account.waiting == 0 {
            account.charged = account.charged.max(min_charged);
        }
        account.waiting += 1;
    }

    /// Records that a waiting request of this key starts, and adds `cost`, its
    /// expected execution time, to the key's account.
    pub fn started(&mut self, key: &Key, cost: Duration) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.charged += cost;
        }
        self.removed(key);
    }

    /// Records that a waiting request of this key was removed without being
    /// served.
    pub fn removed(&mut self, key: &Key) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.waiting = account.waiting.saturating_sub(1);
        }
        self.advance_and_prune();
    }

    /// Returns whether the key is within the allowance, so that its requests may
    /// be served before those of other keys.
    pub fn is_within_share(&self, key: &Key) -> bool {
        let Some(account) = self.accounts.get(key) else {
            return true;
        };
        account.charged <= self.min_charged + self.allowance
    }

    /// Returns the number of waiting requests of this key.
    pub fn waiting(&self, key: &Key) -> usize {
        self.accounts.get(key).map_or(0, |account| account.waiting)
    }

    /// Returns the number of keys that have requests waiting.
    pub fn backlogged(&self) -> usize {
        self.accounts.values().filter(|account| account.waiting > 0).count()
    }

    /// Returns the key with the most waiting requests, and their number.
    pub fn most_waiting(&self) -> Option<(&Key, usize)> {
        let (key, account) = self.accounts.iter().max_by_key(|(_, account)| account.waiting)?;
        Some((key, account.waiting))
    }

    /// Advances `min_charged` and removes accounts that are no longer needed.
    fn advance_and_prune(&mut self) {
        let backlogged = self.accounts.values().filter(|account| account.waiting > 0);
        let Some(least_charged) = backlogged.map(|account| account.charged).min() else {
            self.accounts.clear();
            self.min_charged = Duration::ZERO;
            return;
        };
        self.min_charged = self.min_charged.max(least_charged);
        let least = self.min_charged;
        let is_full = self.accounts.len() > MAX_ACCOUNTS;
        self.accounts
            .retain(|_, account| account.waiting > 0 || (account.charged > least && !is_full));
    }
}
