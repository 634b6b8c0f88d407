use std::collections::HashMap;
use std::sync::Arc;

/// Number of a worker label in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LabelId(usize);

/// Label that a task requires of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequiredLabel {
    Any,
    Known(LabelId),
    /// No worker has had this label so far.
    Unknown,
}

impl RequiredLabel {
    /// Returns whether a worker with these labels may run the task.
    pub(crate) fn is_met_by(self, labels: &[LabelId]) -> bool {
        match self {
            Self::Any => true,
            Self::Known(label) => labels.contains(&label),
            Self::Unknown => false,
        }
    }
}

/// Numbers the labels of the workers, so that decisions compare numbers instead of names.
#[derive(Debug, Default)]
pub(crate) struct LabelIndex {
    ids: HashMap<Arc<str>, LabelId>,
}

impl LabelIndex {
    /// Returns the numbers of the labels of a worker; a new label gets the next one.
    pub(crate) fn ids(&mut self, labels: &[Arc<str>]) -> Arc<[LabelId]> {
        let ids = labels.iter().map(|label| {
            let next = LabelId(self.ids.len());
            *self.ids.entry(label.clone()).or_insert(next)
        });
        ids.collect()
    }

    /// Looks up the label that a step requires; empty for none. Labels of jobs are not added, so that the index
    /// grows with the workers only.
    pub(crate) fn required(&self, label: &str) -> RequiredLabel {
        if label.is_empty() {
            return RequiredLabel::Any;
        }
        self.ids
            .get(label)
            .map_or(RequiredLabel::Unknown, |id| RequiredLabel::Known(*id))
    }
}
