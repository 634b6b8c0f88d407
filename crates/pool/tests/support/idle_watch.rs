//! Watches for units that wait while an idle worker could run them and nothing else needs that worker.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{JobBody, StepBody, WorkerReport};

/// Longest time for which a unit may leave an idle worker to others, in milliseconds: low priorities keep off the
/// last empty workers for 4 s.
const MAX_IDLE_WAIT_MS: u64 = 5_000;

/// Pairs of a waiting job and an idle worker, each with the time since which both wait for each other.
#[derive(Debug, Default)]
pub(crate) struct IdleWatch {
    since: HashMap<(Arc<str>, Arc<str>), ClockTime>,
}

/// Returns the value of a field in a line of the state dump.
pub(crate) fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words
        .find(|(word, _)| *word == name)
        .map_or("", |(_, value)| value)
}

fn may_run(step: &StepBody, worker: &WorkerReport) -> bool {
    let label = &step.required_label;
    let labelled = worker.labels.iter().any(|own| own.as_ref() == label);
    let is_local = step.data_rack.is_empty()
        || worker
            .labels
            .last()
            .is_some_and(|rack| rack.as_ref() == step.data_rack);
    (label.is_empty() || labelled) && is_local && worker.capacity.covers(&step.amount())
}

impl IdleWatch {
    /// Applies a state dump that follows a decision.
    pub(crate) fn observe(
        &mut self,
        dump: &str,
        workers: &[&WorkerReport],
        bodies: &BTreeMap<Arc<str>, JobBody>,
        closed_centres: &std::collections::HashSet<Arc<str>>,
        now: ClockTime,
    ) {
        let claimed: Vec<&str> = dump
            .lines()
            .filter(|line| line.starts_with("claim "))
            .flat_map(|line| field(line, "workers").split(','))
            .collect();
        let idle: Vec<&WorkerReport> = dump
            .lines()
            .filter(|line| line.starts_with("worker "))
            .filter(|line| field(line, "takes_work") == "true" && field(line, "runs") == "0")
            .filter(|line| !claimed.contains(&field(line, "id")))
            .filter_map(|line| {
                workers
                    .iter()
                    .find(|worker| worker.id.as_ref() == field(line, "id"))
            })
            .filter(|worker| !closed_centres.contains(&worker.centre))
            .copied()
            .collect();
        let waiting: Vec<(&Arc<str>, &JobBody)> = dump
            .lines()
            .filter(|line| line.starts_with("job ") && field(line, "waits_for") != "-")
            .filter_map(|line| bodies.get_key_value(field(line, "id")))
            .collect();
        let mut pairs = HashMap::new();
        for worker in idle {
            let gang_waits = waiting.iter().any(|(_, body)| {
                let mut gangs = body.steps.iter().filter(|step| step.gang);
                gangs.any(|step| step.required_label.is_empty() || may_run(step, worker))
            });
            if gang_waits {
                continue;
            }
            for (job, body) in &waiting {
                if body.steps.iter().all(|step| may_run(step, worker)) {
                    let pair = ((*job).clone(), worker.id.clone());
                    let since = self.since.get(&pair).copied().unwrap_or(now);
                    assert!(
                        now.millis_since(since) <= MAX_IDLE_WAIT_MS,
                        "job {job} waits while {} is idle: {body:?}\n{dump}",
                        worker.id
                    );
                    pairs.insert(pair, since);
                }
            }
        }
        self.since = pairs;
    }
}
