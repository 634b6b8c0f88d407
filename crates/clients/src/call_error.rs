use snafu::Snafu;

/// Why a call has no usable answer, and whether it may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request was sent: shed, paced by the back-off, or not connected.
    #[snafu(display("call not sent: {message}"))]
    NotSent {
        /// What prevented it.
        message: String,
        /// Milliseconds after which a repetition may be admitted, 0 when not known.
        retry_ms: u64,
    },
    /// Bytes may have been sent and no whole answer came, or the answer was a server error (5xx).
    #[snafu(display("outcome of the call is ambiguous: {message}"))]
    Ambiguous {
        /// What went wrong.
        message: String,
    },
    /// The service refused the request (3xx or 4xx); it had no effect.
    #[snafu(display("call rejected with status {status}: {message}"))]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the answer, shortened.
        message: String,
    },
}

impl CallError {
    pub(crate) fn not_sent<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::NotSent {
            message: message.into(),
            retry_ms: 0,
        }
    }

    pub(crate) fn ambiguous<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Ambiguous {
            message: message.into(),
        }
    }

    /// Returns whether the call provably had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Ambiguous { .. })
    }
}
