use std::collections::BTreeMap;

use arbutuspick_model::{CentreName, CentreState, ClockTime, JobId, WorkerName};
use arbutuspick_sched::{PlacementAction, PlacementEvent, choose_centre};

use crate::centre_policy::CentrePolicy;
use crate::job_course::{CourseEnd, CoursePhase, JobCourse};
use crate::placement_audit::PlacementAudit;
use crate::run_event::{EventQueue, RunEvent};
use crate::run_outcome::RunOutcome;
use crate::{DeploymentPlan, JobArrival, PolicyKind, RunSettings};

/// Time between samples of the free accelerators.
const SAMPLE_MS: u64 = 5_000;
/// Time that a health check of a worker takes.
const PROBE_MS: u64 = 200;
/// Time after which a job without a data centre is assigned again.
const REASSIGN_MS: u64 = 1_000;
/// Calls of `decide` at one time after which a policy counts as stuck.
const MAX_CALLS_AT_ONCE: u32 = 100_000;

/// One data centre of a run.
pub(crate) struct RunCentre {
    pub(crate) name: CentreName,
    pub(crate) policy: CentrePolicy,
    pub(crate) audit: PlacementAudit,
    pub(crate) state: CentreState,
    wake_at: Option<ClockTime>,
}

/// Drives the policies of all data centres through one workload in virtual time.
///
/// ```
/// use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan, PolicyKind, RunSettings, VirtualRun};
/// let plan = DeploymentPlan::midlands();
/// let settings = RunSettings { horizon_ms: 600_000, ..RunSettings::default() };
/// let arrivals = ArrivalGenerator::new(&plan, 1).generate(0.3, settings.horizon_ms);
/// let outcome = VirtualRun::new(&plan, &settings, PolicyKind::Core, &arrivals, 1).run()?;
/// assert!(outcome.ran > 0);
/// # Ok::<(), String>(())
/// ```
pub struct VirtualRun<'plan> {
    pub(crate) plan: &'plan DeploymentPlan,
    pub(crate) settings: &'plan RunSettings,
    pub(crate) kind: PolicyKind,
    pub(crate) arrivals: &'plan [JobArrival],
    pub(crate) courses: Vec<JobCourse>,
    pub(crate) indexes: BTreeMap<JobId, usize>,
    pub(crate) centres: Vec<RunCentre>,
    pub(crate) events: EventQueue,
    pub(crate) now: ClockTime,
    /// Data centre that is taken out.
    pub(crate) leaver: usize,
    pub(crate) bad_worker: WorkerName,
    pub(crate) outcome: RunOutcome,
    stranded: Vec<usize>,
    calls_at_once: u32,
    open_jobs: usize,
}

impl<'plan> VirtualRun<'plan> {
    /// Prepares a run; the seed chooses the data centre that leaves and the worker that fails.
    pub fn new(
        plan: &'plan DeploymentPlan,
        settings: &'plan RunSettings,
        kind: PolicyKind,
        arrivals: &'plan [JobArrival],
        seed: u64,
    ) -> Self {
        let leaver = seed as usize % plan.centres.len();
        let bad_centre = (leaver + 1) % plan.centres.len();
        let bad_workers = plan.workers(bad_centre);
        let bad_worker = bad_workers[(seed as usize * 7 + 3) % bad_workers.len()].0.clone();
        let centre = |(index, (name, _)): (usize, &(CentreName, usize))| RunCentre {
            name: name.clone(),
            policy: CentrePolicy::new(kind, &settings.options),
            audit: PlacementAudit::new(plan, index),
            state: CentreState::In,
            wake_at: None,
        };
        let jobs = arrivals.iter().enumerate();
        Self {
            plan,
            settings,
            kind,
            arrivals,
            courses: vec![JobCourse::default(); arrivals.len()],
            indexes: jobs.map(|(index, arrival)| (arrival.job, index)).collect(),
            centres: plan.centres.iter().enumerate().map(centre).collect(),
            events: EventQueue::default(),
            now: ClockTime(0),
            leaver,
            bad_worker,
            outcome: RunOutcome::new(kind, seed),
            stranded: Vec::new(),
            calls_at_once: 0,
            open_jobs: arrivals.len(),
        }
    }

