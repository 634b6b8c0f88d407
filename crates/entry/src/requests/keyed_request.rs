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

use super::claim_board::{ClaimPlace, claim_end};
use super::claim_entry::{ClaimEnd, ClaimEntry};
use super::recorded_answer::{record_answer, replay_answer};
use super::{RouteEnd, RouteRequest};
use crate::daemon::EntryContext;
use crate::table::{KEEP_KEY_MS, commit, read_rows};

/// Time in which a claim is repeated or read back after a lost answer, in milliseconds.
const CLAIM_LIMIT_MS: u64 = 2_000;
/// Time in which one attempt to record an end is repeated, in milliseconds.
const RECORD_LIMIT_MS: u64 = 5_000;
/// Attempts to record an end. With pauses of up to 5 s they bridge an outage of about ten minutes.
const MAX_RECORDS: u32 = 120;
/// Longest wait for the answer of a claimant.
const QUERY_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two looks at a claim that another process holds.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// A non-idempotent request with a key, and the claim that it needs.
struct KeyedRequest {
    context: Arc<EntryContext>,
    request: RouteRequest,
    claim: RequestClaim,
}

/// Why a claim was not made.
enum NoClaim {
    /// The key has an end already, or cannot be claimed.
    End(KeyedEnd),
    /// Another process holds the claim.
    Elsewhere(ProcessIdentity),
}

/// End of a request with a key.
pub(crate) enum KeyedEnd {
    /// As for any other request.
    Route(RouteEnd),
    /// The key came with a different body before.
    Reused,
}

/// Runs a non-idempotent request with a key at most once among all entry VMs.
///
/// The work goes on when the caller goes away, so that the outcome is recorded.
pub(crate) async fn run_keyed(
    context: &Arc<EntryContext>,
    request: RouteRequest,
    key: CallerKey,
) -> KeyedEnd {
    let Some(now) = context.table.platform_time() else {
        return unresolved();
    };
    let claim = RequestClaim {
        account: request.account.clone(),
        key,
        digest: BodyDigest::of(&[b"POST", request.service.as_str().as_bytes(), &request.body]),
        claimant: context.identity.clone(),
        delete_after: now + KEEP_KEY_MS,
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
            .enter(&keyed.claim.account, &keyed.claim.key, keyed.claim.digest)
        {
            ClaimPlace::Full => return unresolved(),
            ClaimPlace::Taken(entry) if entry.digest != keyed.claim.digest => return KeyedEnd::Reused,
            ClaimPlace::Taken(entry) => {
                if let Some(end) = keyed.wait_here(&entry).await {
                    return end;
                }
            }
            ClaimPlace::New(entry) => {
                let work = crate::api::in_current_request(keyed.run(entry));
                let end = context.stop.tracker.spawn(work).await;
                return end.unwrap_or_else(|_| unknown(UnknownReason::ConnectionLost));
            }
        }
    }
}

/// Ends a request whose key could not be looked up: this call sent nothing, but an earlier one may have run.
fn unresolved() -> KeyedEnd {
    unknown(UnknownReason::KeyUnresolved)
}

fn not_run(reason: RefusalReason) -> KeyedEnd {
    KeyedEnd::Route(RouteEnd::NotRun(reason))
}

fn unknown(reason: UnknownReason) -> KeyedEnd {
    KeyedEnd::Route(RouteEnd::Unknown(reason))
}

impl KeyedRequest {
    async fn run(self, entry: Arc<ClaimEntry>) -> KeyedEnd {
        loop {
            match self.make_claim(&entry).await {
                Ok(row) => return self.send(entry, row).await,
                Err(NoClaim::End(end)) => {
                    self.leave_board(&entry);
                    return end;
                }
                Err(NoClaim::Elsewhere(claimant)) => {
                    if let Some(end) = self.wait_for(&claimant).await {
                        self.leave_board(&entry);
                        return end;
                    }
                }
            }
        }
    }

    /// Waits for the request of this process that has the key; nothing when it made no claim.
    async fn wait_here(&self, entry: &ClaimEntry) -> Option<KeyedEnd> {
        let deadline = self.context.clock.instant(self.request.deadline);
        match timeout_at(deadline, entry.ended()).await {
            Ok(ClaimEnd::Finished(outcome)) => Some(self.replay(&outcome).await),
            Ok(ClaimEnd::NotRun(RefusalReason::PlatformUnavailable)) => Some(unresolved()),
            Ok(ClaimEnd::NotRun(reason)) => Some(not_run(reason)),
            Ok(ClaimEnd::LookAgain) => None,
            Err(_) => Some(unknown(UnknownReason::ClaimedElsewhere)),
        }
    }

