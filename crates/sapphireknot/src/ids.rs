//! Typed identifiers.
//!
//! Text identifiers are 1 to 64 characters of `[a-z0-9._-]`, so they need no escaping in paths, headers and store keys.
//! Numeric identifiers are ordered: a higher one is newer.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Maximum length of a text identifier in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Error when parsing a text identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind} {text:?} is not 1 to {MAX_ID_BYTES} characters of a-z, 0-9, '.', '_' and '-'")]
pub struct IdError {
    kind: &'static str,
    text: String,
}

fn check_text(kind: &'static str, text: &str) -> Result<String, IdError> {
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(is_allowed) {
        return Err(IdError { kind, text: text.to_owned() });
    }
    Ok(text.to_owned())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_text($kind, text).map(Self)
            }
        }
    };
}

text_id!(
    /// Identifier of an entry host.
    HostId,
    "host"
);
text_id!(
    /// Identifier of a region.
    RegionId,
    "region"
);
text_id!(
    /// Identifier of a data centre.
    DatacentreId,
    "data centre"
);
text_id!(
    /// Identifier of an organisation.
    OrganisationId,
    "organisation"
);
text_id!(
    /// Identifier of an organisation's API key; does not reveal the key.
    KeyId,
    "key"
);
text_id!(
    /// Identifier of a service.
    ServiceId,
    "service"
);
text_id!(
    /// Identifier of a route within a service.
    RouteId,
    "route"
);
text_id!(
    /// Identifier of a version of a service.
    VersionId,
    "version"
);
text_id!(
    /// Identifier of a backend server.
    ServerId,
    "backend server"
);
text_id!(
    /// Identifier of a release note.
    NoteId,
    "release note"
);
text_id!(
    /// Identifier of a traffic plan.
    PlanId,
    "traffic plan"
);

/// Error when parsing a numeric identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a decimal number")]
pub struct NumberError {
    text: String,
}

macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident, $number:ty) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                text.parse().map(Self).map_err(|_| NumberError { text: text.to_owned() })
            }
        }
    };
}

number_id!(
    /// Incarnation number of a host's process; increases with each restart.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    IncarnationId,
    u64
);
number_id!(
    /// Generation of the configuration; incremented by each accepted release note or document.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    ConfigGeneration,
    u64
);
number_id!(
    /// Store revision at which a role was acquired; messages with a lower token are rejected.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    FencingToken,
    u64
);
number_id!(
    /// Identifier of a quota transfer between hosts.
    #[derive(SerializeDisplay, DeserializeFromStr)]
    TransferId,
    u128
);

impl ConfigGeneration {
    /// Returns the next generation.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
