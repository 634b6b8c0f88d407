use std::time::Duration;

use arbutuspick_model::{CellLevel, CentreName};
use hyper::Method;
use serde_json::Value;
use tokio::time::{MissedTickBehavior, interval};

use super::entry_pool::{EntryCall, EntryPool, json_body, send};

const PERIOD: Duration = Duration::from_millis(500);
const CALL_MS: u64 = 400;

/// Free accelerators of a data centre at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSample {
    /// Data centre.
    pub data_centre: CentreName,
    /// Free accelerators.
    pub free: u64,
    /// Those that are in whole free workers.
    pub free_in_workers: u64,
}

impl PoolSample {
    /// Reads maximal free cells by level from an entry VM's answer about all data centres.
    ///
    /// Returns nothing while the VM has no fresh summary of the data centre.
    pub fn from_answer(data_centre: CentreName, answer: &Value) -> Option<Self> {
        let centres = answer["data_centres"].as_array()?;
        let centre = centres
            .iter()
            .find(|centre| centre["data_centre"] == data_centre.as_str())?;
        let counts = centre["summary"]["free"].as_array()?;
        let mut sample = Self {
            data_centre,
            free: 0,
            free_in_workers: 0,
        };
        for (level, count) in CellLevel::ALL.into_iter().zip(counts) {
            let accelerators = count.as_u64()? * u64::from(level.accelerators());
            sample.free += accelerators;
            if level >= CellLevel::Worker {
                sample.free_in_workers += accelerators;
            }
        }
        Some(sample)
    }

    /// Share of the free accelerators that no whole free worker has.
    pub fn fragmentation(&self) -> f64 {
        if self.free == 0 {
            return 0.0;
        }
        1.0 - self.free_in_workers as f64 / self.free as f64
    }
}

/// Samples the pools of all data centres until the future is dropped.
pub(crate) async fn sample_pools(
    entries: &EntryPool,
    token: &str,
    samples: &parking_lot::Mutex<Vec<PoolSample>>,
) {
    let call = EntryCall::new(Method::GET, "/v1/pool", token);
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        for (centre, client) in entries.centres() {
            let Ok(answer) = send(&client, &call, entries.clock.now() + CALL_MS).await else {
                continue;
            };
            let sample = PoolSample::from_answer(centre, &json_body(&answer));
            samples.lock().extend(sample);
        }
    }
}
