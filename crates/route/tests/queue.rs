//! Wait queue: fair order, eviction, expiry and shutdown.

mod support;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use arbutuspick_route::{FairQueue, PushResult, QueueRefusal, QueuedRequest};
use support::service;

fn request(account: &str, weight: u32, waiter: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        account: AccountName::try_from(account).unwrap(),
        weight,
        service: service(),
        deadline: ClockTime(100),
        waiter,
    }
}

fn push(queue: &FairQueue<u32>, account: &str, weight: u32, waiter: u32) -> PushResult<u32> {
    queue.push(request(account, weight, waiter), ClockTime(0))
}

fn refusal(waiter: u32, reason: RefusalReason) -> QueueRefusal<u32> {
    QueueRefusal { waiter, reason }
}

fn pop_many(queue: &FairQueue<u32>, count: usize) -> Vec<u32> {
    (0..count)
        .filter_map(|_| queue.pop(&service(), ClockTime(1)).waiter)
        .collect()
}

/// Guards against a large account that delays a small one because its requests were queued first.
#[test]
fn fair_order() {
    let queue = FairQueue::default();
    for waiter in 0..8 {
        let _ = push(&queue, "large", 1, waiter);
    }
    for waiter in 100..102 {
        let _ = push(&queue, "small", 1, waiter);
    }
    assert_eq!(pop_many(&queue, 6), [0, 100, 1, 101, 2, 3]);
}

/// Guards against a dequeue order that ignores the weights.
#[test]
fn weighted_order() {
    let queue = FairQueue::default();
    for waiter in 0..40 {
        let _ = push(&queue, "heavy", 3, waiter);
        let _ = push(&queue, "light", 1, 100 + waiter);
    }
    let heavy = pop_many(&queue, 40)
        .into_iter()
        .filter(|waiter| *waiter < 100)
        .count();
    assert_eq!(heavy, 30);
}

/// Guards against an account that exceeds its share because its queue is empty after each dequeue.
#[test]
fn returning_account() {
    let queue = FairQueue::default();
    for waiter in 0..100 {
        let _ = push(&queue, "steady", 4, waiter);
    }
    let mut returning = 0;
    for waiter in 100..150 {
        let idle = queue.len() + waiter as usize == 200 + returning;
        if idle && waiter % 2 == 0 {
            let _ = push(&queue, "returning", 1, waiter);
        }
        returning += pop_many(&queue, 1)
            .iter()
            .filter(|started| **started >= 100)
            .count();
    }
    assert_eq!(returning, 10);
}

/// Guards against a full queue that refuses accounts that are below their share.
#[test]
fn newest_evicted() {
    let queue = FairQueue::with_bound(4);
    for waiter in 0..4 {
        let _ = push(&queue, "large", 1, waiter);
    }
    let result = push(&queue, "small", 1, 100);
    assert_eq!(result.refused, [refusal(3, RefusalReason::Overloaded)]);
    let result = push(&queue, "large", 1, 4);
    assert_eq!(result.refused, [refusal(4, RefusalReason::Overloaded)]);
    let result = push(&queue, "small", 1, 101);
    assert_eq!(result.refused, [refusal(2, RefusalReason::Overloaded)]);
    let result = push(&queue, "small", 1, 102);
    assert_eq!(result.refused, [refusal(102, RefusalReason::Overloaded)]);
}

/// Guards against requests that stay queued past their deadline or get a slot after it.
#[test]
fn expired_refused() {
    let queue = FairQueue::default();
    let _ = push(&queue, "a", 1, 1);
    assert_eq!(queue.next_deadline(), Some(ClockTime(100)));
    let result = queue.pop(&service(), ClockTime(100));
    assert_eq!(result.waiter, None);
    assert_eq!(result.refused, [refusal(1, RefusalReason::DeadlinePassed)]);
    let late = queue.push(request("a", 1, 2), ClockTime(100));
    assert_eq!(late.refused, [refusal(2, RefusalReason::DeadlinePassed)]);
}

/// Guards against a request that gets a slot of another service, and against removals without effect.
#[test]
fn service_matched() {
    let queue = FairQueue::default();
    let id = push(&queue, "a", 1, 1).admitted.unwrap();
    let canopy = ServiceName::try_from("canopy").unwrap();
    assert_eq!(queue.pop(&canopy, ClockTime(1)).waiter, None);
    assert!(queue.has_waiting(&service()) && !queue.has_waiting(&canopy));
    assert_eq!((queue.remove(id), queue.remove(id)), (Some(1), None));
}

/// Guards against a shutdown that loses waiting requests or admits new ones.
#[test]
fn planned_stop() {
    let queue = FairQueue::default();
    let _ = push(&queue, "a", 1, 1);
    let _ = push(&queue, "a", 1, 2);
    queue.close();
    let result = push(&queue, "a", 1, 3);
    assert_eq!(result.refused, [refusal(3, RefusalReason::Stopping)]);
    assert_eq!(pop_many(&queue, 1), [1]);
    assert_eq!(queue.close_and_drain(), [refusal(2, RefusalReason::Stopping)]);
}
