use std::collections::BTreeSet;

use arbutuspick_model::{ClockTime, JobId};
use statig::prelude::*;

use crate::PlacementOptions;

/// An event that affects the health state of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    Joined,
    Lost,
    /// The data centre returns to service, so the worker has to pass a probe again.
    Recheck,
    Probed {
        healthy: bool,
        now: ClockTime,
    },
    StartFailed {
        job: JobId,
        now: ClockTime,
    },
    RunFailed {
        job: JobId,
        now: ClockTime,
    },
    /// Every member of an attempt that uses the worker has started.
    Started,
    /// An attempt that used the worker ended with `AttemptEnd::Finished`.
    Finished,
    Tick {
        now: ClockTime,
    },
}

/// Consecutive failures and the jobs that saw them.
#[derive(Clone, Debug, Default)]
struct FailureStreak {
    failures: u32,
    jobs: BTreeSet<JobId>,
}

/// Health of a worker: new and quarantined workers take jobs only after a successful probe.
#[derive(Clone, Debug)]
pub(crate) struct WorkerHealth {
    quarantine_failures: u32,
    quarantine_jobs: usize,
    first_probe_ms: u64,
    max_probe_ms: u64,
    next_probe_ms: u64,
    start_failures: FailureStreak,
    run_failures: FailureStreak,
}

/// Health state machine of one worker.
pub(crate) type HealthMachine = StateMachine<WorkerHealth>;

impl WorkerHealth {
    pub(crate) fn machine(options: &PlacementOptions) -> HealthMachine {
        Self {
            quarantine_failures: options.quarantine_failures,
            quarantine_jobs: options.quarantine_jobs,
            first_probe_ms: options.probe_after_ms,
            max_probe_ms: options.probe_max_ms,
            next_probe_ms: options.probe_after_ms,
            start_failures: FailureStreak::default(),
            run_failures: FailureStreak::default(),
        }
        .state_machine()
    }

    /// Returns when a quarantined worker is probed next.
    pub(crate) fn probe_at(machine: &HealthMachine) -> Option<ClockTime> {
        match machine.state() {
            HealthState::Quarantined { probe_at } => Some(*probe_at),
            _ => None,
        }
    }

    fn clear_failures(&mut self) {
        self.start_failures = FailureStreak::default();
        self.run_failures = FailureStreak::default();
    }

    fn reaches_limits(&self, streak: &FailureStreak) -> bool {
        streak.failures >= self.quarantine_failures && streak.jobs.len() >= self.quarantine_jobs
    }

    /// Returns when the next probe is due, and doubles the interval for the one after it.
    fn next_probe(&mut self, now: ClockTime) -> ClockTime {
        let due = now + self.next_probe_ms;
        self.next_probe_ms = (2 * self.next_probe_ms).min(self.max_probe_ms);
        due
    }

    fn quarantine(&mut self, now: ClockTime) -> Outcome<HealthState> {
        self.clear_failures();
        Transition(HealthState::quarantined(self.next_probe(now)))
    }
}

impl FailureStreak {
    fn record(&mut self, job: JobId) {
        self.failures += 1;
        self.jobs.insert(job);
    }
}

#[state_machine(
    initial = "HealthState::lost()",
    state(name = "HealthState", derive(Clone, Debug, PartialEq)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl WorkerHealth {
    #[state]
    fn lost(event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::Joined => Transition(HealthState::due()),
            _ => Handled,
        }
    }

    /// A probe has to be requested.
    #[state(superstate = "known")]
    fn due(event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::Tick { .. } => Transition(HealthState::probing()),
            _ => Super,
        }
    }

    /// A probe was requested and its result is pending.
    #[state(superstate = "known")]
    fn probing(&mut self, event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::Probed { healthy: true, .. } => Transition(HealthState::healthy()),
            HealthEvent::Probed { healthy: false, now } => self.quarantine(*now),
            HealthEvent::Recheck => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn healthy(&mut self, event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::StartFailed { job, now } => {
                self.start_failures.record(*job);
                if self.reaches_limits(&self.start_failures) {
                    return self.quarantine(*now);
                }
            }
            HealthEvent::RunFailed { job, now } => {
                self.run_failures.record(*job);
                if self.reaches_limits(&self.run_failures) {
                    return self.quarantine(*now);
                }
            }
            HealthEvent::Started => self.start_failures = FailureStreak::default(),
            HealthEvent::Finished => {
                self.clear_failures();
                self.next_probe_ms = self.first_probe_ms;
            }
            _ => return Super,
        }
        Handled
    }

    #[state(superstate = "known")]
    fn quarantined(probe_at: &mut ClockTime, event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::Tick { now } if *now >= *probe_at => Transition(HealthState::probing()),
            HealthEvent::Recheck => Handled,
            _ => Super,
        }
    }

    /// All states except `lost`.
    #[superstate]
    fn known(event: &HealthEvent) -> Outcome<HealthState> {
        match event {
            HealthEvent::Lost => Transition(HealthState::lost()),
            HealthEvent::Recheck => Transition(HealthState::due()),
            _ => Handled,
        }
    }
}