    /// Runs to the end, or returns the rule that a placement broke.
    pub fn run(mut self) -> Result<RunOutcome, String> {
        self.prepare()?;
        while let Some((at, event)) = self.events.pop() {
            if at > self.settings.give_up_at() || self.open_jobs == 0 {
                break;
            }
            if at > self.now {
                self.calls_at_once = 0;
            }
            self.now = at;
            self.step(event).map_err(|fault| format!("at {at}: {fault}"))?;
        }
        let Self {
            outcome,
            arrivals,
            courses,
            settings,
            ..
        } = self;
        Ok(outcome.with_courses(arrivals, &courses, settings))
    }

    fn prepare(&mut self) -> Result<(), String> {
        for centre in 0..self.centres.len() {
            let capacity = self.plan.capacity;
            for (worker, rack) in self.plan.workers(centre) {
                let event = PlacementEvent::WorkerJoined {
                    worker,
                    rack,
                    capacity,
                };
                self.centres[centre].policy.handle(event, self.now);
            }
            self.share_accounts(centre, None)?;
        }
        for (job, arrival) in self.arrivals.iter().enumerate() {
            self.events.schedule(arrival.at, RunEvent::Arrive { job });
            if let Some(at) = arrival.cancel_at {
                self.events.schedule(at, RunEvent::Cancel { job });
            }
        }
        let (leave_at, back_at) = (self.settings.leave_at(), self.settings.back_at());
        let orders = [
            (leave_at, CentreState::Leaving),
            (leave_at + self.settings.drain_ms, CentreState::Out),
            (back_at, CentreState::Returning),
            (back_at + 60_000, CentreState::In),
        ];
        for (at, state) in orders {
            self.events.schedule(at, RunEvent::Order { state });
        }
        self.events.schedule(ClockTime(SAMPLE_MS), RunEvent::Sample);
        Ok(())
    }

    fn step(&mut self, event: RunEvent) -> Result<(), String> {
        match event {
            RunEvent::Arrive { job } => self.assign(job),
            RunEvent::Cancel { job } => self.cancel(job),
            RunEvent::Started { job, attempt } => self.started(job, attempt),
            RunEvent::Finish { job, attempt } => self.finish(job, attempt),
            RunEvent::Stopped { job, attempt } => self.stopped(job, attempt),
            RunEvent::Probed { centre, worker } => {
                let healthy = worker != self.bad_worker || self.now < self.settings.bad_from();
                self.tell(centre, PlacementEvent::WorkerProbed { worker, healthy })
            }
            RunEvent::Wake { centre } => self.wake(centre),
            RunEvent::Order { state } => self.order(state),
            RunEvent::Reassign => {
                let stranded = std::mem::take(&mut self.stranded);
                let waiting = |job: &usize| !self.courses[*job].has_ended();
                let waiting: Vec<usize> = stranded.into_iter().filter(waiting).collect();
                waiting.into_iter().try_for_each(|job| self.assign(job))
            }
            RunEvent::Sample => {
                self.sample_fragments();
                if self.now.0 < self.settings.horizon_ms {
                    self.events.schedule(self.now + SAMPLE_MS, RunEvent::Sample);
                }
                Ok(())
            }
        }
    }

    /// Returns the data centre that is ordered out at the moment.
    fn out(&self) -> Option<usize> {
        let state = self.centres[self.leaver].state;
        matches!(state, CentreState::Leaving | CentreState::Out).then_some(self.leaver)
    }

    /// Gives a queued job to the chosen data centre, or keeps it until there is one.
    fn assign(&mut self, job: usize) -> Result<(), String> {
        let arrival = &self.arrivals[job];
        let home = self.plan.guarantees(arrival.account, self.out());
        let centres = self.centres.iter();
        let summaries = centres
            .map(|centre| (centre.name.clone(), centre.policy.summary()))
            .collect();
        let Some(chosen) = choose_centre(&arrival.spec, &summaries, &home) else {
            self.stranded.push(job);
            self.events.schedule(self.now + REASSIGN_MS, RunEvent::Reassign);
            return Ok(());
        };
        let Some(centre) = self.centres.iter().position(|centre| centre.name == chosen) else {
            return Err(format!("data centre {chosen} does not exist"));
        };
        self.courses[job].centre = Some(centre);
        let event = PlacementEvent::JobQueued {
            job: arrival.job,
            spec: arrival.spec.clone(),
            attempt: self.courses[job].attempt,
            queued_at: arrival.at,
        };
        self.tell(centre, event)
    }

