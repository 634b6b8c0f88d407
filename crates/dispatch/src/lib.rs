//! Runs the pool scheduler among equal processes that keep their state in a shared row store.
//!
//! Every process accepts jobs ([`JobGate`]) and follows the configuration ([`PolicyBoard`]). One of them holds
//! the seat ([`run_seat`]): it runs [`PoolCore`](arbutuspick_pool::PoolCore), stores each decision before it
//! sends the orders that follow from it, and renews the leases of what runs. A process that stops renewing
//! the seat is replaced by any other, which finds everything in the store and at the workers.
//!
//! A process that does not reach the store has its calls made by another one ([`RelayedStore`]).
//!
//! The store and the workers are reached through the ports [`RowStore`] and [`WorkerLink`].

mod boot_clock;
mod commit_log;
mod front_policy;
mod holder_feeds;
mod holder_run;
mod job_gate;
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
mod seat_authority;
mod seat_record;
mod seat_run;
mod seat_watch;
mod state_board;
mod store_path;
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
