use arbutuspick_model::JobId;

use crate::key_record::claim_error::KeyReusedSnafu;
use crate::{BodyDigest, ClaimError, ClaimOutcome, ClaimState, KeyRecord, KeyUsage, ProcessIdentity};

/// Result of looking up an idempotency key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimLookup {
    /// The key is unused or its claim was withdrawn, so it may be claimed.
    Unclaimed,
    /// This process holds the claim; only the task that claimed it may send the request.
    ClaimedHere,
    /// The outcome is recorded and is replayed to the caller.
    Replay(ClaimOutcome),
    /// Another process holds the claim and is asked for the outcome; this process must not send the request.
    ClaimedElsewhere(ProcessIdentity),
}

/// Looks up the claim state for a request; fails if the key was used with a different body.
///
/// ```
/// use arbutuspick_model::VmName;
/// use arbutuspick_records::{look_up_claim, BodyDigest, ClaimLookup, ProcessIdentity};
/// let process = ProcessIdentity::generate(VmName::try_from("trent-1")?);
/// let digest = BodyDigest::of(&[b"{}"]);
/// assert_eq!(look_up_claim(None, digest, &process), Ok(ClaimLookup::Unclaimed));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
pub fn look_up_claim(
    row: Option<&KeyRecord>,
    digest: BodyDigest,
    process: &ProcessIdentity,
) -> Result<ClaimLookup, ClaimError> {
    let Some(record) = row else {
        return Ok(ClaimLookup::Unclaimed);
    };
    snafu::ensure!(record.digest == digest, KeyReusedSnafu);
    let KeyUsage::Claim { claimant, state } = &record.usage else {
        return KeyReusedSnafu.fail();
    };
    Ok(match state {
        ClaimState::Withdrawn => ClaimLookup::Unclaimed,
        ClaimState::Finished { outcome } => ClaimLookup::Replay(outcome.clone()),
        ClaimState::Claimed if claimant == process => ClaimLookup::ClaimedHere,
        ClaimState::Claimed => ClaimLookup::ClaimedElsewhere(claimant.clone()),
    })
}

/// Returns the job submitted with a key; fails if the key was used with a different body.
pub fn look_up_submission(row: Option<&KeyRecord>, digest: BodyDigest) -> Result<Option<JobId>, ClaimError> {
    let Some(record) = row else {
        return Ok(None);
    };
    snafu::ensure!(record.digest == digest, KeyReusedSnafu);
    match record.usage {
        KeyUsage::Job { job } => Ok(Some(job)),
        KeyUsage::Claim { .. } => KeyReusedSnafu.fail(),
    }
}
