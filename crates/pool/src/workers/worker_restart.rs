//! Follows the runs of a worker whose process ends, is removed from the registry or restarts under its id.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::PlacementStage;
use crate::jobs::run_release::RunRelease;
use crate::pool_core::PoolCore;
use crate::workers::worker_speed::SpeedEstimate;
use crate::workers::worker_view::{RunAllocation, WorkerView};
use crate::{TaskName, WorkerKey, WorkerReport};

/// Time for which a run that may have begun on a restarted worker is kept while the worker does not answer,
/// in milliseconds: an order takes effect at most 12 s late, and its lease lasts at most 10 s.
const RESTARTED_LEASE_MS: u64 = 24_000;

/// Time for which the removal of a registry entry may have been ordered by an earlier incarnation, in milliseconds:
/// a write takes effect at most 12 s late, and reads of the registry are at most 2 s apart.
const LATE_REMOVAL_MS: u64 = 14_000;

impl PoolCore {
    /// Adds or updates a worker from its registry entry; returns the key of the incarnation that the entry names.
    ///
    /// Entries may be written late, so an entry of another incarnation than the one that answers calls proves
    /// nothing: it adds a successor, which replaces the present incarnation once the worker itself answers as
    /// the successor. Heartbeats older than the latest one of the same incarnation are ignored.
    pub fn update_worker(&mut self, report: WorkerReport, now: ClockTime) -> WorkerKey {
        let Some(present) = self.worker_index.get(&report.id).copied() else {
            return self.add_incarnation(report, now);
        };
        let view = &self.workers[present];
        if view.report.started_at_ms == report.started_at_ms {
            self.drop_successor(present);
            self.refresh_report(present, report);
            return present;
        }
        if view.outdated_start == Some(report.started_at_ms) {
            return present;
        }
        if view.has_answered {
            return self.update_successor(present, report, now);
        }
        let key = self.add_incarnation(report, now);
        self.replace_incarnation(present, key, now);
        key
    }

    fn add_incarnation(&mut self, report: WorkerReport, now: ClockTime) -> WorkerKey {
        let id = report.id.clone();
        let rack = self.racks.id(report.rack());
        let labels = self.labels.ids(&report.labels);
        let speed = self.initial_speed(&report);
        let mut view = WorkerView::new(report, labels, rack, now);
        view.speed = speed;
        let key = self.workers.insert(view);
        self.worker_kinds.invalidate();
        self.worker_index.entry(id).or_insert(key);
        key
    }

    /// Applies a registry entry of this incarnation, unless a later heartbeat has been seen.
    fn refresh_report(&mut self, key: WorkerKey, report: WorkerReport) {
        let view = &mut self.workers[key];
        if std::mem::replace(&mut view.removed, false) {
            self.worker_kinds.invalidate();
        }
        if report.heartbeat < view.report.heartbeat {
            log::debug!(
                "[worker] id={} ignored heartbeat={} latest={}",
                report.id,
                report.heartbeat,
                view.report.heartbeat
            );
            return;
        }
        if view.report.leaves_at.is_none() && report.leaves_at.is_some() {
            log::info!("[worker] id={} centre={} state=leaving", report.id, report.centre);
        }
        if view.report.labels != report.labels {
            view.labels = self.labels.ids(&report.labels);
            view.rack = self.racks.id(report.rack());
        }
        let is_same_kind = view.report.labels == report.labels
            && view.report.capacity == report.capacity
            && view.report.service == report.service;
        if !is_same_kind {
            view.speed = SpeedEstimate::default();
            self.worker_kinds.invalidate();
        }
        view.report = report;
    }

    /// Adds or updates the incarnation that may have replaced `present`.
    fn update_successor(&mut self, present: WorkerKey, report: WorkerReport, now: ClockTime) -> WorkerKey {
        if let Some(successor) = self.workers[present].successor
            && self.workers[successor].report.started_at_ms == report.started_at_ms
        {
            self.refresh_report(successor, report);
            return successor;
        }
        self.drop_successor(present);
        log::info!(
            "[worker] id={} state=maybe restarted born={} registered_born={}",
            report.id,
            self.workers[present].report.started_at_ms,
            report.started_at_ms,
        );
        let successor = self.add_incarnation(report, now);
        self.workers[present].successor = Some(successor);
        successor
    }

    /// Forgets the incarnation that may have replaced `present`; it was never listed, so it has no runs.
    fn drop_successor(&mut self, present: WorkerKey) {
        if let Some(successor) = self
            .workers
            .get_mut(present)
            .and_then(|view| view.successor.take())
        {
            self.workers.remove(successor);
            self.worker_kinds.invalidate();
        }
    }

    /// Replaces an incarnation, whose listed runs have ended with it.
    pub(crate) fn replace_incarnation(&mut self, previous: WorkerKey, key: WorkerKey, now: ClockTime) {
        let (Some(old), Some(new)) = (self.workers.get(previous), self.workers.get(key)) else {
            return;
        };
        let id = new.report.id.clone();
        log::info!(
            "[worker] id={id} restarted old_born={} new_born={}",
            old.report.started_at_ms,
            new.report.started_at_ms,
        );
        self.move_unlisted_runs(previous, key, now);
        self.end_incarnation(previous, now);
        self.worker_index.insert(id, key);
    }

