use std::time::Duration;

/// Limits of the connections to peers.
///
/// ```
/// use arbutuspick_peer::LinkOptions;
/// let options = LinkOptions::default().with_queue_length(8);
/// assert_eq!(options.queue_length, 8);
/// ```
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Most messages that wait for a connection; the oldest hint is dropped first.
    pub queue_length: usize,
    /// Interval of the heartbeats.
    pub heartbeat: Duration,
    /// A connection without a frame for this long is closed.
    pub silence_limit: Duration,
    /// Time limit to connect and to write one frame.
    pub write_limit: Duration,
    /// First back-off between connection attempts.
    pub first_backoff: Duration,
    /// Longest back-off between connection attempts.
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
    /// Sets the most messages that wait for a connection.
    #[must_use]
    pub fn with_queue_length(mut self, length: usize) -> Self {
        self.queue_length = length;
        self
    }

    /// Sets the longest back-off between connection attempts.
    #[must_use]
    pub fn with_last_backoff(mut self, backoff: Duration) -> Self {
        self.last_backoff = backoff;
        self
    }
}
