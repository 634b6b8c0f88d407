use arbutuspick_model::{AccountName, CellGuarantee, CentreState, PlatformTime};
use arbutuspick_records::{CentreRecord, Versioned};
use arbutuspick_sched::{AccountPolicy, PlacementEvent};
use tokio::sync::watch;

use crate::holder_view::{HolderDump, HolderView, JobView, WorkerView};
use crate::placement_holder::PlacementHolder;
use crate::placement_lease::LeaseValidity;

/// Configuration, data centre state, and the views for the rest of the process.
impl PlacementHolder {
    /// Passes the guarantees, weights and queue limits of the configuration in force to the placement core.
    pub(crate) fn apply_config(&mut self) {
        let now = self.now();
        let config = self.context.config.load();
        let closed_centres = self.context.closed_centres.load();
        let data_centre = &self.options.data_centre;
        let policy =
            |account: &AccountName, guarantees: &[CellGuarantee], weight: u32, max_queued_jobs: u32| {
                let select = |wanted: &dyn Fn(&CellGuarantee) -> bool| {
                    guarantees
                        .iter()
                        .filter(|guarantee| wanted(guarantee))
                        .cloned()
                        .collect()
                };
                AccountPolicy {
                    account: account.clone(),
                    weight,
                    max_queued_jobs,
                    home: select(&|guarantee| guarantee.data_centre == *data_centre),
                    displaced: select(&|guarantee| closed_centres.contains(&guarantee.data_centre)),
                }
            };
        let accounts = config.accounts.iter().map(|(name, account)| {
            policy(name, &account.guarantees, account.weight, account.max_queued_jobs)
        });
        let accounts = accounts.collect();
        self.core
            .handle(PlacementEvent::AccountsChanged { accounts }, now);
    }

    /// Applies the data centre row, which holds the operators' order.
    pub(crate) fn apply_centre(&mut self, row: Option<Versioned<CentreRecord>>) {
        let now = self.now();
        self.progress_in_flight = false;
        if self.centre == row {
            return;
        }
        let record = row.as_ref().map(|row| row.record.clone()).unwrap_or_default();
        let time = self.context.table.platform_time().unwrap_or(PlatformTime(0));
        let drain_deadline = record.drain_deadline.map(|at| now + at.millis_since(time));
        let known = self
            .centre
            .as_ref()
            .map(|row| row.record.state)
            .unwrap_or_default();
        if known != record.state {
            log::info!(
                "[holder] data centre state changed data_centre={} state={:?}",
                self.options.data_centre,
                record.state
            );
            self.centre_state_since = now;
        }
        self.centre = row;
        let state = record.state;
        self.core.handle(
            PlacementEvent::CentreChanged {
                state,
                drain_deadline,
            },
            now,
        );
    }

    /// Records that a leaving data centre has no jobs left, or that a returning one uses all its workers.
    pub(crate) fn record_centre_progress(&mut self) {
        let now = self.now();
        let Some(row) = &self.centre else { return };
        if self.progress_in_flight || !self.may_place(now) {
            return;
        }
        let ramp_ms = 4 * self.options.placement.return_step_ms;
        let change = match row.record.state {
            CentreState::Leaving if self.jobs.is_empty() => {
                row.record_drained(&self.guard, Self::new_write_id())
            }
            CentreState::Returning if now >= self.centre_state_since + ramp_ms => {
                row.record_ramped_up(&self.guard, Self::new_write_id())
            }
            _ => return,
        };
        if let Ok(change) = change {
            self.progress_in_flight = true;
            self.request_progress(change.transaction);
        }
    }

    pub(crate) fn lease_validity(&self) -> watch::Receiver<LeaseValidity> {
        self.validity.clone()
    }

    pub(crate) fn view(&self) -> HolderView {
        let workers = self.workers.values().map(|session| WorkerView {
            worker: session.name.clone(),
            rack: session.rack.clone(),
            joined: session.joined,
            leaving: session.leaving,
            heard_at: session.last_answer_at,
        });
        HolderView {
            epoch: Some(self.guard.epoch),
            summary: Some(self.core.summary()),
            centre_state: self
                .centre
                .as_ref()
                .map(|row| row.record.state)
                .unwrap_or_default(),
            open_jobs: self.jobs.len(),
            workers: workers.collect(),
            made_at: self.now(),
        }
    }

    pub(crate) fn dump(&self) -> HolderDump {
        let jobs = self.jobs.iter().map(|(job, entry)| {
            let view = JobView {
                state: entry.row.record.state,
                attempt: entry.row.record.attempt,
                phase: entry.live.as_ref().map(|live| live.machine.phase_name()),
                writing: entry.writing,
            };
            (*job, view)
        });
        HolderDump {
            view: self.view(),
            placement: self.core.dump(),
            jobs: jobs.collect(),
        }
    }
}
