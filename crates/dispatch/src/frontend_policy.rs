use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_pool::{PoolPolicy, QueueRule};
use snafu::Snafu;

/// The host and path under which callers reach a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host name of the request, compared case-insensitively.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Whether requests need no key.
    pub public: bool,
    /// Scheduling rule of the queue.
    pub rule: Arc<QueueRule>,
}

/// Size limits of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeLimits {
    /// Maximum size of the header block in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body in bytes.
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

/// The part of one configuration version that routes and authenticates requests.
#[derive(Clone, Debug, Default)]
pub struct FrontendPolicy {
    /// Scheduling policy of the same version.
    pub pool: Arc<PoolPolicy>,
    /// Routes to the queues, in arbitrary order.
    pub routes: Vec<QueueRoute>,
    /// Client accounts by key.
    pub keys: HashMap<Arc<str>, Arc<str>>,
    /// Size limits of requests.
    pub limits: SizeLimits,
}

/// The queue and client account of an admitted request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueAccess {
    /// Rule of the queue.
    pub rule: Arc<QueueRule>,
    /// Client account of the key; `None` for a public queue.
    pub account: Option<Arc<str>>,
    /// Remainder of the path after the prefix.
    pub rest: Arc<str>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AccessError {
    /// No queue matches the host and path.
    #[snafu(display("no queue has this host and path"))]
    NoQueue,
    /// The key is missing or not valid.
    #[snafu(display("the key is missing or not in force"))]
    UnknownKey,
    /// The configuration of this process is too old to tell which keys are valid.
    #[snafu(display("the configuration is too old to check keys"))]
    StaleKeys,
}

impl FrontendPolicy {
    /// Finds the queue of a request and the client account of its key.
    ///
    /// `keys_fresh` states whether the configuration was confirmed recently enough to trust its keys.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        keys_fresh: bool,
    ) -> Result<QueueAccess, AccessError> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_ref()));
        let Some(route) = matching.max_by_key(|route| route.prefix.len()) else {
            return Err(if keys_fresh {
                AccessError::NoQueue
            } else {
                AccessError::StaleKeys
            });
        };
        let rest: Arc<str> = path[route.prefix.len()..].into();
        let rule = route.rule.clone();
        if route.public {
            return Ok(QueueAccess {
                rule,
                account: None,
                rest,
            });
        }
        if !keys_fresh {
            return Err(AccessError::StaleKeys);
        }
        let account = key.and_then(|key| self.keys.get(key)).cloned();
        if account.is_none() {
            return Err(AccessError::UnknownKey);
        }
        Ok(QueueAccess { rule, account, rest })
    }
}
