use prost::Message;
use snafu::Snafu;

use crate::ResourceAmount;

/// Most steps of a job.
const MAX_STEPS: usize = 64;
/// Most tasks of a job; the widest gangs have 1024, and the record of a job has to fit one row of the store.
const MAX_TASKS: u32 = 1200;
/// Longest description in bytes.
const MAX_SPEC_BYTES: usize = 4_000;

/// What a caller asked for; stored once and never changed.
#[derive(Clone, PartialEq, Message)]
pub struct JobBody {
    /// Client account that the job belongs to; empty for a public queue.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Queue that accepted the job.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Service of the queue when the job was accepted.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Description that is handed to every task.
    #[prost(string, tag = "4")]
    pub spec: String,
    /// Steps in the order of the caller.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepBody>,
    /// Unix milliseconds at which the job was accepted.
    #[prost(uint64, tag = "6")]
    pub accepted_at_ms: u64,
    /// Occurrences of a repeated job; 0 for a job that runs once.
    #[prost(uint32, tag = "7")]
    pub occurrences: u32,
    /// Unix milliseconds at which the first occurrence is due.
    #[prost(uint64, tag = "8")]
    pub first_due_ms: u64,
    /// Milliseconds between occurrences.
    #[prost(uint64, tag = "9")]
    pub interval_ms: u64,
    /// Priority of the queue when the job was accepted, for a queue that has been removed since.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Attempts of the queue when the job was accepted.
    #[prost(uint32, tag = "11")]
    pub max_attempts: u32,
    /// Stretch of the queue when the job was accepted.
    #[prost(double, tag = "12")]
    pub stretch: f64,
    /// Allowance of the queue when the job was accepted, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub allowance_ms: u64,
    /// Hash of what the caller sent, to tell a repetition from another job with the same id.
    #[prost(fixed64, tag = "14")]
    pub body_hash: u64,
}

/// A step: tasks of one kind.
#[derive(Clone, PartialEq, Message)]
pub struct StepBody {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Thousandths of a core for each task.
    #[prost(uint64, tag = "2")]
    pub millicores: u64,
    /// Memory of each task in MB.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators of each task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// Rough run time of a task in milliseconds, as the caller estimates it.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Steps that must be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Tasks save their progress and can resume.
    #[prost(bool, tag = "7")]
    pub checkpoints: bool,
    /// All tasks run together or not at all.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// A gang runs slower across racks.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that the worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// Rack where the data is; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub spread_limit: u32,
    /// Tasks run until the job is cancelled.
    #[prost(bool, tag = "13")]
    pub endless: bool,
    /// Tasks use the processor time that others leave; theirs is not counted.
    #[prost(bool, tag = "14")]
    pub fills_idle: bool,
}

impl StepBody {
    /// Returns the estimated work of one task, in core milliseconds.
    pub fn task_core_ms(&self) -> u64 {
        self.amount().core_equivalents().max(1) * self.estimate_ms
    }

    /// Returns what one task takes up on a worker.
    pub fn amount(&self) -> ResourceAmount {
        let part = |value: u64| i64::try_from(value).unwrap_or(i64::MAX / 4);
        ResourceAmount {
            millicores: if self.fills_idle { 0 } else { part(self.millicores) },
            memory_mb: part(self.memory_mb),
            accelerators: part(self.accelerators),
        }
    }
}

impl JobBody {
    /// Checks the rules that every stored body keeps.
    pub fn check(&self) -> Result<(), BodyError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return fault("spec", "must have at most 4000 bytes");
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return fault("steps", "must have 1 to 64 entries");
        }
        let mut tasks: u32 = 0;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return fault("count", "must be at least 1");
            }
            tasks = step.count.saturating_add(tasks);
            if tasks > MAX_TASKS {
                return fault("count", "must be at most 1200 in all steps together");
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return fault("after", "must name earlier steps");
            }
        }
        Ok(())
    }

    /// Returns the estimated work of one occurrence, in core milliseconds.
    pub fn work_core_ms(&self) -> u64 {
        self.steps
            .iter()
            .map(|step| u64::from(step.count) * step.task_core_ms())
            .sum()
    }

    /// Returns the estimated milliseconds of the longest chain of steps.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|earlier| ends.get(*earlier as usize))
                .max();
            ends.push(begin.copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Describes the steps in one line: tasks, what each needs, its estimate and how it may be placed.
    pub fn shape(&self) -> String {
        let steps = self.steps.iter().map(|step| {
            let mut text = format!(
                "{}x{}c/{}MB/{}a/{}ms",
                step.count, step.millicores, step.memory_mb, step.accelerators, step.estimate_ms
            );
            let flags = [
                (step.gang, "gang"),
                (step.same_rack, "same_rack"),
                (step.checkpoints, "checkpoints"),
                (step.endless, "endless"),
                (!step.data_rack.is_empty(), "data_rack"),
                (!step.required_label.is_empty(), "label"),
                (step.spread_limit > 0, "spread"),
            ];
            for (_, name) in flags.iter().filter(|(set, _)| *set) {
                text.push('+');
                text.push_str(name);
            }
            text
        });
        steps.collect::<Vec<_>>().join(",")
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_endless(&self) -> bool {
        self.steps.iter().any(|step| step.endless)
    }
}

fn fault(field: &'static str, rule: &'static str) -> Result<(), BodyError> {
    Err(BodyError { field, rule })
}

/// A body that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("field {field:?} {rule}"))]
pub struct BodyError {
    /// Field that breaks the rule.
    pub field: &'static str,
    /// The rule.
    pub rule: &'static str,
}
