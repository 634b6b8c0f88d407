use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use arbutuspick_model::ClockTime;

use crate::intake_key::REQUEST_RETENTION_MS;

/// Maximum number of jobs that are remembered; beyond it the oldest are forgotten.
const MAX_JOBS: usize = 10_000;

/// Jobs with a submission through this process that got no answer, so that the store may still carry it out.
#[derive(Debug, Default)]
pub(crate) struct OpenSubmissions {
    state: Mutex<OpenState>,
}

#[derive(Debug, Default)]
struct OpenState {
    /// Time until which the latest submission of a job may be carried out.
    expiries: HashMap<Arc<str>, ClockTime>,
    /// Submissions in the order in which they were made, also those that are settled.
    queue: VecDeque<(ClockTime, Arc<str>)>,
}

impl OpenSubmissions {
    pub(crate) fn insert(&self, job: &str, now: ClockTime) {
        let job: Arc<str> = job.into();
        let expires_at = now + REQUEST_RETENTION_MS;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expiries.insert(job.clone(), expires_at);
        state.queue.push_back((expires_at, job));
        let excess = state.queue.len().saturating_sub(MAX_JOBS);
        let mut forgotten: Vec<(ClockTime, Arc<str>)> = state.queue.drain(..excess).collect();
        while let Some(expired) = state.queue.pop_front_if(|(expires_at, _)| *expires_at <= now) {
            forgotten.push(expired);
        }
        for (expires_at, job) in forgotten {
            if state.expiries.get(&job) == Some(&expires_at) {
                state.expiries.remove(&job);
            }
        }
    }

    /// Returns whether a submission of the job may still be carried out.
    pub(crate) fn contains(&self, job: &str, now: ClockTime) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .expiries
            .get(job)
            .is_some_and(|expires_at| *expires_at > now)
    }
}
