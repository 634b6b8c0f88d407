//! Two gangs must not hold the same accelerators, cores or memory.

mod support;

use arbutuspick_clients::{MemberAllocation, PrepareRequest, WorkerRefusal};
use arbutuspick_model::JobId;
use support::WorkerCase;
use yare::parameterized;

async fn second_prepare(change: fn(&mut PrepareRequest)) -> support::Answered {
    let case = WorkerCase::start().await;
    let hold_until = case.clock().await + 5000;
    let mut first = case.prepare_request("{}", hold_until);
    first.members = vec![MemberAllocation {
        index: 0,
        accelerators: 0b11,
    }];
    case.prepare_as(&first).await.unwrap();
    let mut second = first.clone();
    second.job = JobId::generate();
    second.members = vec![MemberAllocation {
        index: 0,
        accelerators: 0b1100,
    }];
    change(&mut second);
    case.prepare_as(&second).await
}

#[parameterized(
    disjoint = { |_| {} },
    last_core = { |request| request.cores = 60 },
    last_memory = { |request| request.memory_mib = 255 * 1024 },
    processors_only = { |request| request.members[0].accelerators = 0 },
)]
#[test_macro(tokio::test)]
async fn accepted_parts(change: fn(&mut PrepareRequest)) {
    second_prepare(change).await.unwrap();
}

#[parameterized(
    accelerator = { |request| request.members[0].accelerators = 0b110 },
    cores = { |request| request.cores = 61 },
    memory = { |request| request.memory_mib = 255 * 1024 + 1 },
    own_members = { |request| request.members.push(MemberAllocation { index: 1, accelerators: 0b0100 }) },
    no_members = { |request| request.members.clear() },
)]
#[test_macro(tokio::test)]
async fn refused_parts(change: fn(&mut PrepareRequest)) {
    assert_eq!(second_prepare(change).await, Err(WorkerRefusal::NoCapacity));
}

#[tokio::test]
async fn freed_parts() {
    let mut case = WorkerCase::start().await;
    case.prepare("{}").await.unwrap();
    let first = case.job;
    case.job = JobId::generate();
    assert_eq!(case.prepare("{}").await, Err(WorkerRefusal::NoCapacity));
    let second = case.job;
    case.job = first;
    case.void().await.unwrap();
    case.job = second;
    case.prepare("{}").await.unwrap();
}

#[tokio::test]
async fn lagging_usage() {
    let case = WorkerCase::start().await;
    case.prepare(r#"{"run_ms": 5000}"#).await.unwrap();
    assert_eq!(case.start_task().await.unwrap().used_cores, 0);
    support::advance(900).await;
    assert_eq!(case.present_epoch(1).await.unwrap().used_cores, 0);
    support::advance(200).await;
    assert_eq!(case.present_epoch(1).await.unwrap().used_cores, 8);
}
