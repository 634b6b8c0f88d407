use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::EntryContext;

/// Interval at which the queue is served even if no request has ended.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves the wait queue when slots become free although no request ended, until the daemon stops.
///
/// This happens when upstreams are added, a limit is raised, or a caller disconnects while it has a slot.
pub(crate) async fn run_queue_ticks(context: Arc<EntryContext>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for service in &context.settings.services {
            context.router.serve_queue(service);
        }
    }
}
