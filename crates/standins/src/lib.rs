//! Stand-ins for the platform, its workers and the upstreams, and a load driver, for demos and tests.
//!
//! Each stand-in listens on a loopback port and stops when it is dropped. `control` or `POST /control`
//! injects faults; `log` or `GET /control/log` returns the tasks or requests that ran.

mod call_stats;
mod checkpoint_store;
mod client_crowd;
mod control_client;
pub mod drive;
mod http_server;
mod platform_control;
mod platform_standin;
mod standin_table;
mod task_log;
mod task_payload;
mod upstream_control;
mod upstream_fleet;
mod upstream_standin;
mod vm_history;
mod wall_clock;
mod worker_control;
mod worker_core;
mod worker_fleet;
mod worker_part;
mod worker_standin;

pub use call_stats::CallStats;
pub use client_crowd::{CrowdPlan, open_sockets, peak_memory_kb, send_crowd, wait_settled};
pub use control_client::{ControlClient, ControlError};
pub use platform_control::{PlatformControl, PlatformSettings, VmKey, WriteDelay};
pub use platform_standin::{PlatformOptions, PlatformStandin};
pub use task_log::{TaskEnd, TaskLog, TaskRun};
pub use task_payload::TaskPayload;
pub use upstream_control::{RequestLog, RequestRuns, UpstreamControl, UpstreamFaults};
pub use upstream_fleet::{UpstreamFleet, UpstreamFleetOptions};
pub use upstream_standin::{UpstreamOptions, UpstreamPayload, UpstreamResult, UpstreamStandin};
pub use worker_control::{WorkerControl, WorkerFaults};
pub use worker_fleet::{WorkerFleet, WorkerFleetOptions};
pub use worker_standin::{WorkerOptions, WorkerStandin};
