use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_pool::{PoolPolicy, QueueRule};
use snafu::Snafu;

/// A queue as callers address it.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontQueue {
    /// Host name that callers send; matched without regard to case.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Callers need no key.
    pub public: bool,
    /// Scheduling rule.
    pub rule: Arc<QueueRule>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeLimits {
    /// Longest header block in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
}

impl Default for SizeLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
        }
    }
}

/// One version of the configuration, as the entry of requests needs it.
#[derive(Clone, Debug, Default)]
pub struct FrontPolicy {
    /// Scheduling part.
    pub pool: Arc<PoolPolicy>,
    /// Queues in any order.
    pub queues: Vec<FrontQueue>,
    /// Accounts by key.
    pub keys: HashMap<Arc<str>, Arc<str>>,
    /// Limits on requests.
    pub limits: SizeLimits,
}

/// A request that may go on.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueAccess {
    /// Rule of the queue.
    pub rule: Arc<QueueRule>,
    /// Account of the key; `None` for a public queue.
    pub account: Option<Arc<str>>,
    /// Path after the prefix.
    pub rest: Arc<str>,
}

/// Why a request may not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AccessRefusal {
    /// No queue has this host and path.
    #[snafu(display("no queue has this host and path"))]
    NoQueue,
    /// The key is missing or not in force.
    #[snafu(display("the key is missing or not in force"))]
    UnknownKey,
    /// The configuration here is too old to tell which keys are in force.
    #[snafu(display("the configuration is too old to check keys"))]
    StaleKeys,
}

impl FrontPolicy {
    /// Finds the queue of a request and the account of its key.
    ///
    /// `keys_fresh` tells whether the configuration was confirmed recently enough to trust its keys.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        keys_fresh: bool,
    ) -> Result<QueueAccess, AccessRefusal> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self
            .queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.prefix.as_ref()));
        let Some(queue) = matching.max_by_key(|queue| queue.prefix.len()) else {
            return Err(if keys_fresh {
                AccessRefusal::NoQueue
            } else {
                AccessRefusal::StaleKeys
            });
        };
        let rest: Arc<str> = path[queue.prefix.len()..].into();
        let rule = queue.rule.clone();
        if queue.public {
            return Ok(QueueAccess {
                rule,
                account: None,
                rest,
            });
        }
        if !keys_fresh {
            return Err(AccessRefusal::StaleKeys);
        }
        let account = key.and_then(|key| self.keys.get(key)).cloned();
        if account.is_none() {
            return Err(AccessRefusal::UnknownKey);
        }
        Ok(QueueAccess { rule, account, rest })
    }
}
