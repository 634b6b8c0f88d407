//! Runs the pool scheduler on an elected leader among equal processes that share a row store.
//!
//! Every process accepts jobs ([`JobIntake`]) and follows the configuration ([`PolicyCache`]). One of them is
//! elected leader ([`run_dispatch`]): it runs [`PoolCore`](arbutuspick_pool::PoolCore), stores each decision
//! before it sends the resulting orders to workers, and renews the leases of running tasks. When the leader
//! stops renewing its leadership, another process takes over and restores the state from the store and the
//! workers.
//!
//! A process that cannot reach the store relays its calls through another process ([`RelayedStore`]).
//!
//! The store and the workers are abstracted by the traits [`RowStore`] and [`WorkerClient`].

mod boot_clock;
mod commit_writer;
mod dispatch_loop;
mod election_watch;
mod expiring_rows;
mod frontend_policy;
mod handover_watch;
mod intake_key;
mod job_intake;
mod leader_authority;
mod leader_feeds;
mod leader_record;
mod leader_run;
mod leading_cost;
mod learned_rows;
mod loop_meter;
mod loss_report;
mod member_list;
mod open_submissions;
mod order_sender;
mod peer_probe;
mod policy_cache;
mod progress_rows;
mod registry_watch;
mod relay_client;
#[allow(
    clippy::impl_trait_in_params,
    reason = "the Oneof derive of prost generates such functions"
)]
mod relay_message;
mod relay_server;
mod relayed_store;
mod row_store;
mod state_dump;
mod store_health;
mod succession;
mod supervisor;
mod withdrawal_budget;
mod worker_client;
mod worker_clock;
mod worker_session;

pub use boot_clock::BootClock;
pub use dispatch_loop::{DispatchContext, DispatchOptions, LeaderView, run_dispatch};
pub use election_watch::{ElectionDecision, ElectionWatch};
pub use frontend_policy::{AccessError, FrontendPolicy, QueueAccess, QueueRoute, SizeLimits};
pub use handover_watch::{HandoverReason, HandoverWatch, ProcessUse, accepts_leadership, rank_successors};
pub use job_intake::{CancelOutcome, IntakeOptions, JobIntake, StatusOutcome, SubmitOutcome};
pub use leader_record::LeaderRecord;
pub use leading_cost::{LeadingCost, ProcessLimits, VmFitness, election_delay_ms};
pub use peer_probe::PeerProbe;
pub use policy_cache::{PolicyCache, PolicyRows, PolicyView, follow_policy};
pub use progress_rows::ProgressRows;
pub use registry_watch::RegistryWatch;
pub use relayed_store::{RelayOptions, RelayedStore};
pub use row_store::{
    FollowOutcome, RowCondition, RowEntry, RowPage, RowStore, RowTransaction, RowWrite, StoreError,
    TransactOutcome,
};
pub use state_dump::StateDump;
pub use succession::UseProbe;
pub use supervisor::supervise;
pub use worker_client::{
    ConnectionId, PollCall, PollReply, StartCall, StartReply, StopCall, WorkerClient, WorkerError,
    WorkerIdentity,
};
pub use worker_clock::WorkerClock;
