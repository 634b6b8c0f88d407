//! Marks the workers that batch work leaves to urgent work.
//!
//! Load pattern: urgent gangs need several whole workers, often of one rack, and batch work spreads over all racks.
//! The room for them is kept in as few racks as possible, and batch work goes elsewhere while the pool is
//! busy.

use std::collections::BTreeMap;

use crate::keys::RackId;
use crate::placement::worker_search::WorkerCandidate;

/// Part of the workers that may be kept for urgent work at most, in percent.
const MAX_ROOM_PERCENT: usize = 33;

/// Marks `count` workers of a service, rack by rack; the same racks as long as the workers stay.
pub(crate) fn mark_urgent_room(candidates: &mut [WorkerCandidate], service: &str, count: usize) {
    let serving = candidates
        .iter()
        .filter(|candidate| candidate.service.as_ref() == service);
    let mut left = count.min(serving.count() * MAX_ROOM_PERCENT / 100);
    if left == 0 {
        return;
    }
    let mut racks: BTreeMap<Option<RackId>, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.service.as_ref() != service {
            continue;
        }
        racks.entry(candidate.rack).or_default().push(index);
    }
    // Workers without a rack come first in the map, and are marked last.
    for index in racks.into_values().rev().flatten() {
        candidates[index].urgent_room = true;
        left -= 1;
        if left == 0 {
            return;
        }
    }
}
