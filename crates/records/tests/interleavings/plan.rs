use std::sync::Arc;

use arbutuspick_model::{
    AccountName, CallerKey, CentreName, ConfigRevision, JobId, JobSpec, OrderNumber, OwnerName,
    RefusalReason, ResultRef, UnknownReason, WorkerName, WriteId,
};
use arbutuspick_records::{
    AcceptanceBase, AccountRequest, BodyDigest, CentreOrder, CentreRecord, ClaimOutcome, EpochRecord,
    HeadRecord, HolderGuard, InboxRecord, JobEnding, JobRecord, JobStart, JobState, JobSubmission, KeyRecord,
    LeaseRecord, LeaseTakeover, OrderKind, OwnerDecision, PlacedMember, PlannedChange, ProposalId,
    ProposalRecord, Questionnaire, RecordedBody, RecordedResponse, RequestClaim, RequeueReason, RowKey,
    TableTransaction, TurnRecord, Versioned,
};
use uuid::Uuid;

use crate::action::{Action, EndKind};
use crate::oracle::{Intent, scan};
use crate::simulation::{PlannedCommit, Simulation};

const KEY_RETENTION_MS: u64 = 400 * 86_400_000;

pub(crate) fn centre(pick: u8) -> CentreName {
    CentreName::try_from(["trent", "severn"][usize::from(pick % 2)]).unwrap()
}

fn owner(pick: u8) -> OwnerName {
    OwnerName::try_from(["association", "copa-viva"][usize::from(pick % 2)]).unwrap()
}

fn caller_key(pick: u8) -> (AccountName, CallerKey) {
    let key = CallerKey::try_from(format!("key-{pick}").as_str()).unwrap();
    (AccountName::try_from("parks").unwrap(), key)
}

fn pick_of<T>(mut candidates: Vec<T>, pick: u8) -> Option<T> {
    let count = candidates.len();
    (count > 0).then(|| candidates.swap_remove(usize::from(pick) % count))
}

fn planned<R>(change: PlannedChange<R>, intent: Intent) -> PlannedCommit {
    PlannedCommit {
        transaction: change.transaction,
        intent,
        claim: None,
    }
}

impl Simulation {
    /// Returns the transaction of an action, or `None` if the records do not allow it.
    pub(crate) fn plan(&mut self, action: &Action) -> Option<PlannedCommit> {
        let id = self.next_id();
        match *action {
            Action::Submit {
                key,
                body,
                idempotent,
                centre,
            } => Some(self.submit(key, body, idempotent, centre)),
            Action::Claim { vm, key, body } => self.claim(vm, key, body),
            Action::Respond { pick, not_run } => self.respond(pick, not_run, id),
            Action::Withdraw { pick } => self.withdraw(pick, id),
            Action::TakeOver { vm, centre } => self.take_over(vm, centre, id),
            Action::Renew { holder } => self.set_lease(holder, true, id),
            Action::Release { holder } => self.set_lease(holder, false, id),
            Action::AcceptNotice { holder, pick } => self.accept_notice(holder, pick, id),
            Action::Start { holder, pick, runs } => self.start(holder, pick, runs, id),
            Action::Confirm { holder, pick } => {
                let (_, guard, job) = self.held_job(holder, pick, false)?;
                Some(planned(job.confirm(&guard, id).ok()?, Intent::Other))
            }
            Action::End { holder, pick, end } => self.end(holder, pick, end, id),
            Action::Cancel { pick } => Some(planned(self.job(pick)?.cancel(id).ok()?, Intent::Other)),
            Action::Move { pick, centre: target } => {
                let change = self.job(pick)?.move_to(centre(target), None, id);
                Some(planned(change.ok()?, Intent::Other))
            }
            Action::Order { centre, out } => self.order(centre, out, id),
            Action::Progress { holder } => self.progress(holder, id),
            Action::Propose => Some(self.propose(id)),
            Action::Accept { pick, owner } => self.decide(pick, owner, true, id),
            Action::Reject { pick, owner } => self.decide(pick, owner, false, id),
            Action::AdvanceTurn => {
                let turn: Versioned<TurnRecord> = self.load(RowKey::Turn)?;
                Some(planned(turn.advance(self.now, id).ok()?, Intent::Advance))
            }
        }
    }

