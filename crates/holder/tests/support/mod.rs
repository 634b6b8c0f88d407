//! A gang attempt with fake workers in virtual time.

use arbutuspick_clients::{MemberPart, MemberResult, PartState, PartStatus, WorkerRefusal};
use arbutuspick_holder::{
    AttemptRules, AttemptVerdict, GangCommand, GangEvent, GangMachine, HOLD_MS, START_PERMIT_MS,
};
use arbutuspick_model::{AttemptNumber, ClockTime, JobId, WorkerName};
use arbutuspick_sched::{GangPlacement, MemberPlacement, PreemptReason};

const STEP_MS: u64 = 100;
/// Longer than a gang lease, so that renewals matter.
const RUN_MS: u64 = 18_000;
const RENEW_MS: u64 = 3_000;

/// What goes wrong in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    LoseCall(usize),
    LoseAnswer(usize),
    Silence(usize),
    Restart(usize),
    RefusePrepare(usize),
    FailTask(usize),
    Preempt,
    Cancel,
    RefuseCommit,
    LoseCommit,
    PauseHolder,
}

impl Fault {
    /// Directs a fault of one worker to a worker that the gang has.
    fn limited_to(self, workers: usize) -> Self {
        match self {
            Self::LoseCall(i) => Self::LoseCall(i % workers),
            Self::LoseAnswer(i) => Self::LoseAnswer(i % workers),
            Self::Silence(i) => Self::Silence(i % workers),
            Self::Restart(i) => Self::Restart(i % workers),
            Self::RefusePrepare(i) => Self::RefusePrepare(i % workers),
            Self::FailTask(i) => Self::FailTask(i % workers),
            other => other,
        }
    }
}

/// A worker that keeps the protocol and remembers the truth.
#[derive(Clone, Debug, Default)]
struct FakeWorker {
    state: Option<PartState>,
    hold_until: ClockTime,
    lease_until: ClockTime,
    started_at: Option<ClockTime>,
    ever_started: bool,
    truly_started: bool,
    truly_finished: bool,
    silent: bool,
    refuses: bool,
}

impl FakeWorker {
    fn advance(&mut self, now: ClockTime) {
        match self.state {
            Some(PartState::Prepared) if now > self.hold_until => self.state = Some(PartState::Voided),
            Some(PartState::Running) if now > self.lease_until => self.state = Some(PartState::LeaseExpired),
            Some(PartState::Running) if self.started_at.is_some_and(|at| now.millis_since(at) >= RUN_MS) => {
                self.truly_finished = true;
                self.state = Some(PartState::Finished { results: vec![] });
            }
            _ => {}
        }
    }
}

/// One attempt, its workers and the record of what was concluded.
pub(crate) struct GangBench {
    machine: GangMachine,
    rules: AttemptRules,
    workers: Vec<FakeWorker>,
    now: ClockTime,
    fault: Fault,
    paused_until: ClockTime,
    commits: u32,
    committed_at: Option<ClockTime>,
    commit_in_doubt: bool,
    verdicts: Vec<(AttemptVerdict, Vec<bool>)>,
    violations: Vec<String>,
    renewed_at: ClockTime,
}

fn name(index: usize) -> WorkerName {
    WorkerName::try_from(format!("w{index}")).unwrap()
}

fn index_of(worker: &WorkerName) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

