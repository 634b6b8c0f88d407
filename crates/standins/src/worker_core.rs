use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use arbutuspick_clients::{
    AttemptRequest, PartState, PartStatus, PrepareRequest, RefusalBody, RenewRequest, StartRequest,
    WorkerRefusal, WorkerStatus,
};
use arbutuspick_model::{AttemptNumber, JobId, LeaseEpoch, WorkerCapacity, WorkerTime};

use crate::task_log::TaskEnd;
use crate::worker_part::{TaskProgress, WorkerPart};

/// Age that a change of core usage must reach before it is reported.
const USAGE_LAG_MS: u64 = 1000;
const THROTTLED_SPEED_PERCENT: u64 = 50;

pub(crate) type AttemptKey = (JobId, AttemptNumber);
type CallResult = Result<WorkerStatus, RefusalBody>;

/// Start or end of a task, for the task log.
#[derive(Clone, Debug)]
pub(crate) enum WorkerEvent {
    Started(AttemptKey, WorkerTime),
    Ended(AttemptKey, WorkerTime, TaskEnd),
}

/// State machine of one worker. Only `advance` applies the passage of time, and every call runs it first.
#[derive(Debug)]
pub(crate) struct WorkerCore {
    capacity: WorkerCapacity,
    epoch: LeaseEpoch,
    parts: BTreeMap<AttemptKey, WorkerPart>,
    /// Released attempts, so that a delayed prepare can't reserve for one of them again.
    released: HashSet<AttemptKey>,
    /// Number of cores in use with the time since which it holds, oldest first.
    usage: VecDeque<(WorkerTime, u32)>,
    pub(crate) events: Vec<WorkerEvent>,
}

impl WorkerCore {
    pub(crate) fn new(capacity: WorkerCapacity) -> Self {
        Self {
            capacity,
            epoch: LeaseEpoch(0),
            parts: BTreeMap::new(),
            released: HashSet::new(),
            usage: VecDeque::new(),
            events: Vec::new(),
        }
    }

    pub(crate) fn part(&self, key: AttemptKey) -> Option<&WorkerPart> {
        self.parts.get(&key)
    }

    /// Expires reservations and leases, and ends tasks whose work is done.
    pub(crate) fn advance(&mut self, now: WorkerTime) {
        for (key, part) in &mut self.parts {
            if let Some((at, end)) = part.advance(now) {
                self.events.push(WorkerEvent::Ended(*key, at, end));
            }
        }
        self.record_usage(now);
    }

    /// Discards all state, as a restart of the worker does.
    pub(crate) fn crash(&mut self, now: WorkerTime) {
        self.advance(now);
        let running = self.parts.iter().filter(|(_, part)| part.is_running());
        let ends = running.map(|(key, _)| WorkerEvent::Ended(*key, now, TaskEnd::Crashed));
        self.events.extend(ends);
        self.parts.clear();
        self.released.clear();
        self.usage.clear();
        self.epoch = LeaseEpoch(0);
    }

    /// Accepts an epoch unless it is lower than the highest one seen.
    pub(crate) fn accept_epoch(&mut self, epoch: LeaseEpoch, now: WorkerTime) -> Result<(), RefusalBody> {
        self.advance(now);
        if epoch < self.epoch {
            return Err(self.refuse(WorkerRefusal::StaleEpoch, now));
        }
        self.epoch = epoch;
        Ok(())
    }

    pub(crate) fn present_epoch(&mut self, epoch: LeaseEpoch, now: WorkerTime) -> CallResult {
        self.accept_epoch(epoch, now)?;
        Ok(self.full_status(now))
    }

    pub(crate) fn prepare(
        &mut self,
        request: &PrepareRequest,
        progress: TaskProgress,
        now: WorkerTime,
    ) -> CallResult {
        self.accept_epoch(request.epoch, now)?;
        let key = (request.job, request.attempt);
        if self.released.contains(&key) {
            return Err(self.refuse(WorkerRefusal::Voided, now));
        }
        if let Some(part) = self.parts.get_mut(&key) {
            match part.state {
                PartState::Prepared => part.hold_until = part.hold_until.max(request.hold_until),
                PartState::Voided => return Err(self.refuse(WorkerRefusal::Voided, now)),
                _ => {}
            }
            return Ok(self.status_of(key, now));
        }
        if request.hold_until <= now {
            return Err(self.refuse(WorkerRefusal::TooLate, now));
        }
        if !self.has_room(request) {
            return Err(self.refuse(WorkerRefusal::NoCapacity, now));
        }
        self.parts.insert(key, WorkerPart::prepared(request, progress));
        Ok(self.status_of(key, now))
    }

