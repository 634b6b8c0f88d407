//! The placement holder of a data centre: lease, workers, gangs and the loop that joins them with decisions.

mod gang_attempt;
mod gang_event;
mod gang_part;
mod worker_clock;

pub use gang_attempt::{
    AttemptRules, GANG_LEASE_MS, GangMachine, HOLD_MS, PREPARE_LIMIT_MS, SILENCE_LIMIT_MS, START_PERMIT_MS,
    START_SEND_MS,
};
pub use gang_event::{AttemptVerdict, GangCommand, GangEvent};
pub use gang_part::{GangPart, PartPhase};
pub use worker_clock::WorkerClock;
