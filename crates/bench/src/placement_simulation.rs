use std::collections::BTreeMap;

use arbutuspick_model::{CentreName, CentreState, ClockTime, JobId, WorkerName};
use arbutuspick_sched::{PlacementAction, PlacementEvent, choose_centre};

use crate::centre_policy::CentrePolicy;
use crate::job_tracker::{JobEnd, JobPhase, JobTracker};
use crate::placement_validator::PlacementValidator;
use crate::simulation_event::{EventQueue, SimulationEvent};
use crate::simulation_outcome::SimulationOutcome;
use crate::{DeploymentPlan, JobArrival, PolicyKind, SimulationSettings};

/// Interval of the fragmentation samples.
const SAMPLE_INTERVAL_MS: u64 = 5_000;
/// Time that a health probe of a worker takes.
const PROBE_DURATION_MS: u64 = 200;
/// Delay after which a job without a data centre is assigned again.
const REASSIGN_DELAY_MS: u64 = 1_000;
/// Calls of `decide` at the same virtual time after which the simulation fails as stuck.
const MAX_CALLS_PER_INSTANT: u32 = 100_000;

/// One data centre of a simulation.
pub(crate) struct SimulatedCentre {
    pub(crate) name: CentreName,
    pub(crate) policy: CentrePolicy,
    pub(crate) validator: PlacementValidator,
    pub(crate) state: CentreState,
    wake_at: Option<ClockTime>,
}

/// Discrete-event simulation of one workload on all data centres with one policy, in virtual time.
///
/// ```
/// use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan, PlacementSimulation};
/// use arbutuspick_bench::{PolicyKind, SimulationSettings};
/// let plan = DeploymentPlan::midlands();
/// let settings = SimulationSettings { horizon_ms: 600_000, ..SimulationSettings::default() };
/// let arrivals = ArrivalGenerator::new(&plan, 1).generate(0.3, settings.horizon_ms);
/// let outcome = PlacementSimulation::new(&plan, &settings, PolicyKind::Core, &arrivals, 1).run()?;
/// assert!(outcome.ran > 0);
/// # Ok::<(), String>(())
/// ```
pub struct PlacementSimulation<'plan> {
    pub(crate) plan: &'plan DeploymentPlan,
    pub(crate) settings: &'plan SimulationSettings,
    pub(crate) kind: PolicyKind,
    pub(crate) arrivals: &'plan [JobArrival],
    pub(crate) trackers: Vec<JobTracker>,
    pub(crate) job_indexes: BTreeMap<JobId, usize>,
    pub(crate) centres: Vec<SimulatedCentre>,
    pub(crate) events: EventQueue,
    pub(crate) now: ClockTime,
    /// Data centre that is taken out of service and returns.
    pub(crate) leaving_centre: usize,
    /// Worker on which all starts and probes fail from `SimulationSettings::faulty_from`.
    pub(crate) faulty_worker: WorkerName,
    pub(crate) outcome: SimulationOutcome,
    /// Queued jobs for which no data centre could be chosen.
    unassigned: Vec<usize>,
    calls_this_instant: u32,
    open_jobs: usize,
}

impl<'plan> PlacementSimulation<'plan> {
    /// Creates a simulation; the seed selects the data centre that leaves and the worker that becomes faulty.
    pub fn new(
        plan: &'plan DeploymentPlan,
        settings: &'plan SimulationSettings,
        kind: PolicyKind,
        arrivals: &'plan [JobArrival],
        seed: u64,
    ) -> Self {
        let leaving_centre = seed as usize % plan.centres.len();
        let faulty_centre = (leaving_centre + 1) % plan.centres.len();
        let workers = plan.workers(faulty_centre);
        let faulty_worker = workers[(seed as usize * 7 + 3) % workers.len()].0.clone();
        let centre = |(index, (name, _)): (usize, &(CentreName, usize))| SimulatedCentre {
            name: name.clone(),
            policy: CentrePolicy::new(kind, &settings.options),
            validator: PlacementValidator::new(plan, index),
            state: CentreState::In,
            wake_at: None,
        };
        let jobs = arrivals.iter().enumerate();
        Self {
            plan,
            settings,
            kind,
            arrivals,
            trackers: vec![JobTracker::default(); arrivals.len()],
            job_indexes: jobs.map(|(index, arrival)| (arrival.job, index)).collect(),
            centres: plan.centres.iter().enumerate().map(centre).collect(),
            events: EventQueue::default(),
            now: ClockTime(0),
            leaving_centre,
            faulty_worker,
            outcome: SimulationOutcome::new(kind, seed),
            unassigned: Vec::new(),
            calls_this_instant: 0,
            open_jobs: arrivals.len(),
        }
    }

