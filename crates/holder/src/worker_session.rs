use std::time::Duration;

use arbutuspick_clients::{VmEntry, WorkerAnswer, WorkerClient};
use arbutuspick_model::{ClockTime, RackName, WorkerCapacity, WorkerName, WorkerTime};

use crate::WorkerClock;

/// Time limit of a call to a worker.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time between heartbeats; a gang lease survives four missed ones.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 3_000;
/// Shortest time between heartbeats, for workers with young attempts.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 250;
/// A worker's heartbeats are as far apart as this part of the age of its youngest attempt.
const HEARTBEAT_AGE_DIVISOR: u64 = 8;
/// Silence after which a worker gets no new work.
pub(crate) const WORKER_ANSWER_TIMEOUT_MS: u64 = 6_000;

/// What the holder knows of a worker.
#[derive(Debug)]
pub(crate) struct WorkerSession {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) capacity: WorkerCapacity,
    pub(crate) client: WorkerClient,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) last_answer_at: Option<ClockTime>,
    /// Whether the placement core has the worker as joined.
    pub(crate) joined: bool,
    /// Whether the worker accepted the holder's epoch.
    pub(crate) epoch_accepted: bool,
    pub(crate) leaving: bool,
    next_heartbeat_at: ClockTime,
    heartbeat_in_flight: bool,
}

impl WorkerSession {
    /// Creates a session for a worker of the platform's list, if the entry describes one.
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

    /// Takes over the times of an answer.
    pub(crate) fn record_answer(&mut self, answer: &WorkerAnswer) {
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

    /// Returns whether a heartbeat is due, and notes that it is in flight when it is.
    pub(crate) fn begin_due_heartbeat(&mut self, now: ClockTime) -> bool {
        let due = !self.heartbeat_in_flight && now >= self.next_heartbeat_at;
        if due {
            self.heartbeat_in_flight = true;
        }
        due
    }

    /// Sets the time of the next heartbeat from the age of the worker's youngest attempt.
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

    /// Makes a heartbeat due soon, because an attempt was started.
    pub(crate) fn schedule_early_heartbeat(&mut self, now: ClockTime) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now + MIN_HEARTBEAT_INTERVAL_MS);
    }

    /// Returns whether the worker has not answered for too long to get new work.
    pub(crate) fn is_unresponsive(&self, now: ClockTime) -> bool {
        self.last_answer_at
            .is_none_or(|at| now.millis_since(at) > WORKER_ANSWER_TIMEOUT_MS)
    }

    /// Converts a deadline to the worker's clock, once a reading is known.
    pub(crate) fn worker_time(&self, deadline: ClockTime) -> Option<WorkerTime> {
        self.clock.map(|clock| clock.convert(deadline))
    }
}
