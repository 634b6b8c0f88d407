//! When a leader near a limit hands over, and to whom, replayed in virtual time.

use arbutuspick_dispatch::{
    HandoverReason, HandoverWatch, ProcessLimits, ProcessUse, accepts_leadership, rank_successors,
};
use arbutuspick_model::ClockTime;
use yare::parameterized;

const LARGE_VM: ProcessLimits = ProcessLimits {
    memory_mb: 500,
    max_descriptors: 8_000,
    cpu_percent: 50,
    link_mbps: 200,
};
const SMALL_VM: ProcessLimits = ProcessLimits {
    link_mbps: 10,
    ..LARGE_VM
};
const WORKERS: Option<u64> = Some(350);

fn usage(resident_mb: u64, open_descriptors: u64) -> ProcessUse {
    ProcessUse {
        resident_mb,
        open_descriptors,
    }
}

/// Returns the second of the first reason to hand over, with one sample a second.
fn first_reason<F>(limits: ProcessLimits, sample: F) -> Option<(u64, HandoverReason)>
where
    F: Fn(u64) -> (ProcessUse, bool),
{
    let mut watch = HandoverWatch::new(limits, ClockTime(0));
    (1..60).find_map(|second| {
        let (usage, is_late) = sample(second);
        let reason = watch.observe(usage, is_late, WORKERS, ClockTime(second * 1_000))?;
        Some((second, reason))
    })
}

/// Guards against a leader that stays until it is killed, and against a handover for a short burst or a usual load.
#[test]
fn growing_use() {
    let growing = |second| (usage(100 + second * 20, 900), false);
    assert_eq!(
        first_reason(LARGE_VM, growing),
        Some((18, HandoverReason::Memory))
    );
    let connecting = |second| (usage(100, second * 400), false);
    assert_eq!(
        first_reason(LARGE_VM, connecting),
        Some((18, HandoverReason::Descriptors))
    );
    let burst = |second| (usage(if second % 10 == 0 { 450 } else { 150 }, 900), false);
    assert_eq!(first_reason(LARGE_VM, burst), None);
    assert_eq!(first_reason(LARGE_VM, |_| (usage(400, 6_500), false)), None);
    let unlimited = |_| (usage(100_000, 100_000), false);
    assert_eq!(first_reason(ProcessLimits::default(), unlimited), None);
}

/// Guards against leadership that passes from VM to VM while the load and not the VM makes decisions late.
#[test]
fn late_decisions() {
    assert_eq!(
        first_reason(LARGE_VM, |_| (usage(100, 900), true)),
        Some((30, HandoverReason::LateDecisions))
    );
}

/// Guards against a VM that takes leadership over and is near its limit at once.
#[parameterized(
    idle = { usage(60, 300), true },
    much_memory = { usage(300, 300), false },
    many_descriptors = { usage(60, 4_800), false },
)]
fn accepting_process(usage: ProcessUse, expected: bool) {
    assert_eq!(accepts_leadership(LARGE_VM, usage), expected);
}

/// Guards against a successor that can bear less than the leader, and against a handover that gains nothing.
#[test]
fn ranked_successors() {
    let peers = vec![
        ("small", SMALL_VM),
        ("large", LARGE_VM),
        ("unlimited", ProcessLimits::default()),
    ];
    let names = |own, reason| -> Vec<&str> {
        let ranked = rank_successors(own, peers.clone(), |peer| peer.1, WORKERS, reason);
        ranked.into_iter().map(|(name, _)| name).collect()
    };
    assert_eq!(names(LARGE_VM, HandoverReason::Memory), ["large", "unlimited"]);
    assert_eq!(
        names(SMALL_VM, HandoverReason::Descriptors),
        ["large", "unlimited", "small"]
    );
    assert_eq!(names(SMALL_VM, HandoverReason::Capacity), ["large", "unlimited"]);
    assert!(names(LARGE_VM, HandoverReason::Capacity).is_empty());
}