impl GangBench {
    pub(crate) fn new(workers: usize, rules: AttemptRules) -> Self {
        let now = ClockTime(1_000);
        let members = (0..workers)
            .map(|i| MemberPlacement {
                worker: name(i),
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
            workers: vec![FakeWorker::default(); workers],
            now,
            fault: Fault::None,
            paused_until: now,
            commits: 0,
            committed_at: None,
            commit_in_doubt: false,
            verdicts: Vec::new(),
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
        self.feed(&GangEvent::Ticked);
    }

    /// Lets time pass without new faults until the attempt must be over.
    pub(crate) fn settle(&mut self) {
        for _ in 0..800 {
            self.step(Fault::None);
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(violation) = self.violations.first() {
            return Err(violation.clone());
        }
        if self.verdicts.len() != 1 {
            return Err(format!("{} verdicts, {:?}", self.verdicts.len(), self.machine));
        }
        if let Some(worker) = self
            .workers
            .iter()
            .position(|w| w.state == Some(PartState::Running))
        {
            return Err(format!("worker {worker} still runs a member"));
        }
        let (verdict, started) = &self.verdicts[0];
        let any_started = started.iter().any(|&s| s);
        match verdict {
            AttemptVerdict::Ran(_) if !self.workers.iter().all(|w| w.truly_finished) => {
                Err("reported as run in part".into())
            }
            AttemptVerdict::NotRun(_) if any_started => Err("reported as not run after a start".into()),
            AttemptVerdict::Requeue { unstarted: true, .. } if any_started => {
                Err("reported as unstarted after a start".into())
            }
            AttemptVerdict::Requeue {
                unstarted: false,
                checkpointed,
                ..
            } if !self.rules.idempotent && !checkpointed => {
                Err("single-run job requeued after a possible start".into())
            }
            _ => Ok(()),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Silence(i) => self.workers[i].silent = true,
            Fault::Restart(i) => {
                let FakeWorker {
                    truly_started,
                    truly_finished,
                    ..
                } = self.workers[i];
                self.workers[i] = FakeWorker {
                    truly_started,
                    truly_finished,
                    ..FakeWorker::default()
                };
            }
            Fault::RefusePrepare(i) => self.workers[i].refuses = true,
            Fault::FailTask(i) if self.workers[i].state == Some(PartState::Running) => {
                self.workers[i].state = Some(PartState::Failed {
                    message: "planned".into(),
                });
            }
            Fault::Preempt => self.order_stop(PreemptReason::Reclaim),
            Fault::Cancel => self.order_stop(PreemptReason::Cancelled),
            Fault::PauseHolder => self.paused_until = self.now + 2_500,
            _ => {}
        }
    }

    fn order_stop(&mut self, reason: PreemptReason) {
        let stop_before = self.now + 1_000;
        self.feed(&GangEvent::StopOrdered { reason, stop_before });
    }

    fn renew(&mut self) {
        if self.now.millis_since(self.renewed_at) < RENEW_MS {
            return;
        }
        self.renewed_at = self.now;
        for i in 0..self.workers.len() {
            let lease_until = self.machine.extend_lease(self.now);
            let worker = &mut self.workers[i];
            if worker.silent || self.fault == Fault::LoseCall(i) {
                continue;
            }
            if let (Some(PartState::Running), Some(lease_until)) = (&worker.state, lease_until) {
                worker.lease_until = lease_until;
            }
            let event = match worker.state {
                Some(_) => GangEvent::PartReported {
                    worker: name(i),
                    status: self.status(i),
                },
                None => GangEvent::PartMissing {
                    worker: name(i),
                    asked_at: self.now,
                },
            };
            self.feed(&event);
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
            Some(_) => vec![MemberPart {
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

    fn feed(&mut self, event: &GangEvent) {
        let commands = self.machine.handle(event, self.now);
        for command in commands {
            self.execute(&command);
        }
    }

    fn execute(&mut self, command: &GangCommand) {
        match command {
            GangCommand::CommitStart => self.commit(),
            GangCommand::Conclude(verdict) => {
                let started = self.workers.iter().map(|w| w.truly_started).collect();
                self.verdicts.push((verdict.clone(), started));
                if self.workers.iter().any(|w| w.state == Some(PartState::Running)) {
                    self.violations
                        .push(format!("concluded {verdict:?} while a member runs"));
                }
            }
            GangCommand::ReportRunning => {
                if !self.workers.iter().all(|w| w.truly_started) {
                    self.violations.push("reported as running in part".into());
                }
            }
            GangCommand::Prepare(worker)
            | GangCommand::Void(worker)
            | GangCommand::Checkpoint(worker)
            | GangCommand::Stop(worker)
            | GangCommand::Start { worker, .. } => self.call(index_of(worker), command),
        }
    }

    fn commit(&mut self) {
        self.commits += 1;
        if self.commits > 1 {
            self.violations.push("start committed twice".into());
        }
        match self.fault {
            Fault::RefuseCommit => self.feed(&GangEvent::StartRefused),
            Fault::LoseCommit => {
                self.commit_in_doubt = true;
                self.feed(&GangEvent::StartUnresolved);
            }
            _ => {
                self.committed_at = Some(self.now);
                self.feed(&GangEvent::StartCommitted { sent_at: self.now });
            }
        }
    }

    fn call(&mut self, i: usize, command: &GangCommand) {
        if self.workers[i].silent || self.fault == Fault::LoseCall(i) {
            return;
        }
        if let Some(refusal) = self.serve(i, command) {
            if self.fault != Fault::LoseAnswer(i) {
                self.feed(&GangEvent::PartRefused {
                    worker: name(i),
                    refusal,
                });
            }
            return;
        }
        if self.fault == Fault::LoseAnswer(i) {
            return;
        }
        let event = match command {
            GangCommand::Checkpoint(_) => GangEvent::CheckpointConfirmed { worker: name(i) },
            _ => GangEvent::PartReported {
                worker: name(i),
                status: self.status(i),
            },
        };
        self.feed(&event);
    }

    fn serve(&mut self, i: usize, command: &GangCommand) -> Option<WorkerRefusal> {
        let now = self.now;
        let worker = &mut self.workers[i];
        match (command, &worker.state) {
            (GangCommand::Prepare(_), _) if worker.refuses => return Some(WorkerRefusal::NoCapacity),
            (GangCommand::Prepare(_), None) => {
                worker.state = Some(PartState::Prepared);
                worker.hold_until = now + HOLD_MS;
            }
            (GangCommand::Start { start_before, .. }, Some(PartState::Prepared)) => {
                if now > *start_before {
                    return Some(WorkerRefusal::TooLate);
                }
                if self.committed_at.is_none_or(|at| now > at + START_PERMIT_MS) {
                    self.violations.push("started without a permit".into());
                }
                worker.state = Some(PartState::Running);
                worker.started_at = Some(now);
                worker.lease_until = now + arbutuspick_holder::GANG_LEASE_MS;
                worker.ever_started = true;
                worker.truly_started = true;
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
