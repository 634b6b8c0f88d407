use prost::Message;
use snafu::Snafu;

use crate::ResourceAmount;

/// Maximum number of steps of a job.
const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a job. The widest gangs have 1024, and a job record has to fit a row of the
/// store.
const MAX_TASKS: u32 = 1200;
/// Largest amounts of one task: millicores, memory in MB, accelerators. No worker comes near them, and work that is
/// computed from them does not overflow.
const MAX_MILLICORES: u64 = 100_000_000;
const MAX_MEMORY_MB: u64 = 1_000_000_000;
const MAX_ACCELERATORS: u64 = 10_000;
/// Longest estimate of a task, in milliseconds: eleven days.
const MAX_ESTIMATE_MS: u64 = 1_000_000_000;
/// Maximum length of a description in bytes.
const MAX_SPEC_BYTES: usize = 4_000;

/// A job as its caller submitted it, with the rule of its queue at that time; stored once and never changed.
///
/// The values of the rule (see [`QueueRule`](crate::QueueRule)) are used if the queue has been removed since.
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
    /// Description that is passed to every task unchanged.
    #[prost(string, tag = "4")]
    pub spec: String,
    /// Steps in the order in which the caller gave them.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepBody>,
    /// Unix milliseconds at which the job was accepted.
    #[prost(uint64, tag = "6")]
    pub accepted_at_ms: u64,
    /// Number of occurrences of a repeated job; 0 for a job that runs once.
    #[prost(uint32, tag = "7")]
    pub occurrences: u32,
    /// Unix milliseconds at which the first occurrence is due.
    #[prost(uint64, tag = "8")]
    pub first_due_ms: u64,
    /// Interval between occurrences, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub interval_ms: u64,
    /// Priority of the queue when the job was accepted.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Maximum attempts of the queue when the job was accepted.
    #[prost(uint32, tag = "11")]
    pub max_attempts: u32,
    /// Stretch factor of the queue when the job was accepted.
    #[prost(double, tag = "12")]
    pub stretch: f64,
    /// Allowance of the queue when the job was accepted, in milliseconds.
    #[prost(uint64, tag = "13")]
    pub allowance_ms: u64,
    /// Hash of the request, to tell a retry from another job with the same id.
    #[prost(fixed64, tag = "14")]
    pub body_hash: u64,
}

/// A step: a number of identical tasks.
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
    /// Run time of a task in milliseconds, as the caller estimates it.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Indices of the steps that must be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints and can resume from them.
    #[prost(bool, tag = "7")]
    pub checkpoints: bool,
    /// Whether all tasks run together or not at all.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether a gang runs slower across racks, so that it is placed in one rack if possible.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that the worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// Rack where the data is; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub spread_limit: u32,
    /// Whether the tasks run until the job is cancelled.
    #[prost(bool, tag = "13")]
    pub endless: bool,
    /// Whether the tasks use only idle processor time, which is not counted as allocated.
    #[prost(bool, tag = "14")]
    pub fills_idle: bool,
}

impl StepBody {
    /// Returns the estimated work of one task, in core milliseconds.
    pub fn task_core_ms(&self) -> u64 {
        self.amount().core_equivalents().max(1) * self.estimate_ms
    }

    /// Returns the resources that one task takes on a worker.
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
    /// Checks the rules that every stored body satisfies.
    pub fn check(&self) -> Result<(), BodyError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return violation("spec", "must have at most 4000 bytes");
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return violation("steps", "must have 1 to 64 entries");
        }
        let mut tasks: u32 = 0;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return violation("count", "must be at least 1");
            }
            tasks = step.count.saturating_add(tasks);
            if tasks > MAX_TASKS {
                return violation("count", "must be at most 1200 in all steps together");
            }
            if step.millicores > MAX_MILLICORES {
                return violation("cpu", "must be at most 100000000 thousandths of a core");
            }
            if step.memory_mb > MAX_MEMORY_MB {
                return violation("memory", "must be at most 1000000000 MB");
            }
            if step.accelerators > MAX_ACCELERATORS {
                return violation("accelerators", "must be at most 10000");
            }
            if step.estimate_ms > MAX_ESTIMATE_MS {
                return violation("estimate", "must be at most 1000000000 ms");
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return violation("after", "must name earlier steps");
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

    /// Returns the estimated run time of the longest chain of dependent steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
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

    /// Describes the steps in one line: their tasks, resources, estimates and placement constraints.
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

fn violation(field: &'static str, rule: &'static str) -> Result<(), BodyError> {
    Err(BodyError { field, rule })
}

/// A job body that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("field {field:?} {rule}"))]
pub struct BodyError {
    /// Field that violates the rule.
    pub field: &'static str,
    /// Text of the rule.
    pub rule: &'static str,
}
