use std::collections::BTreeSet;

use arbutuspick_clients::{
    CallError, LeaseExtension, PartState, PartStatus, VmList, WorkerRefusal, WorkerResponse,
};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName};
use arbutuspick_sched::PlacementEvent;

use crate::GangEvent;
use crate::holder_event::WorkerCall;
use crate::placement_holder::PlacementHolder;
use crate::worker_session::WorkerSession;

/// Workers of the data centre: worker list, heartbeats, gang leases and reports.
impl PlacementHolder {
    /// Applies the platform's worker list. Workers that are leaving or not listed get no new members.
    pub(crate) fn apply_workers(&mut self, list: &VmList) {
        let now = self.now();
        let mut listed = BTreeSet::new();
        for entry in &list.vms {
            let Some(session) = WorkerSession::from_entry(entry, now) else {
                log::warn!(
                    "[holder] ignoring VM without valid name, rack or capacity worker={}",
                    entry.name
                );
                continue;
            };
            let name = session.name.clone();
            listed.insert(name.clone());
            match self.workers.get_mut(&name) {
                Some(known) if known.client.address() == entry.address => known.leaving = entry.leaving,
                _ => {
                    self.remove_worker(&name);
                    self.workers.insert(name.clone(), session);
                    self.call_epoch(&name);
                }
            }
        }
        let unlisted: Vec<WorkerName> = self
            .workers
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in unlisted {
            // The list can lag, so a worker that has members is kept until they have ended.
            if self.jobs_by_worker.get(&name).is_none_or(BTreeSet::is_empty) {
                self.remove_worker(&name);
            } else if let Some(session) = self.workers.get_mut(&name) {
                session.leaving = true;
            }
        }
        self.update_joined_workers(now);
    }

    fn remove_worker(&mut self, name: &WorkerName) {
        if self.workers.remove(name).is_some_and(|session| session.joined) {
            let now = self.now();
            self.core
                .handle(PlacementEvent::WorkerLost { worker: name.clone() }, now);
        }
    }

    /// Tells the placement core which workers became available or unavailable.
    fn update_joined_workers(&mut self, now: ClockTime) {
        for session in self.workers.values_mut() {
            let usable = session.epoch_accepted && !session.leaving && !session.is_unresponsive(now);
            if usable == session.joined {
                continue;
            }
            session.joined = usable;
            let worker = session.name.clone();
            let event = match usable {
                true => {
                    let (rack, capacity) = (session.rack.clone(), session.capacity);
                    PlacementEvent::WorkerJoined {
                        worker,
                        rack,
                        capacity,
                    }
                }
                false => PlacementEvent::WorkerLost { worker },
            };
            self.core.handle(event, now);
        }
    }

    /// Sends due heartbeats, each with the lease extensions of the attempts on that worker.
    pub(crate) fn send_heartbeats(&mut self, now: ClockTime) {
        let due: Vec<WorkerName> = self
            .workers
            .values_mut()
            .filter_map(|session| session.begin_due_heartbeat(now).then(|| session.name.clone()))
            .collect();
        for worker in due {
            if self
                .workers
                .get(&worker)
                .is_some_and(|session| session.epoch_accepted)
            {
                let leases = self.extend_leases(&worker, now);
                self.call_renew(&worker, WorkerCall::Renew, leases);
            } else {
                self.call_epoch(&worker);
            }
        }
        self.update_joined_workers(now);
    }

    fn extend_leases(&mut self, worker: &WorkerName, now: ClockTime) -> Vec<LeaseExtension> {
        let Some(session) = self.workers.get(worker) else {
            return Vec::new();
        };
        let jobs = self.jobs_by_worker.get(worker).cloned().unwrap_or_default();
        let mut leases = Vec::with_capacity(jobs.len());
        for job in jobs {
            let Some(live) = self.jobs.get_mut(&job).and_then(|entry| entry.live.as_mut()) else {
                continue;
            };
            let Some(lease_until) = live.machine.extend_lease(now) else {
                continue;
            };
            if let Some(lease_until) = session.worker_time(lease_until) {
                leases.push(LeaseExtension {
                    job,
                    attempt: live.placement.attempt,
                    lease_until,
                });
            }
        }
        leases
    }

