use std::time::Duration;

use arbutuspick_clients::{VmEntry, WorkerAnswer, WorkerClient};
use arbutuspick_model::{ClockTime, RackName, WorkerCapacity, WorkerName, WorkerTime};

use crate::WorkerClock;

/// Time limit of a call to a worker.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time between heartbeats; a gang lease survives four missed ones.
const HEARTBEAT_MS: u64 = 3_000;
/// Shortest time between heartbeats, for workers with young attempts.
const FAST_HEARTBEAT_MS: u64 = 250;
/// A worker's heartbeats are as far apart as this part of the age of its youngest attempt.
const AGE_DIVISOR: u64 = 8;
/// Silence after which a worker gets no new work.
pub(crate) const WORKER_SILENCE_MS: u64 = 6_000;

/// What the holder knows of a worker.
#[derive(Debug)]
pub(crate) struct WorkerSession {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) capacity: WorkerCapacity,
    pub(crate) client: WorkerClient,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) heard_at: Option<ClockTime>,
    /// Whether the placement core has the worker as joined.
    pub(crate) joined: bool,
    /// Whether the worker accepted the holder's epoch.
    pub(crate) epoch_accepted: bool,
    pub(crate) leaving: bool,
    heartbeat_at: ClockTime,
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
            heard_at: None,
            joined: false,
            epoch_accepted: false,
            leaving: entry.leaving,
            heartbeat_at: now,
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
        self.heard_at = Some(answer.received_at);
    }

    /// Returns whether a heartbeat is due, and notes that it is in flight when it is.
    pub(crate) fn take_due_heartbeat(&mut self, now: ClockTime) -> bool {
        let due = !self.heartbeat_in_flight && now >= self.heartbeat_at;
        if due {
            self.heartbeat_in_flight = true;
        }
        due
    }

    /// Sets the time of the next heartbeat from the age of the worker's youngest attempt.
    pub(crate) fn heartbeat_done(&mut self, now: ClockTime, youngest_ms: Option<u64>) {
        self.heartbeat_in_flight = false;
        let pause = match youngest_ms {
            Some(age) => (age / AGE_DIVISOR).clamp(FAST_HEARTBEAT_MS, HEARTBEAT_MS),
            None => HEARTBEAT_MS,
        };
        self.heartbeat_at = now + pause;
    }

    /// Makes a heartbeat due soon, because an attempt was started.
    pub(crate) fn heartbeat_soon(&mut self, now: ClockTime) {
        self.heartbeat_at = self.heartbeat_at.min(now + FAST_HEARTBEAT_MS);
    }

    /// Returns whether the worker has not answered for too long to get new work.
    pub(crate) fn is_silent(&self, now: ClockTime) -> bool {
        self.heard_at
            .is_none_or(|at| now.millis_since(at) > WORKER_SILENCE_MS)
    }

    /// Converts a deadline to the worker's clock, once a reading is known.
    pub(crate) fn worker_time(&self, deadline: ClockTime) -> Option<WorkerTime> {
        self.clock.map(|clock| clock.convert(deadline))
    }
}
