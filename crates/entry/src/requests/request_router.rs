use std::sync::Arc;

use arbutuspick_clients::{ProcessClock, UpstreamRequest, UpstreamResponse};
use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName, UnknownReason};
use arbutuspick_route::{
    AcquireError, AttemptResult, FairQueue, NextAction, QueueRefusal, QueuedRequest, QueuedRequestId,
    RequestEvent, RequestKind, RequestLifecycle, RequestOutcome, RetryBudget, RoutingOptions, RoutingTable,
    SlotPermit,
};
use axum::http::{HeaderMap, HeaderValue, Method};
use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::upstream_clients::UpstreamClients;
use super::upstream_outcome::{attempt_result, is_leaving};

/// Time before its deadline from which a request is no longer sent, in milliseconds.
///
/// Load pattern: requests with the same deadline wait for slots that become free only when other requests time
/// out.
const MIN_SEND_MS: u64 = 20;

/// A request to a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    pub(crate) account: AccountName,
    pub(crate) weight: u32,
    pub(crate) service: ServiceName,
    pub(crate) kind: RequestKind,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: ClockTime,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum RouteOutcome {
    /// The upstream responded and ran the request.
    Ran(UpstreamResponse),
    /// The request certainly did not run.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

type SlotReply = Result<SlotPermit, RefusalReason>;
type SlotWaiter = oneshot::Sender<SlotReply>;

/// Sends requests to upstreams and queues them while all slots are in use.
pub(crate) struct RequestRouter {
    pub(crate) routing: RoutingTable,
    pub(crate) queue: FairQueue<SlotWaiter>,
    pub(crate) clients: UpstreamClients,
    pub(crate) budget: Arc<RetryBudget>,
    clock: ProcessClock,
}

impl RequestRouter {
    pub(crate) fn new(options: RoutingOptions, clock: ProcessClock) -> Self {
        Self {
            routing: RoutingTable::new(options),
            queue: FairQueue::default(),
            clients: UpstreamClients::default(),
            budget: Arc::default(),
            clock,
        }
    }

    /// Runs a request until it has an outcome, at the latest at its deadline.
    pub(crate) async fn run(&self, request: &ServiceRequest) -> RouteOutcome {
        let ServiceRequest { kind, deadline, .. } = *request;
        let mut lifecycle = RequestLifecycle::new(kind, deadline, Arc::clone(&self.budget));
        let mut permit: Option<SlotPermit> = None;
        let mut responses: Vec<Option<UpstreamResponse>> = Vec::new();
        loop {
            match lifecycle.next_action() {
                NextAction::Acquire => {
                    let event = match self.acquire(request, &lifecycle).await {
                        // The upstream could begin to work, but its response would come too late.
                        Ok(_) if deadline.millis_since(self.clock.now()) < MIN_SEND_MS => {
                            RequestEvent::Declined {
                                reason: RefusalReason::DeadlinePassed,
                            }
                        }
                        Ok(acquired) => {
                            let upstream = acquired.upstream().clone();
                            permit = Some(acquired);
                            responses.push(None);
                            RequestEvent::Assigned { upstream }
                        }
                        Err(reason) => RequestEvent::Declined { reason },
                    };
                    lifecycle.handle(event, self.clock.now());
                }
                NextAction::Send => {
                    lifecycle.handle(RequestEvent::Sent, self.clock.now());
                    let Some(permit) = permit.take() else {
                        return RouteOutcome::Unknown(UnknownReason::ConnectionLost);
                    };
                    let (result, response) = self.exchange(request, permit).await;
                    if let Some(last) = responses.last_mut() {
                        *last = response;
                    }
                    lifecycle.handle(RequestEvent::Ended { result }, self.clock.now());
                    self.serve_queue(&request.service);
                }
                NextAction::Await => return RouteOutcome::Unknown(UnknownReason::ConnectionLost),
                NextAction::Done(outcome) => return route_outcome(outcome, responses),
            }
        }
    }

    /// Sends the request once, in this slot, and reports the result to the routing table.
    async fn exchange(
        &self,
        request: &ServiceRequest,
        permit: SlotPermit,
    ) -> (AttemptResult, Option<UpstreamResponse>) {
        let client = self.clients.get(permit.address(), self.routing.connection_cap());
        let response = client.send(self.upstream_request(request)).await;
        let now = self.clock.now();
        let result = attempt_result(&response, now >= request.deadline);
        if response
            .as_ref()
            .is_ok_and(|response| is_leaving(&response.headers))
        {
            self.routing.mark_leaving(permit.upstream(), now);
        }
        if let Err(error) = &response {
            log::debug!(
                "[router] request to {} ended with result {result:?}: {error}",
                permit.upstream()
            );
        }
        permit.finish(result, now);
        (result, response.ok())
    }

    fn upstream_request(&self, request: &ServiceRequest) -> UpstreamRequest {
        let mut headers = request.headers.clone();
        let remaining = request.deadline.millis_since(self.clock.now());
        headers.insert("x-deadline-ms", HeaderValue::from(remaining));
        UpstreamRequest {
            method: Method::POST,
            path: "/".into(),
            headers,
            body: request.body.clone(),
            deadline: request.deadline,
        }
    }

    /// Acquires a slot, waiting for one until the deadline.
    async fn acquire(
        &self,
        request: &ServiceRequest,
        lifecycle: &RequestLifecycle,
    ) -> Result<SlotPermit, RefusalReason> {
        let tried = lifecycle.tried_upstreams();
        loop {
            // A new request must not overtake queued ones.
            if self.queue.is_empty() {
                let now = self.clock.now();
                match self.routing.acquire(&request.service, request.kind, &tried, now) {
                    Ok(permit) => return Ok(permit),
                    Err(AcquireError::AllBusy) => {}
                    Err(error) => return Err(error.refusal_reason()),
                }
            }
            let permit = self.wait_for_slot(request).await?;
            if !tried.contains(permit.upstream()) {
                return Ok(permit);
            }
            // A retry must not use an upstream that was tried; the next queued request gets this slot.
            drop(permit);
            self.serve_queue(&request.service);
            let now = self.clock.now();
            match self.routing.acquire(&request.service, request.kind, &tried, now) {
                Ok(permit) => return Ok(permit),
                Err(AcquireError::AllBusy) => {}
                Err(error) => return Err(error.refusal_reason()),
            }
        }
    }

    async fn wait_for_slot(&self, request: &ServiceRequest) -> Result<SlotPermit, RefusalReason> {
        let ServiceRequest {
            account,
            weight,
            service,
            deadline,
            ..
        } = request;
        let (waiter, reply) = oneshot::channel();
        let queued_request = QueuedRequest {
            account: account.clone(),
            weight: *weight,
            service: service.clone(),
            deadline: *deadline,
            waiter,
        };
        let pushed = self.queue.push(queued_request, self.clock.now());
        refuse_all(pushed.refused);
        let _guard = pushed.admitted.map(|id| QueueGuard {
            queue: &self.queue,
            id,
        });
        self.serve_queue(service);
        match timeout_at(self.clock.instant(*deadline), reply).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => Err(RefusalReason::Overloaded),
            Err(_) => Err(RefusalReason::DeadlinePassed),
        }
    }

    /// Assigns free slots to the queued requests of this service.
    pub(crate) fn serve_queue(&self, service: &ServiceName) {
        while !self.queue.is_empty() {
            let now = self.clock.now();
            // Acquired as non-idempotent, so that the slot is not a probe: only requests that may run twice
            // may be probes.
            let permit = match self
                .routing
                .acquire(service, RequestKind::NonIdempotent, &[], now)
            {
                Ok(permit) => permit,
                Err(AcquireError::AllBusy) => return refuse_all(self.queue.remove_expired(now)),
                Err(error) => {
                    log::debug!("[router] requests to {service} stay queued: {error}");
                    return refuse_all(self.queue.remove_expired(now));
                }
            };
            let popped = self.queue.pop(service, now);
            refuse_all(popped.refused);
            match popped.waiter {
                // If the caller has disconnected, the permit is dropped and the next request gets the slot.
                Some(waiter) => drop(waiter.send(Ok(permit))),
                None => return,
            }
        }
    }
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    queue: &'a FairQueue<SlotWaiter>,
    id: QueuedRequestId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.queue.remove(self.id);
    }
}

/// Completes queued requests that are refused.
pub(crate) fn refuse_all(refusals: Vec<QueueRefusal<SlotWaiter>>) {
    for QueueRefusal { waiter, reason } in refusals {
        // The caller may have disconnected.
        let _ = waiter.send(Err(reason));
    }
}

fn route_outcome(outcome: RequestOutcome, mut responses: Vec<Option<UpstreamResponse>>) -> RouteOutcome {
    match outcome {
        RequestOutcome::Ran { attempt } => match responses.get_mut(attempt).and_then(Option::take) {
            Some(response) => RouteOutcome::Ran(response),
            None => RouteOutcome::Unknown(UnknownReason::ConnectionLost),
        },
        RequestOutcome::NotRun { reason } => RouteOutcome::NotRun(reason),
        RequestOutcome::Unknown { reason } => RouteOutcome::Unknown(reason),
    }
}
