//! Records of jobs that outgrow a row of the store.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arbutuspick_dispatch::{BootClock, CancelOutcome, ProgressRows, RowEntry, RowWrite, SubmitOutcome};
use arbutuspick_pool::{JobBody, JobRecord, JobStage, OccurrenceRecord, TaskRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{
    FakeFleet, FakeStore, MAX_ROW_BYTES, TestProcess, deadline, final_stage, job, sleep_ms, store_with,
};

const LARGE_ID: &str = "00000000000000aa";
const OTHER_ID: &str = "00000000000000bb";

/// Returns a job whose occurrences are overdue.
fn repeated_job(tasks: u32, occurrences: u32) -> JobBody {
    let mut body = job(tasks);
    body.steps[0].millicores = 100;
    body.steps[0].memory_mb = 10;
    body.steps[0].accelerators = 0;
    body.occurrences = occurrences;
    body.first_due_ms = BootClock::default().wall().0 - 10_000_000;
    body.interval_ms = 200;
    body
}

/// Returns the keys of the rows beside the main rows of jobs.
fn part_keys(store: &FakeStore) -> Vec<String> {
    let keys = store.keys("progress");
    keys.into_iter().filter(|key| key.contains('/')).collect()
}

/// Guards against a pool that stops for all callers when many occurrences of a job run together, and against tasks that run twice when another process takes over from their rows.
#[tokio::test(start_paused = true)]
async fn overlapping_occurrences() {
    let (store, fleet) = (store_with(9), FakeFleet::new(3_000));
    let leader = TestProcess::start(1, &store, &fleet);
    sleep_ms(500).await;
    let other = TestProcess::start(2, &store, &fleet);
    sleep_ms(500).await;
    let body = repeated_job(330, 15);
    leader.intake.submit(LARGE_ID, &body, deadline(2_000)).await;
    sleep_ms(1_000).await;
    let is_split = !part_keys(&store).is_empty();
    leader.intake.submit(OTHER_ID, &job(3), deadline(2_000)).await;
    leader.kill();
    assert_eq!(final_stage(&other, OTHER_ID, 9_000).await, "completed");
    assert_eq!(final_stage(&other, LARGE_ID, 30_000).await, "completed");
    assert!(is_split, "the record fits a row");
    assert!(fleet.duplicated_tasks().is_empty());
    assert_eq!(fleet.started_runs().len(), 330 * 15 + 3, "a task ran again");
    sleep_ms(500).await;
    assert!(
        part_keys(&store).is_empty(),
        "rows of an ended job were left over"
    );
}

/// Guards against a pool that stops, or grows without limit, when a job that no worker can run falls due again and
/// again.
#[tokio::test(start_paused = true)]
async fn unplaceable_occurrences() {
    let (store, fleet) = (store_with(2), FakeFleet::new(500));
    let process = TestProcess::start(1, &store, &fleet);
    // Occurrences that fell due before the clock of the test began are overdue by now.
    sleep_ms(40_000).await;
    let mut body = repeated_job(70, 40_000);
    body.steps[0].required_label = "none".into();
    process.intake.submit(LARGE_ID, &body, deadline(2_000)).await;
    sleep_ms(1_500).await;
    process.intake.submit(OTHER_ID, &job(3), deadline(2_000)).await;
    assert_eq!(final_stage(&process, OTHER_ID, 3_000).await, "completed");
    let outcome = process.intake.cancel(LARGE_ID, None, deadline(2_000)).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    assert_eq!(final_stage(&process, LARGE_ID, 3_000).await, "cancelled");
    sleep_ms(1_000).await;
    assert!(
        part_keys(&store).is_empty(),
        "rows of a cancelled job were left over"
    );
}

/// Guards against a job whose body can never be stored, but whose caller is told to try again.
#[tokio::test(start_paused = true)]
async fn large_body() {
    let (store, fleet) = (store_with(1), FakeFleet::new(500));
    let process = TestProcess::start(1, &store, &fleet);
    let mut body = job(1);
    body.steps[0].required_label = "x".repeat(MAX_ROW_BYTES);
    let outcome = process.intake.submit(LARGE_ID, &body, deadline(2_000)).await;
    assert_eq!(outcome, SubmitOutcome::TooLarge);
}

type StoredRows = BTreeMap<Arc<str>, RowEntry>;

fn apply(rows: &mut StoredRows, writes: &[RowWrite]) {
    for write in writes {
        match &write.value {
            Some(_) => {
                let row = RowEntry {
                    table: write.table.into(),
                    key: write.key.clone(),
                    value: write.value.clone(),
                    version: 1,
                };
                rows.insert(write.key.clone(), row);
            }
            None => {
                rows.remove(&write.key);
            }
        }
    }
}

fn load(rows: &StoredRows) -> (ProgressRows, HashMap<Arc<str>, JobRecord>, Vec<RowWrite>) {
    let mut progress_rows = ProgressRows::new(4_096);
    let (records, stale_rows) = progress_rows.load(rows.values().cloned().collect());
    (progress_rows, records, stale_rows)
}

/// Returns the next state of a record: tasks start, end or get checkpoints, occurrences begin and are done.
fn next_record(record: &JobRecord, rng: &mut StdRng) -> JobRecord {
    let mut next = record.clone();
    next.occurrences.retain(|_| rng.random_bool(0.8));
    for occurrence in &mut next.occurrences {
        for task in &mut occurrence.tasks {
            if rng.random_bool(0.3) {
                task.run += 1;
                task.worker = format!("w{}", rng.random_range(0..999));
                task.checkpoint = "c".repeat(rng.random_range(0..120));
            }
        }
    }
    for _ in 0..rng.random_range(0..3) {
        next.occurrences.push(OccurrenceRecord {
            number: next.released,
            tasks: vec![TaskRecord::default(); 9],
            ..OccurrenceRecord::default()
        });
        next.released += 1;
    }
    next
}

/// Guards against a job that loses tasks, or runs them again, when a leader is lost between two commits of a record.
#[test]
fn partial_commits() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let id: Arc<str> = LARGE_ID.into();
        let (mut progress_rows, mut rows, mut stored) =
            (ProgressRows::new(4_096), StoredRows::new(), JobRecord::default());
        for _ in 0..30 {
            let mut next = next_record(&stored, &mut rng);
            if rng.random_bool(0.05) {
                next = JobRecord {
                    stage: JobStage::Completed.into(),
                    ..JobRecord::default()
                };
            }
            let mut writes = Vec::new();
            progress_rows.append_writes(id.clone(), Some(next.clone()), &mut writes);
            let largest = writes
                .iter()
                .filter_map(|write| write.value.as_ref())
                .map(bytes::Bytes::len);
            assert!(largest.max() <= Some(4_096), "seed {seed}: a row is too large");
            let done = rng.random_range(0..=writes.len());
            apply(&mut rows, &writes[..done]);
            let (reloaded, records, stale_rows) = load(&rows);
            check_joined(records.get(&id), &stored, &next, seed);
            if done < writes.len() && rng.random_bool(0.5) {
                // The next leader begins with the joined record.
                apply(&mut rows, &stale_rows);
                (progress_rows, stored) = (reloaded, records.get(&id).cloned().unwrap_or_default());
            } else {
                apply(&mut rows, &writes[done..]);
                stored = next;
                assert_eq!(
                    load(&rows).1.get(&id).map(sorted),
                    Some(sorted(&stored)),
                    "seed {seed}"
                );
            }
            if stored.stage().is_final() {
                assert_eq!(rows.len(), 1, "seed {seed}: parts were left over");
                break;
            }
        }
    }
}

