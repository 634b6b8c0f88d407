//! Checks that the driver accepts the demo's workloads and rejects invalid ones.

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use arbutuspick_standins::drive::{LoadPlan, Workload};
use yare::parameterized;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../demo")
        .join(name);
    fs::read_to_string(path).unwrap()
}

#[parameterized(midlands = { "midlands.yaml" }, nordeste = { "nordeste.yaml" })]
fn demo_workload(name: &str) {
    let workload = Workload::parse(&read(name)).unwrap();
    assert_eq!(workload.accounts.len(), 4);
    let plan = LoadPlan::new(&workload, "x").unwrap();
    let largest = plan
        .jobs
        .iter()
        .map(|job| job.shape.total_accelerators())
        .filter(|count| *count <= 64)
        .max();
    assert_eq!(largest, Some(64));
    let jobs = plan.jobs.iter().map(|job| &job.label);
    let requests = plan.requests.iter().map(|request| &request.label);
    let labels: HashSet<_> = jobs.chain(requests).collect();
    assert_eq!(
        labels.len(),
        plan.jobs.len() + plan.requests.len(),
        "labels serve as idempotency keys and must be unique"
    );
}

#[test]
fn reproducible_plan() {
    let workload = Workload::parse(&read("midlands.yaml")).unwrap();
    let plans = [(); 2].map(|()| format!("{:?}", LoadPlan::new(&workload, "x").unwrap()));
    assert_eq!(plans[0], plans[1]);
}

#[parameterized(
    too_long = { "limit_s: 88", "limit_s: 91", "limit_s" },
    no_drain_time = { "load_s: 55", "load_s: 88", "load_s" },
    late_return = { "in_at_s: 36", "in_at_s: 88", "outage.in_at_s" },
    bad_range = { "[100, 800]", "[800, 100]", "accounts[0].jobs[0].run_ms" },
    bad_shape = { "tasks: 1024", "tasks: 1025", "accounts[3].jobs[1].shape.tasks" },
)]
fn refused_workload(old: &str, new: &str, field: &str) {
    let yaml = read("midlands.yaml").replace(old, new);
    assert_eq!(Workload::parse(&yaml).unwrap_err().field, field);
}
