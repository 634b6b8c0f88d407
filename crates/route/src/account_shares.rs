use std::collections::BTreeMap;

use arbutuspick_model::AccountName;

/// Virtual time that one start costs an account of weight 1.
const START_COST: u64 = 1 << 20;

/// Queued requests and start order of client accounts, by weight.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    accounts: BTreeMap<AccountName, AccountShare>,
    /// Virtual time of the last start; an account that was idle begins here.
    virtual_time: u64,
}

/// Share of one account.
#[derive(Debug)]
pub(crate) struct AccountShare {
    pub(crate) queued: usize,
    pub(crate) weight: u32,
    /// Virtual time at which the account is next to start.
    next_start: u64,
}

impl AccountShares {
    pub(crate) fn add(&mut self, account: &AccountName, weight: u32) {
        let virtual_time = self.virtual_time;
        let share = self.accounts.entry(account.clone()).or_insert(AccountShare {
            queued: 0,
            weight,
            next_start: virtual_time,
        });
        share.weight = weight.max(1);
        if share.queued == 0 {
            share.next_start = share.next_start.max(virtual_time);
        }
        share.queued += 1;
    }

    pub(crate) fn remove(&mut self, account: &AccountName) {
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        share.queued -= 1;
        // An idle account is kept while it is ahead of the others, so that it cannot gain by returning.
        if share.queued == 0 && share.next_start <= self.virtual_time {
            self.accounts.remove(account);
        }
    }

    /// Charges an account for a start.
    pub(crate) fn charge_start(&mut self, account: &AccountName) {
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(share.next_start);
        share.next_start += START_COST / u64::from(share.weight);
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, share| share.queued > 0 || share.next_start > virtual_time);
    }

    /// Returns the virtual time at which the account is next to start.
    pub(crate) fn next_start(&self, account: &AccountName) -> u64 {
        self.accounts
            .get(account)
            .map_or(self.virtual_time, |share| share.next_start)
    }

    /// Returns whether the account has fewer queued requests than its share of a queue of this size.
    pub(crate) fn is_below_share(&self, account: &AccountName, weight: u32, bound: usize) -> bool {
        let weight = u64::from(weight.max(1));
        let others: u64 = self
            .waiting()
            .filter(|(name, _)| *name != account)
            .map(|(_, share)| u64::from(share.weight))
            .sum();
        let queued = self.accounts.get(account).map_or(0, |share| share.queued);
        queued as u64 * (others + weight) < bound as u64 * weight
    }

    /// Returns the other account with the most queued for its weight.
    pub(crate) fn most_queued_except(&self, account: &AccountName) -> Option<AccountName> {
        // Products instead of quotients compare queued/weight exactly.
        self.waiting()
            .filter(|(name, _)| *name != account)
            .max_by(|(_, a), (_, b)| {
                let left = a.queued as u64 * u64::from(b.weight);
                left.cmp(&(b.queued as u64 * u64::from(a.weight)))
            })
            .map(|(name, _)| name.clone())
    }

    /// Returns the queued requests by account.
    pub(crate) fn queued(&self) -> BTreeMap<AccountName, usize> {
        self.waiting()
            .map(|(name, share)| (name.clone(), share.queued))
            .collect()
    }

    fn waiting(&self) -> impl Iterator<Item = (&AccountName, &AccountShare)> {
        self.accounts.iter().filter(|(_, share)| share.queued > 0)
    }
}