    /// Runs the simulation to the end, or returns which rule a placement violated.
    pub fn run(mut self) -> Result<SimulationOutcome, String> {
        self.prepare()?;
        while let Some((at, event)) = self.events.pop() {
            if at > self.settings.time_limit() || self.open_jobs == 0 {
                break;
            }
            if at > self.now {
                self.calls_this_instant = 0;
            }
            self.now = at;
            self.handle_event(event)
                .map_err(|error| format!("at {at}: {error}"))?;
        }
        let Self {
            outcome,
            arrivals,
            trackers,
            settings,
            ..
        } = self;
        Ok(outcome.with_trackers(arrivals, &trackers, settings))
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
            self.update_accounts(centre, None)?;
        }
        for (job, arrival) in self.arrivals.iter().enumerate() {
            self.events
                .schedule(arrival.at, SimulationEvent::JobArrived { job });
            if let Some(at) = arrival.cancel_at {
                self.events.schedule(at, SimulationEvent::JobCancelled { job });
            }
        }
        let (leave_at, return_at) = (self.settings.leave_at(), self.settings.return_at());
        let changes = [
            (leave_at, CentreState::Leaving),
            (leave_at + self.settings.drain_ms, CentreState::Out),
            (return_at, CentreState::Returning),
            (return_at + 60_000, CentreState::In),
        ];
        for (at, state) in changes {
            self.events.schedule(at, SimulationEvent::CentreChanged { state });
        }
        self.events
            .schedule(ClockTime(SAMPLE_INTERVAL_MS), SimulationEvent::TakeSample);
        Ok(())
    }

    fn handle_event(&mut self, event: SimulationEvent) -> Result<(), String> {
        match event {
            SimulationEvent::JobArrived { job } => self.assign_job(job),
            SimulationEvent::JobCancelled { job } => self.cancel_job(job),
            SimulationEvent::AttemptStarted { job, attempt } => self.handle_started(job, attempt),
            SimulationEvent::AttemptFinished { job, attempt } => self.handle_finished(job, attempt),
            SimulationEvent::AttemptStopped { job, attempt } => self.handle_stopped(job, attempt),
            SimulationEvent::WorkerProbed { centre, worker } => {
                let healthy = worker != self.faulty_worker || self.now < self.settings.faulty_from();
                self.deliver_event(centre, PlacementEvent::WorkerProbed { worker, healthy })
            }
            SimulationEvent::Wakeup { centre } => self.wake_centre(centre),
            SimulationEvent::CentreChanged { state } => self.change_centre_state(state),
            SimulationEvent::ReassignJobs => {
                let unassigned = std::mem::take(&mut self.unassigned);
                let waiting = |job: &usize| !self.trackers[*job].has_ended();
                let waiting: Vec<usize> = unassigned.into_iter().filter(waiting).collect();
                waiting.into_iter().try_for_each(|job| self.assign_job(job))
            }
            SimulationEvent::TakeSample => {
                self.sample_fragmentation();
                if self.now.0 < self.settings.horizon_ms {
                    self.events
                        .schedule(self.now + SAMPLE_INTERVAL_MS, SimulationEvent::TakeSample);
                }
                Ok(())
            }
        }
    }

    /// Returns the data centre that is leaving or out of service.
    fn centre_out(&self) -> Option<usize> {
        let state = self.centres[self.leaving_centre].state;
        matches!(state, CentreState::Leaving | CentreState::Out).then_some(self.leaving_centre)
    }

    /// Queues a job in the chosen data centre, or schedules another assignment if none could be chosen.
    fn assign_job(&mut self, job: usize) -> Result<(), String> {
        let arrival = &self.arrivals[job];
        let guarantees = self.plan.guarantees(arrival.account, self.centre_out());
        let centres = self.centres.iter();
        let summaries = centres
            .map(|centre| (centre.name.clone(), centre.policy.summary()))
            .collect();
        let Some(chosen) = choose_centre(&arrival.spec, &summaries, &guarantees) else {
            self.unassigned.push(job);
            self.events
                .schedule(self.now + REASSIGN_DELAY_MS, SimulationEvent::ReassignJobs);
            return Ok(());
        };
        let Some(centre) = self.centres.iter().position(|centre| centre.name == chosen) else {
            return Err(format!("data centre {chosen} does not exist"));
        };
        self.trackers[job].centre = Some(centre);
        let event = PlacementEvent::JobQueued {
            job: arrival.job,
            spec: arrival.spec.clone(),
            attempt: self.trackers[job].attempt,
            queued_at: arrival.at,
        };
        self.deliver_event(centre, event)
    }

    fn cancel_job(&mut self, job: usize) -> Result<(), String> {
        let tracker = &mut self.trackers[job];
        if tracker.has_ended() {
            return Ok(());
        }
        tracker.cancelled = true;
        if tracker.phase == JobPhase::Waiting {
            self.end_job(job, JobEnd::Cancelled);
        }
        let event = PlacementEvent::JobCancelled {
            job: self.arrivals[job].job,
        };
        match self.trackers[job].centre {
            Some(centre) => self.deliver_event(centre, event),
            None => Ok(()),
        }
    }

    fn change_centre_state(&mut self, state: CentreState) -> Result<(), String> {
        let leaving_centre = self.leaving_centre;
        self.centres[leaving_centre].state = state;
        let drain_deadline = (state == CentreState::Leaving).then_some(self.now + self.settings.drain_ms);
        if matches!(state, CentreState::Leaving | CentreState::Returning) {
            for centre in (0..self.centres.len()).filter(|centre| *centre != leaving_centre) {
                self.update_accounts(centre, self.centre_out())?;
            }
        }
        let event = PlacementEvent::CentreChanged {
            state,
            drain_deadline,
        };
        self.deliver_event(leaving_centre, event)
    }

    fn update_accounts(&mut self, centre: usize, centre_out: Option<usize>) -> Result<(), String> {
        let accounts = self.plan.account_policies(centre, centre_out);
        self.deliver_event(centre, PlacementEvent::AccountsChanged { accounts })
    }

    fn wake_centre(&mut self, centre: usize) -> Result<(), String> {
        if self.centres[centre].wake_at.is_some_and(|at| at <= self.now) {
            self.centres[centre].wake_at = None;
            return self.decide(centre);
        }
        Ok(())
    }

    /// Applies an event to the policy of a data centre and executes the actions that it decides.
    pub(crate) fn deliver_event(&mut self, centre: usize, event: PlacementEvent) -> Result<(), String> {
        self.centres[centre].policy.handle(event, self.now);
        self.decide(centre)
    }

    fn decide(&mut self, centre: usize) -> Result<(), String> {
        self.calls_this_instant += 1;
        if self.calls_this_instant > MAX_CALLS_PER_INSTANT {
            return Err("policy is stuck: too many calls of decide at the same virtual time".into());
        }
        let actions = self.centres[centre].policy.decide(self.now);
        for action in actions {
            self.execute(centre, action)?;
        }
        let simulated = &mut self.centres[centre];
        let due = simulated.policy.next_wakeup(self.now);
        if let Some(due) = due.filter(|due| simulated.wake_at.is_none_or(|at| *due < at)) {
            simulated.wake_at = Some(due);
            self.events.schedule(due, SimulationEvent::Wakeup { centre });
        }
        Ok(())
    }

    fn execute(&mut self, centre: usize, action: PlacementAction) -> Result<(), String> {
        match action {
            PlacementAction::Place(placement) => self.place_gang(centre, &placement),
            PlacementAction::Preempt {
                job,
                attempt,
                stop_before,
                reason,
            } => {
                self.preempt_attempt(self.job_indexes[&job], attempt, stop_before, reason);
                Ok(())
            }
            PlacementAction::Refuse { job, .. } => {
                self.end_job(self.job_indexes[&job], JobEnd::Refused);
                Ok(())
            }
            PlacementAction::Transfer { job } => {
                let job = self.job_indexes[&job];
                self.trackers[job].centre = None;
                self.outcome.transferred += 1;
                self.assign_job(job)
            }
            PlacementAction::Probe { worker } => {
                let probed = SimulationEvent::WorkerProbed { centre, worker };
                self.events.schedule(self.now + PROBE_DURATION_MS, probed);
                Ok(())
            }
        }
    }

    pub(crate) fn end_job(&mut self, job: usize, end: JobEnd) {
        self.trackers[job].end(end, self.now);
        self.open_jobs -= 1;
    }
}
