use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{CallError, CallPriority, UpstreamResponse};
use arbutuspick_model::{CallerKey, ClockTime, RefusalReason, UnknownReason, WriteId};
use arbutuspick_peer::{ClaimQuery, PeerMessage};
use arbutuspick_records::{
    BodyDigest, ClaimLookup, ClaimOutcome, CommitResolution, KeyRecord, PlannedChange, ProcessIdentity,
    RequestClaim, Versioned, look_up_claim,
};
use tokio::time::{sleep, timeout_at};

use super::claim_entry::{ClaimEntry, ClaimResolution};
use super::claim_registry::{ClaimRegistration, decode_claim_answer};
use super::recorded_response::{load_response, store_response};
use super::{RouteOutcome, ServiceRequest};
use crate::daemon::EntryContext;
use crate::table::{KEY_RETENTION_MS, commit, read_rows};

/// Time limit for committing a claim, including retries and read-backs after a lost response.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Time limit of one attempt to record a resolution, including retries and read-backs.
const RECORD_TIMEOUT_MS: u64 = 5_000;
/// Attempts to record a resolution. With a back-off of up to 5 s they cover an outage of about ten minutes.
const MAX_RECORD_ATTEMPTS: u32 = 120;
/// Time limit of one query to a claimant.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two reads of a claim row that another process holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A non-idempotent request with an idempotency key, and the claim to commit before it is sent.
struct KeyedRequest {
    context: Arc<EntryContext>,
    request: ServiceRequest,
    claim: RequestClaim,
}

/// Why a claim was not committed.
enum ClaimFailure {
    /// The key has an outcome already or cannot be claimed; the request ends with this.
    Ended(KeyedOutcome),
    /// Another process holds the claim.
    ClaimedElsewhere(ProcessIdentity),
}

/// Outcome of a request with an idempotency key.
pub(crate) enum KeyedOutcome {
    /// The outcome of sending the request, as without a key.
    Routed(RouteOutcome),
    /// The key was used with a different body before.
    KeyReused,
}

/// Runs a non-idempotent request with a key at most once among all entry VMs.
///
/// The request continues when the caller disconnects, so that its outcome is recorded.
pub(crate) async fn run_keyed(
    context: &Arc<EntryContext>,
    request: ServiceRequest,
    key: CallerKey,
) -> KeyedOutcome {
    let Some(now) = context.table.platform_time() else {
        return key_unresolved();
    };
    let claim = RequestClaim {
        account: request.account.clone(),
        key,
        digest: BodyDigest::of(&[b"POST", request.service.as_str().as_bytes(), &request.body]),
        claimant: context.identity.clone(),
        delete_after: now + KEY_RETENTION_MS,
        write_id: WriteId::generate(),
    };
    let keyed = KeyedRequest {
        context: Arc::clone(context),
        request,
        claim,
    };
    loop {
        match context
            .claims
            .register(&keyed.claim.account, &keyed.claim.key, keyed.claim.digest)
        {
            ClaimRegistration::Full => return key_unresolved(),
            ClaimRegistration::Existing(entry) if entry.digest != keyed.claim.digest => {
                return KeyedOutcome::KeyReused;
            }
            ClaimRegistration::Existing(entry) => {
                if let Some(outcome) = keyed.wait_for_local(&entry).await {
                    return outcome;
                }
            }
            ClaimRegistration::New(entry) => {
                let work = crate::api::in_current_request(keyed.run(entry));
                let outcome = context.stop.tracker.spawn(work).await;
                return outcome.unwrap_or_else(|_| unknown(UnknownReason::ConnectionLost));
            }
        }
    }
}

/// Outcome when the key could not be looked up: this call sent nothing, but an earlier one may have run.
fn key_unresolved() -> KeyedOutcome {
    unknown(UnknownReason::KeyUnresolved)
}

fn not_run(reason: RefusalReason) -> KeyedOutcome {
    KeyedOutcome::Routed(RouteOutcome::NotRun(reason))
}

