//! Counts what the simulated workers run for each account, independently of the scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_pool::{JobBody, ResourceAmount, StartOrder, StepBody};

use super::idle_watch::field;
use super::pool_simulation::PoolSimulation;

/// Returns whether `amount` is within `cap`, of which 0 means no limit.
fn is_within(amount: &ResourceAmount, cap: &ResourceAmount) -> bool {
    let part = |amount: i64, cap: i64| cap == 0 || amount <= cap;
    part(amount.millicores, cap.millicores)
        && part(amount.memory_mb, cap.memory_mb)
        && part(amount.accelerators, cap.accelerators)
}

/// Returns what has to start together for a step.
fn unit_amount(step: &StepBody) -> ResourceAmount {
    step.amount()
        .times(if step.gang { step.count as usize } else { 1 })
}

impl PoolSimulation {
    fn cap(&self, account: &str) -> ResourceAmount {
        self.policy
            .accounts
            .get(account)
            .map_or_else(ResourceAmount::default, |rule| rule.cap)
    }

    /// Returns what an account has on the workers, and what may still begin there without another order.
    fn running(&self, account: &str) -> ResourceAmount {
        let mut sum = ResourceAmount::default();
        let mut add = |job: &Arc<str>, step: u32| {
            let body = &self.bodies[job];
            if body.account == account {
                sum += body.steps[step as usize].amount();
            }
        };
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            add(&run.task.job, run.task.step);
        }
        for (_, order) in &self.delayed_starts {
            let worker = self.workers.iter().find(|worker| worker.key == order.worker);
            let can_begin = worker.is_some_and(|worker| {
                let ended = worker
                    .ended_runs
                    .get(&order.task)
                    .is_some_and(|run| *run >= order.run);
                let present = worker.runs.iter().any(|run| run.task == order.task);
                !ended && !present
            });
            if can_begin {
                add(&order.task.job, order.task.step);
            }
        }
        sum
    }

    /// Checks that a start keeps its account within the cap in force.
    pub(crate) fn check_cap(&self, order: &StartOrder) {
        let body = &self.bodies[&order.task.job];
        let used = self.running(&body.account) + body.steps[order.task.step as usize].amount();
        let cap = self.cap(&body.account);
        assert!(
            is_within(&used, &cap),
            "{} brings {} to {used:?}, its cap is {cap:?}\n{}",
            order.task,
            body.account,
            self.core.dump(self.now)
        );
    }

    /// Checks that the scheduler counts at least what the workers run.
    pub(crate) fn check_usage(&self) {
        for account in self.policy.accounts.keys() {
            let Some(counted) = self.counted_usage(account) else {
                continue;
            };
            let running = self.running(account);
            assert!(
                counted.covers(&running),
                "{account} runs {running:?}, the scheduler counts {counted:?}\n{}",
                self.core.dump(self.now)
            );
        }
    }

    /// Returns what the scheduler counts for an account, if it is capped.
    pub(crate) fn counted_usage(&self, account: &str) -> Option<ResourceAmount> {
        let dump = self.core.dump(self.now);
        let mut lines = dump.lines().filter(|line| line.starts_with("account "));
        let line = lines.find(|line| field(line, "name") == account)?;
        let mut amounts = field(line, "used").split('/').map(|part| {
            let digits = part.trim_end_matches(|letter: char| letter.is_alphabetic());
            digits.parse::<i64>().expect("an amount")
        });
        Some(ResourceAmount {
            millicores: amounts.next()?,
            memory_mb: amounts.next()?,
            accelerators: amounts.next()?,
        })
    }

    /// Returns the jobs of which a step fits under the cap of its account.
    pub(crate) fn without_capped(&self) -> BTreeMap<Arc<str>, JobBody> {
        let accounts = self.policy.accounts.keys();
        let usage: BTreeMap<&str, ResourceAmount> = accounts
            .filter_map(|account| Some((account.as_ref(), self.counted_usage(account)?)))
            .collect();
        let open = self.bodies.iter().filter(|(_, body)| {
            let used = usage.get(body.account.as_str()).copied().unwrap_or_default();
            let cap = self.cap(&body.account);
            body.steps
                .iter()
                .any(|step| is_within(&(used + unit_amount(step)), &cap))
        });
        open.map(|(id, body)| (id.clone(), body.clone())).collect()
    }

    /// Limits what an account may run.
    pub(crate) fn set_cap(&mut self, account: &str, millicores: i64, accelerators: i64) {
        if let Some(rule) = self.policy.accounts.get_mut(account) {
            (rule.cap.millicores, rule.cap.accelerators) = (millicores, accelerators);
        }
        self.policy.version += 1;
        self.core.apply_policy(Arc::new(self.policy.clone()));
    }
}
