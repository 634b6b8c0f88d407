//! Proposals of account configurations and the decisions of the owner of the month.

mod proposal_decision;
mod proposal_intake;
mod turn_keeper;

pub(crate) use proposal_decision::{OwnerChoice, decide};
pub(crate) use proposal_intake::{pool_racks, propose, read_proposal};
pub(crate) use turn_keeper::current_turn;
