//! Fair shares of a server among those who have work waiting for it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Keeps count of the time that each key was served while others waited.
///
/// This is start-time fair queueing with an allowance: a key may run ahead of
/// the least served one by the allowance, which leaves the queue free to order
/// requests by expected time, and no further. Accounts last as long as anyone
/// waits; without contention there is no debt.
#[derive(Debug, Clone)]
pub struct FairShares<Key> {
    allowance: Duration,
    accounts: BTreeMap<Key, Account>,
    floor: Duration,
}

#[derive(Debug, Clone, Default)]
struct Account {
    served: Duration,
    waiting: usize,
}

/// Accounts beyond this many are kept only while requests wait.
const MAX_IDLE_ACCOUNTS: usize = 256;

impl<Key> FairShares<Key>
where
    Key: Ord + Clone,
{
    /// Creates an empty set of accounts.
    pub fn new(allowance: Duration) -> Self {
        Self { allowance, accounts: BTreeMap::new(), floor: Duration::ZERO }
    }

    /// Notes that a request of this key waits.
    pub fn enqueued(&mut self, key: &Key) {
        let floor = self.floor;
        let account = self.accounts.entry(key.clone()).or_default();
        if account.waiting == 0 {
            account.served = account.served.max(floor);
        }
        account.waiting += 1;
    }

    /// Notes that a waiting request of this key starts and what it costs.
    pub fn started(&mut self, key: &Key, cost: Duration) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.served += cost;
        }
        self.removed(key);
    }

    /// Notes that a waiting request of this key will not be served.
    pub fn removed(&mut self, key: &Key) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.waiting = account.waiting.saturating_sub(1);
        }
        self.settle();
    }

    /// Returns whether the key may be served before the others who wait.
    pub fn is_within_share(&self, key: &Key) -> bool {
        let Some(account) = self.accounts.get(key) else {
            return true;
        };
        account.served <= self.floor + self.allowance
    }

    /// Returns how many requests of this key wait.
    pub fn waiting(&self, key: &Key) -> usize {
        self.accounts.get(key).map_or(0, |account| account.waiting)
    }

    /// Returns the number of keys that have requests waiting.
    pub fn backlogged(&self) -> usize {
        self.accounts.values().filter(|account| account.waiting > 0).count()
    }

    /// Returns the key with the most requests waiting.
    pub fn most_waiting(&self) -> Option<(&Key, usize)> {
        let (key, account) = self.accounts.iter().max_by_key(|(_, account)| account.waiting)?;
        Some((key, account.waiting))
    }

    fn settle(&mut self) {
        let backlogged = self.accounts.values().filter(|account| account.waiting > 0);
        let Some(least_served) = backlogged.map(|account| account.served).min() else {
            self.accounts.clear();
            self.floor = Duration::ZERO;
            return;
        };
        self.floor = self.floor.max(least_served);
        let floor = self.floor;
        let crowded = self.accounts.len() > MAX_IDLE_ACCOUNTS;
        self.accounts
            .retain(|_, account| account.waiting > 0 || (account.served > floor && !crowded));
    }
}
