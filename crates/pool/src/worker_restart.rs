//! Follows the runs of a worker whose process ends, is removed from the registry or restarts under its id.

use arbutuspick_model::ClockTime;

use crate::job_entry::PlacementStage;
use crate::pool_core::PoolCore;
use crate::run_release::RunRelease;
use crate::worker_view::{RunAllocation, WorkerView};
use crate::{TaskName, WorkerKey, WorkerReport};

/// Time for which a run that may have begun on a restarted worker is kept while the worker does not answer,
/// in milliseconds: an order takes effect at most 12 s late, and its lease lasts at most 10 s.
const RESTARTED_LEASE_MS: u64 = 24_000;

impl PoolCore {
    /// Adds or updates a worker. A new incarnation under a known id ends the runs that the previous one
    /// listed.
    pub fn update_worker(&mut self, report: WorkerReport, now: ClockTime) -> WorkerKey {
        let known = self.worker_index.get(&report.id).copied();
        if let Some(key) = known
            && self.workers[key].report.started_at_ms == report.started_at_ms
        {
            let view = &mut self.workers[key];
            if view.report.leaves_at.is_none() && report.leaves_at.is_some() {
                log::info!("[worker] id={} centre={} state=leaving", report.id, report.centre);
            }
            view.removed = false;
            if view.report.labels != report.labels {
                view.labels = report.labels.as_slice().into();
                view.rack = self.racks.id(report.rack());
            }
            view.report = report;
            return key;
        }
        let id = report.id.clone();
        let born = report.started_at_ms;
        let rack = self.racks.id(report.rack());
        let key = self.workers.insert(WorkerView::new(report, rack, now));
        if let Some(previous) = known {
            log::info!(
                "[worker] id={id} restarted old_born={} new_born={born}",
                self.workers[previous].report.started_at_ms,
            );
            self.move_unlisted_runs(previous, key, now);
            self.end_incarnation(previous, now);
        }
        self.worker_index.insert(id, key);
        key
    }

    /// Marks a worker as removed from the worker registry. Its runs may go on until its lease expires.
    pub fn mark_removed(&mut self, key: WorkerKey) {
        if let Some(view) = self.workers.get_mut(key) {
            view.removed = true;
        }
    }

    /// Marks a worker as restarted under its id before the registry shows the new incarnation.
    ///
    /// Runs that the previous incarnation listed have ended. A start that was not listed may have reached the
    /// new incarnation, so it is kept until that one is listed.
    pub fn mark_restarted(&mut self, key: WorkerKey, now: ClockTime) {
        let listed = self.run_names(key, |allocation| allocation.listed);
        for (name, run) in listed {
            self.requeue_task(&name, run, key, RunRelease::IncarnationEnded, now);
        }
        let Some(view) = self.workers.get_mut(key) else {
            return;
        };
        if view.allocations.is_empty() {
            self.end_incarnation(key, now);
            return;
        }
        view.listed = false;
        view.removed = true;
        view.has_unidentified_run = false;
        view.lease_expiry = view.lease_expiry.max(now + RESTARTED_LEASE_MS);
    }

    /// Forgets an incarnation that is known to have ended; its unfinished tasks wait again.
    pub fn end_incarnation(&mut self, key: WorkerKey, now: ClockTime) {
        self.release_worker(key, RunRelease::IncarnationEnded, now);
        self.forget_worker(key);
    }

    pub(crate) fn forget_worker(&mut self, key: WorkerKey) {
        if let Some(view) = self.workers.remove(key)
            && self.worker_index.get(&view.report.id) == Some(&key)
        {
            self.worker_index.remove(&view.report.id);
        }
    }

    /// Moves the runs that the previous incarnation has not listed to the new one, on which their orders may
    /// have taken effect.
    fn move_unlisted_runs(&mut self, previous: WorkerKey, key: WorkerKey, now: ClockTime) {
        for (name, run) in self.run_names(previous, |allocation| !allocation.listed) {
            let view = &mut self.workers[previous];
            let Some(allocation) = view.allocations.remove(&(name.clone(), run)) else {
                continue;
            };
            if let Some((_, task)) = self.current_task(&name, run, previous)
                && let Some(placement) = &mut task.placement
            {
                placement.worker = key;
                if placement.stage != PlacementStage::Stopping {
                    placement.stage = PlacementStage::Unconfirmed;
                    placement.since = now;
                }
            }
            let view = &mut self.workers[key];
            view.lease_expiry = now + RESTARTED_LEASE_MS;
            view.allocations.insert(
                (name, run),
                RunAllocation {
                    amount: allocation.amount,
                    // Orders of an earlier leader have no effect after a listing with a newer epoch.
                    expected_since: allocation.expected_since.filter(|_| allocation.is_restored()),
                    stop_ordered_at: None,
                    listed: false,
                },
            );
        }
    }

    /// Returns the runs on a worker whose allocations match.
    pub(crate) fn run_names<F>(&self, key: WorkerKey, matches: F) -> Vec<(TaskName, u32)>
    where
        F: Fn(&RunAllocation) -> bool,
    {
        let allocations = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|view| &view.allocations);
        let matching = allocations.filter(|(_, allocation)| matches(allocation));
        matching.map(|(name, _)| name.clone()).collect()
    }

    /// Releases all allocations on a worker; their unfinished tasks wait again.
    pub(crate) fn release_worker(&mut self, worker: WorkerKey, release: RunRelease, now: ClockTime) {
        let names = self.run_names(worker, |_| true);
        if let Some(view) = self.workers.get_mut(worker) {
            view.has_unidentified_run = false;
        }
        for (name, run) in names {
            self.requeue_task(&name, run, worker, release, now);
        }
    }
}
