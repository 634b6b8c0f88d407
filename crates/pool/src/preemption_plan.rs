//! Chooses the runs to stop or wait for so that a unit of higher rank can start.
//!
//! Load pattern: urgent jobs arrive, or an account reclaims its guarantee, while all capacity is borrowed.
//! The runs that lose the least work for each task placed are stopped; a gang counts as a whole. Runs that
//! end by themselves in time are waited for, which loses nothing.

use std::collections::{HashMap, HashSet};

use crate::ResourceAmount;
use crate::worker_search::{StepCounts, TaskNeed, WorkerCandidate, fitting_tasks};

/// A run or gang that may be stopped or ends soon.
#[derive(Clone, Debug)]
pub(crate) struct VictimGroup {
    /// Value that is lost by stopping it.
    pub(crate) cost: u64,
    /// Whether it ends by itself in time.
    pub(crate) ends_soon: bool,
    /// Indices of the candidates on which its runs are placed, with the resources that each run frees.
    pub(crate) frees: Vec<(usize, ResourceAmount)>,
}

/// Candidates for the tasks, and victims to stop or wait for, both by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionPlan {
    pub(crate) candidates: Vec<usize>,
    pub(crate) victims: Vec<usize>,
    pub(crate) cost: u64,
}

/// Returns a plan for `count` tasks on allowed candidates, or `None` if too little capacity can be freed.
///
/// The search is greedy: it repeatedly takes the candidate on which one more task costs the least.
pub(crate) fn choose_victims<F>(
    candidates: &[WorkerCandidate],
    victims: &[VictimGroup],
    need: &TaskNeed,
    count: usize,
    counts: &StepCounts,
    allowed: F,
) -> Option<PreemptionPlan>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let mut groups_by_candidate: HashMap<usize, Vec<usize>> = HashMap::new();
    for (group, victim) in victims.iter().enumerate() {
        for (candidate, _) in &victim.frees {
            let groups = groups_by_candidate.entry(*candidate).or_default();
            // Several members of a gang can be placed on one candidate.
            if groups.last() != Some(&group) {
                groups.push(group);
            }
        }
    }
    let mut free = candidates.to_vec();
    let mut counts = counts.clone();
    let mut taken: HashSet<usize> = HashSet::new();
    let mut plan = PreemptionPlan {
        candidates: Vec::new(),
        victims: Vec::new(),
        cost: 0,
    };
    while plan.candidates.len() < count {
        let mut best: Option<(u64, bool, usize, Vec<usize>)> = None;
        for (index, candidate) in free.iter().enumerate() {
            if !allowed(candidate) || !need.allows(candidate) {
                continue;
            }
            let groups = groups_by_candidate.get(&index).map_or(&[][..], Vec::as_slice);
            let Some((cost, groups)) =
                groups_for_task(candidate, index, victims, groups, &taken, need, &counts)
            else {
                continue;
            };
            let suspect = candidate.suspect;
            if best
                .as_ref()
                .is_none_or(|(best_cost, best_suspect, _, _)| (cost, suspect) < (*best_cost, *best_suspect))
            {
                best = Some((cost, suspect, index, groups));
            }
        }
        let (cost, _, index, groups) = best?;
        for group in groups {
            taken.insert(group);
            plan.victims.push(group);
            for (candidate, amount) in &victims[group].frees {
                free[*candidate].free += *amount;
            }
        }
        free[index].free -= need.amount;
        *counts.entry(free[index].worker).or_default() += 1;
        plan.cost += cost;
        plan.candidates.push(index);
    }
    Some(plan)
}

/// Returns the cost of one more task on the candidate and the groups to stop or wait for.
///
/// The groups in `taken` are in the plan already.
fn groups_for_task(
    candidate: &WorkerCandidate,
    index: usize,
    victims: &[VictimGroup],
    groups: &[usize],
    taken: &HashSet<usize>,
    need: &TaskNeed,
    counts: &StepCounts,
) -> Option<(u64, Vec<usize>)> {
    let mut candidate = candidate.clone();
    if fitting_tasks(&candidate, need, counts, 1) > 0 {
        return Some((0, Vec::new()));
    }
    let mut remaining: Vec<usize> = groups
        .iter()
        .copied()
        .filter(|group| !taken.contains(group))
        .collect();
    remaining.sort_by_key(|group| (victims[*group].cost, *group));
    let mut chosen = Vec::new();
    let mut cost = 0;
    for group in remaining {
        for (freed_index, amount) in &victims[group].frees {
            if *freed_index == index {
                candidate.free += *amount;
            }
        }
        cost += victims[group].cost;
        chosen.push(group);
        if fitting_tasks(&candidate, need, counts, 1) > 0 {
            return Some((cost, chosen));
        }
    }
    None
}
