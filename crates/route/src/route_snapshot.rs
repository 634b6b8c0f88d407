use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arc_swap::ArcSwap;

use crate::candidate_group::CandidateGroup;
use crate::upstream_state::UpstreamState;

/// The current snapshot, shared between a table and its permits.
pub(crate) type SharedSnapshot = Arc<ArcSwap<RouteSnapshot>>;

/// Immutable index of the upstreams of one list; the upstreams themselves are shared between snapshots.
#[derive(Debug, Default)]
pub(crate) struct RouteSnapshot {
    pub(crate) by_name: BTreeMap<UpstreamName, Arc<UpstreamState>>,
    services: HashMap<ServiceName, ServiceGroups>,
}

/// Upstreams of one service, grouped by data centre.
#[derive(Debug, Default)]
pub(crate) struct ServiceGroups {
    pub(crate) local: CandidateGroup,
    pub(crate) remote: CandidateGroup,
}

impl RouteSnapshot {
    pub(crate) fn new(by_name: BTreeMap<UpstreamName, Arc<UpstreamState>>, own_centre: &CentreName) -> Self {
        let mut services: HashMap<ServiceName, ServiceGroups> = HashMap::new();
        for upstream in by_name.values() {
            let groups = services.entry(upstream.entry.service.clone()).or_default();
            let group = if upstream.entry.data_centre == *own_centre {
                &mut groups.local
            } else {
                &mut groups.remote
            };
            group.members.push(Arc::clone(upstream));
        }
        Self { by_name, services }
    }

    pub(crate) fn groups(&self, service: &ServiceName) -> Option<&ServiceGroups> {
        self.services.get(service)
    }

    /// Ejects the upstream if it is still listed and the ejection limit of its group allows it.
    pub(crate) fn eject(&self, upstream: &Arc<UpstreamState>, now: ClockTime) {
        let Some(groups) = self.groups(&upstream.entry.service) else {
            return;
        };
        for group in [&groups.local, &groups.remote] {
            if group.members.iter().any(|member| Arc::ptr_eq(member, upstream)) {
                group.eject(upstream, now);
            }
        }
    }
}
