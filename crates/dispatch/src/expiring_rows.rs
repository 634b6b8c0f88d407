use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use arbutuspick_model::ClockTime;

/// Keys of rows that are to be removed at a deadline. Adding a key again moves its deadline.
#[derive(Debug, Default)]
pub(crate) struct ExpiringRows {
    deadlines: HashMap<Arc<str>, ClockTime>,
    /// Deadlines in the order in which they were added, also outdated ones.
    queue: VecDeque<(ClockTime, Arc<str>)>,
}

impl ExpiringRows {
    /// Adds a key; `expires_at` must not be earlier than the deadlines added before.
    pub(crate) fn insert(&mut self, key: Arc<str>, expires_at: ClockTime) {
        self.deadlines.insert(key.clone(), expires_at);
        self.queue.push_back((expires_at, key));
    }

    pub(crate) fn remove(&mut self, key: &str) {
        self.deadlines.remove(key);
    }

    /// Removes and returns at most `limit` keys whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: ClockTime, limit: usize) -> Vec<Arc<str>> {
        let mut expired = Vec::new();
        while expired.len() < limit
            && let Some((expires_at, key)) = self.queue.pop_front_if(|(expires_at, _)| *expires_at <= now)
        {
            if self.deadlines.get(&key) == Some(&expires_at) {
                self.deadlines.remove(&key);
                expired.push(key);
            }
        }
        expired
    }
}
