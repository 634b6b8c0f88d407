//! Simulation of a gang attempt with simulated workers in virtual time.

use arbutuspick_clients::{MemberAllocation, MemberResult, PartState, PartStatus, WorkerRefusal};
use arbutuspick_holder::{
    AttemptOutcome, AttemptRules, GangCommand, GangEvent, GangMachine, RESERVATION_MS, START_PERMIT_MS,
};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName};
use arbutuspick_sched::{GangPlacement, MemberPlacement, PreemptReason};

const STEP_MS: u64 = 100;
/// Longer than a gang lease, so that the lease has to be renewed.
const RUN_MS: u64 = 18_000;
const RENEWAL_INTERVAL_MS: u64 = 3_000;

/// Fault injected in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    LoseCall(usize),
    LoseAnswer(usize),
    StopResponding(usize),
    Restart(usize),
    RefusePrepare(usize),
    FailTask(usize),
    Preempt,
    Cancel,
    RefuseCommit,
    LoseCommitResult,
    PauseHolder,
}

impl Fault {
    /// Maps the index of a worker fault to a worker of the gang.
    fn limited_to(self, workers: usize) -> Self {
        match self {
            Self::LoseCall(i) => Self::LoseCall(i % workers),
            Self::LoseAnswer(i) => Self::LoseAnswer(i % workers),
            Self::StopResponding(i) => Self::StopResponding(i % workers),
            Self::Restart(i) => Self::Restart(i % workers),
            Self::RefusePrepare(i) => Self::RefusePrepare(i % workers),
            Self::FailTask(i) => Self::FailTask(i % workers),
            other => other,
        }
    }
}

/// A worker that answers the calls of a gang attempt and lets its reservation and lease expire. Its
/// `actually_` fields keep what its member did, also across restarts.
#[derive(Clone, Debug, Default)]
struct SimulatedWorker {
    state: Option<PartState>,
    hold_until: ClockTime,
    lease_until: ClockTime,
    started_at: Option<ClockTime>,
    ever_started: bool,
    actually_started: bool,
    actually_finished: bool,
    unresponsive: bool,
    refuses_prepare: bool,
}

impl SimulatedWorker {
    fn advance(&mut self, now: ClockTime) {
        match self.state {
            Some(PartState::Prepared) if now > self.hold_until => self.state = Some(PartState::Voided),
            Some(PartState::Running) if now > self.lease_until => self.state = Some(PartState::LeaseExpired),
            Some(PartState::Running) if self.started_at.is_some_and(|at| now.millis_since(at) >= RUN_MS) => {
                self.actually_finished = true;
                self.state = Some(PartState::Finished { results: vec![] });
            }
            _ => {}
        }
    }
}

/// One attempt, its simulated workers and the outcomes that the attempt reported.
pub(crate) struct GangSimulation {
    machine: GangMachine,
    rules: AttemptRules,
    workers: Vec<SimulatedWorker>,
    now: ClockTime,
    fault: Fault,
    paused_until: ClockTime,
    commits: u32,
    committed_at: Option<ClockTime>,
    commit_unresolved: bool,
    outcomes: Vec<(AttemptOutcome, Vec<bool>)>,
    violations: Vec<String>,
    renewed_at: ClockTime,
}

fn worker_name(index: usize) -> WorkerName {
    WorkerName::try_from(format!("w{index}")).unwrap()
}

fn worker_index(worker: &WorkerName) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

impl GangSimulation {
    pub(crate) fn new(workers: usize, rules: AttemptRules) -> Self {
        let now = ClockTime(1_000);
        let members = (0..workers)
            .map(|i| MemberPlacement {
                worker: worker_name(i),
                accelerators: 1,
            })
            .collect();
        let placement = GangPlacement {
            job: JobId(Default::default()),
            attempt: AttemptNumber(1),
            members,
            guaranteed: false,
        };
        Self {
            machine: GangMachine::begin(&placement, rules, now),
            rules,
            workers: vec![SimulatedWorker::default(); workers],
            now,
            fault: Fault::None,
            paused_until: now,
            commits: 0,
            committed_at: None,
            commit_unresolved: false,
            outcomes: Vec::new(),
            violations: Vec::new(),
            renewed_at: now,
        }
    }

