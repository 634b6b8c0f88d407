//! A new placement holder adopts running attempts.

mod support;

use std::sync::Arc;

use arbutuspick_model::GangAdjacency::{Rack, Task};
use arbutuspick_sched::PlacementEvent;
use support::{CoreDriver, guarantee, placements, policy, preempted};

// Guards against guaranteed attempts that become borrowed after a takeover, whether workers or attempts are
// reported first.
#[yare::parameterized(workers_first = { true }, attempts_first = { false })]
fn adopted_attempts(workers_first: bool) {
    let accounts = || {
        vec![
            policy("own", vec![guarantee(32, 1)]),
            policy("other", vec![guarantee(8, 3)]),
        ]
    };
    let mut before = CoreDriver::new().with_racks(1, 8).with_accounts(accounts());
    let owned = before.spec("own", 3, 8, Rack);
    let borrowed = before.spec("other", 5, 8, Task);
    before.submit(owned.clone());
    before.decide();
    before.submit(borrowed.clone());
    let mut placed = placements(&before.decide());
    assert!(
        placed.is_empty(),
        "only 4 workers are left beside the guaranteed cell"
    );
    let borrowed = before.spec("other", 4, 8, Task);
    let job = before.submit(borrowed.clone());
    placed.extend(placements(&before.decide()));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].job, job);

    let mut driver = CoreDriver::new();
    if workers_first {
        driver = driver.with_racks(1, 8).with_accounts(accounts());
    }
    for (spec, job_id) in [(owned, 1), (borrowed, 3)].map(|(spec, n)| (spec, support::job_id(n))) {
        let job = &before.core.dump().jobs[&job_id];
        let placement = arbutuspick_sched::GangPlacement {
            job: job_id,
            attempt: job.attempt,
            members: job.members.clone(),
            guaranteed: job.guaranteed,
        };
        let (spec, queued_at) = (Arc::new(spec), driver.now);
        driver.handle(PlacementEvent::AttemptAdopted {
            job: job_id,
            spec,
            placement,
            queued_at,
        });
    }
    if !workers_first {
        driver = driver.with_accounts(accounts()).with_racks(1, 8);
    }
    driver.decide();
    driver.next_job = 10;
    for _ in 0..3 {
        let spec = driver.spec("other", 1, 8, Task);
        driver.submit(spec);
    }
    let stopped: Vec<_> = preempted(&driver.decide())
        .into_iter()
        .map(|(job, ..)| job)
        .collect();
    assert_eq!(stopped, [job], "only the borrowed gang is preempted");
    assert!(driver.core.shortfalls().is_empty());
}
