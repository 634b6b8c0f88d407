use std::collections::{BTreeMap, VecDeque};

use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use parking_lot::Mutex;
use serde::Serialize;

use crate::account_shares::AccountShares;
use crate::{QueueRefusal, QueuedRequest, QueuedRequestId};

/// Maximum number of requests that wait in one entry VM.
pub const QUEUE_BOUND: usize = 256;

/// Bounded wait queue with weighted fair queueing across client accounts.
///
/// Every pushed request leaves the queue exactly once: popped, removed, or returned as refused.
///
/// ```
/// use arbutuspick_model::{AccountName, ClockTime, ServiceName};
/// use arbutuspick_route::{FairQueue, QueuedRequest};
/// let queue = FairQueue::default();
/// let booking = ServiceName::try_from("booking")?;
/// let account = AccountName::try_from("parks")?;
/// let deadline = ClockTime(100);
/// let request = QueuedRequest { account, weight: 1, service: booking.clone(), deadline, waiter: 7 };
/// assert!(queue.push(request, ClockTime(0)).admitted.is_some());
/// assert_eq!(queue.pop(&booking, ClockTime(1)).waiter, Some(7));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Debug)]
pub struct FairQueue<Waiter> {
    bound: usize,
    content: Mutex<QueueContent<Waiter>>,
}

/// Result of [`FairQueue::push`].
#[derive(Debug)]
#[must_use = "refused waiters have to be notified that they were not run"]
pub struct PushResult<Waiter> {
    /// Identifier of the new request, or `None` if it is among the refused.
    pub admitted: Option<QueuedRequestId>,
    /// Requests that were evicted, have expired or were not admitted.
    pub refused: Vec<QueueRefusal<Waiter>>,
}

/// Result of [`FairQueue::pop`].
#[derive(Debug)]
#[must_use = "refused waiters have to be notified that they were not run"]
pub struct PopResult<Waiter> {
    /// Waiter of the dequeued request.
    pub waiter: Option<Waiter>,
    /// Requests that have expired.
    pub refused: Vec<QueueRefusal<Waiter>>,
}

/// State of a wait queue, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QueueState {
    /// Maximum number of waiting requests.
    pub bound: usize,
    /// Whether new requests are refused.
    pub closed: bool,
    /// Number of waiting requests by account.
    pub queued: BTreeMap<AccountName, usize>,
}

#[derive(Debug)]
struct QueueContent<Waiter> {
    closed: bool,
    next_id: u64,
    /// Requests in order of arrival.
    entries: VecDeque<(QueuedRequestId, QueuedRequest<Waiter>)>,
    shares: AccountShares,
}

impl<Waiter> Default for FairQueue<Waiter> {
    fn default() -> Self {
        Self::with_bound(QUEUE_BOUND)
    }
}

impl<Waiter> FairQueue<Waiter> {
    /// Creates a queue that holds at most `bound` requests.
    pub fn with_bound(bound: usize) -> Self {
        let content = QueueContent {
            closed: false,
            next_id: 0,
            entries: VecDeque::with_capacity(bound),
            shares: AccountShares::default(),
        };
        Self {
            bound,
            content: Mutex::new(content),
        }
    }

    /// Adds a request. When the queue is full, either it or the newest request of the account with the most
    /// queued requests relative to its weight is refused.
    pub fn push(&self, request: QueuedRequest<Waiter>, now: ClockTime) -> PushResult<Waiter> {
        let mut content = self.content.lock();
        let mut refused = content.remove_expired(now);
        let reason = content.refusal_reason(&request, now);
        let reason = reason.or_else(|| content.make_room(&request, self.bound, &mut refused));
        let admitted = match reason {
            Some(reason) => {
                let waiter = request.waiter;
                refused.push(QueueRefusal { waiter, reason });
                None
            }
            None => Some(content.insert(request)),
        };
        PushResult { admitted, refused }
    }

    /// Removes the next request of this service in fair order.
    pub fn pop(&self, service: &ServiceName, now: ClockTime) -> PopResult<Waiter> {
        let mut content = self.content.lock();
        let refused = content.remove_expired(now);
        let waiter = content.next_position(service).map(|position| {
            content.charge_dequeue(position);
            content.remove_at(position).waiter
        });
        PopResult { waiter, refused }
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&self, id: QueuedRequestId) -> Option<Waiter> {
        let mut content = self.content.lock();
        let position = content
            .entries
            .iter()
            .position(|(queued_id, _)| *queued_id == id)?;
        Some(content.remove_at(position).waiter)
    }

