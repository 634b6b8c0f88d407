/// Parameters of the scheduler; the defaults suit a pool whose tasks run for seconds.
///
/// ```
/// use arbutuspick_pool::CoreOptions;
/// let options = CoreOptions { remote_factor: 2, ..CoreOptions::default() };
/// assert_eq!(options.lease_ms, 9_000);
/// ```
#[derive(Clone, Debug)]
pub struct CoreOptions {
    /// Longest lease that any scheduler grants on a worker, in milliseconds.
    pub lease_ms: u64,
    /// Slowdown of a task away from its data, or of a gang that spans racks, as a factor.
    pub remote_factor: u64,
    /// Retention period of the final record of a job, in milliseconds.
    pub keep_final_ms: u64,
    /// Longest time that a worker takes to stop a task, in milliseconds.
    pub stop_ms: u64,
    /// Time that members of a gang wait for each other, in milliseconds.
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
