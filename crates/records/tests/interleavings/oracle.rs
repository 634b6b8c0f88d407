use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{
    AttemptNumber, CentreName, CentreState, ConfigRevision, FinalOutcome, JobId, OwnerName, PlatformTime,
    WriteId,
};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    BodyDigest, CentreRecord, ClaimOutcome, ClaimState, EpochRecord, HeadRecord, InboxRecord, JobNotice,
    JobRecord, JobState, KeyRecord, KeyUsage, LeaseRecord, ProcessIdentity, RevisionRecord, RowKey,
    ScanQuery, TableRow, TurnRecord, Versioned,
};
use serde::de::DeserializeOwned;

/// Purpose of a transaction, as far as the checks depend on it.
#[derive(Clone, Debug)]
pub(crate) enum Intent {
    Submit {
        job: JobId,
        key: RowKey,
        digest: BodyDigest,
    },
    Claim,
    TakeOver {
        vm: u8,
        centre: CentreName,
    },
    Start {
        centre: CentreName,
        holder: ProcessIdentity,
        job: JobId,
        attempt: AttemptNumber,
        runs: bool,
    },
    Checkpoint {
        job: JobId,
    },
    Decide {
        owner: OwnerName,
    },
    Advance,
    Other,
}

/// What happened to one attempt of a job on the workers, independent of its row.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) ran: bool,
    pub(crate) voided: bool,
    pub(crate) checkpointed: bool,
}

/// A request that a process sent under a claim.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) key: RowKey,
    pub(crate) claim: WriteId,
    pub(crate) not_run: bool,
}

/// Facts with which the table must be consistent after every commit.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) attempts: BTreeMap<JobId, Vec<Attempt>>,
    pub(crate) sent: Vec<SentRequest>,
    pub(crate) accepted: Vec<(JobId, RowKey, BodyDigest)>,
    pub(crate) committed: BTreeSet<WriteId>,
    pub(crate) reported_uncommitted: BTreeSet<WriteId>,
    job_outcomes: BTreeMap<JobId, FinalOutcome>,
    claim_outcomes: BTreeMap<String, ClaimOutcome>,
    revisions: Vec<TableRow>,
}

fn load<R>(table: &MemoryTable, key: RowKey) -> Option<R>
where
    R: DeserializeOwned,
{
    table.load(&key).unwrap().map(|row: Versioned<R>| row.record)
}

pub(crate) fn scan<R>(table: &MemoryTable, prefix: &str) -> Vec<(TableRow, Versioned<R>)>
where
    R: DeserializeOwned,
{
    let query = ScanQuery {
        prefix: prefix.into(),
        after: None,
        limit: 1_000,
    };
    let rows = table.scan(&query).rows;
    rows.into_iter()
        .map(|row| (row.clone(), Versioned::try_from(&row).unwrap()))
        .collect()
}

impl Oracle {
    /// Checks a transaction that committed, given the tables before and after it.
    pub(crate) fn committed(
        &mut self,
        id: WriteId,
        intent: &Intent,
        before: &MemoryTable,
        after: &MemoryTable,
        now: PlatformTime,
    ) {
        assert!(self.committed.insert(id), "transaction {id} committed twice");
        assert!(
            !self.reported_uncommitted.contains(&id),
            "transaction {id} committed after a conflict was reported"
        );
        match intent {
            Intent::Start {
                centre, holder, job, ..
            } => {
                let order: CentreRecord = load(before, RowKey::Centre(centre.clone())).unwrap_or_default();
                let permits_start = matches!(order.state, CentreState::In | CentreState::Returning);
                assert!(permits_start, "start while the data centre is {:?}", order.state);
                let epoch: EpochRecord = load(before, RowKey::Epoch(centre.clone())).unwrap();
                assert_eq!(epoch.holder, *holder, "start with an outdated epoch");
                self.attempts.entry(*job).or_default().push(Attempt::default());
            }
            Intent::Checkpoint { job } => {
                self.attempts
                    .get_mut(job)
                    .unwrap()
                    .last_mut()
                    .unwrap()
                    .checkpointed = true;
            }
            Intent::TakeOver { centre, .. } => check_takeover(centre, before, after, now),
            Intent::Decide { owner } => {
                let turn: TurnRecord = load(before, RowKey::Turn).unwrap();
                assert_eq!(turn.owner, *owner, "decision in the month of another owner");
            }
            Intent::Advance => {
                let [old, new] = [before, after].map(|table| load::<TurnRecord>(table, RowKey::Turn));
                assert_eq!(
                    new.unwrap().month,
                    old.unwrap().month.next(),
                    "turn skipped a month"
                );
            }
            Intent::Submit { .. } | Intent::Claim | Intent::Other => {}
        }
    }

    /// Records that a request is sent.
    pub(crate) fn send(&mut self, sent: SentRequest) {
        let already_sent = self
            .sent
            .iter()
            .any(|other| other.key == sent.key && !other.not_run);
        assert!(!already_sent, "request of {} is sent twice", sent.key);
        self.sent.push(sent);
    }

    /// Checks the kinds of rows with these key prefixes; others cannot have changed.
    pub(crate) fn check(&mut self, table: &MemoryTable, prefixes: &BTreeSet<&str>) {
        if ["job", "inbox", "placed"]
            .iter()
            .any(|prefix| prefixes.contains(prefix))
        {
            self.check_jobs(table);
            self.check_accepted(table);
        }
        if prefixes.contains("key") {
            self.check_claim_outcomes(table);
        }
        if prefixes.contains("config") {
            self.check_revisions(table);
        }
    }

