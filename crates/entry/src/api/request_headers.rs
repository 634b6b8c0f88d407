use std::time::Duration;

use arbutuspick_model::{CallerKey, FieldError};
use axum::http::{HeaderMap, HeaderName};

/// Returns the value of a header, or `None` if it is absent.
pub(crate) fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, FieldError> {
    let mut values = headers
        .get_all(HeaderName::from_bytes(name.as_bytes()).map_err(|_| not_ascii(name))?)
        .iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| not_ascii(name)),
        (Some(_), Some(second)) => {
            let second = String::from_utf8_lossy(second.as_bytes());
            Err(FieldError::new(name, second, "must be given only once"))
        }
    }
}

fn not_ascii(name: &str) -> FieldError {
    FieldError::new(name, "", "must consist of visible ASCII characters")
}

/// Returns the idempotency key, if there is one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<CallerKey>, FieldError> {
    let key = header_value(headers, "idempotency-key")?;
    key.map(|key| {
        CallerKey::try_from(key).map_err(|error| FieldError {
            field: "idempotency-key".into(),
            ..error
        })
    })
    .transpose()
}

/// Parses a duration in milliseconds, which is at most `max_duration`, and `max_duration` if absent.
pub(crate) fn parse_millis(
    field: &str,
    value: Option<&str>,
    max_duration: Duration,
) -> Result<Duration, FieldError> {
    let Some(value) = value else {
        return Ok(max_duration);
    };
    let max_millis = max_duration.as_millis() as u64;
    let parsed = value.parse().ok().filter(|millis| *millis <= max_millis);
    parsed.map(Duration::from_millis).ok_or_else(|| {
        FieldError::new(
            field,
            value,
            format!("must be a whole number from 0 to {max_millis}"),
        )
    })
}

/// Parses a duration from the query of a request, which may have no other fields.
pub(crate) fn parse_query_millis(
    query: Option<&str>,
    field: &str,
    max_duration: Duration,
) -> Result<Duration, FieldError> {
    let mut value = None;
    for pair in query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        match pair.split_once('=') {
            Some((name, text)) if name == field && value.is_none() => value = Some(text),
            _ => {
                return Err(FieldError::new(
                    "query",
                    pair,
                    format!("must be {field}=NUMBER, once"),
                ));
            }
        }
    }
    parse_millis(field, value, max_duration)
}
