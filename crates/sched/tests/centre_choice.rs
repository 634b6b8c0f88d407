//! New jobs prefer unused guaranteed cells, then the most free cells, then the shortest queue.

use std::collections::BTreeMap;

use arbutuspick_model::*;
use arbutuspick_sched::*;

fn centre(name: &str) -> CentreName {
    CentreName::try_from(name).unwrap()
}

fn summary(state: CentreState, free: u32, queued_jobs: u32) -> PlacementSummary {
    let mut summary = PlacementSummary {
        state,
        queued_jobs,
        ..PlacementSummary::default()
    };
    summary.usable[CellLevel::Rack] = 4;
    summary.free[CellLevel::Worker] = free;
    summary
}

// Guards against jobs sent to a data centre that does not accept jobs, or away from their guarantee.
#[test]
fn choice_order() {
    let account = AccountName::try_from("a").unwrap();
    let shape = GangShape {
        accelerators: 8,
        ..GangShape::default()
    };
    let spec = JobSpec::new(account.clone()).with_shape(shape);
    let home = [CellGuarantee {
        data_centre: centre("trent"),
        cell: CellLevel::Worker,
        count: 1,
    }];
    let mut guaranteed = summary(CentreState::In, 0, 9);
    guaranteed.accounts.entry(account).or_default().unused_cells[CellLevel::Worker] = 1;
    let mut summaries = BTreeMap::from([
        (centre("out"), summary(CentreState::Out, 9, 0)),
        (centre("leaving"), summary(CentreState::Leaving, 9, 0)),
        (centre("busy"), summary(CentreState::Returning, 2, 5)),
        (centre("idle"), summary(CentreState::In, 2, 1)),
        (centre("full"), summary(CentreState::In, 1, 0)),
        (centre("trent"), guaranteed),
    ]);
    for expected in ["trent", "idle", "busy", "full"] {
        assert_eq!(choose_centre(&spec, &summaries, &home), Some(centre(expected)));
        summaries.remove(&centre(expected));
    }
    assert_eq!(choose_centre(&spec, &summaries, &home), None);
}

// Guards against a configuration with guarantees that the workers cannot provide at the same time.
#[yare::parameterized(
    exact = { &[(64, 1), (16, 1), (8, 1)], true },
    too_many = { &[(8, 12)], false },
    scattered = { &[(32, 3)], false },
    short_rack = { &[(64, 2)], false },
)]
fn packing_checked(cells: &[(u32, u32)], accepted: bool) {
    let racks = [("r1", 8), ("r2", 3)].map(|(name, workers)| (RackName::try_from(name).unwrap(), workers));
    let guarantee = |(cell, count): &(u32, u32)| CellGuarantee {
        data_centre: centre("trent"),
        cell: CellLevel::try_from(*cell).unwrap(),
        count: *count,
    };
    let guarantees = cells.iter().map(guarantee).collect();
    let accounts = BTreeMap::from([(AccountName::try_from("a").unwrap(), guarantees)]);
    let checked = check_guarantees(&centre("trent"), &BTreeMap::from(racks), &accounts);
    assert_eq!(checked.is_ok(), accepted, "{checked:?}");
}

// Guards against a burst of jobs that goes entirely to the data centre that ranked first before the burst.
#[test]
fn burst_spreads() {
    use std::collections::BTreeMap;

    use arbutuspick_model::{AccountName, CellLevel, CentreName, JobSpec};
    use arbutuspick_sched::{CellCounts, PlacementSummary, choose_centre};

    let mut summaries = BTreeMap::new();
    for (name, racks) in [("trent", 2), ("severn", 1)] {
        let mut free = CellCounts::default();
        free[CellLevel::Rack] = racks;
        let summary = PlacementSummary {
            free,
            usable: free,
            ..PlacementSummary::default()
        };
        summaries.insert(CentreName::try_from(name).unwrap(), summary);
    }
    let spec = JobSpec::new(AccountName::try_from("parks").unwrap());
    let mut counts: BTreeMap<CentreName, u32> = BTreeMap::new();
    for _ in 0..192 {
        let chosen = choose_centre(&spec, &summaries, &[]).unwrap();
        summaries.get_mut(&chosen).unwrap().charge(&spec);
        *counts.entry(chosen).or_default() += 1;
    }
    // One job per free accelerator: 128 in trent and 64 in severn.
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [64, 128]);
}
