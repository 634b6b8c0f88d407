use arbutuspick_model::ClockTime;

use crate::centre_phase::PhaseState;
use crate::job_entry::JobKey;
use crate::{PlacementAction, PlacementCore, PreemptReason};

/// Evacuation of a data centre that is leaving or out of service: queued jobs are transferred to other data
/// centres, running attempts are preempted.
impl PlacementCore {
    pub(crate) fn run_evacuation_pass(&mut self, now: ClockTime) {
        self.transfer_queue();
        let deadline = match self.phase.state() {
            PhaseState::Leaving { drain_deadline } => *drain_deadline,
            _ => Some(now),
        };
        if deadline.is_some_and(|deadline| deadline <= now) {
            let all: Vec<JobKey> = self.jobs.keys().collect();
            self.preempt_jobs(all, now, now);
        } else {
            let stop_before = now + self.options.grace_ms;
            let stop_before = deadline.map_or(stop_before, |deadline| stop_before.min(deadline));
            let evacuations = self.next_evacuations();
            self.preempt_jobs(evacuations, stop_before, now);
        }
    }

    fn transfer_queue(&mut self) {
        let claiming = self.queue.claiming.values();
        let waiting: Vec<JobKey> = claiming
            .chain(self.queue.delayed.values())
            .chain(self.queue.arrivals.values())
            .copied()
            .collect();
        for key in waiting {
            if !self.has_budget() {
                return;
            }
            let job = self.jobs[key].id;
            self.dequeue(key);
            self.remove_job(key);
            self.actions.push(PlacementAction::Transfer { job });
        }
    }

    /// Returns the next attempts to evacuate: only checkpointable jobs, guaranteed ones first, then by
    /// arrival.
    fn next_evacuations(&self) -> Vec<JobKey> {
        let allocated = || {
            self.jobs
                .iter()
                .filter_map(|(key, job)| Some((key, job, job.allocation()?)))
        };
        let evacuating = allocated()
            .filter(|(_, _, allocation)| allocation.preemption.is_some())
            .count();
        let mut candidates: Vec<_> = allocated()
            .filter(|(_, job, allocation)| allocation.preemption.is_none() && job.spec.checkpointable)
            .map(|(key, job, allocation)| {
                (
                    !(allocation.is_guaranteed() || allocation.awaits_rebinding),
                    job.rank(),
                    key,
                )
            })
            .collect();
        candidates.sort();
        let remaining = self.options.max_moves.saturating_sub(evacuating);
        candidates
            .into_iter()
            .take(remaining)
            .map(|(_, _, key)| key)
            .collect()
    }

    fn preempt_jobs(&mut self, jobs: Vec<JobKey>, stop_before: ClockTime, now: ClockTime) {
        for key in jobs {
            let running = self.jobs[key]
                .allocation()
                .is_some_and(|allocation| allocation.preemption.is_none());
            if !running {
                continue;
            }
            if !self.has_budget() {
                return;
            }
            self.preempt(key, PreemptReason::CentreLeaving, stop_before, now);
        }
    }
}
