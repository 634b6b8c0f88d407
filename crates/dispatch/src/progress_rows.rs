use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use arbutuspick_pool::{JobRecord, MAX_TASK_RECORD_BYTES, OccurrenceRecord};
use bytes::Bytes;
use prost::Message;

use crate::leader_record::PROGRESS_TABLE;
use crate::row_store::{RowEntry, RowWrite};

/// Share of a row that a record fills before it is split, in percent; the rest covers the text encoding.
const ROW_FILL_PERCENT: usize = 75;

/// Digests of the stored parts of one record, by key.
type PartDigests = BTreeMap<Arc<str>, u64>;

/// Maps job records to rows of limited size.
///
/// A record that fits is one row. A larger one becomes a main row without occurrences and parts, each with up to
/// a fixed number of tasks of one occurrence, and stays split until the job ends. Rows are committed in several
/// transactions if need be, so any prefix of them has to join to a valid record:
///
/// - Parts precede the main row, which counts them as released.
/// - Removed parts follow the main row, the first one of an occurrence before the others; without its first part
///   an occurrence is done.
/// - A task is always in the same part of its occurrence.
#[derive(Debug)]
pub struct ProgressRows {
    row_budget: usize,
    tasks_per_part: usize,
    split_jobs: HashMap<Arc<str>, PartDigests>,
}

impl ProgressRows {
    /// Returns a mapping to rows with values of at most `max_row_bytes`.
    pub fn new(max_row_bytes: usize) -> Self {
        let row_budget = max_row_bytes * ROW_FILL_PERCENT / 100;
        Self {
            row_budget,
            tasks_per_part: (row_budget / MAX_TASK_RECORD_BYTES).max(1),
            split_jobs: HashMap::new(),
        }
    }

    /// Joins stored rows to records; returns them with removals of rows that belong to none.
    pub fn load(&mut self, rows: Vec<RowEntry>) -> (HashMap<Arc<str>, JobRecord>, Vec<RowWrite>) {
        let mut records = HashMap::new();
        let mut parts: BTreeMap<Arc<str>, (Arc<str>, Bytes)> = BTreeMap::new();
        for row in rows {
            let Some(value) = row.value else { continue };
            if let Some(job) = part_owner(&row.key) {
                parts.insert(row.key, (job, value));
                continue;
            }
            match JobRecord::decode(value) {
                Ok(record) => {
                    records.insert(row.key, record);
                }
                Err(error) => log::error!("[seat] job={} cannot decode its record: {error}", row.key),
            }
        }
        let mut stale_rows = Vec::new();
        for (key, (job, value)) in parts {
            let digest = digest_of(&value);
            let part = match OccurrenceRecord::decode(value) {
                Ok(part) => part,
                Err(error) => {
                    log::error!("[seat] key={key} cannot decode a part of a record: {error}");
                    continue;
                }
            };
            let record = records
                .get_mut(&job)
                .filter(|record: &&mut JobRecord| !record.stage().is_final());
            if record.is_some_and(|record| join_part(record, part)) {
                self.split_jobs.entry(job).or_default().insert(key, digest);
            } else {
                stale_rows.push(removal(key));
            }
        }
        (records, stale_rows)
    }

    /// Appends the writes that store a record, or remove it, in the order in which they are to be committed.
    pub fn append_writes(&mut self, job: Arc<str>, record: Option<JobRecord>, writes: &mut Vec<RowWrite>) {
        let stored_parts = self.split_jobs.remove(&job);
        let Some(mut record) = record else {
            writes.push(removal(job));
            writes.extend(stored_parts.into_iter().flatten().map(|(key, _)| removal(key)));
            return;
        };
        let is_split = stored_parts.is_some();
        if is_split || record.encoded_len() > self.row_budget {
            if !is_split {
                log::info!(
                    "[store] job={job} record split bytes={} occurrences={}",
                    record.encoded_len(),
                    record.occurrences.len()
                );
            }
            let occurrences = std::mem::take(&mut record.occurrences);
            let mut removed_parts = stored_parts.unwrap_or_default();
            let mut digests = PartDigests::new();
            for (key, part) in self.parts_of(&job, occurrences) {
                let value = Bytes::from(part.encode_to_vec());
                let digest = digest_of(&value);
                if removed_parts.remove(&key) != Some(digest) {
                    writes.push(stored(key.clone(), value));
                }
                digests.insert(key, digest);
            }
            let is_final = record.stage().is_final();
            writes.push(stored(job.clone(), record.encode_to_vec().into()));
            writes.extend(removed_parts.into_keys().map(removal));
            if !is_final {
                self.split_jobs.insert(job, digests);
            }
            return;
        }
        writes.push(stored(job, record.encode_to_vec().into()));
    }

    fn parts_of(&self, job: &str, occurrences: Vec<OccurrenceRecord>) -> Vec<(Arc<str>, OccurrenceRecord)> {
        let mut parts = Vec::new();
        for occurrence in occurrences {
            for (index, tasks) in occurrence.tasks.chunks(self.tasks_per_part).enumerate() {
                let first = index * self.tasks_per_part;
                // Numbers of equal length keep the parts of an occurrence in the order of their tasks.
                let key = format!("{job}{PART_SEPARATOR}{:010}.{first:010}", occurrence.number);
                let part = OccurrenceRecord {
                    number: occurrence.number,
                    tasks: tasks.to_vec(),
                    first_task: u32::try_from(first).unwrap_or(u32::MAX),
                };
                parts.push((key.into(), part));
            }
        }
        parts
    }
}

/// Separates the id of a job from the numbers of a part in the key of the part.
const PART_SEPARATOR: &str = "/part/";

/// Returns the job that the row with this key is a part of; `None` for a main row.
fn part_owner(key: &str) -> Option<Arc<str>> {
    key.rsplit_once(PART_SEPARATOR).map(|(job, _)| job.into())
}

/// Adds a part to the record, in place of what the main row has of these tasks; parts of an occurrence are added
/// in order. Returns `false` if the part belongs to an occurrence that is done.
fn join_part(record: &mut JobRecord, part: OccurrenceRecord) -> bool {
    let first = part.first_task as usize;
    let known = record
        .occurrences
        .iter()
        .position(|occurrence| occurrence.number == part.number);
    let index = match known {
        Some(index) => index,
        None if first == 0 => {
            record.occurrences.push(OccurrenceRecord {
                number: part.number,
                ..OccurrenceRecord::default()
            });
            record.occurrences.len() - 1
        }
        None => return false,
    };
    let tasks = &mut record.occurrences[index].tasks;
    let end = first + part.tasks.len();
    if tasks.len() < end {
        tasks.resize_with(end, Default::default);
    }
    for (task, stored) in tasks[first..end].iter_mut().zip(part.tasks) {
        *task = stored;
    }
    record.released = record.released.max(part.number.saturating_add(1));
    true
}

fn digest_of(value: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn stored(key: Arc<str>, value: Bytes) -> RowWrite {
    RowWrite {
        table: PROGRESS_TABLE,
        key,
        value: Some(value),
    }
}

fn removal(key: Arc<str>) -> RowWrite {
    RowWrite {
        table: PROGRESS_TABLE,
        key,
        value: None,
    }
}
