use std::collections::BTreeMap;

use arbutuspick_model::{CentreName, JobSpec};
use arbutuspick_sched::{PlacementSummary, choose_centre};

use crate::config::CentreView;
use crate::daemon::EntryContext;

/// Chooses a data centre for a job among those that accept work; `None` if no data centre does.
///
/// Without a fresh summary this VM's data centre is preferred, whose holder can still move the job.
pub(crate) fn choose_data_centre(context: &EntryContext, spec: &JobSpec) -> Option<CentreName> {
    let views = context.centres.views();
    let is_open = |centre: &CentreName| views.get(centre).is_some_and(CentreView::accepts_work);
    let local_centre = &context.settings.data_centre;
    choose_by_summary(context, spec, |_| true)
        .or_else(|| is_open(local_centre).then(|| local_centre.clone()))
        .or_else(|| views.keys().find(|centre| is_open(centre)).cloned())
}

/// Chooses another data centre for a job that has to leave one; `None` if no fresh summary has a match.
pub(crate) fn choose_other_centre(
    context: &EntryContext,
    spec: &JobSpec,
    leaving: &CentreName,
) -> Option<CentreName> {
    choose_by_summary(context, spec, |centre| centre != leaving)
}

fn choose_by_summary<Filter>(context: &EntryContext, spec: &JobSpec, filter: Filter) -> Option<CentreName>
where
    Filter: Fn(&CentreName) -> bool,
{
    let views = context.centres.views();
    let summaries = context.summaries.fresh(context.clock.now()).into_iter();
    let open: BTreeMap<CentreName, PlacementSummary> = summaries
        .filter(|(centre, _)| filter(centre) && views.get(centre).is_some_and(CentreView::accepts_work))
        .map(|(centre, known)| (centre, known.summary))
        .collect();
    let config = context.config.load();
    let account = config.accounts.get(&spec.account);
    let guarantees = account
        .map(|account| account.guarantees.as_slice())
        .unwrap_or_default();
    choose_centre(spec, &open, guarantees)
}
