use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arbutuspick_model::{ClockTime, UpstreamName};

use crate::RequestKind;
use crate::ejection_timer::EjectionPhase;
use crate::random_source::RandomSource;
use crate::slot_permit::AcquiredSlot;
use crate::upstream_state::UpstreamState;

/// Upstreams of one service that form one selection pool: those of the own data centre, or all others.
#[derive(Debug, Default)]
pub(crate) struct CandidateGroup {
    pub(crate) members: Vec<Arc<UpstreamState>>,
    /// Try-lock for the first ejection of a member and for readmitting the excess, so that concurrent
    /// failures do not eject more than half. The result of a probe, which ends or extends an ejection,
    /// is applied without it.
    ejection_lock: AtomicBool,
}

/// Selection parameters of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupQuery<'query> {
    pub(crate) kind: RequestKind,
    /// Upstreams that the request has already tried.
    pub(crate) excluded: &'query [UpstreamName],
    /// Number of connections that this entry VM may have to one upstream.
    pub(crate) connection_cap: u32,
    pub(crate) now: ClockTime,
}

/// Result of a selection within one group.
#[derive(Debug)]
pub(crate) struct GroupSelection {
    pub(crate) slot: Option<AcquiredSlot>,
    /// Whether any member is live.
    pub(crate) any_live: bool,
    /// Whether any member is live, admitted and not excluded.
    pub(crate) any_admitted: bool,
}

/// Live members of a group, classified for one request.
#[derive(Debug, Default)]
struct GroupScan<'group> {
    live: usize,
    ejected: usize,
    any_admitted: bool,
    /// Admitted members with a free slot that are not excluded.
    candidates: Vec<&'group Arc<UpstreamState>>,
    /// Ejected members whose probe is due.
    due_probes: Vec<&'group Arc<UpstreamState>>,
}

impl CandidateGroup {
    /// Acquires a slot of a member whose probe is due, or else of the preferred of two random candidates.
    pub(crate) fn select(&self, query: GroupQuery<'_>, random: &RandomSource) -> GroupSelection {
        let mut scan = self.scan(query);
        if scan.ejected * 2 > scan.live {
            self.readmit_excess(query.now);
            scan = self.scan(query);
        }
        let GroupScan {
            live,
            any_admitted,
            candidates,
            due_probes,
            ..
        } = scan;
        // Retries are never probes, so a request loses at most one attempt to a probe.
        let may_probe = query.kind.is_idempotent() && query.excluded.is_empty();
        let mut due_probes = due_probes.into_iter().filter(|_| may_probe);
        let probe = due_probes.find_map(|member| acquire_probe(member, query.connection_cap, query.now));
        GroupSelection {
            slot: probe.or_else(|| acquire_preferred(candidates, query, random)),
            any_live: live > 0,
            any_admitted,
        }
    }

    fn scan(&self, query: GroupQuery<'_>) -> GroupScan<'_> {
        let mut scan = GroupScan {
            candidates: Vec::with_capacity(self.members.len()),
            ..GroupScan::default()
        };
        for member in self.members.iter().filter(|member| member.is_live(query.now)) {
            scan.live += 1;
            let excluded = query.excluded.contains(&member.entry.name);
            match member.ejection.phase(query.now) {
                EjectionPhase::Admitted if excluded => {}
                EjectionPhase::Admitted => {
                    scan.any_admitted = true;
                    if member.slots.load().has_room(query.connection_cap) {
                        scan.candidates.push(member);
                    }
                }
                EjectionPhase::Ejected => scan.ejected += 1,
                EjectionPhase::ProbeDue => {
                    scan.ejected += 1;
                    scan.due_probes.push(member);
                }
            }
        }
        scan
    }

    /// Ejects the member unless more than half of the live members would then be ejected.
    ///
    /// Does nothing while another thread holds the ejection lock; the next failure tries again.
    pub(crate) fn eject(&self, upstream: &UpstreamState, now: ClockTime) {
        self.with_ejection_lock(|| {
            let (live, ejected) = self.count_ejected(now);
            if !upstream.ejection.is_ejected() && (ejected + 1) * 2 <= live {
                upstream.ejection.eject(now);
            }
        });
    }

    /// Ends the oldest ejections when more than half of the live members are ejected.
    ///
    /// This can happen when members leave or stop responding after others were ejected.
    fn readmit_excess(&self, now: ClockTime) {
        self.with_ejection_lock(|| {
            let (live, ejected) = self.count_ejected(now);
            let mut members: Vec<_> = self.ejected_members(now).collect();
            members.sort_by_key(|member| member.ejection.ejected_until());
            for member in members.into_iter().take(ejected.saturating_sub(live / 2)) {
                member.ejection.readmit(now);
            }
        });
    }

    /// Runs `change` unless another thread holds the ejection lock.
    fn with_ejection_lock<Change>(&self, change: Change)
    where
        Change: FnOnce(),
    {
        if !self.ejection_lock.swap(true, Ordering::AcqRel) {
            change();
            self.ejection_lock.store(false, Ordering::Release);
        }
    }

    /// Returns the numbers of live members and of ejected live members.
    fn count_ejected(&self, now: ClockTime) -> (usize, usize) {
        let live = self.members.iter().filter(|member| member.is_live(now)).count();
        (live, self.ejected_members(now).count())
    }

    fn ejected_members(&self, now: ClockTime) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.members
            .iter()
            .filter(move |member| member.is_live(now) && member.ejection.is_ejected())
    }
}

/// Acquires a slot for the probe of an ejected upstream when it is due and no other probe is in flight.
pub(crate) fn acquire_probe(
    member: &Arc<UpstreamState>,
    connection_cap: u32,
    now: ClockTime,
) -> Option<AcquiredSlot> {
    if !member.ejection.try_start_probe(now) {
        return None;
    }
    let generation = member.slots.try_acquire(connection_cap);
    if generation.is_none() {
        member.ejection.end_probe();
    }
    generation.map(|generation| AcquiredSlot {
        upstream: Arc::clone(member),
        generation,
        is_probe: true,
    })
}

/// Acquires a slot of the preferred of two random candidates (power of two choices).
///
/// Selects again among the others when another thread has acquired the last slot of the preferred one.
fn acquire_preferred(
    mut candidates: Vec<&Arc<UpstreamState>>,
    query: GroupQuery<'_>,
    random: &RandomSource,
) -> Option<AcquiredSlot> {
    while !candidates.is_empty() {
        let chosen = pick_preferred(&candidates, random);
        let upstream = candidates.swap_remove(chosen);
        if let Some(generation) = upstream.slots.try_acquire(query.connection_cap) {
            return Some(AcquiredSlot {
                upstream: Arc::clone(upstream),
                generation,
                is_probe: false,
            });
        }
    }
    None
}

fn pick_preferred(candidates: &[&Arc<UpstreamState>], random: &RandomSource) -> usize {
    let first = random.next_below(candidates.len());
    if candidates.len() == 1 {
        return first;
    }
    let distance = 1 + random.next_below(candidates.len() - 1);
    let second = (first + distance) % candidates.len();
    if candidates[second].is_preferred_over(candidates[first]) {
        second
    } else {
        first
    }
}
