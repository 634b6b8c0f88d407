use arbutuspick_model::ClockTime;

/// The leader counts as failed when its row has not changed for this long, in milliseconds. By then it has
/// stopped sending orders.
const LEADER_TIMEOUT_MS: u64 = 1_000;
/// Gap between answers of the store after which the timeout restarts, in milliseconds: the leader may have
/// been unable to reach the store for the same time.
const OBSERVATION_GAP_MS: u64 = 1_200;

/// What a process that is not the leader should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionDecision {
    /// Wait: there is a leader, or the election delay has not passed.
    Wait,
    /// Try to become leader.
    Acquire,
}

/// Detects from successive reads of the leader row that there is no leader.
///
/// ```
/// use arbutuspick_dispatch::{ElectionDecision, ElectionWatch};
/// use arbutuspick_model::ClockTime;
/// let mut watch = ElectionWatch::default();
/// assert_eq!(watch.observe(0, false, ClockTime(0)), ElectionDecision::Acquire);
/// assert_eq!(watch.observe(7, false, ClockTime(10)), ElectionDecision::Wait);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ElectionWatch {
    version: Option<u64>,
    changed_at: ClockTime,
    answered_at: ClockTime,
    /// When this process first saw that there is no leader.
    found_leaderless_at: Option<ClockTime>,
    delay_ms: u64,
}

impl ElectionWatch {
    /// Returns a watch that waits `delay_ms` before it tries to become leader.
    ///
    /// Load pattern: the leader of a large pool needs the whole processor and bandwidth of a small VM. The
    /// delay makes such a VM the leader only when no VM with more capacity takes over first.
    pub fn with_delay(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Sets how long this process waits from when it finds no leader until it tries to become leader.
    pub(crate) fn set_delay(&mut self, delay_ms: u64) {
        self.delay_ms = delay_ms;
    }

    /// Returns when a change of the row was last observed.
    pub(crate) fn changed_at(&self) -> Option<ClockTime> {
        self.version.map(|_| self.changed_at)
    }

    /// Evaluates a read of the leader row: its version (0 for no row) and whether the leader has resigned.
    pub fn observe(&mut self, version: u64, resigned: bool, now: ClockTime) -> ElectionDecision {
        let is_gap = now.millis_since(self.answered_at) > OBSERVATION_GAP_MS;
        if self.version != Some(version) || is_gap {
            self.version = Some(version);
            self.changed_at = now;
        }
        self.answered_at = now;
        let is_leaderless =
            version == 0 || resigned || now.millis_since(self.changed_at) >= LEADER_TIMEOUT_MS;
        if !is_leaderless {
            self.found_leaderless_at = None;
            return ElectionDecision::Wait;
        }
        let found_at = *self.found_leaderless_at.get_or_insert(now);
        if now.millis_since(found_at) < self.delay_ms {
            return ElectionDecision::Wait;
        }
        ElectionDecision::Acquire
    }
}
