//! Chooses the runs to stop or wait for so that a unit of higher rank can start.
//!
//! Load pattern: urgent jobs arrive, or an account reclaims its guarantee, while all capacity is borrowed.
//! The runs that lose the least work for each task placed are stopped; a gang counts as a whole. Runs that
//! end by themselves in time are waited for, which loses nothing.

use crate::ResourceAmount;
use crate::placement::free_bounds::LabelBounds;
use crate::placement::worker_search::{StepCounts, TaskNeed, WorkerCandidate};

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

/// Victim groups by candidate, built once for all units that may free the same runs.
#[derive(Debug)]
pub(crate) struct VictimIndex {
    pub(crate) victims: Vec<VictimGroup>,
    /// For each candidate, its groups with what they free there, the cheapest first.
    by_candidate: Vec<Vec<(usize, ResourceAmount)>>,
    /// For each candidate, what its groups free there together.
    freeable: Vec<ResourceAmount>,
    /// Capacity that is free or can be freed.
    bounds: LabelBounds,
}

impl VictimIndex {
    pub(crate) fn new(victims: Vec<VictimGroup>, candidates: usize) -> Self {
        let mut by_candidate: Vec<Vec<(usize, ResourceAmount)>> = vec![Vec::new(); candidates];
        for (group, victim) in victims.iter().enumerate() {
            for (candidate, amount) in &victim.frees {
                match by_candidate[*candidate].last_mut() {
                    // Several members of a gang can be placed on one candidate.
                    Some((last, freed)) if *last == group => *freed += *amount,
                    _ => by_candidate[*candidate].push((group, *amount)),
                }
            }
        }
        for groups in &mut by_candidate {
            groups.sort_by_key(|(group, _)| (victims[*group].cost, *group));
        }
        let freeable = by_candidate.iter().map(|groups| {
            let amounts = groups.iter().map(|(_, amount)| *amount);
            amounts.fold(ResourceAmount::default(), |sum, amount| sum + amount)
        });
        Self {
            freeable: freeable.collect(),
            bounds: LabelBounds::default(),
            victims,
            by_candidate,
        }
    }

    /// Returns whether `count` tasks would fit on allowed candidates if all groups were freed, wherever the data
    /// is and however many tasks of the step run already.
    pub(crate) fn may_free<F>(
        &mut self,
        candidates: &[WorkerCandidate],
        need: &TaskNeed,
        count: usize,
        allowed: F,
    ) -> bool
    where
        F: Fn(&WorkerCandidate) -> bool,
    {
        let freeable = &self.freeable;
        let may_cover = self.bounds.may_cover(need, candidates, |index, candidate| {
            candidate.free + freeable[index]
        });
        if !may_cover {
            return false;
        }
        let mut possible = 0;
        for (candidate, freeable) in candidates.iter().zip(&self.freeable) {
            let free = candidate.free + *freeable;
            if free.covers(&need.amount) && need.allows(candidate) && allowed(candidate) {
                possible += need.count_on(&free, count);
                if possible >= count {
                    return true;
                }
            }
        }
        false
    }
}

/// The cheapest way to place one more task on a candidate: its cost, and the number of groups, in the order of
/// the index, that are to be stopped or waited for unless they are taken already.
type TaskOffer = Option<(u64, usize)>;

/// A candidate during the search.
struct SearchEntry {
    index: usize,
    free: ResourceAmount,
    /// Number of further tasks that the spread limit allows.
    spread_left: usize,
    suspect: bool,
    offer: TaskOffer,
}

/// Returns a plan for `count` tasks on allowed candidates, or `None` if too little capacity can be freed.
///
/// The search is greedy: it repeatedly takes the candidate on which one more task costs the least.
pub(crate) fn choose_victims<F>(
    candidates: &[WorkerCandidate],
    index: &VictimIndex,
    need: &TaskNeed,
    count: usize,
    counts: &StepCounts,
    allowed: F,
) -> Option<PreemptionPlan>
where
    F: Fn(&WorkerCandidate) -> bool,
{
    let mut entries = Vec::new();
    let mut positions = vec![usize::MAX; candidates.len()];
    let mut possible = 0;
    for (number, candidate) in candidates.iter().enumerate() {
        if !allowed(candidate) || !need.allows(candidate) {
            continue;
        }
        let spread_left = need.spread_limit.map_or(usize::MAX, |limit| {
            limit.saturating_sub(counts.get(&candidate.worker).copied().unwrap_or(0))
        });
        let freeable = candidate.free + index.freeable[number];
        possible += freeable.count_fitting(&need.amount, count).min(spread_left);
        positions[number] = entries.len();
        entries.push(SearchEntry {
            index: number,
            free: candidate.free,
            spread_left,
            suspect: candidate.suspect,
            offer: None,
        });
    }
    if possible < count {
        return None;
    }
    let mut taken = vec![false; index.victims.len()];
    for entry in &mut entries {
        entry.offer = task_offer(entry, index, &taken, need);
    }
    let mut plan = PreemptionPlan {
        candidates: Vec::with_capacity(count),
        victims: Vec::new(),
        cost: 0,
    };
    while plan.candidates.len() < count {
        let offers = entries.iter().enumerate();
        let offers = offers.filter_map(|(position, entry)| {
            let (cost, groups) = entry.offer?;
            Some((cost, entry.suspect, position, groups))
        });
        let (cost, _, position, groups) = offers.min()?;
        let number = entries[position].index;
        let mut changed = vec![position];
        for (group, _) in &index.by_candidate[number][..groups] {
            if std::mem::replace(&mut taken[*group], true) {
                continue;
            }
            plan.victims.push(*group);
            for (candidate, amount) in &index.victims[*group].frees {
                let position = positions[*candidate];
                if let Some(entry) = entries.get_mut(position) {
                    entry.free += *amount;
                    changed.push(position);
                }
            }
        }
        entries[position].free -= need.amount;
        entries[position].spread_left -= 1;
        changed.sort_unstable();
        changed.dedup();
        for position in changed {
            entries[position].offer = task_offer(&entries[position], index, &taken, need);
        }
        plan.cost += cost;
        plan.candidates.push(number);
    }
    Some(plan)
}

/// Returns the cheapest way to place one more task on the candidate.
fn task_offer(entry: &SearchEntry, index: &VictimIndex, taken: &[bool], need: &TaskNeed) -> TaskOffer {
    if entry.spread_left == 0 {
        return None;
    }
    let mut free = entry.free;
    if free.covers(&need.amount) {
        return Some((0, 0));
    }
    let mut cost = 0;
    for (position, (group, amount)) in index.by_candidate[entry.index].iter().enumerate() {
        if taken[*group] {
            continue;
        }
        free += *amount;
        cost += index.victims[*group].cost;
        if free.covers(&need.amount) {
            return Some((cost, position + 1));
        }
    }
    None
}
