use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AccountName, ClockTime};

use crate::PlacementCore;
use crate::account_usage::AccountUsage;
use crate::gang_queue::ShapeKey;
use crate::job_entry::{ArrivalRank, JobKey, JobPhase};
use crate::pool_state::PoolArea;
use crate::queue_cursor::QueueCursor;

/// Shapes that could not be placed in this pass; the flag is set for jobs after the barrier.
type FailedShapes = BTreeSet<(ShapeKey, bool)>;

/// Placement of borrowed jobs: fair order among accounts, bounded overtaking and preemptible backfill.
impl PlacementCore {
    pub(crate) fn run_borrowed_pass(&mut self, now: ClockTime) {
        for usage in self.usages.values_mut() {
            usage.update_average(now, self.options.usage_half_life_ms);
        }
        let mut failed = FailedShapes::new();
        let accounts = self.queue.accounts.iter();
        let mut cursors: BTreeMap<AccountName, QueueCursor> = accounts
            .map(|(account, queue)| (account.clone(), QueueCursor::new(queue)))
            .collect();
        // The values are not negative, so their bit patterns sort in the order of the values.
        let mut order: BTreeSet<(u64, AccountName)> = cursors
            .keys()
            .map(|account| (self.weighted_usage(account).to_bits(), account.clone()))
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
            let after_barrier = is_after_barrier(self.barrier, &self.jobs[key].rank());
            let shape = (group.1, after_barrier);
            if failed.contains(&shape) || !self.start_borrowed(key, after_barrier, now) {
                failed.insert(shape);
                continue;
            }
            order.pop_first();
            if let (Some(queue), Some(cursor)) =
                (self.queue.accounts.get(&account), cursors.get_mut(&account))
            {
                cursor.push(queue, group);
                order.insert((self.weighted_usage(&account).to_bits(), account));
            }
            if std::mem::take(&mut self.reservation_due) {
                // New reservations only reduce the free cells, so `failed` stays valid.
                self.make_reservations(now);
                self.dirty = true;
            }
        }
        // The limit of tries was reached, so another call of `decide` is needed.
        self.dirty = true;
    }

    /// Returns the value by which accounts are ordered, lowest first.
    fn weighted_usage(&self, account: &AccountName) -> f64 {
        self.usages.get(account).map_or(0.0, AccountUsage::weighted_usage)
    }

    fn start_borrowed(&mut self, key: JobKey, after_barrier: bool, now: ClockTime) -> bool {
        let Some(demand) = self.borrowed_demand(key) else {
            return false;
        };
        let entry = &self.jobs[key];
        let reserved = matches!(&entry.phase, JobPhase::Queued { reservation: Some(_) });
        let can_backfill = entry.spec.checkpointable && !reserved;
        let mut placed = None;
        if !after_barrier {
            let loads = self.pool.place(key, &demand, PoolArea::Unreserved);
            placed = loads.map(|loads| (loads, false));
        }
        if placed.is_none() && can_backfill {
            let loads = self.pool.place(key, &demand, PoolArea::Backfill);
            placed = loads.map(|loads| (loads, true));
        }
        let Some((loads, backfill)) = placed else {
            return false;
        };
        self.dequeue(key);
        if !backfill {
            self.count_overtakes(key);
        }
        self.start_attempt(key, loads, Vec::new(), backfill, now);
        true
    }

    /// Increments the overtake count of the queued jobs that arrived before the started borrowed job.
    pub(crate) fn count_overtakes(&mut self, started: JobKey) {
        let rank = self.jobs[started].rank();
        for key in self.queue.arrivals.range(..rank).map(|(_, key)| *key) {
            let job = &mut self.jobs[key];
            job.overtaken = job.overtaken.saturating_add(1);
            if job.overtaken == self.options.max_overtakes {
                self.reservation_due = true;
            }
        }
    }
}

fn is_after_barrier(barrier: Option<ArrivalRank>, rank: &ArrivalRank) -> bool {
    barrier.is_some_and(|barrier| *rank > barrier)
}
