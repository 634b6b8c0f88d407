use arbutuspick_model::JobId;

use crate::key_record::claim_error::KeyReusedSnafu;
use crate::{BodyDigest, ClaimError, ClaimOutcome, ClaimState, KeyRecord, KeyUsage, VmIdentity};

/// What the row of a key means for a request that came with the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key may be claimed.
    Fresh,
    /// This process holds the claim; only the task that made it may send the request.
    Mine,
    /// The outcome is recorded and is returned to the caller.
    Replay(ClaimOutcome),
    /// Another process holds the claim; it is asked for the outcome, and the request is never sent here.
    ClaimedElsewhere(VmIdentity),
}

/// Judges the row of a key for a request, or fails when the key came with a different body.
///
/// ```
/// use arbutuspick_model::VmName;
/// use arbutuspick_records::{judge_claim, BodyDigest, ClaimVerdict, VmIdentity};
/// let process = VmIdentity::generate(VmName::try_from("trent-1")?);
/// let digest = BodyDigest::of(&[b"{}"]);
/// assert_eq!(judge_claim(None, digest, &process), Ok(ClaimVerdict::Fresh));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub fn judge_claim(
    row: Option<&KeyRecord>,
    digest: BodyDigest,
    process: &VmIdentity,
) -> Result<ClaimVerdict, ClaimError> {
    let Some(record) = row else {
        return Ok(ClaimVerdict::Fresh);
    };
    snafu::ensure!(record.digest == digest, KeyReusedSnafu);
    let KeyUsage::Claim { claimant, state } = &record.usage else {
        return KeyReusedSnafu.fail();
    };
    Ok(match state {
        ClaimState::Withdrawn => ClaimVerdict::Fresh,
        ClaimState::Finished { outcome } => ClaimVerdict::Replay(outcome.clone()),
        ClaimState::Claimed if claimant == process => ClaimVerdict::Mine,
        ClaimState::Claimed => ClaimVerdict::ClaimedElsewhere(claimant.clone()),
    })
}

/// Returns the job that was submitted with a key, or fails when the key came with a different body.
pub fn judge_submission(row: Option<&KeyRecord>, digest: BodyDigest) -> Result<Option<JobId>, ClaimError> {
    let Some(record) = row else {
        return Ok(None);
    };
    snafu::ensure!(record.digest == digest, KeyReusedSnafu);
    match record.usage {
        KeyUsage::Job { job } => Ok(Some(job)),
        KeyUsage::Claim { .. } => KeyReusedSnafu.fail(),
    }
}
