//! Jobs as callers see them: submission, status and cancellation.

mod centre_choice;
mod job_cancel;
mod job_rescue;
mod job_submit;
mod job_view;
mod job_watch;
mod summary_board;
mod summary_message;

pub(crate) use centre_choice::{choose_data_centre, choose_other_centre};
pub(crate) use job_cancel::cancel_job;
pub(crate) use job_rescue::run_job_rescue;
pub(crate) use job_submit::{SubmitRequest, submit_job};
pub(crate) use job_view::JobView;
pub(crate) use job_watch::{JobWatch, SeenJob, WatchFault};
pub use summary_board::{CentreSummary, SummaryBoard};
pub(crate) use summary_message::{read_summary, summary_message};
