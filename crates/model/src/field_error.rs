use snafu::Snafu;

/// Maximum length of an excerpt of the rejected value.
const MAX_EXCERPT_BYTES: usize = 80;

/// Validation error: a field has a value that violates a rule.
///
/// ```
/// use arbutuspick_model::FieldError;
/// let error = FieldError::new("weight", "0", "must be at least 1");
/// assert_eq!(error.to_string(), "field \"weight\": value \"0\" must be at least 1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("field {field:?}: value {value:?} {rule}"))]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// The rejected value, truncated to 80 bytes.
    pub value: String,
    /// The violated rule, such as "must be at least 1".
    pub rule: String,
}

impl FieldError {
    /// Creates an error for a value that violates a rule.
    pub fn new<F, V, R>(field: F, value: V, rule: R) -> Self
    where
        F: Into<String>,
        V: ToString,
        R: Into<String>,
    {
        let mut value = value.to_string();
        if value.len() > MAX_EXCERPT_BYTES {
            let end = (0..=MAX_EXCERPT_BYTES)
                .rev()
                .find(|&i| value.is_char_boundary(i))
                .unwrap_or(0);
            value.truncate(end);
        }
        Self {
            field: field.into(),
            value,
            rule: rule.into(),
        }
    }

    /// Prepends the path of the parent to the field, as in `accounts[2].weight`.
    pub fn within<P>(mut self, parent: P) -> Self
    where
        P: AsRef<str>,
    {
        self.field = format!("{}.{}", parent.as_ref(), self.field);
        self
    }
}
