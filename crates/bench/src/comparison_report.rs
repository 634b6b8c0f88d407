use std::fmt;

use hdrhistogram::Histogram;

use crate::simulation_outcome::SIZE_CLASSES;
use crate::{PolicyKind, SimulationOutcome};

/// Comparison of the policies over all seeds of a deployment, printed as tables.
///
/// ```
/// use arbutuspick_bench::{ComparisonReport, PolicyKind, SimulationOutcome};
/// let report = ComparisonReport { outcomes: vec![SimulationOutcome::new(PolicyKind::Core, 1)] };
/// assert!(report.to_string().contains("core"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ComparisonReport {
    /// Outcomes of all simulations.
    pub outcomes: Vec<SimulationOutcome>,
}

/// Statistics of one policy over all seeds.
struct PolicyStats {
    kind: PolicyKind,
    completions: [Histogram<u64>; 3],
    mean_s: f64,
    unusable: Vec<u32>,
    free: Vec<u32>,
    free_while_waiting: Vec<u32>,
    window_work: Vec<f64>,
}

impl PolicyStats {
    fn new(kind: PolicyKind, outcomes: &[&SimulationOutcome]) -> Self {
        let mut completions = SimulationOutcome::new(kind, 0).completions;
        for outcome in outcomes {
            for (total, part) in completions.iter_mut().zip(&outcome.completions) {
                total.add(part).expect("all histograms have the same bounds");
            }
        }
        let jobs: u64 = completions.iter().map(Histogram::len).sum();
        let sum_ms: u64 = outcomes.iter().map(|outcome| outcome.completion_sum_ms).sum();
        let collect_samples = |samples: fn(&SimulationOutcome) -> &Vec<u32>| {
            let samples = outcomes
                .iter()
                .flat_map(|outcome| samples(outcome).iter().copied());
            samples.collect::<Vec<u32>>()
        };
        Self {
            kind,
            completions,
            mean_s: sum_ms as f64 / 1000.0 / jobs.max(1) as f64,
            unusable: collect_samples(|outcome| &outcome.unusable),
            free: collect_samples(|outcome| &outcome.free),
            free_while_waiting: collect_samples(|outcome| &outcome.free_while_waiting),
            window_work: outcomes.iter().map(|outcome| outcome.window_work).collect(),
        }
    }

    fn large_p95_s(&self) -> f64 {
        self.completions[2].value_at_quantile(0.95) as f64 / 1000.0
    }

    fn write_completions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((class, _), histogram) in SIZE_CLASSES.iter().zip(&self.completions) {
            let seconds_at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            let (jobs, p50, p95, p99) = (
                histogram.len(),
                seconds_at(0.5),
                seconds_at(0.95),
                seconds_at(0.99),
            );
            let kind = self.kind.label();
            writeln!(
                f,
                "| {kind} | {class} | {jobs} | {p50:.1} | {p95:.1} | {p99:.1} |"
            )?;
        }
        Ok(())
    }

    fn write_fragmentation(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.kind.label();
        write!(f, "| {kind} | {:.1} |", self.mean_s)?;
        for samples in [&self.unusable, &self.free, &self.free_while_waiting] {
            write!(f, " {:.1} | {} |", mean(samples), p95(samples))?;
        }
        writeln!(f)
    }
}

impl ComparisonReport {
    fn outcomes_of(&self, kind: PolicyKind) -> Vec<&SimulationOutcome> {
        let outcomes = self.outcomes.iter();
        outcomes.filter(|outcome| outcome.kind == kind).collect()
    }

