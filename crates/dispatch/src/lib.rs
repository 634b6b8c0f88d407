//! Runs the pool scheduler on an elected leader among equal processes that share a row store.
//!
//! Every process accepts jobs ([`JobGate`]) and follows the configuration ([`PolicyBoard`]). One of them is
//! elected leader ([`run_seat`]): it runs [`PoolCore`](arbutuspick_pool::PoolCore), stores each decision before
//! it sends the resulting orders to workers, and renews the leases of running tasks. When the leader stops
//! renewing its leadership, another process takes over and restores the state from the store and the workers.
//!
//! A process that cannot reach the store directly relays its calls through another process ([`RelayedStore`]).
//!
//! The store and the workers are abstracted by the traits [`RowStore`] and [`WorkerLink`].

mod boot_clock;
mod commit_writer;
mod front_policy;
mod job_gate;
mod leader_authority;
mod leader_feeds;
mod leader_run;
mod member_list;
mod order_sender;
mod peer_watch;
mod policy_board;
mod relay_client;
#[allow(
    clippy::impl_trait_in_params,
    reason = "the Oneof derive of prost generates such functions"
)]
mod relay_message;
mod relay_server;
mod relayed_store;
mod row_store;
mod seat_record;
mod seat_run;
mod seat_watch;
mod state_board;
mod store_health;
mod worker_link;
mod worker_session;

pub use boot_clock::BootClock;
pub use front_policy::{AccessRefusal, FrontPolicy, FrontQueue, QueueAccess, SizeLimits};
pub use job_gate::{CancelOutcome, GateOptions, JobGate, StatusOutcome, SubmitOutcome};
pub use peer_watch::PeerWatch;
pub use policy_board::{PolicyBoard, PolicyRows, PolicyView, follow_policy};
pub use relayed_store::{RelayOptions, RelayedStore};
pub use row_store::{
    RowChange, RowCondition, RowEntry, RowFollow, RowPage, RowStore, RowWrite, StoreError, TransactOutcome,
};
pub use seat_record::SeatRecord;
pub use seat_run::{DispatchContext, DispatchOptions, SeatView, run_seat};
pub use seat_watch::{SeatDecision, SeatWatch};
pub use state_board::StateBoard;
pub use worker_link::{HoldCall, HoldReply, StartCall, StartReply, StopCall, WorkerError, WorkerLink};
