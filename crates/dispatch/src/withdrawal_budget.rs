use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use arbutuspick_model::ClockTime;

use crate::intake_key::REQUEST_RETENTION_MS;

/// Limits the withdrawals that a client account has in force through this process, since each takes a row of the store.
#[derive(Debug)]
pub(crate) struct WithdrawalBudget {
    limit: usize,
    /// Times at which the withdrawals of each account expire, earliest first.
    expiries: Mutex<HashMap<Arc<str>, VecDeque<ClockTime>>>,
}

impl WithdrawalBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            expiries: Mutex::default(),
        }
    }

    /// Counts a withdrawal; returns `false` if the account has reached the limit.
    pub(crate) fn take(&self, account: &str, now: ClockTime) -> bool {
        let mut expiries = self.expiries.lock().unwrap_or_else(PoisonError::into_inner);
        expiries.retain(|_, expiries| {
            while expiries.pop_front_if(|expiry| *expiry <= now).is_some() {}
            !expiries.is_empty()
        });
        let expiries = expiries.entry(account.into()).or_default();
        let has_room = expiries.len() < self.limit;
        if has_room {
            expiries.push_back(now + REQUEST_RETENTION_MS);
        }
        has_room
    }
}
