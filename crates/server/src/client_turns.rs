use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::sync::Semaphore;
use tokio_util::sync::PollSemaphore;

/// Number of times that connections of a listener are polled before other tasks of the process run. In each, the HTTP
/// library handles at most 16 requests.
const POLLS_PER_ROUND: usize = 8;

/// Limits how much work the clients of a listener cause before other tasks of the process run.
///
/// Load pattern: many clients that send requests without a pause. Each of their connections is always ready, so that a task
/// that waits for the store or a worker would run only after all of them.
#[derive(Debug)]
pub(crate) struct ClientTurns {
    permits: Arc<Semaphore>,
    /// Number of permits of the current round that were taken.
    taken: AtomicUsize,
}

/// Waits for the turns of one connection.
#[derive(Debug)]
pub(crate) struct TurnWaiter {
    turns: Arc<ClientTurns>,
    permits: PollSemaphore,
}

impl ClientTurns {
    pub(crate) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(POLLS_PER_ROUND)),
            taken: AtomicUsize::new(0),
        }
    }

    pub(crate) fn waiter(self: &Arc<Self>) -> TurnWaiter {
        TurnWaiter {
            permits: PollSemaphore::new(self.permits.clone()),
            turns: self.clone(),
        }
    }

    /// Counts a permit; the last one of a round starts the next round once other tasks have run.
    fn take(&self) {
        if self.taken.fetch_add(1, Ordering::Relaxed) + 1 == POLLS_PER_ROUND {
            self.taken.store(0, Ordering::Relaxed);
            let permits = self.permits.clone();
            tokio::spawn(async move {
                // Resumes after the tasks that are ready, and those whose input has arrived in the meantime.
                tokio::task::yield_now().await;
                permits.add_permits(POLLS_PER_ROUND);
            });
        }
    }
}

impl TurnWaiter {
    /// Completes when the connection may be polled once more.
    pub(crate) fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        // The semaphore is never closed.
        if let Some(permit) = ready!(self.permits.poll_acquire(context)) {
            permit.forget();
            self.turns.take();
        }
        Poll::Ready(())
    }
}