    /// Frees the place of a request that made no claim.
    fn leave_board(&self, entry: &ClaimEntry) {
        // A claim that is being withdrawn stays on the board until the withdrawal is recorded.
        if entry.end().is_none() {
            self.context.claims.remove(&self.claim.account, &self.claim.key);
            entry.finish(ClaimEnd::LookAgain);
        }
    }

    /// Commits the claim row; the request may be sent only when it is known to have committed.
    async fn make_claim(&self, entry: &Arc<ClaimEntry>) -> Result<Versioned<KeyRecord>, NoClaim> {
        let Self {
            context,
            request,
            claim,
        } = self;
        let mut row: Option<Versioned<KeyRecord>> = None;
        loop {
            let now = context.clock.now();
            if now >= request.deadline {
                return Err(NoClaim::End(unresolved()));
            }
            let change = claim
                .claim(row.as_ref())
                .map_err(|_| NoClaim::End(KeyedEnd::Reused))?;
            let limit = request.deadline.min(now + CLAIM_LIMIT_MS);
            match commit(
                &context.table,
                &change.transaction,
                CallPriority::KeyedRequest,
                limit,
            )
            .await
            {
                CommitResolution::Committed { version } => return Ok(change.committed(version)),
                CommitResolution::NotSent => {
                    return Err(NoClaim::End(unresolved()));
                }
                CommitResolution::Unresolved => {
                    self.withdraw_later(Arc::clone(entry));
                    return Err(NoClaim::End(unresolved()));
                }
                CommitResolution::Conflict { .. } | CommitResolution::Overwritten => {}
            }
            row = self.free_row().await?;
        }
    }

    /// Reads the row of the key; fails when it may not be claimed.
    async fn free_row(&self) -> Result<Option<Versioned<KeyRecord>>, NoClaim> {
        let row = match self.read_row().await {
            Ok(row) => row,
            // Another process may hold the claim, so "not run" would be wrong.
            Err(_) => return Err(NoClaim::End(unknown(UnknownReason::ClaimedElsewhere))),
        };
        let record = row.as_ref().map(|row| &row.record);
        match look_up_claim(record, self.claim.digest, &self.claim.claimant) {
            Ok(ClaimLookup::Unclaimed) => Ok(row),
            Ok(ClaimLookup::Replay(outcome)) => Err(NoClaim::End(self.replay(&outcome).await)),
            Ok(ClaimLookup::ClaimedElsewhere(claimant)) => Err(NoClaim::Elsewhere(claimant)),
            // An earlier request of this process could not record its end in time.
            Ok(ClaimLookup::ClaimedHere) => Err(NoClaim::End(unknown(UnknownReason::WriteUnresolved))),
            Err(_) => Err(NoClaim::End(KeyedEnd::Reused)),
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

    /// Asks the claimant for the outcome until the deadline; nothing when the key became free.
    async fn wait_for(&self, claimant: &ProcessIdentity) -> Option<KeyedEnd> {
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
            let limit = remaining(context, request.deadline).min(QUERY_LIMIT);
            let answer = context.peers.request(&claimant.vm, query, limit).await;
            if let Ok(PeerMessage::ClaimAnswer(answer)) = &answer
                && let Some(ClaimEnd::Finished(outcome)) = claim_end(answer)
            {
                return Some(self.replay(&outcome).await);
            }
            if remaining(context, request.deadline).is_zero() {
                return Some(unknown(UnknownReason::ClaimedElsewhere));
            }
            sleep(remaining(context, request.deadline).min(LOOK_PAUSE)).await;
            match self.free_row().await {
                Ok(_) => return None,
                Err(NoClaim::Elsewhere(_)) => {}
                // Without the platform the claimant is asked again.
                Err(NoClaim::End(KeyedEnd::Route(RouteEnd::Unknown(UnknownReason::ClaimedElsewhere)))) => {}
                Err(NoClaim::End(end)) => return Some(end),
            }
        }
    }

    /// Sends the request under a committed claim, answers the caller and records the end.
    async fn send(self, entry: Arc<ClaimEntry>, row: Versioned<KeyRecord>) -> KeyedEnd {
        let end = self.context.router.run(&self.request).await;
        let answer = end.clone();
        let tracker = self.context.stop.tracker.clone();
        tracker.spawn(crate::api::in_current_request(self.record(entry, row, end)));
        KeyedEnd::Route(answer)
    }

    /// Records the end of a request that was sent, until it is recorded or another process decided.
    async fn record(self, entry: Arc<ClaimEntry>, row: Versioned<KeyRecord>, end: RouteEnd) {
        let outcome = match &end {
            RouteEnd::NotRun(reason) => {
                entry.finish(ClaimEnd::NotRun(*reason));
                return self.withdraw(Some(row)).await;
            }
            RouteEnd::Unknown(reason) => Ok(ClaimOutcome::Unknown { reason: *reason }),
            RouteEnd::Ran(answer) => self.recordable(answer).await,
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!(
                    "[api] request {}: the answer cannot be stored and is recorded as unknown: {error}",
                    crate::api::current_id()
                );
                ClaimOutcome::Unknown {
                    reason: UnknownReason::WriteUnresolved,
                }
            }
        };
        entry.finish(ClaimEnd::Finished(outcome.clone()));
        self.repeat(Some(row), |claim, row| {
            let row = row?;
            claim.finish(row, outcome.clone(), WriteId::generate()).ok()
        })
        .await;
    }

