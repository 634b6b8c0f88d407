use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::{AccountName, CallerKey, RefusalReason};
use arbutuspick_peer::{ClaimAnswer, ClaimQuery, ClaimState};
use arbutuspick_records::BodyDigest;
use parking_lot::Mutex;
use tokio::time::timeout;

use super::claim_entry::{ClaimEntry, ClaimResolution};

/// Largest number of registered claims, including those whose resolution is still being recorded.
const MAX_CLAIMS: usize = 4_096;
/// Longest time that a query of a peer waits for a claim to be resolved.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(500);

type ClaimKey = (AccountName, CallerKey);

/// Result of registering a claim in this process.
#[derive(Debug)]
pub(crate) enum ClaimRegistration {
    /// The claim is registered; its entry is removed once the resolution is recorded.
    New(Arc<ClaimEntry>),
    /// Another request of this process has claimed the key.
    Existing(Arc<ClaimEntry>),
    /// The registry holds the largest number of claims.
    Full,
}

/// Claims of this process whose resolution is not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct ClaimRegistry {
    claims: Mutex<HashMap<ClaimKey, Arc<ClaimEntry>>>,
}

impl ClaimRegistry {
    /// Registers a claim, unless another request of this process has claimed the key.
    pub(crate) fn register(
        &self,
        account: &AccountName,
        key: &CallerKey,
        digest: BodyDigest,
    ) -> ClaimRegistration {
        let mut claims = self.claims.lock();
        let claim_key = (account.clone(), key.clone());
        if let Some(entry) = claims.get(&claim_key) {
            return ClaimRegistration::Existing(Arc::clone(entry));
        }
        if claims.len() >= MAX_CLAIMS {
            return ClaimRegistration::Full;
        }
        let entry = Arc::new(ClaimEntry::new(digest));
        claims.insert(claim_key, Arc::clone(&entry));
        ClaimRegistration::New(entry)
    }

    /// Removes a claim whose resolution is recorded.
    pub(crate) fn remove(&self, account: &AccountName, key: &CallerKey) {
        self.claims.lock().remove(&(account.clone(), key.clone()));
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.lock().len()
    }

    /// Answers a peer that found a claim row of this process; waits a short time for the resolution.
    pub(crate) async fn handle_query(&self, query: &ClaimQuery) -> ClaimAnswer {
        let names = (
            AccountName::try_from(query.account.as_str()),
            CallerKey::try_from(query.key.as_str()),
        );
        let (Ok(account), Ok(key)) = names else {
            return encode_claim_answer(ClaimState::Forgotten, None);
        };
        let entry = self.claims.lock().get(&(account, key)).cloned();
        let Some(entry) = entry else {
            return encode_claim_answer(ClaimState::Forgotten, None);
        };
        match timeout(MAX_QUERY_WAIT, entry.resolved()).await {
            Ok(ClaimResolution::NotClaimed) => encode_claim_answer(ClaimState::Forgotten, None),
            Ok(resolution) => encode_claim_answer(ClaimState::Ended, Some(&resolution)),
            Err(_) => encode_claim_answer(ClaimState::InFlight, None),
        }
    }
}

/// Encodes the resolution of a claim; a withdrawn claim has no outcome.
fn encode_claim_answer(state: ClaimState, resolution: Option<&ClaimResolution>) -> ClaimAnswer {
    let outcome = match resolution {
        Some(ClaimResolution::Finished(outcome)) => serde_json::to_string(outcome).ok(),
        Some(ClaimResolution::NotRun(_) | ClaimResolution::NotClaimed) | None => None,
    };
    ClaimAnswer {
        state: state.into(),
        outcome_json: outcome.unwrap_or_default(),
    }
}

/// Decodes the answer of a claimant; `None` while the claim is unresolved or the answer is invalid.
pub(crate) fn decode_claim_answer(answer: &ClaimAnswer) -> Option<ClaimResolution> {
    if answer.state() != ClaimState::Ended {
        return None;
    }
    if answer.outcome_json.is_empty() {
        return Some(ClaimResolution::NotRun(RefusalReason::PlatformUnavailable));
    }
    serde_json::from_str(&answer.outcome_json)
        .inspect_err(|error| log::warn!("[peer] claim answer with an invalid outcome ignored: {error}"))
        .ok()
        .map(ClaimResolution::Finished)
}