    fn stats(&self) -> Vec<PolicyStats> {
        let kinds = [
            PolicyKind::Core,
            PolicyKind::Baseline,
            PolicyKind::SkippingBaseline,
        ];
        let measured = kinds.into_iter().map(|kind| (kind, self.outcomes_of(kind)));
        measured
            .filter(|(_, outcomes)| !outcomes.is_empty())
            .map(|(kind, outcomes)| PolicyStats::new(kind, &outcomes))
            .collect()
    }

    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| policy | seed | ran | refused (wrongly) | cancelled | unknown | unfinished | starts (failed, stopped, most of one job) \
             | moved queued | stopped: guarantee, reservation, leaving, caller | lost acc·s | window acc·s |"
        )?;
        writeln!(f, "|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")?;
        for outcome in &self.outcomes {
            let [reclaim, reservation, leaving, cancelled] = outcome.preempted;
            let kind = outcome.kind.label();
            let SimulationOutcome {
                seed,
                ran,
                refused,
                refused_wrongly,
                cancelled: cancelled_jobs,
                unknown,
                unfinished,
                starts,
                failed_starts,
                transferred,
                stopped_starts,
                max_starts,
                lost_work,
                window_work,
                ..
            } = outcome;
            writeln!(
                f,
                "| {kind} | {seed} | {ran} | {refused} ({refused_wrongly}) | {cancelled_jobs} | {unknown} \
                 | {unfinished} | {starts} ({failed_starts}, {stopped_starts}, {max_starts}) | {transferred} \
                 | {reclaim}, {reservation}, {leaving}, {cancelled} | {lost_work:.0} | {window_work:.0} |"
            )?;
        }
        Ok(())
    }

    fn write_targets(f: &mut fmt::Formatter<'_>, core: &PolicyStats, baseline: &PolicyStats) -> fmt::Result {
        let label = baseline.kind.label();
        writeln!(f, "\n| target against {label} | ratio core/{label} | result |")?;
        writeln!(f, "|---|--:|---|")?;
        let large = core.large_p95_s() / baseline.large_p95_s();
        let mean_time = core.mean_s / baseline.mean_s;
        let unusable = mean(&core.unusable) / mean(&baseline.unusable);
        let work = core.window_work.iter().sum::<f64>() / baseline.window_work.iter().sum::<f64>();
        let targets = [
            ("p95 completion of large gangs at most 0.5", large, large <= 0.5),
            (
                "mean completion of all jobs at most 1",
                mean_time,
                mean_time <= 1.0,
            ),
            (
                "mean unusable free accelerators at most 0.5",
                unusable,
                unusable <= 0.5,
            ),
            ("work during departure and return at least 1.2", work, work >= 1.2),
        ];
        for (target, ratio, met) in targets {
            let result = if met { "met" } else { "missed" };
            writeln!(f, "| {target} | {ratio:.3} | {result} |")?;
        }
        let pairs = core.window_work.iter().zip(&baseline.window_work);
        let ratios: Vec<f64> = pairs.map(|(core, baseline)| core / baseline).collect();
        let lowest = ratios.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = ratios.iter().copied().fold(0.0, f64::max);
        let listed: Vec<String> = ratios.iter().map(|ratio| format!("{ratio:.3}")).collect();
        let listed = listed.join(", ");
        writeln!(
            f,
            "\nWork ratio core/{label} per seed: {listed} (from {lowest:.3} to {highest:.3})."
        )
    }
}

impl fmt::Display for ComparisonReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stats = self.stats();
        writeln!(f, "| policy | class | jobs | median s | p95 s | p99 s |")?;
        writeln!(f, "|---|---|--:|--:|--:|--:|")?;
        for stats in &stats {
            stats.write_completions(f)?;
        }
        writeln!(
            f,
            "\n| policy | mean completion s | unusable mean | p95 | free mean | p95 | free while jobs wait mean \
             | p95 |"
        )?;
        writeln!(f, "|---|--:|--:|--:|--:|--:|--:|--:|")?;
        for stats in &stats {
            stats.write_fragmentation(f)?;
        }
        writeln!(f)?;
        self.write_counts(f)?;
        if let [core, baselines @ ..] = &stats[..]
            && core.kind == PolicyKind::Core
        {
            for baseline in baselines {
                Self::write_targets(f, core, baseline)?;
            }
        }
        Ok(())
    }
}

fn mean(samples: &[u32]) -> f64 {
    let sum: f64 = samples.iter().copied().map(f64::from).sum();
    sum / samples.len().max(1) as f64
}

fn p95(samples: &[u32]) -> u32 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    sorted.get(samples.len() * 95 / 100).copied().unwrap_or(0)
}
