use std::collections::BTreeMap;

use arbutuspick_model::AccountName;

/// Virtual time by which one dequeued request advances an account of weight 1.
const UNIT_STRIDE: u64 = 1 << 20;

/// Weighted fair queueing state: queued requests and virtual time of each client account.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    accounts: BTreeMap<AccountName, AccountShare>,
    /// Virtual time of the latest dequeue; an account that was idle resumes from here.
    virtual_time: u64,
}

/// Weighted fair queueing state of one account.
#[derive(Debug)]
pub(crate) struct AccountShare {
    pub(crate) queued: usize,
    pub(crate) weight: u32,
    /// Virtual time of the account's next dequeue.
    next_dequeue: u64,
}

impl AccountShares {
    pub(crate) fn add(&mut self, account: &AccountName, weight: u32) {
        let virtual_time = self.virtual_time;
        let share = self.accounts.entry(account.clone()).or_insert(AccountShare {
            queued: 0,
            weight,
            next_dequeue: virtual_time,
        });
        share.weight = weight.max(1);
        if share.queued == 0 {
            share.next_dequeue = share.next_dequeue.max(virtual_time);
        }
        share.queued += 1;
    }

    pub(crate) fn remove(&mut self, account: &AccountName) {
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        share.queued -= 1;
        // An idle account that is ahead of the virtual time is kept. Otherwise it would return at the
        // current virtual time and exceed its share.
        if share.queued == 0 && share.next_dequeue <= self.virtual_time {
            self.accounts.remove(account);
        }
    }

    /// Advances the virtual time of an account by one dequeued request.
    pub(crate) fn charge_dequeue(&mut self, account: &AccountName) {
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(share.next_dequeue);
        share.next_dequeue += UNIT_STRIDE / u64::from(share.weight);
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, share| share.queued > 0 || share.next_dequeue > virtual_time);
    }

    /// Returns the virtual time of the account's next dequeue.
    pub(crate) fn next_dequeue(&self, account: &AccountName) -> u64 {
        self.accounts
            .get(account)
            .map_or(self.virtual_time, |share| share.next_dequeue)
    }

    /// Returns whether the account has fewer queued requests than its weighted share of `bound`.
    pub(crate) fn is_below_share(&self, account: &AccountName, weight: u32, bound: usize) -> bool {
        let weight = u64::from(weight.max(1));
        let others: u64 = self
            .backlogged()
            .filter(|(name, _)| *name != account)
            .map(|(_, share)| u64::from(share.weight))
            .sum();
        let queued = self.accounts.get(account).map_or(0, |share| share.queued);
        queued as u64 * (others + weight) < bound as u64 * weight
    }

    /// Returns the account other than `account` with the most queued requests relative to its weight.
    pub(crate) fn most_queued_except(&self, account: &AccountName) -> Option<AccountName> {
        // Cross-multiplication compares queued/weight without rounding.
        self.backlogged()
            .filter(|(name, _)| *name != account)
            .max_by(|(_, a), (_, b)| {
                let left = a.queued as u64 * u64::from(b.weight);
                left.cmp(&(b.queued as u64 * u64::from(a.weight)))
            })
            .map(|(name, _)| name.clone())
    }

    /// Returns the number of queued requests by account.
    pub(crate) fn queued(&self) -> BTreeMap<AccountName, usize> {
        self.backlogged()
            .map(|(name, share)| (name.clone(), share.queued))
            .collect()
    }

    fn backlogged(&self) -> impl Iterator<Item = (&AccountName, &AccountShare)> {
        self.accounts.iter().filter(|(_, share)| share.queued > 0)
    }
}
