//! Workers: what they report, what runs on them, and how well they work.

pub(crate) mod departure_check;
pub(crate) mod label_index;
pub(crate) mod learned_speeds;
pub(crate) mod listing_apply;
pub(crate) mod move_target;
pub(crate) mod progress_check;
pub(crate) mod rack_index;
pub(crate) mod run_move;
pub(crate) mod run_pace;
pub(crate) mod speed_learning;
pub(crate) mod worker_health;
pub(crate) mod worker_kind;
pub(crate) mod worker_listing;
pub(crate) mod worker_restart;
pub(crate) mod worker_speed;
pub(crate) mod worker_view;
