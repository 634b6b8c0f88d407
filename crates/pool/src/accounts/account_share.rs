//! Shares of client accounts by weight.
//!
//! Load pattern: one account sends many times its usual work, so that all workers are in use and the others wait behind
//! it. Work beyond the rate of its account, and then work of accounts that use more than their share, is placed after
//! the rest. While there is room, all of it starts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::ResourceAmount;
use crate::keys::JobKey;
use crate::pool_core::PoolCore;

/// Time for which an account may send ahead of its rate, in milliseconds; callers send in bursts of some seconds.
const BURST_MS: u64 = 5_000;

/// How a unit ranks by the share of its account; the smallest is placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareClass {
    /// Its account has no weight, or uses at most its share.
    #[default]
    WithinShare,
    /// Its account uses more than its share.
    OverShare,
    /// Its job came faster than its account may expect to be served.
    BeyondRate,
}

/// Rates at which accounts send jobs.
#[derive(Debug, Default)]
pub(crate) struct AccountRates {
    /// For each account, the time by which all its jobs so far would have come at its rate.
    due_at: HashMap<Arc<str>, ClockTime>,
    /// Jobs that are not classified yet.
    unclassified: Vec<JobKey>,
}

impl AccountRates {
    pub(crate) fn add_job(&mut self, key: JobKey) {
        self.unclassified.push(key);
    }

    /// Counts a job of the account; returns whether it came faster than `weight` jobs a second. Such a job does not
    /// count against later ones.
    fn is_beyond_rate(&mut self, account: &Arc<str>, weight: f64, arrived_at: ClockTime) -> bool {
        if weight <= 0.0 {
            return false;
        }
        let due_at = self.due_at.entry(account.clone()).or_insert(arrived_at);
        *due_at = (*due_at).max(arrived_at);
        if due_at.millis_since(arrived_at) > BURST_MS {
            return true;
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let interval_ms = (1_000.0 / weight).min(BURST_MS as f64) as u64;
        *due_at = *due_at + interval_ms;
        false
    }
}

impl PoolCore {
    /// Classifies the jobs that were added since the last decision, oldest first.
    ///
    /// A new leader counts the open jobs only, so it takes some work as owed that the former one did not.
    pub(crate) fn classify_jobs(&mut self) {
        let added = std::mem::take(&mut self.account_rates.unclassified).into_iter();
        let mut added: Vec<(ClockTime, JobKey)> = added
            .filter_map(|key| Some((self.jobs.get(key)?.arrived_at, key)))
            .collect();
        added.sort_unstable();
        for (arrived_at, key) in added {
            let job = &mut self.jobs[key];
            let rule = self.policy.accounts.get(&job.account);
            let weight = rule.map_or(0.0, |rule| rule.weight);
            job.beyond_rate = self
                .account_rates
                .is_beyond_rate(&job.account, weight, arrived_at);
        }
    }

    /// Returns the accounts that use more than their share: their part of the weights of all accounts with open jobs,
    /// of the resource of which they use the most.
    pub(crate) fn accounts_over_share(&self) -> HashSet<Arc<str>> {
        if !self.policy.accounts.values().any(|rule| rule.weight > 0.0) {
            return HashSet::new();
        }
        let weights: HashMap<&Arc<str>, f64> = self
            .jobs
            .values()
            .filter_map(|job| {
                let rule = self.policy.accounts.get(&job.account)?;
                (rule.weight > 0.0).then_some((&job.account, rule.weight))
            })
            .collect();
        let total_weight: f64 = weights.values().sum();
        let mut capacity = ResourceAmount::default();
        for view in self.workers.values().filter(|view| !view.removed) {
            capacity += view.report.capacity;
        }
        let used = self.account_usage();
        #[allow(clippy::cast_precision_loss)]
        let over = weights.into_iter().filter(|(account, weight)| {
            let used = used.get(*account).copied().unwrap_or_default();
            used.dominant_share(&capacity) as f64 * total_weight > weight * 1000.0
        });
        over.map(|(account, _)| account.clone()).collect()
    }

    /// Returns what each known account has on the workers.
    fn account_usage(&self) -> HashMap<&Arc<str>, ResourceAmount> {
        let mut usage: HashMap<&Arc<str>, ResourceAmount> = HashMap::new();
        for allocation in self.workers.values().flat_map(|view| view.allocations.values()) {
            if let Some(account) = &allocation.account {
                *usage.entry(account).or_default() += allocation.amount;
            }
        }
        usage
    }
}
