//! The entry daemon: settings, HTTP API, and the background tasks that drive scheduling and routing.
//!
//! [`EntryDaemon`] runs in the program `arbutuspick`, and in tests.
//!
//! # HTTP API
//!
//! Callers send `authorization: Bearer TOKEN`. Every response carries `x-request-id`, which is the caller's id
//! if it sent one. Bodies are JSON, except those of services and results.
//!
//! | request | caller | response |
//! |---|---|---|
//! | `POST /v1/jobs` | account, operator | 202 with the job |
//! | `GET /v1/jobs/{id}`, `DELETE /v1/jobs/{id}` | account, operator | the job; 202 when the cancellation is recorded |
//! | `GET /v1/jobs/{id}/wait?timeout_ms=` | account, operator | the job, or `{"continue": id}` during a planned stop |
//! | `GET /v1/jobs/{id}/result` | account, operator | the result, with verified length and digest |
//! | `POST /v1/services/{service}/requests` | account | the upstream's response with `x-outcome: ran` |
//! | `GET /v1/pool` | any | state and summary of each data centre |
//! | `GET /v1/operator/data-centres[/{dc}]` | operator, owner | the order in force |
//! | `POST /v1/operator/data-centres/{dc}/out`, `/in` | operator | the recorded order |
//! | `GET /v1/operator/workers`, `/accounts`, `/turn` | operator, owner | the workers, the configuration, the owner's turn |
//! | `POST /v1/operator/questionnaires` | operator | 201 with the proposal |
//! | `GET /v1/operator/proposals/{id}` | operator, owner | the proposal |
//! | `POST /v1/operator/proposals/{id}/accept`, `/reject` | owner of the month | the decided proposal |
//! | `GET /readyz`, `/livez`, `/metrics` | - | state of the process |
//! | `GET /debug/state` | operator | dump of the internal state |
//!
//! Errors are `{"error": {"code", "message", "field"?, "value"?, "rule"?}, "outcome"?, "reason"?, "request_id"}`.
//! Codes are `invalid_field`, `body_cut`, `bad_request` (400), `unauthenticated` (401), `forbidden` (403),
//! `not_found` (404), `method_not_allowed` (405), `key_reused`, `job_ended`, `job_busy`, `no_result`,
//! `order_superseded`, `wrong_state`, `shortfall`, `no_turn`, `turn_busy`, `proposal_decided`, `proposal_busy`
//! (409), `body_too_large` (413), `internal` (500), `result_damaged` (502), `platform_unavailable`, `not_ready`,
//! `overloaded` (503), `not_run` (409, 422, 429 or 503, with the reason) and `unknown` (504, with the reason).

mod api;
mod command;
mod config;
mod daemon;
mod jobs;
mod owners;
mod requests;
mod settings;
mod table;
mod watch;

pub use command::{CommandLine, ExitStatus, USAGE, run_command, start_log};
pub use config::{CentreStore, CentreView, ConfigStore};
pub use daemon::{DaemonError, EntryDaemon};
pub use jobs::{CentreSummary, SummaryStore};
pub use settings::{
    AuthSettings, CallerRole, EntryLimits, RawLimits, RawPeer, RawSettings, RawToken, Settings,
    SettingsError, TokenDigest, read_questionnaire,
};
