//! Writes the state of the scheduler as text, for operators.

use std::collections::BTreeSet;
use std::fmt::Write;

use arbutuspick_model::ClockTime;

use crate::WaitReason;
use crate::jobs::job_entry::{JobEntry, TaskEntry};
use crate::pool_core::PoolCore;

impl PoolCore {
    /// Returns one line for the policy and one for each capped account, worker, job and reservation.
    ///
    /// `waits_for` names the reasons why tasks wait that are ready to start; it is `-` for a job without such tasks.
    ///
    /// ```
    /// use arbutuspick_model::ClockTime;
    /// use arbutuspick_pool::PoolCore;
    /// assert!(PoolCore::default().dump(ClockTime(0)).starts_with("policy version=0"));
    /// ```
    pub fn dump(&self, now: ClockTime) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_dump(&mut text, now);
        text
    }

    fn write_dump(&self, text: &mut String, now: ClockTime) -> std::fmt::Result {
        let mut closed: Vec<&str> = self.closed_centres.iter().map(AsRef::as_ref).collect();
        closed.sort_unstable();
        writeln!(
            text,
            "policy version={} closed_centres={}",
            self.policy.version,
            closed.join(",")
        )?;
        self.write_accounts(text, now)?;
        for view in self.workers.values() {
            let free = view.free();
            writeln!(
                text,
                "worker id={} centre={} listed={} gone={} takes_work={} slow={} doubtful={} speed={:.2}/{:?} speed_weight={:.1} speed_spread={:.2} runs={} free={}c/{}MB/{}a lease_left_ms={}",
                view.report.id,
                view.report.centre,
                view.listed,
                view.removed,
                view.is_schedulable(now),
                view.health.is_slow(now),
                view.health.is_suspect(now),
                view.speed.speed(),
                view.speed.tier(),
                view.speed.weight(),
                view.speed.spread(),
                view.allocations.len(),
                free.millicores,
                free.memory_mb,
                free.accelerators,
                view.lease_expiry.millis_since(now),
            )?;
        }
        for job in self.jobs.values() {
            let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
            let tasks: Vec<_> = steps.flat_map(|step| &step.tasks).collect();
            writeln!(
                text,
                "job id={} queue={} account={} stage={} age_ms={} objective_ms={} waiting={} placed={} done={} failures={} waits_for={}",
                job.id,
                job.rule.name,
                job.body.account,
                job.stage.name(),
                now.millis_since(job.arrived_at),
                job.objective_ms(),
                tasks.iter().filter(|task| task.is_waiting()).count(),
                tasks.iter().filter(|task| task.placement.is_some()).count(),
                tasks.iter().filter(|task| task.done).count(),
                tasks.iter().map(|task| task.failures).max().unwrap_or(0),
                wait_reasons(job),
            )?;
        }
        for reservation in &self.reservations {
            let job = self.jobs.get(reservation.job).map_or("", |job| job.id.as_ref());
            writeln!(
                text,
                "claim job={job} step={} workers={} left_ms={}",
                reservation.step,
                self.worker_ids(reservation.workers.iter().copied()),
                reservation.expires_at.millis_since(now),
            )?;
        }
        Ok(())
    }
}

/// Returns why the waiting tasks of a job wait, without duplicates.
fn wait_reasons(job: &JobEntry) -> String {
    let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
    let waiting = steps.filter(|step| step.tasks.iter().any(TaskEntry::is_waiting));
    let reasons: BTreeSet<_> = waiting.filter_map(|step| step.wait_reason).collect();
    if reasons.is_empty() {
        return "-".to_owned();
    }
    let names: Vec<&str> = reasons.into_iter().map(WaitReason::name).collect();
    names.join(",")
}
