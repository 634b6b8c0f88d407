use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::EntryContext;

/// Interval in which waiting requests are looked at although no request has ended.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves the wait queue when slots become free without an end of a request, until the daemon ends.
///
/// This happens when the list has new upstreams, a limit is raised, or a caller goes away with its slot.
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