    fn submit(&mut self, pick: u8, body: u8, idempotent: bool, home: u8) -> PlannedCommit {
        let (account, key) = caller_key(pick);
        let mut spec = JobSpec::new(account.clone());
        spec.idempotent = idempotent;
        let digest = BodyDigest::of(&[&[body], &[u8::from(idempotent)]]);
        let submission = JobSubmission {
            job: JobId(self.next_id().0),
            spec,
            caller_key: Some(key.clone()),
            body_digest: digest,
            data_centre: centre(home),
            now: self.now,
            delete_key_after: self.now + KEY_RETENTION_MS,
        };
        let job = submission.job;
        let key = RowKey::Key(account, key);
        planned(
            JobRecord::submit(submission, self.next_id()),
            Intent::Submit { job, key, digest },
        )
    }

    fn claim(&mut self, vm: u8, pick: u8, body: u8) -> Option<PlannedCommit> {
        let (account, key) = caller_key(pick);
        let claim = RequestClaim {
            account,
            key,
            digest: BodyDigest::of(&[&[body]]),
            claimant: self.vms[usize::from(vm)].clone(),
            delete_after: self.now + KEY_RETENTION_MS,
            write_id: self.next_id(),
        };
        let row: Option<Versioned<KeyRecord>> = self.load(claim.row_key());
        let plan = planned(claim.claim(row.as_ref()).ok()?, Intent::Claim);
        Some(PlannedCommit {
            claim: Some((vm, claim)),
            ..plan
        })
    }

    /// Records the upstream's response to a sent request, or withdraws a request that provably did not run.
    fn respond(&mut self, pick: u8, not_run: bool, id: WriteId) -> Option<PlannedCommit> {
        let (_, claim) = pick_of(self.sent.clone(), pick)?;
        let row: Versioned<KeyRecord> = self.load(claim.row_key())?;
        if not_run && self.prove_not_run(claim.write_id) {
            return Some(planned(claim.withdraw(Some(&row), id)?, Intent::Other));
        }
        // The response contains the claim id, so that an overwritten outcome is detected.
        let etag = claim.write_id.to_string();
        let body = RecordedBody::Inline { bytes: Vec::new() };
        let response = RecordedResponse::new(200, [("etag", etag.as_str())], body).unwrap();
        let change = claim.finish(&row, ClaimOutcome::Answered { response }, id).ok()?;
        self.answered.insert(claim.write_id);
        Some(planned(change, Intent::Other))
    }

    fn withdraw(&mut self, pick: u8, id: WriteId) -> Option<PlannedCommit> {
        let (_, claim) = pick_of(self.withdrawals.clone(), pick)?;
        let row = self.load(claim.row_key());
        Some(planned(claim.withdraw(row.as_ref(), id)?, Intent::Other))
    }

    fn take_over(&mut self, vm: u8, pick: u8, id: WriteId) -> Option<PlannedCommit> {
        let data_centre = centre(pick);
        let epoch = self.load(RowKey::Epoch(data_centre.clone()));
        let lease = self.load(RowKey::Lease(data_centre.clone()));
        let takeover = LeaseTakeover {
            data_centre: data_centre.clone(),
            epoch: epoch.as_ref(),
            lease: lease.as_ref(),
            holder: self.vms[usize::from(vm)].clone(),
            address: "127.0.0.1:7000".parse().unwrap(),
            now: self.now,
        };
        let change = EpochRecord::take_over(takeover, id).ok()?;
        Some(planned(
            change,
            Intent::TakeOver {
                vm,
                centre: data_centre,
            },
        ))
    }

