use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AccountName, ClockTime};

use crate::PlacementCore;
use crate::account_usage::AccountUsage;
use crate::gang_queue::ShapeKey;
use crate::job_entry::{ArrivalRank, JobKey, JobPhase};
use crate::pool_state::PoolArea;
use crate::queue_cursor::QueueCursor;

/// Shapes that failed in this pass, for jobs before and after the barrier.
type FailedShapes = BTreeSet<(ShapeKey, bool)>;

/// Borrowed jobs: fair order among accounts, bounded overtaking, and backfill that yields.
impl PlacementCore {
    pub(crate) fn pass_borrowed(&mut self, now: ClockTime) {
        for usage in self.usages.values_mut() {
            usage.advance(now, self.options.usage_half_life_ms);
        }
        let mut failed = FailedShapes::new();
        let accounts = self.queue.accounts.iter();
        let mut cursors: BTreeMap<AccountName, QueueCursor> = accounts
            .map(|(account, queue)| (account.clone(), QueueCursor::new(queue)))
            .collect();
        // Shares are not negative, so their bits have the order of their values.
        let mut order: BTreeSet<(u64, AccountName)> = cursors
            .keys()
            .map(|account| (self.borrowed_share(account).to_bits(), account.clone()))
            .collect();
        for _ in 0..self.options.max_tries {
            let Some((_, account)) = order.first() else {
                return;
            };
            if !self.has_budget() {
                return;
            }
            let account = account.clone();
            let queue = &self.queue.accounts[&account];
            let next = cursors.get_mut(&account).and_then(|cursor| cursor.pop(queue));
            let Some((key, group)) = next else {
                order.pop_first();
                continue;
            };
            let behind = is_behind(self.barrier, &self.jobs[key].rank());
            let attempt = (group.1, behind);
            if failed.contains(&attempt) || !self.start_borrowed(key, behind, now) {
                failed.insert(attempt);
                continue;
            }
            order.pop_first();
            if let (Some(queue), Some(cursor)) =
                (self.queue.accounts.get(&account), cursors.get_mut(&account))
            {
                cursor.push(queue, group);
                order.insert((self.borrowed_share(&account).to_bits(), account));
            }
            if std::mem::take(&mut self.newly_due) {
                // New reservations take cells away, so shapes that failed still fail in this pass.
                self.make_reservations(now);
                self.dirty = true;
            }
        }
        self.dirty = true;
    }

    /// Returns the share by which accounts are ordered; the smallest goes first.
    fn borrowed_share(&self, account: &AccountName) -> f64 {
        self.usages.get(account).map_or(0.0, AccountUsage::share)
    }

    fn start_borrowed(&mut self, key: JobKey, behind: bool, now: ClockTime) -> bool {
        let Some(demand) = self.borrowed_demand(key) else {
            return false;
        };
        let entry = &self.jobs[key];
        let reserved = matches!(&entry.phase, JobPhase::Queued { reservation: Some(_) });
        let may_yield = entry.spec.checkpointable && !reserved;
        let mut placed = None;
        if !behind {
            let loads = self.pool.place(key, &demand, PoolArea::Open);
            placed = loads.map(|loads| (loads, false));
        }
        if placed.is_none() && may_yield {
            let loads = self.pool.place(key, &demand, PoolArea::Lendable);
            placed = loads.map(|loads| (loads, true));
        }
        let Some((loads, yielding)) = placed else {
            return false;
        };
        self.dequeue(key);
        if !yielding {
            self.count_overtakes(key);
        }
        self.start_attempt(key, loads, Vec::new(), yielding, now);
        true
    }

    /// Counts the start of a borrowed job for the earlier arrivals that still wait.
    pub(crate) fn count_overtakes(&mut self, started: JobKey) {
        let rank = self.jobs[started].rank();
        for key in self.queue.arrivals.range(..rank).map(|(_, key)| *key) {
            let job = &mut self.jobs[key];
            job.overtaken = job.overtaken.saturating_add(1);
            if job.overtaken == self.options.max_overtakes {
                self.newly_due = true;
            }
        }
    }
}

fn is_behind(barrier: Option<ArrivalRank>, rank: &ArrivalRank) -> bool {
    barrier.is_some_and(|barrier| *rank > barrier)
}
