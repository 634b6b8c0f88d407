//! Gangs are placed completely, respecting adjacency and by best fit, or refused if they can never fit.

mod support;

use arbutuspick_model::GangAdjacency::{Rack, Task, Worker};
use arbutuspick_model::{GangAdjacency, RefusalReason};
use arbutuspick_sched::PlacementAction;
use support::{CoreDriver, placements};
use yare::parameterized;

// Guards against partially placed gangs, split tasks and accelerators that are allocated twice.
#[parameterized(
    single_task = { 1, 1, Task, 1 },
    odd_task = { 1, 3, Task, 1 },
    scattered = { 12, 4, Task, 6 },
    one_worker = { 3, 2, Worker, 1 },
    rack_pair = { 2, 8, Rack, 2 },
    small_in_rack = { 4, 2, Rack, 1 },
    wider_than_rack = { 10, 8, Rack, 10 },
    cpu_only = { 5, 0, Task, 1 },
)]
fn whole_gang(tasks: u32, accelerators: u32, adjacency: GangAdjacency, workers: usize) {
    let mut driver = CoreDriver::new().with_racks(2, 8);
    let spec = driver.spec("a", tasks, accelerators, adjacency);
    driver.submit(spec);
    let placed = placements(&driver.decide());
    assert_eq!(placed.len(), 1);
    let members = &placed[0].members;
    assert_eq!(members.len(), tasks as usize);
    let mut used = std::collections::BTreeMap::new();
    for member in members {
        assert_eq!(member.accelerators.count_ones(), accelerators);
        let mask = used.entry(member.worker.clone()).or_insert(0u8);
        assert_eq!(*mask & member.accelerators, 0, "accelerator allocated twice");
        *mask |= member.accelerators;
    }
    assert_eq!(used.len(), workers);
}

// Guards against fragmentation: small jobs on empty workers while a partly used worker has room.
#[test]
fn best_fit() {
    let mut driver = CoreDriver::new().with_racks(1, 4);
    for accelerators in [2, 4, 1, 1] {
        let spec = driver.spec("a", 1, accelerators, Task);
        driver.submit(spec);
    }
    let placed = placements(&driver.decide());
    let first = &placed[0].members[0].worker;
    assert!(
        placed
            .iter()
            .all(|placement| placement.members[0].worker == *first)
    );
    assert_eq!(driver.core.summary().free_accelerators, 24);
}

// Guards against jobs that are queued forever because no set of workers can fit them.
#[parameterized(
    too_many_tasks = { 17, 8, Task },
    wide_gang = { 17, 8, Rack },
)]
fn never_fits(tasks: u32, accelerators: u32, adjacency: GangAdjacency) {
    let mut driver = CoreDriver::new().with_racks(2, 8);
    let spec = driver.spec("a", tasks, accelerators, adjacency);
    let job = driver.submit(spec);
    let reason = RefusalReason::NeverFits;
    assert_eq!(driver.decide(), [PlacementAction::Refuse { job, reason }]);
}

// Guards against treating a rack with fewer than eight workers as a complete rack.
#[test]
fn short_rack() {
    let mut driver = CoreDriver::new().with_racks(3, 6);
    let fitting = driver.spec("a", 4, 8, Rack);
    let too_wide = driver.spec("a", 8, 8, Rack);
    driver.submit(fitting);
    let job = driver.submit(too_wide);
    let actions = driver.decide();
    assert_eq!(placements(&actions).len(), 1);
    let reason = RefusalReason::NeverFits;
    assert!(actions.contains(&PlacementAction::Refuse { job, reason }));
}

// Guards against placement on a worker without enough free cores.
#[test]
fn cores_checked() {
    let mut driver = CoreDriver::new().with_racks(1, 1);
    for _ in 0..3 {
        let mut spec = driver.spec("a", 1, 1, Task);
        spec.shape.cores = 30;
        driver.submit(spec);
    }
    assert_eq!(placements(&driver.decide()).len(), 2);
}
