use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AttemptNumber, CentreName, ClockTime, JobId, PlatformTime, VmName, WriteId};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    BodyDigest, CalendarMonth, CallOutcome, CommitProgress, CommitResolution, CommitResult, CommitStep,
    EpochRecord, HolderGuard, JobRecord, JobState, KeyRecord, ProcessIdentity, ReadQuery, RequestClaim,
    RowKey, RowWrite, TableTransaction, TurnRecord, Versioned, look_up_submission,
};
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::action::{Action, Delivery, EndKind, Step};
use crate::oracle::{Intent, Oracle, SentRequest, scan};

const MAX_CALLS: u32 = 5;
const COMMIT_TIMEOUT_MS: u64 = 20_000;

/// A transaction that an actor plans to commit.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCommit {
    pub(crate) transaction: TableTransaction,
    pub(crate) intent: Intent,
    pub(crate) claim: Option<(u8, RequestClaim)>,
}

/// A commit that is not resolved yet.
#[derive(Debug)]
struct PendingCommit {
    plan: PlannedCommit,
    progress: CommitProgress,
}

/// The table, the simulated processes and their in-memory state.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) table: MemoryTable,
    pub(crate) now: PlatformTime,
    pub(crate) vms: Vec<ProcessIdentity>,
    pub(crate) guards: BTreeMap<(u8, CentreName), HolderGuard>,
    pub(crate) sent: Vec<(u8, RequestClaim)>,
    pub(crate) withdrawals: Vec<(u8, RequestClaim)>,
    pub(crate) answered: BTreeSet<WriteId>,
    pub(crate) oracle: Oracle,
    pub(crate) event_counts: BTreeMap<&'static str, u32>,
    pending_commits: Vec<PendingCommit>,
    sent_commits: Vec<PlannedCommit>,
    last_id: u128,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            table: MemoryTable::default(),
            now: PlatformTime(1_798_300_000_000), // 2026-12-26.
            vms: Vec::new(),
            guards: BTreeMap::new(),
            sent: Vec::new(),
            withdrawals: Vec::new(),
            answered: BTreeSet::new(),
            oracle: Oracle::default(),
            event_counts: BTreeMap::new(),
            pending_commits: Vec::new(),
            sent_commits: Vec::new(),
            last_id: 0,
        };
        for vm in ["vm-1", "vm-2", "vm-3"] {
            let identity = simulation.identity(VmName::try_from(vm).unwrap());
            simulation.vms.push(identity);
        }
        let turn = simulation.first_turn();
        simulation.table.commit(&turn);
        simulation
    }

    /// Checks all rows and counts the states of the jobs at the end of the case.
    pub(crate) fn finish(&mut self) {
        self.oracle.check(&self.table, &["job", "key", "config"].into());
        for (_, job) in scan::<JobRecord>(&self.table, "job/") {
            self.count(match job.record.state {
                JobState::Ran => "job ran",
                JobState::NotRun => "job not run",
                JobState::Unknown => "job unknown",
                JobState::Queued | JobState::Starting | JobState::Running => "job unfinished",
            });
        }
    }

    /// Returns consecutive ids, so that a case depends only on the seed.
    pub(crate) fn next_id(&mut self) -> WriteId {
        self.last_id += 1;
        WriteId(Uuid::from_u128(self.last_id))
    }

    fn identity(&mut self, vm: VmName) -> ProcessIdentity {
        let incarnation = self.next_id().0;
        ProcessIdentity { vm, incarnation }
    }

    pub(crate) fn load<R>(&self, key: RowKey) -> Option<Versioned<R>>
    where
        R: DeserializeOwned,
    {
        self.table.load(&key).unwrap()
    }

    fn count(&mut self, event: &'static str) {
        *self.event_counts.entry(event).or_default() += 1;
    }

    pub(crate) fn apply(&mut self, step: &Step) {
        match step {
            Step::Act(action, delivery) => {
                if self.begin_commit(action) {
                    self.advance_commit(self.pending_commits.len() - 1, *delivery);
                }
            }
            Step::Race(first, second) => {
                let begun = usize::from(self.begin_commit(first)) + usize::from(self.begin_commit(second));
                self.complete_last(begun);
            }
            Step::Continue(pick, delivery) if !self.pending_commits.is_empty() => {
                self.advance_commit(usize::from(*pick) % self.pending_commits.len(), *delivery);
            }
            Step::Duplicate(pick) if !self.sent_commits.is_empty() => {
                let plan = self.sent_commits[usize::from(*pick) % self.sent_commits.len()].clone();
                if let CommitResult::Committed { .. } = self.commit(&plan) {
                    self.count("delayed transaction committed");
                }
            }
            Step::Continue(..) | Step::Duplicate(_) => {}
            Step::Wait(millis) => self.now = self.now + *millis,
            Step::MonthEnd(decision) => self.race_month_end(decision),
            Step::Restart(vm) => self.restart(*vm),
        }
    }

    /// Plans an action, and returns whether there is a transaction to commit.
    fn begin_commit(&mut self, action: &Action) -> bool {
        let Some(plan) = self.plan(action) else {
            return false;
        };
        let deadline = self.clock() + COMMIT_TIMEOUT_MS;
        let progress = CommitProgress::new(&plan.transaction, deadline, MAX_CALLS);
        self.pending_commits.push(PendingCommit { plan, progress });
        true
    }

    /// Commits the last pending transactions, the newest first.
    fn complete_last(&mut self, count: usize) {
        for _ in 0..count {
            self.advance_commit(self.pending_commits.len() - 1, Delivery::Delivered);
        }
    }

    /// Does nothing while the turn is behind the current month, since no owner can decide then.
    fn race_month_end(&mut self, decision: &Action) {
        let turn: Versioned<TurnRecord> = self.load(RowKey::Turn).unwrap();
        if !turn.record.is_over(self.now) {
            let next = next_month(self.now);
            self.now = self.now.max(next - 2_000);
            let decided = self.begin_commit(decision);
            self.now = next;
            let advanced = self.begin_commit(&Action::AdvanceTurn);
            self.complete_last(usize::from(decided) + usize::from(advanced));
        }
    }

    fn clock(&self) -> ClockTime {
        ClockTime(self.now.0)
    }

    fn commit(&mut self, plan: &PlannedCommit) -> CommitResult {
        let before = self.table.clone();
        let result = self.table.commit(&plan.transaction);
        if let CommitResult::Committed { .. } = result {
            self.oracle
                .committed(plan.transaction.id, &plan.intent, &before, &self.table, self.now);
            let keys = plan.transaction.writes.iter().map(|write| match write {
                RowWrite::Put { key, .. } | RowWrite::Delete { key } => &**key,
            });
            let prefixes = keys.filter_map(|key| key.split('/').next()).collect();
            self.oracle.check(&self.table, &prefixes);
        }
        result
    }

    /// Makes the next call of a commit, subject to the simulated delivery.
    fn advance_commit(&mut self, index: usize, delivery: Delivery) {
        if matches!(delivery, Delivery::Delayed) {
            return;
        }
        let step = self.pending_commits[index].progress.next_step(self.clock());
        if let CommitStep::Done(resolution) = step {
            let pending = self.pending_commits.swap_remove(index);
            return self.handle_resolution(pending.plan, resolution);
        }
        let plan = self.pending_commits[index].plan.clone();
        if matches!(step, CommitStep::Send) {
            self.sent_commits.push(plan.clone());
        }
        let outcome = match (delivery, step) {
            (Delivery::RequestLost, _) => CallOutcome::ResponseLost,
            (_, CommitStep::ReadBack(keys)) => CallOutcome::Rows(self.table.read(&ReadQuery { keys })),
            _ => CallOutcome::Result(self.commit(&plan)),
        };
        let outcome = match delivery {
            Delivery::ResponseLost => CallOutcome::ResponseLost,
            _ => outcome,
        };
        let pending = &mut self.pending_commits[index];
        pending.progress.record(outcome);
        if let CommitStep::Done(resolution) = pending.progress.next_step(ClockTime(0)) {
            let pending = self.pending_commits.swap_remove(index);
            self.handle_resolution(pending.plan, resolution);
        }
    }

    /// Performs what the caller does on the resolution of its commit.
    fn handle_resolution(&mut self, plan: PlannedCommit, resolution: CommitResolution) {
        let id = plan.transaction.id;
        let committed = self.oracle.committed.contains(&id);
        match &resolution {
            CommitResolution::Committed { .. } => assert!(
                committed,
                "commit that did not take effect was reported as committed"
            ),
            CommitResolution::Conflict { .. } | CommitResolution::NotSent => {
                assert!(
                    !committed,
                    "commit that took effect was reported as {resolution:?}"
                );
                self.oracle.reported_uncommitted.insert(id);
            }
            CommitResolution::Overwritten => self.count("overwritten"),
            CommitResolution::Unresolved => self.count("unresolved"),
        }
        let known = matches!(resolution, CommitResolution::Committed { .. });
        match plan.intent {
            Intent::Submit { job, ref key, digest } if known => {
                self.oracle.accepted.push((job, key.clone(), digest));
            }
            Intent::Submit { ref key, digest, .. } if resolution != CommitResolution::Unresolved => {
                self.answer_submission(key.clone(), digest);
            }
            Intent::Claim => self.handle_claim(plan.claim.unwrap(), known),
            Intent::TakeOver { vm, ref centre } if known => self.store_guard(vm, centre.clone()),
            Intent::Start {
                job,
                attempt,
                runs: true,
                ..
            } if known => self.run_attempt(job, attempt),
            _ => {}
        }
        if known {
            self.count(event_of(&plan.intent));
        }
    }

    /// Returns the job in the key's row to the caller, whichever VM submitted it.
    fn answer_submission(&mut self, key: RowKey, digest: BodyDigest) {
        let row: Option<Versioned<KeyRecord>> = self.load(key.clone());
        match look_up_submission(row.as_ref().map(|row| &row.record), digest) {
            Ok(Some(job)) => self.oracle.accepted.push((job, key, digest)),
            Ok(None) => {}
            Err(_) => self.count("key reused"),
        }
    }

    /// Sends the request if its claim is known to have committed; otherwise the claim is withdrawn later.
    fn handle_claim(&mut self, (vm, claim): (u8, RequestClaim), known: bool) {
        if claim.claimant != self.vms[usize::from(vm)] {
            return;
        }
        if !known {
            self.withdrawals.push((vm, claim));
            return;
        }
        let sent = SentRequest {
            key: claim.row_key(),
            claim: claim.write_id,
            not_run: false,
        };
        self.oracle.send(sent);
        self.sent.push((vm, claim));
    }

    /// Returns whether the upstream can report that the request did not run: it has not responded to it yet.
    pub(crate) fn prove_not_run(&mut self, claim: WriteId) -> bool {
        if self.answered.contains(&claim) {
            return false;
        }
        let sent = self.oracle.sent.iter_mut().find(|sent| sent.claim == claim);
        sent.unwrap().not_run = true;
        self.count("proven not run");
        true
    }

    /// Stores the guard until the VM takes over again or restarts; a paused holder is not notified.
    fn store_guard(&mut self, vm: u8, centre: CentreName) {
        let epoch: Versioned<EpochRecord> = self.load(RowKey::Epoch(centre.clone())).unwrap();
        if let Some(guard) = epoch.guard(&self.vms[usize::from(vm)]) {
            self.guards.insert((vm, centre), guard);
        }
    }

    /// Sends the start to the workers, which refuse it if the attempt was voided or has ended.
    fn run_attempt(&mut self, job: JobId, number: AttemptNumber) {
        let row: Versioned<JobRecord> = self.load(RowKey::Job(job)).unwrap();
        let started = matches!(row.record.state, JobState::Starting | JobState::Running);
        let attempt = self.oracle.attempts.get_mut(&job).unwrap().last_mut().unwrap();
        attempt.ran |= started && row.record.attempt == number && !attempt.voided;
    }

    /// Returns whether the workers' responses allow a holder to end the attempt in this way.
    pub(crate) fn has_evidence(&mut self, job: JobId, end: EndKind) -> bool {
        let Some(attempt) = self
            .oracle
            .attempts
            .get_mut(&job)
            .and_then(|attempts| attempts.last_mut())
        else {
            return matches!(end, EndKind::Refused);
        };
        match end {
            EndKind::RequeueUnstarted | EndKind::Voided => {
                attempt.voided |= !attempt.ran;
                !attempt.ran
            }
            EndKind::RequeueCheckpointed | EndKind::Ran => attempt.ran,
            EndKind::RequeueLost | EndKind::Refused | EndKind::Unknown | EndKind::Cancelled => true,
        }
    }

    fn restart(&mut self, vm: u8) {
        let name = self.vms[usize::from(vm)].vm.clone();
        self.vms[usize::from(vm)] = self.identity(name);
        self.guards.retain(|(holder, _), _| *holder != vm);
        self.sent.retain(|(sender, _)| *sender != vm);
        self.withdrawals.retain(|(claimant, _)| *claimant != vm);
    }
}

fn next_month(now: PlatformTime) -> PlatformTime {
    const DAY: u64 = 86_400_000;
    let mut day = PlatformTime(now.0 - now.0 % DAY);
    while CalendarMonth::of(day) == CalendarMonth::of(now) {
        day = day + DAY;
    }
    day
}

fn event_of(intent: &Intent) -> &'static str {
    match intent {
        Intent::Submit { .. } => "submission",
        Intent::Claim => "claim",
        Intent::TakeOver { .. } => "takeover",
        Intent::Start { .. } => "start",
        Intent::Checkpoint { .. } => "planned checkpoint",
        Intent::Decide { .. } => "decision",
        Intent::Advance => "turn",
        Intent::Other => "other",
    }
}