    /// Records that the worker itself has answered a call of `asked_at` as this incarnation.
    pub(crate) fn confirm_incarnation(&mut self, key: WorkerKey, asked_at: ClockTime, now: ClockTime) {
        let Some(view) = self.workers.get_mut(key) else {
            return;
        };
        view.has_answered = true;
        let (id, successor) = (view.report.id.clone(), view.successor);
        if let Some(present) = self.worker_index.get(&id).copied()
            && present != key
        {
            self.replace_incarnation(present, key, now);
        }
        if let Some(successor) = successor
            && let Some(other) = self.workers.get(successor)
            && other.added_at <= asked_at
        {
            // The entry was written before this answer, so it is one of an earlier incarnation.
            let start = other.report.started_at_ms;
            log::info!("[worker] id={id} state=not restarted outdated_born={start}");
            self.drop_successor(key);
            self.workers[key].outdated_start = Some(start);
        }
    }

    /// Applies the removal of a registry entry that silence does not explain; returns whether the worker has shut
    /// down.
    ///
    /// A worker announces that it leaves before it removes its entry. A removal names no incarnation: soon after a
    /// restart, one that the earlier incarnation ordered may be carried out late. Then the runs go on unless the worker
    /// no longer answers and its lease has expired.
    pub fn apply_departure(&mut self, key: WorkerKey, now: ClockTime) -> bool {
        let Some(view) = self.workers.get(key) else {
            return false;
        };
        if view.report.leaves_at.is_none() {
            return false;
        }
        let is_own_removal = now.millis_since(view.added_at) > LATE_REMOVAL_MS;
        if is_own_removal || !view.is_occupied() {
            log::info!("[worker] id={} state=departed", view.report.id);
            self.end_incarnation(key, now);
            return true;
        }
        log::info!(
            "[worker] id={} state=maybe departed known_ms={} runs={}",
            view.report.id,
            now.millis_since(view.added_at),
            view.allocations.len(),
        );
        self.mark_removed(key);
        false
    }

    /// Marks a worker as removed from the worker registry. Its runs may go on until its lease expires.
    pub fn mark_removed(&mut self, key: WorkerKey) {
        if let Some(view) = self.workers.get_mut(key) {
            view.removed = true;
            self.worker_kinds.invalidate();
        }
    }

    /// Marks a worker as restarted under its id before the registry shows the new incarnation.
    ///
    /// Runs that the previous incarnation listed have ended. A start that was not listed may have reached the
    /// new incarnation, so it is kept until that one is listed.
    pub fn mark_restarted(&mut self, key: WorkerKey, now: ClockTime) {
        self.release_runs(
            key,
            |allocation| allocation.listed,
            RunRelease::IncarnationEnded,
            now,
        );
        let Some(view) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(successor) = view.successor {
            self.replace_incarnation(key, successor, now);
            return;
        }
        if view.allocations.is_empty() {
            self.end_incarnation(key, now);
            return;
        }
        view.has_answered = false;
        view.listed = false;
        view.removed = true;
        view.has_unidentified_run = false;
        view.lease_expiry = view.lease_expiry.max(now + RESTARTED_LEASE_MS);
        self.worker_kinds.invalidate();
    }

    /// Forgets an incarnation that is known to have ended; its unfinished tasks wait again.
    pub fn end_incarnation(&mut self, key: WorkerKey, now: ClockTime) {
        self.release_worker(key, RunRelease::IncarnationEnded, now);
        self.forget_worker(key);
    }

    pub(crate) fn forget_worker(&mut self, key: WorkerKey) {
        let Some(view) = self.workers.remove(key) else {
            return;
        };
        self.worker_kinds.invalidate();
        let Some(present) = self.worker_index.get(&view.report.id).copied() else {
            return;
        };
        if present == key && view.successor.is_none() {
            self.keep_speed(&view.report, view.speed.clone());
        }
        if present != key {
            if let Some(present) = self.workers.get_mut(present) {
                present.successor = present.successor.filter(|successor| *successor != key);
            }
        } else if let Some(successor) = view.successor {
            self.worker_index.insert(view.report.id, successor);
        } else {
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
                    account: allocation.account.clone(),
                    // Orders of an earlier leader have no effect after a listing with a newer epoch.
                    expected_since: allocation.expected_since.filter(|_| allocation.is_restored()),
                    ordered_stop: None,
                    listed: false,
                    unexpected_since: None,
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
        if let Some(view) = self.workers.get_mut(worker) {
            view.has_unidentified_run = false;
        }
        self.release_runs(worker, |_| true, release, now);
    }

    /// Releases the allocations on a worker that match; their unfinished tasks wait again.
    pub(crate) fn release_runs<F>(
        &mut self,
        worker: WorkerKey,
        matches: F,
        release: RunRelease,
        now: ClockTime,
    ) where
        F: Fn(&RunAllocation) -> bool,
    {
        for (name, run) in self.run_names(worker, matches) {
            self.requeue_task(&name, run, worker, release, now);
        }
    }
}