fn unknown(reason: UnknownReason) -> KeyedOutcome {
    KeyedOutcome::Routed(RouteOutcome::Unknown(reason))
}

impl KeyedRequest {
    /// Commits the claim and sends the request, or returns the outcome that the key already has.
    async fn run(self, entry: Arc<ClaimEntry>) -> KeyedOutcome {
        loop {
            match self.commit_claim(&entry).await {
                Ok(row) => return self.send(entry, row).await,
                Err(ClaimFailure::Ended(outcome)) => {
                    self.unregister_unclaimed(&entry);
                    return outcome;
                }
                Err(ClaimFailure::ClaimedElsewhere(claimant)) => {
                    if let Some(outcome) = self.wait_for_claimant(&claimant).await {
                        self.unregister_unclaimed(&entry);
                        return outcome;
                    }
                }
            }
        }
    }

    /// Waits for the request of this process that claimed the key; `None` when it committed no claim.
    async fn wait_for_local(&self, entry: &ClaimEntry) -> Option<KeyedOutcome> {
        let deadline = self.context.clock.instant(self.request.deadline);
        match timeout_at(deadline, entry.resolved()).await {
            Ok(ClaimResolution::Finished(outcome)) => Some(self.replay(&outcome).await),
            Ok(ClaimResolution::NotRun(RefusalReason::PlatformUnavailable)) => Some(key_unresolved()),
            Ok(ClaimResolution::NotRun(reason)) => Some(not_run(reason)),
            Ok(ClaimResolution::NotClaimed) => None,
            Err(_) => Some(unknown(UnknownReason::ClaimedElsewhere)),
        }
    }

    /// Removes a request that committed no claim from the registry.
    fn unregister_unclaimed(&self, entry: &ClaimEntry) {
        // A claim that is being withdrawn stays registered until the withdrawal is recorded.
        if entry.resolution().is_none() {
            self.context.claims.remove(&self.claim.account, &self.claim.key);
            entry.resolve(ClaimResolution::NotClaimed);
        }
    }

    /// Commits the claim row; the request may be sent only if the commit is confirmed.
    async fn commit_claim(&self, entry: &Arc<ClaimEntry>) -> Result<Versioned<KeyRecord>, ClaimFailure> {
        let Self {
            context,
            request,
            claim,
        } = self;
        let mut row: Option<Versioned<KeyRecord>> = None;
        loop {
            let now = context.clock.now();
            if now >= request.deadline {
                return Err(ClaimFailure::Ended(key_unresolved()));
            }
            let change = claim
                .claim(row.as_ref())
                .map_err(|_| ClaimFailure::Ended(KeyedOutcome::KeyReused))?;
            let deadline = request.deadline.min(now + CLAIM_TIMEOUT_MS);
            match commit(
                &context.table,
                &change.transaction,
                CallPriority::KeyedRequest,
                deadline,
            )
            .await
            {
                CommitResolution::Committed { version } => return Ok(change.committed(version)),
                CommitResolution::NotSent => {
                    return Err(ClaimFailure::Ended(key_unresolved()));
                }
                CommitResolution::Unresolved => {
                    self.spawn_withdrawal(Arc::clone(entry));
                    return Err(ClaimFailure::Ended(key_unresolved()));
                }
                CommitResolution::Conflict { .. } | CommitResolution::Overwritten => {}
            }
            row = self.read_claimable_row().await?;
        }
    }

