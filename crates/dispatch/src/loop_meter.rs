use arbutuspick_model::ClockTime;

/// Interval between log lines of the meter, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Time for which a pass of the loop may keep the processor, in milliseconds; others try to take over after a second
/// without a commit.
const LATE_PASS_MS: u64 = 500;
/// Consecutive late passes after which decisions count as late.
const MAX_LATE_PASSES: u32 = 3;

/// Part of a pass of the leader's loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PassPhase {
    /// Waiting for events, and at least for the shortest interval between decisions.
    Wait,
    /// Applying events of workers and feeds.
    Apply,
    /// Deciding and collecting the changed records.
    Decide,
    /// Storing the records.
    Commit,
    /// Handing orders to the worker sessions.
    Send,
}

const PHASES: [(PassPhase, &str); 5] = [
    (PassPhase::Wait, "wait"),
    (PassPhase::Apply, "apply"),
    (PassPhase::Decide, "decide"),
    (PassPhase::Commit, "commit"),
    (PassPhase::Send, "send"),
];

/// Measures where the leader's loop spends its time, as histograms and one log line every two seconds.
#[derive(Debug)]
pub(crate) struct LoopMeter {
    phase_began_at: ClockTime,
    report_at: ClockTime,
    passes: u64,
    events: u64,
    orders: usize,
    rows: usize,
    spent_ms: [u64; PHASES.len()],
    /// Time of the current pass apart from waits for events and the store.
    own_ms: u64,
    late_passes: u32,
}

impl LoopMeter {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            phase_began_at: now,
            report_at: now + REPORT_INTERVAL_MS,
            passes: 0,
            events: 0,
            orders: 0,
            rows: 0,
            spent_ms: [0; PHASES.len()],
            own_ms: 0,
            late_passes: 0,
        }
    }

    /// Ends a phase that began with the end of the previous one.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn end_phase(&mut self, phase: PassPhase, now: ClockTime) {
        let millis = now.millis_since(self.phase_began_at);
        self.phase_began_at = now;
        if !matches!(phase, PassPhase::Wait | PassPhase::Commit) {
            self.own_ms += millis;
        }
        for (index, (known, name)) in PHASES.iter().enumerate() {
            if *known == phase {
                self.spent_ms[index] += millis;
                metrics::histogram!("arbutuspick_pass_seconds", "phase" => *name)
                    .record(millis as f64 / 1000.0);
            }
        }
    }

    /// Returns whether decisions come late, so that leadership may soon be lost.
    pub(crate) fn is_late(&self) -> bool {
        self.late_passes >= MAX_LATE_PASSES
    }

    pub(crate) fn count_event(&mut self) {
        self.events += 1;
    }

    /// Ends a pass that stored `rows` and sent `orders`; logs the sums if they are due.
    pub(crate) fn end_pass(&mut self, orders: usize, rows: usize, waiting_tasks: usize, now: ClockTime) {
        let is_late = std::mem::take(&mut self.own_ms) >= LATE_PASS_MS;
        self.late_passes = if is_late { self.late_passes + 1 } else { 0 };
        self.passes += 1;
        self.orders += orders;
        self.rows += rows;
        if now < self.report_at {
            return;
        }
        let [wait, apply, decide, commit, send] = self.spent_ms;
        log::info!(
            "[leader] passes={} events={} orders={} rows={} waiting_tasks={waiting_tasks} wait_ms={wait} apply_ms={apply} \
             decide_ms={decide} commit_ms={commit} send_ms={send}",
            self.passes,
            self.events,
            self.orders,
            self.rows,
        );
        *self = Self {
            late_passes: self.late_passes,
            ..Self::new(now)
        };
    }
}
