use std::future::Future;
use std::time::Duration;

/// Delay before a failed task is started again, in milliseconds.
const RESTART_DELAY_MS: u64 = 500;

/// Runs a task until it ends, and starts it again after a panic, so that one unexpected input does not end a
/// part of the process for good.
pub async fn supervise<F, T>(name: &'static str, mut start: F)
where
    F: FnMut() -> T,
    T: Future<Output = ()> + Send + 'static,
{
    loop {
        // Dropping the set aborts the task if this future is dropped.
        let mut task = tokio::task::JoinSet::new();
        task.spawn(start());
        match task.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                log::error!("[process] task={name} failed and is started again: {error}");
                metrics::counter!("arbutuspick_failed_tasks_total", "task" => name).increment(1);
            }
            _ => return,
        }
        tokio::time::sleep(Duration::from_millis(RESTART_DELAY_MS)).await;
    }
}
