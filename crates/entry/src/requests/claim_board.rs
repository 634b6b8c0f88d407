use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::{AccountName, CallerKey, RefusalReason};
use arbutuspick_peer::{ClaimAnswer, ClaimQuery, ClaimState};
use arbutuspick_records::BodyDigest;
use parking_lot::Mutex;
use tokio::time::timeout;

use super::claim_entry::{ClaimEnd, ClaimEntry};

/// Most claims at once, those that are being recorded included.
const MAX_CLAIMS: usize = 4_096;
/// Time for which a peer's query waits for the end of a claim.
const QUERY_WAIT: Duration = Duration::from_millis(500);

type ClaimKey = (AccountName, CallerKey);

/// Whether a request may claim its key in this process.
#[derive(Debug)]
pub(crate) enum ClaimPlace {
    /// It may; the entry is removed when the claim is recorded.
    New(Arc<ClaimEntry>),
    /// Another request of this process has the key.
    Taken(Arc<ClaimEntry>),
    /// The board is full.
    Full,
}

/// Claims of this process whose end is not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct ClaimBoard {
    claims: Mutex<HashMap<ClaimKey, Arc<ClaimEntry>>>,
}

impl ClaimBoard {
    /// Enters a claim, unless another request of this process has the key.
    pub(crate) fn enter(&self, account: &AccountName, key: &CallerKey, digest: BodyDigest) -> ClaimPlace {
        let mut claims = self.claims.lock();
        let claim_key = (account.clone(), key.clone());
        if let Some(entry) = claims.get(&claim_key) {
            return ClaimPlace::Taken(Arc::clone(entry));
        }
        if claims.len() >= MAX_CLAIMS {
            return ClaimPlace::Full;
        }
        let entry = Arc::new(ClaimEntry::new(digest));
        claims.insert(claim_key, Arc::clone(&entry));
        ClaimPlace::New(entry)
    }

    /// Removes a claim whose end is recorded.
    pub(crate) fn remove(&self, account: &AccountName, key: &CallerKey) {
        self.claims.lock().remove(&(account.clone(), key.clone()));
    }

    /// Returns the number of claims.
    pub(crate) fn len(&self) -> usize {
        self.claims.lock().len()
    }

    /// Answers a peer that found a claim of this process; waits a little for its end.
    pub(crate) async fn answer(&self, query: &ClaimQuery) -> ClaimAnswer {
        let names = (
            AccountName::try_from(query.account.as_str()),
            CallerKey::try_from(query.key.as_str()),
        );
        let (Ok(account), Ok(key)) = names else {
            return claim_answer(ClaimState::Forgotten, None);
        };
        let entry = self.claims.lock().get(&(account, key)).cloned();
        let Some(entry) = entry else {
            return claim_answer(ClaimState::Forgotten, None);
        };
        match timeout(QUERY_WAIT, entry.ended()).await {
            Ok(ClaimEnd::LookAgain) => claim_answer(ClaimState::Forgotten, None),
            Ok(end) => claim_answer(ClaimState::Ended, Some(&end)),
            Err(_) => claim_answer(ClaimState::InFlight, None),
        }
    }
}

/// Encodes the end of a claim; a withdrawn claim has no outcome.
fn claim_answer(state: ClaimState, end: Option<&ClaimEnd>) -> ClaimAnswer {
    let outcome = match end {
        Some(ClaimEnd::Finished(outcome)) => serde_json::to_string(outcome).ok(),
        Some(ClaimEnd::NotRun(_) | ClaimEnd::LookAgain) | None => None,
    };
    ClaimAnswer {
        state: state.into(),
        outcome_json: outcome.unwrap_or_default(),
    }
}

/// Reads the answer of a claimant; nothing while the end is not known.
pub(crate) fn claim_end(answer: &ClaimAnswer) -> Option<ClaimEnd> {
    if answer.state() != ClaimState::Ended {
        return None;
    }
    if answer.outcome_json.is_empty() {
        return Some(ClaimEnd::NotRun(RefusalReason::PlatformUnavailable));
    }
    serde_json::from_str(&answer.outcome_json)
        .inspect_err(|error| log::warn!("[peer] a claimant sent an invalid outcome: {error}"))
        .ok()
        .map(ClaimEnd::Finished)
}
