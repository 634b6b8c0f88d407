use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{AttemptNumber, CentreName, ClockTime, JobId, PlatformTime, VmName, WriteId};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    BodyDigest, CalendarMonth, CommitAnswer, CommitProgress, CommitResolution, CommitResult, CommitStep,
    EpochRecord, HolderGuard, JobRecord, JobState, KeyRecord, ReadQuery, RequestClaim, RowKey, RowWrite,
    TableTransaction, TurnRecord, Versioned, VmIdentity, judge_submission,
};
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::action::{Action, Delivery, End, Step};
use crate::oracle::{Intent, Oracle, Sent, scan};

const MAX_CALLS: u32 = 5;
const COMMIT_TERM_MS: u64 = 20_000;

/// A transaction that an actor planned.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) transaction: TableTransaction,
    pub(crate) intent: Intent,
    pub(crate) claim: Option<(u8, RequestClaim)>,
}

/// A commit whose caller waits for a resolution.
#[derive(Debug)]
struct Flight {
    plan: Plan,
    progress: CommitProgress,
}

/// The table, the processes around it and what they believe.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) table: MemoryTable,
    pub(crate) now: PlatformTime,
    pub(crate) vms: Vec<VmIdentity>,
    pub(crate) guards: BTreeMap<(u8, CentreName), HolderGuard>,
    pub(crate) sent: Vec<(u8, RequestClaim)>,
    pub(crate) withdrawals: Vec<(u8, RequestClaim)>,
    pub(crate) answered: BTreeSet<WriteId>,
    pub(crate) oracle: Oracle,
    pub(crate) tally: BTreeMap<&'static str, u32>,
    flights: Vec<Flight>,
    history: Vec<Plan>,
    last_id: u128,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            table: MemoryTable::default(),
            now: PlatformTime(1_798_300_000_000), // 2026-12-26.
            vms: Vec::new(),
            guards: BTreeMap::new(),
            sent: Vec::new(),
            withdrawals: Vec::new(),
            answered: BTreeSet::new(),
            oracle: Oracle::default(),
            tally: BTreeMap::new(),
            flights: Vec::new(),
            history: Vec::new(),
            last_id: 0,
        };
        for vm in ["vm-1", "vm-2", "vm-3"] {
            let identity = world.identity(VmName::try_from(vm).unwrap());
            world.vms.push(identity);
        }
        let turn = world.first_turn();
        world.table.commit(&turn);
        world
    }

    /// Checks all rows and counts how the jobs of this run stand at its end.
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

    /// Counts upwards, so that a run depends on nothing but its seed.
    pub(crate) fn next_id(&mut self) -> WriteId {
        self.last_id += 1;
        WriteId(Uuid::from_u128(self.last_id))
    }

    fn identity(&mut self, vm: VmName) -> VmIdentity {
        let incarnation = self.next_id().0;
        VmIdentity { vm, incarnation }
    }

    pub(crate) fn load<R>(&self, key: RowKey) -> Option<Versioned<R>>
    where
        R: DeserializeOwned,
    {
        self.table.load(&key).unwrap()
    }

    fn count(&mut self, event: &'static str) {
        *self.tally.entry(event).or_default() += 1;
    }

    pub(crate) fn apply(&mut self, step: &Step) {
        match step {
            Step::Act(action, delivery) => {
                if self.launch(action) {
                    self.proceed(self.flights.len() - 1, *delivery);
                }
            }
            Step::Race(late, early) => {
                let launched = usize::from(self.launch(late)) + usize::from(self.launch(early));
                self.land(launched);
            }
            Step::Continue(pick, delivery) if !self.flights.is_empty() => {
                self.proceed(usize::from(*pick) % self.flights.len(), *delivery);
            }
            Step::Duplicate(pick) if !self.history.is_empty() => {
                let plan = self.history[usize::from(*pick) % self.history.len()].clone();
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

    /// Plans an action and returns whether there is something to commit.
    fn launch(&mut self, action: &Action) -> bool {
        let Some(plan) = self.plan(action) else {
            return false;
        };
        let deadline = self.clock() + COMMIT_TERM_MS;
        let progress = CommitProgress::new(&plan.transaction, deadline, MAX_CALLS);
        self.flights.push(Flight { plan, progress });
        true
    }

    /// Commits the last flights, the last one first.
    fn land(&mut self, count: usize) {
        for _ in 0..count {
            self.proceed(self.flights.len() - 1, Delivery::Answered);
        }
    }

    /// A turn that lags is caught up first: no owner can decide until then.
    fn race_month_end(&mut self, decision: &Action) {
        let turn: Versioned<TurnRecord> = self.load(RowKey::Turn).unwrap();
        if !turn.record.is_over(self.now) {
            let next = next_month(self.now);
            self.now = self.now.max(next - 2_000);
            let decided = self.launch(decision);
            self.now = next;
            let advanced = self.launch(&Action::AdvanceTurn);
            self.land(usize::from(decided) + usize::from(advanced));
        }
    }

    fn clock(&self) -> ClockTime {
        ClockTime(self.now.0)
    }

    fn commit(&mut self, plan: &Plan) -> CommitResult {
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

    /// Makes the next call of a commit and lets the network answer it or not.
    fn proceed(&mut self, index: usize, delivery: Delivery) {
        if matches!(delivery, Delivery::Held) {
            return;
        }
        let step = self.flights[index].progress.step(self.clock());
        if let CommitStep::Done(resolution) = step {
            let flight = self.flights.swap_remove(index);
            return self.conclude(flight.plan, resolution);
        }
        let plan = self.flights[index].plan.clone();
        if matches!(step, CommitStep::Send) {
            self.history.push(plan.clone());
        }
        let answer = match (delivery, step) {
            (Delivery::RequestLost, _) => CommitAnswer::Lost,
            (_, CommitStep::ReadBack(keys)) => CommitAnswer::Rows(self.table.read(&ReadQuery { keys })),
            _ => CommitAnswer::Result(self.commit(&plan)),
        };
        let answer = match delivery {
            Delivery::AnswerLost => CommitAnswer::Lost,
            _ => answer,
        };
        let flight = &mut self.flights[index];
        flight.progress.record(answer);
        if let CommitStep::Done(resolution) = flight.progress.step(ClockTime(0)) {
            let flight = self.flights.swap_remove(index);
            self.conclude(flight.plan, resolution);
        }
    }

    /// Lets the caller act on the resolution of its commit.
    fn conclude(&mut self, plan: Plan, resolution: CommitResolution) {
        let id = plan.transaction.id;
        let committed = self.oracle.committed.contains(&id);
        match &resolution {
            CommitResolution::Committed { .. } => assert!(committed, "commit that never took effect"),
            CommitResolution::Conflict { .. } | CommitResolution::NotSent => {
                assert!(
                    !committed,
                    "commit that took effect was reported as {resolution:?}"
                );
                self.oracle.denied.insert(id);
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
            Intent::Claim => self.conclude_claim(plan.claim.unwrap(), known),
            Intent::Take { vm, ref centre } if known => self.become_holder(vm, centre.clone()),
            Intent::Start {
                job,
                attempt,
                runs: true,
                ..
            } if known => self.run_attempt(job, attempt),
            _ => {}
        }
        if known {
            self.count(name_of(&plan.intent));
        }
    }

    /// The caller is told the job that the key's row names, whichever VM submitted it.
    fn answer_submission(&mut self, key: RowKey, digest: BodyDigest) {
        let row: Option<Versioned<KeyRecord>> = self.load(key.clone());
        match judge_submission(row.as_ref().map(|row| &row.record), digest) {
            Ok(Some(job)) => self.oracle.accepted.push((job, key, digest)),
            Ok(None) => {}
            Err(_) => self.count("key reused"),
        }
    }

    /// Only a claim that is known to have committed is sent; any other is withdrawn later.
    fn conclude_claim(&mut self, (vm, claim): (u8, RequestClaim), known: bool) {
        if claim.claimant != self.vms[usize::from(vm)] {
            return;
        }
        if !known {
            self.withdrawals.push((vm, claim));
            return;
        }
        let sent = Sent {
            key: claim.row_key(),
            claim: claim.write_id,
            not_run: false,
        };
        self.oracle.send(sent);
        self.sent.push((vm, claim));
    }

    /// Returns whether the upstream can say that the request did not run: it gave no other answer before.
    pub(crate) fn prove_not_run(&mut self, claim: WriteId) -> bool {
        if self.answered.contains(&claim) {
            return false;
        }
        let sent = self.oracle.sent.iter_mut().find(|sent| sent.claim == claim);
        sent.unwrap().not_run = true;
        self.count("proven not run");
        true
    }

    /// A holder believes in its epoch until it takes another; nothing tells a paused holder.
    fn become_holder(&mut self, vm: u8, centre: CentreName) {
        let epoch: Versioned<EpochRecord> = self.load(RowKey::Epoch(centre.clone())).unwrap();
        if let Some(guard) = epoch.guard(&self.vms[usize::from(vm)]) {
            self.guards.insert((vm, centre), guard);
        }
    }

    /// The holder sends the start; workers refuse it when the attempt was voided or ended.
    fn run_attempt(&mut self, job: JobId, number: AttemptNumber) {
        let row: Versioned<JobRecord> = self.load(RowKey::Job(job)).unwrap();
        let started = matches!(row.record.state, JobState::Starting | JobState::Running);
        let attempt = self.oracle.attempts.get_mut(&job).unwrap().last_mut().unwrap();
        attempt.ran |= started && row.record.attempt == number && !attempt.voided;
    }

    /// Returns whether the workers' answers allow a holder to end the attempt in this way.
    pub(crate) fn has_evidence(&mut self, job: JobId, how: End) -> bool {
        let Some(attempt) = self
            .oracle
            .attempts
            .get_mut(&job)
            .and_then(|attempts| attempts.last_mut())
        else {
            return matches!(how, End::Refused);
        };
        match how {
            End::RequeueUnstarted | End::Voided => {
                attempt.voided |= !attempt.ran;
                !attempt.ran
            }
            End::RequeueCheckpointed | End::Ran => attempt.ran,
            End::RequeueLost | End::Refused | End::Doubtful | End::Cancelled => true,
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

fn name_of(intent: &Intent) -> &'static str {
    match intent {
        Intent::Submit { .. } => "submission",
        Intent::Claim => "claim",
        Intent::Take { .. } => "takeover",
        Intent::Start { .. } => "start",
        Intent::Checkpoint { .. } => "planned checkpoint",
        Intent::Decide { .. } => "decision",
        Intent::Advance => "turn",
        Intent::Other => "other",
    }
}
