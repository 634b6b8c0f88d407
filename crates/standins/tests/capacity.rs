//! Guards against a worker that reserves the same accelerators, cores or memory for two gangs.

mod support;

use arbutuspick_clients::{MemberAllocation, PrepareRequest, WorkerRefusal};
use arbutuspick_model::JobId;
use support::WorkerFixture;
use yare::parameterized;

async fn second_prepare(change: fn(&mut PrepareRequest)) -> support::CallResult {
    let fixture = WorkerFixture::start().await;
    let hold_until = fixture.clock().await + 5000;
    let mut first = fixture.prepare_request("{}", hold_until);
    first.members = vec![MemberAllocation {
        index: 0,
        accelerators: 0b11,
    }];
    fixture.send_prepare(&first).await.unwrap();
    let mut second = first.clone();
    second.job = JobId::generate();
    second.members = vec![MemberAllocation {
        index: 0,
        accelerators: 0b1100,
    }];
    change(&mut second);
    fixture.send_prepare(&second).await
}

#[parameterized(
    disjoint = { |_| {} },
    last_core = { |request| request.cores = 60 },
    last_memory = { |request| request.memory_mib = 255 * 1024 },
    no_accelerators = { |request| request.members[0].accelerators = 0 },
)]
#[test_macro(tokio::test)]
async fn accepted_prepare(change: fn(&mut PrepareRequest)) {
    second_prepare(change).await.unwrap();
}

#[parameterized(
    accelerator = { |request| request.members[0].accelerators = 0b110 },
    cores = { |request| request.cores = 61 },
    memory = { |request| request.memory_mib = 255 * 1024 + 1 },
    overlapping_members = { |request| request.members.push(MemberAllocation { index: 1, accelerators: 0b0100 }) },
    no_members = { |request| request.members.clear() },
)]
#[test_macro(tokio::test)]
async fn refused_prepare(change: fn(&mut PrepareRequest)) {
    assert_eq!(second_prepare(change).await, Err(WorkerRefusal::NoCapacity));
}

#[tokio::test]
async fn freed_capacity() {
    let mut fixture = WorkerFixture::start().await;
    fixture.prepare("{}").await.unwrap();
    let first = fixture.job;
    fixture.job = JobId::generate();
    assert_eq!(fixture.prepare("{}").await, Err(WorkerRefusal::NoCapacity));
    let second = fixture.job;
    fixture.job = first;
    fixture.void().await.unwrap();
    fixture.job = second;
    fixture.prepare("{}").await.unwrap();
}

#[tokio::test]
async fn delayed_usage() {
    let fixture = WorkerFixture::start().await;
    fixture.prepare(r#"{"run_ms": 5000}"#).await.unwrap();
    assert_eq!(fixture.start_task().await.unwrap().used_cores, 0);
    support::advance(900).await;
    assert_eq!(fixture.present_epoch(1).await.unwrap().used_cores, 0);
    support::advance(200).await;
    assert_eq!(fixture.present_epoch(1).await.unwrap().used_cores, 8);
}
