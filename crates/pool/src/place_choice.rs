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
    let near =
        |row: &RoomRow| unit.need.is_near(row) && avoid != Some(row.worker) && unit.accepts(row) && open(row);
    if let Some(row) = best_row(rows, &unit.need, counts, near) {
        return Some((row, false));
    }
    if unit.need.data_rack.is_some() && unit.may_go_remote(pool_busy) {
        let other = |row: &RoomRow| avoid != Some(row.worker) && unit.accepts(row) && open(row);
        if let Some(row) = best_row(rows, &unit.need, counts, other) {
            return Some((row, true));
        }
    }
    // Nothing else fits: the worker that failed the task before is better than none.
    let again = best_row(rows, &unit.need, counts, |row| {
        unit.need.is_near(row) && unit.accepts(row) && (!row.doubtful || unit.takes_doubtful()) && open(row)
    });
    again.map(|row| (row, false))
}

/// Chooses rows for a gang: one rack if it must be near itself, otherwise anywhere near its data.
///
/// Workers on which something went wrong lately are left out if the gang fits without them.
pub(crate) fn choose_gang(unit: &WaitingUnit, rows: &[RoomRow], pool_busy: bool) -> Option<RowChoice> {
    let count = unit.tasks.len();
    let sound = |row: &RoomRow| unit.accepts(row) && !row.doubtful;
    let near = near_gang(unit, rows, sound).or_else(|| near_gang(unit, rows, |row| unit.accepts(row)));
    if let Some(rows) = near {
        return Some(RowChoice { rows, remote: false });
    }
    let remote_ok = unit.may_go_remote(pool_busy);
    let never_near = unit.same_rack
        && !rack_fits(rows, &unit.need, count, |_| true)
            .iter()
            .any(|(rack, _, empty)| unit.need.is_near_rack(rack) && *empty >= count);
    let restricted = unit.same_rack || unit.need.data_rack.is_some();
    if !restricted || !(remote_ok || never_near) {
        return None;
    }
    let anywhere = gang_rows(rows, &unit.need, count, |row| unit.accepts(row));
    anywhere.map(|rows| RowChoice { rows, remote: true })
}

/// Chooses rows near the gang's data, and in one rack if the gang must be near itself.
fn near_gang<F>(unit: &WaitingUnit, rows: &[RoomRow], allowed: F) -> Option<Vec<usize>>
where
    F: Fn(&RoomRow) -> bool,
{
    let count = unit.tasks.len();
    if !unit.same_rack {
        return gang_rows(rows, &unit.need, count, |row| {
            unit.need.is_near(row) && allowed(row)
        });
    }
    let racks = rack_fits(rows, &unit.need, count, &allowed);
    let near = racks
        .iter()
        .filter(|(rack, now, _)| unit.need.is_near_rack(rack) && *now >= count);
    // The rack in which the fewest further members would fit keeps the others whole.
    let (tightest, _, _) = near.min_by_key(|(_, now, _)| *now)?;
    gang_rows(rows, &unit.need, count, |row| {
        row.rack.as_ref() == Some(tightest) && allowed(row)
    })
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
            row.rack.as_ref() == Some(rack) && unit.accepts(row)
        })
    };
    if unit.same_rack {
        let racks = rack_fits(rows, &unit.need, count, |row| unit.accepts(row));
        let near = racks
            .iter()
            .filter(|(rack, _, empty)| *empty >= count && unit.need.is_near_rack(rack));
        let plans = near.filter_map(|(rack, _, _)| plan_in(rack));
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some((plan, false));
        }
    } else {
        let near = choose_victims(rows, victims, &unit.need, count, counts, |row| {
            unit.need.is_near(row) && unit.accepts(row)
        });
        if let Some(plan) = near {
            return Some((plan, false));
        }
    }
    let remote_ok = unit.may_go_remote(pool_busy) || unit.rank.inside_guarantee();
    if !remote_ok {
        return None;
    }
    let plan = choose_victims(rows, victims, &unit.need, count, counts, |row| unit.accepts(row));
    plan.map(|plan| (plan, true))
}
