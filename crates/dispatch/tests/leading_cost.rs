//! Which VM leads: the cost of leading against the limits of VMs of different sizes.

use arbutuspick_dispatch::{LeadingCost, ProcessLimits, VmFitness, election_delay_ms};
use arbutuspick_server::ListenerLimits;
use proptest::prelude::*;
use yare::parameterized;

const LARGE_VM: ProcessLimits = limits(512, 8_192, 50, 200);
const MEDIUM_VM: ProcessLimits = limits(400, 10_250, 30, 10);
const SMALL_VM: ProcessLimits = limits(120, 3_075, 9, 10);
/// A VM that is small only in memory and descriptors.
const TIGHT_VM: ProcessLimits = limits(120, 3_075, 100, 1_000);

const fn limits(memory_mb: u64, max_descriptors: u64, cpu_percent: u64, link_mbps: u64) -> ProcessLimits {
    ProcessLimits {
        memory_mb,
        max_descriptors,
        cpu_percent,
        link_mbps,
    }
}

/// Guards against a leader that runs out of memory or descriptors because the pool has more workers than it can hold.
#[parameterized(
    few_workers = { TIGHT_VM, 350, true },
    many_workers = { TIGHT_VM, 3_500, false },
    large_vm = { limits(512, 8_192, 100, 200), 3_000, true },
    no_room_for_clients = { limits(160, 8_192, 100, 200), 3_000, false },
    too_many_connections = { limits(512, 8_192, 100, 200), 3_500, false },
    little_cpu = { SMALL_VM, 24, false },
    unknown_limits = { ProcessLimits::default(), 100_000, true },
)]
fn bears_cost(limits: ProcessLimits, workers: u64, expected: bool) {
    let fitness = VmFitness::new(limits, LeadingCost::of_workers(Some(workers)));
    assert_eq!(fitness.bears_cost(), expected, "{fitness:?}");
}

/// Guards against an election that a VM wins although a fitter one is there, and against VMs that all wait for a leader that
/// no VM can be.
#[test]
fn election_order() {
    let delays = |own, peers: &[ProcessLimits], workers| election_delay_ms(own, peers.to_vec(), workers);
    assert_eq!(delays(LARGE_VM, &[SMALL_VM, MEDIUM_VM], Some(350)), 0);
    assert!(
        delays(SMALL_VM, &[LARGE_VM], Some(350)) > 580,
        "sooner than the others look"
    );
    assert_eq!(delays(TIGHT_VM, &[LARGE_VM], Some(350)), 0);
    assert!(delays(TIGHT_VM, &[LARGE_VM], Some(3_500)) > 0);
    // Nobody bears the cost: the one that bears the most does not wait.
    assert_eq!(delays(MEDIUM_VM, &[SMALL_VM, MEDIUM_VM], Some(350)), 0);
    assert!(delays(SMALL_VM, &[SMALL_VM, MEDIUM_VM], Some(350)) > 0);
    // Neither peers nor workers are known yet.
    assert_eq!(delays(LARGE_VM, &[], None), 0);
    assert!(delays(SMALL_VM, &[], None) > 580);
}

fn any_limits() -> impl Strategy<Value = ProcessLimits> {
    (50_u64..2_000, 500_u64..20_000, 1_u64..200, 1_u64..2_000)
        .prop_map(|(memory, descriptors, cpu, link)| limits(memory, descriptors, cpu, link))
}

proptest! {
    /// Guards against a leader that its clients bring to the limit at which it hands over, so that a crowd kills it or drives
    /// leadership from VM to VM.
    #[test]
    fn room_for_clients(limits in any_limits(), workers in 1_u64..20_000) {
        /// Share of its memory from which a leader hands over, in percent.
        const NEAR_LIMIT_PERCENT: u64 = 85;
        let cost = LeadingCost::of_workers(Some(workers));
        if VmFitness::new(limits, cost).bears_cost() {
            let clients = ListenerLimits::derive(limits.memory_mb as usize, limits.max_descriptors as usize);
            let clients_mb = (clients.total_bytes() as u64).div_ceil(1024 * 1024);
            let used_mb = cost.memory_mb + clients_mb;
            prop_assert!(used_mb * 100 < limits.memory_mb * NEAR_LIMIT_PERCENT, "{used_mb} MB of {limits:?}");
        }
    }

    /// Guards against leadership that moves back and forth between two VMs, and to one that can bear less.
    #[test]
    fn no_return(first in any_limits(), second in any_limits(), workers in 1_u64..20_000) {
        let cost = LeadingCost::of_workers(Some(workers));
        let (first, second) = (VmFitness::new(first, cost), VmFitness::new(second, cost));
        prop_assert!(!(first.yields_to(&second) && second.yields_to(&first)));
        prop_assert!(!first.yields_to(&second) || second > first);
    }
}
