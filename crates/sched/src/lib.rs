//! Placement decisions for one data centre, without input or output.

mod event;

pub use event::{
    AccountShare, AttemptEnd, GangPlacement, MemberPlacement, PlacementAction, PlacementEvent, PreemptReason,
};
