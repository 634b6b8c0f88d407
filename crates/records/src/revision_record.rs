use arbutuspick_model::{ConfigChange, ConfigRevision, OwnerName, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};

use crate::ProposalId;

/// Row `config/head`: latest revision of the configuration, 0 without the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Latest revision.
    pub revision: ConfigRevision,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Row `config/rev/{n}`: the change of one revision; immutable.
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
