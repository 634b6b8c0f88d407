//! Chooses workers for a unit of work: near its data, in one rack, or wherever it may go.

use std::sync::Arc;

use crate::WorkerKey;
use crate::room_search::{RoomRow, StepCounts, best_row, gang_rows, rack_fits};
use crate::victim_choice::{VictimPlan, VictimUnit, choose_victims};
use crate::waiting_unit::WaitingUnit;

/// One in this many workers is kept whole for urgent work and gangs while others have room.
const KEPT_WHOLE_PART: usize = 8;

/// Where the tasks of a unit go.
pub(crate) struct RowChoice {
    pub(crate) rows: Vec<usize>,
    pub(crate) remote: bool,
}

pub(crate) fn choose_row(
    unit: &WaitingUnit,
    rows: &[RoomRow],
    counts: &StepCounts,
    avoid: Option<WorkerKey>,
    pool_busy: bool,
) -> Option<(usize, bool)> {
    let whole = rows.iter().filter(|row| row.is_empty()).count();
    let spares = unit.spares_whole_workers() && whole * KEPT_WHOLE_PART <= rows.len();
    let open = |row: &RoomRow| !(spares && row.is_empty());
    let near = |row: &RoomRow| unit.need.is_near(row) && avoid != Some(row.worker) && open(row);
    if let Some(row) = best_row(rows, &unit.need, counts, near) {
        return Some((row, false));
    }
    if unit.need.data_rack.is_some() && unit.may_go_remote(pool_busy) {
        let other = |row: &RoomRow| avoid != Some(row.worker) && open(row);
        if let Some(row) = best_row(rows, &unit.need, counts, other) {
            return Some((row, true));
        }
    }
    // Nothing else fits: the worker that failed the task before is better than none.
    let again = best_row(rows, &unit.need, counts, |row| {
        unit.need.is_near(row) && (!row.doubtful || unit.takes_doubtful()) && open(row)
    });
    again.map(|row| (row, false))
}

/// Chooses rows for a gang: one rack if it must be near itself, otherwise anywhere near its data.
pub(crate) fn choose_gang(unit: &WaitingUnit, rows: &[RoomRow], pool_busy: bool) -> Option<RowChoice> {
    let count = unit.tasks.len();
    let remote_ok = unit.may_go_remote(pool_busy);
    if !unit.same_rack {
        let near = gang_rows(rows, &unit.need, count, |row| unit.need.is_near(row));
        if let Some(rows) = near {
            return Some(RowChoice { rows, remote: false });
        }
        let data = unit.need.data_rack.is_some() && remote_ok;
        let anywhere = if data {
            gang_rows(rows, &unit.need, count, |_| true)
        } else {
            None
        };
        return anywhere.map(|rows| RowChoice { rows, remote: true });
    }
    let racks = rack_fits(rows, &unit.need, count);
    let near_racks = racks
        .iter()
        .filter(|(rack, _, _)| unit.need.data_rack.as_ref().is_none_or(|data| data == rack));
    // The rack in which the fewest further members would fit keeps the others whole.
    let tightest = near_racks
        .clone()
        .filter(|(_, now, _)| *now >= count)
        .min_by_key(|(_, now, _)| *now);
    if let Some((rack, _, _)) = tightest {
        let inside = gang_rows(rows, &unit.need, count, |row| row.rack.as_ref() == Some(rack));
        return inside.map(|rows| RowChoice { rows, remote: false });
    }
    let possible = near_racks.clone().any(|(_, _, empty)| *empty >= count);
    if possible && !remote_ok {
        return None;
    }
    gang_rows(rows, &unit.need, count, |_| true).map(|rows| RowChoice { rows, remote: true })
}

/// Chooses where runs are stopped for the unit: inside one rack for a gang that must be near itself.
pub(crate) fn choose_scope(
    unit: &WaitingUnit,
    left: usize,
    rows: &[RoomRow],
    victims: &[VictimUnit],
    counts: &StepCounts,
    pool_busy: bool,
) -> Option<(VictimPlan, bool)> {
    let count = if unit.gang { unit.tasks.len() } else { left };
    let plan_in = |rack: &Arc<str>| {
        choose_victims(rows, victims, &unit.need, count, counts, |row| {
            row.rack.as_ref() == Some(rack)
        })
    };
    if unit.same_rack {
        let racks = rack_fits(rows, &unit.need, count);
        let near = racks.iter().filter(|(rack, _, empty)| {
            *empty >= count && unit.need.data_rack.as_ref().is_none_or(|data| data == rack)
        });
        let plans = near.filter_map(|(rack, _, _)| plan_in(rack));
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some((plan, false));
        }
    } else {
        let near = choose_victims(rows, victims, &unit.need, count, counts, |row| {
            unit.need.is_near(row)
        });
        if let Some(plan) = near {
            return Some((plan, false));
        }
    }
    let remote_ok = unit.may_go_remote(pool_busy) || unit.rank.inside_guarantee();
    if !remote_ok {
        return None;
    }
    choose_victims(rows, victims, &unit.need, count, counts, |_| true).map(|plan| (plan, true))
}
