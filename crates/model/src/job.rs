use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{AccountName, FieldError, GangShape};

/// Maximum size of a job payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Priority class of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobClass {
    /// Starts within seconds if its resources are guaranteed.
    Urgent,
    /// Default class.
    #[default]
    Standard,
    /// Has no urgency.
    Batch,
}

/// Specification of a job, fixed when it is submitted.
///
/// ```
/// use arbutuspick_model::{AccountName, JobSpec};
/// let spec = JobSpec::new(AccountName::try_from("parks")?).with_declared_run_ms(60_000);
/// assert!(spec.check().is_ok());
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Client account that the job belongs to.
    pub account: AccountName,
    /// Shape of the gang.
    #[serde(default)]
    pub shape: GangShape,
    /// Priority class.
    #[serde(default)]
    pub class: JobClass,
    /// Whether the job may run again after an attempt was lost.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its tasks can write checkpoints and resume from them.
    #[serde(default)]
    pub checkpointable: bool,
    /// Run time declared by the caller, in milliseconds; often wrong and never relied on.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Payload of the tasks, opaque to the scheduler.
    #[serde(default = "empty_payload")]
    pub payload: Arc<str>,
}

fn empty_payload() -> Arc<str> {
    "".into()
}

impl JobSpec {
    /// Creates a specification with one task that uses one accelerator.
    pub fn new(account: AccountName) -> Self {
        Self {
            account,
            shape: GangShape::default(),
            class: JobClass::default(),
            idempotent: false,
            checkpointable: false,
            declared_run_ms: 0,
            payload: empty_payload(),
        }
    }

    /// Sets the shape.
    #[must_use]
    pub fn with_shape(mut self, shape: GangShape) -> Self {
        self.shape = shape;
        self
    }

    /// Sets the priority class.
    #[must_use]
    pub fn with_class(mut self, class: JobClass) -> Self {
        self.class = class;
        self
    }

    /// Allows the job to run again after an attempt was lost.
    #[must_use]
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Declares that the tasks can write checkpoints and resume from them.
    #[must_use]
    pub fn checkpointable(mut self) -> Self {
        self.checkpointable = true;
        self
    }

    /// Sets the declared run time in milliseconds.
    #[must_use]
    pub fn with_declared_run_ms(mut self, millis: u64) -> Self {
        self.declared_run_ms = millis;
        self
    }

    /// Sets the payload.
    #[must_use]
    pub fn with_payload<P>(mut self, payload: P) -> Self
    where
        P: Into<Arc<str>>,
    {
        self.payload = payload.into();
        self
    }

    /// Validates the rules that do not depend on the size of the pool.
    pub fn check(self) -> Result<Self, FieldError> {
        self.shape.check()?;
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(FieldError::new(
                "payload",
                &self.payload,
                "must have at most 65536 bytes",
            ));
        }
        Ok(self)
    }
}
