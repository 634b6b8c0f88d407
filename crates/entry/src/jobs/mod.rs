//! Jobs: submission, status, cancellation, and the choice of their data centres.

mod centre_choice;
mod job_cache;
mod job_cancel;
mod job_rescue;
mod job_submit;
mod job_view;
mod summary_codec;
mod summary_store;

pub(crate) use centre_choice::{choose_data_centre, choose_other_centre};
pub(crate) use job_cache::{CachedJob, JobCache, JobReadError};
pub(crate) use job_cancel::cancel_job;
pub(crate) use job_rescue::run_job_rescue;
pub(crate) use job_submit::{SubmitRequest, submit_job};
pub(crate) use job_view::JobView;
pub(crate) use summary_codec::{decode_summary, encode_summary};
pub use summary_store::{CentreSummary, SummaryStore};