    fn check_jobs(&mut self, table: &MemoryTable) {
        let mut keys = BTreeSet::new();
        for (_, Versioned { record, .. }) in scan::<JobRecord>(table, "job/") {
            assert!(
                keys.insert(record.caller_key.clone()),
                "two jobs with key {:?}",
                record.caller_key
            );
            self.check_outcome(&record);
            self.check_attempts(&record);
            check_index(table, &record);
        }
    }

    fn check_outcome(&mut self, record: &JobRecord) {
        if let Some(outcome) = self.job_outcomes.get(&record.job) {
            assert_eq!(record.outcome.as_ref(), Some(outcome), "final outcome changed");
        }
        let expected = match &record.outcome {
            None => None,
            Some(FinalOutcome::Ran { .. }) => Some(JobState::Ran),
            Some(FinalOutcome::NotRun { .. }) => Some(JobState::NotRun),
            Some(FinalOutcome::Unknown { .. }) => Some(JobState::Unknown),
        };
        assert_eq!(
            record.state.is_final().then_some(record.state),
            expected,
            "state and outcome do not agree"
        );
        if let Some(outcome) = &record.outcome {
            self.job_outcomes.insert(record.job, outcome.clone());
        }
    }

    fn check_attempts(&self, record: &JobRecord) {
        let attempts = self.attempts.get(&record.job).map_or(&[][..], Vec::as_slice);
        let ran = attempts.iter().filter(|attempt| attempt.ran);
        match record.state {
            JobState::NotRun => assert_eq!(ran.clone().count(), 0, "job that ran is reported as not run"),
            JobState::Ran => assert_ne!(ran.clone().count(), 0, "job that never ran has a result"),
            _ => {}
        }
        let runs = ran.filter(|attempt| !attempt.checkpointed).count();
        assert!(
            record.spec.idempotent || runs <= 1,
            "non-idempotent job ran twice"
        );
    }

    fn check_accepted(&self, table: &MemoryTable) {
        for (job, key, digest) in &self.accepted {
            let row: Option<JobRecord> = load(table, RowKey::Job(*job));
            let Some(row) = row else {
                panic!("accepted job {job} is lost")
            };
            assert_eq!(
                row.body_digest, *digest,
                "key {key} was accepted for another body"
            );
        }
    }

    fn check_claim_outcomes(&mut self, table: &MemoryTable) {
        for (row, Versioned { record, .. }) in scan::<KeyRecord>(table, "key/") {
            let found = match record.usage {
                KeyUsage::Claim {
                    state: ClaimState::Finished { outcome },
                    ..
                } => Some(outcome),
                _ => None,
            };
            let known = self.claim_outcomes.get(&*row.key);
            assert!(
                known.is_none() || known == found.as_ref(),
                "outcome of {} changed",
                row.key
            );
            found
                .into_iter()
                .for_each(|outcome| drop(self.claim_outcomes.insert(row.key.to_string(), outcome)));
        }
    }

    fn check_revisions(&mut self, table: &MemoryTable) {
        let rows = scan::<RevisionRecord>(table, "config/rev/");
        let head: Option<HeadRecord> = load(table, RowKey::Head);
        let head = head.map_or(0, |head| head.revision.0);
        assert_eq!(head, rows.len() as u64, "head is not the number of revisions");
        assert!(
            rows.len() <= self.revisions.len() + 1,
            "head grew by more than one revision"
        );
        for (index, (row, Versioned { record, .. })) in rows.iter().enumerate() {
            assert_eq!(
                record.change.revision,
                ConfigRevision(index as u64 + 1),
                "gap in the revisions"
            );
            let known = self.revisions.get(index);
            assert!(
                known.is_none_or(|known| known == row),
                "revision {} changed",
                index + 1
            );
        }
        assert!(rows.len() >= self.revisions.len(), "accepted revision is lost");
        self.revisions = rows.into_iter().map(|(row, _)| row).collect();
    }
}

/// Checks that an unfinished job has a notice or index entry in its data centre, and a finished one neither.
fn check_index(table: &MemoryTable, record: &JobRecord) {
    for centre in ["trent", "severn"].map(|name| CentreName::try_from(name).unwrap()) {
        let here = centre == record.data_centre && !record.state.is_final();
        let placed = table
            .get(&RowKey::Placed(centre.clone(), record.job).to_string())
            .is_some();
        let notice: Option<InboxRecord> = load(table, RowKey::Inbox(centre, record.job));
        let has_notice = notice.is_some();
        let assigned = notice.is_some_and(|row| row.notice == JobNotice::Assigned);
        assert!(
            here || !placed && !assigned,
            "job {} is indexed in a data centre that it is not assigned to",
            record.job
        );
        // A new holder reads the job row for each notice, whatever its content.
        assert!(
            !here || placed || has_notice,
            "job {} has neither a notice nor an index entry in its data centre",
            record.job
        );
    }
}

fn check_takeover(centre: &CentreName, before: &MemoryTable, after: &MemoryTable, now: PlatformTime) {
    let lease: Option<LeaseRecord> = load(before, RowKey::Lease(centre.clone()));
    assert!(
        lease.is_none_or(|lease| lease.deadline <= now),
        "lease was taken before its deadline"
    );
    let epoch =
        |table| load::<EpochRecord>(table, RowKey::Epoch(centre.clone())).map_or(0, |row| row.epoch.0);
    assert_eq!(epoch(after), epoch(before) + 1, "epoch did not increase by one");
}
