use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use super::job_call::{JobReport, ReportedOutcome};
use super::outage_call::OutageReport;
use super::pool_sampler::PoolSample;
use super::request_call::RequestReport;
use super::run_logs::RunLogs;

/// Maximum number of unfinished jobs in the printed report.
const MAX_LISTED_JOBS: usize = 10;
/// Highest completion time that the histograms distinguish; a run lasts at most 90 s.
const MAX_HISTOGRAM_MS: u64 = 200_000;

/// Results of a run of the driver; its `Display` is the printed report.
#[derive(Clone, Debug)]
pub struct DriveReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Duration of the run in milliseconds.
    pub run_ms: u64,
    /// Jobs.
    pub jobs: Vec<JobReport>,
    /// Requests.
    pub requests: Vec<RequestReport>,
    /// Samples of the free accelerators.
    pub samples: Vec<PoolSample>,
    /// Planned outage of a data centre, if there was one.
    pub outage: Option<OutageReport>,
    /// Logs of the workers and upstreams.
    pub logs: RunLogs,
    /// Violated invariants, one line each.
    pub violations: Vec<String>,
}

#[derive(Default)]
struct OutcomeCounts {
    outcomes: BTreeMap<ReportedOutcome, u64>,
    reasons: BTreeMap<String, u64>,
}

impl OutcomeCounts {
    fn add(&mut self, outcome: ReportedOutcome, reason: &str) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if outcome != ReportedOutcome::Ran {
            *self.reasons.entry(format!("{outcome:?} {reason}")).or_default() += 1;
        }
    }
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |outcome| self.outcomes.get(&outcome).copied().unwrap_or_default();
        let total: u64 = self.outcomes.values().sum();
        write!(
            f,
            "{total:>6} sent {:>6} ran {:>5} not run {:>5} unknown {:>5} unfinished",
            count(ReportedOutcome::Ran),
            count(ReportedOutcome::NotRun),
            count(ReportedOutcome::Unknown),
            count(ReportedOutcome::Unfinished)
        )?;
        for (reason, count) in &self.reasons {
            write!(f, "\n      {count:>6} {reason}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DriveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {}, {:.1} s", self.deployment, self.run_ms as f64 / 1000.0)?;
        self.write_outcomes(f)?;
        self.write_completion_times(f)?;
        self.write_fragmentation(f)?;
        self.write_outage(f)?;
        writeln!(f, "== promises")?;
        for line in &self.violations {
            writeln!(f, "  BROKEN {line}")?;
        }
        writeln!(f, "  {} broken", self.violations.len())
    }
}

