//! Keeps the learned speeds of workers across incarnations and changes of the leader.
//!
//! Load pattern: a new leader places the work of the whole pool at once, on workers that it has not seen work.
//! Losing the stored speeds only makes choices worse.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use arbutuspick_model::ClockTime;
use prost::Message;
use snafu::{ResultExt, Snafu};

use crate::pool_core::PoolCore;
use crate::workers::worker_speed::{SpeedEstimate, SpeedTier};
use crate::{WorkerKey, WorkerReport};

/// Key of the stored speeds among the learned states.
const SPEEDS_KEY: &str = "worker speeds";
/// Minimum interval between two states to store, in milliseconds.
const MIN_STORE_INTERVAL_MS: u64 = 5_000;
/// Change of a logarithmic speed, in hundredths, from which on a worker counts as changed.
const MIN_CHANGE: i32 = 15;
/// One in this many workers has to have changed before the speeds are stored again.
const CHANGED_DIVISOR: usize = 20;
/// Maximum number of workers that are not present whose speeds are kept.
const MAX_ABSENT_WORKERS: usize = 2_048;
/// Maximum encoded size of the numbers of a worker, in bytes.
const MAX_ENTRY_BYTES: usize = 20;

/// A learned state, to be stored for the next leader under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedState {
    /// Name of the state.
    pub key: &'static str,
    /// Encoded state.
    pub value: Vec<u8>,
}

/// Error in a stored state.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LearnedStateError {
    /// No state has this key.
    #[snafu(display("there is no learned state named {key:?}"))]
    UnknownKey {
        /// Key of the stored state.
        key: String,
    },
    /// The value cannot be decoded.
    #[snafu(display("cannot decode the speeds of workers: {source}"))]
    Undecodable {
        /// Cause of the failure.
        source: prost::DecodeError,
    },
}

/// Speeds of the workers that differ from the usual one, by position.
#[derive(Clone, PartialEq, Eq, Message)]
struct SpeedTable {
    #[prost(string, repeated, tag = "1")]
    ids: Vec<String>,
    /// Digests of the kinds of workers to which the speeds belong.
    #[prost(fixed32, repeated, tag = "2")]
    kinds: Vec<u32>,
    /// Natural logarithms of the speeds, in hundredths.
    #[prost(sint32, repeated, tag = "3")]
    log_speeds: Vec<i32>,
    /// Weights of the estimates, in tenths.
    #[prost(uint32, repeated, tag = "4")]
    weights: Vec<u32>,
}

/// Speed of a worker that is not present, or not yet.
#[derive(Clone, Debug)]
struct AbsentSpeed {
    kind: u32,
    speed: SpeedEstimate,
}

/// Learned speeds apart from those of the present workers.
#[derive(Debug, Default)]
pub(crate) struct LearnedSpeeds {
    absent: HashMap<Arc<str>, AbsentSpeed>,
    /// Logarithmic speeds in hundredths, as last stored.
    stored: HashMap<Arc<str>, i32>,
    stored_at: ClockTime,
}

