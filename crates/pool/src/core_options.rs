/// Figures that scheduling depends on; the defaults suit a pool whose tasks run for seconds.
///
/// ```
/// use arbutuspick_pool::CoreOptions;
/// let options = CoreOptions { remote_factor: 2, ..CoreOptions::default() };
/// assert_eq!(options.lease_ms, 9_000);
/// ```
#[derive(Clone, Debug)]
pub struct CoreOptions {
    /// Longest lease in milliseconds that any placement holder grants on a worker.
    pub lease_ms: u64,
    /// A task away from its data, or a gang across racks, takes this many times as long.
    pub remote_factor: u64,
    /// Milliseconds for which the final record of a job is kept.
    pub keep_final_ms: u64,
    /// Milliseconds that a worker may take to stop a task.
    pub stop_ms: u64,
    /// Milliseconds for which members of a gang wait for each other.
    pub gang_wait_ms: u64,
}

impl Default for CoreOptions {
    fn default() -> Self {
        Self {
            lease_ms: 9_000,
            remote_factor: 3,
            keep_final_ms: 240_000,
            stop_ms: 1_000,
            gang_wait_ms: 3_000,
        }
    }
}
