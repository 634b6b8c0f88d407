use arbutuspick_model::RefusalReason;
use snafu::Snafu;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RouteRefusal {
    /// No upstream of the service may take work.
    #[snafu(display("no upstream of the service may take work"))]
    NoUpstream,
    /// Every upstream that may take work is among the excluded ones or is ejected.
    #[snafu(display("every upstream of the service was tried or is ejected"))]
    AllTried,
    /// Every upstream that may take the request is at its limit; the request may wait in the queue.
    #[snafu(display("every upstream of the service is at its limit"))]
    AllBusy,
}

impl RouteRefusal {
    /// Returns the reason to give to a caller whose request does not wait.
    pub fn reason(self) -> RefusalReason {
        match self {
            Self::NoUpstream => RefusalReason::NoUpstream,
            Self::AllTried => RefusalReason::UpstreamRefused,
            Self::AllBusy => RefusalReason::Overloaded,
        }
    }
}
