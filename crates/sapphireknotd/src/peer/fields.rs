//! Fields of messages between hosts.

use std::str::FromStr;

use thiserror::Error;

/// Message of a peer that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("field {field} of a peer's message: {reason}")]
pub struct ConvertError {
    /// Field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

pub(crate) fn parse<T>(field: &'static str, text: &str) -> Result<T, ConvertError>
where
    T: FromStr,
    T::Err: ToString,
{
    text.parse().map_err(|err: T::Err| ConvertError { field, reason: err.to_string() })
}