    fn cancel(&mut self, job: usize) -> Result<(), String> {
        let course = &mut self.courses[job];
        if course.has_ended() {
            return Ok(());
        }
        course.cancelled = true;
        if course.phase == CoursePhase::Waiting {
            self.end_course(job, CourseEnd::Cancelled);
        }
        let event = PlacementEvent::JobCancelled {
            job: self.arrivals[job].job,
        };
        match self.courses[job].centre {
            Some(centre) => self.tell(centre, event),
            None => Ok(()),
        }
    }

    fn order(&mut self, state: CentreState) -> Result<(), String> {
        let leaver = self.leaver;
        self.centres[leaver].state = state;
        let drain_deadline = (state == CentreState::Leaving).then_some(self.now + self.settings.drain_ms);
        if matches!(state, CentreState::Leaving | CentreState::Returning) {
            for centre in (0..self.centres.len()).filter(|centre| *centre != leaver) {
                self.share_accounts(centre, self.out())?;
            }
        }
        let event = PlacementEvent::CentreChanged {
            state,
            drain_deadline,
        };
        self.tell(leaver, event)
    }

    fn share_accounts(&mut self, centre: usize, out: Option<usize>) -> Result<(), String> {
        let accounts = self.plan.shares(centre, out);
        self.tell(centre, PlacementEvent::AccountsChanged { accounts })
    }

    fn wake(&mut self, centre: usize) -> Result<(), String> {
        if self.centres[centre].wake_at.is_some_and(|at| at <= self.now) {
            self.centres[centre].wake_at = None;
            return self.decide(centre);
        }
        Ok(())
    }

    /// Reports a fact to a data centre and carries out what it decides.
    pub(crate) fn tell(&mut self, centre: usize, event: PlacementEvent) -> Result<(), String> {
        self.centres[centre].policy.handle(event, self.now);
        self.decide(centre)
    }

    fn decide(&mut self, centre: usize) -> Result<(), String> {
        self.calls_at_once += 1;
        if self.calls_at_once > MAX_CALLS_AT_ONCE {
            return Err("decide is due again and again at one time".into());
        }
        let actions = self.centres[centre].policy.decide(self.now);
        for action in actions {
            self.act(centre, action)?;
        }
        let entry = &mut self.centres[centre];
        let due = entry.policy.next_wakeup(self.now);
        if let Some(due) = due.filter(|due| entry.wake_at.is_none_or(|at| *due < at)) {
            entry.wake_at = Some(due);
            self.events.schedule(due, RunEvent::Wake { centre });
        }
        Ok(())
    }

    fn act(&mut self, centre: usize, action: PlacementAction) -> Result<(), String> {
        match action {
            PlacementAction::Place(placement) => self.place(centre, &placement),
            PlacementAction::Preempt {
                job,
                attempt,
                stop_before,
                reason,
            } => {
                self.preempt(self.indexes[&job], attempt, stop_before, reason);
                Ok(())
            }
            PlacementAction::Refuse { job, .. } => {
                self.end_course(self.indexes[&job], CourseEnd::Refused);
                Ok(())
            }
            PlacementAction::Transfer { job } => {
                let job = self.indexes[&job];
                self.courses[job].centre = None;
                self.outcome.released += 1;
                self.assign(job)
            }
            PlacementAction::Probe { worker } => {
                let probed = RunEvent::Probed { centre, worker };
                self.events.schedule(self.now + PROBE_MS, probed);
                Ok(())
            }
        }
    }

    pub(crate) fn end_course(&mut self, job: usize, end: CourseEnd) {
        self.courses[job].end(end, self.now);
        self.open_jobs -= 1;
    }
}