    /// Reads the row of the key; fails if the key cannot be claimed.
    async fn read_claimable_row(&self) -> Result<Option<Versioned<KeyRecord>>, ClaimFailure> {
        let row = match self.read_row().await {
            Ok(row) => row,
            // Another process may hold the claim, so "not run" would be wrong.
            Err(_) => return Err(ClaimFailure::Ended(unknown(UnknownReason::ClaimedElsewhere))),
        };
        let record = row.as_ref().map(|row| &row.record);
        match look_up_claim(record, self.claim.digest, &self.claim.claimant) {
            Ok(ClaimLookup::Unclaimed) => Ok(row),
            Ok(ClaimLookup::Replay(outcome)) => Err(ClaimFailure::Ended(self.replay(&outcome).await)),
            Ok(ClaimLookup::ClaimedElsewhere(claimant)) => Err(ClaimFailure::ClaimedElsewhere(claimant)),
            // An earlier request of this process could not record its resolution.
            Ok(ClaimLookup::ClaimedHere) => Err(ClaimFailure::Ended(unknown(UnknownReason::WriteUnresolved))),
            Err(_) => Err(ClaimFailure::Ended(KeyedOutcome::KeyReused)),
        }
    }

    async fn read_row(&self) -> Result<Option<Versioned<KeyRecord>>, CallError> {
        let key = self.claim.row_key();
        let rows = read_rows(
            &self.context.table,
            std::slice::from_ref(&key),
            CallPriority::KeyedRequest,
        )
        .await?;
        rows.get(&key).map_err(|error| CallError::Rejected {
            status: 0,
            message: error.to_string(),
        })
    }

    /// Queries the claimant for the outcome until the deadline; `None` when the key can be claimed again.
    async fn wait_for_claimant(&self, claimant: &ProcessIdentity) -> Option<KeyedOutcome> {
        let Self {
            context,
            request,
            claim,
        } = self;
        loop {
            let query = PeerMessage::ClaimQuery(ClaimQuery {
                account: claim.account.as_str().into(),
                key: claim.key.as_str().into(),
            });
            let query_timeout = remaining_time(context, request.deadline).min(QUERY_TIMEOUT);
            let reply = context.peers.request(&claimant.vm, query, query_timeout).await;
            if let Ok(PeerMessage::ClaimAnswer(answer)) = &reply
                && let Some(ClaimResolution::Finished(outcome)) = decode_claim_answer(answer)
            {
                return Some(self.replay(&outcome).await);
            }
            if remaining_time(context, request.deadline).is_zero() {
                return Some(unknown(UnknownReason::ClaimedElsewhere));
            }
            sleep(remaining_time(context, request.deadline).min(CLAIM_POLL_INTERVAL)).await;
            match self.read_claimable_row().await {
                Ok(_) => return None,
                Err(ClaimFailure::ClaimedElsewhere(_)) => {}
                // The row cannot be read while the platform is unavailable; the claimant is queried again.
                Err(ClaimFailure::Ended(KeyedOutcome::Routed(RouteOutcome::Unknown(
                    UnknownReason::ClaimedElsewhere,
                )))) => {}
                Err(ClaimFailure::Ended(outcome)) => return Some(outcome),
            }
        }
    }

    /// Sends the request under a committed claim; its outcome is recorded in the background.
    async fn send(self, entry: Arc<ClaimEntry>, row: Versioned<KeyRecord>) -> KeyedOutcome {
        let outcome = self.context.router.run(&self.request).await;
        let returned = outcome.clone();
        let tracker = self.context.stop.tracker.clone();
        tracker.spawn(crate::api::in_current_request(
            self.record_outcome(entry, row, outcome),
        ));
        KeyedOutcome::Routed(returned)
    }