    /// Selects a VM that has a guard, which may be outdated if the holder was paused.
    fn holder(&self, pick: u8) -> Option<(u8, HolderGuard)> {
        let holders = self.guards.iter().map(|((vm, _), guard)| (*vm, guard.clone()));
        pick_of(holders.collect(), pick)
    }

    fn set_lease(&mut self, holder: u8, renew: bool, id: WriteId) -> Option<PlannedCommit> {
        let (_, guard) = self.holder(holder)?;
        let lease: Versioned<LeaseRecord> = self.load(RowKey::Lease(guard.data_centre.clone()))?;
        let change = if renew {
            lease.renew(&guard, self.now, id)
        } else {
            lease.release(&guard, self.now, id)
        };
        Some(planned(change.ok()?, Intent::Other))
    }

    fn job(&self, pick: u8) -> Option<Versioned<JobRecord>> {
        pick_of(scan(&self.table, "job/"), pick).map(|(_, row)| row)
    }

    /// Selects a holder and one of its jobs, sometimes a finished one, which must not change.
    fn held_job(&self, holder: u8, job: u8, queued: bool) -> Option<(u8, HolderGuard, Versioned<JobRecord>)> {
        let (vm, guard) = self.holder(holder)?;
        let rows = scan::<JobRecord>(&self.table, "job/")
            .into_iter()
            .map(|(_, row)| row);
        let include_final = job.is_multiple_of(8);
        let rows = rows.filter(|row| {
            let JobRecord {
                state, data_centre, ..
            } = &row.record;
            let is_candidate = (*state == JobState::Queued) == queued && (include_final || !state.is_final());
            is_candidate && *data_centre == guard.data_centre
        });
        let job = pick_of(rows.collect(), job)?;
        Some((vm, guard, job))
    }

    fn accept_notice(&mut self, holder: u8, notice: u8, id: WriteId) -> Option<PlannedCommit> {
        let (_, guard) = self.holder(holder)?;
        let notices = scan::<InboxRecord>(&self.table, &RowKey::inbox_prefix(&guard.data_centre));
        let (_, notice) = pick_of(notices, notice)?;
        let job: Versioned<JobRecord> = self.load(RowKey::Job(notice.record.job))?;
        let transaction = job.accept_notice(&notice, &guard, id).ok()?;
        Some(PlannedCommit {
            transaction,
            intent: Intent::Other,
            claim: None,
        })
    }

    fn start(&mut self, holder: u8, job: u8, runs: bool, id: WriteId) -> Option<PlannedCommit> {
        let (vm, guard, job) = self.held_job(holder, job, true)?;
        let row: Option<Versioned<CentreRecord>> = self.load(RowKey::Centre(guard.data_centre.clone()));
        let attempt = job.record.attempt.next();
        let worker = WorkerName::try_from("w1").unwrap();
        let start = JobStart {
            attempt,
            placement: vec![PlacedMember {
                worker,
                accelerators: 1,
            }],
            guaranteed: false,
            centre: row.as_ref(),
        };
        let intent = Intent::Start {
            centre: guard.data_centre.clone(),
            holder: self.vms[usize::from(vm)].clone(),
            job: job.record.job,
            attempt,
            runs,
        };
        Some(planned(job.start(start, &guard, id).ok()?, intent))
    }

