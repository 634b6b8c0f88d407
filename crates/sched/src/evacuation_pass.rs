use arbutuspick_model::ClockTime;

use crate::centre_phase::PhaseState;
use crate::job_entry::JobKey;
use crate::{PlacementAction, PlacementCore, PreemptReason};

/// A data centre that is leaving or out: queued jobs go elsewhere, running ones are moved or stopped.
impl PlacementCore {
    pub(crate) fn pass_evacuation(&mut self, now: ClockTime) {
        self.release_queue();
        let deadline = match self.phase.state() {
            PhaseState::Leaving { drain_deadline } => *drain_deadline,
            _ => Some(now),
        };
        if deadline.is_some_and(|deadline| deadline <= now) {
            let all: Vec<JobKey> = self.jobs.keys().collect();
            self.stop_all(all, now, now);
        } else {
            let stop_before = now + self.options.grace_ms;
            let stop_before = deadline.map_or(stop_before, |deadline| stop_before.min(deadline));
            let moves = self.next_moves();
            self.stop_all(moves, stop_before, now);
        }
    }

    fn release_queue(&mut self) {
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
            self.forget_job(key);
            self.actions.push(PlacementAction::Release { job });
        }
    }

    /// Returns the next gangs to move: those that can checkpoint, guaranteed first, then by arrival.
    fn next_moves(&self) -> Vec<JobKey> {
        let held = || {
            self.jobs
                .iter()
                .filter_map(|(key, job)| Some((key, job, job.hold()?)))
        };
        let moving = held().filter(|(_, _, hold)| hold.ending.is_some()).count();
        let mut candidates: Vec<_> = held()
            .filter(|(_, job, hold)| hold.ending.is_none() && job.spec.checkpointable)
            .map(|(key, job, hold)| (!(hold.is_firm() || hold.unbound_guarantee), job.rank(), key))
            .collect();
        candidates.sort();
        let room = self.options.max_moves.saturating_sub(moving);
        candidates.into_iter().take(room).map(|(_, _, key)| key).collect()
    }

    fn stop_all(&mut self, jobs: Vec<JobKey>, stop_before: ClockTime, now: ClockTime) {
        for key in jobs {
            let running = self.jobs[key].hold().is_some_and(|hold| hold.ending.is_none());
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