    pub(crate) fn start(
        &mut self,
        request: &StartRequest,
        now: WorkerTime,
        fails_early: bool,
        speed_percent: u64,
    ) -> CallResult {
        let part = self.part_to_start(request, now)?;
        let Some(part) = part else {
            return Ok(self.status_of((request.job, request.attempt), now));
        };
        part.start(now, request.lease_until, fails_early);
        part.set_speed(now, speed_percent);
        let key = (request.job, request.attempt);
        self.events.push(WorkerEvent::Started(key, now));
        self.record_usage(now);
        Ok(self.status_of(key, now))
    }

    /// Handles a start call with a failure, without running the task.
    pub(crate) fn fail_start(&mut self, request: &StartRequest, now: WorkerTime) -> CallResult {
        if let Some(part) = self.part_to_start(request, now)? {
            part.state = PartState::Failed {
                message: "cannot start the task".into(),
            };
        }
        Ok(self.status_of((request.job, request.attempt), now))
    }

    /// Returns the part to start, or `None` if it has already been started.
    fn part_to_start(
        &mut self,
        request: &StartRequest,
        now: WorkerTime,
    ) -> Result<Option<&mut WorkerPart>, RefusalBody> {
        self.accept_epoch(request.epoch, now)?;
        let key = (request.job, request.attempt);
        let refusal = match self.parts.get(&key).map(|part| &part.state) {
            None if self.released.contains(&key) => Some(WorkerRefusal::Voided),
            None => Some(WorkerRefusal::UnknownAttempt),
            Some(PartState::Prepared) if now > request.start_before => Some(WorkerRefusal::TooLate),
            Some(PartState::Prepared) if now >= request.lease_until => Some(WorkerRefusal::TooLate),
            Some(PartState::Prepared) => None,
            Some(PartState::Voided | PartState::Stopped | PartState::LeaseExpired) => {
                Some(WorkerRefusal::Voided)
            }
            Some(_) => return Ok(None),
        };
        match refusal {
            Some(refusal) => Err(self.refuse(refusal, now)),
            None => Ok(self.parts.get_mut(&key)),
        }
    }

    pub(crate) fn renew(&mut self, request: &RenewRequest, now: WorkerTime) -> CallResult {
        self.accept_epoch(request.epoch, now)?;
        for lease in &request.leases {
            let part = self.parts.get_mut(&(lease.job, lease.attempt));
            if let Some(part) = part.filter(|part| part.is_running()) {
                part.lease_until = part.lease_until.max(lease.lease_until);
            }
        }
        Ok(self.full_status(now))
    }

    pub(crate) fn void(&mut self, request: &AttemptRequest, now: WorkerTime) -> CallResult {
        self.accept_epoch(request.epoch, now)?;
        let key = (request.job, request.attempt);
        let part = self.parts.entry(key).or_insert_with(WorkerPart::voided);
        if part.state == PartState::Prepared {
            part.state = PartState::Voided;
        }
        Ok(self.status_of(key, now))
    }

    pub(crate) fn stop(&mut self, request: &AttemptRequest, now: WorkerTime) -> CallResult {
        let key = self.known_key(request, now)?;
        let Self { parts, events, .. } = self;
        if let Some(part) = parts.get_mut(&key) {
            match part.state {
                PartState::Prepared => part.state = PartState::Voided,
                PartState::Running => {
                    part.state = PartState::Stopped;
                    events.push(WorkerEvent::Ended(key, now, TaskEnd::Stopped));
                }
                _ => {}
            }
        }
        self.record_usage(now);
        Ok(self.status_of(key, now))
    }

    pub(crate) fn throttle(&mut self, request: &AttemptRequest, now: WorkerTime) -> CallResult {
        let key = self.known_key(request, now)?;
        if let Some(part) = self.parts.get_mut(&key).filter(|part| part.is_running()) {
            part.set_speed(now, THROTTLED_SPEED_PERCENT);
        }
        Ok(self.status_of(key, now))
    }