/// Returns a digest of all that tells one kind of worker from another.
fn kind_digest(report: &WorkerReport) -> u32 {
    let mut hasher = DefaultHasher::new();
    (&report.service, &report.labels, &report.capacity).hash(&mut hasher);
    let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

#[allow(clippy::cast_possible_truncation)]
fn hundredths(log_speed: f64) -> i32 {
    (log_speed * 100.0).round() as i32
}

impl PoolCore {
    /// Returns the learned speeds if they have changed enough to be stored again, in at most `max_bytes`.
    pub fn take_learned(&mut self, max_bytes: usize, now: ClockTime) -> Option<LearnedState> {
        if now.millis_since(self.learned_speeds.stored_at) < MIN_STORE_INTERVAL_MS {
            return None;
        }
        let views = self.workers.values().filter(|view| !view.removed);
        let mut different: Vec<_> = views
            .filter(|view| view.speed.tier() != SpeedTier::Usual)
            .collect();
        let stored = &self.learned_speeds.stored;
        let is_changed = |id: &Arc<str>, log_speed: i32| {
            let before = stored.get(id).copied().unwrap_or(0);
            before.abs_diff(log_speed) >= MIN_CHANGE.unsigned_abs()
        };
        let changed = different
            .iter()
            .filter(|view| is_changed(&view.report.id, hundredths(view.speed.log_speed())))
            .count();
        if changed == 0 || changed * CHANGED_DIVISOR < self.workers.len() {
            return None;
        }
        // The largest differences are stored if not all fit.
        different.sort_by(|a, b| {
            let [a, b] = [a, b].map(|view| view.speed.log_speed().abs());
            b.total_cmp(&a)
        });
        let (mut table, mut bytes) = (SpeedTable::default(), 0);
        let mut latest = HashMap::new();
        for view in different {
            bytes += view.report.id.len() + MAX_ENTRY_BYTES;
            if bytes > max_bytes {
                break;
            }
            let log_speed = hundredths(view.speed.log_speed());
            table.ids.push(view.report.id.to_string());
            table.kinds.push(kind_digest(&view.report));
            table.log_speeds.push(log_speed);
            table
                .weights
                .push(hundredths(view.speed.weight()).unsigned_abs() / 10);
            latest.insert(view.report.id.clone(), log_speed);
        }
        self.learned_speeds.stored = latest;
        self.learned_speeds.stored_at = now;
        Some(LearnedState {
            key: SPEEDS_KEY,
            value: table.encode_to_vec(),
        })
    }

    /// Takes over a state that an earlier leader has stored.
    ///
    /// Workers must be added later: a worker that is added gets the speed that was stored for its id, if it is still
    /// of the same kind.
    pub fn restore_learned(
        &mut self,
        key: &str,
        value: &[u8],
        now: ClockTime,
    ) -> Result<(), LearnedStateError> {
        if key != SPEEDS_KEY {
            return UnknownKeySnafu { key }.fail();
        }
        let table = SpeedTable::decode(value).context(UndecodableSnafu)?;
        let numbers = table.kinds.iter().zip(&table.log_speeds).zip(&table.weights);
        for (id, ((kind, log_speed), weight)) in table.ids.iter().zip(numbers).take(MAX_ABSENT_WORKERS) {
            let id: Arc<str> = id.as_str().into();
            let log = f64::from(*log_speed) / 100.0;
            let speed = SpeedEstimate::restored(log, f64::from(*weight) / 10.0, now);
            self.learned_speeds.stored.insert(id.clone(), *log_speed);
            let absent = AbsentSpeed { kind: *kind, speed };
            self.learned_speeds.absent.insert(id, absent);
        }
        self.learned_speeds.stored_at = now;
        Ok(())
    }

    /// Returns the speed that a new incarnation of a worker starts with: the known one, unless the worker is of
    /// another kind now.
    pub(crate) fn initial_speed(&mut self, report: &WorkerReport) -> SpeedEstimate {
        let kind = kind_digest(report);
        let present = self.worker_index.get(&report.id);
        if let Some(view) = present.and_then(|key| self.workers.get(*key)) {
            let is_same_kind = kind_digest(&view.report) == kind;
            return if is_same_kind {
                view.speed.clone()
            } else {
                SpeedEstimate::default()
            };
        }
        let absent = self.learned_speeds.absent.remove(&report.id);
        let same_kind = absent.filter(|absent| absent.kind == kind);
        same_kind.map_or_else(SpeedEstimate::default, |absent| absent.speed)
    }

    /// Keeps the speed of an incarnation that ends, for the next one under its id.
    pub(crate) fn keep_speed(&mut self, report: &WorkerReport, speed: SpeedEstimate) {
        let has_room = self.learned_speeds.absent.len() < MAX_ABSENT_WORKERS;
        if speed.weight() > 0.0 && has_room {
            let kind = kind_digest(report);
            self.learned_speeds
                .absent
                .insert(report.id.clone(), AbsentSpeed { kind, speed });
        }
    }

    /// Returns the relative speed of a worker, for reports; 1 is the usual one.
    pub fn worker_speed(&self, worker: WorkerKey) -> Option<f64> {
        self.workers.get(worker).map(|view| view.speed.speed())
    }
}
