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
use super::upstream_exchange::{attempt_result, is_leaving};

/// A request to a service.
#[derive(Clone, Debug)]
pub(crate) struct RouteRequest {
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
pub(crate) enum RouteEnd {
    /// The upstream answered.
    Ran(UpstreamResponse),
    /// It provably did not run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown(UnknownReason),
}

type SlotReply = Result<SlotPermit, RefusalReason>;
type SlotWaiter = oneshot::Sender<SlotReply>;

/// Sends requests to upstreams and lets them wait while all slots are taken.
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

    /// Runs a request to its end, which comes at its deadline at the latest.
    pub(crate) async fn run(&self, request: &RouteRequest) -> RouteEnd {
        let RouteRequest { kind, deadline, .. } = *request;
        let mut plan = RequestLifecycle::new(kind, deadline, Arc::clone(&self.budget));
        let mut permit: Option<SlotPermit> = None;
        let mut answers: Vec<Option<UpstreamResponse>> = Vec::new();
        loop {
            match plan.next_action() {
                NextAction::Acquire => {
                    let event = match self.acquire(request, &plan).await {
                        Ok(taken) => {
                            let upstream = taken.upstream().clone();
                            permit = Some(taken);
                            answers.push(None);
                            RequestEvent::Assigned { upstream }
                        }
                        Err(reason) => RequestEvent::Declined { reason },
                    };
                    plan.handle(event, self.clock.now());
                }
                NextAction::Send => {
                    plan.handle(RequestEvent::Sent, self.clock.now());
                    let Some(permit) = permit.take() else {
                        return RouteEnd::Unknown(UnknownReason::ConnectionLost);
                    };
                    let (result, answer) = self.exchange(request, permit).await;
                    if let Some(last) = answers.last_mut() {
                        *last = answer;
                    }
                    plan.handle(RequestEvent::Ended { result }, self.clock.now());
                    self.serve_queue(&request.service);
                }
                NextAction::Await => return RouteEnd::Unknown(UnknownReason::ConnectionLost),
                NextAction::Done(outcome) => return route_end(outcome, answers),
            }
        }
    }

    /// Sends the request on one slot and reports the result to the routing table.
    async fn exchange(
        &self,
        request: &RouteRequest,
        permit: SlotPermit,
    ) -> (AttemptResult, Option<UpstreamResponse>) {
        let client = self.clients.get(permit.address(), self.routing.connection_cap());
        let answer = client.send(self.upstream_request(request)).await;
        let now = self.clock.now();
        let result = attempt_result(&answer, now >= request.deadline);
        if answer.as_ref().is_ok_and(|answer| is_leaving(&answer.headers)) {
            self.routing.mark_leaving(permit.upstream(), now);
        }
        if let Err(error) = &answer {
            log::debug!(
                "[router] request to {} ended as {result:?}: {error}",
                permit.upstream()
            );
        }
        permit.finish(result, now);
        (result, answer.ok())
    }

    fn upstream_request(&self, request: &RouteRequest) -> UpstreamRequest {
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

    /// Takes a slot, or waits for one until the deadline.
    async fn acquire(
        &self,
        request: &RouteRequest,
        plan: &RequestLifecycle,
    ) -> Result<SlotPermit, RefusalReason> {
        let tried = plan.tried_upstreams();
        loop {
            // A newcomer must not overtake the requests that wait.
            if self.queue.is_empty() {
                let now = self.clock.now();
                match self.routing.acquire(&request.service, request.kind, &tried, now) {
                    Ok(permit) => return Ok(permit),
                    Err(AcquireError::AllBusy) => {}
                    Err(refusal) => return Err(refusal.refusal_reason()),
                }
            }
            let permit = self.wait(request).await?;
            if !tried.contains(permit.upstream()) {
                return Ok(permit);
            }
            // A retry must not go to an upstream that was tried; its slot is given to the next in the queue.
            drop(permit);
            self.serve_queue(&request.service);
            let now = self.clock.now();
            match self.routing.acquire(&request.service, request.kind, &tried, now) {
                Ok(permit) => return Ok(permit),
                Err(AcquireError::AllBusy) => {}
                Err(refusal) => return Err(refusal.refusal_reason()),
            }
        }
    }

    async fn wait(&self, request: &RouteRequest) -> Result<SlotPermit, RefusalReason> {
        let RouteRequest {
            account,
            weight,
            service,
            deadline,
            ..
        } = request;
        let (waiter, reply) = oneshot::channel();
        let ticket = QueuedRequest {
            account: account.clone(),
            weight: *weight,
            service: service.clone(),
            deadline: *deadline,
            waiter,
        };
        let pushed = self.queue.push(ticket, self.clock.now());
        refuse_all(pushed.refused);
        let _place = pushed.admitted.map(|id| QueuePlace {
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

    /// Gives free slots to the requests that wait for this service.
    pub(crate) fn serve_queue(&self, service: &ServiceName) {
        while !self.queue.is_empty() {
            let now = self.clock.now();
            // Only requests that may run more than once may be probes, so the slot is never a probe's.
            let permit = match self
                .routing
                .acquire(service, RequestKind::NonIdempotent, &[], now)
            {
                Ok(permit) => permit,
                Err(AcquireError::AllBusy) => return refuse_all(self.queue.remove_expired(now)),
                Err(refusal) => {
                    log::debug!("[router] requests to {service} wait: {refusal}");
                    return refuse_all(self.queue.remove_expired(now));
                }
            };
            let popped = self.queue.pop(service, now);
            refuse_all(popped.refused);
            match popped.waiter {
                // A caller that went away returns the permit, and the next one gets a slot.
                Some(waiter) => drop(waiter.send(Ok(permit))),
                None => return,
            }
        }
    }
}

/// Leaves the queue when the caller of a waiting request goes away.
struct QueuePlace<'a> {
    queue: &'a FairQueue<SlotWaiter>,
    id: QueuedRequestId,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.queue.remove(self.id);
    }
}

/// Tells waiting requests that they do not run.
pub(crate) fn refuse_all(refusals: Vec<QueueRefusal<SlotWaiter>>) {
    for QueueRefusal { waiter, reason } in refusals {
        // The caller may have gone away.
        let _ = waiter.send(Err(reason));
    }
}

fn route_end(outcome: RequestOutcome, mut answers: Vec<Option<UpstreamResponse>>) -> RouteEnd {
    match outcome {
        RequestOutcome::Ran { attempt } => match answers.get_mut(attempt).and_then(Option::take) {
            Some(answer) => RouteEnd::Ran(answer),
            None => RouteEnd::Unknown(UnknownReason::ConnectionLost),
        },
        RequestOutcome::NotRun { reason } => RouteEnd::NotRun(reason),
        RequestOutcome::Unknown { reason } => RouteEnd::Unknown(reason),
    }
}
