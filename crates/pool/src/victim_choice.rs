//! Chooses what is stopped so that work that comes first can start.
//!
//! Load pattern: urgent jobs arrive, or an account returns for its guarantee, while all room is lent. The runs
//! that lose the least work per task gained are stopped; a gang counts whole. Runs that end by themselves in
//! time are waited for, which loses nothing.

use std::collections::{HashMap, HashSet};

use crate::ResourceAmount;
use crate::room_search::{RoomRow, StepCounts, TaskNeed, row_fits};

/// A run that may be stopped, or whose end is near, with all runs that end with it.
#[derive(Clone, Debug)]
pub(crate) struct VictimUnit {
    /// Worth that is lost.
    pub(crate) cost: u64,
    /// It ends by itself in time.
    pub(crate) ends_soon: bool,
    /// Rows on which its runs stand, with what each frees.
    pub(crate) frees: Vec<(usize, ResourceAmount)>,
}

/// The rows for the tasks and the units to stop, by their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VictimPlan {
    pub(crate) rows: Vec<usize>,
    pub(crate) stopped: Vec<usize>,
    pub(crate) cost: u64,
}

/// Returns the cheapest plan found for `count` tasks on the allowed rows, or `None` if no plan makes room.
pub(crate) fn choose_victims<F>(
    rows: &[RoomRow],
    victims: &[VictimUnit],
    need: &TaskNeed,
    count: usize,
    counts: &StepCounts,
    allowed: F,
) -> Option<VictimPlan>
where
    F: Fn(&RoomRow) -> bool,
{
    let mut rows_of_units: HashMap<usize, Vec<usize>> = HashMap::new();
    for (unit, victim) in victims.iter().enumerate() {
        for (row, _) in &victim.frees {
            let units = rows_of_units.entry(*row).or_default();
            // Several members of a gang may stand on one row.
            if units.last() != Some(&unit) {
                units.push(unit);
            }
        }
    }
    let mut free = rows.to_vec();
    let mut counts = counts.clone();
    let mut stopped: HashSet<usize> = HashSet::new();
    let mut plan = VictimPlan {
        rows: Vec::new(),
        stopped: Vec::new(),
        cost: 0,
    };
    while plan.rows.len() < count {
        let mut best: Option<(u64, bool, usize, Vec<usize>)> = None;
        for (number, row) in free.iter().enumerate() {
            if !allowed(row) || !need.allows(row) {
                continue;
            }
            let units = rows_of_units.get(&number).map_or(&[][..], Vec::as_slice);
            let Some((cost, units)) = units_for_one(row, number, victims, units, &stopped, need, &counts)
            else {
                continue;
            };
            let doubtful = row.doubtful;
            if best
                .as_ref()
                .is_none_or(|(c, d, _, _)| (cost, doubtful) < (*c, *d))
            {
                best = Some((cost, doubtful, number, units));
            }
        }
        let (cost, _, number, units) = best?;
        for unit in units {
            stopped.insert(unit);
            plan.stopped.push(unit);
            for (row, amount) in &victims[unit].frees {
                free[*row].free += *amount;
            }
        }
        free[number].free -= need.amount;
        *counts.entry(free[number].worker).or_default() += 1;
        plan.cost += cost;
        plan.rows.push(number);
    }
    Some(plan)
}

/// Returns the cost and the units to stop for one more task on the row.
fn units_for_one(
    row: &RoomRow,
    number: usize,
    victims: &[VictimUnit],
    units: &[usize],
    stopped: &HashSet<usize>,
    need: &TaskNeed,
    counts: &StepCounts,
) -> Option<(u64, Vec<usize>)> {
    let mut row = row.clone();
    if row_fits(&row, need, counts, 1) > 0 {
        return Some((0, Vec::new()));
    }
    let mut left: Vec<usize> = units
        .iter()
        .copied()
        .filter(|unit| !stopped.contains(unit))
        .collect();
    left.sort_by_key(|unit| (victims[*unit].cost, *unit));
    let mut chosen = Vec::new();
    let mut cost = 0;
    for unit in left {
        for (at, amount) in &victims[unit].frees {
            if *at == number {
                row.free += *amount;
            }
        }
        cost += victims[unit].cost;
        chosen.push(unit);
        if row_fits(&row, need, counts, 1) > 0 {
            return Some((cost, chosen));
        }
    }
    None
}