    /// Handles the answer to a call to a worker, or the failure of the call.
    pub(crate) fn handle_worker_answer(
        &mut self,
        worker: &WorkerName,
        call: WorkerCall,
        attempt: Option<(JobId, AttemptNumber)>,
        answer: Result<WorkerResponse, CallError>,
    ) {
        let now = self.now();
        let youngest_age_ms = self.youngest_attempt_age_ms(worker, now);
        let Some(session) = self.workers.get_mut(worker) else {
            return;
        };
        if matches!(call, WorkerCall::Epoch | WorkerCall::Renew) {
            session.finish_heartbeat(now, youngest_age_ms);
        }
        if call == WorkerCall::Probe {
            let healthy = answer.is_ok();
            self.core.handle(
                PlacementEvent::WorkerProbed {
                    worker: worker.clone(),
                    healthy,
                },
                now,
            );
        }
        let Ok(answer) = answer else { return };
        let Some(session) = self.workers.get_mut(worker) else {
            return;
        };
        session.record_answer(&answer);
        match answer.result {
            Ok(status) => {
                session.epoch_accepted = true;
                let full_report = matches!(call, WorkerCall::Epoch | WorkerCall::Renew | WorkerCall::Probe);
                if full_report {
                    self.notify_missing_parts(worker, &status.parts, answer.sent_at);
                }
                for part in status.parts {
                    self.notify_part_status(worker, part, full_report);
                }
                if let (WorkerCall::Checkpoint, Some((job, attempt))) = (call, attempt) {
                    self.notify_attempt(
                        job,
                        attempt,
                        &GangEvent::CheckpointConfirmed {
                            worker: worker.clone(),
                        },
                    );
                }
            }
            Err(body) if body.refusal == WorkerRefusal::StaleEpoch => {
                log::warn!(
                    "[holder] worker accepted a later epoch, stopping as holder worker={worker} epoch={}",
                    body.epoch
                );
                self.superseded = true;
            }
            Err(body) => {
                if let Some((job, attempt)) = attempt {
                    let refusal = body.refusal;
                    self.notify_attempt(
                        job,
                        attempt,
                        &GangEvent::PartRefused {
                            worker: worker.clone(),
                            refusal,
                        },
                    );
                }
            }
        }
    }

    fn youngest_attempt_age_ms(&self, worker: &WorkerName, now: ClockTime) -> Option<u64> {
        let jobs = self.jobs_by_worker.get(worker)?;
        let ages = jobs.iter().filter_map(|job| {
            let live = self.jobs.get(job)?.live.as_ref()?;
            Some(now.millis_since(live.created_at))
        });
        ages.min()
    }

    /// Notifies the attempts that a full report of the worker does not list.
    fn notify_missing_parts(&mut self, worker: &WorkerName, parts: &[PartStatus], requested_at: ClockTime) {
        for job in self.jobs_by_worker.get(worker).cloned().unwrap_or_default() {
            let Some(live) = self.jobs.get(&job).and_then(|entry| entry.live.as_ref()) else {
                continue;
            };
            let attempt = live.placement.attempt;
            if !parts
                .iter()
                .any(|part| part.job == job && part.attempt == attempt)
            {
                self.notify_attempt(
                    job,
                    attempt,
                    &GangEvent::PartMissing {
                        worker: worker.clone(),
                        requested_at,
                    },
                );
            }
        }
    }

    fn notify_part_status(&mut self, worker: &WorkerName, status: PartStatus, full_report: bool) {
        let (job, attempt) = (status.job, status.attempt);
        let live = self.jobs.get(&job).and_then(|entry| entry.live.as_ref());
        if live.is_some_and(|live| live.placement.attempt == attempt) {
            self.notify_attempt(
                job,
                attempt,
                &GangEvent::PartReported {
                    worker: worker.clone(),
                    status,
                },
            );
        } else if full_report {
            self.clean_up_orphan(worker, &status);
        }
    }

    /// Ends the members of an attempt that is not the current attempt of any job of the data centre.
    fn clean_up_orphan(&mut self, worker: &WorkerName, status: &PartStatus) {
        let call = match status.state {
            PartState::Prepared => WorkerCall::Void,
            PartState::Running => WorkerCall::Stop,
            _ => WorkerCall::Release,
        };
        self.call_attempt(worker, call, status.job, status.attempt);
    }
}