    /// Ends an attempt if the evidence allows it; a holder with an outdated epoch may do so without evidence.
    fn end(&mut self, holder: u8, job: u8, end: EndKind, id: WriteId) -> Option<PlannedCommit> {
        let queued = matches!(end, EndKind::Refused);
        let (_, guard, job) = self.held_job(holder, job, queued)?;
        let epoch: Option<Versioned<EpochRecord>> = self.load(RowKey::Epoch(guard.data_centre.clone()));
        let current = Versioned::version_of(epoch.as_ref()) == guard.version;
        if current && !self.has_evidence(job.record.job, end) {
            return None;
        }
        let result = ResultRef {
            object: "result".into(),
            bytes: 1,
            sha256: "00".into(),
        };
        let checkpoint = || Some(Arc::from("checkpoint"));
        let reason = RefusalReason::Cancelled;
        let change = match end {
            EndKind::RequeueUnstarted => job.requeue(RequeueReason::Unstarted, None, &guard, id),
            EndKind::RequeueCheckpointed => {
                job.requeue(RequeueReason::Checkpointed, checkpoint(), &guard, id)
            }
            EndKind::RequeueLost => job.requeue(RequeueReason::Lost, None, &guard, id),
            EndKind::Ran => job.finish(JobEnding::Ran(result), &guard, id),
            EndKind::Refused => job.finish(JobEnding::Refused(reason), &guard, id),
            EndKind::Voided => job.finish(JobEnding::Voided(reason), &guard, id),
            EndKind::Unknown => job.finish(JobEnding::Unknown(UnknownReason::WorkerLost), &guard, id),
            EndKind::Cancelled => job.finish(JobEnding::Unknown(UnknownReason::CancelledRunning), &guard, id),
        };
        let job = job.record.job;
        let intent = match end {
            EndKind::RequeueCheckpointed => Intent::Checkpoint { job },
            _ => Intent::Other,
        };
        Some(planned(change.ok()?, intent))
    }

    fn order(&mut self, pick: u8, out: bool, id: WriteId) -> Option<PlannedCommit> {
        let row: Option<Versioned<CentreRecord>> = self.load(RowKey::Centre(centre(pick)));
        let drain_deadline = self.now + 60_000;
        let order = CentreOrder {
            data_centre: centre(pick),
            kind: if out {
                OrderKind::Out { drain_deadline }
            } else {
                OrderKind::In
            },
            based_on: row.as_ref().map_or(OrderNumber(0), |row| row.record.order),
            operator: "operator".into(),
            now: self.now,
        };
        Some(planned(
            CentreRecord::order(row.as_ref(), order, id).ok()?,
            Intent::Other,
        ))
    }

    fn progress(&mut self, holder: u8, id: WriteId) -> Option<PlannedCommit> {
        let (_, guard) = self.holder(holder)?;
        let row: Versioned<CentreRecord> = self.load(RowKey::Centre(guard.data_centre.clone()))?;
        let change = row
            .record_drained(&guard, id)
            .or_else(|_| row.record_ramped_up(&guard, id));
        Some(planned(change.ok()?, Intent::Other))
    }

    fn propose(&mut self, id: WriteId) -> PlannedCommit {
        let request = AccountRequest::try_from(Questionnaire {
            account: "parks".into(),
            owner: "association".into(),
            home_data_centre: "trent".into(),
            peak_queue: 10,
            ..Questionnaire::default()
        });
        let proposal = ProposalId(Uuid::from_u128(self.next_id().0.as_u128()));
        let change = ProposalRecord::propose(proposal, request.unwrap(), ConfigRevision(0), self.now, id);
        planned(change, Intent::Other)
    }

    fn decide(&mut self, pick: u8, by: u8, accept: bool, id: WriteId) -> Option<PlannedCommit> {
        let turn: Versioned<TurnRecord> = self.load(RowKey::Turn)?;
        let head: Option<Versioned<HeadRecord>> = self.load(RowKey::Head);
        let (_, row) = pick_of(scan::<ProposalRecord>(&self.table, "proposal/"), pick)?;
        let decision = OwnerDecision {
            owner: owner(by),
            turn: &turn,
            now: self.now,
        };
        let checked_at = head
            .as_ref()
            .map_or(ConfigRevision(0), |head| head.record.revision);
        let base = AcceptanceBase {
            head: head.as_ref(),
            checked_at,
        };
        let change = if accept {
            row.accept(&decision, base, id)
        } else {
            row.reject(&decision, id)
        };
        Some(planned(change.ok()?, Intent::Decide { owner: owner(by) }))
    }

    pub(crate) fn first_turn(&mut self) -> TableTransaction {
        let id = self.next_id();
        let rotation = vec![owner(0), owner(1)];
        TurnRecord::begin(rotation, self.now, id).unwrap().transaction
    }
}
