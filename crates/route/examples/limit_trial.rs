//! Trial of the adaptive limit: entry VMs share upstreams of 8 slots in virtual time.
//!
//! Prints, for each load and speed at which limits rise, how many requests were answered, refused by an upstream,
//! retried, and left without an answer. The run is bounded and repeats exactly.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuspick_model::{AccountName, CentreName, ClockTime, FieldError, ServiceName, UpstreamName};
use arbutuspick_route::{
    AttemptResult, FairQueue, PlanEvent, PlanStep, QueueTicket, RequestKind, RequestOutcome, RequestPlan,
    RetryBudget, RouteRefusal, RoutingOptions, RoutingTable, SlotPermit, UpstreamEntry,
};

const ENTRY_VMS: u64 = 7;
const UPSTREAMS: usize = 50;
const SLOTS: usize = 8;
const SERVICE_MS: u64 = 20;
const RUN_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 1_000;

/// An entry VM with the requests that it sent, by time of their answer.
struct TrialVm {
    table: RoutingTable,
    queue: FairQueue<RequestPlan>,
    budget: Arc<RetryBudget>,
    sent: BTreeMap<u64, Vec<(RequestPlan, SlotPermit, AttemptResult)>>,
}

#[derive(Default)]
struct TrialCounts {
    answered: u64,
    refused: u64,
    retried: u64,
    failed: u64,
}

struct TrialRun {
    service: ServiceName,
    account: AccountName,
    /// Requests in each upstream.
    busy: BTreeMap<UpstreamName, usize>,
    counts: TrialCounts,
}

impl TrialVm {
    fn new(seed: u64, raise_rounds: u16, entries: &[UpstreamEntry]) -> Result<Self, FieldError> {
        let options = RoutingOptions::new(CentreName::try_from("trent")?).with_seed(seed);
        let table = RoutingTable::new(options.with_raise_rounds(raise_rounds));
        table.update_list(entries.iter().cloned(), ClockTime(0));
        Ok(Self {
            table,
            queue: FairQueue::default(),
            budget: Arc::new(RetryBudget::default()),
            sent: BTreeMap::new(),
        })
    }

    fn place(&mut self, run: &mut TrialRun, mut plan: RequestPlan, now: ClockTime) {
        match self.table.acquire(&run.service, plan.kind(), &plan.tried(), now) {
            Ok(permit) => self.send(run, plan, permit, now),
            Err(RouteRefusal::AllBusy) => {
                let ticket = QueueTicket {
                    account: run.account.clone(),
                    weight: 1,
                    service: run.service.clone(),
                    deadline: plan.deadline(),
                    waiter: plan,
                };
                run.counts.failed += self.queue.push(ticket, now).refused.len() as u64;
            }
            Err(refusal) => {
                let reason = refusal.reason();
                plan.handle(PlanEvent::Declined { reason }, now);
                run.counts.failed += 1;
            }
        }
    }

    fn send(&mut self, run: &mut TrialRun, mut plan: RequestPlan, permit: SlotPermit, now: ClockTime) {
        let upstream = permit.upstream().clone();
        let busy = run.busy.entry(upstream.clone()).or_default();
        let (result, delay) = if *busy < SLOTS {
            *busy += 1;
            (AttemptResult::Succeeded, SERVICE_MS)
        } else {
            (AttemptResult::RefusedNotRun, 1)
        };
        plan.handle(PlanEvent::Assigned { upstream }, now);
        plan.handle(PlanEvent::Sent, now);
        let answers = self.sent.entry(now.0 + delay).or_default();
        answers.push((plan, permit, result));
    }

    fn step(&mut self, run: &mut TrialRun, now: ClockTime) {
        for (mut plan, permit, result) in self.sent.remove(&now.0).unwrap_or_default() {
            if result == AttemptResult::Succeeded {
                *run.busy.entry(permit.upstream().clone()).or_default() -= 1;
            } else {
                run.counts.refused += 1;
            }
            permit.finish(result, now);
            match plan.handle(PlanEvent::Ended { result }, now) {
                PlanStep::Done(RequestOutcome::Ran { .. }) => run.counts.answered += 1,
                PlanStep::Done(_) => run.counts.failed += 1,
                _ => {
                    run.counts.retried += 1;
                    self.place(run, plan, now);
                }
            }
        }
        self.start_waiting(run, now);
        for report in self.table.state(now).upstreams {
            self.table.record_heard(&report.entry.name, now);
        }
    }

    fn start_waiting(&mut self, run: &mut TrialRun, now: ClockTime) {
        while let Ok(permit) = self
            .table
            .acquire(&run.service, RequestKind::NonIdempotent, &[], now)
        {
            let popped = self.queue.pop(&run.service, now);
            run.counts.failed += popped.refused.len() as u64;
            let Some(plan) = popped.waiter else { return };
            self.send(run, plan, permit, now);
        }
    }
}

fn run_trial(load_percent: u64, raise_rounds: u16) -> Result<TrialCounts, FieldError> {
    let mut run = TrialRun {
        service: ServiceName::try_from("booking")?,
        account: AccountName::try_from("parks")?,
        busy: BTreeMap::new(),
        counts: TrialCounts::default(),
    };
    let mut entries = Vec::new();
    for index in 0..UPSTREAMS {
        entries.push(UpstreamEntry {
            name: UpstreamName::try_from(format!("booking-{index}"))?,
            service: run.service.clone(),
            data_centre: CentreName::try_from("trent")?,
            address: ([127, 0, 0, 1], 9000 + index as u16).into(),
            leaving: false,
        });
    }
    let vms: Result<Vec<_>, _> = (0..ENTRY_VMS)
        .map(|vm| TrialVm::new(vm, raise_rounds, &entries))
        .collect();
    let mut vms = vms?;
    let mut credit = 0;
    for now in (0..RUN_MS).map(ClockTime) {
        for vm in &mut vms {
            vm.step(&mut run, now);
        }
        credit += UPSTREAMS as u64 * SLOTS as u64 * load_percent;
        for arrival in 0..credit / (100 * SERVICE_MS) {
            let vm = &mut vms[((now.0 + arrival) % ENTRY_VMS) as usize];
            let deadline = now + DEADLINE_MS;
            let plan = RequestPlan::new(RequestKind::NonIdempotent, deadline, Arc::clone(&vm.budget));
            vm.place(&mut run, plan, now);
        }
        credit %= 100 * SERVICE_MS;
    }
    Ok(run.counts)
}

fn main() -> Result<(), FieldError> {
    println!("load  rounds  answered  refused  retried  failed");
    for load_percent in [50, 90, 98, 120] {
        for raise_rounds in [1, 4, 16, 64] {
            let counts = run_trial(load_percent, raise_rounds)?;
            let TrialCounts {
                answered,
                refused,
                retried,
                failed,
            } = counts;
            println!(
                "{load_percent:3}%  {raise_rounds:6}  {answered:8}  {refused:7}  {retried:7}  {failed:6}"
            );
        }
    }
    Ok(())
}
