//! Parsing of message fields.

use std::str::FromStr;

use thiserror::Error;

/// Invalid field in a message from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("field {field} of a peer's message: {reason}")]
pub struct ConvertError {
    /// Name of the field.
    pub field: &'static str,
    /// Reason.
    pub reason: String,
}

pub(crate) fn parse_field<T>(field: &'static str, text: &str) -> Result<T, ConvertError>
where
    T: FromStr,
    T::Err: ToString,
{
    text.parse().map_err(|err: T::Err| ConvertError { field, reason: err.to_string() })
}
