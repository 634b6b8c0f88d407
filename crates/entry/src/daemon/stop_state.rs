use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// Accepts work.
    Serving,
    /// No longer ready, but accepts the requests that the load balancer still sends.
    Leaving,
    /// Refuses new work and finishes the work in flight.
    Draining,
}

/// Phase of the planned stop, and the tasks for which it waits.
pub(crate) struct StopState {
    phase: watch::Sender<StopPhase>,
    /// Tasks that have to finish before the process exits.
    pub(crate) tracker: TaskTracker,
    /// Ends the background tasks and peer connections after all other work has finished.
    pub(crate) shutdown: CancellationToken,
}

impl StopState {
    pub(crate) fn new() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
            tracker: TaskTracker::new(),
            shutdown: CancellationToken::new(),
        }
    }

    pub(crate) fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Moves to a later phase; an earlier one is ignored.
    pub(crate) fn advance(&self, next: StopPhase) {
        self.phase.send_if_modified(|phase| {
            let later = next > *phase;
            if later {
                *phase = next;
            }
            later
        });
    }

    /// Waits until this phase or a later one is reached.
    pub(crate) async fn wait_for_phase(&self, phase: StopPhase) {
        let mut receiver = self.phase.subscribe();
        // This cannot fail, since the sender lives as long as `self`.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
