use std::time::Duration;

use arbutuspick_clients::{VmEntry, WorkerClient, WorkerResponse};
use arbutuspick_model::{ClockTime, RackName, WorkerCapacity, WorkerName, WorkerTime};

use crate::WorkerClock;

/// Timeout of a call to a worker.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest heartbeat interval; a gang lease outlasts four missed heartbeats.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 3_000;
/// Shortest heartbeat interval, for workers with recently started attempts.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 250;
/// The heartbeat interval is the age of the worker's youngest attempt divided by this number.
const HEARTBEAT_AGE_DIVISOR: u64 = 8;
/// Time without an answer after which no new members are placed on a worker.
pub(crate) const WORKER_ANSWER_TIMEOUT_MS: u64 = 6_000;

/// State of the connection to a worker.
#[derive(Debug)]
pub(crate) struct WorkerSession {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) capacity: WorkerCapacity,
    pub(crate) client: WorkerClient,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) last_answer_at: Option<ClockTime>,
    /// Whether the placement core was told that the worker is available.
    pub(crate) joined: bool,
    /// Whether the worker accepted the epoch of this holder.
    pub(crate) epoch_accepted: bool,
    /// Whether the platform's VM list shows the worker as leaving, or no longer contains it.
    pub(crate) leaving: bool,
    next_heartbeat_at: ClockTime,
    heartbeat_in_flight: bool,
}

impl WorkerSession {
    /// Creates a session for an entry of the platform's VM list, if it has a valid name, rack and capacity.
    pub(crate) fn from_entry(entry: &VmEntry, now: ClockTime) -> Option<Self> {
        let name = WorkerName::try_from(entry.name.as_str()).ok()?;
        Some(Self {
            name,
            rack: entry.rack.clone()?,
            capacity: entry.capacity?,
            client: WorkerClient::new(entry.address),
            clock: None,
            last_answer_at: None,
            joined: false,
            epoch_accepted: false,
            leaving: entry.leaving,
            next_heartbeat_at: now,
            heartbeat_in_flight: false,
        })
    }

    /// Records the clock reading and the receive time of an answer.
    pub(crate) fn record_answer(&mut self, answer: &WorkerResponse) {
        let reading = match &answer.result {
            Ok(status) => status.clock,
            Err(refusal) => refusal.clock,
        };
        self.clock = Some(WorkerClock {
            reading,
            received_at: answer.received_at,
        });
        self.last_answer_at = Some(answer.received_at);
    }

    /// Returns whether a heartbeat is due, and if so marks it as in flight.
    pub(crate) fn begin_due_heartbeat(&mut self, now: ClockTime) -> bool {
        let due = !self.heartbeat_in_flight && now >= self.next_heartbeat_at;
        if due {
            self.heartbeat_in_flight = true;
        }
        due
    }

    /// Ends the heartbeat in flight and schedules the next one by the age of the worker's youngest attempt.
    pub(crate) fn finish_heartbeat(&mut self, now: ClockTime, youngest_age_ms: Option<u64>) {
        self.heartbeat_in_flight = false;
        let pause = match youngest_age_ms {
            Some(age) => {
                (age / HEARTBEAT_AGE_DIVISOR).clamp(MIN_HEARTBEAT_INTERVAL_MS, MAX_HEARTBEAT_INTERVAL_MS)
            }
            None => MAX_HEARTBEAT_INTERVAL_MS,
        };
        self.next_heartbeat_at = now + pause;
    }

    /// Brings the next heartbeat forward because an attempt was started.
    pub(crate) fn schedule_early_heartbeat(&mut self, now: ClockTime) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + MIN_HEARTBEAT_INTERVAL_MS);
    }

    /// Returns whether the worker has not answered within [`WORKER_ANSWER_TIMEOUT_MS`].
    pub(crate) fn is_unresponsive(&self, now: ClockTime) -> bool {
        self.last_answer_at
            .is_none_or(|at| now.millis_since(at) > WORKER_ANSWER_TIMEOUT_MS)
    }

    /// Converts a deadline to the worker's clock, if a reading of that clock is known.
    pub(crate) fn worker_time(&self, deadline: ClockTime) -> Option<WorkerTime> {
        self.clock.map(|clock| clock.convert(deadline))
    }
}
