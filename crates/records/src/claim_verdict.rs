use arbutuspick_model::JobId;

use crate::key_record::claim_error::KeyReusedSnafu;
use crate::{BodyDigest, ClaimError, ClaimOutcome, ClaimState, KeyRecord, KeyUsage, VmIdentity};

/// Result of looking up an idempotency key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key is unclaimed and may be claimed.
    Fresh,
    /// This process holds the claim; only the task that claimed it may send the request.
    Mine,
    /// The outcome is recorded and is replayed to the caller.
    Replay(ClaimOutcome),
    /// Another process holds the claim and is asked for the outcome; this process must not send the request.
    ClaimedElsewhere(VmIdentity),
}

/// Looks up the claim state for a request; fails if the key was used with a different body.
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

/// Returns the job submitted with a key; fails if the key was used with a different body.
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
