//! Configuration and data centre records, as this VM knows them.

mod centre_board;
mod config_store;
mod config_sync;
mod guarantee_check;

pub use centre_board::{CentreBoard, CentreView};
pub use config_store::ConfigStore;
pub(crate) use config_sync::{ConfigSync, read_whole_config, run_config_sync, store_snapshot, sync_now};
pub(crate) use guarantee_check::{RackSizes, check_config, racks_by_centre, shortfalls_without};
