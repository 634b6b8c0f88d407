use std::time::Duration;

/// Options of the connections to peers.
///
/// ```
/// use arbutuspick_peer::LinkOptions;
/// let options = LinkOptions::default().with_queue_length(8);
/// assert_eq!(options.queue_length, 8);
/// ```
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Capacity of the send queue; when it is full, the oldest notification is dropped.
    pub queue_length: usize,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// A connection that receives no frame for this long is closed.
    pub silence_limit: Duration,
    /// Timeout for connecting and for writing one frame.
    pub write_limit: Duration,
    /// Initial back-off between connection attempts.
    pub first_backoff: Duration,
    /// Maximum back-off between connection attempts.
    pub last_backoff: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            queue_length: 256,
            heartbeat: Duration::from_secs(1),
            silence_limit: Duration::from_secs(4),
            write_limit: Duration::from_secs(2),
            first_backoff: Duration::from_millis(50),
            last_backoff: Duration::from_secs(5),
        }
    }
}

impl LinkOptions {
    /// Sets the capacity of the send queue.
    #[must_use]
    pub fn with_queue_length(mut self, length: usize) -> Self {
        self.queue_length = length;
        self
    }

    /// Sets the maximum back-off between connection attempts.
    #[must_use]
    pub fn with_last_backoff(mut self, backoff: Duration) -> Self {
        self.last_backoff = backoff;
        self
    }
}
