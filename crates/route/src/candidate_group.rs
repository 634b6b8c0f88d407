use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arbutuspick_model::{ClockTime, UpstreamName};

use crate::RequestKind;
use crate::ejection_timer::EjectionPhase;
use crate::random_source::RandomSource;
use crate::slot_permit::SlotClaim;
use crate::upstream_state::UpstreamState;

/// Upstreams of one service that are drawn from together: those of the own data centre, or all others.
#[derive(Debug, Default)]
pub(crate) struct CandidateGroup {
    pub(crate) members: Vec<Arc<UpstreamState>>,
    /// Held while ejections change, so that concurrent failures do not eject more than half.
    ejecting: AtomicBool,
}

/// What a request asks of a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupQuery<'query> {
    pub(crate) kind: RequestKind,
    pub(crate) excluded: &'query [UpstreamName],
    pub(crate) cap: u32,
    pub(crate) now: ClockTime,
}

/// What a group had to offer to one request.
#[derive(Debug)]
pub(crate) struct GroupOffer {
    pub(crate) claim: Option<SlotClaim>,
    /// Whether any member is live.
    pub(crate) any_live: bool,
    /// Whether any member is live, admitted and not excluded.
    pub(crate) any_admitted: bool,
}

/// The live members of a group as one request sees them.
#[derive(Debug, Default)]
struct GroupSurvey<'group> {
    live: usize,
    ejected: usize,
    any_admitted: bool,
    /// Admitted members with room that are not excluded.
    candidates: Vec<&'group Arc<UpstreamState>>,
    /// Ejected members whose probe is due.
    probes: Vec<&'group Arc<UpstreamState>>,
}

impl CandidateGroup {
    /// Claims a slot: a due probe first, then the better of two random candidates with room.
    pub(crate) fn offer(&self, query: GroupQuery<'_>, random: &RandomSource) -> GroupOffer {
        let mut survey = self.survey(query);
        if survey.ejected * 2 > survey.live {
            self.readmit_excess(query.now);
            survey = self.survey(query);
        }
        let GroupSurvey {
            live,
            any_admitted,
            candidates,
            probes,
            ..
        } = survey;
        // A retry never probes, so a request loses at most one attempt to a probe.
        let may_probe = query.kind.is_idempotent() && query.excluded.is_empty();
        let mut probes = probes.into_iter().filter(|_| may_probe);
        let probe = probes.find_map(|member| claim_probe(member, query.cap, query.now));
        GroupOffer {
            claim: probe.or_else(|| claim_better(candidates, query, random)),
            any_live: live > 0,
            any_admitted,
        }
    }

    fn survey(&self, query: GroupQuery<'_>) -> GroupSurvey<'_> {
        let mut survey = GroupSurvey {
            candidates: Vec::with_capacity(self.members.len()),
            ..GroupSurvey::default()
        };
        for member in self.members.iter().filter(|member| member.is_live(query.now)) {
            survey.live += 1;
            let excluded = query.excluded.contains(&member.entry.name);
            match member.ejection.phase(query.now) {
                EjectionPhase::Admitted if excluded => {}
                EjectionPhase::Admitted => {
                    survey.any_admitted = true;
                    if member.slots.load().has_room(query.cap) {
                        survey.candidates.push(member);
                    }
                }
                EjectionPhase::Ejected => survey.ejected += 1,
                EjectionPhase::ProbeDue => {
                    survey.ejected += 1;
                    survey.probes.push(member);
                }
            }
        }
        survey
    }

    /// Ejects the member unless more than half of the live members would then be ejected.
    ///
    /// Does nothing while another thread changes ejections; the next failure tries again.
    pub(crate) fn eject(&self, upstream: &UpstreamState, now: ClockTime) {
        self.change_ejections(|| {
            let (live, ejected) = self.count_ejected(now);
            if !upstream.ejection.is_ejected() && (ejected + 1) * 2 <= live {
                upstream.ejection.eject(now);
            }
        });
    }

    /// Ends the oldest ejections when more than half of the live members are ejected.
    ///
    /// Members that leave or fall silent lower the number of live members after others were ejected.
    fn readmit_excess(&self, now: ClockTime) {
        self.change_ejections(|| {
            let (live, ejected) = self.count_ejected(now);
            let mut members: Vec<_> = self.ejected_members(now).collect();
            members.sort_by_key(|member| member.ejection.until());
            for member in members.into_iter().take(ejected.saturating_sub(live / 2)) {
                member.ejection.admit(now);
            }
        });
    }

    fn change_ejections<Change>(&self, change: Change)
    where
        Change: FnOnce(),
    {
        if !self.ejecting.swap(true, Ordering::AcqRel) {
            change();
            self.ejecting.store(false, Ordering::Release);
        }
    }

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

/// Claims the probe of an ejected upstream when it is due and no other probe is under way.
pub(crate) fn claim_probe(member: &Arc<UpstreamState>, cap: u32, now: ClockTime) -> Option<SlotClaim> {
    if !member.ejection.try_probe(now) {
        return None;
    }
    let generation = member.slots.try_take(cap);
    if generation.is_none() {
        member.ejection.end_probe();
    }
    generation.map(|generation| SlotClaim {
        upstream: Arc::clone(member),
        generation,
        probe: true,
    })
}

/// Claims the better of two random candidates, and draws again when another thread took its last slot.
fn claim_better(
    mut candidates: Vec<&Arc<UpstreamState>>,
    query: GroupQuery<'_>,
    random: &RandomSource,
) -> Option<SlotClaim> {
    while !candidates.is_empty() {
        let chosen = draw_better(&candidates, random);
        let upstream = candidates.swap_remove(chosen);
        if let Some(generation) = upstream.slots.try_take(query.cap) {
            return Some(SlotClaim {
                upstream: Arc::clone(upstream),
                generation,
                probe: false,
            });
        }
    }
    None
}

fn draw_better(candidates: &[&Arc<UpstreamState>], random: &RandomSource) -> usize {
    let first = random.below(candidates.len());
    if candidates.len() == 1 {
        return first;
    }
    let distance = 1 + random.below(candidates.len() - 1);
    let second = (first + distance) % candidates.len();
    if candidates[second].is_better_than(candidates[first]) {
        second
    } else {
        first
    }
}