    /// Records the outcome of a request that was sent, until it is recorded or the claim is no longer held.
    async fn record_outcome(self, entry: Arc<ClaimEntry>, row: Versioned<KeyRecord>, routed: RouteOutcome) {
        let outcome = match &routed {
            RouteOutcome::NotRun(reason) => {
                entry.resolve(ClaimResolution::NotRun(*reason));
                return self.withdraw(Some(row)).await;
            }
            RouteOutcome::Unknown(reason) => Ok(ClaimOutcome::Unknown { reason: *reason }),
            RouteOutcome::Ran(response) => self.store_outcome(response).await,
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!(
                    "[api] request {}: storing the response failed, outcome recorded as unknown: {error}",
                    crate::api::current_request_id()
                );
                ClaimOutcome::Unknown {
                    reason: UnknownReason::WriteUnresolved,
                }
            }
        };
        entry.resolve(ClaimResolution::Finished(outcome.clone()));
        self.commit_until_recorded(Some(row), |claim, row| {
            let row = row?;
            claim.finish(row, outcome.clone(), WriteId::generate()).ok()
        })
        .await;
    }

    /// Stores the response of the upstream and returns the outcome to record.
    async fn store_outcome(&self, response: &UpstreamResponse) -> Result<ClaimOutcome, CallError> {
        let response = store_response(&self.context.objects, response, WriteId::generate()).await?;
        Ok(ClaimOutcome::Answered { response })
    }

    /// Withdraws a claim whose commit is unresolved, in the background.
    fn spawn_withdrawal(&self, entry: Arc<ClaimEntry>) {
        entry.resolve(ClaimResolution::NotRun(RefusalReason::PlatformUnavailable));
        let Self {
            context,
            request,
            claim,
        } = self;
        let keyed = Self {
            context: Arc::clone(context),
            request: request.clone(),
            claim: claim.clone(),
        };
        context
            .stop
            .tracker
            .spawn(crate::api::in_current_request(async move {
                keyed.withdraw(None).await;
            }));
    }

    async fn withdraw(self, row: Option<Versioned<KeyRecord>>) {
        self.commit_until_recorded(row, |claim, row| claim.withdraw(row, WriteId::generate()))
            .await;
    }

    /// Retries a change of the claim row until it is recorded or no longer needed.
    ///
    /// The first attempt is based on `known_row`, if present, and the others on the row as read.
    async fn commit_until_recorded<PlanChange>(
        &self,
        mut known_row: Option<Versioned<KeyRecord>>,
        plan_change: PlanChange,
    ) where
        PlanChange: Fn(&RequestClaim, Option<&Versioned<KeyRecord>>) -> Option<PlannedChange<KeyRecord>>,
    {
        let mut pause = Duration::from_millis(100);
        let mut recorded = false;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let row = match known_row.take() {
                Some(row) => Ok(Some(row)),
                None => self.read_row().await,
            };
            if let Ok(row) = row {
                recorded = match plan_change(&self.claim, row.as_ref()) {
                    Some(change) => self.commit_change(&change).await,
                    None => true,
                };
            }
            if recorded {
                break;
            }
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_secs(5));
        }
        if !recorded {
            log::error!(
                "[api] request {}: its claim was not resolved in {MAX_RECORD_ATTEMPTS} attempts",
                crate::api::current_request_id()
            );
        }
        self.context.claims.remove(&self.claim.account, &self.claim.key);
    }

    async fn commit_change(&self, change: &PlannedChange<KeyRecord>) -> bool {
        let Self { context, .. } = self;
        let deadline = context.clock.now() + RECORD_TIMEOUT_MS;
        let resolution = commit(
            &context.table,
            &change.transaction,
            CallPriority::KeyedRequest,
            deadline,
        )
        .await;
        matches!(resolution, CommitResolution::Committed { .. })
    }

    /// Converts a recorded outcome to the outcome of this call.
    async fn replay(&self, outcome: &ClaimOutcome) -> KeyedOutcome {
        match outcome {
            ClaimOutcome::Unknown { reason } => unknown(*reason),
            ClaimOutcome::Answered { response } => match load_response(&self.context.objects, response).await
            {
                Ok(upstream_response) => KeyedOutcome::Routed(RouteOutcome::Ran(upstream_response)),
                Err(error) => {
                    log::warn!("[api] request {}: {error}", crate::api::current_request_id());
                    unknown(UnknownReason::WriteUnresolved)
                }
            },
        }
    }
}

fn remaining_time(context: &EntryContext, deadline: ClockTime) -> Duration {
    Duration::from_millis(deadline.millis_since(context.clock.now()))
}
