//! Load on the pool scheduler: job classes, arrivals and the outcome that callers see.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use arbutuspick_pool::{AccountRule, JobBody, PoolPolicy, QueueRule, StepBody};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Share of the accelerators that is guaranteed to all accounts together, in percent.
const GUARANTEED_PERCENT: u64 = 62;
/// Accelerators of one task of a gang; large ones are frequent.
const GANG_ACCELERATORS: [u64; 5] = [1, 2, 4, 8, 8];

/// A class of jobs with the figures of its queue.
#[derive(Clone, Debug)]
pub(crate) struct LoadClass {
    pub(crate) name: &'static str,
    pub(crate) priority: u32,
    pub(crate) stretch: f64,
    pub(crate) allowance_ms: u64,
    /// Value of a job on time and late.
    pub(crate) worth: (f64, f64),
    /// Share of all arrivals, in percent.
    arrival_percent: u32,
    mean_width: f64,
    max_width: u32,
    mean_task_ms: f64,
    millicores: u64,
    memory_mb: u64,
    gang: bool,
    same_rack_chance: f64,
    checkpoint_chance: f64,
}

impl LoadClass {
    /// Returns the mean work of a job of the class, in core milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn mean_work_core_ms(&self) -> f64 {
        let accelerators = if self.gang { 4.6 } else { 1.0 };
        let cores = self.millicores as f64 / 1_000.0 + 8.0 * accelerators;
        self.mean_width * cores * self.mean_task_ms
    }
}

/// Returns the classes of a pool that is shared by urgent gangs, wide gangs and sweeps of small tasks.
pub(crate) fn load_classes() -> Vec<LoadClass> {
    let urgent = LoadClass {
        name: "urgent",
        priority: 0,
        stretch: 1.5,
        allowance_ms: 300,
        worth: (4.0, 0.8),
        arrival_percent: 67,
        mean_width: 5.3,
        max_width: 32,
        mean_task_ms: 2_500.0,
        millicores: 7_500,
        memory_mb: 39_000,
        gang: true,
        same_rack_chance: 0.8,
        checkpoint_chance: 0.0,
    };
    let wide = LoadClass {
        name: "wide",
        priority: 1,
        stretch: 3.0,
        allowance_ms: 1_000,
        worth: (3.0, 0.9),
        arrival_percent: 17,
        mean_width: 13.0,
        max_width: 76,
        mean_task_ms: 6_800.0,
        millicores: 26_000,
        memory_mb: 75_000,
        gang: true,
        same_rack_chance: 0.6,
        checkpoint_chance: 0.45,
    };
    let sweep = LoadClass {
        name: "sweep",
        priority: 2,
        stretch: 3.0,
        allowance_ms: 3_000,
        worth: (1.0, 0.3),
        arrival_percent: 16,
        mean_width: 38.0,
        max_width: 230,
        mean_task_ms: 6_100.0,
        millicores: 5_600,
        memory_mb: 16_000,
        gang: false,
        same_rack_chance: 0.0,
        checkpoint_chance: 0.45,
    };
    vec![urgent, wide, sweep]
}

/// Draws a class by its share of the arrivals; `urgent_factor` multiplies the share of the first class.
pub(crate) fn draw_class(rng: &mut ChaCha8Rng, classes: &[LoadClass], urgent_factor: f64) -> usize {
    let weight = |number: usize| {
        let factor = if number == 0 { urgent_factor } else { 1.0 };
        f64::from(classes[number].arrival_percent) * factor
    };
    let total: f64 = (0..classes.len()).map(weight).sum();
    let mut left = rng.random_range(0.0..total);
    for number in 0..classes.len() {
        left -= weight(number);
        if left < 0.0 {
            return number;
        }
    }
    classes.len() - 1
}

