//! Makes room for work that comes first.
//!
//! Load pattern: urgent work, or an account that returns for its guarantee, finds the pool full. Runs that end
//! by themselves in time are waited for. Others are stopped only when callers gain more than they lose, or
//! when a guarantee demands it.

use arbutuspick_model::ClockTime;

use crate::job_run::PlaceStage;
use crate::place_choice::choose_scope;
use crate::pool_core::{JobKey, PoolCore};
use crate::room_claim::{AwaitedRun, RoomClaim};
use crate::room_search::RoomRow;
use crate::unit_order::Lateness;
use crate::victim_list::{RoomTerms, VictimList};
use crate::waiting_unit::WaitingUnit;
use crate::{StopReason, TaskName, WorkerKey};

/// Work stops others only when it must start within this time, in milliseconds; a stop takes up to 900.
const LAST_CALL_MS: u64 = 1_600;
/// Room that becomes free by itself is waited for at most this long, in milliseconds.
const LONGEST_WAIT_MS: u64 = 600;
/// An awaited run counts as overdue this long after its expected end, in milliseconds: progress comes in whole
/// percents and an end is listed a little later.
const OVERDUE_MS: u64 = 200;
/// An ordered stop that takes this much longer than the bound of workers is not relied on, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;

impl PoolCore {
    /// Stops runs that come later, if that lets the unit start in time at a fair loss.
    pub(crate) fn make_room(
        &mut self,
        unit: &WaitingUnit,
        left: usize,
        rows: &mut [RoomRow],
        pool_busy: bool,
        now: ClockTime,
    ) {
        let urgent = unit.rank.priority == 0;
        let on_time = unit.rank.lateness == Lateness::OnTime;
        let may_stop = unit.rank.inside_guarantee()
            || unit.rank.lateness != Lateness::Overdue && unit.rank.slack_ms(now) < LAST_CALL_MS;
        let may_wait = urgent && on_time;
        if !may_stop && !may_wait {
            return;
        }
        let wait_ms = if on_time {
            unit.rank.slack_ms(now).min(LONGEST_WAIT_MS)
        } else {
            0
        };
        let terms = RoomTerms {
            may_stop,
            wait_ms,
            now,
        };
        let VictimList {
            units: victims,
            names,
        } = self.victim_units(unit, rows, terms);
        let Some((plan, remote)) =
            choose_scope(unit, left, rows, &victims, &self.step_counts(unit), pool_busy)
        else {
            return;
        };
        if !unit.rank.inside_guarantee() && plan.cost > unit.gain() {
            return;
        }
        let (awaited, stopped): (Vec<usize>, Vec<usize>) = plan
            .stopped
            .iter()
            .partition(|number| victims[**number].ends_soon);
        log::info!(
            "[preempt] job={} step={} tasks={left} stopped={} awaited={} wait_ms={wait_ms} loss={} gain={} inside_guarantee={} workers={}",
            self.jobs[unit.key].id,
            unit.step,
            stopped.len(),
            awaited.len(),
            plan.cost,
            unit.gain(),
            unit.rank.inside_guarantee(),
            self.worker_names(plan.rows.iter().map(|row| rows[*row].worker)),
        );
        for number in &stopped {
            for (key, name) in &names[*number] {
                if let Some(task) = self.jobs.get_mut(*key).and_then(|job| job.task_mut(name)) {
                    task.preemptions += 1;
                }
                self.stop_task(*key, name, StopReason::Preempted, now);
            }
        }
        for row in &plan.rows {
            rows[*row].free -= unit.need.amount;
        }
        let awaited = awaited.iter().flat_map(|number| &names[*number]);
        let awaited = awaited
            .filter_map(|(job, task)| self.awaited_run(*job, task))
            .collect();
        self.claims.push(RoomClaim {
            awaited,
            awaited_until: now + wait_ms + OVERDUE_MS,
            job: unit.key,
            occurrence: unit.occurrence,
            step: unit.step,
            workers: plan.rows.iter().map(|row| rows[*row].worker).collect(),
            remote,
            until: now + self.stop_bound_ms().max(wait_ms + OVERDUE_MS),
        });
    }

    pub(crate) fn worker_names<I>(&self, workers: I) -> String
    where
        I: Iterator<Item = WorkerKey>,
    {
        let views = workers.filter_map(|key| self.workers.get(key));
        let names: Vec<&str> = views.map(|view| view.report.id.as_ref()).collect();
        names.join(",")
    }

    /// Returns the present run of a task, if nobody has ordered it to stop.
    fn awaited_run(&self, job: JobKey, task: &TaskName) -> Option<AwaitedRun> {
        let occurrence = self.jobs.get(job)?.occurrences.get(&task.occurrence)?;
        let state = &occurrence.steps[task.step as usize].tasks[task.index as usize];
        let running = state.place?.stage != PlaceStage::Stopping;
        running.then(|| AwaitedRun {
            job,
            task: task.clone(),
            run: state.run,
        })
    }

    /// Returns by when a stop that was ordered has taken effect, unless its worker leaves orders unanswered.
    pub(crate) fn stop_bound_ms(&self) -> u64 {
        self.options.stop_ms + STOP_MARGIN_MS
    }
}