    async fn recordable(&self, answer: &UpstreamResponse) -> Result<ClaimOutcome, CallError> {
        let response = record_answer(&self.context.objects, answer, WriteId::generate()).await?;
        Ok(ClaimOutcome::Answered { response })
    }

    /// Withdraws a claim whose write was ambiguous, in the background.
    fn withdraw_later(&self, entry: Arc<ClaimEntry>) {
        entry.finish(ClaimEnd::NotRun(RefusalReason::PlatformUnavailable));
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
        self.repeat(row, |claim, row| claim.withdraw(row, WriteId::generate()))
            .await;
    }

    /// Repeats a change of the claim row until it is recorded or not needed any more.
    ///
    /// The first attempt is based on the row that is known, if it is, and the others on the row as read.
    async fn repeat<Plan>(&self, mut known: Option<Versioned<KeyRecord>>, plan: Plan)
    where
        Plan: Fn(&RequestClaim, Option<&Versioned<KeyRecord>>) -> Option<PlannedChange<KeyRecord>>,
    {
        let mut pause = Duration::from_millis(100);
        let mut recorded = false;
        for _ in 0..MAX_RECORDS {
            let row = match known.take() {
                Some(row) => Ok(Some(row)),
                None => self.read_row().await,
            };
            if let Ok(row) = row {
                recorded = match plan(&self.claim, row.as_ref()) {
                    Some(change) => self.commit_end(&change).await,
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
                "[api] request {}: its claim could not be recorded",
                crate::api::current_id()
            );
        }
        self.context.claims.remove(&self.claim.account, &self.claim.key);
    }

    async fn commit_end(&self, change: &PlannedChange<KeyRecord>) -> bool {
        let Self { context, .. } = self;
        let limit = context.clock.now() + RECORD_LIMIT_MS;
        let resolution = commit(
            &context.table,
            &change.transaction,
            CallPriority::KeyedRequest,
            limit,
        )
        .await;
        matches!(resolution, CommitResolution::Committed { .. })
    }

    /// Gives back a recorded outcome.
    async fn replay(&self, outcome: &ClaimOutcome) -> KeyedEnd {
        match outcome {
            ClaimOutcome::Unknown { reason } => unknown(*reason),
            ClaimOutcome::Answered { response } => match replay_answer(&self.context.objects, response).await
            {
                Ok(answer) => KeyedEnd::Route(RouteEnd::Ran(answer)),
                Err(error) => {
                    log::warn!("[api] request {}: {error}", crate::api::current_id());
                    unknown(UnknownReason::WriteUnresolved)
                }
            },
        }
    }
}

fn remaining(context: &EntryContext, deadline: ClockTime) -> Duration {
    Duration::from_millis(deadline.millis_since(context.clock.now()))
}
