//! Registry of the processes of the deployment, in which a process that cannot reach the store finds relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::seq::SliceRandom;

use crate::BootClock;
use crate::leading_cost::ProcessLimits;
use crate::row_store::{RowStore, RowTransaction, RowWrite, StoreError, read_table};

/// Table of [`MemberRecord`]s; the key is the name of the VM.
pub(crate) const MEMBER_TABLE: &str = "members";
/// Interval between reads of the member table, in milliseconds. A few reachable peers are enough, so VMs that
/// joined recently may be missing.
const REFRESH_INTERVAL_MS: u64 = 15_000;
/// Delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;
/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 900;
/// Delay from registration to the first read, in milliseconds, so that processes started together are listed.
const FIRST_READ_DELAY_MS: u64 = 1_500;

/// Entry of one process.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct MemberRecord {
    /// Address of its relay server.
    #[prost(string, tag = "1")]
    pub(crate) address: String,
    /// Data centre of its VM.
    #[prost(string, tag = "2")]
    pub(crate) centre: String,
    /// Limits of the process; 0 for none.
    #[prost(uint64, tag = "4")]
    memory_mb: u64,
    #[prost(uint64, tag = "5")]
    max_descriptors: u64,
    #[prost(uint64, tag = "6")]
    cpu_percent: u64,
    #[prost(uint64, tag = "7")]
    link_mbps: u64,
}

impl MemberRecord {
    pub(crate) fn new(address: SocketAddr, centre: &str, limits: ProcessLimits) -> Self {
        Self {
            address: address.to_string(),
            centre: centre.into(),
            memory_mb: limits.memory_mb,
            max_descriptors: limits.max_descriptors,
            cpu_percent: limits.cpu_percent,
            link_mbps: limits.link_mbps,
        }
    }

    fn limits(&self) -> ProcessLimits {
        ProcessLimits {
            memory_mb: self.memory_mb,
            max_descriptors: self.max_descriptors,
            cpu_percent: self.cpu_percent,
            link_mbps: self.link_mbps,
        }
    }
}

/// Another process that can relay calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerProcess {
    pub(crate) vm: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) limits: ProcessLimits,
}

/// Registers this process and reads the member table periodically; passes the others to `on_update`.
///
/// The nearest come first. A process that has never reached the store knows no peers.
pub(crate) async fn watch_members<S, F>(
    store: &S,
    clock: BootClock,
    vm: &str,
    own: MemberRecord,
    on_update: F,
) where
    S: RowStore,
    F: Fn(Vec<PeerProcess>),
{
    while let Err(error) = register(store, clock, vm, &own).await {
        log::debug!("[relay] cannot register this process yet: {error}");
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    tokio::time::sleep(Duration::from_millis(FIRST_READ_DELAY_MS)).await;
    loop {
        let delay_ms = match read_table(store, MEMBER_TABLE, clock.now() + CALL_TIMEOUT_MS).await {
            Ok((rows, _)) => {
                let others = rows.into_iter().filter(|row| row.key.as_ref() != vm);
                let records = others.filter_map(|row| match MemberRecord::decode(row.value?) {
                    Ok(record) => Some((row.key, record)),
                    Err(error) => {
                        log::warn!("[relay] vm={} cannot decode its member record: {error}", row.key);
                        None
                    }
                });
                on_update(order_by_proximity(records.collect(), &own.centre));
                REFRESH_INTERVAL_MS
            }
            Err(error) => {
                log::debug!("[relay] cannot read the member table: {error}");
                RETRY_DELAY_MS
            }
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn register<S>(store: &S, clock: BootClock, vm: &str, own: &MemberRecord) -> Result<(), StoreError>
where
    S: RowStore,
{
    let transaction = RowTransaction {
        conditions: Vec::new(),
        writes: vec![RowWrite {
            table: MEMBER_TABLE,
            key: vm.into(),
            value: Some(own.encode_to_vec().into()),
        }],
    };
    store
        .transact(&transaction, clock.now() + CALL_TIMEOUT_MS)
        .await
        .map(|_| ())
}

/// Returns the processes in random order, those of the same data centre first.
fn order_by_proximity(mut records: Vec<(Arc<str>, MemberRecord)>, centre: &str) -> Vec<PeerProcess> {
    records.shuffle(&mut rand::rng());
    records.sort_by_key(|(_, record)| record.centre != centre);
    let peers = records
        .into_iter()
        .filter_map(|(vm, record)| match record.address.parse() {
            Ok(address) => Some(PeerProcess {
                vm,
                address,
                limits: record.limits(),
            }),
            Err(error) => {
                log::warn!(
                    "[relay] vm={vm} address={} is not a socket address: {error}",
                    record.address
                );
                None
            }
        });
    peers.collect()
}