    /// Returns the status of an attempt, or a refusal if the worker doesn't know it.
    pub(crate) fn look_up(&mut self, request: &AttemptRequest, now: WorkerTime) -> CallResult {
        let key = self.known_key(request, now)?;
        Ok(self.status_of(key, now))
    }

    pub(crate) fn set_checkpoint(&mut self, key: AttemptKey, prefix: &str) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.checkpoint = Some(Arc::from(prefix));
        }
    }

    /// Removes an attempt unless it is reserved or running.
    pub(crate) fn release(&mut self, request: &AttemptRequest, now: WorkerTime) -> CallResult {
        self.accept_epoch(request.epoch, now)?;
        let key = (request.job, request.attempt);
        if self.parts.get(&key).is_some_and(WorkerPart::occupies_resources) {
            return Ok(self.status_of(key, now));
        }
        self.parts.remove(&key);
        self.released.insert(key);
        Ok(self.status_of(key, now))
    }

    fn known_key(&mut self, request: &AttemptRequest, now: WorkerTime) -> Result<AttemptKey, RefusalBody> {
        self.accept_epoch(request.epoch, now)?;
        let key = (request.job, request.attempt);
        if self.parts.contains_key(&key) {
            return Ok(key);
        }
        Err(self.refuse(WorkerRefusal::UnknownAttempt, now))
    }

    fn has_room(&self, request: &PrepareRequest) -> bool {
        let WorkerCapacity {
            accelerators,
            cores,
            memory_mib,
        } = self.capacity;
        let occupying = || self.parts.values().filter(|part| part.occupies_resources());
        let members = occupying().flat_map(|part| &part.members).chain(&request.members);
        let mut used_mask = 0_u32;
        for member in members {
            let mask = u32::from(member.accelerators);
            if used_mask & mask != 0 || mask.checked_shr(accelerators).is_some_and(|rest| rest != 0) {
                return false;
            }
            used_mask |= mask;
        }
        let count = request.members.len() as u64;
        let used_cores: u64 = occupying()
            .map(|part| u64::from(part.cores) * part.members.len() as u64)
            .sum();
        let used_memory: u64 = occupying()
            .map(|part| part.memory_mib * part.members.len() as u64)
            .sum();
        count > 0
            && used_cores + u64::from(request.cores) * count <= u64::from(cores)
            && used_memory + request.memory_mib * count <= memory_mib
    }

    pub(crate) fn refuse(&self, refusal: WorkerRefusal, now: WorkerTime) -> RefusalBody {
        RefusalBody {
            refusal,
            clock: now,
            epoch: self.epoch,
        }
    }

    fn full_status(&self, now: WorkerTime) -> WorkerStatus {
        let parts = self.parts.iter().map(|(key, part)| part_status(*key, part));
        self.status(parts.collect(), now)
    }

    fn status_of(&self, key: AttemptKey, now: WorkerTime) -> WorkerStatus {
        let part = self.parts.get(&key).map(|part| part_status(key, part));
        self.status(part.into_iter().collect(), now)
    }

    fn status(&self, parts: Vec<PartStatus>, now: WorkerTime) -> WorkerStatus {
        let reported = self
            .usage
            .iter()
            .rev()
            .find(|(from, _)| now.millis_since(*from) >= USAGE_LAG_MS);
        WorkerStatus {
            clock: now,
            epoch: self.epoch,
            parts,
            used_cores: reported.map_or(0, |(_, cores)| *cores),
        }
    }

    fn record_usage(&mut self, now: WorkerTime) {
        let running = self.parts.values().filter(|part| part.is_running());
        let cores: u32 = running.map(|part| part.cores * part.members.len() as u32).sum();
        if self.usage.back().is_none_or(|(_, last)| *last != cores) {
            self.usage.push_back((now, cores));
        }
        while self
            .usage
            .get(1)
            .is_some_and(|(from, _)| now.millis_since(*from) >= USAGE_LAG_MS)
        {
            self.usage.pop_front();
        }
    }
}

fn part_status((job, attempt): AttemptKey, part: &WorkerPart) -> PartStatus {
    PartStatus {
        job,
        attempt,
        members: part.members.clone(),
        state: part.state.clone(),
        ever_started: part.ever_started,
        checkpoint: part.checkpoint.clone(),
    }
}
