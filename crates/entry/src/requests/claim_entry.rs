use arbutuspick_model::RefusalReason;
use arbutuspick_records::{BodyDigest, ClaimOutcome};
use tokio::sync::watch;

/// How a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimEnd {
    /// The request was sent, and this is its outcome.
    Finished(ClaimOutcome),
    /// The request was not sent or did not run.
    NotRun(RefusalReason),
    /// This process made no claim; who waited for it looks at the row.
    LookAgain,
}

/// A claim of this process.
#[derive(Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) digest: BodyDigest,
    end: watch::Sender<Option<ClaimEnd>>,
}

impl ClaimEntry {
    pub(crate) fn new(digest: BodyDigest) -> Self {
        Self {
            digest,
            end: watch::Sender::new(None),
        }
    }

    pub(crate) fn finish(&self, end: ClaimEnd) {
        self.end.send_replace(Some(end));
    }

    /// Returns the end, if it is known.
    pub(crate) fn end(&self) -> Option<ClaimEnd> {
        self.end.borrow().clone()
    }

    /// Waits for the end.
    pub(crate) async fn ended(&self) -> ClaimEnd {
        let mut receiver = self.end.subscribe();
        let end = match receiver.wait_for(Option::is_some).await {
            Ok(end) => end.clone(),
            Err(_) => None,
        };
        end.unwrap_or(ClaimEnd::LookAgain)
    }
}
