//! Workload generator.

use arbutuspick_bench::{ArrivalGenerator, DeploymentPlan, JobArrival};

const HORIZON_MS: u64 = 3_600_000;

fn arrivals(seed: u64) -> Vec<JobArrival> {
    ArrivalGenerator::new(&DeploymentPlan::midlands(), seed).generate(0.85, HORIZON_MS)
}

/// Guards against a comparison of policies on different workloads.
#[test]
fn same_seed() {
    assert_eq!(arrivals(3), arrivals(3));
    assert_ne!(arrivals(3), arrivals(4));
}

/// Guards against an offered load that differs from the requested one; the last bursts may exceed it.
#[test]
fn offered_load() {
    let work: u64 = arrivals(1)
        .iter()
        .filter(|arrival| arrival.placeable)
        .map(JobArrival::work)
        .sum();
    let load = work as f64 / (400.0 * HORIZON_MS as f64);
    assert!((0.85..1.05).contains(&load), "offered load {load}");
}

/// Guards against a workload without one of the failures or size classes that the targets depend on.
#[test]
fn workload_mix() {
    let arrivals = arrivals(2);
    let size = |arrival: &JobArrival| arrival.spec.shape.total_accelerators();
    assert!(arrivals.iter().any(|arrival| size(arrival) == 1));
    assert!(arrivals.iter().any(|arrival| (33..=64).contains(&size(arrival))));
    assert!(arrivals.iter().any(|arrival| !arrival.placeable));
    assert!(arrivals.iter().any(|arrival| arrival.cancel_at.is_some()));
    assert!(arrivals.iter().any(|arrival| arrival.spec.checkpointable));
    assert!(arrivals.iter().any(|arrival| !arrival.spec.idempotent));
    let estimate_errors = arrivals
        .iter()
        .map(|arrival| arrival.spec.declared_run_ms as f64 / arrival.run_ms as f64);
    assert!(estimate_errors.clone().fold(f64::INFINITY, f64::min) < 0.2);
    assert!(estimate_errors.fold(0.0, f64::max) > 5.0);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(arrivals.iter().all(|arrival| arrival.spec.shape.check().is_ok()));
}
