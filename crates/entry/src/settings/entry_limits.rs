use std::time::Duration;

use arbutuspick_model::FieldError;

use super::RawLimits;

/// Limits of the daemon. The defaults are also the highest permitted values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Number of descriptors that the process may open.
    pub max_descriptors: usize,
    /// Longest deadline of a request to a service.
    pub max_deadline: Duration,
    /// Longest time that a caller waits for the end of a job in one request.
    pub max_wait: Duration,
    /// Time from the start of a planned stop until new work is refused, for the load balancer to follow.
    pub balancer_lag: Duration,
    /// Time limit after that for requests in flight to finish.
    pub stop_limit: Duration,
    /// Largest number of callers that wait for the end of a job.
    pub waiters: usize,
    /// Time without a summary of a data centre's holder after which its queued jobs are moved.
    pub rescue_after: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            // Room for the connections of all waiters.
            memory_mb: 1024,
            max_descriptors: 16_384,
            max_deadline: Duration::from_secs(25),
            max_wait: Duration::from_secs(25),
            balancer_lag: Duration::from_secs(2),
            stop_limit: Duration::from_secs(30),
            waiters: 4096,
            // A takeover takes 4 to 6 s, so a data centre that can recover by itself keeps its jobs.
            rescue_after: Duration::from_secs(10),
        }
    }
}

impl TryFrom<RawLimits> for EntryLimits {
    type Error = FieldError;
    fn try_from(raw: RawLimits) -> Result<Self, FieldError> {
        let defaults = Self::default();
        let check_millis = |name, value, default: Duration| {
            let max_value = default.as_millis() as u64;
            check_range(name, value, max_value).map(Duration::from_millis)
        };
        Ok(Self {
            body_bytes: check_range("limits.body_bytes", raw.body_bytes, defaults.body_bytes as u64)?
                as usize,
            memory_mb: check_range("limits.memory_mb", raw.memory_mb, defaults.memory_mb as u64)? as usize,
            max_descriptors: check_range(
                "limits.max_descriptors",
                raw.max_descriptors,
                defaults.max_descriptors as u64,
            )? as usize,
            max_deadline: check_millis(
                "limits.max_deadline_ms",
                raw.max_deadline_ms,
                defaults.max_deadline,
            )?,
            max_wait: check_millis("limits.max_wait_ms", raw.max_wait_ms, defaults.max_wait)?,
            balancer_lag: check_millis(
                "limits.balancer_lag_ms",
                raw.balancer_lag_ms,
                defaults.balancer_lag,
            )?,
            stop_limit: check_millis("limits.stop_limit_ms", raw.stop_limit_ms, defaults.stop_limit)?,
            waiters: check_range("limits.waiters", raw.waiters, defaults.waiters as u64)? as usize,
            rescue_after: check_millis(
                "limits.rescue_after_ms",
                raw.rescue_after_ms,
                defaults.rescue_after,
            )?,
        })
    }
}

fn check_range(name: &str, value: Option<u64>, max_value: u64) -> Result<u64, FieldError> {
    let value = value.unwrap_or(max_value);
    if !(1..=max_value).contains(&value) {
        return Err(FieldError::new(
            name,
            value,
            format!("must be from 1 to {max_value}"),
        ));
    }
    Ok(value)
}