impl DriveReport {
    fn write_outcomes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut jobs: BTreeMap<&str, OutcomeCounts> = BTreeMap::new();
        for job in &self.jobs {
            jobs.entry(job.account.as_str())
                .or_default()
                .add(job.outcome, &job.reason);
        }
        let mut requests: BTreeMap<&str, OutcomeCounts> = BTreeMap::new();
        for request in &self.requests {
            let outcome = request.outcome();
            let call = request.calls.iter().find(|call| call.outcome == outcome);
            let reason = call.map_or("", |call| &call.reason);
            requests
                .entry(request.account.as_str())
                .or_default()
                .add(outcome, reason);
        }
        writeln!(f, "== outcomes by client account")?;
        for (account, counts) in jobs {
            writeln!(f, "  {account:<20} jobs     {counts}")?;
        }
        for (account, counts) in requests {
            writeln!(f, "  {account:<20} requests {counts}")?;
        }
        let unfinished = self
            .jobs
            .iter()
            .filter(|job| job.outcome == ReportedOutcome::Unfinished);
        for job in unfinished.take(MAX_LISTED_JOBS) {
            writeln!(f, "  unfinished job {}: {}", job.label, job.reason)?;
        }
        Ok(())
    }

    fn write_completion_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut classes: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
        let ran = self.jobs.iter().filter(|job| job.outcome == ReportedOutcome::Ran);
        let job_times = ran.map(|job| (size_class(job.accelerators), job.ended_at - job.submitted_at));
        let answered = self
            .requests
            .iter()
            .filter(|request| request.outcome() == ReportedOutcome::Ran);
        let request_times = answered.map(|request| ("requests", request.ended_at - request.sent_at));
        for (class, millis) in job_times.chain(request_times) {
            let histogram = classes.entry(class).or_insert_with(new_histogram);
            histogram.saturating_record(millis);
        }
        writeln!(f, "== completion time in ms, of what ran")?;
        for (class, histogram) in classes {
            writeln!(
                f,
                "  {class:<28} {:>6} median {:>6} p95 {:>6} p99 {:>6}",
                histogram.len(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.95),
                histogram.value_at_quantile(0.99)
            )?;
        }
        Ok(())
    }

    fn write_fragmentation(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut centres: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for sample in &self.samples {
            let values = centres.entry(sample.data_centre.as_str()).or_default();
            values.push(sample.fragmentation());
        }
        writeln!(f, "== free accelerators outside of whole free workers")?;
        for (centre, values) in centres {
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            let most = values.iter().copied().fold(0.0, f64::max);
            let count = values.len();
            writeln!(
                f,
                "  {centre:<16} {count:>4} samples, mean {mean:.3}, most {most:.3}"
            )?;
        }
        Ok(())
    }

    /// Prints the numbers of task starts, since a check of starts means little if the data centre started no
    /// task.
    fn write_task_starts(
        &self,
        f: &mut fmt::Formatter<'_>,
        outage: &OutageReport,
        from: u64,
        until: u64,
    ) -> fmt::Result {
        let runs_in_centre = self
            .logs
            .runs()
            .filter(|(centre, _)| **centre == outage.data_centre);
        let starts: Vec<u64> = runs_in_centre.map(|(_, run)| run.started_at).collect();
        let before = starts.iter().filter(|at| **at < from).count();
        let after = starts.iter().filter(|at| **at >= until).count();
        let during = starts.iter().filter(|at| (from..until).contains(*at));
        let latest = during.clone().max().map_or(0, |at| at - from);
        writeln!(
            f,
            "  tasks started in it: {before} before the order was recorded, {} after it (last after {latest} ms), \
             {after} after its return was ordered",
            during.count()
        )
    }

    fn write_outage(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(outage) = &self.outage else {
            return Ok(());
        };
        writeln!(f, "== {} out", outage.data_centre)?;
        for answer in &outage.answers {
            writeln!(f, "  {answer}")?;
        }
        let (Some(from), Some(until)) = (outage.out_recorded_at, outage.in_sent_at) else {
            return Ok(());
        };
        self.write_task_starts(f, outage, from, until)?;
        let is_during = |at: u64| (from..until).contains(&at);
        let jobs = self
            .jobs
            .iter()
            .filter(|job| job.outcome == ReportedOutcome::Ran && is_during(job.ended_at));
        let requests = self
            .requests
            .iter()
            .filter(|request| request.outcome() == ReportedOutcome::Ran && is_during(request.ended_at));
        let task_ms: u64 = self
            .logs
            .runs()
            .map(|(_, run)| overlap_ms(run.started_at, run.ended_at.unwrap_or(u64::MAX), from, until))
            .sum();
        writeln!(
            f,
            "  in {:.1} s: {} jobs and {} requests ran, {:.1} task seconds",
            (until - from) as f64 / 1000.0,
            jobs.count(),
            requests.count(),
            task_ms as f64 / 1000.0
        )
    }
}

/// Sets explicit bounds, because `saturating_record` doesn't resize an auto-resizing histogram.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_HISTOGRAM_MS, 3).expect("the bounds and 3 digits are allowed")
}

fn overlap_ms(start: u64, end: u64, from: u64, until: u64) -> u64 {
    end.min(until).saturating_sub(start.max(from))
}

fn size_class(accelerators: u32) -> &'static str {
    match accelerators {
        0 | 1 => "jobs of 1 accelerator",
        2..=8 => "jobs of 2 to 8 accelerators",
        _ => "jobs of 9 or more",
    }
}
