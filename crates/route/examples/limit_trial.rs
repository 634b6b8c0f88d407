//! Simulates the adaptive limit in virtual time: entry VMs share upstreams with 8 slots each.
//!
//! Prints, for each load and number of rounds per raise of the limit, how many requests were answered,
//! refused by an upstream, retried, and failed. The simulation is deterministic.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::{AccountName, CentreName, ClockTime, FieldError, ServiceName, UpstreamName};
use arbutuspick_route::{
    AcquireError, AttemptResult, FairQueue, NextAction, QueuedRequest, RequestEvent, RequestKind,
    RequestLifecycle, RequestOutcome, RetryBudget, RoutingOptions, RoutingTable, SlotPermit, UpstreamEntry,
};

const ENTRY_VMS: u64 = 7;
const UPSTREAMS: usize = 50;
const SLOTS: usize = 8;
const SERVICE_TIME_MS: u64 = 20;
const DURATION_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 1_000;

/// Simulated entry VM; `pending` holds the requests that it has sent, by the time of their response.
struct SimulatedVm {
    table: RoutingTable,
    queue: FairQueue<RequestLifecycle>,
    budget: Arc<RetryBudget>,
    pending: BTreeMap<u64, Vec<(RequestLifecycle, SlotPermit, AttemptResult)>>,
}

#[derive(Default)]
struct SimulationCounts {
    answered: u64,
    refused: u64,
    retried: u64,
    failed: u64,
}

struct SimulationState {
    service: ServiceName,
    account: AccountName,
    /// Number of requests that each upstream is running.
    in_flight: BTreeMap<UpstreamName, usize>,
    counts: SimulationCounts,
}

impl SimulatedVm {
    fn new(seed: u64, rounds_per_raise: u16, entries: &[UpstreamEntry]) -> Result<Self, FieldError> {
        let options = RoutingOptions::new(CentreName::try_from("trent")?).with_seed(seed);
        let table = RoutingTable::new(options.with_rounds_per_raise(rounds_per_raise));
        table.update_upstreams(entries.iter().cloned(), ClockTime(0));
        Ok(Self {
            table,
            queue: FairQueue::default(),
            budget: Arc::new(RetryBudget::default()),
            pending: BTreeMap::new(),
        })
    }

    fn submit(&mut self, simulation: &mut SimulationState, mut lifecycle: RequestLifecycle, now: ClockTime) {
        match self.table.acquire(
            &simulation.service,
            lifecycle.kind(),
            &lifecycle.tried_upstreams(),
            now,
        ) {
            Ok(permit) => self.send(simulation, lifecycle, permit, now),
            Err(AcquireError::AllBusy) => {
                let request = QueuedRequest {
                    account: simulation.account.clone(),
                    weight: 1,
                    service: simulation.service.clone(),
                    deadline: lifecycle.deadline(),
                    waiter: lifecycle,
                };
                simulation.counts.failed += self.queue.push(request, now).refused.len() as u64;
            }
            Err(error) => {
                let reason = error.refusal_reason();
                lifecycle.handle(RequestEvent::Declined { reason }, now);
                simulation.counts.failed += 1;
            }
        }
    }

    fn send(
        &mut self,
        simulation: &mut SimulationState,
        mut lifecycle: RequestLifecycle,
        permit: SlotPermit,
        now: ClockTime,
    ) {
        let upstream = permit.upstream().clone();
        let in_flight = simulation.in_flight.entry(upstream.clone()).or_default();
        let (result, delay) = if *in_flight < SLOTS {
            *in_flight += 1;
            (AttemptResult::Succeeded, SERVICE_TIME_MS)
        } else {
            (AttemptResult::RefusedNotRun, 1)
        };
        lifecycle.handle(RequestEvent::Assigned { upstream }, now);
        lifecycle.handle(RequestEvent::Sent, now);
        let responses = self.pending.entry(now.0 + delay).or_default();
        responses.push((lifecycle, permit, result));
    }

    fn step(&mut self, simulation: &mut SimulationState, now: ClockTime) {
        for (mut lifecycle, permit, result) in self.pending.remove(&now.0).unwrap_or_default() {
            if result == AttemptResult::Succeeded {
                *simulation.in_flight.entry(permit.upstream().clone()).or_default() -= 1;
            } else {
                simulation.counts.refused += 1;
            }
            permit.finish(result, now);
            match lifecycle.handle(RequestEvent::Ended { result }, now) {
                NextAction::Done(RequestOutcome::Ran { .. }) => simulation.counts.answered += 1,
                NextAction::Done(_) => simulation.counts.failed += 1,
                _ => {
                    simulation.counts.retried += 1;
                    self.submit(simulation, lifecycle, now);
                }
            }
        }
        self.dequeue_waiting(simulation, now);
        for report in self.table.state(now).upstreams {
            self.table.record_heard(&report.entry.name, now);
        }
    }

    fn dequeue_waiting(&mut self, simulation: &mut SimulationState, now: ClockTime) {
        while let Ok(permit) = self
            .table
            .acquire(&simulation.service, RequestKind::NonIdempotent, &[], now)
        {
            let popped = self.queue.pop(&simulation.service, now);
            simulation.counts.failed += popped.refused.len() as u64;
            let Some(lifecycle) = popped.waiter else { return };
            self.send(simulation, lifecycle, permit, now);
        }
    }
}

fn run_simulation(load_percent: u64, rounds_per_raise: u16) -> Result<SimulationCounts, FieldError> {
    let mut simulation = SimulationState {
        service: ServiceName::try_from("booking")?,
        account: AccountName::try_from("parks")?,
        in_flight: BTreeMap::new(),
        counts: SimulationCounts::default(),
    };
    let mut entries = Vec::new();
    for index in 0..UPSTREAMS {
        entries.push(UpstreamEntry {
            name: UpstreamName::try_from(format!("booking-{index}"))?,
            service: simulation.service.clone(),
            data_centre: CentreName::try_from("trent")?,
            address: ([127, 0, 0, 1], 9000 + index as u16).into(),
            leaving: false,
        });
    }
    let vms: Result<Vec<_>, _> = (0..ENTRY_VMS)
        .map(|vm| SimulatedVm::new(vm, rounds_per_raise, &entries))
        .collect();
    let mut vms = vms?;
    let mut arrival_credit = 0;
    for now in (0..DURATION_MS).map(ClockTime) {
        for vm in &mut vms {
            vm.step(&mut simulation, now);
        }
        arrival_credit += UPSTREAMS as u64 * SLOTS as u64 * load_percent;
        for arrival in 0..arrival_credit / (100 * SERVICE_TIME_MS) {
            let vm = &mut vms[((now.0 + arrival) % ENTRY_VMS) as usize];
            let deadline = now + DEADLINE_MS;
            let lifecycle =
                RequestLifecycle::new(RequestKind::NonIdempotent, deadline, Arc::clone(&vm.budget));
            vm.submit(&mut simulation, lifecycle, now);
        }
        arrival_credit %= 100 * SERVICE_TIME_MS;
    }
    Ok(simulation.counts)
}

fn main() -> Result<(), FieldError> {
    println!("load  rounds  answered  refused  retried  failed");
    for load_percent in [50, 90, 98, 120] {
        for rounds_per_raise in [1, 4, 16, 64] {
            let counts = run_simulation(load_percent, rounds_per_raise)?;
            let SimulationCounts {
                answered,
                refused,
                retried,
                failed,
            } = counts;
            println!(
                "{load_percent:3}%  {rounds_per_raise:6}  {answered:8}  {refused:7}  {retried:7}  {failed:6}"
            );
        }
    }
    Ok(())
}