/// Draws a number with an exponential distribution, at least `mean / 8` and at most `max`.
fn draw_size(rng: &mut ChaCha8Rng, mean: f64, max: f64) -> f64 {
    let uniform: f64 = rng.random_range(1e-6..1.0);
    (-uniform.ln() * mean).clamp(mean / 8.0, max)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn draw_body(
    rng: &mut ChaCha8Rng,
    class: &LoadClass,
    accounts: usize,
    accepted_at_ms: u64,
) -> JobBody {
    let accelerators = if class.gang {
        GANG_ACCELERATORS[rng.random_range(0..GANG_ACCELERATORS.len())]
    } else {
        1
    };
    let width = draw_size(rng, class.mean_width, f64::from(class.max_width)).round() as u32;
    let step = StepBody {
        count: width.max(1),
        millicores: class.millicores,
        memory_mb: class.memory_mb,
        accelerators,
        estimate_ms: draw_size(rng, class.mean_task_ms, 11_000.0) as u64,
        checkpoints: rng.random_bool(class.checkpoint_chance),
        gang: class.gang,
        same_rack: rng.random_bool(class.same_rack_chance),
        ..StepBody::default()
    };
    // Accounts differ in size: the first ones submit most.
    let account = rng.random_range(0..accounts).min(rng.random_range(0..accounts));
    JobBody {
        account: format!("a{account}"),
        queue: class.name.into(),
        service: "maps".into(),
        spec: "work".into(),
        steps: vec![step],
        accepted_at_ms,
        max_attempts: 4,
        stretch: class.stretch,
        ..JobBody::default()
    }
}

pub(crate) fn load_policy(classes: &[LoadClass], accounts: usize, accelerators: u64) -> PoolPolicy {
    let mut policy = PoolPolicy {
        version: 1,
        ..PoolPolicy::default()
    };
    for class in classes {
        let rule = Arc::new(QueueRule {
            name: class.name.into(),
            service: "maps".into(),
            priority: class.priority,
            max_attempts: 4,
            stretch: class.stretch,
            allowance_ms: class.allowance_ms,
        });
        policy.queues.insert(rule.name.clone(), rule);
    }
    for account in 0..accounts {
        let rule = AccountRule {
            name: format!("a{account}").as_str().into(),
            guaranteed_accelerators: accelerators * GUARANTEED_PERCENT / 100 / accounts as u64,
            ..AccountRule::default()
        };
        policy.accounts.insert(rule.name.clone(), rule);
    }
    policy
}

/// What became of the jobs of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassOutcome {
    /// Name of the class.
    pub name: &'static str,
    /// Jobs submitted in the measured period.
    pub jobs: usize,
    /// Jobs that met their objective.
    pub on_time: usize,
    /// Jobs that ended within three times their objective.
    pub late: usize,
    /// Value earned and owed.
    pub worth: (f64, f64),
    /// Times from submission to the first start, in milliseconds.
    pub first_start_ms: Vec<u64>,
}

/// Outcome of an emulated load on the pool scheduler.
#[derive(Clone, Debug, Default)]
pub struct PoolLoadOutcome {
    /// Outcomes by class.
    pub classes: Vec<ClassOutcome>,
    /// Mean share of the accelerators in use, in percent.
    pub busy_accelerators: f64,
    /// Mean share of the dominant resource in use, in percent.
    pub busy_share: f64,
    /// Runs that ended early by cause, and their work that no checkpoint kept, in core seconds.
    pub losses: BTreeMap<String, (usize, f64)>,
    /// Number of starts and stops.
    pub orders: (usize, usize),
    /// Processor times of the decisions, in microseconds.
    pub decision_us: Vec<u64>,
}

fn quantile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    values
        .get(values.len().saturating_sub(1) * percent / 100)
        .copied()
        .unwrap_or(0)
}

impl PoolLoadOutcome {
    pub(crate) fn add_loss(&mut self, cause: &str, core_s: f64) {
        let (runs, sum) = self.losses.entry(cause.to_owned()).or_default();
        *runs += 1;
        *sum += core_s;
    }

    /// Returns the value earned as a share of the value owed.
    pub fn worth(&self) -> f64 {
        let sum = |part: fn(&ClassOutcome) -> f64| self.classes.iter().map(part).sum::<f64>();
        sum(|class| class.worth.0) / sum(|class| class.worth.1).max(f64::MIN_POSITIVE)
    }

    /// Returns a table of the outcome.
    pub fn table(&self) -> String {
        let mut text = String::from("class     jobs on_time   late  worth  first start ms: p50    p95\n");
        for class in &self.classes {
            let mut waits = class.first_start_ms.clone();
            let (earned, owed) = class.worth;
            let _ = writeln!(
                text,
                "{:8} {:5} {:7} {:6} {:6.3} {:22} {:6}",
                class.name,
                class.jobs,
                class.on_time,
                class.late,
                earned / owed.max(f64::MIN_POSITIVE),
                quantile(&mut waits, 50),
                quantile(&mut waits, 95),
            );
        }
        for (cause, (runs, core_s)) in &self.losses {
            let _ = writeln!(text, "lost: {cause:18} {runs:6} runs {core_s:9.0} core s");
        }
        let mut decisions = self.decision_us.clone();
        let _ = writeln!(
            text,
            "worth {:.3}; busy accelerators {:.1}%, dominant {:.1}%; lost {:.0} core s; {} starts, {} stops; \
             decision us p50 {} p95 {} sum {} ms",
            self.worth(),
            self.busy_accelerators,
            self.busy_share,
            self.losses.values().map(|(_, core_s)| core_s).sum::<f64>(),
            self.orders.0,
            self.orders.1,
            quantile(&mut decisions, 50),
            quantile(&mut decisions, 95),
            decisions.iter().sum::<u64>() / 1_000,
        );
        text
    }
}
