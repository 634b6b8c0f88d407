//! This VM's copy of the configuration and of the data centre records.

mod centre_store;
mod config_store;
mod config_sync;
mod guarantee_check;

pub use centre_store::{CentreStore, CentreView};
pub use config_store::ConfigStore;
pub(crate) use config_sync::{ConfigSync, config_page, run_config_sync, store_snapshot, sync_now};
pub(crate) use guarantee_check::{RackSizes, check_config, racks_by_centre, shortfalls_without};
