use snafu::Snafu;

/// Why a call has no usable response, and whether the request may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request was sent: it was shed, delayed by the back-off, or the connection failed.
    #[snafu(display("call not sent: {message}"))]
    NotSent {
        /// What prevented the call.
        message: String,
        /// Milliseconds after which a retry may be admitted, or 0 if unknown.
        retry_after_ms: u64,
    },
    /// Bytes may have been sent without a complete response, or the response was a server error (5xx) or
    /// could not be decoded.
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
        /// Truncated response body.
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
            retry_after_ms: 0,
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

    /// Returns whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Ambiguous { .. })
    }
}
