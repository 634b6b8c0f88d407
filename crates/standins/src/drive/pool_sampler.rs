use std::time::Duration;

use arbutuspick_model::{CellLevel, CentreName};
use hyper::Method;
use serde_json::Value;
use tokio::time::{MissedTickBehavior, interval};

use super::entry_pool::{EntryCall, EntryPool, json_body, send};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT_MS: u64 = 400;

/// Free accelerators of a data centre at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSample {
    /// Data centre.
    pub data_centre: CentreName,
    /// Number of free accelerators.
    pub free: u64,
    /// Free accelerators on workers that are entirely free.
    pub free_on_idle_workers: u64,
}

impl PoolSample {
    /// Reads the numbers of maximal free cells by level from an entry VM's response to `GET /v1/pool`.
    ///
    /// Returns `None` while the VM has no fresh summary of the data centre.
    pub fn from_answer(data_centre: CentreName, response: &Value) -> Option<Self> {
        let centres = response["data_centres"].as_array()?;
        let centre = centres
            .iter()
            .find(|centre| centre["data_centre"] == data_centre.as_str())?;
        let counts = centre["summary"]["free"].as_array()?;
        let mut sample = Self {
            data_centre,
            free: 0,
            free_on_idle_workers: 0,
        };
        for (level, count) in CellLevel::ALL.into_iter().zip(counts) {
            let accelerators = count.as_u64()? * u64::from(level.accelerators());
            sample.free += accelerators;
            if level >= CellLevel::Worker {
                sample.free_on_idle_workers += accelerators;
            }
        }
        Some(sample)
    }

    /// Returns the share of the free accelerators that are on partly used workers.
    pub fn fragmentation(&self) -> f64 {
        if self.free == 0 {
            return 0.0;
        }
        1.0 - self.free_on_idle_workers as f64 / self.free as f64
    }
}

/// Samples the free accelerators of every data centre until the future is dropped.
pub(crate) async fn sample_pools(
    entry_pool: &EntryPool,
    token: &str,
    samples: &parking_lot::Mutex<Vec<PoolSample>>,
) {
    let call = EntryCall::new(Method::GET, "/v1/pool", token);
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        for (centre, client) in entry_pool.centres() {
            let Ok(response) = send(&client, &call, entry_pool.clock.now() + CALL_TIMEOUT_MS).await else {
                continue;
            };
            let sample = PoolSample::from_answer(centre, &json_body(&response));
            samples.lock().extend(sample);
        }
    }
}
