//! Proposals of account configurations, and the decisions of the owner whose month it is.

mod owner_turn;
mod proposal_decision;
mod proposal_submission;

pub(crate) use owner_turn::current_turn;
pub(crate) use proposal_decision::{OwnerChoice, decide};
pub(crate) use proposal_submission::{pool_racks, propose, read_proposal};