    pub(crate) fn step(&mut self, fault: Fault) {
        self.now = self.now + STEP_MS;
        let fault = fault.limited_to(self.workers.len());
        self.fault = fault;
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
        self.inject(fault);
        if self.now < self.paused_until {
            return;
        }
        self.renew();
        self.handle_event(&GangEvent::Tick);
    }

    /// Advances time without new faults until the attempt must have ended.
    pub(crate) fn run_to_end(&mut self) {
        for _ in 0..800 {
            self.step(Fault::None);
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(violation) = self.violations.first() {
            return Err(violation.clone());
        }
        if self.outcomes.len() != 1 {
            return Err(format!("{} outcomes, {:?}", self.outcomes.len(), self.machine));
        }
        if let Some(worker) = self
            .workers
            .iter()
            .position(|w| w.state == Some(PartState::Running))
        {
            return Err(format!("worker {worker} is still running a member"));
        }
        let (outcome, started) = &self.outcomes[0];
        let any_started = started.iter().any(|&s| s);
        match outcome {
            AttemptOutcome::Ran(_) if !self.workers.iter().all(|w| w.actually_finished) => {
                Err("reported as run, but not every member finished".into())
            }
            AttemptOutcome::NotRun(_) if any_started => Err("reported as not run after a start".into()),
            AttemptOutcome::Requeue { unstarted: true, .. } if any_started => {
                Err("reported as unstarted after a start".into())
            }
            AttemptOutcome::Requeue {
                unstarted: false,
                checkpointed,
                ..
            } if !self.rules.idempotent && !checkpointed => {
                Err("non-idempotent job requeued after a possible start".into())
            }
            _ => Ok(()),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::StopResponding(i) => self.workers[i].unresponsive = true,
            Fault::Restart(i) => {
                let SimulatedWorker {
                    actually_started,
                    actually_finished,
                    ..
                } = self.workers[i];
                self.workers[i] = SimulatedWorker {
                    actually_started,
                    actually_finished,
                    ..SimulatedWorker::default()
                };
            }
            Fault::RefusePrepare(i) => self.workers[i].refuses_prepare = true,
            Fault::FailTask(i) if self.workers[i].state == Some(PartState::Running) => {
                self.workers[i].state = Some(PartState::Failed {
                    message: "planned".into(),
                });
            }
            Fault::Preempt => self.request_stop(PreemptReason::Reclaim),
            Fault::Cancel => self.request_stop(PreemptReason::Cancelled),
            // The pause is longer than the start permit, which expires meanwhile.
            Fault::PauseHolder => self.paused_until = self.now + 2_500,
            _ => {}
        }
    }

    fn request_stop(&mut self, reason: PreemptReason) {
        let stop_before = self.now + 1_000;
        self.handle_event(&GangEvent::StopRequested { reason, stop_before });
    }

    fn renew(&mut self) {
        if self.now.millis_since(self.renewed_at) < RENEWAL_INTERVAL_MS {
            return;
        }
        self.renewed_at = self.now;
        for i in 0..self.workers.len() {
            let lease_until = self.machine.extend_lease(self.now);
            let worker = &mut self.workers[i];
            if worker.unresponsive || self.fault == Fault::LoseCall(i) {
                continue;
            }
            if let (Some(PartState::Running), Some(lease_until)) = (&worker.state, lease_until) {
                worker.lease_until = lease_until;
            }
            let event = match worker.state {
                Some(_) => GangEvent::PartReported {
                    worker: worker_name(i),
                    status: self.status(i),
                },
                None => GangEvent::PartMissing {
                    worker: worker_name(i),
                    requested_at: self.now,
                },
            };
            self.handle_event(&event);
        }
    }

    fn status(&self, i: usize) -> PartStatus {
        let worker = &self.workers[i];
        let state = match worker.state.clone().unwrap_or(PartState::Voided) {
            PartState::Finished { .. } => PartState::Finished {
                results: vec![MemberResult {
                    index: i as u32,
                    output: "done".into(),
                }],
            },
            state => state,
        };
        let members = match worker.state {
            Some(_) => vec![MemberAllocation {
                index: i as u32,
                accelerators: 1,
            }],
            None => vec![],
        };
        PartStatus {
            job: JobId(Default::default()),
            attempt: AttemptNumber(1),
            members,
            state,
            ever_started: worker.ever_started,
            checkpoint: None,
        }
    }

    fn handle_event(&mut self, event: &GangEvent) {
        let commands = self.machine.handle(event, self.now);
        for command in commands {
            self.execute(&command);
        }
    }

    fn execute(&mut self, command: &GangCommand) {
        match command {
            GangCommand::CommitStart => self.commit(),
            GangCommand::Finish(outcome) => {
                let started = self.workers.iter().map(|w| w.actually_started).collect();
                self.outcomes.push((outcome.clone(), started));
                if self.workers.iter().any(|w| w.state == Some(PartState::Running)) {
                    self.violations
                        .push(format!("attempt ended as {outcome:?} while a member is running"));
                }
            }
            GangCommand::ReportRunning => {
                if !self.workers.iter().all(|w| w.actually_started) {
                    self.violations
                        .push("reported as running, but not every member was started".into());
                }
            }
            GangCommand::Prepare(worker)
            | GangCommand::Void(worker)
            | GangCommand::Checkpoint(worker)
            | GangCommand::Stop(worker)
            | GangCommand::Start { worker, .. } => self.call(worker_index(worker), command),
        }
    }

    fn commit(&mut self) {
        self.commits += 1;
        if self.commits > 1 {
            self.violations.push("start transaction committed twice".into());
        }
        match self.fault {
            Fault::RefuseCommit => self.handle_event(&GangEvent::StartRefused),
            Fault::LoseCommitResult => {
                self.commit_unresolved = true;
                self.handle_event(&GangEvent::StartUnresolved);
            }
            _ => {
                self.committed_at = Some(self.now);
                self.handle_event(&GangEvent::StartCommitted { sent_at: self.now });
            }
        }
    }

    fn call(&mut self, i: usize, command: &GangCommand) {
        if self.workers[i].unresponsive || self.fault == Fault::LoseCall(i) {
            return;
        }
        if let Some(refusal) = self.answer_call(i, command) {
            if self.fault != Fault::LoseAnswer(i) {
                self.handle_event(&GangEvent::PartRefused {
                    worker: worker_name(i),
                    refusal,
                });
            }
            return;
        }
        if self.fault == Fault::LoseAnswer(i) {
            return;
        }
        let event = match command {
            GangCommand::Checkpoint(_) => GangEvent::CheckpointConfirmed {
                worker: worker_name(i),
            },
            _ => GangEvent::PartReported {
                worker: worker_name(i),
                status: self.status(i),
            },
        };
        self.handle_event(&event);
    }

    fn answer_call(&mut self, i: usize, command: &GangCommand) -> Option<WorkerRefusal> {
        let now = self.now;
        let worker = &mut self.workers[i];
        match (command, &worker.state) {
            (GangCommand::Prepare(_), _) if worker.refuses_prepare => return Some(WorkerRefusal::NoCapacity),
            (GangCommand::Prepare(_), None) => {
                worker.state = Some(PartState::Prepared);
                worker.hold_until = now + RESERVATION_MS;
            }
            (GangCommand::Start { start_before, .. }, Some(PartState::Prepared)) => {
                if now > *start_before {
                    return Some(WorkerRefusal::TooLate);
                }
                if self.committed_at.is_none_or(|at| now > at + START_PERMIT_MS) {
                    self.violations
                        .push("member started without a start permit".into());
                }
                worker.state = Some(PartState::Running);
                worker.started_at = Some(now);
                worker.lease_until = now + arbutuspick_holder::GANG_LEASE_MS;
                worker.ever_started = true;
                worker.actually_started = true;
            }
            (GangCommand::Start { .. }, None) => return Some(WorkerRefusal::UnknownAttempt),
            (GangCommand::Start { .. }, Some(PartState::Voided)) => return Some(WorkerRefusal::Voided),
            (GangCommand::Void(_), Some(PartState::Prepared)) => worker.state = Some(PartState::Voided),
            (GangCommand::Stop(_), Some(PartState::Running)) => worker.state = Some(PartState::Stopped),
            (GangCommand::Checkpoint(_), Some(PartState::Running) | Some(PartState::Finished { .. })) => {}
            (GangCommand::Checkpoint(_), _) => return Some(WorkerRefusal::Voided),
            _ => {}
        }
        None
    }
}
