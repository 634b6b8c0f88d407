use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// Takes work.
    Serving,
    /// Not ready any more, but still takes what the balancer sends.
    Leaving,
    /// Takes no new work and finishes what is in flight.
    Draining,
}

/// State of the planned stop, and the tasks that it waits for.
pub(crate) struct StopState {
    phase: watch::Sender<StopPhase>,
    /// Tasks that have to finish before the process exits.
    pub(crate) tracker: TaskTracker,
    /// Ends loops and peer connections after everything else has finished.
    pub(crate) end: CancellationToken,
}

impl StopState {
    pub(crate) fn new() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
            tracker: TaskTracker::new(),
            end: CancellationToken::new(),
        }
    }

    pub(crate) fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Goes to a later phase; never back.
    pub(crate) fn advance(&self, next: StopPhase) {
        self.phase.send_if_modified(|phase| {
            let later = next > *phase;
            if later {
                *phase = next;
            }
            later
        });
    }

    /// Waits until the phase is reached.
    pub(crate) async fn reached(&self, phase: StopPhase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives as long as this state.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
