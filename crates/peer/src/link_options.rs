use std::time::Duration;

/// Options of the connections to peers.
///
/// ```
/// use arbutuspick_peer::LinkOptions;
/// let options = LinkOptions::default().with_queue_capacity(8);
/// assert_eq!(options.queue_capacity, 8);
/// ```
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Capacity of the send queue; when it is full, the oldest notification is dropped.
    pub queue_capacity: usize,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// A connection that receives no frame for this long is closed.
    pub idle_timeout: Duration,
    /// Timeout for connecting and for writing one frame.
    pub io_timeout: Duration,
    /// Initial back-off between connection attempts.
    pub initial_backoff: Duration,
    /// Maximum back-off between connection attempts.
    pub max_backoff: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            queue_capacity: 256,
            heartbeat_interval: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(4),
            io_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
        }
    }
}

impl LinkOptions {
    /// Sets the capacity of the send queue.
    #[must_use]
    pub fn with_queue_capacity(mut self, capacity: usize) -> Self {
        self.queue_capacity = capacity;
        self
    }

    /// Sets the maximum back-off between connection attempts.
    #[must_use]
    pub fn with_max_backoff(mut self, backoff: Duration) -> Self {
        self.max_backoff = backoff;
        self
    }
}
