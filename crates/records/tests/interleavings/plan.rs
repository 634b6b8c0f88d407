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

use crate::action::{Action, End};
use crate::oracle::{Intent, scan};
use crate::world::{Plan, World};

const KEY_TERM_MS: u64 = 400 * 86_400_000;

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

fn planned<R>(change: PlannedChange<R>, intent: Intent) -> Plan {
    Plan {
        transaction: change.transaction,
        intent,
        claim: None,
    }
}

impl World {
    /// Returns what the actor would commit, or nothing when its records do not allow the action.
    pub(crate) fn plan(&mut self, action: &Action) -> Option<Plan> {
        let id = self.next_id();
        match *action {
            Action::Submit {
                key,
                body,
                idempotent,
                centre,
            } => Some(self.submit(key, body, idempotent, centre)),
            Action::Claim { vm, key, body } => self.claim(vm, key, body),
            Action::Answer { pick, not_run } => self.answer(pick, not_run, id),
            Action::Withdraw { pick } => self.withdraw(pick, id),
            Action::Take { vm, centre } => self.take(vm, centre, id),
            Action::Renew { holder } => self.set_lease(holder, true, id),
            Action::GiveUp { holder } => self.set_lease(holder, false, id),
            Action::TakeUp { holder, pick } => self.take_up(holder, pick, id),
            Action::Start { holder, pick, runs } => self.start(holder, pick, runs, id),
            Action::Confirm { holder, pick } => {
                let (_, guard, job) = self.held_job(holder, pick, false)?;
                Some(planned(job.confirm(&guard, id).ok()?, Intent::Other))
            }
            Action::End { holder, pick, how } => self.end(holder, pick, how, id),
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

    fn submit(&mut self, pick: u8, body: u8, idempotent: bool, home: u8) -> Plan {
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
            delete_key_after: self.now + KEY_TERM_MS,
        };
        let job = submission.job;
        let key = RowKey::Key(account, key);
        planned(
            JobRecord::submit(submission, self.next_id()),
            Intent::Submit { job, key, digest },
        )
    }

    fn claim(&mut self, vm: u8, pick: u8, body: u8) -> Option<Plan> {
        let (account, key) = caller_key(pick);
        let claim = RequestClaim {
            account,
            key,
            digest: BodyDigest::of(&[&[body]]),
            claimant: self.vms[usize::from(vm)].clone(),
            delete_after: self.now + KEY_TERM_MS,
            write_id: self.next_id(),
        };
        let row: Option<Versioned<KeyRecord>> = self.load(claim.row_key());
        let plan = planned(claim.claim(row.as_ref()).ok()?, Intent::Claim);
        Some(Plan {
            claim: Some((vm, claim)),
            ..plan
        })
    }

    /// The upstream's answer to a request that was sent, or the proof that it did not run.
    fn answer(&mut self, pick: u8, not_run: bool, id: WriteId) -> Option<Plan> {
        let (_, claim) = pick_of(self.sent.clone(), pick)?;
        let row: Versioned<KeyRecord> = self.load(claim.row_key())?;
        if not_run && self.prove_not_run(claim.write_id) {
            return Some(planned(claim.withdraw(Some(&row), id)?, Intent::Other));
        }
        // The response names the claim, so that an overwritten outcome is noticed.
        let etag = claim.write_id.to_string();
        let body = RecordedBody::Inline { bytes: Vec::new() };
        let response = RecordedResponse::new(200, [("etag", etag.as_str())], body).unwrap();
        let change = claim.finish(&row, ClaimOutcome::Answered { response }, id).ok()?;
        self.answered.insert(claim.write_id);
        Some(planned(change, Intent::Other))
    }

    fn withdraw(&mut self, pick: u8, id: WriteId) -> Option<Plan> {
        let (_, claim) = pick_of(self.withdrawals.clone(), pick)?;
        let row = self.load(claim.row_key());
        Some(planned(claim.withdraw(row.as_ref(), id)?, Intent::Other))
    }

    fn take(&mut self, vm: u8, pick: u8, id: WriteId) -> Option<Plan> {
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
        let change = EpochRecord::take(takeover, id).ok()?;
        Some(planned(
            change,
            Intent::Take {
                vm,
                centre: data_centre,
            },
        ))
    }

    /// A VM that believes that it holds a lease. A holder that was paused may be out of date.
    fn holder(&self, pick: u8) -> Option<(u8, HolderGuard)> {
        let holders = self.guards.iter().map(|((vm, _), guard)| (*vm, guard.clone()));
        pick_of(holders.collect(), pick)
    }

    fn set_lease(&mut self, holder: u8, renew: bool, id: WriteId) -> Option<Plan> {
        let (_, guard) = self.holder(holder)?;
        let lease: Versioned<LeaseRecord> = self.load(RowKey::Lease(guard.data_centre.clone()))?;
        let change = if renew {
            lease.renew(&guard, self.now, id)
        } else {
            lease.give_up(&guard, self.now, id)
        };
        Some(planned(change.ok()?, Intent::Other))
    }

    fn job(&self, pick: u8) -> Option<Versioned<JobRecord>> {
        pick_of(scan(&self.table, "job/"), pick).map(|(_, row)| row)
    }

    /// A holder and one of its jobs, now and then one that has ended and must not change.
    fn held_job(&self, holder: u8, job: u8, queued: bool) -> Option<(u8, HolderGuard, Versioned<JobRecord>)> {
        let (vm, guard) = self.holder(holder)?;
        let rows = scan::<JobRecord>(&self.table, "job/")
            .into_iter()
            .map(|(_, row)| row);
        let finals = job.is_multiple_of(8);
        let rows = rows.filter(|row| {
            let JobRecord {
                state, data_centre, ..
            } = &row.record;
            let wanted = (*state == JobState::Queued) == queued && (finals || !state.is_final());
            wanted && *data_centre == guard.data_centre
        });
        let job = pick_of(rows.collect(), job)?;
        Some((vm, guard, job))
    }

    fn take_up(&mut self, holder: u8, notice: u8, id: WriteId) -> Option<Plan> {
        let (_, guard) = self.holder(holder)?;
        let notices = scan::<InboxRecord>(&self.table, &RowKey::inbox_prefix(&guard.data_centre));
        let (_, notice) = pick_of(notices, notice)?;
        let job: Versioned<JobRecord> = self.load(RowKey::Job(notice.record.job))?;
        let transaction = job.take_up(&notice, &guard, id).ok()?;
        Some(Plan {
            transaction,
            intent: Intent::Other,
            claim: None,
        })
    }

    fn start(&mut self, holder: u8, job: u8, runs: bool, id: WriteId) -> Option<Plan> {
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

    /// Ends an attempt on true evidence. A holder whose epoch is old may believe anything.
    fn end(&mut self, holder: u8, job: u8, how: End, id: WriteId) -> Option<Plan> {
        let queued = matches!(how, End::Refused);
        let (_, guard, job) = self.held_job(holder, job, queued)?;
        let epoch: Option<Versioned<EpochRecord>> = self.load(RowKey::Epoch(guard.data_centre.clone()));
        let current = Versioned::version_of(epoch.as_ref()) == guard.version;
        if current && !self.has_evidence(job.record.job, how) {
            return None;
        }
        let result = ResultRef {
            object: "result".into(),
            bytes: 1,
            sha256: "00".into(),
        };
        let checkpoint = || Some(Arc::from("checkpoint"));
        let reason = RefusalReason::Cancelled;
        let change = match how {
            End::RequeueUnstarted => job.requeue(RequeueReason::Unstarted, None, &guard, id),
            End::RequeueCheckpointed => job.requeue(RequeueReason::Checkpointed, checkpoint(), &guard, id),
            End::RequeueLost => job.requeue(RequeueReason::Lost, None, &guard, id),
            End::Ran => job.finish(JobEnding::Ran(result), &guard, id),
            End::Refused => job.finish(JobEnding::Refused(reason), &guard, id),
            End::Voided => job.finish(JobEnding::Voided(reason), &guard, id),
            End::Doubtful => job.finish(JobEnding::Doubtful(UnknownReason::WorkerLost), &guard, id),
            End::Cancelled => job.finish(JobEnding::Doubtful(UnknownReason::CancelledRunning), &guard, id),
        };
        let job = job.record.job;
        let intent = match how {
            End::RequeueCheckpointed => Intent::Checkpoint { job },
            _ => Intent::Other,
        };
        Some(planned(change.ok()?, intent))
    }

    fn order(&mut self, pick: u8, out: bool, id: WriteId) -> Option<Plan> {
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

    fn progress(&mut self, holder: u8, id: WriteId) -> Option<Plan> {
        let (_, guard) = self.holder(holder)?;
        let row: Versioned<CentreRecord> = self.load(RowKey::Centre(guard.data_centre.clone()))?;
        let change = row.drained(&guard, id).or_else(|_| row.ramped(&guard, id));
        Some(planned(change.ok()?, Intent::Other))
    }

    fn propose(&mut self, id: WriteId) -> Plan {
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

    fn decide(&mut self, pick: u8, by: u8, accept: bool, id: WriteId) -> Option<Plan> {
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