    /// Removes and returns the requests whose deadline has passed.
    #[must_use = "refused waiters have to be notified that they were not run"]
    pub fn remove_expired(&self, now: ClockTime) -> Vec<QueueRefusal<Waiter>> {
        self.content.lock().remove_expired(now)
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let content = self.content.lock();
        content.entries.iter().map(|(_, request)| request.deadline).min()
    }

    /// Refuses new requests from now on; waiting requests may still be popped.
    pub fn close(&self) {
        self.content.lock().closed = true;
    }

    /// Refuses new requests from now on, and all waiting requests.
    #[must_use = "refused waiters have to be notified that they were not run"]
    pub fn close_and_drain(&self) -> Vec<QueueRefusal<Waiter>> {
        let mut content = self.content.lock();
        content.closed = true;
        content.remove_where(RefusalReason::Stopping, |_| true)
    }

    /// Returns whether a request of the service waits, in which case new requests have to queue behind it.
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        let content = self.content.lock();
        content
            .entries
            .iter()
            .any(|(_, request)| request.service == *service)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.content.lock().entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the state of the queue.
    pub fn state(&self) -> QueueState {
        let content = self.content.lock();
        QueueState {
            bound: self.bound,
            closed: content.closed,
            queued: content.shares.queued(),
        }
    }
}

impl<Waiter> QueueContent<Waiter> {
    fn refusal_reason(&self, request: &QueuedRequest<Waiter>, now: ClockTime) -> Option<RefusalReason> {
        if self.closed {
            Some(RefusalReason::Stopping)
        } else if request.deadline <= now {
            Some(RefusalReason::DeadlinePassed)
        } else {
            None
        }
    }

    /// Evicts a request when the queue is full, or returns why the new request is refused instead.
    fn make_room(
        &mut self,
        request: &QueuedRequest<Waiter>,
        bound: usize,
        refused: &mut Vec<QueueRefusal<Waiter>>,
    ) -> Option<RefusalReason> {
        let reason = RefusalReason::Overloaded;
        if self.entries.len() < bound {
            return None;
        }
        if !self
            .shares
            .is_below_share(&request.account, request.weight, bound)
        {
            return Some(reason);
        }
        let Some(victim) = self.shares.most_queued_except(&request.account) else {
            return Some(reason);
        };
        let newest = self
            .entries
            .iter()
            .rposition(|(_, request)| request.account == victim);
        let evicted = newest.map(|position| self.remove_at(position).waiter);
        refused.extend(evicted.map(|waiter| QueueRefusal { waiter, reason }));
        None
    }

    fn insert(&mut self, request: QueuedRequest<Waiter>) -> QueuedRequestId {
        let id = QueuedRequestId(self.next_id);
        self.next_id += 1;
        self.shares.add(&request.account, request.weight);
        self.entries.push_back((id, request));
        id
    }

    /// Finds the oldest request of the service in the account with the lowest virtual time.
    fn next_position(&self, service: &ServiceName) -> Option<usize> {
        let entries = self.entries.iter().enumerate();
        entries
            .filter(|(_, (_, request))| request.service == *service)
            .min_by_key(|(position, (_, request))| (self.shares.next_dequeue(&request.account), *position))
            .map(|(position, _)| position)
    }

    fn charge_dequeue(&mut self, position: usize) {
        let Self { entries, shares, .. } = self;
        if let Some((_, request)) = entries.get(position) {
            shares.charge_dequeue(&request.account);
        }
    }

    fn remove_expired(&mut self, now: ClockTime) -> Vec<QueueRefusal<Waiter>> {
        self.remove_where(RefusalReason::DeadlinePassed, |request| request.deadline <= now)
    }

    fn remove_where<Predicate>(
        &mut self,
        reason: RefusalReason,
        predicate: Predicate,
    ) -> Vec<QueueRefusal<Waiter>>
    where
        Predicate: Fn(&QueuedRequest<Waiter>) -> bool,
    {
        let mut refused = Vec::new();
        let mut position = 0;
        while position < self.entries.len() {
            if predicate(&self.entries[position].1) {
                let waiter = self.remove_at(position).waiter;
                refused.push(QueueRefusal { waiter, reason });
            } else {
                position += 1;
            }
        }
        refused
    }

    fn remove_at(&mut self, position: usize) -> QueuedRequest<Waiter> {
        let (_, request) = self
            .entries
            .remove(position)
            .expect("position was found under the same lock");
        self.shares.remove(&request.account);
        request
    }
}
