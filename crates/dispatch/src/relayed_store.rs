use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_server::ClientGuard;
use tokio::net::TcpListener;

use crate::member_list::{MEMBER_TABLE, MemberRecord, watch_members};
use crate::relay_client::{RelayClient, merge_results};
use crate::relay_message::{CallBody, FollowMessage, KnownTables, ReadMessage, ReplyBody};
use crate::relay_server::{RelayContext, serve_relay};
use crate::row_store::{FollowOutcome, RowPage, RowStore, RowTransaction, StoreError, TransactOutcome};
use crate::store_health::StoreHealth;
use crate::succession::{SuccessionCall, UseProbe};
use crate::{BootClock, PeerProbe, ProcessLimits};

/// Interval between direct probes of the store while it is unreachable, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 400;
/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;

/// A store that relays calls through other processes while this process cannot reach it directly.
///
/// Load pattern: the store refuses the calls of some VMs, or the network between some VMs and the store
/// fails, while other VMs reach it. Relaying lets the affected VMs serve their callers instead of rejecting
/// them.
#[derive(Clone, Debug)]
pub struct RelayedStore<S> {
    direct: S,
    clock: BootClock,
    health: Arc<StoreHealth>,
    client: Arc<RelayClient>,
    succession: Arc<SuccessionCall>,
}

/// Settings of the relay of a process.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Data centre of this VM.
    pub centre: Arc<str>,
    /// What this process may use.
    pub limits: ProcessLimits,
    /// Measures what this process uses.
    pub use_probe: UseProbe,
    /// Address of the relay server of this process.
    pub address: SocketAddr,
    /// Tables that a relayed call may access besides those of this crate.
    pub tables: KnownTables,
    /// Limits what the calls of other processes can hold.
    pub guard: ClientGuard,
}

impl<S> RelayedStore<S>
where
    S: RowStore,
{
    /// Returns a store that makes only direct calls until [`run`](Self::run) has found peers.
    pub fn new(direct: S, clock: BootClock) -> Self {
        Self {
            direct,
            clock,
            health: Arc::new(StoreHealth::new(clock)),
            client: Arc::new(RelayClient::new(clock)),
            succession: Arc::default(),
        }
    }

    /// Returns a probe with which this process takes part in handovers of leadership.
    pub fn peer_probe(&self) -> PeerProbe {
        PeerProbe {
            clock: self.clock,
            client: self.client.clone(),
            succession: self.succession.clone(),
        }
    }

    /// Serves relayed calls, refreshes the list of peers, and probes the store while it is unreachable.
    pub async fn run(self, listener: TcpListener, options: RelayOptions) {
        let context = Arc::new(RelayContext {
            store: self.direct.clone(),
            health: self.health.clone(),
            clock: self.clock,
            tables: options.tables,
            limits: options.limits,
            use_probe: options.use_probe,
            succession: self.succession.clone(),
        });
        let record = MemberRecord::new(options.address, &options.centre, options.limits);
        tokio::join!(
            serve_relay(listener, options.guard, context),
            watch_members(&self.direct, self.clock, &options.vm, record, |peers| {
                self.client.set_peers(peers);
            }),
            self.probe(),
        );
    }

    /// Probes the store while it cannot be reached directly.
    async fn probe(&self) {
        loop {
            self.health.wait_unreachable().await;
            tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            let deadline = self.clock.now() + PROBE_TIMEOUT_MS;
            // The range is empty, since all keys are smaller.
            let page = self.direct.read(MEMBER_TABLE, "\u{7f}", 1, deadline).await;
            if let Err(error) = self.health.record(page) {
                log::debug!("[store] probe of the direct path failed: {error}");
            }
        }
    }

    async fn relay<T, D>(
        &self,
        body: CallBody,
        deadline: ClockTime,
        decode: D,
    ) -> Option<Result<T, StoreError>>
    where
        D: Fn(ReplyBody) -> Result<T, StoreError>,
    {
        self.client.call(body, deadline).await.map(decode)
    }
}

impl<S> RowStore for RelayedStore<S>
where
    S: RowStore,
{
    async fn transact(
        &self,
        transaction: &RowTransaction,
        deadline: ClockTime,
    ) -> Result<TransactOutcome, StoreError> {
        let mut direct_error = None;
        if !self.health.is_unreachable() {
            let outcome = self.direct.transact(transaction, deadline).await;
            match self.health.record(outcome) {
                Ok(outcome) => return Ok(outcome),
                Err(error) => direct_error = Some(error),
            }
        }
        let body = CallBody::Transact(transaction.into());
        merge_results(
            direct_error,
            self.relay(body, deadline, ReplyBody::into_outcome).await,
        )
    }

    async fn read(
        &self,
        table: &'static str,
        from: &str,
        limit: usize,
        deadline: ClockTime,
    ) -> Result<RowPage, StoreError> {
        let mut direct_error = None;
        if !self.health.is_unreachable() {
            let page = self.direct.read(table, from, limit, deadline).await;
            match self.health.record(page) {
                Ok(page) => return Ok(page),
                Err(error) => direct_error = Some(error),
            }
        }
        let body = CallBody::Read(ReadMessage {
            table: table.into(),
            from: from.into(),
            limit: limit as u64,
        });
        merge_results(
            direct_error,
            self.relay(body, deadline, ReplyBody::into_page).await,
        )
    }

    async fn follow(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
        deadline: ClockTime,
    ) -> Result<FollowOutcome, StoreError> {
        let mut direct_error = None;
        if !self.health.is_unreachable() {
            let followed = tokio::select! {
                followed = self.direct.follow(table, after, wait_ms, deadline) => {
                    self.health.record(followed)
                }
                // Other calls found the store unreachable, so this one would not be answered either.
                () = self.health.wait_unreachable() => Err(StoreError::Indeterminate { message: "the store is unreachable".into() }),
            };
            match followed {
                Ok(follow) => return Ok(follow),
                Err(error) => direct_error = Some(error),
            }
        }
        let body = CallBody::Follow(FollowMessage {
            table: table.into(),
            after,
            wait_ms,
        });
        merge_results(
            direct_error,
            self.relay(body, deadline, ReplyBody::into_follow).await,
        )
    }
}
