use std::collections::BTreeMap;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::LossCause;

/// Shortest interval between log lines of the report, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Reports the work that is thrown away, as a counter for each cause and as log lines at a bounded rate.
#[derive(Debug)]
pub(crate) struct LossReport {
    /// Since this process became leader, in core milliseconds.
    lost_core_ms: BTreeMap<LossCause, u64>,
    has_changed: bool,
    report_at: ClockTime,
}

impl LossReport {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            lost_core_ms: BTreeMap::new(),
            has_changed: false,
            report_at: now + REPORT_INTERVAL_MS,
        }
    }

    /// Adds losses in core milliseconds; logs the sums if they have changed and a line is due.
    pub(crate) fn record(&mut self, losses: &BTreeMap<LossCause, u64>, now: ClockTime) {
        for (cause, core_ms) in losses {
            let sum = self.lost_core_ms.entry(*cause).or_default();
            let counted_s = *sum / 1_000;
            *sum += core_ms;
            // The rest of a second is counted with the next loss.
            metrics::counter!("arbutuspick_lost_core_seconds_total", "cause" => cause.name())
                .increment(*sum / 1_000 - counted_s);
            self.has_changed = true;
        }
        if !self.has_changed || now < self.report_at {
            return;
        }
        let causes = self.lost_core_ms.iter();
        let sums = causes.map(|(cause, core_ms)| format!(" {}={}", cause.name(), core_ms / 1_000));
        log::info!("[loss] unit=core_seconds{}", sums.collect::<String>());
        self.has_changed = false;
        self.report_at = now + REPORT_INTERVAL_MS;
    }
}
