use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{CallPriority, ClientOptions, ObjectClient};
use bytes::Bytes;
use parking_lot::Mutex;

use crate::worker_part::TaskProgress;

/// Storage for checkpoints of workers.
#[derive(Clone, Debug)]
pub(crate) enum CheckpointStore {
    Memory(Arc<Mutex<HashMap<String, Bytes>>>),
    Objects(ObjectClient),
}

impl CheckpointStore {
    /// Creates a store in the platform's object store, or in memory when there is no platform.
    pub(crate) fn new(platform: Option<SocketAddr>) -> Self {
        let Some(address) = platform else {
            return Self::Memory(Arc::default());
        };
        let options = ClientOptions::new(address)
            .with_call_timeout(Duration::from_secs(2))
            .with_reads_per_s(1000)
            .with_writes_per_s(1000);
        Self::Objects(ObjectClient::new(options))
    }

    pub(crate) async fn put(&self, key: &str, progress: TaskProgress) -> Result<(), String> {
        let bytes = Bytes::from(serde_json::to_vec(&progress).map_err(|e| e.to_string())?);
        match self {
            Self::Memory(objects) => {
                objects.lock().insert(key.to_owned(), bytes);
                Ok(())
            }
            Self::Objects(client) => client
                .put(key, bytes, CallPriority::Essential)
                .await
                .map_err(|e| e.to_string()),
        }
    }

    pub(crate) async fn get(&self, key: &str) -> Result<TaskProgress, String> {
        let bytes = match self {
            Self::Memory(objects) => objects.lock().get(key).cloned(),
            Self::Objects(client) => client
                .get(key, CallPriority::Essential)
                .await
                .map_err(|e| e.to_string())?,
        };
        let bytes = bytes.ok_or_else(|| format!("no checkpoint {key:?}"))?;
        serde_json::from_slice(&bytes).map_err(|e| e.to_string())
    }
}