fn sorted(record: &JobRecord) -> JobRecord {
    let mut record = record.clone();
    record.occurrences.sort_by_key(|occurrence| occurrence.number);
    record
}

/// Checks that each task has its state before or after the commit.
fn check_joined(joined: Option<&JobRecord>, before: &JobRecord, after: &JobRecord, seed: u64) {
    let Some(joined) = joined.filter(|joined| !joined.stage().is_final()) else {
        return;
    };
    let tasks_of = |record: &JobRecord, number: u32| {
        let found = record
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == number);
        found.map(|occurrence| occurrence.tasks.clone())
    };
    for number in 0..after.released.max(joined.released) {
        let (old, new) = (tasks_of(before, number), tasks_of(after, number));
        let Some(tasks) = tasks_of(joined, number) else {
            let is_done = old.is_none() || new.is_none();
            assert!(
                is_done || number >= joined.released,
                "seed {seed}: occurrence {number} is lost"
            );
            continue;
        };
        assert!(
            old.is_some() || new.is_some(),
            "seed {seed}: occurrence {number} is back"
        );
        for (index, task) in tasks.iter().enumerate() {
            let is_new = old.is_none() && *task == TaskRecord::default();
            let known = [&old, &new]
                .into_iter()
                .flatten()
                .any(|tasks| tasks[index] == *task);
            assert!(
                known || is_new,
                "seed {seed}: task {index} of occurrence {number} {task:?}"
            );
        }
    }
}
