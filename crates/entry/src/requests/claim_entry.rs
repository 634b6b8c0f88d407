use arbutuspick_model::RefusalReason;
use arbutuspick_records::{BodyDigest, ClaimOutcome};
use tokio::sync::watch;

/// How a claim was resolved.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimResolution {
    /// The request was sent and has this outcome.
    Finished(ClaimOutcome),
    /// The request was not sent or did not run.
    NotRun(RefusalReason),
    /// This process committed no claim; waiting requests have to read the row.
    NotClaimed,
}

/// A claim of this process, on whose resolution other requests can wait.
#[derive(Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) digest: BodyDigest,
    resolution: watch::Sender<Option<ClaimResolution>>,
}

impl ClaimEntry {
    pub(crate) fn new(digest: BodyDigest) -> Self {
        Self {
            digest,
            resolution: watch::Sender::new(None),
        }
    }

    pub(crate) fn resolve(&self, resolution: ClaimResolution) {
        self.resolution.send_replace(Some(resolution));
    }

    /// Returns the resolution, if there is one yet.
    pub(crate) fn resolution(&self) -> Option<ClaimResolution> {
        self.resolution.borrow().clone()
    }

    /// Waits for the resolution.
    pub(crate) async fn resolved(&self) -> ClaimResolution {
        let mut receiver = self.resolution.subscribe();
        let resolution = match receiver.wait_for(Option::is_some).await {
            Ok(resolution) => resolution.clone(),
            Err(_) => None,
        };
        resolution.unwrap_or(ClaimResolution::NotClaimed)
    }
}
