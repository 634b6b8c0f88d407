use arbutuspick_model::{ConfigChange, ConfigRevision, OwnerName, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};

use crate::ProposalId;

/// Row `config/head`: highest revision of the configuration. Without the row it is 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Highest revision.
    pub revision: ConfigRevision,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Row `config/rev/{n}`: the change of one revision; never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Change.
    pub change: ConfigChange,
    /// Proposal that was accepted.
    pub proposal: ProposalId,
    /// Owner of the month who accepted it.
    pub accepted_by: OwnerName,
    /// Platform time at which the acceptance was planned.
    pub accepted_at: PlatformTime,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}
